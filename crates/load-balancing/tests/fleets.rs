//! Pools in simulated time: members that hang, fail, answer garbage, are slow or come back cold,
//! storms of repeats, fleets of a thousand. Seeded; no socket and no clock.

use pipitlever_load_balancing::consistent_hash::splitmix64;
use pipitlever_load_balancing::pool::{
    Member, MemberMode, Pool, PoolConfig, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::retry_budget::{AttemptEffect, RetryRequest};
use pipitlever_load_balancing::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// How a member behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// So many microseconds a run, more where it has more runs than cores.
    Serves(f64),
    /// Accepts and never answers.
    Hangs,
    /// Breaks off at once.
    Fails,
    /// Accepts nothing.
    Refuses,
}

const CORES: f64 = 8.0;

/// What came of a run of requests.
#[derive(Clone, Debug, Default)]
struct Outcome {
    firsts: u64,
    tries: u64,
    served: u64,
    /// Tries that a member got, by its number in the list.
    by: HashMap<usize, u64>,
    latencies: Vec<Micros>,
    notes: Vec<String>,
}

impl Outcome {
    fn p99(&mut self) -> Micros {
        self.latencies.sort_unstable();
        self.latencies[(self.latencies.len() - 1) * 99 / 100]
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.firsts as f64
    }
}

/// Requests at a steady rate for so long. `way` says how a member behaves at a time.
struct Play<'a> {
    pool: &'a mut Pool<usize>,
    members: usize,
    rate: f64,
    length: Micros,
    deadline: Micros,
    safe: bool,
    way: &'a dyn Fn(usize, Micros) -> Way,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    Try {
        since: Micros,
        tries: u32,
        tried: Vec<u32>,
        number: u64,
    },
    RunOutcome {
        run: u64,
        member: usize,
        since: Micros,
        tries: u32,
        tried: Vec<u32>,
        end: u8,
        number: u64,
    },
}

fn play(play: Play) -> Outcome {
    let Play {
        pool,
        members,
        rate,
        length,
        deadline,
        safe,
        way,
    } = play;
    let mut outcome = Outcome::default();
    let mut turns = BinaryHeap::new();
    let mut running = vec![0.0f64; members];
    let mut number = 0;
    let gap = (1e6 / rate) as Micros;
    // Arrivals with jitter, the same on every run.
    let arrival = |n: u64| n as Micros * gap + (splitmix64(n) % (gap.max(1) as u64)) as Micros;
    turns.push(Reverse((
        arrival(0),
        0,
        Turn::Try {
            since: arrival(0),
            tries: 0,
            tried: vec![],
            number: 0,
        },
    )));
    let mut order = 1;
    while let Some(Reverse((now, _, turn))) = turns.pop() {
        let mut push = |at: Micros, turn: Turn| {
            turns.push(Reverse((at, order, turn)));
            order += 1;
        };
        match turn {
            Turn::Try {
                since,
                tries,
                tried,
                number: request,
            } => {
                if tries == 0 {
                    outcome.firsts += 1;
                    number += 1;
                    if arrival(number) < length {
                        let since = arrival(number);
                        push(
                            since,
                            Turn::Try {
                                since,
                                tries: 0,
                                tried: vec![],
                                number,
                            },
                        );
                    }
                }
                let key = (!safe).then(|| splitmix64(request));
                match pool.select(
                    now,
                    SelectionRequest {
                        is_idempotent: safe,
                        hash_key: key,
                        attempted_members: &tried,
                    },
                ) {
                    Selection::Selected {
                        run,
                        member: id,
                        address,
                    } => {
                        outcome.tries += 1;
                        *outcome.by.entry(address).or_default() += 1;
                        running[address] += 1.0;
                        let tried = [&tried[..], &[id]].concat();
                        let left = since + deadline - now;
                        let (took, end) = match way(address, now) {
                            Way::Serves(took) => {
                                let took = (took * (running[address] / CORES).max(1.0)) as Micros;
                                if took <= left {
                                    (took, 0)
                                } else {
                                    (left, 1)
                                }
                            }
                            Way::Hangs => (left, 3),
                            Way::Fails => (500, 1),
                            Way::Refuses => (200, 2),
                        };
                        push(
                            now + took.max(1),
                            Turn::RunOutcome {
                                run,
                                member: address,
                                since,
                                tries: tries + 1,
                                tried,
                                end,
                                number: request,
                            },
                        );
                    }
                    Selection::AtCapacity | Selection::Unavailable => {}
                }
            }
            Turn::RunOutcome {
                run,
                member,
                since,
                tries,
                tried,
                end,
                number: request,
            } => {
                running[member] -= 1.0;
                let ends = [
                    RunOutcome::Succeeded,
                    RunOutcome::Failed,
                    RunOutcome::Unreachable,
                    RunOutcome::TimedOut,
                ];
                pool.complete_run(now, run, ends[usize::from(end)]);
                if end == 0 {
                    outcome.served += 1;
                    outcome.latencies.push(now - since);
                } else {
                    let kind = if end == 2 {
                        AttemptEffect::NeverRan
                    } else {
                        AttemptEffect::MayHaveRun
                    };
                    if let Some(pause) = pool.acquire_retry(
                        now,
                        RetryRequest {
                            deadline: since + deadline,
                            effect: kind,
                            is_idempotent: safe,
                            attempts: tries,
                        },
                    ) {
                        push(
                            now + pause,
                            Turn::Try {
                                since,
                                tries,
                                tried,
                                number: request,
                            },
                        );
                    }
                }
            }
        }
        outcome.notes.extend(
            pool.take_events()
                .iter()
                .map(|n| format!("{} {n}", now / 1000)),
        );
    }
    outcome
}

