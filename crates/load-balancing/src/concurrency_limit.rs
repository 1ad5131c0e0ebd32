//! Adaptive concurrency limit of one member: additive increase, multiplicative decrease by latency.
//!
//! The limit grows while it is fully used and latency stays near its baseline, and falls when the
//! mean latency of a window of runs is far above the baseline. Windows are compared instead of
//! single runs, as run times vary more between requests than with the load.

use crate::Micros;

/// Weight of a window's mean in the baseline when the mean is below it.
const BASELINE_DECAY_DOWN: f64 = 0.2;
/// Weight of a window's mean in the baseline when the mean is above it and the baseline may rise.
const BASELINE_DECAY_UP: f64 = 0.1;

/// Parameters of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    /// The limit at the start, in runs.
    pub initial: f64,
    /// Lower bound of the limit, in runs.
    pub min: f64,
    /// The limit falls when the mean latency exceeds this many times the baseline.
    pub latency_tolerance: f64,
    /// Factor by which the limit falls.
    pub decrease_factor: f64,
    /// Runs in a window; a window has at least as many as the limit.
    pub min_window_runs: u32,
}

impl Default for ConcurrencyLimitConfig {
    fn default() -> ConcurrencyLimitConfig {
        ConcurrencyLimitConfig {
            initial: 16.0,
            min: 4.0,
            latency_tolerance: 2.5,
            decrease_factor: 0.8,
            min_window_runs: 30,
        }
    }
}

/// A window of runs that are evaluated together.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// In microseconds.
    latency_sum: f64,
    runs: u32,
    /// Maximum of the runs in flight when one of them ended.
    peak_in_flight: usize,
}

impl Window {
    fn record(&mut self, latency: Micros, in_flight: usize) {
        self.latency_sum += latency as f64;
        self.runs += 1;
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }
}

/// The concurrency limit of one member.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    config: ConcurrencyLimitConfig,
    upper_bound: f64,
    limit: f64,
    /// Latency of a run while the member is not full, in microseconds.
    baseline: Option<f64>,
    window: Window,
    /// Runs that started earlier were not subject to the present limit and are ignored.
    valid_from: Micros,
    /// Whether the limit has fallen once. Until then it grows exponentially (slow start).
    has_decreased: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit that never exceeds `upper_bound` runs.
    pub fn new(config: ConcurrencyLimitConfig, upper_bound: usize) -> ConcurrencyLimit {
        ConcurrencyLimit {
            config,
            upper_bound: upper_bound.max(1) as f64,
            limit: config.initial,
            baseline: None,
            window: Window::default(),
            valid_from: Micros::MIN,
            has_decreased: false,
        }
    }

    /// The learned limit, within the upper bound.
    fn effective(&self) -> f64 {
        self.limit.min(self.upper_bound)
    }

    fn lower_bound(&self) -> f64 {
        self.config.min.min(self.upper_bound)
    }

    /// Runs that may be in flight.
    pub fn allowed_runs(&self) -> usize {
        self.effective().max(1.0) as usize
    }

    /// Sets the upper bound, in runs. The learned limit is retained, as a temporarily lower bound
    /// does not mean that the member has less capacity.
    pub fn set_upper_bound(&mut self, upper_bound: usize) {
        self.upper_bound = upper_bound.max(1) as f64;
    }

    /// Records a successful run that started at `started_at`. `in_flight` counts the member's runs
    /// with this one.
    pub fn record_success(&mut self, now: Micros, started_at: Micros, in_flight: usize) {
        if started_at < self.valid_from {
            return;
        }
        self.window.record((now - started_at).max(1), in_flight);
        let window_size = self.effective().max(f64::from(self.config.min_window_runs));
        if f64::from(self.window.runs) >= window_size {
            self.evaluate_window(now);
        }
    }

    fn evaluate_window(&mut self, now: Micros) {
        let window = std::mem::take(&mut self.window);
        let limit = self.effective();
        let mean = window.latency_sum / f64::from(window.runs);
        let peak = window.peak_in_flight as f64;
        let baseline = self.update_baseline(mean, peak, limit);
        if mean > baseline * self.config.latency_tolerance {
            self.limit = (limit * self.config.decrease_factor).max(self.lower_bound());
            self.valid_from = now;
            self.has_decreased = true;
        } else if peak + 1.0 >= limit && limit < self.upper_bound {
            let increase = if self.has_decreased { 1.0 } else { limit / 2.0 };
            self.limit = (limit + increase).min(self.upper_bound);
        }
    }

    /// Moves the baseline towards a window's mean and returns it.
    ///
    /// The baseline rises only from windows in which the member was not full, as latency under full
    /// load would make any load look normal. At the minimum of the limit it rises in any case:
    /// otherwise a lasting increase of the latency would keep the limit there forever.
    fn update_baseline(&mut self, mean: f64, peak: f64, limit: f64) -> f64 {
        let had_spare_capacity = peak <= 1.0 || peak * 2.0 <= limit;
        let is_at_minimum = limit <= self.lower_bound();
        let baseline = self.baseline.unwrap_or(mean);
        let weight = if mean < baseline {
            BASELINE_DECAY_DOWN
        } else if had_spare_capacity || is_at_minimum {
            BASELINE_DECAY_UP
        } else {
            0.0
        };
        let baseline = baseline + (mean - baseline) * weight;
        self.baseline = Some(baseline);
        baseline
    }
}
