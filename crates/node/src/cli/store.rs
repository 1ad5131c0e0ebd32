//! `pipitlever store`: looks at a store while nobody uses it.

use pipitlever_idempotency_store::disk::StoreDirectory;
use pipitlever_idempotency_store::log::{Limits, Log, LogContents, SegmentFiles};
use pipitlever_idempotency_store::record::Outcome;
use serde_json::json;
use std::path::Path;

/// What is to be done with the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Says whether all of it can be read.
    Check,
    /// Lists the keys that are within their windows.
    List,
    /// Writes these anew and drops the rest.
    Compact,
}

impl Task {
    /// By its name.
    pub fn from_name(name: &str) -> Option<Task> {
        match name {
            "check" => Some(Task::Check),
            "list" => Some(Task::List),
            "compact" => Some(Task::Compact),
            _ => None,
        }
    }
}

/// Does it. An error where the folder can't be used, or is damaged.
pub fn run(task: Task, folder: &str, json: bool) -> Result<(), String> {
    let path = Path::new(folder);
    let wrong = |e: &dyn std::fmt::Display| format!("{folder}: {e}");
    if !path.is_dir() {
        return Err(wrong(&"no such folder"));
    }
    // The lock is taken for all three: what a node writes meanwhile would look torn.
    let mut disk = StoreDirectory::open(path).map_err(|e| wrong(&e))?;
    let contents = LogContents::read(&mut disk).map_err(|e| wrong(&e))?;
    let now = disk.clocks();
    let size: u64 = contents.segments.iter().map(|s| s.size).sum();
    let segments = contents.segments.len();
    let torn = contents.segments.last().map_or(0, |s| s.size - s.readable);
    let damage: Vec<String> = contents.damage.iter().map(|d| d.to_string()).collect();
    let keys = contents.into_keys(&now);
    match task {
        Task::Check => {
            let keys = keys.len();
            if json {
                println!(
                    "{}",
                    json!({"segments": segments, "bytes": size, "keys": keys, "torn": torn, "damage": damage})
                );
            } else {
                println!(
                    "segments={segments} bytes={size} keys={keys} torn={torn} damage={}",
                    damage.len()
                );
                damage.iter().for_each(|d| println!("damage: {d}"));
            }
            match damage.len() {
                0 => Ok(()),
                count => Err(format!("{folder}: damaged in {count} places")),
            }
        }
        Task::List => {
            for found in keys {
                let (outcome, bytes) = match &found.outcome {
                    None => ("may-have-run", 0),
                    Some(Outcome::Failed) => ("failed", 0),
                    Some(Outcome::Served(result)) => ("served", result.len()),
                };
                let left = (found.window_end - now.wall) / 1000;
                let reference = format!("{:016x}", found.intent.reference);
                let class = &found.intent.class;
                if json {
                    println!(
                        "{}",
                        json!({"key": found.intent.key, "class": class, "ref": reference,
                            "outcome": outcome, "bytes": bytes, "left_ms": left})
                    );
                } else {
                    let key = &found.intent.key;
                    println!(
                        "{outcome} class={class} ref={reference} bytes={bytes} left_ms={left} key={key:?}"
                    );
                }
            }
            Ok(())
        }
        Task::Compact => {
            let (mut log, _) =
                Log::open(disk, Limits::for_capacity(u64::MAX / 2), 0).map_err(|e| wrong(&e))?;
            log.compact().map_err(|e| wrong(&e))?;
            let after = log.used_bytes();
            if json {
                println!(
                    "{}",
                    json!({"keys": keys.len(), "bytes_before": size, "bytes": after})
                );
            } else {
                println!("keys={} bytes_before={size} bytes={after}", keys.len());
            }
            Ok(())
        }
    }
}
