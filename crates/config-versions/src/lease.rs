//! Leases: how long a node may act on its version, by what electors say that travels through all
//! members.
//!
//! An elector's beat says "at T of my clock I lived, and no version below F is to be acted on". A
//! node asks the elector's clock now and then: its reading came after the node had asked, so every
//! later reading is bounded from below on the node's own clock, by the two clocks' rates alone. No
//! two clocks need to agree, and a beat that was late on its way, or that waited in the socket of a
//! stopped process, is worth no more than its age allows.

use crate::message::Beat;
use crate::version::{majority, Version};
use crate::Micros;
use std::collections::BTreeMap;

/// How far clocks' rates may be off, each of them, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rates {
    /// For one clock.
    pub off: Micros,
}

impl Default for Rates {
    /// Ten times the 0.1% that a bad quartz or a clock that is being slewed is off.
    fn default() -> Rates {
        Rates { off: 10_000 }
    }
}

const MILLION: Micros = 1_000_000;

impl Rates {
    /// The least that passes on one clock while this passes on another.
    pub fn least(self, span: Micros) -> Micros {
        span - (span as i128 * (2 * self.off) as i128 / (MILLION + self.off) as i128) as Micros
    }

    /// The most that may pass on one clock while this passes on another.
    pub fn longest(self, span: Micros) -> Micros {
        span + 1 + (span as i128 * (2 * self.off) as i128 / (MILLION - self.off) as i128) as Micros
    }
}

/// An elector's clock, as it was told once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Told {
    start: u64,
    /// Its reading, which came after this one of the node's own.
    theirs: Micros,
    ours: Micros,
}

/// What a node knows of the electors' words and clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    beats: BTreeMap<String, Beat>,
    told: BTreeMap<String, Told>,
}

impl Leases {
    /// The last words of these electors, as they are handed on.
    pub fn beats(&self, electors: &[String]) -> Vec<Beat> {
        electors
            .iter()
            .filter_map(|e| self.beats.get(e).cloned())
            .collect()
    }

    /// Hears an elector's beat, by way of whomever. Whether it is new.
    pub fn beat(&mut self, beat: &Beat, electors: &[String]) -> bool {
        let new =
            electors.contains(&beat.by) && self.beats.get(&beat.by).is_none_or(|b| beat.follows(b));
        if new {
            self.beats.retain(|by, _| electors.contains(by));
            self.beats.insert(beat.by.clone(), beat.clone());
        }
        new
    }

    /// An elector's clock had this reading after it was asked then.
    pub fn told(
        &mut self,
        elector: &str,
        start: u64,
        theirs: Micros,
        asked: Micros,
        electors: &[String],
    ) {
        let newer = |t: &Told| start > t.start || (start == t.start && asked > t.ours);
        if electors.iter().any(|e| e == elector) && self.told.get(elector).is_none_or(newer) {
            self.told.retain(|by, _| electors.contains(by));
            self.told.insert(
                elector.to_owned(),
                Told {
                    start,
                    theirs,
                    ours: asked,
                },
            );
        }
    }

    /// Whether an elector's clock should be asked: it isn't known, or so long ago that beats are
    /// worth too little.
    pub fn asks(&self, elector: &str, now: Micros, lease: Micros, rates: Rates) -> bool {
        let Some(told) = self.told.get(elector) else {
            return true;
        };
        let restarted = self
            .beats
            .get(elector)
            .is_some_and(|b| b.start > told.start);
        let age = now - told.ours;
        restarted || age - rates.least(age) > lease / 8
    }

    /// The latest time of the node's own clock before which the elector's last beat can't have been
    /// sent.
    fn since(&self, elector: &str, rates: Rates) -> Option<(Micros, &Beat)> {
        let (beat, told) = (self.beats.get(elector)?, self.told.get(elector)?);
        if beat.start != told.start {
            return None;
        }
        let passed = beat.at - told.theirs;
        let bound = match passed >= 0 {
            true => told.ours + rates.least(passed),
            false => told.ours - rates.longest(-passed),
        };
        Some((bound, beat))
    }

    /// Until when a node may act on a version, by the electors of the newest version that it knows:
    /// a majority of them has said since then that it hasn't closed it. An elector that knows of
    /// others that may decide by now doesn't count.
    pub fn until(
        &self,
        acting: u64,
        newest: &Version,
        lease: Micros,
        rates: Rates,
    ) -> Option<Micros> {
        let word = |e: &String| {
            let (since, beat) = self.since(e, rates)?;
            (beat.floor <= acting && beat.config <= newest.electors_since).then_some(since)
        };
        let mut words: Vec<Micros> = newest.electors.iter().filter_map(word).collect();
        words.sort_unstable_by(|a, b| b.cmp(a));
        Some(words.get(newest.electors.len() / 2)? + lease)
    }

