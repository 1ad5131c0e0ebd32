//! Bounded table of the placements that a node stores: of sessions of which it is a replica, and
//! of sessions of its own clients. Idle entries are removed; a full table accepts no new ones.

use crate::message::DirectoryEntry;
use crate::placement::Placement;
use crate::timestamp::Timestamp;
use crate::{Micros, SessionId, WorkerId};
use hashbrown::hash_map::Entry;
use hashbrown::HashMap;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasherDefault, Hasher};

/// Longest idle time that an entry can represent, in seconds. Entries have to be removed earlier,
/// since their idle time wraps around.
pub const MAX_IDLE_SECONDS: u32 = 36 * 3600;

/// Resolution of the idle time, in seconds.
const IDLE_STEP_SECONDS: u32 = 4;
/// Age in seconds from which on an entry has to be verified with its replicas again.
const MAX_VERIFIED_AGE: u8 = 2;
/// Smallest number of entries for which the table retains memory.
const MIN_RETAINED_ENTRIES: usize = 128;

/// An entry. Its size is 16 bytes, since a table may hold a million entries.
#[derive(Clone, Copy, Debug)]
struct StoredPlacement {
    worker: WorkerId,
    created_seconds: u32,
    created_node: u16,
    version: u16,
    /// Low bits of the idle step in which the session was last requested.
    last_requested_step: u16,
    moves: u8,
    /// Low bits of the second in which the entry was last verified with its replicas.
    verified_second: u8,
}

impl StoredPlacement {
    fn placement(&self) -> Placement {
        Placement {
            worker: self.worker,
            created: Timestamp {
                seconds: self.created_seconds,
                node: self.created_node,
            },
            moves: self.moves,
            version: self.version,
        }
    }

    fn set_placement(&mut self, placement: Placement) {
        self.worker = placement.worker;
        self.created_seconds = placement.created.seconds;
        self.created_node = placement.created.node;
        self.moves = placement.moves;
        self.version = placement.version;
    }

    fn idle_seconds(&self, second: u32) -> u32 {
        let steps = idle_step(second).wrapping_sub(self.last_requested_step);
        u32::from(steps) * IDLE_STEP_SECONDS
    }

    fn entry(&self, session: SessionId, second: u32) -> DirectoryEntry {
        DirectoryEntry {
            session,
            placement: self.placement(),
            idle_seconds: self.idle_seconds(second),
        }
    }
}

fn idle_step(second: u32) -> u16 {
    (second / IDLE_STEP_SECONDS) as u16
}

/// Hasher that returns the session itself, which is already a digest.
#[derive(Clone, Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    /// Does nothing: a [`TableKey`] is hashed by `write_u32` alone, once for each half.
    fn write(&mut self, _: &[u8]) {}
    fn write_u32(&mut self, half: u32) {
        self.0 = self.0.rotate_left(32) ^ u64::from(half);
    }
}

/// Session in two halves, whose alignment avoids padding in an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct TableKey {
    high: u32,
    low: u32,
}

impl TableKey {
    fn new(session: SessionId) -> TableKey {
        TableKey {
            high: (session >> 32) as u32,
            low: session as u32,
        }
    }

    fn session(self) -> SessionId {
        u64::from(self.high) << 32 | u64::from(self.low)
    }
}

/// A placement in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPlacement {
    /// The placement.
    pub placement: Placement,
    /// Whether it was verified with its replicas within the last second.
    pub is_verified: bool,
}

/// Effect of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The placement is stored.
    Applied,
    /// The placement was stored already.
    Unchanged,
    /// The table holds this placement, which takes precedence.
    Outdated(Placement),
    /// The table is full.
    TableFull,
}

/// Table of placements.
#[derive(Clone)]
pub struct PlacementTable {
    entries: HashMap<TableKey, StoredPlacement, BuildHasherDefault<IdentityHasher>>,
    max_entries: usize,
    created_at: Micros,
    sessions_by_worker: BTreeMap<WorkerId, usize>,
    /// Number of placements rejected because the table was full.
    pub rejected: u64,
}

impl fmt::Debug for PlacementTable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        // Sorted, so that tables with equal entries have equal output.
        let sorted: BTreeMap<&TableKey, &StoredPlacement> = self.entries.iter().collect();
        f.debug_map().entries(sorted).finish()
    }
}

impl PlacementTable {
    /// Creates an empty table.
    pub fn new(max_entries: usize, now: Micros) -> PlacementTable {
        PlacementTable {
            entries: HashMap::default(),
            max_entries,
            created_at: now,
            sessions_by_worker: BTreeMap::new(),
            rejected: 0,
        }
    }

