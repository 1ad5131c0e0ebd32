//! Compares balancing policies on one simulated pool: `cargo run --release -p
//! pipitlever-load-balancing --example balance`.
//!
//! Every policy gets the same arrivals, run times and faults. The ideal policy has access to the
//! present state of each member: whether it responds, its speed, and its number of runs. The last
//! lines of the output are the durations of the pool's decisions, in nanoseconds.

use pipitlever_load_balancing::consistent_hash::splitmix64;
use pipitlever_load_balancing::pool::{
    Member, Pool, PoolConfig, RunId, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Cores of each member. Runs take longer while a member has more of them than cores.
const CORES: f64 = 8.0;
/// Time from a request's arrival to its deadline.
const DEADLINE: Micros = 500_000;
/// Mean time of a run on an idle member without fault, in microseconds.
const RUN_TIME: f64 = 10_000.0;
/// The load, relative to what all members can execute.
const UTILIZATION: f64 = 0.5;
const POOL_SIZES: [usize; 3] = [4, 64, 1024];

/// A fault of every fourth member, after the first tenth of the simulated time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// No fault, but runs take 1 to 3 times as long, depending on the member.
    Unequal,
    /// Nine times slower.
    Slow,
    Hangs,
    Fails,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    RoundRobin,
    LeastRequests,
    /// The member with fewer runs of two random ones.
    TwoChoices,
    Pool,
    Ideal,
}

/// How a member executes a run.
#[derive(Clone, Copy)]
struct Service {
    /// Time of a run on an idle member, in microseconds.
    run_time: f64,
    succeeds: bool,
}

#[derive(Clone, Copy)]
struct Scenario {
    fault: Fault,
    duration: Micros,
}

impl Scenario {
    fn service(&self, member: usize, now: Micros) -> Service {
        let is_faulty = member % 4 == 1 && now > self.duration / 10;
        let (run_time, succeeds) = match self.fault {
            Fault::Unequal => {
                let factor = 1.0 + (splitmix64(member as u64) % 200) as f64 / 100.0;
                (6_000.0 * factor, true)
            }
            Fault::Slow if is_faulty => (90_000.0, true),
            Fault::Hangs if is_faulty => (f64::MAX, false),
            Fault::Fails if is_faulty => (300.0, false),
            _ => (RUN_TIME, true),
        };
        Service { run_time, succeeds }
    }
}

struct Balancer {
    policy: Policy,
    pool: Pool<usize>,
    /// Runs in flight by member.
    in_flight: Vec<u32>,
    round_robin: usize,
    seed: u64,
}

/// A run in flight, ordered by its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    ends_at: Micros,
    member: usize,
    /// The pool's id of the run, if the policy is the pool.
    id: Option<RunId>,
    started_at: Micros,
    succeeds: bool,
}

impl Balancer {
    fn new(policy: Policy, members: usize) -> Balancer {
        Balancer {
            policy,
            pool: pool(members),
            in_flight: vec![0; members],
            round_robin: 0,
            seed: 9,
        }
    }

    fn select(&mut self, now: Micros, scenario: Scenario) -> Option<(usize, Option<RunId>)> {
        self.seed = self.seed.wrapping_add(1);
        let member = match self.policy {
            Policy::Pool => return self.select_from_pool(now),
            Policy::RoundRobin => self.next_in_turn(),
            Policy::LeastRequests => {
                let (start, count) = (self.next_in_turn(), self.in_flight.len());
                (0..count)
                    .map(|offset| (offset + start) % count)
                    .min_by_key(|&member| self.in_flight[member])?
            }
            Policy::TwoChoices => self.choose_of_two(),
            Policy::Ideal => self.ideal(now, scenario)?,
        };
        Some((member, None))
    }

    fn select_from_pool(&mut self, now: Micros) -> Option<(usize, Option<RunId>)> {
        let request = SelectionRequest {
            is_idempotent: true,
            ..SelectionRequest::default()
        };
        match self.pool.select(now, request) {
            Selection::Selected { run, address, .. } => Some((address, Some(run))),
            Selection::AtCapacity | Selection::Unavailable => None,
        }
    }

    fn next_in_turn(&mut self) -> usize {
        self.round_robin = (self.round_robin + 1) % self.in_flight.len();
        self.round_robin
    }

    fn choose_of_two(&self) -> usize {
        let count = self.in_flight.len();
        let first = splitmix64(self.seed) as usize % count;
        let distance = 1 + splitmix64(self.seed ^ 1 << 40) as usize % (count - 1);
        let second = (first + distance) % count;
        if self.in_flight[second] < self.in_flight[first] {
            second
        } else {
            first
        }
    }

    fn ideal(&self, now: Micros, scenario: Scenario) -> Option<usize> {
        let run_time = |member: usize| {
            let service = scenario.service(member, now);
            if service.succeeds {
                service.run_time * slowdown(self.in_flight[member] + 1)
            } else {
                f64::MAX
            }
        };
        (0..self.in_flight.len()).min_by(|&a, &b| run_time(a).total_cmp(&run_time(b)))
    }

