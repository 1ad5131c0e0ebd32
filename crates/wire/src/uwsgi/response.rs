//! HTTP responses of the front end itself, and of workers.

use super::Status;
use crate::{parse_decimal, Malformed};
use std::io::Write;

/// Longest head of a worker's response, in bytes.
const MAX_HEAD: usize = 16384;
/// Most header fields of a worker's response.
const MAX_FIELDS: usize = 64;

/// Appends a response of the front end itself. `retry_after_s` is the time to wait before a retry,
/// in seconds.
pub fn write_response(out: &mut Vec<u8>, status: Status, retry_after_s: Option<u64>, body: &[u8]) {
    let (content_type, text) = if status == Status::Ok {
        ("application/octet-stream", body)
    } else {
        ("text/plain", status.code_and_reason().as_bytes())
    };
    let (line, length) = (status.code_and_reason(), text.len());
    // Writing to a vector cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {line}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n"
    );
    if let Some(seconds) = retry_after_s {
        let _ = write!(out, "Retry-After: {}\r\n", seconds.max(1));
    }
    out.extend_from_slice(b"Connection: close\r\n\r\n");
    out.extend_from_slice(text);
}

/// The head of a response, as far as it was parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Head {
    Incomplete,
    Complete {
        body_start: usize,
        status: u16,
        /// Length of the whole response, if the head states it.
        total_length: Option<usize>,
        is_chunked: bool,
    },
}

/// Reads a worker's response.
#[derive(Debug)]
pub struct ResponseReader {
    bytes: Vec<u8>,
    head: Head,
    max_length: usize,
    /// The request's method is HEAD: the response has no body.
    is_bodiless: bool,
}

impl ResponseReader {
    /// A reader for the response to a request with this method. A response of more than
    /// `max_length` bytes is an error.
    pub fn new(method: Option<&[u8]>, max_length: usize) -> ResponseReader {
        ResponseReader {
            bytes: Vec::new(),
            head: Head::Incomplete,
            max_length,
            is_bodiless: method == Some(b"HEAD"),
        }
    }

    /// Appends bytes that were read. Returns true once the response has the length that its head
    /// states.
    ///
    /// # Errors
    ///
    /// Fails if the response is not HTTP or is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<bool, Malformed> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > self.max_length {
            return Err(Malformed);
        }
        if self.head == Head::Incomplete {
            self.parse_head()?;
        }
        let Head::Complete {
            total_length: Some(length),
            ..
        } = self.head
        else {
            return Ok(false);
        };
        self.bytes.truncate(length);
        Ok(self.bytes.len() == length)
    }

    fn parse_head(&mut self) -> Result<(), Malformed> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let body_start = match response.parse(&self.bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.bytes.len() <= MAX_HEAD => return Ok(()),
            _ => return Err(Malformed),
        };
        let status = response.code.ok_or(Malformed)?;
        let field = |name: &str| {
            let mut headers = response.headers.iter();
            headers.find(|header| header.name.eq_ignore_ascii_case(name))
        };
        let is_chunked = field("Transfer-Encoding").is_some();
        let body_length = match field("Content-Length") {
            _ if self.is_bodiless || status == 204 || status == 304 => Some(0),
            _ if is_chunked => None,
            Some(header) => {
                let text = std::str::from_utf8(header.value).map_err(|_| Malformed)?;
                Some(parse_decimal(text.trim()).ok_or(Malformed)? as usize)
            }
            None => None,
        };
        if body_length.is_some_and(|length| length > self.max_length) {
            return Err(Malformed);
        }
        self.head = Head::Complete {
            body_start,
            status,
            total_length: body_length.map(|length| body_start + length),
            is_chunked,
        };
        Ok(())
    }

    /// Ends the response at the end of the connection. Returns it if it is complete.
    pub fn finish(self) -> Option<Vec<u8>> {
        match self.head {
            Head::Incomplete => None,
            Head::Complete {
                total_length: Some(length),
                ..
            } => (self.bytes.len() == length).then_some(self.bytes),
            Head::Complete { .. } => Some(self.bytes),
        }
    }

    /// The body of a complete and successful response, for a client that does not use HTTP. A
    /// chunked body is not decoded.
    pub fn successful_body(response: &[u8]) -> Option<&[u8]> {
        let mut reader = ResponseReader::new(None, usize::MAX);
        reader.feed(response).ok()?;
        match reader.head {
            Head::Complete {
                body_start,
                status: 200..=299,
                is_chunked: false,
                ..
            } => response.get(body_start..),
            _ => None,
        }
    }
}
