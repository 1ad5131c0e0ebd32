//! Outlier detection of one member, from the results of its runs; no health checks are sent.
//!
//! A member is ejected after consecutive failures, a high ratio of failures, or a latency far above
//! the median of its pool, each time for longer (as Envoy's outlier detection). After the ejection
//! it is on probation (half-open, in a circuit breaker's terms): one idempotent run probes it. If
//! the probe succeeds, its traffic grows during a slow start. The pool limits how many members are
//! ejected at once.

use crate::{Micros, SECOND};
use std::fmt;

/// Factor by which each run reduces the weight of the runs before it.
const RUN_DECAY: f64 = 0.95;
/// Limit on the doublings of the ejection time, which prevents an overflow. It lies far above
/// [`OutlierDetectionConfig::max_ejection`].
const MAX_EJECTION_DOUBLINGS: u32 = 20;
/// A member in slow start gets at least this fraction of its traffic.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// Thresholds and durations of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierDetectionConfig {
    /// Consecutive failures that eject a member.
    pub consecutive_failures: u32,
    /// Ratio of failures among recent runs that ejects a member.
    pub failure_ratio: f64,
    /// Recent runs below which neither the failure ratio nor the latency is evaluated.
    pub min_runs: f64,
    /// A member is ejected when its latency is this many times the median of the pool.
    pub latency_factor: f64,
    /// Duration of the first ejection; it doubles with each further one. In microseconds.
    pub base_ejection: Micros,
    /// Upper bound of the duration of an ejection, in microseconds.
    pub max_ejection: Micros,
    /// The duration starts again at `base_ejection` once a member has not been ejected for this
    /// long and `max_ejection`, in microseconds.
    pub backoff_reset: Micros,
    /// Duration of the slow start after probation, in microseconds.
    pub slow_start: Micros,
    /// Probation waits this long for an idempotent run; after that any run is the probe. In
    /// microseconds.
    pub probe_wait: Micros,
}

impl Default for OutlierDetectionConfig {
    fn default() -> OutlierDetectionConfig {
        OutlierDetectionConfig {
            consecutive_failures: 5,
            failure_ratio: 0.5,
            min_runs: 10.0,
            latency_factor: 4.0,
            base_ejection: 2 * SECOND,
            max_ejection: 60 * SECOND,
            backoff_reset: 60 * SECOND,
            slow_start: 5 * SECOND,
            probe_wait: 2 * SECOND,
        }
    }
}

/// Why a member is ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionReason {
    /// This many consecutive failures.
    ConsecutiveFailures(u32),
    /// This ratio of failures among recent runs.
    FailureRatio(f64),
    /// A latency of this many times the median of the pool.
    HighLatency(f64),
    /// The probe run failed.
    ProbationFailed,
}

impl EjectionReason {
    /// Whether the member counts as failing: its runs failed, or its probe failed and `was_failing`
    /// held before. A slow member completes its runs and is not failing.
    fn is_failure(self, was_failing: bool) -> bool {
        match self {
            EjectionReason::ConsecutiveFailures(_) | EjectionReason::FailureRatio(_) => true,
            EjectionReason::HighLatency(_) => false,
            EjectionReason::ProbationFailed => was_failing,
        }
    }
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EjectionReason::ConsecutiveFailures(count) => write!(f, "{count} consecutive failures"),
            EjectionReason::FailureRatio(ratio) => write!(f, "{:.0}% failures", ratio * 100.0),
            EjectionReason::HighLatency(factor) => {
                write!(f, "latency {factor:.1} times the pool median")
            }
            EjectionReason::ProbationFailed => write!(f, "probe failed"),
        }
    }
}

/// The state of a member's outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthStatus {
    /// Gets its full traffic.
    Healthy,
    /// Gets no runs.
    Ejected {
        /// End of the ejection.
        until: Micros,
        /// Cause of the ejection.
        reason: EjectionReason,
    },
    /// Gets one run at a time, until one succeeds.
    Probation {
        /// Start of the probation.
        since: Micros,
    },
    /// Gets a growing fraction of its traffic.
    SlowStart {
        /// Start of the slow start.
        since: Micros,
    },
}

