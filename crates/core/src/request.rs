//! Requests as drivers pass them to the core.

use crate::memory_limits::REQUEST_BYTES;
use pipitlever_admission::{Micros, RequestId};
use pipitlever_capture::record::{digest, RequestIdentity};
use std::rc::Rc;

/// The external identifier of one attempt of a request: `ref` on the wire, unique per attempt.
pub type Reference = u64;

/// The destination of a request's answer. The core passes it through unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The connection that the request was read from.
    pub connection: u64,
    /// The request's number on that connection.
    pub request_number: u64,
}

/// A request as a listener decoded it.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Identifies this attempt.
    pub reference: Reference,
    /// The gateway that sent the request, if the protocol names it.
    pub sender: Option<u64>,
    /// The tenant, by index in the settings, if the protocol names a known one.
    pub tenant: Option<usize>,
    /// The destination of the answer.
    pub origin: Origin,
    /// The class, by index in the class table.
    pub class: usize,
    /// When the request reached the machine.
    pub arrived_at: Micros,
    /// When the caller stops waiting; if unset, the class's deadline counted from the arrival.
    pub deadline: Option<Micros>,
    /// The expected work, in microseconds on one core.
    pub cost: Option<f64>,
    /// The memory reserved while the request is queued, in kilobytes.
    pub memory_kb: f64,
    /// Its priority, from 0 to under 1; higher is more important.
    pub priority: f64,
    /// Whether the request is marked as a retry or a hedged copy.
    pub is_retry: bool,
    /// The idempotency key, equal in all attempts of one request; set in keyed classes only.
    pub idempotency_key: Option<Rc<str>>,
    /// The body as received.
    pub body: Rc<[u8]>,
    /// Digest of class and body, equal in all attempts of one request on every listener.
    pub payload_digest: u64,
}

impl IncomingRequest {
    /// Memory of the request over all tables, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        REQUEST_BYTES + self.body.len()
    }

    /// The record that identifies the request in a capture.
    pub(crate) fn capture_identity(&self, id: RequestId) -> RequestIdentity {
        let key_digest = self.idempotency_key.as_deref().map(digest);
        RequestIdentity {
            id,
            reference: self.reference,
            sender: self.sender,
            key_digest,
        }
    }
}
