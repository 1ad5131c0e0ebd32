//! The JSON of `replay`, `explain` and `stats` on the committed captures, compared with fixtures
//! written by the build of commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p
//! pipitlever-capture-tools --test compatibility`).

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Captures whose requests together end in every possible way.
const CAPTURES: [&str; 4] = [
    "one-swap",
    "key-repeated-while-it-runs",
    "burst-into-discard",
    "drain-with-held",
];

fn test_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(name)
}

/// The standard output of a command, with one line for each JSON value.
fn run_tool_json(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_pipitlever-capture"))
        .args(arguments)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let mut lines = String::new();
    for value in serde_json::Deserializer::from_str(&text).into_iter::<Value>() {
        let mut value = value.unwrap_or_else(|error| panic!("{arguments:?}: {error}: {text}"));
        clear_measurements(&mut value);
        lines.push_str(&format!("{value}\n"));
    }
    lines
}

/// Sets measured durations and file paths to null, as they differ between runs and checkouts.
fn clear_measurements(value: &mut Value) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                match key.as_str() {
                    "seconds" | "steps_per_second" | "path" | "file" => *member = Value::Null,
                    _ => clear_measurements(member),
                }
            }
        }
        Value::Array(members) => members.iter_mut().for_each(clear_measurements),
        _ => {}
    }
}

#[test]
fn json_outputs_have_the_keys_and_values_of_the_earlier_build() {
    let mut text = String::new();
    for name in CAPTURES {
        let path = test_path("captures").join(format!("{name}.plc"));
        let path = path.to_str().unwrap();
        let commands: [&[&str]; 5] = [
            &["replay", path, "--json"],
            &["replay", "--diff", path, "--json"],
            &["stats", path, "--json"],
            &["explain", path, "--refused", "--most", "3", "--json"],
            &["explain", path, "--sender", "1", "--most", "3", "--json"],
        ];
        for command in commands {
            let arguments: Vec<&str> = command
                .iter()
                .copied()
                .filter(|argument| *argument != path)
                .collect();
            text.push_str(&format!(
                "# {name}: {}\n{}",
                arguments.join(" "),
                run_tool_json(command)
            ));
        }
    }
    text.push_str(&run_tool_json(&["digest", "k", "--json"]));
    pipitlever_test_fixtures::assert_text(test_path("fixtures/json.txt"), &text);
}
