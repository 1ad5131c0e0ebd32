//! Leaving.

mod common;
use common::*;
use pipitlever_admission::*;

fn leaving() -> Controller {
    let mut c = Controller::new(settings(), 1);
    let out = step(
        &mut c,
        0,
        &[
            Event::Arrived(request(1, 2)),
            Event::ShutdownNotice(3_000_000),
        ],
    );
    assert!(out.contains(&Action::Health(false)) && out.contains(&Action::Backpressure(1.0)));
    c
}

#[test]
fn what_arrives_within_the_grace_may_run_and_later_ones_are_refused() {
    let mut c = leaving();
    let edge = Request {
        queue_time: 10_000,
        ..request(2, 2)
    };
    assert!(step(&mut c, 1_010_000, &[Event::Arrived(edge)]).contains(&Action::Run(2)));
    let late = Request {
        queue_time: 9_999,
        ..request(3, 2)
    };
    assert!(refused(
        &step(&mut c, 1_010_000, &[Event::Arrived(late)]),
        3
    ));
}

#[test]
fn all_is_answered_before_the_stop() {
    let mut s = settings();
    s.classes[2].latency_objective = 4_000_000;
    let mut c = Controller::new(s, 1);
    step(
        &mut c,
        0,
        &[
            Event::Arrived(request(1, 2)),
            Event::ShutdownNotice(3_000_000),
        ],
    );
    let mut answered = false;
    for now in (0..3_000_000).step_by(20_000) {
        answered |= step(&mut c, now, &[ticks(0)]).contains(&Action::Fail(1));
    }
    assert!(answered);
}
