//! Events: requests read, runs and downstream calls ended, timers expired.

use super::{Micros, RequestId};
use serde::{Deserialize, Serialize};

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run or the call succeeded.
    #[serde(rename = "Done")]
    Success,
    /// The run or the call failed and may have taken effect.
    Error,
    /// The downstream server rejected the call, which therefore never ran.
    #[serde(rename = "Busy")]
    Rejected,
    /// The call timed out and may have taken effect.
    TimedOut,
    /// No connection could be established for the call, which therefore never ran.
    Unreachable,
    /// The connection broke during the call, which may have taken effect.
    Reset,
    /// The run was cancelled, or ended during its call because the request was already answered.
    Cancelled,
    /// The run that the controller decided on was never started.
    #[serde(rename = "Moot")]
    NotStarted,
}

/// A request that the host has read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The number of the request.
    pub id: RequestId,
    /// The index of the class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The index of the tenant in [`Settings::tenants`](super::Settings::tenants), if any.
    pub tenant: Option<usize>,
    /// Whether the request names the object that it reads or writes, so that reads of the same
    /// object can share an answer. Independent of the idempotency key.
    pub has_key: bool,
    /// The time until the caller stops waiting for the answer, if known.
    #[serde(rename = "patience")]
    pub timeout: Option<Micros>,
    /// The expected amount of work in the units of its class, if known.
    pub cost: Option<f64>,
    /// The memory that the request occupies while queued, in kilobytes.
    pub memory_kb: f64,
    /// The priority from 0 to below 1; a higher one is admitted first.
    #[serde(rename = "rank")]
    pub priority: f64,
    /// Whether the request is marked as a retry or a hedged copy.
    #[serde(rename = "retry")]
    pub is_retry: bool,
    /// Whether the request is a write.
    #[serde(rename = "write")]
    pub is_write: bool,
    /// The time between the arrival of the request at the machine and its reading.
    #[serde(rename = "queued")]
    pub queue_time: Micros,
    /// The request with a retained key that this one duplicates.
    #[serde(rename = "same_as")]
    pub duplicate_of: Option<RequestId>,
}

/// An event at the server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request was read and is now queued.
    Arrived(Request),
    /// The server shuts down; its process stops after this time.
    #[serde(rename = "Leaving")]
    ShutdownNotice(Micros),
    /// A run or the reuse of an outcome ended.
    Finished {
        /// The request.
        id: RequestId,
        /// The time since its start, including all waits.
        #[serde(rename = "took")]
        elapsed: Micros,
        /// How the run or the reuse ended.
        outcome: Outcome,
    },
    /// The caller of a request no longer waits for the answer.
    #[serde(rename = "Gone")]
    Abandoned(RequestId),
    /// A running request needs a downstream call in order to continue.
    NeedsCall(RequestId),
    /// A downstream call ended.
    CallEnded {
        /// The request.
        id: RequestId,
        /// The time since the call was placed.
        #[serde(rename = "took")]
        elapsed: Micros,
        /// How the call ended.
        outcome: Outcome,
    },
    /// A timer expired.
    Timer {
        /// The tag that the timer was set with.
        tag: u64,
        /// The recent utilization of the cores, from 0 to 1.
        #[serde(rename = "core_use")]
        cpu_utilization: Option<f64>,
        /// The number of tasks that use or wait for a core: runs, and requests being read.
        #[serde(rename = "on_cores")]
        runnable: Option<f64>,
        /// The share of memory in use, from 0 to 1.
        #[serde(rename = "memory_use")]
        memory_utilization: Option<f64>,
        /// The number of open connections.
        connections: Option<f64>,
    },
}

impl Event {
    /// The request that the event concerns, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::Arrived(request) => Some(request.id),
            Event::Finished { id, .. }
            | Event::CallEnded { id, .. }
            | Event::Abandoned(id)
            | Event::NeedsCall(id) => Some(*id),
            Event::ShutdownNotice(_) | Event::Timer { .. } => None,
        }
    }
}
