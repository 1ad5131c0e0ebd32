//! The lifecycle of one process: startup, event loop, configuration reload, shutdown.

pub mod capture;
mod limits;
mod reload;
mod report;
mod serve;
mod shutdown;
mod signals;
mod sockets;
mod startup;
mod store;

pub use serve::{serve, ServeError};
