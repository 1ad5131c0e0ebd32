//! Admission control of one server: decides which requests it admits, when it starts them, and
//! which it rejects.
//!
//! A host passes events to a [`Controller`] and carries out the actions that it returns. The
//! controller performs no I/O, reads no clock and starts no threads: the same events produce the
//! same actions.
//!
//! ```
//! use pipitlever_admission::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: 500_000,
//!         deadline: 2_000_000,
//!         ..Class::default()
//!     }],
//!     cores: 4.0,
//!     memory_kb: 100_000.0,
//!     ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//! let request = Request { id: 1, memory_kb: 20.0, priority: 0.5, ..Request::default() };
//! controller.step(0, &[Event::Arrived(request)], &mut actions);
//! assert!(actions.contains(&Action::Run(1)));
//!
//! actions.clear();
//! let end = Event::Finished { id: 1, elapsed: 40_000, outcome: Outcome::Success };
//! controller.step(40_000, &[end], &mut actions);
//! assert!(actions.is_empty());
//! ```

pub mod interface;
mod policy;
mod status;

pub use interface::{
    Action, BackpressureKind, CancellationMode, Cause, Class, ControllerStatus, Downstream, Event,
    Idempotency, Micros, Mode, Outcome, QueueStatus, Request, RequestId, RequestStatus, Safety,
    Settings, Stage, Tenant,
};
pub use policy::Controller;
