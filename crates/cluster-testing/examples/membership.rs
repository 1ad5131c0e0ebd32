//! Measures the membership in the simulation.
//!
//! Usage: `cargo run --release -p pipitlever-cluster-testing --example membership -- MEASUREMENT
//! SIZE SEEDS [LOSS [HOURS]] [without FEATURE]`

use pipitlever_cluster_testing::membership_simulation::{Simulation, TrafficCounters};
use pipitlever_cluster_testing::process_usage::memory_mb;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::Event;
use pipitlever_membership::record::State;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const SECOND: i64 = 1_000_000;
/// Reported in place of a time that exceeded its timeout.
const TIMED_OUT: i64 = 999 * SECOND;
const CONVERGENCE_TIMEOUT: i64 = 120 * SECOND;
const FAILURE_TIMEOUT: i64 = 60 * SECOND;
/// Time between the starts of two nodes.
const START_INTERVAL: i64 = 2_000;
const MEASURED_SECONDS: i64 = 60;
/// The scheduling delay of slow nodes: every 20th one.
const SLOW_NODE_DELAY: i64 = 300_000;
const SLOW_NODE_PERIOD: usize = 20;
const MAX_THREADS: usize = 4;

const USAGE: &str = "usage: membership MEASUREMENT SIZE SEEDS [LOSS [HOURS]] [without FEATURE]
MEASUREMENT: start, crash, heal, rest (needs LOSS), wrong (needs LOSS and HOURS)
FEATURE: health, suspicion, buddy";

/// The arguments of all measurements.
struct Measurement {
    config: MembershipConfig,
    size: usize,
    seed_count: u64,
    /// The arguments after the number of seeds.
    options: Vec<String>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, size, seed_count, options @ ..] = &arguments[..] else {
        return eprintln!("{USAGE}");
    };
    let (Ok(size), Ok(seed_count)) = (size.parse(), seed_count.parse()) else {
        return eprintln!("{USAGE}");
    };
    let Some(config) = config(options) else {
        return eprintln!("{USAGE}");
    };
    let measurement = Measurement {
        config,
        size,
        seed_count,
        options: options.to_vec(),
    };
    match name.as_str() {
        "start" => measurement.start(),
        "crash" => measurement.crash(),
        "heal" => measurement.heal(),
        "rest" => measurement.rest(),
        "wrong" => measurement.wrong(),
        _ => eprintln!("{USAGE}"),
    }
}

/// The default configuration without the feature that follows `without`. Returns `None` if the
/// feature is unknown.
fn config(options: &[String]) -> Option<MembershipConfig> {
    let mut config = MembershipConfig::default();
    match without(options) {
        None => {}
        Some("health") => config.lifeguard.local_health = false,
        Some("suspicion") => config.lifeguard.dynamic_suspicion = false,
        Some("buddy") => config.lifeguard.buddy_system = false,
        Some(_) => return None,
    }
    Some(config)
}

fn without(options: &[String]) -> Option<&str> {
    let mut options = options.iter().skip_while(|option| *option != "without");
    options.nth(1).map(String::as_str)
}

impl Measurement {
    fn number(&self, index: usize) -> f64 {
        self.options
            .get(index)
            .and_then(|option| option.parse().ok())
            .unwrap_or_else(|| panic!("{USAGE}"))
    }

    fn new_simulation(&self, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(self.config.clone(), self.size, seed);
        simulation.records_history = false;
        simulation
    }

    /// Starts all nodes one after another and waits until they have converged.
    fn converged(&self, seed: u64) -> Simulation {
        let mut simulation = self.new_simulation(seed);
        for node in 0..self.size {
            simulation.start(node, &[0, 1]);
            simulation.run_for(START_INTERVAL);
        }
        let duration = simulation.wait_for(CONVERGENCE_TIMEOUT, Simulation::has_converged);
        assert!(duration.is_some(), "not converged: seed={seed}");
        simulation
    }

