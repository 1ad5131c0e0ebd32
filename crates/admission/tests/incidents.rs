//! One test for each failure that an incident showed.

mod common;
use common::*;
use pipitlever_admission::*;
use std::collections::VecDeque;

/// i44e1ba: weak servers left requests unread for seconds while their line to start read low, so
/// callers were told nothing. What stands unread counts: the level rises.
#[test]
fn long_waits_to_be_read_raise_the_level() {
    let level = |queued: Micros| {
        let s = Settings {
            downstream: Downstream::None,
            cores: 1.0,
            ..settings()
        };
        let mut c = Controller::new(s, 1);
        let mut top: f64 = 0.0;
        for i in 0..200 {
            let r = Request {
                queue_time: queued,
                ..request(i, (i % 3) as usize)
            };
            let now = 2_000_000 + i as Micros * 40_000;
            let mut out = step(&mut c, now, &[Event::Arrived(r), ticks(0)]);
            if out.contains(&Action::Run(i)) {
                out.extend(step(&mut c, now + 30_000, &[done(i, 100_000)]));
            }
            for action in &out {
                if let Action::Backpressure(l) = action {
                    top = top.max(*l);
                }
            }
        }
        top
    };
    assert!(
        level(0) == 0.0 && level(800_000) > 0.0,
        "{} {}",
        level(0),
        level(800_000)
    );
}

/// Call times spread widely: the best time must not be a chance low that makes ordinary times look
/// slow.
#[test]
fn ordinary_spread_of_call_times_does_not_shrink_the_bound() {
    let mut c = Controller::new(
        Settings {
            cores: 40.0,
            memory_kb: 1e6,
            ..settings()
        },
        1,
    );
    let (mut now, mut id) = (0, 1);
    for i in 0..300 {
        step(&mut c, now, &[Event::Arrived(request(id, 2))]);
        let out = step(&mut c, now + 1000, &[Event::NeedsCall(id)]);
        assert!(
            out.iter().any(|a| matches!(a, Action::PlaceCall(..))),
            "call {i} had to wait"
        );
        let took = [10_000, 20_000, 60_000, 90_000, 150_000, 300_000][i % 6];
        now += took + 1000;
        step(
            &mut c,
            now,
            &[Event::CallEnded {
                id,
                elapsed: took,
                outcome: Outcome::Success,
            }],
        );
        step(&mut c, now, &[done(id, took + 1000)]);
        now += 200_000;
        id += 1;
    }
}

/// A server of the second deployment with all cores taken, and then nothing ends: what runs there,
/// what is held.
fn standing_still() -> (Controller, Micros, Vec<Action>) {
    let free = Class {
        latency_objective: 1_000_000,
        deadline: 4_000_000,
        ..Class::default()
    };
    let classes = vec![
        free.clone(),
        Class {
            idempotency: Idempotency::Keyed,
            idempotency_window: 5_000_000,
            ..free
        },
    ];
    let (below, halt, level) = (
        Downstream::None,
        CancellationMode::Abort,
        BackpressureKind::Threshold,
    );
    let s = Settings {
        classes,
        cores: 4.0,
        max_retry_after: 1_000_000,
        downstream: below,
        cancellation: halt,
        backpressure: level,
        ..settings()
    };
    let mut c = Controller::new(s, 1);
    let (mut now, mut id) = (0, 1);
    let mut running = VecDeque::new();
    for i in 0..80 {
        now = i * 50_000;
        step(&mut c, now, &[Event::Arrived(request(id, 0)), ticks(0)]);
        running.push_back((id, now));
        id += 1;
        if running.len() == 4 {
            let (id, since) = running.pop_front().unwrap();
            step(&mut c, now, &[done(id, now - since)]);
        }
    }
    // The last ones run, one of them keyed, and one more is held behind them.
    let mut all = Vec::new();
    for class in [1, 0] {
        all.extend(step(&mut c, now, &[Event::Arrived(request(id, class))]));
        id += 1;
    }
    assert!(
        c.status().running >= 4 && c.status().queued == 1,
        "{:?}",
        c.status()
    );
    let stopped = now;
    while now < stopped + 900_000 {
        now += 20_000;
        all.extend(step(&mut c, now, &[ticks(0)]));
    }
    (c, now, all)
}

