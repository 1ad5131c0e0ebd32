//! Replies to calls that a broken connection may have lost.
//!
//! The processor's protocol names no call in a reply: a reply that is sent twice is taken for the
//! reply to the run's next call if the run has requested that call in the meantime. A reply is
//! therefore sent again only if the run still waits for it. A run that has read the reply works, and
//! then reports its next call or its end; one that has not is silent, and uses no core.

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

/// A reply that the processor may not have read.
#[derive(Debug)]
struct UnconfirmedReply {
    run: Reference,
    command: QueuedCommand,
    /// When the connection after the broken one was established. Since then the processor has not
    /// read the reply.
    reconnected_at: Micros,
}

/// The replies of broken connections about whose runs no notice has arrived since.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedReplies(Vec<UnconfirmedReply>);

impl UnconfirmedReplies {
    /// Adds a reply to a call of `run` that a connection may have lost, on the next connection.
    pub(super) fn add(&mut self, now: Micros, run: Reference, command: QueuedCommand) {
        self.0.push(UnconfirmedReply {
            run,
            command,
            reconnected_at: now,
        });
    }

    /// Removes the reply of a run that has requested another call or has ended.
    pub(super) fn remove(&mut self, run: Reference) {
        self.0.retain(|reply| reply.run != run);
    }

    /// Whether there are no such replies.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes and returns the replies whose runs still wait for them by this snapshot, with the
    /// time for which each run has been silent.
    pub(super) fn take_lost(
        &mut self,
        snapshot: ProcessorSnapshot,
        activity: &RunActivity,
    ) -> Vec<LostReply> {
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
        let is_lost = |reply: &mut UnconfirmedReply| {
            snapshot.queried_at - reply.reconnected_at >= longest_silence
        };
        self.0
            .extract_if(.., is_lost)
            .map(|reply| LostReply {
                run: reply.run,
                command: reply.command,
                silence: snapshot.queried_at - reply.reconnected_at,
            })
            .collect()
    }
}

/// A reply that was lost.
#[derive(Debug)]
pub(super) struct LostReply {
    pub(super) run: Reference,
    pub(super) command: QueuedCommand,
    /// How long the run has been silent, in microseconds.
    pub(super) silence: Micros,
}
