//! The node's pools of workers: worker selection, fallback pools, retries, and the queue of runs.

mod pool_entry;
pub mod routes;
#[cfg(test)]
mod tests;

pub use pool_entry::is_divided;

use crate::net::notify::Notify;
use crate::net::worker_pools::routes::PoolSettings;
use pipitlever_admission::Micros;
use pipitlever_capture::record::digest_bytes;
use pipitlever_core::Reference;
use pipitlever_load_balancing::pool::{
    MemberId, Pool, RunId, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::retry_budget::{AttemptEffect, RetryRequest};
use pipitlever_subsetting::assignment::WorkerShare;
use pipitlever_wire::uwsgi::find_variable;
use pool_entry::PoolEntry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// A run for a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// Reference of the request.
    pub reference: Reference,
    /// Whether the run may happen twice.
    pub is_idempotent: bool,
    /// Index of the class's pool.
    pub pool: usize,
    /// Whether runs with the same idempotency key go to the same worker.
    pub is_sticky: bool,
    /// The uwsgi packet.
    pub packet: Rc<[u8]>,
    /// When the run times out.
    pub deadline: Micros,
}

/// A run that was assigned to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedRun {
    /// Index of the pool.
    pub pool: usize,
    /// The run's number in the pool.
    pub run: RunId,
    /// The worker's number in the pool.
    pub member: MemberId,
    /// The worker's address.
    pub address: SocketAddr,
}

/// A worker that a run was assigned to before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptedWorker {
    /// Index of the pool.
    pub pool: usize,
    /// The worker's number in the pool.
    pub member: MemberId,
}

/// A failed attempt of a run, for the decision on a retry.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Index of the pool.
    pub pool: usize,
    /// Whether any attempt of the run may have had an effect.
    pub may_have_run: bool,
    /// Attempts so far.
    pub attempts: u32,
}

/// A node's share of a pool that the nodes of a fleet divide among themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolShare {
    /// The share of each worker, by name.
    pub workers: HashMap<String, WorkerShare>,
    /// This node's fraction of the pool's load, which is also its fraction of the pool's retry
    /// budget.
    pub load_fraction: f64,
    /// When the share expires. From then on other nodes may have the share, and this node may run
    /// one run at a time on each worker.
    pub expires_at: Micros,
}

impl Default for PoolShare {
    fn default() -> PoolShare {
        PoolShare {
            workers: HashMap::new(),
            load_fraction: 1.0,
            expires_at: Micros::MAX,
        }
    }
}

/// All pools, and the queue of runs.
#[derive(Debug)]
pub struct WorkerPools {
    entries: Vec<PoolEntry>,
    /// Number of configurations that have been applied since the start.
    pub generation: u64,
    queue: VecDeque<WorkerRun>,
    /// Notified when a run is queued.
    pub run_queued: Notify,
}

impl WorkerPools {
    /// Creates the pools.
    pub fn new(pools: Vec<PoolSettings>, seed: u64, now: Micros) -> WorkerPools {
        let entries = pools
            .into_iter()
            .map(|settings| PoolEntry::new(settings, seed, now));
        WorkerPools {
            entries: entries.collect(),
            generation: 0,
            queue: VecDeque::new(),
            run_queued: Notify::new(),
        }
    }

    /// Queues a run for its driver.
    pub fn queue_run(&mut self, run: WorkerRun) {
        self.queue.push_back(run);
        self.run_queued.notify();
    }

    /// Takes the next queued run.
    pub fn next_run(&mut self) -> Option<WorkerRun> {
        self.queue.pop_front()
    }

    /// Changes the settings and members of the pools. Their number and order stay.
    pub fn set_pools(&mut self, pools: Vec<PoolSettings>, now: Micros) {
        self.generation += 1;
        for (entry, settings) in self.entries.iter_mut().zip(pools) {
            entry.settings = settings;
            entry.update_members(now);
        }
    }

    /// The settings of the pools, by index.
    pub fn settings(&self) -> impl Iterator<Item = &PoolSettings> {
        self.entries.iter().map(|entry| &entry.settings)
    }

    /// Sets this node's share of a pool. Returns whether its share of any worker changed.
    pub fn set_share(&mut self, now: Micros, pool: usize, share: PoolShare) -> bool {
        let entry = &mut self.entries[pool];
        entry.pool.set_budget_share(share.load_fraction);
        let previous = std::mem::replace(&mut entry.share, share);
        if entry.share.workers == previous.workers {
            return false;
        }
        entry.update_members(now);
        entry.log_events();
        true
    }

