//! The limit on downstream calls in flight.
//!
//! The limit decreases multiplicatively when calls fail or slow down, and grows otherwise, within
//! the bounds of [`CallLimit::bounds`]. For a shared dependency the mean number of calls in flight
//! is enforced by a credit that accumulates at the limit and is spent by the calls in flight.

use super::concurrency_limit::USABLE_CONCURRENCY;
use super::hysteresis::{HARMLESS_WAIT, LONGEST_WAIT};
use super::latency::{LatencyEstimate, MICROS_PER_SECOND};
use crate::interface::{Downstream, Micros, Outcome, Settings};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The bounds of the limit as shares of this server's share of a shared dependency. The dependency
/// survives some multiple of the load that it serves well.
const MIN_SHARE: f64 = 0.3;
const MAX_SHARE: f64 = 0.45;
/// The limit at the start, as a share of the same. Calls slow down well before the whole share is
/// in use.
const INITIAL_SHARE: f64 = 0.4;
/// The part of the call window for which credit accumulates.
const CREDIT_WINDOW: f64 = 0.2;
/// The part of the share that calls may use over the call window, abandoned ones included.
const USABLE_SHARE: f64 = 0.9;
/// A mean latency of this multiple of the best means that calls queue downstream, where fewer
/// concurrent calls would achieve the same.
const SLOWED_LATENCY: f64 = 1.5;
const DECREASE_FACTOR: f64 = 0.95;
const INCREASE_SHARE: f64 = 0.05;

/// The limit on calls in flight, and the calls that count against it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CallLimit {
    /// Calls that were placed and have not ended.
    #[serde(rename = "placed")]
    pub(crate) in_flight: f64,
    /// The times until which abandoned calls still occupy the dependency.
    #[serde(rename = "lingering")]
    pub(crate) abandoned_until: VecDeque<Micros>,
    /// Unspent call time in call-microseconds; negative after a slow call.
    pub(crate) credit: f64,
    /// The time up to which the credit is computed.
    #[serde(rename = "at")]
    pub(crate) credit_at: Micros,
    /// The number of calls that may be in flight on average.
    pub(crate) limit: f64,
    /// The latency of calls.
    pub(crate) latency: LatencyEstimate,
}

impl CallLimit {
    pub(crate) fn new(settings: &Settings) -> CallLimit {
        let [_, max] = CallLimit::bounds(settings);
        CallLimit {
            in_flight: 0.0,
            abandoned_until: VecDeque::new(),
            credit: 0.0,
            credit_at: 0,
            limit: if settings.downstream == Downstream::Tier {
                max
            } else {
                INITIAL_SHARE * settings.call_share
            },
            latency: LatencyEstimate::default(),
        }
    }

    /// The minimum and the maximum of the limit. No share of a tier is assigned to this server, so
    /// the limit lies between one call per core and the greatest possible number of runs.
    pub(crate) fn bounds(settings: &Settings) -> [f64; 2] {
        match settings.downstream {
            Downstream::Tier => {
                let one_per_core = settings.cores.max(1.0);
                let max_per_core = settings.safety.max_concurrency_per_core;
                let max_runs = USABLE_CONCURRENCY * max_per_core * settings.cores;
                [one_per_core, max_runs.max(one_per_core)]
            }
            _ => [
                MIN_SHARE * settings.call_share,
                MAX_SHARE * settings.call_share,
            ],
        }
    }

    /// Keeps the limit within the bounds of changed settings.
    pub(crate) fn clamp_to_bounds(&mut self, settings: &Settings) {
        let [min, max] = CallLimit::bounds(settings);
        self.limit = self.limit.clamp(min, max);
    }

