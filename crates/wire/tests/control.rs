//! Requests to the control endpoint and its responses.

use pipitlever_wire::control::{
    write_error, write_text, ControlRequest, Operation, RequestError, RequestReader, MAX_FIELDS,
    MAX_HEAD,
};

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn requests_are_read_complete_and_in_pieces() {
    let ok = |operation| {
        Some(Ok(ControlRequest {
            operation,
            is_head_only: false,
        }))
    };
    let error = |error| Some(Err(error));
    let many = format!(
        "GET /status HTTP/1.1\r\n{}\r\n",
        "a: b\r\n".repeat(MAX_FIELDS + 1)
    );
    let long = format!("GET /status HTTP/1.1\r\na: {}", "b".repeat(MAX_HEAD));
    let cases = [
        (
            "GET /status HTTP/1.1\r\nHost: a\r\n\r\n",
            ok(Operation::Status),
        ),
        ("\r\nGET /status HTTP/1.0\r\n\r\n", ok(Operation::Status)),
        (
            "GET /status/metrics?a=b HTTP/1.1\r\n\r\n",
            ok(Operation::Metrics),
        ),
        (
            "POST /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            ok(Operation::Standby),
        ),
        (
            "POST /active HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc",
            ok(Operation::Active),
        ),
        ("POST /active HTTP/1.1\r\ncontent-length: 3\r\n\r\nab", None),
        (
            "POST /active HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
            ok(Operation::Active),
        ),
        (
            "GET http://a:1/status HTTP/1.1\r\n\r\n",
            ok(Operation::Status),
        ),
        (
            "HEAD /status HTTP/1.1\r\n\r\n",
            Some(Ok(ControlRequest {
                operation: Operation::Status,
                is_head_only: true,
            })),
        ),
        ("GET /status HTTP/1.1\r\nHost: a\r\n", None),
        ("", None),
        (
            "GET /standby HTTP/1.1\r\n\r\n",
            error(RequestError::MethodNotAllowed("POST")),
        ),
        (
            "POST /status HTTP/1.1\r\n\r\n",
            error(RequestError::MethodNotAllowed("GET, HEAD")),
        ),
        (
            "GET /status/ HTTP/1.1\r\n\r\n",
            error(RequestError::NotFound),
        ),
        (
            "GET http://status HTTP/1.1\r\n\r\n",
            error(RequestError::NotFound),
        ),
        ("GET /status HTTP/2.0\r\n\r\n", error(RequestError::Version)),
        ("hello there\r\n\r\n", error(RequestError::BadRequest)),
        ("\0\u{1}\u{2}\r\n\r\n", error(RequestError::BadRequest)),
        (
            "POST /active HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            error(RequestError::BadRequest),
        ),
        (
            "POST /active HTTP/1.1\r\nContent-Length: +1\r\n\r\na",
            error(RequestError::BadRequest),
        ),
        (
            "POST /active HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
            error(RequestError::BadRequest),
        ),
        (
            "POST /active HTTP/1.1\r\nContent-Length: 3000000000\r\n\r\n",
            error(RequestError::BodyTooLong),
        ),
        (
            "POST /active HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            error(RequestError::BodyTooLong),
        ),
        (
            "POST /active HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            error(RequestError::TransferCoding),
        ),
        (&many, error(RequestError::HeadTooLong)),
        (&long, error(RequestError::HeadTooLong)),
    ];
    for (text, expected) in cases {
        assert_eq!(
            RequestReader::default().feed(text.as_bytes()),
            expected,
            "{text:?}"
        );
        let mut reader = RequestReader::default();
        let results: Vec<_> = text.bytes().filter_map(|b| reader.feed(&[b])).collect();
        assert_eq!(
            results,
            expected.into_iter().collect::<Vec<_>>(),
            "{text:?} in pieces"
        );
    }
}

#[test]
fn a_request_is_returned_once() {
    let mut reader = RequestReader::default();
    let text = b"POST /standby HTTP/1.1\r\n\r\nPOST /active HTTP/1.1\r\n\r\n";
    assert_eq!(
        reader.feed(text),
        Some(Ok(ControlRequest {
            operation: Operation::Standby,
            is_head_only: false
        }))
    );
    assert_eq!(reader.feed(text), None);
}

#[test]
fn responses_state_their_length_and_close_the_connection() {
    let mut out = Vec::new();
    write_text(&mut out, true, false, "a\n");
    write_error(&mut out, RequestError::MethodNotAllowed("POST"));
    write_text(&mut out, false, true, "ab");
    let text = String::from_utf8(out).unwrap();
    let heads: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
    assert!(heads[0].starts_with("200 OK\r\n") && heads[0].ends_with("\r\n\r\na\n"));
    assert!(
        heads[0].contains("Content-Length: 2\r\n") && heads[0].contains("Connection: close\r\n")
    );
    assert!(heads[1].starts_with("405 ") && heads[1].contains("Allow: POST\r\n"));
    assert!(heads[2].starts_with("503 ") && heads[2].contains("Content-Length: 2\r\n"));
    assert!(heads[2].ends_with("\r\n\r\n"));
}
