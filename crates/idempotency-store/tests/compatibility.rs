//! Records and segments of the idempotency store are compared with fixtures written by the build of
//! commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-idempotency-store --test
//! compatibility`), so that each build can read the directory of the other.

mod common;

use common::Directory;
use pipitlever_idempotency_store::log::{Batch, Limits, Log, SegmentFiles};
use pipitlever_idempotency_store::record::{
    decode_header, decode_records, encode, Clocks, Intent, Outcome, Record, Salt, SegmentHeader,
};
use pipitlever_idempotency_store::recovery::RecoveredKey;
use std::path::PathBuf;

const SECOND: i64 = 1_000_000;
const WINDOW: i64 = 20 * SECOND;
const LIMITS: Limits = Limits {
    capacity: 64 << 10,
    segment_size: 1 << 10,
};

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures")).join(name)
}

fn intent(id: u64, expires_at: i64) -> Intent {
    Intent {
        id,
        reference: 0x0102_0304_0506_0708,
        key: format!("key {id}"),
        class: "swap-confirm".into(),
        payload_digest: 0x1112_1314_1516_1718,
        arrived_at: 1_700_000_000_123_456,
        window: WINDOW,
        expires_at,
        read_grace: 8 * SECOND,
    }
}

fn records() -> Vec<(&'static str, Record)> {
    let served = Outcome::Served(b"result".to_vec());
    vec![
        ("intent", Record::Intent(intent(7, 500))),
        (
            "outcome-served",
            Record::Outcome {
                id: 8,
                expires_at: 501,
                outcome: served,
            },
        ),
        (
            "outcome-failed",
            Record::Outcome {
                id: 9,
                expires_at: 502,
                outcome: Outcome::Failed,
            },
        ),
        (
            "void",
            Record::Void {
                id: 10,
                expires_at: 503,
            },
        ),
    ]
}

#[test]
fn records_and_digests_match_those_of_the_earlier_build() {
    let mut samples = Vec::new();
    for (name, record) in records() {
        let mut bytes = Vec::new();
        encode(&record, &mut bytes);
        assert_eq!(decode_records(&bytes), Ok(vec![record]), "{name}");
        samples.push((name, bytes));
    }
    let clocks = Clocks {
        wall: 1_700_000_000_000_000,
        since_boot: 600,
        boot_id: "boot-1".into(),
    };
    let first = SegmentHeader {
        number: 4,
        oldest: 2,
        previous_durable_bytes: Some(900),
        clocks,
        salt: Salt([11, 12]),
    };
    let mut bytes = Vec::new();
    encode(&first, &mut bytes);
    assert_eq!(decode_header(&bytes), Ok(first));
    samples.push(("opening", bytes));
    let digest = Salt([11, 12]).digest("swap-confirm", b"body");
    samples.push(("body-digest", digest.to_be_bytes().to_vec()));
    pipitlever_test_fixtures::assert_bytes(fixture("records.txt"), &samples);
}

/// The keys recovered from a directory, one line for each.
fn recovered_keys(directory: &Directory) -> String {
    let (_, found) = Log::open(directory.clone(), LIMITS, WINDOW)
        .expect("the earlier build's directory can be read");
    assert_eq!(found.damage, []);
    let line = |key: &RecoveredKey| match &key.outcome {
        None => format!("{} may-have-run\n", key.intent.key),
        Some(Outcome::Failed) => format!("{} failed\n", key.intent.key),
        Some(Outcome::Served(result)) => format!("{} served {result:?}\n", key.intent.key),
    };
    found.keys.iter().map(line).collect()
}

/// Writes a directory of 12 keys, three each without an outcome, served, failed and void, and
/// compacts its log.
fn write_directory() -> Directory {
    let directory = Directory::default();
    directory.machine().wall = 1_000_000 * SECOND;
    directory.machine().since_boot = 500 * SECOND;
    let (mut log, _) = Log::open(directory.clone(), LIMITS, WINDOW).unwrap();
    let expires_at = 500 * SECOND + WINDOW;
    for id in 0..12 {
        let mut batch = Batch::default();
        batch.push(&Record::Intent(intent(id, expires_at)));
        match id % 4 {
            0 => {}
            1 => batch.push(&Record::Outcome {
                id,
                expires_at,
                outcome: Outcome::Served(vec![id as u8; 200]),
            }),
            2 => batch.push(&Record::Outcome {
                id,
                expires_at,
                outcome: Outcome::Failed,
            }),
            _ => batch.push(&Record::Void { id, expires_at }),
        }
        log.write(&batch).unwrap();
    }
    log.compact().unwrap();
    directory
}

#[test]
fn a_directory_of_the_earlier_build_is_recovered() {
    let text = std::fs::read_to_string(fixture("store.txt")).unwrap_or_default();
    if std::env::var_os("PIPITLEVER_WRITE_FIXTURES").is_some() {
        let mut directory = write_directory();
        let names = directory.list().unwrap();
        let files: Vec<_> = names
            .iter()
            .map(|name| (name.as_str(), directory.read(name).unwrap()))
            .collect();
        pipitlever_test_fixtures::assert_bytes(fixture("store.txt"), &files);
        pipitlever_test_fixtures::assert_text(
            fixture("recovered.txt"),
            &recovered_keys(&directory),
        );
        return;
    }
    let mut directory = Directory::default();
    directory.machine().wall = 1_000_001 * SECOND;
    directory.machine().since_boot = 501 * SECOND;
    for line in text.lines() {
        let (name, hex) = line.split_once(' ').unwrap();
        let byte = |index: usize| u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..hex.len() / 2).map(byte).collect();
        directory.create(name).unwrap();
        directory.append(&bytes).unwrap();
        directory.sync().unwrap();
    }
    pipitlever_test_fixtures::assert_text(fixture("recovered.txt"), &recovered_keys(&directory));
}
