//! One pool, divided among the nodes that are seen: who uses which workers, how often, and how many
//! runs each may have there.

use crate::apportion::apportion;
use crate::demand;
use crate::flow;
use crate::hash;
use crate::subset::{self, assign};

/// A node that shares the pool, as the view has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it stands; may be empty.
    pub zone: String,
    /// Its load there, as a level of [`crate::demand`].
    pub level: u8,
}

/// A worker that is in use, as the file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// What it is called.
    pub name: String,
    /// Where it stands; may be empty.
    pub zone: String,
    /// Its share beside the others of its tier; above 0.
    pub weight: f64,
    /// Each tier is divided by itself.
    pub tier: u32,
    /// Runs that it may have at once, of all nodes together.
    pub most_runs: usize,
}

/// A node's part of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// It is one of those that this node uses; the others are for when none of these is usable.
    pub inside: bool,
    /// Its share beside the others'.
    pub weight: f64,
    /// Runs that this node may have there at once; 1 at the least.
    pub most_runs: usize,
}

/// What all nodes together do, as one that sees these would have it.
#[derive(Clone, Debug, Default)]
pub struct Whole {
    /// For each node the workers that it uses, by position.
    pub uses: Vec<Vec<usize>>,
    /// What each worker is weighed by.
    pub weighed: Vec<f64>,
    /// For each node and each worker that it uses, in that order, its part of the bound. None where
    /// there are more nodes than runs.
    pub parts: Vec<Vec<usize>>,
}

/// So many workers a node uses, at the least, beside what its load asks for: one that is lost must
/// not be most of them.
const LEAST: usize = 3;

/// How many workers each node is to use: about `subset`, more for those that have more load, and
/// all while that is not more.
pub fn pairs(peers: &[Peer], workers: usize, subset: usize) -> Vec<usize> {
    let loads: Vec<f64> = peers.iter().map(|p| demand::load(p.level)).collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    // No worker is left without a node.
    let usual = subset.max(workers.div_ceil(peers.len().max(1)));
    let of = |load: &f64| {
        // Weights even out what is less than four times the mean: a load that swings moves nobody.
        let times = ((load / mean).log2() / 2.0).trunc().exp2().powi(2);
        ((usual as f64 * times).round() as usize)
            .max(LEAST.max(usual / 4))
            .min(workers)
    };
    match workers <= subset {
        true => vec![workers; peers.len()],
        false => {
            let mut pairs: Vec<usize> = loads.iter().map(of).collect();
            // Where the loads leave fewer pairs than workers the first ones have more: no worker is
            // without a node.
            let mut i = 0;
            while pairs.iter().sum::<usize>() < workers {
                pairs[i] = (pairs[i] + 1).min(workers);
                i = (i + 1) % pairs.len();
            }
            pairs
        }
    }
}

/// Divides one tier.
pub fn divide(peers: &[Peer], workers: &[Worker], subset: usize) -> Whole {
    if peers.is_empty() || workers.is_empty() {
        return Whole {
            uses: vec![Vec::new(); peers.len()],
            parts: vec![Vec::new(); peers.len()],
            ..Whole::default()
        };
    }
    let pairs = pairs(peers, workers.len(), subset);
    let nodes: Vec<subset::Peer> = peers
        .iter()
        .zip(&pairs)
        .map(|(p, pairs)| subset::Peer {
            name: &p.name,
            zone: &p.zone,
            pairs: *pairs,
        })
        .collect();
    let servers: Vec<subset::Worker> = workers
        .iter()
        .map(|w| subset::Worker {
            name: &w.name,
            zone: &w.zone,
            weight: w.weight,
        })
        .collect();
    let uses = match workers.len() <= subset {
        // Nothing is to be chosen.
        true => vec![(0..workers.len()).collect(); peers.len()],
        false => assign(&nodes, &servers),
    };
    let loads: Vec<f64> = peers.iter().map(|p| demand::load(p.level)).collect();
    let weights: Vec<f64> = workers.iter().map(|w| w.weight).collect();
    let weighed = flow::fit(&loads, &weights, &uses);
    let parts = bounds(peers, workers, &uses, &weighed, &loads);
    Whole {
        uses,
        weighed,
        parts,
    }
}

