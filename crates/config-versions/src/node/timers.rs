//! Timers: heartbeats, retries, and the expiry of the lease.

use super::{Event, Node};
use crate::lease::ClockReading;
use crate::message::Message;
use crate::proposer::Proposer;
use crate::retirement::Retirement;
use crate::Micros;

/// Heartbeats that an acceptor sends per lease.
const HEARTBEATS_PER_LEASE: Micros = 5;
/// The interval between retries of requests without a response.
const QUERY_INTERVAL: Micros = 300_000;
/// How long an accepted version may stay undecided before this node's proposer completes it. A
/// random duration up to the same length is added, so that few acceptors do so at the same time.
const PENDING_TIMEOUT: Micros = 5_000_000;

/// When the node's periodic tasks are due.
#[derive(Debug)]
pub(super) struct Timers {
    next_heartbeat: Micros,
    next_query: Micros,
    next_newest_request: Micros,
    /// When to complete the pending version, if there is one.
    complete_pending_at: Option<Micros>,
}

impl Timers {
    /// Makes all tasks due.
    pub(super) fn new(now: Micros) -> Timers {
        Timers {
            next_heartbeat: now,
            next_query: now,
            next_newest_request: now,
            complete_pending_at: None,
        }
    }

    /// Makes heartbeats and queries due after the acceptor was restarted.
    pub(super) fn restart(&mut self, now: Micros) {
        self.next_heartbeat = now;
        self.next_query = now;
        self.complete_pending_at = None;
    }

    /// Returns whether to request the newest version now, at most once per interval.
    pub(super) fn may_request_newest(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_newest_request;
        if is_due {
            self.next_newest_request = now + QUERY_INTERVAL;
        }
        is_due
    }
}

impl Node {
    /// Returns when to call [`Node::handle_timeout`].
    pub fn next_wakeup(&self) -> Micros {
        let heartbeat = self.acceptor.as_ref().map(|_| self.timers.next_heartbeat);
        let proposer = self.proposer.as_ref().map(Proposer::next_wakeup);
        let retirement = self.retirement.as_ref().and_then(Retirement::next_wakeup);
        let fetch = self.contents.next_wakeup();
        let lease = self.lease_expires_at().filter(|_| self.has_lease);
        [heartbeat, proposer, retirement, fetch, lease]
            .into_iter()
            .flatten()
            .fold(self.timers.next_query, Micros::min)
    }

    /// Runs the tasks that are due. Returns whether there is a new heartbeat to disseminate.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        let mut has_heartbeat = false;
        if now >= self.timers.next_heartbeat && self.acceptor.is_some() {
            self.timers.next_heartbeat = now + self.settings.lease / HEARTBEATS_PER_LEASE;
            has_heartbeat = self.record_own_heartbeat(now);
        }
        if now >= self.timers.next_query {
            self.timers.next_query = now + QUERY_INTERVAL;
            self.send_queries(now);
            self.complete_pending(now);
        }
        self.run_proposer(now);
        self.run_retirement(now);
        self.report_lease(now);
        self.deliver_to_self(now);
        has_heartbeat
    }

    /// Records a heartbeat of this node's own acceptor. Returns whether there is one.
    fn record_own_heartbeat(&mut self, now: Micros) -> bool {
        let Some(acceptor) = &self.acceptor else {
            return false;
        };
        let is_durable = self.writes.is_durable(acceptor.last_write());
        let Some(heartbeat) = acceptor.heartbeat(now).filter(|_| is_durable) else {
            return false;
        };
        let reading = ClockReading {
            incarnation: heartbeat.incarnation,
            remote: heartbeat.clock,
            requested_at: now,
        };
        let acceptors = &self.newest.acceptors;
        self.leases.record_clock(&self.name, reading, acceptors);
        self.leases.record_heartbeat(&heartbeat, acceptors)
    }

    /// Sends the requests that have no response yet.
    fn send_queries(&mut self, now: Micros) {
        if let Some(acceptor) = &self.acceptor {
            for request in acceptor.disk_check_requests() {
                self.send_deferred(request);
            }
        }
        let acceptors = self.newest.acceptors.clone();
        let nonce = self.minimum_version.nonce();
        let unanswered: Vec<String> = self
            .minimum_version
            .acceptors_to_query(&acceptors)
            .cloned()
            .collect();
        for acceptor in &unanswered {
            self.send(acceptor, Message::MinimumVersionRequest { nonce });
        }
        for acceptor in &acceptors {
            let needs_clock =
                self.leases
                    .needs_clock(acceptor, now, self.settings.lease, self.drift);
            if *acceptor != self.name && needs_clock {
                self.send(acceptor, Message::ClockRequest { requested_at: now });
            }
        }
    }

    /// Starts a proposer for a version that was accepted and has stayed undecided for too long.
    fn complete_pending(&mut self, now: Micros) {
        // Drawn even if unused, so that simulations with the same seed stay comparable.
        let timeout = PENDING_TIMEOUT + self.rng.i64(0..PENDING_TIMEOUT);
        let has_pending = self
            .acceptor
            .as_ref()
            .is_some_and(|acceptor| acceptor.pending().is_some());
        if !has_pending {
            self.timers.complete_pending_at = None;
            return;
        }
        let due_at = self.timers.complete_pending_at.unwrap_or(now + timeout);
        self.timers.complete_pending_at = Some(due_at);
        if now >= due_at && self.proposer.is_none() && self.writes.is_incarnation_durable() {
            self.timers.complete_pending_at = None;
            self.start_proposer(now, None);
        }
    }

    fn run_proposer(&mut self, now: Micros) {
        let Some(proposer) = &mut self.proposer else {
            return;
        };
        if let Some(outcome) = proposer.handle_timeout(now, &mut self.outgoing) {
            self.finish_proposal(now, outcome);
        }
    }

    fn run_retirement(&mut self, now: Micros) {
        let Some(retirement) = &mut self.retirement else {
            return;
        };
        if retirement.handle_timeout(now, &mut self.outgoing) {
            let minimum_version = retirement.minimum_version();
            self.emit(Event::Retired { minimum_version });
        }
    }

    /// Reports an acquired or expired lease.
    fn report_lease(&mut self, now: Micros) {
        let has_lease = self.lease_expires_at().is_some_and(|until| now < until);
        if has_lease == self.has_lease {
            return;
        }
        self.has_lease = has_lease;
        let number = self.active_version;
        self.emit(if has_lease {
            Event::LeaseAcquired { number }
        } else {
            Event::LeaseExpired { number }
        });
    }
}
