//! Starts: under a crowd of others, beside an address that is still in use, without the parties
//! that the node needs.

mod common;

use common::*;
use serde_json::json;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Nine in ten processes are ready within this time.
const READY: Duration = Duration::from_secs(10);

#[test]
fn twenty_that_start_at_once_are_ready_in_time() {
    let start = Instant::now();
    let one = |_| {
        std::thread::spawn(move || {
            let mut processor = Processor::new();
            // Neither the ledger nor the membership service is there.
            let parties = json!({"processor": processor.address(), "ledger": unused_address(), "members": unused_address()});
            let node = Node::start(parties, None);
            processor.accept_running();
            let mut gateway = node.ready();
            let ready = start.elapsed();
            gateway.send("rota-view", request_params(9000, None, b"first"));
            let (id, _) = processor.begin();
            processor.complete(&id, "fine", b"served");
            assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
            ready
        })
    };
    let nodes: Vec<_> = (0..20).map(one).collect();
    let ready: Vec<Duration> = nodes.into_iter().map(|node| node.join().unwrap()).collect();
    let in_time = ready.iter().filter(|ready| **ready <= READY).count();
    assert!(in_time >= 18, "{ready:?}");
}

#[test]
fn a_start_waits_for_an_address_that_is_about_to_be_free() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap();
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address(), "listen": at.to_string()});
    let starting = std::thread::spawn(move || Node::start(parties, None));
    // The link is set up only by a node that listens; until then its address is another's.
    std::thread::sleep(Duration::from_millis(200));
    drop(taken);
    processor.accept_running();
    let node = starting.join().unwrap();
    assert_eq!(node.gateway_address, at);
    node.ready();
}

/// It went on to listen and serve, and only then read the signal.
#[test]
fn a_start_that_waits_for_its_address_ends_when_told_to() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = configuration(
        &json!({"processor": unused_address(), "listen": taken.local_addr().unwrap().to_string()}),
    );
    let scratch = ScratchDirectory::new("told-to-leave");
    std::fs::create_dir_all(&scratch.0).unwrap();
    let file = scratch.0.join("config.json");
    std::fs::write(&file, config.to_string()).unwrap();
    let program = std::env::var_os("PIPITLEVER_PROGRAM").unwrap_or_else(|| PROGRAM.into());
    let mut child = Command::new(program)
        .arg("serve")
        .arg("--config")
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let start = Instant::now();
    // Signals are caught from early on; before that the default ends the process as well, but not
    // with 0.
    let caught = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("SigCgt:"))
            .unwrap()
            .trim()
            .to_owned();
        u64::from_str_radix(&line, 16).unwrap() & (1 << 14) != 0
    };
    while !caught() {
        assert!(start.elapsed() < TEST_TIMEOUT);
        std::thread::yield_now();
    }
    let told = Instant::now();
    assert!(Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap()
        .success());
    let status = child.wait().unwrap();
    assert!(status.success(), "{status}");
    // The address is waited for up to 5 s, and a drain takes half of that.
    assert!(
        told.elapsed() < Duration::from_secs(2),
        "{:?}",
        told.elapsed()
    );
}

/// Bytes that came before the processor was up get an answer, and so does what comes once it is.
#[test]
fn a_processor_that_comes_late_finds_a_node_that_answers() {
    let mut processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address()}), None);
    let mut early = node.gateway();
    early.send("rota-view", request_params(5000, None, b"early"));
    assert_eq!(early.receive()["error"]["code"], -32000);
    processor.accept();
    early.send(
        "rota-view",
        request_params(5000, None, b"accepted, and not up"),
    );
    assert_eq!(early.receive()["error"]["code"], -32000);
    processor.send(b"hi starting 0.5\r\n");
    let mut gateway = node.ready();
    gateway.send("rota-view", request_params(5000, None, b"up"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
}
