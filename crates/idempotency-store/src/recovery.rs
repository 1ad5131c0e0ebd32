//! Recovery of keys from the records of earlier processes. No I/O and no clock.
//!
//! | records of a key within its window | a duplicate gets |
//! | --- | --- |
//! | none | a run, as a first attempt |
//! | an intent alone | an immediate failure: the run may have started |
//! | an intent and an outcome | the outcome, byte for byte |
//! | an intent and a void | a run, as a first attempt: the earlier run never started |
//! | damage that may hide an intent | a rejection, until the longest window has passed |
//!
//! The window starts at the arrival of the attempt that ran, by the wall clock. The wall clock may
//! have been set since, so the window ends at the later of two times: by the wall clock, and by the
//! time since boot, which is never set. After a reboot the times since boot cannot be compared, and
//! a whole window counts from the restart. A clock change therefore never allows a second run; at
//! worst, keys are retained for a whole window from the restart.

use crate::class_windows::ClassWindows;
use crate::record::{Clocks, Intent, Outcome, Record};
use crate::Micros;
use std::collections::{HashMap, HashSet};

/// A key recovered from the records of earlier processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredKey {
    /// Intent of the last attempt that may have run, or of the first one that has a result.
    pub intent: Intent,
    /// Attempts that reach the machine up to this time are duplicates, in Unix microseconds by the
    /// current wall clock.
    pub window_end: Micros,
    /// How the run ended, if known.
    pub outcome: Option<Outcome>,
}

impl RecoveredKey {
    fn has_result(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Served(_)))
    }
}

/// Returns the remaining time of an intent's window, in microseconds: negative after its end while
/// duplicates may still be read, and `None` after that. `written` are the clocks at the start of
/// the segment that contains the intent.
pub fn remaining_window(intent: &Intent, written: &Clocks, now: &Clocks) -> Option<Micros> {
    let window = intent.window.max(0);
    // Never more than a whole window remains, even if the clocks were set back.
    let by_wall_clock = intent
        .arrived_at
        .saturating_add(window)
        .saturating_sub(now.wall)
        .min(window);
    let by_time_since_boot = if written.is_same_boot(now) {
        intent
            .expires_at
            .saturating_sub(intent.read_grace)
            .saturating_sub(now.since_boot)
            .min(window)
    } else {
        window
    };
    let remaining = by_wall_clock.max(by_time_since_boot);
    (remaining >= -intent.read_grace.max(0)).then_some(remaining)
}

#[derive(Clone, Debug)]
struct IntentEntry {
    intent: Intent,
    /// The longest remaining window among all copies of the intent.
    remaining_window: Micros,
}

/// Collects records in any order; a record may occur several times.
#[derive(Clone, Debug, Default)]
pub struct RecoveryTable {
    /// Intents by id.
    intents: HashMap<u64, IntentEntry>,
    /// Outcomes by the intent's id.
    outcomes: HashMap<u64, Outcome>,
    /// Ids of intents whose runs never started.
    voids: HashSet<u64>,
    longest_window: Micros,
    longest_read_grace: Micros,
    /// The windows in force in this process.
    class_windows: ClassWindows,
    longest_extension: Micros,
}

impl RecoveryTable {
    /// A table for a process with these windows. Those that are longer than the windows with which
    /// intents were written apply to them.
    pub fn with_windows(class_windows: ClassWindows) -> RecoveryTable {
        RecoveryTable {
            class_windows,
            ..RecoveryTable::default()
        }
    }

    /// Adds a record of a segment that was started at `written`.
    pub fn add(&mut self, record: Record, written: &Clocks, now: &Clocks) {
        match record {
            Record::Intent(intent) => self.add_intent(intent, written, now),
            Record::Outcome { id, outcome, .. } => self.add_outcome(id, outcome),
            Record::Void { id, .. } => {
                self.voids.insert(id);
            }
        }
    }

    fn add_intent(&mut self, mut intent: Intent, written: &Clocks, now: &Clocks) {
        let extension = self.class_windows.extend(&mut intent);
        self.longest_extension = self.longest_extension.max(extension);
        self.longest_window = self.longest_window.max(intent.window);
        self.longest_read_grace = self.longest_read_grace.max(intent.read_grace);
        let Some(remaining_window) = remaining_window(&intent, written, now) else {
            return;
        };
        let entry = self.intents.entry(intent.id).or_insert(IntentEntry {
            intent,
            remaining_window,
        });
        entry.remaining_window = entry.remaining_window.max(remaining_window);
    }

    /// If a run has both a result and a failure, the result takes precedence.
    fn add_outcome(&mut self, id: u64, outcome: Outcome) {
        let known = self.outcomes.entry(id).or_insert_with(|| outcome.clone());
        if *known == Outcome::Failed {
            *known = outcome;
        }
    }

    /// The longest [`Intent::read_grace`] of all intents, in microseconds.
    pub fn longest_read_grace(&self) -> Micros {
        self.longest_read_grace
    }

    /// The longest time by which the window of an intent was extended, in microseconds.
    pub fn longest_extension(&self) -> Micros {
        self.longest_extension
    }

    /// The longest [`Intent::window`] of all intents, in microseconds.
    pub fn longest_window(&self) -> Micros {
        self.longest_window
    }

    /// Returns the keys within their windows, sorted by the end of the window.
    ///
    /// Where several attempts of a key may have run, the key has a result if any of the attempts
    /// has one, and the latest end of their windows.
    pub fn into_keys(mut self, now: &Clocks) -> Vec<RecoveredKey> {
        let mut intents: Vec<IntentEntry> = self.intents.into_values().collect();
        // Makes the result deterministic for the same files.
        intents.sort_by_key(|entry| (entry.intent.arrived_at, entry.intent.id));
        let mut keys: HashMap<String, RecoveredKey> = HashMap::new();
        for entry in intents {
            let id = entry.intent.id;
            let outcome = self.outcomes.remove(&id);
            if outcome.is_none() && self.voids.contains(&id) {
                continue;
            }
            let recovered = RecoveredKey {
                window_end: now.wall.saturating_add(entry.remaining_window),
                intent: entry.intent,
                outcome,
            };
            add_attempt(&mut keys, recovered);
        }
        let mut keys: Vec<RecoveredKey> = keys.into_values().collect();
        keys.sort_by(|a, b| {
            let by_window_end = a.window_end.cmp(&b.window_end);
            by_window_end.then_with(|| a.intent.key.cmp(&b.intent.key))
        });
        keys
    }
}

fn add_attempt(keys: &mut HashMap<String, RecoveredKey>, attempt: RecoveredKey) {
    let Some(known) = keys.get_mut(&attempt.intent.key) else {
        keys.insert(attempt.intent.key.clone(), attempt);
        return;
    };
    let window_end = known.window_end.max(attempt.window_end);
    if !known.has_result() {
        *known = attempt;
    }
    known.window_end = window_end;
}
