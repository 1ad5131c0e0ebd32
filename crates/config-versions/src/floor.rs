//! The floor: the highest version that a process of this node's name has acted on. Nothing is done
//! under a version below it.
//!
//! A process can't know from its own disk that this is the latest one: a file may be yesterday's,
//! and a whole disk put back. So no process acts before it has heard from a majority of the
//! electors which version each of them knows as decided, or has accepted. Whatever any process ever
//! acted on had been decided, which a majority had accepted and written: any majority that answers
//! has one of these in it, so the highest that is told lies no lower than the node's floor. An
//! answer repeats a number that the question drew at random, so that nobody answers who was not
//! asked, and an elector whose own disk is in doubt does not answer.

use crate::version::{majority, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a node does that can't hear enough electors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub enum Unknown {
    /// It refuses as never run, until it hears them or an operator names the floor: stale routes
    /// are never applied.
    #[default]
    Wait,
    /// It acts on what its disk holds and says so: it serves, and may do so under a version that it
    /// had left.
    Serve,
}

/// What is on a node's disk: written and synced before the first act under it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The floor.
    pub floor: u64,
    /// The version that is acted on; nothing while these are the node's own files.
    pub version: Option<Version>,
    /// Its content.
    pub content: Vec<u8>,
}

/// What a process knows of its node's floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Floor {
    floor: u64,
    nonce: u64,
    /// The highest version that each elector has named.
    heard: BTreeMap<String, u64>,
    open: bool,
}

impl Floor {
    /// A process that has just started; the floor is what its disk says, the number is drawn at
    /// random.
    pub fn new(floor: u64, nonce: u64) -> Floor {
        Floor {
            floor,
            nonce,
            heard: BTreeMap::new(),
            open: false,
        }
    }

    /// No version below this one is acted on.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Whether it is known that no process of this name has acted on a higher one.
    pub fn open(&self) -> bool {
        self.open
    }

    /// Whether a version may be acted on.
    pub fn allows(&self, number: u64) -> bool {
        self.open && number >= self.floor
    }

    /// What questions and answers carry.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// Whom to ask, of these electors.
    pub fn asks<'a>(&'a self, electors: &'a [String]) -> impl Iterator<Item = &'a String> {
        electors
            .iter()
            .filter(|e| !self.open && !self.heard.contains_key(*e))
    }

    /// An elector has answered. Whether enough of them have by now.
    pub fn heard(&mut self, from: &str, nonce: u64, highest: u64, electors: &[String]) -> bool {
        if self.open || nonce != self.nonce || !electors.iter().any(|e| e == from) {
            return false;
        }
        let known = self.heard.entry(from.to_owned()).or_default();
        *known = highest.max(*known);
        self.look(electors)
    }

    /// Other electors decide from now on, as the newest version says.
    pub fn look(&mut self, electors: &[String]) -> bool {
        if self.open || !majority(electors, |e| self.heard.contains_key(e)) {
            return false;
        }
        self.open = true;
        self.floor = self.heard.values().copied().fold(self.floor, u64::max);
        true
    }

    /// A version is about to be acted on, and that is on the disk.
    pub fn raise(&mut self, number: u64) {
        self.floor = self.floor.max(number);
    }

    /// The process before this one in the same node has handed over its version, which it was
    /// acting on until now.
    pub fn handed(&mut self, number: u64) {
        self.raise(number);
        self.open = true;
    }

    /// An operator says what the floor is: for a register that is lost, or one that a liar has
    /// driven up.
    pub fn accept(&mut self, number: u64) {
        (self.floor, self.open) = (number, true);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn electors(names: &[&str]) -> Vec<String> {
        names.iter().map(|n| (*n).to_owned()).collect()
    }

    #[test]
    fn yesterdays_disk_is_found_out_by_any_majority() {
        let three = electors(&["a", "b", "c"]);
        for two in [["a", "b"], ["a", "c"], ["b", "c"]] {
            // Version 5 was decided: b and c have accepted it, and a knows of 4.
            let mut floor = Floor::new(3, 7);
            assert!(
                !floor.allows(3) && !floor.allows(9),
                "nothing is acted on before enough are heard"
            );
            for from in two {
                let highest = if from == "a" { 4 } else { 5 };
                floor.heard(from, 7, highest, &three);
            }
            assert_eq!((floor.floor(), floor.open()), (5, true), "{two:?}");
            assert!(!floor.allows(4) && floor.allows(5) && floor.allows(6));
        }
    }

    #[test]
    fn answers_count_once_and_only_of_electors_that_were_asked() {
        let three = electors(&["a", "b", "c"]);
        let mut floor = Floor::new(0, 7);
        // Out of the blue, of a process before this one, of nobody who decides; and twice of the
        // same.
        for (from, nonce) in [("a", 0), ("b", 6), ("z", 7), ("a", 7), ("a", 7)] {
            assert!(!floor.heard(from, nonce, 1 << 63, &three) && !floor.open());
        }
        assert_eq!(floor.asks(&three).collect::<Vec<_>>(), ["b", "c"]);
        let mut floor = Floor::new(0, 7);
        assert!(!floor.heard("a", 7, 2, &three));
        // Of others by then: a majority of these is wanted.
        let next = electors(&["a", "b", "c", "d"]);
        assert!(!floor.heard("b", 7, 2, &next) && floor.heard("d", 7, 3, &next));
        assert_eq!(floor.floor(), 3);
    }

    #[test]
    fn a_floor_falls_by_an_operators_word_alone() {
        let mut floor = Floor::new(9, 7);
        floor.handed(4);
        floor.raise(2);
        assert_eq!((floor.floor(), floor.allows(8)), (9, false));
        floor.accept(4);
        assert!(floor.allows(4) && !floor.allows(3));
    }
}
