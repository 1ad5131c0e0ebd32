//! Session affinity: keeps each session with one worker, whichever node its client reaches, until
//! the worker is removed or fails. The placements form a directory that is partitioned over the
//! nodes by rendezvous hashing and replicated on two of them; all nodes converge to the same
//! placement of a session.
//!
//! The crate does no I/O and reads no clock. `docs/session-affinity.md` has the design, the
//! alternatives that were compared, and the measurements.
//!
//! - [`timestamp`]: hybrid logical clock, which orders placements.
//! - [`placement`]: the placement of a session, and which of two placements is in effect.
//! - [`worker_selection`]: the worker of a new session.
//! - [`replicas`]: the nodes that store the directory entry of a session.
//! - [`table`]: the bounded table of placements that a node stores.
//! - [`message`]: messages between nodes.
//! - [`lookup`]: lookups of sessions at their replicas.
//! - [`unacknowledged`]: updates that replicas have not acknowledged yet.
//! - [`directory`]: the state machine that combines them.

pub mod directory;
pub mod lookup;
pub mod message;
pub mod placement;
pub mod replicas;
pub mod table;
pub mod timestamp;
pub mod unacknowledged;
pub mod worker_selection;

/// A point in time of a monotonic clock, or a duration, in microseconds.
pub type Micros = i64;
/// Digest that identifies a session: of its pool and the key that the client presents.
pub type SessionId = u64;
/// Digest that identifies a worker: of its pool and its name, independently of its address.
pub type WorkerId = u32;

/// Combines two identifiers into one digest. The digest must be the same in all builds, since all
/// nodes have to derive the same choices from it.
pub fn mix(a: u64, b: u64) -> u64 {
    pipitlever_load_balancing::consistent_hash::splitmix64(a ^ b.rotate_left(32))
}
