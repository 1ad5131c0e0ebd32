//! Downstream calls, sent to the ledger over dedicated connections.

use crate::lines::{write_with_body, LineMessage, LineReader};
use crate::{parse_reference, Malformed};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded (`posted`).
    Succeeded,
    /// The call was rejected before it ran (`queue_full`).
    Rejected,
    /// The call failed and may have had an effect (`error`).
    Failed,
    /// The call timed out and may have had an effect (`expired`).
    TimedOut,
    /// The call never ran, as no run was waiting for its reply (`moot`).
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
        let mut fields = line.split(' ');
        let reference = fields.next().and_then(parse_reference).ok_or(Malformed)?;
        let outcome = match fields.next() {
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

/// Encodes the message that places a call. The node waits `timeout_ms` for the reply.
pub fn encode_call(reference: u64, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    /// Capacity for the line before the body and the line ends, in bytes.
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
