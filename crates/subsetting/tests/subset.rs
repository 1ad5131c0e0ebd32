//! Deterministic subsetting: balance, stability, and zones.

use pipitlever_subsetting::subset::{assign_subsets, Peer, Worker};
use proptest::prelude::*;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}{i}")).collect()
}

fn peers<'a>(names: &'a [String], zones: &[&'a str], subset_size: usize) -> Vec<Peer<'a>> {
    let peer = |(i, name): (usize, &'a String)| Peer {
        name,
        zone: zones[i % zones.len()],
        subset_size,
    };
    names.iter().enumerate().map(peer).collect()
}

fn workers<'a>(
    names: &'a [String],
    zones: &[&'a str],
    weight: impl Fn(usize) -> f64,
) -> Vec<Worker<'a>> {
    let worker = |(i, name): (usize, &'a String)| Worker {
        name,
        zone: zones[i % zones.len()],
        weight: weight(i),
    };
    names.iter().enumerate().map(worker).collect()
}

fn equal_weights(_: usize) -> f64 {
    1.0
}

/// Returns the number of nodes that use each worker.
fn nodes_per_worker(subsets: &[Vec<usize>], workers: usize) -> Vec<usize> {
    let mut counts = vec![0; workers];
    subsets.iter().flatten().for_each(|&i| counts[i] += 1);
    counts
}

/// Returns the number of pairs that are in the first subsets only.
fn moved_pairs(before: &[Vec<usize>], after: &[Vec<usize>]) -> usize {
    before
        .iter()
        .zip(after)
        .map(|(before, after)| before.iter().filter(|i| !after.contains(i)).count())
        .sum()
}

#[test]
fn a_joining_or_leaving_member_moves_few_pairs() {
    for (nodes, count, subset_size) in [(10, 8, 4), (100, 40, 10), (300, 100, 20)] {
        let (node_names, worker_names) = (names("n", nodes + 1), names("w", count + 1));
        let peers = peers(&node_names, &[""], subset_size);
        let workers = workers(&worker_names, &[""], equal_weights);
        let before = assign_subsets(&peers[..nodes], &workers[..count]);
        // Only the pairs that the joining node takes over from others have to move.
        let node_joined = assign_subsets(&peers, &workers[..count]);
        let moved = moved_pairs(&before, &node_joined);
        assert!(
            moved <= 2 * subset_size + 4,
            "{nodes}/{count}: {moved} moved for a joining node"
        );
        let worker_joined = assign_subsets(&peers[..nodes], &workers);
        let moved = moved_pairs(&before, &worker_joined);
        let required = nodes * subset_size / (count + 1);
        assert!(
            moved <= 3 * required + 6,
            "{nodes}/{count}: {moved} moved for a joining worker, {required} are required"
        );
    }
}

#[test]
fn nodes_use_other_zones_only_as_far_as_their_own_lacks_capacity() {
    let (node_names, worker_names) = (names("n", 30), names("w", 12));
    let workers = workers(&worker_names, &["a", "b", "c"], equal_weights);
    // Each zone has as many nodes as its workers can serve.
    let subsets = assign_subsets(&peers(&node_names, &["a", "b", "c"], 4), &workers);
    assert!(
        subsets
            .iter()
            .enumerate()
            .all(|(peer, subset)| subset.iter().all(|i| i % 3 == peer % 3)),
        "{subsets:?}"
    );
    // All nodes are in one zone, which has a third of the workers: these serve a third, and no
    // more.
    let subsets = assign_subsets(&peers(&node_names, &["a"], 4), &workers);
    let same_zone = subsets.iter().flatten().filter(|i| *i % 3 == 0).count();
    assert_eq!(same_zone, 40);
    assert!(nodes_per_worker(&subsets, 12)
        .iter()
        .all(|&count| count == 10));
}

#[test]
fn nodes_of_a_zone_without_workers_use_the_other_zones() {
    let (node_names, worker_names) = (names("n", 30), names("w", 12));
    let peers = peers(&node_names, &["a", "b", "c"], 4);
    let workers: Vec<Worker> = workers(&worker_names, &["a", "b", "c"], equal_weights)
        .into_iter()
        .filter(|worker| worker.zone != "a")
        .collect();
    let subsets = assign_subsets(&peers, &workers);
    let counts = nodes_per_worker(&subsets, 8);
    assert!(
        subsets.iter().all(|subset| subset.len() == 4) && counts.iter().all(|&count| count == 15),
        "{subsets:?}"
    );
    // Nodes with workers in their zone use only these as far as capacity allows.
    let in_other_zones = |zone: &str| -> usize {
        let in_zone = peers.iter().zip(&subsets).filter(|(p, _)| p.zone == zone);
        in_zone
            .map(|(_, subset)| subset.iter().filter(|i| workers[**i].zone != zone).count())
            .sum()
    };
    assert_eq!(
        (
            in_other_zones("a"),
            in_other_zones("b"),
            in_other_zones("c")
        ),
        (40, 0, 0)
    );
}

proptest! {
    #[test]
    fn all_nodes_have_full_subsets_and_workers_equal_numbers_of_nodes(
        nodes in 1usize..40,
        count in 1usize..30,
        subset_size in 1usize..12,
        zones in 1usize..4,
        seed: u64,
    ) {
        let node_names = names("n", nodes);
        let worker_names = names(&format!("w{seed}-"), count);
        let all_zones = ["a", "b", "c"];
        let subset_size = subset_size.max(count.div_ceil(nodes));
        let subsets = assign_subsets(
            &peers(&node_names, &all_zones[..zones], subset_size),
            &workers(&worker_names, &all_zones, equal_weights),
        );
        let expected = subset_size.min(count);
        prop_assert!(subsets.iter().all(|subset| subset.len() == expected), "{:?}", subsets);
        let counts = nodes_per_worker(&subsets, count);
        let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        prop_assert!(max - min <= 1 && *min > 0, "{:?}", counts);
    }

    #[test]
    fn heavier_workers_serve_more_nodes(nodes in 8usize..40, subset_size in 2usize..6) {
        let (node_names, worker_names) = (names("n", nodes), names("w", 12));
        let weight = |i: usize| if i < 4 { 2.0 } else { 1.0 };
        let subsets = assign_subsets(
            &peers(&node_names, &[""], subset_size),
            &workers(&worker_names, &[""], weight),
        );
        let counts = nodes_per_worker(&subsets, 12);
        let ideal = |i: usize| (nodes * subset_size) as f64 * weight(i) / 16.0;
        let is_bounded = ideal(0) >= nodes as f64;
        let follows_weights = counts
            .iter()
            .enumerate()
            .all(|(i, &count)| (count as f64 - ideal(i)).abs() <= 1.0);
        prop_assert!(is_bounded || follows_weights, "{:?}", counts);
    }
}
