//! One pool of the node: its settings, this node's share of it, and its load-balancing state.

use super::PoolShare;
use crate::log::log;
use crate::net::worker_pools::routes::{PoolSettings, WorkerLabel};
use pipitlever_admission::Micros;
use pipitlever_load_balancing::pool::{Member, MemberMode, Pool, PoolConfig};
use pipitlever_subsetting::assignment::WorkerShare;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A pool of the node.
#[derive(Debug)]
pub struct PoolEntry {
    /// Settings of the pool.
    pub settings: PoolSettings,
    /// This node's share, if the nodes of the fleet divide the pool.
    pub share: PoolShare,
    /// Number of runs that requested a worker since the last call of `WorkerPools::take_demand`.
    pub demand: u64,
    /// Load-balancing state of the pool.
    pub pool: Pool<SocketAddr>,
}

impl PoolEntry {
    pub fn new(settings: PoolSettings, seed: u64, now: Micros) -> PoolEntry {
        let share = PoolShare::default();
        let members = local_members(&settings, &share.workers);
        PoolEntry {
            pool: Pool::new(PoolConfig::default(), members, seed, now),
            settings,
            share,
            demand: 0,
        }
    }

    /// Recomputes the members from the settings and the share.
    pub fn update_members(&mut self, now: Micros) {
        let members = local_members(&self.settings, &self.share.workers);
        self.pool.update(members, now);
    }

    /// Name of the pool in log lines.
    pub fn log_name(&self) -> String {
        if self.settings.name.is_empty() {
            "pool".into()
        } else {
            format!("pool {}", self.settings.name)
        }
    }

    /// Counts a run at its first attempt.
    pub fn record_demand(&mut self, is_first_attempt: bool) {
        self.demand += u64::from(is_first_attempt);
    }

    /// Reduces the share to one run for each worker once it has expired. A process that was
    /// suspended may read requests before it is notified that other nodes have its share.
    pub fn expire_share(&mut self, now: Micros) {
        if now < self.share.expires_at {
            return;
        }
        self.share.expires_at = Micros::MAX;
        for worker in self.share.workers.values_mut() {
            worker.concurrency_limit = 1;
        }
        self.update_members(now);
    }

    /// Logs the events of the pool since the last call.
    pub fn log_events(&mut self) {
        for event in self.pool.take_events() {
            log(&format!("{}: {event}", self.log_name()));
        }
    }
}

/// The members with this node's limits. In a divided pool, workers outside the node's subset are in
/// a lower priority tier with one run each, and are used only if no worker of the subset is usable.
/// Configured tiers are doubled, so that there is such a tier below each of them.
fn local_members(
    settings: &PoolSettings,
    shares: &HashMap<String, WorkerShare>,
) -> Vec<Member<SocketAddr>> {
    if settings.subsetting.is_none() {
        return settings.members.clone();
    }
    let local = |(member, label): (&Member<SocketAddr>, &WorkerLabel)| {
        let tier = member.tier.saturating_mul(2);
        if !is_divided(member) {
            return Member {
                tier,
                ..member.clone()
            };
        }
        match shares.get(&label.name) {
            Some(share) if share.in_subset => Member {
                tier,
                weight: share.weight,
                max_runs: share.concurrency_limit,
                ..member.clone()
            },
            _ => Member {
                tier: tier.saturating_add(1),
                max_runs: 1,
                ..member.clone()
            },
        }
    };
    settings
        .members
        .iter()
        .zip(&settings.labels)
        .map(local)
        .collect()
}

/// Whether the nodes of a fleet divide this member of a shared pool among themselves.
pub fn is_divided(member: &Member<SocketAddr>) -> bool {
    !member.is_standby && member.mode == MemberMode::Active
}
