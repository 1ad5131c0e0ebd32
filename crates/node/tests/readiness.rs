//! Starts of a node: among many other processes, with a listening address that is still in use, and
//! without the services that the node connects to.

mod common;

use common::*;
use serde_json::json;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Nine in ten processes are ready within this time.
const READY: Duration = Duration::from_secs(10);

#[test]
fn twenty_nodes_started_at_once_are_ready_in_time() {
    let start = Instant::now();
    let start_node = |_| {
        std::thread::spawn(move || {
            let mut processor = Processor::new();
            // Nothing listens at the addresses of the ledger and the service registry.
            let config_entries = json!({"processor": processor.address(),
                "ledger": unused_address(), "members": unused_address()});
            let node = Node::start(config_entries, None);
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
    let nodes: Vec<_> = (0..20).map(start_node).collect();
    let ready: Vec<Duration> = nodes.into_iter().map(|node| node.join().unwrap()).collect();
    let in_time = ready.iter().filter(|ready| **ready <= READY).count();
    assert!(in_time >= 18, "{ready:?}");
}

#[test]
fn a_start_waits_for_an_address_that_is_in_use() {
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = occupied.local_addr().unwrap();
    let mut processor = Processor::new();
    let config_entries = json!({"processor": processor.address(), "listen": at.to_string()});
    let starting = std::thread::spawn(move || Node::start(config_entries, None));
    // A node connects to its processor only once it listens; until then the address is in use.
    std::thread::sleep(Duration::from_millis(200));
    drop(occupied);
    processor.accept_running();
    let node = starting.join().unwrap();
    assert_eq!(node.gateway_address, at);
    node.ready();
}

/// Guards against a node that handles a SIGTERM, received while it waits for its address, only
/// after it listens and serves.
#[test]
fn a_start_that_waits_for_its_address_ends_on_sigterm() {
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = configuration(&json!({"processor": unused_address(),
            "listen": occupied.local_addr().unwrap().to_string()}));
    let scratch = ScratchDirectory::new("stopped-while-waiting");
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
    // The signal handler is installed early in the start; before that the default action ends the
    // process as well, but not with exit code 0.
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
    let signalled_at = Instant::now();
    assert!(Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap()
        .success());
    let status = child.wait().unwrap();
    assert!(status.success(), "{status}");
    // The node waits up to 5 s for its address, and a drain takes half of that time.
    assert!(
        signalled_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        signalled_at.elapsed()
    );
}

/// Requests that arrive before the processor is up are rejected with an answer; later ones are
/// served.
#[test]
fn a_node_whose_processor_starts_late_answers_before_and_after() {
    let mut processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address()}), None);
    let mut early = node.gateway();
    early.send("rota-view", request_params(5000, None, b"early"));
    assert_eq!(early.receive()["error"]["code"], -32000);
    processor.accept();
    early.send(
        "rota-view",
        request_params(5000, None, b"connected, not up"),
    );
    assert_eq!(early.receive()["error"]["code"], -32000);
    processor.send(b"hi starting 0.5\r\n");
    let mut gateway = node.ready();
    gateway.send("rota-view", request_params(5000, None, b"up"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
}
