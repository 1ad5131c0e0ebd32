//! Pools in simulated time: members that hang, fail, refuse connections, are slow or recover, retry
//! storms, and a pool of a thousand members. Seeded; no socket and no clock.

mod simulator;

use pipitlever_load_balancing::consistent_hash::splitmix64;
use pipitlever_load_balancing::pool::{
    Member, MemberMode, Pool, PoolConfig, RunId, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::{Micros, SECOND};
use simulator::{simulate, Behavior, Totals, Workload};
use std::collections::HashMap;

fn pool(members: usize) -> Pool<usize> {
    pool_of((0..members).map(Member::new).collect())
}

fn pool_of(members: Vec<Member<usize>>) -> Pool<usize> {
    Pool::new(PoolConfig::default(), members, 7, 0)
}

/// Simulates half a minute of idempotent requests at a steady rate (per second).
fn simulate_steadily(
    pool: &mut Pool<usize>,
    members: usize,
    rate: f64,
    behavior: &dyn Fn(usize, Micros) -> Behavior,
) -> Totals {
    let workload = Workload {
        members,
        rate,
        duration: 30 * SECOND,
        deadline: 2 * SECOND,
        is_idempotent: true,
        behavior,
    };
    simulate(pool, workload)
}

/// Selects a member that has to have a free slot.
fn select(pool: &mut Pool<usize>, now: Micros, hash_key: Option<u64>) -> (RunId, usize) {
    let request = SelectionRequest {
        hash_key,
        ..SelectionRequest::default()
    };
    match pool.select(now, request) {
        Selection::Selected { run, address, .. } => (run, address),
        other => panic!("no member selected: {other:?}"),
    }
}

#[test]
fn a_faulty_member_costs_few_requests() {
    let kinds = [
        ("hangs", Behavior::Hangs, 0.985),
        ("fails", Behavior::Fails, 0.999),
        ("refuses", Behavior::Refuses, 0.999),
        ("slow", Behavior::Serves(90_000.0), 0.999),
    ];
    for (name, faulty, min_success_ratio) in kinds {
        let mut pool = pool(4);
        let behavior = |member, _| {
            if member == 2 {
                faulty
            } else {
                Behavior::Serves(10_000.0)
            }
        };
        let totals = simulate_steadily(&mut pool, 4, 400.0, &behavior);
        let share = totals.attempts_by_member[&2] as f64 / totals.attempts as f64;
        assert!(
            totals.success_ratio() >= min_success_ratio,
            "{name}: {} {:?}",
            totals.success_ratio(),
            totals.events
        );
        assert!(share < 0.05, "{name}: {share}");
    }
}

#[test]
fn a_recovered_member_returns_through_slow_start() {
    let mut pool = pool(4);
    let behavior = |member, now| match (member, now) {
        (2, ..5_000_000) => Behavior::Fails,
        _ => Behavior::Serves(10_000.0),
    };
    let totals = simulate_steadily(&mut pool, 4, 400.0, &behavior);
    assert!(
        totals.count_events("ejected member=2") >= 1
            && totals.count_events("recovered member=2") == 1,
        "{:?}",
        totals.events
    );
    assert!(
        totals.attempts_by_member[&2] as f64 > 0.15 * totals.attempts as f64,
        "{:?}",
        totals.attempts_by_member
    );
    assert!(totals.success_ratio() > 0.999);
}

/// A dependency of all members fails: ejections are suspended, and retries stay within the budget.
#[test]
fn failures_of_all_members_cause_no_retry_storm() {
    let mut pool = pool(8);
    let behavior = |_, now| {
        if now < 20 * SECOND {
            Behavior::Fails
        } else {
            Behavior::Serves(10_000.0)
        }
    };
    let totals = simulate_steadily(&mut pool, 8, 1000.0, &behavior);
    let attempts_per_request = totals.attempts as f64 / totals.requests as f64;
    assert!(attempts_per_request < 1.2, "{attempts_per_request}");
    assert!(
        totals.count_events("panic threshold exceeded") >= 1,
        "{:?}",
        totals.events
    );
    // The requests of the last ten seconds succeed, except for some during the recovery.
    assert!(
        totals.succeeded as f64 > 0.9 * 10.0 * 1000.0,
        "{}",
        totals.succeeded
    );
}

#[test]
fn a_non_idempotent_run_that_may_have_run_is_not_retried() {
    for (faulty, is_retried) in [(Behavior::Fails, false), (Behavior::Refuses, true)] {
        let mut pool = pool(3);
        let behavior = |member, _| {
            if member == 1 {
                faulty
            } else {
                Behavior::Serves(5_000.0)
            }
        };
        let workload = Workload {
            members: 3,
            rate: 100.0,
            duration: 10 * SECOND,
            deadline: SECOND,
            is_idempotent: false,
            behavior: &behavior,
        };
        let totals = simulate(&mut pool, workload);
        assert_eq!(totals.attempts > totals.requests, is_retried, "{faulty:?}");
    }
}

#[test]
fn sticky_keys_stay_with_their_members() {
    const REMOVED: usize = 3;
    let mut pool = pool(8);
    let mut member_by_key: HashMap<u64, usize> = HashMap::new();
    for round in 0..5 {
        for key in 0..500 {
            let (run, address) = select(&mut pool, round, Some(key));
            assert_eq!(*member_by_key.entry(key).or_insert(address), address);
            pool.complete_run(round + 1, run, RunOutcome::Succeeded);
        }
    }
    // Only the keys of a removed member move.
    let remaining = (0..8).filter(|member| *member != REMOVED);
    pool.update(remaining.map(Member::new).collect(), 10);
    for (key, before) in member_by_key {
        let (run, address) = select(&mut pool, 20, Some(key));
        assert!(address == before || before == REMOVED, "{key}");
        pool.complete_run(21, run, RunOutcome::Succeeded);
    }
}

#[test]
fn tiers_and_standby_members_take_over_in_order_and_release() {
    let standby = Member {
        is_standby: true,
        ..Member::new(2)
    };
    let second_tier = Member {
        tier: 1,
        ..Member::new(1)
    };
    let mut pool = pool_of(vec![Member::new(0), second_tier, standby]);
    let behavior = |member, now| match (member, now / SECOND) {
        (0, 5..15) | (1, 8..12) => Behavior::Refuses,
        _ => Behavior::Serves(5_000.0),
    };
    let totals = simulate_steadily(&mut pool, 3, 200.0, &behavior);
    let attempts = &totals.attempts_by_member;
    assert!(
        attempts[&0] > attempts[&1].max(attempts[&2]),
        "{attempts:?}"
    );
    assert!(
        attempts[&2] > 0 && totals.success_ratio() > 0.9,
        "{attempts:?} {}",
        totals.success_ratio()
    );
    let activated = totals.count_events("standby members activated");
    let released = totals.count_events("standby members released");
    assert!(
        activated == released && activated <= 2,
        "{:?}",
        totals.events
    );
}

#[test]
fn a_removed_member_completes_its_runs() {
    let mut pool = pool(2);
    let runs: Vec<RunId> = (0..6).map(|_| select(&mut pool, 0, None).0).collect();
    let disabled = Member {
        mode: MemberMode::Disabled,
        ..Member::new(5)
    };
    pool.update(vec![Member::new(0), disabled], 1);
    for _ in 0..8 {
        let (run, address) = select(&mut pool, 1, None);
        assert_eq!(address, 0);
        pool.complete_run(2, run, RunOutcome::Succeeded);
    }
    let reports = |pool: &Pool<usize>, now| -> Vec<String> {
        pool.report(now).iter().map(ToString::to_string).collect()
    };
    assert!(reports(&pool, 1)
        .iter()
        .any(|line| line.starts_with("member=1 state=removed")));
    for run in runs {
        pool.complete_run(3, run, RunOutcome::Succeeded);
    }
    assert!(!reports(&pool, 3)
        .iter()
        .any(|line| line.starts_with("member=1 ")));
    assert_eq!(pool.in_flight(), 0);
}

#[test]
fn load_follows_weights() {
    let weights = [1.0, 2.0, 3.0, 2.0];
    let members = weights.iter().enumerate().map(|(member, weight)| Member {
        weight: *weight,
        ..Member::new(member)
    });
    let mut pool = pool_of(members.collect());
    let behavior = |_, _| Behavior::Serves(10_000.0);
    let totals = simulate_steadily(&mut pool, 4, 600.0, &behavior);
    for (member, weight) in weights.iter().enumerate() {
        let share = totals.attempts_by_member[&member] as f64 / totals.attempts as f64;
        let relative = share / (weight / 8.0);
        assert!(
            (0.75..1.25).contains(&relative),
            "{member}: {relative} {:?}",
            totals.attempts_by_member
        );
    }
}

#[test]
fn a_thousand_members_with_churn() {
    const MEMBERS: usize = 1024;
    let mut pool = pool(MEMBERS);
    // A tenth of the members hangs, fails or is slow, another tenth every three seconds.
    let behavior = |member: usize, now: Micros| {
        let period = (now / (3 * SECOND)) as u64;
        match splitmix64(member as u64 ^ splitmix64(period)) % 40 {
            0 => Behavior::Hangs,
            1 => Behavior::Fails,
            2 => Behavior::Refuses,
            3 => Behavior::Serves(90_000.0),
            _ => Behavior::Serves(10_000.0),
        }
    };
    let workload = Workload {
        members: MEMBERS,
        rate: 20_000.0,
        duration: 6 * SECOND,
        deadline: SECOND,
        is_idempotent: true,
        behavior: &behavior,
    };
    let mut totals = simulate(&mut pool, workload);
    assert!(totals.success_ratio() > 0.97, "{}", totals.success_ratio());
    assert!(totals.attempts as f64 / (totals.requests as f64) < 1.2);
    assert!(totals.p99() < 500_000, "{}", totals.p99());
}

#[test]
fn the_same_seed_gives_the_same_selections() {
    let simulate = || {
        let mut pool = pool(16);
        let behavior = |member, _| {
            if member == 3 {
                Behavior::Fails
            } else {
                Behavior::Serves(9_000.0)
            }
        };
        let totals = simulate_steadily(&mut pool, 16, 500.0, &behavior);
        (totals.events, totals.succeeded, totals.latencies)
    };
    assert_eq!(simulate(), simulate());
}

/// Requests whose deadline passes within the usual latency do not count as failures of a member.
#[test]
fn short_deadlines_eject_no_member() {
    let mut pool = pool(3);
    let behavior = |_, _| Behavior::Serves(10_000.0);
    simulate_steadily(&mut pool, 3, 200.0, &behavior);
    let mut now = 40 * SECOND;
    for _ in 0..200 {
        let (run, _) = select(&mut pool, now, None);
        now += 8_000;
        pool.complete_run(now, run, RunOutcome::TimedOut);
    }
    assert_eq!(pool.take_events(), []);
}
