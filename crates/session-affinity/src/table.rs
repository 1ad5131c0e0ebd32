//! What a node remembers of sessions: those that it is a home of, and those of its own clients.
//! Bounded: what is idle goes, and where there is no room nothing more is taken in.

use crate::placement::Placement;
use crate::timestamp::Timestamp;
use crate::{Micros, Session, WorkerId};
use hashbrown::HashMap;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasherDefault, Hasher};

/// One entry, as small as it can be: there may be a million.
#[derive(Clone, Copy, Debug)]
struct Entry {
    worker: WorkerId,
    seconds: u32,
    by: u16,
    version: u16,
    /// When it was last wanted, in steps of some seconds since the table began, without the higher
    /// bits.
    seen: u16,
    moves: u8,
    /// The second in which it was last held against what its homes have, without its higher bits:
    /// it matters only whether it is this one or the one before.
    checked: u8,
}

impl Entry {
    fn placement(&self) -> Placement {
        let birth = Timestamp {
            seconds: self.seconds,
            node: self.by,
        };
        Placement {
            worker: self.worker,
            created: birth,
            moves: self.moves,
            version: self.version,
        }
    }

    /// For how many seconds it was not wanted.
    fn idle(&self, second: u32) -> u32 {
        u32::from((step(second)).wrapping_sub(self.seen)) * STEP
    }
}

/// Seconds of a step.
const STEP: u32 = 4;
/// The longest that an entry can be known to be idle, in seconds: past it it would look new again.
pub const MAX_IDLE_SECONDS: u32 = 36 * 3600;

fn step(second: u32) -> u16 {
    (second / STEP) as u16
}

/// Sessions are digests: their own bits are as good as any.
#[derive(Clone, Debug, Default)]
pub struct Bits(u64);

impl Hasher for Bits {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {}
    fn write_u32(&mut self, half: u32) {
        self.0 = self.0.rotate_left(32) ^ u64::from(half);
    }
}

/// In halves, so that an entry needs no padding.
type Key = (u32, u32);

fn key(session: Session) -> Key {
    ((session >> 32) as u32, session as u32)
}

/// The table.
#[derive(Clone)]
pub struct PlacementTable {
    all: HashMap<Key, Entry, BuildHasherDefault<Bits>>,
    most: usize,
    begun: Micros,
    /// Sessions of each worker.
    counts: BTreeMap<WorkerId, usize>,
    /// Those that found no room.
    pub rejected: u64,
}

impl fmt::Debug for PlacementTable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        // In order: two tables that hold the same look the same.
        let all: BTreeMap<&Key, &Entry> = self.all.iter().collect();
        f.debug_map().entries(all).finish()
    }
}

/// What has come of a piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It holds from now on.
    Applied,
    /// It was known.
    Unchanged,
    /// What is held here holds over it.
    Superseded(Placement),
    /// There is no room for it.
    TableFull,
}

impl PlacementTable {
    /// An empty one for so many sessions.
    pub fn new(most: usize, now: Micros) -> PlacementTable {
        PlacementTable {
            all: HashMap::default(),
            most,
            begun: now,
            counts: BTreeMap::new(),
            rejected: 0,
        }
    }

    fn second(&self, now: Micros) -> u32 {
        ((now - self.begun).max(0) / 1_000_000) as u32
    }

    /// Where a session lives, as far as this node knows; and whether that was held against its
    /// homes a second ago at the most.
    pub fn get(&self, now: Micros, session: Session) -> Option<(Placement, bool)> {
        let second = self.second(now);
        self.all
            .get(&key(session))
            .map(|e| (e.placement(), (second as u8).wrapping_sub(e.checked) < 2))
    }

    /// It is wanted.
    pub fn touch(&mut self, now: Micros, session: Session) {
        let second = self.second(now);
        if let Some(entry) = self.all.get_mut(&key(session)) {
            entry.seen = step(second);
        }
    }

    /// It is about to be held against what its homes have.
    pub fn mark_checked(&mut self, now: Micros, session: Session) {
        let second = self.second(now);
        if let Some(entry) = self.all.get_mut(&key(session)) {
            entry.checked = second as u8;
        }
    }