    /// Returns the number of seconds since the table was created.
    fn second(&self, now: Micros) -> u32 {
        ((now - self.created_at).max(0) / 1_000_000) as u32
    }

    /// Returns the placement of a session.
    pub fn get(&self, now: Micros, session: SessionId) -> Option<KnownPlacement> {
        let second = self.second(now);
        let stored = self.entries.get(&TableKey::new(session))?;
        let verified_age = (second as u8).wrapping_sub(stored.verified_second);
        Some(KnownPlacement {
            placement: stored.placement(),
            is_verified: verified_age < MAX_VERIFIED_AGE,
        })
    }

    /// Records that a session is requested.
    pub fn touch(&mut self, now: Micros, session: SessionId) {
        let second = self.second(now);
        if let Some(stored) = self.entries.get_mut(&TableKey::new(session)) {
            stored.last_requested_step = idle_step(second);
        }
    }

    /// Records that a session is being verified with its replicas.
    pub fn mark_verified(&mut self, now: Micros, session: SessionId) {
        let second = self.second(now);
        if let Some(stored) = self.entries.get_mut(&TableKey::new(session)) {
            stored.verified_second = second as u8;
        }
    }

    /// Merges an entry, which this or another node has created.
    pub fn merge(&mut self, now: Micros, received: DirectoryEntry) -> MergeOutcome {
        let DirectoryEntry {
            session,
            placement,
            idle_seconds,
        } = received;
        let second = self.second(now);
        let last_requested_step =
            idle_step(second).wrapping_sub(idle_step(idle_seconds.min(MAX_IDLE_SECONDS)));
        let count = self.entries.len();
        match self.entries.entry(TableKey::new(session)) {
            Entry::Occupied(mut occupied) => {
                let stored = occupied.get_mut();
                if stored.idle_seconds(second) > idle_seconds {
                    stored.last_requested_step = last_requested_step;
                }
                let current = stored.placement();
                if current.takes_precedence_over(&placement) {
                    return MergeOutcome::Outdated(current);
                }
                if current == placement {
                    return MergeOutcome::Unchanged;
                }
                stored.set_placement(placement);
                self.decrement_worker(current.worker);
            }
            Entry::Vacant(vacant) => {
                if count >= self.max_entries {
                    self.rejected += 1;
                    return MergeOutcome::TableFull;
                }
                vacant.insert(StoredPlacement {
                    worker: placement.worker,
                    created_seconds: placement.created.seconds,
                    created_node: placement.created.node,
                    version: placement.version,
                    last_requested_step,
                    moves: placement.moves,
                    verified_second: second as u8,
                });
            }
        }
        *self.sessions_by_worker.entry(placement.worker).or_default() += 1;
        MergeOutcome::Applied
    }

    fn decrement_worker(&mut self, worker: WorkerId) {
        if let Some(count) = self.sessions_by_worker.get_mut(&worker) {
            *count -= 1;
            if *count == 0 {
                self.sessions_by_worker.remove(&worker);
            }
        }
    }

    /// Removes the entries for which `retain` returns false; it receives the session and its idle
    /// time in seconds. Releases memory when most of it is unused.
    pub fn sweep(&mut self, now: Micros, mut retain: impl FnMut(SessionId, u32) -> bool) {
        let second = self.second(now);
        let mut removed_from = Vec::new();
        self.entries.retain(|key, stored| {
            let is_retained = retain(key.session(), stored.idle_seconds(second));
            if !is_retained {
                removed_from.push(stored.worker);
            }
            is_retained
        });
        for worker in removed_from {
            self.decrement_worker(worker);
        }
        if self.entries.capacity() > 8 * self.entries.len().max(MIN_RETAINED_ENTRIES) {
            self.entries.shrink_to(2 * self.entries.len());
        }
    }

    /// Returns the directory entry of a session.
    pub fn directory_entry(&self, now: Micros, session: SessionId) -> Option<DirectoryEntry> {
        let second = self.second(now);
        self.entries
            .get(&TableKey::new(session))
            .map(|stored| stored.entry(session, second))
    }

    /// Iterates over all directory entries, in no particular order.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = DirectoryEntry> + '_ {
        let second = self.second(now);
        self.entries
            .iter()
            .map(move |(key, stored)| stored.entry(key.session(), second))
    }

    /// Returns the number of sessions on each worker.
    pub fn sessions_by_worker(&self) -> &BTreeMap<WorkerId, usize> {
        &self.sessions_by_worker
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of the allocated memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.allocation_size()
    }
}
