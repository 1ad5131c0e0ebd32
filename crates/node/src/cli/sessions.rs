//! `pipitlever fleet sessions`: how many long-lived sessions are assigned to each worker, according
//! to one node.

#[cfg(test)]
mod tests;

use crate::cli::fleet::client::get_view;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The sessions that a node knows.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Sessions {
    /// Whether the node has received the sessions that it replicates.
    #[serde(rename = "filled")]
    pub is_bootstrapped: bool,
    /// Number of known sessions.
    #[serde(rename = "remembered")]
    pub known: u64,
    /// Memory that the sessions use, in bytes.
    pub bytes: u64,
    /// Sessions that were not stored for lack of memory.
    #[serde(rename = "turned_down")]
    pub rejected: u64,
    /// The sessions by pool.
    pub pools: Vec<PoolSessions>,
}

/// The sessions of one pool. Counters start with the process.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolSessions {
    /// The pool's name.
    pub pool: String,
    /// Number of known sessions, by worker.
    pub workers: BTreeMap<String, u64>,
    /// Sessions that this node assigned to a worker.
    pub placed: u64,
    /// Sessions that this node moved because their worker was removed, disabled or drained.
    pub moved_removed: u64,
    /// Sessions that this node moved because their worker failed for longer than `patience_ms`.
    pub moved_failed: u64,
    /// Sessions that this node moved because their worker could not be reached.
    pub moved_unreachable: u64,
}

/// Renders the sessions as text, with all workers or only one.
fn render(sessions: &Sessions, worker: Option<&str>) -> String {
    let bootstrapping = match sessions.is_bootstrapped {
        true => "",
        false => ", still receiving sessions from other nodes",
    };
    let (known, kilobytes) = (sessions.known, sessions.bytes / 1024);
    let rejected = sessions.rejected;
    let mut text = format!(
        "{known} sessions known in {kilobytes} kB, {rejected} not stored for lack of memory\
         {bootstrapping}\n"
    );
    for pool in &sessions.pools {
        text += &format!(
            "pool {}: assigned by this node {}, moved by this node: worker removed {}, failed {}, \
             unreachable {}\n",
            pool.pool, pool.placed, pool.moved_removed, pool.moved_failed, pool.moved_unreachable
        );
        for (name, count) in &pool.workers {
            if worker.is_none_or(|worker| worker == name) {
                text += &format!("  {name}  {count}\n");
            }
        }
    }
    text
}

/// Prints the sessions of the node at a control endpoint.
pub fn run(endpoint: &str, worker: Option<&str>, json: bool) -> Result<u8, String> {
    let view = get_view(endpoint).map_err(|e| e.to_string())?;
    let sessions = view.sessions.ok_or_else(|| {
        format!("{endpoint}: no session affinity: no pool of this node has [pool.affinity]")
    })?;
    let is_known = |name: &str| {
        let mut pools = sessions.pools.iter();
        pools.any(|pool| pool.workers.contains_key(name))
    };
    if let Some(worker) = worker.filter(|worker| !is_known(worker)) {
        return Err(format!("{endpoint}: no worker {worker}"));
    }
    if json {
        let text = serde_json::to_string(&sessions).map_err(|e| e.to_string())?;
        println!("{text}");
    } else {
        print!("{}", render(&sessions, worker));
    }
    Ok(0)
}