fn pool(members: usize) -> Pool<usize> {
    Pool::new(
        PoolConfig::default(),
        (0..members).map(Member::new).collect(),
        7,
        0,
    )
}

fn steady(
    pool: &mut Pool<usize>,
    members: usize,
    rate: f64,
    way: &dyn Fn(usize, Micros) -> Way,
) -> Outcome {
    play(Play {
        pool,
        members,
        rate,
        length: 30 * SECOND,
        deadline: 2 * SECOND,
        safe: true,
        way,
    })
}

#[test]
fn one_that_is_slow_hangs_or_fails_costs_little() {
    let kinds = [
        ("hangs", Way::Hangs, 0.985),
        ("fails", Way::Fails, 0.999),
        ("refuses", Way::Refuses, 0.999),
        ("slow", Way::Serves(90_000.0), 0.999),
    ];
    for (name, bad, least) in kinds {
        let mut pool = pool(4);
        let way = |member, _| {
            if member == 2 {
                bad
            } else {
                Way::Serves(10_000.0)
            }
        };
        let outcome = steady(&mut pool, 4, 400.0, &way);
        let share = outcome.by[&2] as f64 / outcome.tries as f64;
        assert!(
            outcome.share() >= least,
            "{name}: {} {:?}",
            outcome.share(),
            outcome.notes
        );
        assert!(share < 0.05, "{name}: {share}");
    }
}

#[test]
fn one_that_recovers_is_back_and_warms_up() {
    let mut pool = pool(4);
    let way = |member, now| match (member, now) {
        (2, ..5_000_000) => Way::Fails,
        _ => Way::Serves(10_000.0),
    };
    let outcome = steady(&mut pool, 4, 400.0, &way);
    let noted = |what: &str| outcome.notes.iter().filter(|n| n.contains(what)).count();
    assert!(
        noted("member=2 out") >= 1 && noted("member=2 back") == 1,
        "{:?}",
        outcome.notes
    );
    assert!(
        outcome.by[&2] as f64 > 0.15 * outcome.tries as f64,
        "{:?}",
        outcome.by
    );
    assert!(outcome.share() > 0.999);
}

