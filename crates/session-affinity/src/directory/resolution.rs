//! Resolution of sessions to workers: by the local table, by a lookup at the replicas, or by a new
//! placement.

use crate::directory::pools::MoveCause;
use crate::directory::{
    is_idempotency_key, DirectoryKey, OutboundMessage, ResolvedRequest, SessionDirectory,
    SessionKey,
};
use crate::lookup::{LookupNodes, LookupResult, LookupTarget};
use crate::message::{DirectoryEntry, Message};
use crate::placement::Placement;
use crate::replicas::{LOOKUP_FANOUT, REPLICATION_FACTOR};
use crate::timestamp::Timestamp;
use crate::worker_selection::select_worker;
use crate::{Micros, SessionId, WorkerId};

/// Identifier of a lookup without a waiting request, which only verifies a placement.
const VERIFICATION_LOOKUP_ID: u32 = 0;

/// What to do with a session that is not in the local table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IfUnknown {
    /// The session is new: create a placement.
    CreatePlacement,
    /// The session may have a placement that this node has not received: reject the request, which
    /// can be retried. A new placement could move the session to another worker.
    Reject,
}

/// Result of the resolution of a request's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The session is on this worker.
    Worker(WorkerId),
    /// A lookup is in progress; [`SessionDirectory::take_resolutions`] returns its result.
    Pending,
    /// No worker accepts the session now.
    Unavailable,
}

impl Resolution {
    fn from_worker(worker: Option<WorkerId>) -> Resolution {
        worker.map_or(Resolution::Unavailable, Resolution::Worker)
    }
}

impl SessionDirectory {
    /// Resolves the session of a request. `request` identifies the request if the result is
    /// [`Resolution::Pending`].
    pub fn resolve(
        &mut self,
        now: Micros,
        pool: usize,
        key: SessionKey,
        request: u64,
    ) -> Resolution {
        let Some(key) = self.pools.get(pool).map(|state| key.in_pool(state.id)) else {
            return Resolution::Unavailable;
        };
        if !self.is_ready() {
            return Resolution::Unavailable;
        }
        let session = key.session;
        if let Some(known) = self.table.get(now, session) {
            self.table.touch(now, session);
            // A replica receives an update on each move. Other nodes verify their placement if
            // they have not done so recently.
            if known.is_verified {
                return self.apply_placement(now, pool, session, known.placement);
            }
            self.table.mark_verified(now, session);
            if self.replicas.is_replica(session, &self.local_name) {
                self.send_lookup(now, session, VERIFICATION_LOOKUP_ID);
                return self.apply_placement(now, pool, session, known.placement);
            }
        }
        if self.lookups.add_waiter(session, request) {
            return Resolution::Pending;
        }
        if !self.has_other_lookup_nodes(session) {
            return self.resolve_from_table(now, pool, key, IfUnknown::CreatePlacement);
        }
        match self.start_lookup(now, pool, key, request) {
            Some(lookup_id) => {
                self.send_lookup(now, session, lookup_id);
                Resolution::Pending
            }
            None => self.resolve_from_table(now, pool, key, IfUnknown::Reject),
        }
    }

    /// Returns whether there is another node to query about a session.
    fn has_other_lookup_nodes(&self, session: SessionId) -> bool {
        let ranked = self.replicas.ranked(session, LOOKUP_FANOUT);
        ranked.into_iter().any(|name| name != self.local_name)
    }

    /// Starts a lookup and returns its identifier; `None` if there are too many lookups.
    fn start_lookup(
        &mut self,
        now: Micros,
        pool: usize,
        key: DirectoryKey,
        request: u64,
    ) -> Option<u32> {
        let ranked = self.replicas.ranked(key.session, LOOKUP_FANOUT);
        let replica_count = ranked
            .iter()
            .take(REPLICATION_FACTOR)
            .filter(|name| **name != self.local_name)
            .count();
        let others: Vec<&str> = ranked
            .into_iter()
            .filter(|name| *name != self.local_name)
            .collect();
        let target = LookupTarget {
            pool,
            session: key.session,
            initial_worker: key.initial_worker,
        };
        let nodes = LookupNodes {
            names: &others,
            replica_count,
        };
        let deadline = now + self.settings.lookup_timeout;
        self.lookups.start(now, deadline, target, nodes, request)
    }

