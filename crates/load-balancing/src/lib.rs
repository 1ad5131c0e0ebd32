//! Pools of servers: who gets a run, who is left out for a while, how much each may have, and
//! whether a try may be repeated.
//!
//! Nothing here does I/O or reads a clock: the time and the seed are handed in, so that a fleet of
//! a thousand servers runs in a test. What runs and when is decided before, by the controller; a
//! pool says where.
//!
//! - [`pool`] balances: the less loaded of two members drawn at random, by runs in flight, latency
//!   and weight; tiers, spares, and the same member for the same key where that is asked.
//! - [`outlier_detection`] takes members out by what happens to their runs, and back in slowly.
//! - [`concurrency_limit`] bounds each member's runs by what its latency says.
//! - [`retry_budget`] is the budget for repeated tries.
//!
//! `docs/pools.md` has the options that were compared, with figures.

pub mod concurrency_limit;
pub mod consistent_hash;
pub mod outlier_detection;
pub mod pool;
pub mod retry_budget;

/// Microseconds.
pub type Micros = i64;
/// A second.
pub const SECOND: Micros = 1_000_000;
