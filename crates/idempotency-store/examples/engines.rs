//! What a key costs in the log and in redb: `cargo run --release -p pipitlever-idempotency-store
//! --example engines [FOLDER]`.
//!
//! Each key is an intent that is synced and an outcome with a result of 400 bytes that is. `group`
//! has 16 of them wait for each sync, `each` one.

use pipitlever_idempotency_store::disk::StoreDirectory;
use pipitlever_idempotency_store::log::{Batch, Limits, Log};
use pipitlever_idempotency_store::record::{encode, Intent, Outcome, Record};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use std::time::Instant;

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("keys");
const WINDOW: i64 = 3_600_000_000;

fn records(reference: u64, up: i64, wall: i64) -> [Record; 2] {
    let over = up + WINDOW;
    let intent = Intent {
        id: reference,
        reference,
        key: format!("5c0f6e1a2b3d4c59{reference:016x}"),
        class: "swap-confirm".into(),
        payload_digest: reference,
        arrived_at: wall,
        window: WINDOW,
        expires_at: over,
        read_grace: 0,
    };
    [
        Record::Intent(intent),
        Record::Outcome {
            id: reference,
            expires_at: over,
            outcome: Outcome::Served(vec![7; 400]),
        },
    ]
}

/// Resident memory, in KB.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}

/// Bytes that this process had written to storage so far.
fn written() -> u64 {
    let io = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    io.lines()
        .find_map(|l| l.strip_prefix("write_bytes: "))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

fn size(folder: &Path) -> u64 {
    std::fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().metadata().unwrap().len())
        .sum()
}

fn tell(
    name: &str,
    keys: u64,
    mut syncs: Vec<f64>,
    bytes: u64,
    disk: u64,
    start: f64,
    memory: u64,
) {
    syncs.sort_by(f64::total_cmp);
    let at = |share: f64| syncs[((syncs.len() - 1) as f64 * share) as usize] * 1e6;
    println!(
        "{name:<12} keys={keys} sync p50={:.0} us p99={:.0} us written={} B/key on disk={} B/key \
         opened in {:.0} ms, {memory} KB more",
        at(0.5),
        at(0.99),
        bytes / keys,
        disk / keys,
        start * 1e3
    );
}

fn log(folder: &Path, keys: u64, group: u64) {
    let limits = Limits::for_capacity(1 << 30);
    let (mut log, _) = Log::open(StoreDirectory::open(folder).unwrap(), limits, WINDOW).unwrap();
    let clocks = log.clocks();
    let (before, mut syncs) = (written(), Vec::new());
    for first in (0..keys).step_by(group as usize) {
        for part in 0..2 {
            let mut batch = Batch::default();
            (first..first + group)
                .for_each(|r| batch.push(&records(r, clocks.since_boot, clocks.wall)[part]));
            let start = Instant::now();
            log.write(&batch).unwrap();
            syncs.push(start.elapsed().as_secs_f64());
        }
    }
    let bytes = written() - before;
    drop(log);
    let memory = resident();
    let start = Instant::now();
    let (log, found) = Log::open(StoreDirectory::open(folder).unwrap(), limits, WINDOW).unwrap();
    let took = start.elapsed().as_secs_f64();
    assert_eq!(found.keys.len() as u64, keys);
    let memory = resident().saturating_sub(memory);
    drop(log);
    tell(
        if group > 1 { "log group" } else { "log each" },
        keys,
        syncs,
        bytes,
        size(folder),
        took,
        memory,
    );
}

fn redb(folder: &Path, keys: u64, group: u64) {
    std::fs::create_dir_all(folder).unwrap();
    let path = folder.join("store.redb");
    let database = Database::create(&path).unwrap();
    let (before, mut syncs) = (written(), Vec::new());
    for first in (0..keys).step_by(group as usize) {
        for part in 0..2 {
            let start = Instant::now();
            let transaction = database.begin_write().unwrap();
            {
                let mut table = transaction.open_table(TABLE).unwrap();
                for reference in first..first + group {
                    // One value a key: the outcome replaces the intent.
                    let mut value = Vec::new();
                    records(reference, 0, 0)[..=part]
                        .iter()
                        .for_each(|r| encode(r, &mut value));
                    table
                        .insert(
                            format!("5c0f6e1a2b3d4c59{reference:016x}").as_bytes(),
                            &*value,
                        )
                        .unwrap();
                }
            }
            transaction.commit().unwrap();
            syncs.push(start.elapsed().as_secs_f64());
        }
    }
    let bytes = written() - before;
    drop(database);
    let memory = resident();
    let start = Instant::now();
    let database = Database::open(&path).unwrap();
    let transaction = database.begin_read().unwrap();
    let table = transaction.open_table(TABLE).unwrap();
    let all: Vec<Vec<u8>> = table
        .iter()
        .unwrap()
        .map(|e| e.unwrap().1.value().to_vec())
        .collect();
    let took = start.elapsed().as_secs_f64();
    assert_eq!(all.len() as u64, keys);
    let memory = resident().saturating_sub(memory);
    tell(
        if group > 1 { "redb group" } else { "redb each" },
        keys,
        syncs,
        bytes,
        size(folder),
        took,
        memory,
    );
}

fn main() {
    let base = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let base = base.join(format!("pipitlever-engines-{}", std::process::id()));
    for round in 0..3 {
        for (group, keys) in [(1, 2_000), (16, 16_000)] {
            log(&base.join(format!("log-{round}-{group}")), keys, group);
            redb(&base.join(format!("redb-{round}-{group}")), keys, group);
        }
    }
    log(&base.join("log-many"), 100_000, 100);
    redb(&base.join("redb-many"), 100_000, 100);
    let _ = std::fs::remove_dir_all(&base);
}
