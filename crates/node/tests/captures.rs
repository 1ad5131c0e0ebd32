//! What a real node captures: failures met before and hard cases, each replayed to the same
//! decisions.
//!
//! With PIPITLEVER_RECORD=FOLDER each test leaves its capture there; lab/tests/captures holds those
//! of the last time that the module's decisions changed on purpose.

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

    /// Waits until what is on the disk says so.
    fn wait_for(&self, there: impl Fn(&Played) -> bool) {
        let start = Instant::now();
        let read = |f: &PathBuf| Played::read(&std::fs::read(f).unwrap());
        while !self
            .files()
            .first()
            .is_some_and(|f| read(f).is_some_and(|p| there(&p)))
        {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "it is not on the disk: {:?}",
                self.files()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The one capture, read and held against this build; it is kept under this name where that is
    /// wanted.
    fn played(&self, name: &str) -> Played {
        let files = self.files();
        assert_eq!(files.len(), 1, "{files:?}");
        let bytes = std::fs::read(&files[0]).unwrap();
        assert!(bytes.len() < 300 << 10, "{}", bytes.len());
        let played = Played::read(&bytes).expect("a segment header");
        if let Some(folder) = std::env::var_os("PIPITLEVER_RECORD") {
            std::fs::write(Path::new(&folder).join(format!("{name}.plc")), bytes).unwrap();
        }
        played
    }
}

/// A capture, played to the same decisions.
struct Played {
    first: bool,
    identities: Vec<RequestIdentity>,
    events: Vec<Event>,
    actions: Vec<Action>,
    answers: Vec<(u64, RecordedAnswer, AnswerSource)>,
    causes: Vec<Cause>,
    modes: Vec<Mode>,
    tail: Tail,
}

impl Played {
    /// Nothing if there is no whole header yet.
    fn read(bytes: &[u8]) -> Option<Played> {
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
            "the start is another one"
        );
        let mut played = Played {
            first: header.is_initial,
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
                Record::Identity(identity) => played.identities.push(identity),
                Record::Answer {
                    reference,
                    answer,
                    source,
                    ..
                } => played.answers.push((reference, answer, source)),
                Record::Step {
                    events, actions, ..
                } => {
                    played.events.extend(events.into_owned());
                    played.actions.extend(actions.into_owned());
                    played
                        .causes
                        .extend(replay.controller().causes().iter().map(|w| w.1));
                    played.modes.push(replay.controller().mode());
                }
            }
        }
        played.tail = reader.tail().unwrap();
        Some(played)
    }

    fn refused(&self) -> usize {
        self.answers
            .iter()
            .filter(|a| matches!(a.1, RecordedAnswer::Rejected { .. }))
            .count()
    }
}

/// A node that captures, with a processor that is up, and a gateway.
fn captured(name: &str, parties: Value) -> (Folder, Node, Processor, Gateway) {
    captured_with(name, parties, b"hi running 60000\r\n")
}

fn captured_with(name: &str, parties: Value, hi: &[u8]) -> (Folder, Node, Processor, Gateway) {
    let folder = Folder::new(name);
    let mut processor = Processor::new();
    let mut all = json!({"processor": processor.address().to_string()});
    all.as_object_mut()
        .unwrap()
        .extend(parties.as_object().unwrap().clone());
    let node = Node::start(all, Some(&folder.section()));
    processor.accept();
    processor.send(hi);
    let gateway = node.ready();
    (folder, node, processor, gateway)
}

/// The node leaves, and its capture is whole.
fn leave(mut node: Node) {
    node.signal("-TERM");
    node.wait_for_line("counters: ");
    assert!(node.wait().success());
}

/// Sends reads until some are held: so many are begun at once.
fn fill(gateway: &mut Gateway, processor: &mut Processor, reads: usize) -> Vec<String> {
    for _ in 0..reads {
        gateway.send("rota-view", request_params(4000, None, b"read"));
    }
    // The run limit starts at the cores, of which there are six.
    (0..6).map(|_| processor.begin().0).collect()
}

#[test]
fn outside_names_and_answers_stand_beside_the_steps() {
    let (folder, node, mut processor, mut gateway) = captured("names", json!({}));
    let mut params = request_params(5000, Some("a secret key"), b"a secret body");
    params["sender"] = json!(4);
    let reference = u64::from_str_radix(params["ref"].as_str().unwrap(), 16).unwrap();
    gateway.send("swap-confirm", params);
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"a secret result");
    gateway.receive();
    leave(node);
    let played = folder.played("one-swap");
    assert!(
        played.first && matches!(played.tail, Tail::Complete(_)),
        "{:?}",
        played.tail
    );
    let key = Some(digest("a secret key"));
    assert_eq!(
        played.identities,
        [RequestIdentity {
            id: 1,
            reference,
            sender: Some(4),
            key_digest: key
        }]
    );
    assert_eq!(
        played.answers,
        [(reference, RecordedAnswer::Served(15), AnswerSource::Run)]
    );
    let bytes = std::fs::read(&folder.files()[0]).unwrap();
    for secret in ["a secret key", "a secret body", "a secret result"] {
        let found = bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
        assert!(!found, "{secret}");
    }
}

