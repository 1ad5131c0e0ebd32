//! Messages from gateways, and the answers to them.

use pipitlever_wire::jsonrpc::{
    write_error, write_goaway, write_health, write_rejection, write_result, ErrorCode,
    GatewayReader, Message, MAX_LINE,
};

fn none(_: &str) -> Option<usize> {
    None
}

fn messages(bytes: &[u8]) -> Vec<Message> {
    let mut gateway = GatewayReader::default();
    gateway.feed(bytes);
    std::iter::from_fn(|| gateway.next_message(none, none)).collect()
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn lines_are_read_complete_or_in_pieces() {
    use ErrorCode::{InvalidRequest, Parse};
    let invalid = Message::Invalid;
    // The node's tests/rules.rs tests errors in whole requests. These are errors in lines, ids and
    // notifications.
    let cases: [(&str, Vec<Message>); 12] = [
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\r\n",
            vec![Message::HealthCheck {
                id: 1,
                checks_progress: false,
            }],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\",\"params\":{\"inner\":true}}\n",
            vec![Message::HealthCheck {
                id: 1,
                checks_progress: true,
            }],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{\"id\":3}}\n",
            vec![Message::Cancel(3)],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":[3]}\n",
            vec![invalid(None, InvalidRequest)],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"method\":\"other\"}\n",
            vec![invalid(None, InvalidRequest)],
        ),
        ("\n", vec![invalid(None, Parse)]),
        ("{\"id\":1\n", vec![invalid(None, Parse)]),
        (
            "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}]\n",
            vec![invalid(None, InvalidRequest)],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1}\n",
            vec![invalid(Some(1), InvalidRequest)],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":-1,\"method\":\"alive\"}\n",
            vec![invalid(None, InvalidRequest)],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1.5,\"method\":\"alive\"}\n",
            vec![invalid(None, InvalidRequest)],
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}",
            vec![],
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(messages(text.as_bytes()), expected, "{text:?}");
        let mut gateway = GatewayReader::default();
        let pieces = text.bytes().flat_map(|b| {
            gateway.feed(&[b]);
            gateway.next_message(none, none)
        });
        assert_eq!(pieces.collect::<Vec<_>>(), expected, "{text:?} in pieces");
    }
}

#[test]
fn an_id_that_does_not_increase_is_invalid() {
    let alive = |id: u64| format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n");
    let text = [alive(1), alive(1), alive(7), alive(3)].concat();
    let invalid = Message::Invalid(None, ErrorCode::InvalidRequest);
    let alive = |id| Message::HealthCheck {
        id,
        checks_progress: false,
    };
    assert_eq!(
        messages(text.as_bytes()),
        [alive(1), invalid.clone(), alive(7), invalid]
    );
}

#[test]
fn no_message_is_read_after_a_line_that_is_too_long() {
    let mut gateway = GatewayReader::default();
    gateway.feed(&[b' '; MAX_LINE + 1]);
    assert_eq!(
        gateway.next_message(none, none),
        Some(Message::Invalid(None, ErrorCode::InvalidRequest))
    );
    gateway.feed(b"\n{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n");
    assert!(gateway.is_broken() && gateway.next_message(none, none).is_none());
}

#[test]
fn answers_are_lines_of_json() {
    let text = |write: &dyn Fn(&mut Vec<u8>)| {
        let mut out = Vec::new();
        write(&mut out);
        out
    };
    let cases = [
        (
            text(&|out| write_result(out, 7, b"a", None)),
            r#"{"jsonrpc":"2.0","id":7,"result":{"doc":"YQ=="}}"#,
        ),
        (
            text(&|out| write_result(out, 7, b"", Some(0.25))),
            r#"{"jsonrpc":"2.0","id":7,"result":{"doc":"","pressure":0.25}}"#,
        ),
        (
            text(&|out| write_rejection(out, 7, 480, true, Some(1.0))),
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"refused","data":{"pressure":1,"cooldown":480,"nowhere":1}}}"#,
        ),
        (
            text(&|out| write_rejection(out, 7, 0, false, None)),
            r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"refused","data":{}}}"#,
        ),
        (
            text(&|out| write_error(out, None, ErrorCode::Parse, None)),
            r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error","data":{}}}"#,
        ),
        (
            text(&|out| write_health(out, 1, true, Some(0.5))),
            r#"{"jsonrpc":"2.0","id":1,"result":{"healthy":true,"pressure":0.5}}"#,
        ),
        (
            text(&write_goaway),
            r#"{"jsonrpc":"2.0","method":"goaway"}"#,
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(String::from_utf8(bytes).unwrap(), format!("{expected}\n"));
    }
}
