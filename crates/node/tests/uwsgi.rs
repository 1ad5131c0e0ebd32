//! The uwsgi front and the uwsgi caller, alone and beside the platform's front, on real sockets.

mod common;

use common::*;
use serde_json::json;
use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::thread::spawn;
use std::time::{Duration, Instant};

const KEY: &str = "HTTP_IDEMPOTENCY_KEY";

/// A node with a processor and a worker, which serves the swaps.
fn both() -> (Node, Processor, Worker) {
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
    let (node, _processor, worker) = both();
    let sent = packet(
        "/swap/7",
        &[(KEY, "k"), ("HTTP_X_OTHER", "ü")],
        b"\0body\xff",
    );
    let client = node.uwsgi_client(&sent);
    let (mut stream, seen) = worker.accept();
    assert_eq!(seen, sent);
    let reply = "HTTP/1.0 201 Made\r\nX-A: b\r\nContent-Length: 4\r\n\r\n\0\r\n!";
    stream.write_all(reply.as_bytes()).unwrap();
    assert_eq!(read_response(client).1, reply);
    // Over the platform's front the same key gets the same result, as a body, without a run.
    let mut gateway = node.gateway();
    gateway.send(
        "swap-confirm",
        request_params(5000, Some("k"), b"\0body\xff"),
    );
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"\0\r\n!"));
    // With another body it is an error on either front.
    gateway.send("swap-confirm", request_params(5000, Some("k"), b"other"));
    assert_eq!(gateway.receive()["error"]["code"], -32602);
    assert_eq!(
        node.uwsgi_request(&packet("/swap/7", &[(KEY, "k")], b"other"))
            .0,
        400
    );
    // A platform request of a class of the workers' is a packet to them.
    gateway.send("swap-confirm", request_params(5000, Some("k2"), b"doc"));
    let (mut stream, seen) = worker.accept();
    assert!(
        seen.ends_with(b"doc"),
        "{:?}",
        String::from_utf8_lossy(&seen)
    );
    stream
        .write_all(b"HTTP/1.1 200 OK\r\n\r\nto the end")
        .unwrap();
    drop(stream);
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"to the end"));
}

