//! Runs the commands as processes on captures of past failures and edge cases.

use parquet::file::reader::{FileReader, SerializedFileReader};
use pipitlever_admission::{Action, Controller};
use pipitlever_capture::record::{encode, Record, SegmentHeader};
use pipitlever_capture::segment::{RecordAt, SegmentReader, SegmentWriter};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn captures_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/captures")
}

fn capture_path(name: &str) -> PathBuf {
    captures_directory().join(format!("{name}.plc"))
}

/// The exit code and the outputs of a command.
#[derive(Debug)]
struct ToolOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

fn run_tool(args: &[&str]) -> ToolOutput {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(env!("CARGO_BIN_EXE_pipitlever-capture"))
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    ToolOutput {
        code: status.code().expect("not ended by a signal"),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

fn run_tool_json(args: &[&str]) -> Value {
    let ToolOutput {
        code,
        stdout,
        stderr,
    } = run_tool(&[args, &["--json"]].concat());
    assert!(code < 2, "{args:?}: {code} {stdout} {stderr}");
    serde_json::from_str(&stdout).unwrap_or_else(|error| panic!("{error}: {stdout}"))
}

/// Writes a file to the temporary directory.
fn write_temporary_file(name: &str, bytes: &[u8]) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("pipitlever-capture-{}-{name}", std::process::id()));
    std::fs::write(&path, bytes).unwrap();
    path
}

#[test]
fn every_capture_replays_to_identical_decisions() {
    // The capture, whether it is truncated, and a part of its timelines.
    let cases = [
        ("gone-after-the-end", false, "nobody awaits #1"),
        ("one-swap", false, "answer: served, 15 bytes; its run's end"),
        ("drain-with-held", false, "notice to leave"),
        ("cut-in-mid-drain", true, "notice to leave"),
        (
            "key-repeated-while-it-runs",
            false,
            "the outcome of the try that it repeats",
        ),
        (
            "keys-brought-over",
            false,
            "the outcome of the try that it repeats",
        ),
        ("link-break", false, "the processor rejected it"),
        ("tier-jams", false, "because its call ended: in an error"),
        ("cold-successor", false, "decided: refuse"),
        (
            "burst-into-discard",
            false,
            "the line to start was in discard and takes none",
        ),
        (
            "switched-on-later",
            false,
            "in memory when this part of the capture begins",
        ),
    ];
    let count = std::fs::read_dir(captures_directory()).unwrap().count();
    assert_eq!(count, cases.len(), "every capture needs a case");
    for (name, is_truncated, expected) in cases {
        let path = capture_path(name);
        assert!(path.metadata().unwrap().len() < 300 << 10, "{name}");
        let path = path.to_str().unwrap();
        for _ in 0..2 {
            let ToolOutput {
                code,
                stdout,
                stderr,
            } = run_tool(&["replay", path]);
            assert!(
                code == 0 && stdout.contains("identical"),
                "{name}: {code} {stdout} {stderr}"
            );
            assert_eq!(stdout.contains("cut: "), is_truncated, "{name}: {stdout}");
        }
        let ToolOutput {
            code,
            stdout,
            stderr,
        } = run_tool(&["replay", "--diff", path]);
        assert!(
            code == 0 && stdout.contains("identical"),
            "{name}: {code} {stdout} {stderr}"
        );
        let timelines = all_timelines(path);
        assert!(timelines.contains(expected), "{name}: {timelines}");
    }
}

/// The timelines of the first six and the last six requests, each selected by its `ref`.
fn all_timelines(path: &str) -> String {
    let bytes = std::fs::read(path).unwrap();
    let mut reader = SegmentReader::open(&bytes).unwrap();
    let mut references: Vec<u64> = reader
        .header()
        .unwrap()
        .identities
        .iter()
        .map(|identity| identity.reference)
        .collect();
    while let Some(RecordAt { record, .. }) = reader.next_record().unwrap() {
        match record {
            Record::Identity(identity) => references.push(identity.reference),
            Record::Answer { reference, .. } => references.push(reference),
            Record::Step { .. } => {}
        }
    }
    references.sort_unstable();
    references.dedup();
    let last = references
        .split_off(references.len().min(6))
        .into_iter()
        .rev()
        .take(6);
    references.extend(last.collect::<Vec<_>>());
    let timeline =
        |reference: &u64| run_tool(&["explain", path, "--ref", &format!("{reference:x}")]).stdout;
    references.iter().map(timeline).collect()
}

