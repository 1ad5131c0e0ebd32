//! The workers that this node and the others have ejected.

use super::{Member, WorkerPosition};
use crate::probe_turn::has_recovered;
use std::collections::{BTreeMap, BTreeSet};

/// A worker of one pool that this node has ejected.
pub(super) struct EjectedWorker {
    /// The position in the pool.
    pub(super) worker: usize,
    /// The short id in load reports.
    pub(super) id: u16,
}

/// Ejected workers, by position for this node and by short id for the others.
#[derive(Default)]
pub(super) struct Ejections {
    /// The workers that this node has ejected, with their short ids.
    own: BTreeMap<WorkerPosition, u16>,
    /// The other nodes that have ejected a worker.
    by_worker: BTreeMap<u16, Vec<String>>,
    /// The workers that another node has found to have recovered.
    recovered: Vec<WorkerPosition>,
}

impl Ejections {
    /// Clears the workers that this node has ejected, and those that have recovered: positions may
    /// refer to other workers after a change of the pools.
    pub(super) fn clear_own(&mut self) {
        self.own.clear();
        self.recovered.clear();
    }

    /// Sets the workers of a pool that this node has ejected. Returns whether they have changed.
    pub(super) fn set_own(&mut self, pool: usize, workers: Vec<EjectedWorker>) -> bool {
        let previous = self.own.clone();
        self.own.retain(|position, _| position.pool != pool);
        let positions = workers
            .into_iter()
            .map(|EjectedWorker { worker, id }| (WorkerPosition { pool, worker }, id));
        self.own.extend(positions);
        self.own != previous
    }

    /// Returns the short ids of the workers that this node has ejected.
    pub(super) fn own_ids(&self) -> BTreeSet<u16> {
        self.own.values().copied().collect()
    }

    /// Returns the other nodes that have ejected a worker.
    pub(super) fn others(&self, worker: u16) -> &[String] {
        self.by_worker.get(&worker).map_or(&[], Vec::as_slice)
    }

    /// Updates the ejections of other nodes from their load reports, and records the recoveries.
    pub(super) fn update(&mut self, own_name: &str, members: &[Member]) {
        let by_worker = ejected_by_others(own_name, members);
        let is_member = |name: &str| {
            members
                .iter()
                .any(|member| member.name == name && member.down_since.is_none())
        };
        for (position, id) in &self.own {
            let before = self.by_worker.get(id).map_or(&[][..], Vec::as_slice);
            let now: Vec<&str> = by_worker
                .get(id)
                .into_iter()
                .flatten()
                .map(String::as_str)
                .collect();
            if has_recovered(before.iter().map(String::as_str), &now, is_member) {
                self.recovered.push(*position);
            }
        }
        self.by_worker = by_worker;
    }

    /// Takes the workers that another node has found to have recovered.
    pub(super) fn take_recovered(&mut self) -> Vec<WorkerPosition> {
        std::mem::take(&mut self.recovered)
    }
}

/// Returns the names of the other nodes that have ejected each worker.
fn ejected_by_others(own_name: &str, members: &[Member]) -> BTreeMap<u16, Vec<String>> {
    let mut by_worker: BTreeMap<u16, Vec<String>> = BTreeMap::new();
    let others = members
        .iter()
        .filter(|member| member.down_since.is_none() && member.name != own_name);
    for member in others {
        for worker in member.report.iter().flat_map(|report| &report.ejected) {
            by_worker
                .entry(*worker)
                .or_default()
                .push(member.name.clone());
        }
    }
    by_worker
}
