//! The core alone: events in, effects out, no socket and no clock.

use super::bounds::{CONNECTION, PROCESS, REQUEST};
use super::*;

const SECOND: Micros = 1_000_000;

pub fn core() -> Core {
    let class = |idempotency| Class {
        aim: 2 * SECOND,
        deadline: 7 * SECOND,
        idempotency,
        window: 20 * SECOND,
        calls: true,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class(Idempotency::Free), class(Idempotency::Keyed)],
        cores: 2.0,
        below: Below::Tier,
        ..Settings::default()
    };
    let mut core = Core::new(
        settings,
        &["free".into(), "keyed".into()],
        7,
        2000,
        4096,
        Bounds::within(192 << 20, 960),
    );
    core.up(SECOND, 0, false);
    core
}

/// A request that arrives now and is waited for five seconds.
pub fn incoming(reference: Reference, now: Micros, key: Option<&str>) -> Incoming {
    Incoming {
        reference,
        tenant: None,
        sender: None,
        origin: Origin {
            connection: 1,
            number: reference,
        },
        class: usize::from(key.is_some()),
        arrived: now,
        due: Some(now + 5 * SECOND),
        cost: None,
        memory_kb: 10.0,
        rank: 0.9,
        retry: false,
        key: key.map(Rc::from),
        body: Rc::from(*b"body"),
        payload: 1,
    }
}

fn begun(effects: &[Effect]) -> Vec<Reference> {
    let begin = |e: &Effect| {
        if let Effect::Begin(r, ..) = e {
            Some(*r)
        } else {
            None
        }
    };
    effects.iter().filter_map(begin).collect()
}

