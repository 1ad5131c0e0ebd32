//! What a process makes of what the ones before it left: the table of decisions, without a file or
//! a clock.
//!
//! | on the disk, within the window | a repeat gets |
//! | --- | --- |
//! | nothing | it is a first try |
//! | an intent alone | a failure at once: its run may have begun |
//! | an intent and an outcome | the outcome, byte for byte |
//! | an intent and a void | it is a first try: nothing ever ran |
//! | damage that may hide an intent | refused, until the longest window is over |
//!
//! The window counts from the arrival of the try that ran, by the wall clock. But that clock may
//! have been set meanwhile, so an entry's end is the later one of two: by the wall clock, and by
//! the machine's own count since its start, which nobody sets. After a start of the machine itself
//! that count says nothing, and the whole window counts from now on. A clock that jumped never
//! allows a second run; what it costs is that keys are remembered longer, a whole window from the
//! restart at the most.

use crate::record::{Clocks, Intent, Outcome, Record};
use crate::Micros;
use std::collections::{HashMap, HashSet};

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Its last try that may have run.
    pub intent: Intent,
    /// Tries that reach the machine up to this time are repeats, in Unix microseconds by the
    /// present clock.
    pub window_end: Micros,
    /// How it came out, if that is known.
    pub outcome: Option<Outcome>,
}

/// How long a window has still to go, in microseconds, less than nothing where repeats of it may
/// still be read; nothing once it is over. `written` are the clocks of the process that wrote it.
pub fn remaining_window(intent: &Intent, written: &Clocks, now: &Clocks) -> Option<Micros> {
    let same_start = !now.boot_id.is_empty()
        && written.boot_id == now.boot_id
        && written.since_boot <= now.since_boot;
    let window = intent.window.max(0);
    // No entry lasts longer than its window from now on, wherever the clocks were.
    let by_wall = (intent
        .arrived_at
        .saturating_add(window)
        .saturating_sub(now.wall))
    .min(window);
    let by_machine = match same_start {
        true => intent
            .expires_at
            .saturating_sub(intent.read_grace)
            .saturating_sub(now.since_boot)
            .min(window),
        false => window,
    };
    Some(by_wall.max(by_machine)).filter(|&left| left >= -intent.read_grace.max(0))
}

/// Collects records in any order, and more than once each.
#[derive(Clone, Debug, Default)]
pub struct RecoveryTable {
    intents: HashMap<u64, (Intent, Micros)>,
    outcomes: HashMap<u64, Outcome>,
    voids: HashSet<u64>,
    /// The longest window of all that was read.
    longest: Micros,
    /// The longest time that a repeat may be read after its window.
    linger: Micros,
}

impl RecoveryTable {
    /// One more record, of a segment that was begun at these clocks.
    pub fn add(&mut self, record: Record, written: &Clocks, now: &Clocks) {
        match record {
            Record::Intent(intent) => {
                self.longest = self.longest.max(intent.window);
                self.linger = self.linger.max(intent.read_grace);
                let Some(left) = remaining_window(&intent, written, now) else {
                    return;
                };
                let entry = self.intents.entry(intent.id).or_insert((intent, left));
                entry.1 = entry.1.max(left);
            }
            Record::Outcome {
                id, outcome: kept, ..
            } => {
                // A result says more than a failure, should both ever be there.
                let old = self.outcomes.entry(id).or_insert_with(|| kept.clone());
                if *old == Outcome::Failed {
                    *old = kept;
                }
            }
            Record::Void { id, .. } => {
                self.voids.insert(id);
            }
        }
    }

    /// The longest time that a repeat may be read after its window, in microseconds, of all that
    /// was read.
    pub fn longest_read_grace(&self) -> Micros {
        self.linger
    }

    /// The longest window of all that was read, in microseconds.
    pub fn longest_window(&self) -> Micros {
        self.longest
    }

