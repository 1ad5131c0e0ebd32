//! Keyed runs of a core with a store.

mod common;

use common::*;
use pipitlever_admission::Micros;
use pipitlever_core::{Answer, Core, Reference, RunOutcome, RunStore};
use pipitlever_idempotency_store::class_windows::ClassWindows;
use pipitlever_idempotency_store::commit_queue::{CommitQueue, CommitQueueConfig, SYNC_TIMEOUT};
use pipitlever_idempotency_store::record::{Intent, Outcome};
use pipitlever_idempotency_store::recovery::RecoveredKey;
use std::rc::Rc;

/// The machine's uptime at the start of the node's clock.
const UPTIME: Micros = 1000 * SECOND;

/// A core with a store, from which these keys were recovered after a restart.
fn core_with_store(
    waits_for_outcome: bool,
    damage_ends_at: Option<Micros>,
    recovered: Vec<RecoveredKey>,
) -> Core {
    let mut core = core();
    let config = CommitQueueConfig {
        capacity: 1 << 20,
        compaction_reserve: 1 << 16,
        max_result_bytes: MAX_RESULT_BYTES,
        sync_each_record: false,
    };
    let commit_queue = CommitQueue::new(config, 0, damage_ends_at, 1 << 32);
    let store = RunStore::new(
        commit_queue,
        ClassWindows::from_iter([("keyed".to_owned(), 20 * SECOND)]),
        UPTIME,
        waits_for_outcome,
        damage_ends_at,
    );
    core.attach_store(store, recovered);
    core
}

fn recovered(reference: Reference, outcome: Option<Outcome>) -> RecoveredKey {
    let intent = Intent {
        id: 5,
        reference,
        key: "k".into(),
        class: "swap".into(),
        payload_digest: 1,
        arrived_at: 0,
        window: 20 * SECOND,
        expires_at: 1030 * SECOND,
        read_grace: 10 * SECOND,
    };
    RecoveredKey {
        intent,
        window_end: 20 * SECOND,
        outcome,
    }
}

/// The number of records in the next batch for the disk.
fn next_batch_records(core: &mut Core, now: Micros) -> usize {
    core.next_store_batch(now).expect("a batch").expiries.len()
}

/// Reports a run that took a second and completed.
fn complete(core: &mut Core, now: Micros, reference: Reference, result: &[u8]) {
    let outcome = RunOutcome::Completed;
    core.handle_run_finished(now, reference, outcome, SECOND, Rc::from(result));
}

#[test]
fn run_starts_once_its_intent_is_on_the_disk() {
    let mut core = core_with_store(false, None, vec![]);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    // A request without a key does not wait for the disk.
    core.handle_request(SECOND, incoming(2, SECOND, None));
    assert_eq!(started(&take_effects(&mut core)), [2]);
    assert_eq!(next_batch_records(&mut core, SECOND), 1, "its intent");
    core.handle_store_result(SECOND + 500, Ok(400));
    assert_eq!(started(&take_effects(&mut core)), [1]);
    complete(&mut core, 2 * SECOND, 1, b"done");
    assert_eq!(answers(&take_effects(&mut core)), [(1, served(b"done"))]);
    assert_eq!(next_batch_records(&mut core, 2 * SECOND), 1, "its outcome");
    core.handle_store_result(2 * SECOND, Ok(500));
    assert!(core.is_store_idle());
}

#[test]
fn answer_waits_for_its_outcome_on_the_disk_if_configured() {
    let mut core = core_with_store(true, None, vec![]);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.next_store_batch(SECOND);
    core.handle_store_result(SECOND, Ok(400));
    take_effects(&mut core);
    complete(&mut core, 2 * SECOND, 1, b"done");
    // After a reconnection, the processor reports the same end again.
    complete(&mut core, 2 * SECOND, 1, b"done");
    core.handle_request(2 * SECOND, incoming(2, 2 * SECOND, Some("k")));
    assert_eq!(answers(&take_effects(&mut core)), []);
    assert_eq!(next_batch_records(&mut core, 2 * SECOND), 1, "its outcome");
    core.handle_store_result(2 * SECOND, Ok(500));
    assert_eq!(
        answers(&take_effects(&mut core)),
        [(1, served(b"done")), (2, served(b"done"))]
    );
    assert_eq!(core.table_sizes().requests, 0);
}

