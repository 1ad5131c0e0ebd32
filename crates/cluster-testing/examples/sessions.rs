//! Counts the sessions that move through many versions, with a tenth of the messages lost and nodes
//! that restart.
//!
//! Usage: `cargo run --release -p pipitlever-cluster-testing --example sessions -- NODES SESSIONS
//! VERSIONS SEED`

use fastrand::Rng;
use pipitlever_cluster_testing::session_simulation::{
    pool, FaultSettings, RouteOutcome, SimulatedWorker, Simulation,
};
use std::time::Instant;

const SECOND: i64 = 1_000_000;
const FAILURE_GRACE: i64 = 5 * SECOND;
const INITIAL_WORKERS: u32 = 12;
/// Every tenth version removes a worker.
const REMOVAL_PERIOD: u64 = 10;
/// A node restarts with every fifth version.
const RESTART_PERIOD: u64 = 5;
const FAULTS: FaultSettings = FaultSettings {
    loss_percent: 10.0,
    duplication_percent: 2.0,
    max_delay: 4_000,
    late_percent: 0.0,
    max_propagation_delay: 500_000,
};

/// The sessions and their clients.
struct Clients {
    simulation: Simulation,
    rng: Rng,
    placements: Vec<u32>,
    request_count: u64,
    rejection_count: u64,
    total_wait: i64,
    longest_wait: i64,
}

/// Sessions that have moved.
#[derive(Default)]
struct MoveCounts {
    with_cause: u64,
    without_cause: u64,
    /// Sessions on removed workers.
    expected: u64,
}

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let [node_count, session_count, version_count, seed] = arguments[..] else {
        return eprintln!("usage: sessions NODES SESSIONS VERSIONS SEED");
    };
    let started_at = Instant::now();
    let mut workers: Vec<SimulatedWorker> =
        (0..INITIAL_WORKERS).map(SimulatedWorker::new).collect();
    let mut clients = Clients::new(node_count as usize, &workers, seed);
    println!(
        "{node_count} nodes have bootstrapped after {} s",
        clients.simulation.now / SECOND
    );
    for session in 0..session_count {
        let worker = clients.route(session);
        clients.placements.push(worker);
    }
    let mut moves = MoveCounts::default();
    for version in 0..version_count {
        let removed = clients.publish(version, &mut workers);
        clients.count_moves(removed, &mut moves);
    }
    println!(
        "nodes={node_count} sessions={session_count} versions={version_count} seed={seed} \
         moved_without_cause={} moved_with_cause={} expected={}",
        moves.without_cause, moves.with_cause, moves.expected
    );
    clients.print_costs(started_at);
}

impl Clients {
    /// Starts the nodes and waits until they have bootstrapped.
    fn new(node_count: usize, workers: &[SimulatedWorker], seed: u64) -> Clients {
        let rng = Rng::with_seed(seed);
        let first_version = pool(workers, FAILURE_GRACE);
        let mut simulation = Simulation::new(node_count, first_version, FAULTS, seed);
        while !simulation.has_bootstrapped() {
            simulation.run_for(SECOND);
        }
        Clients {
            simulation,
            rng,
            placements: Vec::new(),
            request_count: 0,
            rejection_count: 0,
            total_wait: 0,
            longest_wait: 0,
        }
    }

    /// Sends a request of a session to random nodes until one routes it. Returns the worker.
    fn route(&mut self, session: u64) -> u32 {
        loop {
            let node = self.rng.usize(0..self.simulation.node_count());
            if !self.simulation.is_ready(node) {
                continue;
            }
            self.request_count += 1;
            match self.simulation.route_session(node, session) {
                RouteOutcome::Worker { number, waited } => {
                    self.total_wait += waited;
                    self.longest_wait = self.longest_wait.max(waited);
                    return number;
                }
                RouteOutcome::Unavailable => self.rejection_count += 1,
            }
        }
    }

    /// Publishes a version with other weights and another order, which adds or removes a worker.
    /// Returns the removed worker.
    fn publish(&mut self, version: u64, workers: &mut Vec<SimulatedWorker>) -> Option<u32> {
        let removes = version % REMOVAL_PERIOD == REMOVAL_PERIOD - 1;
        let removed = removes.then(|| workers.remove(self.rng.usize(0..workers.len())).number);
        if removed.is_none() {
            let added = version - version / REMOVAL_PERIOD;
            workers.push(SimulatedWorker::new(INITIAL_WORKERS + added as u32));
        }
        for worker in workers.iter_mut() {
            worker.weight = 0.5 + self.rng.f64() * 3.0;
        }
        self.rng.shuffle(workers);
        self.simulation.publish(pool(workers, FAILURE_GRACE));
        if version.is_multiple_of(RESTART_PERIOD) {
            let node = self.rng.usize(0..self.simulation.node_count());
            self.simulation.kill(node);
            self.simulation.run_for(SECOND);
            self.simulation.start(node);
        }
        self.simulation.run_for(SECOND);
        removed
    }

    /// Sends a request of each session and counts the sessions that have moved.
    fn count_moves(&mut self, removed: Option<u32>, moves: &mut MoveCounts) {
        let is_removed = |worker: &&u32| Some(**worker) == removed;
        moves.expected += self.placements.iter().filter(is_removed).count() as u64;
        for session in 0..self.placements.len() {
            let current = self.route(session as u64);
            let previous = std::mem::replace(&mut self.placements[session], current);
            if previous == current {
                continue;
            }
            if Some(previous) == removed {
                moves.with_cause += 1;
            } else {
                moves.without_cause += 1;
            }
        }
    }

    fn print_costs(&self, started_at: Instant) {
        let tables = self.simulation.table_sizes();
        println!(
            "requests={} rejected={} mean_wait_ms={:.2} longest_wait_ms={:.1} \
             largest_table={} total_mb={:.1} sent_bytes/request={:.0} emulated_s={} took_s={:.0}",
            self.request_count,
            self.rejection_count,
            self.total_wait as f64 / self.request_count as f64 / 1e3,
            self.longest_wait as f64 / 1e3,
            tables.max_sessions,
            tables.total_bytes as f64 / 1_048_576.0,
            self.simulation.sent_bytes as f64 / self.request_count as f64,
            self.simulation.now / SECOND,
            started_at.elapsed().as_secs_f64()
        );
    }
}
