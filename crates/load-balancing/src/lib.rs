//! Load balancing over a pool of workers: selection, outlier detection, concurrency limits, retry
//! budgets and consistent hashing.
//!
//! The package does no I/O and reads no clock: callers pass the time and the random seed, so tests
//! simulate pools of a thousand members. The admission controller decides which run starts and
//! when; a pool decides which member executes it.
//!
//! - [`pool`] selects a member: power of two choices by runs in flight, latency and weight, with
//!   tiers, standby members and sticky keys.
//! - [`outlier_detection`] ejects members whose runs fail or are slow, and readmits them gradually.
//! - [`concurrency_limit`] bounds the runs in flight of a member by its observed latency.
//! - [`retry_budget`] bounds retries to a fraction of the first attempts.
//! - [`consistent_hash`] maps sticky keys to members.
//!
//! `docs/load-balancing.md` compares the alternatives, with measurements.

pub mod concurrency_limit;
pub mod consistent_hash;
pub mod outlier_detection;
pub mod pool;
pub mod retry_budget;

/// A time or a duration, in microseconds.
pub type Micros = i64;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
