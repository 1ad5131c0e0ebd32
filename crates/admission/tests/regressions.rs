//! Regression tests, one for each failure that an incident or a test run showed.

mod common;
use common::*;
use pipitlever_admission::{
    Action, BackpressureKind, CancellationMode, Class, Controller, Downstream, Event, Idempotency,
    Micros, Outcome, Request, RequestId, Settings,
};
use std::collections::VecDeque;

/// Incident i44e1ba: slow servers left requests unread for seconds while their start queue was
/// short, so that callers got no backpressure. Unread requests have to raise the level.
#[test]
fn long_read_delays_raise_the_backpressure_level() {
    let highest_level = |queue_time: Micros| {
        let mut controller = controller(Settings {
            downstream: Downstream::None,
            cores: 1.0,
            ..settings()
        });
        let mut highest: f64 = 0.0;
        for id in 0..200 {
            let arrival = Event::Arrived(Request {
                queue_time,
                ..request(id, (id % 3) as usize)
            });
            let now = 2_000_000 + id as Micros * 40_000;
            let mut actions = step(&mut controller, now, &[arrival, tick()]);
            if actions.contains(&Action::Run(id)) {
                let ended = succeeded(id, 100_000);
                actions.extend(step(&mut controller, now + 30_000, &[ended]));
            }
            for action in &actions {
                if let Action::Backpressure(level) = action {
                    highest = highest.max(*level);
                }
            }
        }
        highest
    };
    let (prompt, delayed) = (highest_level(0), highest_level(800_000));
    assert!(prompt == 0.0 && delayed > 0.0, "{prompt} {delayed}");
}

/// Call latencies spread widely: the best latency must not be an outlier that makes ordinary ones
/// look slow.
#[test]
fn ordinary_variation_of_call_latency_does_not_lower_the_limit() {
    const LATENCIES: [Micros; 6] = [10_000, 20_000, 60_000, 90_000, 150_000, 300_000];
    let mut controller = controller(Settings {
        cores: 40.0,
        memory_kb: 1e6,
        ..settings()
    });
    let mut now = 0;
    for (id, latency) in (1..=300).zip(LATENCIES.into_iter().cycle()) {
        step(&mut controller, now, &[arrival(id, NON_IDEMPOTENT)]);
        let actions = step(&mut controller, now + 1000, &[Event::NeedsCall(id)]);
        assert!(!placed_calls(&actions).is_empty(), "call {id} had to wait");
        now += latency + 1000;
        let ended = call_ended(id, latency, Outcome::Success);
        step(&mut controller, now, &[ended]);
        step(&mut controller, now, &[succeeded(id, latency + 1000)]);
        now += 200_000;
    }
}

/// A server whose cores are all busy and stalled.
struct StalledServer {
    controller: Controller,
    now: Micros,
    /// The actions since the last requests arrived.
    actions: Vec<Action>,
}

/// A keyed request that runs on the stalled server.
const STALLED_KEYED: RequestId = 81;

/// Settings of the second deployment (`docs/deployments.md` lists the deployments).
fn stalled_server_settings() -> Settings {
    let idempotent = Class {
        latency_objective: 1_000_000,
        deadline: 4_000_000,
        ..Class::default()
    };
    let keyed = Class {
        idempotency: Idempotency::Keyed,
        idempotency_window: 5_000_000,
        ..idempotent.clone()
    };
    Settings {
        classes: vec![idempotent, keyed],
        cores: 4.0,
        max_retry_after: 1_000_000,
        downstream: Downstream::None,
        cancellation: CancellationMode::Abort,
        backpressure: BackpressureKind::Threshold,
        ..settings()
    }
}

/// Simulates a server for four seconds, and then for 0.9 seconds in which no run ends.
fn stalled_server() -> StalledServer {
    let mut controller = controller(stalled_server_settings());
    let mut now = 0;
    let mut running = VecDeque::new();
    for id in 1..STALLED_KEYED {
        now = (id as Micros - 1) * 50_000;
        step(&mut controller, now, &[arrival(id, IDEMPOTENT), tick()]);
        running.push_back((id, now));
        if running.len() == 4 {
            let (id, started_at) = running.pop_front().unwrap();
            step(&mut controller, now, &[succeeded(id, now - started_at)]);
        }
    }
    // The keyed request occupies the last core, and an idempotent one is queued.
    let mut actions = Vec::new();
    for (id, class) in [(STALLED_KEYED, KEYED), (STALLED_KEYED + 1, IDEMPOTENT)] {
        actions.extend(step(&mut controller, now, &[arrival(id, class)]));
    }
    let status = controller.status();
    assert!(status.running >= 4 && status.queued == 1, "{status:?}");
    let stalled_at = now;
    while now < stalled_at + 900_000 {
        now += 20_000;
        actions.extend(step(&mut controller, now, &[tick()]));
    }
    StalledServer {
        controller,
        now,
        actions,
    }
}

