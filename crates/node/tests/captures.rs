//! Captures written by a node process, in past failures and difficult cases: each capture has to
//! replay to the same decisions.
//!
//! With PIPITLEVER_RECORD=FOLDER each test copies its capture there; lab/tests/captures holds the
//! captures recorded at the last intended change of the admission controller's decisions.

mod common;

use common::*;
use pipitlever_admission::{Action, Cause, Event, Mode, Outcome};
use pipitlever_capture::record::{digest, AnswerSource, Record, RecordedAnswer, RequestIdentity};
use pipitlever_capture::replay::{initial_controller, Replay};
use pipitlever_capture::segment::{RecordAt, SegmentReader, Tail};
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A folder for a node's captures.
struct Folder(ScratchDirectory);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(ScratchDirectory::new(&format!("captures-{name}")))
    }

    /// The `[capture]` section of the operator's file.
    fn section(&self) -> String {
        format!(
            "[capture]\nfolder = {:?}\nsegment_mb = 8\nkeep_mb = 64\n",
            self.0 .0.to_str().unwrap()
        )
    }

    fn files(&self) -> Vec<PathBuf> {
        let Ok(all) = std::fs::read_dir(&self.0 .0) else {
            return Vec::new();
        };
        let mut files: Vec<PathBuf> = all.map(|e| e.unwrap().path()).collect();
        files.sort();
        files
    }

    /// Waits until the first segment on the disk fulfils this condition.
    fn wait_for(&self, condition: impl Fn(&ReplayedCapture) -> bool) {
        let start = Instant::now();
        let read = |f: &PathBuf| ReplayedCapture::read(&std::fs::read(f).unwrap());
        while !self
            .files()
            .first()
            .is_some_and(|f| read(f).is_some_and(|capture| condition(&capture)))
        {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "the segment on the disk does not fulfil the condition: {:?}",
                self.files()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Replays the only segment with this build's controller, and copies it under this name to
    /// PIPITLEVER_RECORD, if that is set.
    fn replay(&self, name: &str) -> ReplayedCapture {
        let files = self.files();
        assert_eq!(files.len(), 1, "{files:?}");
        let bytes = std::fs::read(&files[0]).unwrap();
        assert!(bytes.len() < 300 << 10, "{}", bytes.len());
        let capture = ReplayedCapture::read(&bytes).expect("a complete header");
        if let Some(folder) = std::env::var_os("PIPITLEVER_RECORD") {
            std::fs::write(Path::new(&folder).join(format!("{name}.plc")), bytes).unwrap();
        }
        capture
    }
}

/// A capture that was replayed to the same decisions.
struct ReplayedCapture {
    starts_at_node_start: bool,
    identities: Vec<RequestIdentity>,
    events: Vec<Event>,
    actions: Vec<Action>,
    answers: Vec<(u64, RecordedAnswer, AnswerSource)>,
    causes: Vec<Cause>,
    modes: Vec<Mode>,
    tail: Tail,
}

impl ReplayedCapture {
    /// Replays a segment; `None` if its header is still incomplete.
    fn read(bytes: &[u8]) -> Option<ReplayedCapture> {
        let mut reader = SegmentReader::open(bytes).unwrap();
        let header = reader.header()?.clone();
        let recorded = reader.controller().unwrap();
        let start = if header.is_initial {
            initial_controller(&header)
        } else {
            recorded.clone()
        };
        let mut replay = Replay::new(start, &header);
        assert!(
            replay.enter_segment(&header, Some(&recorded)),
            "the recorded controller state differs from the replay's start"
        );
        let mut capture = ReplayedCapture {
            starts_at_node_start: header.is_initial,
            identities: header.identities,
            events: vec![],
            actions: vec![],
            answers: vec![],
            causes: vec![],
            modes: vec![],
            tail: Tail::Truncated(0),
        };
        while let Some(RecordAt { record, .. }) = reader.next_record().unwrap() {
            let difference = replay.compare(&record).unwrap();
            assert!(difference.is_none(), "{difference:#?}");
            match record {
                Record::Identity(identity) => capture.identities.push(identity),
                Record::Answer {
                    reference,
                    answer,
                    source,
                    ..
                } => capture.answers.push((reference, answer, source)),
                Record::Step {
                    events, actions, ..
                } => {
                    capture.events.extend(events.into_owned());
                    capture.actions.extend(actions.into_owned());
                    capture
                        .causes
                        .extend(replay.controller().causes().iter().map(|entry| entry.1));
                    capture.modes.push(replay.controller().mode());
                }
            }
        }
        capture.tail = reader.tail().unwrap();
        Some(capture)
    }

    fn rejected_count(&self) -> usize {
        self.answers
            .iter()
            .filter(|a| matches!(a.1, RecordedAnswer::Rejected { .. }))
            .count()
    }
}

/// Starts a node that writes a capture, with a running processor and a gateway.
fn start_capturing(name: &str, entries: Value) -> (Folder, Node, Processor, Gateway) {
    start_capturing_with(name, entries, b"hi running 60000\r\n")
}

/// Like `start_capturing`, with this greeting of the processor.
fn start_capturing_with(
    name: &str,
    entries: Value,
    hi: &[u8],
) -> (Folder, Node, Processor, Gateway) {
    let folder = Folder::new(name);
    let mut processor = Processor::new();
    let mut config_entries = json!({"processor": processor.address().to_string()});
    config_entries
        .as_object_mut()
        .unwrap()
        .extend(entries.as_object().unwrap().clone());
    let node = Node::start(config_entries, Some(&folder.section()));
    processor.accept();
    processor.send(hi);
    let gateway = node.ready();
    (folder, node, processor, gateway)
}

/// Shuts the node down gracefully, which completes its capture.
fn shut_down(mut node: Node) {
    node.signal("-TERM");
    node.wait_for_line("counters: ");
    assert!(node.wait().success());
}

/// Sends this many reads, more than can run at once. Returns the ids of the runs that begin; the
/// other reads are queued.
fn start_and_queue_reads(
    gateway: &mut Gateway,
    processor: &mut Processor,
    reads: usize,
) -> Vec<String> {
    for _ in 0..reads {
        gateway.send("rota-view", request_params(4000, None, b"read"));
    }
    // The run limit starts at the number of cores, six.
    (0..6).map(|_| processor.begin().0).collect()
}

#[test]
fn identities_and_answers_are_recorded_beside_the_steps() {
    let (folder, node, mut processor, mut gateway) = start_capturing("identities", json!({}));
    let mut params = request_params(5000, Some("a secret key"), b"a secret body");
    params["sender"] = json!(4);
    let reference = u64::from_str_radix(params["ref"].as_str().unwrap(), 16).unwrap();
    gateway.send("swap-confirm", params);
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"a secret result");
    gateway.receive();
    shut_down(node);
    let capture = folder.replay("one-swap");
    assert!(
        capture.starts_at_node_start && matches!(capture.tail, Tail::Complete(_)),
        "{:?}",
        capture.tail
    );
    let key = Some(digest("a secret key"));
    assert_eq!(
        capture.identities,
        [RequestIdentity {
            id: 1,
            reference,
            sender: Some(4),
            key_digest: key
        }]
    );
    assert_eq!(
        capture.answers,
        [(reference, RecordedAnswer::Served(15), AnswerSource::Run)]
    );
    let bytes = std::fs::read(&folder.files()[0]).unwrap();
    for secret in ["a secret key", "a secret body", "a secret result"] {
        let found = bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
        assert!(!found, "{secret}");
    }
}

