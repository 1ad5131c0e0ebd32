//! Runs `.ci/known-red` with a stub of cargo. The script excludes tests that are listed as failing
//! for a known fault from the result of CI.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;
use std::process::{Command, Output};

/// The stub of cargo, a file of the repository. An executable that a test writes itself may still
/// be open for writing in a process that another test has just forked, and its execution then
/// fails with "Text file busy".
const CARGO_STUB: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/stand-in/cargo");

/// A run of the script, and its folder with the stub of cargo and the list.
struct ScriptRun {
    folder: PathBuf,
    output: Output,
}

impl ScriptRun {
    fn new(test: &str, list: Option<&str>, unlisted_tests_fail: bool) -> ScriptRun {
        let folder = std::env::temp_dir().join(format!(
            "pipitlever-known-red-{}-{test}",
            std::process::id()
        ));
        fs::create_dir_all(&folder).unwrap();
        let cargo = folder.join("cargo");
        symlink(CARGO_STUB, &cargo).unwrap();
        let file = folder.join("KNOWN-RED.txt");
        if let Some(list) = list {
            fs::write(&file, list).unwrap();
        }
        let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
        let mut command = Command::new("bash");
        command.arg(script).arg(file).env("CARGO", &cargo).env(
            "UNLISTED_EXIT_STATUS",
            if unlisted_tests_fail { "101" } else { "0" },
        );
        let output = command.output().unwrap();
        ScriptRun { folder, output }
    }

    fn succeeded(&self) -> bool {
        self.output.status.success()
    }

    fn output_text(&self) -> String {
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

impl Drop for ScriptRun {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn without_a_list_all_tests_run() {
    for (name, list) in [("none", None), ("empty", Some(""))] {
        let run = ScriptRun::new(name, list, false);
        assert!(run.succeeded(), "{}", run.output_text());
        assert_eq!(run.calls(), ["cargo test --workspace --locked"]);
    }
}

#[test]
fn listed_tests_are_skipped_by_exact_name_and_run_afterwards() {
    let run = ScriptRun::new(
        "listed",
        Some("red | cargo test red, seed 7 | the clock jumps | 29\n"),
        false,
    );
    assert!(run.succeeded(), "{}", run.output_text());
    let expected = [
        "cargo test --workspace --locked -- --exact --skip red",
        "cargo test --workspace --locked --no-fail-fast -- --exact red",
    ];
    assert_eq!(run.calls(), expected);
    assert!(
        run.output_text()
            .contains("red: fails. Seen: the clock jumps. Run: cargo test red, seed 7. Issue 29."),
        "{}",
        run.output_text()
    );
}

#[test]
fn a_listed_test_that_passes_is_named_and_changes_nothing() {
    let run = ScriptRun::new("passes", Some("green | cargo test | rare | 3\n"), false);
    assert!(
        run.succeeded() && run.output_text().contains("green: passed this time"),
        "{}",
        run.output_text()
    );
}

#[test]
fn unlisted_tests_still_have_to_pass() {
    assert!(!ScriptRun::new("others", Some("red | cargo test | cause | 1"), true).succeeded());
}

#[test]
fn a_malformed_list_fails_before_any_test_runs() {
    let four_entries =
        "red | x | a | 1\ngreen | x | b | 2\nmod::red | x | c | 3\nother | x | d | 4\n";
    let cases = [
        ("fields", "red | cause\n", "not of the form"),
        ("command", "red | cause | 1\n", "not of the form"),
        (
            "issue",
            "red | cargo test | cause | soon\n",
            "not of the form",
        ),
        ("name", " | cargo test | cause | 1\n", "not of the form"),
        (
            "blank",
            "red | cargo test | cause | 1\n\n",
            "not of the form",
        ),
        ("fourth", four_entries, "4 entries"),
        (
            "unknown",
            "re | cargo test | cause | 1\n",
            "0 tests are called re",
        ),
        (
            "ambiguous",
            "twice | cargo test | cause | 1\n",
            "2 tests are called twice",
        ),
        (
            "repeated",
            "red | x | a | 1\nred | x | b | 1\n",
            "listed twice",
        ),
    ];
    for (name, list, expected_message) in cases {
        let run = ScriptRun::new(name, Some(list), false);
        assert!(
            !run.succeeded() && run.output_text().contains(expected_message),
            "{name}: {}",
            run.output_text()
        );
        assert_eq!(run.calls(), [""; 0], "{name}");
    }
}
