//! One pool: who gets the next run.

use crate::health::{Health, State, Why};
use crate::limit::Limit;
use crate::retry::{Budget, Further};
use crate::ring::{mix, Ring};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hash};

mod judge;
mod members;
mod place;
mod report;
mod server;
mod terms;

use server::Server;
pub use terms::*;

/// The pool.
#[derive(Debug)]
pub struct Pool<A> {
    rules: Rules,
    rng: SmallRng,
    servers: Vec<Server<A>>,
    places: HashMap<u32, usize>,
    runs: HashMap<Run, (u32, Micros)>,
    next: (u32, Run),
    /// Those that the next run may go to, and those on trial: made anew after each change.
    usable: Vec<usize>,
    /// Their weights, added up.
    weights: Vec<f64>,
    trials: Vec<usize>,
    /// Those of the usable ones that warm up.
    warming: Vec<usize>,
    ring: Ring,
    budget: Budget,
    /// What a run takes, all members together, in microseconds.
    typical: f64,
    distrusted: Option<Micros>,
    /// Spares are used, and since when they need not be.
    spares: Option<Option<Micros>>,
    next_tick: Micros,
    judged: Micros,
    notes: Vec<Note<A>>,
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
