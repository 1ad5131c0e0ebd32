//! The rules of the platform's protocol, one test each, on real sockets.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// Starts a node with these config entries, connects its processor and a gateway.
fn start_node(entries: Value) -> (Node, Processor, Gateway) {
    let mut processor = Processor::new();
    let mut config_entries = json!({"processor": processor.address().to_string()});
    config_entries
        .as_object_mut()
        .unwrap()
        .extend(entries.as_object().unwrap().clone());
    let node = Node::start(config_entries, None);
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway)
}

fn code(answer: &Value) -> i64 {
    answer["error"]["code"]
        .as_i64()
        .unwrap_or_else(|| panic!("no error: {answer}"))
}

#[test]
fn bodies_results_and_replies_pass_unchanged() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        start_node(json!({"ledger": ledger.local_addr().unwrap().to_string()}));
    let all_byte_values: Vec<u8> = (0..2048).map(|i| i as u8).collect();
    let number = gateway.send("rota-view", request_params(5000, None, &all_byte_values));
    let (command, body) = processor.command();
    assert_eq!(
        (&*command[0], &*command[2], &body),
        ("begin", "rota-view", &all_byte_values)
    );
    processor.notice("ask", &command[1], b"call\r\n\0");
    let mut call = LedgerConnection::accept(&ledger);
    assert_eq!(call.post(), (command[1].clone(), b"call\r\n\0".to_vec()));
    assert!((1..=5000).contains(&call.allowed_ms), "{}", call.allowed_ms);
    call.reply_bytes(
        &[
            format!("{} posted 4\r\n", command[1]).as_bytes(),
            b"\r\n\xff\0\r\n",
        ]
        .concat(),
    );
    assert_eq!(
        processor.command(),
        (
            vec!["answer".into(), command[1].clone(), "4".into()],
            b"\r\n\xff\0".to_vec()
        )
    );
    let result: Vec<u8> = (0..4096).map(|i| (i * 7) as u8).collect();
    processor.complete(&command[1], "fine", &result);
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["result"]["doc"]),
        (&json!(number), &json!(base64(&result)))
    );
}

#[test]
fn a_running_request_is_answered_by_its_deadline() {
    let (_node, mut processor, mut gateway) = start_node(json!({}));
    let start = Instant::now();
    gateway.send("rota-view", request_params(300, None, b""));
    processor.begin();
    // The admission controller may shed a running read; its client never gets the code of a request
    // that did not run.
    assert_eq!(code(&gateway.receive()), -32002);
    assert!(
        start.elapsed() < Duration::from_millis(450),
        "{:?}",
        start.elapsed()
    );
    // An attempt that arrives after its deadline is answered at once and does not run.
    let mut late = request_params(300, None, b"");
    late["since"] = json!(late["since"].as_u64().unwrap() - 1000);
    gateway.send("rota-view", late);
    assert_eq!(code(&gateway.receive()), -32000);
}

#[test]
fn before_the_processor_is_up_requests_are_rejected_with_a_cooldown() {
    let processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address().to_string()}), None);
    let mut gateway = node.gateway();
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], false);
    gateway.send("swap-confirm", request_params(5000, Some("k"), b""));
    let answer = gateway.receive();
    assert_eq!(
        (code(&answer), &answer["error"]["data"]["cooldown"]),
        (-32000, &json!(200))
    );
}

#[test]
fn a_key_runs_once_and_its_duplicates_share_the_outcome() {
    let (node, mut processor, mut gateway) = start_node(json!({}));
    let mut other = node.gateway();
    let first = gateway.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    let (id, _) = processor.begin();
    // A duplicate joins the run; a duplicate that is cancelled does not.
    let joined = other.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    // The key with another body is an error of the client, during the run and after: the result
    // belongs to another request.
    let send_other_body = |client: &mut Gateway| {
        client.send("swap-confirm", request_params(5000, Some("key"), b"other"));
        assert_eq!(code(&client.receive()), -32602);
    };
    send_other_body(&mut other);
    let cancelled = other.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    other.notify("cancelRequest", json!({"id": cancelled}));
    assert_eq!(code(&other.receive()), -32800);
    // A read that runs after them shows that both were received and that neither started a run.
    other.send("rota-view", request_params(5000, None, b"read"));
    let (read, body) = processor.begin();
    assert_eq!(body, b"read");
    processor.complete(&read, "fine", b"view");
    assert_eq!(other.receive()["result"]["doc"], base64(b"view"));
    processor.complete(&id, "fine", b"once");
    for (client, number) in [(&mut gateway, first), (&mut other, joined)] {
        let answer = client.receive();
        assert_eq!(
            (&answer["id"], &answer["result"]["doc"]),
            (&json!(number), &json!(base64(b"once")))
        );
    }
    send_other_body(&mut gateway);
    // After the end the cached result is served; another key runs.
    gateway.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    gateway.send("swap-confirm", request_params(5000, Some("another"), b"y"));
    assert_eq!(processor.begin().1, b"y");
}

