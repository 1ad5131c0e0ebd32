//! Slow start of a new member under the traffic of many processes that share no state. Seeded; no
//! socket and no clock.

use pipitlever_load_balancing::outlier_detection::OutlierDetectionConfig;
use pipitlever_load_balancing::pool::{
    Member, Pool, PoolConfig, RunId, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

/// Members that exist from the start, with addresses from 0.
const MEMBERS: usize = 4;
/// The address of the new member.
const NEW_MEMBER: usize = MEMBERS;
/// Requests per second of all processes together.
const RATE: f64 = 400.0;
/// Requests per second of all processes together during [`BURST`].
const BURST_RATE: f64 = 600.0;
/// When the burst takes place. Times are relative to the moment at which the first process adds the
/// new member.
const BURST: Range<Micros> = 2 * SECOND..3 * SECOND;
/// When the simulation starts, so that the other members are busy when the new one is added.
const START: Micros = -2 * SECOND;
/// Mean time of a run, in microseconds.
const MEAN_RUN_TIME: f64 = 20_000.0;
/// Traffic is compared with its bound in windows of this length.
const WINDOW: Micros = SECOND / 2;

#[derive(Clone, Copy, Debug)]
struct Scenario {
    processes: usize,
    seed: u64,
    /// The last process adds the new member at most this long after the first.
    max_delay: Micros,
    /// When the first process restarts with the new member in its configuration.
    restart_at: Option<Micros>,
}

/// Runs of the new member in each window, and the number that the slow start allows.
struct Traffic {
    runs: Vec<f64>,
    allowed: Vec<f64>,
}

struct Process {
    pool: Pool<usize>,
    new_member_added_at: Micros,
    has_new_member: bool,
}

fn members(count: usize) -> Vec<Member<usize>> {
    (0..count).map(Member::new).collect()
}

fn slow_start_duration() -> Micros {
    OutlierDetectionConfig::default().slow_start
}

/// The fraction of its traffic that a member gets at this age.
fn slow_start_share(age: Micros) -> f64 {
    (age as f64 / slow_start_duration() as f64).clamp(0.1, 1.0)
}

/// An exponentially distributed value of mean 1.
fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0f64)).ln()
}

fn processes(scenario: Scenario, rng: &mut SmallRng) -> Vec<Process> {
    let Scenario {
        processes, seed, ..
    } = scenario;
    let process = |index: usize| Process {
        pool: Pool::new(
            PoolConfig::default(),
            members(MEMBERS),
            seed * 100 + index as u64,
            0,
        ),
        new_member_added_at: if index == 0 {
            0
        } else {
            rng.random_range(0..=scenario.max_delay)
        },
        has_new_member: false,
    };
    (0..processes).map(process).collect()
}

fn simulate(scenario: Scenario) -> Traffic {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut processes = processes(scenario, &mut rng);
    let mut has_restarted = false;
    let windows = (slow_start_duration() / WINDOW) as usize;
    let mut traffic = Traffic {
        runs: vec![0.0; windows],
        allowed: vec![0.0; windows],
    };
    let mut run_ends: BinaryHeap<Reverse<(Micros, usize, RunId)>> = BinaryHeap::new();
    let mut now = START;
    loop {
        let rate = if BURST.contains(&now) {
            BURST_RATE
        } else {
            RATE
        };
        now += (exponential(&mut rng) / rate * 1e6) as Micros;
        if now >= slow_start_duration() {
            return traffic;
        }
        while let Some(&Reverse((at, index, run))) = run_ends.peek() {
            if at > now {
                break;
            }
            run_ends.pop();
            processes[index]
                .pool
                .complete_run(at, run, RunOutcome::Succeeded);
        }
        let index = rng.random_range(0..processes.len());
        let process = &mut processes[index];
        if !process.has_new_member && now >= process.new_member_added_at {
            process.has_new_member = true;
            process.pool.update(members(MEMBERS + 1), now);
        }
        if !has_restarted && scenario.restart_at.is_some_and(|at| now >= at) {
            has_restarted = true;
            let (config, seed) = (PoolConfig::default(), scenario.seed + 1);
            processes[0].has_new_member = true;
            processes[0].pool = Pool::new(config, members(MEMBERS + 1), seed, now);
            run_ends.retain(|Reverse((_, index, _))| *index != 0);
        }
        let (run, address) = select_idempotent(&mut processes[index].pool, now);
        let run_time = (exponential(&mut rng) * MEAN_RUN_TIME) as Micros;
        run_ends.push(Reverse((now + run_time, index, run)));
        if now >= 0 {
            let window = (now / WINDOW) as usize;
            traffic.runs[window] += f64::from(u8::from(address == NEW_MEMBER));
            // A restarted process has no record of which members are new, and sends the new one
            // its full share.
            let share = if has_restarted && index == 0 {
                1.0
            } else {
                slow_start_share(now)
            };
            traffic.allowed[window] += share / (MEMBERS + 1) as f64;
        }
    }
}

fn select_idempotent(pool: &mut Pool<usize>, now: Micros) -> (RunId, usize) {
    let request = SelectionRequest {
        is_idempotent: true,
        ..SelectionRequest::default()
    };
    match pool.select(now, request) {
        Selection::Selected { run, address, .. } => (run, address),
        other => panic!("no member selected: {other:?}"),
    }
}

/// Upper bound of the runs where `allowed` are expected: two standard deviations, and two runs.
fn upper_bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

#[test]
fn slow_start_bounds_the_traffic_of_all_processes_together() {
    let mut violations = Vec::new();
    for processes in [1, 5, 20, 30] {
        let (mut exceeded, mut windows) = (0, 0);
        for seed in 0..20 {
            let variants = [(0, None), (3 * SECOND, None), (SECOND, Some(1_500_000))];
            for (max_delay, restart_at) in variants {
                let scenario = Scenario {
                    processes,
                    seed,
                    max_delay,
                    restart_at,
                };
                let Traffic { runs, allowed } = simulate(scenario);
                let total: f64 = runs.iter().sum();
                let total_allowed: f64 = allowed.iter().sum();
                if total > upper_bound(total_allowed) {
                    violations.push(format!("{scenario:?}: {total} of {total_allowed:.0}"));
                }
                windows += runs.len();
                exceeded += (runs.iter().zip(&allowed))
                    .filter(|(runs, allowed)| **runs > upper_bound(**allowed))
                    .count();
            }
        }
        println!("{processes} processes: {exceeded} of {windows} windows over the bound");
        // Random variation explains up to one window in fifty over the bound.
        if exceeded * 50 > windows {
            violations.push(format!(
                "{processes} processes: {exceeded} of {windows} windows"
            ));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn slow_start_does_not_apply_when_all_members_are_new() {
    let mut pool = Pool::new(PoolConfig::default(), vec![Member::new(99)], 1, 0);
    pool.update(members(4), 0);
    let mut runs = [0; 4];
    for now in 0..400 {
        let selection = pool.select(now, SelectionRequest::default());
        let Selection::Selected { run, address, .. } = selection else {
            panic!("no member selected: {selection:?}")
        };
        pool.complete_run(now + 1, run, RunOutcome::Succeeded);
        runs[address] += 1;
    }
    assert!(runs.iter().all(|runs| *runs > 50), "{runs:?}");
}
