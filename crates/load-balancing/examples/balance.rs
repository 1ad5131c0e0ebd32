//! Ways of balancing in one simulated fleet: `cargo run --release -p pipitlever-load-balancing
//! --example balance`.
//!
//! Each is played with the same arrivals, speeds and failures. The ideal knows at each moment who
//! serves, how fast, and how many runs each has. Last, nanoseconds a decision of the pool.

use pipitlever_load_balancing::consistent_hash::splitmix64;
use pipitlever_load_balancing::pool::{
    Member, Pool, PoolConfig, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

const CORES: f64 = 8.0;
const DEADLINE: Micros = 500_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Speeds from 1 to 3.
    Unequal,
    /// One in four is nine times slower from a tenth of the time on.
    Slow,
    Hangs,
    Fails,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Turns,
    /// The one with the fewest runs.
    LeastRequests,
    /// Two at random, the one with fewer runs.
    TwoRuns,
    Pool,
    Ideal,
}

/// What a run takes there, alone, and whether it ends well; nothing if it never ends.
fn serves(trouble: Trouble, member: usize, now: Micros, length: Micros) -> (f64, bool) {
    let bad = member % 4 == 1 && now > length / 10;
    match trouble {
        Trouble::Unequal => (
            6_000.0 * (1.0 + (splitmix64(member as u64) % 200) as f64 / 100.0),
            true,
        ),
        Trouble::Slow if bad => (90_000.0, true),
        Trouble::Hangs if bad => (f64::MAX, false),
        Trouble::Fails if bad => (300.0, false),
        _ => (10_000.0, true),
    }
}

struct Fleet {
    way: Way,
    pool: Pool<usize>,
    runs: Vec<u32>,
    turn: usize,
    seed: u64,
}

impl Fleet {
    fn place(&mut self, now: Micros, trouble: Trouble, length: Micros) -> Option<(usize, u64)> {
        let count = self.runs.len();
        self.seed = self.seed.wrapping_add(1);
        let member = match self.way {
            Way::Pool => {
                return match self.pool.select(
                    now,
                    SelectionRequest {
                        is_idempotent: true,
                        ..SelectionRequest::default()
                    },
                ) {
                    Selection::Selected { run, address, .. } => Some((address, run)),
                    _ => None,
                }
            }
            Way::Turns => {
                self.turn = (self.turn + 1) % count;
                self.turn
            }
            Way::LeastRequests => {
                // The first of the least from a place that moves on.
                self.turn = (self.turn + 1) % count;
                (0..count)
                    .map(|i| (i + self.turn) % count)
                    .min_by_key(|&i| self.runs[i])?
            }
            Way::TwoRuns => {
                let a = splitmix64(self.seed) as usize % count;
                let b = (a + 1 + splitmix64(self.seed ^ 1 << 40) as usize % (count - 1)) % count;
                if self.runs[b] < self.runs[a] {
                    b
                } else {
                    a
                }
            }
            Way::Ideal => {
                let cost = |i: usize| match serves(trouble, i, now, length) {
                    (_, false) => f64::MAX,
                    (took, true) => took * (f64::from(self.runs[i] + 1) / CORES).max(1.0),
                };
                (0..count).min_by(|&a, &b| cost(a).total_cmp(&cost(b)))?
            }
        };
        Some((member, 0))
    }
}

/// When a run ends, on which member, its number, since when, and whether well.
type Ending = (Micros, usize, u64, Micros, bool);

