//! One node's part: what it remembers of sessions, for its own clients and as a home for others.

use crate::lookup::PendingLookups;
use crate::message::{Entry, Message, MAX_ENTRIES};
use crate::placement::Placement;
use crate::replicas::{ReplicaSet, LOOKUP_FANOUT, REPLICATION_FACTOR};
use crate::table::PlacementTable;
use crate::timestamp::{HybridClock, Timestamp};
use crate::unacknowledged::UnacknowledgedUpdates;
use crate::worker_selection::select_worker;
use crate::{mix, Micros, Session, WorkerId};
use chunked_scan::ScanJob;
use pipitlever_membership::record::digest;
use state_transfer::StateTransfer;
use std::collections::{BTreeMap, VecDeque};

mod chunked_scan;
mod messages;
mod pools;
mod state_transfer;

pub use pools::{MoveCause, PlacementCounters, Pool, PoolState, WorkerSettings};

/// What a node keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// A request waits no longer than this for word of its session, in microseconds.
    pub lookup_timeout: Micros,
    /// Sessions that it remembers, at the most.
    pub max_sessions: usize,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// It has what it is to remember.
    pub is_bootstrapped: bool,
}

/// What is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionKey {
    /// A session, by what its client shows.
    Session(u64),
    /// A keyed request that has come to this worker for the first time: its repeats go there too,
    /// wherever its session goes meanwhile.
    IdempotencyKey(u64, WorkerId),
}

/// Keys are the odd ones among what is remembered.
const KEY: u64 = 1;
/// A key is remembered for so long, in seconds: longer than any window in which its repeats count
/// as such.
const KEYS: u32 = 600;

impl SessionKey {
    /// What stands for it in a pool, and where it is to be if nobody knows it.
    fn id(self, pool: u64) -> (Session, Option<WorkerId>) {
        match self {
            SessionKey::Session(shown) => (mix(pool, shown) & !KEY, None),
            SessionKey::IdempotencyKey(shown, at) => (mix(pool, shown) | KEY, Some(at)),
        }
    }
}

/// Where a request's session lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// There.
    Worker(WorkerId),
    /// It is being asked for: [`Node::take_found`] will say.
    Pending,
    /// Nowhere: no worker takes it now.
    Unavailable,
}

/// Sessions of other nodes' clients alone, and those that nobody wanted for so long, are asked for
/// again; in seconds.
const CACHED: u32 = 60;
/// How often a part of what is remembered is looked through for what is idle, in microseconds; and
/// how many parts there are. Whether a session is this node's to remember takes some time to find
/// out, and requests wait meanwhile.
const SWEEP: Micros = 1_000_000;
const PARTS: u64 = 64;

/// The node.
#[derive(Clone, Debug)]
pub struct SessionDirectory {
    name: String,
    /// Stands for it, where two nodes place something in one second.
    by: u16,
    settings: DirectorySettings,
    time: HybridClock,
    version: u16,
    table: PlacementTable,
    pools: Vec<PoolState>,
    /// Those that remember sessions, and those that will once they have come.
    homes: ReplicaSet,
    coming: ReplicaSet,
    questions: PendingLookups,
    owed: UnacknowledgedUpdates,
    fill: StateTransfer,
    jobs: VecDeque<ScanJob>,
    next_piece: Micros,
    next_sweep: Micros,
    swept: u64,
    out: Vec<(String, Vec<u8>)>,
    found: Vec<(u64, Resolution)>,
}

impl SessionDirectory {
    /// One that has just started, at this date. `token` stands for this start of it.
    pub fn new(
        name: &str,
        settings: DirectorySettings,
        pools: Vec<Pool>,
        unix_s: u32,
        token: u64,
        now: Micros,
    ) -> SessionDirectory {
        let mut node = SessionDirectory {
            name: name.to_owned(),
            by: digest(name.as_bytes()) as u16,
            settings,
            time: HybridClock::new(unix_s, now),
            version: 0,
            table: PlacementTable::new(settings.max_sessions, now),
            pools: Vec::new(),
            homes: ReplicaSet::default(),
            coming: ReplicaSet::default(),
            questions: PendingLookups::default(),
            owed: UnacknowledgedUpdates::default(),
            fill: StateTransfer::new(token, now),
            jobs: VecDeque::new(),
            next_piece: now,
            next_sweep: now + SWEEP,
            swept: 0,
            out: Vec::new(),
            found: Vec::new(),
        };
        node.set_pools(now, 0, pools);
        node
    }

