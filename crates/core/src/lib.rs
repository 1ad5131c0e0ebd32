//! State machine of a node: requests, runs, calls, idempotency keys and their timers.
//!
//! [`Core`] translates the inputs of drivers into events of the admission controller, and the
//! controller's actions into a list of [`Effect`]s that drivers carry out. It does no I/O, reads no
//! clock and is independent of wire formats. The controller decides about admission, order and
//! concurrency limits.
//!
//! `docs/request-path.md` describes the request lifecycle.

mod admission;
mod availability;
mod class_table;
mod core;
mod counters;
mod effect;
mod gauges;
mod idempotency_table;
mod key_transfer;
mod memory_limits;
mod request;
mod request_table;
mod run_store;
mod timers;

pub use crate::core::{Core, TableSizes, OVERLOAD_RETRY_AFTER};
pub use class_table::{ClassAssignment, ClassTable, TooManyClasses, MAX_CLASSES};
pub use counters::{ClassCounters, ConfigFileCounters, Counters};
pub use effect::{Answer, Effect, RejectedCommand, RunOutcome};
pub use gauges::Gauges;
pub use memory_limits::{MemoryLimits, CONNECTION_BYTES, PROCESS_BYTES, REQUEST_BYTES};
pub use request::{IncomingRequest, Origin, Reference};
pub use run_store::{RunStore, StoreUsage};
