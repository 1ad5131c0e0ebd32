//! Packets from clients, and responses from workers.

use pipitlever_wire::uwsgi::{encode_packet, find_variable, PacketReader, ResponseReader};
use pipitlever_wire::Malformed;
use std::time::{Duration, Instant};

#[test]
fn a_packet_is_read_in_pieces_as_it_was_encoded() {
    let vars = [
        ("REQUEST_METHOD", "POST"),
        ("PATH_INFO", "/a"),
        ("CONTENT_LENGTH", "3"),
        ("EMPTY", ""),
    ];
    let bytes = encode_packet(&vars, b"\0ab").unwrap();
    let mut reader = PacketReader::new(3);
    let mut found = bytes.iter().filter_map(|b| reader.feed(&[*b]));
    let packet = found.next().unwrap().unwrap();
    assert_eq!(
        (packet.bytes(), packet.body(), packet.path()),
        (&*bytes, &b"\0ab"[..], Ok("/a"))
    );
    assert_eq!(
        (
            packet.variable("EMPTY"),
            packet.idempotency_key(),
            packet.timeout_ms()
        ),
        (None, Ok(None), Ok(None))
    );
    assert_eq!(find_variable(&bytes, "REQUEST_METHOD"), Some(&b"POST"[..]));
    assert!(found.next().is_none());
    // The node's tests/uwsgi.rs tests malformed packets.
    assert_eq!(encode_packet(&[("LONG", &"x".repeat(70_000))], b""), None);
}

#[test]
fn a_response_is_complete_by_its_length_or_at_the_end_of_the_connection() {
    // Method, response, whether the response is complete by its stated length, and whether it is
    // complete at the end of the connection.
    let cases: [(&str, &str, Result<bool, Malformed>, bool); 10] = [
        (
            "GET",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
            Ok(true),
            true,
        ),
        (
            "GET",
            "HTTP/1.1 404 No\r\ncontent-length: 3\r\n\r\nab",
            Ok(false),
            false,
        ),
        ("GET", "HTTP/1.1 200 OK\r\n\r\nab", Ok(false), true),
        (
            "GET",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Ok(false),
            true,
        ),
        (
            "HEAD",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            Ok(true),
            true,
        ),
        ("GET", "HTTP/1.1 204 None\r\n\r\n", Ok(true), true),
        ("GET", "HTTP/1.1 200 O", Ok(false), false),
        (
            "GET",
            "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n",
            Err(Malformed),
            false,
        ),
        (
            "GET",
            "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n",
            Err(Malformed),
            false,
        ),
        ("GET", "Status: 200\r\n\r\n", Err(Malformed), false),
    ];
    for (method, text, complete, at_end) in cases {
        let mut response = ResponseReader::new(Some(method.as_bytes()), 100);
        assert_eq!(response.feed(text.as_bytes()), complete, "{text:?}");
        if complete.is_ok() {
            assert_eq!(response.finish(), at_end.then(|| text.into()), "{text:?}");
        }
    }
    assert_eq!(
        ResponseReader::successful_body(b"HTTP/1.1 200 OK\r\n\r\nab"),
        Some(&b"ab"[..])
    );
    assert_eq!(
        ResponseReader::successful_body(b"HTTP/1.1 500 No\r\n\r\nab"),
        None
    );
}

/// Guards against a head that is checked again for each piece of its body, and against comparing
/// each variable with all before it: a client with many short variables took all of a core.
#[test]
fn the_variables_of_a_packet_are_checked_once() {
    /// The default deadline of a request.
    const TIME_LIMIT: Duration = Duration::from_secs(5);
    const VARIABLES: usize = 1_000;
    const BODY: [u8; 4_000] = [7; 4_000];
    let names: Vec<String> = (0..VARIABLES).map(|number| format!("{number}")).collect();
    let mut variables: Vec<(&str, &str)> = names.iter().map(|name| (&**name, "")).collect();
    let length = BODY.len().to_string();
    variables.push(("CONTENT_LENGTH", &length));
    let bytes = encode_packet(&variables, &BODY).unwrap();
    let mut reader = PacketReader::new(BODY.len());
    let start = Instant::now();
    let packet = bytes.iter().find_map(|byte| reader.feed(&[*byte]));
    assert_eq!(packet.unwrap().unwrap().body(), BODY);
    assert!(start.elapsed() < TIME_LIMIT, "{:?}", start.elapsed());
}

#[test]
fn an_incomplete_packet_takes_no_more_memory_than_the_whole() {
    static BODY: [u8; 30_000] = [7; 30_000];
    let length = BODY.len().to_string();
    let bytes = encode_packet(&[("CONTENT_LENGTH", &length)], &BODY).unwrap();
    let mut reader = PacketReader::new(BODY.len());
    for piece in bytes[..bytes.len() - 1].chunks(100) {
        assert_eq!(reader.feed(piece), None);
        assert!(reader.buffered_bytes() <= bytes.len());
    }
}
