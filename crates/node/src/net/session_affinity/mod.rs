//! Driver of session affinity: resolves the workers of sessions for runs, and exchanges messages of
//! `pipitlever-session-affinity` as application messages of the fleet. Runs only if a pool has a
//! section `[pool.affinity]`.

mod pools;
mod report;

use crate::net::event_loop::SharedState;
use async_channel::{Receiver, Sender};
use pipitlever_membership::members::Member;
use pipitlever_membership::Membership;
use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Resolution, SessionDirectory, SessionKey,
};
use pipitlever_session_affinity::message::Message;
use pipitlever_session_affinity::WorkerId;
use pools::{affinity_pools, directory_pools, AffinityPool};
use report::LoggedMoves;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Timeout of the resolution of a session, in microseconds.
const LOOKUP_TIMEOUT: i64 = 60_000;
/// Limit on sessions that a node stores, with about 25 bytes each.
const MAX_SESSIONS: usize = 1 << 20;
/// Offset of the flags in a member's payload, in bytes: they follow the active config version.
const FLAGS_OFFSET: usize = 8;
/// Flag in the payload of a member with session affinity, which stores a replica of entries of the
/// session directory.
const HAS_REPLICA: u8 = 1;
/// Flag in the payload of a member that has received all entries of which it is a replica.
const IS_BOOTSTRAPPED: u8 = 2;

/// The membership view of the last update.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LastView {
    digest: u64,
    is_converged: bool,
}

/// A lookup of a run's worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionLookup {
    /// The worker of the session with this digest.
    Session(u64),
    /// The worker of the first attempt with this idempotency key. The address is that of the
    /// session's current worker, which is used if this is the first attempt.
    Key(u64, SocketAddr),
}

/// A lookup whose resolution is pending.
pub struct PendingLookup {
    /// Index among the pools with session affinity.
    affinity_index: usize,
    key: SessionKey,
    resolution: Receiver<Resolution>,
}

/// Connects a node's directory of sessions to the membership and to the pools.
pub struct SessionAffinityDriver {
    directory: RefCell<SessionDirectory>,
    pools: RefCell<Vec<AffinityPool>>,
    /// Generation of the configuration that `pools` was read from.
    generation: Cell<u64>,
    last_view: Cell<LastView>,
    /// Pending lookups, by request number.
    pending: RefCell<HashMap<u64, Sender<Resolution>>>,
    /// Number of the last request to the directory.
    last_request: Cell<u64>,
    logged_moves: RefCell<LoggedMoves>,
    /// Whether the successor process of a hot restart is the fleet member in place of this process,
    /// so that this process can neither send nor receive messages.
    is_paused: Cell<bool>,
    state: SharedState,
}

