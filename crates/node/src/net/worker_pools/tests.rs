use super::{PoolShare, WorkerPools, WorkerRun};
use crate::net::worker_pools::routes::{PoolSettings, SubsetSettings, WorkerLabel};
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use pipitlever_load_balancing::pool::Member;
use pipitlever_subsetting::assignment::WorkerShare;
use std::collections::HashMap;
use std::rc::Rc;

/// A divided pool with one worker.
fn divided_pool() -> WorkerPools {
    let settings = PoolSettings {
        members: vec![Member::new("127.0.0.1:1".parse().unwrap())],
        labels: vec![WorkerLabel {
            name: "w".into(),
            zone: String::new(),
        }],
        subsetting: Some(SubsetSettings { subset_size: 1 }),
        ..PoolSettings::default()
    };
    WorkerPools::new(vec![settings], 1, 0)
}

/// A share that expires at 1,000.
fn share(concurrency_limit: usize) -> PoolShare {
    let worker = WorkerShare {
        in_subset: true,
        weight: 1.0,
        concurrency_limit,
    };
    PoolShare {
        workers: HashMap::from([("w".to_owned(), worker)]),
        load_fraction: 0.5,
        expires_at: 1_000,
    }
}

/// Tries to assign nine runs, and returns how many are assigned.
fn assign_nine(pools: &mut WorkerPools, now: Micros) -> usize {
    let run = WorkerRun {
        reference: Reference::default(),
        is_idempotent: true,
        pool: 0,
        is_sticky: false,
        packet: Rc::from([]),
        deadline: 1 << 40,
    };
    (0..9)
        .filter(|_| pools.select_worker(now, &run, None, &[]).is_some())
        .count()
}

#[test]
fn an_expired_share_leaves_one_run_for_each_worker() {
    let mut pools = divided_pool();
    // Before the first share is set, the limit is one run as well.
    assert_eq!(assign_nine(&mut pools, 0), 1);
    assert!(pools.set_share(0, 0, share(4)));
    assert_eq!(assign_nine(&mut pools, 999), 3, "four runs in total");
    assert!(pools.set_share(999, 0, share(8)));
    assert_eq!(
        assign_nine(&mut pools, 1_000),
        0,
        "other nodes may have the expired share"
    );
}