#[test]
fn every_rejection_and_failure_has_a_reason() {
    for file in std::fs::read_dir(captures_directory()).unwrap() {
        let path = file.unwrap().path();
        let path = path.to_str().unwrap();
        let output = run_tool_json(&["explain", path, "--refused", "--failed", "--most", "10000"]);
        for request in output["requests"].as_array().unwrap() {
            let reason = request["reason"]
                .as_str()
                .unwrap_or_else(|| panic!("{path}: {request}"));
            assert!(reason.len() > 10, "{path}: {reason}");
        }
        let stats = run_tool_json(&["stats", path]);
        let count = |outcome: &str| -> u64 {
            let classes = stats["classes"].as_object().unwrap().values();
            classes
                .filter_map(|class| class["outcomes"][outcome].as_u64())
                .sum()
        };
        assert_eq!(
            output["found"].as_u64(),
            Some(count("refused") + count("failed")),
            "{path}"
        );
        let seconds = stats["seconds"].as_array().unwrap().iter();
        let by_second: u64 = seconds
            .filter_map(|second| second["outcomes"]["refused"].as_u64())
            .sum();
        assert_eq!(by_second, count("refused"), "{path}");
    }
}

/// Returns a copy of a capture whose start and records are modified.
fn rewrite_capture(
    name: &str,
    start: impl FnOnce(&SegmentHeader, Controller) -> (SegmentHeader, Controller),
    mut change: impl FnMut(u64, &mut Record),
) -> Vec<u8> {
    let bytes = std::fs::read(capture_path(name)).unwrap();
    let mut reader = SegmentReader::open(&bytes).unwrap();
    let (header, controller) = start(reader.header().unwrap(), reader.controller().unwrap());
    let mut out = Vec::new();
    let mut writer = SegmentWriter::open(&header, &controller, &mut out);
    let mut steps = 0;
    while let Some(RecordAt { mut record, .. }) = reader.next_record().unwrap() {
        steps += u64::from(matches!(record, Record::Step { .. }));
        change(steps, &mut record);
        let mut bytes = Vec::new();
        encode(&record, &mut bytes);
        writer.append_records(&bytes, &mut out);
    }
    writer.append_end(pipitlever_capture::record::End::Last(0), &mut out);
    out
}

fn unchanged_start(header: &SegmentHeader, controller: Controller) -> (SegmentHeader, Controller) {
    (header.clone(), controller)
}

#[test]
fn the_first_difference_is_printed_with_the_steps_before_it() {
    let bytes = rewrite_capture("burst-into-discard", unchanged_start, |step, record| {
        if let (30, Record::Step { actions, .. }) = (step, record) {
            actions.to_mut().push(Action::Backpressure(0.25));
        }
    });
    let path = write_temporary_file("different.plc", &bytes);
    let path = path.to_str().unwrap();
    let ToolOutput { code, stdout, .. } = run_tool(&["replay", path]);
    assert_eq!(code, 1, "{stdout}");
    for expected in [
        "different: step 30 ",
        "recorded:      level 0.2500",
        "this build:    no further action",
        "earlier:       step 29",
    ] {
        assert!(stdout.contains(expected), "{expected}: {stdout}");
    }
    let output = run_tool_json(&["replay", path]);
    assert_eq!(
        (&output["verdict"], &output["difference"]["step"]),
        (&"different".into(), &30.into())
    );
    let comparison = run_tool_json(&["replay", "--diff", path]);
    assert_eq!(comparison["different_steps"], 1, "{comparison}");
}

