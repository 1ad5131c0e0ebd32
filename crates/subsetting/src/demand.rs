//! What a node tells of its load: the runs that it wants a second, on a scale of half doublings,
//! and no oftener than a fleet of its size can bear.

use crate::Micros;

/// The load is looked at over so long, in microseconds.
const WINDOW: Micros = 500_000;
/// What one window leaves of the mean before it.
const FADE: f64 = 0.5;
/// A level that differs by so much is worth telling.
const WORTH: u8 = 2;
/// Words that may be saved up.
const SAVED: f64 = 4.0;
/// Bytes a second that all nodes together may cause at each one by these words.
const BYTES: f64 = 2_000.0;
/// Bytes of one word as it travels, with what is said of its member beside it.
const WORD: f64 = 110.0;

/// The highest level.
pub const MOST: u8 = 60;

/// The load of a level: level 0 is that of a node that wants next to nothing, and still has a part.
pub fn load(level: u8) -> f64 {
    (f64::from(level.min(MOST)) * 0.5).exp2()
}

/// The level of so many runs a second.
pub fn level(rate: f64) -> u8 {
    ((1.0 + rate.max(0.0)).log2() * 2.0)
        .round()
        .min(f64::from(MOST)) as u8
}

/// Counts the runs that are wanted.
#[derive(Clone, Debug)]
pub struct Meter {
    wanted: u64,
    since: Micros,
    rate: f64,
    told: u8,
}

impl Meter {
    /// One that has seen nothing.
    pub fn new(now: Micros) -> Meter {
        Meter {
            wanted: 0,
            since: now,
            rate: 0.0,
            told: 0,
        }
    }

    /// So many more are wanted.
    pub fn count(&mut self, wanted: u64) {
        self.wanted += wanted;
    }

    /// Looks at the time.
    pub fn tick(&mut self, now: Micros) {
        let span = now - self.since;
        if span >= WINDOW {
            // After a long pause all of it is of one window: what was before says nothing any more.
            let fade = FADE.powf((span as f64 / WINDOW as f64).min(30.0));
            let seen = self.wanted as f64 * 1e6 / span as f64;
            self.rate = self.rate * fade + seen * (1.0 - fade);
            (self.wanted, self.since) = (0, now);
        }
    }

    /// The level that would be worth telling, if there is one.
    pub fn news(&self) -> Option<u8> {
        let level = level(self.rate);
        (level.abs_diff(self.told) >= WORTH || level == 0 && self.told > 0).then_some(level)
    }

    /// What was told last.
    pub fn told(&self) -> u8 {
        self.told
    }

    /// It is told.
    pub fn tell(&mut self, level: u8) {
        self.told = level;
    }
}

/// How often words may be said: a token bucket, filled more slowly the more nodes there are.
#[derive(Clone, Debug)]
pub struct Leave {
    tokens: f64,
    filled: Micros,
}

impl Leave {
    /// A full one.
    pub fn new(now: Micros) -> Leave {
        Leave {
            tokens: SAVED,
            filled: now,
        }
    }

    /// Whether a word may be said now, among so many nodes; if so it is counted.
    pub fn take(&mut self, now: Micros, nodes: usize) -> bool {
        // Each node passes a word on so often, as the fleet spreads news.
        let sendings = 4.0 * (nodes.max(2) as f64).log10().max(1.0);
        let each = BYTES / (WORD * sendings * nodes.max(1) as f64);
        let seconds = (now - self.filled).max(0) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + seconds * each).min(SAVED);
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn what_changes_much_is_news_within_a_second() {
        let mut meter = Meter::new(0);
        // When words were said, under so many runs a second from one time to another, in seconds.
        let mut play = |from: Micros, to: Micros, a_second: u64| -> Vec<Micros> {
            let times = (from * 10..to * 10).map(|t| t * 100_000);
            let said = |t: &Micros| {
                meter.count(a_second / 10);
                meter.tick(*t);
                let news = meter.news();
                news.into_iter().for_each(|level| meter.tell(level));
                news.is_some()
            };
            times.filter(said).collect()
        };
        let said = play(0, 20, 100);
        assert!(
            said[0] <= S && said.len() <= 4 && said.iter().all(|t| *t < 5 * S),
            "{said:?}"
        );
        assert!(play(20, 40, 90).is_empty(), "a tenth less is no news");
        let said = play(40, 50, 0);
        assert!(
            said[0] <= 41 * S && said.iter().all(|t| *t < 46 * S),
            "{said:?}"
        );
    }

    #[test]
    fn a_large_fleet_says_less_of_each() {
        let said = |nodes: usize| {
            let mut leave = Leave::new(0);
            // Not what was saved up.
            assert!((0..9).filter(|_| leave.take(0, nodes)).count() < 9);
            (0..60_000)
                .filter(|t| leave.take(t * 100_000, nodes))
                .count() as f64
                / 6_000.0
                * nodes as f64
        };
        // Words a second of all, each passed on 4 x log10(nodes) times by each.
        for nodes in [10, 100, 1_000] {
            let bytes = said(nodes) * WORD * 4.0 * (nodes as f64).log10().max(1.0);
            assert!(bytes < 1.2 * BYTES, "{nodes}: {bytes} B/s");
        }
        let mut leave = Leave::new(0);
        assert_eq!(
            (0..10).filter(|_| leave.take(0, 1_000)).count(),
            4,
            "some at once, where it matters"
        );
    }
}
