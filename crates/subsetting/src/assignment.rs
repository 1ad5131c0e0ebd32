//! The division of one pool among the nodes: the workers each node uses, their weights, and the
//! node's share of each worker's concurrency limit.

use crate::apportionment::apportion;
use crate::hash;
use crate::load::load_of_level;
use crate::proportional_fitting::{fit_weights, proportional_part};
use crate::subset::{self, assign_subsets};

/// The minimum number of workers per node, whatever its load: losing one must not lose most of the
/// node's capacity.
const MIN_SUBSET: usize = 3;
/// A node's minimum subset is also this fraction of the usual one.
const MIN_SUBSET_FRACTION: usize = 4;
/// The minimum weight of a worker, relative to the mean of the node's workers.
const MIN_WEIGHT: f64 = 0.01;
/// The maximum weight of a worker, relative to the mean of the node's workers.
const MAX_WEIGHT: f64 = 100.0;

/// A node that shares the pool, from the membership view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The name.
    pub name: String,
    /// The zone, empty if none is configured.
    pub zone: String,
    /// The load in this pool, as a level of [`crate::load`].
    pub level: u8,
}

/// A worker of the pool, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The name.
    pub name: String,
    /// The zone, empty if none is configured.
    pub zone: String,
    /// The weight relative to other workers of its tier, above 0.
    pub weight: f64,
    /// The priority tier. Each tier is divided separately.
    pub tier: u32,
    /// The maximum number of concurrent runs, of all nodes together.
    pub concurrency_limit: usize,
}

/// A node's share of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerShare {
    /// Whether the worker is in the node's subset. The others are used only while no worker of the
    /// subset is available.
    pub in_subset: bool,
    /// The weight relative to the node's other workers.
    pub weight: f64,
    /// The maximum number of concurrent runs of this node, at least 1.
    pub concurrency_limit: usize,
}

/// The division of a pool from the view of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeAssignment {
    /// The node's share of each worker, in the order of the workers.
    pub workers: Vec<WorkerShare>,
    /// The node's fraction of the load of all nodes, for limits that are divided by load.
    pub load_fraction: f64,
}

/// The division of one tier of a pool among all nodes.
#[derive(Clone, Debug, Default)]
pub struct TierAssignment {
    /// For each node the positions of its workers, ascending.
    pub subsets: Vec<Vec<usize>>,
    /// The fitted weight of each worker.
    pub weights: Vec<f64>,
    /// For each node its share of the limit of each worker in its subset, in that order. 0 where a
    /// worker has more nodes than runs.
    pub limits: Vec<Vec<usize>>,
}

/// Returns the number of workers for each node: all if they are at most `subset_size`, otherwise
/// about `subset_size`, and more for nodes with a higher load.
pub fn subset_sizes(peers: &[Peer], workers: usize, subset_size: usize) -> Vec<usize> {
    if workers <= subset_size {
        return vec![workers; peers.len()];
    }
    let loads: Vec<f64> = peers.iter().map(|p| load_of_level(p.level)).collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    // Large enough that every worker has at least one node.
    let usual = subset_size.max(workers.div_ceil(peers.len().max(1)));
    let size = |load: &f64| {
        // Sizes change in steps of a factor of four relative to the mean load, so that a varying
        // load moves no worker: weights even out smaller differences.
        let factor = ((load / mean).log2() / 2.0).trunc().exp2().powi(2);
        ((usual as f64 * factor).round() as usize)
            .max(MIN_SUBSET.max(usual / MIN_SUBSET_FRACTION))
            .min(workers)
    };
    let mut sizes: Vec<usize> = loads.iter().map(size).collect();
    // Low loads can leave fewer pairs than workers: the first nodes get more workers, so that every
    // worker has at least one node.
    let mut i = 0;
    while sizes.iter().sum::<usize>() < workers {
        sizes[i] = (sizes[i] + 1).min(workers);
        i = (i + 1) % sizes.len();
    }
    sizes
}

/// Divides one tier of a pool among all nodes.
pub fn assign_tier(peers: &[Peer], workers: &[Worker], subset_size: usize) -> TierAssignment {
    if peers.is_empty() || workers.is_empty() {
        return TierAssignment {
            subsets: vec![Vec::new(); peers.len()],
            limits: vec![Vec::new(); peers.len()],
            ..TierAssignment::default()
        };
    }
    let subsets = if workers.len() <= subset_size {
        vec![(0..workers.len()).collect(); peers.len()]
    } else {
        choose_subsets(peers, workers, subset_size)
    };
    let loads: Vec<f64> = peers.iter().map(|p| load_of_level(p.level)).collect();
    let configured: Vec<f64> = workers.iter().map(|worker| worker.weight).collect();
    let weights = fit_weights(&loads, &configured, &subsets);
    let limits = divide_limits(peers, workers, &subsets, &weights, &loads);
    TierAssignment {
        subsets,
        weights,
        limits,
    }
}

