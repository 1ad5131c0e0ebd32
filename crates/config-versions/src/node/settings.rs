//! Settings of a node, from the operator's file.

use crate::minimum_version::UnknownMinimum;
use crate::Micros;

/// What a node does without a lease, unless its active version is known to be retired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WithoutLease {
    /// The node keeps serving, so that the fleet survives the loss of the acceptors.
    Serve,
    /// The node rejects all requests.
    Refuse,
}

/// The settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The acceptors that decide the first version.
    pub acceptors: Vec<String>,
    /// The duration of a lease.
    pub lease: Micros,
    /// What to do without a lease.
    pub without_lease: WithoutLease,
    /// What to do while the minimum version is unknown.
    pub unknown_minimum: UnknownMinimum,
}
