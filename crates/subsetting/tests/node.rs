//! One node: shares, reports, and probe turns.

use pipitlever_subsetting::assignment::Worker;
use pipitlever_subsetting::load_report::{short_id, LoadReport, PoolLoad};
use pipitlever_subsetting::node::{Member, Node, Pool, Timing, WorkerPosition};
use pipitlever_subsetting::probe_turn::ProbeTurn;
use pipitlever_subsetting::Micros;

const SECOND: Micros = 1_000_000;
const TIMING: Timing = Timing {
    max_propagation: SECOND,
    reservation: 10 * SECOND,
};

fn pool(concurrency_limit: usize) -> Pool {
    let worker = |i| Worker {
        name: format!("w{i}"),
        zone: String::new(),
        weight: 1.0,
        tier: 0,
        concurrency_limit,
    };
    Pool {
        name: "p".into(),
        subset_size: 20,
        workers: (0..3).map(worker).collect(),
    }
}

fn member_with_report(name: &str, report: LoadReport) -> Member {
    Member {
        name: name.into(),
        zone: String::new(),
        report: Some(report),
        down_since: None,
    }
}

fn member(name: &str) -> Member {
    let load = PoolLoad {
        pool: short_id(&["p"]),
        level: 0,
    };
    let report = LoadReport {
        loads: vec![load],
        ejected: Vec::new(),
    };
    member_with_report(name, report)
}

fn members(names: &[&str]) -> Vec<Member> {
    names.iter().map(|name| member(name)).collect()
}

fn failed_member(name: &str, since: Micros) -> Member {
    Member {
        down_since: Some(since),
        ..member(name)
    }
}

fn start(name: &str, concurrency_limit: usize) -> Node {
    Node::new(name, TIMING, vec![pool(concurrency_limit)], 0)
}

/// Returns the share of the first worker's limit.
fn share(node: &mut Node, now: Micros) -> usize {
    node.worker_shares(now, 0)[0].concurrency_limit
}

#[test]
fn a_joining_node_has_the_minimum_share_until_others_have_released_theirs() {
    let mut node = start("a", 60);
    node.update_members(0, members(&["a", "b", "c"]), false);
    assert_eq!(
        (share(&mut node, SECOND), share(&mut node, SECOND + 1)),
        (1, 20)
    );
    // The node releases the share of a joining node at once.
    node.update_members(2 * SECOND, members(&["a", "b", "c", "d"]), false);
    assert_eq!(share(&mut node, 2 * SECOND), 15);
    // The node uses a larger share only after the others have had time to release theirs.
    node.update_members(3 * SECOND, members(&["a", "b"]), false);
    assert_eq!(
        (
            share(&mut node, 4 * SECOND),
            share(&mut node, 4 * SECOND + 1)
        ),
        (15, 30)
    );
}

#[test]
fn the_share_of_a_failed_node_stays_reserved_for_the_configured_time() {
    let mut node = start("a", 60);
    node.update_members(0, members(&["a", "b", "c"]), false);
    let mut view = members(&["a", "b"]);
    view.push(failed_member("c", 5 * SECOND));
    node.update_members(5 * SECOND, view, false);
    for second in 5..15 {
        node.tick(second * SECOND);
        assert_eq!(share(&mut node, second * SECOND), 20, "{second}");
    }
    node.tick(15 * SECOND);
    assert_eq!(
        (
            share(&mut node, 16 * SECOND),
            share(&mut node, 16 * SECOND + 1)
        ),
        (20, 30)
    );
    // An isolated node keeps the minimum share: others may use its share by then.
    node.update_members(17 * SECOND, members(&["a"]), true);
    assert_eq!(share(&mut node, 30 * SECOND), 1);
}

#[test]
fn load_of_this_node_is_reported_and_raises_its_share() {
    let mut node = start("a", 64);
    node.update_members(0, members(&["a", "b"]), false);
    for step in 1..40 {
        node.record_demand(0, 100);
        node.tick(step * SECOND / 10);
    }
    assert!(
        node.load_report().level(short_id(&["p"])) > 15,
        "{:?}",
        node.load_report()
    );
    assert!(
        share(&mut node, 6 * SECOND) > 60,
        "the other node is nearly idle"
    );
    assert!(node.load_fraction(0) > 0.9);
}

