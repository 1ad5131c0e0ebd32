//! The lifecycle of one process: start, configuration reload, shutdown.

pub mod capture;
mod reload;
pub mod serve;
pub mod signals;
pub mod store;
