//! Shutdown of the process.

use crate::core::Core;
use pipitlever_admission::{Event, Micros};

impl Core {
    /// Handles the shutdown notice: the process stops after `remaining` microseconds.
    pub fn begin_shutdown(&mut self, now: Micros, remaining: Micros) {
        self.notify_controller(now, Event::ShutdownNotice(remaining));
        self.availability.is_healthy = false;
    }

    /// Handles the shutdown notice after a hot restart. The successor reports the health and load
    /// level of the node, so the notice leaves the values of this process unchanged.
    pub fn begin_retirement(&mut self, now: Micros, remaining: Micros) {
        let load_level = self.availability.load_level;
        let is_healthy = self.availability.is_healthy;
        self.availability.is_retiring = true;
        self.begin_shutdown(now, remaining);
        self.availability.load_level = load_level;
        self.availability.is_healthy = is_healthy;
    }
}
