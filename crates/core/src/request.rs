//! Requests as drivers pass them to the core.

use crate::memory_limits::REQUEST_BYTES;
use pipitlever_admission::{Micros, RequestId};
use pipitlever_capture::record::{digest, RequestIdentity};
use std::rc::Rc;

/// Identifies one attempt of a request to the outside: its `ref` on the wire, new with every
/// attempt.
pub type Reference = u64;

/// Where the answer of a request goes. The core passes it through unchanged.
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
    /// Identifies this attempt, new with every attempt.
    pub reference: Reference,
    /// The gateway that sent it, where the protocol says.
    pub sender: Option<u64>,
    /// Its tenant, by index in the settings, where the protocol names a known one.
    pub tenant: Option<usize>,
    /// Where its answer goes.
    pub origin: Origin,
    /// Its class, by index in the class table.
    pub class: usize,
    /// When it reached the machine.
    pub arrived_at: Micros,
    /// When its caller stops waiting; the class's deadline after the arrival if unset.
    pub deadline: Option<Micros>,
    /// The expected work, in microseconds on one core.
    pub cost: Option<f64>,
    /// The memory reserved while it is queued, in kilobytes.
    pub memory_kb: f64,
    /// Its priority, from 0 to under 1; higher is more important.
    pub priority: f64,
    /// Whether it is marked as a retry or a hedged copy.
    pub is_retry: bool,
    /// The same for all attempts of one request, in keyed classes.
    pub idempotency_key: Option<Rc<str>>,
    /// The body, as it was received.
    pub body: Rc<[u8]>,
    /// Digest of class and body: the same for all attempts of one request, on every listener.
    pub payload_digest: u64,
}

impl IncomingRequest {
    /// The memory that the request takes in all tables, in bytes.
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
