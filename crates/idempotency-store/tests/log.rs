//! Recovery of written keys, reclaiming of space, and compaction.

mod common;

use common::runs::{
    directory, filled_log, live_keys, open, read, result_of, write_run, HOUR, KEYS, LIMITS,
    READ_GRACE, SECOND, WINDOW,
};
use pipitlever_idempotency_store::log::OpenReport;
use pipitlever_idempotency_store::record::Outcome;

#[test]
fn written_keys_are_recovered() {
    let directory = directory();
    drop(filled_log(&directory));
    directory.advance(5 * SECOND);
    let (_, report) = open(&directory);
    assert_eq!(report.keys.len() as u64, KEYS);
    assert_eq!((report.damage, report.torn_bytes), (vec![], 0));
    for key in report.keys {
        let result = result_of(key.intent.reference);
        assert_eq!(key.outcome, Some(Outcome::Served(result)));
        assert_eq!(key.window_end, directory.machine().wall + 15 * SECOND);
    }
    // A duplicate that arrived within the window may be read until the end of the read grace.
    directory.advance(23 * SECOND);
    assert_eq!(open(&directory).1.keys.len() as u64, KEYS);
    directory.advance(SECOND);
    assert!(open(&directory).1.keys.is_empty());
}

/// Writes the keys of an hour to a log that has space for those of about a minute.
#[test]
fn expired_segments_are_reclaimed() {
    let directory = directory();
    let (mut log, _) = open(&directory);
    let mut max_size = 0;
    for reference in 0..3600 {
        write_run(&mut log, &directory, reference, WINDOW, &[7; 400]).unwrap();
        directory.advance(SECOND);
        max_size = max_size.max(directory.size());
        assert_eq!(directory.size(), log.used_bytes());
    }
    assert!(max_size <= LIMITS.capacity, "{max_size}");
    // Keys within their windows, and keys within the read grace.
    let expected = (WINDOW + READ_GRACE) / SECOND;
    assert_eq!(live_keys(&directory).len() as i64, expected);
}

/// Writes a few keys with a window of an hour among many with 20 seconds: the live records have to
/// be copied to new segments, so that the old segments can be dropped.
#[test]
fn long_windows_do_not_prevent_reclaiming() {
    let directory = directory();
    let (mut log, _) = open(&directory);
    let mut max_size = 0;
    for reference in 0..2000 {
        if reference % 200 == 0 {
            write_run(&mut log, &directory, 10_000 + reference, HOUR, b"long").unwrap();
        }
        write_run(&mut log, &directory, reference, WINDOW, &[7; 400]).unwrap();
        directory.advance(SECOND);
        max_size = max_size.max(directory.size());
    }
    assert!(max_size <= LIMITS.capacity, "{max_size}");
    assert_eq!(read(&directory).damage, []);
    let mut long = live_keys(&directory);
    long.retain(|key| key.intent.window == HOUR);
    assert_eq!(long.len(), 10);
    let result = Some(Outcome::Served(b"long".to_vec()));
    assert!(long.iter().all(|key| key.outcome == result));
}

#[test]
fn files_that_cannot_be_removed_cause_no_write_errors() {
    let directory = directory();
    let (mut log, _) = open(&directory);
    let mut failures = 0;
    for reference in 0..400 {
        directory.machine().faults.fail_removals = reference % 20 != 0;
        let result = write_run(&mut log, &directory, reference, WINDOW, &[7; 400]);
        failures += u64::from(result.is_err());
        directory.advance(SECOND);
        assert_eq!(directory.size(), log.used_bytes());
    }
    assert_eq!(failures, 0);
    assert_eq!(read(&directory).damage, []);
}

#[test]
fn compaction_retains_live_keys() {
    let directory = directory();
    drop(filled_log(&directory));
    directory.advance(5 * SECOND);
    let size_before = directory.size();
    let (mut log, before) = open(&directory);
    log.compact().unwrap();
    assert_eq!(directory.size(), log.used_bytes());
    drop(log);
    assert!(
        directory.size() <= size_before + 512 && directory.names().len() <= 2,
        "{size_before} {}",
        directory.size()
    );
    let (_, after) = open(&directory);
    assert_eq!(after.damage, []);
    let by_reference = |report: &OpenReport| {
        let keys = report.keys.iter();
        let mut keys: Vec<_> = keys
            .map(|key| (key.intent.reference, key.window_end, key.outcome.clone()))
            .collect();
        keys.sort_by_key(|key| key.0);
        keys
    };
    assert_eq!(by_reference(&after), by_reference(&before));
    directory.advance(30 * SECOND);
    let (mut log, _) = open(&directory);
    log.compact().unwrap();
    assert!(directory.size() < 1024, "{}", directory.size());
}