    /// Whether a majority has closed a version: no lease on it can be had any more.
    pub fn closed(&self, acting: u64, electors: &[String]) -> bool {
        majority(electors, |e| {
            self.beats.get(e).is_some_and(|b| b.floor > acting)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RATES: Rates = Rates { off: 10_000 };

    fn newest() -> Version {
        Version::genesis(&["a".to_owned(), "b".to_owned(), "c".to_owned()])
    }

    fn beat(by: &str, at: Micros, floor: u64) -> Beat {
        Beat {
            by: by.into(),
            start: 1,
            at,
            floor,
            config: 0,
        }
    }

    #[test]
    fn a_span_is_bounded_by_the_rates_from_both_sides() {
        for span in [0, 1, 1000, 10_000_000, 3_600_000_000] {
            for (fast, slow) in [(1.01, 0.99), (0.99, 1.01), (1.0, 1.0)] {
                // On a clock of the one rate this passes while the span passes on that of the
                // other.
                let passes = span as f64 * fast / slow;
                assert!(RATES.least(span) as f64 <= passes + 1.0, "{span} {fast}");
                assert!(RATES.longest(span) as f64 + 1.0 >= passes, "{span} {fast}");
            }
        }
    }

    #[test]
    fn a_lease_begins_with_the_asking_and_lasts_as_long_as_a_majority_is_heard() {
        let (mut leases, newest, lease) = (Leases::default(), newest(), 10_000_000);
        let electors = newest.electors.clone();
        for by in ["a", "b"] {
            assert!(leases.beat(&beat(by, 5_000_000_000, 0), &electors));
        }
        // Words of electors whose clock isn't known are worth nothing.
        assert_eq!(leases.until(1, &newest, lease, RATES), None);
        leases.told("a", 1, 5_000_000_000, 100, &electors);
        assert_eq!(leases.until(1, &newest, lease, RATES), None);
        leases.told("b", 1, 5_000_000_000, 200, &electors);
        // From when it had asked the one of the majority that is heard the longest ago.
        assert_eq!(leases.until(1, &newest, lease, RATES), Some(100 + lease));
        leases.beat(&beat("a", 5_001_000_000, 0), &electors);
        assert_eq!(leases.until(1, &newest, lease, RATES), Some(200 + lease));
        // One that came late, or again, changes nothing; nor does one who is no elector.
        assert!(!leases.beat(&beat("a", 5_000_500_000, 0), &electors));
        assert!(!leases.beat(&beat("z", 5_000_500_000, 0), &electors));
        leases.beat(&beat("b", 5_001_000_000, 0), &electors);
        let until = leases.until(1, &newest, lease, RATES).unwrap();
        assert!(
            (100 + 980_000 + lease..=100 + 1_000_000 + lease).contains(&until),
            "{until}"
        );
        // A majority has closed the version, or knows of electors that this node doesn't.
        leases.beat(&beat("b", 5_002_000_000, 2), &electors);
        assert_eq!(leases.until(1, &newest, lease, RATES), None);
        assert!(leases.until(2, &newest, lease, RATES).is_some());
        leases.beat(
            &Beat {
                config: 3,
                ..beat("b", 5_003_000_000, 0)
            },
            &electors,
        );
        assert_eq!(leases.until(1, &newest, lease, RATES), None);
    }

    #[test]
    fn after_a_restart_an_electors_words_count_once_its_clock_was_asked_anew() {
        let (mut leases, newest, lease) = (Leases::default(), newest(), 10_000_000);
        let electors = newest.electors.clone();
        for by in ["a", "b"] {
            leases.beat(&beat(by, 1000, 0), &electors);
            leases.told(by, 1, 1000, 0, &electors);
            assert!(!leases.asks(by, 0, lease, RATES));
        }
        assert!(leases.asks("c", 0, lease, RATES));
        // Its clock begins anew on another machine: its words must not be taken for old ones, nor
        // old ones for its words.
        assert!(leases.beat(
            &Beat {
                start: 2,
                ..beat("a", 5, 0)
            },
            &electors
        ));
        assert_eq!(leases.until(1, &newest, lease, RATES), None);
        assert!(leases.asks("a", 0, lease, RATES));
        leases.told("a", 2, 5, 50, &electors);
        assert_eq!(leases.until(1, &newest, lease, RATES), Some(lease));
        assert!(!leases.beat(&beat("a", 9000, 0), &electors));
        // What was told is worth less as time goes by.
        assert!(
            !leases.asks("a", 60_000_000, lease, RATES)
                && leases.asks("a", 3_600_000_000, lease, RATES)
        );
    }
}
