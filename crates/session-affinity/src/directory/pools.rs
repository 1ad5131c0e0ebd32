//! State of a pool with session affinity: its workers, and the times since which workers have been
//! draining, ejected, or awaited. An awaited worker is one of a later configuration version, which
//! this node has not received.

use crate::worker_selection::Worker;
use crate::{mix, Micros, WorkerId};
use pipitlever_membership::record::digest;
use std::collections::BTreeMap;

/// Maximum number of awaited workers.
const MAX_AWAITED_WORKERS: usize = 64;

/// Configuration of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Name, which identifies the worker independently of its address.
    pub name: String,
    /// Share of new sessions; above 0.
    pub weight: f64,
    /// Whether the worker accepts new sessions.
    pub accepts_sessions: bool,
    /// Whether the worker drains: a draining worker accepts no new sessions and retains its own for
    /// a while.
    pub is_draining: bool,
}

/// Configuration of a pool with session affinity.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Earlier names, the oldest first.
    pub previous_names: Vec<String>,
    /// Workers.
    pub workers: Vec<WorkerSettings>,
    /// Idle time after which a session is removed, in seconds.
    pub idle_timeout_seconds: u32,
    /// How long a session stays on an ejected worker, in microseconds.
    pub failure_grace: Micros,
    /// How long a session stays on a draining worker, in microseconds.
    pub drain_grace: Micros,
}

/// Why a session moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// Its worker was removed or disabled, or has drained for longer than the grace period.
    Removed,
    /// Its worker has been ejected for longer than the grace period.
    Failed,
    /// A request could not be sent to its worker.
    Unreachable,
}

/// Placements and moves at this node since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounters {
    /// New sessions.
    pub placed: u64,
    /// Moves because of [`MoveCause::Removed`].
    pub removed: u64,
    /// Moves because of [`MoveCause::Failed`].
    pub failed: u64,
    /// Moves because of [`MoveCause::Unreachable`].
    pub unreachable: u64,
    /// Requests that were rejected because no replica replied in time.
    pub unanswered: u64,
}

impl PlacementCounters {
    pub(super) fn count(&mut self, cause: MoveCause) {
        match cause {
            MoveCause::Removed => self.removed += 1,
            MoveCause::Failed => self.failed += 1,
            MoveCause::Unreachable => self.unreachable += 1,
        }
    }
}

/// Time at which each worker entered a state.
type StartTimes = BTreeMap<WorkerId, Micros>;

/// A pool and the state of its workers.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// Configuration.
    pub pool: Pool,
    /// Placements and moves.
    pub counters: PlacementCounters,
    /// Digest of the pool's oldest name.
    pub(super) id: u64,
    pub(super) workers: Vec<Worker>,
    pub(super) names: BTreeMap<WorkerId, String>,
    draining: StartTimes,
    ejected: StartTimes,
    awaited: StartTimes,
}

impl PoolState {
    pub(super) fn new(pool: Pool, previous: &[PoolState], now: Micros) -> PoolState {
        let oldest_name = pool.previous_names.first().unwrap_or(&pool.name);
        let id = digest(oldest_name.as_bytes());
        let previous = previous.iter().find(|state| state.id == id);
        let workers: Vec<Worker> = pool
            .workers
            .iter()
            .map(|settings| worker(id, settings))
            .collect();
        let names = pool
            .workers
            .iter()
            .map(|settings| (worker_id(id, &settings.name), settings.name.clone()))
            .collect();
        let draining_since = |worker: &Worker| {
            previous
                .and_then(|state| state.draining.get(&worker.id))
                .copied()
                .unwrap_or(now)
        };
        let draining = workers
            .iter()
            .filter(|worker| worker.retains_sessions && !worker.accepts_sessions)
            .map(|worker| (worker.id, draining_since(worker)))
            .collect();
        PoolState {
            pool,
            counters: previous.map(|state| state.counters).unwrap_or_default(),
            id,
            workers,
            names,
            draining,
            ejected: previous
                .map(|state| state.ejected.clone())
                .unwrap_or_default(),
            awaited: BTreeMap::new(),
        }
    }

    /// Returns why a session has to move off a worker; `None` if it stays.
    pub(super) fn move_cause(&self, now: Micros, worker: WorkerId) -> Option<MoveCause> {
        let is_retaining = self
            .workers
            .iter()
            .any(|candidate| candidate.id == worker && candidate.retains_sessions);
        let has_elapsed =
            |since: Option<&Micros>, grace: Micros| since.is_some_and(|since| now - since >= grace);
        if !is_retaining || has_elapsed(self.draining.get(&worker), self.pool.drain_grace) {
            Some(MoveCause::Removed)
        } else if has_elapsed(self.ejected.get(&worker), self.pool.failure_grace) {
            Some(MoveCause::Failed)
        } else {
            None
        }
    }

    /// Returns whether the version that adds an unknown worker is still awaited.
    pub(super) fn is_awaiting_version(&mut self, now: Micros, worker: WorkerId) -> bool {
        let is_full = self.awaited.len() >= MAX_AWAITED_WORKERS;
        if is_full && !self.awaited.contains_key(&worker) {
            return false;
        }
        let since = *self.awaited.entry(worker).or_insert(now);
        now - since < self.pool.failure_grace
    }

    pub(super) fn set_ejected_workers(&mut self, now: Micros, ejected: &[WorkerId]) {
        self.ejected.retain(|worker, _| ejected.contains(worker));
        for worker in ejected {
            self.ejected.entry(*worker).or_insert(now);
        }
    }

    pub(super) fn is_ejected(&self, worker: WorkerId) -> bool {
        self.ejected.contains_key(&worker)
    }

    /// Returns the index of a worker in the configuration.
    pub fn worker_index(&self, worker: WorkerId) -> Option<usize> {
        self.workers
            .iter()
            .position(|candidate| candidate.id == worker)
    }

    /// Returns the identifier of the worker at an index of the configuration.
    pub fn worker_id_at(&self, index: usize) -> Option<WorkerId> {
        self.workers.get(index).map(|worker| worker.id)
    }
}

fn worker_id(pool_id: u64, name: &str) -> WorkerId {
    mix(pool_id, digest(name.as_bytes())) as WorkerId
}

fn worker(pool_id: u64, settings: &WorkerSettings) -> Worker {
    Worker {
        id: worker_id(pool_id, &settings.name),
        weight: settings.weight,
        accepts_sessions: settings.accepts_sessions,
        retains_sessions: settings.accepts_sessions || settings.is_draining,
    }
}
