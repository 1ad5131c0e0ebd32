//! Requests, duplicates and calls in a core without a store.

mod common;

use common::*;
use pipitlever_admission::{Class, Outcome, Settings, Tenant};
use pipitlever_core::{
    Answer, Core, Effect, IncomingRequest, MemoryLimits, Reference, RunOutcome, CONNECTION_BYTES,
    PROCESS_BYTES, REQUEST_BYTES,
};
use std::rc::Rc;

/// Memory of an idempotency key beside its result, in bytes.
const KEY_BYTES: usize = 512;

/// Without the interval, a peer that rejected within a millisecond received 30,000 calls a second.
#[test]
fn rejected_call_is_retried_after_the_call_interval() {
    for outcome in [Outcome::Rejected, Outcome::Unreachable, Outcome::Reset] {
        let mut core = core();
        core.handle_request(SECOND, incoming(1, SECOND, None));
        core.handle_call_requested(SECOND, 1, Rc::from([]));
        let placed = |core: &mut Core| {
            take_effects(core)
                .iter()
                .filter(|effect| matches!(effect, Effect::PlaceCall { .. }))
                .count()
        };
        assert_eq!(placed(&mut core), 1);
        core.handle_call_finished(SECOND + 100, 1, outcome, Rc::from([]));
        assert_eq!(placed(&mut core), 0);
        core.handle_wakeup(SECOND + 2099);
        assert_eq!(placed(&mut core), 0);
        assert!(core.next_wakeup().is_some_and(|at| at == SECOND + 2100));
        core.handle_wakeup(SECOND + 2100);
        assert_eq!(placed(&mut core), 1, "{outcome:?}");
    }
}

/// Guards against failing the duplicate: `Failed` would not guarantee that the request did not run,
/// although neither attempt ran.
#[test]
fn duplicate_of_an_attempt_dropped_before_its_run_becomes_a_request_of_its_own() {
    let mut core = core();
    fill_cores(&mut core);
    for reference in 1..=3 {
        core.handle_request(SECOND, incoming(reference, SECOND, Some("k")));
    }
    core.handle_abandoned(SECOND, 1);
    assert_eq!(answers(&take_effects(&mut core)), []);
    let mut runs: Vec<Reference> = Vec::new();
    for reference in FIRST_FILLER.. {
        if !core.contains_request(reference) {
            break;
        }
        let outcome = RunOutcome::Completed;
        core.handle_run_finished(SECOND + 10, reference, outcome, 10, Rc::from([]));
        runs.extend(started(&take_effects(&mut core)));
    }
    // One of the two duplicates runs, and both get its result.
    assert_eq!(runs, [2]);
    core.handle_run_finished(
        SECOND + 20,
        2,
        RunOutcome::Completed,
        10,
        Rc::from(*b"once"),
    );
    assert_eq!(
        answers(&take_effects(&mut core)),
        [(2, served(b"once")), (3, served(b"once"))]
    );
}

#[test]
fn key_runs_once_within_its_window_whatever_the_outcome() {
    let failed = Answer::Failed { timed_out: false };
    let cases = [
        (RunOutcome::Completed, served(b"r"), false),
        (RunOutcome::Failed, failed.clone(), false),
        (RunOutcome::Aborted, failed, false),
        (RunOutcome::NotStarted, overloaded(), true),
    ];
    for (outcome, answer, runs_again) in cases {
        let mut core = core();
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        core.handle_run_finished(SECOND + 10, 1, outcome, 10, Rc::from(*b"r"));
        assert_eq!(answers(&take_effects(&mut core)), [(1, answer.clone())]);
        // A duplicate at the end of the window, counted from the arrival of the attempt that ran.
        core.handle_wakeup(21 * SECOND);
        core.handle_request(21 * SECOND, incoming(2, 21 * SECOND, Some("k")));
        let effects = take_effects(&mut core);
        assert_eq!(
            started(&effects).len(),
            usize::from(runs_again),
            "{outcome:?}"
        );
        assert_eq!(
            answers(&effects).len(),
            usize::from(!runs_again),
            "{outcome:?}"
        );
        // After the window, an attempt with the key is a new request.
        core.handle_wakeup(42 * SECOND);
        core.handle_request(42 * SECOND, incoming(3, 42 * SECOND, Some("k")));
        assert_eq!(started(&take_effects(&mut core)), [3], "{outcome:?}");
    }
}

#[test]
fn duplicate_read_late_counts_by_its_arrival() {
    let mut core = core();
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.handle_run_finished(SECOND + 10, 1, RunOutcome::Completed, 10, Rc::from(*b"r"));
    take_effects(&mut core);
    // The duplicate arrived within the window and is read a second after the end of the window.
    core.handle_wakeup(22 * SECOND);
    let late = IncomingRequest {
        arrived_at: 20 * SECOND,
        ..incoming(2, 22 * SECOND, Some("k"))
    };
    core.handle_request(22 * SECOND, late);
    assert_eq!(answers(&take_effects(&mut core)), [(2, served(b"r"))]);
}

#[test]
fn full_key_table_rejects_new_keys_and_evicts_none() {
    let mut core = core();
    // Capacity for one entry with the largest possible result.
    let limits = MemoryLimits {
        keys: KEY_BYTES + MAX_RESULT_BYTES,
        ..default_limits()
    };
    core.set_memory_share(None, limits);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.handle_run_finished(SECOND + 10, 1, RunOutcome::Completed, 10, Rc::from(*b"r"));
    take_effects(&mut core);
    core.handle_request(2 * SECOND, incoming(2, 2 * SECOND, Some("other")));
    core.handle_request(2 * SECOND, incoming(3, 2 * SECOND, Some("k")));
    core.handle_request(2 * SECOND, incoming(4, 2 * SECOND, None));
    let effects = take_effects(&mut core);
    assert_eq!(answers(&effects), [(2, overloaded()), (3, served(b"r"))]);
    assert_eq!(started(&effects), [4]);
}

