//! Times as they are learned, and what each class has been seen to take.

use super::*;

/// Weight of a new reading in a smoothed one: the last ten or so requests count.
pub(crate) const SMOOTH: f64 = 0.1;

/// A smoothed time, and the best of it: drawn after it quickly down, slowly up. The least value
/// ever seen would be a chance low of times that spread widely, and would make ordinary times look
/// slow; so would one of the first few, which stand for long where few requests come. Both start as
/// the plain mean of those.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Timing {
    pub(crate) mean: f64,
    pub(crate) best: f64,
    pub(crate) count: f64,
}

impl Timing {
    pub(crate) fn learn(&mut self, value: f64) {
        self.count += 1.0;
        self.mean += SMOOTH.max(1.0 / self.count) * (value - self.mean);
        let weight = if self.mean < self.best {
            SMOOTH
        } else {
            0.05 * SMOOTH
        };
        let first = self.count * SMOOTH <= 1.0;
        self.best = if first {
            self.mean
        } else {
            self.best + weight * (self.mean - self.best)
        };
    }
}

/// What a class has been seen to take: time from start to end, that less waits for calls, and the
/// cost hint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Seen {
    pub(crate) total: Timing,
    pub(crate) cores: Timing,
    pub(crate) hint: Timing,
}

impl Seen {
    /// The cost of a request beside the usual of its class.
    pub(crate) fn size(&self, cost: f64) -> f64 {
        if cost > 0.0 && self.hint.mean > 0.0 {
            cost / self.hint.mean
        } else {
            1.0
        }
    }
}
