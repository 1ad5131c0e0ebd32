//! Membership view and metrics for the control endpoint.

use super::{active_version, Counters, MembershipDriver};
use pipitlever_membership::members::Member;
use pipitlever_membership::record::State;
use serde_json::{json, Value};
use std::fmt::Write;

/// The view as JSON.
pub fn view(driver: &MembershipDriver) -> String {
    driver.read(|fleet, now| {
        let members: Vec<Value> = fleet
            .members()
            .iter()
            .filter(|(_, member)| !member.is_tombstone)
            .map(|(name, member)| member_view(name, member, now))
            .collect();
        let mut view = json!({
            "self": fleet.local_name(),
            "fleet": fleet.fleet_name(),
            "settled": fleet.is_converged(),
            "cut_off": fleet.is_partitioned(),
            "health": fleet.local_health_score(),
            "digest": format!("{:016x}", fleet.digest()),
            "members": members,
        });
        if let Some(versions) = &driver.versions {
            view["versions"] = versions.view(now);
        }
        if let Some(sessions) = &driver.session_affinity {
            view["sessions"] = sessions.view();
        }
        if let Some(subsetting) = &driver.subsetting {
            view["share"] = subsetting.view(now);
        }
        format!("{view}\n")
    })
}

fn member_view(name: &str, member: &Member, now: i64) -> Value {
    let details = &member.record.details;
    let rivals: Vec<String> = details
        .rivals
        .iter()
        .map(|rival| rival.address.to_string())
        .collect();
    json!({
        "name": name,
        "address": details.address.to_string(),
        "zone": details.zone,
        "state": member.record.state.as_str(),
        "incarnation": member.record.incarnation,
        "standing": details.service_state.as_str(),
        "since_ms": (now - member.state_since).max(0) / 1000,
        "told_by": member.reported_by,
        "conflict": rivals,
        "acting": active_version(&details.payload),
    })
}

/// Appends the metrics in the statsd format. Writing to a string cannot fail.
pub fn write_metrics(driver: &MembershipDriver, text: &mut String) {
    driver.read(|fleet, _| {
        let states = fleet.count_by_state();
        let by_state = [State::Alive, State::Suspect, State::Down, State::Left].map(|state| {
            (
                state.as_str(),
                states.get(&state).copied().unwrap_or(0) as u64,
            )
        });
        let gauges = [
            ("settled", u64::from(fleet.is_converged())),
            ("cut_off", u64::from(fleet.is_partitioned())),
            ("health", u64::from(fleet.local_health_score())),
        ];
        for (name, value) in by_state.into_iter().chain(gauges) {
            let _ = writeln!(text, "edge.fleet.{name}:{value}|g");
        }
    });
    if let Some(sessions) = &driver.session_affinity {
        sessions.write_metrics(text);
    }
    if let Some(subsetting) = &driver.subsetting {
        subsetting.write_metrics(driver.clock.now(), text);
    }
    let Counters {
        sent,
        unsent,
        received,
        malformed,
        synced,
        failed_syncs,
    } = driver.counters.get();
    let counters = [
        ("sent", sent),
        ("unsent", unsent),
        ("heard", received),
        ("malformed", malformed),
        ("synced", synced),
        ("broken", failed_syncs),
    ];
    for (name, value) in counters {
        let _ = writeln!(text, "edge.fleet.{name}:{value}|c");
    }
}
