//! Closing of connections and shutdown of the node: neither loses a request or an answer.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Config entries that set the idle timeout of connections, in milliseconds.
fn idle_timeout(ms: u64) -> Value {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["keepaliveMax"] = json!(ms * 1000);
    json!({ "settings": settings })
}

/// Starts a node with these config entries, connects its processor and a gateway.
fn start_node(entries: Value) -> (Node, Processor, Gateway) {
    let mut processor = Processor::new();
    let mut config_entries = json!({"processor": processor.address()});
    config_entries
        .as_object_mut()
        .unwrap()
        .extend(entries.as_object().unwrap().clone());
    let node = Node::start(config_entries, None);
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway)
}

/// A request, encoded as a line.
fn request_line(id: u64, params: &Value) -> String {
    format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": id, "method": "rota-view", "params": params})
    )
}

/// Reads until the end of the stream. Panics on a reset.
fn read_until_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("the stream ends without a reset");
    String::from_utf8(bytes).unwrap()
}

/// Opens a raw connection, sends a health check and reads its answer.
fn connect_and_check_health(node: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(node.gateway_address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n")
        .unwrap();
    let mut bytes = [0; 512];
    let mut read = 0;
    while !bytes[..read].contains(&b'\n') {
        read += stream.read(&mut bytes[read..]).unwrap();
    }
    stream
}

/// Reads until the end of the `goaway` message, and no further.
fn read_goaway(stream: &mut TcpStream) {
    let mut text = String::new();
    while !text.ends_with('\n') {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "goaway comes before the end"
        );
        text.push(byte[0] as char);
    }
    assert!(text.contains("\"method\":\"goaway\""), "{text}");
}

#[test]
fn a_request_sent_during_the_close_of_an_idle_connection_is_answered() {
    let (node, mut processor, _gateway) = start_node(idle_timeout(500));
    let mut stream = connect_and_check_health(&node);
    // A gateway may send further requests before it reads this message.
    read_goaway(&mut stream);
    stream
        .write_all(request_line(2, &request_params(5000, None, b"crossed")).as_bytes())
        .unwrap();
    let (id, body) = processor.begin();
    assert_eq!(body, b"crossed");
    processor.complete(&id, "fine", b"served");
    let all = read_until_end(&mut stream);
    assert!(all.contains(&base64(b"served")), "{all}");
}

#[test]
fn an_incomplete_line_on_an_idle_connection_can_be_completed() {
    let (node, mut processor, _gateway) = start_node(idle_timeout(500));
    let mut stream = connect_and_check_health(&node);
    let text = request_line(2, &request_params(5000, None, b"in halves"));
    let (first, second) = text.as_bytes().split_at(40);
    stream.write_all(first).unwrap();
    read_goaway(&mut stream);
    stream.write_all(second).unwrap();
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    let all = read_until_end(&mut stream);
    assert!(all.contains(&base64(b"served")), "{all}");
}

#[test]
fn bytes_after_an_idle_close_are_dropped_and_do_not_reset_it() {
    let (node, _processor, _gateway) = start_node(idle_timeout(300));
    let mut stream = connect_and_check_health(&node);
    read_goaway(&mut stream);
    assert_eq!(
        stream.read(&mut [0; 64]).unwrap(),
        0,
        "the node has half-closed"
    );
    // Sent within the 100 ms for which the node still reads: after a close the kernel would reset
    // the connection.
    stream.write_all(b"{\"jsonrpc\":").unwrap();
    stream.write_all(b"\"2.0\"}\n").unwrap();
    assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0);
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0);
}

