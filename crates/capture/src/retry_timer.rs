//! Exponential backoff after disk failures.

use pipitlever_admission::Micros;

/// The delay before the first retry after a failure. Doubles with each further failure.
const FIRST_RETRY_DELAY: Micros = 1_000_000;
/// The longest delay before a retry.
const MAX_RETRY_DELAY: Micros = 30_000_000;

/// Schedules retries of writing to the directory after failures.
#[derive(Debug)]
pub(crate) struct RetryTimer {
    /// `None` unless the last attempt failed.
    retry_at: Option<Micros>,
    next_delay: Micros,
}

impl RetryTimer {
    /// A timer without a scheduled retry.
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
