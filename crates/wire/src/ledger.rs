//! Calls to the layer below, through the ledger.

use super::processor::with_body;
use super::{reference, Framed, Malformed};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It went well.
    Posted,
    /// Turned away: it never ran.
    QueueFull,
    /// It failed and may have had its effect.
    Error,
    /// Out of time; it may have had its effect.
    Expired,
    /// No run waits for it: it never ran.
    Moot,
}

/// The replies on one connection.
#[derive(Debug, Default)]
pub struct Replies {
    framed: Framed,
}

impl Replies {
    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.framed.feed(bytes);
    }

    /// Whether nothing is left that is not a whole reply.
    pub fn is_empty(&self) -> bool {
        self.framed.is_empty()
    }

    /// The next reply: the request, how its call ended, and what came back.
    pub fn take(&mut self) -> Result<Option<(u64, CallEnd, Vec<u8>)>, Malformed> {
        let has_body = |line: &str| line.split(' ').nth(1) == Some("posted");
        let Some((line, body)) = self.framed.next(has_body)? else {
            return Ok(None);
        };
        let mut words = line.split(' ');
        let id = words.next().and_then(reference).ok_or(Malformed)?;
        let end = match words.next() {
            Some("posted") => CallEnd::Posted,
            Some("queue_full") => CallEnd::QueueFull,
            Some("error") => CallEnd::Error,
            Some("expired") => CallEnd::Expired,
            Some("moot") => CallEnd::Moot,
            _ => return Err(Malformed),
        };
        Ok(Some((id, end, body.to_vec())))
    }
}

/// Place a call that is waited for this many milliseconds.
pub fn post(id: u64, ms: u64, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(64 + body.len());
    with_body(
        &mut out,
        format_args!("post {id:016x} {ms} {}", body.len()),
        body,
    );
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replies_are_read() {
        let id = 0x9b1f03aa5c7e2d41;
        let ok = |end, body: &[u8]| Ok(Some((id, end, body.to_vec())));
        let cases = [
            (
                "9b1f03aa5c7e2d41 posted 3\r\n\r\n!\r\n",
                ok(CallEnd::Posted, b"\r\n!"),
            ),
            (
                "9b1f03aa5c7e2d41 queue_full\r\n",
                ok(CallEnd::QueueFull, b""),
            ),
            ("9b1f03aa5c7e2d41 error\r\n", ok(CallEnd::Error, b"")),
            ("9b1f03aa5c7e2d41 expired\r\n", ok(CallEnd::Expired, b"")),
            ("9b1f03aa5c7e2d41 moot\r\n", ok(CallEnd::Moot, b"")),
            ("9b1f03aa5c7e2d41 posted 3\r\nab", Ok(None)),
            ("9b1f03aa5c7e2d41 posted\r\n", Err(Malformed)),
            ("9b1f03aa5c7e2d41 posted 1\r\nabc", Err(Malformed)),
            ("9b1f03aa5c7e2d41 done\r\n", Err(Malformed)),
            ("9b1f03aa5c7e2d4 error\r\n", Err(Malformed)),
            ("\r\n", Err(Malformed)),
        ];
        for (text, expected) in cases {
            let mut replies = Replies::default();
            replies.feed(text.as_bytes());
            assert_eq!(replies.take(), expected, "{text:?}");
        }
        assert_eq!(
            post(id, 250, b"ab"),
            b"post 9b1f03aa5c7e2d41 250 2\r\nab\r\n"
        );
    }
}
