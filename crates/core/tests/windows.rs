//! Idempotency windows over new configurations.

mod common;

use common::*;
use pipitlever_admission::{Micros, Settings};
use pipitlever_core::{Core, Reference, RunOutcome};
use std::rc::Rc;

const SHORT: Micros = 13 * SECOND;
const LONG: Micros = 20 * SECOND;

fn reconfigure(core: &mut Core, settings: Settings, names: &[Rc<str>]) {
    let assignments = core
        .classes
        .assign(names, |_, _| false, |index| core.is_class_in_use(index))
        .unwrap();
    core.reconfigure(settings, CALL_INTERVAL, names, &assignments);
}

fn set_window(core: &mut Core, window: Micros) {
    reconfigure(core, settings_with_window(window), &class_names());
}

fn finish(core: &mut Core, now: Micros, reference: Reference) {
    let outcome = RunOutcome::Completed;
    core.handle_run_finished(now, reference, outcome, 10, Rc::from(*b"once"));
}

/// Sends an attempt of the key `k` in the class that is the active `keyed` one. Returns whether it
/// was run.
fn is_run(core: &mut Core, now: Micros, reference: Reference) -> bool {
    let mut attempt = incoming(reference, now, Some("k"));
    attempt.class = core.classes.index_of("keyed").unwrap();
    core.handle_wakeup(now);
    core.handle_request(now, attempt);
    let effects = take_effects(core);
    let is_run = !started(&effects).is_empty();
    assert!(is_run || !answers(&effects).is_empty());
    is_run
}

/// Guards against a second run of a key after SIGHUP has made its window longer.
#[test]
fn longer_window_applies_to_keys_that_have_run() {
    // The key has run before the reload, and its old window ends after it or, within the time in
    // which a duplicate may still be read, before it.
    for reload_at in [2 * SECOND, 14 * SECOND, 15 * SECOND] {
        let mut core = core_with_window(SHORT);
        assert!(is_run(&mut core, SECOND, 1));
        finish(&mut core, SECOND, 1);
        take_effects(&mut core);
        core.handle_wakeup(reload_at);
        set_window(&mut core, LONG);
        assert!(!is_run(&mut core, SECOND + LONG, 2), "{reload_at}");
        // After the window in force, the key is new.
        assert!(is_run(&mut core, SECOND + LONG + 1, 3), "{reload_at}");
    }
}

#[test]
fn longer_window_applies_to_a_run_in_progress() {
    let mut core = core_with_window(SHORT);
    assert!(is_run(&mut core, SECOND, 1));
    set_window(&mut core, LONG);
    finish(&mut core, 3 * SECOND, 1);
    assert_eq!(answers(&take_effects(&mut core)), [(1, served(b"once"))]);
    assert!(!is_run(&mut core, SECOND + LONG, 2));
}

#[test]
fn longer_window_applies_to_a_request_that_was_queued_before_it() {
    let mut core = core_with_window(SHORT);
    fill_cores(&mut core);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
    set_window(&mut core, LONG);
    // The duplicate becomes a request of its own, under the definition that it arrived with.
    core.handle_abandoned(2 * SECOND, 1);
    for reference in FIRST_FILLER.. {
        if !core.contains_request(reference) {
            break;
        }
        finish(&mut core, 2 * SECOND, reference);
    }
    assert!(started(&take_effects(&mut core)).contains(&2));
    finish(&mut core, 2 * SECOND, 2);
    take_effects(&mut core);
    assert!(!is_run(&mut core, 2 * SECOND + LONG, 3));
}

#[test]
fn shorter_window_leaves_the_windows_of_earlier_keys() {
    let mut core = core_with_window(LONG);
    assert!(is_run(&mut core, SECOND, 1));
    finish(&mut core, SECOND, 1);
    take_effects(&mut core);
    set_window(&mut core, SHORT);
    assert!(!is_run(&mut core, SECOND + LONG, 2));
    assert!(is_run(&mut core, SECOND + LONG + 1, 3));
}

#[test]
fn longer_window_applies_to_keys_of_a_class_that_returns() {
    let mut core = core_with_window(SHORT);
    assert!(is_run(&mut core, SECOND, 1));
    finish(&mut core, SECOND, 1);
    take_effects(&mut core);
    let mut alone = settings_with_window(SHORT);
    alone.classes.truncate(1);
    reconfigure(&mut core, alone, &class_names()[..1]);
    set_window(&mut core, LONG);
    assert!(!is_run(&mut core, SECOND + LONG, 2));
}
