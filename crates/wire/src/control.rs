//! The operators' door: HTTP/1.1 (RFC 9112), one call a connection. Fed bytes, it yields the call
//! once and no more.

use std::io::Write;

/// The longest head of a call, in bytes.
pub const MOST_HEAD: usize = 8 << 10;
/// The longest body, in bytes. No call needs one; it is read so that its sender hears the answer.
pub const MOST_BODY: usize = 16 << 10;
/// The longest version that is published, in bytes.
pub const MOST_PUBLISHED: usize = 256 << 10;
/// The most header fields.
const MOST_FIELDS: usize = 64;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /status`: whether this process takes clients.
    Status,
    /// `GET /status/metrics`: the figures.
    Metrics,
    /// `GET /fleet`: this node's view of the fleet, where there is one.
    Fleet,
    /// `POST /standby`: health checks hear bad from now on.
    Standby,
    /// `POST /active`: they hear good again.
    Active,
    /// `POST /fleet/publish`: a version of the settings, as JSON in the body.
    Publish,
    /// `POST /fleet/close/N`: no node acts on a version below N.
    Close(u64),
    /// `POST /fleet/accept-floor/N`: this node acts on N and what follows.
    AcceptFloor(u64),
}

/// Why a call is turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It can't be read.
    BadRequest,
    /// There is no such path.
    NotFound,
    /// The path is called otherwise, with these methods.
    Method(&'static str),
    /// It was not whole in time.
    Timeout,
    /// Its body is too long.
    TooLong,
    /// Its head is too long.
    HeadTooLong,
    /// Its body has a coding that is not read here.
    Coding,
    /// It is of another version of HTTP.
    Version,
}

impl Wrong {
    fn status(self) -> &'static str {
        match self {
            Wrong::BadRequest => "400 Bad Request",
            Wrong::NotFound => "404 Not Found",
            Wrong::Method(_) => "405 Method Not Allowed",
            Wrong::Timeout => "408 Request Timeout",
            Wrong::TooLong => "413 Content Too Large",
            Wrong::HeadTooLong => "431 Request Header Fields Too Large",
            Wrong::Coding => "501 Not Implemented",
            Wrong::Version => "505 HTTP Version Not Supported",
        }
    }
}

/// A whole call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// What is wanted.
    pub call: Call,
    /// The answer's head alone (`HEAD`).
    pub head: bool,
}

/// One caller, as far as it has been read.
#[derive(Debug, Default)]
pub struct Caller {
    bytes: Vec<u8>,
    /// The call, and how much of its body is still to come.
    asked: Option<(Asked, usize)>,
    /// The body, of a call that has one.
    body: Vec<u8>,
    over: bool,
}

impl Caller {
    /// Takes in what was read. The call once it is whole, or why it is none: said once, whatever
    /// comes behind.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Asked, Wrong>> {
        if self.over {
            return None;
        }
        let outcome = match self.asked {
            Some((asked, left)) => {
                if asked.call == Call::Publish {
                    self.body.extend_from_slice(&bytes[..bytes.len().min(left)]);
                }
                let left = left.saturating_sub(bytes.len());
                self.asked = Some((asked, left));
                (left == 0).then_some(Ok(asked))
            }
            None => self.head(bytes),
        };
        self.over = outcome.is_some();
        outcome
    }

    /// The body of a call that has one.
    pub fn body(self) -> Vec<u8> {
        self.body
    }

    fn head(&mut self, bytes: &[u8]) -> Option<Result<Asked, Wrong>> {
        // Never more than the longest head and what came with its end.
        self.bytes.extend_from_slice(bytes);
        let too_long = self.bytes.len() > MOST_HEAD;
        // A head ends with a line; read anew at each byte, one that comes byte by byte would cost
        // its square.
        if !bytes.contains(&b'\n') && !too_long {
            return None;
        }
        match read(&self.bytes[..self.bytes.len().min(MOST_HEAD)]) {
            Ok(Some((asked, start, length))) => {
                let left = (start + length).saturating_sub(self.bytes.len());
                if asked.call == Call::Publish {
                    self.body = self.bytes[start..self.bytes.len().min(start + length)].to_vec();
                }
                self.bytes = Vec::new();
                self.asked = Some((asked, left));
                (left == 0).then_some(Ok(asked))
            }
            Ok(None) if too_long => Some(Err(Wrong::HeadTooLong)),
            Ok(None) => None,
            Err(wrong) => Some(Err(wrong)),
        }
    }
}

/// The number behind the beginning of a path.
fn numbered(path: &str, start: &str) -> Option<u64> {
    let digits = path.strip_prefix(start)?;
    (!digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()))
        .then(|| digits.parse().ok())?
}

/// The call that a head is, where its body begins, and how much of that is waited for.
fn read(bytes: &[u8]) -> Result<Option<(Asked, usize, usize)>, Wrong> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let start = match request.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Wrong::HeadTooLong),
        Err(httparse::Error::Version) => return Err(Wrong::Version),
        Err(_) => return Err(Wrong::BadRequest),
    };
    let (method, target) = (
        request.method.unwrap_or_default(),
        request.path.unwrap_or_default(),
    );
    let named = |name: &'static str| {
        let fields = request
            .headers
            .iter()
            .filter(move |f| f.name.eq_ignore_ascii_case(name));
        fields.map(|f| f.value.trim_ascii())
    };
    let mut length = None;
    for value in named("content-length") {
        // Digits alone: `parse` would take a sign. Two that differ are how calls are smuggled.
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let value = std::str::from_utf8(value)
            .ok()
            .filter(|_| digits)
            .ok_or(Wrong::BadRequest)?;
        let value = value.parse::<usize>().map_err(|_| Wrong::TooLong)?;
        if length.replace(value).is_some_and(|before| before != value) {
            return Err(Wrong::BadRequest);
        }
    }
    let coded = named("transfer-encoding").next().is_some();
    if coded && length.is_some() {
        return Err(Wrong::BadRequest);
    }
    // Absolute and origin form; what stands behind a question mark is nothing here.
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let (call, allow) = match path {
        "/status" => (Call::Status, "GET, HEAD"),
        "/status/metrics" => (Call::Metrics, "GET, HEAD"),
        "/fleet" => (Call::Fleet, "GET, HEAD"),
        "/standby" => (Call::Standby, "POST"),
        "/active" => (Call::Active, "POST"),
        "/fleet/publish" => (Call::Publish, "POST"),
        _ if numbered(path, "/fleet/close/").is_some() => (
            Call::Close(numbered(path, "/fleet/close/").unwrap_or(0)),
            "POST",
        ),
        _ if numbered(path, "/fleet/accept-floor/").is_some() => (
            Call::AcceptFloor(numbered(path, "/fleet/accept-floor/").unwrap_or(0)),
            "POST",
        ),
        _ => return Err(Wrong::NotFound),
    };
    if !allow.split(", ").any(|m| m == method) {
        return Err(Wrong::Method(allow));
    }
    match length {
        _ if coded => return Err(Wrong::Coding),
        Some(length) if call == Call::Publish && length <= MOST_PUBLISHED => {}
        Some(length) if length > MOST_BODY => return Err(Wrong::TooLong),
        _ => {}
    }
    // Who waits to be told to go on may be answered at once: no call reads its body.
    let waits = named("expect").next().is_some();
    let body = if waits && call != Call::Publish {
        0
    } else {
        length.unwrap_or(0)
    };
    Ok(Some((
        Asked {
            call,
            head: method == "HEAD",
        },
        start,
        body,
    )))
}

/// An answer, which ends its connection: yes or not now, and what there is to say.
pub fn answer(out: &mut Vec<u8>, yes: bool, head: bool, text: &str) {
    let status = if yes {
        "200 OK"
    } else {
        "503 Service Unavailable"
    };
    respond(
        out,
        status,
        ["", PLAIN],
        text.len(),
        if head { "" } else { text },
    );
}

/// An answer that is JSON.
pub fn json(out: &mut Vec<u8>, head: bool, text: &str) {
    respond(
        out,
        "200 OK",
        ["", "application/json"],
        text.len(),
        if head { "" } else { text },
    );
}

/// The answer to what is no call.
pub fn wrong(out: &mut Vec<u8>, wrong: Wrong) {
    let allow = if let Wrong::Method(allow) = wrong {
        format!("Allow: {allow}\r\n")
    } else {
        String::new()
    };
    let text = format!("{}\n", wrong.status());
    respond(out, wrong.status(), [&allow, PLAIN], text.len(), &text);
}

/// The kind of most answers.
const PLAIN: &str = "text/plain; charset=utf-8";

fn respond(out: &mut Vec<u8>, status: &str, [fields, kind]: [&str; 2], length: usize, text: &str) {
    // A vector takes all that is written to it.
    let _ = write!(
        out,
        "HTTP/1.1 {status}\r\n{fields}Content-Type: {kind}\r\nContent-Length: {length}\r\n\
         Cache-Control: no-store\r\nConnection: close\r\n\r\n{text}"
    );
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_whole_and_in_pieces() {
        let ok = |call| Some(Ok(Asked { call, head: false }));
        let wrong = |wrong| Some(Err(wrong));
        let many = format!(
            "GET /status HTTP/1.1\r\n{}\r\n",
            "a: b\r\n".repeat(MOST_FIELDS + 1)
        );
        let long = format!("GET /status HTTP/1.1\r\na: {}", "b".repeat(MOST_HEAD));
        let cases = [
            ("GET /status HTTP/1.1\r\nHost: a\r\n\r\n", ok(Call::Status)),
            ("\r\nGET /status HTTP/1.0\r\n\r\n", ok(Call::Status)),
            (
                "GET /status/metrics?a=b HTTP/1.1\r\n\r\n",
                ok(Call::Metrics),
            ),
            (
                "POST /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                ok(Call::Standby),
            ),
            (
                "POST /active HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc",
                ok(Call::Active),
            ),
            ("POST /active HTTP/1.1\r\ncontent-length: 3\r\n\r\nab", None),
            (
                "POST /active HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
                ok(Call::Active),
            ),
            ("GET http://a:1/status HTTP/1.1\r\n\r\n", ok(Call::Status)),
            (
                "HEAD /status HTTP/1.1\r\n\r\n",
                Some(Ok(Asked {
                    call: Call::Status,
                    head: true,
                })),
            ),
            ("GET /status HTTP/1.1\r\nHost: a\r\n", None),
            ("", None),
            (
                "GET /standby HTTP/1.1\r\n\r\n",
                wrong(Wrong::Method("POST")),
            ),
            (
                "POST /status HTTP/1.1\r\n\r\n",
                wrong(Wrong::Method("GET, HEAD")),
            ),
            ("GET /status/ HTTP/1.1\r\n\r\n", wrong(Wrong::NotFound)),
            ("GET http://status HTTP/1.1\r\n\r\n", wrong(Wrong::NotFound)),
            ("GET /status HTTP/2.0\r\n\r\n", wrong(Wrong::Version)),
            ("hello there\r\n\r\n", wrong(Wrong::BadRequest)),
            ("\0\u{1}\u{2}\r\n\r\n", wrong(Wrong::BadRequest)),
            (
                "POST /active HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                wrong(Wrong::BadRequest),
            ),
            (
                "POST /active HTTP/1.1\r\nContent-Length: +1\r\n\r\na",
                wrong(Wrong::BadRequest),
            ),
            (
                "POST /active HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
                wrong(Wrong::BadRequest),
            ),
            (
                "POST /active HTTP/1.1\r\nContent-Length: 3000000000\r\n\r\n",
                wrong(Wrong::TooLong),
            ),
            (
                "POST /active HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
                wrong(Wrong::TooLong),
            ),
            (
                "POST /active HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                wrong(Wrong::Coding),
            ),
            (&many, wrong(Wrong::HeadTooLong)),
            (&long, wrong(Wrong::HeadTooLong)),
        ];
        for (text, expected) in cases {
            assert_eq!(
                Caller::default().feed(text.as_bytes()),
                expected,
                "{text:?}"
            );
            let mut caller = Caller::default();
            let said: Vec<_> = text.bytes().filter_map(|b| caller.feed(&[b])).collect();
            assert_eq!(
                said,
                expected.into_iter().collect::<Vec<_>>(),
                "{text:?} in pieces"
            );
        }
    }

    #[test]
    fn a_call_is_said_once() {
        let mut caller = Caller::default();
        let text = b"POST /standby HTTP/1.1\r\n\r\nPOST /active HTTP/1.1\r\n\r\n";
        assert_eq!(
            caller.feed(text),
            Some(Ok(Asked {
                call: Call::Standby,
                head: false
            }))
        );
        assert_eq!(caller.feed(text), None);
    }

    #[test]
    fn answers_say_how_long_they_are_and_that_they_are_the_last() {
        let mut out = Vec::new();
        answer(&mut out, true, false, "a\n");
        wrong(&mut out, Wrong::Method("POST"));
        answer(&mut out, false, true, "ab");
        let text = String::from_utf8(out).unwrap();
        let heads: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
        assert!(heads[0].starts_with("200 OK\r\n") && heads[0].ends_with("\r\n\r\na\n"));
        assert!(
            heads[0].contains("Content-Length: 2\r\n")
                && heads[0].contains("Connection: close\r\n")
        );
        assert!(heads[1].starts_with("405 ") && heads[1].contains("Allow: POST\r\n"));
        assert!(heads[2].starts_with("503 ") && heads[2].contains("Content-Length: 2\r\n"));
        assert!(heads[2].ends_with("\r\n\r\n"));
    }
}
