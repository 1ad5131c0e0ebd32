//! Idempotency windows over new configurations.

mod common;

use common::*;
use pipitlever_admission::{Micros, Settings};
use pipitlever_core::{Answer, Core, Reference, RunOutcome};
use pipitlever_hot_restart::message::{Message, OLDEST_VERSION};
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

/// An outcome that no process knows is advised to be retried at the end of the window.
#[test]
fn longer_window_moves_the_retry_advice_of_an_unknown_outcome() {
    let mut core = core_with_window(SHORT);
    assert!(is_run(&mut core, SECOND, 1));
    core.freeze_keys();
    let mut successor = core_with_window(SHORT);
    transfer_keys(&mut core, &mut successor);
    successor.resolve_orphaned_keys(SECOND);
    set_window(&mut successor, LONG);
    successor.handle_request(2 * SECOND, incoming(2, 2 * SECOND, Some("k")));
    let retry_after = LONG - SECOND;
    assert_eq!(
        answers(&take_effects(&mut successor)),
        [(2, Answer::Unknown { retry_after })]
    );
}

/// Guards against a second run of a key after a replacement whose new process has a longer window.
#[test]
fn longer_window_of_the_successor_applies_to_transferred_keys() {
    for is_finished_before in [true, false] {
        let mut core = core_with_window(SHORT);
        assert!(is_run(&mut core, SECOND, 1));
        if is_finished_before {
            finish(&mut core, SECOND, 1);
        }
        core.freeze_keys();
        let mut successor = core_with_window(LONG);
        transfer_keys(&mut core, &mut successor);
        finish(&mut core, SECOND, 1);
        transfer_keys(&mut core, &mut successor);
        assert!(!is_run(&mut successor, SECOND + LONG, 2));
        assert!(is_run(&mut successor, SECOND + LONG + 1, 3));
    }
}

/// Guards against a successor that keeps the window which a key had when it was transferred first.
#[test]
fn successor_is_told_of_a_longer_window() {
    let mut core = core_with_window(SHORT);
    assert!(is_run(&mut core, SECOND, 1));
    finish(&mut core, SECOND, 1);
    core.freeze_keys();
    let mut successor = core_with_window(SHORT);
    transfer_keys(&mut core, &mut successor);
    set_window(&mut core, LONG);
    transfer_keys(&mut core, &mut successor);
    assert!(!is_run(&mut successor, SECOND + LONG, 2));
}

/// A predecessor of an older build sends no origin of a window: its end is taken over.
#[test]
fn key_without_an_origin_keeps_the_window_of_its_predecessor() {
    let mut core = core_with_window(SHORT);
    assert!(is_run(&mut core, SECOND, 1));
    finish(&mut core, SECOND, 1);
    core.freeze_keys();
    let mut successor = core_with_window(LONG);
    while let Some(message) = core.next_key_update(0) {
        apply_key_update(&mut successor, SECOND, message.for_version(OLDEST_VERSION));
    }
    assert!(!is_run(&mut successor, SECOND + SHORT, 2));
    assert!(is_run(&mut successor, SECOND + SHORT + 1, 3));
}

/// Guards against a run of a key that was lost with another process, after a reload has made the
/// window longer in which its duplicates may arrive.
#[test]
fn longer_window_applies_to_lost_keys() {
    let mut core = core_with_window(SHORT);
    core.retries_are_marked = true;
    core.handle_keys_lost(SECOND);
    set_window(&mut core, LONG);
    let mut retry = incoming(1, SECOND + LONG, Some("k"));
    retry.class = core.classes.index_of("keyed").unwrap();
    retry.is_retry = true;
    core.handle_wakeup(SECOND + LONG + 5 * SECOND);
    core.handle_request(SECOND + LONG + 5 * SECOND, retry);
    let failed = Answer::Failed { timed_out: false };
    assert_eq!(answers(&take_effects(&mut core)), [(1, failed)]);
}

/// Sends all updates of keys to a successor.
fn transfer_keys(predecessor: &mut Core, successor: &mut Core) {
    while let Some(message) = predecessor.next_key_update(0) {
        apply_key_update(successor, SECOND, message);
    }
}

/// Applies a message of the predecessor, whose clock is that of the successor.
fn apply_key_update(successor: &mut Core, now: Micros, message: Message) {
    let (entry, origin) = match message {
        Message::Key(entry) => (entry, None),
        Message::KeyWithOrigin(entry, origin) => (entry, Some(origin)),
        message => panic!("not a key: {message:?}"),
    };
    successor.apply_transferred_key(now, entry, origin, 0);
}