#[test]
fn a_drain_with_requests_held() {
    let (folder, node, mut processor, mut gateway) = captured("drain", json!({"stop_ms": 1200}));
    let runs = fill(&mut gateway, &mut processor, 9);
    node.signal("-TERM");
    assert_eq!(gateway.receive()["method"], "goaway");
    runs.iter()
        .for_each(|id| processor.complete(id, "fine", b"done"));
    let answers: Vec<Value> = (0..9).map(|_| gateway.receive()).collect();
    assert!(answers.iter().all(|a| !a.is_null()), "{answers:?}");
    leave(node);
    let played = folder.played("drain-with-held");
    assert!(played
        .events
        .iter()
        .any(|e| matches!(e, Event::ShutdownNotice(_))));
    assert_eq!(played.answers.len(), 9);
}

#[test]
fn a_capture_cut_in_mid_drain() {
    let (folder, mut node, mut processor, mut gateway) = captured("cut", json!({"stop_ms": 5000}));
    fill(&mut gateway, &mut processor, 9);
    node.signal("-TERM");
    // Nothing ends: what is held is let go before the grace is over.
    while gateway.receive()["method"] != "goaway" {}
    // What the drain brought is on the disk; then the machine takes the process away.
    let leaving = |e: &Event| matches!(e, Event::ShutdownNotice(_));
    folder.wait_for(|played| played.events.iter().any(leaving));
    node.signal("-KILL");
    node.wait();
    let played = folder.played("cut-in-mid-drain");
    assert!(
        matches!(played.tail, Tail::Truncated(_)),
        "{:?}",
        played.tail
    );
    assert!(played.events.iter().any(leaving));
}

#[test]
fn a_key_repeated_while_its_first_try_runs() {
    let (folder, node, mut processor, mut gateway) = captured("repeat", json!({}));
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
    leave(node);
    let played = folder.played("key-repeated-while-it-runs");
    let reused = played
        .actions
        .iter()
        .filter(|a| matches!(a, Action::ReuseOutcome(_)))
        .count();
    let repeats = played
        .answers
        .iter()
        .filter(|a| a.2 == AnswerSource::Duplicate)
        .count();
    assert_eq!((reused, repeats), (3, 3));
}

/// A start that brought keys over a restart: the module is told of repeats of tries that it never
/// heard of.
#[test]
fn a_start_with_keys_brought_over() {
    let (store, folder) = (Folder::new("store"), Folder::new("brought-over"));
    let section = format!(
        "[store]\nfolder = {:?}\nmax_mb = 4\n",
        store.0 .0.to_str().unwrap()
    );
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(parties.clone(), Some(&section));
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
    let node = Node::start(parties, Some(&(section + &folder.section())));
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
    leave(node);
    let played = folder.played("keys-brought-over");
    let by = |wanted: AnswerSource| played.answers.iter().filter(|a| a.2 == wanted).count();
    assert_eq!((by(AnswerSource::Duplicate), by(AnswerSource::Run)), (2, 1));
    let same = |e: &Event| matches!(e, Event::Arrived(r) if r.duplicate_of.is_some());
    assert_eq!(played.events.iter().filter(|e| same(e)).count(), 2);
}

#[test]
fn a_link_break_that_makes_starts_doubtful() {
    let (folder, node, mut processor, mut gateway) = captured("link", json!({}));
    gateway.send("rota-view", request_params(5000, None, b"read"));
    let read = processor.begin();
    processor.disconnect();
    processor.accept();
    processor.send(b"hi running 60100\r\n");
    // Whether the start was read nobody knows: that of a read goes out again.
    assert_eq!(processor.begin(), read);
    processor.complete(&read.0, "fault", b"");
    assert_eq!(gateway.receive()["error"]["code"], -32001);
    // One that the processor rejects never ran.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"write"));
    let (write, _) = processor.begin();
    processor.send(format!("reject begin {write}\r\n").as_bytes());
    assert_eq!(gateway.receive()["error"]["code"], -32000);
    leave(node);
    let played = folder.played("link-break");
    let by: Vec<AnswerSource> = played.answers.iter().map(|a| a.2).collect();
    assert_eq!(by, [AnswerSource::Run, AnswerSource::ProcessorRejected]);
}

