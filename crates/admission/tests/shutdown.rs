//! Graceful shutdown.

mod common;
use common::*;
use pipitlever_admission::{Action, Controller, Event, Request};

/// A controller with one running request that received a shutdown notice at time 0.
fn shutting_down() -> Controller {
    let mut controller = controller(settings());
    let notice = Event::ShutdownNotice(3_000_000);
    let actions = step(&mut controller, 0, &[arrival(1, NON_IDEMPOTENT), notice]);
    assert!(actions.contains(&Action::Health(false)));
    assert!(actions.contains(&Action::Backpressure(1.0)));
    controller
}

#[test]
fn arrivals_within_the_grace_period_can_run_and_later_ones_are_rejected() {
    let mut controller = shutting_down();
    let now = 1_010_000;
    let last = Request {
        queue_time: 10_000,
        ..request(2, NON_IDEMPOTENT)
    };
    let actions = step(&mut controller, now, &[Event::Arrived(last)]);
    assert!(actions.contains(&Action::Run(2)));
    let late = Request {
        queue_time: 9_999,
        ..request(3, NON_IDEMPOTENT)
    };
    let actions = step(&mut controller, now, &[Event::Arrived(late)]);
    assert!(is_rejected(&actions, 3));
}

#[test]
fn all_requests_are_answered_before_the_stop() {
    let mut settings = settings();
    settings.classes[NON_IDEMPOTENT].latency_objective = 4_000_000;
    let mut controller = controller(settings);
    let notice = Event::ShutdownNotice(3_000_000);
    step(&mut controller, 0, &[arrival(1, NON_IDEMPOTENT), notice]);
    let mut is_answered = false;
    for now in (0..3_000_000).step_by(20_000) {
        is_answered |= step(&mut controller, now, &[tick()]).contains(&Action::Fail(1));
    }
    assert!(is_answered);
}
