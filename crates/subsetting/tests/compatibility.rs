//! Load reports and assignments of shared pools, compared with fixtures written by the build of
//! commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-subsetting --test
//! compatibility`): nodes of both builds have to compute the same assignments.

use pipitlever_subsetting::hash;
use pipitlever_subsetting::load_report::{short_id, LoadReport, PoolLoad};
use pipitlever_subsetting::subset::{assign_subsets, Peer, Worker};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/choices.txt");

/// The workers of each node, by position, as text.
fn assigned() -> Vec<u8> {
    let zones = ["east", "west", ""];
    let nodes: Vec<String> = (0..6).map(|i| format!("n{i}")).collect();
    let names: Vec<String> = (0..9).map(|i| format!("w{i}")).collect();
    let peers: Vec<Peer> = nodes
        .iter()
        .enumerate()
        .map(|(i, name)| Peer {
            name,
            zone: zones[i % 3],
            subset_size: 2 + i % 2,
        })
        .collect();
    let workers: Vec<Worker> = names
        .iter()
        .enumerate()
        .map(|(i, name)| Worker {
            name,
            zone: zones[i % 2],
            weight: 1.0 + (i % 3) as f64,
        })
        .collect();
    format!("{:?}", assign_subsets(&peers, &workers)).into_bytes()
}

#[test]
fn reports_and_assignments_match_the_earlier_build() {
    let report = LoadReport {
        loads: vec![
            PoolLoad {
                pool: 300,
                level: 7,
            },
            PoolLoad {
                pool: 40_000,
                level: 60,
            },
        ],
        ejected: vec![258, 65_000],
    };
    assert_eq!(LoadReport::decode(&report.encode()), Some(report.clone()));
    let samples = [
        ("load-report", report.encode()),
        (
            "short-name",
            short_id(&["pool", "worker"]).to_be_bytes().to_vec(),
        ),
        ("hash", hash(&["node", "worker"]).to_be_bytes().to_vec()),
        ("assignment", assigned()),
    ];
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
