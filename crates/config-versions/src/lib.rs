//! Versions of a fleet's settings, agreed on by a quorum and protected by leases. A node acts on a
//! version while it serves requests under the settings of that version.
//!
//! - [`version`]: the metadata of one version, and the rules for sets of acceptors.
//! - [`proposer`] and [`acceptor`]: a single-decree Paxos register per version number (Lamport,
//!   "Paxos Made Simple", 2001).
//! - [`lease`]: how long a node may act on its active version.
//! - [`retirement`]: fences old versions, so that no lease on them can be renewed.
//! - [`minimum_version`]: the per-node fence that survives a lost or restored disk.
//! - [`node`]: the state machine of one node, which combines them.
//! - [`message`], [`envelope`] and [`file_format`]: messages, their datagrams, and files.
//!
//! The crate does no I/O and reads no clock. Callers pass in messages, clock readings and random
//! seeds, send the returned messages, perform the returned writes and report the returned events.
//!
//! `docs/config-versions.md` describes the protocol and why it was chosen.

pub mod acceptor;
pub mod envelope;
pub mod file_format;
pub mod lease;
pub mod message;
pub mod minimum_version;
pub mod node;
pub mod proposer;
pub mod retirement;
pub mod version;

/// A reading of a monotonic clock that keeps running while the process is stopped, or a duration,
/// in microseconds.
pub type Micros = i64;
