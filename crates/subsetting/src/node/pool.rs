//! The state of one shared pool.

use super::Pool;
use crate::assignment::{assign_node, Peer, Worker, WorkerShare};
use crate::hash;
use crate::load::LoadMeter;
use crate::load_report::short_id;
use crate::share_lease::{LoadHistory, LoadLevels, ShareLease};
use crate::Micros;

/// A node's minimum share of a worker's limit.
const MIN_SHARE: usize = 1;

/// A pool, its measured load, and the node's shares of it.
pub(super) struct PoolState {
    pub(super) pool: Pool,
    pub(super) meter: LoadMeter,
    /// The node's fraction of the load of all nodes.
    pub(super) load_fraction: f64,
    /// The last computed share of each worker.
    assigned: Vec<WorkerShare>,
    /// Leases on shares, for tiers of which each node uses a subset.
    leases: Vec<ShareLease>,
    /// Known loads, for tiers of which all nodes use all workers.
    history: LoadHistory,
    /// The shares by `history` of each worker, while they don't change with time.
    history_shares: Option<Vec<usize>>,
}

impl PoolState {
    /// Creates the state of a pool. The meter, the history and the leases of workers that remain
    /// are taken over from the previous state.
    pub(super) fn new(now: Micros, pool: Pool, previous: Option<PoolState>) -> PoolState {
        let lease = |worker: &Worker| {
            previous
                .as_ref()
                .and_then(|previous| previous.lease(&worker.name))
                .unwrap_or_else(|| ShareLease::new(MIN_SHARE, now))
        };
        let leases = pool.workers.iter().map(lease).collect();
        let (meter, history) = match previous {
            Some(previous) => (previous.meter, previous.history),
            None => (LoadMeter::new(now), LoadHistory::new(now)),
        };
        PoolState {
            pool,
            meter,
            load_fraction: 1.0,
            assigned: Vec::new(),
            leases,
            history,
            history_shares: None,
        }
    }

    fn lease(&self, worker: &str) -> Option<ShareLease> {
        let position = self.pool.workers.iter().position(|w| w.name == worker)?;
        Some(self.leases[position].clone())
    }

    /// Returns the short id of a worker.
    pub(super) fn worker_id(&self, worker: usize) -> u16 {
        short_id(&[&self.pool.name, &self.pool.workers[worker].name])
    }

    /// Divides the pool among these nodes.
    pub(super) fn assign(&mut self, now: Micros, own_name: &str, peers: Vec<Peer>) {
        let assignment = assign_node(own_name, &peers, &self.pool.workers, self.pool.subset_size);
        self.assigned = assignment.workers;
        self.load_fraction = assignment.load_fraction;
        for (lease, share) in self.leases.iter_mut().zip(&self.assigned) {
            let limit = if share.in_subset {
                share.concurrency_limit
            } else {
                MIN_SHARE
            };
            lease.set(now, limit);
        }
        let levels: LoadLevels = peers.into_iter().map(|p| (p.name, p.level)).collect();
        self.history.record(now, levels);
        self.history_shares = None;
    }

    /// Returns the shares in effect now. An isolated node keeps the minimum share.
    pub(super) fn worker_shares(
        &mut self,
        own_name: &str,
        now: Micros,
        max_propagation: Micros,
        is_isolated: bool,
    ) -> Vec<WorkerShare> {
        let is_stable = self.history.expire(now, max_propagation);
        let history_shares = self
            .history_shares
            .take()
            .unwrap_or_else(|| self.compute_history_shares(own_name));
        let mut shares = Vec::with_capacity(self.assigned.len());
        let workers = self.pool.workers.iter().zip(&mut self.leases);
        for ((assigned, (worker, lease)), history_share) in
            self.assigned.iter().zip(workers).zip(&history_shares)
        {
            let share = if is_isolated {
                MIN_SHARE
            } else if all_nodes_use(&self.pool, worker.tier) {
                *history_share
            } else {
                lease.get(now, max_propagation)
            };
            shares.push(WorkerShare {
                concurrency_limit: share.max(MIN_SHARE),
                ..*assigned
            });
        }
        self.history_shares = is_stable.then_some(history_shares);
        shares
    }

    fn compute_history_shares(&self, own_name: &str) -> Vec<usize> {
        let share = |worker: &Worker| {
            if !all_nodes_use(&self.pool, worker.tier) {
                return 0;
            }
            self.history
                .share(own_name, worker.concurrency_limit, |node| {
                    hash(&[node, &worker.name])
                })
        };
        self.pool.workers.iter().map(share).collect()
    }
}

/// Returns whether all nodes use all workers of a tier.
fn all_nodes_use(pool: &Pool, tier: u32) -> bool {
    let is_in_tier = |worker: &&Worker| worker.tier == tier;
    pool.workers.iter().filter(is_in_tier).count() <= pool.subset_size
}
