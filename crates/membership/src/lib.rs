//! A view of the fleet that its nodes keep themselves, through joins, crashes and partitions: who
//! is a member, where, and in which state. It does no I/O and has no clock: it is told times,
//! handed datagrams and bytes, and yields those to be sent.
//!
//! `docs/membership.md` has the design, what was rejected, and the figures.
//!
//! - `record`: what is said of a member, and how two pieces of news about one are joined.
//! - `members`: the bounded table of them, its digests, and what is forgotten when.
//! - `ring`, `probe`: whom to probe next, and how one probe goes.
//! - `suspicion`, `health`: how long a suspect has, and how far this node trusts itself.
//! - `spread`: what travels with other messages, and how often.
//! - `sync`: two views that differ are made equal over a connection.
//! - `news`: what a piece of news is worth beside what is held.
//! - `elsewhere`: whether a caller that is refused has anywhere to go.
//! - `own`: this node's record: incarnations, refutation, and two processes of one name.
//! - `node`: all of it together, [`Fleet`].

pub mod config;
pub mod dissemination;
pub mod event;
pub mod local_health;
pub mod local_member;
pub mod members;
mod membership;
pub mod message;
mod probe;
pub mod probe_schedule;
pub mod record;
pub mod service_state;
pub mod spare_capacity;
pub mod suspicion;
pub mod sync;
pub mod update_rules;

pub use membership::{ApplicationMessage, Membership};

/// A reading of a clock, or a span of it, in microseconds.
pub type Micros = i64;
