//! The idempotency store in a node process, over a graceful shutdown and over kills, with runs of
//! the processor and of uwsgi workers.

mod common;

use common::*;
use pipitlever_idempotency_store::disk::StoreDirectory;
use pipitlever_idempotency_store::log::{LogContents, SegmentFiles};
use pipitlever_idempotency_store::record::Outcome;
use pipitlever_idempotency_store::recovery::RecoveredKey;
use serde_json::json;
use std::time::{Duration, Instant};

/// The store in a test's folder.
trait StoreFolder {
    /// The `[store]` section of the operator's file.
    fn section(&self) -> String;
    /// The keys that the next process would recover.
    fn recovered_keys(&self) -> Vec<RecoveredKey>;
}

impl StoreFolder for ScratchDirectory {
    fn section(&self) -> String {
        format!(
            "[store]\nfolder = {:?}\nmax_mb = 4\n",
            self.0.to_str().unwrap()
        )
    }

    fn recovered_keys(&self) -> Vec<RecoveredKey> {
        let mut disk = StoreDirectory::open_read_only(&self.0).unwrap();
        let contents = LogContents::read(&mut disk).unwrap();
        assert_eq!(contents.damage, []);
        let now = disk.clocks();
        contents.into_keys(&now)
    }
}

/// A run in flight during a drain is answered, and its outcome is on the disk before the process
/// ends: the next process answers a duplicate with it.
#[test]
fn a_drain_stores_the_outcomes_of_runs_in_flight() {
    let scratch = ScratchDirectory::new("drain");
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(entries.clone(), Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
    let (id, _) = processor.begin();
    let [RecoveredKey {
        intent,
        outcome: None,
        ..
    }] = &scratch.recovered_keys()[..]
    else {
        panic!("not a single intent without an outcome")
    };
    assert_eq!(
        (intent.key.as_str(), intent.class.as_str()),
        ("k", "swap-confirm")
    );
    node.signal("-TERM");
    assert_eq!(gateway.receive()["method"], "goaway");
    processor.complete(&id, "fine", b"done");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    assert!(node.wait().success());
    assert_eq!(
        scratch.recovered_keys()[0].outcome,
        Some(Outcome::Served(b"done".to_vec()))
    );
    let node = Node::start(entries, Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    // The same key with another body is the client's error after the restart, too.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"another"));
    assert_eq!(gateway.receive()["error"]["code"], -32602);
}

/// Runs of uwsgi workers are stored, too: a duplicate gets the same response, byte for byte, and a
/// run that was in flight when the process was killed fails.
#[test]
fn outcomes_of_worker_runs_are_stored() {
    let scratch = ScratchDirectory::new("workers");
    let worker = Worker::new();
    let text = uwsgi_operator_file(Some(worker.address()), "workers") + &scratch.section();
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(entries.clone(), Some(&text));
    processor.accept_running();
    node.ready();
    let key = [("HTTP_IDEMPOTENCY_KEY", "k")];
    let client = node.uwsgi_client(&packet("/swap", &key, b"body"));
    let (mut stream, _) = worker.accept();
    let response = b"HTTP/1.1 201 Made\r\nX-Odd: \xff\r\nContent-Length: 4\r\n\r\nmade";
    std::io::Write::write_all(&mut stream, response).unwrap();
    drop(stream);
    let first = self::read_response(client);
    assert_eq!(first.0, 201);
    let _interrupted = node.uwsgi_client(&packet(
        "/swap",
        &[("HTTP_IDEMPOTENCY_KEY", "half")],
        b"body",
    ));
    let (_in_flight, _) = worker.accept();
    node.signal("-KILL");
    node.wait();
    let mut keys = scratch.recovered_keys();
    keys.sort_by(|a, b| a.intent.key.cmp(&b.intent.key));
    let outcomes: Vec<_> = keys
        .iter()
        .map(|k| (k.intent.key.as_str(), k.outcome.clone()))
        .collect();
    assert_eq!(
        outcomes,
        [
            ("half", None),
            ("k", Some(Outcome::Served(response.to_vec())))
        ]
    );
    let node = Node::start(entries, Some(&text));
    processor.accept_running();
    let mut gateway = node.ready();
    assert_eq!(node.uwsgi_request(&packet("/swap", &key, b"body")), first);
    let (status, text) = node.uwsgi_request(&packet(
        "/swap",
        &[("HTTP_IDEMPOTENCY_KEY", "half")],
        b"body",
    ));
    let seconds = text
        .split_once("Retry-After: ")
        .expect("a Retry-After header")
        .1;
    let seconds: u64 = seconds.split_once('\r').unwrap().0.parse().unwrap();
    assert!(status == 502 && (1..=21).contains(&seconds), "{text}");
    // A gateway gets the body of the same run.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"made"));
    worker.0.set_nonblocking(true).unwrap();
    assert!(
        worker.0.accept().is_err(),
        "a worker got the request a second time"
    );
}

/// A request whose reference belongs to another run in flight is the client's error: the end of one
/// run would be taken for the other's.
#[test]
fn a_reference_in_use_is_rejected_after_the_restart() {
    let scratch = ScratchDirectory::new("references");
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(entries.clone(), Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    let first = request_params(5000, Some("k"), b"body");
    gateway.send("swap-confirm", first.clone());
    let (id, _) = processor.begin();
    node.signal("-KILL");
    node.wait();
    let node = Node::start(entries, Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    let mut other = request_params(5000, Some("other"), b"else");
    other["ref"] = first["ref"].clone();
    gateway.send("swap-confirm", other);
    assert_eq!(gateway.receive()["error"]["code"], -32602);
    // Duplicates of the first request get the outcome of the run that went on, and its reference
    // may be used again.
    processor.complete(&id, "fine", b"done");
    loop {
        gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
        let answer = gateway.receive();
        if answer["result"].is_object() {
            assert_eq!(answer["result"]["doc"], base64(b"done"));
            break;
        }
        assert_eq!(answer["error"]["code"], -32001, "{answer}");
    }
}

/// Guards against a second run of a key after a restart whose configuration has a longer window,
/// and after a reload with one and a kill.
#[test]
fn a_window_that_became_longer_outlasts_a_kill() {
    const WINDOW_MS: u64 = 300;
    for has_reload in [false, true] {
        let scratch = ScratchDirectory::new("longer-window");
        let mut settings = configuration(&json!({}))["settings"].clone();
        settings["categories"][1]["memorySpan"] = json!(WINDOW_MS * 1000);
        let mut processor = Processor::new();
        let address = processor.address().to_string();
        let entries = json!({"processor": address, "settings": settings});
        let mut node = Node::start(entries, Some(&scratch.section()));
        processor.accept_running();
        let mut gateway = node.ready();
        gateway.send("swap-confirm", request_params(250, Some("k"), b"body"));
        let (id, _) = processor.begin();
        processor.complete(&id, "fine", b"once");
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
        let ran_at = Instant::now();
        let is_ended = |key: &RecoveredKey| key.outcome.is_some();
        while !scratch.recovered_keys().iter().any(is_ended) {
            std::thread::sleep(Duration::from_millis(5));
        }
        settings["categories"][1]["memorySpan"] = json!(20_000_000);
        if has_reload {
            node.reload(json!({"settings": settings}));
            assert_eq!(node.wait_for_line("reload: "), "reload: done");
        }
        node.signal("-KILL");
        node.wait();
        let entries = json!({"processor": address, "settings": settings});
        let node = Node::start(entries, Some(&scratch.section()));
        processor.accept_running();
        let mut gateway = node.ready();
        std::thread::sleep(Duration::from_millis(2 * WINDOW_MS).saturating_sub(ran_at.elapsed()));
        gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    }
}