    fn send_lookup(&mut self, now: Micros, session: SessionId, lookup_id: u32) {
        let request = Message::LookupRequest {
            time: self.clock.read(now),
            lookup_id,
            session,
        }
        .encode();
        for name in self.replicas.ranked(session, LOOKUP_FANOUT) {
            if name != self.local_name {
                self.outgoing.push(OutboundMessage {
                    recipient: name.to_owned(),
                    payload: request.clone(),
                });
            }
        }
    }

    /// Resolves a session by the local table.
    fn resolve_from_table(
        &mut self,
        now: Micros,
        pool: usize,
        key: DirectoryKey,
        if_unknown: IfUnknown,
    ) -> Resolution {
        if let Some(known) = self.table.get(now, key.session) {
            return self.apply_placement(now, pool, key.session, known.placement);
        }
        match if_unknown {
            IfUnknown::CreatePlacement => self.create_placement(now, pool, key),
            IfUnknown::Reject => {
                self.pools[pool].counters.unanswered += 1;
                Resolution::Unavailable
            }
        }
    }

    /// Resolves a session by the local table alone, without messages or new placements: for a
    /// process that its successor has replaced at a hot restart. Sessions without an entry are
    /// unavailable, and the client's next attempt reaches the successor. Idempotency keys without
    /// an entry resolve to the worker that is given with the key.
    pub fn resolve_locally(&self, now: Micros, pool: usize, key: SessionKey) -> Resolution {
        let Some(state) = self.pools.get(pool) else {
            return Resolution::Unavailable;
        };
        let key = key.in_pool(state.id);
        let worker = self
            .table
            .get(now, key.session)
            .map(|known| known.placement.worker)
            .or(key.initial_worker)
            .filter(|worker| state.move_cause(now, *worker).is_none());
        Resolution::from_worker(worker)
    }

    /// Completes the lookups whose deadline has passed.
    pub(super) fn expire_lookups(&mut self, now: Micros) {
        for result in self.lookups.take_expired(now) {
            self.complete_lookup(now, result);
        }
    }

    /// Sends lookups again to the nodes that have not replied.
    pub(super) fn retry_lookups(&mut self, now: Micros) {
        for retry in self.lookups.take_retries(now) {
            let request = Message::LookupRequest {
                time: self.clock.read(now),
                lookup_id: retry.lookup_id,
                session: retry.session,
            }
            .encode();
            for recipient in retry.nodes {
                self.outgoing.push(OutboundMessage {
                    recipient,
                    payload: request.clone(),
                });
            }
        }
    }

    /// Resolves the requests that waited for a lookup.
    pub(super) fn complete_lookup(&mut self, now: Micros, result: LookupResult) {
        let LookupTarget {
            pool,
            session,
            initial_worker,
        } = result.target;
        let resolution = match result.placement {
            // The configuration changed meanwhile.
            _ if pool >= self.pools.len() => Resolution::Unavailable,
            Some(placement) => {
                self.store(now, session, placement);
                // A placement that takes precedence may have arrived meanwhile.
                let current = self.table.get(now, session);
                let placement = current.map_or(placement, |known| known.placement);
                self.apply_placement(now, pool, session, placement)
            }
            None => {
                let key = DirectoryKey {
                    session,
                    initial_worker,
                };
                let is_new = result.is_unknown_to_a_replica
                    || self.replicas.is_replica(session, &self.local_name);
                let if_unknown = if is_new {
                    IfUnknown::CreatePlacement
                } else {
                    IfUnknown::Reject
                };
                self.resolve_from_table(now, pool, key, if_unknown)
            }
        };
        let waiting = result.waiting_requests.into_iter();
        self.resolved.extend(waiting.map(|request| ResolvedRequest {
            request,
            resolution,
        }));
    }

