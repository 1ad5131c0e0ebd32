//! One pool: who gets the next run.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::consistent_hash::{splitmix64, HashRing};
use crate::outlier_detection::{EjectionReason, MemberState, OutlierDetector};
use crate::retry_budget::{RetryBudget, RetryRequest};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hash};

mod ejection;
mod members;
mod report;
mod select;
mod server;
mod terms;

use server::Server;
pub use terms::*;

/// The pool.
#[derive(Debug)]
pub struct Pool<A> {
    rules: PoolConfig,
    rng: SmallRng,
    servers: Vec<Server<A>>,
    places: HashMap<u32, usize>,
    runs: HashMap<RunId, (u32, Micros)>,
    next: (u32, RunId),
    /// Those that the next run may go to, and those on trial: made anew after each change.
    usable: Vec<usize>,
    /// Their weights, added up.
    weights: Vec<f64>,
    trials: Vec<usize>,
    /// Those of the usable ones that warm up.
    warming: Vec<usize>,
    ring: HashRing,
    budget: RetryBudget,
    /// What a run takes, all members together, in microseconds.
    typical: f64,
    distrusted: Option<Micros>,
    /// Spares are used, and since when they need not be.
    spares: Option<Option<Micros>>,
    next_tick: Micros,
    judged: Micros,
    notes: Vec<PoolEvent<A>>,
}

/// A fixed hasher: the same key and address come to the same place on all nodes and after a
/// restart.
#[derive(Clone, Copy, Debug, Default)]
struct Fixed;

impl BuildHasher for Fixed {
    type Hasher = std::hash::DefaultHasher;
    fn build_hasher(&self) -> Self::Hasher {
        std::hash::DefaultHasher::new()
    }
}
