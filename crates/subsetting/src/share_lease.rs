//! Shares of a limit that is divided among all nodes. Changes take effect at times at which the
//! shares never add up to more than the limit.
//!
//! A share follows from a node's membership view, and views change at different times. A smaller
//! share therefore takes effect at once, and a larger one only after every other node has had time
//! to receive the change and to release its share.
//!
//! [`LoadHistory`] implements this for pools of which all nodes use all workers. A node assumes its
//! own lowest reported load and the highest known load of each other node within the last
//! `max_propagation`. If reports take no longer than that, and no node reports twice within it,
//! then at any time t all nodes have the loads reported at t - `max_propagation`, and each assumes
//! no more for itself and no less for the others. So shares add up to at most the limit.
//! [`ShareLease`] is for pools of which each node uses a subset: there the share is the lowest one
//! computed within the last `max_propagation`.

use crate::apportionment::{apportion, fractional_shares, whole_units};
use crate::load::load_of_level;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The load levels of the nodes that share a pool, by name.
pub type LoadLevels = BTreeMap<String, u8>;

/// The loads in the membership view during an interval.
#[derive(Clone, Debug)]
struct KnownLoads {
    levels: LoadLevels,
    /// When they were replaced by newer ones, or `Micros::MAX`.
    valid_until: Micros,
}

/// The loads that were in a node's membership view within the propagation time.
#[derive(Clone, Debug)]
pub struct LoadHistory {
    /// Oldest first. The last entry is current.
    entries: VecDeque<KnownLoads>,
}

impl LoadHistory {
    /// Returns the history of a process that has just started and is in no other node's view.
    pub fn new(now: Micros) -> LoadHistory {
        let empty = |valid_until| KnownLoads {
            levels: LoadLevels::new(),
            valid_until,
        };
        LoadHistory {
            entries: VecDeque::from([empty(now), empty(Micros::MAX)]),
        }
    }

    /// Records the loads that are in the view from now on.
    pub fn record(&mut self, now: Micros, levels: LoadLevels) {
        if self
            .entries
            .back()
            .is_some_and(|last| last.levels == levels)
        {
            return;
        }
        if let Some(last) = self.entries.back_mut() {
            last.valid_until = now;
        }
        self.entries.push_back(KnownLoads {
            levels,
            valid_until: Micros::MAX,
        });
    }

    /// Drops loads that were replaced longer ago than `max_propagation`. Returns whether only the
    /// current ones are left, in which case shares no longer change with time.
    pub fn expire(&mut self, now: Micros, max_propagation: Micros) -> bool {
        let is_expired =
            |loads: &KnownLoads| loads.valid_until.saturating_add(max_propagation) < now;
        while self.entries.front().is_some_and(is_expired) {
            self.entries.pop_front();
        }
        self.entries.len() == 1
    }

    /// Returns a node's share of a limit. Call [`LoadHistory::expire`] first.
    pub fn share(&self, node: &str, limit: usize, tie_breaker: impl Fn(&str) -> u64) -> usize {
        let Some(current) = self.entries.back().map(|last| &last.levels) else {
            return 1;
        };
        let Some(position) = current.keys().position(|name| name == node) else {
            return 1;
        };
        if self.entries.len() == 1 {
            let loads: Vec<f64> = current.values().map(|l| load_of_level(*l)).collect();
            let tie_breakers: Vec<u64> = current.keys().map(|name| tie_breaker(name)).collect();
            return apportion(limit, &loads, 1, limit, &tie_breakers)[position];
        }
        self.conservative_share(node, limit)
    }

    /// Returns the share that follows from the lowest load of this node, 0 while it was not in the
    /// view, and the highest load of each other node, including those that have left.
    fn conservative_share(&self, node: &str, limit: usize) -> usize {
        let mut loads: BTreeMap<&str, f64> = BTreeMap::new();
        for known in &self.entries {
            for (name, level) in known.levels.iter().filter(|(name, _)| *name != node) {
                let highest = loads.entry(name).or_default();
                *highest = highest.max(load_of_level(*level));
            }
        }
        let own_loads = self
            .entries
            .iter()
            .map(|known| known.levels.get(node).map_or(0.0, |l| load_of_level(*l)));
        loads.insert(node, own_loads.fold(f64::MAX, f64::min));
        let position = loads
            .keys()
            .position(|name| *name == node)
            .unwrap_or_default();
        let loads: Vec<f64> = loads.into_values().collect();
        whole_units(fractional_shares(limit, &loads, 1, limit)[position])
    }
}

/// A share that was current during an interval.
#[derive(Clone, Debug)]
struct ComputedShare {
    share: usize,
    /// When it was replaced by another one, or `Micros::MAX`.
    valid_until: Micros,
}

/// A lease on a share of one worker's limit.
#[derive(Clone, Debug, Default)]
pub struct ShareLease {
    /// Ascending shares. The first one is in effect, the last one is current.
    entries: VecDeque<ComputedShare>,
}

impl ShareLease {
    /// Returns the lease of a node that has just joined, with the minimum share: the node is in no
    /// other node's view yet.
    pub fn new(min_share: usize, now: Micros) -> ShareLease {
        ShareLease {
            entries: VecDeque::from([
                ComputedShare {
                    share: min_share,
                    valid_until: now,
                },
                ComputedShare {
                    share: usize::MAX,
                    valid_until: Micros::MAX,
                },
            ]),
        }
    }

    /// Sets the share that is to take effect.
    pub fn set(&mut self, now: Micros, share: usize) {
        if self.entries.back().is_some_and(|last| last.share == share) {
            return;
        }
        if let Some(last) = self.entries.back_mut() {
            last.valid_until = now;
        }
        // A larger share before this one is never the lowest of a period that includes this one.
        while self.entries.back().is_some_and(|last| last.share >= share) {
            self.entries.pop_back();
        }
        self.entries.push_back(ComputedShare {
            share,
            valid_until: Micros::MAX,
        });
    }

    /// Returns the share in effect: the lowest within the last `max_propagation`.
    pub fn get(&mut self, now: Micros, max_propagation: Micros) -> usize {
        let is_expired =
            |entry: &ComputedShare| entry.valid_until.saturating_add(max_propagation) < now;
        while self.entries.len() > 1 && self.entries.front().is_some_and(is_expired) {
            self.entries.pop_front();
        }
        self.entries.front().map_or(0, |entry| entry.share)
    }
}

#[cfg(test)]
mod tests;
