//! The log on a folder that fails: damage is told from a tail that was cut off, and room is given
//! back.

mod common;

use common::{Faults, Folder};
use pipitlever_idempotency_store::log::{
    Batch, Limits, Log, LogContents, OpenError, OpenReport, SegmentFiles,
};
use pipitlever_idempotency_store::record::{Intent, Outcome, Record};

const SECOND: i64 = 1_000_000;
const WINDOW: i64 = 20 * SECOND;
const LIMITS: Limits = Limits {
    capacity: 64 << 10,
    segment_size: 8 << 10,
};

fn folder() -> Folder {
    let folder = Folder::default();
    (folder.0.borrow_mut().wall, folder.0.borrow_mut().up) = (1_000_000 * SECOND, 500 * SECOND);
    folder
}

fn open(folder: &Folder) -> (Log<Folder>, OpenReport) {
    Log::open(folder.clone(), LIMITS, WINDOW).expect("it can be read")
}

fn intent(folder: &Folder, reference: u64, window: i64) -> Record {
    let world = folder.0.borrow();
    let (key, class) = (format!("key {reference}"), "swap".to_owned());
    let (arrived, over) = (world.wall, world.up + window + 8 * SECOND);
    let linger = 8 * SECOND;
    Record::Intent(Intent {
        id: reference,
        reference,
        key,
        class,
        payload_digest: 1,
        arrived_at: arrived,
        window,
        expires_at: over,
        read_grace: linger,
    })
}

fn outcome(folder: &Folder, reference: u64, window: i64, result: &[u8]) -> Record {
    let over = folder.0.borrow().up + window + 8 * SECOND;
    Record::Outcome {
        id: reference,
        expires_at: over,
        outcome: Outcome::Served(result.to_vec()),
    }
}

fn write(log: &mut Log<Folder>, records: &[Record]) -> std::io::Result<()> {
    let mut batch = Batch::default();
    records.iter().for_each(|r| batch.push(r));
    log.write(&batch)
}

fn later(folder: &Folder, seconds: i64) {
    let mut world = folder.0.borrow_mut();
    world.wall += seconds * SECOND;
    world.up += seconds * SECOND;
}

/// A store of a few segments, each key with its result.
fn filled(folder: &Folder) -> Log<Folder> {
    let (mut log, _) = open(folder);
    for i in 0..30 {
        let records = [
            intent(folder, i, WINDOW),
            outcome(folder, i, WINDOW, &[i as u8 + 1; 600]),
        ];
        write(&mut log, &records).unwrap();
    }
    assert!(folder.names().len() >= 3);
    log
}

#[test]
fn what_was_written_is_there() {
    let folder = folder();
    drop(filled(&folder));
    later(&folder, 5);
    let (_, found) = open(&folder);
    assert_eq!(
        (found.keys.len(), found.damage, found.torn_bytes),
        (30, vec![], 0)
    );
    for key in found.keys {
        assert_eq!(
            key.outcome,
            Some(Outcome::Served(vec![key.intent.reference as u8 + 1; 600]))
        );
        assert_eq!(key.window_end, folder.0.borrow().wall + 15 * SECOND);
    }
    // A repeat that came within the window may be read a little later.
    later(&folder, 23);
    assert_eq!(open(&folder).1.keys.len(), 30);
    later(&folder, 1);
    assert!(open(&folder).1.keys.is_empty());
}

#[test]
fn any_flipped_bit_is_damage_with_its_place_and_never_a_missing_key() {
    let folder = folder();
    drop(filled(&folder));
    let names = folder.names();
    for name in [&names[0], &names[1], names.last().unwrap()] {
        let length = folder.clone().read(name).unwrap().len();
        // Some of each frame's header and payload; all of the beginning and the end.
        let places = (0..64)
            .chain((64..length).step_by(7))
            .chain(length - 64..length);
        for at in places {
            folder.change(name, |bytes| bytes[at] ^= 1 << (at % 8));
            match LogContents::read(&mut folder.clone()) {
                Ok(contents) => {
                    let [damage] = &contents.damage[..] else {
                        panic!("{name} {at}: {:?}", contents.damage)
                    };
                    assert!(
                        damage.file == *name && damage.error.offset as usize <= at,
                        "{name} {at}: {damage}"
                    );
                }
                Err(error) => panic!("{name} {at}: {error}"),
            }
            folder.change(name, |bytes| bytes[at] ^= 1 << (at % 8));
        }
    }
}

#[test]
fn a_tail_cut_anywhere_is_normal_and_a_cut_before_it_is_damage() {
    let folder = folder();
    let log = filled(&folder);
    drop(log);
    let names = folder.names();
    let last = names.last().unwrap();
    let whole = folder.clone().read(last).unwrap();
    let mut keys = usize::MAX;
    for length in (0..whole.len()).rev().step_by(5) {
        folder.change(last, |bytes| bytes.truncate(length));
        let contents = LogContents::read(&mut folder.clone()).unwrap();
        assert_eq!(contents.damage, [], "{length}");
        let now = folder.clone().clocks();
        let found = contents.into_keys(&now).len();
        assert!(found <= keys);
        keys = found;
    }
    folder.change(last, |bytes| *bytes = whole.clone());
    // The same of one that another follows.
    folder.change(&names[0], |bytes| bytes.truncate(bytes.len() - 1));
    let contents = LogContents::read(&mut folder.clone()).unwrap();
    assert_eq!(contents.damage.len(), 1);
    assert_eq!(contents.damage[0].file, names[0]);
    // And of one that is gone.
    folder.take(&names[1]);
    let contents = LogContents::read(&mut folder.clone()).unwrap();
    assert!(contents
        .damage
        .iter()
        .any(|d| d.to_string().contains("this segment is missing")));
}

