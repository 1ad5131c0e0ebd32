//! How many requests may be on the cores.

use super::*;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RunLimit {
    pub(crate) limit: f64,
    pub(crate) started: Micros,
    /// Smoothed ratio of time on the cores to the best of the class.
    pub(crate) stretch: f64,
    /// Smoothed time on the cores of all ended runs, and the share that succeeded.
    pub(crate) slot: f64,
    pub(crate) success: f64,
}

impl RunLimit {
    /// The crowd that the cores survive at this moment, with a third kept back: the mean is over a
    /// span, and runs come back from calls and disks unbidden.
    pub(crate) fn ceiling(&self, s: &Settings, now: Micros) -> f64 {
        let cold_for = s.safety.warmup_time.max(1) as f64;
        let age = if s.is_cold {
            (now - self.started) as f64 / cold_for
        } else {
            1.0
        };
        let speed = (s.safety.cold_speed + (1.0 - s.safety.cold_speed) * age).min(1.0);
        (0.65 * (1.0 + (s.safety.max_concurrency_per_core - 1.0) * speed) * s.cores).max(1.0)
    }

    pub(crate) fn adjust(&mut self, s: &Settings, now: Micros, core_use: f64, grows: bool) {
        let floor = s.cores.max(1.0);
        // Cores idle while work is held: runs wait for a disk, so more may run, whatever latency
        // says.
        if core_use < 0.9 && grows {
            self.limit = (self.limit * 1.15).max(self.limit + 1.0);
        } else if self.stretch > 2.0 || core_use > 0.97 {
            // Cores are busy: each further run only slows the others.
            self.limit -= 0.05 * self.limit;
        }
        self.limit = self
            .limit
            .min(self.ceiling(s, now))
            .max(floor.min(self.ceiling(s, now)));
    }
}
