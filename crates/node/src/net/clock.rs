//! The node's clock: monotonic microseconds that start at the Unix time of the process's start.

use pipitlever_admission::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reads time from the standard library alone.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            base: unix(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// A Unix time on this clock. The two drift apart when the system's clock is set, so each Unix
    /// time is carried over once, when it is read, and never held.
    pub fn of_unix(&self, at: Micros) -> Micros {
        self.now() - (unix() - at)
    }

    /// What leads from a time of this clock to Unix time, now.
    pub fn ahead_to_unix(&self) -> Micros {
        unix() - self.now()
    }

    /// A time of this clock as an instant to wait for.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.base).max(0) as u64)
    }
}

fn unix() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}
