//! State machine of one node: a replica of the session directory, and the resolver of the sessions
//! of its own clients.

use crate::lookup::PendingLookups;
use crate::placement::Placement;
use crate::replicas::ReplicaSet;
use crate::table::PlacementTable;
use crate::timestamp::HybridClock;
use crate::unacknowledged::UnacknowledgedUpdates;
use crate::{mix, Micros, SessionId, WorkerId};
use chunked_scan::ScanQueue;
use pipitlever_membership::record::digest;
use state_transfer::StateTransfer;
use std::collections::BTreeMap;

mod chunked_scan;
mod inbound;
mod pools;
mod replication;
mod resolution;
mod state_transfer;
mod sweep;

pub use pools::{MoveCause, PlacementCounters, Pool, PoolState, WorkerSettings};
pub use resolution::Resolution;

use sweep::Sweeper;

/// Bit that distinguishes idempotency keys from sessions in the table.
const IDEMPOTENCY_KEY_BIT: u64 = 1;

/// Settings of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Maximum time for which a request waits for a lookup, in microseconds.
    pub lookup_timeout: Micros,
    /// Maximum number of sessions in the table.
    pub max_sessions: usize,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub name: String,
    /// Whether the node has received all entries of which it is a replica.
    pub is_bootstrapped: bool,
}

/// Key by which a request is resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionKey {
    /// Digest of the session key that the client presents.
    Session(u64),
    /// Digest of an idempotency key, and the worker of its first attempt. Retries go to that
    /// worker even if the session moves meanwhile.
    IdempotencyKey(u64, WorkerId),
}

/// Identity of a [`SessionKey`] in the directory.
#[derive(Clone, Copy, Debug)]
struct DirectoryKey {
    session: SessionId,
    /// Worker if no node has an entry for the key; `None` to select one.
    initial_worker: Option<WorkerId>,
}

impl SessionKey {
    fn in_pool(self, pool_id: u64) -> DirectoryKey {
        match self {
            SessionKey::Session(key) => DirectoryKey {
                session: mix(pool_id, key) & !IDEMPOTENCY_KEY_BIT,
                initial_worker: None,
            },
            SessionKey::IdempotencyKey(key, worker) => DirectoryKey {
                session: mix(pool_id, key) | IDEMPOTENCY_KEY_BIT,
                initial_worker: Some(worker),
            },
        }
    }
}

fn is_idempotency_key(session: SessionId) -> bool {
    session & IDEMPOTENCY_KEY_BIT != 0
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundMessage {
    /// Name of the receiving node.
    pub recipient: String,
    /// Content.
    pub payload: Vec<u8>,
}

/// Resolution of a request that waited for a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedRequest {
    /// Number of the request.
    pub request: u64,
    /// Its resolution.
    pub resolution: Resolution,
}

/// The session directory as maintained by one node.
#[derive(Clone, Debug)]
pub struct SessionDirectory {
    local_name: String,
    /// Digest of the name, for timestamps.
    local_digest: u16,
    settings: DirectorySettings,
    clock: HybridClock,
    /// Low bits of the active configuration version.
    version: u16,
    table: PlacementTable,
    pools: Vec<PoolState>,
    /// Bootstrapped nodes, which answer lookups.
    replicas: ReplicaSet,
    /// All nodes, including those that are still bootstrapping.
    prospective_replicas: ReplicaSet,
    lookups: PendingLookups,
    unacknowledged: UnacknowledgedUpdates,
    state_transfer: StateTransfer,
    scans: ScanQueue,
    sweeper: Sweeper,
    outgoing: Vec<OutboundMessage>,
    resolved: Vec<ResolvedRequest>,
}