    /// Measures the time until all nodes have converged after they start at once.
    fn start(&self) {
        let mut durations = run_seeds(self.seed_count, |seed| {
            let mut simulation = self.new_simulation(seed);
            (0..self.size).for_each(|node| simulation.start(node, &[0, 1]));
            let duration = simulation.wait_for(CONVERGENCE_TIMEOUT, Simulation::has_converged);
            if self.seed_count == 1 {
                // With several seeds, several simulations share the process.
                let memory = memory_mb(std::process::id()) / self.size as f64;
                println!("memory size={} mb_per_member={memory:.3}", self.size);
            }
            duration.unwrap_or(TIMED_OUT)
        });
        self.print("start-all-equal", &mut durations);
    }

    /// Measures the times until the first and the last node has detected a crash, and until all
    /// views are equal.
    fn crash(&self) {
        let durations = run_seeds(self.seed_count, |seed| self.crash_durations(seed));
        let names = ["crash-first", "crash-all-know", "crash-all-equal"];
        for (index, name) in names.into_iter().enumerate() {
            let mut durations: Vec<i64> = durations.iter().map(|times| times[index]).collect();
            self.print(name, &mut durations);
        }
    }

    fn crash_durations(&self, seed: u64) -> [i64; 3] {
        let mut simulation = self.converged(seed);
        let crashed = self.size / 2;
        let name = format!("n{crashed}");
        simulation.crash(crashed);
        let running = simulation.running();
        let has_detected = |simulation: &Simulation, node: &usize| {
            simulation.member_state(*node, &name) == Some(State::Down)
        };
        let first = simulation
            .wait_for(FAILURE_TIMEOUT, |simulation| {
                running.iter().any(|node| has_detected(simulation, node))
            })
            .unwrap_or(TIMED_OUT);
        let all = simulation
            .wait_for(FAILURE_TIMEOUT, |simulation| {
                running.iter().all(|node| has_detected(simulation, node))
            })
            .unwrap_or(TIMED_OUT);
        let equal = simulation
            .wait_for(FAILURE_TIMEOUT, Simulation::has_converged)
            .unwrap_or(TIMED_OUT);
        [first, first + all, first + all + equal]
    }

    /// Measures the time until all nodes have converged after a partition into halves.
    fn heal(&self) {
        let mut durations = run_seeds(self.seed_count, |seed| {
            let mut simulation = self.converged(seed);
            simulation.partition(|node| node % 2);
            simulation.run_for(60 * SECOND);
            let is_partitioned = |node| {
                simulation.membership(node).is_some_and(|membership| {
                    membership.members().active_count() <= self.size.div_ceil(2)
                })
            };
            assert!(
                (0..self.size).all(is_partitioned),
                "the halves have not detected the partition: seed={seed}"
            );
            simulation.heal();
            simulation
                .wait_for(CONVERGENCE_TIMEOUT, Simulation::has_converged)
                .unwrap_or(TIMED_OUT)
        });
        self.print("heal-all-equal", &mut durations);
    }

    /// Measures the traffic without changes, and that after a fifth of the nodes has crashed.
    fn rest(&self) {
        let loss = self.number(0);
        for seed in 0..self.seed_count {
            let mut simulation = self.converged(seed);
            simulation.network.loss = loss;
            simulation.run_for(10 * SECOND);
            let before = self.traffic(&simulation);
            simulation.run_for(MEASURED_SECONDS * SECOND);
            let after = self.traffic(&simulation);
            let rate = |value| rates(&before, &after, value);
            println!(
                "rest size={} loss={loss} seed={seed} bytes/s mean,most={:.0?} \
                 datagrams/s={:.1?} streamed/s={:.0?}",
                self.size,
                rate(|traffic| traffic.datagram_bytes),
                rate(|traffic| traffic.datagrams),
                rate(|traffic| traffic.stream_bytes)
            );
            self.crash_fifth(&mut simulation, seed);
        }
    }

