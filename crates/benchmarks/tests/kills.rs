//! Kills a node at each point of the lifecycle of a request with an idempotency key, and restarts it,
//! hundreds of times. The processor counts the runs of each key.

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
const WINDOW: u64 = 8_000_000;

/// The behaviour of the processor's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Runs {
    /// Runs end at once.
    End,
    /// Runs do not end, and are lost with the node.
    Lost,
    /// Runs outlive the node, and the next process is notified of their results.
    Outlive,
}

/// The number of runs by body, and the runs whose results are still to be sent.
struct State {
    writes: HashMap<Vec<u8>, u64>,
    runs: Runs,
    outlived: Vec<(String, Vec<u8>)>,
}

/// A processor that outlives the node's processes.
struct Processor {
    at: SocketAddr,
    state: Arc<Mutex<State>>,
    begun: Receiver<Vec<u8>>,
}

fn result(body: &[u8]) -> Vec<u8> {
    [b"done: ", body].concat()
}

impl Processor {
    fn start() -> Processor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let state = State {
            writes: HashMap::new(),
            runs: Runs::End,
            outlived: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let (sender, begun) = channel();
        let shared = state.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (shared, sender) = (shared.clone(), sender.clone());
                std::thread::spawn(move || serve(stream, &shared, &sender));
            }
        });
        Processor { at, state, begun }
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>, begun: &Sender<Vec<u8>>) -> Option<()> {
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
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[0] {
            "hello" => {
                stream.write_all(b"hi running 60000\r\n").ok()?;
                let outlived = std::mem::take(&mut state.lock().unwrap().outlived);
                for (id, body) in outlived {
                    complete(&mut stream, &id, &body)?;
                }
            }
            "usage" => stream
                .write_all(format!("used {} 0.5 1 0.1 2\r\n", words[1]).as_bytes())
                .ok()?,
            "begin" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                let runs = {
                    let mut state = state.lock().unwrap();
                    *state.writes.entry(body.clone()).or_default() += 1;
                    if state.runs == Runs::Outlive {
                        state.outlived.push((words[1].to_owned(), body.clone()));
                    }
                    state.runs
                };
                let _ = begun.send(body.clone());
                if runs == Runs::End {
                    complete(&mut stream, words[1], &body)?;
                }
            }
            word => panic!("a command {word}"),
        }
    }
}

fn operator(folder: &ScratchDirectory, more: &str) -> String {
    format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"processor\"\n\
         [store]\nfolder = \"{}\"\nmax_mb = 8\n{more}",
        folder.0.display()
    )
}

/// What a client hears of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Heard {
    Served(Vec<u8>),
    Refused,
    Failed,
    /// The connection ended.
    Nothing,
}

/// Sends a request on either protocol and waits for the outcome.
fn ask(node: &Node, uwsgi: bool, key: &str, body: &[u8]) -> Heard {
    ask_at(
        (
            node.gateway_address,
            node.uwsgi_address.expect("the front is on"),
        ),
        uwsgi,
        key,
        body,
    )
}

/// As a client does: refused promises that it never ran, and a disk that takes its time over one
/// sync has keys refused for that long.
fn ask_again(node: &Node, uwsgi: bool, key: &str, body: &[u8]) -> Heard {
    let start = Instant::now();
    loop {
        match ask(node, uwsgi, key, body) {
            Heard::Refused if start.elapsed() < TEST_TIMEOUT => {}
            heard => return heard,
        }
    }
}

/// What is told at once is on the disk a moment later: once nothing waits for it.
fn settled(node: &Node) {
    loop {
        node.signal("-USR1");
        if Node::counter(&node.wait_for_line("store: used="), "waiting") == 0 {
            return;
        }
    }
}

/// Waits for the node to say this of its store: it may say before that its disk is slow.
fn said(node: &Node, what: &str) {
    while !node.wait_for_line("store: keyed").contains(what) {}
}

