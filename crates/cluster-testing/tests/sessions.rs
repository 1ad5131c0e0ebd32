//! Session affinity of simulated nodes, with messages lost, delayed and duplicated, and with nodes
//! that start and fail: a session moves to another worker only for one of the documented causes.

use fastrand::Rng;
use pipitlever_cluster_testing::session_simulation::{
    pool, FaultSettings, RouteOutcome, SimulatedWorker, Simulation,
};
use std::collections::BTreeMap;
use std::ops::Range;

const SECOND: i64 = 1_000_000;
const FAILURE_GRACE: i64 = 5 * SECOND;
/// The longest time that a lookup may take.
const LOOKUP_TIMEOUT: i64 = 60_000;
const LOSSY_NETWORK: FaultSettings = FaultSettings {
    loss_percent: 10.0,
    duplication_percent: 5.0,
    max_delay: 5_000,
    late_percent: 0.0,
    max_propagation_delay: 400_000,
};

/// Sessions by key, with the worker of each.
type Placements = BTreeMap<u64, u32>;

/// A session that was routed to another worker than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Move {
    key: u64,
    from: u32,
    to: u32,
}

/// A simulation with sessions that have been placed.
struct Cluster {
    simulation: Simulation,
    placements: Placements,
    rng: Rng,
}

fn workers(numbers: Range<u32>) -> Vec<SimulatedWorker> {
    numbers.map(SimulatedWorker::new).collect()
}

fn worker(outcome: RouteOutcome) -> u32 {
    match outcome {
        RouteOutcome::Worker { number, .. } => number,
        RouteOutcome::Unavailable => panic!("no worker is available"),
    }
}

fn after_moves(placements: &Placements, moves: &[Move]) -> Placements {
    let mut current = placements.clone();
    current.extend(moves.iter().map(|moved| (moved.key, moved.to)));
    current
}

impl Cluster {
    fn new(node_count: usize, worker_count: u32, session_count: u64, seed: u64) -> Cluster {
        let faults = LOSSY_NETWORK;
        Cluster::with_faults(faults, node_count, worker_count, session_count, seed)
    }

    /// Starts nodes, waits until they have bootstrapped, and places each session by one request at a
    /// random node.
    fn with_faults(
        faults: FaultSettings,
        node_count: usize,
        worker_count: u32,
        session_count: u64,
        seed: u64,
    ) -> Cluster {
        let first_version = pool(&workers(0..worker_count), FAILURE_GRACE);
        let mut simulation = Simulation::new(node_count, first_version, faults, seed);
        simulation.run_until(5 * SECOND);
        assert!(simulation.has_bootstrapped());
        let mut rng = Rng::with_seed(seed);
        let mut placements = Placements::new();
        for key in 0..session_count {
            let outcome = simulation.route_session(rng.usize(0..node_count), key);
            let RouteOutcome::Worker { number, waited } = outcome else {
                panic!("no worker is available for {key}")
            };
            assert!(waited <= LOOKUP_TIMEOUT, "{waited}");
            placements.insert(key, number);
        }
        Cluster {
            simulation,
            placements,
            rng,
        }
    }

    /// Routes a request of each session at a random node. Returns the sessions that have moved.
    fn moves_from(&mut self, placements: &Placements) -> Vec<Move> {
        let mut moves = Vec::new();
        for (&key, &from) in placements {
            let ready: Vec<usize> = (0..self.simulation.node_count())
                .filter(|node| self.simulation.is_ready(*node))
                .collect();
            let node = ready[self.rng.usize(0..ready.len())];
            let to = worker(self.simulation.route_session(node, key));
            if to != from {
                moves.push(Move { key, from, to });
            }
        }
        moves
    }

    /// Routes a request of each session that was placed at the start.
    fn moves(&mut self) -> Vec<Move> {
        let placements = self.placements.clone();
        self.moves_from(&placements)
    }

    /// The number of sessions that were placed on a worker at the start.
    fn placed_on(&self, worker: u32) -> usize {
        let placements = self.placements.values();
        placements.filter(|placed| **placed == worker).count()
    }

