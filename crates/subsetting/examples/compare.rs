//! Compares ways to choose each node's workers, at four sizes: balance, pairs moved when a node or
//! a worker joins, fairness under loads that differ by ten times, and cost. `cargo run --release -p
//! pipitlever-subsetting --example compare`

use pipitlever_subsetting::assignment::{assign_tier, Peer, TierAssignment, Worker};
use pipitlever_subsetting::hash;
use pipitlever_subsetting::load::level_of_rate;
use pipitlever_subsetting::proportional_fitting::{jain_fairness, load_per_worker};
use std::time::Instant;

type Subsets = Vec<Vec<usize>>;

/// A way to choose the workers of each node.
#[derive(Clone, Copy)]
struct Algorithm {
    name: &'static str,
    assign: fn(&[String], &[String], usize) -> Subsets,
    /// Whether nodes weigh workers by proportional fitting.
    fits_weights: bool,
}

const ALGORITHMS: [Algorithm; 4] = [
    Algorithm {
        name: "random",
        assign: random,
        fits_weights: false,
    },
    Algorithm {
        name: "rounds",
        assign: rounds,
        fits_weights: false,
    },
    Algorithm {
        name: "aperture",
        assign: aperture,
        fits_weights: false,
    },
    Algorithm {
        name: "rendezvous",
        assign: bounded_rendezvous,
        fits_weights: true,
    },
];

/// The numbers of nodes and workers, and the subset size.
const SIZES: [(usize, usize, usize); 4] =
    [(10, 8, 4), (100, 40, 10), (300, 100, 20), (1_000, 300, 20)];

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}{i}")).collect()
}

/// Returns the positions of the workers in the order of a hash.
fn shuffled(workers: &[String], hash_of: impl Fn(&str) -> u64) -> Vec<usize> {
    let mut hashed: Vec<(u64, usize)> = workers
        .iter()
        .enumerate()
        .map(|(i, worker)| (hash_of(worker), i))
        .collect();
    hashed.sort_unstable();
    hashed.into_iter().map(|(_, i)| i).collect()
}

fn sorted(mut subset: Vec<usize>) -> Vec<usize> {
    subset.sort_unstable();
    subset.dedup();
    subset
}

/// Each node selects workers by a hash of its own name and theirs.
fn random(nodes: &[String], workers: &[String], subset_size: usize) -> Subsets {
    let subset = |node: &String| {
        let order = shuffled(workers, |worker| hash(&[node, worker, "random"]));
        sorted(order.into_iter().take(subset_size).collect())
    };
    nodes.iter().map(subset).collect()
}

/// Each round shuffles the workers and assigns them to nodes in order (Beyer and others 2016,
/// chapter 20).
fn rounds(nodes: &[String], workers: &[String], subset_size: usize) -> Subsets {
    let subset_size = subset_size.min(workers.len());
    let nodes_per_round = (workers.len() / subset_size).max(1);
    let subset = |j: usize| {
        let round = (j / nodes_per_round).to_string();
        let order = shuffled(workers, |worker| hash(&[worker, &round, "round"]));
        let start = (j % nodes_per_round) * subset_size;
        sorted(order[start..start + subset_size].to_vec())
    };
    (0..nodes.len()).map(subset).collect()
}

/// Nodes at even distances on a ring use the workers from their position on, the first and the last
/// one in part (Twitter's deterministic aperture).
fn aperture(nodes: &[String], workers: &[String], subset_size: usize) -> Subsets {
    let subset_size = subset_size.min(workers.len());
    let subset = |j: usize| {
        let start = j as f64 / nodes.len() as f64 * workers.len() as f64;
        // A position within a worker needs one more worker at the end.
        let count = if start.fract() > 1e-9 {
            subset_size + 1
        } else {
            subset_size
        };
        sorted(
            (0..count)
                .map(|k| (start as usize + k) % workers.len())
                .collect(),
        )
    };
    (0..nodes.len()).map(subset).collect()
}

fn bounded_rendezvous(nodes: &[String], workers: &[String], subset_size: usize) -> Subsets {
    let levels = vec![0; nodes.len()];
    assign_with_levels(nodes, workers, subset_size, &levels).subsets
}

fn assign_with_levels(
    nodes: &[String],
    workers: &[String],
    subset_size: usize,
    levels: &[u8],
) -> TierAssignment {
    let peer = |(name, level): (&String, &u8)| Peer {
        name: name.clone(),
        zone: String::new(),
        level: *level,
    };
    let peers: Vec<Peer> = nodes.iter().zip(levels).map(peer).collect();
    let worker = |name: &String| Worker {
        name: name.clone(),
        zone: String::new(),
        weight: 1.0,
        tier: 0,
        concurrency_limit: 64,
    };
    let workers: Vec<Worker> = workers.iter().map(worker).collect();
    assign_tier(&peers, &workers, subset_size)
}