/// Guards against a run that waits until its deadline because the reply to its call was lost with
/// the processor connection.
#[test]
fn a_new_processor_connection_resumes_where_the_old_one_broke() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        start_node(json!({"ledger": ledger.local_addr().unwrap().to_string()}));
    gateway.send(
        "rota-view",
        request_params(10000, None, b"waits for its call"),
    );
    let (run_id, _) = processor.begin();
    processor.notice("ask", &run_id, b"call");
    let mut call = LedgerConnection::accept(&ledger);
    call.post();
    call.reply(&format!("{run_id} posted 1\r\nx\r\n"));
    let answer = processor.command();
    assert_eq!(
        answer,
        (
            vec!["answer".into(), run_id.clone(), "1".into()],
            b"x".to_vec()
        )
    );
    // Until the reply is known to have been read nothing more is sent, so nothing more can be lost.
    gateway.send("swap-confirm", request_params(10000, Some("key"), b"waits"));
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], true);
    let reconnect = |processor: &mut Processor, hello: &str| {
        processor.disconnect();
        processor.accept();
        assert_eq!(processor.hello, hello);
        processor.send(b"hi running 2000\r\n");
    };
    // The repeated notice is not applied again. The queued request is sent at once, and the reply
    // once the run has been silent for too long to have read it.
    reconnect(&mut processor, "hello 1");
    processor.send(format!("ask 1 {run_id} 4\r\ncall\r\n").as_bytes());
    let (write, body) = processor.begin();
    assert_eq!(body, b"waits");
    assert_eq!(processor.command(), answer);
    // If the first reply was read after all, the processor rejects the second one, which has no
    // effect.
    processor.send(format!("reject answer {run_id}\r\n").as_bytes());
    processor.complete(&run_id, "fine", b"1");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"1"));
    // The start of a read is sent again; that of a write is not, as its run may have ended.
    reconnect(&mut processor, "hello 2");
    gateway.send("rota-view", request_params(10000, None, b"read"));
    let read = processor.begin();
    assert_eq!(read.1, b"read");
    reconnect(&mut processor, "hello 2");
    assert_eq!(processor.begin(), read);
    for (id, result) in [(write, b"2"), (read.0, b"3")] {
        processor.complete(&id, "fine", result);
        assert_eq!(gateway.receive()["result"]["doc"], base64(result));
    }
}