/// Stalled servers of the second deployment admitted a whole queue of requests per latency
/// objective and lost them all: 15 to 20 requests a second that others could have served. They are
/// rejected while there is time left, with advice to wait before the retry.
#[test]
fn stalled_cores_reject_all_requests_that_others_can_serve() {
    let StalledServer {
        mut controller,
        now,
        actions,
    } = stalled_server();
    let rejections: Vec<&Action> = actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .collect();
    // The queued request and the running idempotent ones. The keyed one can still end, and its
    // duplicates need its outcome.
    assert_eq!(rejections.len(), 4, "{actions:?}");
    let allows_retry = |a: &&Action| matches!(a, Action::Reject { no_retry, .. } if !no_retry);
    assert!(rejections.iter().all(allows_retry), "{rejections:?}");
    assert!(
        actions.contains(&Action::Backpressure(1.0)),
        "callers that follow it send no requests: {actions:?}"
    );
    assert_eq!(controller.status().queued, 0);
    assert!(controller.request_status(STALLED_KEYED).is_some());
    let actions = step(&mut controller, now, &[arrival(900, IDEMPOTENT)]);
    let Some(Action::Reject {
        retry_after,
        no_retry: false,
        ..
    }) = actions.first()
    else {
        panic!("{actions:?}")
    };
    assert!(
        (500_000..=1_000_000).contains(retry_after),
        "spread, so that callers do not return at the same time: {retry_after}"
    );
}

/// Once a run ends, the server admits requests again at its former rate: the duration of a stall
/// is not part of the run time.
#[test]
fn the_completion_rate_is_the_same_after_a_stall() {
    let StalledServer {
        mut controller,
        now,
        ..
    } = stalled_server();
    let before = controller.status().completion_rate;
    let actions = step(&mut controller, now, &[succeeded(STALLED_KEYED, 950_000)]);
    assert!(actions.is_empty(), "{actions:?}");
    let actions = step(&mut controller, now, &[arrival(900, IDEMPOTENT)]);
    assert!(actions.contains(&Action::Run(900)), "{actions:?}");
    let after = controller.status().completion_rate;
    assert!(after > 0.8 * before, "{after} {before}");
}

/// Where runs wait for a disk or a call, the cores have capacity; a few slow runs are no stall.
#[test]
fn few_slow_runs_are_no_stall() {
    let mut controller = controller(Settings {
        downstream: Downstream::None,
        cores: 4.0,
        cancellation: CancellationMode::Abort,
        ..settings()
    });
    for id in 1..4 {
        step(&mut controller, 0, &[arrival(id, IDEMPOTENT), tick()]);
    }
    let mut actions = Vec::new();
    for i in 1..40 {
        actions.extend(step(&mut controller, i * 20_000, &[tick()]));
    }
    let ends_request = |a: &Action| matches!(a, Action::Reject { .. } | Action::Cancel(_));
    assert!(!actions.iter().any(ends_request), "{actions:?}");
    let actions = step(&mut controller, 800_000, &[arrival(9, IDEMPOTENT)]);
    assert!(actions.contains(&Action::Run(9)));
}

/// Runs that failed immediately made the server look fast, lengthened its queue and attracted more
/// requests.
#[test]
fn runs_that_fail_immediately_do_not_make_a_server_look_fast() {
    let mut controller = controller(Settings {
        downstream: Downstream::None,
        cores: 4.0,
        ..settings()
    });
    let mut rate_after = |ids: std::ops::RangeInclusive<RequestId>, outcome, elapsed: Micros| {
        for id in ids {
            let now = id as Micros * 100_000;
            step(&mut controller, now, &[arrival(id, IDEMPOTENT), tick()]);
            let ended = finished(id, elapsed, outcome);
            step(&mut controller, now + elapsed, &[ended]);
        }
        controller.status().completion_rate
    };
    let healthy = rate_after(1..=40, Outcome::Success, 90_000);
    let failing = rate_after(41..=80, Outcome::Error, 1_000);
    assert!(failing < 0.1 * healthy, "{failing} {healthy}");
}

/// Random settings (seed 110 of `tests/random_settings.rs`) had an idempotency window shorter than
/// the time that a request can be queued: the key expired before the run, which the node then
/// failed although it had never run.
#[test]
fn a_key_is_retained_for_as_long_as_its_request_can_be_queued() {
    let idempotent = Class {
        latency_objective: 4_000_000,
        deadline: 30_000_000,
        late_weight: 1.0,
        ..Class::default()
    };
    let keyed = Class {
        idempotency: Idempotency::Keyed,
        idempotency_window: 1_000_000,
        ..idempotent.clone()
    };
    let mut controller = controller(Settings {
        classes: vec![idempotent, keyed],
        downstream: Downstream::None,
        cores: 1.0,
        ..settings()
    });
    step(&mut controller, 0, &[arrival(1, IDEMPOTENT), tick()]);
    let actions = step(&mut controller, 0, &[arrival(2, KEYED)]);
    let lifetime = actions.iter().find_map(|action| match action {
        Action::RetainKey(2, lifetime) => Some(*lifetime),
        _ => None,
    });
    assert_eq!(lifetime, Some(30_000_000), "{actions:?}");
}
