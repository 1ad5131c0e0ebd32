//! Probe turns: of the nodes that have ejected a worker, one probes it at a time.
//!
//! The turn follows from the load reports. A report of another node never ejects a worker.

use crate::hash;

/// Whose turn it is to probe a worker once this node's ejection time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeTurn {
    /// This node probes the worker.
    Own,
    /// Another node probes it. This node waits for another ejection time, in case that node has no
    /// request for the worker or has failed.
    Other,
}

/// Returns the node that probes a worker: the first of those that have ejected it, in an order that
/// differs per worker.
pub fn prober<'a>(worker: &str, ejected_by: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    ejected_by.max_by_key(|node| (hash(&[worker, node]), *node))
}

/// Returns whose turn it is, where this node and these others have ejected the worker.
pub fn probe_turn<'a>(
    own_name: &'a str,
    worker: &str,
    others: impl Iterator<Item = &'a str>,
) -> ProbeTurn {
    match prober(worker, others.chain(std::iter::once(own_name))) {
        Some(name) if name != own_name => ProbeTurn::Other,
        _ => ProbeTurn::Own,
    }
}

/// Returns whether another node has found a worker to have recovered: it had ejected the worker, no
/// longer does, and is still a member. The missing report of a failed node is no evidence of
/// recovery.
pub fn has_recovered<'a>(
    mut ejected_before: impl Iterator<Item = &'a str>,
    ejected_now: &[&str],
    is_member: impl Fn(&str) -> bool,
) -> bool {
    ejected_before.any(|node| !ejected_now.contains(&node) && is_member(node))
}