/// An attempt whose start was rejected never ran: its key is free, and the next request with the
/// key is not a duplicate.
#[test]
fn a_rejected_command_ends_its_request_at_once() {
    let (_node, mut processor, mut gateway) = start_node(json!({}));
    gateway.send(
        "swap-confirm",
        request_params(10000, Some("key"), b"unknown"),
    );
    let (id, _) = processor.begin();
    processor.send(format!("reject begin {id}\r\n").as_bytes());
    assert_eq!(code(&gateway.receive()), -32000);
    gateway.send("swap-confirm", request_params(10000, Some("key"), b"known"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"known");
    processor.send(format!("reject answer {id}\r\n").as_bytes());
    assert_eq!(code(&gateway.receive()), -32001);
}

#[test]
fn a_call_is_retried_only_if_it_cannot_have_run_or_may_run_twice() {
    let unused = unused_address();
    let (_node, mut processor, mut gateway) = start_node(json!({"ledger": unused.to_string()}));
    gateway.send("swap-confirm", request_params(10000, Some("key"), b""));
    let (write, _) = processor.begin();
    processor.notice("ask", &write, b"call");
    // Refused connections prove that nothing ran: the call is sent as soon as the ledger listens.
    let ledger = TcpListener::bind(unused).expect("the port is still free");
    let mut call = LedgerConnection::accept(&ledger);
    assert_eq!(call.post(), (write, b"call".to_vec()));
    // A connection that breaks after the call was sent does not show whether the call ran.
    drop(call);
    assert_eq!(code(&gateway.receive()), -32001);
    // The call of a read is sent again in any case.
    gateway.send("rota-view", request_params(10000, None, b""));
    let (read, _) = processor.begin();
    processor.notice("ask", &read, b"call");
    for _ in 0..2 {
        assert_eq!(
            LedgerConnection::accept(&ledger).post(),
            (read.clone(), b"call".to_vec())
        );
    }
    let mut call = LedgerConnection::accept(&ledger);
    call.post();
    call.reply(&format!("{read} posted 1\r\nx\r\n"));
    assert_eq!(processor.command().1, b"x");
}

/// The service registry removes a node after three seconds without a heartbeat.
#[test]
fn heartbeats_are_sent_well_within_three_seconds() {
    let members = udp_socket();
    let (node, ..) = start_node(json!({"members": members.local_addr().unwrap().to_string()}));
    let mut datagram = [0; 64];
    let mut next = || {
        let n = members.recv(&mut datagram).unwrap();
        String::from_utf8(datagram[..n].to_vec()).unwrap()
    };
    assert_eq!(next(), "HB n1 UP");
    let start = Instant::now();
    assert_eq!(next(), "HB n1 UP");
    assert!(
        start.elapsed() < Duration::from_millis(1500),
        "{:?}",
        start.elapsed()
    );
    node.signal("-TERM");
    while next() != "HB n1 OUT" {}
}

/// Guards against a SIGHUP that ends the process and with it all open requests.
#[test]
fn a_new_configuration_is_applied_under_load() {
    let config_entries = |p: &Processor, ledger: &TcpListener, members: &UdpSocket| {
        json!({"processor": p.address().to_string(), "ledger": ledger.local_addr().unwrap().to_string(),
            "members": members.local_addr().unwrap().to_string()})
    };
    let (ledger, members) = (TcpListener::bind("127.0.0.1:0").unwrap(), udp_socket());
    let mut processor = Processor::new();
    let mut node = Node::start(config_entries(&processor, &ledger, &members), None);
    processor.accept_running();
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(9000, Some("key"), b"write"));
    let (write, _) = processor.begin();
    gateway.send("rota-view", request_params(9000, None, b"read"));
    let (read, _) = processor.begin();
    processor.notice("ask", &read, b"call");
    let mut call = LedgerConnection::accept(&ledger);
    assert_eq!(call.post(), (read.clone(), b"call".to_vec()));
    // A file that can't be read changes nothing.
    node.reload_text("{");
    node.wait_for_line("reload: not done");
    // The old processor connection is closed once all its notices are read; the new one continues
    // after the last of them.
    let (new_ledger, new_members, mut new) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        udp_socket(),
        Processor::new(),
    );
    node.reload(config_entries(&new, &new_ledger, &new_members));
    processor.answer_usage_until_closed();
    new.accept();
    assert_eq!(new.hello, "hello 1");
    new.continue_notice_numbers(&processor);
    new.send(b"hi running 2000\r\n");
    // The call in flight is answered by the old ledger; the next one is sent to the new one.
    call.reply(&format!("{read} posted 1\r\nx\r\n"));
    assert_eq!(
        new.command(),
        (
            vec!["answer".into(), read.clone(), "1".into()],
            b"x".to_vec()
        )
    );
    new.notice("ask", &read, b"next");
    let mut next = LedgerConnection::accept(&new_ledger);
    assert_eq!(next.post(), (read, b"next".to_vec()));
    // The keys are retained, and heartbeats are sent to the new address.
    new.complete(&write, "fine", b"once");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    gateway.send("swap-confirm", request_params(9000, Some("key"), b"write"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    let mut heartbeat = [0; 64];
    let n = new_members.recv(&mut heartbeat).unwrap();
    assert_eq!(&heartbeat[..n], b"HB n1 UP");
}

/// Guards against a malformed reply that fails the calls of other requests, as when one connection
/// carried all calls.
#[test]
fn a_malformed_reply_fails_only_its_own_call() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, mut processor, mut gateway) =
        start_node(json!({"ledger": ledger.local_addr().unwrap().to_string()}));
    // Starts a run that waits for its call; returns its id and the connection of the call.
    let mut keys = 0;
    let mut start_waiting_run = |gateway: &mut Gateway| {
        keys += 1;
        gateway.send(
            "swap-confirm",
            request_params(9000, Some(&keys.to_string()), b""),
        );
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
        (id, LedgerConnection::accept(&ledger))
    };
    let (good, mut call) = start_waiting_run(&mut gateway);
    let garbage = "\u{1}".repeat(2000);
    for malformed in [
        "garbage without a line end",
        "ID posted 3000000000\r\nxxx",
        "ID posted 9\r\nx\r\n",
        &garbage,
        "",
    ] {
        let (id, mut call) = start_waiting_run(&mut gateway);
        assert_eq!(call.post().0, id);
        call.reply(&malformed.replace("ID", &id));
        if malformed.is_empty() {
            drop(call);
        }
        // The error comes well before the deadline, as no valid reply can follow.
        assert_eq!(code(&gateway.receive()), -32001, "{malformed}");
    }
    assert_eq!(call.post().0, good);
    // A reply with an unknown id and a second copy of the reply are dropped.
    call.reply(&format!(
        "0123456789abcdef posted 1\r\n0\r\n{good} posted 1\r\n1\r\n{good} posted 1\r\n2\r\n"
    ));
    assert_eq!(
        processor.command(),
        (
            vec!["answer".into(), good.clone(), "1".into()],
            b"1".to_vec()
        )
    );
    processor.notice("ask", &good, b"next");
    assert_eq!(
        LedgerConnection::accept(&ledger).post(),
        (good, b"next".to_vec())
    );
    drop(node);
}

