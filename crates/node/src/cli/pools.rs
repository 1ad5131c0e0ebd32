//! `pipitlever pools`: what each pool would do, said from the file alone.

#[cfg(test)]
mod tests;

use crate::net::worker_pools::routes::{Backend, PoolSettings, UwsgiSettings};
use pipitlever_load_balancing::pool::{Member, MemberMode};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A line for each pool, each member, each thing that is odd.
pub fn pools(uwsgi: &UwsgiSettings) -> Vec<String> {
    let all = uwsgi.pools();
    let mut lines = Vec::new();
    for (i, pool) in all.iter().enumerate() {
        // The one without a name is there even if nobody uses it.
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
            .filter(|r| r.backend == Backend::Workers && uwsgi.pool(r) == i);
        let routes: Vec<&str> = routes.map(|r| r.path.as_str()).collect();
        lines.push(format!(
            "pool {name}: fallback={fallback} routes={}",
            routes.join(",")
        ));
        lines.extend(members(&pool.members));
        let odd = odd(pool, &routes, all.iter().any(|p| p.fallback == Some(i)));
        lines.extend(odd.into_iter().map(|odd| format!("  odd: {odd}")));
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

fn on(member: &&Member<SocketAddr>) -> bool {
    member.mode == MemberMode::Active
}

/// Members in the order in which they are used, each with its share of those that are used with it.
fn members(all: &[Member<SocketAddr>]) -> Vec<String> {
    let mut turns: BTreeMap<(bool, u32), Vec<&Member<SocketAddr>>> = BTreeMap::new();
    for member in all {
        // Spares are used together, whatever their tiers.
        turns
            .entry((
                member.is_standby,
                if member.is_standby { 0 } else { member.tier },
            ))
            .or_default()
            .push(member);
    }
    let mut lines = Vec::new();
    for ((spare, tier), members) in turns {
        let sum: f64 = members.iter().copied().filter(on).map(|m| m.weight).sum();
        for member in members {
            let turn = if spare {
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
                "  {turn}: {} gets {share}, {} at once",
                member.address, member.max_runs
            ));
        }
    }
    lines
}

/// What nobody is likely to want.
fn odd(pool: &PoolSettings, routes: &[&str], takes_over: bool) -> Vec<String> {
    let mut odd = Vec::new();
    let main = pool
        .members
        .iter()
        .filter(on)
        .filter(|m| !m.is_standby)
        .count();
    let spares = pool
        .members
        .iter()
        .filter(on)
        .filter(|m| m.is_standby)
        .count();
    if main == 0 {
        odd.push("no member is on: every run goes to its spares or its fall-back".into());
    }
    if main + spares == 1 && pool.fallback.is_none() {
        odd.push("one member and no fall-back: nobody takes over for it".into());
    }
    if routes.is_empty() && !takes_over {
        odd.push("no route and no other pool leads here".into());
    }
    let heaviest = pool
        .members
        .iter()
        .filter(on)
        .map(|m| m.weight)
        .fold(0.0, f64::max);
    for member in pool
        .members
        .iter()
        .filter(on)
        .filter(|m| m.weight * 50.0 < heaviest)
    {
        odd.push(format!(
            "{} has less than a fiftieth of another's weight",
            member.address
        ));
    }
    odd
}