#[test]
fn a_changed_controller_is_compared_over_the_whole_capture() {
    // Settings with half the cores simulate a build whose controller decides differently.
    let fewer_cores = |header: &SegmentHeader, _| {
        let mut header = header.clone();
        header.settings.cores = 3.0;
        let controller = Controller::new(header.settings.clone(), header.seed);
        (header, controller)
    };
    let bytes = rewrite_capture("burst-into-discard", fewer_cores, |_, _| {});
    let path = write_temporary_file("fewer.plc", &bytes);
    let path = path.to_str().unwrap();
    assert_eq!(run_tool(&["replay", path]).code, 1);
    let ToolOutput { code, stdout, .. } = run_tool(&["replay", "--diff", path]);
    assert_eq!(code, 1, "{stdout}");
    assert!(stdout.contains("this build"), "{stdout}");
    let comparison = run_tool_json(&["replay", "--diff", path]);
    let class = &comparison["classes"]["rota-view"];
    let count = |side: &str, decision: &str| class[side][decision].as_u64().unwrap();
    // The changed controller starts fewer requests. Every request has one decision on each side.
    for side in ["capture", "this_build"] {
        let decisions =
            ["open", "ran", "refused", "failed", "joined"].map(|decision| count(side, decision));
        assert_eq!(
            decisions.iter().sum::<u64>(),
            class["requests"].as_u64().unwrap(),
            "{side}: {class}"
        );
    }
    assert!(
        count("this_build", "ran") < count("capture", "ran"),
        "{class}"
    );
    assert!(
        count("this_build", "refused") > count("capture", "refused"),
        "{class}"
    );
}

#[test]
fn unreadable_captures_are_reported_with_file_and_offset() {
    let bytes = std::fs::read(capture_path("drain-with-held")).unwrap();
    let end = bytes.len();
    let with_flipped_bit = |at: usize| {
        let mut bytes = bytes.clone();
        bytes[at] ^= 4;
        bytes
    };
    // The bytes, the exit code, and a part of the output.
    let cases = [
        (bytes[..end - 1].to_vec(), 0, "cut: "),
        (bytes[..end / 2].to_vec(), 0, "cut: "),
        (bytes[..40].to_vec(), 0, "at offset 16"),
        (bytes[..5].to_vec(), 0, "at offset 0"),
        (Vec::new(), 0, "at offset 0"),
        (with_flipped_bit(3), 2, "offset 0: this is no capture"),
        (with_flipped_bit(9), 2, "offset 8: damaged"),
        (with_flipped_bit(40), 2, "offset 16: damaged"),
        (with_flipped_bit(end - 30), 2, ": damaged"),
        (with_flipped_bit(end - 1), 2, ": damaged"),
        (b"{\"name\":\"n1\"}".to_vec(), 2, "this is no capture"),
    ];
    for (index, (bytes, expected_code, expected)) in cases.into_iter().enumerate() {
        let path = write_temporary_file(&format!("unreadable-{index}.plc"), &bytes);
        let ToolOutput {
            code,
            stdout,
            stderr,
        } = run_tool(&["replay", path.to_str().unwrap()]);
        assert_eq!(code, expected_code, "{index}: {stdout} {stderr}");
        let message = if code == 2 { stderr } else { stdout };
        assert!(
            message.contains(expected) && message.contains(path.to_str().unwrap()),
            "{index}: {message}"
        );
    }
    // Damage at many offsets of a longer capture.
    let long_capture = std::fs::read(capture_path("burst-into-discard")).unwrap();
    for at in (16..long_capture.len()).step_by(997) {
        let mut damaged = long_capture.clone();
        damaged[at] ^= 1;
        let path = write_temporary_file("flipped.plc", &damaged);
        let ToolOutput {
            code,
            stdout,
            stderr,
        } = run_tool(&["replay", path.to_str().unwrap()]);
        assert!(
            code == 2 && stderr.contains("offset "),
            "{at}: {code} {stdout} {stderr}"
        );
    }
}

