//! Downstream calls: when they are placed, repeated and skipped, and the queue for them.

mod common;
use common::*;
use pipitlever_admission::{
    Action, Controller, Downstream, Event, Micros, Outcome, Request, RequestId, Settings,
};

const SECOND: Micros = 1_000_000;

/// A controller with request 1 in its call.
fn in_call(settings: Settings) -> Controller {
    let mut controller = controller(settings);
    step(&mut controller, 0, &[arrival(1, NON_IDEMPOTENT)]);
    let actions = step(&mut controller, 1000, &[Event::NeedsCall(1)]);
    assert_eq!(placed_calls(&actions).len(), 1);
    controller
}

fn needs_calls(ids: impl Iterator<Item = RequestId>) -> Vec<Event> {
    ids.map(Event::NeedsCall).collect()
}

#[test]
fn a_call_is_repeated_only_if_it_certainly_did_not_run() {
    let end_call = |outcome| {
        let mut controller = in_call(settings());
        step(&mut controller, 11_000, &[call_ended(1, 10_000, outcome)])
    };
    for outcome in [Outcome::Rejected, Outcome::Unreachable] {
        assert_eq!(placed_calls(&end_call(outcome)).len(), 1, "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset] {
        let actions = end_call(outcome);
        assert_eq!(placed_calls(&actions).len(), 0, "{outcome:?}");
        assert!(actions.contains(&Action::Fail(1)), "{outcome:?}");
    }
}

#[test]
fn a_failed_call_is_skipped_where_that_is_allowed() {
    let mut settings = settings();
    settings.classes[NON_IDEMPOTENT].skip_call_weight = 0.5;
    let mut controller = in_call(settings);
    let failed = call_ended(1, 10_000, Outcome::Error);
    assert!(step(&mut controller, 11_000, &[failed]).contains(&Action::SkipCall(1)));
}

/// If the time of a skipped call counted as core time, runs would look slower than they were and
/// too many requests would be rejected.
#[test]
fn the_time_of_a_skipped_call_is_not_core_time() {
    let call_time = 2 * SECOND;
    let thresholds_after = |outcome| {
        let mut settings = settings();
        settings.classes[NON_IDEMPOTENT].skip_call_weight = 0.5;
        let mut controller = in_call(settings);
        let call = call_ended(1, call_time, outcome);
        step(&mut controller, 1000 + call_time, &[call]);
        let elapsed = 2000 + call_time;
        step(&mut controller, elapsed, &[succeeded(1, elapsed)]);
        // With no request left, the thresholds follow from the mean core time.
        step(&mut controller, elapsed + SECOND, &[tick()]);
        Thresholds::of(&controller).as_array()
    };
    assert_eq!(
        thresholds_after(Outcome::Error),
        thresholds_after(Outcome::Success)
    );
}

#[test]
fn the_timeout_of_a_call_ends_at_the_deadline_of_its_request() {
    let mut controller = controller(settings());
    let with_timeout = Request {
        timeout: Some(400_000),
        ..request(1, NON_IDEMPOTENT)
    };
    step(&mut controller, 0, &[Event::Arrived(with_timeout)]);
    let actions = step(&mut controller, 100_000, &[Event::NeedsCall(1)]);
    assert!(actions.contains(&Action::PlaceCall(1, 300_000)));
}

#[test]
fn a_burst_of_calls_exceeds_the_limit_by_a_factor_of_two_at_most() {
    let mut controller = controller(Settings {
        cores: 20.0,
        memory_kb: 1e6,
        ..settings()
    });
    let actions = step(&mut controller, 0, &arrivals(1..=12, NON_IDEMPOTENT));
    assert_eq!(start_count(&actions), 12);
    let actions = step(&mut controller, 1000, &needs_calls(1..=12));
    // The limit starts at 0.4 of the share of five.
    assert_eq!(placed_calls(&actions).len(), 4);
}

/// Incident i7b0d52: with a small share, one call at a time on each server exceeded the shares of
/// all servers together.
#[test]
fn a_share_below_one_paces_single_calls() {
    let mut controller = controller(Settings {
        call_share: 0.5,
        cores: 20.0,
        memory_kb: 1e6,
        ..settings()
    });
    step(&mut controller, 0, &arrivals(1..=12, NON_IDEMPOTENT));
    let mut actions = step(&mut controller, 1000, &needs_calls(1..=12));
    let mut busy_intervals = 0;
    let mut in_call: Option<RequestId> = None;
    for now in (10_000..=900_000).step_by(10_000) {
        let placed = placed_calls(&actions).first().map(|(id, _)| *id);
        let ended = match in_call {
            Some(id) => call_ended(id, 10_000, Outcome::Success),
            None => tick(),
        };
        in_call = placed;
        busy_intervals += u32::from(in_call.is_some());
        let events = if in_call.is_some() {
            &[]
        } else {
            std::slice::from_ref(&ended)
        };
        actions = step(&mut controller, now, events);
    }
    assert!(
        busy_intervals > 0 && busy_intervals < 60,
        "calls were in flight in {busy_intervals} of 90 intervals"
    );
}

/// While calls are slow, requests that need one are rejected on arrival, and others are not.
#[test]
fn a_full_call_queue_rejects_only_requests_that_make_calls() {
    const CALL_TIME: Micros = 600_000;
    let mut settings = Settings {
        cores: 16.0,
        memory_kb: 1e6,
        call_share: 1.0,
        ..settings()
    };
    settings.classes[IDEMPOTENT].makes_calls = false;
    let mut controller = controller(settings);
    // The calls in flight, with the times at which they end.
    let mut in_call: Vec<(RequestId, Micros)> = Vec::new();
    let (mut rejected_calling, mut rejected_other) = (0, 0);
    for (calling, now) in (1..).step_by(2).zip((0..6 * SECOND).step_by(50_000)) {
        let other = calling + 1;
        let events = [
            arrival(calling, NON_IDEMPOTENT),
            arrival(other, IDEMPOTENT),
            tick(),
        ];
        let actions = step(&mut controller, now, &events);
        rejected_calling += u32::from(is_rejected(&actions, calling));
        rejected_other += u32::from(is_rejected(&actions, other));
        let mut events = Vec::new();
        if actions.contains(&Action::Run(calling)) {
            events.push(Event::NeedsCall(calling));
        }
        if actions.contains(&Action::Run(other)) {
            events.push(succeeded(other, 10_000));
        }
        let actions = step(&mut controller, now + 10_000, &events);
        let placed = placed_calls(&actions).into_iter();
        in_call.extend(placed.map(|(id, _)| (id, now + CALL_TIME)));
        let (ended, in_flight) = in_call.into_iter().partition(|(_, until)| *until <= now);
        in_call = in_flight;
        let ended: Vec<(RequestId, Micros)> = ended;
        let events: Vec<Event> = ended
            .iter()
            .map(|(id, _)| call_ended(*id, CALL_TIME, Outcome::Success))
            .collect();
        step(&mut controller, now + 20_000, &events);
    }
    assert!(
        rejected_calling > 20 && rejected_other == 0,
        "rejected {rejected_calling} calling and {rejected_other} other requests"
    );
}

/// A controller above a tier, and the time, after 300 short runs with one call of this latency
/// each.
fn above_a_tier(call_latency: Micros) -> (Controller, Micros) {
    let mut settings = Settings {
        downstream: Downstream::Tier,
        memory_kb: 1e6,
        ..settings()
    };
    settings.classes[NON_IDEMPOTENT].late_weight = 0.5;
    let mut controller = controller(settings);
    let mut now = 0;
    for id in 1..=300 {
        now += 10_000;
        step(&mut controller, now, &[arrival(id, NON_IDEMPOTENT)]);
        let actions = step(&mut controller, now + 1000, &[Event::NeedsCall(id)]);
        assert_eq!(placed_calls(&actions).len(), 1);
        let ended = call_ended(id, call_latency, Outcome::Success);
        step(&mut controller, now + 2000, &[ended]);
        step(&mut controller, now + 3000, &[succeeded(id, 3000), tick()]);
    }
    (controller, now + 5000)
}

/// In a fleet test under normal conditions, half of the rejections occurred while four requests
/// waited to start and a core became free every eighth of a second: the call queue, whose discard
/// threshold is at least four, counted them as if they waited for a call.
#[test]
fn a_burst_that_waits_to_start_does_not_fill_the_call_queue() {
    // With slow calls, the thresholds of the call queue are at their minimum.
    let (mut controller, now) = above_a_tier(2 * SECOND);
    let abatement = Thresholds::of(&controller).abatement;
    assert!(abatement > 8.0, "{abatement}");
    let mut id = 300;
    let mut is_next_rejected = || {
        id += 1;
        let actions = step(&mut controller, now, &[arrival(id, NON_IDEMPOTENT)]);
        is_rejected(&actions, id)
    };
    let running = 4;
    let burst = running + abatement as u64;
    let rejected = (0..burst).filter(|_| is_next_rejected()).count();
    assert_eq!(rejected, 0, "a burst of {burst}");
    // Beyond it the minimum discard threshold applies: four.
    let rejected = (0..20).filter(|_| is_next_rejected()).count();
    assert_eq!(rejected, 16);
}

/// In fleet tests with an upgrade, nearly all rejections occurred while four to twelve requests
/// waited for a call. At the rate at which calls ended, that was a wait of a few hundredths of a
/// second.
#[test]
fn the_queue_for_fast_calls_is_as_long_as_is_harmless() {
    let rejections = |call_latency| {
        let (mut controller, now) = above_a_tier(call_latency);
        // Repeated rejections reduce the limit to one call per core.
        step(&mut controller, now, &[arrival(301, NON_IDEMPOTENT)]);
        step(&mut controller, now, &[Event::NeedsCall(301)]);
        for i in 1..=60 {
            let rejected = call_ended(301, 1000, Outcome::Rejected);
            step(&mut controller, now + i * 2000, &[rejected]);
        }
        let now = now + 200_000;
        let mut rejections = 0;
        for id in 302..=312 {
            let actions = step(&mut controller, now, &[arrival(id, NON_IDEMPOTENT)]);
            if is_rejected(&actions, id) {
                rejections += 1;
            } else {
                step(&mut controller, now, &[Event::NeedsCall(id)]);
            }
        }
        let status = controller.status();
        assert_eq!(status.calls_in_flight, 4.0);
        assert_eq!(status.waiting_for_call, 12 - rejections);
        rejections
    };
    assert_eq!(rejections(2_000), 0, "eight may wait for calls of 2 ms");
    assert_eq!(
        rejections(2 * SECOND),
        4,
        "only four, the minimum, may wait for calls of 2 s"
    );
}
