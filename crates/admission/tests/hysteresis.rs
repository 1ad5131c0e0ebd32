//! The modes and their thresholds, at exact queue lengths.

mod common;
use common::*;
use pipitlever_admission::{Controller, Downstream, Mode, Outcome, RequestId, Settings};

const FIRST_QUEUED: RequestId = 5;

/// A controller of which all four cores are busy with requests 1 to 4.
fn saturated() -> Controller {
    let mut controller = controller(Settings {
        downstream: Downstream::None,
        ..settings()
    });
    let actions = step(&mut controller, 0, &arrivals(1..=4, NON_IDEMPOTENT));
    assert_eq!(start_count(&actions), 4);
    controller
}

fn queue_length(controller: &Controller) -> f64 {
    controller.status().queued as f64
}

#[test]
fn overload_begins_at_exactly_the_onset_threshold() {
    let mut controller = saturated();
    let mut id = FIRST_QUEUED;
    let onset = Thresholds::of(&controller).onset;
    while queue_length(&controller) < onset - 1.0 {
        step(&mut controller, 1, &[arrival(id, IDEMPOTENT)]);
        id += 1;
        let length = queue_length(&controller);
        assert_eq!(controller.mode(), Mode::Normal, "at {length}");
    }
    step(&mut controller, 1, &[arrival(id, IDEMPOTENT)]);
    assert_eq!(controller.mode(), Mode::Overload);
    assert_eq!(queue_length(&controller), onset);
}

#[test]
fn a_batch_that_exceeds_the_discard_threshold_is_admitted_up_to_it() {
    let mut controller = saturated();
    let discard = Thresholds::of(&controller).discard;
    let batch = arrivals(FIRST_QUEUED..FIRST_QUEUED + 50, NON_IDEMPOTENT);
    let actions = step(&mut controller, 1, &batch);
    assert_eq!(controller.mode(), Mode::Discard);
    assert_eq!(queue_length(&controller), discard);
    assert_eq!(rejection_count(&actions) as f64, 50.0 - discard);
}

#[test]
fn discard_ends_at_the_onset_threshold_and_overload_below_the_abatement_threshold() {
    let mut controller = saturated();
    let Thresholds {
        abatement, onset, ..
    } = Thresholds::of(&controller);
    let batch = arrivals(FIRST_QUEUED..FIRST_QUEUED + 50, NON_IDEMPOTENT);
    step(&mut controller, 1, &batch);
    let mut running: Vec<RequestId> = (1..=4).collect();
    while let Some(ended) = running.pop() {
        let actions = step(&mut controller, 2, &[succeeded(ended, 100_000)]);
        running.extend(started(&actions));
        let length = queue_length(&controller);
        let expected = match length {
            n if n > onset => Mode::Discard,
            n if n >= abatement => Mode::Overload,
            _ => Mode::Normal,
        };
        assert_eq!(controller.mode(), expected, "at {length}");
    }
    assert_eq!(controller.status().queued, 0);
}

#[test]
fn thresholds_keep_their_order_and_fall_with_the_success_rate() {
    let mut controller = saturated();
    let before = Thresholds::of(&controller);
    for id in 1..=4 {
        let now = id as i64 * 1000;
        step(&mut controller, now, &[finished(id, 2_000, Outcome::Error)]);
    }
    for id in 10..60 {
        let now = id as i64 * 200_000;
        step(&mut controller, now, &[arrival(id, NON_IDEMPOTENT)]);
        let failed = finished(id, 900_000, Outcome::Error);
        step(&mut controller, now + 2_000, &[failed]);
    }
    let after = Thresholds::of(&controller);
    assert!(1.0 <= after.abatement);
    assert!(after.abatement < after.onset && after.onset < after.discard);
    assert!(
        after.discard < before.discard,
        "failed runs do not count as completed"
    );
}

#[test]
fn overload_rejects_low_priorities() {
    let mut controller = saturated();
    // Rejections by class.
    let mut rejected = [0; 3];
    for i in 0..400 {
        let now = 1_000 + i * 20_000;
        let id = FIRST_QUEUED + i as RequestId;
        let class = if i % 2 == 0 {
            IDEMPOTENT
        } else {
            NON_IDEMPOTENT
        };
        let mut events = vec![arrival(id, class)];
        if i % 5 == 0 {
            events.push(tick());
        }
        let actions = step(&mut controller, now, &events);
        rejected[class] += u32::from(is_rejected(&actions, id));
    }
    let (low, high) = (rejected[IDEMPOTENT], rejected[NON_IDEMPOTENT]);
    assert!(low > 0 && low >= high, "low {low} high {high}");
}