    fn crash_fifth(&self, simulation: &mut Simulation, seed: u64) {
        let before = self.traffic(simulation);
        for index in 0..self.size / 5 {
            simulation.crash(index * 5 + 2);
        }
        let duration = simulation.wait_for(FAILURE_TIMEOUT, Simulation::has_converged);
        let running = simulation.running();
        let total_bytes = |traffic: &TrafficCounters| traffic.datagram_bytes + traffic.stream_bytes;
        let sent_bytes: u64 = running
            .iter()
            .map(|node| total_bytes(&simulation.traffic(*node)) - total_bytes(&before[*node]))
            .sum();
        let seconds = duration.unwrap_or(FAILURE_TIMEOUT) as f64 / SECOND as f64;
        println!(
            "fifth size={} seed={seed} settled after {seconds:.2} s, bytes/s meanwhile={:.0}",
            self.size,
            sent_bytes as f64 / running.len() as f64 / seconds
        );
    }

    fn traffic(&self, simulation: &Simulation) -> Vec<TrafficCounters> {
        (0..self.size)
            .map(|node| simulation.traffic(node))
            .collect()
    }

    /// Counts wrong suspicions and failures while some nodes are slow.
    fn wrong(&self) {
        let (loss, hours) = (self.number(0), self.number(1));
        let counts = run_seeds(self.seed_count, |seed| {
            let mut simulation = self.converged(seed);
            simulation.network.loss = loss;
            for index in 0..self.size / SLOW_NODE_PERIOD {
                let node = index * SLOW_NODE_PERIOD + 3;
                simulation.set_max_scheduling_delay(node, SLOW_NODE_DELAY);
            }
            simulation.records_history = true;
            count_state_changes(&mut simulation, (hours * 60.0) as usize)
        });
        let down: usize = counts.iter().map(|count| count.down).sum();
        let suspect: usize = counts.iter().map(|count| count.suspect).sum();
        println!(
            "wrong size={} loss={loss} hours={hours} seeds={} without={:?}: down={down} \
             suspect={suspect}, counted at each node",
            self.size,
            self.seed_count,
            without(&self.options)
        );
    }

    /// Prints percentiles of durations in seconds.
    fn print(&self, name: &str, durations: &mut [i64]) {
        durations.sort_unstable();
        let percentile = |fraction: f64| {
            let rank = (durations.len() as f64 * fraction).ceil() as usize;
            durations[rank.clamp(1, durations.len()) - 1] as f64 / SECOND as f64
        };
        println!(
            "{name} size={} n={} p50={:.2} p99={:.2} most={:.2}",
            self.size,
            durations.len(),
            percentile(0.5),
            percentile(0.99),
            percentile(1.0)
        );
    }
}

/// State changes in the history of all nodes.
#[derive(Default)]
struct StateChanges {
    down: usize,
    suspect: usize,
}

fn count_state_changes(simulation: &mut Simulation, minutes: usize) -> StateChanges {
    let mut changes = StateChanges::default();
    for _ in 0..minutes {
        simulation.run_for(60 * SECOND);
        for recorded in simulation.history.drain(..) {
            if let Event::StateChanged { state, .. } = recorded.event {
                changes.down += usize::from(state == State::Down);
                changes.suspect += usize::from(state == State::Suspect);
            }
        }
    }
    changes
}

/// The mean and maximum of all nodes' rates of a counter, a second.
fn rates(
    before: &[TrafficCounters],
    after: &[TrafficCounters],
    value: fn(&TrafficCounters) -> u64,
) -> (f64, f64) {
    let growth: Vec<u64> = before
        .iter()
        .zip(after)
        .map(|(before, after)| value(after) - value(before))
        .collect();
    let seconds = MEASURED_SECONDS as f64;
    let mean = growth.iter().sum::<u64>() as f64 / growth.len() as f64 / seconds;
    let maximum = growth.iter().max().copied().unwrap_or_default() as f64 / seconds;
    (mean, maximum)
}

/// Calls `run` with each seed on several threads. Returns the results in the order of the seeds.
fn run_seeds<T: Send>(seed_count: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let thread_count = std::thread::available_parallelism()
        .map_or(1, |available| available.get() - 1)
        .clamp(1, MAX_THREADS);
    let next_seed = AtomicU64::new(0);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..thread_count {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seed_count {
                    return;
                }
                let result = run(seed);
                results
                    .lock()
                    .expect("no holder panics")
                    .insert(seed, result);
            });
        }
    });
    let results = results.into_inner().expect("no holder panics");
    results.into_values().collect()
}