    /// Another version, or another file, is in force. What is known of a pool that stays, by
    /// whatever name it went, goes on.
    pub fn set_pools(&mut self, now: Micros, version: u64, pools: Vec<Pool>) {
        self.version = version as u16;
        let before = std::mem::take(&mut self.pools);
        let state = |pool: Pool| PoolState::new(pool, &before, now);
        self.pools = pools.into_iter().map(state).collect();
    }

    /// Where a request's session lives, or its key belongs. `waiting` stands for the request.
    pub fn resolve(
        &mut self,
        now: Micros,
        pool: usize,
        what: SessionKey,
        waiting: u64,
    ) -> Resolution {
        let Some((session, at)) = self.pools.get(pool).map(|p| what.id(p.id)) else {
            return Resolution::Unavailable;
        };
        if !self.fill.ready() {
            // It knows nobody yet whom it could ask.
            return Resolution::Unavailable;
        }
        if let Some((placement, fresh)) = self.table.get(now, session) {
            self.table.touch(now, session);
            // Its homes are told of each move. Others hold what they have against them where they
            // have not of late.
            if fresh {
                return self.settle(now, pool, session, placement);
            }
            self.table.mark_checked(now, session);
            if self.homes.is_replica(session, &self.name) {
                self.ask(now, session, 0);
                return self.settle(now, pool, session, placement);
            }
        }
        if self.questions.add_waiter(session, waiting) {
            return Resolution::Pending;
        }
        let homes = self.homes.ranked(session, LOOKUP_FANOUT);
        let first = homes
            .iter()
            .take(REPLICATION_FACTOR)
            .filter(|h| **h != self.name)
            .count();
        let others: Vec<&str> = homes.into_iter().filter(|h| *h != self.name).collect();
        let until = now + self.settings.lookup_timeout;
        let asked = match others.is_empty() {
            true => None,
            false => {
                self.questions
                    .start(pool, (session, at), &others, first, [now, until], waiting)
            }
        };
        match asked {
            Some(ticket) => {
                self.ask(now, session, ticket);
                Resolution::Pending
            }
            None => self.known(now, pool, session, at),
        }
    }

    /// Where a session lives that nobody is asked for, or of which nobody has said anything.
    fn known(
        &mut self,
        now: Micros,
        pool: usize,
        session: Session,
        at: Option<WorkerId>,
    ) -> Resolution {
        match self.table.get(now, session) {
            Some((placement, _)) => self.settle(now, pool, session, placement),
            None => self.place(now, pool, session, at),
        }
    }

    /// The same by what is known here alone, without a word to anybody: for a process that another
    /// one of its node has taken over from. Of what it doesn't know it says nothing: whoever comes
    /// again finds the other process.
    pub fn resolve_locally(&self, now: Micros, pool: usize, what: SessionKey) -> Resolution {
        let Some((session, at)) = self.pools.get(pool).map(|p| what.id(p.id)) else {
            return Resolution::Unavailable;
        };
        let held = self.table.get(now, session).map(|(p, _)| p.worker).or(at);
        let stays = held.filter(|worker| self.pools[pool].leaves(now, *worker).is_none());
        stays.map_or(Resolution::Unavailable, Resolution::Worker)
    }

    fn ask(&mut self, now: Micros, session: Session, ticket: u32) {
        let message = Message::LookupRequest {
            time: self.time.read(now),
            ticket,
            session,
        }
        .encode();
        let others = self
            .homes
            .ranked(session, LOOKUP_FANOUT)
            .into_iter()
            .filter(|h| *h != self.name);
        self.out
            .extend(others.map(|home| (home.to_owned(), message.clone())));
    }

