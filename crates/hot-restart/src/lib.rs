//! How one process of a node takes over from another one under load: the messages between them, the
//! steps, and which keys may be run in which of the two meanwhile. It does no I/O and has no clock:
//! it is fed bytes and told times.
//!
//! `docs/handover.md` has the steps and why they are these.

pub mod message;
pub mod predecessor;
pub mod successor;
pub mod trust;

/// A reading of a clock, or a span of it, in microseconds.
pub type Micros = i64;
