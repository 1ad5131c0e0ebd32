//! A replay of a capture yields the recorded actions, from the start and from every checkpoint.

mod common;

use common::{
    replay, write_fixture, CapturedHost, EventChoice, ReplaySummary, SimulatedHost, LARGE_QUEUE,
};
use pipitlever_admission::{Action, Event, Stage};
use pipitlever_capture::frame::ReadError;
use pipitlever_capture::record::{decode, End, Record};
use pipitlever_capture::replay::{ActionMismatch, Replay};
use pipitlever_capture::segment::{RecordAt, SegmentReader, Tail};
use pipitlever_capture::writer::Limits;
use proptest::prelude::*;

/// Limits that keep each run in one segment.
const UNLIMITED: Limits = Limits {
    segment_bytes: 1 << 30,
    total_bytes: 1 << 31,
};

/// The change of the clock in microseconds, and the events of a step.
type Step = (i32, Vec<EventChoice>);

fn steps(max: usize) -> impl Strategy<Value = Vec<Step>> {
    // Clocks mostly advance, sometimes stand still, and sometimes are set back.
    let clock_delta = prop_oneof![8 => 0..40_000i32, 1 => Just(0), 1 => -30_000..0];
    let choices = prop::collection::vec((any::<u8>(), any::<u32>()), 0..5);
    prop::collection::vec((clock_delta, choices), 1..max)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn replays_from_checkpoints_and_from_the_start_are_identical(
        variant in 0..16u8, seed in any::<u64>(), steps in steps(400), interval in 1..40usize,
    ) {
        // Small segments: a checkpoint every few dozen steps, with requests in all states.
        let limits = Limits { segment_bytes: 4_000, total_bytes: 1 << 30 };
        let mut captured = CapturedHost::new(variant, seed, LARGE_QUEUE, limits);
        for (i, (clock_delta, choices)) in steps.iter().enumerate() {
            captured.step(*clock_delta, choices);
            if i % interval == 0 {
                captured.write(100_000);
            }
        }
        let (total, records) = (steps.len() as u64, captured.recorded);
        let segments = captured.finish();
        let summary = replay(&segments);
        prop_assert_eq!(summary, ReplaySummary { steps: total, records, lost: 0, truncated: 0 });
    }

    #[test]
    fn every_rejection_and_failure_has_a_cause(variant in 0..16u8, steps in steps(300)) {
        let mut host = SimulatedHost::new(variant, 5);
        for (clock_delta, choices) in &steps {
            let actions = host.step(*clock_delta, choices, None);
            let ended = actions.iter().filter_map(|action| match action {
                Action::Reject { id, .. } | Action::Fail(id) => Some(*id),
                _ => None,
            });
            let with_cause: Vec<_> = host.controller.causes().iter().map(|(id, _)| *id).collect();
            prop_assert_eq!(ended.collect::<Vec<_>>(), with_cause);
        }
    }

    #[test]
    fn every_record_lost_to_a_full_queue_is_counted(
        variant in 0..16u8,
        steps in steps(300),
        interval in 1..60usize,
        queue_bytes in 1_000..6_000usize,
    ) {
        let limits = Limits { segment_bytes: 30_000, total_bytes: 1 << 30 };
        let mut captured = CapturedHost::new(variant, 7, queue_bytes, limits);
        for (i, (clock_delta, choices)) in steps.iter().enumerate() {
            captured.step(clock_delta.abs() + 5_000, choices);
            if i % interval == 0 {
                captured.write(300_000);
            }
        }
        // All recorded steps are replayed, and all lost records are counted, wherever the gaps are.
        let recorded = captured.recorded;
        let summary = replay(&captured.finish());
        prop_assert_eq!(summary.records + summary.lost, recorded, "{:?}", summary);
    }
}

#[test]
fn gaps_in_the_middle_and_at_the_end_of_a_run_are_counted() {
    let mut captured = CapturedHost::new(0, 7, 4_000, UNLIMITED);
    let take_steps = |captured: &mut CapturedHost, steps: u32| {
        for i in 0..steps {
            captured.step(5_000, &[(0, i * 97), (7, i * 31)]);
        }
    };
    take_steps(&mut captured, 200);
    captured.write(300_000);
    take_steps(&mut captured, 60);
    captured.write(300_000);
    // The writer does not write again before the end of the run.
    take_steps(&mut captured, 200);
    let recorded = captured.recorded;
    let segments = captured.finish();
    let stated_lost = |bytes: &Vec<u8>| {
        SegmentReader::open(bytes)
            .unwrap()
            .header()
            .unwrap()
            .lost
            .clone()
    };
    let first = stated_lost(&segments[1]).expect("a gap in the middle");
    assert!(
        first.records > 100 && first.queue_full == first.records && first.disk_error.is_none(),
        "{first:?}"
    );
    let mut last = SegmentReader::open(segments.last().unwrap()).unwrap();
    while last.next_record().unwrap().is_some() {}
    let Some(Tail::Complete(End::Last(lost_after))) = last.tail() else {
        panic!("{:?}", last.tail())
    };
    assert!(lost_after > 100, "{lost_after}");
    let summary = replay(&segments);
    assert_eq!(summary.records + summary.lost, recorded);
}

