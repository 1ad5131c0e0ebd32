//! Replies from the ledger, and calls to it.

use pipitlever_wire::ledger::{encode_call, CallOutcome, Reply, ReplyReader};
use pipitlever_wire::Malformed;

#[test]
fn replies_are_read() {
    let id = 0x9b1f03aa5c7e2d41;
    let reply = |outcome, body: &[u8]| {
        Ok(Some(Reply {
            reference: id,
            outcome,
            body: body.to_vec(),
        }))
    };
    let cases = [
        (
            "9b1f03aa5c7e2d41 posted 3\r\n\r\n!\r\n",
            reply(CallOutcome::Succeeded, b"\r\n!"),
        ),
        (
            "9b1f03aa5c7e2d41 queue_full\r\n",
            reply(CallOutcome::Rejected, b""),
        ),
        (
            "9b1f03aa5c7e2d41 error\r\n",
            reply(CallOutcome::Failed, b""),
        ),
        (
            "9b1f03aa5c7e2d41 expired\r\n",
            reply(CallOutcome::TimedOut, b""),
        ),
        (
            "9b1f03aa5c7e2d41 moot\r\n",
            reply(CallOutcome::Unneeded, b""),
        ),
        ("9b1f03aa5c7e2d41 posted 3\r\nab", Ok(None)),
        ("9b1f03aa5c7e2d41 posted\r\n", Err(Malformed)),
        ("9b1f03aa5c7e2d41 posted 1\r\nabc", Err(Malformed)),
        ("9b1f03aa5c7e2d41 done\r\n", Err(Malformed)),
        ("9b1f03aa5c7e2d4 error\r\n", Err(Malformed)),
        ("\r\n", Err(Malformed)),
    ];
    for (text, expected) in cases {
        let mut replies = ReplyReader::default();
        replies.feed(text.as_bytes());
        assert_eq!(replies.next_reply(), expected, "{text:?}");
    }
    assert_eq!(
        encode_call(id, 250, b"ab"),
        b"post 9b1f03aa5c7e2d41 250 2\r\nab\r\n"
    );
}