    fn publish(&mut self, workers: &[SimulatedWorker]) {
        self.simulation.publish(pool(workers, FAILURE_GRACE));
    }

    /// Draws new weights for all workers.
    fn change_weights(&mut self, workers: &mut [SimulatedWorker]) {
        for worker in workers {
            worker.weight = 0.5 + self.rng.f64() * 4.0;
        }
    }
}

#[test]
fn sessions_stay_through_versions_that_retain_their_worker() {
    for seed in 1..=3 {
        let mut cluster = Cluster::new(10, 6, 600, seed);
        let mut workers = workers(0..6);
        for round in 0..12 {
            cluster.change_weights(&mut workers);
            workers.push(SimulatedWorker::new(6 + round));
            cluster.rng.shuffle(&mut workers);
            cluster.publish(&workers);
            // Nodes have different versions at this time.
            let moves = cluster.moves();
            assert!(moves.is_empty(), "seed {seed} round {round}: {moves:?}");
            if round % 3 == 0 {
                let node = cluster.rng.usize(0..10);
                cluster.simulation.kill(node);
                cluster.simulation.run_for(SECOND);
                cluster.simulation.start(node);
                let moves = cluster.moves();
                assert!(
                    moves.is_empty(),
                    "seed {seed} round {round}, after the restart of n{node}: {moves:?}"
                );
                cluster.simulation.run_for(2 * SECOND);
                assert!(cluster.simulation.has_bootstrapped());
            }
        }
    }
}

#[test]
fn only_sessions_of_a_removed_worker_move_and_only_once() {
    let mut cluster = Cluster::new(10, 6, 1_000, 7);
    let mut remaining = workers(0..6);
    remaining.retain(|worker| worker.number != 2);
    cluster.publish(&remaining);
    cluster.simulation.run_for(SECOND);
    let moves = cluster.moves();
    let affected = cluster.placed_on(2);
    assert!(
        moves.iter().all(|moved| moved.from == 2 && moved.to != 2) && moves.len() == affected,
        "{}",
        moves.len()
    );
    // The sessions are spread over all remaining workers.
    for worker in [0, 1, 3, 4, 5] {
        let received = moves.iter().filter(|moved| moved.to == worker).count();
        assert!(
            (affected / 10..affected / 2).contains(&received),
            "{worker}: {received} of {affected}"
        );
    }
    // No session moves when the worker is added again, whichever node routes the request.
    let current = after_moves(&cluster.placements, &moves);
    cluster.publish(&workers(0..6));
    cluster.simulation.run_for(2 * SECOND);
    assert!(cluster.moves_from(&current).is_empty());
    assert!(cluster.moves_from(&current).is_empty());
}

#[test]
fn sessions_have_one_placement_after_a_worker_is_removed_and_added_within_a_second() {
    let mut cluster = Cluster::new(12, 5, 500, 11);
    let mut remaining = workers(0..5);
    remaining.remove(0);
    cluster.publish(&remaining);
    cluster.simulation.run_for(100_000);
    cluster.publish(&workers(0..5));
    let moves = cluster.moves();
    assert!(moves.iter().all(|moved| moved.from == 0), "{moves:?}");
    cluster.simulation.run_for(3 * SECOND);
    // Some sessions have moved and some have not, depending on the version of their nodes. Either
    // placement is the same on all nodes.
    cluster.moves();
    cluster.simulation.run_for(2 * SECOND);
    let moves = cluster.moves();
    let current = after_moves(&cluster.placements, &moves);
    for _ in 0..3 {
        assert_eq!(cluster.moves_from(&current), []);
    }
}