/// A run of 600 steps with one to three events each.
fn run_of_600_steps(limits: Limits) -> CapturedHost {
    let mut captured = CapturedHost::new(2, 11, 1 << 20, limits);
    for i in 0..600u32 {
        let choices: Vec<EventChoice> = (0..1 + i % 3)
            .map(|event| ((i * 7 + event * 5) as u8, i * 2_654_435 + event))
            .collect();
        captured.step(3_000, &choices);
        if i % 10 == 0 {
            captured.write(30_000);
        }
    }
    captured
}

#[test]
fn a_checkpoint_during_a_run_contains_the_run() {
    let mut captured = CapturedHost::new(
        0,
        1,
        1 << 20,
        Limits {
            segment_bytes: 1,
            total_bytes: 1 << 30,
        },
    );
    let actions = captured.step(0, &[(0, 9)]);
    let is_run = |action: &&Action| matches!(action, Action::Run(_));
    let Some(Action::Run(id)) = actions.iter().find(is_run) else {
        panic!("{actions:?}")
    };
    captured.write(30_000);
    captured.step(300_000, &[(14, 1), (14, 3)]);
    captured.write(30_000);
    assert!(captured
        .host
        .controller
        .request_status(*id)
        .is_some_and(|s| s.stage == Stage::Running));
    captured.step(300_000, &[(7, 1)]);
    let segments = captured.finish();
    assert_eq!(segments.len(), 3);
    let reader = SegmentReader::open(&segments[1]).unwrap();
    let restored = reader.controller().unwrap().request_status(*id);
    assert!(
        restored.is_some_and(|s| s.stage == Stage::Running),
        "{restored:?}"
    );
    assert!(replay(&segments).is_complete(3));
}

#[test]
fn the_order_of_events_in_a_step_is_recorded() {
    // Only one request can start: in the run and in the replay it is the first one of the step.
    let actions_for = |choices: [EventChoice; 2]| {
        let mut captured = CapturedHost::new(0, 1, 1 << 20, UNLIMITED);
        for _ in 0..2 {
            captured.step(1_000, &[(0, 9)]);
        }
        let actions = captured.step(1_000, &choices);
        captured.write(30_000);
        assert!(replay(&captured.finish()).is_complete(3));
        actions
    };
    assert_ne!(
        actions_for([(0, 30), (0, 45)]),
        actions_for([(0, 45), (0, 30)])
    );
}

#[test]
fn an_abandonment_after_the_end_of_a_request_has_no_effect() {
    let mut captured = CapturedHost::new(0, 1, 1 << 20, UNLIMITED);
    captured.step(0, &[(0, 9)]);
    captured.step(50_000, &[(7, 2)]);
    // No request is in memory: the notice is about the request that has finished.
    assert!(!captured.host.controller.is_tracked(1));
    let actions = captured.step(1_000, &[(14, 1)]);
    assert!(
        actions.iter().all(|action| action.request().is_none()),
        "{actions:?}"
    );
    captured.step(50_000, &[(0, 12), (14, 1)]);
    captured.write(30_000);
    let segments = captured.finish();
    let mut reader = SegmentReader::open(&segments[0]).unwrap();
    let mut abandoned = 0;
    while let Some(RecordAt { record, .. }) = reader.next_record().unwrap() {
        let Record::Step { events, .. } = record else {
            continue;
        };
        abandoned += events
            .iter()
            .filter(|e| matches!(e, Event::Abandoned(1)))
            .count();
    }
    assert_eq!(abandoned, 1);
    assert!(replay(&segments).is_complete(4));
    write_fixture("gone-after-the-end", &segments[0]);
}

