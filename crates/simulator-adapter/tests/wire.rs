//! Drives the binary: good input, bad input, restarts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIG: &str = r#"{"categories":[{"name":"read","target":1000000,"deadline":4000000,
"idempotency":"free","worth":1,"lateWorth":0,"memorySpan":0,"novel":3}],"familyInfo":{"below":"silent",
"blowup":4,"cpus":2,"heapKb":10000,"keyKb":1,"say":"silent","stopMode":"abort","passesDeadline":true},
"safety":{"answerSlack":60000,"coldFrom":1,"drainGrace":1000000,"tipAfter":2000000,"tipMultiple":8},
"unheard":{"of":1}}"#;

fn host(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pipitlever-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // The host may have ended on an earlier line; what it said is looked at below.
        let _ = writeln!(input, "{}", line.replace('\n', ""));
    }
    drop(input);
    child.wait_with_output().expect("ends")
}

fn start(who: &str) -> String {
    format!(r#"{{"type":"newInstance","who":"{who}","prng":7,"config":{CONFIG}}}"#)
}

fn work(who: &str, id: &str) -> String {
    format!(
        r#"{{"type":"workItem","who":"{who}","opId":"{id}","service":"read","memKb":10,"precedence":0.5,
"expiresIn":900000,"strange":[1]}}"#
    )
}

fn batch(t: u64, items: &[String]) -> String {
    format!(r#"{{"t":{t},"items":[{}]}}"#, items.join(","))
}

#[test]
fn a_batch_gets_one_reply_line() {
    let lines = [
        batch(1, &[]),
        batch(2, &[start("server-1")]),
        batch(3, &[work("server-1", "a"), work("server-1", "b")]),
    ];
    let out = host(&lines);
    assert!(out.status.success());
    let replies: Vec<&str> = std::str::from_utf8(&out.stdout)
        .expect("text")
        .lines()
        .collect();
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0], r#"{"steps":[]}"#);
    assert!(replies[1].contains(r#""type":"readiness","enable":true,"cached":true"#));
    assert!(
        replies[2].contains(r#"{"who":"server-1","type":"start","opId":"a"}"#),
        "{}",
        replies[2]
    );
}

#[test]
fn a_restart_in_one_batch_forgets_the_earlier_life() {
    let stop = r#"{"type":"stop","who":"server-1"}"#.to_string();
    let lines = [
        batch(2, &[start("server-1"), work("server-1", "a")]),
        batch(3, &[stop, start("server-1"), work("server-1", "b")]),
        batch(
            2_000_000,
            &[r#"{"type":"wakeup","who":"server-1","ref":0,"load":{"core_use":1}}"#.to_string()],
        ),
    ];
    let out = host(&lines);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("text");
    let replies: Vec<&str> = text.lines().collect();
    assert!(replies[1].contains(r#""type":"start","opId":"b""#));
    assert!(!replies[2].contains(r#""opId":"a""#) && replies[2].contains(r#""opId":"b""#));
}

#[test]
fn bad_input_is_named_in_one_line_and_ends_the_host() {
    let bad = [
        "{\"t\":1,\"items\":[".to_string(),
        batch(1, &[r#"{"type":"novelty","who":"server-1"}"#.to_string()]),
        batch(1, &[work("server-9", "a")]),
        batch(1, &[start("server-1").replace("\"free\"", "\"whim\"")]),
        "[]".to_string(),
    ];
    for line in bad {
        let out = host(&[batch(1, &[]), line.clone()]);
        assert!(!out.status.success(), "{line}");
        assert_eq!(out.stdout, b"{\"steps\":[]}\n", "no partial reply");
        let error = String::from_utf8(out.stderr).expect("text");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("pipitlever-adapter: line 2: "), "{error}");
    }
}

#[test]
fn a_large_batch_is_answered() {
    let items: Vec<String> = (0..20_000)
        .map(|i| work("server-1", &format!("r{i}")))
        .collect();
    let out = host(&[batch(1, &[start("server-1")]), batch(2, &items)]);
    assert!(out.status.success());
    assert_eq!(
        String::from_utf8(out.stdout).expect("text").lines().count(),
        2
    );
}

#[test]
fn events_on_requests_that_ended_and_were_freed_are_harmless() {
    let finished =
        r#"{"type":"finished","who":"server-1","opId":"a","costTime":5,"result":"done"}"#;
    let lapsed = r#"{"type":"lapsed","who":"server-1","opId":"a"}"#;
    let repeat = work("server-1", "b").replace("\"memKb\"", "\"sameAs\":\"a\",\"memKb\"");
    let lines = [
        batch(1, &[start("server-1"), work("server-1", "a")]),
        batch(6, &[finished.to_string()]),
        batch(7, &[lapsed.to_string(), finished.to_string()]),
        batch(8, &[repeat]),
    ];
    let out = host(&lines);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let text = String::from_utf8(out.stdout).expect("text");
    let replies: Vec<&str> = text.lines().collect();
    assert_eq!(replies[1..3], [r#"{"steps":[]}"#, r#"{"steps":[]}"#]);
    assert!(
        replies[3].contains(r#""type":"echo","opId":"b""#),
        "{}",
        replies[3]
    );
}

#[test]
fn a_missing_field_is_named() {
    let item = r#"{"type":"finished","who":"server-1","opId":"a","result":"done"}"#;
    let out = host(&[
        batch(1, &[start("server-1")]),
        batch(2, &[item.to_string()]),
    ]);
    assert!(!out.status.success());
    let error = String::from_utf8(out.stderr).expect("text");
    assert!(
        error.starts_with("pipitlever-adapter: line 2: ") && error.contains("costTime"),
        "{error}"
    );
}
