//! The node's part in sessions that stay with their workers: requests ask it where theirs lives,
//! and what `pipitlever-affinity` decides travels in the fleet's datagrams. Only with
//! `[pool.affinity]`.

use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::workers::routes::PoolSettings;
use async_channel::Sender;
use pipitlever_load_balancing::pool::MemberMode;
use pipitlever_membership::Membership;
use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, PlacementCounters, Pool, Resolution, SessionDirectory, SessionKey,
    WorkerSettings,
};
use pipitlever_session_affinity::message::Message;
use pipitlever_session_affinity::WorkerId;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// A request waits no longer than this for word of its session, in microseconds.
const WAIT: i64 = 60_000;
/// Moves are named in the log so often at most, in microseconds.
const NOTED: i64 = 1_000_000;
/// SessionAffinity that a node remembers, at the most: they take some 25 bytes each.
const MOST: usize = 1 << 20;

/// What the view tells of a node: it takes part in this, and it has what it is to remember.
pub const TAKES_PART: u8 = 1;
/// As above.
pub const FILLED: u8 = 2;

/// The part.
pub struct SessionAffinity {
    node: RefCell<SessionDirectory>,
    /// The pools as they were last read, with each one's place among the state's.
    files: RefCell<Vec<(usize, PoolSettings)>>,
    generation: Cell<u64>,
    seen: Cell<(u64, bool)>,
    waiting: RefCell<HashMap<u64, Sender<Resolution>>>,
    /// Moves as they were last told of in the log, and when.
    told: RefCell<(Vec<PlacementCounters>, i64)>,
    last: Cell<u64>,
    /// Another process of this node is the member: nothing is said or heard here any more.
    paused: Cell<bool>,
    state: SharedState,
}

fn files(state: &SharedState) -> Vec<(usize, PoolSettings)> {
    let state = state.borrow();
    let all = state
        .pools
        .settings()
        .enumerate()
        .filter(|(_, f)| f.sessions.is_some());
    all.map(|(i, f)| (i, f.clone())).collect()
}

fn pool(file: &PoolSettings) -> Option<Pool> {
    let sessions = file.sessions.as_ref()?;
    let workers = file
        .members
        .iter()
        .zip(&file.labels)
        .map(|(m, label)| WorkerSettings {
            name: label.name.clone(),
            weight: m.weight,
            // Who stands by for others has no sessions of his own.
            accepts_sessions: m.mode == MemberMode::Active && !m.is_standby,
            is_draining: m.mode == MemberMode::Draining,
        });
    let (idle, patience, linger) = (sessions.idle_s, sessions.patience, sessions.linger);
    Some(Pool {
        name: file.name.clone(),
        previous_names: file.was.clone(),
        workers: workers.collect(),
        idle_timeout_seconds: idle,
        failure_grace: patience,
        drain_grace: linger,
    })
}

