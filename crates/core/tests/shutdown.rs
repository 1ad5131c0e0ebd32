//! The shutdown of a core, also before its controller has started.

mod common;

use common::*;
use pipitlever_admission::{BackpressureKind, Class, Micros, Safety, Settings};
use pipitlever_core::{Answer, Core};

/// When the shutdown notice comes.
const NOTICE_AT: Micros = SECOND;
/// Time from the notice until the process stops.
const REMAINING: Micros = 3 * SECOND;
const DRAIN_GRACE: Micros = 2 * SECOND;

/// A core whose controller is not started.
fn unstarted_core() -> Core {
    let class = Class {
        latency_objective: 2 * SECOND,
        deadline: 60 * SECOND,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        cores: 2.0,
        backpressure: BackpressureKind::Threshold,
        safety: Safety {
            drain_grace: DRAIN_GRACE,
            ..Safety::default()
        },
        ..Settings::default()
    };
    core_with(settings, &["free".into()], default_limits())
}

/// Handles all wakeups up to this time.
fn advance(core: &mut Core, until: Micros) {
    while let Some(at) = core.next_wakeup().filter(|&at| at <= until) {
        core.handle_wakeup(at);
    }
}

/// Guards against a controller that is started after the shutdown notice and does not know of it:
/// requests that it starts have no answer when the process stops, and those that arrive after the
/// drain's grace period run.
#[test]
fn a_controller_that_starts_after_the_notice_drains_by_it() {
    for delay in [-SECOND / 2, SECOND / 10, 3 * SECOND / 2] {
        let mut core = unstarted_core();
        let start = NOTICE_AT + delay;
        if delay < 0 {
            core.start(start, start, false);
        }
        core.begin_shutdown(NOTICE_AT, REMAINING);
        core.start(start.max(NOTICE_AT), start, false);
        assert!(!core.is_healthy(), "{delay}");
        let arrival = NOTICE_AT + DRAIN_GRACE - SECOND / 10;
        core.handle_request(arrival, incoming(1, arrival, None));
        assert_eq!(started(&take_effects(&mut core)), [1], "{delay}");
        let late = NOTICE_AT + DRAIN_GRACE + 1;
        core.handle_request(late, incoming(2, late, None));
        let effects = take_effects(&mut core);
        assert!(started(&effects).is_empty(), "{delay}");
        assert!(
            matches!(answers(&effects)[..], [(2, Answer::Rejected { .. })]),
            "{delay}: {effects:?}"
        );
        advance(&mut core, NOTICE_AT + REMAINING - 1);
        let answers = answers(&take_effects(&mut core));
        assert!(
            matches!(answers[..], [(1, Answer::Failed { .. })]),
            "{delay}: {answers:?}"
        );
    }
}

/// The load level that keeps clients away is advertised on request, whether the controller was
/// started before the notice, between, or after.
#[test]
fn the_load_level_of_a_shutdown_is_advertised_on_request() {
    for start_step in 0..3 {
        let mut core = unstarted_core();
        let start_at = |core: &mut Core, step| {
            if step == start_step {
                core.start(NOTICE_AT, 0, false);
            }
        };
        start_at(&mut core, 0);
        core.begin_shutdown(NOTICE_AT, REMAINING);
        start_at(&mut core, 1);
        assert_ne!(core.load_level(), Some(1.0), "{start_step}");
        core.advertise_shutdown();
        start_at(&mut core, 2);
        assert_eq!(core.load_level(), Some(1.0), "{start_step}");
    }
}

/// A process that its successor has replaced keeps its health and load level, as the successor
/// reports those of the node.
#[test]
fn a_retired_core_that_starts_later_stays_healthy() {
    let mut core = unstarted_core();
    core.begin_retirement(NOTICE_AT, REMAINING);
    core.start(NOTICE_AT + SECOND / 10, 0, false);
    assert!(core.is_healthy());
    assert_ne!(core.load_level(), Some(1.0));
}
