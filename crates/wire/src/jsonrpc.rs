//! The platform's front: JSON-RPC 2.0, one message a line, no batches.

use super::{reference, take_out};
use base64::{engine::general_purpose::STANDARD, Engine};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::io::Write;
use std::rc::Rc;

/// The longest line: a body of 2 KiB in base64 and its fields take under half of it.
const MOST_LINE: usize = 8192;
/// The longest body of a request.
pub const MOST_BODY: usize = 2048;
/// The longest result.
pub const MOST_RESULT: usize = 4096;
/// Requests that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// The longest key.
const MOST_KEY: usize = 128;
/// Up to here a JSON number with a fraction or an exponent is exact.
const MOST_EXACT: f64 = 9_007_199_254_740_992.0;
/// A caller waits no longer than this, in milliseconds; larger figures are errors.
const MOST_ALLOW: f64 = 3_600_000.0;

/// The protocol's errors: all but [`Code::Refused`] mean that the request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The line is no JSON.
    Parse,
    /// It is no request.
    Request,
    /// There is no such method.
    Method,
    /// The parameters are wrong.
    Params,
    /// This try never ran.
    Refused,
    /// It failed.
    Failed,
    /// It ran out of time.
    Expired,
    /// Its caller took it back.
    Cancelled,
}

impl Code {
    fn parts(self) -> (i64, &'static str) {
        match self {
            Code::Parse => (-32700, "parse error"),
            Code::Request => (-32600, "invalid request"),
            Code::Method => (-32601, "method not found"),
            Code::Params => (-32602, "invalid params"),
            Code::Refused => (-32000, "refused"),
            Code::Failed => (-32001, "failed"),
            Code::Expired => (-32002, "out of time"),
            Code::Cancelled => (-32800, "request cancelled"),
        }
    }
}

/// A request for a class of work, as it stands on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Its number on the connection.
    pub id: u64,
    /// Its class, by position.
    pub class: usize,
    /// Its name.
    pub reference: u64,
    /// The number of the gateway, where it says one.
    pub sender: Option<u64>,
    /// Its tenant, by position; none where it names none, or one that the settings don't have.
    pub tenant: Option<usize>,
    /// When it came to the machine, in Unix milliseconds.
    pub since: f64,
    /// How long its caller waits from then, in milliseconds.
    pub allow: Option<f64>,
    /// A further try or a second copy.
    pub dup: bool,
    /// The work to expect, in milliseconds.
    pub effort: Option<f64>,
    /// Its memory while held, in KB.
    pub room: f64,
    /// Its rank.
    pub class_rank: f64,
    /// Its key, in keyed classes.
    pub replay: Option<Rc<str>>,
    /// Its body.
    pub body: Rc<[u8]>,
}

/// What a gateway says.
// It is moved once, and a box for it was an allocation a request.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request for work.
    Work(Work),
    /// A health check.
    Alive {
        /// Its number on the connection.
        id: u64,
        /// Whether work gets done is asked, too, and not only whether there is somebody.
        inner: bool,
    },
    /// It stopped waiting for a request.
    Cancel(u64),
    /// Something that is answered with an error.
    Bad(Option<u64>, Code),
}

/// Text that is borrowed wherever it stands without escapes. (A `Cow` within an `Option` never is.)
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

#[derive(Deserialize)]
struct Envelope<'a> {
    #[serde(borrow)]
    jsonrpc: Option<Text<'a>>,
    #[serde(default)]
    id: serde_json::Value,
    #[serde(borrow)]
    method: Option<Text<'a>>,
    // As it stands: it is read once its class of message is known, and nothing of it is copied
    // before.
    #[serde(borrow, default)]
    params: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Params<'a> {
    #[serde(rename = "ref", borrow)]
    reference: Cow<'a, str>,
    // Only captures want it: whatever else stands there is no error.
    #[serde(borrow, default)]
    sender: Option<&'a RawValue>,
    #[serde(borrow, default)]
    project: Option<Text<'a>>,
    since: f64,
    #[serde(default)]
    allow: Option<f64>,
    #[serde(default)]
    dup: Option<f64>,
    #[serde(default)]
    effort: Option<f64>,
    room: f64,
    class_rank: f64,
    #[serde(borrow, default)]
    replay: Option<Text<'a>>,
    #[serde(borrow)]
    doc: Cow<'a, str>,
}

#[derive(Deserialize)]
struct Cancelled {
    id: serde_json::Value,
}

