//! What is said to a pool, and what it says.

use crate::outlier_detection::{self, EjectionReason};
use crate::{concurrency_limit, retry_budget, Micros, SECOND};
use std::fmt;

/// Whether a member gets runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberMode {
    /// It does.
    #[default]
    Active,
    /// It finishes what it has, and gets nothing new but what belongs to it by its key.
    Draining,
    /// It gets nothing.
    Disabled,
}

/// What the operator says of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member<A> {
    /// Where it is, which also names it.
    pub address: A,
    /// Its share, beside the others' of its tier; above 0.
    pub weight: f64,
    /// A lower tier comes first; the next one is used when nobody of it is usable.
    pub tier: u32,
    /// It is used only when no other member is usable.
    pub is_standby: bool,
    /// Whether it gets runs.
    pub mode: MemberMode,
    /// Runs that it may have at once.
    pub max_runs: usize,
}

impl<A> Member<A> {
    /// One of weight 1, with a bound far off.
    pub fn new(address: A) -> Member<A> {
        Member {
            address,
            weight: 1.0,
            tier: 0,
            is_standby: false,
            mode: MemberMode::Active,
            max_runs: 1024,
        }
    }
}

/// What a pool keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// Of each member's health.
    pub outlier_detection: outlier_detection::OutlierDetectionConfig,
    /// Of each member's limit.
    pub concurrency_limit: concurrency_limit::ConcurrencyLimitConfig,
    /// Of repeated tries.
    pub retry: retry_budget::RetryConfig,
    /// So large a share of the members may be out at once. Beyond it the signal is distrusted: if
    /// most look bad, it is more likely what they all depend on.
    pub max_ejected_ratio: f64,
    /// It is distrusted for so long, in microseconds.
    pub panic_duration: Micros,
    /// Spares are used for so long after another member is usable again, in microseconds.
    pub standby_hold: Micros,
    /// A member with a key's run gets no more than so many times the mean of runs.
    pub hash_load_factor: f64,
    /// Latencies fade in so long, in microseconds.
    pub latency_decay: Micros,
}

impl Default for PoolConfig {
    fn default() -> PoolConfig {
        PoolConfig {
            outlier_detection: outlier_detection::OutlierDetectionConfig::default(),
            concurrency_limit: concurrency_limit::ConcurrencyLimitConfig::default(),
            retry: retry_budget::RetryConfig::default(),
            max_ejected_ratio: 0.5,
            panic_duration: 10 * SECOND,
            standby_hold: 5 * SECOND,
            hash_load_factor: 1.5,
            latency_decay: 10 * SECOND,
        }
    }
}

/// A run that needs a place.
#[derive(Clone, Copy, Debug, Default)]
pub struct SelectionRequest<'a> {
    /// It may happen twice.
    pub is_idempotent: bool,
    /// Tries with the same key go to the same member where they can.
    pub hash_key: Option<u64>,
    /// Members that this request has tried.
    pub attempted_members: &'a [u32],
}

/// One run in a member's hands.
pub type RunId = u64;

/// Where a run goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection<A> {
    /// There. The member's number is for [`SelectionRequest::tried`].
    Selected {
        /// The run.
        run: RunId,
        /// The member's number.
        member: u32,
        /// The member.
        address: A,
    },
    /// Each member that is usable has as much as it may have.
    AtCapacity,
    /// No member is usable, or all that are have been tried.
    Unavailable,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a response.
    Succeeded,
    /// Nobody accepted it.
    Unreachable,
    /// It broke off, said what can't be read, or took too long.
    Failed,
    /// Its time was up. That says something of the member only if it had far more than a run
    /// usually takes.
    TimedOut,
}

/// A change worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent<A> {
    /// A member is out.
    Ejected(A, EjectionReason, Micros),
    /// A member is on trial.
    ProbationStarted(A),
    /// A member gets runs again.
    Recovered(A),
    /// Too many look bad: nobody is left out for a while.
    PanicStarted,
    /// Members are left out again by what happens to their runs.
    PanicEnded,
    /// Spares are used.
    StandbyActivated,
    /// Spares are no longer used.
    StandbyReleased,
}

impl<A: fmt::Display> fmt::Display for PoolEvent<A> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PoolEvent::Ejected(member, why, out) => {
                write!(f, "member={member} out for_ms={} why: {why}", out / 1000)
            }
            PoolEvent::ProbationStarted(member) => write!(f, "member={member} on trial"),
            PoolEvent::Recovered(member) => write!(f, "member={member} back"),
            PoolEvent::PanicStarted => {
                write!(f, "most members look bad: none is left out for a while")
            }
            PoolEvent::PanicEnded => write!(f, "members are left out again"),
            PoolEvent::StandbyActivated => write!(f, "spares are used: no other member is usable"),
            PoolEvent::StandbyReleased => write!(f, "spares are no longer used"),
        }
    }
}
