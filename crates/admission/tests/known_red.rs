//! The script that lets CI pass over tests listed as failing for a known fault, with a stand-in for
//! cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Prints tests when asked for a list, notes each other call, and fails where the test `red` runs.
const CARGO: &str = r#"#!/bin/sh
case "$*" in
*--list*) printf 'green: test\nred: test\nmod::red: test\ntwice: test\ntwice: test\n' ;;
*) echo "cargo $*" >> "$0.calls"
   case "$*" in
   *--skip*) exit "${REST:-0}" ;;
   *'--exact red') exit 101 ;;
   esac ;;
esac
"#;

/// A folder with the stand-in and a list.
struct Played {
    folder: PathBuf,
    output: Output,
}

impl Played {
    fn new(test: &str, list: Option<&str>, rest_fails: bool) -> Played {
        let folder = std::env::temp_dir().join(format!(
            "pipitlever-known-red-{}-{test}",
            std::process::id()
        ));
        fs::create_dir_all(&folder).unwrap();
        let cargo = folder.join("cargo");
        fs::write(&cargo, CARGO).unwrap();
        fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).unwrap();
        let file = folder.join("KNOWN-RED.txt");
        if let Some(list) = list {
            fs::write(&file, list).unwrap();
        }
        let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
        let mut command = Command::new("bash");
        command
            .arg(script)
            .arg(file)
            .env("CARGO", &cargo)
            .env("REST", if rest_fails { "101" } else { "0" });
        let output = command.output().unwrap();
        Played { folder, output }
    }

    fn passed(&self) -> bool {
        self.output.status.success()
    }

    fn said(&self) -> String {
        let Output { stdout, stderr, .. } = &self.output;
        format!(
            "{}{}",
            String::from_utf8_lossy(stdout),
            String::from_utf8_lossy(stderr)
        )
    }

    fn calls(&self) -> Vec<String> {
        let calls = fs::read_to_string(self.folder.join("cargo.calls")).unwrap_or_default();
        calls.lines().map(str::to_owned).collect()
    }
}

impl Drop for Played {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn without_a_list_all_tests_run() {
    for (name, list) in [("none", None), ("empty", Some(""))] {
        let played = Played::new(name, list, false);
        assert!(played.passed(), "{}", played.said());
        assert_eq!(played.calls(), ["cargo test --workspace --locked"]);
    }
}

#[test]
fn listed_tests_are_left_out_by_their_exact_names_and_run_after() {
    let played = Played::new("listed", Some("red | the clock jumps | 29\n"), false);
    assert!(played.passed(), "{}", played.said());
    let expected = [
        "cargo test --workspace --locked -- --exact --skip red",
        "cargo test --workspace --locked --no-fail-fast -- --exact red",
    ];
    assert_eq!(played.calls(), expected);
    assert!(
        played
            .said()
            .contains("red: fails. Cause: the clock jumps. Issue 29."),
        "{}",
        played.said()
    );
}

#[test]
fn a_listed_test_that_passes_is_named_and_changes_nothing() {
    let played = Played::new("passes", Some("green | rare | 3\n"), false);
    assert!(
        played.passed() && played.said().contains("green: passed this time"),
        "{}",
        played.said()
    );
}

#[test]
fn the_others_still_have_to_pass() {
    assert!(!Played::new("others", Some("red | cause | 1"), true).passed());
}

#[test]
fn a_wrong_list_fails_before_anything_runs() {
    let four = "red | a | 1\ngreen | b | 2\nmod::red | c | 3\nother | d | 4\n";
    let cases = [
        ("fields", "red | cause\n", "not of the form"),
        ("issue", "red | cause | soon\n", "not of the form"),
        ("name", " | cause | 1\n", "not of the form"),
        ("blank", "red | cause | 1\n\n", "not of the form"),
        ("fourth", four, "4 entries"),
        ("unknown", "re | cause | 1\n", "0 tests are called re"),
        (
            "ambiguous",
            "twice | cause | 1\n",
            "2 tests are called twice",
        ),
        ("repeated", "red | a | 1\nred | b | 1\n", "listed twice"),
    ];
    for (name, list, why) in cases {
        let played = Played::new(name, Some(list), false);
        assert!(
            !played.passed() && played.said().contains(why),
            "{name}: {}",
            played.said()
        );
        assert_eq!(played.calls(), [""; 0], "{name}");
    }
}
