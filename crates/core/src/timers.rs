//! Queue of timers.

use pipitlever_admission::{Micros, RequestId};
use std::collections::BTreeSet;

/// The purpose of a timer. Timers with the same expiry time expire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Query the gauges ahead of a controller timer.
    QueryGauges,
    /// A timer of the admission controller, with its tag.
    Controller(u64),
    /// The deadline of a request.
    Deadline(RequestId),
    /// The timeout of a call.
    CallTimeout(RequestId),
    /// The delayed notification of the controller about a rejected call.
    CallRejection(RequestId),
}

/// All timers, by time.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(Micros, Timer)>,
}

impl TimerQueue {
    /// Adds a timer that expires at the time `at`.
    pub(crate) fn schedule(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes a timer, given the time that it was scheduled for.
    pub(crate) fn cancel(&mut self, at: Micros, timer: Timer) {
        self.timers.remove(&(at, timer));
    }

    /// Removes and returns the next expired timer.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// When the next timer expires.
    pub(crate) fn next_expiry(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The number of timers that belong to a request.
    pub(crate) fn request_timers(&self) -> usize {
        let is_of_request =
            |timer: &Timer| !matches!(timer, Timer::QueryGauges | Timer::Controller(_));
        self.timers
            .iter()
            .filter(|(_, timer)| is_of_request(timer))
            .count()
    }
}
