//! Status of a controller for display: modes and queues, the state of a request, and the causes of
//! rejections and failures.

use super::{Micros, Outcome};
use serde::{Deserialize, Serialize};

/// The mode of a hysteresis controller (Gaidamaka et al. 2014, section 2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// All requests are admitted.
    Normal,
    /// Only requests at or above the priority cutoff are admitted.
    Overload,
    /// No requests are admitted.
    Discard,
}

/// The stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Queued until its start; the modes follow the number of these requests.
    #[serde(rename = "Held")]
    Queued,
    /// Waits for the outcome of the request that it duplicates.
    #[serde(rename = "Reusing")]
    AwaitingOriginal,
    /// Runs on a core, or waits for a disk.
    Running,
    /// Off the cores, until its downstream call can be placed.
    #[serde(rename = "Parked")]
    AwaitingCall,
    /// Off the cores, with its downstream call in flight.
    #[serde(rename = "Calling")]
    InCall,
}

/// Why a request was rejected or failed, with the values that the decision was based on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cause {
    /// The request arrived too long after the shutdown notice to run.
    AfterGrace,
    /// The hysteresis controller of a queue shed the request, because of the mode or of the
    /// priority.
    #[serde(rename = "Line")]
    Shed {
        /// Whether the queue of requests that need a call shed it, rather than the start queue.
        #[serde(rename = "calls")]
        is_call_queue: bool,
        /// The mode of the queue.
        mode: Mode,
        /// The effective priority: that of the request, reduced for retries and for tenants over
        /// their quota.
        #[serde(rename = "worth")]
        priority: f64,
        /// The lowest priority admitted in overload.
        #[serde(rename = "cut")]
        cutoff: f64,
    },
    /// The memory budget had no capacity for the request or for its key.
    #[serde(rename = "Memory")]
    OutOfMemory {
        /// The memory in use, in kilobytes.
        used: f64,
        /// The memory requested, in kilobytes.
        #[serde(rename = "more")]
        requested: f64,
    },
    /// The latency objective passed in this stage, and a later answer has no weight.
    #[serde(rename = "PastAim")]
    ObjectiveMissed(Stage),
    /// The deadline passed in this stage.
    #[serde(rename = "Due")]
    DeadlineExceeded(Stage),
    /// The request could not have finished in time.
    #[serde(rename = "TooLate")]
    CannotFinishInTime {
        /// The least time that such a request is expected to take.
        expected: Micros,
        /// The time that remained.
        #[serde(rename = "left")]
        remaining: Micros,
    },
    /// The request needs more memory than is available while no other request runs.
    #[serde(rename = "NeverFits")]
    ExceedsMemory {
        /// The memory that the request needs, in kilobytes.
        #[serde(rename = "more")]
        requested: f64,
    },
    /// The cores are stalled.
    #[serde(rename = "Still")]
    Stalled,
    /// The downstream call ended with this outcome and may have taken effect.
    #[serde(rename = "Call")]
    CallFailed(Outcome),
}

/// The status of a queue and of its hysteresis controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The mode.
    pub mode: Mode,
    /// The queue length that determines the mode.
    #[serde(rename = "count")]
    pub length: f64,
    /// The thresholds in force: abatement (L), onset (H) and discard (R).
    pub thresholds: [f64; 3],
    /// The lowest priority admitted in overload.
    #[serde(rename = "cut")]
    pub priority_cutoff: f64,
    /// Arrivals per second.
    #[serde(rename = "arriving")]
    pub arrival_rate: f64,
}

/// The status of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The start queue and the call queue.
    #[serde(rename = "lines")]
    pub queues: [QueueStatus; 2],
    /// Requests that wait to start.
    #[serde(rename = "held")]
    pub queued: usize,
    /// Requests on the cores.
    pub running: usize,
    /// Requests that wait for a call, whether it was placed or not.
    #[serde(rename = "at_call")]
    pub waiting_for_call: usize,
    /// The limit on requests on the cores.
    #[serde(rename = "run_limit")]
    pub concurrency_limit: f64,
    /// The number of requests being read that need a core in addition to the runs.
    pub reading: f64,
    /// Calls that occupy the downstream layer.
    #[serde(rename = "in_hand")]
    pub calls_in_flight: f64,
    /// The limit on these calls.
    pub call_limit: f64,
    /// The memory in use, in kilobytes.
    pub memory_kb: f64,
    /// Requests per second that the server can finish successfully.
    #[serde(rename = "rate")]
    pub completion_rate: f64,
    /// Whether the shutdown notice was received.
    #[serde(rename = "leaving")]
    pub is_shutting_down: bool,
}

/// The status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The stage.
    pub stage: Stage,
    /// The time of its latency objective: an answer by then has full weight.
    #[serde(rename = "aim")]
    pub objective_at: Micros,
    /// The time of its deadline.
    #[serde(rename = "due")]
    pub deadline: Micros,
    /// The effective priority.
    #[serde(rename = "worth")]
    pub priority: f64,
}
