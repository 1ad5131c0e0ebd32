//! Runs the adapter with valid and invalid input, and with restarts of instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings that include unknown fields, which the adapter has to ignore.
const SETTINGS: &str = r#"{"categories":[{"name":"read","target":1000000,"deadline":4000000,
"idempotency":"free","worth":1,"lateWorth":0,"memorySpan":0,"unknownNumber":3}],"familyInfo":{"below":"silent",
"blowup":4,"cpus":2,"heapKb":10000,"keyKb":1,"say":"silent","stopMode":"abort","passesDeadline":true},
"safety":{"answerSlack":60000,"coldFrom":1,"drainGrace":1000000,"tipAfter":2000000,"tipMultiple":8},
"unknownObject":{"of":1}}"#;

const NO_STEPS: &str = r#"{"steps":[]}"#;

/// Runs the adapter with these lines of input.
fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pipitlever-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    for line in lines {
        // The adapter may have exited on an earlier line; the tests examine its output.
        let _ = writeln!(input, "{}", line.replace('\n', ""));
    }
    drop(input);
    child
        .wait_with_output()
        .expect("the output can be collected")
}

/// Runs the adapter with valid input and returns its replies.
fn run_valid(lines: &[String]) -> Vec<String> {
    let output = run_adapter(lines);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    text.lines().map(str::to_owned).collect()
}

/// Runs the adapter with invalid input and returns its error message.
fn error_message(lines: &[String]) -> String {
    let output = run_adapter(lines);
    assert!(!output.status.success());
    String::from_utf8(output.stderr).expect("the output is UTF-8")
}

fn new_instance(server: &str) -> String {
    format!(r#"{{"type":"newInstance","who":"{server}","prng":7,"config":{SETTINGS}}}"#)
}

/// A request that includes an unknown field, which the adapter has to ignore.
fn work_item(server: &str, request: &str) -> String {
    format!(
        r#"{{"type":"workItem","who":"{server}","opId":"{request}","service":"read","memKb":10,"precedence":0.5,
"expiresIn":900000,"unknownList":[1]}}"#
    )
}

fn batch(now: u64, items: &[String]) -> String {
    format!(r#"{{"t":{now},"items":[{}]}}"#, items.join(","))
}

#[test]
fn each_batch_gets_one_reply_line() {
    let replies = run_valid(&[
        batch(1, &[]),
        batch(2, &[new_instance("server-1")]),
        batch(3, &[work_item("server-1", "a"), work_item("server-1", "b")]),
    ]);
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0], NO_STEPS);
    assert!(replies[1].contains(r#""type":"readiness","enable":true,"cached":true"#));
    assert!(
        replies[2].contains(r#"{"who":"server-1","type":"start","opId":"a"}"#),
        "{}",
        replies[2]
    );
}

#[test]
fn a_restart_within_a_batch_drops_the_earlier_instance() {
    let stop = r#"{"type":"stop","who":"server-1"}"#.to_string();
    let wakeup = r#"{"type":"wakeup","who":"server-1","ref":0,"load":{"core_use":1}}"#.to_string();
    let replies = run_valid(&[
        batch(2, &[new_instance("server-1"), work_item("server-1", "a")]),
        batch(
            3,
            &[stop, new_instance("server-1"), work_item("server-1", "b")],
        ),
        batch(2_000_000, &[wakeup]),
    ]);
    assert!(replies[1].contains(r#""type":"start","opId":"b""#));
    assert!(!replies[2].contains(r#""opId":"a""#));
    assert!(replies[2].contains(r#""opId":"b""#));
}

#[test]
fn invalid_input_is_reported_in_one_line_and_ends_the_adapter() {
    let unknown_kind = r#"{"type":"unknown","who":"server-1"}"#.to_string();
    let unknown_keyword = new_instance("server-1").replace("\"free\"", "\"unknown\"");
    let invalid = [
        "{\"t\":1,\"items\":[".to_string(),
        batch(1, &[unknown_kind]),
        batch(1, &[work_item("server-9", "a")]),
        batch(1, &[unknown_keyword]),
        "[]".to_string(),
    ];
    for line in invalid {
        let output = run_adapter(&[batch(1, &[]), line.clone()]);
        assert!(!output.status.success(), "{line}");
        let replies = String::from_utf8(output.stdout).expect("the output is UTF-8");
        assert_eq!(replies, format!("{NO_STEPS}\n"), "no partial reply");
        let error = String::from_utf8(output.stderr).expect("the output is UTF-8");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("pipitlever-adapter: line 2: "), "{error}");
    }
}

#[test]
fn a_large_batch_is_answered() {
    let items: Vec<String> = (0..20_000)
        .map(|i| work_item("server-1", &format!("r{i}")))
        .collect();
    let replies = run_valid(&[batch(1, &[new_instance("server-1")]), batch(2, &items)]);
    assert_eq!(replies.len(), 2);
}

#[test]
fn events_of_requests_that_ended_and_were_released_have_no_effect() {
    let finished =
        r#"{"type":"finished","who":"server-1","opId":"a","costTime":5,"result":"done"}"#;
    let lapsed = r#"{"type":"lapsed","who":"server-1","opId":"a"}"#;
    let duplicate = work_item("server-1", "b").replace("\"memKb\"", "\"sameAs\":\"a\",\"memKb\"");
    let replies = run_valid(&[
        batch(1, &[new_instance("server-1"), work_item("server-1", "a")]),
        batch(6, &[finished.to_string()]),
        batch(7, &[lapsed.to_string(), finished.to_string()]),
        batch(8, &[duplicate]),
    ]);
    assert_eq!(replies[1..3], [NO_STEPS, NO_STEPS]);
    assert!(
        replies[3].contains(r#""type":"echo","opId":"b""#),
        "{}",
        replies[3]
    );
}

#[test]
fn a_missing_field_is_named() {
    let item = r#"{"type":"finished","who":"server-1","opId":"a","result":"done"}"#;
    let error = error_message(&[
        batch(1, &[new_instance("server-1")]),
        batch(2, &[item.to_string()]),
    ]);
    assert!(error.starts_with("pipitlever-adapter: line 2: "), "{error}");
    assert!(error.contains("costTime"), "{error}");
}
