//! The control endpoint over TCP: its calls, its metrics and the drain by `POST /standby`.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

/// Starts a node with a control endpoint, a running processor and a gateway.
fn start_with_control(entries: Value) -> (Node, Processor, Gateway, ControlEndpoint) {
    let mut processor = Processor::new();
    let mut config_entries =
        json!({"processor": processor.address().to_string(), "control": "127.0.0.1:0"});
    config_entries
        .as_object_mut()
        .unwrap()
        .extend(entries.as_object().unwrap().clone());
    let node = Node::start(config_entries, None);
    let control = node.control_endpoint();
    assert_eq!(
        control.call("GET /status").0,
        503,
        "healthy before the processor is running"
    );
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway, control)
}

fn is_healthy(gateway: &mut Gateway) -> bool {
    gateway.send("alive", json!({}));
    gateway.receive()["result"]["healthy"] == true
}

#[test]
fn the_control_endpoint_answers_calls_and_rejects_invalid_ones() {
    let (_node, _processor, _gateway, control) = start_with_control(json!({}));
    assert_eq!(control.call("GET /status").0, 200);
    assert_eq!(control.call("GET /nowhere").0, 404);
    let (status, text) = control.call("GET /standby");
    assert!(
        status == 405 && text.contains("\r\nAllow: POST\r\n"),
        "{text}"
    );
    assert_eq!(
        control.call(&format!("GET /status?{}", "a".repeat(9000))).0,
        431
    );
    assert_eq!(control.call("\u{1}").0, 400);
}

#[test]
fn incomplete_control_calls_delay_no_others() {
    // 192 descriptors are the lowest limit that the platform sets.
    let (_node, mut processor, mut gateway, control) =
        start_with_control(json!({"limits": {"sockets": 192, "memory_mb": 24}}));
    let incomplete_calls: Vec<TcpStream> = (0..300)
        .map(|i| {
            let mut stream = TcpStream::connect(control.0).unwrap();
            // No bytes, or a part of a call. Writes fail on connections that the node has closed
            // already.
            let _ = stream.write_all(&b"POST /standby HTTP/1.1\r\nA: b\r\n"[..(i % 3) * 14]);
            stream
        })
        .collect();
    let start = Instant::now();
    assert_eq!(control.call("GET /status").0, 200);
    assert!(start.elapsed().as_millis() < 1000, "{:?}", start.elapsed());
    assert!(
        is_healthy(&mut gateway),
        "incomplete calls changed the health"
    );
    let number = gateway.send("rota-view", request_params(5000, None, b"body"));
    let (command, _) = processor.command();
    processor.complete(&command[1], "fine", b"result");
    assert_eq!(gateway.receive()["id"], number);
    drop(incomplete_calls);
}

#[test]
fn metrics_count_each_outcome_once_from_zero() {
    let (_node, mut processor, mut gateway, control) = start_with_control(json!({}));
    for metric in ["fulfilled", "throttled", "faulted", "relayed"] {
        assert_eq!(
            control.metric(&format!("operations.swap-confirm.{metric}")),
            Some(0)
        );
    }
    gateway.send("rota-view", request_params(5000, None, b"one"));
    let (one, _) = processor.command();
    gateway.send("rota-view", request_params(5000, None, b"two"));
    let (two, _) = processor.command();
    assert_eq!(control.metric("open_requests"), Some(2));
    processor.complete(&one[1], "fine", b"result");
    processor.complete(&two[1], "fault", b"");
    gateway.receive();
    gateway.receive();
    // A request whose time is up on arrival is rejected.
    gateway.send("rota-view", request_params(0, None, b"three"));
    gateway.receive();
    let metrics = ["fulfilled", "faulted", "throttled", "relayed"];
    let values = |class: &str| {
        metrics.map(|name| {
            control
                .metric(&format!("operations.{class}.{name}"))
                .unwrap()
        })
    };
    assert_eq!(
        (values("rota-view"), values("swap-confirm")),
        ([1, 1, 1, 2], [0; 4])
    );
    assert_eq!(
        ["open_requests", "cfg_accepted", "cfg_invalid"].map(|name| control.metric(name)),
        [Some(0); 3]
    );
}

#[test]
fn standby_reaches_open_connections_and_requests_are_still_served() {
    let (mut node, mut processor, mut gateway, control) = start_with_control(json!({}));
    let swap = request_params(5000, Some("k"), b"body");
    for _ in 0..2 {
        assert_eq!(control.call("POST /standby").0, 200);
        assert!(!is_healthy(&mut gateway), "healthy in standby");
    }
    assert_eq!(
        control.call("GET /status").0,
        200,
        "the process still accepts clients"
    );
    gateway.send("swap-confirm", swap);
    let (command, _) = processor.command();
    processor.complete(&command[1], "fine", b"result");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"result"));
    // A reload does not end the standby.
    node.reload(json!({}));
    assert_eq!(node.wait_for_line("reload: "), "reload: done");
    assert!(!is_healthy(&mut gateway));
    for _ in 0..2 {
        assert_eq!(control.call("POST /active").0, 200);
        assert!(is_healthy(&mut gateway));
    }
    // During a shutdown `POST /active` is rejected. An open request keeps the process running.
    gateway.send("rota-view", request_params(5000, None, b"body"));
    let (command, _) = processor.command();
    node.signal("-TERM");
    node.wait_for_line("draining:");
    assert_eq!(control.call("GET /status").0, 503);
    assert_eq!(control.call("POST /active").0, 503);
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(!is_healthy(&mut gateway));
    processor.complete(&command[1], "fine", b"result");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"result"));
}

#[test]
fn a_node_in_standby_drains_on_sigterm() {
    let (mut node, _processor, mut gateway, control) = start_with_control(json!({}));
    assert_eq!(control.call("POST /standby").0, 200);
    assert!(!is_healthy(&mut gateway));
    node.signal("-TERM");
    node.wait_for_line("draining:");
    assert_eq!(
        control.call("POST /standby").0,
        200,
        "a repeated call is rejected"
    );
    assert!(!is_healthy(&mut gateway));
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(node.wait().success());
}

/// The process is stopped by a signal; when it continues, a new configuration, a `POST /standby`
/// and a request are pending at once.
#[test]
fn a_standby_and_a_reload_pending_at_once_both_take_effect() {
    let (mut node, mut processor, mut gateway, control) = start_with_control(json!({}));
    node.signal("-STOP");
    node.reload(json!({}));
    let mut caller = TcpStream::connect(control.0).unwrap();
    caller.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    caller
        .write_all(b"POST /standby HTTP/1.1\r\nHost: n1\r\n\r\n")
        .unwrap();
    gateway.send("rota-view", request_params(5000, None, b"body"));
    node.signal("-CONT");
    assert_eq!(read_response(caller).0, 200);
    assert_eq!(node.wait_for_line("reload: "), "reload: done");
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
    assert!(!is_healthy(&mut gateway));
    // A reload and SIGTERM pending at once: the shutdown takes precedence.
    node.signal("-STOP");
    node.reload(json!({}));
    node.signal("-TERM");
    node.signal("-CONT");
    node.wait_for_line("draining:");
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(node.wait().success());
}