#[test]
fn a_drain_with_queued_requests() {
    let (folder, node, mut processor, mut gateway) =
        start_capturing("drain", json!({"stop_ms": 1200}));
    let runs = start_and_queue_reads(&mut gateway, &mut processor, 9);
    node.signal("-TERM");
    assert_eq!(gateway.receive()["method"], "goaway");
    runs.iter()
        .for_each(|id| processor.complete(id, "fine", b"done"));
    let answers: Vec<Value> = (0..9).map(|_| gateway.receive()).collect();
    assert!(answers.iter().all(|a| !a.is_null()), "{answers:?}");
    shut_down(node);
    let capture = folder.replay("drain-with-held");
    assert!(capture
        .events
        .iter()
        .any(|e| matches!(e, Event::ShutdownNotice(_))));
    assert_eq!(capture.answers.len(), 9);
}

#[test]
fn a_capture_truncated_during_a_drain() {
    let (folder, mut node, mut processor, mut gateway) =
        start_capturing("truncated", json!({"stop_ms": 5000}));
    start_and_queue_reads(&mut gateway, &mut processor, 9);
    node.signal("-TERM");
    // No run ends: queued requests are removed from the queue before the grace period is over.
    while gateway.receive()["method"] != "goaway" {}
    // The process is killed once the drain's events are on the disk.
    let is_shutdown = |e: &Event| matches!(e, Event::ShutdownNotice(_));
    folder.wait_for(|capture| capture.events.iter().any(is_shutdown));
    node.signal("-KILL");
    node.wait();
    let capture = folder.replay("cut-in-mid-drain");
    assert!(
        matches!(capture.tail, Tail::Truncated(_)),
        "{:?}",
        capture.tail
    );
    assert!(capture.events.iter().any(is_shutdown));
}