#[test]
fn both_sides_of_a_partition_serve_and_the_older_placement_prevails_after_it() {
    let mut cluster = Cluster::new(10, 6, 300, 13);
    cluster.simulation.partition(|node| node % 2);
    cluster.simulation.run_for(SECOND);
    let moves = cluster.moves();
    assert_no_moves(&moves, cluster.placements.len());
    // New sessions are placed on one side, and later on the other side, which has no record of them
    // and another version with other weights.
    let new_sessions = 1_000..1_300;
    let first: Placements = new_sessions
        .clone()
        .map(|key| (key, worker(cluster.simulation.route_session(2, key))))
        .collect();
    cluster.simulation.run_for(2 * SECOND);
    let mut reweighted = workers(0..6);
    for worker in &mut reweighted {
        worker.weight = if worker.number < 3 { 9.0 } else { 1.0 };
    }
    let version = pool(&reweighted, FAILURE_GRACE);
    cluster.simulation.publish_to(version, |node| node % 2 == 1);
    cluster.simulation.run_for(SECOND);
    let second: Placements = new_sessions
        .map(|key| (key, worker(cluster.simulation.route_session(3, key))))
        .collect();
    let differing = first
        .iter()
        .filter(|(key, worker)| second[*key] != **worker)
        .count();
    assert!(differing > 30, "{differing} placements differ");
    cluster.simulation.partition(|_| 0);
    cluster.simulation.run_for(3 * SECOND);
    let mut placements = cluster.placements.clone();
    placements.extend(&first);
    // The first request at a node may still find the placement of its side; the older placement
    // arrives within a second.
    cluster.moves_from(&placements);
    cluster.simulation.run_for(2 * SECOND);
    for _ in 0..3 {
        let moves = cluster.moves_from(&placements);
        assert_no_moves(&moves, placements.len());
    }
}

fn assert_no_moves(moves: &[Move], session_count: usize) {
    assert!(
        moves.is_empty(),
        "{} of {session_count}: {:?}",
        moves.len(),
        &moves[..moves.len().min(5)]
    );
}

#[test]
fn a_flapping_worker_keeps_its_sessions_and_one_that_stays_ejected_loses_them_once() {
    let mut cluster = Cluster::new(6, 4, 300, 17);
    for _ in 0..10 {
        cluster.simulation.set_ejected(&[1]);
        cluster.simulation.run_for(SECOND);
        assert_eq!(cluster.moves(), []);
        cluster.simulation.set_ejected(&[]);
        cluster.simulation.run_for(SECOND);
    }
    cluster.simulation.set_ejected(&[1]);
    cluster.simulation.run_for(6 * SECOND);
    let moves = cluster.moves();
    let affected = cluster.placed_on(1);
    assert!(
        moves.len() == affected && moves.iter().all(|moved| moved.from == 1 && moved.to != 1),
        "{} {affected}",
        moves.len()
    );
    let current = after_moves(&cluster.placements, &moves);
    cluster.simulation.set_ejected(&[]);
    cluster.simulation.run_for(2 * SECOND);
    assert_eq!(
        cluster.moves_from(&current),
        [],
        "no session moves back after the recovery"
    );
}

#[test]
fn sessions_stay_with_a_fifth_of_messages_lost_and_a_twentieth_late() {
    let faults = FaultSettings {
        loss_percent: 20.0,
        duplication_percent: 10.0,
        late_percent: 5.0,
        ..LOSSY_NETWORK
    };
    let mut cluster = Cluster::with_faults(faults, 10, 6, 400, 31);
    let mut workers = workers(0..6);
    for round in 0..6 {
        cluster.change_weights(&mut workers);
        workers.push(SimulatedWorker::new(6 + round));
        cluster.publish(&workers);
        assert_eq!(cluster.moves(), [], "round {round}");
    }
}

#[test]
fn another_node_finds_the_worker_at_once_when_a_node_fails() {
    let mut cluster = Cluster::new(10, 6, 400, 37);
    // With these weights a new session would be placed elsewhere.
    let mut reweighted = workers(0..6);
    for worker in &mut reweighted {
        worker.weight = if worker.number == 0 { 9.0 } else { 0.5 };
    }
    cluster.publish(&reweighted);
    cluster.simulation.run_for(SECOND);
    for failed in 0..10 {
        let sessions: Placements = cluster
            .placements
            .iter()
            .filter(|(key, _)| **key % 10 == failed as u64)
            .map(|(key, worker)| (*key, *worker))
            .collect();
        for (key, expected) in &sessions {
            let outcome = cluster.simulation.route_session(failed, *key);
            assert_eq!(worker(outcome), *expected);
        }
        cluster.simulation.kill(failed);
        // The other nodes have not been notified of the failure yet.
        assert_eq!(cluster.moves_from(&sessions), [], "n{failed}");
        cluster.simulation.start(failed);
        cluster.simulation.run_for(3 * SECOND);
    }
}

