//! What was written plays again to the same decisions, from the start and from every checkpoint.

mod common;

use common::*;
use pipitlever_admission::{Action, Event, Stage};
use pipitlever_capture::frame::ReadError;
use pipitlever_capture::keeper::Limits;
use pipitlever_capture::record::{decode, End, Record};
use pipitlever_capture::replay::Replay;
use pipitlever_capture::segment::{Reader, Tail};
use proptest::prelude::*;

const WIDE: Limits = Limits {
    segment: 1 << 30,
    keep: 1 << 31,
};

type Step = (i32, Vec<(u8, u32)>);

fn steps(most: usize) -> impl Strategy<Value = Vec<Step>> {
    // Clocks mostly go on, at times stand still, and at times go back.
    let after = prop_oneof![8 => 0..40_000i32, 1 => Just(0), 1 => -30_000..0];
    let said = prop::collection::vec((any::<u8>(), any::<u32>()), 0..5);
    prop::collection::vec((after, said), 1..most)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn from_checkpoints_and_from_the_start_the_decisions_are_the_same(
        kind in 0..16u8, seed in any::<u64>(), steps in steps(400), turns in 1..40usize,
    ) {
        // Small segments: a checkpoint every few dozen steps, wherever requests happen to stand.
        let mut rig = Rig::new(kind, seed, 1 << 20, Limits { segment: 4_000, keep: 1 << 30 });
        for (i, (after, said)) in steps.iter().enumerate() {
            rig.step(*after, said);
            if i % turns == 0 {
                rig.turn(100_000);
            }
        }
        let (total, records) = (steps.len() as u64, rig.told);
        let segments = rig.end();
        let verdict = replay(&segments);
        prop_assert_eq!(verdict, Verdict { steps: total, records, lost: 0, cuts: 0 });
    }

    #[test]
    fn every_refusal_and_failure_has_its_cause(kind in 0..16u8, steps in steps(300)) {
        let mut world = World::new(kind, 5);
        for (after, said) in &steps {
            let actions = world.step(*after, said, None);
            let turned_away = actions.iter().filter_map(|a| match a {
                Action::Reject { id, .. } | Action::Fail(id) => Some(*id),
                _ => None,
            });
            let why: Vec<_> = world.controller.causes().iter().map(|w| w.0).collect();
            prop_assert_eq!(turned_away.collect::<Vec<_>>(), why);
        }
    }

    #[test]
    fn a_queue_that_is_full_loses_whole_stretches_and_names_every_record(
        kind in 0..16u8, steps in steps(300), turns in 1..60usize, bytes in 1_000..6_000usize,
    ) {
        let mut rig = Rig::new(kind, 7, bytes, Limits { segment: 30_000, keep: 1 << 30 });
        for (i, (after, said)) in steps.iter().enumerate() {
            rig.step(after.abs() + 5_000, said);
            if i % turns == 0 {
                rig.turn(300_000);
            }
        }
        // All that there is plays, with gaps or without; and what is not there is counted, wherever
        // the gap lies.
        let told = rig.told;
        let verdict = replay(&rig.end());
        prop_assert_eq!(verdict.records + verdict.lost, told, "{:?}", verdict);
    }
}

#[test]
fn a_queue_that_fills_has_gaps_in_the_middle_and_at_the_end() {
    let mut rig = Rig::new(0, 7, 4_000, WIDE);
    let many = |rig: &mut Rig, steps: u32| {
        for i in 0..steps {
            rig.step(5_000, &[(0, i * 97), (7, i * 31)]);
        }
    };
    many(&mut rig, 200);
    rig.turn(300_000);
    many(&mut rig, 60);
    rig.turn(300_000);
    // The writer does not come again before the node ends.
    many(&mut rig, 200);
    let told = rig.told;
    let segments = rig.end();
    let named = |bytes: &Vec<u8>| Reader::open(bytes).unwrap().opening().unwrap().lost.clone();
    let first = named(&segments[1]).expect("a gap in the middle");
    assert!(
        first.records > 100 && first.queue == first.records && first.disk.is_none(),
        "{first:?}"
    );
    let mut last = Reader::open(segments.last().unwrap()).unwrap();
    while last.next_record().unwrap().is_some() {}
    let Some(Tail::Whole(End::Last(behind))) = last.tail() else {
        panic!("{:?}", last.tail())
    };
    assert!(behind > 100, "{behind}");
    let verdict = replay(&segments);
    assert_eq!(verdict.records + verdict.lost, told);
}