/// Each worker's bound among those that use it, by the load that each brings there.
fn bounds(
    peers: &[Peer],
    workers: &[Worker],
    uses: &[Vec<usize>],
    weighed: &[f64],
    loads: &[f64],
) -> Vec<Vec<usize>> {
    let mut users: Vec<Vec<(usize, f64)>> = vec![Vec::new(); workers.len()];
    for (j, used) in uses.iter().enumerate() {
        let sum: f64 = used.iter().map(|&i| weighed[i]).sum();
        used.iter().for_each(|&i| {
            users[i].push((
                j,
                if sum > 0.0 {
                    loads[j] * weighed[i] / sum
                } else {
                    0.0
                },
            ))
        });
    }
    let mut parts: Vec<Vec<usize>> = uses.iter().map(|used| vec![0; used.len()]).collect();
    for (i, users) in users.iter().enumerate() {
        let brings: Vec<f64> = users.iter().map(|u| u.1).collect();
        let ties: Vec<u64> = users
            .iter()
            .map(|u| hash(&[&peers[u.0].name, &workers[i].name]))
            .collect();
        let most = workers[i].most_runs;
        for ((j, _), part) in users.iter().zip(apportion(most, &brings, 1, most, &ties)) {
            let at = uses[*j].binary_search(&i).unwrap_or_default();
            parts[*j][at] = part;
        }
    }
    parts
}

/// This node's part: for each worker, in their order, what it is to it; and its part of all the
/// load, for what is divided by that.
pub fn plan(me: &str, peers: &[Peer], workers: &[Worker], subset: usize) -> (Vec<Use>, f64) {
    let outside = |w: &Worker| Use {
        inside: false,
        weight: w.weight,
        most_runs: 1,
    };
    let mut all: Vec<Use> = workers.iter().map(outside).collect();
    let loads: f64 = peers.iter().map(|p| demand::load(p.level)).sum();
    let Some(mine) = peers.iter().position(|p| p.name == me) else {
        return (all, 1.0);
    };
    let mut tiers: Vec<u32> = workers.iter().map(|w| w.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    for tier in tiers {
        let of: Vec<usize> = (0..workers.len())
            .filter(|&i| workers[i].tier == tier)
            .collect();
        let group: Vec<Worker> = of.iter().map(|&i| workers[i].clone()).collect();
        let whole = divide(peers, &group, subset);
        let sum: f64 = whole.uses[mine].iter().map(|&i| whole.weighed[i]).sum();
        let count = whole.uses[mine].len() as f64;
        for (&i, &part) in whole.uses[mine].iter().zip(&whole.parts[mine]) {
            if part > 0 {
                // Beside one another: a mean worker of this node weighs 1.
                let weight = (whole.weighed[i] / sum * count).clamp(0.01, 100.0);
                all[of[i]] = Use {
                    inside: true,
                    weight,
                    most_runs: part,
                };
            }
        }
    }
    (all, demand::load(peers[mine].level) / loads)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn peers(levels: &[u8]) -> Vec<Peer> {
        let peer = |(i, level): (usize, &u8)| Peer {
            name: format!("n{i}"),
            zone: String::new(),
            level: *level,
        };
        levels.iter().enumerate().map(peer).collect()
    }

    fn workers(count: usize, most_runs: usize) -> Vec<Worker> {
        let worker = |i| Worker {
            name: format!("w{i}"),
            zone: String::new(),
            weight: 1.0,
            tier: 0,
            most_runs,
        };
        (0..count).map(worker).collect()
    }

    proptest! {
        #[test]
        fn bounds_add_up(levels in prop::collection::vec(0u8..20, 1..30), count in 1usize..25, most in 1usize..200, subset in 1usize..10) {
            let (peers, workers) = (peers(&levels), workers(count, most));
            let mut sums = vec![0; count];
            let mut used = vec![0; count];
            for peer in &peers {
                let (uses, part) = plan(&peer.name, &peers, &workers, subset);
                prop_assert!(part > 0.0 && uses.iter().any(|u| u.inside) || most < peers.len());
                for (i, u) in uses.iter().enumerate().filter(|(_, u)| u.inside) {
                    sums[i] += u.most_runs;
                    used[i] += 1;
                }
            }
            prop_assert!(sums.iter().all(|&s| s == most), "{:?}", sums);
            prop_assert!(used.iter().all(|&u| u > 0));
        }
    }

    #[test]
    fn a_busy_node_has_more() {
        let (peers, workers) = (peers(&[0, 0, 8, 8]), workers(4, 34));
        let (idle, busy) = (
            plan("n0", &peers, &workers, 8),
            plan("n3", &peers, &workers, 8),
        );
        assert_eq!((idle.0[0].most_runs, busy.0[0].most_runs), (1, 16));
        assert!((idle.1 - 1.0 / 34.0).abs() < 1e-9, "{}", idle.1);
        // Who is not seen, itself least of all, has nothing but what is for when all else fails.
        assert!(plan("x", &peers, &workers, 8)
            .0
            .iter()
            .all(|u| !u.inside && u.most_runs == 1));
    }

    #[test]
    fn tiers_are_divided_each_by_itself() {
        let mut workers = workers(6, 10);
        workers[4..].iter_mut().for_each(|w| w.tier = 1);
        let (uses, _) = plan("n0", &peers(&[0, 0]), &workers, 2);
        assert!(
            uses[..4].iter().filter(|u| u.inside).count() >= 2
                && uses[4..].iter().all(|u| u.inside)
        );
    }
}