    /// What is known of each key. A key that has several tries that may have run has a result if
    /// any has one, and lasts as long as the last of them.
    pub fn into_keys(self, now: &Clocks) -> Vec<Recovered> {
        let RecoveryTable {
            intents,
            mut outcomes,
            voids,
            ..
        } = self;
        let mut keys: HashMap<String, Recovered> = HashMap::new();
        let mut intents: Vec<_> = intents.into_values().collect();
        // The same on every reading of the same files.
        intents.sort_by_key(|(intent, _)| (intent.arrived_at, intent.id));
        for (intent, left) in intents {
            let kept = outcomes.remove(&intent.id);
            if kept.is_none() && voids.contains(&intent.id) {
                continue;
            }
            let until = now.wall.saturating_add(left);
            let served = |kept: &Option<Outcome>| matches!(kept, Some(Outcome::Served(_)));
            match keys.get_mut(&intent.key) {
                Some(known) => {
                    let until = known.window_end.max(until);
                    if !served(&known.outcome) {
                        *known = Recovered {
                            intent,
                            window_end: until,
                            outcome: kept,
                        };
                    }
                    known.window_end = until;
                }
                None => {
                    keys.insert(
                        intent.key.clone(),
                        Recovered {
                            intent,
                            window_end: until,
                            outcome: kept,
                        },
                    );
                }
            }
        }
        let mut keys: Vec<Recovered> = keys.into_values().collect();
        keys.sort_by(|a, b| {
            a.window_end
                .cmp(&b.window_end)
                .then_with(|| a.intent.key.cmp(&b.intent.key))
        });
        keys
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WINDOW: Micros = 20_000_000;
    const LINGER: Micros = 8_000_000;

    fn clocks(wall: Micros, up: Micros, boot: &str) -> Clocks {
        Clocks {
            wall,
            since_boot: up,
            boot_id: boot.into(),
        }
    }

    fn intent(id: u64, arrived: Micros, up: Micros) -> Intent {
        let (key, class) = ("k".to_owned(), "swap".to_owned());
        Intent {
            id,
            reference: 9,
            key,
            class,
            payload_digest: 7,
            arrived_at: arrived,
            window: WINDOW,
            expires_at: up + WINDOW + LINGER,
            read_grace: LINGER,
        }
    }

    /// How long an entry lasts that arrived at wall 1,000 s and 50 s after the machine's start, by
    /// the clocks of the restart.
    #[test]
    fn no_clock_shortens_a_window() {
        let written = clocks(1_000_000_000, 50_000_000, "a");
        let intent = intent(1, 1_000_000_000, 50_000_000);
        let cases = [
            // Nothing unusual: 5 s later, at the very end, past it.
            (clocks(1_005_000_000, 55_000_000, "a"), Some(15_000_000)),
            (clocks(1_020_000_000, 70_000_000, "a"), Some(0)),
            (clocks(1_028_000_000, 78_000_000, "a"), Some(-LINGER)),
            (clocks(1_028_000_001, 78_000_001, "a"), None),
            // The wall clock jumped forward by an hour: the machine's own count holds.
            (clocks(4_605_000_000, 55_000_000, "a"), Some(15_000_000)),
            (clocks(4_600_000_000, 79_000_000, "a"), None),
            // It jumped back by an hour: a window from now, no longer.
            (clocks(-2_595_000_000, 55_000_000, "a"), Some(WINDOW)),
            (clocks(990_000_000, 60_000_000, "a"), Some(WINDOW)),
            // Another start of the machine, whatever its clocks say: a window from now.
            (clocks(1_005_000_000, 3_000_000, "b"), Some(WINDOW)),
            (clocks(9_000_000_000, 90_000_000, "b"), Some(WINDOW)),
            // Nothing names the start, or the same one counts from the beginning again.
            (clocks(9_000_000_000, 90_000_000, ""), Some(WINDOW)),
            (clocks(9_000_000_000, 40_000_000, "a"), Some(WINDOW)),
        ];
        for (now, wanted) in cases {
            assert_eq!(remaining_window(&intent, &written, &now), wanted, "{now:?}");
        }
        // One that was written at a time that nobody could name is no reason to forget it.
        let nameless = clocks(1_000_000_000, 50_000_000, "");
        assert_eq!(
            remaining_window(&intent, &nameless, &clocks(9_000_000_000, 90_000_000, "a")),
            Some(WINDOW)
        );
    }

    #[test]
    fn each_row_of_the_table() {
        let (written, now) = (clocks(1_000, 1_000, "a"), clocks(2_000, 2_000, "a"));
        let first = || Record::Intent(intent(1, 500, 500));
        let second = || Record::Intent(intent(2, 800, 800));
        let served = |id| Record::Outcome {
            id,
            expires_at: 0,
            outcome: Outcome::Served(vec![9]),
        };
        let failed = |id| Record::Outcome {
            id,
            expires_at: 0,
            outcome: Outcome::Failed,
        };
        let void = |id| Record::Void { id, expires_at: 0 };
        let nine = Some(Some(Outcome::Served(vec![9])));
        let cases = [
            ("nothing", vec![], None),
            ("an intent", vec![first()], Some(None)),
            ("its result", vec![first(), served(1)], nine.clone()),
            (
                "its failure",
                vec![first(), failed(1)],
                Some(Some(Outcome::Failed)),
            ),
            ("it never began", vec![first(), void(1)], None),
            ("in another order", vec![served(1), first()], nine.clone()),
            ("void first", vec![void(1), first()], None),
            (
                "twice each",
                vec![first(), served(1), first(), served(1)],
                nine.clone(),
            ),
            ("an outcome without an intent", vec![served(1)], None),
            (
                "void and then a run",
                vec![first(), void(1), second()],
                Some(None),
            ),
            (
                "void and then a result",
                vec![first(), void(1), second(), served(2)],
                nine.clone(),
            ),
            (
                "the first's result stays",
                vec![first(), served(1), second()],
                nine.clone(),
            ),
            ("the second's too", vec![first(), second(), served(2)], nine),
            (
                "one of both may have run",
                vec![first(), second(), void(2)],
                Some(None),
            ),
            (
                "an outcome outdoes a void",
                vec![first(), void(1), failed(1)],
                Some(Some(Outcome::Failed)),
            ),
        ];
        for (name, records, wanted) in cases {
            let mut table = RecoveryTable::default();
            records
                .into_iter()
                .for_each(|r| table.add(r, &written, &now));
            let keys = table.into_keys(&now);
            assert!(keys.len() <= 1);
            assert_eq!(keys.first().map(|k| k.outcome.clone()), wanted, "{name}");
            assert!(keys.iter().all(|k| k.window_end >= 500 + WINDOW), "{name}");
        }
    }
}
