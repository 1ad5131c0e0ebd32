//! Compares the log with redb: `cargo run --release -p pipitlever-idempotency-store --example
//! engines [DIRECTORY]`.
//!
//! For each key an intent is written and synced, then an outcome with a result of 400 bytes. In the
//! mode `group` several keys share each sync; in the mode `each` every record has its own sync.

use pipitlever_idempotency_store::disk::StoreDirectory;
use pipitlever_idempotency_store::log::{Batch, Limits, Log};
use pipitlever_idempotency_store::record::{encode, Clocks, Intent, Outcome, Record};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("keys");
/// Window of the keys, in microseconds.
const WINDOW: i64 = 3_600_000_000;
const PAGE_KB: u64 = 4;

fn key(reference: u64) -> String {
    format!("5c0f6e1a2b3d4c59{reference:016x}")
}

fn records(reference: u64, clocks: &Clocks) -> [Record; 2] {
    let expires_at = clocks.since_boot + WINDOW;
    let intent = Intent {
        id: reference,
        reference,
        key: key(reference),
        class: "swap-confirm".into(),
        payload_digest: reference,
        arrived_at: clocks.wall,
        window: WINDOW,
        expires_at,
        read_grace: 0,
    };
    let outcome = Record::Outcome {
        id: reference,
        expires_at,
        outcome: Outcome::Served(vec![7; 400]),
    };
    [Record::Intent(intent), outcome]
}

/// Resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_KB
}

/// Bytes that this process has caused to be written to storage.
fn written_bytes() -> u64 {
    let io = fs::read_to_string("/proc/self/io").unwrap_or_default();
    let mut lines = io.lines();
    let written = lines.find_map(|line| line.strip_prefix("write_bytes: "));
    written.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

fn directory_bytes(directory: &Path) -> u64 {
    let entries = fs::read_dir(directory).unwrap();
    entries
        .map(|entry| entry.unwrap().metadata().unwrap().len())
        .sum()
}

#[derive(Clone, Copy)]
struct Workload {
    keys: u64,
    /// Keys that share a sync.
    keys_per_sync: u64,
}

struct Figures {
    /// Duration of each write with its sync, in seconds.
    sync_times: Vec<f64>,
    written_bytes: u64,
    directory_bytes: u64,
    /// Duration of opening, in seconds.
    open_time: f64,
    /// Growth of resident memory on opening, in KB.
    memory_kb: u64,
}

fn print(engine: &str, workload: Workload, mut figures: Figures) {
    figures.sync_times.sort_by(f64::total_cmp);
    let percentile_us = |ratio: f64| {
        let index = ((figures.sync_times.len() - 1) as f64 * ratio) as usize;
        figures.sync_times[index] * 1e6
    };
    let Workload {
        keys,
        keys_per_sync,
    } = workload;
    let mode = if keys_per_sync > 1 { "group" } else { "each" };
    println!(
        "{:<12} keys={keys} sync p50={:.0} us p99={:.0} us written={} B/key on disk={} B/key \
         opened in {:.0} ms, {} KB more",
        format!("{engine} {mode}"),
        percentile_us(0.5),
        percentile_us(0.99),
        figures.written_bytes / keys,
        figures.directory_bytes / keys,
        figures.open_time * 1e3,
        figures.memory_kb
    );
}

fn open_log(directory: &Path) -> (Log<StoreDirectory>, usize) {
    let files = StoreDirectory::open(directory).unwrap();
    let (log, report) = Log::open(files, Limits::for_capacity(1 << 30), WINDOW).unwrap();
    (log, report.keys.len())
}

fn measure_log(directory: &Path, workload: Workload) -> Figures {
    let (mut log, _) = open_log(directory);
    let clocks = log.clocks();
    let written_before = written_bytes();
    let mut sync_times = Vec::new();
    for first in (0..workload.keys).step_by(workload.keys_per_sync as usize) {
        for part in 0..2 {
            let mut batch = Batch::default();
            for reference in first..first + workload.keys_per_sync {
                batch.push(&records(reference, &clocks)[part]);
            }
            let start = Instant::now();
            log.write(&batch).unwrap();
            sync_times.push(start.elapsed().as_secs_f64());
        }
    }
    let written_bytes = written_bytes() - written_before;
    drop(log);
    let memory_before = resident_kb();
    let start = Instant::now();
    let (log, keys) = open_log(directory);
    let open_time = start.elapsed().as_secs_f64();
    assert_eq!(keys as u64, workload.keys);
    let memory_kb = resident_kb().saturating_sub(memory_before);
    drop(log);
    Figures {
        sync_times,
        written_bytes,
        directory_bytes: directory_bytes(directory),
        open_time,
        memory_kb,
    }
}

/// Writes the records of some keys in one transaction. Each key has one value: the intent alone
/// (`part` 0), or the intent followed by the outcome (`part` 1).
fn write_redb(database: &Database, references: std::ops::Range<u64>, part: usize) {
    let clocks = Clocks {
        wall: 0,
        since_boot: 0,
        boot_id: String::new(),
    };
    let transaction = database.begin_write().unwrap();
    {
        let mut table = transaction.open_table(TABLE).unwrap();
        for reference in references {
            let mut value = Vec::new();
            for record in &records(reference, &clocks)[..=part] {
                encode(record, &mut value);
            }
            table.insert(key(reference).as_bytes(), &*value).unwrap();
        }
    }
    transaction.commit().unwrap();
}

fn measure_redb(directory: &Path, workload: Workload) -> Figures {
    fs::create_dir_all(directory).unwrap();
    let path = directory.join("store.redb");
    let database = Database::create(&path).unwrap();
    let written_before = written_bytes();
    let mut sync_times = Vec::new();
    for first in (0..workload.keys).step_by(workload.keys_per_sync as usize) {
        for part in 0..2 {
            let start = Instant::now();
            write_redb(&database, first..first + workload.keys_per_sync, part);
            sync_times.push(start.elapsed().as_secs_f64());
        }
    }
    let written_bytes = written_bytes() - written_before;
    drop(database);
    let memory_before = resident_kb();
    let start = Instant::now();
    let database = Database::open(&path).unwrap();
    let transaction = database.begin_read().unwrap();
    let table = transaction.open_table(TABLE).unwrap();
    let values: Vec<Vec<u8>> = table
        .iter()
        .unwrap()
        .map(|entry| entry.unwrap().1.value().to_vec())
        .collect();
    let open_time = start.elapsed().as_secs_f64();
    assert_eq!(values.len() as u64, workload.keys);
    Figures {
        sync_times,
        written_bytes,
        directory_bytes: directory_bytes(directory),
        open_time,
        memory_kb: resident_kb().saturating_sub(memory_before),
    }
}

fn compare(base: &Path, name: &str, workload: Workload) {
    let log = measure_log(&base.join(format!("log-{name}")), workload);
    print("log", workload, log);
    let redb = measure_redb(&base.join(format!("redb-{name}")), workload);
    print("redb", workload, redb);
}

fn main() {
    let base = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let base = base.join(format!("pipitlever-engines-{}", std::process::id()));
    for round in 0..3 {
        for (keys_per_sync, keys) in [(1, 2_000), (16, 16_000)] {
            let workload = Workload {
                keys,
                keys_per_sync,
            };
            compare(&base, &format!("{round}-{keys_per_sync}"), workload);
        }
    }
    let many = Workload {
        keys: 100_000,
        keys_per_sync: 100,
    };
    compare(&base, "many", many);
    let _ = fs::remove_dir_all(&base);
}
