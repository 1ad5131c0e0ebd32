//! Random histories of requests, runs, disk failures, crashes and clock changes.
//!
//! Two invariants must hold: no key runs twice within its window, and no outcome that was reported
//! as durable is lost.

mod common;
mod node_model;

use node_model::{Simulation, Step};
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

/// Settings with a fixed seed: the same cases on every run, so that the result does not vary.
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
        let mut simulation = Simulation::new();
        simulation.apply_all(&steps);
        // Once the disk works again, the store accepts keyed requests without a restart.
        simulation.apply(Step::SetFault(0));
        for _ in 0..200 {
            simulation.apply(Step::Advance(500));
            simulation.apply(Step::Write);
        }
        proptest::prop_assert_eq!(simulation.rejection_reason(), None);
        proptest::prop_assert!(simulation.is_idle());
    }
}

/// One fixed history for each kind of event that the random histories are meant to contain.
#[test]
fn histories_of_each_kind() {
    let mut simulation = Simulation::new();
    simulation.apply_all(&[
        Step::Request(1),
        Step::Write,
        Step::EndRun(true),
        Step::Write,
        Step::Kill,
        Step::Request(1),
    ]);
    assert_eq!(
        (simulation.runs_of(1), simulation.durable_outcomes()),
        (1, 1)
    );
    simulation.apply_all(&[
        Step::JumpWallClock(7200),
        Step::Request(1),
        Step::JumpWallClock(-7200),
        Step::Request(1),
    ]);
    assert_eq!(simulation.runs_of(1), 1);
    // After the end of the window by every clock.
    for _ in 0..12 {
        simulation.apply(Step::Advance(4000));
    }
    simulation.apply_all(&[Step::Request(1), Step::Write]);
    assert_eq!(simulation.runs_of(1), 2);
    // A slow writer: the intent is abandoned, and its run does not start even when the intent
    // becomes durable.
    let past_timeout = (SYNC_TIMEOUT / 1000) as u16 + 1;
    simulation.apply_all(&[
        Step::Request(2),
        Step::WriteSlowly,
        Step::Advance(past_timeout),
    ]);
    assert!(!simulation.has_key(2) && simulation.runs_of(2) == 0);
    simulation.apply_all(&[Step::Write, Step::Write, Step::Request(2), Step::Write]);
    assert_eq!(simulation.runs_of(2), 1);
    // An intent without an outcome: its duplicates do not run.
    simulation.apply_all(&[Step::PowerCut(7), Step::Request(2), Step::Write]);
    assert_eq!(simulation.runs_of(2), 1);
    simulation.apply_all(&[
        Step::SetFault(2),
        Step::Request(3),
        Step::Write,
        Step::Request(4),
    ]);
    assert!(simulation.rejection_reason().is_some() && simulation.runs_of(3) == 0);
}
