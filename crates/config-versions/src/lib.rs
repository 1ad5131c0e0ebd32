//! Versions of the fleet's settings: which there is, who decides it, who may act on it, and how a
//! node comes to it.
//!
//! It does no I/O and has no clock: it is handed messages, times and seeds, and yields messages,
//! writes and events. `docs/versions.md` has the design and why it is this one.

pub mod closer;
pub mod elector;
pub mod floor;
pub mod lease;
pub mod message;
pub mod node;
pub mod publisher;
pub mod saved;
pub mod version;
pub mod word;

/// A reading of a clock that runs on while the process is stopped, or a span of it, in
/// microseconds.
pub type Micros = i64;
