//! Effects that drivers carry out for the core, and the results that they report.

use crate::request::{Origin, Reference};
use pipitlever_admission::Micros;
use pipitlever_capture::record::RecordedAnswer;
use std::rc::Rc;

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result, unchanged.
    Served(Rc<[u8]>),
    /// The attempt did not run.
    Rejected {
        /// How long the caller should wait before a retry at this node, in microseconds; 0 if no
        /// delay is advised.
        retry_after: Micros,
        /// The caller should not retry at another node.
        no_retry: bool,
    },
    /// The attempt may have run.
    Failed {
        /// The deadline passed before an outcome was known.
        timed_out: bool,
    },
    /// A run of this key started before a restart, and its outcome is not known.
    Unknown {
        /// The time until a retry of the key may run, in microseconds.
        retry_after: Micros,
    },
}

impl Answer {
    /// A rejection that allows a retry at another node.
    pub(crate) fn rejected(retry_after: Micros) -> Answer {
        Answer::Rejected {
            retry_after,
            no_retry: false,
        }
    }

    /// The answer as a capture records it.
    pub(crate) fn captured(&self) -> RecordedAnswer {
        match self {
            Answer::Served(result) => RecordedAnswer::Served(result.len() as u32),
            Answer::Rejected {
                retry_after,
                no_retry,
            } => RecordedAnswer::Rejected {
                retry_after: *retry_after,
                no_retry: *no_retry,
            },
            Answer::Failed { timed_out } => RecordedAnswer::Failed {
                timed_out: *timed_out,
            },
            Answer::Unknown { .. } => RecordedAnswer::Failed { timed_out: false },
        }
    }
}

/// An operation that the core requests from a driver.
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
        /// No caller uses the result after this time.
        result_deadline: Micros,
        /// The body, as it was received.
        body: Rc<[u8]>,
    },
    /// Forward the reply of a call to the run that waits for it.
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
    /// Place a call to the downstream layer.
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
    /// The run returned a result.
    Completed,
    /// The run failed.
    Failed,
    /// The run was stopped, or ended at a call because its request was already answered or
    /// abandoned.
    Aborted,
    /// The run was never started.
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