#[test]
fn a_packet_for_the_processor_gets_its_result_as_http() {
    let (node, mut processor, _worker) = both();
    let client = node.uwsgi_client(&packet("/view", &[], b"ask"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"ask");
    processor.complete(&id, "fine", b"result");
    let (status, text) = read_response(client);
    assert!(status == 200 && text.ends_with("\r\n\r\nresult"), "{text}");
}

#[test]
fn what_is_wrong_with_a_packet_is_its_status_and_nothing_runs() {
    let (node, mut processor, worker) = both();
    let long = "x".repeat(9000);
    let mut twice = packet("/view", &[("PATH_INFO", "/swap")], b"");
    let cases = [
        (b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400),
        (vec![0, 3, 0, 0, 9, 0, 1], 400),
        (std::mem::take(&mut twice), 400),
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
    // A length that is no number is wrong, one that no number holds is too large.
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
    assert!(worker.0.accept().is_err(), "no worker was called");
}

#[test]
fn each_outcome_has_its_status() {
    let (node, mut processor, worker) = both();
    // Failed by the processor; out of time, by the client's own word.
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
    // A worker that breaks off may have run it: failed, and not run again for a repeat.
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
            "{key} again"
        );
    }
    // A worker that refuses the connection never ran it: come back, and it runs.
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
fn a_node_of_workers_alone_needs_no_processor() {
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
    let (node, _processor, worker) = both();
    let swap = packet("/swap", &[(KEY, "k"), ("HTTP_X_ALLOW_MS", "10000")], b"");
    let first = node.uwsgi_client(&swap);
    let (mut stream, _) = worker.accept();
    let retry = node.uwsgi_client(&swap);
    let mut gateway = node.gateway();
    gateway.send("swap-confirm", request_params(10000, Some("k"), b""));
    // The first caller leaves; its run goes on for the others, and one more try gets the outcome
    // too.
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
    assert!(worker.0.accept().is_err(), "one run");
}

#[test]
fn a_half_sent_packet_is_no_request_and_delays_no_drain() {
    let (mut node, _processor, worker) = both();
    let swap = packet("/swap", &[(KEY, "k")], b"body");
    let running = node.uwsgi_client(&swap);
    let (mut stream, _) = worker.accept();
    let halves: Vec<_> = [1, 4, 20, swap.len() - 1]
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
    // The grace of the drain and some, not the time that there is.
    assert!(
        start.elapsed() < Duration::from_millis(4500),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(Node::counter(&counters, "requests"), 1);
    drop(halves);
}

/// Both protocols at once, more than the node takes: one outcome for each request and one run for
/// each key. That a drain treats both alike is the next test.
#[test]
fn a_surge_over_both_fronts_gets_one_outcome_for_each_request() {
    const CALLERS: usize = 12;
    const EACH: usize = 60;
    let (mut processor, worker) = (Processor::new(), Worker::new());
    let file = uwsgi_operator_file(Some(worker.address()), "workers");
    let mut node = Node::start(
        json!({"processor": processor.address().to_string()}),
        Some(&file),
    );
    processor.accept_running();
    node.ready();
    let (reads, writes) = (processor.echo(), worker.echo());
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let mut gateway = node.gateway();
        let uwsgi = node.uwsgi_address.unwrap();
        // Two callers of either front share each key; a body names what was asked.
        let key = move |i: usize| format!("key {} {i}", caller / 4);
        let (view, swap) = (format!("view {caller}"), format!("swap {}", caller / 4));
        if caller % 2 == 0 {
            callers.push(spawn(move || {
                let mut open = HashMap::new();
                for i in 0..EACH / 30 {
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
                        let body = open.remove(&number).expect("one answer for each");
                        match &answer["result"]["doc"] {
                            doc if doc.is_string() => assert_eq!(*doc, base64(body.as_bytes())),
                            _ => assert_eq!(answer["error"]["code"], -32000, "{answer}"),
                        }
                    }
                }
                assert!(open.is_empty());
            }));
        } else {
            callers.push(spawn(move || {
                for i in 0..EACH {
                    let key = key(i / 2);
                    let (path, more, body) = match i % 2 {
                        0 => ("/swap", vec![(KEY, &*key)], &swap),
                        _ => ("/view", vec![], &view),
                    };
                    let mut stream = std::net::TcpStream::connect(uwsgi).unwrap();
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                    stream
                        .write_all(&packet(path, &more, body.as_bytes()))
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
    callers.into_iter().for_each(|c| c.join().unwrap());
    node.signal("-TERM");
    let counters = node.wait_for_line("counters: ");
    assert!(node.wait().success());
    let count = |name: &str| Node::counter(&counters, name);
    let asked = (CALLERS * EACH) as u64;
    assert_eq!(count("requests"), asked);
    assert_eq!(count("served") + count("refused"), asked, "{counters}");
    assert_eq!((count("failed"), count("gone")), (0, 0), "{counters}");
    // Every run was of its own: no more writes than keys, and the node began as many as came out.
    let (reads, writes) = (
        reads.try_iter().count() as u64,
        writes.try_iter().count() as u64,
    );
    assert_eq!(reads + writes, count("runs"));
    assert!(
        writes <= (CALLERS / 4 * EACH / 2) as u64,
        "{writes} runs for {counters}"
    );
    assert!(count("repeats") > 0 && count("served") > 0, "{counters}");
}

#[test]
fn a_drain_treats_both_fronts_alike() {
    let (mut node, mut processor, worker) = both();
    let mut gateway = node.ready();
    gateway.send("rota-view", request_params(9000, None, b"by line"));
    let (line, _) = processor.begin();
    let read = node.uwsgi_client(&packet("/view", &[], b"by packet"));
    let (packet_read, _) = processor.begin();
    let write = node.uwsgi_client(&packet("/swap", &[(KEY, "k")], b""));
    let (mut stream, _) = worker.accept();
    let crossing = packet("/view", &[], b"crossing");
    let mut half = node.uwsgi_client(&crossing[..9]);
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    // What comes after the notice, early in the grace, is taken from either.
    gateway.send("rota-view", request_params(9000, None, b"crossing"));
    let (crossing_line, _) = processor.begin();
    half.write_all(&crossing[9..]).unwrap();
    let (crossing_packet, body) = processor.begin();
    assert_eq!(body, b"crossing");
    for at in [node.gateway_address, node.uwsgi_address.unwrap()] {
        while std::net::TcpStream::connect(at).is_ok() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    assert_eq!(gateway.receive()["method"], "goaway");
    processor.complete(&line, "fine", b"1");
    processor.complete(&packet_read, "fine", b"2");
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n3").unwrap();
    drop(stream);
    processor.complete(&crossing_line, "fine", b"4");
    processor.complete(&crossing_packet, "fine", b"5");
    for result in [b"1", b"4"] {
        assert_eq!(gateway.receive()["result"]["doc"], base64(result));
    }
    assert!(read_response(half).1.ends_with("\r\n\r\n5"));
    assert!(read_response(read).1.ends_with("\r\n\r\n2"));
    assert!(read_response(write).1.ends_with("\r\n\r\n3"));
    assert!(node.wait().success());
}
