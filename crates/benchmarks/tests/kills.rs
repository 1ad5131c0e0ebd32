//! Kills a node with SIGKILL at each crash point in the lifecycle of a request with an idempotency
//! key, and restarts it, hundreds of times. The processor counts the runs of each key.

#[path = "../../node/tests/common/mod.rs"]
mod common;

use common::{base64, packet, request_params, Node, ScratchDirectory, PROGRAM, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The retention of an idempotency key, in microseconds.
const KEY_RETENTION: u64 = 8_000_000;

/// The behaviour of the processor's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunBehaviour {
    /// Runs complete at once.
    Complete,
    /// Runs do not complete, and are lost with the node.
    Lost,
    /// Runs outlive the node, and the next process is notified of their results.
    Outlive,
}

/// The part of a processor's state that all its connections share.
struct ProcessorState {
    /// The number of runs by body.
    run_counts: HashMap<Vec<u8>, u64>,
    behaviour: RunBehaviour,
    /// The id and body of each run whose result is sent when the node connects again.
    pending_results: Vec<(String, Vec<u8>)>,
}

/// A processor that outlives the node's processes.
struct Processor {
    address: SocketAddr,
    state: Arc<Mutex<ProcessorState>>,
    /// The body of each run that has started.
    started_runs: Receiver<Vec<u8>>,
}

fn result(body: &[u8]) -> Vec<u8> {
    [b"done: ", body].concat()
}

impl Processor {
    fn start() -> Processor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = ProcessorState {
            run_counts: HashMap::new(),
            behaviour: RunBehaviour::Complete,
            pending_results: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let (sender, started_runs) = channel();
        let shared = state.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (shared, sender) = (shared.clone(), sender.clone());
                std::thread::spawn(move || serve(stream, &shared, &sender));
            }
        });
        Processor {
            address,
            state,
            started_runs,
        }
    }
}

fn serve(
    mut stream: TcpStream,
    state: &Mutex<ProcessorState>,
    started_runs: &Sender<Vec<u8>>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    let mut notices = 0;
    let mut complete = |stream: &mut TcpStream, id: &str, body: &[u8]| {
        notices += 1;
        let result = result(body);
        let head = format!("complete {notices} {id} fine 3.5 {}\r\n", result.len());
        stream
            .write_all(&[head.as_bytes(), &result, b"\r\n"].concat())
            .ok()
    };
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        match fields[0] {
            "hello" => {
                stream.write_all(b"hi running 60000\r\n").ok()?;
                let pending_results = std::mem::take(&mut state.lock().unwrap().pending_results);
                for (id, body) in pending_results {
                    complete(&mut stream, &id, &body)?;
                }
            }
            "usage" => stream
                .write_all(format!("used {} 0.5 1 0.1 2\r\n", fields[1]).as_bytes())
                .ok()?,
            "begin" => {
                let mut body = vec![0; fields[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                let behaviour = {
                    let mut state = state.lock().unwrap();
                    *state.run_counts.entry(body.clone()).or_default() += 1;
                    if state.behaviour == RunBehaviour::Outlive {
                        state
                            .pending_results
                            .push((fields[1].to_owned(), body.clone()));
                    }
                    state.behaviour
                };
                let _ = started_runs.send(body.clone());
                if behaviour == RunBehaviour::Complete {
                    complete(&mut stream, fields[1], &body)?;
                }
            }
            command => panic!("unexpected command {command}"),
        }
    }
}

/// The operator file: a uwsgi route for keyed requests, and a store with `store_settings` added.
fn operator_file_text(folder: &ScratchDirectory, store_settings: &str) -> String {
    format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"processor\"\n\
         [store]\nfolder = \"{}\"\nmax_mb = 8\n{store_settings}",
        folder.0.display()
    )
}

/// The outcome of a keyed request for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Served(Vec<u8>),
    Rejected,
    Failed,
    /// The connection ended without a response.
    Disconnected,
}

/// Sends a request by uwsgi or JSON-RPC and waits for the outcome.
fn request(node: &Node, uwsgi: bool, key: &str, body: &[u8]) -> Outcome {
    request_at(
        (
            node.gateway_address,
            node.uwsgi_address
                .expect("the uwsgi listener is configured"),
        ),
        uwsgi,
        key,
        body,
    )
}

