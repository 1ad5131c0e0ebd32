//! Detection of delays of this process. A process that was stopped or starved of CPU must not treat
//! other members as failed, since their acks may be among its unread datagrams.

use crate::Micros;

pub(super) struct DelayDetector {
    /// When the next run is expected.
    expected_at: Option<Micros>,
    last_run_at: Micros,
}

impl DelayDetector {
    pub(super) fn new(now: Micros) -> DelayDetector {
        DelayDetector {
            expected_at: None,
            last_run_at: now,
        }
    }

    /// Records the wakeup time that was returned to the caller.
    pub(super) fn set_expected_run(&mut self, wakeup: Micros) {
        self.expected_at = Some(wakeup.max(self.last_run_at));
    }

    /// Records that the state machine runs. Returns the delay since the expected time if it
    /// exceeds `tolerance`; it is then not reported again.
    pub(super) fn record_run(&mut self, now: Micros, tolerance: Micros) -> Option<Micros> {
        self.last_run_at = now;
        let delay = now - self.expected_at?;
        if delay <= tolerance {
            return None;
        }
        self.expected_at = Some(now);
        Some(delay)
    }
}
