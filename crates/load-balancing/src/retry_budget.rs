//! Retry budget: bounds retries to a fraction of the first attempts, so that a failing pool is not
//! loaded further by retries.
//!
//! A token bucket that first attempts fill (as in Finagle's `RetryBudget`), with exponential
//! backoff and full jitter between the attempts of one request.

use crate::Micros;
use rand::rngs::SmallRng;
use rand::Rng;

/// Limit on the doublings of the backoff, which prevents an overflow. It lies far above
/// [`RetryConfig::max_backoff`].
const MAX_BACKOFF_DOUBLINGS: u32 = 20;
const MICROS_PER_SECOND: f64 = 1e6;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries per first attempt, in the long run.
    pub retry_ratio: f64,
    /// Retries per second that are allowed in addition, for a pool with few first attempts.
    pub min_retries_per_second: f64,
    /// Capacity of the token bucket, in retries.
    pub max_tokens: f64,
    /// Upper bound of the first backoff; it doubles with each further attempt. In microseconds.
    pub base_backoff: Micros,
    /// Upper bound of every backoff, in microseconds.
    pub max_backoff: Micros,
    /// Time that has to be left before the deadline when a retry starts, in microseconds.
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

/// Whether the earlier attempts of a request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEffect {
    /// No byte of any attempt was sent.
    NeverRan,
    /// At least one attempt may have run.
    MayHaveRun,
}

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Time after which the result is of no use, in microseconds.
    pub deadline: Micros,
    /// Whether an earlier attempt may have run.
    pub effect: AttemptEffect,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Attempts so far.
    pub attempts: u32,
}

impl RetryRequest {
    fn may_run_again(&self) -> bool {
        self.effect == AttemptEffect::NeverRan || self.is_idempotent
    }
}

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    /// Fraction of the pool's budget that belongs to this node. It scales the capacity and
    /// `min_retries_per_second`; `retry_ratio` scales with this node's own first attempts.
    share: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new(config: RetryConfig, now: Micros) -> RetryBudget {
        RetryBudget {
            config,
            share: 1.0,
            tokens: config.max_tokens,
            refilled_at: now,
        }
    }

    /// Sets the fraction of the pool's budget that belongs to this node. The capacity stays at
    /// least one retry.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        self.tokens = self.tokens.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        (self.config.max_tokens * self.share).max(1.0)
    }

    /// Adds the tokens of one first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.config.retry_ratio).min(self.capacity());
    }

    /// Takes a token for a retry of `request` and returns the backoff before it, in microseconds.
    ///
    /// Returns `None` if the request may not run again, too little time is left, or the budget is
    /// exhausted.
    pub fn acquire(
        &mut self,
        now: Micros,
        request: RetryRequest,
        rng: &mut SmallRng,
    ) -> Option<Micros> {
        if !request.may_run_again() {
            return None;
        }
        self.refill(now);
        let backoff = self.draw_backoff(request.attempts, rng);
        if self.tokens < 1.0 || now + backoff + self.config.min_time_left > request.deadline {
            return None;
        }
        self.tokens -= 1.0;
        Some(backoff)
    }

    fn refill(&mut self, now: Micros) {
        let seconds = (now - self.refilled_at).max(0) as f64 / MICROS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + seconds * self.config.min_retries_per_second * self.share)
            .min(self.capacity());
    }

    /// Full jitter: requests that failed together do not retry together.
    fn draw_backoff(&self, attempts: u32, rng: &mut SmallRng) -> Micros {
        let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let bound = self.config.base_backoff.saturating_mul(1 << doublings);
        rng.random_range(0..=bound.min(self.config.max_backoff).max(0))
    }
}