/// Hung servers of the second deployment took a line full of requests each aim, and lost them all:
/// 15 to 20 requests a second that others could have served. What waits is let go while it still
/// has time, and callers are sent away for a while.
#[test]
fn cores_that_stand_still_let_go_of_all_that_others_can_serve() {
    let (mut c, now, all) = standing_still();
    let refused: Vec<&Action> = all
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .collect();
    // The held one and the reads that ran; the keyed run may end yet, and its repeats want its
    // outcome.
    assert_eq!(refused.len(), 4, "{all:?}");
    assert!(
        refused.iter().all(|a| matches!(
            a,
            Action::Reject {
                no_retry: false,
                ..
            }
        )),
        "{refused:?}"
    );
    assert!(
        all.contains(&Action::Backpressure(1.0)),
        "callers that heed it send nothing: {all:?}"
    );
    assert_eq!(
        (c.status().queued, c.request_status(81).is_some()),
        (0, true)
    );
    let out = step(&mut c, now, &[Event::Arrived(request(900, 0))]);
    let Some(Action::Reject {
        retry_after: backoff,
        no_retry: false,
        ..
    }) = out.first()
    else {
        panic!("{out:?}")
    };
    assert!(
        (500_000..=1_000_000).contains(backoff),
        "spread, so that not all are back at once: {backoff}"
    );
}

/// Once a run ends the server takes work again at once, at the rate that it had before: the time
/// that runs stood says nothing of how long they take.
#[test]
fn cores_that_go_on_are_as_quick_as_before() {
    let (mut c, now, _) = standing_still();
    let before = c.status().completion_rate;
    let out = step(&mut c, now, &[done(81, 950_000)]);
    assert!(out.is_empty(), "{out:?}");
    let out = step(&mut c, now, &[Event::Arrived(request(900, 0))]);
    assert!(out.contains(&Action::Run(900)), "{out:?}");
    assert!(
        c.status().completion_rate > 0.8 * before,
        "{} {before}",
        c.status().completion_rate
    );
}

/// Where a run waits for a disk or stands at a call the cores have room, and a few slow runs are no
/// standstill.
#[test]
fn few_slow_runs_are_no_standstill() {
    let s = Settings {
        downstream: Downstream::None,
        cores: 4.0,
        cancellation: CancellationMode::Abort,
        ..settings()
    };
    let mut c = Controller::new(s, 1);
    for id in 1..4 {
        step(&mut c, 0, &[Event::Arrived(request(id, 0)), ticks(0)]);
    }
    let mut out = Vec::new();
    for i in 1..40 {
        out.extend(step(&mut c, i * 20_000, &[ticks(0)]));
    }
    assert!(
        !out.iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Cancel(_))),
        "{out:?}"
    );
    assert!(step(&mut c, 800_000, &[Event::Arrived(request(9, 0))]).contains(&Action::Run(9)));
}

/// Runs that fail at once are no quick runs: they had the server look fast, its line long, and drew
/// more of the same.
#[test]
fn runs_that_fail_at_once_do_not_make_a_server_look_quick() {
    let s = Settings {
        downstream: Downstream::None,
        cores: 4.0,
        ..settings()
    };
    let mut c = Controller::new(s, 1);
    let mut id = 0;
    let mut play = |c: &mut Controller, outcome, took| {
        for _ in 0..40 {
            id += 1;
            step(
                c,
                id as Micros * 100_000,
                &[Event::Arrived(request(id, 0)), ticks(0)],
            );
            step(
                c,
                id as Micros * 100_000 + took,
                &[Event::Finished {
                    id,
                    elapsed: took,
                    outcome,
                }],
            );
        }
        c.status().completion_rate
    };
    let healthy = play(&mut c, Outcome::Success, 90_000);
    let failing = play(&mut c, Outcome::Error, 1_000);
    assert!(failing < 0.1 * healthy, "{failing} {healthy}");
}

/// Drawn settings (seed 110 of tests/settings.rs) with a window shorter than a request may be held:
/// its key was gone by its run, which the node then failed, though it had never run.
#[test]
fn a_key_lasts_for_as_long_as_its_request_may_be_held() {
    let free = Class {
        latency_objective: 4_000_000,
        deadline: 30_000_000,
        late_weight: 1.0,
        ..Class::default()
    };
    let keyed = Class {
        idempotency: Idempotency::Keyed,
        idempotency_window: 1_000_000,
        ..free.clone()
    };
    let s = Settings {
        classes: vec![free, keyed],
        downstream: Downstream::None,
        cores: 1.0,
        ..settings()
    };
    let mut c = Controller::new(s, 1);
    step(&mut c, 0, &[Event::Arrived(request(1, 0)), ticks(0)]);
    let out = step(&mut c, 0, &[Event::Arrived(request(2, 1))]);
    let kept = out.iter().find_map(|a| {
        if let Action::RetainKey(2, lifetime) = a {
            Some(*lifetime)
        } else {
            None
        }
    });
    assert_eq!(kept, Some(30_000_000), "{out:?}");
}