#[test]
fn a_duplicate_while_the_first_attempt_runs() {
    let (folder, node, mut processor, mut gateway) = start_capturing("duplicate", json!({}));
    gateway.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    let (id, _) = processor.begin();
    for _ in 0..3 {
        gateway.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    }
    gateway.send("rota-view", request_params(5000, None, b"behind them"));
    let (read, _) = processor.begin();
    processor.complete(&id, "fine", b"once");
    processor.complete(&read, "fine", b"view");
    (0..5).for_each(|_| assert!(gateway.receive()["result"].is_object()));
    shut_down(node);
    let capture = folder.replay("key-repeated-while-it-runs");
    let reused = capture
        .actions
        .iter()
        .filter(|a| matches!(a, Action::ReuseOutcome(_)))
        .count();
    let duplicates = capture
        .answers
        .iter()
        .filter(|a| a.2 == AnswerSource::Duplicate)
        .count();
    assert_eq!((reused, duplicates), (3, 3));
}

/// A start with keys recovered from the store: the admission controller gets duplicates of attempts
/// that it has no record of.
#[test]
fn a_start_with_recovered_keys() {
    let (store, folder) = (Folder::new("store"), Folder::new("recovered-keys"));
    let section = format!(
        "[store]\nfolder = {:?}\nmax_mb = 4\n",
        store.0 .0.to_str().unwrap()
    );
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(entries.clone(), Some(&section));
    processor.accept_running();
    let mut gateway = node.ready();
    for key in ["kept", "open"] {
        gateway.send("swap-confirm", request_params(5000, Some(key), b"x"));
        let (id, _) = processor.begin();
        if key == "kept" {
            processor.complete(&id, "fine", b"once");
            assert!(gateway.receive()["result"].is_object());
        }
    }
    node.signal("-KILL");
    node.wait();
    let node = Node::start(entries, Some(&(section + &folder.section())));
    processor.accept_running();
    let mut gateway = node.ready();
    for key in ["kept", "open", "new"] {
        gateway.send("swap-confirm", request_params(5000, Some(key), b"x"));
    }
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"new");
    let answers: Vec<Value> = (0..3).map(|_| gateway.receive()).collect();
    assert_eq!(
        answers.iter().filter(|a| a["result"].is_object()).count(),
        2,
        "{answers:?}"
    );
    shut_down(node);
    let capture = folder.replay("keys-brought-over");
    let count = |source: AnswerSource| capture.answers.iter().filter(|a| a.2 == source).count();
    assert_eq!(
        (count(AnswerSource::Duplicate), count(AnswerSource::Run)),
        (2, 1)
    );
    let duplicate = |e: &Event| matches!(e, Event::Arrived(r) if r.duplicate_of.is_some());
    assert_eq!(capture.events.iter().filter(|e| duplicate(e)).count(), 2);
}