/// Guards against a request that runs without an answer because it was read together with the last
/// error, which closes the connection.
#[test]
fn no_request_after_the_last_error_runs() {
    let (mut node, mut processor, mut gateway) = start_node(json!({}));
    let mut bad = TcpStream::connect(node.gateway_address).unwrap();
    bad.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let request = request_line(1, &request_params(5000, None, b"after the close"));
    bad.write_all(format!("{}{request}", "{\n".repeat(8)).as_bytes())
        .unwrap();
    assert_eq!(read_until_end(&mut bad).lines().count(), 8);
    gateway.send("rota-view", request_params(5000, None, b"after"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"after");
    processor.complete(&id, "fine", b"");
    gateway.receive();
    node.signal("-TERM");
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "requests"), 1, "{counters}");
    assert!(node.wait().success());
}

/// Guards against resets at the end of a drain, when the process closed connections with unread
/// bytes.
#[test]
fn clients_that_never_stop_sending_are_answered_and_not_reset_by_the_end_of_a_drain() {
    let (mut node, mut processor, _gateway) = start_node(json!({"stop_ms": 3000}));
    let node_at = node.gateway_address;
    let client = move || -> (u64, usize) {
        let mut stream = TcpStream::connect(node_at).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let writer = std::thread::spawn(move || {
            for id in 1.. {
                // The node answers each of these until the half-close and drops later ones.
                let check = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n");
                if stream.write_all(check.as_bytes()).is_err() {
                    return id;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            unreachable!()
        });
        let text = read_until_end(&mut reader);
        drop(reader);
        (
            writer.join().unwrap(),
            text.lines().filter(|l| l.contains("\"id\":")).count(),
        )
    };
    let clients: Vec<_> = (0..8).map(|_| std::thread::spawn(client)).collect();
    let mut gateway = node.gateway();
    gateway.send("rota-view", request_params(2500, None, b"running"));
    let (id, _) = processor.begin();
    let start = Instant::now();
    node.signal("-TERM");
    assert_eq!(gateway.receive()["method"], "goaway");
    processor.complete(&id, "fine", b"served");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
    for client in clients {
        let (sent, answered) = client.join().expect("no reset");
        assert!(answered > 0 && answered as u64 <= sent);
    }
    assert!(node.wait().success());
    assert!(
        start.elapsed() < Duration::from_millis(3000),
        "{:?}",
        start.elapsed()
    );
}

/// Each request that a node has queued, in flight or unread when the signal arrives gets exactly
/// one answer, and only requests that arrived within the grace period run.
#[test]
fn a_drain_answers_queued_running_waiting_and_unread_requests() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let entries = json!({"ledger": ledger.local_addr().unwrap(), "stop_ms": 4000});
    let (mut node, mut processor, mut gateway) = start_node(entries);
    let calling = gateway.send("rota-view", request_params(3000, None, b"calls"));
    let (call_id, _) = processor.begin();
    processor.notice("ask", &call_id, b"body");
    let mut ledger_connection = LedgerConnection::accept(&ledger);
    ledger_connection.post();
    let running = gateway.send("swap-confirm", request_params(3000, Some("key"), b"runs"));
    let (run_id, _) = processor.begin();
    let duplicate = gateway.send("swap-confirm", request_params(3000, Some("key"), b"runs"));
    // Half of this request is sent before the signal, the other half after it.
    let half_text = request_line(1, &request_params(3000, None, b"half"));
    let mut half = TcpStream::connect(node.gateway_address).unwrap();
    half.set_nodelay(true).unwrap();
    half.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    half.write_all(&half_text.as_bytes()[..30]).unwrap();
    // The request is in the kernel's buffers, on a connection that the node, which is stopped
    // meanwhile, has not accepted yet.
    node.signal("-STOP");
    let mut unread = TcpStream::connect(node.gateway_address).unwrap();
    unread.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    unread
        .write_all(request_line(1, &request_params(3000, None, b"unread")).as_bytes())
        .unwrap();
    node.signal("-TERM");
    node.signal("-TERM");
    node.signal("-HUP");
    node.signal("-CONT");
    node.wait_for_line("draining: ");
    half.write_all(&half_text.as_bytes()[30..]).unwrap();
    let mut started = vec![processor.begin(), processor.begin()];
    started.sort_by(|a, b| a.1.cmp(&b.1));
    assert_eq!(
        (&started[0].1[..], &started[1].1[..]),
        (&b"half"[..], &b"unread"[..])
    );
    for (id, body) in &started {
        processor.complete(id, "fine", body);
    }
    ledger_connection.reply(&format!("{call_id} posted 0\r\n\r\n"));
    let (command, _) = processor.command();
    assert_eq!(command[0], "answer");
    processor.complete(&call_id, "fine", b"called");
    processor.complete(&run_id, "fine", b"ran");
    let mut answers: Vec<(u64, Value)> = Vec::new();
    while answers.len() < 3 {
        let message = gateway.receive();
        assert!(!message.is_null(), "the connection ended after {answers:?}");
        if let Some(id) = message["id"].as_u64() {
            answers.push((id, message["result"]["doc"].clone()));
        }
    }
    answers.sort_by_key(|a| a.0);
    let ran = json!(base64(b"ran"));
    assert_eq!(
        answers,
        [
            (calling, json!(base64(b"called"))),
            (running, ran.clone()),
            (duplicate, ran)
        ]
    );
    assert!(read_until_end(&mut half).contains(&base64(b"half")));
    assert!(read_until_end(&mut unread).contains(&base64(b"unread")));
    let counters = node.wait_for_line("counters: ");
    assert_eq!(
        (
            Node::counter(&counters, "requests"),
            Node::counter(&counters, "served")
        ),
        (5, 5)
    );
    assert!(node.wait().success());
}

/// Guards against a close of a connection while messages that were read wait for their turn, behind
/// more messages than one turn handles.
#[test]
fn a_drain_answers_a_request_behind_many_messages() {
    const HEALTH_CHECKS: u64 = 200;
    let (mut node, mut processor, _gateway) = start_node(json!({"stop_ms": 4000}));
    let mut stream = connect_and_check_health(&node);
    let mut text = String::new();
    for id in 2..2 + HEALTH_CHECKS {
        text += &format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n");
    }
    text += &request_line(2 + HEALTH_CHECKS, &request_params(3000, None, b"last"));
    // All bytes and the signal are there when the node goes on.
    node.signal("-STOP");
    stream.write_all(text.as_bytes()).unwrap();
    node.signal("-TERM");
    node.signal("-CONT");
    let (id, body) = processor.begin();
    assert_eq!(body, b"last");
    processor.complete(&id, "fine", b"answered");
    assert!(read_until_end(&mut stream).contains(&base64(b"answered")));
    assert!(node.wait().success());
}

/// Requests that arrive after the grace period are rejected as not run, on every connection, until
/// the process ends.
#[test]
fn requests_after_the_grace_period_of_a_drain_never_run() {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["safety"]["drainGrace"] = json!(300_000);
    let (mut node, mut processor, mut gateway) =
        start_node(json!({"settings": settings, "stop_ms": 4000}));
    gateway.send("rota-view", request_params(3500, None, b"delays the end"));
    let (id, _) = processor.begin();
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    assert_eq!(gateway.receive()["method"], "goaway");
    // The front ends close, and send `goaway`, slightly before the end of the grace period; requests
    // after this wait are certain to be late.
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(200) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut late = Vec::new();
    for _ in 0..5 {
        late.push(gateway.send("rota-view", request_params(3000, None, b"late")));
    }
    for number in late {
        let answer = gateway.receive();
        assert_eq!(
            (&answer["id"], &answer["error"]["code"]),
            (&json!(number), &json!(-32000)),
            "{answer}"
        );
    }
    processor.complete(&id, "fine", b"served");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
    let counters = node.wait_for_line("counters: ");
    assert_eq!(
        (
            Node::counter(&counters, "runs"),
            Node::counter(&counters, "refused")
        ),
        (1, 5),
        "{counters}"
    );
    assert!(node.wait().success());
}

/// A node whose clients occupy all connection slots still reaches its processor, its ledger and the
/// service registry, and accepts new connections. No connection with an open request is closed for
/// them.
#[test]
fn idle_clients_do_not_exhaust_the_slots_that_the_node_needs() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let members = udp_socket();
    let mut processor = Processor::new();
    let config_entries = json!({"processor": processor.address(),
        "ledger": ledger.local_addr().unwrap(),
        "members": members.local_addr().unwrap(), "limits": {"sockets": 120, "memory_mb": 48}});
    // The system's descriptor limit equals the configured one.
    let node = Node::start_with_descriptor_limit(120, config_entries);
    processor.accept_running();
    let mut open = node.ready();
    open.send("rota-view", request_params(15000, None, b"open"));
    let (open_id, _) = processor.begin();
    // More connections than slots, all idle after one request.
    let mut idle_connections: Vec<TcpStream> =
        (0..150).map(|_| connect_and_check_health(&node)).collect();
    let mut new_connection = node.gateway();
    new_connection.send("rota-view", request_params(9000, None, b"new"));
    let (id, _) = processor.begin();
    processor.notice("ask", &id, b"call");
    let mut ledger_connection = LedgerConnection::accept(&ledger);
    ledger_connection.post();
    // The processor connection breaks while all slots are occupied, and is opened again.
    processor.disconnect();
    processor.accept_running();
    ledger_connection.reply(&format!("{id} posted 0\r\n\r\n"));
    // A start that may have been lost with the old connection is sent again; it has no effect on a
    // run in flight.
    while processor.command().0[0] != "answer" {}
    processor.complete(&id, "fine", b"served");
    assert_eq!(new_connection.receive()["result"]["doc"], base64(b"served"));
    // Heartbeats to the service registry continue: those sent earlier are read first.
    members.set_nonblocking(true).unwrap();
    while members.recv(&mut [0; 64]).is_ok() {}
    members.set_nonblocking(false).unwrap();
    let mut heartbeat = [0; 64];
    let length = members.recv(&mut heartbeat).unwrap();
    assert_eq!(&heartbeat[..length], b"HB n1 UP");
    processor.complete(&open_id, "fine", b"still open");
    assert_eq!(open.receive()["result"]["doc"], base64(b"still open"));
    // The connections that have been idle longest get `goaway` first.
    read_goaway(&mut idle_connections[0]);
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "accept_errors"), 0, "{counters}");
    for mut last in idle_connections.into_iter().skip(148) {
        last.set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        let received = last.read(&mut [0; 64]);
        assert!(
            received
                .is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)),
            "one of the newest connections was closed"
        );
    }
}

/// Guards against several connections that are accepted in one iteration of the event loop and for
/// which the same idle connection is closed, because its driver has not run yet.
#[test]
fn connections_accepted_together_close_one_idle_connection_each() {
    // 74 descriptors are reserved, so there are 16 connection slots, two of which are kept free.
    let (node, _processor, _gateway) = start_node(json!({"limits": {"sockets": 90}}));
    let mut idle_connections: Vec<TcpStream> =
        (0..16).map(|_| connect_and_check_health(&node)).collect();
    // Connections that were used within the last 0.1 s are not closed.
    std::thread::sleep(Duration::from_millis(150));
    node.signal("-STOP");
    let new_connections: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(node.gateway_address).unwrap())
        .collect();
    node.signal("-CONT");
    // This health check is answered in a later iteration of the event loop than the one that
    // accepted the new connections.
    connect_and_check_health(&node);
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    let closed = Node::counter(&counters, "crowded_out");
    assert!(closed >= 3, "{counters}");
    // The first of the closed connections is the gateway of `start_node`.
    for stream in idle_connections.iter_mut().take(closed as usize - 1) {
        // Well before the idle timeout of 15 s, which closes idle connections in any case.
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        read_goaway(stream);
    }
    drop(new_connections);
}