/// What a health check may say. Whatever else stands there is no error: it is answered all the
/// same.
#[derive(Deserialize)]
struct Check {
    #[serde(default)]
    inner: bool,
}

/// One gateway's connection, as far as it is read.
#[derive(Debug, Default)]
pub struct Gateway {
    buffer: Vec<u8>,
    /// So much of it has been taken out, and so far was it searched for a line's end.
    used: usize,
    searched: usize,
    last_id: u64,
    broken: bool,
}

impl Gateway {
    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.broken {
            self.searched -= self.used;
            take_out(&mut self.buffer, &mut self.used);
            crate::copied(bytes.len());
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether the connection can't be read any further: its last message was an error and nothing
    /// follows.
    pub fn broken(&self) -> bool {
        self.broken
    }

    /// Whether a part of a message has come whose end has not.
    pub fn unfinished(&self) -> bool {
        self.buffer.len() > self.used
    }

    /// The next whole message. Classes and tenants have their positions by their names.
    pub fn next(
        &mut self,
        class: impl Fn(&str) -> Option<usize>,
        tenant: impl Fn(&str) -> Option<usize>,
    ) -> Option<Message> {
        if self.broken {
            return None;
        }
        let found = self.buffer[self.searched..]
            .iter()
            .position(|&b| b == b'\n');
        let end = found.map_or(self.buffer.len(), |at| self.searched + at);
        if end - self.used > MOST_LINE {
            // Where its end lies is not worth looking for.
            *self = Gateway {
                broken: true,
                ..Gateway::default()
            };
            return Some(Message::Bad(None, Code::Request));
        }
        self.searched = end;
        found?;
        // The line is read where it stands; the buffer comes back behind it.
        let buffer = std::mem::take(&mut self.buffer);
        let message = self.message(&buffer[self.used..=end], class, tenant);
        self.buffer = buffer;
        (self.used, self.searched) = (end + 1, end + 1);
        Some(message)
    }

    fn message(
        &mut self,
        line: &[u8],
        class: impl Fn(&str) -> Option<usize>,
        tenant: impl Fn(&str) -> Option<usize>,
    ) -> Message {
        let Ok(value) = serde_json::from_slice::<Envelope>(line) else {
            let json = serde_json::from_slice::<serde::de::IgnoredAny>(line).is_ok();
            return Message::Bad(None, if json { Code::Request } else { Code::Parse });
        };
        let Envelope {
            jsonrpc,
            id,
            method,
            params,
        } = value;
        let numbered = whole_number(&id).filter(|&id| id > self.last_id);
        let (true, Some(Text(method))) = (jsonrpc.is_some_and(|v| v.0 == "2.0"), method) else {
            return Message::Bad(numbered, Code::Request);
        };
        if id.is_null() {
            let named = params.map(RawValue::get).filter(|p| p.starts_with('{'));
            let cancelled = named.and_then(|p| serde_json::from_str::<Cancelled>(p).ok());
            return match (&*method, cancelled.and_then(|c| whole_number(&c.id))) {
                ("cancelRequest", Some(cancelled)) => Message::Cancel(cancelled),
                // Whoever asks for something without a number gets to know that it will not be
                // done.
                _ => Message::Bad(None, Code::Request),
            };
        }
        // Numbers count up from 1 and are new on their connection; another one could name an open
        // request.
        let Some(id) = numbered else {
            return Message::Bad(None, Code::Request);
        };
        self.last_id = id;
        if method == "alive" {
            let asked = params.and_then(|p| serde_json::from_str::<Check>(p.get()).ok());
            return Message::Alive {
                id,
                inner: asked.is_some_and(|check| check.inner),
            };
        }
        match work(id, params, || class(&method), tenant) {
            Ok(work) => Message::Work(work),
            Err(code) => Message::Bad(Some(id), code),
        }
    }
}

/// A whole number, in any form that JSON has for it: 7, 7.0 and 7e0 are the same.
fn whole_number(value: &serde_json::Value) -> Option<u64> {
    let exact = |v: &f64| v.fract() == 0.0 && (0.0..=MOST_EXACT).contains(v);
    value
        .as_u64()
        .or_else(|| value.as_f64().filter(exact).map(|v| v as u64))
}

fn work(
    id: u64,
    params: Option<&RawValue>,
    class: impl FnOnce() -> Option<usize>,
    tenant: impl FnOnce(&str) -> Option<usize>,
) -> Result<Work, Code> {
    let params = params.ok_or(Code::Params)?;
    let p: Params = serde_json::from_str(params.get()).map_err(|_| Code::Params)?;
    let within = |value: f64, least: f64, most: f64| (least..=most).contains(&value);
    let right = within(p.since, 0.0, 1e14)
        && p.allow.is_none_or(|v| within(v, 0.0, MOST_ALLOW))
        && p.effort.is_none_or(|v| within(v, 0.0, 1e9))
        && p.room > 0.0
        && p.room < 2000.0
        && p.class_rank >= 0.0
        && p.class_rank < 1.0
        && p.dup.is_none_or(|v| v == 0.0 || v == 1.0)
        && p.replay
            .as_ref()
            .is_none_or(|k| (1..=MOST_KEY).contains(&k.0.len()));
    // Longer ones need not be decoded to be seen as too long; the others have room here.
    let mut room = [0; MOST_BODY + 2];
    let short = p.doc.len() <= MOST_BODY.div_ceil(3) * 4;
    let length = (right && short)
        .then(|| STANDARD.decode_slice(&*p.doc, &mut room).ok())
        .flatten();
    let length = length.filter(|&n| n <= MOST_BODY).ok_or(Code::Params)?;
    let reference = reference(&p.reference).ok_or(Code::Params)?;
    // Out of base64, and into what is shared.
    crate::copied(2 * length);
    Ok(Work {
        id,
        class: class().ok_or(Code::Method)?,
        reference,
        sender: p.sender.and_then(|s| s.get().parse().ok()),
        tenant: p.project.and_then(|name| tenant(&name.0)),
        since: p.since,
        allow: p.allow,
        dup: p.dup == Some(1.0),
        effort: p.effort,
        room: p.room,
        class_rank: p.class_rank,
        replay: p.replay.map(|key| Rc::from(&*key.0)),
        body: Rc::from(&room[..length]),
    })
}

/// Begins an answer. A vector takes all that is written to it, here and below.
fn head(out: &mut Vec<u8>, id: Option<u64>) {
    let _ = match id {
        Some(id) => write!(out, "{{\"jsonrpc\":\"2.0\",\"id\":{id},"),
        None => write!(out, "{{\"jsonrpc\":\"2.0\",\"id\":null,"),
    };
}

/// The level, if there is one, behind other fields or not.
fn pressure(out: &mut Vec<u8>, level: Option<f64>, behind: bool) {
    if let Some(level) = level {
        let comma = if behind { "," } else { "" };
        let _ = write!(out, "{comma}\"pressure\":{level}");
    }
}

/// Served: the result, unchanged.
pub fn served(out: &mut Vec<u8>, id: u64, result: &[u8], level: Option<f64>) {
    head(out, Some(id));
    out.extend_from_slice(b"\"result\":{\"doc\":\"");
    let start = out.len();
    out.resize(start + result.len().div_ceil(3) * 4, 0);
    let written = STANDARD
        .encode_slice(result, &mut out[start..])
        .unwrap_or(0);
    crate::copied(written);
    debug_assert_eq!(start + written, out.len(), "base64 has a known length");
    out.push(b'"');
    pressure(out, level, true);
    out.extend_from_slice(b"}}\n");
}

/// Refused, with advice: how many milliseconds to keep away, and whether to try no other node.
pub fn refused(out: &mut Vec<u8>, id: u64, cooldown: u64, nowhere: bool, level: Option<f64>) {
    error(out, Some(id), Code::Refused);
    pressure(out, level, false);
    if cooldown > 0 {
        let comma = if level.is_some() { "," } else { "" };
        let _ = write!(out, "{comma}\"cooldown\":{cooldown}");
    }
    if nowhere {
        let comma = if level.is_some() || cooldown > 0 {
            ","
        } else {
            ""
        };
        let _ = write!(out, "{comma}\"nowhere\":1");
    }
    out.extend_from_slice(b"}}}\n");
}

/// Failed, or a message that could not be taken.
pub fn failed(out: &mut Vec<u8>, id: Option<u64>, code: Code, level: Option<f64>) {
    error(out, id, code);
    pressure(out, level, false);
    out.extend_from_slice(b"}}}\n");
}

/// An error, up to its data.
fn error(out: &mut Vec<u8>, id: Option<u64>, code: Code) {
    let (number, message) = code.parts();
    head(out, id);
    let _ = write!(
        out,
        "\"error\":{{\"code\":{number},\"message\":\"{message}\",\"data\":{{"
    );
}

/// The answer to a health check.
pub fn health(out: &mut Vec<u8>, id: u64, healthy: bool, level: Option<f64>) {
    head(out, Some(id));
    let _ = write!(out, "\"result\":{{\"healthy\":{healthy}");
    pressure(out, level, true);
    out.extend_from_slice(b"}}\n");
}

/// No new request is to come on this connection.
pub fn goaway(out: &mut Vec<u8>) {
    out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"method\":\"goaway\"}\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    fn none(_: &str) -> Option<usize> {
        None
    }

