//! What happens to a server: requests read, runs and calls that ended, timers.

use super::{Micros, RequestId};
use serde::{Deserialize, Serialize};

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It succeeded.
    Done,
    /// It failed and may have taken effect.
    Error,
    /// A call was turned away unseen: it never ran.
    Busy,
    /// A call was abandoned and may have taken effect.
    TimedOut,
    /// A call found nobody there: it never ran.
    Unreachable,
    /// A call was interrupted and may have taken effect.
    Reset,
    /// A run was halted, or ended at a call because its answer was given.
    Cancelled,
    /// Nothing was started: the request had concluded.
    Moot,
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
    pub patience: Option<Micros>,
    /// Expected work, if told.
    pub cost: Option<f64>,
    /// Memory while held.
    pub memory_kb: f64,
    /// Rank from 0 to under 1, the more worthy the higher.
    pub rank: f64,
    /// A further try or a second copy.
    pub retry: bool,
    /// A write.
    pub write: bool,
    /// Time since it arrived at the machine.
    pub queued: Micros,
    /// The kept request that this one repeats.
    pub same_as: Option<RequestId>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request was read and is now held.
    Arrived(Request),
    /// The server is to leave; its process stops after this time.
    Leaving(Micros),
    /// A run or a reuse ended.
    Finished {
        /// The request.
        id: RequestId,
        /// Time since it was started, waits included.
        took: Micros,
        /// How it ended.
        outcome: Outcome,
    },
    /// Nobody awaits this request any longer.
    Gone(RequestId),
    /// A running request cannot go on without a call.
    NeedsCall(RequestId),
    /// A call ended.
    CallEnded {
        /// The request.
        id: RequestId,
        /// Time since the call was placed.
        took: Micros,
        /// How it ended.
        outcome: Outcome,
    },
    /// A timer expired.
    Timer {
        /// The tag it was set with.
        tag: u64,
        /// Busy share of the cores, lately.
        core_use: Option<f64>,
        /// All that needs a core now, reading included.
        on_cores: Option<f64>,
        /// Share of memory in use.
        memory_use: Option<f64>,
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
            Event::Gone(id) | Event::NeedsCall(id) => Some(*id),
            Event::Leaving(_) | Event::Timer { .. } => None,
        }
    }
}
