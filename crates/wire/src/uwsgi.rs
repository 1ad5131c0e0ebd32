//! The uwsgi protocol, both sides: a packet is a 4-byte header, variables and a body of
//! CONTENT_LENGTH; what comes back is raw HTTP.

use std::io::Write;

/// The longest block of variables.
const MOST_VARS: usize = 8192;
/// The longest key.
const MOST_KEY: usize = 128;
/// The longest head of a response, and the most fields in it.
const MOST_HEAD: usize = 16384;
const MOST_FIELDS: usize = 64;

/// An HTTP status that the front itself answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The processor's result.
    Ok,
    /// The packet, or a variable in it, is wrong.
    BadRequest,
    /// No route for this path.
    NotFound,
    /// The packet is larger than may be.
    TooLarge,
    /// It failed, and may have run.
    BadGateway,
    /// It never ran.
    Unavailable,
    /// It ran out of time.
    GatewayTimeout,
}

impl Status {
    fn line(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::TooLarge => "413 Content Too Large",
            Status::BadGateway => "502 Bad Gateway",
            Status::Unavailable => "503 Service Unavailable",
            Status::GatewayTimeout => "504 Gateway Timeout",
        }
    }
}

/// A whole request, as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// The variables, in order.
    vars: Vec<(String, Vec<u8>)>,
    /// Where the body begins in the bytes.
    body_at: usize,
    bytes: Vec<u8>,
}

impl Packet {
    /// A variable's value; an empty one counts as absent, as in CGI.
    pub fn var(&self, name: &str) -> Option<&[u8]> {
        let found = self.vars.iter().find(|(n, _)| n == name);
        found
            .map(|(_, value)| value.as_slice())
            .filter(|v| !v.is_empty())
    }

    /// The path that routes go by.
    pub fn path(&self) -> Result<&str, Status> {
        let path = self.var("PATH_INFO").ok_or(Status::BadRequest)?;
        std::str::from_utf8(path).map_err(|_| Status::BadRequest)
    }

    /// The key that all tries of one request share.
    pub fn key(&self) -> Result<Option<&str>, Status> {
        let Some(key) = self.var("HTTP_IDEMPOTENCY_KEY") else {
            return Ok(None);
        };
        let key = std::str::from_utf8(key)
            .ok()
            .filter(|k| k.len() <= MOST_KEY);
        key.map(Some).ok_or(Status::BadRequest)
    }

    /// How long its caller waits, in milliseconds, if it says.
    pub fn allow(&self) -> Result<Option<u64>, Status> {
        let Some(text) = self.var("HTTP_X_ALLOW_MS") else {
            return Ok(None);
        };
        let value = std::str::from_utf8(text)
            .ok()
            .and_then(super::number)
            .filter(|&ms| ms <= 3_600_000);
        value.map(Some).ok_or(Status::BadRequest)
    }

    /// The body alone.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body_at..]
    }

    /// The packet as it came, for a worker.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// One client's connection, which carries one packet.
#[derive(Debug)]
pub struct Client {
    buffer: Vec<u8>,
    most_body: usize,
}

impl Client {
    /// A connection whose packet may have a body of this length.
    pub fn new(most_body: usize) -> Client {
        Client {
            buffer: Vec::new(),
            most_body,
        }
    }

    /// Takes in what was read; the packet once it is whole, or what is wrong with it as soon as
    /// that shows.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Packet, Status>> {
        self.buffer.extend_from_slice(bytes);
        self.packet().transpose()
    }

    fn packet(&mut self) -> Result<Option<Packet>, Status> {
        let Some(&[modifier, low, high, _]) = self.buffer.first_chunk::<4>() else {
            // A client that speaks something else may never send the other three.
            return if self.buffer.first().is_some_and(|&m| m != 0) {
                Err(Status::BadRequest)
            } else {
                Ok(None)
            };
        };
        if modifier != 0 {
            return Err(Status::BadRequest);
        }
        let size = usize::from(u16::from_le_bytes([low, high]));
        if size > MOST_VARS {
            return Err(Status::TooLarge);
        }
        let Some(block) = self.buffer.get(4..4 + size) else {
            return Ok(None);
        };
        let vars = variables(block).ok_or(Status::BadRequest)?;
        let length = vars
            .iter()
            .find(|(name, value)| name == "CONTENT_LENGTH" && !value.is_empty());
        let length = match length {
            None => 0,
            Some((_, text)) => {
                let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
                let text = std::str::from_utf8(text)
                    .ok()
                    .filter(|_| digits)
                    .ok_or(Status::BadRequest)?;
                // Digits that no number holds are a length too large.
                text.parse().unwrap_or(usize::MAX)
            }
        };
        if length > self.most_body {
            return Err(Status::TooLarge);
        }
        let end = 4 + size + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.truncate(end);
        Ok(Some(Packet {
            vars,
            body_at: 4 + size,
            bytes,
        }))
    }
}