/// What they all depend on has failed: nobody is left out, and repeats stay within their budget.
#[test]
fn a_storm_of_failures_raises_no_storm_of_tries() {
    let mut pool = pool(8);
    let way = |_, now| {
        if now < 20 * SECOND {
            Way::Fails
        } else {
            Way::Serves(10_000.0)
        }
    };
    let outcome = steady(&mut pool, 8, 1000.0, &way);
    let tries = outcome.tries as f64 / outcome.firsts as f64;
    assert!(tries < 1.2, "{tries}");
    assert!(
        outcome
            .notes
            .iter()
            .any(|n| n.contains("most members look bad")),
        "{:?}",
        outcome.notes
    );
    // All of the last ten seconds but those on the way back.
    assert!(
        outcome.served as f64 > 0.9 * 10.0 * 1000.0,
        "{}",
        outcome.served
    );
}

#[test]
fn a_keyed_run_that_may_have_run_is_tried_once() {
    for (bad, tries_more) in [(Way::Fails, false), (Way::Refuses, true)] {
        let mut pool = pool(3);
        let way = |member, _| {
            if member == 1 {
                bad
            } else {
                Way::Serves(5_000.0)
            }
        };
        let one = Play {
            pool: &mut pool,
            members: 3,
            rate: 100.0,
            length: 10 * SECOND,
            deadline: SECOND,
            safe: false,
            way: &way,
        };
        let outcome = play(one);
        assert_eq!(outcome.tries > outcome.firsts, tries_more, "{bad:?}");
    }
}

#[test]
fn keys_stay_where_they_are() {
    let mut pool = pool(8);
    let mut first: HashMap<u64, usize> = HashMap::new();
    for round in 0..5 {
        for key in 0..500 {
            let Selection::Selected { run, address, .. } = pool.select(
                round,
                SelectionRequest {
                    hash_key: Some(key),
                    ..SelectionRequest::default()
                },
            ) else {
                panic!("there is room")
            };
            assert_eq!(*first.entry(key).or_insert(address), address);
            pool.complete_run(round + 1, run, RunOutcome::Succeeded);
        }
    }
    // One leaves: its keys move, and nobody else's.
    let members = (0..8).filter(|m| *m != 3).map(Member::new).collect();
    pool.update(members, 10);
    for (key, before) in first {
        let Selection::Selected { run, address, .. } = pool.select(
            20,
            SelectionRequest {
                hash_key: Some(key),
                ..SelectionRequest::default()
            },
        ) else {
            panic!("there is room")
        };
        assert!(address == before || before == 3, "{key}");
        pool.complete_run(21, run, RunOutcome::Succeeded);
    }
}

#[test]
fn spares_and_tiers_come_in_order_and_go_again() {
    let spare = Member {
        is_standby: true,
        ..Member::new(2)
    };
    let second = Member {
        tier: 1,
        ..Member::new(1)
    };
    let mut pool = Pool::new(
        PoolConfig::default(),
        vec![Member::new(0), second, spare],
        7,
        0,
    );
    let way = |member, now| match (member, now / SECOND) {
        (0, 5..15) | (1, 8..12) => Way::Refuses,
        _ => Way::Serves(5_000.0),
    };
    let outcome = steady(&mut pool, 3, 200.0, &way);
    assert!(
        outcome.by[&0] > outcome.by[&1].max(outcome.by[&2]),
        "{:?}",
        outcome.by
    );
    assert!(
        outcome.by[&2] > 0 && outcome.share() > 0.9,
        "{:?} {}",
        outcome.by,
        outcome.share()
    );
    let on = outcome
        .notes
        .iter()
        .filter(|n| n.contains("spares are used"))
        .count();
    let off = outcome
        .notes
        .iter()
        .filter(|n| n.contains("no longer used"))
        .count();
    assert!(on == off && on <= 2, "{:?}", outcome.notes);
}

