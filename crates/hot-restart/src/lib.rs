//! Hot restart: a new process of a node takes over from the running one under load.
//!
//! The package contains the messages between the two processes, a state machine for each side, and
//! the decision which of the two may run a request whose idempotency key has no entry there. It
//! does no I/O and reads no clock: callers pass received bytes and the time.
//!
//! The phases are [`Connect`](predecessor::Phase::Connect), [`Freeze`](predecessor::Phase::Freeze),
//! [`Transfer`](successor::Phase::Transfer), [`Mirror`](predecessor::Phase::Mirror) and
//! [`Retire`](predecessor::Phase::Retire); `docs/hot-restart.md` describes them.

pub mod key_authority;
pub mod message;
pub mod predecessor;
pub mod successor;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;
