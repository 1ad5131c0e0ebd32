//! Whether the cores stand still: all are taken, and for far longer than chance explains nothing
//! has ended.

use super::*;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Still {
    /// When a run last ended, or the cores were last seen to have room.
    pub(crate) since: Micros,
    pub(crate) now: bool,
    /// How long they have stood still in all: time in which no run could get on.
    pub(crate) total: Micros,
}

impl Still {
    /// A run ended of itself: what stood goes on.
    pub(crate) fn moved(&mut self, now: Micros) {
        if std::mem::take(&mut self.now) {
            self.total += now - self.since;
        }
        self.since = now;
    }

    /// Ends come at random: ten times their mean distance without one is chance once in 20,000
    /// ends; and a few large runs may take half an aim.
    pub(crate) fn look(&mut self, now: Micros, running: f64, s: &Settings, slot: f64, aim: f64) {
        if running < if self.now { 1.0 } else { s.cores.max(2.0) } {
            self.moved(now);
        }
        self.now |= (now - self.since) as f64 > (10.0 * slot / running.max(1.0)).max(0.5 * aim);
    }
}