#[test]
fn a_lost_processor_connection_leaves_starts_uncertain() {
    let (folder, node, mut processor, mut gateway) =
        start_capturing("processor-connection", json!({}));
    gateway.send("rota-view", request_params(5000, None, b"read"));
    let read = processor.begin();
    processor.disconnect();
    processor.accept();
    processor.send(b"hi running 60100\r\n");
    // The processor may or may not have read the `begin`: that of a read is sent again.
    assert_eq!(processor.begin(), read);
    processor.complete(&read.0, "fault", b"");
    assert_eq!(gateway.receive()["error"]["code"], -32001);
    // A run that the processor rejects has not been executed.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"write"));
    let (write, _) = processor.begin();
    processor.send(format!("reject begin {write}\r\n").as_bytes());
    assert_eq!(gateway.receive()["error"]["code"], -32000);
    shut_down(node);
    let capture = folder.replay("link-break");
    let sources: Vec<AnswerSource> = capture.answers.iter().map(|a| a.2).collect();
    assert_eq!(
        sources,
        [AnswerSource::Run, AnswerSource::ProcessorRejected]
    );
}

#[test]
fn an_overloaded_ledger() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let entries = json!({"ledger": ledger.local_addr().unwrap().to_string()});
    let (folder, node, mut processor, mut gateway) = start_capturing("overloaded-ledger", entries);
    gateway.send("rota-view", request_params(600, None, b"read"));
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"write"));
    for _ in 0..2 {
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
    }
    let (mut overloaded, mut failing) = (
        LedgerConnection::accept(&ledger),
        LedgerConnection::accept(&ledger),
    );
    let (first, _) = overloaded.post();
    let (second, _) = failing.post();
    // The first call is rejected until its deadline; the second one failed and may have had its
    // effect.
    failing.reply(&format!("{second} error\r\n"));
    overloaded.reply(&format!("{first} queue_full\r\n"));
    let reject_all = |mut connection: LedgerConnection| {
        std::thread::spawn(move || {
            while let Some((id, _)) = connection.try_post() {
                connection.reply(&format!("{id} queue_full\r\n"));
            }
        });
    };
    // The node sends calls again on any free connection.
    reject_all(overloaded);
    reject_all(failing);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = ledger.accept() {
            reject_all(LedgerConnection::from_stream(stream));
        }
    });
    let answers: Vec<Value> = (0..2).map(|_| gateway.receive()).collect();
    assert!(
        answers
            .iter()
            .all(|a| a["error"]["code"].as_i64() < Some(-32000)),
        "{answers:?}"
    );
    shut_down(node);
    let capture = folder.replay("tier-jams");
    let ended = |expected| {
        let is = |e: &&Event| matches!(e, Event::CallEnded { outcome, .. } if *outcome == expected);
        capture.events.iter().filter(is).count()
    };
    assert!(
        ended(Outcome::Rejected) >= 2 && ended(Outcome::Error) == 1,
        "{} calls rejected",
        ended(Outcome::Rejected)
    );
    assert!(
        capture
            .causes
            .iter()
            .any(|c| matches!(c, Cause::CallFailed(Outcome::Error))),
        "{:?}",
        capture.causes
    );
}

#[test]
fn a_release_with_a_cold_successor() {
    // Gateways send a cold successor as many requests as a warm node.
    let (folder, node, mut processor, mut gateway) =
        start_capturing_with("cold", json!({}), b"hi starting 100\r\n");
    let runs = start_and_queue_reads(&mut gateway, &mut processor, 30);
    for id in runs {
        processor.complete(&id, "fine", b"slowly");
    }
    let bodies = processor.echo();
    for _ in 0..30 {
        gateway.receive();
    }
    drop(bodies);
    shut_down(node);
    let capture = folder.replay("cold-successor");
    assert!(
        capture.rejected_count() > 0 && capture.answers.len() == 30,
        "{:?}",
        capture.answers
    );
}

