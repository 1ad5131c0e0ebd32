//! Smoothed run times and call latencies.

use serde::{Deserialize, Serialize};

/// Microseconds in a second. Times are microseconds, and rates are per second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// The lower bound of a rate per second that is used as a divisor.
pub(crate) const MIN_RATE: f64 = 1e-9;

/// The weight of a new value in an exponentially weighted moving average: about the last ten values
/// count.
pub(crate) const SMOOTHING: f64 = 0.1;
/// The weight with which the best value follows a higher mean.
const BEST_RISE: f64 = 0.05 * SMOOTHING;

/// A moving average, and an estimate of its best value.
///
/// The best value follows the mean quickly downwards and slowly upwards. The minimum of all values
/// would be an outlier if values vary widely, and make ordinary ones look slow. So would one of the
/// first values, which keeps its influence for a long time if values are rare; both estimates
/// therefore start as the plain mean of the first values.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: f64,
    pub(crate) best: f64,
    pub(crate) count: f64,
}

impl LatencyEstimate {
    /// Records a value.
    pub(crate) fn record(&mut self, value: f64) {
        self.count += 1.0;
        self.mean += SMOOTHING.max(1.0 / self.count) * (value - self.mean);
        let weight = if self.mean < self.best {
            SMOOTHING
        } else {
            BEST_RISE
        };
        let is_plain_mean = self.count * SMOOTHING <= 1.0;
        self.best = if is_plain_mean {
            self.mean
        } else {
            self.best + weight * (self.mean - self.best)
        };
    }
}

/// Statistics of the successful runs of a class, in microseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ClassStatistics {
    /// The time from start to end.
    #[serde(rename = "total")]
    pub(crate) run_time: LatencyEstimate,
    /// The run time less waits for calls.
    #[serde(rename = "cores")]
    pub(crate) core_time: LatencyEstimate,
    /// The expected cost that requests state, in the units of the class.
    #[serde(rename = "hint")]
    pub(crate) cost: LatencyEstimate,
}

impl ClassStatistics {
    /// The cost of a request relative to the mean of its class; 1 where it is unknown.
    pub(crate) fn relative_cost(&self, cost: f64) -> f64 {
        if cost > 0.0 && self.cost.mean > 0.0 {
            cost / self.cost.mean
        } else {
            1.0
        }
    }
}
