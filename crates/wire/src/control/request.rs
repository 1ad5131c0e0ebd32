//! Requests to the control endpoint.

use super::{MAX_FIELDS, MAX_HEAD, MAX_IGNORED_BODY, MAX_PUBLISHED_VERSION};
use crate::parse_decimal;

/// An operation of the control endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// `GET /status`: whether this process accepts clients.
    Status,
    /// `GET /status/metrics`: the metrics.
    Metrics,
    /// `GET /fleet`: this node's view of the fleet.
    Fleet,
    /// `POST /standby`: health checks fail from now on.
    Standby,
    /// `POST /active`: health checks succeed again.
    Active,
    /// `POST /fleet/publish`: publishes the config version in the body, as JSON.
    Publish,
    /// `POST /fleet/close/N`: retires all config versions below N.
    RetireBelow(u64),
    /// `POST /fleet/accept-floor/N`: sets this node's minimum config version to N.
    AcceptMinimum(u64),
}

impl Operation {
    /// The operation of a path, and the methods that it allows.
    fn from_path(path: &str) -> Option<(Operation, &'static str)> {
        let number_after = |prefix: &str| path.strip_prefix(prefix).and_then(parse_decimal);
        let read_only = "GET, HEAD";
        let operation = match path {
            "/status" => (Operation::Status, read_only),
            "/status/metrics" => (Operation::Metrics, read_only),
            "/fleet" => (Operation::Fleet, read_only),
            "/standby" => (Operation::Standby, "POST"),
            "/active" => (Operation::Active, "POST"),
            "/fleet/publish" => (Operation::Publish, "POST"),
            _ => {
                let retire = number_after("/fleet/close/").map(Operation::RetireBelow);
                let accept = number_after("/fleet/accept-floor/").map(Operation::AcceptMinimum);
                (retire.or(accept)?, "POST")
            }
        };
        Some(operation)
    }
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request cannot be parsed.
    #[error("400 Bad Request")]
    BadRequest,
    /// There is no such path.
    #[error("404 Not Found")]
    NotFound,
    /// The path allows only these methods.
    #[error("405 Method Not Allowed")]
    MethodNotAllowed(&'static str),
    /// The request was not complete in time.
    #[error("408 Request Timeout")]
    Timeout,
    /// The body is too long.
    #[error("413 Content Too Large")]
    BodyTooLong,
    /// The head is too long.
    #[error("431 Request Header Fields Too Large")]
    HeadTooLong,
    /// The body has a transfer coding, which is not supported.
    #[error("501 Not Implemented")]
    TransferCoding,
    /// The version of HTTP is not supported.
    #[error("505 HTTP Version Not Supported")]
    Version,
}

/// A complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlRequest {
    /// The requested operation.
    pub operation: Operation,
    /// The response is to have no body (`HEAD`).
    pub is_head_only: bool,
}

/// The head of a request, parsed.
#[derive(Clone, Copy, Debug)]
struct Head {
    request: ControlRequest,
    /// Where the body begins.
    body_start: usize,
    /// How many bytes of the body to wait for.
    body_length: usize,
}

/// Reads the one request of a connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    bytes: Vec<u8>,
    /// The request, and how many bytes of its body are still missing.
    request: Option<(ControlRequest, usize)>,
    /// The body, for an operation that uses it.
    body: Vec<u8>,
    is_finished: bool,
}