    fn messages(bytes: &[u8]) -> Vec<Message> {
        let mut gateway = Gateway::default();
        gateway.feed(bytes);
        std::iter::from_fn(|| gateway.next(none, none)).collect()
    }

    #[test]
    fn lines_are_read_whole_or_in_pieces() {
        use Code::*;
        let bad = Message::Bad;
        // Errors of whole requests are in tests/rules.rs; here are those of lines, ids and
        // notifications.
        let cases: [(&str, Vec<Message>); 12] = [
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\r\n",
                vec![Message::Alive {
                    id: 1,
                    inner: false,
                }],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\",\"params\":{\"inner\":true}}\n",
                vec![Message::Alive { id: 1, inner: true }],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{\"id\":3}}\n",
                vec![Message::Cancel(3)],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":[3]}\n",
                vec![bad(None, Request)],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"method\":\"other\"}\n",
                vec![bad(None, Request)],
            ),
            ("\n", vec![bad(None, Parse)]),
            ("{\"id\":1\n", vec![bad(None, Parse)]),
            (
                "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}]\n",
                vec![bad(None, Request)],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1}\n",
                vec![bad(Some(1), Request)],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":-1,\"method\":\"alive\"}\n",
                vec![bad(None, Request)],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1.5,\"method\":\"alive\"}\n",
                vec![bad(None, Request)],
            ),
            (
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}",
                vec![],
            ),
        ];
        for (text, expected) in cases {
            assert_eq!(messages(text.as_bytes()), expected, "{text:?}");
            let mut gateway = Gateway::default();
            let pieces = text.bytes().flat_map(|b| {
                gateway.feed(&[b]);
                gateway.next(none, none)
            });
            assert_eq!(pieces.collect::<Vec<_>>(), expected, "{text:?} in pieces");
        }
    }

    #[test]
    fn an_id_is_new_on_its_connection() {
        let alive = |id: u64| format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n");
        let text = [alive(1), alive(1), alive(7), alive(3)].concat();
        let wrong = Message::Bad(None, Code::Request);
        let alive = |id| Message::Alive { id, inner: false };
        assert_eq!(
            messages(text.as_bytes()),
            [alive(1), wrong.clone(), alive(7), wrong]
        );
    }

    #[test]
    fn a_line_too_long_ends_the_reading() {
        let mut gateway = Gateway::default();
        gateway.feed(&[b' '; MOST_LINE + 1]);
        assert_eq!(
            gateway.next(none, none),
            Some(Message::Bad(None, Code::Request))
        );
        gateway.feed(b"\n{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n");
        assert!(gateway.broken() && gateway.next(none, none).is_none());
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
                text(&|out| served(out, 7, b"a", None)),
                r#"{"jsonrpc":"2.0","id":7,"result":{"doc":"YQ=="}}"#,
            ),
            (
                text(&|out| served(out, 7, b"", Some(0.25))),
                r#"{"jsonrpc":"2.0","id":7,"result":{"doc":"","pressure":0.25}}"#,
            ),
            (
                text(&|out| refused(out, 7, 480, true, Some(1.0))),
                r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"refused","data":{"pressure":1,"cooldown":480,"nowhere":1}}}"#,
            ),
            (
                text(&|out| refused(out, 7, 0, false, None)),
                r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"refused","data":{}}}"#,
            ),
            (
                text(&|out| failed(out, None, Code::Parse, None)),
                r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error","data":{}}}"#,
            ),
            (
                text(&|out| health(out, 1, true, Some(0.5))),
                r#"{"jsonrpc":"2.0","id":1,"result":{"healthy":true,"pressure":0.5}}"#,
            ),
            (text(&goaway), r#"{"jsonrpc":"2.0","method":"goaway"}"#),
        ];
        for (bytes, expected) in cases {
            assert_eq!(String::from_utf8(bytes).unwrap(), format!("{expected}\n"));
        }
    }
}
