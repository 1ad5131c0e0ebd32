//! The core alone: events in, effects out, no socket and no clock.

use super::memory_limits::{CONNECTION_BYTES, PROCESS_BYTES, REQUEST_BYTES};
use super::*;

const SECOND: Micros = 1_000_000;

pub fn core() -> Core {
    let class = |idempotency| Class {
        latency_objective: 2 * SECOND,
        deadline: 7 * SECOND,
        idempotency,
        idempotency_window: 20 * SECOND,
        makes_calls: true,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::Keyed)],
        cores: 2.0,
        downstream: Downstream::Tier,
        ..Settings::default()
    };
    let mut core = Core::new(
        settings,
        &["free".into(), "keyed".into()],
        7,
        2000,
        4096,
        MemoryLimits::for_process(192 << 20, 960),
    );
    core.start(SECOND, 0, false);
    core
}

/// A request that arrives now and is waited for five seconds.
pub fn incoming(reference: Reference, now: Micros, key: Option<&str>) -> IncomingRequest {
    IncomingRequest {
        reference,
        tenant: None,
        sender: None,
        origin: Origin {
            connection: 1,
            request_number: reference,
        },
        class: usize::from(key.is_some()),
        arrived_at: now,
        deadline: Some(now + 5 * SECOND),
        cost: None,
        memory_kb: 10.0,
        priority: 0.9,
        is_retry: false,
        idempotency_key: key.map(Rc::from),
        body: Rc::from(*b"body"),
        payload_digest: 1,
    }
}

fn begun(effects: &[Effect]) -> Vec<Reference> {
    let begin = |e: &Effect| {
        if let Effect::StartRun { reference: r, .. } = e {
            Some(*r)
        } else {
            None
        }
    };
    effects.iter().filter_map(begin).collect()
}

fn answers(effects: &[Effect]) -> Vec<(Reference, Answer)> {
    let answer = |e: &Effect| {
        if let Effect::Answer {
            origin: o,
            answer: a,
        } = e
        {
            Some((o.request_number, a.clone()))
        } else {
            None
        }
    };
    effects.iter().filter_map(answer).collect()
}

/// Fills the cores, so that what comes next is held.
pub fn busy(core: &mut Core) {
    let mut reference = 1000;
    loop {
        core.handle_request(SECOND, incoming(reference, SECOND, None));
        if begun(&core.effects()).is_empty() {
            return core.handle_abandoned(SECOND, reference);
        }
        reference += 1;
    }
}

/// Turned away within a millisecond and asked again at once, calls once came to 30,000 a second.
#[test]
fn the_module_hears_of_a_call_that_was_turned_away_a_round_later() {
    for outcome in [Outcome::Rejected, Outcome::Unreachable, Outcome::Reset] {
        let mut core = core();
        core.handle_request(SECOND, incoming(1, SECOND, None));
        core.handle_call_requested(SECOND, 1, Rc::from([]));
        let call = |core: &mut Core| {
            core.effects()
                .iter()
                .filter(|e| matches!(e, Effect::PlaceCall { .. }))
                .count()
        };
        assert_eq!(call(&mut core), 1);
        core.handle_call_finished(SECOND + 100, 1, outcome, Rc::from([]));
        assert_eq!(call(&mut core), 0);
        core.handle_wakeup(SECOND + 2099);
        assert_eq!(call(&mut core), 0);
        assert!(core.next_wakeup().is_some_and(|at| at == SECOND + 2100));
        core.handle_wakeup(SECOND + 2100);
        assert_eq!(call(&mut core), 1, "{outcome:?}");
    }
}

/// Failing the repeat along with it would promise nothing, though neither ever ran.
#[test]
fn a_repeat_of_a_try_that_is_dropped_unrun_stands_on_its_own() {
    let mut core = core();
    busy(&mut core);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
    core.handle_request(SECOND, incoming(3, SECOND, Some("k")));
    core.handle_abandoned(SECOND, 1);
    assert_eq!(answers(&core.effects()), []);
    let mut runs: Vec<Reference> = Vec::new();
    for reference in 1000.. {
        if !core.contains_request(reference) {
            break;
        }
        core.handle_run_finished(
            SECOND + 10,
            reference,
            RunOutcome::Completed,
            10,
            Rc::from([]),
        );
        runs.extend(begun(&core.effects()));
    }
    // One of the two runs, and both get its result.
    assert_eq!(runs, [2]);
    core.handle_run_finished(
        SECOND + 20,
        2,
        RunOutcome::Completed,
        10,
        Rc::from(*b"once"),
    );
    let once = Answer::Served(Rc::from(*b"once"));
    assert_eq!(answers(&core.effects()), [(2, once.clone()), (3, once)]);
}

