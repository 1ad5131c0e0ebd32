//! Log lines, metrics and control view of session affinity.

use super::SessionAffinityDriver;
use crate::log::log;
use pipitlever_session_affinity::directory::PlacementCounters;
use serde_json::{json, Value};
use std::fmt::Write;

/// Shortest time between two log lines on moved sessions, in microseconds.
const LOG_INTERVAL: i64 = 1_000_000;

/// The counters of moved sessions that have been reported.
#[derive(Default)]
pub struct LoggedMoves {
    /// Counters at the last check, by pool.
    counters: Vec<PlacementCounters>,
    /// Time of the last log line.
    logged_at: i64,
}

impl SessionAffinityDriver {
    /// Logs how many sessions have moved since the last check, by reason.
    pub fn log_moves(&self, now: i64) {
        let mut logged = self.logged_moves.borrow_mut();
        if now < logged.logged_at + LOG_INTERVAL {
            return;
        }
        let directory = self.directory.borrow();
        let mut counters = Vec::new();
        for (i, placement) in directory.pools().iter().enumerate() {
            let new = placement.counters;
            let old = logged.counters.get(i).copied().unwrap_or_default();
            let removed = new.removed.saturating_sub(old.removed);
            let failed = new.failed.saturating_sub(old.failed);
            let unreachable = new.unreachable.saturating_sub(old.unreachable);
            if removed + failed + unreachable > 0 {
                log(&format!(
                    "sessions: pool={} moved: removed={removed} failed={failed} \
                     unreachable={unreachable}",
                    placement.pool.name
                ));
                logged.logged_at = now;
            }
            counters.push(new);
        }
        logged.counters = counters;
    }

    /// Appends the metrics in the statsd format. Writing to a string cannot fail.
    pub fn write_metrics(&self, text: &mut String) {
        let directory = self.directory.borrow();
        let sum = |count: fn(&PlacementCounters) -> u64| {
            let placements = directory.pools().iter();
            placements.map(|p| count(&p.counters)).sum::<u64>()
        };
        let counters = [
            ("placed", sum(|counters| counters.placed)),
            ("moved_removed", sum(|counters| counters.removed)),
            ("moved_failed", sum(|counters| counters.failed)),
            ("moved_unreachable", sum(|counters| counters.unreachable)),
            ("turned_down", directory.table().rejected),
        ];
        for (name, value) in counters {
            let _ = writeln!(text, "edge.sessions.{name}:{value}|c");
        }
        // Only if it is not zero, so that the metrics of other nodes stay the same across releases.
        let unanswered = sum(|counters| counters.unanswered);
        if unanswered > 0 {
            let _ = writeln!(text, "edge.sessions.unanswered:{unanswered}|c");
        }
        let stored = directory.table().len();
        let _ = writeln!(text, "edge.sessions.remembered:{stored}|g");
    }

    /// The state for the control endpoint.
    pub fn view(&self) -> Value {
        let directory = self.directory.borrow();
        let pools: Vec<Value> = directory
            .pools()
            .iter()
            .enumerate()
            .map(|(i, placement)| {
                let counters = placement.counters;
                json!({
                    "pool": placement.pool.name,
                    "workers": directory.sessions_by_worker(i),
                    "placed": counters.placed,
                    "moved_removed": counters.removed,
                    "moved_failed": counters.failed,
                    "moved_unreachable": counters.unreachable,
                })
            })
            .collect();
        let table = directory.table();
        json!({
            "filled": directory.is_bootstrapped(),
            "remembered": table.len(),
            "bytes": table.bytes(),
            "turned_down": table.rejected,
            "pools": pools,
        })
    }
}
