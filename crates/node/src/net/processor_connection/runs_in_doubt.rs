//! Runs whose last command, a start or the reply to a call, a broken connection may have lost.
//!
//! The processor's protocol names no call in a reply: a reply that is sent twice is taken for the
//! reply to the run's next call if the run has requested that call in the meantime. A start that is
//! sent twice may run twice. Whether the command was lost is therefore concluded from its run: one
//! that has read it works, and then reports its next call or its end; one that has not read it is
//! silent and uses no core.

use super::command::QueuedCommand;
use super::run_activity::RunActivity;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;

/// A run that is silent for less than this may still work, in microseconds. Commands and notices
/// may be on their way for that long.
const MIN_SILENCE: Micros = 50_000;
/// Without a gauge that shows that only other runs use the cores, a run may work for this multiple
/// of the longest recent work time. The processor may have become that much slower.
const SLOWDOWN_FACTOR: Micros = 10;

/// The processor's state at the time of a gauge query.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessorSnapshot {
    /// When the query was written. All notices that the processor sent before it read the query
    /// have been handled.
    pub(super) queried_at: Micros,
    /// Number of runs that use or wait for a core, if the processor reports it.
    pub(super) runnable: Option<f64>,
}

/// A run whose last command may have been lost.
#[derive(Debug)]
pub(super) struct RunInDoubt {
    pub(super) run: Reference,
    /// The start of the run, or the reply to its call.
    pub(super) command: QueuedCommand,
    /// A time since which the processor can't have read the command: the connection after the
    /// broken one was established.
    reconnected_at: Micros,
}

impl RunInDoubt {
    /// How long the run has been silent by this snapshot, in microseconds.
    pub(super) fn silence(&self, snapshot: ProcessorSnapshot) -> Micros {
        snapshot.queried_at - self.reconnected_at
    }
}

/// The runs in doubt, about which no notice has arrived since their connection broke.
#[derive(Debug, Default)]
pub(super) struct RunsInDoubt(Vec<RunInDoubt>);

impl RunsInDoubt {
    /// Adds a run whose last command may have been lost, on the next connection.
    pub(super) fn add(&mut self, now: Micros, run: Reference, command: QueuedCommand) {
        self.0.push(RunInDoubt {
            run,
            command,
            reconnected_at: now,
        });
    }

    /// Removes a run about which a notice has arrived.
    pub(super) fn remove(&mut self, run: Reference) {
        self.0.retain(|in_doubt| in_doubt.run != run);
    }

    /// Number of runs in doubt.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes and returns those runs that satisfy a condition and have not read their last command
    /// by this snapshot.
    pub(super) fn take_silent(
        &mut self,
        snapshot: ProcessorSnapshot,
        activity: &RunActivity,
        condition: impl Fn(&RunInDoubt) -> bool,
    ) -> Vec<RunInDoubt> {
        // The gauge also counts other uses of the cores, so that it never shows too few runs.
        let only_others_work = snapshot
            .runnable
            .is_some_and(|runnable| runnable <= activity.working() as f64);
        let longest_work_time = MIN_SILENCE.max(activity.longest_work_time());
        let longest_silence = if only_others_work {
            longest_work_time
        } else {
            longest_work_time * SLOWDOWN_FACTOR
        };
        let is_silent = |in_doubt: &mut RunInDoubt| {
            in_doubt.silence(snapshot) >= longest_silence && condition(in_doubt)
        };
        self.0.extract_if(.., is_silent).collect()
    }
}
