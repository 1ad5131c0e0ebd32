//! Outlier detection over the whole pool: comparison of latencies, panic threshold, return of
//! members.

use super::{Pool, PoolEvent};
use crate::outlier_detection::{EjectionReason, HealthStatus};
use crate::{Micros, SECOND};

/// Interval between comparisons of latencies with the median, in microseconds.
const LATENCY_COMPARISON_INTERVAL: Micros = SECOND;
/// The median of fewer members is not representative.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;

impl<A: Clone + PartialEq> Pool<A> {
    /// Applies all transitions that are due.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.next_transition {
            self.apply_transitions(now);
        }
        if now >= self.latencies_compared_at + LATENCY_COMPARISON_INTERVAL {
            self.latencies_compared_at = now;
            self.eject_slow_members(now);
        }
    }

    fn apply_transitions(&mut self, now: Micros) {
        for member in &mut self.members {
            if member.is_probe_deferred && member.detector.defer_probation(now) {
                continue;
            }
            if member.detector.tick(now) && member.detector.status().is_on_probation() {
                let address = member.settings.address.clone();
                self.events.push(PoolEvent::ProbationStarted(address));
            }
        }
        if self.panic_until.is_some_and(|until| now >= until) {
            self.panic_until = None;
            self.events.push(PoolEvent::PanicEnded);
        }
        self.rebuild_candidates(now);
    }

    /// Compares the latency of each usable member with the median.
    fn eject_slow_members(&mut self, now: Micros) {
        if self.candidates.usable.len() < MIN_MEMBERS_FOR_MEDIAN {
            return;
        }
        let latency = |pool: &Pool<A>, position: usize| {
            let decay = pool.config.latency_decay;
            pool.members[position].latency(now, decay, pool.typical_latency)
        };
        let usable = self.candidates.usable.clone();
        let mut latencies: Vec<f64> = usable.iter().map(|&i| latency(self, i)).collect();
        latencies.sort_by(f64::total_cmp);
        let median = latencies[(latencies.len() - 1) / 2];
        for position in usable {
            let detector = &self.members[position].detector;
            if let Some(reason) = detector.latency_outlier(latency(self, position), median) {
                self.eject(now, position, reason);
            }
        }
    }

    /// Ejects a member, or starts the panic mode if too many would be ejected.
    pub(super) fn eject(&mut self, now: Micros, position: usize, reason: EjectionReason) {
        if self.panic_until.is_some() {
            return;
        }
        let is_on_probation = self.members[position].detector.status().is_on_probation();
        if !is_on_probation && self.exceeds_panic_threshold(now) {
            self.panic_until = Some(now + self.config.panic_duration);
            self.events.push(PoolEvent::PanicStarted);
        } else {
            let member = &mut self.members[position];
            member.detector.eject(now, reason);
            if let HealthStatus::Ejected { until, .. } = member.detector.status() {
                self.events.push(PoolEvent::Ejected {
                    member: member.settings.address.clone(),
                    reason,
                    duration: until - now,
                });
            }
        }
        self.rebuild_candidates(now);
    }

    /// Whether one more ejection would exceed the panic threshold. A sole member is never ejected,
    /// as no other could take its traffic.
    fn exceeds_panic_threshold(&self, now: Micros) -> bool {
        let primaries = || self.members.iter().filter(|m| m.is_enabled_primary());
        let ejected = primaries().filter(|m| !m.is_healthy(now)).count();
        let allowed = self.config.max_ejected_ratio * primaries().count() as f64;
        (ejected + 1) as f64 > allowed && !self.standby_can_take_over(now)
    }

    /// Whether healthy standby members can take the traffic of the members that may be ejected.
    fn standby_can_take_over(&self, now: Micros) -> bool {
        let standby: f64 = self
            .members
            .iter()
            .filter(|m| m.is_enabled_standby() && m.is_healthy(now))
            .map(|m| m.settings.weight)
            .sum();
        let primary: f64 = self
            .members
            .iter()
            .filter(|m| m.is_enabled_primary())
            .map(|m| m.settings.weight)
            .sum();
        standby >= self.config.max_ejected_ratio * primary && standby > 0.0
    }

    /// Addresses of the members that are ejected or on probation.
    pub fn ejected_members(&self) -> impl Iterator<Item = &A> {
        self.members
            .iter()
            .filter(|m| !m.is_removed && m.detector.status().is_unavailable())
            .map(|m| &m.settings.address)
    }

    /// Addresses of the members that are ejected or on probation because their runs failed.
    pub fn failing_members(&self) -> impl Iterator<Item = &A> {
        self.members
            .iter()
            .filter(|m| !m.is_removed && m.detector.is_ejected_for_failures())
            .map(|m| &m.settings.address)
    }

    /// Sets whether another node probes a member before this one does.
    pub fn set_probe_deferred(&mut self, address: &A, is_deferred: bool) {
        let members = self.members.iter_mut();
        for member in members.filter(|m| m.settings.address == *address) {
            member.is_probe_deferred = is_deferred;
        }
    }

    /// Shortens the ejection of a member, because another node's probe succeeded.
    pub fn shorten_ejection(&mut self, now: Micros, address: &A) {
        let member = self
            .members
            .iter_mut()
            .find(|m| m.settings.address == *address);
        if member.is_some_and(|m| m.detector.shorten_ejection(now)) {
            self.rebuild_candidates(now);
        }
    }
}