    /// A session that nobody knows.
    fn place(
        &mut self,
        now: Micros,
        pool: usize,
        session: Session,
        at: Option<WorkerId>,
    ) -> Resolution {
        let there = at.filter(|at| self.pools[pool].position(*at).is_some());
        let chosen = there.or_else(|| self.choose(pool, session, None));
        let Some(worker) = chosen else {
            return Resolution::Unavailable;
        };
        let birth = Timestamp {
            seconds: self.time.read(now),
            node: self.by,
        };
        let placement = Placement {
            worker,
            created: birth,
            moves: 0,
            version: self.version,
        };
        self.pools[pool].moves.placed += u64::from(session & KEY == 0);
        self.table.merge(now, session, placement, 0);
        self.tell(now, session, placement);
        Resolution::Worker(worker)
    }

    /// A worker that is well, or any that takes sessions where none of these is.
    fn choose(&self, pool: usize, session: Session, not: Option<WorkerId>) -> Option<WorkerId> {
        let state = &self.pools[pool];
        let well = select_worker(session, &state.workers, |w| {
            Some(w) == not || state.is_out(w)
        });
        well.or_else(|| select_worker(session, &state.workers, |w| Some(w) == not))
    }

    /// Where a session is that lives there: there, unless it has to move.
    fn settle(
        &mut self,
        now: Micros,
        pool: usize,
        session: Session,
        placement: Placement,
    ) -> Resolution {
        let state = &mut self.pools[pool];
        let cause = match state.leaves(now, placement.worker) {
            None => return Resolution::Worker(placement.worker),
            // Under a version that this node has not taken yet there is such a worker. It is, any
            // moment; if not, its side goes on.
            Some(MoveCause::Removed) if placement.is_newer_than(self.version) => {
                return match state.unknown(now, placement.worker) {
                    true => Resolution::Unavailable,
                    false => self
                        .choose(pool, session, None)
                        .map_or(Resolution::Unavailable, Resolution::Worker),
                };
            }
            Some(cause) => cause,
        };
        self.shift(now, pool, session, placement, cause)
            .map_or(Resolution::Unavailable, Resolution::Worker)
    }

    /// It moves, if there is anywhere to go.
    fn shift(
        &mut self,
        now: Micros,
        pool: usize,
        session: Session,
        from: Placement,
        cause: MoveCause,
    ) -> Option<WorkerId> {
        let Some(worker) = self.choose(pool, session, Some(from.worker)) else {
            // A worker that failed is better than none.
            return (cause != MoveCause::Removed).then_some(from.worker);
        };
        let placement = from.moved(worker, self.version);
        self.pools[pool].moves.count(cause);
        self.table.merge(now, session, placement, 0);
        self.tell(now, session, placement);
        Some(worker)
    }

    /// A run of a session never began, as its worker could not be reached: it moves at once. Where
    /// to, if anywhere else.
    pub fn handle_unreachable(
        &mut self,
        now: Micros,
        pool: usize,
        what: SessionKey,
        worker: WorkerId,
    ) -> Option<WorkerId> {
        let (session, _) = what.id(self.pools.get(pool)?.id);
        match self.table.get(now, session) {
            Some((p, _)) if p.worker == worker => self
                .shift(now, pool, session, p, MoveCause::Unreachable)
                .filter(|w| *w != worker),
            // It has moved meanwhile.
            Some((p, _)) => Some(p.worker),
            None => self.choose(pool, session, Some(worker)),
        }
    }

    /// Its homes hear where it lives, and those that will be its homes.
    fn tell(&mut self, now: Micros, session: Session, placement: Placement) {
        let mut to = self.homes.ranked(session, REPLICATION_FACTOR);
        to.extend(
            self.coming
                .ranked(session, REPLICATION_FACTOR)
                .into_iter()
                .filter(|n| !self.homes.is_replica(session, n)),
        );
        let to: Vec<String> = to
            .into_iter()
            .filter(|n| *n != self.name)
            .map(str::to_owned)
            .collect();
        self.tell_these(now, session, placement, &to);
        self.owed.track(now, session, to);
    }

    fn tell_these(&mut self, now: Micros, session: Session, placement: Placement, to: &[String]) {
        let entries = vec![(session, placement, 0)];
        let message = Message::Update {
            time: self.time.read(now),
            entries,
            ack_requested: true,
        }
        .encode();
        self.out
            .extend(to.iter().map(|n| (n.clone(), message.clone())));
    }

