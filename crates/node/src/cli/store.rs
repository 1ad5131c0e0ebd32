//! `pipitlever store`: inspects an idempotency store that no node uses.

use pipitlever_idempotency_store::disk::StoreDirectory;
use pipitlever_idempotency_store::log::{Limits, Log, LogContents, SegmentFiles};
use pipitlever_idempotency_store::record::Outcome;
use pipitlever_idempotency_store::recovery::RecoveredKey;
use serde_json::json;
use std::fmt::Display;
use std::path::Path;

/// A task of `pipitlever store`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Check that all of it can be read.
    Check,
    /// List the keys that are within their idempotency windows.
    List,
    /// Rewrite the store with the keys that are within their idempotency windows.
    Compact,
}

impl Task {
    /// The task of this name.
    pub fn from_name(name: &str) -> Option<Task> {
        match name {
            "check" => Some(Task::Check),
            "list" => Some(Task::List),
            "compact" => Some(Task::Compact),
            _ => None,
        }
    }
}

/// Runs a task. Fails if the folder cannot be used or is damaged.
pub fn run(task: Task, folder: &str, json: bool) -> Result<(), String> {
    let error = |e: &dyn Display| format!("{folder}: {e}");
    if !Path::new(folder).is_dir() {
        return Err(error(&"not a folder"));
    }
    // Locked even for reading: a record that a node is writing would look like a torn tail.
    let mut directory = StoreDirectory::open(Path::new(folder)).map_err(|e| error(&e))?;
    let contents = LogContents::read(&mut directory).map_err(|e| error(&e))?;
    let now = directory.clocks();
    match task {
        Task::Check => {
            let summary = Summary::of(&contents);
            let keys = contents.into_keys(&now).len();
            summary.print(keys, json);
            match summary.damage.len() {
                0 => Ok(()),
                count => Err(error(&format!("damaged in {count} places"))),
            }
        }
        Task::List => {
            for key in contents.into_keys(&now) {
                print_key(&key, now.wall, json);
            }
            Ok(())
        }
        Task::Compact => {
            let before = Summary::of(&contents).bytes;
            let keys = contents.into_keys(&now).len();
            let after = compact(directory).map_err(|e| error(&e))?;
            if json {
                println!(
                    "{}",
                    json!({"keys": keys, "bytes_before": before, "bytes": after})
                );
            } else {
                println!("keys={keys} bytes_before={before} bytes={after}");
            }
            Ok(())
        }
    }
}

/// Sizes and damage of a store.
struct Summary {
    segments: usize,
    bytes: u64,
    /// Bytes after the last complete frame.
    torn: u64,
    damage: Vec<String>,
}

impl Summary {
    fn of(contents: &LogContents) -> Summary {
        let segments = &contents.segments;
        Summary {
            segments: segments.len(),
            bytes: segments.iter().map(|segment| segment.size).sum(),
            torn: segments.last().map_or(0, |last| last.size - last.readable),
            damage: contents.damage.iter().map(ToString::to_string).collect(),
        }
    }

    fn print(&self, keys: usize, json: bool) {
        let Summary {
            segments,
            bytes,
            torn,
            damage,
        } = self;
        if json {
            println!(
                "{}",
                json!({"segments": segments, "bytes": bytes, "keys": keys, "torn": torn,
                    "damage": damage})
            );
            return;
        }
        println!(
            "segments={segments} bytes={bytes} keys={keys} torn={torn} damage={}",
            damage.len()
        );
        for location in damage {
            println!("damage: {location}");
        }
    }
}

/// Prints one key. `now` is the wall clock's time, in microseconds.
fn print_key(found: &RecoveredKey, now: i64, json: bool) {
    let (outcome, bytes) = match &found.outcome {
        None => ("may-have-run", 0),
        Some(Outcome::Failed) => ("failed", 0),
        Some(Outcome::Served(result)) => ("served", result.len()),
    };
    let left_ms = (found.window_end - now) / 1000;
    let reference = format!("{:016x}", found.intent.reference);
    let (key, class) = (&found.intent.key, &found.intent.class);
    if json {
        println!(
            "{}",
            json!({"key": key, "class": class, "ref": reference, "outcome": outcome,
                "bytes": bytes, "left_ms": left_ms})
        );
    } else {
        println!(
            "{outcome} class={class} ref={reference} bytes={bytes} left_ms={left_ms} key={key:?}"
        );
    }
}

/// Compacts the store; returns its new size, in bytes.
fn compact(directory: StoreDirectory) -> Result<u64, String> {
    // This command does not read the configured capacity: no limit applies.
    let limits = Limits::for_capacity(u64::MAX / 2);
    let (mut log, _) = Log::open(directory, limits, 0).map_err(|e| e.to_string())?;
    log.compact().map_err(|e| e.to_string())?;
    Ok(log.used_bytes())
}