#[test]
fn a_key_runs_once_within_its_window_whatever_became_of_the_run() {
    let failed = Answer::Failed { timed_out: false };
    let served = Answer::Served(Rc::from(*b"r"));
    let refused = Answer::Rejected {
        retry_after: FULL_COOLDOWN,
        no_retry: false,
    };
    let cases = [
        (RunOutcome::Completed, served, false),
        (RunOutcome::Failed, failed.clone(), false),
        (RunOutcome::Aborted, failed, false),
        (RunOutcome::NotStarted, refused, true),
    ];
    for (end, answer, runs_again) in cases {
        let mut core = core();
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        core.handle_run_finished(SECOND + 10, 1, end, 10, Rc::from(*b"r"));
        assert_eq!(answers(&core.effects()), [(1, answer.clone())]);
        // To the end of the window, counted from the arrival of the try that ran; then anew.
        core.handle_wakeup(21 * SECOND);
        core.handle_request(21 * SECOND, incoming(2, 21 * SECOND, Some("k")));
        let effects = core.effects();
        assert_eq!(begun(&effects).len(), usize::from(runs_again), "{end:?}");
        assert_eq!(answers(&effects).len(), usize::from(!runs_again), "{end:?}");
        core.handle_wakeup(42 * SECOND);
        core.handle_request(42 * SECOND, incoming(3, 42 * SECOND, Some("k")));
        assert_eq!(begun(&core.effects()), [3], "{end:?}");
    }
}

#[test]
fn a_repeat_read_late_still_counts_by_when_it_came() {
    let mut core = core();
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.handle_run_finished(SECOND + 10, 1, RunOutcome::Completed, 10, Rc::from(*b"r"));
    core.effects();
    // It came within the window, and is read a second after.
    core.handle_wakeup(22 * SECOND);
    let late = IncomingRequest {
        arrived_at: 20 * SECOND,
        ..incoming(2, 22 * SECOND, Some("k"))
    };
    core.handle_request(22 * SECOND, late);
    assert_eq!(
        answers(&core.effects()),
        [(2, Answer::Served(Rc::from(*b"r")))]
    );
}

#[test]
fn a_full_table_refuses_new_keys_and_forgets_none() {
    let mut core = core();
    // Room for one entry, once its result is there.
    core.keys = keys::Keys::new(512 + 4096, 4096, SECOND);
    core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
    core.handle_run_finished(SECOND + 10, 1, RunOutcome::Completed, 10, Rc::from(*b"r"));
    core.effects();
    core.handle_request(2 * SECOND, incoming(2, 2 * SECOND, Some("other")));
    core.handle_request(2 * SECOND, incoming(3, 2 * SECOND, Some("k")));
    core.handle_request(2 * SECOND, incoming(4, 2 * SECOND, None));
    let effects = core.effects();
    let refused = Answer::Rejected {
        retry_after: FULL_COOLDOWN,
        no_retry: false,
    };
    assert_eq!(
        answers(&effects),
        [(2, refused), (3, Answer::Served(Rc::from(*b"r")))]
    );
    assert_eq!(begun(&effects), [4]);
}

#[test]
fn each_request_is_answered_once_and_everything_is_given_back() {
    let mut core = core();
    core.handle_request(SECOND, incoming(1, SECOND, None));
    core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
    core.effects();
    core.handle_wakeup(6 * SECOND);
    let due = answers(&core.effects());
    assert_eq!(due.len(), 2, "both are due: {due:?}");
    assert!(
        due.iter()
            .all(|(_, a)| *a == Answer::Failed { timed_out: true }),
        "{due:?}"
    );
    // The runs end later, and a caller that leaves later still changes nothing.
    core.handle_abandoned(6 * SECOND, 1);
    core.handle_run_finished(7 * SECOND, 1, RunOutcome::Completed, 10, Rc::from([]));
    core.handle_run_finished(7 * SECOND, 2, RunOutcome::Completed, 10, Rc::from([]));
    core.handle_run_finished(7 * SECOND, 2, RunOutcome::Completed, 10, Rc::from([]));
    assert_eq!(answers(&core.effects()), []);
    assert_eq!(
        (
            core.unanswered(),
            core.table_sizes().requests,
            core.taken,
            core.by_reference.len()
        ),
        (0, 0, 0, 0)
    );
    // Only the module's own timer is left to wake for.
    assert!(
        core.wakes
            .iter()
            .all(|w| matches!(w.1, Wake::Timer(_) | Wake::Gauges)),
        "{:?}",
        core.wakes
    );
    assert_eq!(core.counters.failed, 2);
}

