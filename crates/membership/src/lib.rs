//! Cluster membership and failure detection without a coordinator: SWIM (Das, Gupta, Motivala
//! 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2018) and anti-entropy push-pull
//! synchronization.
//!
//! The package does no I/O and reads no clock: the caller passes in times, datagrams and bytes of
//! connections, and takes out the datagrams and bytes to send. `docs/membership.md` has the
//! design, the alternatives that were compared, and the measurements.
//!
//! - [`record`]: the replicated record of a member and the merge rule for two versions of it.
//! - [`members`]: the bounded table of members with its digests and removal rules.
//! - [`probe_schedule`] and `probe`: which member is probed next, and the steps of one probe.
//! - [`suspicion`] and [`local_health`]: suspicion timeouts and the local health multiplier.
//! - [`dissemination`]: the queue of updates that are piggybacked on outgoing messages.
//! - [`sync`]: push-pull synchronization of two tables over a connection.
//! - [`update_rules`]: the effect of an update about another member on its current record.
//! - [`local_member`]: the record of this process: incarnations, refutation, name conflicts.
//! - [`spare_capacity`]: whether other members are likely to admit a request rejected here.
//! - [`service_state`]: debouncing of the service state that this node announces.
//! - [`Membership`]: the state machine that combines them.

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

pub use membership::{ApplicationMessage, Membership, OutboundDatagram, ReceivedMessage};

/// A point in time of a monotonic clock, or a duration, in microseconds.
pub type Micros = i64;
