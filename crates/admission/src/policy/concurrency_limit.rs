//! The limit on requests that run on the cores at the same time.
//!
//! The limit starts at the number of cores, which is also its minimum. It follows the utilization
//! of the cores and the ratio of run times to the best run times of their class, and stays below
//! the concurrency that the server survives.

use crate::interface::{Micros, Settings};
use serde::{Deserialize, Serialize};

/// The share of the survivable concurrency that is used. The rest is a reserve: that limit is on a
/// mean over time, and runs return to the cores from calls and disks at any moment.
pub(crate) const USABLE_CONCURRENCY: f64 = 0.65;
/// Below this utilization the cores are idle for part of the time.
const IDLE_UTILIZATION: f64 = 0.9;
/// Above this utilization the cores are saturated.
const SATURATED_UTILIZATION: f64 = 0.97;
/// Run times of this multiple of the best mean that runs slow each other down.
const SLOWED_STRETCH: f64 = 2.0;
const GROWTH_FACTOR: f64 = 1.15;
const SHRINK_SHARE: f64 = 0.05;

/// The concurrency limit and the run statistics that it depends on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ConcurrencyLimit {
    /// The number of requests that may be on the cores.
    pub(crate) limit: f64,
    /// The time of the controller's first step.
    #[serde(rename = "started")]
    pub(crate) started_at: Micros,
    /// The smoothed ratio of core time to the best core time of the class.
    pub(crate) stretch: f64,
    /// The smoothed core time of all runs that ended, in microseconds.
    #[serde(rename = "slot")]
    pub(crate) mean_core_time: f64,
    /// The smoothed share of runs that succeeded.
    #[serde(rename = "success")]
    pub(crate) success_rate: f64,
}

impl ConcurrencyLimit {
    /// The greatest concurrency that the server survives at this time, less a reserve. It is lower
    /// while a cold server warms up.
    pub(crate) fn ceiling(&self, settings: &Settings, now: Micros) -> f64 {
        let safety = &settings.safety;
        let warmup_time = safety.warmup_time.max(1) as f64;
        let warmth = if settings.is_cold {
            (now - self.started_at) as f64 / warmup_time
        } else {
            1.0
        };
        let speed = (safety.cold_speed + (1.0 - safety.cold_speed) * warmth).min(1.0);
        let per_core = 1.0 + (safety.max_concurrency_per_core - 1.0) * speed;
        (USABLE_CONCURRENCY * per_core * settings.cores).max(1.0)
    }

    /// Adjusts the limit once per control interval. `can_grow` states whether requests are queued
    /// and runs finish.
    pub(crate) fn adjust(
        &mut self,
        settings: &Settings,
        now: Micros,
        cpu_utilization: f64,
        can_grow: bool,
    ) {
        if cpu_utilization < IDLE_UTILIZATION && can_grow {
            // Cores are idle although requests are queued, so runs wait for a disk. Slow runs are
            // then no sign of too much concurrency.
            self.limit = (self.limit * GROWTH_FACTOR).max(self.limit + 1.0);
        } else if self.stretch > SLOWED_STRETCH || cpu_utilization > SATURATED_UTILIZATION {
            self.limit -= SHRINK_SHARE * self.limit;
        }
        let ceiling = self.ceiling(settings, now);
        let minimum = settings.cores.max(1.0).min(ceiling);
        self.limit = self.limit.min(ceiling).max(minimum);
    }
}
