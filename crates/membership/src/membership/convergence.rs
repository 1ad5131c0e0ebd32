//! Convergence of views: which members reported the digest of this node's view, and when push-pull
//! synchronization is due because views differ.

use crate::membership::Membership;
use crate::message::Update;
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of members that have to agree before a view counts as converged.
const REQUIRED_AGREEMENT: usize = 3;
/// Number of protocol periods for which views may differ before synchronization: dissemination
/// usually removes the difference earlier.
const MAX_DIFFERING_PERIODS: Micros = 4;

pub(super) struct Convergence {
    /// Members that reported the digest of this view since it last changed.
    agreeing: BTreeSet<String>,
    /// Since when reported digests differ, without one that agrees.
    differing_since: Option<Micros>,
    next_sync_at: Micros,
    sync_target: Option<SocketAddr>,
    has_discovered_member: bool,
}

impl Convergence {
    pub(super) fn new(now: Micros) -> Convergence {
        Convergence {
            agreeing: BTreeSet::new(),
            differing_since: None,
            next_sync_at: now,
            sync_target: None,
            has_discovered_member: false,
        }
    }

    /// Clears the recorded agreements after a change of the view.
    pub(super) fn invalidate(&mut self) {
        self.agreeing.clear();
    }

    /// Returns whether enough of `others` other active members agree.
    pub(super) fn has_agreement(&self, others: usize) -> bool {
        self.agreeing.len() >= others.min(REQUIRED_AGREEMENT)
    }

    pub(super) fn record_discovered_member(&mut self) {
        self.has_discovered_member = true;
    }

    pub(super) fn has_discovered_member(&self) -> bool {
        self.has_discovered_member
    }

    pub(super) fn has_sync_target(&self) -> bool {
        self.sync_target.is_some()
    }

    pub(super) fn take_sync_target(&mut self) -> Option<SocketAddr> {
        self.sync_target.take()
    }

    pub(super) fn is_sync_allowed(&self, now: Micros) -> bool {
        now >= self.next_sync_at
    }

    fn record_agreement(&mut self, name: &str) {
        self.differing_since = None;
        if self.agreeing.len() < REQUIRED_AGREEMENT {
            self.agreeing.insert(name.to_owned());
        }
    }

    /// Records a differing digest and returns for how long views have differed.
    fn record_difference(&mut self, now: Micros) -> Micros {
        self.agreeing.clear();
        now - *self.differing_since.get_or_insert(now)
    }
}

impl Membership {
    /// Compares the digest in a datagram with that of this view.
    pub(super) fn compare_digest(&mut self, now: Micros, sender: &Update, digest: u64) {
        if sender.name == self.local_name {
            return;
        }
        if digest == self.digest() {
            self.convergence.record_agreement(&sender.name);
            return;
        }
        let differing_for = self.convergence.record_difference(now);
        let is_active = self
            .members
            .get(&sender.name)
            .is_some_and(|member| member.record.state.is_active());
        if is_active
            && differing_for > MAX_DIFFERING_PERIODS * self.config.probe_interval
            && self.convergence.is_sync_allowed(now)
        {
            self.request_sync(now, sender.record.details.address);
        }
    }

    /// Requests push-pull synchronization with the member at this address.
    pub(super) fn request_sync(&mut self, now: Micros, target: SocketAddr) {
        let period = self.config.probe_interval;
        self.convergence.next_sync_at = now + period + self.rng.i64(0..period);
        self.convergence.sync_target = Some(target);
    }
}
