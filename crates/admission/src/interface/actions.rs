//! What is to be done about it.

use super::{Micros, RequestId};
use serde::{Deserialize, Serialize};

/// Something to be done, at once and in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a held request.
    Run(RequestId),
    /// Answer a held request from the outcome of the one it repeats.
    Reuse(RequestId),
    /// Turn a request away; it was never run.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the caller should stay away; 0 for no advice.
        backoff: Micros,
        /// The caller should not try elsewhere.
        no_retry: bool,
    },
    /// Answer with an error, without assurance.
    Fail(RequestId),
    /// Remember a request, so that repeats are recognised.
    Keep(RequestId, Micros),
    /// Drop the entry of a request.
    Forget(RequestId),
    /// Place the call that a request waits for, abandoned after this time.
    Call(RequestId, Micros),
    /// Go on without the call.
    SkipCall(RequestId),
    /// Halt a running request.
    Halt(RequestId),
    /// Tell callers this level with every answer.
    Level(f64),
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
            Action::Run(id) | Action::Reuse(id) | Action::Fail(id) | Action::Keep(id, _) => {
                Some(*id)
            }
            Action::Forget(id) | Action::Call(id, _) | Action::SkipCall(id) | Action::Halt(id) => {
                Some(*id)
            }
            Action::Refuse { id, .. } => Some(*id),
            Action::Level(_) | Action::Health(_) | Action::CloseIdle(_) | Action::Timer(..) => None,
        }
    }
}
