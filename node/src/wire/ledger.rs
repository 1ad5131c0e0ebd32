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

    /// The next reply: the request, how its call ended, and what came back.
    pub fn next(&mut self) -> Result<Option<(u64, CallEnd, Vec<u8>)>, Malformed> {
        let has_body = |words: &[&str]| matches!(words, [_, "posted", ..]);
        let Some((words, body)) = self.framed.next(has_body)? else { return Ok(None) };
        let id = reference(&words[0]).ok_or(Malformed)?;
        let end = match words.get(1).map(String::as_str) {
            Some("posted") => CallEnd::Posted,
            Some("queue_full") => CallEnd::QueueFull,
            Some("error") => CallEnd::Error,
            Some("expired") => CallEnd::Expired,
            Some("moot") => CallEnd::Moot,
            _ => return Err(Malformed),
        };
        Ok(Some((id, end, body)))
    }
}

/// Place a call that is waited for this many milliseconds.
pub fn post(id: u64, ms: u64, body: &[u8]) -> Vec<u8> {
    with_body(format!("post {id:016x} {ms} {}", body.len()), body)
}

/// Give up a call.
pub fn abandon(id: u64) -> Vec<u8> {
    format!("abandon {id:016x}\r\n").into_bytes()
}