#[test]
fn failing_disk_rejects_keyed_requests_only() {
    let mut core = core_with_store(false, None, vec![]);
    core.handle_request(SECOND, incoming(1, SECOND, Some("a")));
    core.next_store_batch(SECOND);
    core.handle_request(SECOND, incoming(2, SECOND, Some("b")));
    take_effects(&mut core);
    core.handle_store_result(SECOND, Err(std::io::Error::other("no space")));
    assert_eq!(
        answers(&take_effects(&mut core)),
        [(1, overloaded()), (2, overloaded())]
    );
    core.handle_request(SECOND, incoming(3, SECOND, Some("c")));
    core.handle_request(SECOND, incoming(4, SECOND, None));
    let effects = take_effects(&mut core);
    assert_eq!(
        (answers(&effects), started(&effects)),
        (vec![(3, overloaded())], vec![4])
    );
    assert_eq!(
        core.store_status_change(SECOND).unwrap().to_string(),
        "store: keyed requests rejected reason=failing error=\"no space\""
    );
    // The write is retried at a time for which the core requests a wakeup.
    let mut at = SECOND;
    while core.next_store_batch(at).is_none() {
        at = core.next_wakeup().expect("the write is retried");
        core.handle_wakeup(at);
        assert!(at < 2 * SECOND);
    }
    core.handle_store_result(at, Ok(100));
    take_effects(&mut core);
    core.handle_request(at, incoming(5, at, Some("a")));
    core.next_store_batch(at);
    core.handle_store_result(at, Ok(200));
    assert_eq!(started(&take_effects(&mut core)), [5]);
}

#[test]
fn slow_disk_rejects_requests_after_a_time_limit() {
    let mut core = core_with_store(false, None, vec![]);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.next_store_batch(SECOND);
    // A duplicate that waits for the first attempt gets the same answer.
    core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
    take_effects(&mut core);
    let late = SECOND + SYNC_TIMEOUT;
    assert!(core.next_wakeup().unwrap() <= late);
    core.handle_wakeup(late);
    assert_eq!(
        answers(&take_effects(&mut core)),
        [(1, overloaded()), (2, overloaded())]
    );
    core.handle_store_result(late + 1, Ok(400));
    assert!(started(&take_effects(&mut core)).is_empty());
    assert_eq!(
        next_batch_records(&mut core, late + 1),
        1,
        "the run was not started"
    );
}

#[test]
fn abandoned_run_does_not_start_after_its_intent_is_written() {
    let mut core = core_with_store(false, None, vec![]);
    for (reference, key) in [(1, "a"), (2, "b")] {
        core.handle_request(SECOND, incoming(reference, SECOND, Some(key)));
    }
    core.handle_request(SECOND, incoming(3, SECOND, Some("b")));
    core.next_store_batch(SECOND);
    core.handle_abandoned(SECOND, 1);
    // The caller of request 2 disconnects too, but a duplicate still waits for the outcome.
    core.handle_abandoned(SECOND, 2);
    take_effects(&mut core);
    core.handle_store_result(SECOND, Ok(400));
    assert_eq!(started(&take_effects(&mut core)), [2]);
    core.handle_request(SECOND, incoming(4, SECOND, Some("a")));
    core.next_store_batch(SECOND);
    core.handle_store_result(SECOND, Ok(500));
    assert_eq!(started(&take_effects(&mut core)), [4]);
}