fn ask_at(
    (gateways, front): (SocketAddr, SocketAddr),
    uwsgi: bool,
    key: &str,
    body: &[u8],
) -> Heard {
    if uwsgi {
        let Ok(mut stream) = TcpStream::connect(front) else {
            return Heard::Nothing;
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut bytes = Vec::new();
        let sent = stream.write_all(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", key)], body));
        let read = sent.and_then(|()| stream.read_to_end(&mut bytes));
        let text = String::from_utf8_lossy(&bytes);
        return match text.get(9..12) {
            _ if read.is_err() => Heard::Nothing,
            Some("200") => {
                let at = bytes
                    .windows(4)
                    .position(|w| w == b"\r\n\r\n")
                    .expect("a head");
                Heard::Served(bytes[at + 4..].to_vec())
            }
            Some("503") => Heard::Refused,
            Some(_) => Heard::Failed,
            None => Heard::Nothing,
        };
    }
    let Ok(stream) = TcpStream::connect(gateways) else {
        return Heard::Nothing;
    };
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let params = request_params(5000, Some(key), body);
    let message = json!({"jsonrpc": "2.0", "id": 1, "method": "swap-confirm", "params": params});
    if (&stream)
        .write_all(format!("{message}\n").as_bytes())
        .is_err()
    {
        return Heard::Nothing;
    }
    let mut line = String::new();
    if BufReader::new(&stream).read_line(&mut line).unwrap_or(0) == 0 {
        return Heard::Nothing;
    }
    let answer: Value = serde_json::from_str(&line).unwrap();
    match answer["error"]["code"].as_i64() {
        None => {
            use ::base64::Engine;
            let doc = answer["result"]["doc"].as_str().expect("a result");
            Heard::Served(
                ::base64::engine::general_purpose::STANDARD
                    .decode(doc)
                    .unwrap(),
            )
        }
        Some(-32000) => Heard::Refused,
        Some(_) => Heard::Failed,
    }
}

fn start(processor: &Processor, operator: &str, point: Option<&str>) -> Node {
    let mut settings = common::configuration(&json!({}))["settings"].clone();
    // Long enough for a restart and its repeats on a slow machine, short enough to be waited for.
    settings["categories"][1]["memorySpan"] = json!(WINDOW);
    let parties = json!({"processor": processor.at.to_string(), "settings": settings});
    let env: Vec<_> = point.map(|p| ("PIPITLEVER_POINT", p)).into_iter().collect();
    let node = Node::start_with_environment(PROGRAM.as_ref(), parties, Some(operator), &env);
    node.ready();
    node
}

/// Where the process is killed, what its runs do, and what the repeat after the restart gets: the
/// result, a run of its own, or a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Then {
    Runs,
    Fails,
    SameResult,
    Learns,
}

const POINTS: [(&str, Runs, Then); 9] = [
    // Nothing of it is on the disk.
    ("before-append:1", Runs::End, Then::Runs),
    // The process dies, the system goes on and writes what it was given: it looks like a run.
    ("before-sync:1", Runs::End, Then::Fails),
    ("after-sync:1", Runs::End, Then::Fails),
    ("during the run", Runs::Lost, Then::Fails),
    ("during the run", Runs::Outlive, Then::Learns),
    // The run has ended, and its outcome is not on the disk.
    ("before-append:2", Runs::End, Then::Fails),
    ("before-sync:2", Runs::End, Then::SameResult),
    ("after-sync:2", Runs::End, Then::SameResult),
    ("at rest", Runs::End, Then::SameResult),
];

/// So many cycles of a request, a kill, a restart and repeats. How many writes there were for each
/// key, by point.
fn cycles(count: usize, more: &str) -> BTreeMap<(&'static str, Then, u64), u64> {
    let scratch = ScratchDirectory::new(if more.is_empty() {
        "kills"
    } else {
        "kills-durable"
    });
    let operator = operator(&scratch, more);
    let processor = Processor::start();
    let mut seen = BTreeMap::new();
    let mut unwritten = Vec::new();
    let mut seed = 20_260u64;
    for cycle in 0..count {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let [first_front, second_front] = [seed >> 40 & 1 == 1, seed >> 41 & 1 == 1];
        let (point, runs, then) = POINTS[cycle % POINTS.len()];
        let (key, body) = (
            format!("key-{cycle}"),
            format!("swap of {cycle}").into_bytes(),
        );
        processor.state.lock().unwrap().runs = runs;
        let named = Some(point).filter(|p| p.contains(':'));
        let mut node = start(&processor, &operator, named);
        let heard = match point {
            "during the run" => {
                let at = (
                    node.gateway_address,
                    node.uwsgi_address.expect("the front is on"),
                );
                let (key, body) = (key.clone(), body.clone());
                let sent = body.clone();
                let asked = std::thread::spawn(move || ask_at(at, first_front, &key, &sent));
                assert_eq!(
                    processor
                        .begun
                        .recv_timeout(TEST_TIMEOUT)
                        .expect("it begins"),
                    body
                );
                node.signal("-KILL");
                asked.join().unwrap()
            }
            "at rest" => {
                let heard = ask_again(&node, first_front, &key, &body);
                assert_eq!(heard, Heard::Served(result(&body)));
                settled(&node);
                node.signal("-KILL");
                heard
            }
            _ => ask_again(&node, first_front, &key, &body),
        };
        node.wait();
        drop(node);
        let durable = more.contains("durable");
        match (point, heard) {
            ("at rest", _) => {}
            // With answers that wait nobody hears of what is not on the disk.
            ("before-append:2" | "before-sync:2" | "after-sync:2", Heard::Served(served)) => {
                assert!(!durable && served == result(&body), "{cycle} {point}");
            }
            (_, heard) => assert_eq!(heard, Heard::Nothing, "{cycle} {point}"),
        }
        processor.state.lock().unwrap().runs = Runs::End;
        let node = start(&processor, &operator, None);
        let asked = Instant::now();
        loop {
            let again = ask_again(&node, second_front, &key, &body);
            match then {
                Then::Runs | Then::SameResult => {
                    assert_eq!(again, Heard::Served(result(&body)), "{cycle} {point}")
                }
                Then::Fails => assert_eq!(again, Heard::Failed, "{cycle} {point}"),
                // Until the processor has told of it.
                Then::Learns if again == Heard::Failed && asked.elapsed() < TEST_TIMEOUT => {
                    continue
                }
                Then::Learns => assert_eq!(again, Heard::Served(result(&body)), "{cycle} {point}"),
            }
            break;
        }
        // Another body under the same key is its client's error, over the restart, too.
        assert_eq!(ask(&node, second_front, &key, b"another"), Heard::Failed);
        while processor.begun.try_recv().is_ok() {}
        let writes = processor
            .state
            .lock()
            .unwrap()
            .writes
            .get(&body)
            .copied()
            .unwrap_or(0);
        let wanted =
            u64::from(then != Then::Fails || runs == Runs::Lost || point == "before-append:2");
        assert_eq!(writes, wanted, "{cycle} {point}");
        if writes == 0 {
            unwritten.push((key, body));
        }
        *seen.entry((point, then, writes)).or_default() += 1;
    }
    // Whose run never began: its client comes back once the window is over, and it is written then,
    // once.
    let node = start(&processor, &operator, None);
    let came = Instant::now();
    while !unwritten.is_empty() {
        assert!(
            came.elapsed() < 2 * TEST_TIMEOUT,
            "{} keys are never written",
            unwritten.len()
        );
        unwritten.retain(|(key, body)| match ask_again(&node, false, key, body) {
            Heard::Failed => true,
            heard => {
                assert_eq!(heard, Heard::Served(result(body)));
                false
            }
        });
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    let writes = processor.state.lock().unwrap().writes.clone();
    assert!(
        writes.values().all(|&w| w == 1) && writes.len() == count,
        "{} keys",
        writes.len()
    );
    seen
}

#[test]
fn killed_at_every_point_no_key_is_written_twice() {
    let seen = cycles(225, "");
    seen.iter().for_each(|((point, then, writes), cycles)| {
        println!("{point:<18} {then:?}: {writes} writes a key, {cycles} cycles");
    });
    assert_eq!(seen.len(), POINTS.len());
}

#[test]
fn answers_that_wait_for_the_disk_are_never_taken_back() {
    assert_eq!(
        cycles(90, "answers = \"durable\"\nsync = \"each\"\n").len(),
        POINTS.len()
    );
}

#[test]
fn a_folder_in_use_is_an_error_and_a_damaged_one_refuses() {
    let scratch = ScratchDirectory::new("store-start");
    let text = operator(&scratch, "");
    let processor = Processor::start();
    let mut node = start(&processor, &text, None);
    assert_eq!(
        ask_again(&node, false, "k", b"one"),
        Heard::Served(result(b"one"))
    );
    // A second node on the same folder does not start.
    let file = scratch.0.with_extension("json");
    let config = common::configuration(&json!({"processor": processor.at.to_string()}));
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
    let said = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(
        !second.status.success() && said.contains("another process uses this directory"),
        "{said}"
    );
    node.signal("-TERM");
    assert!(node.wait().success());
    drop(node);
    let folder = scratch.0.to_str().unwrap();
    let check = run(&["store", "check", folder, "--json"]);
    let said: Value = serde_json::from_slice(&check.stdout).unwrap();
    assert!(
        check.status.success() && said["keys"] == 1 && said["damage"] == json!([]),
        "{said}"
    );
    let list = run(&["store", "list", folder, "--json"]);
    let said: Value = serde_json::from_slice(&list.stdout).unwrap();
    assert_eq!(
        (&said["key"], &said["outcome"], &said["bytes"]),
        (&json!("k"), &json!("served"), &json!(9))
    );
    assert!(run(&["store", "compact", folder]).status.success());
    assert!(!run(&["store", "empty", folder]).status.success());
    // A flipped bit: the key it held may have run, and so may any other.
    let segment = std::fs::read_dir(&scratch.0)
        .unwrap()
        .map(|e| e.unwrap().path());
    let segment = segment
        .filter(|p| p.extension().is_some_and(|e| e == "pls"))
        .min()
        .unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    let at = bytes
        .windows(9)
        .position(|w| w == result(b"one"))
        .expect("its result");
    bytes[at] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
    let check = run(&["store", "check", folder]);
    let said = String::from_utf8_lossy(&check.stdout).into_owned();
    assert!(
        !check.status.success() && said.contains("offset "),
        "{said}"
    );
    let node = start(&processor, &text, None);
    assert_eq!(ask(&node, false, "k", b"one"), Heard::Refused);
    assert_eq!(ask(&node, true, "another", b"two"), Heard::Refused);
    // Reads go on.
    let mut gateway = node.gateway();
    gateway.send("rota-view", request_params(5000, None, b"view"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(&result(b"view")));
    drop(node);
    let stop = text.replace("max_mb = 8", "max_mb = 8\non_damage = \"stop\"");
    std::fs::write(&operator_file, stop).unwrap();
    let stopped = run(&[
        "serve",
        "--config",
        file.to_str().unwrap(),
        "--operator",
        operator_file.to_str().unwrap(),
    ]);
    assert!(!stopped.status.success());
    let _ = (
        std::fs::remove_file(&file),
        std::fs::remove_file(&operator_file),
    );
}

/// The folder is taken away under the node: keyed requests are refused, reads go on, and it heals
/// by itself.
#[test]
fn a_folder_that_vanishes_refuses_keys_until_it_is_back() {
    let scratch = ScratchDirectory::new("store-gone");
    let text = operator(&scratch, "");
    let processor = Processor::start();
    let node = start(&processor, &text, None);
    assert_eq!(
        ask_again(&node, false, "k", b"one"),
        Heard::Served(result(b"one"))
    );
    // A slow sync is over by then, and the next line is of the folder.
    settled(&node);
    let away = scratch.0.with_extension("away");
    std::fs::rename(&scratch.0, &away).unwrap();
    // The first one to find out was let in, and never ran.
    for (uwsgi, key) in [(true, "gone-1"), (false, "gone-2"), (true, "gone-3")] {
        assert_eq!(ask(&node, uwsgi, key, key.as_bytes()), Heard::Refused);
    }
    said(&node, "keyed requests rejected reason=failing");
    let mut gateway = node.gateway();
    gateway.send("rota-view", request_params(5000, None, b"view"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(&result(b"view")));
    // What is known is still told.
    assert_eq!(ask(&node, true, "k", b"one"), Heard::Served(result(b"one")));
    std::fs::rename(&away, &scratch.0).unwrap();
    said(&node, "keyed requests accepted");
    assert_eq!(
        ask_again(&node, false, "k2", b"two"),
        Heard::Served(result(b"two"))
    );
    let writes = processor.state.lock().unwrap().writes.clone();
    assert!(
        writes.values().all(|&w| w == 1) && writes.len() == 3,
        "{writes:?}"
    );
}
