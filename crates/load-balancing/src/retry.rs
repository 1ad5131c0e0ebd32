//! Whether a try may be repeated, and when: within a share of the first tries, so that a fleet in
//! trouble is not given more of it.

use crate::Micros;
use rand::rngs::SmallRng;
use rand::Rng;

/// What repeats are kept to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Repeats for each first try, at the most in the long run.
    pub share: f64,
    /// Beside these so many a second, for a pool that has few first tries.
    pub floor: f64,
    /// Repeats that may be saved up.
    pub most: f64,
    /// The first pause is up to so long, each next one up to twice as long; microseconds.
    pub pause: Micros,
    /// No pause is longer, in microseconds.
    pub longest: Micros,
    /// No try begins with less than this left, in microseconds.
    pub least_left: Micros,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            share: 0.1,
            floor: 0.5,
            most: 10.0,
            pause: 4_000,
            longest: 100_000,
            least_left: 20_000,
        }
    }
}

/// How a try ended, as far as repeating it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    /// Not a byte of it went out: it never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// A request that may have another try.
#[derive(Clone, Copy, Debug)]
pub struct Further {
    /// Nobody wants its result after this time.
    pub until: Micros,
    /// How the tries before ended: whether any may have run.
    pub tried: Tried,
    /// It may run twice.
    pub safe: bool,
    /// Tries that it has had.
    pub tries: u32,
}

/// A token bucket, filled by first tries.
#[derive(Clone, Debug)]
pub struct Budget {
    rules: Rules,
    /// What of the pool's budget is this node's: the floor and what may be saved up are divided,
    /// the share goes by itself.
    part: f64,
    tokens: f64,
    filled: Micros,
}

impl Budget {
    /// A full one.
    pub fn new(rules: Rules, now: Micros) -> Budget {
        Budget {
            rules,
            part: 1.0,
            tokens: rules.most,
            filled: now,
        }
    }

    /// From now on so much of the budget is this node's; one repeat may always be saved up.
    pub fn divide(&mut self, part: f64) {
        self.part = part.clamp(0.0, 1.0);
        self.tokens = self.tokens.min(self.most());
    }

    fn most(&self) -> f64 {
        (self.rules.most * self.part).max(1.0)
    }

    /// A first try was made.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.rules.share).min(self.most());
    }

    /// How long to wait before the next try of a request that has had so many, if it may have
    /// another: it provably never ran or may run twice, there is time left, and the budget has
    /// room.
    pub fn again(&mut self, now: Micros, further: Further, rng: &mut SmallRng) -> Option<Micros> {
        let Further {
            until,
            tried,
            safe,
            tries,
        } = further;
        if tried == Tried::MayHaveRun && !safe {
            return None;
        }
        let seconds = (now - self.filled).max(0) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + seconds * self.rules.floor * self.part).min(self.most());
        let bound = self
            .rules
            .pause
            .saturating_mul(1 << tries.saturating_sub(1).min(20));
        // Full jitter: those that failed together don't come back together.
        let pause = rng.random_range(0..=bound.min(self.rules.longest).max(0));
        if self.tokens < 1.0 || now + pause + self.rules.least_left > until {
            return None;
        }
        self.tokens -= 1.0;
        Some(pause)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;
    use rand::SeedableRng;

    #[test]
    fn nodes_that_divide_a_budget_have_no_more_than_it_together() {
        let mut rng = SmallRng::seed_from_u64(1);
        // A minute in which every try fails, a first one each second for each of ten nodes.
        let mut repeats = |nodes: usize| {
            let mut all = vec![Budget::new(Rules::default(), 0); nodes];
            all.iter_mut().for_each(|b| b.divide(1.0 / nodes as f64));
            let mut count = 0;
            for t in 1..=60 {
                for budget in &mut all {
                    (0..10 / nodes).for_each(|_| budget.first());
                    while budget
                        .again(t * SECOND, further((t + 1) * SECOND, 1), &mut rng)
                        .is_some()
                    {
                        count += 1;
                    }
                }
            }
            count
        };
        let (one, ten) = (repeats(1), repeats(10));
        assert!((ten as f64) <= one as f64 * 1.1, "{one} {ten}");
    }

    fn further(until: Micros, tries: u32) -> Further {
        Further {
            until,
            tried: Tried::NeverRan,
            safe: true,
            tries,
        }
    }

    #[test]
    fn what_may_be_repeated() {
        let mut rng = SmallRng::seed_from_u64(7);
        let cases = [
            (Tried::NeverRan, false, SECOND, true),
            (Tried::NeverRan, true, SECOND, true),
            (Tried::MayHaveRun, true, SECOND, true),
            // A run that must not happen twice.
            (Tried::MayHaveRun, false, SECOND, false),
            // Too late.
            (Tried::NeverRan, true, 19_999, false),
        ];
        for (tried, safe, until, wanted) in cases {
            let mut budget = Budget::new(Rules::default(), 0);
            assert_eq!(
                budget
                    .again(
                        0,
                        Further {
                            until,
                            tried,
                            safe,
                            tries: 1
                        },
                        &mut rng
                    )
                    .is_some(),
                wanted,
                "{tried:?} {safe}"
            );
        }
    }

    #[test]
    fn a_storm_stays_within_the_share() {
        let (mut budget, mut rng) = (Budget::new(Rules::default(), 0), SmallRng::seed_from_u64(7));
        let (mut firsts, mut repeats) = (0, 0);
        for now in (0..60 * SECOND).step_by(1000) {
            budget.first();
            firsts += 1;
            let mut tries = 1;
            while budget
                .again(now, further(now + SECOND, tries), &mut rng)
                .is_some()
            {
                (repeats, tries) = (repeats + 1, tries + 1);
            }
        }
        assert!(
            repeats > firsts / 20 && repeats < firsts / 5,
            "{repeats} of {firsts}"
        );
    }

    #[test]
    fn pauses_grow_and_are_bounded() {
        let rules = Rules {
            most: 1e6,
            ..Rules::default()
        };
        let (mut budget, mut rng) = (Budget::new(rules, 0), SmallRng::seed_from_u64(7));
        let mut longest = |tries| {
            let pauses = (0..300).map(|_| {
                budget
                    .again(0, further(10 * SECOND, tries), &mut rng)
                    .expect("time is left")
            });
            pauses.max().unwrap()
        };
        let all = [1, 2, 3, 40].map(&mut longest);
        assert!(
            all[0] <= 4_000 && all[1] > 4_000 && all[1] <= 8_000 && all[2] > 8_000,
            "{all:?}"
        );
        assert!(all[3] <= rules.longest && all[3] > 50_000, "{all:?}");
    }
}