/// Damage is damage at each start until nothing can be hidden there any more, whatever was written
/// meanwhile.
#[test]
fn damage_outlives_restarts() {
    for taken in [false, true] {
        let folder = folder();
        drop(filled(&folder));
        let names = folder.names();
        match taken {
            true => folder.take(&names[0]),
            false => folder.change(names.last().unwrap(), |bytes| {
                *bytes.last_mut().unwrap() ^= 1
            }),
        }
        for start in 0..3 {
            let (mut log, found) = open(&folder);
            assert_eq!(found.damage.len(), 1, "{taken} {start}");
            write(&mut log, &[intent(&folder, 100 + start, WINDOW)]).unwrap();
            later(&folder, 1);
        }
        // Its segments go with the first one that begins afterwards.
        let (mut log, _) = open(&folder);
        later(&folder, 60);
        for i in 0..60 {
            write(
                &mut log,
                &[
                    intent(&folder, 200 + i, WINDOW),
                    outcome(&folder, i, WINDOW, &[7; 600]),
                ],
            )
            .unwrap();
        }
        drop(log);
        assert_eq!(open(&folder).1.damage, [], "{taken}");
    }
}

#[test]
fn another_format_is_refused_clearly() {
    let folder = folder();
    drop(filled(&folder));
    let name = folder.names()[0].clone();
    // Version 2, with the checksum of its head.
    folder.change(&name, |bytes| {
        let format = pipitlever_framing::Format {
            version: 2,
            ..pipitlever_idempotency_store::record::FORMAT
        };
        let mut head = Vec::new();
        format.write_header(&mut head);
        bytes[..head.len()].copy_from_slice(&head);
    });
    let refused = Log::open(folder.clone(), LIMITS, WINDOW).expect_err("another format");
    assert!(matches!(refused, OpenError::Damaged(_)));
    assert!(
        refused
            .to_string()
            .contains("format 2; this build reads format 1"),
        "{refused}"
    );
}

/// After a failure nothing is appended behind what may be half there, and what was durable before
/// stays readable.
#[test]
fn failures_leave_all_that_was_durable() {
    for faults in [
        Faults {
            short: Some(20),
            ..Faults::default()
        },
        Faults {
            short: Some(0),
            ..Faults::default()
        },
        Faults {
            sync: true,
            ..Faults::default()
        },
        Faults {
            read_only: true,
            ..Faults::default()
        },
    ] {
        let folder = folder();
        let (mut log, _) = open(&folder);
        write(&mut log, &[intent(&folder, 1, WINDOW)]).unwrap();
        folder.0.borrow_mut().faults = faults;
        for _ in 0..3 {
            assert!(
                write(&mut log, &[intent(&folder, 2, WINDOW)]).is_err(),
                "{faults:?}"
            );
        }
        folder.0.borrow_mut().faults = Faults::default();
        log.write(&Batch::default()).unwrap();
        write(
            &mut log,
            &[
                outcome(&folder, 1, WINDOW, b"one"),
                intent(&folder, 3, WINDOW),
            ],
        )
        .unwrap();
        drop(log);
        let (_, found) = open(&folder);
        assert_eq!(found.damage, [], "{faults:?}");
        let kept = |reference| {
            found
                .keys
                .iter()
                .find(|k| k.intent.reference == reference)
                .map(|k| k.outcome.clone())
        };
        assert_eq!(
            kept(1),
            Some(Some(Outcome::Served(b"one".to_vec()))),
            "{faults:?}"
        );
        assert_eq!(kept(3), Some(None), "{faults:?}");
        // A sync that failed may have worked: then it has to look like a run, which is what a void
        // is for.
        assert!(kept(2).is_none() || kept(2) == Some(None), "{faults:?}");
    }
}

/// An hour's keys, in a store that holds a minute's: it stays within its bound, and forgets nothing
/// too soon.
#[test]
fn room_is_used_again() {
    let folder = folder();
    let (mut log, _) = open(&folder);
    let mut most = 0;
    for i in 0..3600 {
        write(
            &mut log,
            &[
                intent(&folder, i, WINDOW),
                outcome(&folder, i, WINDOW, &[7; 400]),
            ],
        )
        .unwrap();
        later(&folder, 1);
        most = most.max(folder.size());
        assert_eq!(folder.size(), log.used_bytes());
    }
    assert!(most <= LIMITS.capacity, "{most}");
    let now = folder.clone().clocks();
    let kept = LogContents::read(&mut folder.clone())
        .unwrap()
        .into_keys(&now);
    // Those within their windows, and those whose repeats may still be read.
    assert_eq!(kept.len() as i64, WINDOW / SECOND + 8);
}

