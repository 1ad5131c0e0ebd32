//! Faults, workers and results of the simulation.

use super::{Micros, SECOND};
use pipitlever_session_affinity::directory::{Pool, WorkerSettings};

const IDLE_TIMEOUT_SECONDS: u32 = 36 * 3600;
const DRAIN_GRACE: Micros = 36 * 3600 * SECOND;

/// Faults of messages, and delays of membership and configuration updates.
#[derive(Clone, Copy, Debug)]
pub struct FaultSettings {
    /// The percentage of messages that are lost.
    pub loss_percent: f64,
    /// The percentage of messages that are delivered twice.
    pub duplication_percent: f64,
    /// The maximum delay of a message in microseconds.
    pub max_delay: Micros,
    /// The percentage of messages that are delayed by two seconds.
    pub late_percent: f64,
    /// The maximum time in microseconds until a node learns of a change of the membership or of a
    /// version.
    pub max_propagation_delay: Micros,
}

/// A worker of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SimulatedWorker {
    /// The number in the worker's name.
    pub number: u32,
    /// The weight for the placement of new sessions.
    pub weight: f64,
    /// Whether new sessions are placed on the worker; a worker that accepts none is draining.
    pub accepts_sessions: bool,
}

impl SimulatedWorker {
    /// A worker of weight 1 that accepts sessions.
    pub fn new(number: u32) -> SimulatedWorker {
        SimulatedWorker {
            number,
            weight: 1.0,
            accepts_sessions: true,
        }
    }

    pub(super) fn name(number: u32) -> String {
        format!("w{number}")
    }

    fn settings(&self) -> WorkerSettings {
        WorkerSettings {
            name: SimulatedWorker::name(self.number),
            weight: self.weight,
            accepts_sessions: self.accepts_sessions,
            is_draining: !self.accepts_sessions,
        }
    }
}

/// The pool of these workers. Sessions stay on an ejected worker for `failure_grace` microseconds.
pub fn pool(workers: &[SimulatedWorker], failure_grace: Micros) -> Pool {
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers: workers.iter().map(SimulatedWorker::settings).collect(),
        idle_timeout_seconds: IDLE_TIMEOUT_SECONDS,
        failure_grace,
        drain_grace: DRAIN_GRACE,
    }
}

/// Where a node routes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// To a worker.
    Worker {
        /// The worker's number.
        number: u32,
        /// The time in microseconds that the lookup took.
        waited: Micros,
    },
    /// To no worker.
    Unavailable,
}

/// Sessions in the tables of all running nodes.
#[derive(Clone, Copy, Debug)]
pub struct TableSizes {
    /// Sessions in the largest table.
    pub max_sessions: usize,
    /// Bytes of all tables.
    pub total_bytes: usize,
}
