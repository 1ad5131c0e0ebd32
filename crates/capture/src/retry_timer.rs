//! Exponential backoff after disk failures.

use pipitlever_admission::Micros;

/// The delay before the directory is tried again after a failure. Doubles with each failure.
const FIRST_RETRY_DELAY: Micros = 1_000_000;
/// The longest delay before the directory is tried again.
const MAX_RETRY_DELAY: Micros = 30_000_000;

/// When the directory is tried again after a failure.
#[derive(Debug)]
pub(crate) struct RetryTimer {
    /// `None` unless the last attempt failed.
    retry_at: Option<Micros>,
    next_delay: Micros,
}

impl RetryTimer {
    /// A timer without a failure.
    pub(crate) fn new() -> RetryTimer {
        RetryTimer {
            retry_at: None,
            next_delay: FIRST_RETRY_DELAY,
        }
    }

    /// Schedules the next attempt after a failure.
    pub(crate) fn record_failure(&mut self, now: Micros) {
        self.retry_at = Some(now + self.next_delay);
        self.next_delay = (2 * self.next_delay).min(MAX_RETRY_DELAY);
    }

    /// Whether the next attempt is later than `now`.
    pub(crate) fn is_waiting(&self, now: Micros) -> bool {
        self.retry_at.is_some_and(|retry_at| now < retry_at)
    }
}
