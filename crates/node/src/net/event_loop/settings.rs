//! The parts of a configuration that may change while the node runs.

use crate::net::worker_pools::routes::{PoolSettings, UwsgiSettings};
use pipitlever_admission::{Micros, Settings};
use std::net::SocketAddr;

/// Addresses of the services that the node connects to.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstreams {
    /// The processor, if there is one.
    pub processor: Option<SocketAddr>,
    /// The ledger, if there is one.
    pub ledger: Option<SocketAddr>,
    /// The service registry, if there is one.
    pub registry: Option<SocketAddr>,
    /// The pools of uwsgi workers.
    pub pools: Vec<PoolSettings>,
}

/// Settings of the admission controller and of the requests that it decides on.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The admission controller's settings.
    pub admission: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the processor's order.
    pub gauges: Vec<String>,
    /// Shortest time between two decision rounds of the admission controller, in microseconds.
    pub min_round_interval: Micros,
    /// Whether clients mark each retry.
    pub retries_are_marked: bool,
    /// The uwsgi front end, the workers and the routes.
    pub uwsgi: UwsgiSettings,
}
