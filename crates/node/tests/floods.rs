//! Floods of connections and of bad input, beside a gateway that is served all the while.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Connections of the flood at one time; the node has places for a third of them.
const CONNECTIONS: usize = 240;
/// Requests that are served meanwhile, one after the other.
const REQUESTS: u64 = 30;
/// Each of those on a connection that is there within this time: a node that is not harmed takes
/// some milliseconds. A newcomer waits for its place behind those whose first request may still be
/// on its way, 2.7 s each, and so does who was asked to go.
const SERVED_WITHIN: Duration = Duration::from_secs(2);

/// What one connection of the flood writes, over and over.
fn noise(kind: usize) -> Vec<u8> {
    match kind % 6 {
        // A request in pieces, whose end never comes.
        0 => b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"rota-view\",\"params\":{".to_vec(),
        1 => b"GET / HTTP/1.1\r\nHost: n1\r\n\r\n".to_vec(),
        2 => vec![b'x'; 9000],
        3 => vec![0; 64],
        4 => b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n".to_vec(),
        _ => b"\n\n[]\n\"\n".to_vec(),
    }
}

/// Keeps so many connections that write a byte at a time, or all at once, until told to end.
fn flood(to: SocketAddr, end: &AtomicBool) {
    let mut all: Vec<(TcpStream, Vec<u8>, usize)> = Vec::new();
    let mut opened = 0;
    while !end.load(Ordering::Relaxed) {
        if all.len() < CONNECTIONS {
            let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_millis(200)) else {
                continue;
            };
            stream.set_nonblocking(true).unwrap();
            all.push((stream, noise(opened), 0));
            opened += 1;
        }
        all.retain_mut(|(stream, bytes, at)| {
            let piece = if bytes.len() > 1000 {
                &bytes[..]
            } else {
                &bytes[*at % bytes.len()..][..1]
            };
            *at += 1;
            // What the node says is read, or it would be given up for that alone.
            let open = !matches!(stream.read(&mut [0; 512]), Ok(0));
            let written = stream.write(piece);
            open && written.is_ok_and(|n| n > 0)
        });
    }
}

/// The gateway's connection, or a new one where the node has asked it to go: it is heard just
/// before a request comes on it.
fn heard(node: &Node, mut gateway: Gateway) -> Gateway {
    loop {
        let id = gateway.send("alive", json!({}));
        let message = gateway.receive();
        if message["id"] == id {
            return gateway;
        }
        assert!(
            message.is_null() || message["method"] == "goaway",
            "{message}"
        );
        gateway = node.gateway();
    }
}

#[test]
fn a_flood_of_connections_and_bad_input_delays_nobody_else() {
    let mut processor = Processor::new();
    let parties =
        json!({"processor": processor.address(), "limits": {"sockets": 154, "memory_mb": 48}});
    let node = Node::start(parties, None);
    processor.accept_running();
    let mut gateway = node.ready();
    let end = Arc::new(AtomicBool::new(false));
    let (at, ended) = (node.gateway_address, end.clone());
    let flooding = std::thread::spawn(move || flood(at, &ended));
    for number in 0..REQUESTS {
        gateway = heard(&node, gateway);
        let start = Instant::now();
        // Some on a connection of its own, which has to find a place among the flood's.
        let mut own = (number % 15 == 0).then(|| node.gateway());
        let newcomer = own.is_some();
        let asking = own.as_mut().unwrap_or(&mut gateway);
        asking.send(
            "rota-view",
            request_params(9000, None, &number.to_le_bytes()),
        );
        let (id, body) = processor.begin();
        assert_eq!(body, number.to_le_bytes(), "nothing of the flood runs");
        processor.complete(&id, "fine", &body);
        assert_eq!(asking.receive()["result"]["doc"], base64(&body));
        assert!(
            newcomer || start.elapsed() < SERVED_WITHIN,
            "request {number}: {:?}",
            start.elapsed()
        );
    }
    end.store(true, Ordering::Relaxed);
    flooding.join().unwrap();
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    let count = |name: &str| Node::counter(&counters, name);
    assert_eq!(
        (count("requests"), count("served")),
        (REQUESTS, REQUESTS),
        "{counters}"
    );
    assert!(count("malformed") > 0, "{counters}");
}
