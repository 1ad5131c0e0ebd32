//! Reads the messages on one gateway's connection.

use super::params::parse_work;
use super::{ErrorCode, Message, MAX_LINE};
use crate::count_copied;
use crate::lines::discard_consumed;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Whole numbers up to this one are exact in a JSON number with a fraction or an exponent: 2^53.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Text that is borrowed unless it contains escapes. Serde never borrows a `Cow` in an `Option`.
#[derive(Deserialize)]
pub(super) struct Text<'a>(#[serde(borrow)] pub(super) Cow<'a, str>);

#[derive(Deserialize)]
struct Envelope<'a> {
    #[serde(borrow)]
    jsonrpc: Option<Text<'a>>,
    #[serde(default)]
    id: serde_json::Value,
    #[serde(borrow)]
    method: Option<Text<'a>>,
    // Not parsed before the kind of message is known, so that nothing is copied until then.
    #[serde(borrow, default)]
    params: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct CancelParams {
    id: serde_json::Value,
}

/// Parameters of a health check. Unknown ones are ignored: the check is still answered.
#[derive(Deserialize)]
struct HealthCheckParams {
    #[serde(rename = "inner", default)]
    checks_progress: bool,
}

/// Splits a gateway's bytes into messages.
#[derive(Debug, Default)]
pub struct GatewayReader {
    buffer: Vec<u8>,
    /// How many bytes of the buffer have been returned.
    consumed: usize,
    /// How many bytes of the buffer were searched for the end of a line.
    searched: usize,
    last_id: u64,
    is_broken: bool,
}

impl GatewayReader {
    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.is_broken {
            return;
        }
        self.searched -= self.consumed;
        discard_consumed(&mut self.buffer, &mut self.consumed);
        count_copied(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the connection cannot be read any further: the last message was an error, and no
    /// message follows.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Whether a part of an incomplete message is buffered.
    pub fn has_partial_message(&self) -> bool {
        self.buffer.len() > self.consumed
    }

    /// The next complete message. `class` and `tenant` map names to indices.
    pub fn next_message(
        &mut self,
        class: impl Fn(&str) -> Option<usize>,
        tenant: impl Fn(&str) -> Option<usize>,
    ) -> Option<Message> {
        if self.is_broken {
            return None;
        }
        let unsearched = &self.buffer[self.searched..];
        let found = unsearched.iter().position(|&b| b == b'\n');
        let end = found.map_or(self.buffer.len(), |offset| self.searched + offset);
        if end - self.consumed > MAX_LINE {
            // The end of the line is not searched for: the connection is not read any further.
            *self = GatewayReader {
                is_broken: true,
                ..GatewayReader::default()
            };
            return Some(Message::Invalid(None, ErrorCode::InvalidRequest));
        }
        self.searched = end;
        found?;
        // The line is parsed in place: the buffer is moved out while it is borrowed.
        let buffer = std::mem::take(&mut self.buffer);
        let message = self.parse(&buffer[self.consumed..=end], class, tenant);
        self.buffer = buffer;
        (self.consumed, self.searched) = (end + 1, end + 1);
        Some(message)
    }

    fn parse(
        &mut self,
        line: &[u8],
        class: impl Fn(&str) -> Option<usize>,
        tenant: impl Fn(&str) -> Option<usize>,
    ) -> Message {
        let Ok(envelope) = serde_json::from_slice::<Envelope>(line) else {
            let is_json = serde_json::from_slice::<serde::de::IgnoredAny>(line).is_ok();
            let code = if is_json {
                ErrorCode::InvalidRequest
            } else {
                ErrorCode::Parse
            };
            return Message::Invalid(None, code);
        };
        let Envelope {
            jsonrpc,
            id,
            method,
            params,
        } = envelope;
        let new_id = whole_number(&id).filter(|&id| id > self.last_id);
        let is_version_2 = jsonrpc.is_some_and(|version| version.0 == "2.0");
        let (true, Some(Text(method))) = (is_version_2, method) else {
            return Message::Invalid(new_id, ErrorCode::InvalidRequest);
        };
        if id.is_null() {
            return parse_notification(&method, params);
        }
        // Ids start at 1 and increase: any other id could be that of an open request.
        let Some(id) = new_id else {
            return Message::Invalid(None, ErrorCode::InvalidRequest);
        };
        self.last_id = id;
        if method == "alive" {
            let check =
                params.and_then(|p| serde_json::from_str::<HealthCheckParams>(p.get()).ok());
            return Message::HealthCheck {
                id,
                checks_progress: check.is_some_and(|check| check.checks_progress),
            };
        }
        match parse_work(id, params, || class(&method), tenant) {
            Ok(work) => Message::Work(work),
            Err(code) => Message::Invalid(Some(id), code),
        }
    }
}

/// Parses a message without an id. Only a cancellation is valid. Anything else is answered with an
/// error, so that the sender does not expect it to be executed.
fn parse_notification(method: &str, params: Option<&RawValue>) -> Message {
    let object = params.map(RawValue::get).filter(|p| p.starts_with('{'));
    let cancel = object.and_then(|p| serde_json::from_str::<CancelParams>(p).ok());
    match (method, cancel.and_then(|c| whole_number(&c.id))) {
        ("cancelRequest", Some(id)) => Message::Cancel(id),
        _ => Message::Invalid(None, ErrorCode::InvalidRequest),
    }
}

/// A whole number in any JSON notation: 7, 7.0 and 7e0 are the same.
fn whole_number(value: &serde_json::Value) -> Option<u64> {
    let is_exact = |v: &f64| v.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER).contains(v);
    value
        .as_u64()
        .or_else(|| value.as_f64().filter(is_exact).map(|v| v as u64))
}
