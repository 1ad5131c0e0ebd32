//! The platform's front end: JSON-RPC 2.0, one message per line, no batches.

mod params;
mod reader;
mod writer;

pub use reader::GatewayReader;
pub use writer::{write_error, write_goaway, write_health, write_rejection, write_result};

use std::rc::Rc;

/// Longest line, in bytes: a body of 2 KiB in base64 and its fields take under half of it.
pub const MAX_LINE: usize = 8192;
/// Longest body of a request, in bytes.
pub const MAX_BODY: usize = 2048;
/// Longest result, in bytes.
pub const MAX_RESULT: usize = 4096;
/// Most requests that may be open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;

/// The protocol's errors. All but [`ErrorCode::Rejected`] mean that the request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorCode {
    /// The line is not JSON.
    #[error("parse error")]
    Parse,
    /// The JSON is not a request.
    #[error("invalid request")]
    InvalidRequest,
    /// No class has the method's name.
    #[error("method not found")]
    MethodNotFound,
    /// The parameters are invalid.
    #[error("invalid params")]
    InvalidParams,
    /// This attempt never ran.
    #[error("refused")]
    Rejected,
    /// The request failed.
    #[error("failed")]
    Failed,
    /// The request's deadline passed.
    #[error("out of time")]
    DeadlineExceeded,
    /// The caller cancelled the request.
    #[error("request cancelled")]
    Cancelled,
}

impl ErrorCode {
    /// The number on the wire.
    fn number(self) -> i64 {
        match self {
            ErrorCode::Parse => -32700,
            ErrorCode::InvalidRequest => -32600,
            ErrorCode::MethodNotFound => -32601,
            ErrorCode::InvalidParams => -32602,
            ErrorCode::Rejected => -32000,
            ErrorCode::Failed => -32001,
            ErrorCode::DeadlineExceeded => -32002,
            ErrorCode::Cancelled => -32800,
        }
    }
}

/// A request for work, with the names on the wire in parentheses.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    /// Its number on the connection (`id`).
    pub id: u64,
    /// The index of its class (`method`).
    pub class: usize,
    /// Its reference, new with each attempt (`ref`).
    pub reference: u64,
    /// The number of the gateway that sent it, if given (`sender`).
    pub gateway: Option<u64>,
    /// The index of its tenant (`project`); none if the settings do not contain the tenant.
    pub tenant: Option<usize>,
    /// When it arrived at the machine, in Unix milliseconds (`since`).
    pub arrived_at_ms: f64,
    /// How long its caller waits from then on, in milliseconds (`allow`).
    pub timeout_ms: Option<f64>,
    /// Whether it is a retry or a hedged request (`dup`).
    pub is_retry: bool,
    /// The expected work, in milliseconds (`effort`).
    pub expected_work_ms: Option<f64>,
    /// Memory that it uses while queued, in KB (`room`).
    pub memory_kb: f64,
    /// Its priority, from 0 to under 1 (`class_rank`).
    pub priority: f64,
    /// Its idempotency key, in keyed classes (`replay`).
    pub idempotency_key: Option<Rc<str>>,
    /// Its body (`doc`).
    pub body: Rc<[u8]>,
}

/// A message from a gateway.
// A box for the large variant would cost one allocation per request.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request for work.
    Work(WorkRequest),
    /// A health check.
    HealthCheck {
        /// Its number on the connection.
        id: u64,
        /// Whether the check covers the progress of work too (`inner`).
        checks_progress: bool,
    },
    /// Cancels the request of this number.
    Cancel(u64),
    /// An invalid message, with its number if that could be read; to be answered with the error.
    Invalid(Option<u64>, ErrorCode),
}