#[test]
fn a_folder_is_replayed_run_by_run() {
    let output = run_tool_json(&["replay", captures_directory().to_str().unwrap()]);
    let count = std::fs::read_dir(captures_directory()).unwrap().count();
    assert_eq!(
        (&output["verdict"], &output["segments"]),
        (&"identical".into(), &count.into())
    );
    assert_eq!(output["cut"].as_array().map(Vec::len), Some(1));
}

#[test]
fn requests_and_steps_are_exported_as_tables() {
    let path = capture_path("burst-into-discard");
    let output_path = std::env::temp_dir().join(format!(
        "pipitlever-capture-{}-burst.parquet",
        std::process::id()
    ));
    let output = run_tool_json(&[
        "export",
        path.to_str().unwrap(),
        "--parquet",
        output_path.to_str().unwrap(),
    ]);
    let steps_path = output_path.with_file_name(format!(
        "pipitlever-capture-{}-burst-steps.parquet",
        std::process::id()
    ));
    let stats = run_tool_json(&["stats", path.to_str().unwrap()]);
    let rejected = stats["classes"]["rota-view"]["outcomes"]["refused"]
        .as_u64()
        .unwrap();
    let requests = SerializedFileReader::new(std::fs::File::open(&output_path).unwrap()).unwrap();
    let rows: Vec<String> = requests
        .get_row_iter(None)
        .unwrap()
        .map(|row| row.unwrap().to_string())
        .collect();
    assert_eq!(output["request_rows"].as_u64(), Some(rows.len() as u64));
    let count_rows = |column: &str| rows.iter().filter(|row| row.contains(column)).count() as u64;
    assert_eq!(count_rows("outcome: \"refused\""), rejected, "{}", rows[0]);
    assert!(
        count_rows("cause: \"line-discard\"") > 0
            && count_rows("answered_by: \"module\"") >= rejected,
        "{}",
        rows[0]
    );
    let steps = SerializedFileReader::new(std::fs::File::open(steps_path).unwrap()).unwrap();
    let count = steps.metadata().file_metadata().num_rows() as u64;
    assert_eq!(
        (output["step_rows"].as_u64(), output["steps"].as_u64()),
        (Some(count), Some(count))
    );
}

#[test]
fn errors_of_the_command_line_are_reported() {
    let path = capture_path("one-swap");
    let path = path.to_str().unwrap();
    let key = "9c9cc252d58b4571";
    // The arguments, the exit code, and parts of the output and of the errors.
    let cases: [(&[&str], i32, &str, &str); 13] = [
        (&[], 0, "pipitlever-capture replay PATH", ""),
        (
            &["version"],
            0,
            concat!("pipitlever-capture ", env!("CARGO_PKG_VERSION")),
            "",
        ),
        (&["digest", "k"], 0, key, ""),
        (&["replay"], 3, "", "replay: exactly one PATH is required"),
        (&["replay", "/no/such/file"], 2, "", "/no/such/file: "),
        (
            &["replay", env!("CARGO_MANIFEST_DIR")],
            2,
            "",
            "the folder contains no capture",
        ),
        (&["leap", "x"], 3, "", "no command 'leap'"),
        (&["explain", path], 3, "", "explain: a filter is required"),
        (
            &["explain", path, "--ref", "xyz"],
            3,
            "",
            "'xyz' is not a hexadecimal number",
        ),
        (
            &["explain", path, "--key", "another"],
            1,
            "no such request",
            "",
        ),
        (
            &["explain", path, "--sender", "4"],
            0,
            "swap-confirm on n1",
            "",
        ),
        (&["export", path], 3, "", "--parquet FILE"),
        (
            &["export", path, "--parquet", "/no/such/folder/x.parquet"],
            3,
            "",
            "/no/such/folder/x.parquet: ",
        ),
    ];
    for (args, code, expected_stdout, expected_stderr) in cases {
        let output = run_tool(args);
        assert_eq!(output.code, code, "{args:?}: {output:?}");
        assert!(
            output.stdout.contains(expected_stdout) && output.stderr.contains(expected_stderr),
            "{args:?}: {output:?}"
        );
    }
}