/// The bounds were once 104 MB whatever the limit, which is 32 MB on some days.
#[test]
fn all_that_is_kept_fits_the_limit_on_memory() {
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
        } = MemoryLimits::for_process(memory, connections);
        let all = PROCESS_BYTES + connections * CONNECTION_BYTES + requests + keys + answers;
        assert!(all <= memory && all > memory * 8 / 10, "{all} of {memory}");
    }
    let mut core = core();
    (core.most_taken, core.keys) = (
        2 * (REQUEST_BYTES + 4),
        keys::Keys::new(8 << 10, 4096, SECOND),
    );
    for reference in 1..=3 {
        core.handle_request(SECOND, incoming(reference, SECOND, None));
    }
    let refused = Answer::Rejected {
        retry_after: FULL_COOLDOWN,
        no_retry: false,
    };
    assert_eq!(answers(&core.effects()), [(3, refused.clone())]);
    core.handle_run_finished(SECOND, 1, RunOutcome::Completed, 10, Rc::from([]));
    core.handle_run_finished(SECOND, 2, RunOutcome::Completed, 10, Rc::from([]));
    core.effects();
    // Small results leave room for more keys; those whose results aren't there yet may still be
    // long.
    let mut taken = 0;
    for reference in 10.. {
        let key = reference.to_string();
        core.handle_request(SECOND, incoming(reference, SECOND, Some(&key)));
        if answers(&core.effects()) == [(reference, refused.clone())] {
            break;
        }
        core.handle_run_finished(
            SECOND,
            reference,
            RunOutcome::Completed,
            10,
            Rc::from([7; 100]),
        );
        assert_eq!(
            answers(&core.effects()),
            [(reference, Answer::Served(Rc::from([7; 100])))]
        );
        taken += 1;
    }
    assert_eq!(taken, ((8 << 10) - 512 - 4096) / 612 + 1);
    // All of it is given back with the window.
    core.handle_wakeup(60 * SECOND);
    assert!(core.keys.len() == 0 && !core.keys.full() && core.taken == 0);
}

mod store {
    use super::*;
    use pipitlever_idempotency_store::commit_queue::{
        CommitQueue, CommitQueueConfig, SYNC_TIMEOUT,
    };
    use pipitlever_idempotency_store::record::{self, Intent};
    use pipitlever_idempotency_store::recovery::Recovered;

    /// A core with a store, and keys that it has brought over a restart.
    fn stored(wait: bool, suspect: Option<Micros>, found: Vec<Recovered>) -> Core {
        let mut core = core();
        let rules = CommitQueueConfig {
            capacity: 1 << 20,
            compaction_reserve: 1 << 16,
            max_result_bytes: 4096,
            sync_each_record: false,
        };
        let gate = CommitQueue::new(rules, 0, suspect, 1 << 32);
        core.attach_store(RunStore::new(gate, 1000 * SECOND, wait, suspect), found);
        core
    }

    fn found(reference: Reference, kept: Option<record::Outcome>) -> Recovered {
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
        Recovered {
            intent,
            window_end: 20 * SECOND,
            outcome: kept,
        }
    }

    fn served(bytes: &[u8]) -> Answer {
        Answer::Served(Rc::from(bytes))
    }

    #[test]
    fn a_run_begins_once_its_intent_is_on_the_disk() {
        let mut core = stored(false, None, vec![]);
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        // A read waits for nothing.
        core.handle_request(SECOND, incoming(2, SECOND, None));
        assert_eq!(begun(&core.effects()), [2]);
        let batch = core.next_store_batch(SECOND).expect("its intent");
        assert_eq!(batch.expiries.len(), 1);
        core.handle_store_result(SECOND + 500, Ok(400));
        assert_eq!(begun(&core.effects()), [1]);
        core.handle_run_finished(
            2 * SECOND,
            1,
            RunOutcome::Completed,
            SECOND,
            Rc::from(*b"done"),
        );
        assert_eq!(answers(&core.effects()), [(1, served(b"done"))]);
        assert_eq!(
            core.next_store_batch(2 * SECOND)
                .expect("its outcome")
                .expiries
                .len(),
            1
        );
        core.handle_store_result(2 * SECOND, Ok(500));
        assert!(core.is_store_idle());
    }

