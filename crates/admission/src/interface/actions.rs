//! Actions: what the controller instructs its host to do.

use super::{Micros, RequestId};
use serde::{Deserialize, Serialize};

/// An instruction to the host. The host carries out the actions of a step immediately and in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a queued request.
    Run(RequestId),
    /// Answer a duplicate from the outcome of the request that it duplicates.
    #[serde(rename = "Reuse")]
    ReuseOutcome(RequestId),
    /// Reject a request that never ran, or an idempotent one that is still running.
    #[serde(rename = "Refuse")]
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should wait before its next request; 0 for no advice.
        #[serde(rename = "backoff")]
        retry_after: Micros,
        /// Whether the caller should not retry elsewhere.
        no_retry: bool,
    },
    /// Answer a request with an error. The request may have taken effect.
    Fail(RequestId),
    /// Retain the key of a request for this time, so that duplicates are recognized.
    #[serde(rename = "Keep")]
    RetainKey(RequestId, Micros),
    /// Release the retained key of a request.
    #[serde(rename = "Forget")]
    ReleaseKey(RequestId),
    /// Place the downstream call of a request, with this timeout.
    #[serde(rename = "Call")]
    PlaceCall(RequestId, Micros),
    /// Continue a request without its downstream call.
    SkipCall(RequestId),
    /// Cancel a running request.
    #[serde(rename = "Halt")]
    Cancel(RequestId),
    /// Advertise this backpressure level to callers with every answer. [`BackpressureKind`]
    /// determines the meaning of the level.
    ///
    /// [`BackpressureKind`]: super::BackpressureKind
    #[serde(rename = "Level")]
    Backpressure(f64),
    /// Answer health checks with this result, without consulting the controller.
    Health(bool),
    /// Close connections that have been idle for this time.
    CloseIdle(Micros),
    /// Deliver a timer event with this tag after this time.
    Timer(Micros, u64),
}

impl Action {
    /// The request that the action concerns, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Action::Run(id)
            | Action::ReuseOutcome(id)
            | Action::Reject { id, .. }
            | Action::Fail(id)
            | Action::RetainKey(id, _)
            | Action::ReleaseKey(id)
            | Action::PlaceCall(id, _)
            | Action::SkipCall(id)
            | Action::Cancel(id) => Some(*id),
            Action::Backpressure(_)
            | Action::Health(_)
            | Action::CloseIdle(_)
            | Action::Timer(..) => None,
        }
    }
}
