//! The uwsgi listener and the uwsgi client over TCP, alone and together with the JSON-RPC listener.

mod common;

use common::*;
use serde_json::json;
use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::thread::spawn;
use std::time::{Duration, Instant};

const KEY: &str = "HTTP_IDEMPOTENCY_KEY";

/// Starts a node with a processor and with a uwsgi worker, which serves `/swap`.
fn start_with_both_backends() -> (Node, Processor, Worker) {
    let (mut processor, worker) = (Processor::new(), Worker::new());
    let file = uwsgi_operator_file(Some(worker.address()), "workers");
    let node = Node::start(
        json!({"processor": processor.address().to_string()}),
        Some(&file),
    );
    processor.accept_running();
    node.ready();
    (node, processor, worker)
}

#[test]
fn a_packet_reaches_its_worker_unchanged_and_so_does_the_response() {
    let (node, _processor, worker) = start_with_both_backends();
    let sent = packet(
        "/swap/7",
        &[(KEY, "k"), ("HTTP_X_OTHER", "ü")],
        b"\0body\xff",
    );
    let client = node.uwsgi_client(&sent);
    let (mut stream, received) = worker.accept();
    assert_eq!(received, sent);
    let reply = "HTTP/1.0 201 Made\r\nX-A: b\r\nContent-Length: 4\r\n\r\n\0\r\n!";
    stream.write_all(reply.as_bytes()).unwrap();
    assert_eq!(read_response(client).1, reply);
    // A gateway that uses the same key gets the body of the same result, without another run.
    let mut gateway = node.gateway();
    gateway.send(
        "swap-confirm",
        request_params(5000, Some("k"), b"\0body\xff"),
    );
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"\0\r\n!"));
    // The same key with another body is an error on both listeners.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"other"));
    assert_eq!(gateway.receive()["error"]["code"], -32602);
    assert_eq!(
        node.uwsgi_request(&packet("/swap/7", &[(KEY, "k")], b"other"))
            .0,
        400
    );
    // A gateway's request of a class that uwsgi workers serve is sent to a worker as a packet.
    gateway.send("swap-confirm", request_params(5000, Some("k2"), b"doc"));
    let (mut stream, received) = worker.accept();
    assert!(
        received.ends_with(b"doc"),
        "{:?}",
        String::from_utf8_lossy(&received)
    );
    stream
        .write_all(b"HTTP/1.1 200 OK\r\n\r\nto the end")
        .unwrap();
    drop(stream);
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"to the end"));
}

