//! Requests and results that drivers pass to the core, and the effects that they carry out for it.

use super::*;
use crate::memory_limits::REQUEST_BYTES;

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
    pub(super) fn bytes(&self) -> usize {
        REQUEST_BYTES + self.body.len()
    }

    /// The record that identifies the request in a capture.
    pub(super) fn name(&self, id: RequestId) -> Name {
        let key = self.idempotency_key.as_deref().map(digest);
        Name {
            id,
            reference: self.reference,
            sender: self.sender,
            key,
        }
    }
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result, unchanged.
    Served(Rc<[u8]>),
    /// This attempt never ran.
    Rejected {
        /// How long the caller should wait before it retries here, in microseconds; 0 for no
        /// advice.
        retry_after: Micros,
        /// The caller should not retry at another node.
        no_retry: bool,
    },
    /// The attempt may have run.
    Failed {
        /// The deadline passed before an outcome was known.
        timed_out: bool,
    },
    /// A run of this key began before a restart, and its outcome is not known.
    Unknown {
        /// When a retry of the key may run, in microseconds from now.
        retry_after: Micros,
    },
}

impl Answer {
    /// The answer as a capture records it.
    pub(super) fn told(&self) -> Told {
        match self {
            Answer::Served(result) => Told::Served(result.len() as u32),
            Answer::Rejected {
                retry_after,
                no_retry,
            } => Told::Refused {
                cooldown: *retry_after,
                nowhere: *no_retry,
            },
            Answer::Failed { timed_out } => Told::Failed {
                expired: *timed_out,
            },
            Answer::Unknown { .. } => Told::Failed { expired: false },
        }
    }
}

/// Something that a driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an answer.
    Answer {
        /// Where the answer goes.
        origin: Origin,
        /// The answer.
        answer: Answer,
    },
    /// Start the run of a request.
    StartRun {
        /// The request.
        reference: Reference,
        /// Its class, by index.
        class: usize,
        /// The result is of no use after this time.
        result_deadline: Micros,
        /// The body, as it was received.
        body: Rc<[u8]>,
    },
    /// Pass the reply of a call on to the run that waits for it.
    SendReply {
        /// The request.
        reference: Reference,
        /// The reply.
        body: Rc<[u8]>,
    },
    /// Stop a run whose request is answered or abandoned.
    StopRun {
        /// The request.
        reference: Reference,
        /// Its class, by index.
        class: usize,
    },
    /// Place a call to the layer below.
    PlaceCall {
        /// The request whose run waits for the call.
        reference: Reference,
        /// The call times out at this time.
        deadline: Micros,
        /// The body of the call.
        body: Rc<[u8]>,
    },
    /// Cancel a call.
    CancelCall {
        /// The request whose run waits for the call.
        reference: Reference,
    },
    /// Query the processor's gauges.
    QueryGauges,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It returned a result.
    Completed,
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call since its request was over.
    Aborted,
    /// It was never started.
    NotStarted,
}

/// The kind of a command that the processor rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedCommand {
    /// The start of a run.
    Start,
    /// The stop of a run.
    Stop,
    /// The reply of a call, or a command that this node did not send.
    Other,
}

/// The processor's gauges, as far as it reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy share of the cores, from 0 to 1.
    pub core_use: Option<f64>,
    /// Number of runs that use or wait for a core.
    pub on_cores: Option<f64>,
    /// Share of memory in use, from 0 to 1.
    pub memory_use: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}
