//! Settings and constants of the commit queue.

use crate::Micros;

/// Time after which the intents of a batch are abandoned, in microseconds.
pub const SYNC_TIMEOUT: Micros = 250_000;
/// First pause before the writer is tried again after a failure, in microseconds. It doubles with
/// each further failure.
pub(super) const MIN_RETRY_PAUSE: Micros = 100_000;
/// Upper bound of the pause, in microseconds.
pub(super) const MAX_RETRY_PAUSE: Micros = 2_000_000;
/// Interval in which a full log is made to reclaim space, in microseconds.
pub(super) const FULL_RETRY_INTERVAL: Micros = 250_000;
/// Interval in which expired intents are forgotten, in microseconds.
pub(super) const EXPIRY_INTERVAL: Micros = 1_000_000;
/// A batch is complete at this size, in bytes.
pub(super) const MAX_BATCH_BYTES: usize = 256 << 10;

/// Settings of a commit queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitQueueConfig {
    /// Size of the log, in bytes.
    pub capacity: u64,
    /// Part of the capacity that compaction may need, in bytes.
    pub compaction_reserve: u64,
    /// Upper bound of a result, in bytes.
    pub max_result_bytes: usize,
    /// Whether each record is a batch of its own, as opposed to group commit.
    pub sync_each_record: bool,
}
