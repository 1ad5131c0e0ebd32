//! Updates that replicas have not acknowledged yet. They are retransmitted, since after a lost
//! update another node could place the session a second time.

use crate::{Micros, SessionId};
use std::collections::{BTreeMap, BTreeSet};

/// Time until the first retransmission, in microseconds; it doubles with each one.
const INITIAL_INTERVAL: Micros = 10_000;
/// Maximum number of transmissions. By then the membership view excludes a replica that failed.
const MAX_TRANSMISSIONS: u32 = 7;
/// Maximum number of tracked sessions. Updates of further sessions are transmitted once.
const MAX_SESSIONS: usize = 16_384;

/// An update that is not acknowledged by all replicas.
#[derive(Clone, Debug)]
struct PendingUpdate {
    replicas: Vec<String>,
    next_at: Micros,
    transmissions: u32,
}

/// When the update of a session is to be sent again; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledRetransmission {
    at: Micros,
    session: SessionId,
}

/// An update to send again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retransmission {
    /// The session.
    pub session: SessionId,
    /// Replicas that have not acknowledged the update.
    pub replicas: Vec<String>,
}

/// Sessions whose latest update is not acknowledged by all replicas.
#[derive(Clone, Debug, Default)]
pub struct UnacknowledgedUpdates {
    by_session: BTreeMap<SessionId, PendingUpdate>,
    schedule: BTreeSet<ScheduledRetransmission>,
}

impl UnacknowledgedUpdates {
    /// Tracks an update that was sent to `replicas`, besides those that have not acknowledged an
    /// earlier update of the session.
    pub fn track(&mut self, now: Micros, session: SessionId, replicas: Vec<String>) {
        let mut pending = self
            .by_session
            .get(&session)
            .map_or(Vec::new(), |update| update.replicas.clone());
        pending.retain(|replica| !replicas.contains(replica));
        pending.extend(replicas);
        self.remove(session);
        if !pending.is_empty() && self.by_session.len() < MAX_SESSIONS {
            let next_at = now + INITIAL_INTERVAL;
            self.by_session.insert(
                session,
                PendingUpdate {
                    replicas: pending,
                    next_at,
                    transmissions: 1,
                },
            );
            self.schedule.insert(ScheduledRetransmission {
                at: next_at,
                session,
            });
        }
    }

    fn remove(&mut self, session: SessionId) {
        if let Some(update) = self.by_session.remove(&session) {
            self.schedule.remove(&ScheduledRetransmission {
                at: update.next_at,
                session,
            });
        }
    }

    /// Records that a replica stores the session.
    pub fn acknowledge(&mut self, session: SessionId, replica: &str) {
        if let Some(update) = self.by_session.get_mut(&session) {
            update.replicas.retain(|pending| pending != replica);
            if update.replicas.is_empty() {
                self.remove(session);
            }
        }
    }

    /// Takes the retransmissions that are due.
    pub fn take_retransmissions(&mut self, now: Micros) -> Vec<Retransmission> {
        let mut due = Vec::new();
        while let Some(&ScheduledRetransmission { at, session }) = self.schedule.first() {
            if at > now {
                break;
            }
            self.schedule.pop_first();
            let Some(update) = self.by_session.get_mut(&session) else {
                continue;
            };
            if update.transmissions >= MAX_TRANSMISSIONS {
                self.by_session.remove(&session);
                continue;
            }
            update.next_at = now + (INITIAL_INTERVAL << update.transmissions);
            update.transmissions += 1;
            self.schedule.insert(ScheduledRetransmission {
                at: update.next_at,
                session,
            });
            due.push(Retransmission {
                session,
                replicas: update.replicas.clone(),
            });
        }
        due
    }

    /// Returns when the next retransmission is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.schedule.first().map(|scheduled| scheduled.at)
    }

    /// Returns the number of tracked sessions.
    pub fn len(&self) -> usize {
        self.by_session.len()
    }

    /// Returns whether all updates are acknowledged.
    pub fn is_empty(&self) -> bool {
        self.by_session.is_empty()
    }
}
