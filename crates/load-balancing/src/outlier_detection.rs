//! A member's health, by what happens to its runs: nobody is asked for it.
//!
//! A member is taken out after some failures in a row, a high share of failures, or a latency far
//! above its pool's median; each time for longer. It comes back on trial: one run that may happen
//! twice goes first, and then it gets its share little by little. How many may be out at once is
//! the pool's affair.

use crate::{Micros, SECOND};
use std::fmt;

/// What health keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierDetectionConfig {
    /// So many failures in a row take a member out.
    pub consecutive_failures: u32,
    /// So high a share of failures does, among the last runs.
    pub failure_ratio: f64,
    /// Fewer runs than this make no share, and no latency.
    pub min_runs: f64,
    /// A latency of so many times the pool's median does.
    pub latency_factor: f64,
    /// It is out for so long, in microseconds; twice as long each time.
    pub base_ejection: Micros,
    /// But no longer than this, in microseconds.
    pub max_ejection: Micros,
    /// After so long without being taken out it begins anew, in microseconds.
    pub backoff_reset: Micros,
    /// After its return its share grows for so long, in microseconds.
    pub slow_start: Micros,
    /// Where no run may happen twice, one that may not is its trial after so long, in microseconds.
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

/// EjectionReason a member is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionReason {
    /// So many failures in a row.
    ConsecutiveFailures(u32),
    /// This share of failures.
    FailureRatio(f64),
    /// So many times the pool's median latency.
    HighLatency(f64),
    /// Its run on trial failed.
    ProbationFailed,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EjectionReason::ConsecutiveFailures(count) => write!(f, "{count} failures in a row"),
            EjectionReason::FailureRatio(share) => write!(f, "{:.0}% failures", share * 100.0),
            EjectionReason::HighLatency(times) => {
                write!(f, "{times:.1} times slower than its pool")
            }
            EjectionReason::ProbationFailed => write!(f, "failed on trial"),
        }
    }
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberState {
    /// It gets its share.
    Healthy,
    /// It gets nothing until then.
    Ejected {
        /// Until then.
        until: Micros,
        /// For this.
        reason: EjectionReason,
    },
    /// One run at a time, until one goes well.
    Probation {
        /// Since then.
        since: Micros,
    },
    /// It gets a part of its share, which grows.
    SlowStart {
        /// Since then.
        since: Micros,
    },
}

/// One member's health.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    rules: OutlierDetectionConfig,
    state: MemberState,
    /// When it came to this state.
    pub entered_at: Micros,
    in_a_row: u32,
    /// Failures and runs, the older ones counting less.
    failures: f64,
    runs: f64,
    times: u32,
    last_out: Micros,
    /// Others may try it before this one does; once each time that it is out.
    waited: bool,
    /// It was taken out since its runs failed, and not since they were slow.
    failing: bool,
}

/// What each run leaves of those before it.
const FADE: f64 = 0.95;

impl OutlierDetector {
    /// A member that is up.
    pub fn new(rules: OutlierDetectionConfig, now: Micros) -> OutlierDetector {
        OutlierDetector {
            rules,
            state: MemberState::Healthy,
            entered_at: now,
            in_a_row: 0,
            failures: 0.0,
            runs: 0.0,
            times: 0,
            last_out: Micros::MIN / 2,
            waited: false,
            failing: false,
        }
    }

    /// A newcomer to a pool that has been running: it starts slowly.
    pub fn with_slow_start(rules: OutlierDetectionConfig, now: Micros) -> OutlierDetector {
        OutlierDetector {
            state: MemberState::SlowStart { since: now },
            ..OutlierDetector::new(rules, now)
        }
    }

    /// How it stands.
    pub fn state(&self) -> MemberState {
        self.state
    }

    fn enter(&mut self, now: Micros, state: MemberState) {
        (self.state, self.entered_at) = (state, now);
    }

    /// Whether it is out, or on trial after that, as its runs failed: one that is only slow does
    /// what it is given.
    pub fn is_ejected_for_failures(&self) -> bool {
        self.failing
            && matches!(
                self.state,
                MemberState::Ejected { .. } | MemberState::Probation { .. }
            )
    }

    /// Another one is to try it first: it stays out as long again, once, in case that one doesn't.
    /// Whether it does.
    pub fn defer_probation(&mut self, now: Micros) -> bool {
        match self.state {
            MemberState::Ejected { until, reason: why } if now >= until && !self.waited => {
                self.waited = true;
                self.state = MemberState::Ejected {
                    until: now + (until - self.entered_at).clamp(0, self.rules.max_ejection),
                    reason: why,
                };
                true
            }
            _ => false,
        }
    }

