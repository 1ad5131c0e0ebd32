//! One member with its observed state.

use super::{Member, MemberId, MemberMode, RunId};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::outlier_detection::OutlierDetector;
use crate::Micros;
use std::collections::BTreeSet;

/// Weight of a new, lower observation.
const LOWER_LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the previous value beside a lower observation.
const PREVIOUS_LATENCY_WEIGHT: f64 = 0.9;

/// Peak-sensitive moving average (peak EWMA, as in Finagle): rises at once to a higher latency, and
/// falls slowly.
#[derive(Clone, Copy, Debug, Default)]
struct PeakLatency {
    /// In microseconds, as of `observed_at`.
    value: f64,
    observed_at: Micros,
}

impl PeakLatency {
    /// The fraction of the value that is left after the time since the observation.
    fn remaining(&self, now: Micros, decay: Micros) -> f64 {
        (-((now - self.observed_at).max(0) as f64) / decay.max(1) as f64).exp()
    }

    fn observe(&mut self, now: Micros, latency: f64, decay: Micros) {
        let remaining = self.remaining(now, decay);
        if latency < self.value * remaining {
            let decayed = self.value * remaining.min(PREVIOUS_LATENCY_WEIGHT);
            let averaged =
                self.value * remaining * PREVIOUS_LATENCY_WEIGHT + latency * LOWER_LATENCY_WEIGHT;
            self.value = decayed.max(averaged).max(latency);
        } else {
            self.value = latency;
        }
        self.observed_at = now;
    }
}

/// A run in flight, ordered by its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StartedRun {
    pub(super) started_at: Micros,
    pub(super) run: RunId,
}

#[derive(Debug)]
pub(super) struct TrackedMember<A> {
    pub(super) id: MemberId,
    pub(super) settings: Member<A>,
    pub(super) detector: OutlierDetector,
    pub(super) limit: ConcurrencyLimit,
    latency: Option<PeakLatency>,
    /// Runs in flight, the oldest first.
    pub(super) runs: BTreeSet<StartedRun>,
    /// Whether the operator removed the member: it completes its runs and gets no new ones.
    pub(super) is_removed: bool,
    /// Whether another node probes the member before this one does.
    pub(super) is_probe_deferred: bool,
}

impl<A> TrackedMember<A> {
    pub(super) fn new(
        id: MemberId,
        settings: Member<A>,
        detector: OutlierDetector,
        limit: ConcurrencyLimit,
    ) -> TrackedMember<A> {
        TrackedMember {
            id,
            settings,
            detector,
            limit,
            latency: None,
            runs: BTreeSet::new(),
            is_removed: false,
            is_probe_deferred: false,
        }
    }

    /// The member's latency in microseconds; `typical` if none was observed. The oldest run without
    /// a response counts with half of its age, so that a member that hangs is detected before its
    /// runs time out.
    pub(super) fn latency(&self, now: Micros, decay: Micros, typical: f64) -> f64 {
        let observed = self.latency.map_or(typical, |latency| {
            latency.value * latency.remaining(now, decay)
        });
        let oldest_age = self.runs.first().map_or(0, |run| now - run.started_at) as f64;
        observed.max(oldest_age / 2.0).max(1.0)
    }

    pub(super) fn observe_latency(&mut self, now: Micros, latency: Micros, decay: Micros) {
        let latency = latency.max(1) as f64;
        match &mut self.latency {
            Some(average) => average.observe(now, latency, decay),
            None => {
                self.latency = Some(PeakLatency {
                    value: latency,
                    observed_at: now,
                });
            }
        }
    }

    /// Whether the operator's settings allow the member to get runs.
    pub(super) fn is_enabled(&self) -> bool {
        !self.is_removed && self.settings.mode == MemberMode::Active
    }

    pub(super) fn is_enabled_standby(&self) -> bool {
        self.is_enabled() && self.settings.is_standby
    }

    /// Whether the member is enabled and not a standby member.
    pub(super) fn is_enabled_primary(&self) -> bool {
        self.is_enabled() && !self.settings.is_standby
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.runs.len() < self.limit.allowed_runs()
    }

    /// Whether outlier detection allows the member to get runs.
    pub(super) fn is_healthy(&self, now: Micros) -> bool {
        self.detector.traffic_share(now) > 0.0
    }
}