/// Retries a rejected request, as clients do: a rejection guarantees that the request did not run,
/// and keyed requests are rejected for as long as a slow sync of the disk takes.
fn request_until_admitted(node: &Node, uwsgi: bool, key: &str, body: &[u8]) -> Outcome {
    let start = Instant::now();
    loop {
        match request(node, uwsgi, key, body) {
            Outcome::Rejected if start.elapsed() < TEST_TIMEOUT => {}
            outcome => return outcome,
        }
    }
}

/// Waits until all records are on the disk. By default an answer is sent before its record is
/// synced.
fn wait_until_synced(node: &Node) {
    loop {
        node.signal("-USR1");
        if Node::counter(&node.wait_for_line("store: used="), "waiting") == 0 {
            return;
        }
    }
}

/// Waits until the node logs this state of its store. Earlier lines may report a slow disk.
fn wait_for_store_state(node: &Node, state: &str) {
    while !node.wait_for_line("store: keyed").contains(state) {}
}

fn request_at(
    (gateway_address, uwsgi_address): (SocketAddr, SocketAddr),
    uwsgi: bool,
    key: &str,
    body: &[u8],
) -> Outcome {
    if uwsgi {
        let Ok(mut stream) = TcpStream::connect(uwsgi_address) else {
            return Outcome::Disconnected;
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut bytes = Vec::new();
        let sent = stream.write_all(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", key)], body));
        let read = sent.and_then(|()| stream.read_to_end(&mut bytes));
        let text = String::from_utf8_lossy(&bytes);
        return match text.get(9..12) {
            _ if read.is_err() => Outcome::Disconnected,
            Some("200") => {
                let head_end = bytes
                    .windows(4)
                    .position(|w| w == b"\r\n\r\n")
                    .expect("the response head ends");
                Outcome::Served(bytes[head_end + 4..].to_vec())
            }
            Some("503") => Outcome::Rejected,
            Some(_) => Outcome::Failed,
            None => Outcome::Disconnected,
        };
    }
    let Ok(stream) = TcpStream::connect(gateway_address) else {
        return Outcome::Disconnected;
    };
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let params = request_params(5000, Some(key), body);
    let message = json!({"jsonrpc": "2.0", "id": 1, "method": "swap-confirm", "params": params});
    if (&stream)
        .write_all(format!("{message}\n").as_bytes())
        .is_err()
    {
        return Outcome::Disconnected;
    }
    let mut line = String::new();
    if BufReader::new(&stream).read_line(&mut line).unwrap_or(0) == 0 {
        return Outcome::Disconnected;
    }
    let answer: Value = serde_json::from_str(&line).unwrap();
    match answer["error"]["code"].as_i64() {
        None => {
            use ::base64::Engine;
            let doc = answer["result"]["doc"]
                .as_str()
                .expect("an answer without an error has a result");
            Outcome::Served(
                ::base64::engine::general_purpose::STANDARD
                    .decode(doc)
                    .unwrap(),
            )
        }
        Some(-32000) => Outcome::Rejected,
        Some(_) => Outcome::Failed,
    }
}

/// Starts a node. With a crash point `NAME:N`, the process kills itself when it reaches the point
/// NAME for the N-th time.
fn start_node(processor: &Processor, operator_file: &str, crash_point: Option<&str>) -> Node {
    let mut settings = common::configuration(&json!({}))["settings"].clone();
    // The retention covers a restart and the retries after it on a slow machine, and is short
    // enough for the test to wait for its end.
    settings["categories"][1]["memorySpan"] = json!(KEY_RETENTION);
    let config_entries = json!({"processor": processor.address.to_string(), "settings": settings});
    let env: Vec<_> = crash_point
        .map(|p| ("PIPITLEVER_POINT", p))
        .into_iter()
        .collect();
    let node =
        Node::start_with_environment(PROGRAM.as_ref(), config_entries, Some(operator_file), &env);
    node.ready();
    node
}

/// The expected outcome of a duplicate after the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Expected {
    /// The duplicate runs.
    Runs,
    /// The duplicate fails, since the key may have run.
    Fails,
    /// The duplicate gets the result of the run before the kill.
    SameResult,
    /// The duplicate gets the result once the processor has reported it to the new process, and
    /// fails until then.
    ResultOnceReported,
}

/// Where the process is killed, the behaviour of the runs, and the outcome after the restart. At a
/// crash point `NAME:N` the process kills itself: with N = 1 while it stores the record of the key,
/// before the run starts, and with N = 2 while it stores the outcome. At the other points the test
/// kills it.
const KILL_POINTS: [(&str, RunBehaviour, Expected); 9] = [
    // Nothing about the key is on the disk.
    ("before-append:1", RunBehaviour::Complete, Expected::Runs),
    // Only the process is killed: the kernel still writes the appended record, which shows that the
    // key may have run.
    ("before-sync:1", RunBehaviour::Complete, Expected::Fails),
    ("after-sync:1", RunBehaviour::Complete, Expected::Fails),
    ("during the run", RunBehaviour::Lost, Expected::Fails),
    (
        "during the run",
        RunBehaviour::Outlive,
        Expected::ResultOnceReported,
    ),
    // The run has completed, and its outcome is not on the disk.
    ("before-append:2", RunBehaviour::Complete, Expected::Fails),
    (
        "before-sync:2",
        RunBehaviour::Complete,
        Expected::SameResult,
    ),
    ("after-sync:2", RunBehaviour::Complete, Expected::SameResult),
    ("idle", RunBehaviour::Complete, Expected::SameResult),
];

/// Repeats the cycle of a request, a kill, a restart and duplicates `count` times. Returns the
/// number of cycles by kill point, expected outcome and number of runs of the key.
fn run_cycles(count: usize, store_settings: &str) -> BTreeMap<(&'static str, Expected, u64), u64> {
    let scratch = ScratchDirectory::new(if store_settings.is_empty() {
        "kills"
    } else {
        "kills-durable"
    });
    let operator_file = operator_file_text(&scratch, store_settings);
    let processor = Processor::start();
    let mut cycles_by_outcome = BTreeMap::new();
    let mut keys_without_run = Vec::new();
    let mut seed = 20_260u64;
    for cycle in 0..count {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let [first_by_uwsgi, duplicates_by_uwsgi] = [seed >> 40 & 1 == 1, seed >> 41 & 1 == 1];
        let (kill_point, behaviour, expected) = KILL_POINTS[cycle % KILL_POINTS.len()];
        let (key, body) = (
            format!("key-{cycle}"),
            format!("swap of {cycle}").into_bytes(),
        );
        processor.state.lock().unwrap().behaviour = behaviour;
        let crash_point = Some(kill_point).filter(|p| p.contains(':'));
        let mut node = start_node(&processor, &operator_file, crash_point);
        let outcome = match kill_point {
            "during the run" => {
                let addresses = (
                    node.gateway_address,
                    node.uwsgi_address
                        .expect("the uwsgi listener is configured"),
                );
                let (key, body) = (key.clone(), body.clone());
                let sent = body.clone();
                let client =
                    std::thread::spawn(move || request_at(addresses, first_by_uwsgi, &key, &sent));
                assert_eq!(
                    processor
                        .started_runs
                        .recv_timeout(TEST_TIMEOUT)
                        .expect("a run starts"),
                    body
                );
                node.signal("-KILL");
                client.join().unwrap()
            }
            "idle" => {
                let outcome = request_until_admitted(&node, first_by_uwsgi, &key, &body);
                assert_eq!(outcome, Outcome::Served(result(&body)));
                wait_until_synced(&node);
                node.signal("-KILL");
                outcome
            }
            _ => request_until_admitted(&node, first_by_uwsgi, &key, &body),
        };
        node.wait();
        drop(node);
        let durable = store_settings.contains("durable");
        match (kill_point, outcome) {
            ("idle", _) => {}
            // With `answers = "durable"` a result that is not on the disk is not sent.
            ("before-append:2" | "before-sync:2" | "after-sync:2", Outcome::Served(served)) => {
                assert!(
                    !durable && served == result(&body),
                    "cycle {cycle}, {kill_point}"
                );
            }
            (_, outcome) => {
                assert_eq!(
                    outcome,
                    Outcome::Disconnected,
                    "cycle {cycle}, {kill_point}"
                )
            }
        }
        processor.state.lock().unwrap().behaviour = RunBehaviour::Complete;
        let node = start_node(&processor, &operator_file, None);
        let restarted = Instant::now();
        loop {
            let outcome = request_until_admitted(&node, duplicates_by_uwsgi, &key, &body);
            match expected {
                Expected::Runs | Expected::SameResult => {
                    assert_eq!(
                        outcome,
                        Outcome::Served(result(&body)),
                        "cycle {cycle}, {kill_point}"
                    )
                }
                Expected::Fails => {
                    assert_eq!(outcome, Outcome::Failed, "cycle {cycle}, {kill_point}")
                }
                // The processor has not reported the result yet.
                Expected::ResultOnceReported
                    if outcome == Outcome::Failed && restarted.elapsed() < TEST_TIMEOUT =>
                {
                    continue
                }
                Expected::ResultOnceReported => assert_eq!(
                    outcome,
                    Outcome::Served(result(&body)),
                    "cycle {cycle}, {kill_point}"
                ),
            }
            break;
        }
        // The same key with another body is a client error, also after the restart.
        assert_eq!(
            request(&node, duplicates_by_uwsgi, &key, b"another"),
            Outcome::Failed
        );
        while processor.started_runs.try_recv().is_ok() {}
        let runs = processor
            .state
            .lock()
            .unwrap()
            .run_counts
            .get(&body)
            .copied()
            .unwrap_or(0);
        // A key that fails after the restart has run only if the process was killed during the run
        // or before the append of its outcome.
        let expected_runs = u64::from(
            expected != Expected::Fails
                || behaviour == RunBehaviour::Lost
                || kill_point == "before-append:2",
        );
        assert_eq!(runs, expected_runs, "cycle {cycle}, {kill_point}");
        if runs == 0 {
            keys_without_run.push((key, body));
        }
        *cycles_by_outcome
            .entry((kill_point, expected, runs))
            .or_default() += 1;
    }
    // Requests whose run never started fail until the retention of their keys has ended, and then
    // run once.
    let node = start_node(&processor, &operator_file, None);
    let retries_started = Instant::now();
    while !keys_without_run.is_empty() {
        assert!(
            retries_started.elapsed() < 2 * TEST_TIMEOUT,
            "the requests of {} keys do not run after the retention has ended",
            keys_without_run.len()
        );
        keys_without_run.retain(|(key, body)| {
            match request_until_admitted(&node, false, key, body) {
                Outcome::Failed => true,
                outcome => {
                    assert_eq!(outcome, Outcome::Served(result(body)));
                    false
                }
            }
        });
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    let run_counts = processor.state.lock().unwrap().run_counts.clone();
    assert!(
        run_counts.values().all(|&runs| runs == 1) && run_counts.len() == count,
        "not exactly one run for each of {count} keys; {} keys ran",
        run_counts.len()
    );
    cycles_by_outcome
}

#[test]
fn no_key_runs_twice_after_a_kill_at_any_point() {
    let cycles_by_outcome = run_cycles(225, "");
    cycles_by_outcome
        .iter()
        .for_each(|((kill_point, expected, runs), cycles)| {
            println!("{kill_point:<18} {expected:?}: {runs} runs per key, {cycles} cycles");
        });
    assert_eq!(cycles_by_outcome.len(), KILL_POINTS.len());
}

#[test]
fn durable_answers_remain_valid_after_a_kill_at_any_point() {
    assert_eq!(
        run_cycles(90, "answers = \"durable\"\nsync = \"each\"\n").len(),
        KILL_POINTS.len()
    );
}

#[test]
fn a_store_directory_in_use_prevents_the_start_and_a_damaged_one_rejects_keyed_requests() {
    let scratch = ScratchDirectory::new("store-start");
    let text = operator_file_text(&scratch, "");
    let processor = Processor::start();
    let mut node = start_node(&processor, &text, None);
    assert_eq!(
        request_until_admitted(&node, false, "k", b"one"),
        Outcome::Served(result(b"one"))
    );
    // A second node with the same store directory does not start.
    let file = scratch.0.with_extension("json");
    let config = common::configuration(&json!({"processor": processor.address.to_string()}));
    std::fs::write(&file, config.to_string()).unwrap();
    let operator_file = scratch.0.with_extension("toml");
    std::fs::write(&operator_file, &text).unwrap();
    let run = |args: &[&str]| {
        std::process::Command::new(PROGRAM)
            .args(args)
            .output()
            .unwrap()
    };
    let second = run(&[
        "serve",
        "--config",
        file.to_str().unwrap(),
        "--operator",
        operator_file.to_str().unwrap(),
    ]);
    let log = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(
        !second.status.success() && log.contains("another process uses this directory"),
        "{log}"
    );
    node.signal("-TERM");
    assert!(node.wait().success());
    drop(node);
    let folder = scratch.0.to_str().unwrap();
    let check = run(&["store", "check", folder, "--json"]);
    let report: Value = serde_json::from_slice(&check.stdout).unwrap();
    assert!(
        check.status.success() && report["keys"] == 1 && report["damage"] == json!([]),
        "{report}"
    );
    let list = run(&["store", "list", folder, "--json"]);
    let entry: Value = serde_json::from_slice(&list.stdout).unwrap();
    assert_eq!(
        (&entry["key"], &entry["outcome"], &entry["bytes"]),
        (&json!("k"), &json!("served"), &json!(9))
    );
    assert!(run(&["store", "compact", folder]).status.success());
    assert!(!run(&["store", "empty", folder]).status.success());
    // After a bit flip the key of the damaged record may have run, and so may any other key, since
    // it is unknown which one the record contained.
    let segment = std::fs::read_dir(&scratch.0)
        .unwrap()
        .map(|e| e.unwrap().path());
    let segment = segment
        .filter(|p| p.extension().is_some_and(|e| e == "pls"))
        .min()
        .unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    let offset = bytes
        .windows(9)
        .position(|w| w == result(b"one"))
        .expect("the segment contains the result");
    bytes[offset] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
    let check = run(&["store", "check", folder]);
    let report = String::from_utf8_lossy(&check.stdout).into_owned();
    assert!(
        !check.status.success() && report.contains("offset "),
        "{report}"
    );
    let node = start_node(&processor, &text, None);
    assert_eq!(request(&node, false, "k", b"one"), Outcome::Rejected);
    assert_eq!(request(&node, true, "another", b"two"), Outcome::Rejected);
    // Reads are still served.
    let mut gateway = node.gateway();
    gateway.send("rota-view", request_params(5000, None, b"view"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(&result(b"view")));
    drop(node);
    // With `on_damage = "stop"` the node does not start.
    let stop_on_damage = text.replace("max_mb = 8", "max_mb = 8\non_damage = \"stop\"");
    std::fs::write(&operator_file, stop_on_damage).unwrap();
    let third = run(&[
        "serve",
        "--config",
        file.to_str().unwrap(),
        "--operator",
        operator_file.to_str().unwrap(),
    ]);
    assert!(!third.status.success());
    let _ = (
        std::fs::remove_file(&file),
        std::fs::remove_file(&operator_file),
    );
}

/// The store directory is renamed while the node runs: keyed requests are rejected and reads are
/// served. Once the directory is back, keyed requests are accepted again without a restart.
#[test]
fn a_missing_store_directory_rejects_keyed_requests_until_it_is_restored() {
    let scratch = ScratchDirectory::new("store-gone");
    let text = operator_file_text(&scratch, "");
    let processor = Processor::start();
    let node = start_node(&processor, &text, None);
    assert_eq!(
        request_until_admitted(&node, false, "k", b"one"),
        Outcome::Served(result(b"one"))
    );
    // Once all records are synced, the next state that the node logs is due to the missing directory
    // and not to a slow sync.
    wait_until_synced(&node);
    let moved = scratch.0.with_extension("moved");
    std::fs::rename(&scratch.0, &moved).unwrap();
    // The first request is admitted before the failure is detected, and is rejected without a run.
    for (uwsgi, key) in [(true, "gone-1"), (false, "gone-2"), (true, "gone-3")] {
        assert_eq!(
            request(&node, uwsgi, key, key.as_bytes()),
            Outcome::Rejected
        );
    }
    wait_for_store_state(&node, "keyed requests rejected reason=failing");
    let mut gateway = node.gateway();
    gateway.send("rota-view", request_params(5000, None, b"view"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(&result(b"view")));
    // Cached outcomes are still returned.
    assert_eq!(
        request(&node, true, "k", b"one"),
        Outcome::Served(result(b"one"))
    );
    std::fs::rename(&moved, &scratch.0).unwrap();
    wait_for_store_state(&node, "keyed requests accepted");
    assert_eq!(
        request_until_admitted(&node, false, "k2", b"two"),
        Outcome::Served(result(b"two"))
    );
    let run_counts = processor.state.lock().unwrap().run_counts.clone();
    assert!(
        run_counts.values().all(|&runs| runs == 1) && run_counts.len() == 3,
        "{run_counts:?}"
    );
}
