//! Creation of a pool, and changes of its member list.

use super::candidates::{Candidates, StandbyUse};
use super::tracked_member::TrackedMember;
use super::{LastIds, Member, Pool, PoolConfig};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::consistent_hash::{splitmix64, HashRing, RingMember};
use crate::outlier_detection::OutlierDetector;
use crate::retry_budget::RetryBudget;
use crate::Micros;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;
use std::hash::{BuildHasher, DefaultHasher, Hash};

/// Latency that is assumed until the first run succeeds, in microseconds.
const INITIAL_LATENCY: f64 = 1000.0;

/// A hasher without a random key, so that all nodes compute the same ring, also after a restart.
#[derive(Clone, Copy, Debug, Default)]
struct FixedHasher;

impl BuildHasher for FixedHasher {
    type Hasher = DefaultHasher;
    fn build_hasher(&self) -> DefaultHasher {
        DefaultHasher::new()
    }
}

impl<A: Clone + PartialEq + Hash> Pool<A> {
    /// Creates a pool of healthy members. `seed` determines all random draws.
    pub fn new(config: PoolConfig, members: Vec<Member<A>>, seed: u64, now: Micros) -> Pool<A> {
        let mut pool = Pool {
            config,
            rng: SmallRng::seed_from_u64(seed),
            last_ids: LastIds::default(),
            members: Vec::new(),
            positions: HashMap::new(),
            runs: HashMap::new(),
            candidates: Candidates::default(),
            standby_use: StandbyUse::Inactive,
            ring: HashRing::default(),
            retry_budget: RetryBudget::new(config.retry, now),
            typical_latency: INITIAL_LATENCY,
            panic_until: None,
            next_transition: Micros::MIN,
            latencies_compared_at: now,
            events: Vec::new(),
        };
        for member in members {
            pool.add(member, OutlierDetector::new(config.outlier_detection, now));
        }
        pool.rebuild_candidates(now);
        pool.rebuild_ring();
        pool.events.clear();
        pool
    }

    fn add(&mut self, settings: Member<A>, detector: OutlierDetector) {
        let id = self.last_ids.next_member();
        let limit = ConcurrencyLimit::new(self.config.concurrency_limit, settings.max_runs);
        self.members
            .push(TrackedMember::new(id, settings, detector, limit));
    }

    /// Replaces the member list. A member that remains retains its observed state, a removed one
    /// completes its runs, and an added one begins with a slow start.
    pub fn update(&mut self, members: Vec<Member<A>>, now: Micros) {
        for member in &mut self.members {
            member.is_removed = true;
        }
        for settings in members {
            let known = self
                .members
                .iter_mut()
                .find(|known| known.settings.address == settings.address);
            if let Some(known) = known {
                known.limit.set_upper_bound(settings.max_runs);
                known.settings = settings;
                known.is_removed = false;
            } else {
                let config = self.config.outlier_detection;
                self.add(settings, OutlierDetector::with_slow_start(config, now));
            }
        }
        self.members
            .retain(|member| !member.is_removed || !member.runs.is_empty());
        self.rebuild_candidates(now);
        self.rebuild_ring();
    }

    /// Rebuilds the ring of sticky keys. It depends on the configuration alone, so that an ejected
    /// member gets its keys back when it returns.
    fn rebuild_ring(&mut self) {
        let ring_member = |member: &TrackedMember<A>| RingMember {
            id: member.id.0,
            name_hash: splitmix64(FixedHasher.hash_one(&member.settings.address)),
            weight: member.settings.weight,
        };
        self.ring = HashRing::new(
            self.members
                .iter()
                .filter(|member| member.is_enabled_primary())
                .map(ring_member),
        );
    }
}