/// The share served in time, and p50 and p99 of those, in milliseconds.
fn play(way: Way, trouble: Trouble, members: usize, requests: u64) -> (f64, f64, f64) {
    let pool = Pool::new(
        PoolConfig::default(),
        (0..members).map(Member::new).collect(),
        7,
        0,
    );
    let mut fleet = Fleet {
        way,
        pool,
        runs: vec![0; members],
        turn: 0,
        seed: 9,
    };
    // Half of what all of them can do.
    let gap = 10_000.0 / CORES / members as f64 / 0.5;
    let length = (requests as f64 * gap) as Micros;
    let mut ends: BinaryHeap<Reverse<Ending>> = BinaryHeap::new();
    let mut took = Vec::new();
    let end = |fleet: &mut Fleet, (at, member, run, since, well): Ending| {
        fleet.runs[member] -= 1;
        if fleet.way == Way::Pool {
            let late = at - since >= DEADLINE;
            let end = if well {
                RunOutcome::Succeeded
            } else if late {
                RunOutcome::TimedOut
            } else {
                RunOutcome::Failed
            };
            fleet.pool.complete_run(at, run, end);
        }
        well.then_some(at - since)
    };
    for n in 0..requests {
        // Poisson arrivals, the same for all.
        let now = (n as f64 * gap + (splitmix64(n) % 1000) as f64 / 1000.0 * gap) as Micros;
        while ends.peek().is_some_and(|Reverse(e)| e.0 <= now) {
            let Reverse(e) = ends.pop().expect("seen above");
            took.extend(end(&mut fleet, e));
        }
        let Some((member, run)) = fleet.place(now, trouble, length) else {
            continue;
        };
        fleet.runs[member] += 1;
        let (alone, well) = serves(trouble, member, now, length);
        // Service times vary: exponential, at least a tenth.
        let draw =
            (0.1 - 0.9 * ((splitmix64(n ^ 77) % 100_000 + 1) as f64 / 100_001.0).ln()).min(8.0);
        let time = alone
            * (f64::from(fleet.runs[member]) / CORES).max(1.0)
            * if well { draw } else { 1.0 };
        let time = if time < DEADLINE as f64 {
            time as Micros
        } else {
            DEADLINE
        };
        ends.push(Reverse((
            now + time.max(1),
            member,
            run,
            now,
            well && time < DEADLINE,
        )));
    }
    while let Some(Reverse(e)) = ends.pop() {
        took.extend(end(&mut fleet, e));
    }
    took.sort_unstable();
    let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize] as f64 / 1000.0;
    (took.len() as f64 / requests as f64, at(0.5), at(0.99))
}

fn main() {
    let ways = [
        Way::Turns,
        Way::LeastRequests,
        Way::TwoRuns,
        Way::Pool,
        Way::Ideal,
    ];
    for members in [4, 64, 1024] {
        for trouble in [
            Trouble::None,
            Trouble::Unequal,
            Trouble::Slow,
            Trouble::Hangs,
            Trouble::Fails,
        ] {
            for way in ways {
                let (served, p50, p99) = play(
                    way,
                    trouble,
                    members,
                    50_000 * (members as u64).clamp(1, 20),
                );
                println!(
                    "{members:>5} {:<8} {:<14} served {:.2}%  p50 {p50:.1} ms  p99 {p99:.1} ms",
                    format!("{trouble:?}"),
                    format!("{way:?}"),
                    served * 100.0
                );
            }
        }
    }
    for members in [4, 64, 1024] {
        for keyed in [false, true] {
            let mut pool = Pool::new(
                PoolConfig::default(),
                (0..members).map(Member::new).collect(),
                7,
                0,
            );
            let count = 1_000_000u64;
            let start = Instant::now();
            let mut now = 0;
            for n in 0..count {
                now += 20;
                let key = keyed.then(|| splitmix64(n));
                if let Selection::Selected { run, .. } = pool.select(
                    now,
                    SelectionRequest {
                        is_idempotent: true,
                        hash_key: key,
                        attempted_members: &[],
                    },
                ) {
                    pool.complete_run(now + 10_000, run, RunOutcome::Succeeded);
                }
                now = now.min(100 * SECOND);
            }
            let ns = start.elapsed().as_nanos() as f64 / count as f64;
            println!(
                "{members:>5} members, {}: {ns:.0} ns for a place and its end",
                if keyed { "by key" } else { "any" }
            );
        }
    }
}
