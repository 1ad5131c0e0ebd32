//! Effects happen once.

mod common;
use common::*;
use pipitlever_admission::*;

#[test]
fn a_keyed_request_is_kept_before_it_runs_and_for_its_window() {
    let mut c = Controller::new(settings(), 1);
    let out = step(&mut c, 0, &[Event::Arrived(request(1, 1))]);
    let keep = out
        .iter()
        .position(|a| *a == Action::RetainKey(1, 5_000_000))
        .expect("kept");
    let run = out.iter().position(|a| *a == Action::Run(1)).expect("run");
    assert!(keep < run);
}

#[test]
fn a_repeat_is_answered_from_the_first_and_never_refused() {
    let mut c = Controller::new(settings(), 1);
    step(&mut c, 0, &[Event::Arrived(request(1, 1))]);
    let repeat = Request {
        duplicate_of: Some(1),
        is_retry: true,
        ..request(2, 1)
    };
    let out = step(&mut c, 1000, &[Event::Arrived(repeat)]);
    assert!(
        out.contains(&Action::ReuseOutcome(2))
            && !refused(&out, 2)
            && !out.contains(&Action::Run(2))
    );
    let late = step(&mut c, 4_001_000, &[ticks(0)]);
    assert!(late.contains(&Action::Fail(2)), "answered at its due time");
}

#[test]
fn a_keyed_request_without_room_for_its_key_is_refused() {
    let s = Settings {
        memory_kb: 100.0,
        key_kb: 75.0,
        ..settings()
    };
    let mut c = Controller::new(s, 1);
    assert!(refused(
        &step(&mut c, 0, &[Event::Arrived(request(1, 1))]),
        1
    ));
}

#[test]
fn the_key_of_a_request_that_never_ran_is_dropped() {
    let mut c = Controller::new(
        Settings {
            cores: 1.0,
            ..settings()
        },
        1,
    );
    let events: Vec<Event> = (1..=3).map(|i| Event::Arrived(request(i, 1))).collect();
    let out = step(&mut c, 0, &events);
    assert_eq!(runs(&out), 1);
    let out = step(&mut c, 1_000_000, &[ticks(0)]);
    for id in 2..=3 {
        assert!(refused(&out, id) && out.contains(&Action::ReleaseKey(id)));
    }
    assert!(!out.contains(&Action::ReleaseKey(1)));
}

#[test]
fn fresh_reads_share_an_answer_only_where_allowed() {
    let mut c = Controller::new(settings(), 1);
    let r = Request {
        has_key: true,
        ..request(1, 0)
    };
    assert!(!step(&mut c, 0, &[Event::Arrived(r.clone())])
        .iter()
        .any(|a| matches!(a, Action::RetainKey(..))));
    let mut c = Controller::new(
        Settings {
            read_cache_ttl: 500_000,
            ..settings()
        },
        1,
    );
    assert!(step(&mut c, 0, &[Event::Arrived(r)])
        .iter()
        .any(|a| matches!(a, Action::RetainKey(1, _))));
}