#[test]
fn a_member_taken_out_of_the_file_finishes_what_it_has() {
    let mut pool = pool(2);
    let mut runs = Vec::new();
    for _ in 0..6 {
        let Selection::Selected { run, address, .. } = pool.select(0, SelectionRequest::default())
        else {
            panic!("there is room")
        };
        runs.push((run, address));
    }
    pool.update(
        vec![
            Member::new(0),
            Member {
                mode: MemberMode::Disabled,
                ..Member::new(5)
            },
        ],
        1,
    );
    for _ in 0..8 {
        let Selection::Selected { run, address, .. } = pool.select(1, SelectionRequest::default())
        else {
            panic!("there is room")
        };
        assert_eq!(address, 0);
        pool.complete_run(2, run, RunOutcome::Succeeded);
    }
    assert!(pool
        .report(1)
        .iter()
        .any(|l| l.starts_with("member=1 state=leaving")));
    runs.into_iter()
        .for_each(|(run, _)| pool.complete_run(3, run, RunOutcome::Succeeded));
    assert!(!pool.report(3).iter().any(|l| l.starts_with("member=1 ")) && pool.in_flight() == 0);
}

#[test]
fn load_follows_weights() {
    let weights = [1.0, 2.0, 3.0, 2.0];
    let members = weights.iter().enumerate().map(|(i, w)| Member {
        weight: *w,
        ..Member::new(i)
    });
    let mut pool = Pool::new(PoolConfig::default(), members.collect(), 7, 0);
    let way = |_, _| Way::Serves(10_000.0);
    let outcome = steady(&mut pool, 4, 600.0, &way);
    for (i, weight) in weights.iter().enumerate() {
        let share = outcome.by[&i] as f64 / outcome.tries as f64 / (weight / 8.0);
        assert!(
            (0.75..1.25).contains(&share),
            "{i}: {share} {:?}",
            outcome.by
        );
    }
}

#[test]
fn a_thousand_members_with_churn() {
    let mut pool = pool(1024);
    // A tenth of them hangs, fails or is slow, another tenth each three seconds.
    let way = |member: usize, now: Micros| match splitmix64(
        member as u64 ^ splitmix64((now / (3 * SECOND)) as u64),
    ) % 40
    {
        0 => Way::Hangs,
        1 => Way::Fails,
        2 => Way::Refuses,
        3 => Way::Serves(90_000.0),
        _ => Way::Serves(10_000.0),
    };
    let mut outcome = play(Play {
        pool: &mut pool,
        members: 1024,
        rate: 20_000.0,
        length: 6 * SECOND,
        deadline: SECOND,
        safe: true,
        way: &way,
    });
    assert!(outcome.share() > 0.97, "{}", outcome.share());
    assert!(outcome.tries as f64 / (outcome.firsts as f64) < 1.2);
    assert!(outcome.p99() < 500_000, "{}", outcome.p99());
}

#[test]
fn the_same_seed_gives_the_same_places() {
    let run = || {
        let mut pool = pool(16);
        let way = |member, _| {
            if member == 3 {
                Way::Fails
            } else {
                Way::Serves(9_000.0)
            }
        };
        let outcome = steady(&mut pool, 16, 500.0, &way);
        (outcome.notes, outcome.served, outcome.latencies)
    };
    assert_eq!(run(), run());
}

/// Callers with hardly any time say nothing of a member that answers as it always does.
#[test]
fn impatient_callers_take_nobody_out() {
    let mut pool = pool(3);
    let way = |_, _| Way::Serves(10_000.0);
    steady(&mut pool, 3, 200.0, &way);
    let mut now = 40 * SECOND;
    for _ in 0..200 {
        let Selection::Selected { run, .. } = pool.select(now, SelectionRequest::default()) else {
            panic!("there is room")
        };
        now += 8_000;
        pool.complete_run(now, run, RunOutcome::TimedOut);
    }
    assert_eq!(pool.take_events(), []);
}