    /// Somebody else has found it well: half of what is left of its time is enough. Whether it is
    /// out.
    pub fn shorten_ejection(&mut self, now: Micros) -> bool {
        match self.state {
            MemberState::Ejected { until, reason: why } => {
                self.state = MemberState::Ejected {
                    until: now + (until - now).max(0) / 2,
                    reason: why,
                };
                // Nobody is waited for any more.
                self.waited = true;
                true
            }
            _ => false,
        }
    }

    /// Time passes. Whether it came on trial or is wholly back.
    pub fn tick(&mut self, now: Micros) -> bool {
        match self.state {
            MemberState::Ejected { until, .. } if now >= until => {
                self.enter(now, MemberState::Probation { since: now })
            }
            MemberState::SlowStart { since } if now >= since + self.rules.slow_start => {
                self.enter(now, MemberState::Healthy)
            }
            _ => return false,
        }
        true
    }

    /// The part of its share that it gets; none while it is out.
    pub fn traffic_share(&self, now: Micros) -> f64 {
        match self.state {
            MemberState::Healthy => 1.0,
            MemberState::Ejected { .. } => 0.0,
            MemberState::Probation { .. } => 0.0,
            MemberState::SlowStart { since } => {
                ((now - since).max(0) as f64 / self.rules.slow_start.max(1) as f64).clamp(0.1, 1.0)
            }
        }
    }

    /// Whether its trial may be a run like this: one alone, and one that may happen twice, unless
    /// none came for long.
    pub fn accepts_probe(&self, now: Micros, safe: bool, in_flight: usize) -> bool {
        match self.state {
            MemberState::Probation { since } => {
                in_flight == 0 && (safe || now >= since + self.rules.probe_wait)
            }
            _ => false,
        }
    }

    /// A run went well. Whether that brought it back.
    pub fn record_success(&mut self, now: Micros) -> bool {
        self.count(false);
        if matches!(self.state, MemberState::Probation { .. }) {
            (self.failures, self.runs) = (0.0, 0.0);
            self.enter(now, MemberState::SlowStart { since: now });
            return true;
        }
        false
    }

    fn count(&mut self, failed: bool) {
        self.runs = self.runs * FADE + 1.0;
        self.failures = self.failures * FADE + f64::from(u8::from(failed));
        self.in_a_row = if failed { self.in_a_row + 1 } else { 0 };
    }

    /// A run failed. EjectionReason it should be out for that, if it should.
    pub fn record_failure(&mut self) -> Option<EjectionReason> {
        self.count(true);
        match self.state {
            MemberState::Ejected { .. } => None,
            MemberState::Probation { .. } => Some(EjectionReason::ProbationFailed),
            MemberState::Healthy | MemberState::SlowStart { .. } => {
                let share = self.failures / self.runs;
                if self.in_a_row >= self.rules.consecutive_failures {
                    Some(EjectionReason::ConsecutiveFailures(self.in_a_row))
                } else {
                    (self.runs >= self.rules.min_runs && share >= self.rules.failure_ratio)
                        .then_some(EjectionReason::FailureRatio(share))
                }
            }
        }
    }

    /// EjectionReason it should be out for its latency, if it should: its own and the pool's median, in
    /// microseconds.
    pub fn latency_outlier(&self, latency: f64, median: f64) -> Option<EjectionReason> {
        let times = latency / median.max(1.0);
        let counts = self.state == MemberState::Healthy && self.runs >= self.rules.min_runs;
        (counts && times >= self.rules.latency_factor).then_some(EjectionReason::HighLatency(times))
    }