#[test]
fn a_burst_into_discard_mode() {
    let (folder, node, mut processor, mut gateway) =
        start_capturing("burst", json!({"stop_ms": 1000}));
    let mut others: Vec<Gateway> = (0..4).map(|_| node.gateway()).collect();
    let runs = start_and_queue_reads(&mut gateway, &mut processor, 31);
    for other in &mut others {
        for _ in 0..31 {
            other.send("rota-view", request_params(4000, None, b"burst"));
        }
    }
    // The last request of the burst is rejected at once, before any run has ended.
    assert_eq!(others[3].receive()["error"]["code"], -32000);
    runs.iter()
        .for_each(|id| processor.complete(id, "fine", b"done"));
    (0..6).for_each(|_| drop(processor.begin()));
    shut_down(node);
    let capture = folder.replay("burst-into-discard");
    assert!(capture.modes.contains(&Mode::Overload) && capture.modes.contains(&Mode::Discard));
    let discard = |c: &Cause| {
        matches!(
            c,
            Cause::Shed {
                mode: Mode::Discard,
                ..
            }
        )
    };
    assert!(capture.causes.iter().any(discard), "{:?}", capture.causes);
}

#[test]
fn a_capture_switched_on_and_off_while_the_node_runs() {
    let folder = Folder::new("switched-on");
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address().to_string()}),
        Some(""),
    );
    processor.accept();
    processor.send(b"hi running 3600000\r\n");
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(9000, Some("k"), b"before"));
    let (id, _) = processor.begin();
    node.rewrite_operator_file(&folder.section());
    node.wait_for_line("reload: done");
    node.wait_for_line("capture: writing: ");
    // A run that began before the capture ends in it, and its duplicate is recognized.
    processor.complete(&id, "fine", b"once");
    gateway.receive();
    gateway.send("swap-confirm", request_params(9000, Some("k"), b"before"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    node.rewrite_operator_file("");
    node.wait_for_line("reload: done");
    gateway.send("rota-view", request_params(9000, None, b"after"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"x");
    gateway.receive();
    shut_down(node);
    let capture = folder.replay("switched-on-later");
    assert!(!capture.starts_at_node_start && matches!(capture.tail, Tail::Complete(_)));
    assert_eq!(capture.answers.len(), 2, "{:?}", capture.answers);
}

#[test]
fn a_removed_or_unusable_capture_folder_loses_no_answers() {
    let folder = Folder::new("removed");
    // The path of the capture folder is that of a file.
    std::fs::write(&folder.0 .0, b"").unwrap();
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string()});
    let node = Node::start(entries, Some(&folder.section()));
    processor.accept_running();
    let mut gateway = node.ready();
    node.wait_for_line("capture: stopped: ");
    let serve = |gateway: &mut Gateway, processor: &mut Processor| {
        gateway.send("rota-view", request_params(9000, None, b"x"));
        let (id, _) = processor.begin();
        processor.complete(&id, "fine", b"x");
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"x"));
    };
    serve(&mut gateway, &mut processor);
    std::fs::remove_file(&folder.0 .0).unwrap();
    // Timers cause steps in an idle node, too, so the capture starts without a request.
    let processor_thread = std::thread::spawn(move || processor.echo_until_disconnected());
    node.wait_for_line("capture: writing: ");
    std::fs::remove_dir_all(&folder.0 .0).unwrap();
    node.wait_for_line("capture: stopped: the segment's file was removed");
    node.wait_for_line("capture: writing: ");
    gateway.send("rota-view", request_params(9000, None, b"x"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"x"));
    shut_down(node);
    drop(processor_thread);
    let file = folder.files().pop().unwrap();
    ReplayedCapture::read(&std::fs::read(file).unwrap()).expect("a complete header");
}
