//! Where each session lives: a session stays with its worker through versions, whichever node its
//! client reaches, until the worker is taken away or fails; and all nodes come to hold the same.
//!
//! Nothing here does I/O or reads a clock.
//!
//! - [`stamp`]: the fleet's time, by which the older of two placements is told.
//! - [`placement`]: where a session lives, and which of two placements holds.
//! - [`choose`]: where one would live that is placed now.
//! - [`homes`]: which nodes remember a session for the others.
//! - [`table`]: what a node remembers, bounded.
//! - [`message`]: what nodes say to each other.
//! - [`lookup`]: asking for a session that is not known here; [`owed`]: what homes have not said
//!   that they have.
//! - [`node`]: all of it together.
//!
//! `docs/session-affinity.md` has the design, what was compared, and the figures.

pub mod directory;
pub mod lookup;
pub mod message;
pub mod placement;
pub mod replicas;
pub mod table;
pub mod timestamp;
pub mod unacknowledged;
pub mod worker_selection;

/// A reading of a clock, or a span of it, in microseconds.
pub type Micros = i64;
/// A session, as a digest of its pool and of the key that its client shows.
pub type Session = u64;
/// A worker, as a digest of its pool and name: wherever it is.
pub type WorkerId = u32;

/// Two numbers that each stand for something, as one: the same in all builds and processes, as
/// nodes choose by it alone.
pub fn mix(a: u64, b: u64) -> u64 {
    pipitlever_load_balancing::consistent_hash::splitmix64(a ^ b.rotate_left(32))
}