    #[test]
    fn an_answer_waits_for_its_outcome_where_that_is_asked() {
        let mut core = stored(true, None, vec![]);
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        core.next_store_batch(SECOND);
        core.handle_store_result(SECOND, Ok(400));
        core.effects();
        core.handle_run_finished(
            2 * SECOND,
            1,
            RunOutcome::Completed,
            SECOND,
            Rc::from(*b"done"),
        );
        // Told twice by the processor's new link: the same end.
        core.handle_run_finished(
            2 * SECOND,
            1,
            RunOutcome::Completed,
            SECOND,
            Rc::from(*b"done"),
        );
        core.handle_request(2 * SECOND, incoming(2, 2 * SECOND, Some("k")));
        assert_eq!(answers(&core.effects()), []);
        assert_eq!(
            core.next_store_batch(2 * SECOND)
                .expect("its outcome")
                .expiries
                .len(),
            1
        );
        core.handle_store_result(2 * SECOND, Ok(500));
        assert_eq!(
            answers(&core.effects()),
            [(1, served(b"done")), (2, served(b"done"))]
        );
        assert_eq!(core.table_sizes().requests, 0);
    }

    #[test]
    fn a_disk_that_fails_refuses_keys_and_no_reads() {
        let mut core = stored(false, None, vec![]);
        core.handle_request(SECOND, incoming(1, SECOND, Some("a")));
        core.next_store_batch(SECOND);
        core.handle_request(SECOND, incoming(2, SECOND, Some("b")));
        core.effects();
        core.handle_store_result(SECOND, Err("no space".into()));
        let refused = Answer::Rejected {
            retry_after: FULL_COOLDOWN,
            no_retry: false,
        };
        assert_eq!(
            answers(&core.effects()),
            [(1, refused.clone()), (2, refused.clone())]
        );
        core.handle_request(SECOND, incoming(3, SECOND, Some("c")));
        core.handle_request(SECOND, incoming(4, SECOND, None));
        let effects = core.effects();
        assert_eq!(
            (answers(&effects), begun(&effects)),
            (vec![(3, refused)], vec![4])
        );
        assert_eq!(
            core.store_status_change(SECOND).unwrap(),
            "store: keyed requests are refused: failing: no space"
        );
        // It is tried again, at a time that the core asks to be woken for.
        let mut at = SECOND;
        while core.next_store_batch(at).is_none() {
            at = core.next_wakeup().expect("it is tried again");
            core.handle_wakeup(at);
            assert!(at < 2 * SECOND);
        }
        core.handle_store_result(at, Ok(100));
        core.effects();
        core.handle_request(at, incoming(5, at, Some("a")));
        core.next_store_batch(at);
        core.handle_store_result(at, Ok(200));
        assert_eq!(begun(&core.effects()), [5]);
    }

    #[test]
    fn nobody_waits_for_a_slow_disk() {
        let mut core = stored(false, None, vec![]);
        core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
        core.next_store_batch(SECOND);
        // A repeat that joined it gets what it gets.
        core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
        core.effects();
        let late = SECOND + SYNC_TIMEOUT;
        assert!(core.next_wakeup().unwrap() <= late);
        core.handle_wakeup(late);
        let refused = Answer::Rejected {
            retry_after: FULL_COOLDOWN,
            no_retry: false,
        };
        assert_eq!(
            answers(&core.effects()),
            [(1, refused.clone()), (2, refused)]
        );
        core.handle_store_result(late + 1, Ok(400));
        assert!(begun(&core.effects()).is_empty());
        // That it never began is owed to the disk.
        assert_eq!(core.next_store_batch(late + 1).unwrap().expiries.len(), 1);
    }

    #[test]
    fn a_run_that_nobody_wants_any_more_never_begins() {
        let mut core = stored(false, None, vec![]);
        for (reference, key) in [(1, "a"), (2, "b")] {
            core.handle_request(SECOND, incoming(reference, SECOND, Some(key)));
        }
        core.handle_request(SECOND, incoming(3, SECOND, Some("b")));
        core.next_store_batch(SECOND);
        core.handle_abandoned(SECOND, 1);
        // The second's first caller has gone, and a repeat still waits for it.
        core.handle_abandoned(SECOND, 2);
        core.effects();
        core.handle_store_result(SECOND, Ok(400));
        assert_eq!(begun(&core.effects()), [2]);
        core.handle_request(SECOND, incoming(4, SECOND, Some("a")));
        core.next_store_batch(SECOND);
        core.handle_store_result(SECOND, Ok(500));
        assert_eq!(begun(&core.effects()), [4]);
    }

