//! Shutdown of the process.

use crate::core::Core;
use pipitlever_admission::{Event, Micros, Settings};

/// The notice that the process will stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownNotice {
    received_at: Micros,
    stop_at: Micros,
}

impl ShutdownNotice {
    /// Adapts the settings of a controller that is started `now`, after the notice. The controller
    /// counts the drain grace from when it is passed the notice.
    pub(super) fn adapt(self, now: Micros, settings: &mut Settings) {
        settings.safety.drain_grace -= now - self.received_at;
    }
}

impl Core {
    /// Handles the shutdown notice: the process stops after `remaining` microseconds. Health checks
    /// fail from now on; the load level changes with [`Core::advertise_shutdown`].
    pub fn begin_shutdown(&mut self, now: Micros, remaining: Micros) {
        self.shutdown = Some(ShutdownNotice {
            received_at: now,
            stop_at: now + remaining,
        });
        self.pass_shutdown_notice(now);
    }

    /// Handles the shutdown notice after a hot restart. The successor reports the health and load
    /// level of the node, so the notice leaves the values of this process unchanged.
    pub fn begin_retirement(&mut self, now: Micros, remaining: Micros) {
        self.availability.is_retiring = true;
        self.begin_shutdown(now, remaining);
    }

    /// Passes the shutdown notice, if there was one, to the controller. A controller that is not
    /// started yet is passed the notice when it is.
    pub(super) fn pass_shutdown_notice(&mut self, now: Micros) {
        let Some(notice) = self.shutdown else {
            return;
        };
        let (load_level, is_healthy) = (self.availability.load_level, self.availability.is_healthy);
        if self.admission.is_started() {
            let remaining = (notice.stop_at - now).max(0);
            self.notify_controller(now, Event::ShutdownNotice(remaining));
        }
        self.availability.is_healthy = is_healthy && self.availability.is_retiring;
        if !self.availability.is_shutdown_advertised {
            self.availability.final_load_level = self.availability.load_level;
            self.availability.load_level = load_level;
        }
    }

    /// Advertises the controller's load level for the shutdown, which keeps clients away.
    pub fn advertise_shutdown(&mut self) {
        self.availability.is_shutdown_advertised = true;
        self.availability.load_level = self.availability.final_load_level;
    }
}