    /// Creates the placement of a session for which no node has an entry.
    fn create_placement(&mut self, now: Micros, pool: usize, key: DirectoryKey) -> Resolution {
        let state = &self.pools[pool];
        let initial_worker = key
            .initial_worker
            .filter(|worker| state.worker_index(*worker).is_some());
        let selected = initial_worker.or_else(|| self.select_worker(pool, key.session, None));
        let Some(worker) = selected else {
            return Resolution::Unavailable;
        };
        let placement = Placement {
            worker,
            created: Timestamp {
                seconds: self.clock.read(now),
                node: self.local_digest,
            },
            moves: 0,
            version: self.version,
        };
        if !is_idempotency_key(key.session) {
            self.pools[pool].counters.placed += 1;
        }
        self.store(now, key.session, placement);
        self.announce(now, key.session, placement);
        Resolution::Worker(worker)
    }

    /// Selects a worker that is not ejected; if all are, an ejected one.
    fn select_worker(
        &self,
        pool: usize,
        session: SessionId,
        excluded: Option<WorkerId>,
    ) -> Option<WorkerId> {
        let state = &self.pools[pool];
        let healthy = select_worker(session, &state.workers, |worker| {
            Some(worker) == excluded || state.is_ejected(worker)
        });
        healthy
            .or_else(|| select_worker(session, &state.workers, |worker| Some(worker) == excluded))
    }

    /// Resolves a session by its placement, and moves it if its worker no longer serves it.
    fn apply_placement(
        &mut self,
        now: Micros,
        pool: usize,
        session: SessionId,
        placement: Placement,
    ) -> Resolution {
        let state = &mut self.pools[pool];
        let cause = match state.move_cause(now, placement.worker) {
            None => return Resolution::Worker(placement.worker),
            // This node has not received the version that added the worker. If the version does
            // not arrive, as in a partition, the node selects another worker for its own requests
            // without moving the session.
            Some(MoveCause::Removed) if placement.is_newer_than(self.version) => {
                if state.is_awaiting_version(now, placement.worker) {
                    return Resolution::Unavailable;
                }
                return Resolution::from_worker(self.select_worker(pool, session, None));
            }
            Some(cause) => cause,
        };
        Resolution::from_worker(self.move_session(now, pool, session, placement, cause))
    }

    /// Moves a session to another worker. Without another worker, the session stays, unless its
    /// worker was removed.
    fn move_session(
        &mut self,
        now: Micros,
        pool: usize,
        session: SessionId,
        current: Placement,
        cause: MoveCause,
    ) -> Option<WorkerId> {
        let Some(worker) = self.select_worker(pool, session, Some(current.worker)) else {
            return (cause != MoveCause::Removed).then_some(current.worker);
        };
        let placement = current.moved(worker, self.version);
        self.pools[pool].counters.count(cause);
        self.store(now, session, placement);
        self.announce(now, session, placement);
        Some(worker)
    }

    /// Moves a session at once because a request could not be sent to its worker. Returns another
    /// worker, if there is one.
    pub fn handle_unreachable(
        &mut self,
        now: Micros,
        pool: usize,
        key: SessionKey,
        worker: WorkerId,
    ) -> Option<WorkerId> {
        let session = key.in_pool(self.pools.get(pool)?.id).session;
        let Some(known) = self.table.get(now, session) else {
            return self.select_worker(pool, session, Some(worker));
        };
        if known.placement.worker != worker {
            // The session has moved meanwhile.
            return Some(known.placement.worker);
        }
        self.move_session(now, pool, session, known.placement, MoveCause::Unreachable)
            .filter(|next| *next != worker)
    }

    /// Stores the placement of a session that is being requested.
    fn store(&mut self, now: Micros, session: SessionId, placement: Placement) {
        self.table.merge(
            now,
            DirectoryEntry {
                session,
                placement,
                idle_seconds: 0,
            },
        );
    }
}
