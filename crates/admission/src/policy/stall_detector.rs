//! Detects stalled cores: all are busy, and no run has made progress for far longer than random
//! variation explains.

use crate::interface::{Micros, Settings};
use serde::{Deserialize, Serialize};

/// A stall is assumed after this multiple of the mean interval between ends of runs. Intervals are
/// close to exponentially distributed, so that one in 20,000 is longer by chance.
const MAX_INTERVALS: f64 = 10.0;
/// The minimum duration of a stall as a share of the latency objective: a few large runs can take
/// that long.
const MIN_OBJECTIVE_SHARE: f64 = 0.5;

/// The state of the detector.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct StallDetector {
    /// The time at which a run last made progress, or the cores last had capacity.
    #[serde(rename = "since")]
    pub(crate) last_progress: Micros,
    /// Whether the cores are stalled.
    #[serde(rename = "now")]
    pub(crate) is_stalled: bool,
    /// The total duration of all stalls, in which no run made progress.
    #[serde(rename = "total")]
    pub(crate) total_stalled: Micros,
}

impl StallDetector {
    /// Records that a run made progress, which ends a stall.
    pub(crate) fn record_progress(&mut self, now: Micros) {
        if std::mem::take(&mut self.is_stalled) {
            self.total_stalled += now - self.last_progress;
        }
        self.last_progress = now;
    }

    /// Updates the state for a number of runs with this mean core time (microseconds) under this
    /// latency objective (microseconds).
    pub(crate) fn update(
        &mut self,
        settings: &Settings,
        now: Micros,
        running: f64,
        mean_core_time: f64,
        objective: f64,
    ) {
        let busy = if self.is_stalled {
            1.0
        } else {
            settings.cores.max(2.0)
        };
        if running < busy {
            self.record_progress(now);
        }
        let longest_interval = (MAX_INTERVALS * mean_core_time / running.max(1.0))
            .max(MIN_OBJECTIVE_SHARE * objective);
        self.is_stalled |= (now - self.last_progress) as f64 > longest_interval;
    }
}