fn answers(effects: &[Effect]) -> Vec<(Reference, Answer)> {
    let answer = |e: &Effect| {
        if let Effect::Answer(o, a) = e {
            Some((o.number, a.clone()))
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
        core.arrived(SECOND, incoming(reference, SECOND, None));
        if begun(&core.effects()).is_empty() {
            return core.gone(SECOND, reference);
        }
        reference += 1;
    }
}

/// Turned away within a millisecond and asked again at once, calls once came to 30,000 a second.
#[test]
fn the_module_hears_of_a_call_that_was_turned_away_a_round_later() {
    for outcome in [Outcome::Busy, Outcome::Unreachable, Outcome::Reset] {
        let mut core = core();
        core.arrived(SECOND, incoming(1, SECOND, None));
        core.asked(SECOND, 1, Rc::from([]));
        let call = |core: &mut Core| {
            core.effects()
                .iter()
                .filter(|e| matches!(e, Effect::Call(..)))
                .count()
        };
        assert_eq!(call(&mut core), 1);
        core.call_ended(SECOND + 100, 1, outcome, Rc::from([]));
        assert_eq!(call(&mut core), 0);
        core.wake(SECOND + 2099);
        assert_eq!(call(&mut core), 0);
        assert!(core.next_wake().is_some_and(|at| at == SECOND + 2100));
        core.wake(SECOND + 2100);
        assert_eq!(call(&mut core), 1, "{outcome:?}");
    }
}

/// Failing the repeat along with it would promise nothing, though neither ever ran.
#[test]
fn a_repeat_of_a_try_that_is_dropped_unrun_stands_on_its_own() {
    let mut core = core();
    busy(&mut core);
    core.arrived(SECOND, incoming(1, SECOND, Some("k")));
    core.arrived(SECOND, incoming(2, SECOND, Some("k")));
    core.arrived(SECOND, incoming(3, SECOND, Some("k")));
    core.gone(SECOND, 1);
    assert_eq!(answers(&core.effects()), []);
    let mut runs: Vec<Reference> = Vec::new();
    for reference in 1000.. {
        if !core.knows(reference) {
            break;
        }
        core.run_ended(SECOND + 10, reference, End::Fine, 10, Rc::from([]));
        runs.extend(begun(&core.effects()));
    }
    // One of the two runs, and both get its result.
    assert_eq!(runs, [2]);
    core.run_ended(SECOND + 20, 2, End::Fine, 10, Rc::from(*b"once"));
    let once = Answer::Served(Rc::from(*b"once"));
    assert_eq!(answers(&core.effects()), [(2, once.clone()), (3, once)]);
}

#[test]
fn a_key_runs_once_within_its_window_whatever_became_of_the_run() {
    let failed = Answer::Failed { expired: false };
    let served = Answer::Served(Rc::from(*b"r"));
    let refused = Answer::Refused {
        cooldown: FULL_COOLDOWN,
        nowhere: false,
    };
    let cases = [
        (End::Fine, served, false),
        (End::Fault, failed.clone(), false),
        (End::BrokenOff, failed, false),
        (End::NeverRan, refused, true),
    ];
    for (end, answer, runs_again) in cases {
        let mut core = core();
        core.arrived(SECOND, incoming(1, SECOND, Some("k")));
        core.run_ended(SECOND + 10, 1, end, 10, Rc::from(*b"r"));
        assert_eq!(answers(&core.effects()), [(1, answer.clone())]);
        // To the end of the window, counted from the arrival of the try that ran; then anew.
        core.wake(21 * SECOND);
        core.arrived(21 * SECOND, incoming(2, 21 * SECOND, Some("k")));
        let effects = core.effects();
        assert_eq!(begun(&effects).len(), usize::from(runs_again), "{end:?}");
        assert_eq!(answers(&effects).len(), usize::from(!runs_again), "{end:?}");
        core.wake(42 * SECOND);
        core.arrived(42 * SECOND, incoming(3, 42 * SECOND, Some("k")));
        assert_eq!(begun(&core.effects()), [3], "{end:?}");
    }
}

#[test]
fn a_repeat_read_late_still_counts_by_when_it_came() {
    let mut core = core();
    core.arrived(SECOND, incoming(1, SECOND, Some("k")));
    core.run_ended(SECOND + 10, 1, End::Fine, 10, Rc::from(*b"r"));
    core.effects();
    // It came within the window, and is read a second after.
    core.wake(22 * SECOND);
    let late = Incoming {
        arrived: 20 * SECOND,
        ..incoming(2, 22 * SECOND, Some("k"))
    };
    core.arrived(22 * SECOND, late);
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
    core.arrived(SECOND, incoming(1, SECOND, Some("k")));
    core.run_ended(SECOND + 10, 1, End::Fine, 10, Rc::from(*b"r"));
    core.effects();
    core.arrived(2 * SECOND, incoming(2, 2 * SECOND, Some("other")));
    core.arrived(2 * SECOND, incoming(3, 2 * SECOND, Some("k")));
    core.arrived(2 * SECOND, incoming(4, 2 * SECOND, None));
    let effects = core.effects();
    let refused = Answer::Refused {
        cooldown: FULL_COOLDOWN,
        nowhere: false,
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
    core.arrived(SECOND, incoming(1, SECOND, None));
    core.arrived(SECOND, incoming(2, SECOND, Some("k")));
    core.effects();
    core.wake(6 * SECOND);
    let due = answers(&core.effects());
    assert_eq!(due.len(), 2, "both are due: {due:?}");
    assert!(
        due.iter()
            .all(|(_, a)| *a == Answer::Failed { expired: true }),
        "{due:?}"
    );
    // The runs end later, and a caller that leaves later still changes nothing.
    core.gone(6 * SECOND, 1);
    core.run_ended(7 * SECOND, 1, End::Fine, 10, Rc::from([]));
    core.run_ended(7 * SECOND, 2, End::Fine, 10, Rc::from([]));
    core.run_ended(7 * SECOND, 2, End::Fine, 10, Rc::from([]));
    assert_eq!(answers(&core.effects()), []);
    assert_eq!(
        (
            core.owed(),
            core.sizes().0,
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
        let Bounds {
            requests,
            keys,
            answers,
        } = Bounds::within(memory, connections);
        let all = PROCESS + connections * CONNECTION + requests + keys + answers;
        assert!(all <= memory && all > memory * 8 / 10, "{all} of {memory}");
    }
    let mut core = core();
    (core.most_taken, core.keys) = (2 * (REQUEST + 4), keys::Keys::new(8 << 10, 4096, SECOND));
    for reference in 1..=3 {
        core.arrived(SECOND, incoming(reference, SECOND, None));
    }
    let refused = Answer::Refused {
        cooldown: FULL_COOLDOWN,
        nowhere: false,
    };
    assert_eq!(answers(&core.effects()), [(3, refused.clone())]);
    core.run_ended(SECOND, 1, End::Fine, 10, Rc::from([]));
    core.run_ended(SECOND, 2, End::Fine, 10, Rc::from([]));
    core.effects();
    // Small results leave room for more keys; those whose results aren't there yet may still be
    // long.
    let mut taken = 0;
    for reference in 10.. {
        let key = reference.to_string();
        core.arrived(SECOND, incoming(reference, SECOND, Some(&key)));
        if answers(&core.effects()) == [(reference, refused.clone())] {
            break;
        }
        core.run_ended(SECOND, reference, End::Fine, 10, Rc::from([7; 100]));
        assert_eq!(
            answers(&core.effects()),
            [(reference, Answer::Served(Rc::from([7; 100])))]
        );
        taken += 1;
    }
    assert_eq!(taken, ((8 << 10) - 512 - 4096) / 612 + 1);
    // All of it is given back with the window.
    core.wake(60 * SECOND);
    assert!(core.keys.is_empty() && !core.keys.full() && core.taken == 0);
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
        core.remember(Durable::new(gate, 1000 * SECOND, wait, suspect), found);
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
        core.arrived(SECOND, incoming(1, SECOND, Some("k")));
        // A read waits for nothing.
        core.arrived(SECOND, incoming(2, SECOND, None));
        assert_eq!(begun(&core.effects()), [2]);
        let batch = core.batch(SECOND).expect("its intent");
        assert_eq!(batch.expiries.len(), 1);
        core.stored(SECOND + 500, Ok(400));
        assert_eq!(begun(&core.effects()), [1]);
        core.run_ended(2 * SECOND, 1, End::Fine, SECOND, Rc::from(*b"done"));
        assert_eq!(answers(&core.effects()), [(1, served(b"done"))]);
        assert_eq!(
            core.batch(2 * SECOND).expect("its outcome").expiries.len(),
            1
        );
        core.stored(2 * SECOND, Ok(500));
        assert!(core.store_idle());
    }

    #[test]
    fn an_answer_waits_for_its_outcome_where_that_is_asked() {
        let mut core = stored(true, None, vec![]);
        core.arrived(SECOND, incoming(1, SECOND, Some("k")));
        core.batch(SECOND);
        core.stored(SECOND, Ok(400));
        core.effects();
        core.run_ended(2 * SECOND, 1, End::Fine, SECOND, Rc::from(*b"done"));
        // Told twice by the processor's new link: the same end.
        core.run_ended(2 * SECOND, 1, End::Fine, SECOND, Rc::from(*b"done"));
        core.arrived(2 * SECOND, incoming(2, 2 * SECOND, Some("k")));
        assert_eq!(answers(&core.effects()), []);
        assert_eq!(
            core.batch(2 * SECOND).expect("its outcome").expiries.len(),
            1
        );
        core.stored(2 * SECOND, Ok(500));
        assert_eq!(
            answers(&core.effects()),
            [(1, served(b"done")), (2, served(b"done"))]
        );
        assert_eq!(core.sizes().0, 0);
    }

    #[test]
    fn a_disk_that_fails_refuses_keys_and_no_reads() {
        let mut core = stored(false, None, vec![]);
        core.arrived(SECOND, incoming(1, SECOND, Some("a")));
        core.batch(SECOND);
        core.arrived(SECOND, incoming(2, SECOND, Some("b")));
        core.effects();
        core.stored(SECOND, Err("no space".into()));
        let refused = Answer::Refused {
            cooldown: FULL_COOLDOWN,
            nowhere: false,
        };
        assert_eq!(
            answers(&core.effects()),
            [(1, refused.clone()), (2, refused.clone())]
        );
        core.arrived(SECOND, incoming(3, SECOND, Some("c")));
        core.arrived(SECOND, incoming(4, SECOND, None));
        let effects = core.effects();
        assert_eq!(
            (answers(&effects), begun(&effects)),
            (vec![(3, refused)], vec![4])
        );
        assert_eq!(
            core.store_note(SECOND).unwrap(),
            "store: keyed requests are refused: failing: no space"
        );
        // It is tried again, at a time that the core asks to be woken for.
        let mut at = SECOND;
        while core.batch(at).is_none() {
            at = core.next_wake().expect("it is tried again");
            core.wake(at);
            assert!(at < 2 * SECOND);
        }
        core.stored(at, Ok(100));
        core.effects();
        core.arrived(at, incoming(5, at, Some("a")));
        core.batch(at);
        core.stored(at, Ok(200));
        assert_eq!(begun(&core.effects()), [5]);
    }

    #[test]
    fn nobody_waits_for_a_slow_disk() {
        let mut core = stored(false, None, vec![]);
        core.arrived(SECOND, incoming(1, SECOND, Some("k")));
        core.batch(SECOND);
        // A repeat that joined it gets what it gets.
        core.arrived(SECOND, incoming(2, SECOND, Some("k")));
        core.effects();
        let late = SECOND + SYNC_TIMEOUT;
        assert!(core.next_wake().unwrap() <= late);
        core.wake(late);
        let refused = Answer::Refused {
            cooldown: FULL_COOLDOWN,
            nowhere: false,
        };
        assert_eq!(
            answers(&core.effects()),
            [(1, refused.clone()), (2, refused)]
        );
        core.stored(late + 1, Ok(400));
        assert!(begun(&core.effects()).is_empty());
        // That it never began is owed to the disk.
        assert_eq!(core.batch(late + 1).unwrap().expiries.len(), 1);
    }

    #[test]
    fn a_run_that_nobody_wants_any_more_never_begins() {
        let mut core = stored(false, None, vec![]);
        for (reference, key) in [(1, "a"), (2, "b")] {
            core.arrived(SECOND, incoming(reference, SECOND, Some(key)));
        }
        core.arrived(SECOND, incoming(3, SECOND, Some("b")));
        core.batch(SECOND);
        core.gone(SECOND, 1);
        // The second's first caller has gone, and a repeat still waits for it.
        core.gone(SECOND, 2);
        core.effects();
        core.stored(SECOND, Ok(400));
        assert_eq!(begun(&core.effects()), [2]);
        core.arrived(SECOND, incoming(4, SECOND, Some("a")));
        core.batch(SECOND);
        core.stored(SECOND, Ok(500));
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
                Answer::Failed { expired: false },
            ),
            (None, Answer::Unknown { back: 19 * SECOND }),
        ];
        for (kept, wanted) in cases {
            let mut core = stored(false, None, vec![found(7, kept)]);
            assert!(core.conflicts("k", SECOND, 2) && !core.conflicts("k", SECOND, 1));
            core.arrived(SECOND, incoming(1, SECOND, Some("k")));
            assert_eq!(answers(&core.effects()), [(1, wanted)]);
            // Past its window it is a request like any other.
            let late = 21 * SECOND;
            core.wake(late);
            core.arrived(late, incoming(2, late, Some("k")));
            core.batch(late);
            core.stored(late, Ok(400));
            assert_eq!(begun(&core.effects()), [2]);
        }
    }

    #[test]
    fn the_end_of_an_earlier_run_is_learned() {
        let cases = [
            (End::Fine, Some(served(b"done"))),
            (End::Fault, Some(Answer::Failed { expired: false })),
            // The processor says that it never began: the repeat is the first to run.
            (End::NeverRan, None),
        ];
        for (end, wanted) in cases {
            let mut core = stored(false, None, vec![found(7, None)]);
            core.run_ended(SECOND, 7, end, SECOND, Rc::from(*b"done"));
            assert_eq!(core.batch(SECOND).expect("it is kept").expiries.len(), 1);
            core.stored(SECOND, Ok(100));
            // Once.
            core.run_ended(SECOND, 7, End::Fine, SECOND, Rc::from(*b"again"));
            core.arrived(SECOND, incoming(1, SECOND, Some("k")));
            match wanted {
                Some(wanted) => assert_eq!(answers(&core.effects()), [(1, wanted)]),
                None => {
                    core.batch(SECOND);
                    core.stored(SECOND, Ok(200));
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
        core.arrived(SECOND, incoming(1, SECOND, Some("other")));
        let [(1, Answer::Refused { cooldown, .. })] = answers(&core.effects())[..] else {
            panic!("refused")
        };
        assert!(cooldown >= FULL_COOLDOWN);
        // What is known for certain is told.
        core.arrived(SECOND, incoming(2, SECOND, Some("k")));
        assert_eq!(
            answers(&core.effects()),
            [(2, Answer::Failed { expired: false })]
        );
        core.arrived(20 * SECOND, incoming(3, 20 * SECOND, Some("other")));
        core.batch(20 * SECOND);
        core.stored(20 * SECOND, Ok(200));
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
        over_share_worth: 0.1,
        cores: 64.0,
        ..Settings::default()
    };
    let mut core = Core::new(
        settings,
        &["free".into()],
        7,
        2000,
        4096,
        Bounds::within(192 << 20, 960),
    );
    core.up(SECOND, 0, false);
    let mut worth = |reference, tenant| {
        core.arrived(
            SECOND,
            Incoming {
                tenant,
                ..incoming(reference, SECOND, None)
            },
        );
        let id = core.by_reference[&reference];
        core.module
            .as_ref()
            .unwrap()
            .standing(id)
            .expect("the cores take it")
            .worth
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