impl HealthStatus {
    /// Whether the member is ejected or on probation.
    pub fn is_unavailable(self) -> bool {
        matches!(
            self,
            HealthStatus::Ejected { .. } | HealthStatus::Probation { .. }
        )
    }

    /// Whether the member is on probation.
    pub fn is_on_probation(self) -> bool {
        matches!(self, HealthStatus::Probation { .. })
    }
}

/// Results of recent runs.
#[derive(Clone, Copy, Debug, Default)]
struct RunHistory {
    consecutive_failures: u32,
    /// Failures and runs, decayed by [`RUN_DECAY`] with each run.
    failures: f64,
    runs: f64,
}

impl RunHistory {
    fn record(&mut self, failed: bool) {
        self.runs = self.runs * RUN_DECAY + 1.0;
        self.failures = self.failures * RUN_DECAY + f64::from(u8::from(failed));
        self.consecutive_failures = if failed {
            self.consecutive_failures + 1
        } else {
            0
        };
    }
}

/// Outlier detection of one member.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    config: OutlierDetectionConfig,
    status: HealthStatus,
    /// When `status` was entered, in microseconds.
    entered_at: Micros,
    history: RunHistory,
    /// Ejections since the last reset; the duration doubles with each.
    ejections: u32,
    last_ejected_at: Micros,
    /// Whether the end of the last ejection was already deferred or brought forward.
    probation_was_rescheduled: bool,
    /// Whether the last ejection was for failures, as opposed to latency.
    is_failing: bool,
}

impl OutlierDetector {
    /// Creates the detector of a healthy member.
    pub fn new(config: OutlierDetectionConfig, now: Micros) -> OutlierDetector {
        OutlierDetector {
            config,
            status: HealthStatus::Healthy,
            entered_at: now,
            history: RunHistory::default(),
            ejections: 0,
            last_ejected_at: Micros::MIN / 2,
            probation_was_rescheduled: false,
            is_failing: false,
        }
    }

    /// Creates the detector of a member that joins a running pool: it begins with a slow start.
    pub fn with_slow_start(config: OutlierDetectionConfig, now: Micros) -> OutlierDetector {
        OutlierDetector {
            status: HealthStatus::SlowStart { since: now },
            ..OutlierDetector::new(config, now)
        }
    }

    /// The present status.
    pub fn status(&self) -> HealthStatus {
        self.status
    }

    /// When the present status was entered, in microseconds.
    pub fn entered_at(&self) -> Micros {
        self.entered_at
    }

    fn enter(&mut self, now: Micros, status: HealthStatus) {
        self.status = status;
        self.entered_at = now;
    }

    /// Whether the member is ejected or on probation because its runs failed. A member that is
    /// only slow is not failing.
    pub fn is_ejected_for_failures(&self) -> bool {
        self.is_failing && self.status.is_unavailable()
    }

    /// Extends an ejection that is over by its own duration, because another node probes the member
    /// first. An ejection is extended at most once, in case that node does not probe. Returns
    /// whether the ejection was extended.
    pub fn defer_probation(&mut self, now: Micros) -> bool {
        match self.status {
            HealthStatus::Ejected { until, reason }
                if now >= until && !self.probation_was_rescheduled =>
            {
                self.probation_was_rescheduled = true;
                let duration = (until - self.entered_at).clamp(0, self.config.max_ejection);
                self.status = HealthStatus::Ejected {
                    until: now + duration,
                    reason,
                };
                true
            }
            _ => false,
        }
    }

    /// Halves the rest of an ejection, because another node's probe succeeded. Returns whether the
    /// member is ejected.
    pub fn shorten_ejection(&mut self, now: Micros) -> bool {
        let HealthStatus::Ejected { until, reason } = self.status else {
            return false;
        };
        self.status = HealthStatus::Ejected {
            until: now + (until - now).max(0) / 2,
            reason,
        };
        // The other node has probed the member: deferring further would only lose time.
        self.probation_was_rescheduled = true;
        true
    }

