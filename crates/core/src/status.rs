//! What drivers and operators ask of the core: health, level, figures.

use super::*;

/// Numbers of entries in the core's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests, queued and running.
    pub requests: usize,
    /// Requests whose run has been started.
    pub running: usize,
    /// Idempotency keys.
    pub keys: usize,
}

/// Disk usage of the idempotency store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Bytes in use.
    pub used_bytes: u64,
    /// Bytes reserved for outcomes to come.
    pub reserved_bytes: u64,
    /// Records that are not yet on the disk.
    pub waiting_records: usize,
}

impl Core {
    /// Whether the module has not been told anything yet.
    pub fn is_starting(&self) -> bool {
        self.module.is_none()
    }

    /// The level to tell with every answer, once there is one.
    pub fn load_level(&self) -> Option<f64> {
        self.level
    }

    /// Has another level told with every answer; the one before.
    pub fn replace_load_level(&mut self, level: Option<f64>) -> Option<f64> {
        std::mem::replace(&mut self.level, level)
    }

    /// What health checks hear.
    pub fn is_healthy(&self) -> bool {
        self.healthy && !self.standby && !self.is_configuration_expired(self.now)
    }

    /// What it acts on is known not to be stale until then, or not known at all; whether it may do
    /// more or less than before. The time is looked at with each request: a process that was
    /// stopped past it finds requests in its sockets.
    pub fn set_configuration_expiry(&mut self, until: Option<Micros>) -> bool {
        let until = until.unwrap_or(Micros::MIN);
        let before = std::mem::replace(&mut self.until, until);
        (before == Micros::MIN) != (until == Micros::MIN)
    }

    /// Whether nothing may be admitted or started.
    pub fn is_configuration_expired(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Health checks hear bad from now on, or again what the module says; whether that is new. All
    /// else goes on.
    pub fn set_standby(&mut self, standby: bool) -> bool {
        std::mem::replace(&mut self.standby, standby) != standby
    }

    /// Whether no work gets done: all cores are taken, and nothing ends.
    pub fn is_stalled(&self) -> bool {
        self.module.as_ref().is_some_and(Controller::is_stalled)
    }

    /// Whether the module refuses work of low rank, or all.
    pub fn is_overloaded(&self) -> bool {
        self.module
            .as_ref()
            .is_some_and(|m| m.mode() != Mode::Normal)
    }

    /// Whether operators want no new clients.
    pub fn is_standby(&self) -> bool {
        self.standby
    }

    /// How long a connection may be idle.
    pub fn idle_timeout(&self) -> Micros {
        self.idle
    }

    /// The longest result that is passed on, in bytes.
    pub fn max_result_bytes(&self) -> usize {
        self.most_result
    }

    /// Answers still owed.
    pub fn unanswered(&self) -> usize {
        self.owed
    }

    /// Whether each request that was read is answered, told gone or open, and nothing is counted
    /// twice.
    pub fn is_balanced(&self) -> bool {
        let counters = &self.counters;
        let answered = counters.served + counters.rejected + counters.failed;
        counters.requests == answered + counters.abandoned + self.owed as u64
    }

    /// The sizes of the tables.
    pub fn table_sizes(&self) -> TableSizes {
        let running = self
            .attempts
            .values()
            .filter(|a| matches!(a.stage, Stage::Running { .. }));
        TableSizes {
            requests: self.attempts.len(),
            running: running.count(),
            keys: self.keys.len(),
        }
    }
}
