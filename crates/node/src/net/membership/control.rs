//! What the door tells of the fleet.

use super::*;
use pipitlever_membership::record::State;
use serde_json::json;

/// The view, as the door tells it.
pub fn view(part: &MembershipDriver) -> String {
    part.look(|fleet, now| {
        let members = fleet.members().iter().filter(|(_, m)| !m.is_tombstone).map(|(name, m)| {
            let d = &m.record.details;
            let rivals: Vec<String> = d.rivals.iter().map(|r| r.address.to_string()).collect();
            json!({
                "name": name, "address": d.address.to_string(), "zone": d.zone,
                "state": m.record.state.as_str(), "incarnation": m.record.incarnation,
                "standing": d.service_state.as_str(), "since_ms": (now - m.state_since).max(0) / 1000, "told_by": m.reported_by,
                "conflict": rivals, "acting": acting(&d.payload),
            })
        });
        let mut view = json!({
            "self": fleet.local_name(), "fleet": fleet.fleet_name(), "settled": fleet.is_converged(), "cut_off": fleet.is_partitioned(),
            "health": fleet.local_health_score(), "digest": format!("{:016x}", fleet.digest()),
            "members": members.collect::<Vec<_>>(),
        });
        if let Some(versions) = &part.versions {
            view["versions"] = versions.view(now);
        }
        if let Some(sessions) = &part.affinity {
            view["sessions"] = sessions.view();
        }
        if let Some(sharing) = &part.sharing {
            view["share"] = sharing.view(now);
        }
        format!("{view}\n")
    })
}

/// The figures of the fleet, for the door.
pub fn figures(part: &MembershipDriver, text: &mut String) {
    use std::fmt::Write;
    part.look(|fleet, _| {
        let states = fleet.count_by_state();
        let gauges = [State::Alive, State::Suspect, State::Down, State::Left]
            .map(|s| (s.as_str(), states.get(&s).copied().unwrap_or(0) as u64));
        let more = [
            ("settled", u64::from(fleet.is_converged())),
            ("cut_off", u64::from(fleet.is_partitioned())),
            ("health", u64::from(fleet.local_health_score())),
        ];
        for (name, value) in gauges.into_iter().chain(more) {
            // A string takes all that is written to it.
            let _ = writeln!(text, "edge.fleet.{name}:{value}|g");
        }
    });
    part.affinity
        .iter()
        .for_each(|sessions| sessions.figures(text));
    part.sharing
        .iter()
        .for_each(|sharing| sharing.figures(part.clock.now(), text));
    let Counts {
        sent,
        unsent,
        heard,
        malformed,
        synced,
        broken,
    } = part.counts();
    let counts = [
        ("sent", sent),
        ("unsent", unsent),
        ("heard", heard),
        ("malformed", malformed),
        ("synced", synced),
    ];
    for (name, value) in counts.into_iter().chain([("broken", broken)]) {
        let _ = writeln!(text, "edge.fleet.{name}:{value}|c");
    }
}