fn choose_subsets(peers: &[Peer], workers: &[Worker], subset_size: usize) -> Vec<Vec<usize>> {
    let sizes = subset_sizes(peers, workers.len(), subset_size);
    let peers: Vec<subset::Peer> = peers
        .iter()
        .zip(&sizes)
        .map(|(peer, size)| subset::Peer {
            name: &peer.name,
            zone: &peer.zone,
            subset_size: *size,
        })
        .collect();
    let workers: Vec<subset::Worker> = workers
        .iter()
        .map(|worker| subset::Worker {
            name: &worker.name,
            zone: &worker.zone,
            weight: worker.weight,
        })
        .collect();
    assign_subsets(&peers, &workers)
}

/// A node that uses a worker.
#[derive(Clone, Copy)]
struct WorkerUser {
    /// The position of the node.
    peer: usize,
    /// The load that the node sends to the worker.
    load: f64,
}

/// Divides each worker's limit among the nodes that use it, by the load that each sends to it.
fn divide_limits(
    peers: &[Peer],
    workers: &[Worker],
    subsets: &[Vec<usize>],
    weights: &[f64],
    loads: &[f64],
) -> Vec<Vec<usize>> {
    let mut users: Vec<Vec<WorkerUser>> = vec![Vec::new(); workers.len()];
    for (peer, subset) in subsets.iter().enumerate() {
        let sum: f64 = subset.iter().map(|&worker| weights[worker]).sum();
        for &worker in subset {
            let load = proportional_part(loads[peer], weights[worker], sum);
            users[worker].push(WorkerUser { peer, load });
        }
    }
    let mut limits: Vec<Vec<usize>> = subsets.iter().map(|s| vec![0; s.len()]).collect();
    for (position, (worker, users)) in workers.iter().zip(&users).enumerate() {
        let loads: Vec<f64> = users.iter().map(|user| user.load).collect();
        let tie_breakers: Vec<u64> = users
            .iter()
            .map(|user| hash(&[&peers[user.peer].name, &worker.name]))
            .collect();
        let limit = worker.concurrency_limit;
        let shares = apportion(limit, &loads, 1, limit, &tie_breakers);
        for (user, share) in users.iter().zip(shares) {
            let index = subsets[user.peer]
                .binary_search(&position)
                .unwrap_or_default();
            limits[user.peer][index] = share;
        }
    }
    limits
}

/// Returns one node's assignment from the division of a pool.
///
/// A node that is not among the peers has no subset.
pub fn assign_node(
    own_name: &str,
    peers: &[Peer],
    workers: &[Worker],
    subset_size: usize,
) -> NodeAssignment {
    let outside_subset = |worker: &Worker| WorkerShare {
        in_subset: false,
        weight: worker.weight,
        concurrency_limit: 1,
    };
    let mut shares: Vec<WorkerShare> = workers.iter().map(outside_subset).collect();
    let total_load: f64 = peers.iter().map(|p| load_of_level(p.level)).sum();
    let Some(own) = peers.iter().position(|peer| peer.name == own_name) else {
        return NodeAssignment {
            workers: shares,
            load_fraction: 1.0,
        };
    };
    let mut tiers: Vec<u32> = workers.iter().map(|worker| worker.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    for tier in tiers {
        let positions: Vec<usize> = (0..workers.len())
            .filter(|&i| workers[i].tier == tier)
            .collect();
        let tier_workers: Vec<Worker> = positions.iter().map(|&i| workers[i].clone()).collect();
        let assignment = assign_tier(peers, &tier_workers, subset_size);
        for (index, share) in own_shares(&assignment, own) {
            shares[positions[index]] = share;
        }
    }
    NodeAssignment {
        workers: shares,
        load_fraction: load_of_level(peers[own].level) / total_load,
    }
}

/// Returns the node's share of each worker in its subset, by worker position, without empty shares.
fn own_shares(
    assignment: &TierAssignment,
    own: usize,
) -> impl Iterator<Item = (usize, WorkerShare)> + '_ {
    let subset = &assignment.subsets[own];
    let sum: f64 = subset.iter().map(|&i| assignment.weights[i]).sum();
    let count = subset.len() as f64;
    let share = move |(&i, &limit): (&usize, &usize)| {
        let weight = (assignment.weights[i] / sum * count).clamp(MIN_WEIGHT, MAX_WEIGHT);
        let share = WorkerShare {
            in_subset: true,
            weight,
            concurrency_limit: limit,
        };
        (limit > 0).then_some((i, share))
    };
    subset.iter().zip(&assignment.limits[own]).filter_map(share)
}
