//! Settings of a pool and of its members.

use crate::concurrency_limit::ConcurrencyLimitConfig;
use crate::outlier_detection::OutlierDetectionConfig;
use crate::retry_budget::RetryConfig;
use crate::{Micros, SECOND};

/// Administrative state of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberMode {
    /// Gets runs.
    #[default]
    Active,
    /// Completes its runs, and gets only new ones that belong to it by their sticky key.
    Draining,
    /// Gets no runs.
    Disabled,
}

/// A member of a pool, as the operator configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member<A> {
    /// The member's address, which also identifies it.
    pub address: A,
    /// Share of the traffic relative to the other members of its tier; above 0.
    pub weight: f64,
    /// Priority tier: the lowest tier with a usable member gets all traffic.
    pub tier: u32,
    /// Whether the member is used only when no other member is usable.
    pub is_standby: bool,
    /// Administrative state.
    pub mode: MemberMode,
    /// Upper bound of the runs in flight.
    pub max_runs: usize,
}

impl<A> Member<A> {
    /// Default of [`Member::max_runs`], more than a worker executes concurrently.
    const DEFAULT_MAX_RUNS: usize = 1024;

    /// Creates an active member of weight 1 in the first tier.
    pub fn new(address: A) -> Member<A> {
        Member {
            address,
            weight: 1.0,
            tier: 0,
            is_standby: false,
            mode: MemberMode::Active,
            max_runs: Self::DEFAULT_MAX_RUNS,
        }
    }
}

/// Settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// Ejection of members and their return.
    pub outlier_detection: OutlierDetectionConfig,
    /// Runs in flight for each member.
    pub concurrency_limit: ConcurrencyLimitConfig,
    /// Retries.
    pub retry: RetryConfig,
    /// Panic threshold: the ratio of members that may be ejected at once. Beyond it ejections are
    /// suspended, because the cause is then more likely a shared dependency than the members.
    pub max_ejected_ratio: f64,
    /// How long ejections stay suspended, in microseconds.
    pub panic_duration: Micros,
    /// How long standby members stay in use after another member is usable again, in microseconds.
    pub standby_hold: Micros,
    /// A member gets no run by sticky key beyond this many times its share of the runs in flight.
    pub hash_load_factor: f64,
    /// Time constant with which the observed latency of a member decays, in microseconds.
    pub latency_decay: Micros,
}

impl Default for PoolConfig {
    fn default() -> PoolConfig {
        PoolConfig {
            outlier_detection: OutlierDetectionConfig::default(),
            concurrency_limit: ConcurrencyLimitConfig::default(),
            retry: RetryConfig::default(),
            max_ejected_ratio: 0.5,
            panic_duration: 10 * SECOND,
            standby_hold: 5 * SECOND,
            hash_load_factor: 1.5,
            latency_decay: 10 * SECOND,
        }
    }
}