    #[test]
    fn what_was_recovered_is_told_and_not_run() {
        let cases = [
            (
                Some(record::Outcome::Served(b"done".to_vec())),
                served(b"done"),
            ),
            (
                Some(record::Outcome::Failed),
                Answer::Failed { timed_out: false },
            ),
            (
                None,
                Answer::Unknown {
                    retry_after: 19 * SECOND,
                },
            ),
        ];
        for (kept, wanted) in cases {
            let mut core = stored(false, None, vec![found(7, kept)]);
            assert!(core.is_key_conflict("k", SECOND, 2) && !core.is_key_conflict("k", SECOND, 1));
            core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
            assert_eq!(answers(&core.effects()), [(1, wanted)]);
            // Past its window it is a request like any other.
            let late = 21 * SECOND;
            core.handle_wakeup(late);
            core.handle_request(late, incoming(2, late, Some("k")));
            core.next_store_batch(late);
            core.handle_store_result(late, Ok(400));
            assert_eq!(begun(&core.effects()), [2]);
        }
    }

    #[test]
    fn the_end_of_an_earlier_run_is_learned() {
        let cases = [
            (RunOutcome::Completed, Some(served(b"done"))),
            (
                RunOutcome::Failed,
                Some(Answer::Failed { timed_out: false }),
            ),
            // The processor says that it never began: the repeat is the first to run.
            (RunOutcome::NotStarted, None),
        ];
        for (end, wanted) in cases {
            let mut core = stored(false, None, vec![found(7, None)]);
            core.handle_run_finished(SECOND, 7, end, SECOND, Rc::from(*b"done"));
            assert_eq!(
                core.next_store_batch(SECOND)
                    .expect("it is kept")
                    .expiries
                    .len(),
                1
            );
            core.handle_store_result(SECOND, Ok(100));
            // Once.
            core.handle_run_finished(
                SECOND,
                7,
                RunOutcome::Completed,
                SECOND,
                Rc::from(*b"again"),
            );
            core.handle_request(SECOND, incoming(1, SECOND, Some("k")));
            match wanted {
                Some(wanted) => assert_eq!(answers(&core.effects()), [(1, wanted)]),
                None => {
                    core.next_store_batch(SECOND);
                    core.handle_store_result(SECOND, Ok(200));
                    assert_eq!(begun(&core.effects()), [1]);
                }
            }
        }
    }

    #[test]
    fn damage_refuses_what_is_new_for_a_window() {
        let mut core = stored(
            false,
            Some(20 * SECOND),
            vec![found(7, Some(record::Outcome::Failed))],
        );
        core.handle_request(SECOND, incoming(1, SECOND, Some("other")));
        let [(1, Answer::Rejected { retry_after, .. })] = answers(&core.effects())[..] else {
            panic!("refused")
        };
        assert!(retry_after >= FULL_COOLDOWN);
        // What is known for certain is told.
        core.handle_request(SECOND, incoming(2, SECOND, Some("k")));
        assert_eq!(
            answers(&core.effects()),
            [(2, Answer::Failed { timed_out: false })]
        );
        core.handle_request(20 * SECOND, incoming(3, 20 * SECOND, Some("other")));
        core.next_store_batch(20 * SECOND);
        core.handle_store_result(20 * SECOND, Ok(200));
        assert_eq!(begun(&core.effects()), [3]);
    }
}

/// The module was told no tenant at all: one that flooded the fleet was worth as much as those
/// within their shares.
#[test]
fn a_tenant_beyond_its_share_is_worth_less() {
    let tenants = [1.0, 1000.0].map(|quota_rps| Tenant { quota_rps }).to_vec();
    let classes = vec![Class::default()];
    let settings = Settings {
        classes,
        tenants,
        over_quota_weight: 0.1,
        cores: 64.0,
        ..Settings::default()
    };
    let mut core = Core::new(
        settings,
        &["free".into()],
        7,
        2000,
        4096,
        MemoryLimits::for_process(192 << 20, 960),
    );
    core.start(SECOND, 0, false);
    let mut worth = |reference, tenant| {
        core.handle_request(
            SECOND,
            IncomingRequest {
                tenant,
                ..incoming(reference, SECOND, None)
            },
        );
        let id = core.by_reference[&reference];
        core.module
            .as_ref()
            .unwrap()
            .request_status(id)
            .expect("the cores take it")
            .priority
    };
    assert_eq!(worth(1, Some(0)), 0.9, "within its share");
    for reference in 2..30 {
        worth(reference, Some(0));
    }
    let (loud, quiet, unknown) = (worth(31, Some(0)), worth(32, Some(1)), worth(33, None));
    assert!(
        loud < 0.3 && quiet == 0.9 && unknown == 0.9,
        "{loud} {quiet} {unknown}"
    );
}