    /// A session lives there, as somebody has it; it was last wanted so many seconds ago.
    pub fn merge(
        &mut self,
        now: Micros,
        session: Session,
        placement: Placement,
        idle: u32,
    ) -> MergeOutcome {
        let second = self.second(now);
        let seen = step(second).wrapping_sub(step(idle.min(MAX_IDLE_SECONDS)));
        let Placement {
            worker,
            created: Timestamp { seconds, node: by },
            moves,
            version,
        } = placement;
        let count = self.all.len();
        match self.all.entry(key(session)) {
            hashbrown::hash_map::Entry::Occupied(mut held) => {
                let entry = held.get_mut();
                if entry.idle(second) > idle {
                    entry.seen = seen;
                }
                let ours = entry.placement();
                if ours.supersedes(&placement) {
                    return MergeOutcome::Superseded(ours);
                }
                if ours == placement {
                    return MergeOutcome::Unchanged;
                }
                (entry.worker, entry.seconds, entry.by) = (worker, seconds, by);
                (entry.moves, entry.version) = (moves, version);
                self.uncount(ours.worker);
            }
            hashbrown::hash_map::Entry::Vacant(room) => {
                if count >= self.most {
                    self.rejected += 1;
                    return MergeOutcome::TableFull;
                }
                room.insert(Entry {
                    worker,
                    seconds,
                    by,
                    version,
                    seen,
                    moves,
                    checked: second as u8,
                });
            }
        }
        *self.counts.entry(worker).or_default() += 1;
        MergeOutcome::Applied
    }

    fn uncount(&mut self, worker: WorkerId) {
        if let Some(count) = self.counts.get_mut(&worker) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&worker);
            }
        }
    }

    /// Lets go of those that were not wanted for so many seconds, by what is said of each.
    pub fn sweep(&mut self, now: Micros, mut keeps: impl FnMut(Session, u32) -> bool) {
        let second = self.second(now);
        let mut gone = Vec::new();
        self.all.retain(|(high, low), e| {
            let session = u64::from(*high) << 32 | u64::from(*low);
            let keeps = keeps(session, e.idle(second));
            if !keeps {
                gone.push(e.worker);
            }
            keeps
        });
        gone.into_iter().for_each(|worker| self.uncount(worker));
        // Memory goes back once most of it is not needed.
        if self.all.capacity() > 8 * self.all.len().max(128) {
            self.all.shrink_to(2 * self.all.len());
        }
    }

    /// One as it is told: where it lives, and for how many seconds it was not wanted.
    pub fn directory_entry(
        &self,
        now: Micros,
        session: Session,
    ) -> Option<(Session, Placement, u32)> {
        let second = self.second(now);
        self.all
            .get(&key(session))
            .map(|e| (session, e.placement(), e.idle(second)))
    }

    /// All sessions, with where each lives and for how many seconds it was not wanted.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = (Session, Placement, u32)> + '_ {
        let second = self.second(now);
        self.all.iter().map(move |((high, low), e)| {
            (
                u64::from(*high) << 32 | u64::from(*low),
                e.placement(),
                e.idle(second),
            )
        })
    }

    /// Sessions of each worker.
    pub fn sessions_by_worker(&self) -> &BTreeMap<WorkerId, usize> {
        &self.counts
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.all.allocation_size()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mix;

    const S: Micros = 1_000_000;

    fn at(worker: u32, seconds: u32) -> Placement {
        Placement {
            worker,
            created: Timestamp { seconds, node: 0 },
            moves: 0,
            version: 0,
        }
    }

    #[test]
    fn the_older_placement_stays_and_the_idle_one_goes() {
        let mut table = PlacementTable::new(10, 0);
        assert_eq!(table.merge(0, 5, at(1, 9), 0), MergeOutcome::Applied);
        assert_eq!(table.merge(0, 5, at(1, 9), 0), MergeOutcome::Unchanged);
        assert_eq!(
            table.merge(0, 5, at(2, 10), 0),
            MergeOutcome::Superseded(at(1, 9))
        );
        assert_eq!(table.merge(0, 5, at(2, 8), 0), MergeOutcome::Applied);
        assert_eq!(
            table
                .sessions_by_worker()
                .iter()
                .map(|(w, n)| (*w, *n))
                .collect::<Vec<_>>(),
            [(2, 1)]
        );
        table.merge(0, 6, at(1, 1), 0);
        table.touch(50 * S, 5);
        table.sweep(60 * S, |_, idle| idle < 30);
        assert_eq!((table.len(), table.get(60 * S, 6)), (1, None));
        assert_eq!(table.get(60 * S, 5), Some((at(2, 8), false)));
        table.mark_checked(60 * S, 5);
        assert_eq!(table.get(60 * S, 5), Some((at(2, 8), true)));
    }

    #[test]
    fn a_million_sessions_of_ten_nodes_fit_and_no_more_are_taken_than_may_be() {
        // Two of ten nodes remember each.
        let mut table = PlacementTable::new(200_000, 0);
        for i in 0..250_000 {
            table.merge(0, mix(i, 1), at(1, 1), 0);
        }
        assert_eq!((table.len(), table.rejected), (200_000, 50_000));
        assert!(table.bytes() * 10 <= 64 << 20, "{}", table.bytes());
        table.sweep(100 * S, |_, _| false);
        assert!(
            table.is_empty() && table.sessions_by_worker().is_empty() && table.bytes() < 1 << 16
        );
    }
}