    /// Updates credit and abandoned calls to the present time. Credit accumulates at the limit and
    /// is spent by calls in flight, so that their mean is the limit however long calls take, also
    /// where the limit is far below one call.
    pub(crate) fn advance(&mut self, settings: &Settings, now: Micros) {
        while self
            .abandoned_until
            .front()
            .is_some_and(|&until| until <= now)
        {
            self.abandoned_until.pop_front();
        }
        let gained = (self.limit - self.occupancy()) * (now - self.credit_at) as f64;
        let max_credit = CREDIT_WINDOW * self.limit * settings.call_window as f64;
        self.credit = (self.credit + gained).min(max_credit);
        self.credit_at = now;
    }

    /// The number of calls that occupy the dependency, abandoned ones included.
    pub(crate) fn occupancy(&self) -> f64 {
        self.in_flight + self.abandoned_until.len() as f64
    }

    /// The number of calls that may be in flight at the same moment. Random bursts may exceed the
    /// mean by a factor of two, as they average out over the fleet; larger ones would overload a
    /// dependency that is already slow.
    fn burst_limit(&self) -> f64 {
        (2.0 * self.limit).max(1.0)
    }

    /// Whether another call may be placed while at most `ceiling` runs are allowed.
    pub(crate) fn has_capacity(&self, settings: &Settings, ceiling: f64) -> bool {
        let occupancy = self.occupancy() + 1.0;
        if settings.downstream != Downstream::Shared {
            return occupancy <= self.limit.min(ceiling);
        }
        occupancy <= self.burst_limit() && self.credit > 0.0
    }

    /// The timeout of a call. All servers can have a slow call at the same time: such calls may use
    /// what the limit and the accumulated credit leave of the share over the call window, including
    /// the time that they linger.
    pub(crate) fn timeout(&self, settings: &Settings) -> Micros {
        if settings.downstream != Downstream::Shared {
            return Micros::MAX;
        }
        let unused_share = USABLE_SHARE * settings.call_share - (1.0 + CREDIT_WINDOW) * self.limit;
        let per_call = unused_share / self.burst_limit();
        let spare = (per_call * settings.call_window as f64) as Micros;
        spare - settings.call_linger.min(spare / 2)
    }

    /// The number of calls per second that the limit allows. As the limit of a tier is not a
    /// guaranteed share, its rate is reduced so that even a call queue at its discard threshold
    /// ([`LONGEST_WAIT`]) causes only a harmless wait ([`HARMLESS_WAIT`]).
    pub(crate) fn completion_rate(&self, settings: &Settings) -> f64 {
        if self.latency.mean == 0.0 {
            return f64::INFINITY;
        }
        let usable = if settings.downstream == Downstream::Tier {
            HARMLESS_WAIT / LONGEST_WAIT
        } else {
            1.0
        };
        usable * self.limit / self.latency.mean * MICROS_PER_SECOND
    }

    /// Records the end of a call that was placed `elapsed` microseconds ago.
    pub(crate) fn record_end(
        &mut self,
        settings: &Settings,
        now: Micros,
        elapsed: f64,
        outcome: Outcome,
    ) {
        self.in_flight -= 1.0;
        match outcome {
            // A rejected call uses the credit of an average call; otherwise it would be repeated
            // immediately.
            Outcome::Rejected | Outcome::Unreachable => self.credit -= self.latency.mean,
            Outcome::TimedOut | Outcome::Cancelled => {
                self.abandoned_until.push_back(now + settings.call_linger);
            }
            _ => {}
        }
        if outcome == Outcome::Success || outcome == Outcome::TimedOut {
            self.latency.record(elapsed);
        }
        self.adjust(settings, outcome);
    }

    fn adjust(&mut self, settings: &Settings, outcome: Outcome) {
        let is_slow = self.latency.mean > SLOWED_LATENCY * self.latency.best;
        let half_max_credit = 0.5 * CREDIT_WINDOW * self.limit * settings.call_window as f64;
        if outcome != Outcome::Success || is_slow {
            self.limit *= DECREASE_FACTOR;
        } else if settings.downstream == Downstream::Tier || self.credit < half_max_credit {
            self.limit += INCREASE_SHARE * self.limit;
        }
        self.clamp_to_bounds(settings);
    }
}
