//! The node's clock: monotonic time in microseconds, which starts at the Unix time at which the
//! process started.

use pipitlever_admission::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock, and its conversion from and to Unix time.
///
/// Monotonic time and Unix time drift apart when the system's clock is set. A Unix time is
/// therefore converted once, when it is read, and is not stored.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in microseconds.
    start_unix: Micros,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            start_unix: unix_now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.start_unix + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a Unix time to a time of this clock.
    pub fn unix_to_clock(&self, unix: Micros) -> Micros {
        self.now() - (unix_now() - unix)
    }

    /// The current offset of Unix time from this clock. Added to a time of this clock, it yields
    /// the Unix time.
    pub fn unix_offset(&self) -> Micros {
        unix_now() - self.now()
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros((time - self.start_unix).max(0) as u64)
    }
}

/// The current Unix time, in microseconds.
fn unix_now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_micros() as Micros)
}
