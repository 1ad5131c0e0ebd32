//! Lines of space-separated fields that end in CR LF. Some are followed by a body, whose length in
//! bytes is the last field of the line.

use crate::{count_copied, parse_decimal, Malformed};
use std::fmt::Arguments;
use std::io::Write;

/// Longest line, in bytes.
const MAX_LINE: usize = 1024;
/// Longest body after a line, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Capacity that an empty buffer retains after a burst, in bytes.
const RETAINED_CAPACITY: usize = 16 << 10;

/// One complete message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineMessage<'a> {
    /// The line without its end.
    pub line: &'a str,
    /// The body; empty if the line has none.
    pub body: &'a [u8],
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// How many bytes of the buffer have been returned.
    consumed: usize,
}

impl LineReader {
    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        discard_consumed(&mut self.buffer, &mut self.consumed);
        count_copied(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether no part of an incomplete message is buffered.
    pub fn is_empty(&self) -> bool {
        self.consumed == self.buffer.len()
    }

    /// The next complete message. `has_body` returns whether a body follows a line.
    ///
    /// # Errors
    ///
    /// Fails if a line or body is too long, or does not end in CR LF.
    pub fn next_message(
        &mut self,
        has_body: fn(&str) -> bool,
    ) -> Result<Option<LineMessage<'_>>, Malformed> {
        let rest = &self.buffer[self.consumed..];
        let Some(end) = rest.iter().take(MAX_LINE).position(|&b| b == b'\n') else {
            return if rest.len() >= MAX_LINE {
                Err(Malformed)
            } else {
                Ok(None)
            };
        };
        let line = rest[..end].strip_suffix(b"\r").ok_or(Malformed)?;
        let line = std::str::from_utf8(line).map_err(|_| Malformed)?;
        let mut body: &[u8] = &[];
        let mut length = end + 1;
        if has_body(line) {
            let body_length = line.rsplit(' ').next().and_then(parse_decimal);
            let body_length = body_length.ok_or(Malformed)? as usize;
            if body_length > MAX_BODY {
                return Err(Malformed);
            }
            let Some((with_end, _)) = rest[length..].split_at_checked(body_length + 2) else {
                return Ok(None);
            };
            body = with_end.strip_suffix(b"\r\n").ok_or(Malformed)?;
            length += with_end.len();
        }
        self.consumed += length;
        Ok(Some(LineMessage { line, body }))
    }
}

/// Removes returned bytes from the front of a buffer. Releases memory that was allocated for a
/// burst once the buffer is empty.
pub(crate) fn discard_consumed(buffer: &mut Vec<u8>, consumed: &mut usize) {
    count_copied(buffer.len() - *consumed);
    buffer.drain(..std::mem::take(consumed));
    if buffer.is_empty() {
        buffer.shrink_to(RETAINED_CAPACITY);
    }
}

/// Appends a line, its body and both line ends.
pub fn write_with_body(out: &mut Vec<u8>, line: Arguments, body: &[u8]) {
    // Writing to a vector cannot fail.
    let _ = out.write_fmt(line);
    count_copied(body.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}