impl RequestReader {
    /// Appends bytes that were read. Returns the request or its error once, as soon as it is known;
    /// later bytes are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<ControlRequest, RequestError>> {
        if self.is_finished {
            return None;
        }
        let result = match self.request {
            Some((request, missing)) => {
                if request.operation == Operation::Publish {
                    let length = bytes.len().min(missing);
                    self.body.extend_from_slice(&bytes[..length]);
                }
                let missing = missing.saturating_sub(bytes.len());
                self.request = Some((request, missing));
                (missing == 0).then_some(Ok(request))
            }
            None => self.feed_head(bytes),
        };
        self.is_finished = result.is_some();
        result
    }

    /// The body, if the request's operation uses one.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    fn feed_head(&mut self, bytes: &[u8]) -> Option<Result<ControlRequest, RequestError>> {
        self.bytes.extend_from_slice(bytes);
        let is_too_long = self.bytes.len() > MAX_HEAD;
        // A head ends with a line. Parsing at every byte would take quadratic time for a head that
        // arrives byte by byte.
        if !bytes.contains(&b'\n') && !is_too_long {
            return None;
        }
        match parse_head(&self.bytes[..self.bytes.len().min(MAX_HEAD)]) {
            Ok(Some(head)) => self.begin_body(head),
            Ok(None) if is_too_long => Some(Err(RequestError::HeadTooLong)),
            Ok(None) => None,
            Err(error) => Some(Err(error)),
        }
    }

    fn begin_body(&mut self, head: Head) -> Option<Result<ControlRequest, RequestError>> {
        let end = head.body_start + head.body_length;
        let missing = end.saturating_sub(self.bytes.len());
        if head.request.operation == Operation::Publish {
            self.body = self.bytes[head.body_start..self.bytes.len().min(end)].to_vec();
        }
        self.bytes = Vec::new();
        self.request = Some((head.request, missing));
        (missing == 0).then_some(Ok(head.request))
    }
}

/// Parses the head of a request; none if it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let body_start = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(httparse::Error::Version) => return Err(RequestError::Version),
        Err(_) => return Err(RequestError::BadRequest),
    };
    let method = request.method.unwrap_or_default();
    let length = content_length(request.headers)?;
    let has_coding = values(request.headers, "transfer-encoding")
        .next()
        .is_some();
    if has_coding && length.is_some() {
        return Err(RequestError::BadRequest);
    }
    let path = target_path(request.path.unwrap_or_default());
    let (operation, allowed) = Operation::from_path(path).ok_or(RequestError::NotFound)?;
    if !allowed.split(", ").any(|m| m == method) {
        return Err(RequestError::MethodNotAllowed(allowed));
    }
    if has_coding {
        return Err(RequestError::TransferCoding);
    }
    let uses_body = operation == Operation::Publish;
    let max_length = if uses_body {
        MAX_PUBLISHED_VERSION
    } else {
        MAX_IGNORED_BODY
    };
    if length.is_some_and(|length| length > max_length) {
        return Err(RequestError::BodyTooLong);
    }
    // A client that expects `100 Continue` gets its response at once if its body would be ignored.
    let expects_continue = values(request.headers, "expect").next().is_some();
    let body_length = if expects_continue && !uses_body {
        0
    } else {
        length.unwrap_or(0)
    };
    Ok(Some(Head {
        request: ControlRequest {
            operation,
            is_head_only: method == "HEAD",
        },
        body_start,
        body_length,
    }))
}

/// The values of all header fields of a name.
fn values<'a>(
    headers: &'a [httparse::Header<'a>],
    name: &'static str,
) -> impl Iterator<Item = &'a [u8]> {
    let fields = headers
        .iter()
        .filter(move |field| field.name.eq_ignore_ascii_case(name));
    fields.map(|field| field.value.trim_ascii())
}

/// The length of the body, if the head states it. Several fields with different values are an
/// error, as they allow request smuggling.
fn content_length(headers: &[httparse::Header]) -> Result<Option<usize>, RequestError> {
    let mut length = None;
    for value in values(headers, "content-length") {
        if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
            return Err(RequestError::BadRequest);
        }
        let text = std::str::from_utf8(value).map_err(|_| RequestError::BadRequest)?;
        let value = text
            .parse::<usize>()
            .map_err(|_| RequestError::BodyTooLong)?;
        if length
            .replace(value)
            .is_some_and(|previous| previous != value)
        {
            return Err(RequestError::BadRequest);
        }
    }
    Ok(length)
}

/// The path of a target in absolute or origin form, without a query.
fn target_path(target: &str) -> &str {
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |start| &rest[start..]),
        None => target,
    };
    path.split(['?', '#']).next().unwrap_or_default()
}
