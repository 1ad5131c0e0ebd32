//! The division of one pool.

use pipitlever_subsetting::assignment::{assign_node, Peer, Worker};
use proptest::prelude::*;

fn peers(levels: &[u8]) -> Vec<Peer> {
    let peer = |(i, level): (usize, &u8)| Peer {
        name: format!("n{i}"),
        zone: String::new(),
        level: *level,
    };
    levels.iter().enumerate().map(peer).collect()
}

fn workers(count: usize, concurrency_limit: usize) -> Vec<Worker> {
    let worker = |i| Worker {
        name: format!("w{i}"),
        zone: String::new(),
        weight: 1.0,
        tier: 0,
        concurrency_limit,
    };
    (0..count).map(worker).collect()
}

proptest! {
    #[test]
    fn shares_of_a_limit_add_up_to_it(
        levels in prop::collection::vec(0u8..20, 1..30),
        count in 1usize..25,
        limit in 1usize..200,
        subset_size in 1usize..10,
    ) {
        let (peers, workers) = (peers(&levels), workers(count, limit));
        let mut sums = vec![0; count];
        let mut users = vec![0; count];
        for peer in &peers {
            let assignment = assign_node(&peer.name, &peers, &workers, subset_size);
            let has_subset = assignment.workers.iter().any(|share| share.in_subset);
            prop_assert!(assignment.load_fraction > 0.0 && has_subset || limit < peers.len());
            for (i, share) in assignment.workers.iter().enumerate() {
                if share.in_subset {
                    sums[i] += share.concurrency_limit;
                    users[i] += 1;
                }
            }
        }
        prop_assert!(sums.iter().all(|&sum| sum == limit), "{:?}", sums);
        prop_assert!(users.iter().all(|&users| users > 0));
    }
}

#[test]
fn a_node_with_a_higher_load_has_a_larger_share() {
    let (peers, workers) = (peers(&[0, 0, 8, 8]), workers(4, 34));
    let idle = assign_node("n0", &peers, &workers, 8);
    let busy = assign_node("n3", &peers, &workers, 8);
    assert_eq!(
        (
            idle.workers[0].concurrency_limit,
            busy.workers[0].concurrency_limit
        ),
        (1, 16)
    );
    let fraction = idle.load_fraction;
    assert!((fraction - 1.0 / 34.0).abs() < 1e-9, "{fraction}");
    // A node that is not among the peers has no subset.
    assert!(assign_node("x", &peers, &workers, 8)
        .workers
        .iter()
        .all(|share| !share.in_subset && share.concurrency_limit == 1));
}

#[test]
fn each_tier_is_divided_separately() {
    let mut workers = workers(6, 10);
    workers[4..].iter_mut().for_each(|worker| worker.tier = 1);
    let shares = assign_node("n0", &peers(&[0, 0]), &workers, 2).workers;
    let used = |shares: &[pipitlever_subsetting::assignment::WorkerShare]| {
        shares.iter().filter(|share| share.in_subset).count()
    };
    assert!(used(&shares[..4]) >= 2 && used(&shares[4..]) == 2);
}
