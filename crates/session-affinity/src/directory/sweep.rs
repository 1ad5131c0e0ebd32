//! Periodic removal of idle entries. A sweep covers one partition of the table at a time, because
//! requests wait during a sweep: computing whether this node is a replica of a session takes some
//! time.

use crate::directory::{is_idempotency_key, SessionDirectory};
use crate::Micros;

/// Interval between sweeps of one partition each, in microseconds.
const SWEEP_INTERVAL: Micros = 1_000_000;
/// Number of partitions.
const PARTITIONS: u64 = 64;
/// Idle time after which an entry is removed if this node is not a replica of its session, in
/// seconds.
const CACHE_IDLE_SECONDS: u32 = 60;
/// Idle time after which an idempotency key is removed, in seconds: longer than any window in
/// which retries of the key are recognized.
const KEY_IDLE_SECONDS: u32 = 600;

#[derive(Clone, Debug)]
pub(super) struct Sweeper {
    next_sweep_at: Micros,
    last_partition: u64,
}

impl Sweeper {
    pub(super) fn new(now: Micros) -> Sweeper {
        Sweeper {
            next_sweep_at: now + SWEEP_INTERVAL,
            last_partition: 0,
        }
    }

    pub(super) fn next_sweep_at(&self) -> Micros {
        self.next_sweep_at
    }
}

impl SessionDirectory {
    /// Sweeps the next partition if a sweep is due.
    pub(super) fn run_sweep(&mut self, now: Micros) {
        if now < self.sweeper.next_sweep_at {
            return;
        }
        self.sweeper.next_sweep_at = now + SWEEP_INTERVAL;
        self.sweeper.last_partition = (self.sweeper.last_partition + 1) % PARTITIONS;
        let partition = self.sweeper.last_partition;
        let (replicas, prospective) = (&self.replicas, &self.prospective_replicas);
        let local_name = &self.local_name;
        let session_timeout = self
            .pools
            .iter()
            .map(|state| state.pool.idle_timeout_seconds)
            .max()
            .unwrap_or_default();
        self.table.sweep(now, |session, idle_seconds| {
            let timeout = if is_idempotency_key(session) {
                KEY_IDLE_SECONDS
            } else {
                session_timeout
            };
            let is_replica = || {
                replicas.is_replica(session, local_name)
                    || prospective.is_replica(session, local_name)
            };
            (session >> 32) % PARTITIONS != partition
                || idle_seconds < CACHE_IDLE_SECONDS
                || idle_seconds < timeout && is_replica()
        });
    }
}
