//! Helpers that write and read logs with the records of runs.

use super::Directory;
use pipitlever_idempotency_store::log::{
    Batch, Limits, Log, LogContents, OpenReport, SegmentFiles,
};
use pipitlever_idempotency_store::record::{Intent, Outcome, Record};
use pipitlever_idempotency_store::recovery::RecoveredKey;
use std::io;

pub const SECOND: i64 = 1_000_000;
pub const WINDOW: i64 = 20 * SECOND;
pub const READ_GRACE: i64 = 8 * SECOND;
pub const HOUR: i64 = 3600 * SECOND;
pub const LIMITS: Limits = Limits {
    capacity: 64 << 10,
    segment_size: 8 << 10,
};
/// Number of keys in [`filled_log`].
pub const KEYS: u64 = 30;

pub fn directory() -> Directory {
    let directory = Directory::default();
    directory.machine().wall = 1_000_000 * SECOND;
    directory.machine().since_boot = 500 * SECOND;
    directory
}

pub fn open(directory: &Directory) -> (Log<Directory>, OpenReport) {
    Log::open(directory.clone(), LIMITS, WINDOW).expect("the log can be read")
}

pub fn read(directory: &Directory) -> LogContents {
    LogContents::read(&mut directory.clone()).expect("the log can be read")
}

pub fn live_keys(directory: &Directory) -> Vec<RecoveredKey> {
    let now = directory.clone().clocks();
    read(directory).into_keys(&now)
}

pub fn intent(directory: &Directory, reference: u64, window: i64) -> Record {
    let machine = directory.machine();
    Record::Intent(Intent {
        id: reference,
        reference,
        key: format!("key {reference}"),
        class: "swap".to_owned(),
        payload_digest: 1,
        arrived_at: machine.wall,
        window,
        expires_at: machine.since_boot + window + READ_GRACE,
        read_grace: READ_GRACE,
    })
}

pub fn outcome(directory: &Directory, reference: u64, window: i64, result: &[u8]) -> Record {
    Record::Outcome {
        id: reference,
        expires_at: directory.machine().since_boot + window + READ_GRACE,
        outcome: Outcome::Served(result.to_vec()),
    }
}

pub fn write(log: &mut Log<Directory>, records: &[Record]) -> io::Result<()> {
    let mut batch = Batch::default();
    for record in records {
        batch.push(record);
    }
    log.write(&batch)
}

/// Writes an intent and its outcome in one batch.
pub fn write_run(
    log: &mut Log<Directory>,
    directory: &Directory,
    reference: u64,
    window: i64,
    result: &[u8],
) -> io::Result<()> {
    let records = [
        intent(directory, reference, window),
        outcome(directory, reference, window, result),
    ];
    write(log, &records)
}

/// The result of a key of [`filled_log`].
pub fn result_of(reference: u64) -> Vec<u8> {
    vec![reference as u8 + 1; 600]
}

/// Writes [`KEYS`] keys with their results, in at least three segments.
pub fn filled_log(directory: &Directory) -> Log<Directory> {
    let (mut log, _) = open(directory);
    for reference in 0..KEYS {
        let result = result_of(reference);
        write_run(&mut log, directory, reference, WINDOW, &result).unwrap();
    }
    assert!(directory.names().len() >= 3);
    log
}