#[test]
fn a_drain_answers_requests_in_flight_and_ends_in_time() {
    let (mut node, mut processor, mut gateway) = start_node(json!({}));
    gateway.send("swap-confirm", request_params(10000, Some("key"), b""));
    let (id, _) = processor.begin();
    let mut idle = node.gateway();
    idle.send("alive", json!({}));
    idle.receive();
    let start = Instant::now();
    node.signal("-TERM");
    for client in [&mut gateway, &mut idle] {
        assert_eq!(client.receive()["method"], "goaway");
    }
    // After the signal the node closes its listening socket once all accepted connections are
    // registered.
    while TcpStream::connect(node.gateway_address).is_ok() {
        assert!(start.elapsed() < TEST_TIMEOUT);
    }
    processor.complete(&id, "fine", b"last");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"last"));
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "served"), 1);
    assert!(node.wait().success());
    assert!(
        start.elapsed() < Duration::from_millis(4900),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a slow first request, which may take two seconds to arrive, whose connection is
/// closed in favour of newer ones: while many connections send an incomplete request, at half of
/// the limits, it is the oldest connection without a complete request.
#[test]
fn a_request_that_arrives_in_pieces_is_served_among_many_connections() {
    let (node, mut processor, _gateway) =
        start_node(json!({"limits": {"sockets": 160, "memory_mb": 24}}));
    let params = request_params(6000, None, b"in pieces");
    let text = format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": 1, "method": "rota-view", "params": params})
    );
    let mut slow = node.gateway();
    let mut connections = Vec::new();
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len().div_ceil(21)).collect();
    for piece in pieces {
        slow.send_bytes(piece);
        for _ in 0..12 {
            let mut half = TcpStream::connect(node.gateway_address).unwrap();
            let _ = half.write_all(&text.as_bytes()[..20]);
            connections.push(half);
        }
        // The test depends on real time: 21 pieces are sent within 2.1 s.
        std::thread::sleep(Duration::from_millis(105));
    }
    let (id, body) = processor.begin();
    assert_eq!(body, b"in pieces");
    processor.complete(&id, "fine", b"served");
    assert_eq!(slow.receive()["result"]["doc"], base64(b"served"));
}

