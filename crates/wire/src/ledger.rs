//! Calls to the layer below, posted to the ledger over connections of their own.

use crate::lines::{write_with_body, LineMessage, LineReader};
use crate::{parse_reference, Malformed};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It succeeded (`posted`).
    Succeeded,
    /// It was rejected before it ran (`queue_full`).
    Rejected,
    /// It failed and may have had an effect (`error`).
    Failed,
    /// Its time was over; it may have had an effect (`expired`).
    TimedOut,
    /// No run was waiting for it, and it never ran (`moot`).
    Unneeded,
}

/// The reply to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Reference of the request that made the call.
    pub reference: u64,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// The reply's body; empty unless the call succeeded.
    pub body: Vec<u8>,
}

/// Reads the replies on one connection.
#[derive(Debug, Default)]
pub struct ReplyReader {
    lines: LineReader,
}

impl ReplyReader {
    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.lines.feed(bytes);
    }

    /// Whether no part of an incomplete reply is buffered.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The next complete reply.
    ///
    /// # Errors
    ///
    /// Fails if the ledger sent anything that is not a reply.
    pub fn next_reply(&mut self) -> Result<Option<Reply>, Malformed> {
        let has_body = |line: &str| line.split(' ').nth(1) == Some("posted");
        let Some(LineMessage { line, body }) = self.lines.next_message(has_body)? else {
            return Ok(None);
        };
        let mut words = line.split(' ');
        let reference = words.next().and_then(parse_reference).ok_or(Malformed)?;
        let outcome = match words.next() {
            Some("posted") => CallOutcome::Succeeded,
            Some("queue_full") => CallOutcome::Rejected,
            Some("error") => CallOutcome::Failed,
            Some("expired") => CallOutcome::TimedOut,
            Some("moot") => CallOutcome::Unneeded,
            _ => return Err(Malformed),
        };
        Ok(Some(Reply {
            reference,
            outcome,
            body: body.to_vec(),
        }))
    }
}

/// The message that places a call. `timeout_ms` tells the ledger how long the reply is waited for.
pub fn encode_call(reference: u64, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    /// Room for the line around the body, in bytes.
    const LINE_CAPACITY: usize = 64;
    let mut out = Vec::with_capacity(LINE_CAPACITY + body.len());
    let length = body.len();
    write_with_body(
        &mut out,
        format_args!("post {reference:016x} {timeout_ms} {length}"),
        body,
    );
    out
}