#[test]
fn a_changed_action_is_reported_at_its_step() {
    let segments = run_of_600_steps(UNLIMITED).finish();
    let mut reader = SegmentReader::open(&segments[0]).unwrap();
    let mut replay = Replay::new(reader.controller().unwrap(), reader.header().unwrap());
    let mut steps = 0;
    while let Some(RecordAt { mut record, .. }) = reader.next_record().unwrap() {
        let Record::Step { actions, .. } = &mut record else {
            continue;
        };
        steps += 1;
        if steps == 300 {
            actions.to_mut().push(Action::Run(999_999));
            let difference = replay.compare(&record).unwrap().expect("a difference");
            assert_eq!(
                (difference.step, difference.first_mismatch()),
                (
                    300,
                    ActionMismatch {
                        recorded: Some(&Action::Run(999_999)),
                        replayed: None
                    }
                )
            );
            return;
        }
        assert!(replay.compare(&record).unwrap().is_none());
    }
    panic!("only {steps} steps");
}

/// Replays a segment; returns the number of steps and how the data ends.
fn replay_segment(bytes: &[u8]) -> Result<(u64, Option<Tail>), ReadError> {
    let mut reader = SegmentReader::open(bytes)?;
    let Some(header) = reader.header().cloned() else {
        return Ok((0, reader.tail()));
    };
    let mut replay = Replay::new(reader.controller().expect("a state of this build"), &header);
    while let Some(RecordAt { record, .. }) = reader.next_record()? {
        assert!(replay.compare(&record).expect("a valid step").is_none());
    }
    Ok((replay.steps(), reader.tail()))
}

#[test]
fn a_truncated_segment_replays_to_its_last_whole_frame() {
    let bytes = run_of_600_steps(UNLIMITED).finish().remove(0);
    let (all, tail) = replay_segment(&bytes).unwrap();
    assert!(
        all == 600 && matches!(tail, Some(Tail::Complete(_))),
        "{all} {tail:?}"
    );
    let mut last = 0;
    for length in (0..bytes.len()).step_by(97) {
        let (steps, tail) =
            replay_segment(&bytes[..length]).unwrap_or_else(|e| panic!("{length}: {e}"));
        let Some(Tail::Truncated(offset)) = tail else {
            panic!("{length}: {tail:?}")
        };
        assert!(offset as usize <= length && steps >= last && steps <= all);
        last = steps;
    }
    assert!(last > 500, "{last}");
}

#[test]
fn a_flipped_bit_is_reported_as_damage() {
    let bytes = run_of_600_steps(UNLIMITED).finish().remove(0);
    for at in (0..bytes.len()).step_by(61) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        assert!(
            replay_segment(&damaged).is_err_and(|e| e.offset as usize <= at),
            "{at}"
        );
    }
}

/// Corrects the payload checksums, so that changed payloads are decoded.
fn fix_checksums(bytes: &mut [u8]) {
    let mut at = 16;
    while at + 16 <= bytes.len() {
        let length = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().unwrap()) as usize;
        let Some(end) = Some(at + 16 + length).filter(|&end| end <= bytes.len()) else {
            return;
        };
        let sum = crc(&bytes[at + 16..end]);
        bytes[at + 12..at + 16].copy_from_slice(&sum.to_le_bytes());
        at = end;
    }
}

fn crc(bytes: &[u8]) -> u32 {
    // CRC-32 of IEEE 802.3, bit by bit, independent of the library.
    !bytes.iter().fold(!0u32, |sum, &byte| {
        (0..8).fold(sum ^ u32::from(byte), |s, _| {
            if s & 1 == 1 {
                s >> 1 ^ 0xedb8_8320
            } else {
                s >> 1
            }
        })
    })
}

#[test]
fn invalid_content_is_an_error_and_never_a_panic() {
    // The same entry points as in the fuzz target, with inputs from a fixed seed: segments with
    // changed bytes and valid checksums, then arbitrary bytes as a record.
    let bytes = run_of_600_steps(UNLIMITED).finish().remove(0);
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut next = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random as usize
    };
    let mut rejected = 0;
    for _ in 0..300 {
        let mut damaged = bytes.clone();
        for _ in 0..1 + next() % 4 {
            let at = 32 + next() % (damaged.len() - 32);
            damaged[at] = next() as u8;
        }
        fix_checksums(&mut damaged);
        let Ok(mut reader) = SegmentReader::open(&damaged) else {
            rejected += 1;
            continue;
        };
        let _ = reader.controller();
        while let Ok(Some(_)) = reader.next_record() {}
        rejected += usize::from(reader.tail().is_none());
    }
    assert!(rejected > 30, "{rejected}");
    // Arbitrary bytes as a record.
    for _ in 0..20_000 {
        let random_bytes: Vec<u8> = (0..next() % 64).map(|_| next() as u8).collect();
        let _ = decode(&random_bytes);
    }
}
