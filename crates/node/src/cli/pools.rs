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
        let name = name(pool);
        let fallback = pool
            .fallback
            .map_or("none".to_owned(), |i| self::name(&all[i]));
        let routes = uwsgi
            .routes
            .iter()
            .filter(|r| r.backend == Backend::Workers && uwsgi.pool_index(r) == i);
        let routes: Vec<&str> = routes.map(|r| r.path.as_str()).collect();
        lines.push(format!(
            "pool {name}: fallback={fallback} routes={}",
            routes.join(",")
        ));
        lines.extend(members(&pool.members));
        let warnings = warnings(pool, &routes, all.iter().any(|p| p.fallback == Some(i)));
        lines.extend(
            warnings
                .into_iter()
                .map(|warning| format!("  odd: {warning}")),
        );
    }
    lines
}

fn name(pool: &PoolSettings) -> String {
    if pool.name.is_empty() {
        "of [uwsgi]".into()
    } else {
        pool.name.clone()
    }
}

fn is_active(member: &&Member<SocketAddr>) -> bool {
    member.mode == MemberMode::Active
}

/// One line for each member, in the order of use, with its share of the runs of its group.
fn members(all: &[Member<SocketAddr>]) -> Vec<String> {
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
                MemberMode::Active => format!("{:.1}% of its runs", member.weight / sum * 100.0),
                MemberMode::Draining => "nothing new: draining".into(),
                MemberMode::Disabled => "nothing: disabled".into(),
            };
            lines.push(format!(
                "  {group}: {} gets {share}, {} at once",
                member.address, member.max_runs
            ));
        }
    }
    lines
}

/// Settings that are probably mistakes.
fn warnings(pool: &PoolSettings, routes: &[&str], takes_over: bool) -> Vec<String> {
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
        warnings.push("no member is on: every run goes to its spares or its fall-back".into());
    }
    if primaries + standbys == 1 && pool.fallback.is_none() {
        warnings.push("one member and no fall-back: nobody takes over for it".into());
    }
    if routes.is_empty() && !takes_over {
        warnings.push("no route and no other pool leads here".into());
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
            "{} has less than a fiftieth of another's weight",
            member.address
        ));
    }
    warnings
}