    /// Returns the number of runs that requested a worker of a pool since the last call.
    pub fn take_demand(&mut self, pool: usize) -> u64 {
        std::mem::take(&mut self.entries[pool].demand)
    }

    /// The load-balancing state of a pool.
    pub fn pool(&mut self, pool: usize) -> &mut Pool<SocketAddr> {
        &mut self.entries[pool].pool
    }

    /// Selects a worker for a run, from its pool or that pool's fallbacks.
    pub fn select_worker(
        &mut self,
        now: Micros,
        run: &WorkerRun,
        hash_key: Option<u64>,
        attempted: &[AttemptedWorker],
    ) -> Option<AssignedRun> {
        let mut next = Some(run.pool);
        // Bounded as a safeguard against a cycle of fallbacks. Settings with a cycle are rejected.
        for _ in 0..self.entries.len() {
            let index = next?;
            let entry = &mut self.entries[index];
            entry.record_demand(attempted.is_empty());
            entry.expire_share(now);
            let attempted_here: Vec<MemberId> = attempted
                .iter()
                .filter(|worker| worker.pool == index)
                .map(|worker| worker.member)
                .collect();
            let request = SelectionRequest {
                is_idempotent: run.is_idempotent,
                hash_key,
                attempted_members: &attempted_here,
            };
            let selection = entry.pool.select(now, request);
            entry.log_events();
            let assigned = assigned_run(index, &selection);
            if assigned.is_some() {
                return assigned;
            }
            next = entry.settings.fallback;
        }
        None
    }

    /// Assigns a run to the worker of its pool at this address, if the worker is available.
    pub fn assign_worker(
        &mut self,
        now: Micros,
        run: &WorkerRun,
        address: SocketAddr,
        attempted: &[AttemptedWorker],
    ) -> Option<AssignedRun> {
        let entry = &mut self.entries[run.pool];
        entry.record_demand(attempted.is_empty());
        entry.expire_share(now);
        let attempted: Vec<MemberId> = attempted.iter().map(|worker| worker.member).collect();
        let request = SelectionRequest {
            is_idempotent: run.is_idempotent,
            hash_key: None,
            attempted_members: &attempted,
        };
        let selection = entry.pool.select_member(now, request, &address);
        entry.log_events();
        assigned_run(run.pool, &selection)
    }

    /// The digest of a run's session, if its pool has session affinity and its packet has a
    /// session.
    pub fn session(&self, run: &WorkerRun) -> Option<u64> {
        let sessions = self.entries[run.pool].settings.sessions.as_ref()?;
        find_variable(&run.packet, &sessions.variable)
            .filter(|value| !value.is_empty())
            .map(digest_bytes)
    }

    /// Records the outcome of an attempt.
    pub fn complete_run(&mut self, now: Micros, assigned: AssignedRun, outcome: RunOutcome) {
        let entry = &mut self.entries[assigned.pool];
        entry.pool.complete_run(now, assigned.run, outcome);
        entry.log_events();
    }

    /// Decides on a retry, and takes it from the retry budget. Returns the backoff before it, in
    /// microseconds; none if the run is not to be retried.
    pub fn acquire_retry(
        &mut self,
        now: Micros,
        run: &WorkerRun,
        attempt: FailedAttempt,
    ) -> Option<Micros> {
        let effect = if attempt.may_have_run {
            AttemptEffect::MayHaveRun
        } else {
            AttemptEffect::NeverRan
        };
        let request = RetryRequest {
            deadline: run.deadline,
            effect,
            is_idempotent: run.is_idempotent,
            attempts: attempt.attempts,
        };
        self.entries[attempt.pool].pool.acquire_retry(now, request)
    }

    /// Runs in flight in all pools.
    pub fn in_flight(&self) -> usize {
        let in_flight = self.entries.iter().map(|entry| entry.pool.in_flight());
        in_flight.sum()
    }

    /// Names of the pools, by index.
    pub fn names(&self) -> Vec<String> {
        self.settings()
            .map(|settings| settings.name.clone())
            .collect()
    }

    /// Log lines on the state of the workers, one for each.
    pub fn report(&self, now: Micros) -> Vec<String> {
        let mut lines = Vec::new();
        for entry in &self.entries {
            let name = entry.log_name();
            let report = entry.pool.report(now).into_iter();
            lines.extend(report.map(|line| format!("{name}: {line}")));
        }
        lines
    }
}

fn assigned_run(pool: usize, selection: &Selection<SocketAddr>) -> Option<AssignedRun> {
    match *selection {
        Selection::Selected {
            run,
            member,
            address,
        } => Some(AssignedRun {
            pool,
            run,
            member,
            address,
        }),
        Selection::AtCapacity | Selection::Unavailable => None,
    }
}
