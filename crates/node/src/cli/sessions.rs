//! `pipitlever fleet sessions`: where long-lived sessions live, as one node remembers them.

use crate::cli::fleet::ask;
use serde::Deserialize;
use std::collections::BTreeMap;

/// What a node says of its sessions.
#[derive(Clone, Debug, PartialEq, Deserialize, serde::Serialize)]
pub struct SessionAffinity {
    /// It has what it is to remember.
    pub filled: bool,
    /// SessionAffinity that it remembers, the bytes that takes, and those that found no room.
    pub remembered: u64,
    /// As above.
    pub bytes: u64,
    /// As above.
    pub turned_down: u64,
    /// Pool by pool.
    pub pools: Vec<PoolSessions>,
}

/// What it says of those of one pool.
#[derive(Clone, Debug, PartialEq, Deserialize, serde::Serialize)]
pub struct PoolSessions {
    /// Its name.
    pub pool: String,
    /// SessionAffinity of each worker, of those that this node remembers.
    pub workers: BTreeMap<String, u64>,
    /// Placed here since the start of the process, and moved here, by cause.
    pub placed: u64,
    /// As above: their worker is no member any more, is disabled, or has drained for long enough.
    pub moved_removed: u64,
    /// As above: it has failed for longer than `patience_ms`.
    pub moved_failed: u64,
    /// As above: it could not be reached.
    pub moved_unreachable: u64,
}

/// The table, or the lines of one worker.
pub fn table(sessions: &SessionAffinity, worker: Option<&str>) -> String {
    let SessionAffinity {
        filled,
        remembered,
        bytes,
        turned_down,
        pools,
    } = sessions;
    let filled = if *filled {
        ""
    } else {
        ", still hearing from the others"
    };
    let mut text = format!(
        "remembers {remembered} sessions in {} kB, {turned_down} found no room{filled}\n",
        bytes / 1024
    );
    for pool in pools {
        let PoolSessions {
            pool: name,
            workers,
            placed,
            moved_removed,
            moved_failed,
            moved_unreachable,
        } = pool;
        text += &format!(
            "pool {name}: placed here {placed}, moved here: removed {moved_removed}, failed {moved_failed}, unreachable {moved_unreachable}\n"
        );
        for (name, count) in workers
            .iter()
            .filter(|(name, _)| worker.is_none_or(|w| w == *name))
        {
            text += &format!("  {name}  {count}\n");
        }
    }
    text
}

/// Says it at a door.
pub fn run(door: &str, worker: Option<&str>, json: bool) -> Result<u8, String> {
    let none = || format!("{door}: no sessions stay here: no pool of its file has [pool.affinity]");
    let sessions = ask(door)?.sessions.ok_or_else(none)?;
    let known = |w: &str| sessions.pools.iter().any(|p| p.workers.contains_key(w));
    if let Some(worker) = worker.filter(|w| !known(w)) {
        return Err(format!("{door}: no worker {worker}"));
    }
    match json {
        true => println!(
            "{}",
            serde_json::to_string(&sessions).map_err(|e| e.to_string())?
        ),
        false => print!("{}", table(&sessions, worker)),
    }
    Ok(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_worker_can_be_asked_for() {
        let workers = [("w0".to_owned(), 3), ("w1".to_owned(), 4)].into();
        let pool = PoolSessions {
            pool: "desks".into(),
            workers,
            placed: 9,
            moved_removed: 1,
            moved_failed: 2,
            moved_unreachable: 0,
        };
        let sessions = SessionAffinity {
            filled: true,
            remembered: 7,
            bytes: 2048,
            turned_down: 0,
            pools: vec![pool],
        };
        let all = table(&sessions, None);
        assert!(
            all.contains("remembers 7 sessions in 2 kB")
                && all.contains("w0  3")
                && all.contains("w1  4"),
            "{all}"
        );
        assert!(all.contains("removed 1, failed 2, unreachable 0"), "{all}");
        assert!(!table(&sessions, Some("w1")).contains("w0"));
    }
}