#[test]
fn a_packet_for_the_processor_gets_its_result_as_http() {
    let (node, mut processor, _worker) = start_with_both_backends();
    let client = node.uwsgi_client(&packet("/view", &[], b"ask"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"ask");
    processor.complete(&id, "fine", b"result");
    let (status, text) = read_response(client);
    assert!(status == 200 && text.ends_with("\r\n\r\nresult"), "{text}");
}

#[test]
fn invalid_packets_get_their_status_and_are_not_run() {
    let (node, mut processor, worker) = start_with_both_backends();
    let long = "x".repeat(9000);
    let mut duplicate_variable = packet("/view", &[("PATH_INFO", "/swap")], b"");
    let cases = [
        (b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400),
        (vec![0, 3, 0, 0, 9, 0, 1], 400),
        (std::mem::take(&mut duplicate_variable), 400),
        (packet("", &[], b""), 400),
        (packet("/swap", &[], b"keyed, without its key"), 400),
        (packet("/swap", &[(KEY, &long[..129])], b""), 400),
        (packet("/view", &[("HTTP_X_ALLOW_MS", "-1")], b""), 400),
        (packet("/viewer", &[], b""), 404),
        (packet("/view", &[], &[0; 2049]), 413),
        (packet("/swap", &[(KEY, "k")], &[0; 16385]), 413),
        (packet("/view", &[("HTTP_LONG", &long)], b""), 413),
    ];
    for (bytes, expected) in cases {
        let (status, text) = node.uwsgi_request(&bytes);
        assert_eq!(
            status,
            expected,
            "{text} to {:?}",
            String::from_utf8_lossy(&bytes)
        );
    }
    // A length that is not a number is invalid; one beyond the integer range is too large.
    for (length, expected) in [("-1", 400), ("1e3", 400), ("99999999999999999999999", 413)] {
        let mut bytes = packet("/view", &[], b"");
        let at = bytes
            .windows(14)
            .position(|w| w == b"CONTENT_LENGTH")
            .unwrap()
            + 14;
        bytes.splice(
            at..at + 3,
            [&(length.len() as u16).to_le_bytes()[..], length.as_bytes()].concat(),
        );
        let size = (bytes.len() - 4) as u16;
        bytes[1..3].copy_from_slice(&size.to_le_bytes());
        assert_eq!(node.uwsgi_request(&bytes).0, expected, "{length}");
    }
    let client = node.uwsgi_client(&packet("/view", &[], b"good"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"good");
    processor.complete(&id, "fine", b"");
    assert_eq!(read_response(client).0, 200);
    worker.0.set_nonblocking(true).unwrap();
    assert!(worker.0.accept().is_err(), "a worker was called");
}

#[test]
fn each_outcome_has_its_status() {
    let (node, mut processor, worker) = start_with_both_backends();
    // Failed by the processor; timed out after the time that the client allows.
    let client = node.uwsgi_client(&packet("/view", &[], b""));
    let (id, _) = processor.begin();
    processor.complete(&id, "fault", b"");
    assert_eq!(read_response(client).0, 502);
    let start = Instant::now();
    let client = node.uwsgi_client(&packet("/view", &[("HTTP_X_ALLOW_MS", "200")], b""));
    processor.begin();
    assert_eq!(read_response(client).0, 504);
    assert!(
        start.elapsed() < Duration::from_millis(450),
        "{:?}",
        start.elapsed()
    );
    // A worker that truncates its response may have run the request: the request fails, and a
    // duplicate is not run.
    for reply in [
        &b""[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"no http at all\r\n\r\n",
    ] {
        let key = format!("broken {}", reply.len());
        let client = node.uwsgi_client(&packet("/swap", &[(KEY, &key)], b""));
        let (mut stream, _) = worker.accept();
        stream.write_all(reply).unwrap();
        drop(stream);
        assert_eq!(read_response(client).0, 502, "{key}");
        assert_eq!(
            node.uwsgi_request(&packet("/swap", &[(KEY, &key)], b"")).0,
            502,
            "{key}, duplicate"
        );
    }
    // A worker that refuses the connection has not run the request: a retry runs it.
    let address = worker.address();
    drop(worker);
    let (status, text) = node.uwsgi_request(&packet("/swap", &[(KEY, "later")], b""));
    assert!(
        status == 503 && text.contains("Retry-After: 1\r\n"),
        "{text}"
    );
    let worker = Worker(std::net::TcpListener::bind(address).expect("the port is still free"));
    let bodies = worker.echo();
    assert_eq!(
        node.uwsgi_request(&packet("/swap", &[(KEY, "later")], b"now"))
            .0,
        200
    );
    assert_eq!(bodies.recv_timeout(TEST_TIMEOUT).unwrap(), b"now");
}

#[test]
fn a_node_with_uwsgi_workers_alone_needs_no_processor() {
    let worker = Worker::new();
    let file = uwsgi_operator_file(Some(worker.address()), "workers")
        .replace("\"processor\"", "\"workers\"");
    let node = Node::start(json!({}), Some(&file));
    let _bodies = worker.echo();
    let mut gateway = node.ready();
    for path in ["/view", "/swap"] {
        let (status, text) = node.uwsgi_request(&packet(path, &[(KEY, "k")], b"echo"));
        assert!(status == 200 && text.ends_with("\r\n\r\necho"), "{text}");
    }
    gateway.send("rota-view", request_params(5000, None, b"doc"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"doc"));
}

#[test]
fn a_retry_of_a_running_write_joins_it() {
    let (node, _processor, worker) = start_with_both_backends();
    let swap = packet("/swap", &[(KEY, "k"), ("HTTP_X_ALLOW_MS", "10000")], b"");
    let first = node.uwsgi_client(&swap);
    let (mut stream, _) = worker.accept();
    let retry = node.uwsgi_client(&swap);
    let mut gateway = node.gateway();
    gateway.send("swap-confirm", request_params(10000, Some("k"), b""));
    // The first client disconnects; its run goes on for the others, and one more retry gets the
    // outcome, too.
    first.shutdown(Shutdown::Both).unwrap();
    let last = node.uwsgi_client(&swap);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nonce")
        .unwrap();
    for client in [retry, last] {
        let (status, text) = read_response(client);
        assert!(status == 200 && text.ends_with("once"), "{text}");
    }
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    worker.0.set_nonblocking(true).unwrap();
    assert!(worker.0.accept().is_err(), "a worker got a second run");
}

#[test]
fn an_incomplete_packet_is_not_a_request_and_delays_no_drain() {
    let (mut node, _processor, worker) = start_with_both_backends();
    let swap = packet("/swap", &[(KEY, "k")], b"body");
    let running = node.uwsgi_client(&swap);
    let (mut stream, _) = worker.accept();
    let incomplete: Vec<_> = [1, 4, 20, swap.len() - 1]
        .map(|n| node.uwsgi_client(&swap[..n]))
        .into();
    let start = Instant::now();
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    assert_eq!(read_response(running).0, 200);
    let counters = node.wait_for_line("counters: ");
    assert!(node.wait().success());
    // The drain's grace period and a margin, less than the full `stop_ms`.
    assert!(
        start.elapsed() < Duration::from_millis(4500),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(Node::counter(&counters, "requests"), 1);
    drop(incomplete);
}

/// More requests than the node admits, over both protocols at once: one outcome for each request
/// and one run for each key.
#[test]
fn an_overload_on_both_listeners_gets_one_outcome_for_each_request() {
    const CLIENTS: usize = 12;
    const REQUESTS_EACH: usize = 60;
    let (mut processor, worker) = (Processor::new(), Worker::new());
    let file = uwsgi_operator_file(Some(worker.address()), "workers");
    let mut node = Node::start(
        json!({"processor": processor.address().to_string()}),
        Some(&file),
    );
    processor.accept_running();
    node.ready();
    let (reads, writes) = (processor.echo(), worker.echo());
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let mut gateway = node.gateway();
        let uwsgi = node.uwsgi_address.unwrap();
        // Two clients of either listener share each key; a body identifies its request.
        let key = move |i: usize| format!("key {} {i}", client / 4);
        let (view, swap) = (format!("view {client}"), format!("swap {}", client / 4));
        if client % 2 == 0 {
            clients.push(spawn(move || {
                let mut open = HashMap::new();
                for i in 0..REQUESTS_EACH / 30 {
                    for j in 0..15 {
                        let key = key(i * 15 + j);
                        let number = gateway.send(
                            "swap-confirm",
                            request_params(9000, Some(&key), swap.as_bytes()),
                        );
                        open.insert(number, swap.clone());
                        open.insert(
                            gateway.send("rota-view", request_params(9000, None, view.as_bytes())),
                            view.clone(),
                        );
                    }
                    for _ in 0..30 {
                        let answer = gateway.receive();
                        let number = answer["id"].as_u64().unwrap();
                        let body = open.remove(&number).expect("one answer for each request");
                        match &answer["result"]["doc"] {
                            doc if doc.is_string() => assert_eq!(*doc, base64(body.as_bytes())),
                            _ => assert_eq!(answer["error"]["code"], -32000, "{answer}"),
                        }
                    }
                }
                assert!(open.is_empty());
            }));
        } else {
            clients.push(spawn(move || {
                for i in 0..REQUESTS_EACH {
                    let key = key(i / 2);
                    let (path, variables, body) = match i % 2 {
                        0 => ("/swap", vec![(KEY, &*key)], &swap),
                        _ => ("/view", vec![], &view),
                    };
                    let mut stream = std::net::TcpStream::connect(uwsgi).unwrap();
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                    stream
                        .write_all(&packet(path, &variables, body.as_bytes()))
                        .unwrap();
                    let (status, text) = read_response(stream);
                    match status {
                        200 => assert!(text.ends_with(&format!("\r\n\r\n{body}")), "{text}"),
                        _ => assert!(status == 503 && text.contains("Retry-After: "), "{text}"),
                    }
                }
            }));
        }
    }
    clients.into_iter().for_each(|c| c.join().unwrap());
    node.signal("-TERM");
    let counters = node.wait_for_line("counters: ");
    assert!(node.wait().success());
    let count = |name: &str| Node::counter(&counters, name);
    let sent = (CLIENTS * REQUESTS_EACH) as u64;
    assert_eq!(count("requests"), sent);
    assert_eq!(count("served") + count("refused"), sent, "{counters}");
    assert_eq!((count("failed"), count("gone")), (0, 0), "{counters}");
    // Each run was started once: no more writes than keys, and as many runs at the backends as the
    // node started.
    let (reads, writes) = (
        reads.try_iter().count() as u64,
        writes.try_iter().count() as u64,
    );
    assert_eq!(reads + writes, count("runs"));
    assert!(
        writes <= (CLIENTS / 4 * REQUESTS_EACH / 2) as u64,
        "{writes} runs for {counters}"
    );
    assert!(count("repeats") > 0 && count("served") > 0, "{counters}");
}

#[test]
fn a_drain_treats_both_listeners_alike() {
    let (mut node, mut processor, worker) = start_with_both_backends();
    let mut gateway = node.ready();
    gateway.send("rota-view", request_params(9000, None, b"by line"));
    let (line_read, _) = processor.begin();
    let read = node.uwsgi_client(&packet("/view", &[], b"by packet"));
    let (packet_read, _) = processor.begin();
    let write = node.uwsgi_client(&packet("/swap", &[(KEY, "k")], b""));
    let (mut stream, _) = worker.accept();
    let crossing = packet("/view", &[], b"crossing");
    let mut incomplete = node.uwsgi_client(&crossing[..9]);
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    // Early in the grace period, requests are still accepted on both listeners.
    gateway.send("rota-view", request_params(9000, None, b"crossing"));
    let (crossing_line, _) = processor.begin();
    incomplete.write_all(&crossing[9..]).unwrap();
    let (crossing_packet, body) = processor.begin();
    assert_eq!(body, b"crossing");
    for address in [node.gateway_address, node.uwsgi_address.unwrap()] {
        while std::net::TcpStream::connect(address).is_ok() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    assert_eq!(gateway.receive()["method"], "goaway");
    processor.complete(&line_read, "fine", b"1");
    processor.complete(&packet_read, "fine", b"2");
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n3").unwrap();
    drop(stream);
    processor.complete(&crossing_line, "fine", b"4");
    processor.complete(&crossing_packet, "fine", b"5");
    for result in [b"1", b"4"] {
        assert_eq!(gateway.receive()["result"]["doc"], base64(result));
    }
    assert!(read_response(incomplete).1.ends_with("\r\n\r\n5"));
    assert!(read_response(read).1.ends_with("\r\n\r\n2"));
    assert!(read_response(write).1.ends_with("\r\n\r\n3"));
    assert!(node.wait().success());
}
