//! A part of a bound that all nodes share. What a node is to have follows from its view, and views change at different times: so
//! less holds at once, and more only once every other node has had the time to hear of the same and to let go.
//!
//! Where news takes no longer than `hold` from node to node, the parts in force never add up to more than the bound: a node's
//! part is the least of all that it was to have within the last `hold`, and any two nodes have held the same view in that time.

use crate::Micros;
use std::collections::VecDeque;

/// One part.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// What was to be had, growing, and until when; the last is in force.
    held: VecDeque<(usize, Micros)>,
}

impl Part {
    /// A part of one that has just come: the others don't know of it yet, so it is the least that there is.
    pub fn new(least: usize, now: Micros) -> Part {
        Part { held: VecDeque::from([(least, now), (usize::MAX, Micros::MAX)]) }
    }

    /// From now on it is to be this.
    pub fn set(&mut self, now: Micros, part: usize) {
        if self.held.back().is_some_and(|(last, _)| *last == part) {
            return;
        }
        if let Some((_, until)) = self.held.back_mut() {
            *until = now;
        }
        // Whatever was more than this is never the least of any time that has this in it.
        while self.held.back().is_some_and(|(more, _)| *more >= part) {
            self.held.pop_back();
        }
        self.held.push_back((part, Micros::MAX));
    }

    /// What it is.
    pub fn get(&mut self, now: Micros, hold: Micros) -> usize {
        while self.held.len() > 1
            && self.held.front().is_some_and(|(_, until)| until.saturating_add(hold) <= now)
        {
            self.held.pop_front();
        }
        self.held.front().map_or(0, |(part, _)| *part)
    }

    /// When it next grows by itself, if it does.
    pub fn due(&self, hold: Micros) -> Option<Micros> {
        (self.held.len() > 1)
            .then(|| self.held.front().map(|(_, until)| until.saturating_add(hold)))
            .flatten()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn less_holds_at_once_and_more_later() {
        let mut part = Part::new(1, 0);
        part.set(0, 8);
        assert_eq!((part.get(9, 10), part.get(10, 10)), (1, 8));
        part.set(20, 3);
        assert_eq!(part.get(20, 10), 3);
        part.set(22, 9);
        part.set(24, 5);
        assert_eq!((part.get(31, 10), part.due(10)), (3, Some(32)));
        assert_eq!((part.get(32, 10), part.due(10)), (5, None));
    }

    #[test]
    fn what_comes_back_has_to_wait_as_well() {
        let mut part = Part::new(4, 0);
        part.set(0, 4);
        part.set(1, 2);
        part.set(2, 4);
        assert_eq!((part.get(11, 10), part.get(12, 10)), (2, 4));
        (0..1_000).for_each(|t| part.set(20 + t, 4 + t as usize % 2));
        assert!(part.held.len() <= 3, "{part:?}");
    }
}
