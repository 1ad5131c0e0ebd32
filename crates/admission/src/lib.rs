//! pipitlever decides, inside each server of a fleet, what the server takes, runs and turns away.
//!
//! A host feeds a [`Controller`] what happens and carries out what it says. The controller reads no
//! clock, starts no thread and shares nothing: the same events give the same actions.
//!
//! ```
//! use pipitlever_admission::*;
//!
//! let settings = Settings {
//!     classes: vec![Class { latency_objective: 500_000, deadline: 2_000_000, ..Class::default() }],
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
mod rules;
mod view;

pub use interface::*;
pub use rules::Controller;