/// Returns the number of pairs that are in the first subsets only.
fn moved_pairs(before: &Subsets, after: &Subsets) -> usize {
    before
        .iter()
        .zip(after)
        .map(|(before, after)| before.iter().filter(|i| !after.contains(i)).count())
        .sum()
}

/// Returns loads of which every tenth is ten times the others.
fn unequal_loads(nodes: usize) -> Vec<f64> {
    (0..nodes)
        .map(|j| if j % 10 == 0 { 1_000.0 } else { 100.0 })
        .collect()
}

fn levels_of(loads: &[f64]) -> Vec<u8> {
    loads.iter().map(|load| level_of_rate(*load)).collect()
}

/// Prints one line for an algorithm at a size.
fn compare(algorithm: Algorithm, nodes: usize, workers: usize, subset_size: usize) {
    let (node_names, worker_names) = (names("n", nodes + 1), names("w", workers + 1));
    let assign = algorithm.assign;
    let start = Instant::now();
    let subsets = assign(&node_names[..nodes], &worker_names[..workers], subset_size);
    let milliseconds = start.elapsed().as_secs_f64() * 1e3;
    let mut counts = vec![0usize; workers];
    subsets.iter().flatten().for_each(|&i| counts[i] += 1);
    let mean = counts.iter().sum::<usize>() as f64 / workers as f64;
    let min = *counts.iter().min().unwrap_or(&0) as f64 / mean;
    let max = *counts.iter().max().unwrap_or(&0) as f64 / mean;
    let node_joined = assign(&node_names, &worker_names[..workers], subset_size);
    let moved_by_node = moved_pairs(&subsets, &node_joined);
    let worker_joined = assign(&node_names[..nodes], &worker_names, subset_size);
    let moved_by_worker = moved_pairs(&subsets, &worker_joined);
    let loads = unequal_loads(nodes);
    let (subsets, weights) = if algorithm.fits_weights {
        let assignment = assign_with_levels(
            &node_names[..nodes],
            &worker_names[..workers],
            subset_size,
            &levels_of(&loads),
        );
        (assignment.subsets, assignment.weights)
    } else {
        (subsets, vec![1.0; workers])
    };
    let worker_loads = load_per_worker(&loads, &weights, &subsets);
    let fairness = jain_fairness(&worker_loads, &vec![1.0; workers]);
    println!(
        "{nodes}/{workers}/{subset_size:<4} {:>12}  {min:.2}..{max:.2}  {moved_by_node:>6} \
         {moved_by_worker:>6}  {fairness:.4}  {milliseconds:.1}",
        algorithm.name,
    );
}

/// Prints the balance, fairness and number of moved pairs of a fleet with 100 workers that grows
/// from 10 to 300 nodes and shrinks back.
fn grow_and_shrink() {
    const WORKERS: usize = 100;
    let workers = names("w", WORKERS);
    let (mut worst, mut min_fairness, mut moved, mut pairs) = (0.0f64, 1.0f64, 0, 0);
    let mut previous: Option<Subsets> = None;
    for nodes in (10..=300).step_by(10).chain((10..300).step_by(10).rev()) {
        let loads = unequal_loads(nodes);
        let assignment = assign_with_levels(&names("n", nodes), &workers, 20, &levels_of(&loads));
        let worker_loads = load_per_worker(&loads, &assignment.weights, &assignment.subsets);
        let mean = worker_loads.iter().sum::<f64>() / WORKERS as f64;
        worst = worst.max(worker_loads.iter().copied().fold(0.0, f64::max) / mean);
        min_fairness = min_fairness.min(jain_fairness(&worker_loads, &[1.0; WORKERS]));
        if let Some(previous) = &previous {
            moved += moved_pairs(previous, &assignment.subsets);
            pairs += assignment.subsets.iter().map(Vec::len).sum::<usize>();
        }
        previous = Some(assignment.subsets);
    }
    println!(
        "10 to 300 nodes and back, 10 at a time, 100 workers: worst worker {worst:.3} of the mean, \
         minimum Jain index {min_fairness:.4}, {moved} of {pairs} pairs moved, {:.1}%",
        moved as f64 / pairs as f64 * 100.0
    );
}

fn main() {
    println!(
        "nodes/workers/subset  algorithm  min..max of the mean  moved by a node, by a worker  \
         Jain  ms"
    );
    for (nodes, workers, subset_size) in SIZES {
        for algorithm in ALGORITHMS {
            compare(algorithm, nodes, workers, subset_size);
        }
    }
    grow_and_shrink();
}
