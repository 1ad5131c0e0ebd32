//! The permitted dependencies between packages: the core does not depend on the wire formats, the
//! wire formats do not depend on any package of the workspace, and no package that makes decisions
//! depends on sockets.

use std::collections::BTreeSet;
use std::process::Command;

/// The direct and transitive dependencies of a package, without dev and build dependencies.
fn dependencies(name: &str) -> BTreeSet<String> {
    let cargo = std::env::var("CARGO").unwrap_or("cargo".into());
    let arguments = [
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
        .args(arguments)
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
fn decision_packages_do_not_depend_on_sockets() {
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
    let decision_packages = [
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
    for name in decision_packages.map(|suffix| format!("pipitlever{suffix}")) {
        let dependencies = dependencies(&name);
        let found: Vec<&str> = sockets
            .into_iter()
            .filter(|s| dependencies.contains(*s))
            .collect();
        assert!(found.is_empty(), "{name} depends on {found:?}");
    }
    // The check finds a dependency that exists.
    assert!(dependencies("pipitlever-node").contains("pipitlever-reactor"));
}

#[test]
fn core_and_wire_do_not_depend_on_each_other() {
    assert!(!dependencies("pipitlever-core").contains("pipitlever-wire"));
    assert!(!dependencies("pipitlever-wire")
        .iter()
        .any(|name| name.starts_with("pipitlever")));
}