#[test]
fn a_worker_ejected_by_one_node_loses_only_the_sessions_routed_there() {
    let mut cluster = Cluster::new(6, 4, 300, 41);
    cluster.simulation.set_ejected_at(&[1], |node| node == 2);
    cluster.simulation.run_for(6 * SECOND);
    let mut current = cluster.placements.clone();
    for (key, placed) in &cluster.placements {
        // Half of the clients use the node that has ejected the worker.
        let node = if key % 2 == 0 { 2 } else { 4 };
        let routed = worker(cluster.simulation.route_session(node, *key));
        assert_eq!(routed == *placed, *placed != 1 || node != 2, "{key}");
        current.insert(*key, routed);
    }
    cluster.simulation.run_for(2 * SECOND);
    // All nodes adopt these moves, and the other sessions stay: one node's ejection does not eject
    // the worker on other nodes.
    for _ in 0..2 {
        let moves = cluster.moves_from(&current);
        assert!(moves.iter().all(|moved| moved.from == 1), "{moves:?}");
        current = after_moves(&current, &moves);
    }
    let remaining = current.values().filter(|worker| **worker == 1).count();
    assert!(remaining > 10, "{remaining}");
}

#[test]
fn retries_of_a_key_are_routed_to_the_worker_of_the_first_attempt() {
    let mut cluster = Cluster::new(6, 4, 200, 29);
    // Each session has an idempotency key in flight.
    for (key, placed) in &cluster.placements {
        let node = cluster.rng.usize(0..6);
        let outcome = cluster.simulation.route_key(node, *key, *placed);
        assert_eq!(worker(outcome), *placed);
    }
    cluster.simulation.set_ejected(&[1]);
    cluster.simulation.run_for(6 * SECOND);
    let moves = cluster.moves();
    assert!(!moves.is_empty());
    cluster.simulation.set_ejected(&[]);
    cluster.simulation.run_for(SECOND);
    for Move { key, from, to } in moves {
        let mut node = || cluster.rng.usize(0..6);
        let simulation = &mut cluster.simulation;
        // The session has moved, and its key is still routed to the worker that ran it.
        assert_eq!(worker(simulation.route_session(node(), key)), to);
        assert_eq!(worker(simulation.route_key(node(), key, to)), from);
        // A new key of the session is routed with the session.
        assert_eq!(worker(simulation.route_key(node(), key + 10_000, to)), to);
    }
}

#[test]
fn sessions_stay_while_a_hundred_nodes_join_at_once_and_leave() {
    let mut cluster = Cluster::new(5, 6, 500, 19);
    cluster.simulation.grow_to(105);
    let moves = cluster.moves();
    assert!(moves.is_empty(), "{moves:?}");
    cluster.simulation.run_for(15 * SECOND);
    assert!(cluster.simulation.has_bootstrapped());
    let moves = cluster.moves();
    assert!(moves.is_empty(), "{moves:?}");
    // One after another, as in a rolling shutdown.
    for node in 5..105 {
        cluster.simulation.kill(node);
        cluster.simulation.run_for(SECOND);
    }
    let moves = cluster.moves();
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn session_runs_of_one_seed_are_equal() {
    let run = |seed| {
        let mut cluster = Cluster::new(8, 5, 200, seed);
        cluster.simulation.kill(3);
        cluster.simulation.run_for(SECOND);
        let moves = cluster.moves();
        (cluster.placements, moves, cluster.simulation.sent_bytes)
    };
    assert_eq!(run(23), run(23));
    let ((_, _, sent_bytes), (_, _, other_sent_bytes)) = (run(23), run(24));
    assert_ne!(sent_bytes, other_sent_bytes);
}
