//! What passes between a host and its [`Controller`](crate::Controller): settings, events, actions.
//!
//! Plain data only. Times are microseconds, memory is kilobytes. All of it can be serialized, so
//! that what a controller was told and what it said can be kept and played again.

mod actions;
mod events;
mod settings;
mod view;

pub use self::{actions::*, events::*, settings::*, view::*};

/// A span of time, or a reading of the host's clock, in microseconds.
pub type Micros = i64;

/// A request, as the host numbers it. Numbers are never reused within a controller's life.
pub type RequestId = u64;
