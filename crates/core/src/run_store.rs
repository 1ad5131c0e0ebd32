//! The core's side of the idempotency store, which persists keyed runs over a restart.
//!
//! The store's [`CommitQueue`] decides when a run may start and when an outcome is durable. This
//! module holds the core's state for the runs that the queue handles.

use crate::idempotency_table::CachedOutcome;
use crate::request::Reference;
use pipitlever_admission::Micros;
use pipitlever_idempotency_store::class_windows::ClassWindows;
use pipitlever_idempotency_store::commit_queue::{CommitEvent, CommitQueue};
use pipitlever_idempotency_store::record::Outcome;
use std::collections::HashMap;
use std::rc::Rc;

/// A run that has ended and whose outcome is not durable yet.
#[derive(Debug)]
pub(crate) struct EndedRun {
    /// Duration of the run, in microseconds.
    pub(crate) elapsed: Micros,
    /// The result of the run.
    pub(crate) result: Rc<[u8]>,
}

/// The commit queue, and the core's state for runs with records in it.
#[derive(Debug)]
pub struct RunStore {
    /// Records that are not durable yet.
    pub(crate) commit_queue: CommitQueue,
    /// Offset from the node's clock to the machine's uptime, in microseconds.
    pub(crate) uptime_offset: Micros,
    /// Whether an answer with a result is sent only once the result is durable.
    waits_for_outcome: bool,
    /// The longest window of each class since the start.
    pub(crate) class_windows: ClassWindows,
    /// New keys are rejected until this time, since a damaged log may have lost keys.
    pub(crate) damage_ends_at: Micros,
    /// Runs that an earlier process started and whose end was not recorded, with their key.
    pub(crate) earlier_runs: HashMap<Reference, Rc<str>>,
    /// Runs that have ended and whose outcome is not durable yet.
    pub(crate) ended_runs: HashMap<Reference, EndedRun>,
    /// Buffer for the events of the commit queue.
    pub(crate) events: Vec<CommitEvent>,
}

/// Disk usage of the idempotency store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Bytes in use.
    pub used_bytes: u64,
    /// Bytes reserved for the outcomes of started runs.
    pub reserved_bytes: u64,
    /// Records that are not durable yet.
    pub waiting_records: usize,
}

impl RunStore {
    /// Creates the state for a store.
    ///
    /// `uptime_offset` is the offset from the node's clock to the machine's uptime, in
    /// microseconds. With `waits_for_outcome`, answers with a result are sent only once the result
    /// is durable. New keys are rejected until `damage_ends_at`. `class_windows` are the windows of
    /// the configuration that the store was opened with.
    pub fn new(
        commit_queue: CommitQueue,
        class_windows: ClassWindows,
        uptime_offset: Micros,
        waits_for_outcome: bool,
        damage_ends_at: Option<Micros>,
    ) -> RunStore {
        RunStore {
            commit_queue,
            class_windows,
            uptime_offset,
            waits_for_outcome,
            damage_ends_at: damage_ends_at.unwrap_or(Micros::MIN),
            earlier_runs: HashMap::new(),
            ended_runs: HashMap::new(),
            events: Vec::new(),
        }
    }

    /// Applies the windows of a new configuration: where one is longer, records are kept for longer.
    pub(crate) fn apply_windows(&mut self, windows: &ClassWindows) {
        let extension = self.class_windows.merge(windows);
        if extension > 0 {
            self.commit_queue.extend_expiry(extension);
            self.damage_ends_at = self.damage_ends_at.saturating_add(extension);
        }
    }

    /// Queues the outcome of a run for writing. Returns whether the answer has to wait until the
    /// outcome is durable.
    pub(crate) fn write_outcome(&mut self, reference: Reference, outcome: &CachedOutcome) -> bool {
        let waits = self.waits_for_outcome && matches!(outcome, CachedOutcome::Served(_));
        self.commit_queue
            .enqueue_outcome(reference, stored_outcome(outcome))
            && waits
    }

    /// Disk usage.
    pub(crate) fn usage(&self) -> StoreUsage {
        let usage = self.commit_queue.usage();
        StoreUsage {
            used_bytes: usage.used_bytes,
            reserved_bytes: usage.reserved_bytes,
            waiting_records: self.commit_queue.pending_records(),
        }
    }
}

/// Converts an outcome to the store's record format.
fn stored_outcome(outcome: &CachedOutcome) -> Outcome {
    match outcome {
        CachedOutcome::Served(result) => Outcome::Served(result.to_vec()),
        CachedOutcome::Failed | CachedOutcome::Unknown { .. } => Outcome::Failed,
    }
}