    /// Records the end of a run. Returns its latency if it succeeded.
    fn complete(&mut self, run: Run) -> Option<Micros> {
        self.in_flight[run.member] -= 1;
        let latency = run.ends_at - run.started_at;
        if let Some(id) = run.id {
            let outcome = if run.succeeds {
                RunOutcome::Succeeded
            } else if latency >= DEADLINE {
                RunOutcome::TimedOut
            } else {
                RunOutcome::Failed
            };
            self.pool.complete_run(run.ends_at, id, outcome);
        }
        run.succeeds.then_some(latency)
    }
}

fn pool(members: usize) -> Pool<usize> {
    let members = (0..members).map(Member::new).collect();
    Pool::new(PoolConfig::default(), members, 7, 0)
}

/// Factor by which a run takes longer on a member with this many runs.
fn slowdown(in_flight: u32) -> f64 {
    (f64::from(in_flight) / CORES).max(1.0)
}

struct Summary {
    /// Requests that succeeded before their deadline.
    success_ratio: f64,
    p50_ms: f64,
    p99_ms: f64,
}

fn simulate(policy: Policy, fault: Fault, members: usize, requests: u64) -> Summary {
    let mut balancer = Balancer::new(policy, members);
    let gap = RUN_TIME / CORES / members as f64 / UTILIZATION;
    let scenario = Scenario {
        fault,
        duration: (requests as f64 * gap) as Micros,
    };
    let mut runs: BinaryHeap<Reverse<Run>> = BinaryHeap::new();
    let mut latencies = Vec::new();
    for number in 0..requests {
        // Arrivals with jitter, the same for all policies.
        let jitter = (splitmix64(number) % 1000) as f64 / 1000.0;
        let now = (number as f64 * gap + jitter * gap) as Micros;
        while runs.peek().is_some_and(|Reverse(run)| run.ends_at <= now) {
            let Reverse(run) = runs.pop().expect("peeked above");
            latencies.extend(balancer.complete(run));
        }
        let Some((member, id)) = balancer.select(now, scenario) else {
            continue;
        };
        balancer.in_flight[member] += 1;
        let service = scenario.service(member, now);
        let run_time = run_time(service, balancer.in_flight[member], number);
        runs.push(Reverse(Run {
            ends_at: now + run_time.max(1),
            member,
            id,
            started_at: now,
            succeeds: service.succeeds && run_time < DEADLINE,
        }));
    }
    while let Some(Reverse(run)) = runs.pop() {
        latencies.extend(balancer.complete(run));
    }
    summarize(latencies, requests)
}

/// The time of a run, at most [`DEADLINE`]. Times of successful runs are exponentially distributed
/// within 0.1 to 8 times the mean.
fn run_time(service: Service, in_flight: u32, number: u64) -> Micros {
    let uniform = (splitmix64(number ^ 77) % 100_000 + 1) as f64 / 100_001.0;
    let draw = (0.1 - 0.9 * uniform.ln()).min(8.0);
    let factor = if service.succeeds { draw } else { 1.0 };
    let run_time = service.run_time * slowdown(in_flight) * factor;
    if run_time < DEADLINE as f64 {
        run_time as Micros
    } else {
        DEADLINE
    }
}

fn summarize(mut latencies: Vec<Micros>, requests: u64) -> Summary {
    latencies.sort_unstable();
    let percentile = |ratio: f64| {
        let index = ((latencies.len() - 1) as f64 * ratio) as usize;
        latencies[index] as f64 / 1000.0
    };
    Summary {
        success_ratio: latencies.len() as f64 / requests as f64,
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
    }
}

/// Nanoseconds for the selection of a member and the end of its run.
fn decision_time(members: usize, is_sticky: bool) -> f64 {
    const DECISIONS: u64 = 1_000_000;
    let mut pool = pool(members);
    let mut now = 0;
    let start = Instant::now();
    for number in 0..DECISIONS {
        now += 20;
        let request = SelectionRequest {
            is_idempotent: true,
            hash_key: is_sticky.then(|| splitmix64(number)),
            attempted_members: &[],
        };
        if let Selection::Selected { run, .. } = pool.select(now, request) {
            pool.complete_run(now + 10_000, run, RunOutcome::Succeeded);
        }
        now = now.min(100 * SECOND);
    }
    start.elapsed().as_nanos() as f64 / DECISIONS as f64
}

fn compare_policies(members: usize, fault: Fault) {
    let policies = [
        Policy::RoundRobin,
        Policy::LeastRequests,
        Policy::TwoChoices,
        Policy::Pool,
        Policy::Ideal,
    ];
    let requests = 50_000 * (members as u64).clamp(1, 20);
    for policy in policies {
        let summary = simulate(policy, fault, members, requests);
        println!(
            "{members:>5} {:<8} {:<14} served {:.2}%  p50 {:.1} ms  p99 {:.1} ms",
            format!("{fault:?}"),
            format!("{policy:?}"),
            summary.success_ratio * 100.0,
            summary.p50_ms,
            summary.p99_ms,
        );
    }
}

fn main() {
    let faults = [
        Fault::None,
        Fault::Unequal,
        Fault::Slow,
        Fault::Hangs,
        Fault::Fails,
    ];
    for members in POOL_SIZES {
        for fault in faults {
            compare_policies(members, fault);
        }
    }
    for members in POOL_SIZES {
        for is_sticky in [false, true] {
            let nanoseconds = decision_time(members, is_sticky);
            let kind = if is_sticky { "sticky key" } else { "no key" };
            println!("{members:>5} members, {kind}: {nanoseconds:.0} ns for a run's start and end");
        }
    }
}
