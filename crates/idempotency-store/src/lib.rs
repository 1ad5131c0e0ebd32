//! Keyed requests that a process remembers over its end.
//!
//! Before a keyed run begins, its intent is on the disk; when it has ended, so is its outcome. The
//! next process on the folder knows of each key within its window whether a run may have begun, and
//! how it came out.
//!
//! - [`record`] is what is written, [`recovery`] what it means to the next process: a table of
//!   decisions.
//! - [`commit_queue`] decides in the loop what is written next, who waits for it, and when keyed requests
//!   are turned away. It does no I/O and has no clock.
//! - [`log`] is the file format's side: segments, rotation, cleaning, within a bound. Its files are
//!   a trait ([`log::SegmentFiles`]), so that tests lose pages and fail syncs; [`disk`] is the real one,
//!   with its thread.
//!
//! `docs/idempotency-store.md` has the options that were compared, with figures.

pub mod commit_queue;
pub mod crash_point;
pub mod disk;
pub mod log;
pub mod record;
pub mod recovery;

/// Microseconds.
pub type Micros = i64;
