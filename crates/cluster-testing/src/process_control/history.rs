//! The log lines of all processes of a cluster.

use super::WAIT_TIMEOUT;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// A line that a process has written to its log, or an action of the test.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time since the start of the cluster.
    pub at: Duration,
    /// The node.
    pub node: usize,
    /// The number of the process within the cluster; 0 for an action of the test.
    pub process: usize,
    /// The text.
    pub text: String,
}

/// All lines, in order.
#[derive(Default)]
pub struct History {
    lines: Mutex<Vec<LogLine>>,
    has_grown: Condvar,
}

impl History {
    pub(super) fn add(&self, line: LogLine) {
        self.lines.lock().expect("no holder panics").push(line);
        self.has_grown.notify_all();
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<LogLine> {
        self.lines.lock().expect("no holder panics").clone()
    }

    /// Waits for a line after the first `skipped` ones. Returns `None` after [`WAIT_TIMEOUT`].
    pub fn wait(&self, skipped: usize, is_wanted: impl Fn(&LogLine) -> bool) -> Option<LogLine> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut lines = self.lines.lock().expect("no holder panics");
        let mut seen = skipped;
        loop {
            let mut unseen = lines[seen.min(lines.len())..].iter();
            if let Some(found) = unseen.find(|line| is_wanted(line)) {
                return Some(found.clone());
            }
            seen = lines.len();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            let (guard, _) = self
                .has_grown
                .wait_timeout(lines, remaining)
                .expect("no holder panics");
            lines = guard;
        }
    }
}