#[test]
fn recovered_key_is_answered_and_not_run() {
    let cases = [
        (Some(Outcome::Served(b"done".to_vec())), served(b"done")),
        (Some(Outcome::Failed), Answer::Failed { timed_out: false }),
        (
            None,
            Answer::Unknown {
                retry_after: 19 * SECOND,
            },
        ),
    ];
    for (outcome, expected) in cases {
        let mut core = core_with_store(false, None, vec![recovered(7, outcome)]);
        assert!(core.is_key_conflict("k", SECOND, 2) && !core.is_key_conflict("k", SECOND, 1));
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        assert_eq!(answers(&take_effects(&mut core)), [(1, expected)]);
        // After its window, the key is handled as new.
        let late = 21 * SECOND;
        core.handle_wakeup(late);
        core.handle_request(late, incoming(2, late, Some("k")));
        core.next_store_batch(late);
        core.handle_store_result(late, Ok(400));
        assert_eq!(started(&take_effects(&mut core)), [2]);
    }
}

#[test]
fn end_of_an_earlier_run_replaces_the_unknown_outcome() {
    let cases = [
        (RunOutcome::Completed, Some(served(b"done"))),
        (
            RunOutcome::Failed,
            Some(Answer::Failed { timed_out: false }),
        ),
        // The earlier run was never started, so the duplicate runs.
        (RunOutcome::NotStarted, None),
    ];
    for (outcome, expected) in cases {
        let mut core = core_with_store(false, None, vec![recovered(7, None)]);
        core.handle_run_finished(SECOND, 7, outcome, SECOND, Rc::from(*b"done"));
        assert_eq!(next_batch_records(&mut core, SECOND), 1, "the outcome");
        core.handle_store_result(SECOND, Ok(100));
        // A second report has no effect.
        complete(&mut core, SECOND, 7, b"again");
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        match expected {
            Some(answer) => assert_eq!(answers(&take_effects(&mut core)), [(1, answer)]),
            None => {
                core.next_store_batch(SECOND);
                core.handle_store_result(SECOND, Ok(200));
                assert_eq!(started(&take_effects(&mut core)), [1]);
            }
        }
    }
}

#[test]
fn damaged_store_rejects_new_keys_for_a_window() {
    let key = recovered(7, Some(Outcome::Failed));
    let mut core = core_with_store(false, Some(20 * SECOND), vec![key]);
    core.handle_request(SECOND, incoming(1, SECOND, Some("other")));
    let [(1, Answer::Rejected { retry_after, .. })] = answers(&take_effects(&mut core))[..] else {
        panic!("a new key is rejected")
    };
    assert!(retry_after >= pipitlever_core::OVERLOAD_RETRY_AFTER);
    // A recovered key is answered.
    core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
    assert_eq!(
        answers(&take_effects(&mut core)),
        [(2, Answer::Failed { timed_out: false })]
    );
    core.handle_request(20 * SECOND, incoming(3, 20 * SECOND, Some("other")));
    core.next_store_batch(20 * SECOND);
    core.handle_store_result(20 * SECOND, Ok(200));
    assert_eq!(started(&take_effects(&mut core)), [3]);
}

/// Guards against records that the store drops although a reload has made their window longer.
#[test]
fn longer_window_extends_the_records_on_the_disk() {
    let mut core = core_with_store(false, None, vec![]);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.next_store_batch(SECOND);
    core.handle_store_result(SECOND, Ok(400));
    let mut set_window = |window: Micros| {
        let names = class_names();
        let assignments = core.classes.assign(&names, |_, _| false, |_| true).unwrap();
        core.reconfigure(
            settings_with_window(window),
            CALL_INTERVAL,
            &names,
            &assignments,
        );
        core.next_store_batch(2 * SECOND)
            .map(|batch| (batch.extension, batch.expiries.len()))
    };
    assert_eq!(set_window(20 * SECOND), None);
    assert_eq!(set_window(30 * SECOND), Some((10 * SECOND, 0)));
    // The batch was not written, and its extension is part of the next one.
    core.handle_store_result(2 * SECOND, Err(std::io::Error::other("no space")));
    let mut at = 2 * SECOND;
    let batch = loop {
        at = core.next_wakeup().expect("the write is retried").max(at);
        core.handle_wakeup(at);
        if let Some(batch) = core.next_store_batch(at) {
            break batch;
        }
    };
    assert_eq!(batch.extension, 10 * SECOND);
}
