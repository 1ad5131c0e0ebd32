//! Start and stop: the command line, the configuration, signals, the way out.

pub mod capture;
pub mod command;
pub mod config;
mod doors;
mod explain;
mod fleet;
pub mod import;
pub mod operator;
mod pools;
mod reload;
pub mod serve;
mod sessions;
pub mod signals;
pub mod store;
mod stored;
mod text;
mod versions;
