//! A part of a bound that all nodes share. What a node is to have follows from its view, and views
//! change at different times: so less holds at once, and more only once every other node has had
//! the time to hear of the same and to let go.
//!
//! [`Seen`] does so where all nodes use all workers: a node reckons with the least that it has told
//! of itself, and the most that it has heard of each other one, within the last `hold`. If news
//! takes no longer than that, and nobody tells two things within it, then at any time t there is
//! one set of loads, those told at t - hold, of which each node takes no more for itself and no
//! less for the others: so parts add up to no more than the bound. [`Part`] is for pools of which
//! each node uses some: there the part is the least of all that came out within the last `hold`.

use crate::apportion::{apportion, shares, whole};
use crate::demand::load;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The levels of all that share a pool, by name.
pub type Levels = BTreeMap<String, u8>;

/// What was told and heard of loads.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What was so until then, the last as it is.
    held: VecDeque<(Levels, Micros)>,
}

impl Seen {
    /// A process that has just started: nobody has heard of it.
    pub fn new(now: Micros) -> Seen {
        Seen {
            held: VecDeque::from([(Levels::new(), now), (Levels::new(), Micros::MAX)]),
        }
    }

    /// It is this from now on.
    pub fn set(&mut self, now: Micros, levels: Levels) {
        if self.held.back().is_some_and(|(last, _)| *last == levels) {
            return;
        }
        if let Some((_, until)) = self.held.back_mut() {
            *until = now;
        }
        self.held.push_back((levels, Micros::MAX));
    }

    /// Lets go of what was so longer ago than `hold`. Whether anything has changed since.
    pub fn quiet(&mut self, now: Micros, hold: Micros) -> bool {
        while self
            .held
            .front()
            .is_some_and(|(_, until)| until.saturating_add(hold) < now)
        {
            self.held.pop_front();
        }
        self.held.len() == 1
    }

    /// What a node has of a bound. Call [`Seen::quiet`] before.
    pub fn part(&self, me: &str, bound: usize, ties: impl Fn(&str) -> u64) -> usize {
        let Some((now, _)) = self.held.back() else {
            return 1;
        };
        let Some(own) = now.keys().position(|name| name == me) else {
            return 1;
        };
        if self.held.len() == 1 {
            let loads: Vec<f64> = now.values().map(|l| load(*l)).collect();
            let ties: Vec<u64> = now.keys().map(|name| ties(name)).collect();
            return apportion(bound, &loads, 1, bound, &ties)[own];
        }
        // The least of itself, nothing where it was not there yet; and the most of each other, gone
        // or not.
        let mut loads: BTreeMap<&str, f64> = BTreeMap::new();
        for (levels, _) in &self.held {
            for (name, level) in levels.iter().filter(|(name, _)| *name != me) {
                let most = loads.entry(name).or_default();
                *most = most.max(load(*level));
            }
        }
        let least = self
            .held
            .iter()
            .map(|(levels, _)| levels.get(me).map_or(0.0, |l| load(*l)));
        loads.insert(me, least.fold(f64::MAX, f64::min));
        let at = loads
            .keys()
            .position(|name| *name == me)
            .unwrap_or_default();
        let loads: Vec<f64> = loads.into_values().collect();
        whole(shares(bound, &loads, 1, bound)[at])
    }
}

/// One part.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// What was to be had, growing, and until when; the last is in force.
    held: VecDeque<(usize, Micros)>,
}

impl Part {
    /// A part of one that has just come: the others don't know of it yet, so it is the least that
    /// there is.
    pub fn new(least: usize, now: Micros) -> Part {
        Part {
            held: VecDeque::from([(least, now), (usize::MAX, Micros::MAX)]),
        }
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
            && self
                .held
                .front()
                .is_some_and(|(_, until)| until.saturating_add(hold) < now)
        {
            self.held.pop_front();
        }
        self.held.front().map_or(0, |(part, _)| *part)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_another_lets_go_of_is_had_once_all_have_heard_of_it() {
        let levels = |b: u8| Levels::from([("a".to_owned(), 4), ("b".to_owned(), b)]);
        let part = |seen: &mut Seen, now| {
            seen.quiet(now, 10);
            seen.part("a", 10, |_| 0)
        };
        let mut seen = Seen::new(0);
        seen.set(0, levels(4));
        assert_eq!(
            (part(&mut seen, 10), part(&mut seen, 11)),
            (1, 5),
            "it has just come"
        );
        seen.set(20, levels(0));
        assert_eq!((part(&mut seen, 30), part(&mut seen, 31)), (5, 8));
        // What another wants counts at once.
        seen.set(40, levels(8));
        assert_eq!(part(&mut seen, 40), 2);
    }

    #[test]
    fn less_holds_at_once_and_more_later() {
        let mut part = Part::new(1, 0);
        part.set(0, 8);
        assert_eq!((part.get(10, 10), part.get(11, 10)), (1, 8));
        part.set(20, 3);
        assert_eq!(part.get(20, 10), 3);
        part.set(22, 9);
        part.set(24, 5);
        assert_eq!((part.get(32, 10), part.get(33, 10)), (3, 5));
    }

    #[test]
    fn what_comes_back_has_to_wait_as_well() {
        let mut part = Part::new(4, 0);
        part.set(0, 4);
        part.set(1, 2);
        part.set(2, 4);
        assert_eq!((part.get(12, 10), part.get(13, 10)), (2, 4));
        (0..1_000).for_each(|t| part.set(20 + t, 4 + t as usize % 2));
        assert!(part.held.len() <= 3, "{part:?}");
    }
}