/// The word at the start of the block, behind its length.
fn word<'a>(block: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = block.split_first_chunk::<2>()?;
    let (word, rest) = rest.split_at_checked(usize::from(u16::from_le_bytes(*length)))?;
    *block = rest;
    Some(word)
}

/// Names and values, each behind its length. A name that stands twice could mean one thing here and
/// another to the worker, so it is an error.
fn variables(mut block: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut vars: Vec<(String, Vec<u8>)> = Vec::new();
    while !block.is_empty() {
        let name = String::from_utf8(word(&mut block)?.to_vec()).ok()?;
        let value = word(&mut block)?.to_vec();
        if name.is_empty() || vars.iter().any(|(n, _)| *n == name) {
            return None;
        }
        vars.push((name, value));
    }
    Some(vars)
}

/// A variable of a whole packet, as it is sent to a worker.
pub fn variable<'a>(packet: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let size = usize::from(u16::from_le_bytes([*packet.get(1)?, *packet.get(2)?]));
    let mut block = packet.get(4..4 + size)?;
    while !block.is_empty() {
        let (found, value) = (word(&mut block)?, word(&mut block)?);
        if found == name.as_bytes() {
            return Some(value);
        }
    }
    None
}

/// A packet of these variables and this body, or nothing where the variables are too long for one.
pub fn packet(vars: &[(&str, &str)], body: &[u8]) -> Option<Vec<u8>> {
    let mut block = Vec::new();
    for word in vars.iter().flat_map(|(name, value)| [name, value]) {
        block.extend_from_slice(&u16::try_from(word.len()).ok()?.to_le_bytes());
        block.extend_from_slice(word.as_bytes());
    }
    let [low, high] = u16::try_from(block.len()).ok()?.to_le_bytes();
    Some([&[0, low, high, 0], block.as_slice(), body].concat())
}

/// An answer of the front's own. A refusal says when to come back, in whole seconds.
pub fn response(out: &mut Vec<u8>, status: Status, retry_after: Option<u64>, body: &[u8]) {
    let kind = if status == Status::Ok {
        "application/octet-stream"
    } else {
        "text/plain"
    };
    let text = if status == Status::Ok {
        body
    } else {
        status.line().as_bytes()
    };
    let (line, length) = (status.line(), text.len());
    // A vector takes all that is written to it.
    let _ = write!(
        out,
        "HTTP/1.1 {line}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n"
    );
    if let Some(seconds) = retry_after {
        let _ = write!(out, "Retry-After: {}\r\n", seconds.max(1));
    }
    out.extend_from_slice(b"Connection: close\r\n\r\n");
    out.extend_from_slice(text);
}

/// Where a worker's response stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Head {
    Unread,
    /// The status, and how long the whole response is, if it says.
    Read {
        body_at: usize,
        status: u16,
        whole: Option<usize>,
        chunked: bool,
    },
}

/// A worker's response, as it comes in.
#[derive(Debug)]
pub struct Response {
    bytes: Vec<u8>,
    head: Head,
    most: usize,
    bodiless: bool,
}

impl Response {
    /// For a request with this method; a response longer than `most` is an error.
    pub fn new(method: Option<&[u8]>, most: usize) -> Response {
        Response {
            bytes: Vec::new(),
            head: Head::Unread,
            most,
            bodiless: method == Some(b"HEAD"),
        }
    }

