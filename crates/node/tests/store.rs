//! The store in the node: both backends, the way out, a capture of a start that brought keys over.

mod common;

use common::*;
use pipitlever_idempotency_store::disk::StoreDirectory;
use pipitlever_idempotency_store::log::{LogContents, SegmentFiles};
use pipitlever_idempotency_store::record::Outcome;
use pipitlever_idempotency_store::recovery::RecoveredKey;
use serde_json::json;

/// The store of a test.
trait Stored {
    /// The operator's file's section.
    fn section(&self) -> String;
    /// What the next process would find.
    fn keys(&self) -> Vec<RecoveredKey>;
}

impl Stored for ScratchDirectory {
    fn section(&self) -> String {
        format!(
            "[store]\nfolder = {:?}\nmax_mb = 4\n",
            self.0.to_str().unwrap()
        )
    }

    fn keys(&self) -> Vec<RecoveredKey> {
        let mut disk = StoreDirectory::open_read_only(&self.0).unwrap();
        let contents = LogContents::read(&mut disk).unwrap();
        assert_eq!(contents.damage, []);
        let now = disk.clocks();
        contents.into_keys(&now)
    }
}

/// A drain with a run under way: it is answered, its outcome is on the disk before the process
/// ends, and the next process tells it.
#[test]
fn a_drain_leaves_nothing_open() {
    let scratch = ScratchDirectory::new("drain");
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(parties.clone(), Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
    let (id, _) = processor.begin();
    let [RecoveredKey {
        intent,
        outcome: None,
        ..
    }] = &scratch.keys()[..]
    else {
        panic!("an intent alone")
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
        scratch.keys()[0].outcome,
        Some(Outcome::Served(b"done".to_vec()))
    );
    let node = Node::start(parties, Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    // Another body is its client's error, over the restart, too.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"another"));
    assert_eq!(gateway.receive()["error"]["code"], -32602);
}

/// A run that a worker has is as much a run: its response is told again, byte for byte, and what a
/// worker had in hand when the process died fails.
#[test]
fn runs_of_workers_are_remembered() {
    let scratch = ScratchDirectory::new("workers");
    let worker = Worker::new();
    let text = uwsgi_operator_file(Some(worker.address()), "workers") + &scratch.section();
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(parties.clone(), Some(&text));
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
    let _half = node.uwsgi_client(&packet(
        "/swap",
        &[("HTTP_IDEMPOTENCY_KEY", "half")],
        b"body",
    ));
    let (_held, _) = worker.accept();
    node.signal("-KILL");
    node.wait();
    let mut keys = scratch.keys();
    keys.sort_by(|a, b| a.intent.key.cmp(&b.intent.key));
    let kept: Vec<_> = keys
        .iter()
        .map(|k| (k.intent.key.as_str(), k.outcome.clone()))
        .collect();
    assert_eq!(
        kept,
        [
            ("half", None),
            ("k", Some(Outcome::Served(response.to_vec())))
        ]
    );
    let node = Node::start(parties, Some(&text));
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
        .expect("when to come back")
        .1;
    let seconds: u64 = seconds.split_once('\r').unwrap().0.parse().unwrap();
    assert!(status == 502 && (1..=21).contains(&seconds), "{text}");
    // On the other front the same run's body.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"body"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"made"));
    worker.0.set_nonblocking(true).unwrap();
    assert!(worker.0.accept().is_err(), "a worker got it a second time");
}

/// A request's name that another's run under way has is its client's error: its end would be taken
/// for the other's.
#[test]
fn a_name_in_use_is_refused_over_the_restart() {
    let scratch = ScratchDirectory::new("names");
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(parties.clone(), Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    let first = request_params(5000, Some("k"), b"body");
    gateway.send("swap-confirm", first.clone());
    let (id, _) = processor.begin();
    node.signal("-KILL");
    node.wait();
    let node = Node::start(parties, Some(&scratch.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    let mut other = request_params(5000, Some("other"), b"else");
    other["ref"] = first["ref"].clone();
    gateway.send("swap-confirm", other);
    assert_eq!(gateway.receive()["error"]["code"], -32602);
    // The end of the run that goes on is told to the first one's repeats, and its name is free
    // again.
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
