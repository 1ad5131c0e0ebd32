//! Packets of clients and responses of workers.

use pipitlever_wire::uwsgi::{encode_packet, find_variable, PacketReader, ResponseReader};
use pipitlever_wire::Malformed;

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
    // Malformed packets are a table in the node's tests/uwsgi.rs.
    assert_eq!(encode_packet(&[("LONG", &"x".repeat(70_000))], b""), None);
}

#[test]
fn a_response_is_complete_by_its_length_or_at_the_end() {
    // Method, bytes, whether they are complete at once, and whether they are at the end of the
    // connection.
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
    for (method, text, whole, ended) in cases {
        let mut response = ResponseReader::new(Some(method.as_bytes()), 100);
        assert_eq!(response.feed(text.as_bytes()), whole, "{text:?}");
        if whole.is_ok() {
            assert_eq!(response.finish(), ended.then(|| text.into()), "{text:?}");
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