    /// It is out from now on.
    pub fn eject(&mut self, now: Micros, why: EjectionReason) {
        if now - self.last_out > self.rules.backoff_reset + self.rules.max_ejection {
            self.times = 0;
        }
        let out = self
            .rules
            .base_ejection
            .saturating_mul(1 << self.times.min(20))
            .min(self.rules.max_ejection);
        self.times += 1;
        self.last_out = now;
        self.waited = false;
        self.failing = match why {
            EjectionReason::ConsecutiveFailures(_) | EjectionReason::FailureRatio(_) => true,
            EjectionReason::HighLatency(_) => false,
            EjectionReason::ProbationFailed => self.failing,
        };
        (self.in_a_row, self.failures, self.runs) = (0, 0.0, 0.0);
        self.enter(
            now,
            MemberState::Ejected {
                until: now + out,
                reason: why,
            },
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whose_turn_is_later_waits_as_long_again_and_a_word_halves_it() {
        let mut health = health();
        health.eject(0, EjectionReason::ConsecutiveFailures(5));
        let out = OutlierDetectionConfig::default().base_ejection;
        assert!(
            !health.defer_probation(out - 1) && health.defer_probation(out),
            "at the end of its time"
        );
        assert!(
            !health.tick(out) && !health.defer_probation(2 * out) && health.tick(2 * out),
            "once"
        );
        health.eject(10 * out, EjectionReason::ProbationFailed);
        assert!(health.shorten_ejection(10 * out));
        assert!(
            !health.tick(11 * out - 1)
                && !health.defer_probation(11 * out)
                && health.tick(11 * out)
        );
        assert!(!health.shorten_ejection(11 * out));
    }

    fn health() -> OutlierDetector {
        OutlierDetector::new(OutlierDetectionConfig::default(), 0)
    }

    #[test]
    fn one_that_is_slow_does_not_fail() {
        let mut health = health();
        health.eject(0, EjectionReason::HighLatency(5.0));
        assert!(!health.is_ejected_for_failures());
        health.eject(0, EjectionReason::ProbationFailed);
        assert!(!health.is_ejected_for_failures());
        health.eject(0, EjectionReason::ConsecutiveFailures(5));
        health.eject(0, EjectionReason::ProbationFailed);
        assert!(
            health.is_ejected_for_failures()
                && health.tick(1 << 40)
                && health.is_ejected_for_failures()
        );
        assert!(health.record_success(1 << 40) && !health.is_ejected_for_failures());
    }

    #[test]
    fn failures_in_a_row_or_in_a_share_take_it_out() {
        let mut health = health();
        assert_eq!((0..4).find_map(|_| health.record_failure()), None);
        assert_eq!(
            health.record_failure(),
            Some(EjectionReason::ConsecutiveFailures(5))
        );
        let mut health = self::health();
        let pattern = [true, true, false].into_iter().cycle().take(60);
        let found = pattern.enumerate().find_map(|(i, failed)| match failed {
            true => health.record_failure().map(|why| (i, why)),
            false => (health.record_success(0)).then_some((i, EjectionReason::ProbationFailed)),
        });
        let Some((i, EjectionReason::FailureRatio(share))) = found else {
            panic!("{found:?}")
        };
        assert!(i >= 9 && share >= 0.5);
        let mut health = self::health();
        // One in ten is no reason.
        for i in 0..200 {
            if i % 10 == 0 {
                assert_eq!(health.record_failure(), None);
            } else {
                health.record_success(0);
            }
        }
    }

    #[test]
    fn it_is_out_for_longer_each_time_and_comes_back_slowly() {
        let mut health = health();
        let (mut now, mut outs) = (0, Vec::new());
        for _ in 0..8 {
            health.eject(now, EjectionReason::ProbationFailed);
            let MemberState::Ejected { until, .. } = health.state() else {
                panic!("out")
            };
            outs.push((until - now) / SECOND);
            assert!(!health.tick(until - 1) && health.traffic_share(until - 1) == 0.0);
            assert!(health.tick(until));
            now = until;
            // One run that may happen twice, alone.
            assert!(health.accepts_probe(now, true, 0) && !health.accepts_probe(now, true, 1));
            assert!(
                !health.accepts_probe(now, false, 0)
                    && health.accepts_probe(now + 2 * SECOND, false, 0)
            );
            assert_eq!(
                health.record_failure(),
                Some(EjectionReason::ProbationFailed)
            );
        }
        assert_eq!(outs, [2, 4, 8, 16, 32, 60, 60, 60]);
        assert!(health.record_success(now));
        assert!(health.traffic_share(now) < 0.2 && health.traffic_share(now + 4 * SECOND) > 0.7);
        assert!(health.tick(now + 5 * SECOND) && health.state() == MemberState::Healthy);
        // Forgiven after a while.
        now += 500 * SECOND;
        health.eject(now, EjectionReason::ProbationFailed);
        assert!(
            matches!(health.state(), MemberState::Ejected { until, .. } if until == now + 2 * SECOND)
        );
    }

    #[test]
    fn slow_is_judged_by_the_pool() {
        let mut health = health();
        assert_eq!(health.latency_outlier(1e6, 1e3), None);
        (0..20).for_each(|_| assert!(!health.record_success(0)));
        assert_eq!(
            health.latency_outlier(4e3, 1e3),
            Some(EjectionReason::HighLatency(4.0))
        );
        assert_eq!(health.latency_outlier(3e3, 1e3), None);
    }
}
