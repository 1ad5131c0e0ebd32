//! Durable memory of idempotent requests: the outcomes that duplicates get after a restart.
//!
//! Before a run with an idempotency key starts, its intent is on the disk; when the run has ended,
//! so is its outcome. The next process on the same directory knows, for each key within its window,
//! whether a run may have started and how it ended.
//!
//! - [`record`]: the records and their encoding.
//! - [`recovery`]: what the records mean to the next process.
//! - [`commit_queue`]: the write-ahead queue with group commit. Decides which records are written
//!   next, which runs may start, and when keyed requests are rejected. No I/O and no clock.
//! - [`log`]: the segmented log. Its files are a trait ([`log::SegmentFiles`]), so that tests can
//!   lose pages and fail syncs.
//! - [`disk`]: the directory on a file system, and the thread that writes to it.
//!
//! `docs/idempotency-store.md` compares the alternatives, with measurements.

pub mod commit_queue;
pub mod crash_point;
pub mod disk;
pub mod log;
pub mod record;
pub mod recovery;

/// A time or a duration, in microseconds.
pub type Micros = i64;