/// Guards against a drain that stops accepting at once: clients learn of the drain late, so the
/// node's whole traffic was rejected for seconds.
#[test]
fn a_drain_serves_requests_within_its_grace_period() {
    let (node, mut processor, _gateway) = start_node(json!({}));
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    let mut late = node.gateway();
    late.send("alive", json!({}));
    assert_eq!(late.receive()["result"]["healthy"], false);
    late.send("swap-confirm", request_params(2000, Some("late"), b"body"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    let answer = late.receive();
    assert_eq!(answer["result"]["doc"], base64(b"served"));
    // The load level does not yet make clients choose other nodes.
    assert_ne!(answer["result"]["pressure"], 1.0, "{answer}");
    assert_eq!(late.receive()["method"], "goaway");
    late.send("alive", json!({}));
    assert_eq!(late.receive()["result"]["pressure"], 1.0);
}

#[test]
fn a_drain_fails_long_runs_before_the_process_would_be_killed() {
    let (mut node, mut processor, mut gateway) = start_node(json!({"stop_ms": 1000}));
    gateway.send("rota-view", request_params(10000, None, b""));
    processor.begin();
    let start = Instant::now();
    node.signal("-TERM");
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(code(&gateway.receive()) < -32000);
    assert!(node.wait().success());
    assert!(
        start.elapsed() < Duration::from_millis(1000),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against requests without an answer when SIGTERM comes before the processor is up: the
/// node then starts them, and has to answer them before it ends.
#[test]
fn a_drain_that_begins_before_the_processor_is_up_answers_all_requests() {
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string(), "stop_ms": 2000});
    let mut node = Node::start(entries, None);
    let mut gateway = node.gateway();
    processor.accept();
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    processor.send(b"hi starting 0\r\n");
    assert!(processor.answer_usage(0), "the node has read the hello");
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], false);
    gateway.send("rota-view", request_params(10000, None, b""));
    processor.begin();
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(code(&gateway.receive()) < -32000);
    assert!(node.wait().success());
}

#[test]
fn bad_input_gets_its_error_and_affects_no_other_request() {
    let (node, mut processor, mut good) = start_node(json!({}));
    let change = |field: &str, value: Value| {
        let mut params = request_params(5000, Some("bad"), b"");
        params[field] = value;
        json!({"jsonrpc": "2.0", "id": 9, "method": "swap-confirm", "params": params}).to_string()
    };
    let cases = [
        ("{".to_owned(), -32700),
        ("[]".to_owned(), -32600),
        (
            r#"{"jsonrpc":"1.0","id":9,"method":"alive"}"#.to_owned(),
            -32600,
        ),
        (
            r#"{"jsonrpc":"2.0","id":"9","method":"alive"}"#.to_owned(),
            -32600,
        ),
        (
            r#"{"jsonrpc":"2.0","id":0,"method":"alive"}"#.to_owned(),
            -32600,
        ),
        (
            r#"{"jsonrpc":"2.0","id":9,"method":"rota-view"}"#.to_owned(),
            -32602,
        ),
        (
            change("method", json!(1)).replace("swap-confirm", "no-such"),
            -32601,
        ),
        (change("ref", json!("9B1F03AA5C7E2D41")), -32602),
        (change("ref", json!(7)), -32602),
        (change("since", json!("now")), -32602),
        (change("since", json!(-1)), -32602),
        (change("allow", json!(1e300)), -32602),
        (change("room", json!(0)), -32602),
        (change("class_rank", json!(1)), -32602),
        (change("dup", json!([])), -32602),
        (change("replay", json!("")), -32602),
        (change("replay", Value::Null), -32602),
        (change("doc", json!("not base64")), -32602),
        (change("doc", json!(base64(&[0; 2049]))), -32602),
        ("x".repeat(9000), -32600),
    ];
    for (line, expected) in cases {
        let mut gateway = node.gateway();
        gateway.send_bytes(format!("{line}\n").as_bytes());
        let answer = gateway.receive();
        assert_eq!(code(&answer), expected, "{line} -> {answer}");
    }
    // None of them ran, and a good request does.
    good.send("rota-view", request_params(5000, None, b"good"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"good");
    processor.complete(&id, "fine", b"fine");
    assert_eq!(good.receive()["result"]["doc"], base64(b"fine"));
}

/// Guards against silent connections that keep out clients with requests, as when the node stopped
/// accepting at its limit.
#[test]
fn silent_connections_do_not_keep_out_clients_with_requests() {
    // 74 descriptors are reserved, so 8 connections are accepted.
    let (node, mut processor, mut gateway) = start_node(json!({"limits": {"sockets": 82}}));
    gateway.send("rota-view", request_params(15000, None, b""));
    let (id, _) = processor.begin();
    let start = Instant::now();
    let connect = |_| TcpStream::connect(node.gateway_address).unwrap();
    let mut silent_connections: Vec<TcpStream> = (0..14).map(connect).collect();
    silent_connections[13].write_all(b"{\"jsonrpc\":").unwrap();
    let mut last = node.gateway();
    last.send("alive", json!({}));
    assert_eq!(last.receive()["result"]["healthy"], true);
    // Each silent connection is closed within 3 s, whether or not the limit is reached; the
    // connection with an open request stays open.
    for connection in &mut silent_connections {
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(connection.read(&mut [0; 64]).unwrap_or(0), 0);
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    processor.complete(&id, "fine", b"late");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"late"));
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    let count = |name: &str| Node::counter(&counters, name);
    assert!(
        count("accepted") == 16 && count("crowded_out") >= 7,
        "{counters}"
    );
}

