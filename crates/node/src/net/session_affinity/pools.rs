//! The pools with session affinity, and their settings for the session directory.

use crate::net::event_loop::SharedState;
use crate::net::worker_pools::routes::PoolSettings;
use pipitlever_load_balancing::pool::MemberMode;
use pipitlever_session_affinity::directory::{Pool, WorkerSettings};

/// A pool with session affinity, and its index among the node's pools.
pub(super) struct AffinityPool {
    pub(super) index: usize,
    pub(super) settings: PoolSettings,
}

/// The pools with session affinity.
pub(super) fn affinity_pools(state: &SharedState) -> Vec<AffinityPool> {
    let state = state.borrow();
    let pools = state
        .pools
        .settings()
        .enumerate()
        .filter(|(_, settings)| settings.sessions.is_some())
        .map(|(index, settings)| AffinityPool {
            index,
            settings: settings.clone(),
        });
    pools.collect()
}

/// Converts the pools for the directory.
pub(super) fn directory_pools(pools: &[AffinityPool]) -> Vec<Pool> {
    pools
        .iter()
        .filter_map(|pool| directory_pool(&pool.settings))
        .collect()
}

/// Converts a pool for the directory. Standby members, which are used only if no other member is
/// usable, accept no sessions.
fn directory_pool(settings: &PoolSettings) -> Option<Pool> {
    let sessions = settings.sessions.as_ref()?;
    let workers = settings
        .members
        .iter()
        .zip(&settings.labels)
        .map(|(member, label)| WorkerSettings {
            name: label.name.clone(),
            weight: member.weight,
            accepts_sessions: member.mode == MemberMode::Active && !member.is_standby,
            is_draining: member.mode == MemberMode::Draining,
        });
    Some(Pool {
        name: settings.name.clone(),
        previous_names: settings.previous_names.clone(),
        workers: workers.collect(),
        idle_timeout_seconds: sessions.idle_timeout_seconds,
        failure_grace: sessions.failure_grace,
        drain_grace: sessions.drain_grace,
    })
}
