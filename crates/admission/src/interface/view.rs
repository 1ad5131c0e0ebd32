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
    Held,
    /// Waiting for the outcome of the request it repeats.
    Reusing,
    /// On the cores, or waiting for a disk.
    Running,
    /// Off the cores, waiting for its call to be placed.
    Parked,
    /// Off the cores, its call in the hands of the layer below.
    Calling,
}

/// Why a request was turned away or failed, with the figures that decided.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cause {
    /// It arrived too long after the notice to leave to be run.
    AfterGrace,
    /// The line that it would have joined takes none, or none of its worth.
    Line {
        /// The line of requests that need a call, rather than of those that wait to start.
        calls: bool,
        /// The line's mode.
        mode: Mode,
        /// Its worth: its rank, less what a retry or a tenant over its share loses.
        worth: f64,
        /// The least worth that is taken in overload.
        cut: f64,
    },
    /// There was no memory for it or its key.
    Memory {
        /// In use, in KB.
        used: f64,
        /// Wanted, in KB.
        more: f64,
    },
    /// It waited past its aim, and a later answer earns nothing.
    PastAim(Stage),
    /// Its due time came while it stood here.
    Due(Stage),
    /// It could not have ended in time any more.
    TooLate {
        /// The least time that such a request is expected to take.
        expected: Micros,
        /// The time that was left.
        left: Micros,
    },
    /// It needs more memory than there is with nothing else running.
    NeverFits {
        /// What it needs, in KB.
        more: f64,
    },
    /// The cores stand still: nothing that waits for them gets on.
    Still,
    /// Its call ended so, and may have taken effect.
    Call(Outcome),
}

/// One of the two lines and what guards it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LineView {
    /// Its mode.
    pub mode: Mode,
    /// Its length, as the modes see it.
    pub count: f64,
    /// The thresholds in force: abatement, onset and discard.
    pub thresholds: [f64; 3],
    /// The least worth that is taken in overload.
    pub cut: f64,
    /// Arrivals a second.
    pub arriving: f64,
}

/// What a controller goes by at the moment, to be read and shown.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The line to start, and the line for calls.
    pub lines: [LineView; 2],
    /// Requests that wait to start.
    pub held: usize,
    /// Requests on the cores.
    pub running: usize,
    /// Requests at a call, placed or not.
    pub at_call: usize,
    /// How many may be on the cores.
    pub run_limit: f64,
    /// Needing a core beside the runs: what is being read.
    pub reading: f64,
    /// Calls in the hands of the layer below.
    pub in_hand: f64,
    /// How many may be.
    pub call_limit: f64,
    /// Memory in use, in KB.
    pub memory_kb: f64,
    /// Requests a second that can be finished well.
    pub rate: f64,
    /// The notice to leave has come.
    pub leaving: bool,
}

/// How one request stands with a controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Where it stands.
    pub stage: Stage,
    /// An answer by then earns full worth.
    pub aim: Micros,
    /// Its answer is due then.
    pub due: Micros,
    /// Its worth, as the lines see it.
    pub worth: f64,
}
