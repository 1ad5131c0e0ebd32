//! Measures a node's load, and limits how often it is reported.
//!
//! A load is the demand in runs per second, on a logarithmic scale of half doublings. A run is the
//! execution of a request on a worker.

use crate::Micros;

/// The highest load level.
pub const MAX_LEVEL: u8 = 60;
/// Levels per doubling of the load.
const LEVELS_PER_DOUBLING: f64 = 2.0;

/// The length of a measurement window.
const WINDOW: Micros = 500_000;
/// The weight of the previous mean after one window.
const DECAY_PER_WINDOW: f64 = 0.5;
/// The number of windows after which the previous mean no longer counts.
const MAX_DECAY_WINDOWS: f64 = 30.0;
/// The minimum change of the level that is reported.
const MIN_REPORTED_CHANGE: u8 = 2;

/// The maximum number of reports in a burst.
const MAX_REPORT_BURST: f64 = 4.0;
/// The traffic that the reports of all nodes may cause at each node, in bytes per second.
pub const MAX_TRAFFIC: f64 = 2_000.0;
/// The size of one report on the wire, with the member record around it, in bytes.
pub const REPORT_BYTES: f64 = 110.0;
/// The number of times that each node retransmits a report, divided by the decimal logarithm of the
/// fleet's size, as in the membership protocol.
const RETRANSMISSIONS: f64 = 4.0;

const MICROS_PER_SECOND: f64 = 1e6;

/// Returns the load of a level. Level 0 is a load of 1, so that an idle node keeps a share.
pub fn load_of_level(level: u8) -> f64 {
    (f64::from(level.min(MAX_LEVEL)) * 0.5).exp2()
}

/// Returns the level of a demand in runs per second.
pub fn level_of_rate(rate: f64) -> u8 {
    ((1.0 + rate.max(0.0)).log2() * LEVELS_PER_DOUBLING)
        .round()
        .min(f64::from(MAX_LEVEL)) as u8
}

/// Measures the demand of a pool.
#[derive(Clone, Debug)]
pub struct LoadMeter {
    /// Runs requested in the current window.
    requested: u64,
    window_start: Micros,
    /// The mean demand, in runs per second.
    rate: f64,
    reported_level: u8,
}

impl LoadMeter {
    /// Returns a meter without any recorded demand.
    pub fn new(now: Micros) -> LoadMeter {
        LoadMeter {
            requested: 0,
            window_start: now,
            rate: 0.0,
            reported_level: 0,
        }
    }

    /// Counts requested runs.
    pub fn record(&mut self, requested: u64) {
        self.requested += requested;
    }

    /// Ends the current window if it is long enough.
    pub fn tick(&mut self, now: Micros) {
        let elapsed = now - self.window_start;
        if elapsed < WINDOW {
            return;
        }
        let windows = (elapsed as f64 / WINDOW as f64).min(MAX_DECAY_WINDOWS);
        let decay = DECAY_PER_WINDOW.powf(windows);
        let rate = self.requested as f64 * MICROS_PER_SECOND / elapsed as f64;
        self.rate = self.rate * decay + rate * (1.0 - decay);
        self.requested = 0;
        self.window_start = now;
    }

    /// Returns the level if it differs enough from the last one reported.
    pub fn level_to_report(&self) -> Option<u8> {
        let level = level_of_rate(self.rate);
        let has_changed = level.abs_diff(self.reported_level) >= MIN_REPORTED_CHANGE;
        let became_idle = level == 0 && self.reported_level > 0;
        (has_changed || became_idle).then_some(level)
    }

    /// Returns the last level reported.
    pub fn reported_level(&self) -> u8 {
        self.reported_level
    }

    /// Records the level that has been reported.
    pub fn set_reported_level(&mut self, level: u8) {
        self.reported_level = level;
    }
}

/// Limits how often reports are sent: a token bucket that fills more slowly in a larger fleet.
#[derive(Clone, Debug)]
pub struct ReportLimiter {
    tokens: f64,
    filled_at: Micros,
}

impl ReportLimiter {
    /// Returns a full bucket.
    pub fn new(now: Micros) -> ReportLimiter {
        ReportLimiter {
            tokens: MAX_REPORT_BURST,
            filled_at: now,
        }
    }

    /// Takes a token from the bucket, which fills at the rate for a fleet of `nodes` nodes. Returns
    /// whether there was one.
    pub fn try_acquire(&mut self, now: Micros, nodes: usize) -> bool {
        let transmissions = RETRANSMISSIONS * (nodes.max(2) as f64).log10().max(1.0);
        let reports_per_second = MAX_TRAFFIC / (REPORT_BYTES * transmissions * nodes.max(1) as f64);
        let elapsed_seconds = (now - self.filled_at).max(0) as f64 / MICROS_PER_SECOND;
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed_seconds * reports_per_second).min(MAX_REPORT_BURST);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