    /// Takes in what was read. True once the response is whole by its own account; an error if it
    /// is no HTTP or too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<bool, super::Malformed> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > self.most {
            return Err(super::Malformed);
        }
        if self.head == Head::Unread {
            self.read_head()?;
        }
        let Head::Read {
            whole: Some(whole), ..
        } = self.head
        else {
            return Ok(false);
        };
        self.bytes.truncate(whole);
        Ok(self.bytes.len() == whole)
    }

    fn read_head(&mut self) -> Result<(), super::Malformed> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let body_at = match response.parse(&self.bytes) {
            Ok(httparse::Status::Complete(at)) => at,
            Ok(httparse::Status::Partial) if self.bytes.len() <= MOST_HEAD => return Ok(()),
            _ => return Err(super::Malformed),
        };
        let status = response.code.ok_or(super::Malformed)?;
        let field = |name: &str| {
            response
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
        };
        let chunked = field("Transfer-Encoding").is_some();
        let length = match field("Content-Length") {
            _ if self.bodiless || status == 204 || status == 304 => Some(0),
            _ if chunked => None,
            Some(h) => {
                let text = std::str::from_utf8(h.value).map_err(|_| super::Malformed)?;
                Some(super::number(text.trim()).ok_or(super::Malformed)? as usize)
            }
            None => None,
        };
        if length.is_some_and(|l| l > self.most) {
            return Err(super::Malformed);
        }
        self.head = Head::Read {
            body_at,
            status,
            whole: length.map(|l| body_at + l),
            chunked,
        };
        Ok(())
    }

    /// The connection ended: the response, if it is whole.
    pub fn ended(self) -> Option<Vec<u8>> {
        match self.head {
            Head::Unread => None,
            Head::Read {
                whole: Some(whole), ..
            } => (self.bytes.len() == whole).then_some(self.bytes),
            Head::Read { .. } => Some(self.bytes),
        }
    }

    /// The body of a whole response that went well, for a client that speaks no HTTP.
    pub fn plain_body(bytes: &[u8]) -> Option<&[u8]> {
        let mut response = Response::new(None, usize::MAX);
        response.feed(bytes).ok()?;
        match response.head {
            Head::Read {
                body_at,
                status: 200..=299,
                chunked: false,
                ..
            } => bytes.get(body_at..),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Malformed;

    #[test]
    fn a_packet_is_read_in_pieces_as_it_was_written() {
        let vars = [
            ("REQUEST_METHOD", "POST"),
            ("PATH_INFO", "/a"),
            ("CONTENT_LENGTH", "3"),
            ("EMPTY", ""),
        ];
        let bytes = packet(&vars, b"\0ab").unwrap();
        let mut client = Client::new(3);
        let mut found = bytes.iter().filter_map(|b| client.feed(&[*b]));
        let whole = found.next().unwrap().unwrap();
        assert_eq!(
            (whole.bytes(), whole.body(), whole.path()),
            (&*bytes, &b"\0ab"[..], Ok("/a"))
        );
        assert_eq!(
            (whole.var("EMPTY"), whole.key(), whole.allow()),
            (None, Ok(None), Ok(None))
        );
        assert_eq!(variable(&bytes, "REQUEST_METHOD"), Some(&b"POST"[..]));
        assert!(found.next().is_none());
        // What is wrong with packets on the wire is a table in tests/uwsgi.rs.
        assert_eq!(packet(&[("LONG", &"x".repeat(70_000))], b""), None);
    }

    #[test]
    fn a_response_is_whole_by_its_length_or_by_the_end() {
        // Method, what comes, whether it is whole at once, and what there is at the end of the
        // connection.
        let cases: [(&str, &str, Result<bool, Malformed>, bool); 10] = [
            (
                "GET",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                Ok(true),
                true,
            ),
            (
                "GET",
                "HTTP/1.1 404 No\r\ncontent-length: 3\r\n\r\nab",
                Ok(false),
                false,
            ),
            ("GET", "HTTP/1.1 200 OK\r\n\r\nab", Ok(false), true),
            (
                "GET",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                Ok(false),
                true,
            ),
            (
                "HEAD",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                Ok(true),
                true,
            ),
            ("GET", "HTTP/1.1 204 None\r\n\r\n", Ok(true), true),
            ("GET", "HTTP/1.1 200 O", Ok(false), false),
            (
                "GET",
                "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n",
                Err(Malformed),
                false,
            ),
            (
                "GET",
                "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n",
                Err(Malformed),
                false,
            ),
            ("GET", "Status: 200\r\n\r\n", Err(Malformed), false),
        ];
        for (method, text, whole, ended) in cases {
            let mut response = Response::new(Some(method.as_bytes()), 100);
            assert_eq!(response.feed(text.as_bytes()), whole, "{text:?}");
            if whole.is_ok() {
                assert_eq!(response.ended(), ended.then(|| text.into()), "{text:?}");
            }
        }
        assert_eq!(
            Response::plain_body(b"HTTP/1.1 200 OK\r\n\r\nab"),
            Some(&b"ab"[..])
        );
        assert_eq!(Response::plain_body(b"HTTP/1.1 500 No\r\n\r\nab"), None);
    }
}