#[test]
fn the_probe_turn_passes_on_after_a_recovery() {
    let mut nodes = [("a", start("a", 60)), ("b", start("b", 60))];
    for (_, node) in &mut nodes {
        node.set_ejected(0, &[1]);
    }
    let view = |nodes: &[(&str, Node)]| -> Vec<Member> {
        nodes
            .iter()
            .map(|(name, node)| member_with_report(name, node.load_report().clone()))
            .collect()
    };
    let members = view(&nodes);
    for (_, node) in &mut nodes {
        node.update_members(0, members.clone(), false);
    }
    let turns = [nodes[0].1.probe_turn(0, 1), nodes[1].1.probe_turn(0, 1)];
    assert!(turns.contains(&ProbeTurn::Own) && turns.contains(&ProbeTurn::Other));
    // The node with the turn finds the worker to have recovered. The other node receives its report
    // and has the turn afterwards.
    let first = usize::from(turns[0] != ProbeTurn::Own);
    nodes[first].1.set_ejected(0, &[]);
    let members = view(&nodes);
    let second = &mut nodes[1 - first].1;
    second.update_members(SECOND, members, false);
    assert_eq!(
        (second.take_recovered(), second.probe_turn(0, 1)),
        (vec![WorkerPosition { pool: 0, worker: 1 }], ProbeTurn::Own)
    );
    assert!(second.take_recovered().is_empty());
}

#[test]
fn a_node_reports_at_most_once_within_the_propagation_time() {
    let mut node = start("a", 60);
    node.update_members(0, members(&["a", "b"]), false);
    let mut reported_at = Vec::new();
    for step in 1..100 {
        node.record_demand(0, step as u64 * step as u64);
        let before = node.load_report().clone();
        node.tick(step * SECOND / 10);
        if *node.load_report() != before {
            reported_at.push(step);
        }
    }
    assert!(
        reported_at.len() > 2 && reported_at.windows(2).all(|pair| pair[1] - pair[0] > 10),
        "{reported_at:?}"
    );
}

#[test]
fn a_change_of_the_pools_clears_the_ejections() {
    let mut node = start("a", 60);
    node.set_ejected(0, &[1]);
    assert_eq!(node.load_report().ejected.len(), 1);
    node.set_pools(SECOND, vec![pool(60)]);
    node.set_ejected(0, &[]);
    assert!(
        node.load_report().ejected.is_empty(),
        "other nodes would wait indefinitely for this node to probe"
    );
}

#[test]
fn a_reservation_ends_even_if_the_node_was_not_called_for_a_long_time() {
    let mut node = start("a", 60);
    let view = vec![member("a"), failed_member("b", 0)];
    node.update_members(0, view, false);
    node.tick(100 * SECOND);
    assert_eq!(
        (
            share(&mut node, 100 * SECOND),
            share(&mut node, 102 * SECOND)
        ),
        (30, 60)
    );
}

/// Guards against a panic of the membership task: a node drops pools beyond the maximum, but the
/// caller's positions include them.
#[test]
fn ejections_beyond_the_pools_and_workers_of_a_node_are_ignored() {
    let named = |i: usize| Pool {
        name: format!("p{i}"),
        ..pool(60)
    };
    let mut node = Node::new("a", TIMING, (0..10).map(named).collect(), 0);
    node.update_members(0, members(&["a", "b"]), false);
    for (pool, worker) in [(9, 0), (8, 2), (0, 3), (usize::MAX, 0)] {
        node.set_ejected(pool, &[worker]);
        assert_eq!(node.probe_turn(pool, worker), ProbeTurn::Own);
        assert!(node.load_report().ejected.is_empty(), "{pool} {worker}");
        assert!(node.worker_shares(0, 9).is_empty());
    }
    node.set_ejected(7, &[2]);
    assert_eq!(node.load_report().ejected, [short_id(&["p7", "w2"])]);
}

#[test]
fn a_recovery_does_not_outlast_a_change_of_the_pools() {
    let mut node = start("a", 60);
    node.update_members(0, members(&["a", "b"]), false);
    node.set_ejected(0, &[2]);
    let ejected = LoadReport {
        ejected: vec![short_id(&["p", "w2"])],
        ..members(&["b"])[0].report.clone().unwrap()
    };
    let view = vec![member("a"), member_with_report("b", ejected)];
    node.update_members(1, view, false);
    node.update_members(2, members(&["a", "b"]), false);
    let mut smaller = pool(60);
    smaller.workers.truncate(1);
    node.set_pools(3, vec![smaller]);
    assert_eq!(node.take_recovered(), []);
}