fn busy(limits: Limits) -> Rig {
    let mut rig = Rig::new(2, 11, 1 << 20, limits);
    for i in 0..600u32 {
        let said: Vec<(u8, u32)> = (0..1 + i % 3)
            .map(|k| ((i * 7 + k * 5) as u8, i * 2_654_435 + k))
            .collect();
        rig.step(3_000, &said);
        if i % 10 == 0 {
            rig.turn(30_000);
        }
    }
    rig
}

#[test]
fn a_checkpoint_between_a_runs_start_and_its_end_holds_the_run() {
    let mut rig = Rig::new(
        0,
        1,
        1 << 20,
        Limits {
            segment: 1,
            keep: 1 << 30,
        },
    );
    let ran = rig.step(0, &[(0, 9)]);
    let Some(Action::Run(id)) = ran.iter().find(|a| matches!(a, Action::Run(_))) else {
        panic!("{ran:?}")
    };
    rig.turn(30_000);
    rig.step(300_000, &[(14, 1), (14, 3)]);
    rig.turn(30_000);
    assert!(rig
        .world
        .controller
        .request_status(*id)
        .is_some_and(|s| s.stage == Stage::Running));
    rig.step(300_000, &[(7, 1)]);
    let segments = rig.end();
    assert_eq!(segments.len(), 3);
    let reader = Reader::open(&segments[1]).unwrap();
    let held = reader.controller().unwrap().request_status(*id);
    assert!(held.is_some_and(|s| s.stage == Stage::Running), "{held:?}");
    assert!(matches!(
        replay(&segments),
        Verdict {
            steps: 3,
            lost: 0,
            cuts: 0,
            ..
        }
    ));
}

#[test]
fn the_order_of_events_in_a_step_matters_and_is_kept() {
    // A place is free for one: whoever stands first in the step gets it, and a replay says the
    // same.
    let both = |said: [(u8, u32); 2]| {
        let mut rig = Rig::new(0, 1, 1 << 20, WIDE);
        for _ in 0..2 {
            rig.step(1_000, &[(0, 9)]);
        }
        let actions = rig.step(1_000, &said);
        rig.turn(30_000);
        assert!(matches!(
            replay(&rig.end()),
            Verdict {
                steps: 3,
                lost: 0,
                cuts: 0,
                ..
            }
        ));
        actions
    };
    assert_ne!(both([(0, 30), (0, 45)]), both([(0, 45), (0, 30)]));
}

#[test]
fn a_give_up_notice_after_the_end_changes_nothing() {
    let mut rig = Rig::new(0, 1, 1 << 20, WIDE);
    rig.step(0, &[(0, 9)]);
    rig.step(50_000, &[(7, 2)]);
    // Nothing is in memory any more: the notice names the request that has finished.
    assert!(!rig.world.controller.is_tracked(1));
    let said = rig.step(1_000, &[(14, 1)]);
    assert!(said.iter().all(|a| a.request().is_none()), "{said:?}");
    rig.step(50_000, &[(0, 12), (14, 1)]);
    rig.turn(30_000);
    let segments = rig.end();
    let mut reader = Reader::open(&segments[0]).unwrap();
    let mut gone = 0;
    while let Some((_, record)) = reader.next_record().unwrap() {
        let Record::Step { events, .. } = record else {
            continue;
        };
        gone += events
            .iter()
            .filter(|e| matches!(e, Event::Abandoned(1)))
            .count();
    }
    assert_eq!(gone, 1);
    assert!(matches!(
        replay(&segments),
        Verdict {
            steps: 4,
            lost: 0,
            cuts: 0,
            ..
        }
    ));
    keep("gone-after-the-end", &segments[0]);
}

