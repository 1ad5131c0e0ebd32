//! Random histories of requests, runs, disk failures, crashes and clock changes.
//!
//! Two invariants must hold: no key runs twice within its window, and no outcome that was reported
//! as durable is lost.

mod common;
mod node_model;

use node_model::{Step, World};
use pipitlever_idempotency_store::commit_queue::SYNC_TIMEOUT;
use proptest::prelude::{any, prop_oneof, Just, ProptestConfig, Strategy};
use proptest::test_runner::RngSeed;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..12u8).prop_map(Step::Request),
        6 => any::<bool>().prop_map(Step::EndRun),
        8 => Just(Step::Write),
        1 => Just(Step::WriteSlowly),
        3 => (1..6000u16).prop_map(Step::Advance),
        1 => (0..5u8).prop_map(Step::SetFault),
        1 => Just(Step::Kill),
        1 => any::<u64>().prop_map(Step::PowerCut),
        1 => (-7200..7200i32).prop_map(Step::JumpWallClock),
    ]
}

/// The same cases on every run, so that the result of the test does not vary.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(20_260),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest::proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn no_key_runs_twice_and_no_durable_outcome_is_lost(
        steps in proptest::collection::vec(step(), 1..160)
    ) {
        let mut world = World::new();
        world.apply_all(&steps);
        // Once the disk works again, so does the store, without a restart.
        world.apply(Step::SetFault(0));
        for _ in 0..200 {
            world.apply(Step::Advance(500));
            world.apply(Step::Write);
        }
        proptest::prop_assert_eq!(world.rejection_reason(), None);
        proptest::prop_assert!(world.is_idle());
    }
}

/// Histories of the kinds that the random ones are meant to contain.
#[test]
fn histories_of_each_kind() {
    let mut world = World::new();
    world.apply_all(&[
        Step::Request(1),
        Step::Write,
        Step::EndRun(true),
        Step::Write,
        Step::Kill,
        Step::Request(1),
    ]);
    assert_eq!((world.runs_of(1), world.durable_outcomes()), (1, 1));
    world.apply_all(&[
        Step::JumpWallClock(7200),
        Step::Request(1),
        Step::JumpWallClock(-7200),
        Step::Request(1),
    ]);
    assert_eq!(world.runs_of(1), 1);
    // After the window, by every clock.
    for _ in 0..12 {
        world.apply(Step::Advance(4000));
    }
    world.apply_all(&[Step::Request(1), Step::Write]);
    assert_eq!(world.runs_of(1), 2);
    // A slow writer: the intent is abandoned, and its run does not start once it is durable.
    let past_timeout = (SYNC_TIMEOUT / 1000) as u16 + 1;
    world.apply_all(&[
        Step::Request(2),
        Step::WriteSlowly,
        Step::Advance(past_timeout),
    ]);
    assert!(!world.knows(2) && world.runs_of(2) == 0);
    world.apply_all(&[Step::Write, Step::Write, Step::Request(2), Step::Write]);
    assert_eq!(world.runs_of(2), 1);
    // An intent without an outcome: its duplicates do not run.
    world.apply_all(&[Step::PowerCut(7), Step::Request(2), Step::Write]);
    assert_eq!(world.runs_of(2), 1);
    world.apply_all(&[
        Step::SetFault(2),
        Step::Request(3),
        Step::Write,
        Step::Request(4),
    ]);
    assert!(world.rejection_reason().is_some() && world.runs_of(3) == 0);
}
