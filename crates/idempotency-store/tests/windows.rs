//! Records of keys whose window became longer after they were written.

mod common;

use common::runs::*;
use common::Directory;
use pipitlever_idempotency_store::class_windows::ClassWindows;
use pipitlever_idempotency_store::log::{Batch, Log, LogContents, SegmentFiles};
use pipitlever_idempotency_store::record::Outcome;
use pipitlever_idempotency_store::recovery::RecoveredKey;

/// The window in force; records are written with [`WINDOW`].
const LONGER_WINDOW: i64 = 60 * SECOND;

fn longer_windows() -> ClassWindows {
    ClassWindows::from_iter([("swap".to_owned(), LONGER_WINDOW)])
}

fn open_with_longer_windows(directory: &Directory) -> Log<Directory> {
    let files = directory.clone();
    let (log, _) = Log::open_with_windows(files, LIMITS, LONGER_WINDOW, longer_windows()).unwrap();
    log
}

/// The keys that a process with the longer window recovers.
fn recovered_keys(directory: &Directory) -> Vec<RecoveredKey> {
    let mut files = directory.clone();
    let contents = LogContents::read_with_windows(&mut files, longer_windows()).unwrap();
    let now = files.clocks();
    contents.into_keys(&now)
}

/// Writes further keys until segments are dropped and rewritten.
fn write_further_keys(log: &mut Log<Directory>, directory: &Directory) {
    for reference in KEYS..4 * KEYS {
        directory.advance(SECOND / 4);
        write_run(log, directory, reference, WINDOW, &[7; 300]).unwrap();
    }
}

/// Asserts that the keys of [`filled_log`] are recovered with their results.
fn assert_first_keys_are_recovered(directory: &Directory, arrived_at: i64) {
    let keys = recovered_keys(directory);
    for reference in 0..KEYS {
        let name = format!("key {reference}");
        let key = keys.iter().find(|key| key.intent.key == name);
        let key = key.unwrap_or_else(|| panic!("{name} is lost"));
        assert_eq!(key.window_end, arrived_at + LONGER_WINDOW);
        assert_eq!(key.outcome, Some(Outcome::Served(result_of(reference))));
    }
}

/// Guards against a second run after a restart with a longer window: a key was dropped once the
/// window had ended with which it was written.
#[test]
fn longer_window_applies_to_records_of_an_earlier_process() {
    let directory = directory();
    drop(filled_log(&directory));
    let arrived_at = directory.machine().wall;
    directory.advance(WINDOW + READ_GRACE + SECOND);
    assert_eq!(live_keys(&directory), []);
    assert_first_keys_are_recovered(&directory, arrived_at);
}

/// Guards against segments that the next process drops although a window in force has not ended.
#[test]
fn records_of_an_earlier_process_stay_for_a_longer_window() {
    let directory = directory();
    drop(filled_log(&directory));
    let arrived_at = directory.machine().wall;
    directory.advance(5 * SECOND);
    let mut log = open_with_longer_windows(&directory);
    directory.advance(WINDOW + READ_GRACE);
    write_further_keys(&mut log, &directory);
    assert_first_keys_are_recovered(&directory, arrived_at);
    // A third process finds them as well.
    drop(open_with_longer_windows(&directory));
    assert_first_keys_are_recovered(&directory, arrived_at);
}

/// Guards against segments that are dropped although a reload has made a window longer.
#[test]
fn records_stay_for_a_window_that_became_longer() {
    let directory = directory();
    let mut log = filled_log(&directory);
    let arrived_at = directory.machine().wall;
    let extension = LONGER_WINDOW - WINDOW;
    log.write(&Batch {
        extension,
        ..Batch::default()
    })
    .unwrap();
    directory.advance(WINDOW + READ_GRACE + SECOND);
    write_further_keys(&mut log, &directory);
    assert_first_keys_are_recovered(&directory, arrived_at);
    // They are dropped after the longer window.
    directory.advance(LONGER_WINDOW + READ_GRACE);
    write_further_keys(&mut log, &directory);
    write_further_keys(&mut log, &directory);
    assert!(directory.size() <= LIMITS.capacity);
}

/// Guards against records that are left out when an old segment is rewritten.
#[test]
fn rewritten_records_stay_for_a_window_that_became_longer() {
    const FIRST_KEYS: u64 = 24;
    let is_long = |reference: &u64| reference.is_multiple_of(8);
    let directory = directory();
    let (mut log, _) = open(&directory);
    for reference in 0..FIRST_KEYS {
        let window = if is_long(&reference) { WINDOW } else { SECOND };
        write_run(
            &mut log,
            &directory,
            reference,
            window,
            &result_of(reference),
        )
        .unwrap();
    }
    let first_segment = directory.names()[0].clone();
    let extension = LONGER_WINDOW - WINDOW;
    log.write(&Batch {
        extension,
        ..Batch::default()
    })
    .unwrap();
    // Most records have expired, those with the longer window have not.
    directory.advance(extension + SECOND + READ_GRACE + SECOND);
    for reference in FIRST_KEYS..4 * FIRST_KEYS {
        directory.advance(SECOND / 10);
        write_run(&mut log, &directory, reference, WINDOW, &[7; 600]).unwrap();
    }
    assert!(!directory.names().contains(&first_segment));
    let keys = recovered_keys(&directory);
    for reference in (0..FIRST_KEYS).filter(is_long) {
        let name = format!("key {reference}");
        let key = keys.iter().find(|key| key.intent.key == name);
        let outcome = Some(Outcome::Served(result_of(reference)));
        assert_eq!(key.expect("the key is recovered").outcome, outcome);
    }
}

#[test]
fn windows_that_change_to_and_fro_extend_no_record_twice() {
    let windows = |micros| ClassWindows::from_iter([("swap".to_owned(), micros)]);
    let mut longest = windows(13 * SECOND);
    let extensions = [20, 13, 20, 25, 5, 25].map(|s| longest.merge(&windows(s * SECOND)) / SECOND);
    assert_eq!(extensions, [7, 0, 0, 5, 0, 0]);
}
