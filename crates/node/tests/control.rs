//! The operators' door, its figures and the drain by call, on real sockets.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

/// A node with a door whose processor is up, and a gateway.
fn daily(more: Value) -> (Node, Processor, Gateway, ControlEndpoint) {
    let mut processor = Processor::new();
    let mut all = json!({"processor": processor.address().to_string(), "control": "127.0.0.1:0"});
    all.as_object_mut()
        .unwrap()
        .extend(more.as_object().unwrap().clone());
    let node = Node::start(all, None);
    let door = node.control_endpoint();
    assert_eq!(
        door.call("GET /status").0,
        503,
        "it takes no clients before its processor is up"
    );
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway, door)
}

fn healthy(gateway: &mut Gateway) -> bool {
    gateway.send("alive", json!({}));
    gateway.receive()["result"]["healthy"] == true
}

#[test]
fn the_door_answers_calls_and_turns_down_what_is_none() {
    let (_node, _processor, _gateway, door) = daily(json!({}));
    assert_eq!(door.call("GET /status").0, 200);
    assert_eq!(door.call("GET /nowhere").0, 404);
    let (status, text) = door.call("GET /standby");
    assert!(
        status == 405 && text.contains("\r\nAllow: POST\r\n"),
        "{text}"
    );
    assert_eq!(
        door.call(&format!("GET /status?{}", "a".repeat(9000))).0,
        431
    );
    assert_eq!(door.call("\u{1}").0, 400);
}

#[test]
fn callers_that_dawdle_take_nothing_from_others() {
    // 192 descriptors: the least that the platform gives on its narrow days.
    let (_node, mut processor, mut gateway, door) =
        daily(json!({"limits": {"sockets": 192, "memory_mb": 24}}));
    let dawdlers: Vec<TcpStream> = (0..300)
        .map(|i| {
            let mut stream = TcpStream::connect(door.0).unwrap();
            // Some say nothing, some half a call; one that was sent away can't be written to, which
            // is its affair.
            let _ = stream.write_all(&b"POST /standby HTTP/1.1\r\nA: b\r\n"[..(i % 3) * 14]);
            stream
        })
        .collect();
    let start = Instant::now();
    assert_eq!(door.call("GET /status").0, 200);
    assert!(start.elapsed().as_millis() < 1000, "{:?}", start.elapsed());
    assert!(healthy(&mut gateway), "half a call is none");
    let number = gateway.send("rota-view", request_params(5000, None, b"body"));
    let (words, _) = processor.command();
    processor.complete(&words[1], "fine", b"result");
    assert_eq!(gateway.receive()["id"], number);
    drop(dawdlers);
}

#[test]
fn figures_count_each_outcome_once_from_nought() {
    let (_node, mut processor, mut gateway, door) = daily(json!({}));
    for figure in ["fulfilled", "throttled", "faulted", "relayed"] {
        assert_eq!(
            door.metric(&format!("operations.swap-confirm.{figure}")),
            Some(0)
        );
    }
    gateway.send("rota-view", request_params(5000, None, b"one"));
    let (one, _) = processor.command();
    gateway.send("rota-view", request_params(5000, None, b"two"));
    let (two, _) = processor.command();
    assert_eq!(door.metric("open_requests"), Some(2));
    processor.complete(&one[1], "fine", b"result");
    processor.complete(&two[1], "fault", b"");
    gateway.receive();
    gateway.receive();
    // Its time is over when it comes: turned away.
    gateway.send("rota-view", request_params(0, None, b"three"));
    gateway.receive();
    let figures = ["fulfilled", "faulted", "throttled", "relayed"];
    let of =
        |class: &str| figures.map(|f| door.metric(&format!("operations.{class}.{f}")).unwrap());
    assert_eq!(
        (of("rota-view"), of("swap-confirm")),
        ([1, 1, 1, 2], [0; 4])
    );
    assert_eq!(
        ["open_requests", "cfg_accepted", "cfg_invalid"].map(|f| door.metric(f)),
        [Some(0); 3]
    );
}

#[test]
fn standby_is_heard_on_open_connections_while_work_goes_on() {
    let (mut node, mut processor, mut gateway, door) = daily(json!({}));
    let swap = request_params(5000, Some("k"), b"body");
    for _ in 0..2 {
        assert_eq!(door.call("POST /standby").0, 200);
        assert!(!healthy(&mut gateway), "a second call changes nothing");
    }
    assert_eq!(
        door.call("GET /status").0,
        200,
        "the process still takes clients"
    );
    gateway.send("swap-confirm", swap);
    let (words, _) = processor.command();
    processor.complete(&words[1], "fine", b"result");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"result"));
    // It stays so over a SIGHUP.
    node.reload(json!({}));
    assert_eq!(node.wait_for_line("reload: "), "reload: done");
    assert!(!healthy(&mut gateway));
    for _ in 0..2 {
        assert_eq!(door.call("POST /active").0, 200);
        assert!(healthy(&mut gateway));
    }
    // On the way out there is no way back. A request that is open keeps the process there.
    gateway.send("rota-view", request_params(5000, None, b"body"));
    let (words, _) = processor.command();
    node.signal("-TERM");
    node.wait_for_line("draining:");
    assert_eq!(door.call("GET /status").0, 503);
    assert_eq!(door.call("POST /active").0, 503);
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(!healthy(&mut gateway));
    processor.complete(&words[1], "fine", b"result");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"result"));
}

#[test]
fn a_drain_after_a_standby_is_a_drain() {
    let (mut node, _processor, mut gateway, door) = daily(json!({}));
    assert_eq!(door.call("POST /standby").0, 200);
    assert!(!healthy(&mut gateway));
    node.signal("-TERM");
    node.wait_for_line("draining:");
    assert_eq!(door.call("POST /standby").0, 200, "it may be said again");
    assert!(!healthy(&mut gateway));
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(node.wait().success());
}

/// The node finds a new configuration, a drain by call and a request in its sockets at once, as it
/// goes on after a standstill.
#[test]
fn a_drain_by_call_and_a_reload_in_one_turn_both_hold() {
    let (mut node, mut processor, mut gateway, door) = daily(json!({}));
    node.signal("-STOP");
    node.reload(json!({}));
    let mut caller = TcpStream::connect(door.0).unwrap();
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
    assert!(!healthy(&mut gateway));
    // And both together with the signal to leave, which wins.
    node.signal("-STOP");
    node.reload(json!({}));
    node.signal("-TERM");
    node.signal("-CONT");
    node.wait_for_line("draining:");
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(node.wait().success());
}
