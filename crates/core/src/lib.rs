//! State machine of a node: requests, runs, calls, idempotency keys and their timers.
//!
//! [`Core`] turns what drivers report into events of the admission controller, and the controller's
//! actions into a list of [`Effect`]s that drivers carry out. It does no I/O, reads no clock and
//! knows no wire format. Admission, order and concurrency limits are the controller's decisions.
//!
//! `docs/request-path.md` follows a request through it.

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
