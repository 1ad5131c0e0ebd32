//! Floods of connections and of invalid input, during which a gateway has to be served.

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Concurrent connections of the flood; the node has connection slots for a third of them.
const CONNECTIONS: usize = 240;
/// Requests that are sent during the flood, one after the other.
const REQUESTS: u64 = 30;
/// Time limit of each request on an established connection; without a flood it takes some
/// milliseconds. A new connection, also one that replaces a connection closed by the node, first
/// waits for a slot, behind connections that have up to 2.7 s each to send a first request.
const SERVED_WITHIN: Duration = Duration::from_secs(2);

/// The bytes that a connection of the flood writes repeatedly.
fn flood_bytes(kind: usize) -> Vec<u8> {
    match kind % 6 {
        // A request that is never completed.
        0 => b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"rota-view\",\"params\":{".to_vec(),
        1 => b"GET / HTTP/1.1\r\nHost: n1\r\n\r\n".to_vec(),
        2 => vec![b'x'; 9000],
        3 => vec![0; 64],
        4 => b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n".to_vec(),
        _ => b"\n\n[]\n\"\n".to_vec(),
    }
}

/// Keeps `CONNECTIONS` connections open, which write one byte at a time or all at once, until `end`
/// is set.
fn flood(to: SocketAddr, end: &AtomicBool) {
    let mut connections: Vec<(TcpStream, Vec<u8>, usize)> = Vec::new();
    let mut opened = 0;
    while !end.load(Ordering::Relaxed) {
        if connections.len() < CONNECTIONS {
            let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_millis(200)) else {
                continue;
            };
            stream.set_nonblocking(true).unwrap();
            connections.push((stream, flood_bytes(opened), 0));
            opened += 1;
        }
        connections.retain_mut(|(stream, bytes, at)| {
            let piece = if bytes.len() > 1000 {
                &bytes[..]
            } else {
                &bytes[*at % bytes.len()..][..1]
            };
            *at += 1;
            // Answers are read: the node closes connections that do not read.
            let open = !matches!(stream.read(&mut [0; 512]), Ok(0));
            let written = stream.write(piece);
            open && written.is_ok_and(|n| n > 0)
        });
    }
}

/// Checks with `alive` that the gateway's connection is open, and replaces it if the node has
/// closed it or sent `goaway`.
fn ensure_connected(node: &Node, mut gateway: Gateway) -> Gateway {
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
fn a_flood_of_connections_and_invalid_input_delays_no_others() {
    let mut processor = Processor::new();
    let entries =
        json!({"processor": processor.address(), "limits": {"sockets": 154, "memory_mb": 48}});
    let node = Node::start(entries, None);
    processor.accept_running();
    let mut gateway = node.ready();
    let end = Arc::new(AtomicBool::new(false));
    let (address, ended) = (node.gateway_address, end.clone());
    let flooding = std::thread::spawn(move || flood(address, &ended));
    for number in 0..REQUESTS {
        gateway = ensure_connected(&node, gateway);
        let start = Instant::now();
        // Some requests use a new connection, which has to get a slot during the flood.
        let mut new_connection = (number % 15 == 0).then(|| node.gateway());
        let is_new = new_connection.is_some();
        let requesting = new_connection.as_mut().unwrap_or(&mut gateway);
        requesting.send(
            "rota-view",
            request_params(9000, None, &number.to_le_bytes()),
        );
        let (id, body) = processor.begin();
        assert_eq!(body, number.to_le_bytes(), "the body of another request");
        processor.complete(&id, "fine", &body);
        assert_eq!(requesting.receive()["result"]["doc"], base64(&body));
        assert!(
            is_new || start.elapsed() < SERVED_WITHIN,
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
