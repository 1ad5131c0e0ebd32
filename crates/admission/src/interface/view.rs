//! What can be read of a controller: its modes and lines, how a request stands, why one was turned
//! away.

use super::{Micros, Outcome};
use serde::{Deserialize, Serialize};

/// The mode of a line, after the paper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Takes all.
    Normal,
    /// Takes only what ranks high.
    Overload,
    /// Takes none.
    Discard,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Waiting to start: the count that the modes go by.
    #[serde(rename = "Held")]
    Queued,
    /// Waiting for the outcome of the request it repeats.
    #[serde(rename = "Reusing")]
    AwaitingOriginal,
    /// On the cores, or waiting for a disk.
    Running,
    /// Off the cores, waiting for its call to be placed.
    #[serde(rename = "Parked")]
    AwaitingCall,
    /// Off the cores, its call in the hands of the layer below.
    #[serde(rename = "Calling")]
    InCall,
}

/// Why a request was turned away or failed, with the figures that decided.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cause {
    /// It arrived too long after the notice to leave to be run.
    AfterGrace,
    /// The line that it would have joined takes none, or none of its worth.
    #[serde(rename = "Line")]
    Shed {
        /// The line of requests that need a call, rather than of those that wait to start.
        #[serde(rename = "calls")]
        is_call_queue: bool,
        /// The line's mode.
        mode: Mode,
        /// Its worth: its rank, less what a retry or a tenant over its share loses.
        #[serde(rename = "worth")]
        priority: f64,
        /// The least worth that is taken in overload.
        #[serde(rename = "cut")]
        cutoff: f64,
    },
    /// There was no memory for it or its key.
    #[serde(rename = "Memory")]
    OutOfMemory {
        /// In use, in KB.
        used: f64,
        /// Wanted, in KB.
        #[serde(rename = "more")]
        requested: f64,
    },
    /// It waited past its aim, and a later answer earns nothing.
    #[serde(rename = "PastAim")]
    ObjectiveMissed(Stage),
    /// Its due time came while it stood here.
    #[serde(rename = "Due")]
    DeadlineExceeded(Stage),
    /// It could not have ended in time any more.
    #[serde(rename = "TooLate")]
    CannotFinishInTime {
        /// The least time that such a request is expected to take.
        expected: Micros,
        /// The time that was left.
        #[serde(rename = "left")]
        remaining: Micros,
    },
    /// It needs more memory than there is with nothing else running.
    #[serde(rename = "NeverFits")]
    ExceedsMemory {
        /// What it needs, in KB.
        #[serde(rename = "more")]
        requested: f64,
    },
    /// The cores stand still: nothing that waits for them gets on.
    #[serde(rename = "Still")]
    Stalled,
    /// Its call ended so, and may have taken effect.
    #[serde(rename = "Call")]
    CallFailed(Outcome),
}

/// One of the two lines and what guards it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Its mode.
    pub mode: Mode,
    /// Its length, as the modes see it.
    #[serde(rename = "count")]
    pub length: f64,
    /// The thresholds in force: abatement, onset and discard.
    pub thresholds: [f64; 3],
    /// The least worth that is taken in overload.
    #[serde(rename = "cut")]
    pub priority_cutoff: f64,
    /// Arrivals a second.
    #[serde(rename = "arriving")]
    pub arrival_rate: f64,
}

/// What a controller goes by at the moment, to be read and shown.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The line to start, and the line for calls.
    #[serde(rename = "lines")]
    pub queues: [QueueStatus; 2],
    /// Requests that wait to start.
    #[serde(rename = "held")]
    pub queued: usize,
    /// Requests on the cores.
    pub running: usize,
    /// Requests at a call, placed or not.
    pub at_call: usize,
    /// How many may be on the cores.
    #[serde(rename = "run_limit")]
    pub concurrency_limit: f64,
    /// Needing a core beside the runs: what is being read.
    pub reading: f64,
    /// Calls in the hands of the layer below.
    #[serde(rename = "in_hand")]
    pub calls_in_flight: f64,
    /// How many may be.
    pub call_limit: f64,
    /// Memory in use, in KB.
    pub memory_kb: f64,
    /// Requests a second that can be finished well.
    #[serde(rename = "rate")]
    pub completion_rate: f64,
    /// The notice to leave has come.
    #[serde(rename = "leaving")]
    pub is_shutting_down: bool,
}

/// How one request stands with a controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Where it stands.
    pub stage: Stage,
    /// An answer by then earns full worth.
    #[serde(rename = "aim")]
    pub objective_at: Micros,
    /// Its answer is due then.
    #[serde(rename = "due")]
    pub deadline: Micros,
    /// Its worth, as the lines see it.
    #[serde(rename = "worth")]
    pub priority: f64,
}
