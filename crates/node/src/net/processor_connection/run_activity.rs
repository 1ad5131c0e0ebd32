//! What the runs at the processor are known to be doing: which of them work, and how long runs work
//! at a time before the processor sends a notice about them.

use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use std::collections::HashMap;

/// Length of the periods for which the longest work time is kept, in microseconds.
const PERIOD: Micros = 30_000_000;

/// The longest of the recent work times: the maximum over the current period and the last period
/// that had any.
#[derive(Debug, Default)]
struct LongestWorkTime {
    period_started_at: Micros,
    current: Micros,
    previous: Micros,
}

impl LongestWorkTime {
    fn record(&mut self, now: Micros, duration: Micros) {
        if now - self.period_started_at >= PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.period_started_at = now;
        }
        self.current = self.current.max(duration);
    }

    fn get(&self) -> Micros {
        self.current.max(self.previous)
    }
}

/// The runs that are known to work: the processor has been sent their start or the reply to their
/// call, and has reported neither their end nor their next call.
///
/// A run whose last command may have been lost with a connection is not known to work.
#[derive(Debug, Default)]
pub(super) struct RunActivity {
    /// When the last command of each working run was written.
    working: HashMap<Reference, Micros>,
    longest: LongestWorkTime,
}

impl RunActivity {
    /// Records that a start or a reply was written, with which a run works.
    pub(super) fn begin_work(&mut self, now: Micros, reference: Reference) {
        self.working.insert(reference, now);
    }

    /// Records that a run has ended or waits for a call.
    pub(super) fn end_work(&mut self, now: Micros, reference: Reference) {
        if let Some(began_at) = self.working.remove(&reference) {
            self.longest.record(now, now - began_at);
        }
    }

    /// Forgets a run that may not have been sent its last command.
    pub(super) fn forget(&mut self, reference: Reference) {
        self.working.remove(&reference);
    }

    /// Number of runs that are known to work.
    pub(super) fn working(&self) -> usize {
        self.working.len()
    }

    /// The longest recent time from a command with which a run worked to the next notice about that
    /// run, in microseconds.
    pub(super) fn longest_work_time(&self) -> Micros {
        self.longest.get()
    }
}
