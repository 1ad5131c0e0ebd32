//! A pool's workers, as far as sessions go: who takes them, who keeps them, and since when one
//! fails.

use crate::worker_selection::Worker;
use crate::{mix, Micros, WorkerId};
use pipitlever_membership::record::digest;
use std::collections::BTreeMap;

/// A worker, as the file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Its name: it is the same one wherever it is.
    pub name: String,
    /// Its share of new sessions; above 0.
    pub weight: f64,
    /// It takes new ones.
    pub accepts_sessions: bool,
    /// It takes none, and keeps those that it has for a while.
    pub is_draining: bool,
}

/// A pool whose sessions stay.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// What it was called before, the oldest first.
    pub previous_names: Vec<String>,
    /// Its workers.
    pub workers: Vec<WorkerSettings>,
    /// A session that nobody wanted for so many seconds is forgotten.
    pub idle_timeout_seconds: u32,
    /// A worker that fails keeps its sessions for so long, in microseconds.
    pub failure_grace: Micros,
    /// One that drains does for so long, in microseconds.
    pub drain_grace: Micros,
}

/// Why a session has to move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// Its worker is no member any more, is disabled, or has drained for long enough.
    Removed,
    /// Its worker has failed for too long.
    Failed,
    /// Its run could not begin there.
    Unreachable,
}

/// What has become of sessions here since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounters {
    /// Placed for the first time.
    pub placed: u64,
    /// Moved, by cause.
    pub removed: u64,
    /// As above.
    pub failed: u64,
    /// As above.
    pub unreachable: u64,
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

/// Workers that are not known yet and have been met, at the most.
const MOST_UNKNOWN: usize = 64;

/// A pool, and what is known of its workers.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// The file.
    pub pool: Pool,
    /// What has become of its sessions.
    pub moves: PlacementCounters,
    pub(super) id: u64,
    pub(super) idle: u32,
    pub(super) workers: Vec<Worker>,
    pub(super) names: BTreeMap<WorkerId, String>,
    /// Since when one drains, fails, or is wanted and not known.
    drains: BTreeMap<WorkerId, Micros>,
    out: BTreeMap<WorkerId, Micros>,
    unknown: BTreeMap<WorkerId, Micros>,
}

impl PoolState {
    pub(super) fn new(pool: Pool, before: &[PoolState], now: Micros) -> PoolState {
        // By its first name: a rename moves nobody.
        let id = digest(pool.previous_names.first().unwrap_or(&pool.name).as_bytes());
        let worker_id = |name: &str| mix(id, digest(name.as_bytes())) as WorkerId;
        let worker = |s: &WorkerSettings| {
            let (id, keeps) = (worker_id(&s.name), s.accepts_sessions || s.is_draining);
            Worker {
                id,
                weight: s.weight,
                accepts_sessions: s.accepts_sessions,
                retains_sessions: keeps,
            }
        };
        let workers: Vec<Worker> = pool.workers.iter().map(worker).collect();
        let names = pool
            .workers
            .iter()
            .map(|s| (worker_id(&s.name), s.name.clone()))
            .collect();
        let old = before.iter().find(|b| b.id == id);
        let since = |worker: &Worker| {
            old.and_then(|o| o.drains.get(&worker.id))
                .copied()
                .unwrap_or(now)
        };
        let drains = workers
            .iter()
            .filter(|w| w.retains_sessions && !w.accepts_sessions)
            .map(|w| (w.id, since(w)))
            .collect();
        let out = old.map(|o| o.out.clone()).unwrap_or_default();
        let moves = old.map(|o| o.moves).unwrap_or_default();
        let idle = pool.idle_timeout_seconds;
        PoolState {
            pool,
            moves,
            id,
            idle,
            workers,
            names,
            drains,
            out,
            unknown: BTreeMap::new(),
        }
    }

    /// Whether a session has to leave a worker, and why.
    pub(super) fn leaves(&self, now: Micros, worker: WorkerId) -> Option<MoveCause> {
        let keeps = self
            .workers
            .iter()
            .any(|w| w.id == worker && w.retains_sessions);
        let lingered = self
            .drains
            .get(&worker)
            .is_some_and(|since| now - since >= self.pool.drain_grace);
        let failed = self
            .out
            .get(&worker)
            .is_some_and(|since| now - since >= self.pool.failure_grace);
        match () {
            () if !keeps || lingered => Some(MoveCause::Removed),
            () if failed => Some(MoveCause::Failed),
            () => None,
        }
    }

    /// Whether a worker that a later version has is still waited for.
    pub(super) fn unknown(&mut self, now: Micros, worker: WorkerId) -> bool {
        if self.unknown.len() >= MOST_UNKNOWN && !self.unknown.contains_key(&worker) {
            return false;
        }
        let since = *self.unknown.entry(worker).or_insert(now);
        now - since < self.pool.failure_grace
    }

    pub(super) fn left_out(&mut self, now: Micros, out: &[WorkerId]) {
        self.out.retain(|w, _| out.contains(w));
        for worker in out {
            self.out.entry(*worker).or_insert(now);
        }
    }

    pub(super) fn is_out(&self, worker: WorkerId) -> bool {
        self.out.contains_key(&worker)
    }

    /// The number of a worker in the file, by what it is called here.
    pub fn position(&self, worker: WorkerId) -> Option<usize> {
        self.workers.iter().position(|w| w.id == worker)
    }

    /// What the worker with that number is called here.
    pub fn id(&self, position: usize) -> Option<WorkerId> {
        self.workers.get(position).map(|w| w.id)
    }
}
