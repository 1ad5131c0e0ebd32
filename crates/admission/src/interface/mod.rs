//! The data that a host and its [`Controller`](crate::Controller) exchange: settings, events,
//! actions, and status for display.
//!
//! All types are plain data and can be serialized, so that captures can record and replay what a
//! controller received and decided. Times are microseconds, memory sizes are kilobytes.
//!
//! Captures hold settings and checkpoints as MessagePack with field names, and events and actions
//! as postcard, which is positional. The order of fields and variants is therefore fixed, and
//! `rename` attributes keep the serialized names of captures.

mod actions;
mod events;
mod settings;
mod status;

pub use self::actions::Action;
pub use self::events::{Event, Outcome, Request};
pub use self::settings::{
    BackpressureKind, CancellationMode, Class, Downstream, Idempotency, Safety, Settings, Tenant,
};
pub use self::status::{Cause, ControllerStatus, Mode, QueueStatus, RequestStatus, Stage};

/// A duration or a reading of the host's monotonic clock, in microseconds.
pub type Micros = i64;

/// The host's number of a request. A number is never reused during the lifetime of a controller.
pub type RequestId = u64;