impl SessionAffinityDriver {
    /// Starts the driver; none if no pool has session affinity. `token` is a random number that
    /// identifies this start of the process in state transfers, and `now` is in microseconds.
    pub fn start(
        state: &SharedState,
        node_name: &str,
        token: u64,
        now: i64,
    ) -> Option<SessionAffinityDriver> {
        let pools = affinity_pools(state);
        if pools.is_empty() {
            return None;
        }
        let unix_seconds = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_secs() as u32);
        let settings = DirectorySettings {
            lookup_timeout: LOOKUP_TIMEOUT,
            max_sessions: MAX_SESSIONS,
        };
        let directory = SessionDirectory::new(
            node_name,
            settings,
            directory_pools(&pools),
            unix_seconds,
            token,
            now,
        );
        Some(SessionAffinityDriver {
            directory: RefCell::new(directory),
            pools: RefCell::new(pools),
            generation: Cell::new(0),
            last_view: Cell::new(LastView {
                digest: 0,
                is_converged: false,
            }),
            pending: RefCell::default(),
            last_request: Cell::new(0),
            logged_moves: RefCell::default(),
            is_paused: Cell::new(false),
            state: state.clone(),
        })
    }

    /// Handles a member's message. Returns false if it is not a message of session affinity. `now`
    /// is in microseconds.
    pub fn handle_message(&self, now: i64, sender: &str, bytes: &[u8]) -> bool {
        let Some(message) = Message::decode(bytes) else {
            return false;
        };
        self.directory
            .borrow_mut()
            .handle_message(now, sender, &message);
        true
    }

    /// Updates the pools if the configuration has changed.
    fn update_pools(&self, directory: &mut SessionDirectory, now: i64, version: u64) {
        let generation = self
            .state
            .try_borrow()
            .map_or(self.generation.get(), |state| state.pools.generation);
        if self.generation.replace(generation) != generation {
            let pools = affinity_pools(&self.state);
            directory.set_pools(now, version, directory_pools(&pools));
            *self.pools.borrow_mut() = pools;
        }
    }

    /// Passes the membership view and the time to the directory, sends the directory's messages,
    /// and completes pending lookups. `now` is in microseconds, and `version` is the active config
    /// version.
    pub fn update(&self, fleet: &mut Membership, now: i64, version: u64) {
        let mut directory = self.directory.borrow_mut();
        self.update_pools(&mut directory, now, version);
        let last_view = LastView {
            digest: fleet.digest(),
            is_converged: fleet.is_converged(),
        };
        if self.last_view.replace(last_view) != last_view {
            directory.handle_membership_change(now, peers(fleet), last_view.is_converged);
        }
        directory.handle_wakeup(now);
        for message in directory.take_messages() {
            fleet.send_application_message(&message.recipient, message.payload);
        }
        let mut pending = self.pending.borrow_mut();
        for resolved in directory.take_resolutions() {
            if let Some(sender) = pending.remove(&resolved.request) {
                // The run may have been abandoned.
                let _ = sender.try_send(resolved.resolution);
            }
        }
    }

    /// Passes the workers that this node observes as failing to the directory. Workers that are
    /// merely slow keep their sessions. `now` is in microseconds.
    pub fn update_ejected_workers(&self, now: i64) {
        let Ok(mut state) = self.state.try_borrow_mut() else {
            return;
        };
        let mut directory = self.directory.borrow_mut();
        for (i, pool) in self.pools.borrow().iter().enumerate() {
            let pool_state = &directory.pools()[i];
            let members = &pool.settings.members;
            let worker_id = |address: &SocketAddr| {
                pool_state.worker_id_at(members.iter().position(|m| m.address == *address)?)
            };
            let ejected: Vec<WorkerId> = state
                .pools
                .pool(pool.index)
                .failing_members()
                .filter_map(worker_id)
                .collect();
            directory.set_ejected_workers(now, i, &ejected);
        }
    }

    /// When the next update is due, in microseconds.
    pub fn next_wakeup(&self) -> i64 {
        self.directory.borrow().next_wakeup()
    }

    /// The flags in this node's payload.
    pub fn flags(&self) -> u8 {
        if self.directory.borrow().is_bootstrapped() {
            HAS_REPLICA | IS_BOOTSTRAPPED
        } else {
            HAS_REPLICA
        }
    }

    /// The index among the pools with session affinity of the pool that has the index `pool_index`
    /// among the node's pools.
    fn affinity_index(&self, pool_index: usize) -> Option<usize> {
        let pools = self.pools.borrow();
        pools.iter().position(|pool| pool.index == pool_index)
    }

    /// Resolves a session's worker. `Ok` is the result if it is known at once, and `Err` is the
    /// pending lookup to pass to [`SessionAffinityDriver::wait_for_resolution`]; it is no failure.
    ///
    /// `Ok(None)` means that the session has no worker now: the pool has no session affinity, the
    /// worker given with an idempotency key is not in the pool, no worker accepts the session, or
    /// the driver is paused and the local replica has no entry of the session.
    ///
    /// `version` is the active config version, `now` is in microseconds, and `pool_index` is the
    /// index among the node's pools.
    pub fn resolve(
        &self,
        now: i64,
        version: u64,
        pool_index: usize,
        lookup: SessionLookup,
    ) -> Result<Option<SocketAddr>, PendingLookup> {
        let mut directory = self.directory.borrow_mut();
        self.update_pools(&mut directory, now, version);
        let Some(affinity_index) = self.affinity_index(pool_index) else {
            return Ok(None);
        };
        let Some(key) = self.session_key(&directory, affinity_index, lookup) else {
            return Ok(None);
        };
        if self.is_paused.get() {
            let resolution = directory.resolve_locally(now, affinity_index, key);
            return Ok(self.worker_address(&directory, affinity_index, resolution));
        }
        let request = self.last_request.get() + 1;
        self.last_request.set(request);
        match directory.resolve(now, affinity_index, key, request) {
            Resolution::Pending => {
                let (sender, resolution) = async_channel::bounded(1);
                self.pending.borrow_mut().insert(request, sender);
                Err(PendingLookup {
                    affinity_index,
                    key,
                    resolution,
                })
            }
            resolution => Ok(self.worker_address(&directory, affinity_index, resolution)),
        }
    }

    fn worker_id(
        &self,
        directory: &SessionDirectory,
        affinity_index: usize,
        address: SocketAddr,
    ) -> Option<WorkerId> {
        let pools = self.pools.borrow();
        let mut members = pools[affinity_index].settings.members.iter();
        let position = members.position(|member| member.address == address)?;
        directory.pools()[affinity_index].worker_id_at(position)
    }

    fn session_key(
        &self,
        directory: &SessionDirectory,
        affinity_index: usize,
        lookup: SessionLookup,
    ) -> Option<SessionKey> {
        match lookup {
            SessionLookup::Session(digest) => Some(SessionKey::Session(digest)),
            SessionLookup::Key(digest, worker) => {
                let worker = self.worker_id(directory, affinity_index, worker)?;
                Some(SessionKey::IdempotencyKey(digest, worker))
            }
        }
    }

    fn worker_address(
        &self,
        directory: &SessionDirectory,
        affinity_index: usize,
        resolution: Resolution,
    ) -> Option<SocketAddr> {
        let Resolution::Worker(worker) = resolution else {
            return None;
        };
        let position = directory.pools()[affinity_index].worker_index(worker)?;
        let pools = self.pools.borrow();
        let member = pools[affinity_index].settings.members.get(position)?;
        Some(member.address)
    }

    /// Waits for a pending lookup. If the lookup is dropped, the local replica resolves the
    /// session.
    pub async fn wait_for_resolution(
        &self,
        now: impl Fn() -> i64,
        lookup: PendingLookup,
    ) -> Option<SocketAddr> {
        let PendingLookup {
            affinity_index,
            key,
            resolution,
        } = lookup;
        let received = resolution.recv().await;
        let directory = self.directory.borrow();
        let resolution =
            received.unwrap_or_else(|_| directory.resolve_locally(now(), affinity_index, key));
        self.worker_address(&directory, affinity_index, resolution)
    }

    /// Sets whether the driver is paused, and drops pending lookups, which the local replica then
    /// resolves. The driver is paused while the successor process of a hot restart is the fleet
    /// member in place of this process.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.set(is_paused);
        self.pending.borrow_mut().clear();
    }

    /// Moves a session away from a worker that could not be reached. Returns its new worker.
    /// `pool_index` is the index among the node's pools, and `now` is in microseconds.
    pub fn handle_unreachable_worker(
        &self,
        now: i64,
        pool_index: usize,
        lookup: SessionLookup,
        worker: SocketAddr,
    ) -> Option<SocketAddr> {
        let mut directory = self.directory.borrow_mut();
        let affinity_index = self.affinity_index(pool_index)?;
        let worker = self.worker_id(&directory, affinity_index, worker)?;
        let key = self.session_key(&directory, affinity_index, lookup)?;
        let next = directory.handle_unreachable(now, affinity_index, key, worker)?;
        self.worker_address(&directory, affinity_index, Resolution::Worker(next))
    }
}

/// The other members with a directory replica. Suspected members are included: they are still
/// probed and receive gossip.
fn peers(fleet: &Membership) -> Vec<Peer> {
    let local = fleet.local_name();
    let others = fleet
        .members()
        .iter()
        .filter(|(name, member)| member.record.state.is_active() && *name != local);
    let peer = |(name, member): (&str, &Member)| {
        let payload = &member.record.details.payload;
        let flags = payload.get(FLAGS_OFFSET).copied().unwrap_or(0);
        (flags & HAS_REPLICA != 0).then(|| Peer {
            name: name.to_owned(),
            is_bootstrapped: flags & IS_BOOTSTRAPPED != 0,
        })
    };
    others.filter_map(peer).collect()
}
