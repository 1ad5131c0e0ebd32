//! `pipitlever pools`: how each pool would be used, according to the configuration alone.

#[cfg(test)]
mod tests;

use crate::net::worker_pools::routes::{Backend, PoolSettings, UwsgiSettings};
use pipitlever_load_balancing::pool::{Member, MemberMode};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One line for each pool, each member and each warning.
pub fn describe_pools(uwsgi: &UwsgiSettings) -> Vec<String> {
    let all = uwsgi.pools();
    let mut lines = Vec::new();
    for (i, pool) in all.iter().enumerate() {
        // The unnamed pool exists even if it has no members.
        if pool.members.is_empty() {
            continue;
        }
        let name = pool_name(pool);
        let fallback = pool
            .fallback
            .map_or("none".to_owned(), |i| pool_name(&all[i]));
        let routes = uwsgi
            .routes
            .iter()
            .filter(|r| r.backend == Backend::Workers && uwsgi.pool_index(r) == i);
        let routes: Vec<&str> = routes.map(|r| r.path.as_str()).collect();
        lines.push(format!(
            "pool {name}: fallback={fallback} routes={}",
            routes.join(",")
        ));
        lines.extend(describe_members(&pool.members));
        let warnings = find_warnings(pool, &routes, all.iter().any(|p| p.fallback == Some(i)));
        lines.extend(
            warnings
                .into_iter()
                .map(|warning| format!("  warning: {warning}")),
        );
    }
    lines
}

fn pool_name(pool: &PoolSettings) -> String {
    if pool.name.is_empty() {
        "of [uwsgi]".into()
    } else {
        pool.name.clone()
    }
}

fn is_active(member: &&Member<SocketAddr>) -> bool {
    member.mode == MemberMode::Active
}

/// One line for each member, with its share of the runs of its group. Groups are the tiers, lowest
/// first, and then the standby members.
fn describe_members(all: &[Member<SocketAddr>]) -> Vec<String> {
    let mut groups: BTreeMap<(bool, u32), Vec<&Member<SocketAddr>>> = BTreeMap::new();
    for member in all {
        // Standby members are used together, whatever their tiers.
        groups
            .entry((
                member.is_standby,
                if member.is_standby { 0 } else { member.tier },
            ))
            .or_default()
            .push(member);
    }
    let mut lines = Vec::new();
    for ((is_standby, tier), members) in groups {
        let sum: f64 = members
            .iter()
            .copied()
            .filter(is_active)
            .map(|m| m.weight)
            .sum();
        for member in members {
            let group = if is_standby {
                "spare".to_owned()
            } else {
                format!("tier {tier}")
            };
            let share = match member.mode {
                MemberMode::Active => format!("{:.1}% of the runs", member.weight / sum * 100.0),
                MemberMode::Draining => "no new runs: draining".into(),
                MemberMode::Disabled => "no runs: disabled".into(),
            };
            lines.push(format!(
                "  {group}: {} gets {share}, at most {} at once",
                member.address, member.max_runs
            ));
        }
    }
    lines
}

/// Settings that are probably mistakes.
fn find_warnings(pool: &PoolSettings, routes: &[&str], is_fallback: bool) -> Vec<String> {
    let mut warnings = Vec::new();
    let primaries = pool
        .members
        .iter()
        .filter(is_active)
        .filter(|m| !m.is_standby)
        .count();
    let standbys = pool
        .members
        .iter()
        .filter(is_active)
        .filter(|m| m.is_standby)
        .count();
    if primaries == 0 {
        warnings
            .push("no active member: every run goes to the spares or to the fallback pool".into());
    }
    if primaries + standbys == 1 && pool.fallback.is_none() {
        warnings.push("one active member and no fallback pool: no other worker if it fails".into());
    }
    if routes.is_empty() && !is_fallback {
        warnings.push("unused: no route to this pool, and no pool has it as its fallback".into());
    }
    let heaviest = pool
        .members
        .iter()
        .filter(is_active)
        .map(|m| m.weight)
        .fold(0.0, f64::max);
    for member in pool
        .members
        .iter()
        .filter(is_active)
        .filter(|m| m.weight * 50.0 < heaviest)
    {
        warnings.push(format!(
            "{} has less than a fiftieth of the highest weight",
            member.address
        ));
    }
    warnings
}
