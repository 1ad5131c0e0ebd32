//! The adaptive concurrency limit against simulated members.

use pipitlever_load_balancing::concurrency_limit::{ConcurrencyLimit, ConcurrencyLimitConfig};
use pipitlever_load_balancing::consistent_hash::splitmix64;
use pipitlever_load_balancing::Micros;

fn limit(upper_bound: usize) -> ConcurrencyLimit {
    ConcurrencyLimit::new(ConcurrencyLimitConfig::default(), upper_bound)
}

/// A member with a number of cores, whose runs take longer when there are more of them than cores.
/// Run times are exponentially distributed.
struct SimulatedMember {
    cores: f64,
    /// Mean time of a run on an idle member, in microseconds.
    mean_run_time: f64,
}

impl SimulatedMember {
    /// Executes as many runs as the limit allows in each round, and returns the limit at the end.
    fn load(&self, limit: &mut ConcurrencyLimit, now: &mut Micros, rounds: u64) -> usize {
        for round in 0..rounds {
            let runs = limit.allowed_runs();
            let mean = self.mean_run_time * (runs as f64 / self.cores).max(1.0);
            *now += mean as Micros * 8;
            for run in 0..runs {
                let uniform = (splitmix64(round * 1000 + run as u64) % 1000 + 1) as f64 / 1001.0;
                let run_time = (mean * -uniform.ln()) as Micros;
                limit.record_success(*now, *now - run_time, runs);
            }
        }
        limit.allowed_runs()
    }
}

#[test]
fn limit_settles_near_the_capacity_of_the_member() {
    let member = |cores| SimulatedMember {
        cores,
        mean_run_time: 10_000.0,
    };
    for (cores, least, most) in [(8.0, 8, 40), (32.0, 28, 110), (128.0, 100, 450)] {
        let runs = member(cores).load(&mut limit(1000), &mut 0, 4000);
        assert!((least..=most).contains(&runs), "{cores} cores: {runs}");
    }
    assert_eq!(member(128.0).load(&mut limit(20), &mut 0, 1000), 20);
}

/// The member permanently becomes ten times slower: the limit falls and recovers.
#[test]
fn limit_recovers_after_a_lasting_latency_increase() {
    let (mut limit, mut now) = (limit(64), 0);
    let member = |mean_run_time| SimulatedMember {
        cores: 16.0,
        mean_run_time,
    };
    let before = member(10_000.0).load(&mut limit, &mut now, 2000);
    let fallen = member(100_000.0).load(&mut limit, &mut now, 60);
    let after = member(100_000.0).load(&mut limit, &mut now, 4000);
    assert!(
        before >= 16 && fallen < before && after >= 12,
        "{before} {fallen} {after}"
    );
}

#[test]
fn a_temporary_upper_bound_retains_the_learned_limit() {
    let mut limit = limit(64);
    let member = SimulatedMember {
        cores: 64.0,
        mean_run_time: 10_000.0,
    };
    let before = member.load(&mut limit, &mut 0, 2000);
    limit.set_upper_bound(1);
    assert_eq!(limit.allowed_runs(), 1);
    (0..100).for_each(|run| limit.record_success(run * 10_000, run * 10_000 - 5_000, 1));
    limit.set_upper_bound(64);
    assert_eq!(limit.allowed_runs(), before);
}

#[test]
fn limit_grows_only_while_fully_used() {
    let mut limit = limit(1000);
    (0..1000).for_each(|run| limit.record_success(run * 10_000, run * 10_000 - 5_000, 2));
    assert_eq!(limit.allowed_runs(), 16);
}
