//! All admission decisions: which requests a server admits, when it starts them, and which it
//! rejects.
//!
//! The main mechanism is the hysteretic control of Gaidamaka et al. (see [`hysteresis`]);
//! `docs/design.md` relates it to this code and lists the extensions. Tuned values are shares of a
//! latency objective or multiples of the number of cores.
//!
//! A step processes its events ([`lifecycle`]), runs the control loop when it is due
//! ([`control_loop`]), admits or rejects the arrivals ([`admission`]), and then ends requests that
//! cannot be served in time, places calls and starts runs ([`scheduling`]).

mod admission;
mod call_limit;
mod concurrency_limit;
mod control_loop;
mod controller;
mod hysteresis;
mod latency;
mod lifecycle;
mod memory_budget;
mod priority;
mod scheduling;
mod stall_detector;

pub use self::controller::Controller;
pub(crate) use self::controller::Queue;