#[test]
fn a_changed_action_is_found_where_it_stands() {
    let segments = busy(WIDE).end();
    let mut reader = Reader::open(&segments[0]).unwrap();
    let mut replay = Replay::new(reader.controller().unwrap(), reader.opening().unwrap());
    let mut steps = 0;
    while let Some((_, mut record)) = reader.next_record().unwrap() {
        let Record::Step { actions, .. } = &mut record else {
            continue;
        };
        steps += 1;
        if steps == 300 {
            actions.to_mut().push(Action::Run(999_999));
            let difference = replay.compare(&record).unwrap().expect("seen");
            assert_eq!(
                (difference.step, difference.first()),
                (300, (Some(&Action::Run(999_999)), None))
            );
            return;
        }
        assert!(replay.compare(&record).unwrap().is_none());
    }
    panic!("only {steps} steps");
}

/// Reads and plays all of it; how far it came, and how it ended.
fn play(bytes: &[u8]) -> Result<(u64, Option<Tail>), ReadError> {
    let mut reader = Reader::open(bytes)?;
    let Some(opening) = reader.opening().cloned() else {
        return Ok((0, reader.tail()));
    };
    let mut replay = Replay::new(reader.controller().expect("this build's"), &opening);
    while let Some((_, record)) = reader.next_record()? {
        assert!(replay.compare(&record).expect("a step").is_none());
    }
    Ok((replay.steps(), reader.tail()))
}

#[test]
fn a_segment_cut_anywhere_plays_to_its_last_whole_frame() {
    let bytes = busy(WIDE).end().remove(0);
    let (all, tail) = play(&bytes).unwrap();
    assert!(
        all == 600 && matches!(tail, Some(Tail::Whole(_))),
        "{all} {tail:?}"
    );
    let mut last = 0;
    for length in (0..bytes.len()).step_by(97) {
        let (steps, tail) = play(&bytes[..length]).unwrap_or_else(|e| panic!("{length}: {e}"));
        let Some(Tail::Cut(at)) = tail else {
            panic!("{length}: {tail:?}")
        };
        assert!(at as usize <= length && steps >= last && steps <= all);
        last = steps;
    }
    assert!(last > 500, "{last}");
}

#[test]
fn a_flipped_bit_is_damage_and_never_another_verdict() {
    let bytes = busy(WIDE).end().remove(0);
    for at in (0..bytes.len()).step_by(61) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        assert!(
            play(&damaged).is_err_and(|e| e.offset as usize <= at),
            "{at}"
        );
    }
}

/// Makes checksums right again, so that what is inside has to be looked at.
fn mend(bytes: &mut [u8]) {
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
    // Bit by bit, after IEEE 802.3: a second opinion on the library's.
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
fn content_that_no_node_writes_is_refused_without_a_panic() {
    // The same inputs as the fuzz target has, from a fixed seed.
    let bytes = busy(WIDE).end().remove(0);
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut next = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random as usize
    };
    let mut refused = 0;
    for _ in 0..300 {
        let mut damaged = bytes.clone();
        for _ in 0..1 + next() % 4 {
            let at = 32 + next() % (damaged.len() - 32);
            damaged[at] = next() as u8;
        }
        mend(&mut damaged);
        let Ok(mut reader) = Reader::open(&damaged) else {
            refused += 1;
            continue;
        };
        let _ = reader.controller();
        while let Ok(Some(_)) = reader.next_record() {}
        refused += usize::from(reader.tail().is_none());
    }
    assert!(refused > 30, "{refused}");
    // Any bytes at all as a record.
    for _ in 0..20_000 {
        let junk: Vec<u8> = (0..next() % 64).map(|_| next() as u8).collect();
        let _ = decode(&junk);
    }
}