#[test]
fn a_tier_that_jams() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let parties = json!({"ledger": ledger.local_addr().unwrap().to_string()});
    let (folder, node, mut processor, mut gateway) = captured("jam", parties);
    gateway.send("rota-view", request_params(600, None, b"read"));
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"write"));
    for _ in 0..2 {
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
    }
    let (mut jammed, mut broken) = (
        LedgerConnection::accept(&ledger),
        LedgerConnection::accept(&ledger),
    );
    let (first, _) = jammed.post();
    let (second, _) = broken.post();
    // One is turned away until its time is up; the other's call may have had its effect.
    broken.reply(&format!("{second} error\r\n"));
    jammed.reply(&format!("{first} queue_full\r\n"));
    let jam = |mut below: LedgerConnection| {
        std::thread::spawn(move || {
            while let Some((id, _)) = below.try_post() {
                below.reply(&format!("{id} queue_full\r\n"));
            }
        });
    };
    // The node places calls again on whichever connection is free.
    jam(jammed);
    jam(broken);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = ledger.accept() {
            jam(LedgerConnection::from_stream(stream));
        }
    });
    let answers: Vec<Value> = (0..2).map(|_| gateway.receive()).collect();
    assert!(
        answers
            .iter()
            .all(|a| a["error"]["code"].as_i64() < Some(-32000)),
        "{answers:?}"
    );
    leave(node);
    let played = folder.played("tier-jams");
    let ended = |wanted| {
        let is = |e: &&Event| matches!(e, Event::CallEnded { outcome, .. } if *outcome == wanted);
        played.events.iter().filter(is).count()
    };
    assert!(
        ended(Outcome::Rejected) >= 2 && ended(Outcome::Error) == 1,
        "{} busy",
        ended(Outcome::Rejected)
    );
    assert!(
        played
            .causes
            .iter()
            .any(|c| matches!(c, Cause::CallFailed(Outcome::Error))),
        "{:?}",
        played.causes
    );
}

#[test]
fn a_release_with_a_cold_successor() {
    // A successor of which the gateways think as much as of a warm node.
    let (folder, node, mut processor, mut gateway) =
        captured_with("cold", json!({}), b"hi starting 100\r\n");
    let runs = fill(&mut gateway, &mut processor, 30);
    for id in runs {
        processor.complete(&id, "fine", b"slowly");
    }
    let running = processor.echo();
    for _ in 0..30 {
        gateway.receive();
    }
    drop(running);
    leave(node);
    let played = folder.played("cold-successor");
    assert!(
        played.refused() > 0 && played.answers.len() == 30,
        "{:?}",
        played.answers
    );
}

#[test]
fn a_burst_into_discard_mode() {
    let (folder, node, mut processor, mut gateway) = captured("burst", json!({"stop_ms": 1000}));
    let mut others: Vec<Gateway> = (0..4).map(|_| node.gateway()).collect();
    let runs = fill(&mut gateway, &mut processor, 31);
    for other in &mut others {
        for _ in 0..31 {
            other.send("rota-view", request_params(4000, None, b"burst"));
        }
    }
    // The last of the burst is refused at once, long before anything has ended.
    assert_eq!(others[3].receive()["error"]["code"], -32000);
    runs.iter()
        .for_each(|id| processor.complete(id, "fine", b"done"));
    (0..6).for_each(|_| drop(processor.begin()));
    leave(node);
    let played = folder.played("burst-into-discard");
    assert!(played.modes.contains(&Mode::Overload) && played.modes.contains(&Mode::Discard));
    let discard = |c: &Cause| {
        matches!(
            c,
            Cause::Shed {
                mode: Mode::Discard,
                ..
            }
        )
    };
    assert!(played.causes.iter().any(discard), "{:?}", played.causes);
}

#[test]
fn a_capture_switched_on_and_off_while_the_node_runs() {
    let folder = Folder::new("later");
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
    // The run that began before it ends in it, and its repeat is known for one.
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
    leave(node);
    let played = folder.played("switched-on-later");
    assert!(!played.first && matches!(played.tail, Tail::Complete(_)));
    assert_eq!(played.answers.len(), 2, "{:?}", played.answers);
}

#[test]
fn a_folder_that_vanishes_or_cannot_be_made_costs_no_answer() {
    let folder = Folder::new("vanishes");
    // A file stands where the folder is to be.
    std::fs::write(&folder.0 .0, b"").unwrap();
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address().to_string()});
    let node = Node::start(parties, Some(&folder.section()));
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
    // The node is idle: its own timers are steps, so the capture begins by itself.
    let keep_alive = std::thread::spawn(move || processor.echo_until_disconnected());
    node.wait_for_line("capture: writing: ");
    std::fs::remove_dir_all(&folder.0 .0).unwrap();
    node.wait_for_line("capture: stopped: the segment's file was removed");
    node.wait_for_line("capture: writing: ");
    gateway.send("rota-view", request_params(9000, None, b"x"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"x"));
    leave(node);
    drop(keep_alive);
    let file = folder.files().pop().unwrap();
    Played::read(&std::fs::read(file).unwrap()).expect("a segment header");
}