#[test]
fn each_request_is_answered_once_and_releases_everything() {
    let mut core = core();
    core.handle_request(SECOND, incoming(1, SECOND, None));
    core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
    take_effects(&mut core);
    core.handle_wakeup(6 * SECOND);
    let timed_out = answers(&take_effects(&mut core));
    assert_eq!(
        timed_out.len(),
        2,
        "both reach their deadline: {timed_out:?}"
    );
    assert!(
        timed_out
            .iter()
            .all(|(_, answer)| *answer == Answer::Failed { timed_out: true }),
        "{timed_out:?}"
    );
    // The runs end later. The disconnection of a caller that was already answered has no effect.
    core.handle_abandoned(6 * SECOND, 1);
    for reference in [1, 2, 2] {
        let outcome = RunOutcome::Completed;
        core.handle_run_finished(7 * SECOND, reference, outcome, 10, Rc::from([]));
    }
    assert_eq!(answers(&take_effects(&mut core)), []);
    assert_eq!(core.unanswered(), 0);
    let sizes = core.table_sizes();
    assert_eq!(
        (sizes.requests, sizes.request_bytes, sizes.references),
        (0, 0, 0)
    );
    // Only the controller's own timers remain.
    assert_eq!(sizes.request_timers, 0);
    assert_eq!(core.counters.failed, 2);
}

/// Guards against fixed limits: 104 MB in total exceeded the memory of machines with 32 MB.
#[test]
fn memory_limits_fit_the_process() {
    for (memory, connections) in [
        (32 << 20, 320),
        (48 << 20, 448),
        (128 << 20, 448),
        (192 << 20, 960),
    ] {
        let MemoryLimits {
            requests,
            keys,
            answers,
            incomplete,
        } = MemoryLimits::for_process(memory, connections);
        let tables = requests + keys + answers + incomplete;
        let all = PROCESS_BYTES + connections * CONNECTION_BYTES + tables;
        assert!(all <= memory && all > memory * 8 / 10, "{all} of {memory}");
    }
}

#[test]
fn requests_and_keys_beyond_the_memory_limits_are_rejected() {
    let mut core = core();
    let limits = MemoryLimits {
        requests: 2 * (REQUEST_BYTES + 4),
        keys: 8 << 10,
        ..default_limits()
    };
    core.set_memory_share(None, limits);
    for reference in 1..=3 {
        core.handle_request(SECOND, incoming(reference, SECOND, None));
    }
    assert_eq!(answers(&take_effects(&mut core)), [(3, overloaded())]);
    for reference in [1, 2] {
        let outcome = RunOutcome::Completed;
        core.handle_run_finished(SECOND, reference, outcome, 10, Rc::from([]));
    }
    take_effects(&mut core);
    // Until the result of a key is known, the key is accounted with the largest possible result.
    // Small results then leave capacity for more keys.
    let mut accepted = 0;
    for reference in 10.. {
        let key = reference.to_string();
        core.handle_request(SECOND, incoming(reference, SECOND, Some(&key)));
        if answers(&take_effects(&mut core)) == [(reference, overloaded())] {
            break;
        }
        let outcome = RunOutcome::Completed;
        core.handle_run_finished(SECOND, reference, outcome, 10, Rc::from([7; 100]));
        assert_eq!(
            answers(&take_effects(&mut core)),
            [(reference, served(&[7; 100]))]
        );
        accepted += 1;
    }
    let entry_bytes = KEY_BYTES + 100;
    assert_eq!(
        accepted,
        ((8 << 10) - KEY_BYTES - MAX_RESULT_BYTES) / entry_bytes + 1
    );
    // All memory is released after the window, so there is capacity again.
    core.handle_wakeup(60 * SECOND);
    let sizes = core.table_sizes();
    assert_eq!(
        (sizes.keys, sizes.key_bytes, sizes.request_bytes),
        (0, 0, 0)
    );
    core.handle_request(60 * SECOND, incoming(9, 60 * SECOND, Some("new")));
    assert_eq!(started(&take_effects(&mut core)), [9]);
}

/// Guards against requests passed to the controller without their tenant: a tenant beyond its quota
/// then had the same priority as tenants within their quotas.
#[test]
fn tenant_beyond_its_quota_loses_priority() {
    let tenants = [1.0, 1000.0].map(|quota_rps| Tenant { quota_rps }).to_vec();
    let settings = Settings {
        classes: vec![Class::default()],
        tenants,
        over_quota_weight: 0.1,
        cores: 64.0,
        ..Settings::default()
    };
    let mut core = core_with(settings, &["free".into()], default_limits());
    core.start(SECOND, 0, false);
    let mut priority = |reference, tenant| {
        let request = IncomingRequest {
            tenant,
            ..incoming(reference, SECOND, None)
        };
        core.handle_request(SECOND, request);
        let status = core.request_status(reference);
        status.expect("there are enough cores").priority
    };
    assert_eq!(priority(1, Some(0)), 0.9, "within its quota");
    for reference in 2..30 {
        priority(reference, Some(0));
    }
    let (over_quota, within_quota, without_tenant) = (
        priority(31, Some(0)),
        priority(32, Some(1)),
        priority(33, None),
    );
    assert!(
        over_quota < 0.3 && within_quota == 0.9 && without_tenant == 0.9,
        "{over_quota} {within_quota} {without_tenant}"
    );
}
