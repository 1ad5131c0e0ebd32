//! What happens to a server: requests read, runs and calls that ended, timers.

use super::{Micros, RequestId};
use serde::{Deserialize, Serialize};

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It succeeded.
    #[serde(rename = "Done")]
    Success,
    /// It failed and may have taken effect.
    Error,
    /// A call was turned away unseen: it never ran.
    #[serde(rename = "Busy")]
    Rejected,
    /// A call was abandoned and may have taken effect.
    TimedOut,
    /// A call found nobody there: it never ran.
    Unreachable,
    /// A call was interrupted and may have taken effect.
    Reset,
    /// A run was halted, or ended at a call because its answer was given.
    Cancelled,
    /// Nothing was started: the request had concluded.
    #[serde(rename = "Moot")]
    NotStarted,
}

/// A request that has been read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, if any.
    pub tenant: Option<usize>,
    /// Whether it names a subject.
    pub has_key: bool,
    /// How long its caller still waits, if told.
    #[serde(rename = "patience")]
    pub timeout: Option<Micros>,
    /// Expected work, if told.
    pub cost: Option<f64>,
    /// Memory while held.
    pub memory_kb: f64,
    /// Rank from 0 to under 1, the more worthy the higher.
    #[serde(rename = "rank")]
    pub priority: f64,
    /// A further try or a second copy.
    #[serde(rename = "retry")]
    pub is_retry: bool,
    /// A write.
    #[serde(rename = "write")]
    pub is_write: bool,
    /// Time since it arrived at the machine.
    #[serde(rename = "queued")]
    pub queue_time: Micros,
    /// The kept request that this one repeats.
    #[serde(rename = "same_as")]
    pub duplicate_of: Option<RequestId>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request was read and is now held.
    Arrived(Request),
    /// The server is to leave; its process stops after this time.
    #[serde(rename = "Leaving")]
    ShutdownNotice(Micros),
    /// A run or a reuse ended.
    Finished {
        /// The request.
        id: RequestId,
        /// Time since it was started, waits included.
        #[serde(rename = "took")]
        elapsed: Micros,
        /// How it ended.
        outcome: Outcome,
    },
    /// Nobody awaits this request any longer.
    #[serde(rename = "Gone")]
    Abandoned(RequestId),
    /// A running request cannot go on without a call.
    NeedsCall(RequestId),
    /// A call ended.
    CallEnded {
        /// The request.
        id: RequestId,
        /// Time since the call was placed.
        #[serde(rename = "took")]
        elapsed: Micros,
        /// How it ended.
        outcome: Outcome,
    },
    /// A timer expired.
    Timer {
        /// The tag it was set with.
        tag: u64,
        /// Busy share of the cores, lately.
        #[serde(rename = "core_use")]
        cpu_utilization: Option<f64>,
        /// All that needs a core now, reading included.
        #[serde(rename = "on_cores")]
        runnable: Option<f64>,
        /// Share of memory in use.
        #[serde(rename = "memory_use")]
        memory_utilization: Option<f64>,
        /// Open connections.
        connections: Option<f64>,
    },
}

impl Event {
    /// The request that it is about, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::Arrived(request) => Some(request.id),
            Event::Finished { id, .. } | Event::CallEnded { id, .. } => Some(*id),
            Event::Abandoned(id) | Event::NeedsCall(id) => Some(*id),
            Event::ShutdownNotice(_) | Event::Timer { .. } => None,
        }
    }
}