    /// Ends an ejection or a slow start whose time is over. Returns whether the status changed.
    pub fn tick(&mut self, now: Micros) -> bool {
        match self.status {
            HealthStatus::Ejected { until, .. } if now >= until => {
                self.enter(now, HealthStatus::Probation { since: now });
                true
            }
            HealthStatus::SlowStart { since } if now >= since + self.config.slow_start => {
                self.enter(now, HealthStatus::Healthy);
                true
            }
            _ => false,
        }
    }

    /// When [`OutlierDetector::tick`] next changes the status.
    pub fn next_transition(&self) -> Option<Micros> {
        match self.status {
            HealthStatus::Ejected { until, .. } => Some(until),
            HealthStatus::SlowStart { since } => Some(since + self.config.slow_start),
            HealthStatus::Healthy | HealthStatus::Probation { .. } => None,
        }
    }

    /// The fraction of its traffic that the member gets, 0 to 1.
    pub fn traffic_share(&self, now: Micros) -> f64 {
        match self.status {
            HealthStatus::Healthy => 1.0,
            HealthStatus::Ejected { .. } | HealthStatus::Probation { .. } => 0.0,
            HealthStatus::SlowStart { since } => {
                let elapsed = (now - since).max(0) as f64;
                let duration = self.config.slow_start.max(1) as f64;
                (elapsed / duration).clamp(MIN_SLOW_START_SHARE, 1.0)
            }
        }
    }

    /// Whether a run may probe the member: the member is on probation, has no run in flight, and
    /// the run is idempotent or the wait for an idempotent one is over.
    pub fn accepts_probe(&self, now: Micros, is_idempotent: bool, in_flight: usize) -> bool {
        match self.status {
            HealthStatus::Probation { since } => {
                in_flight == 0 && (is_idempotent || now >= since + self.config.probe_wait)
            }
            _ => false,
        }
    }

    /// Records a run that succeeded. Returns whether it ended the probation.
    pub fn record_success(&mut self, now: Micros) -> bool {
        self.history.record(false);
        if !self.status.is_on_probation() {
            return false;
        }
        (self.history.failures, self.history.runs) = (0.0, 0.0);
        self.enter(now, HealthStatus::SlowStart { since: now });
        true
    }

    /// Records a run that failed. Returns the reason to eject the member, if it should be ejected.
    pub fn record_failure(&mut self) -> Option<EjectionReason> {
        self.history.record(true);
        match self.status {
            HealthStatus::Ejected { .. } => None,
            HealthStatus::Probation { .. } => Some(EjectionReason::ProbationFailed),
            HealthStatus::Healthy | HealthStatus::SlowStart { .. } => self.failure_outlier(),
        }
    }

    fn failure_outlier(&self) -> Option<EjectionReason> {
        let RunHistory {
            consecutive_failures,
            failures,
            runs,
        } = self.history;
        if consecutive_failures >= self.config.consecutive_failures {
            return Some(EjectionReason::ConsecutiveFailures(consecutive_failures));
        }
        let ratio = failures / runs;
        (runs >= self.config.min_runs && ratio >= self.config.failure_ratio)
            .then_some(EjectionReason::FailureRatio(ratio))
    }

    /// Returns the reason to eject the member for its latency, if it should be ejected. Both the
    /// member's latency and the pool's median are in microseconds.
    pub fn latency_outlier(&self, latency: f64, median: f64) -> Option<EjectionReason> {
        let factor = latency / median.max(1.0);
        let is_evaluated =
            self.status == HealthStatus::Healthy && self.history.runs >= self.config.min_runs;
        (is_evaluated && factor >= self.config.latency_factor)
            .then_some(EjectionReason::HighLatency(factor))
    }

    /// Ejects the member.
    pub fn eject(&mut self, now: Micros, reason: EjectionReason) {
        let reset_after = self.config.backoff_reset + self.config.max_ejection;
        if now - self.last_ejected_at > reset_after {
            self.ejections = 0;
        }
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = self
            .config
            .base_ejection
            .saturating_mul(1 << doublings)
            .min(self.config.max_ejection);
        self.ejections += 1;
        self.last_ejected_at = now;
        self.probation_was_rescheduled = false;
        self.is_failing = reason.is_failure(self.is_failing);
        self.history = RunHistory::default();
        self.enter(
            now,
            HealthStatus::Ejected {
                until: now + duration,
                reason,
            },
        );
    }
}