    /// What homes have not said that they have, in bunches.
    fn tell_again(&mut self, now: Micros) {
        let mut owed: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
        for (session, homes) in self.owed.take_retransmissions(now) {
            let Some((placement, _)) = self.table.get(now, session) else {
                continue;
            };
            homes
                .into_iter()
                .for_each(|home| owed.entry(home).or_default().push((session, placement, 0)));
        }
        let time = self.time.read(now);
        for (home, entries) in owed {
            let bunches = entries.chunks(MAX_ENTRIES).map(<[Entry]>::to_vec);
            let messages = bunches.map(|entries| {
                Message::Update {
                    time,
                    entries,
                    ack_requested: true,
                }
                .encode()
            });
            self.out
                .extend(messages.map(|message| (home.clone(), message)));
        }
    }

    /// These workers of a pool are left out, as their runs fail.
    pub fn set_ejected_workers(&mut self, now: Micros, pool: usize, out: &[WorkerId]) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.left_out(now, out);
        }
    }

    /// Time has passed.
    pub fn handle_wakeup(&mut self, now: Micros) {
        for settled in self.questions.take_expired(now) {
            self.settled(now, settled);
        }
        for (ticket, session, homes) in self.questions.take_retries(now) {
            let message = Message::LookupRequest {
                time: self.time.read(now),
                ticket,
                session,
            }
            .encode();
            self.out
                .extend(homes.into_iter().map(|home| (home, message.clone())));
        }
        self.tell_again(now);
        self.filling(now);
        self.pieces(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.swept = (self.swept + 1) % PARTS;
            let part = self.swept;
            let (homes, coming, name) = (&self.homes, &self.coming, &self.name);
            let idle = self.pools.iter().map(|p| p.idle).max().unwrap_or_default();
            self.table.sweep(now, |session, seconds| {
                let idle = if session & KEY != 0 { KEYS } else { idle };
                let other = (session >> 32) % PARTS != part;
                let mine = || homes.is_replica(session, name) || coming.is_replica(session, name);
                other || seconds < CACHED || seconds < idle && mine()
            });
        }
    }

    /// When it wants to be woken.
    pub fn next_wakeup(&self) -> Micros {
        let piece = (!self.jobs.is_empty()).then_some(self.next_piece);
        let all = [
            self.questions.next_deadline(),
            self.owed.next_deadline(),
            piece,
            self.fill.next(),
        ];
        all.into_iter().flatten().fold(self.next_sweep, Micros::min)
    }

    /// What is to be sent.
    pub fn take_messages(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What became of requests that waited.
    pub fn take_resolutions(&mut self) -> Vec<(u64, Resolution)> {
        std::mem::take(&mut self.found)
    }

    /// Whether it knows whom to ask: before that no session is to be had here.
    pub fn is_ready(&self) -> bool {
        self.fill.ready()
    }

    /// Whether it has what it is to remember.
    pub fn is_bootstrapped(&self) -> bool {
        self.fill.done()
    }

    /// What it remembers.
    pub fn table(&self) -> &PlacementTable {
        &self.table
    }

    /// The pools.
    pub fn pools(&self) -> &[PoolState] {
        &self.pools
    }

    /// What is known here of a session, for tests and for operators.
    pub fn placement(&self, now: Micros, pool: usize, what: SessionKey) -> Option<Placement> {
        self.table
            .get(now, what.id(self.pools.get(pool)?.id).0)
            .map(|(p, _)| p)
    }

    /// Sessions by worker, in one pool.
    pub fn sessions_by_worker(&self, pool: usize) -> BTreeMap<String, usize> {
        let Some(state) = self.pools.get(pool) else {
            return BTreeMap::new();
        };
        let count = |id| {
            self.table
                .sessions_by_worker()
                .get(&id)
                .copied()
                .unwrap_or_default()
        };
        state
            .names
            .iter()
            .map(|(id, name)| (name.clone(), count(*id)))
            .collect()
    }
}

#[cfg(test)]
mod tests;
