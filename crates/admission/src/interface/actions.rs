//! What is to be done about it.

use super::{Micros, RequestId};
use serde::{Deserialize, Serialize};

/// Something to be done, at once and in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a held request.
    Run(RequestId),
    /// Answer a held request from the outcome of the one it repeats.
    #[serde(rename = "Reuse")]
    ReuseOutcome(RequestId),
    /// Turn a request away; it was never run.
    #[serde(rename = "Refuse")]
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should stay away; 0 for no advice.
        #[serde(rename = "backoff")]
        retry_after: Micros,
        /// The caller should not try elsewhere.
        no_retry: bool,
    },
    /// Answer with an error, without assurance.
    Fail(RequestId),
    /// Remember a request, so that repeats are recognised.
    #[serde(rename = "Keep")]
    RetainKey(RequestId, Micros),
    /// Drop the entry of a request.
    #[serde(rename = "Forget")]
    ReleaseKey(RequestId),
    /// Place the call that a request waits for, abandoned after this time.
    #[serde(rename = "Call")]
    PlaceCall(RequestId, Micros),
    /// Go on without the call.
    SkipCall(RequestId),
    /// Halt a running request.
    #[serde(rename = "Halt")]
    Cancel(RequestId),
    /// Tell callers this level with every answer.
    #[serde(rename = "Level")]
    Backpressure(f64),
    /// Answer health checks so, from store.
    Health(bool),
    /// Close connections that were idle for this long.
    CloseIdle(Micros),
    /// Wake after this time with this tag.
    Timer(Micros, u64),
}

impl Action {
    /// The request that it is about, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Action::Run(id)
            | Action::ReuseOutcome(id)
            | Action::Fail(id)
            | Action::RetainKey(id, _) => Some(*id),
            Action::ReleaseKey(id)
            | Action::PlaceCall(id, _)
            | Action::SkipCall(id)
            | Action::Cancel(id) => Some(*id),
            Action::Reject { id, .. } => Some(*id),
            Action::Backpressure(_)
            | Action::Health(_)
            | Action::CloseIdle(_)
            | Action::Timer(..) => None,
        }
    }
}
