//! Requests with idempotency keys take effect at most once, and reads can share an answer.

mod common;
use common::*;
use pipitlever_admission::{Action, Event, Request, Settings};

fn retains_key(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::RetainKey(..)))
}

#[test]
fn a_key_is_retained_before_its_request_runs_and_for_its_window() {
    let mut controller = controller(settings());
    let actions = step(&mut controller, 0, &[arrival(1, KEYED)]);
    let position = |wanted: Action| actions.iter().position(|a| *a == wanted);
    let retained = position(Action::RetainKey(1, 5_000_000)).expect("a retained key");
    let started = position(Action::Run(1)).expect("a started request");
    assert!(retained < started);
}

#[test]
fn a_duplicate_is_answered_from_its_original_and_never_rejected() {
    let mut controller = controller(settings());
    step(&mut controller, 0, &[arrival(1, KEYED)]);
    let duplicate = Request {
        duplicate_of: Some(1),
        is_retry: true,
        ..request(2, KEYED)
    };
    let actions = step(&mut controller, 1000, &[Event::Arrived(duplicate)]);
    assert!(actions.contains(&Action::ReuseOutcome(2)));
    assert!(!is_rejected(&actions, 2));
    assert!(!actions.contains(&Action::Run(2)));
    let late = step(&mut controller, 4_001_000, &[tick()]);
    assert!(late.contains(&Action::Fail(2)), "answered by its deadline");
}

#[test]
fn a_keyed_request_without_memory_for_its_key_is_rejected() {
    let mut controller = controller(Settings {
        memory_kb: 100.0,
        key_kb: 75.0,
        ..settings()
    });
    let actions = step(&mut controller, 0, &[arrival(1, KEYED)]);
    assert!(is_rejected(&actions, 1));
}

#[test]
fn the_key_of_a_request_that_never_ran_is_released() {
    let mut controller = controller(Settings {
        cores: 1.0,
        ..settings()
    });
    let actions = step(&mut controller, 0, &arrivals(1..=3, KEYED));
    assert_eq!(start_count(&actions), 1);
    let actions = step(&mut controller, 1_000_000, &[tick()]);
    for id in 2..=3 {
        assert!(is_rejected(&actions, id));
        assert!(actions.contains(&Action::ReleaseKey(id)));
    }
    assert!(!actions.contains(&Action::ReleaseKey(1)));
}

#[test]
fn reads_share_an_answer_only_where_that_is_enabled() {
    let read = Event::Arrived(Request {
        has_key: true,
        ..request(1, IDEMPOTENT)
    });
    let mut without_cache = controller(settings());
    let actions = step(&mut without_cache, 0, std::slice::from_ref(&read));
    assert!(!retains_key(&actions));
    let mut with_cache = controller(Settings {
        read_cache_ttl: 500_000,
        ..settings()
    });
    let actions = step(&mut with_cache, 0, &[read]);
    assert!(actions.iter().any(|a| matches!(a, Action::RetainKey(1, _))));
}
