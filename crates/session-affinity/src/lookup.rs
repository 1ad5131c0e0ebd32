//! Lookups of sessions at their replicas, with retries and a deadline, and the requests that wait
//! for them.

use crate::placement::Placement;
use crate::replicas::LOOKUP_FANOUT;
use crate::{Micros, SessionId, WorkerId};
use std::collections::BTreeMap;

/// Maximum number of concurrent lookups. Beyond this number, sessions are resolved from the local
/// table, and unknown ones are rejected.
const MAX_LOOKUPS: usize = 4_096;
/// Interval between retries to nodes that have not replied, in microseconds.
pub const RETRY_INTERVAL: Micros = 8_000;

/// Target of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupTarget {
    /// Index of the pool.
    pub pool: usize,
    /// The session.
    pub session: SessionId,
    /// Worker for the session if no node has an entry for it; `None` to select one.
    pub initial_worker: Option<WorkerId>,
}

/// The nodes that a lookup queries.
#[derive(Clone, Copy, Debug)]
pub struct LookupNodes<'a> {
    /// Names of the nodes; replicas come first.
    pub names: &'a [&'a str],
    /// Number of replicas among them. The others may have outdated placements.
    pub replica_count: usize,
}

/// A lookup in progress.
#[derive(Clone, Debug)]
struct Lookup {
    target: LookupTarget,
    /// Nodes that have not replied.
    pending: Vec<String>,
    /// Replicas among the nodes queried.
    replicas: Vec<String>,
    /// Whether a replica has replied that it has no entry for the session.
    is_unknown_to_a_replica: bool,
    /// Placement that takes precedence among the replies.
    best: Option<Placement>,
    deadline: Micros,
    retry_at: Micros,
    waiting_requests: Vec<u64>,
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupResult {
    /// Target of the lookup.
    pub target: LookupTarget,
    /// Requests that wait for the lookup.
    pub waiting_requests: Vec<u64>,
    /// Placement of the session; `None` if no node that replied has an entry.
    pub placement: Option<Placement>,
    /// Whether a replica has replied that it has no entry for the session. If none has, a session
    /// without a placement here may still have one that was not reported in time.
    pub is_unknown_to_a_replica: bool,
}

/// A lookup to send again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupRetry {
    /// Identifier of the lookup.
    pub lookup_id: u32,
    /// The session.
    pub session: SessionId,
    /// Nodes that have not replied.
    pub nodes: Vec<String>,
}

/// Lookups in progress.
#[derive(Clone, Debug, Default)]
pub struct PendingLookups {
    by_id: BTreeMap<u32, Lookup>,
    id_by_session: BTreeMap<SessionId, u32>,
    last_id: u32,
}

impl PendingLookups {
    /// Adds a request to the lookup of the session in progress; returns whether there is one.
    pub fn add_waiter(&mut self, session: SessionId, request: u64) -> bool {
        let lookup = self
            .id_by_session
            .get(&session)
            .and_then(|lookup_id| self.by_id.get_mut(lookup_id));
        lookup
            .map(|lookup| lookup.waiting_requests.push(request))
            .is_some()
    }

    /// Starts a lookup on behalf of a request. Returns the identifier of the lookup, or `None` if
    /// there are too many lookups.
    pub fn start(
        &mut self,
        now: Micros,
        deadline: Micros,
        target: LookupTarget,
        nodes: LookupNodes,
        request: u64,
    ) -> Option<u32> {
        if self.by_id.len() >= MAX_LOOKUPS {
            return None;
        }
        debug_assert!(nodes.names.len() <= LOOKUP_FANOUT);
        self.last_id = self.last_id.wrapping_add(1);
        let pending: Vec<String> = nodes.names.iter().map(|name| (*name).to_owned()).collect();
        let replicas = pending.iter().take(nodes.replica_count).cloned().collect();
        self.by_id.insert(
            self.last_id,
            Lookup {
                target,
                pending,
                replicas,
                is_unknown_to_a_replica: false,
                best: None,
                deadline,
                retry_at: now + RETRY_INTERVAL,
                waiting_requests: vec![request],
            },
        );
        self.id_by_session.insert(target.session, self.last_id);
        Some(self.last_id)
    }

    /// Handles a reply. The first reply of a replica with an entry completes the lookup; without
    /// one, the last reply completes it.
    pub fn handle_reply(
        &mut self,
        lookup_id: u32,
        sender: &str,
        session: SessionId,
        placement: Option<Placement>,
    ) -> Option<LookupResult> {
        let lookup = self
            .by_id
            .get_mut(&lookup_id)
            .filter(|lookup| lookup.target.session == session)?;
        let position = lookup.pending.iter().position(|name| name == sender)?;
        lookup.pending.remove(position);
        if let Some(placement) = placement {
            let is_best = lookup
                .best
                .is_none_or(|best| placement.takes_precedence_over(&best));
            if is_best {
                lookup.best = Some(placement);
            }
        }
        let is_replica = lookup.replicas.iter().any(|name| name == sender);
        lookup.is_unknown_to_a_replica |= is_replica && placement.is_none();
        if (is_replica && placement.is_some()) || lookup.pending.is_empty() {
            self.complete(lookup_id)
        } else {
            None
        }
    }

    fn complete(&mut self, lookup_id: u32) -> Option<LookupResult> {
        let lookup = self.by_id.remove(&lookup_id)?;
        self.id_by_session.remove(&lookup.target.session);
        Some(LookupResult {
            target: lookup.target,
            waiting_requests: lookup.waiting_requests,
            placement: lookup.best,
            is_unknown_to_a_replica: lookup.is_unknown_to_a_replica,
        })
    }

    /// Completes the lookup of a session whose placement has arrived in an update.
    pub fn resolve(&mut self, session: SessionId, placement: Placement) -> Option<LookupResult> {
        let lookup_id = *self.id_by_session.get(&session)?;
        self.by_id.get_mut(&lookup_id)?.best = Some(placement);
        self.complete(lookup_id)
    }

    /// Takes the retries that are due.
    pub fn take_retries(&mut self, now: Micros) -> Vec<LookupRetry> {
        self.by_id
            .iter_mut()
            .filter(|(_, lookup)| lookup.retry_at <= now)
            .map(|(lookup_id, lookup)| {
                lookup.retry_at = now + RETRY_INTERVAL;
                LookupRetry {
                    lookup_id: *lookup_id,
                    session: lookup.target.session,
                    nodes: lookup.pending.clone(),
                }
            })
            .collect()
    }

    /// Completes the lookups whose deadline has passed.
    pub fn take_expired(&mut self, now: Micros) -> Vec<LookupResult> {
        let expired: Vec<u32> = self
            .by_id
            .iter()
            .filter(|(_, lookup)| lookup.deadline <= now)
            .map(|(lookup_id, _)| *lookup_id)
            .collect();
        expired
            .into_iter()
            .filter_map(|lookup_id| self.complete(lookup_id))
            .collect()
    }

    /// Returns when a retry or a deadline is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.by_id
            .values()
            .map(|lookup| lookup.deadline.min(lookup.retry_at))
            .min()
    }
}
