//! Which package may reach which: the core knows no wire, the wire no admission, and neither of
//! them a socket.

use std::collections::BTreeSet;
use std::process::Command;

/// What a package depends on, directly and through others, without what only its tests or its build
/// use.
fn reaches(name: &str) -> BTreeSet<String> {
    let cargo = std::env::var("CARGO").unwrap_or("cargo".into());
    let words = [
        "tree",
        "--locked",
        "--offline",
        "--edges",
        "normal",
        "--prefix",
        "none",
        "--package",
        name,
    ];
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml");
    let output = Command::new(cargo)
        .args(words)
        .args(["--manifest-path", manifest])
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).unwrap();
    let names = text
        .lines()
        .skip(1)
        .filter_map(|line| line.split(' ').next());
    names.map(str::to_owned).collect()
}

#[test]
fn what_decides_reaches_no_socket() {
    let sockets = [
        "mio",
        "polling",
        "async-io",
        "socket2",
        "tokio",
        "smol",
        "pipitlever-reactor",
        "pipitlever-node",
    ];
    let decides = [
        "-admission",
        "-core",
        "-wire",
        "-membership",
        "-config-versions",
        "-subsetting",
        "-session-affinity",
        "-load-balancing",
        "-hot-restart",
        "-settings",
        "-idempotency-store",
    ];
    for name in decides.map(|d| format!("pipitlever{d}")) {
        let reached = reaches(&name);
        let found: Vec<&str> = sockets
            .into_iter()
            .filter(|s| reached.contains(*s))
            .collect();
        assert!(found.is_empty(), "{name} reaches {found:?}");
    }
    // The check can see them.
    assert!(reaches("pipitlever-node").contains("pipitlever-reactor"));
}

#[test]
fn core_and_wire_know_nothing_of_each_other() {
    assert!(!reaches("pipitlever-core").contains("pipitlever-wire"));
    assert!(!reaches("pipitlever-wire")
        .iter()
        .any(|name| name.starts_with("pipitlever")));
}
