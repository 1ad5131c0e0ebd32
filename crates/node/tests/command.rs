//! The commands of `pipitlever`: their output, error messages and exit codes.

mod common;

use std::process::{Command, Output};

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pipitlever"));
    let Output {
        status,
        stdout,
        stderr,
    } = command
        .env_remove("EDGE_CONFIG")
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn commands_print_their_output_or_an_error() {
    // The arguments, the exit code, and a part of standard output and of standard error.
    let cases: [(&[&str], i32, &str, &str); 8] = [
        (
            &["version"],
            0,
            concat!("pipitlever ", env!("CARGO_PKG_VERSION"), "\n"),
            "",
        ),
        (&["--help"], 0, "pipitlever import FILE...", ""),
        (&[], 1, "", "no configuration"),
        (
            &["serve", "--config", "/no/such/file"],
            1,
            "",
            "/no/such/file: ",
        ),
        (
            &[
                "check",
                "--config",
                concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"),
            ],
            1,
            "",
            "configuration: ",
        ),
        (&["import"], 1, "", "no file named"),
        (&["leap"], 1, "", "no command 'leap'"),
        (&["version", "twice"], 1, "", "see 'pipitlever help'"),
    ];
    for (args, code, output, errors) in cases {
        let ran = run(args);
        assert_eq!(ran.0, Some(code), "{args:?}: {ran:?}");
        assert!(
            ran.1.contains(output) && ran.2.contains(errors),
            "{args:?}: {ran:?}"
        );
        assert_eq!(
            (ran.1.is_empty(), ran.2.is_empty()),
            (code != 0, code == 0),
            "{args:?}: {ran:?}"
        );
    }
}

#[test]
fn check_prints_the_configured_limits() {
    let path = std::env::temp_dir().join(format!("pipitlever-{}-check.json", std::process::id()));
    let config = common::configuration(&serde_json::json!({"processor": "127.0.0.1:1",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 384}}));
    std::fs::write(&path, config.to_string()).unwrap();
    let (code, output, errors) = run(&["check", "--config", path.to_str().unwrap()]);
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    assert!(output.contains("sockets=384 memory_mb=32\n"), "{output}");
}

#[test]
fn import_prints_the_file_and_names_what_it_omits() {
    let path = std::env::temp_dir().join(format!(
        "pipitlever-{}-import.properties",
        std::process::id()
    ));
    std::fs::write(
        &path,
        "worker.a.type=uwsgi\nworker.a.port=3032\nworker.b.port=8009\n",
    )
    .unwrap();
    let name = path.to_str().unwrap();
    let (code, output, errors) = run(&["import", name]);
    assert_eq!(code, Some(3));
    assert!(
        output.contains("workers = [\"127.0.0.1:3032\"]"),
        "{output}"
    );
    assert_eq!(
        errors,
        format!("{name}:3: worker b at localhost:8009: unsupported protocol ajp13\n")
    );
    std::fs::write(
        &path,
        "worker.a.type=uwsgi\nworker.a.port=3032\nworker.a.lbfactor=3\n",
    )
    .unwrap();
    let (code, output, errors) = run(&["import", name]);
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    assert!(
        output.contains("address = \"127.0.0.1:3032\"\nweight = 3.0\n"),
        "{output}"
    );
    std::fs::write(&path, b"worker.a.type=uwsgi\nworker.a.port=\xff\n").unwrap();
    let (code, output, errors) = run(&["import", name]);
    assert_eq!((code, output.as_str()), (Some(1), ""));
    assert_eq!(errors, format!("pipitlever: {name}:2: not UTF-8\n"));
    std::fs::remove_file(&path).unwrap();
}
