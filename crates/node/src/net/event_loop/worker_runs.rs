//! Assigns runs to workers within the limit on connections.

use super::NodeState;
use crate::net::worker_pools::{AssignedRun, AttemptedWorker, WorkerRun};
use std::net::SocketAddr;

impl NodeState {
    /// Selects a worker for a run. `hash_key` is the hash of a sticky run's idempotency key;
    /// `attempted` lists the workers of earlier attempts.
    pub fn select_worker(
        &mut self,
        run: &WorkerRun,
        hash_key: Option<u64>,
        attempted: &[AttemptedWorker],
    ) -> Option<AssignedRun> {
        if self.are_worker_connections_used_up() {
            return None;
        }
        self.pools
            .select_worker(self.clock.now(), run, hash_key, attempted)
    }

    /// Assigns a run to the worker at this address, if the worker is available.
    pub fn assign_worker(
        &mut self,
        run: &WorkerRun,
        address: SocketAddr,
        attempted: &[AttemptedWorker],
    ) -> Option<AssignedRun> {
        if self.are_worker_connections_used_up() {
            return None;
        }
        self.pools
            .assign_worker(self.clock.now(), run, address, attempted)
    }

    fn are_worker_connections_used_up(&self) -> bool {
        self.pools.in_flight() >= self.limits.max_worker_connections()
    }
}