impl SessionAffinity {
    /// Begins, if sessions of any pool stay.
    pub fn begin(state: &SharedState, name: &str, token: u64, now: i64) -> Option<SessionAffinity> {
        let files = files(state);
        if files.is_empty() {
            return None;
        }
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_secs() as u32);
        let pools = files.iter().filter_map(|(_, f)| pool(f)).collect();
        let node = SessionDirectory::new(
            name,
            DirectorySettings {
                lookup_timeout: WAIT,
                max_sessions: MOST,
            },
            pools,
            unix,
            token,
            now,
        );
        Some(SessionAffinity {
            node: RefCell::new(node),
            files: RefCell::new(files),
            generation: Cell::new(0),
            seen: Cell::new((0, false)),
            waiting: RefCell::default(),
            told: RefCell::default(),
            last: Cell::new(0),
            paused: Cell::new(false),
            state: state.clone(),
        })
    }

    /// What a member said, if it is about sessions.
    pub fn heard(&self, now: i64, from: &str, bytes: &[u8]) -> bool {
        let message = Message::decode(bytes);
        message
            .inspect(|message| self.node.borrow_mut().handle_message(now, from, message))
            .is_some()
    }

    /// Takes over another version or file, if there is one.
    fn renew(&self, node: &mut SessionDirectory, now: i64, version: u64) {
        let generation = self
            .state
            .try_borrow()
            .map_or(self.generation.get(), |state| state.pools.generation);
        if self.generation.replace(generation) != generation {
            let files = files(&self.state);
            node.set_pools(
                now,
                version,
                files.iter().filter_map(|(_, f)| pool(f)).collect(),
            );
            *self.files.borrow_mut() = files;
        }
    }

    /// Does what is due, and says what comes of it.
    pub fn turn(&self, fleet: &mut Membership, now: i64, version: u64) {
        let mut node = self.node.borrow_mut();
        self.renew(&mut node, now, version);
        let seen = (fleet.digest(), fleet.is_converged());
        if self.seen.replace(seen) != seen {
            node.handle_membership_change(now, peers(fleet), seen.1);
        }
        node.handle_wakeup(now);
        for message in node.take_messages() {
            fleet.send_application_message(&message.recipient, message.payload);
        }
        let mut waiting = self.waiting.borrow_mut();
        for resolved in node.take_resolutions() {
            if let Some(sender) = waiting.remove(&resolved.request) {
                // Whoever waited may have been given up.
                let _ = sender.try_send(resolved.resolution);
            }
        }
    }

    /// Which workers fail here. One that is slow keeps its sessions.
    pub fn look(&self, now: i64) {
        let Ok(mut state) = self.state.try_borrow_mut() else {
            return;
        };
        let mut node = self.node.borrow_mut();
        for (i, (pool, file)) in self.files.borrow().iter().enumerate() {
            let out: Vec<SocketAddr> = state.pools.pool(*pool).failing_members().copied().collect();
            let placements = &node.pools()[i];
            let id = |at: &SocketAddr| {
                placements.id(file.members.iter().position(|m| m.address == *at)?)
            };
            let out: Vec<WorkerId> = out.iter().filter_map(id).collect();
            node.set_ejected_workers(now, i, &out);
        }
    }

    /// Says in the log what has moved since it last did, and why; a line a second at the most.
    pub fn note(&self, now: i64) {
        let node = self.node.borrow();
        let mut told = self.told.borrow_mut();
        let moves: Vec<PlacementCounters> = node.pools().iter().map(|p| p.counters).collect();
        if now < told.1 + NOTED {
            return;
        }
        for (i, (placements, new)) in node.pools().iter().zip(&moves).enumerate() {
            let old = told.0.get(i).copied().unwrap_or_default();
            let since = |of: fn(&PlacementCounters) -> u64| of(new).saturating_sub(of(&old));
            let (removed, failed) = (since(|m| m.removed), since(|m| m.failed));
            let unreachable = since(|m| m.unreachable);
            if removed + failed + unreachable > 0 {
                log(&format!(
                    "sessions: pool={} moved: removed={removed} failed={failed} unreachable={unreachable}",
                    placements.pool.name
                ));
                told.1 = now;
            }
        }
        told.0 = moves;
    }

    /// When it wants to be woken.
    pub fn due(&self) -> i64 {
        self.node.borrow().next_wakeup()
    }

    /// Flags that travel with the view.
    pub fn told(&self) -> u8 {
        TAKES_PART
            | if self.node.borrow().is_bootstrapped() {
                FILLED
            } else {
                0
            }
    }

    fn number(&self, pool: usize) -> Option<usize> {
        self.files.borrow().iter().position(|(p, _)| *p == pool)
    }

    /// Begins to look for the worker of a session: it is known, or comes by the channel.
    pub fn want(
        &self,
        now: i64,
        version: u64,
        pool: usize,
        looked: SessionLookup,
    ) -> Result<Option<SocketAddr>, Waiting> {
        let mut node = self.node.borrow_mut();
        self.renew(&mut node, now, version);
        let Some((number, what)) = self
            .number(pool)
            .and_then(|i| Some((i, self.what(&node, i, looked)?)))
        else {
            return Ok(None);
        };
        if self.paused.get() {
            let found = node.resolve_locally(now, number, what);
            return Ok(self.address(&node, number, found));
        }
        self.last.set(self.last.get() + 1);
        match node.resolve(now, number, what, self.last.get()) {
            Resolution::Pending => {
                let (sender, receiver) = async_channel::bounded(1);
                self.waiting.borrow_mut().insert(self.last.get(), sender);
                Err(Waiting {
                    number,
                    what,
                    receiver,
                })
            }
            found => Ok(self.address(&node, number, found)),
        }
    }

    fn worker(&self, node: &SessionDirectory, number: usize, at: SocketAddr) -> Option<WorkerId> {
        let position = self.files.borrow()[number]
            .1
            .members
            .iter()
            .position(|m| m.address == at);
        node.pools()[number].id(position?)
    }

    fn what(
        &self,
        node: &SessionDirectory,
        number: usize,
        looked: SessionLookup,
    ) -> Option<SessionKey> {
        match looked {
            SessionLookup::Session(shown) => Some(SessionKey::Session(shown)),
            SessionLookup::Key(shown, at) => Some(SessionKey::IdempotencyKey(
                shown,
                self.worker(node, number, at)?,
            )),
        }
    }

    /// Where a worker is.
    fn address(
        &self,
        node: &SessionDirectory,
        number: usize,
        found: Resolution,
    ) -> Option<SocketAddr> {
        let Resolution::Worker(worker) = found else {
            return None;
        };
        let at = node.pools()[number].position(worker)?;
        self.files.borrow()[number]
            .1
            .members
            .get(at)
            .map(|m| m.address)
    }

    /// What came for a request that waited; where nothing will any more, by what is known here.
    pub async fn wait(&self, now: impl Fn() -> i64, waiting: Waiting) -> Option<SocketAddr> {
        let Waiting {
            number,
            what,
            receiver,
        } = waiting;
        let came = receiver.recv().await;
        let node = self.node.borrow();
        let found = came.unwrap_or_else(|_| node.resolve_locally(now(), number, what));
        self.address(&node, number, found)
    }

    /// Another process of this node is the member from now on, or is no more. Nobody waits for word
    /// that can't come.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
        self.waiting.borrow_mut().clear();
    }

    /// A run could not begin at a session's worker: where it goes instead, if anywhere.
    pub fn unreachable(
        &self,
        now: i64,
        pool: usize,
        looked: SessionLookup,
        at: SocketAddr,
    ) -> Option<SocketAddr> {
        let mut node = self.node.borrow_mut();
        let number = self.number(pool)?;
        let worker = self.worker(&node, number, at)?;
        let what = self.what(&node, number, looked)?;
        let next = node.handle_unreachable(now, number, what, worker)?;
        self.address(&node, number, Resolution::Worker(next))
    }

    /// Counts and what is remembered, for the door's figures.
    pub fn figures(&self, text: &mut String) {
        use std::fmt::Write;
        let node = self.node.borrow();
        let sum = |of: fn(&PlacementCounters) -> u64| {
            node.pools().iter().map(|p| of(&p.counters)).sum::<u64>()
        };
        let counts = [
            ("placed", sum(|m| m.placed)),
            ("moved_removed", sum(|m| m.removed)),
            ("moved_failed", sum(|m| m.failed)),
            ("moved_unreachable", sum(|m| m.unreachable)),
            ("turned_down", node.table().rejected),
        ];
        for (name, value) in counts {
            // A string takes all that is written to it.
            let _ = writeln!(text, "edge.sessions.{name}:{value}|c");
        }
        let _ = writeln!(text, "edge.sessions.remembered:{}|g", node.table().len());
    }

    /// How it stands, for the door.
    pub fn view(&self) -> Value {
        let node = self.node.borrow();
        let pools = node.pools().iter().enumerate().map(|(i, placements)| {
            let m = placements.counters;
            json!({
                "pool": placements.pool.name, "workers": node.sessions_by_worker(i), "placed": m.placed, "moved_removed": m.removed,
                "moved_failed": m.failed, "moved_unreachable": m.unreachable,
            })
        });
        let (table, pools) = (node.table(), pools.collect::<Vec<_>>());
        json!({
            "filled": node.is_bootstrapped(), "remembered": table.len(), "bytes": table.bytes(),
            "turned_down": table.rejected, "pools": pools,
        })
    }
}

/// What a request looks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionLookup {
    /// Its session.
    Session(u64),
    /// Where a keyed one went first; and where its session lives now, for one that comes for the
    /// first time.
    Key(u64, SocketAddr),
}

/// A request that waits for word of its session.
pub struct Waiting {
    number: usize,
    what: SessionKey,
    receiver: async_channel::Receiver<Resolution>,
}

/// The others that take part. One that is suspected still does.
fn peers(fleet: &Membership) -> Vec<Peer> {
    let there = fleet
        .members()
        .iter()
        .filter(|(name, m)| m.record.state.is_active() && *name != fleet.local_name());
    let flags = |payload: &[u8]| payload.get(8).copied().unwrap_or(0);
    let peer = |(name, m): (&str, &pipitlever_membership::members::Member)| {
        let flags = flags(&m.record.details.payload);
        (flags & TAKES_PART != 0).then(|| Peer {
            name: name.to_owned(),
            is_bootstrapped: flags & FILLED != 0,
        })
    };
    there.filter_map(peer).collect()
}
