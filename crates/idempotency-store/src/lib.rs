//! Durable store of idempotent requests, and of the outcomes that duplicates get after a restart.
//!
//! A run with an idempotency key starts only after its intent is on the disk, and its outcome is
//! written when the run has ended. The next process on the same directory recovers, for each key
//! within its window, whether a run may have started and how it ended.
//!
//! - [`record`]: the records and their encoding.
//! - [`class_windows`]: the windows in force, which apply to earlier records where they are longer.
//! - [`recovery`]: recovery of keys and outcomes from the records, by the next process.
//! - [`commit_queue`]: the write-ahead queue with group commit. Decides which records are written
//!   next, which runs may start, and when keyed requests are rejected. No I/O and no clock.
//! - [`log`]: the segmented log. File access goes through a trait ([`log::SegmentFiles`]), so that
//!   tests can simulate lost pages and failed syncs.
//! - [`disk`]: the directory on a file system, and the thread that writes to it.
//!
//! `docs/idempotency-store.md` compares the alternatives, with measurements.

pub mod class_windows;
pub mod commit_queue;
pub mod crash_point;
pub mod disk;
pub mod log;
pub mod record;
pub mod recovery;

/// A time or a duration, in microseconds.
pub type Micros = i64;