/// One key with a window of an hour among many of 20 seconds: what is still wanted is written
/// again, and the rest goes.
#[test]
fn long_windows_do_not_keep_the_others_room() {
    let folder = folder();
    let (mut log, _) = open(&folder);
    let hour = 3600 * SECOND;
    let mut most = 0;
    for i in 0..2000 {
        if i % 200 == 0 {
            let long = [
                intent(&folder, 10_000 + i, hour),
                outcome(&folder, 10_000 + i, hour, b"long"),
            ];
            write(&mut log, &long).unwrap();
        }
        write(
            &mut log,
            &[
                intent(&folder, i, WINDOW),
                outcome(&folder, i, WINDOW, &[7; 400]),
            ],
        )
        .unwrap();
        later(&folder, 1);
        most = most.max(folder.size());
    }
    assert!(most <= LIMITS.capacity, "{most}");
    let contents = LogContents::read(&mut folder.clone()).unwrap();
    assert_eq!(contents.damage, []);
    let now = folder.clone().clocks();
    let long: Vec<_> = contents
        .into_keys(&now)
        .into_iter()
        .filter(|k| k.intent.window == hour)
        .collect();
    assert_eq!(long.len(), 10);
    assert!(long
        .iter()
        .all(|k| k.outcome == Some(Outcome::Served(b"long".to_vec()))));
}

#[test]
fn files_that_cannot_be_removed_cost_room_and_no_more() {
    let folder = folder();
    let (mut log, _) = open(&folder);
    let mut failures = 0;
    for i in 0..400 {
        folder.0.borrow_mut().faults.remove = i % 20 != 0;
        let records = [
            intent(&folder, i, WINDOW),
            outcome(&folder, i, WINDOW, &[7; 400]),
        ];
        failures += u64::from(write(&mut log, &records).is_err());
        later(&folder, 1);
        assert_eq!(folder.size(), log.used_bytes());
    }
    assert_eq!(failures, 0);
    assert_eq!(LogContents::read(&mut folder.clone()).unwrap().damage, []);
}

#[test]
fn compaction_keeps_what_is_wanted() {
    let folder = folder();
    drop(filled(&folder));
    later(&folder, 5);
    let before = folder.size();
    let (mut log, found) = open(&folder);
    log.compact().unwrap();
    assert_eq!(folder.size(), log.used_bytes());
    drop(log);
    assert!(
        folder.size() <= before + 512 && folder.names().len() <= 2,
        "{before} {}",
        folder.size()
    );
    let (_, again) = open(&folder);
    assert_eq!(again.damage, []);
    let kept = |found: &OpenReport| {
        let all = found
            .keys
            .iter()
            .map(|k| (k.intent.reference, k.window_end, k.outcome.clone()));
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|k| k.0);
        all
    };
    assert_eq!(kept(&again), kept(&found));
    later(&folder, 30);
    let (mut log, _) = open(&folder);
    log.compact().unwrap();
    assert!(folder.size() < 1024, "{}", folder.size());
}

fn fixed() -> proptest::test_runner::Config {
    // The same ones on every run.
    let rng_seed = proptest::test_runner::RngSeed::Fixed(7);
    proptest::test_runner::Config {
        cases: 400,
        rng_seed,
        failure_persistence: None,
        ..Default::default()
    }
}

proptest::proptest! {
    #![proptest_config(fixed())]

    /// Whatever becomes of the bytes: no panic, no result that was not written, and no key missing
    /// without a word.
    #[test]
    fn spoilt_files_never_lie(
        changes in proptest::collection::vec((0..8usize, 0..20_000usize, 0..4u8, proptest::prelude::any::<u8>()), 1..6)
    ) {
        let folder = folder();
        drop(filled(&folder));
        let names = folder.names();
        let last = names.last().unwrap();
        let mut touched_last = false;
        for (file, at, kind, byte) in changes {
            let name = &names[file % names.len()];
            touched_last |= name == last;
            folder.change(name, |bytes| {
                let at = at % bytes.len().max(1);
                match kind {
                    0 if !bytes.is_empty() => bytes[at] = byte,
                    1 => bytes.truncate(at),
                    2 => drop(bytes.splice(at..at, std::iter::repeat_n(byte, 5))),
                    _ => bytes.iter_mut().skip(at).take(16).for_each(|b| *b ^= byte),
                }
            });
        }
        let now = folder.clone().clocks();
        let Ok(contents) = LogContents::read(&mut folder.clone()) else { return Ok(()) };
        let damaged = !contents.damage.is_empty();
        let keys = contents.into_keys(&now);
        for key in &keys {
            if let Some(kept) = &key.outcome {
                let result = Outcome::Served(vec![key.intent.reference as u8 + 1; 600]);
                proptest::prop_assert_eq!(kept, &result);
            }
        }
        proptest::prop_assert!(keys.len() == 30 || damaged || touched_last, "{} keys", keys.len());
    }
}
