//! Deterministic subsetting: each node uses some of the workers, and each worker serves nodes in
//! proportion to its weight, preferring its own zone.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar 1998) with bounded degrees: all pairs of a
//! node and a worker are visited in the order of a hash of both names, pairs within a zone first,
//! and a pair is taken while both sides have capacity. A joining or leaving member changes the
//! capacity of few others, and the rank of a pair depends on no third name, so few pairs move. A
//! node whose subset is then incomplete gets its missing workers by exchanges.

use crate::apportionment::apportion;
use crate::hash;

/// The bit of a pair's rank that puts pairs within a zone before all others.
const SAME_ZONE_BIT: u32 = 63;

/// A node.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer<'a> {
    /// The name.
    pub name: &'a str,
    /// The zone, empty if none is configured.
    pub zone: &'a str,
    /// The number of workers to assign to the node.
    pub subset_size: usize,
}

/// A worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker<'a> {
    /// The name.
    pub name: &'a str,
    /// The zone, empty if none is configured.
    pub zone: &'a str,
    /// The weight relative to other workers, above 0.
    pub weight: f64,
}

/// A pair of a node and a worker. The order of pairs is the order of the fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Pair {
    rank: u64,
    peer: u32,
    worker: u32,
}

/// Returns for each node the positions of its workers, ascending.
pub fn assign_subsets(peers: &[Peer], workers: &[Worker]) -> Vec<Vec<usize>> {
    let mut missing: Vec<usize> = peers
        .iter()
        .map(|peer| peer.subset_size.min(workers.len()))
        .collect();
    let mut capacity = worker_capacities(missing.iter().sum(), peers.len(), workers);
    let pairs = ranked_pairs(peers, workers);
    let mut matrix = AssignmentMatrix::new(peers.len(), workers.len());
    for pair in &pairs {
        let (peer, worker) = (pair.peer as usize, pair.worker as usize);
        if missing[peer] > 0 && capacity[worker] > 0 {
            matrix.assign(peer, worker);
            missing[peer] -= 1;
            capacity[worker] -= 1;
        }
    }
    for (peer, missing) in missing.iter_mut().enumerate() {
        while *missing > 0 && matrix.exchange(peer, &mut capacity, &pairs) {
            *missing -= 1;
        }
    }
    matrix.subsets()
}

/// Divides the pairs among the workers by weight. Each worker gets at least one pair if there are
/// enough.
fn worker_capacities(pairs: usize, peers: usize, workers: &[Worker]) -> Vec<usize> {
    let weights: Vec<f64> = workers.iter().map(|worker| worker.weight).collect();
    let tie_breakers: Vec<u64> = workers.iter().map(|worker| hash(&[worker.name])).collect();
    apportion(pairs, &weights, 1, peers, &tie_breakers)
}

/// Returns all pairs, highest rank first.
fn ranked_pairs(peers: &[Peer], workers: &[Worker]) -> Vec<Pair> {
    let mut pairs = Vec::with_capacity(peers.len() * workers.len());
    for (j, peer) in peers.iter().enumerate() {
        for (i, worker) in workers.iter().enumerate() {
            let is_same_zone = !peer.zone.is_empty() && peer.zone == worker.zone;
            let rank =
                hash(&[peer.name, worker.name]) >> 1 | u64::from(is_same_zone) << SAME_ZONE_BIT;
            pairs.push(Pair {
                rank,
                peer: j as u32,
                worker: i as u32,
            });
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    pairs
}

/// Which node uses which worker.
struct AssignmentMatrix {
    workers: usize,
    is_assigned: Vec<bool>,
}

impl AssignmentMatrix {
    fn new(peers: usize, workers: usize) -> AssignmentMatrix {
        AssignmentMatrix {
            workers,
            is_assigned: vec![false; peers * workers],
        }
    }

    fn contains(&self, peer: usize, worker: usize) -> bool {
        self.is_assigned[peer * self.workers + worker]
    }

    fn assign(&mut self, peer: usize, worker: usize) {
        self.is_assigned[peer * self.workers + worker] = true;
    }

    fn remove(&mut self, peer: usize, worker: usize) {
        self.is_assigned[peer * self.workers + worker] = false;
    }

    /// Assigns one more worker to a node that already uses all workers with free capacity: moves a
    /// worker of another node to this node, and assigns a free worker to the other node instead.
    /// The pair of the lowest rank is moved. Returns whether there is such a pair.
    fn exchange(&mut self, peer: usize, capacity: &mut [usize], pairs: &[Pair]) -> bool {
        let free: Vec<usize> = (0..self.workers).filter(|&i| capacity[i] > 0).collect();
        for pair in pairs.iter().rev() {
            let (other, worker) = (pair.peer as usize, pair.worker as usize);
            if other == peer || !self.contains(other, worker) || self.contains(peer, worker) {
                continue;
            }
            if let Some(&replacement) = free.iter().find(|&&i| !self.contains(other, i)) {
                self.remove(other, worker);
                self.assign(other, replacement);
                self.assign(peer, worker);
                capacity[replacement] -= 1;
                return true;
            }
        }
        false
    }

    fn subsets(&self) -> Vec<Vec<usize>> {
        let positions = |row: &[bool]| (0..row.len()).filter(|&i| row[i]).collect();
        self.is_assigned
            .chunks(self.workers.max(1))
            .map(positions)
            .collect()
    }
}
