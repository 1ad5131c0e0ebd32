//! Who uses whom: each node some of the workers, each worker nodes in proportion to its weight, its
//! own zone first.
//!
//! Weighted rendezvous with a bound on both sides: all pairs of a node and a worker in the order of
//! a hash of their two names, pairs of one zone before the others, each taken while both have room.
//! Who comes or goes changes the room of few, and what a pair is worth depends on nobody else, so
//! few pairs move. Where the order leaves a node short, it gets a place by an exchange.

use crate::apportion::apportion;
use crate::hash;

/// A node as the others see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it stands; may be empty.
    pub zone: &'a str,
    /// How many workers it is to use.
    pub pairs: usize,
}

/// A worker, as the file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it stands; may be empty.
    pub zone: &'a str,
    /// Its share beside the others'; above 0.
    pub weight: f64,
}

/// For each node the workers that it uses, by position, in order.
pub fn assign(peers: &[Peer], workers: &[Worker]) -> Vec<Vec<usize>> {
    let mut room: Vec<usize> = peers.iter().map(|p| p.pairs.min(workers.len())).collect();
    let wanted = room.iter().sum();
    let weights: Vec<f64> = workers.iter().map(|w| w.weight).collect();
    let ties: Vec<u64> = workers.iter().map(|w| hash(&[w.name])).collect();
    // No worker is left without a node where there are nodes enough.
    let mut places = apportion(wanted, &weights, 1, peers.len(), &ties);
    let mut pairs = Vec::with_capacity(peers.len() * workers.len());
    for (j, peer) in peers.iter().enumerate() {
        for (i, worker) in workers.iter().enumerate() {
            let near = !peer.zone.is_empty() && peer.zone == worker.zone;
            // The one bit above all of the hash.
            let worth = hash(&[peer.name, worker.name]) >> 1 | u64::from(near) << 63;
            pairs.push((worth, j as u32, i as u32));
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    let mut uses = Uses::new(peers.len(), workers.len());
    for &(_, j, i) in &pairs {
        let (j, i) = (j as usize, i as usize);
        if room[j] > 0 && places[i] > 0 {
            uses.put(j, i);
            (room[j], places[i]) = (room[j] - 1, places[i] - 1);
        }
    }
    for (j, room) in room.iter_mut().enumerate() {
        while *room > 0 && uses.exchange(j, &mut places, &pairs) {
            *room -= 1;
        }
    }
    uses.lists()
}

/// Which node uses which worker.
struct Uses {
    workers: usize,
    used: Vec<bool>,
}

impl Uses {
    fn new(peers: usize, workers: usize) -> Uses {
        Uses {
            workers,
            used: vec![false; peers * workers],
        }
    }

    fn has(&self, j: usize, i: usize) -> bool {
        self.used[j * self.workers + i]
    }

    fn put(&mut self, j: usize, i: usize) {
        self.used[j * self.workers + i] = true;
    }

    /// A node that lacks one, where only workers that it uses have room: another node leaves it one
    /// and takes such a place.
    fn exchange(&mut self, j: usize, places: &mut [usize], pairs: &[(u64, u32, u32)]) -> bool {
        let open: Vec<usize> = (0..self.workers).filter(|&i| places[i] > 0).collect();
        // The pair that goes is the one that is worth least.
        for &(_, m, k) in pairs.iter().rev() {
            let (m, k) = (m as usize, k as usize);
            if m == j || !self.has(m, k) || self.has(j, k) {
                continue;
            }
            if let Some(&i) = open.iter().find(|&&i| !self.has(m, i)) {
                self.used[m * self.workers + k] = false;
                self.put(m, i);
                self.put(j, k);
                places[i] -= 1;
                return true;
            }
        }
        false
    }

    fn lists(&self) -> Vec<Vec<usize>> {
        let list = |used: &[bool]| {
            used.iter()
                .enumerate()
                .filter(|(_, u)| **u)
                .map(|(i, _)| i)
                .collect()
        };
        self.used.chunks(self.workers.max(1)).map(list).collect()
    }
}

#[cfg(test)]
mod tests;
