//! Exhaustive exploration of the interleavings of a hot restart, up to a limited number of steps.
//!
//! Two processes of one node receive attempts of one key. Steps of the hot restart, ends of runs,
//! disconnections of callers, a crash of either process and the end of their connection happen in
//! every order. Checks that the key runs at most once, that no attempt that arrives after the start
//! of the run is rejected, and that each attempt that a process has read is answered once unless
//! that process crashes.

#[path = "../common/mod.rs"]
mod common;
mod process;
mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};
use world::{Step, World, ALL_STEPS};

fn execute(is_queued: bool, steps: &[Step]) -> World {
    let mut world = World::new(is_queued);
    for step in steps {
        world.execute(*step);
        world.check();
    }
    world
}

/// Explores every continuation after these steps, and returns the number of interleavings.
fn explore(is_queued: bool, steps: &mut Vec<Step>, remaining: usize) -> u64 {
    let world = catch_unwind(|| execute(is_queued, steps));
    let world = world.unwrap_or_else(|_| panic!("is_queued {is_queued}: {steps:?}"));
    let next: Vec<Step> = ALL_STEPS
        .into_iter()
        .filter(|step| world.is_possible(*step))
        .collect();
    if remaining == 0 || next.is_empty() {
        let settled = catch_unwind(AssertUnwindSafe(|| world.settle()));
        settled.unwrap_or_else(|_| panic!("is_queued {is_queued}, settled after: {steps:?}"));
        return 1;
    }
    drop(world);
    let mut interleavings = 0;
    for step in next {
        steps.push(step);
        interleavings += explore(is_queued, steps, remaining - 1);
        steps.pop();
    }
    interleavings
}

#[test]
fn no_interleaving_of_steps_and_crashes_runs_a_key_twice() {
    // From the start, and from states shortly before the key authority is transferred.
    let requested = [Step::Ready, Step::PredecessorReceives];
    let transferred = [
        Step::ArriveAtPredecessor,
        Step::Ready,
        Step::PredecessorReceives,
        Step::Send,
        Step::Send,
        Step::SuccessorReceives,
    ];
    let yielded = [
        Step::SuccessorReceives,
        Step::PredecessorReceives,
        Step::SuccessorReceives,
    ];
    let yielded = [&transferred[..], &yielded].concat();
    let starts: [(&[Step], usize); 4] =
        [(&[], 7), (&requested, 7), (&transferred, 6), (&yielded, 6)];
    let mut interleavings = Vec::new();
    for (steps, depth) in starts {
        for is_queued in [false, true] {
            interleavings.push(explore(is_queued, &mut steps.to_vec(), depth));
        }
    }
    assert!(
        interleavings.iter().sum::<u64>() > 20_000,
        "{interleavings:?}"
    );
}
