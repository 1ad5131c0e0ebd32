//! What drivers and operators ask of the core: health, level, figures.

use super::*;

impl Core {
    /// Whether the module has not been told anything yet.
    pub fn fresh(&self) -> bool {
        self.module.is_none()
    }

    /// The level to tell with every answer, once there is one.
    pub fn level(&self) -> Option<f64> {
        self.level
    }

    /// Has another level told with every answer; the one before.
    pub fn tell_level(&mut self, level: Option<f64>) -> Option<f64> {
        std::mem::replace(&mut self.level, level)
    }

    /// What health checks hear.
    pub fn healthy(&self) -> bool {
        self.healthy && !self.standby && !self.barred(self.now)
    }

    /// What it acts on is known not to be stale until then, or not known at all; whether it may do
    /// more or less than before. The time is looked at with each request: a process that was
    /// stopped past it finds requests in its sockets.
    pub fn allow(&mut self, until: Option<Micros>) -> bool {
        let until = until.unwrap_or(Micros::MIN);
        let before = std::mem::replace(&mut self.until, until);
        (before == Micros::MIN) != (until == Micros::MIN)
    }

    /// Whether nothing may be admitted or started.
    pub fn barred(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Health checks hear bad from now on, or again what the module says; whether that is new. All
    /// else goes on.
    pub fn stand_by(&mut self, standby: bool) -> bool {
        std::mem::replace(&mut self.standby, standby) != standby
    }

    /// Whether no work gets done: all cores are taken, and nothing ends.
    pub fn stands_still(&self) -> bool {
        self.module.as_ref().is_some_and(Controller::is_stalled)
    }

    /// Whether the module refuses work of low rank, or all.
    pub fn crowded(&self) -> bool {
        self.module
            .as_ref()
            .is_some_and(|m| m.mode() != Mode::Normal)
    }

    /// Whether operators want no new clients.
    pub fn standing_by(&self) -> bool {
        self.standby
    }

    /// How long a connection may be idle.
    pub fn idle(&self) -> Micros {
        self.idle
    }

    /// The longest result that is passed on, in bytes.
    pub fn most_result(&self) -> usize {
        self.most_result
    }

    /// Answers still owed.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// Whether each request that was read is answered, told gone or open, and nothing is counted
    /// twice.
    pub fn balanced(&self) -> bool {
        let Counters {
            requests,
            served,
            refused,
            failed,
            gone,
            ..
        } = self.counters;
        requests == served + refused + failed + gone + self.owed as u64
    }

    /// Requests, running ones and keys in memory.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let running = self
            .attempts
            .values()
            .filter(|a| matches!(a.stage, Stage::Running { .. }));
        (self.attempts.len(), running.count(), self.keys.len())
    }
}
