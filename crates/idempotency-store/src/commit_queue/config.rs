//! Settings and constants of the commit queue.

use crate::Micros;

/// Time to complete a batch, in microseconds. After this time its intents are abandoned.
pub const SYNC_TIMEOUT: Micros = 250_000;
/// Pause before the next batch after a first failure of the writer, in microseconds. The pause
/// doubles with each further failure.
pub(super) const MIN_RETRY_PAUSE: Micros = 100_000;
/// Upper bound of the pause after a failure, in microseconds.
pub(super) const MAX_RETRY_PAUSE: Micros = 2_000_000;
/// Interval at which a full log is made to reclaim space, in microseconds.
pub(super) const FULL_RETRY_INTERVAL: Micros = 250_000;
/// Interval at which expired open intents are removed, in microseconds.
pub(super) const EXPIRY_INTERVAL: Micros = 1_000_000;
/// Size from which no further record is added to a batch, in bytes.
pub(super) const MAX_BATCH_BYTES: usize = 256 << 10;

/// Settings of a commit queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitQueueConfig {
    /// Upper bound of the size of the log, in bytes.
    pub capacity: u64,
    /// Part of the capacity that compaction may need, in bytes.
    pub compaction_reserve: u64,
    /// Upper bound of a result, in bytes.
    pub max_result_bytes: usize,
    /// Writes each record as a batch of its own, without group commit.
    pub sync_each_record: bool,
}
