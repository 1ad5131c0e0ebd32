//! Whether a try may be repeated, and when: within a share of the first tries, so that a fleet in
//! trouble is not given more of it.

use crate::Micros;
use rand::rngs::SmallRng;
use rand::Rng;

/// What repeats are kept to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Repeats for each first try, at the most in the long run.
    pub retry_ratio: f64,
    /// Beside these so many a second, for a pool that has few first tries.
    pub min_retries_per_second: f64,
    /// Repeats that may be saved up.
    pub max_tokens: f64,
    /// The first pause is up to so long, each next one up to twice as long; microseconds.
    pub base_backoff: Micros,
    /// No pause is longer, in microseconds.
    pub max_backoff: Micros,
    /// No try begins with less than this left, in microseconds.
    pub min_time_left: Micros,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig {
            retry_ratio: 0.1,
            min_retries_per_second: 0.5,
            max_tokens: 10.0,
            base_backoff: 4_000,
            max_backoff: 100_000,
            min_time_left: 20_000,
        }
    }
}

/// How a try ended, as far as repeating it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEffect {
    /// Not a byte of it went out: it never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// A request that may have another try.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Nobody wants its result after this time.
    pub deadline: Micros,
    /// How the tries before ended: whether any may have run.
    pub effect: AttemptEffect,
    /// It may run twice.
    pub is_idempotent: bool,
    /// Tries that it has had.
    pub attempts: u32,
}

/// A token bucket, filled by first tries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rules: RetryConfig,
    /// What of the pool's budget is this node's: the floor and what may be saved up are divided,
    /// the share goes by itself.
    part: f64,
    tokens: f64,
    filled: Micros,
}

impl RetryBudget {
    /// A full one.
    pub fn new(rules: RetryConfig, now: Micros) -> RetryBudget {
        RetryBudget {
            rules,
            part: 1.0,
            tokens: rules.max_tokens,
            filled: now,
        }
    }

    /// From now on so much of the budget is this node's; one repeat may always be saved up.
    pub fn set_share(&mut self, part: f64) {
        self.part = part.clamp(0.0, 1.0);
        self.tokens = self.tokens.min(self.most());
    }

    fn most(&self) -> f64 {
        (self.rules.max_tokens * self.part).max(1.0)
    }

    /// A first try was made.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.rules.retry_ratio).min(self.most());
    }

    /// How long to wait before the next try of a request that has had so many, if it may have
    /// another: it provably never ran or may run twice, there is time left, and the budget has
    /// room.
    pub fn acquire(
        &mut self,
        now: Micros,
        further: RetryRequest,
        rng: &mut SmallRng,
    ) -> Option<Micros> {
        let RetryRequest {
            deadline: until,
            effect: tried,
            is_idempotent: safe,
            attempts: tries,
        } = further;
        if tried == AttemptEffect::MayHaveRun && !safe {
            return None;
        }
        let seconds = (now - self.filled).max(0) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + seconds * self.rules.min_retries_per_second * self.part)
            .min(self.most());
        let bound = self
            .rules
            .base_backoff
            .saturating_mul(1 << tries.saturating_sub(1).min(20));
        // Full jitter: those that failed together don't come back together.
        let pause = rng.random_range(0..=bound.min(self.rules.max_backoff).max(0));
        if self.tokens < 1.0 || now + pause + self.rules.min_time_left > until {
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
            let mut all = vec![RetryBudget::new(RetryConfig::default(), 0); nodes];
            all.iter_mut().for_each(|b| b.set_share(1.0 / nodes as f64));
            let mut count = 0;
            for t in 1..=60 {
                for budget in &mut all {
                    (0..10 / nodes).for_each(|_| budget.record_first_attempt());
                    while budget
                        .acquire(t * SECOND, further((t + 1) * SECOND, 1), &mut rng)
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

    fn further(until: Micros, tries: u32) -> RetryRequest {
        RetryRequest {
            deadline: until,
            effect: AttemptEffect::NeverRan,
            is_idempotent: true,
            attempts: tries,
        }
    }

    #[test]
    fn what_may_be_repeated() {
        let mut rng = SmallRng::seed_from_u64(7);
        let cases = [
            (AttemptEffect::NeverRan, false, SECOND, true),
            (AttemptEffect::NeverRan, true, SECOND, true),
            (AttemptEffect::MayHaveRun, true, SECOND, true),
            // A run that must not happen twice.
            (AttemptEffect::MayHaveRun, false, SECOND, false),
            // Too late.
            (AttemptEffect::NeverRan, true, 19_999, false),
        ];
        for (tried, safe, until, wanted) in cases {
            let mut budget = RetryBudget::new(RetryConfig::default(), 0);
            assert_eq!(
                budget
                    .acquire(
                        0,
                        RetryRequest {
                            deadline: until,
                            effect: tried,
                            is_idempotent: safe,
                            attempts: 1
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
        let (mut budget, mut rng) = (
            RetryBudget::new(RetryConfig::default(), 0),
            SmallRng::seed_from_u64(7),
        );
        let (mut firsts, mut repeats) = (0, 0);
        for now in (0..60 * SECOND).step_by(1000) {
            budget.record_first_attempt();
            firsts += 1;
            let mut tries = 1;
            while budget
                .acquire(now, further(now + SECOND, tries), &mut rng)
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
        let rules = RetryConfig {
            max_tokens: 1e6,
            ..RetryConfig::default()
        };
        let (mut budget, mut rng) = (RetryBudget::new(rules, 0), SmallRng::seed_from_u64(7));
        let mut longest = |tries| {
            let pauses = (0..300).map(|_| {
                budget
                    .acquire(0, further(10 * SECOND, tries), &mut rng)
                    .expect("time is left")
            });
            pauses.max().unwrap()
        };
        let all = [1, 2, 3, 40].map(&mut longest);
        assert!(
            all[0] <= 4_000 && all[1] > 4_000 && all[1] <= 8_000 && all[2] > 8_000,
            "{all:?}"
        );
        assert!(all[3] <= rules.max_backoff && all[3] > 50_000, "{all:?}");
    }
}