impl SessionDirectory {
    /// Creates the directory of a node that has just started. `unix_seconds` is the machine's
    /// time since the Unix epoch, and `token` identifies the start of this process.
    pub fn new(
        local_name: &str,
        settings: DirectorySettings,
        pools: Vec<Pool>,
        unix_seconds: u32,
        token: u64,
        now: Micros,
    ) -> SessionDirectory {
        let mut directory = SessionDirectory {
            local_name: local_name.to_owned(),
            local_digest: digest(local_name.as_bytes()) as u16,
            settings,
            clock: HybridClock::new(unix_seconds, now),
            version: 0,
            table: PlacementTable::new(settings.max_sessions, now),
            pools: Vec::new(),
            replicas: ReplicaSet::default(),
            prospective_replicas: ReplicaSet::default(),
            lookups: PendingLookups::default(),
            unacknowledged: UnacknowledgedUpdates::default(),
            state_transfer: StateTransfer::new(token, now),
            scans: ScanQueue::new(now),
            sweeper: Sweeper::new(now),
            outgoing: Vec::new(),
            resolved: Vec::new(),
        };
        directory.set_pools(now, 0, pools);
        directory
    }

    /// Applies the pools of a configuration version. The state of a pool continues under a new
    /// name if the pool lists the earlier one.
    pub fn set_pools(&mut self, now: Micros, version: u64, pools: Vec<Pool>) {
        self.version = version as u16;
        let previous = std::mem::take(&mut self.pools);
        self.pools = pools
            .into_iter()
            .map(|pool| PoolState::new(pool, &previous, now))
            .collect();
    }

    /// Sets the workers of a pool that outlier detection has ejected.
    pub fn set_ejected_workers(&mut self, now: Micros, pool: usize, ejected: &[WorkerId]) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.set_ejected_workers(now, ejected);
        }
    }

    /// Runs the timers that are due.
    pub fn handle_wakeup(&mut self, now: Micros) {
        self.expire_lookups(now);
        self.retry_lookups(now);
        self.retransmit_updates(now);
        self.run_state_transfer(now);
        self.run_scan_chunk(now);
        self.run_sweep(now);
    }

    /// Returns when [`SessionDirectory::handle_wakeup`] has to be called.
    pub fn next_wakeup(&self) -> Micros {
        let timers = [
            self.lookups.next_deadline(),
            self.unacknowledged.next_deadline(),
            self.scans.next_chunk_at(),
            self.state_transfer.next_deadline(),
        ];
        timers
            .into_iter()
            .flatten()
            .fold(self.sweeper.next_sweep_at(), Micros::min)
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<OutboundMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the resolutions of requests that waited for a lookup.
    pub fn take_resolutions(&mut self) -> Vec<ResolvedRequest> {
        std::mem::take(&mut self.resolved)
    }

    /// Returns whether the nodes to query are known; until then no session is resolved.
    pub fn is_ready(&self) -> bool {
        self.state_transfer.is_ready()
    }

    /// Returns whether the node has received all entries of which it is a replica.
    pub fn is_bootstrapped(&self) -> bool {
        self.state_transfer.is_complete()
    }

    /// Returns the table of placements.
    pub fn table(&self) -> &PlacementTable {
        &self.table
    }

    /// Returns the pools in the order of the configuration.
    pub fn pools(&self) -> &[PoolState] {
        &self.pools
    }

    /// Returns the placement in the local table, for tests and operators.
    pub fn placement(&self, now: Micros, pool: usize, key: SessionKey) -> Option<Placement> {
        let session = key.in_pool(self.pools.get(pool)?.id).session;
        let known = self.table.get(now, session)?;
        Some(known.placement)
    }

    /// Returns the number of sessions on each worker of a pool, by the worker's name.
    pub fn sessions_by_worker(&self, pool: usize) -> BTreeMap<String, usize> {
        let Some(state) = self.pools.get(pool) else {
            return BTreeMap::new();
        };
        let counts = self.table.sessions_by_worker();
        state
            .names
            .iter()
            .map(|(id, name)| {
                let count = counts.get(id).copied().unwrap_or_default();
                (name.clone(), count)
            })
            .collect()
    }

    fn send(&mut self, recipient: &str, payload: Vec<u8>) {
        self.outgoing.push(OutboundMessage {
            recipient: recipient.to_owned(),
            payload,
        });
    }
}

#[cfg(test)]
mod tests;