/// Guards against a new connection that is closed with its request open: the node freed a slot as
/// soon as the last one was taken and closed the new connection first, while its run went on
/// without a client.
#[test]
fn a_new_connection_among_idle_ones_is_served() {
    let (node, mut processor, first) = start_node(json!({"limits": {"sockets": 82}}));
    let idle = |_| {
        let mut gateway = node.gateway();
        gateway.send("alive", json!({}));
        gateway.receive();
        gateway
    };
    let mut connections: Vec<Gateway> = (0..20).map(idle).collect();
    connections.push(first);
    for n in 0..10 {
        let mut new_connection = node.gateway();
        new_connection.send("rota-view", request_params(9000, None, &[n]));
        let (id, _) = processor.begin();
        processor.complete(&id, "fine", &[n]);
        assert_eq!(new_connection.receive()["result"]["doc"], base64(&[n]));
        connections.push(new_connection);
    }
}

/// Guards against a connection that sends malformed lines without end: each error was answered,
/// and a malformed notification got no answer at all.
#[test]
fn repeated_errors_close_the_connection() {
    let (node, mut processor, mut good) = start_node(json!({}));
    for line in ["{", r#"{"jsonrpc":"2.0","method":"rota-view"}"#] {
        let mut bad = node.gateway();
        bad.send_bytes(format!("{line}\n").repeat(100).as_bytes());
        let answers = std::iter::from_fn(|| Some(bad.receive()).filter(|a| !a.is_null()));
        assert_eq!(
            answers
                .inspect(|a| assert!(code(a) < -32000, "{a}"))
                .count(),
            8,
            "{line}"
        );
    }
    // A cancellation is confirmed, as a client that only cancels would otherwise get no answer.
    let number = good.send("rota-view", request_params(9000, None, b""));
    let (id, _) = processor.begin();
    good.notify("cancelRequest", json!({"id": number}));
    assert_eq!(code(&good.receive()), -32800);
    processor.complete(&id, "fine", b"cancelled");
    good.send("alive", json!({}));
    assert_eq!(good.receive()["result"]["healthy"], true);
}

#[test]
fn a_connection_has_at_most_32_open_requests_and_its_end_abandons_them() {
    let (mut node, mut processor, mut gateway) = start_node(json!({}));
    // Duplicates of one key: one runs, the others wait for it, and none can be served early.
    let numbers: Vec<u64> = (0..33)
        .map(|_| gateway.send("swap-confirm", request_params(9000, Some("k"), b"")))
        .collect();
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], code(&answer)),
        (&json!(numbers[32]), -32600)
    );
    let (id, _) = processor.begin();
    drop(gateway);
    // Another connection is read after the first one was closed, or while the run still has waiting
    // requests: in either case the key runs once, and its result answers the next attempt.
    let mut other = node.gateway();
    other.send("swap-confirm", request_params(9000, Some("k"), b""));
    processor.complete(&id, "fine", b"once");
    assert_eq!(other.receive()["result"]["doc"], base64(b"once"));
    node.signal("-TERM");
    let counters = node.wait_for_line("counters: ");
    assert!(node.wait().success());
    let count = |name: &str| Node::counter(&counters, name);
    assert_eq!(
        (count("requests"), count("runs"), count("malformed")),
        (33, 1, 1),
        "{counters}"
    );
    assert_eq!(count("gone") + count("served"), 33, "{counters}");
}
