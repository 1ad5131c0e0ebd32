//! Where the views of several nodes differ.

use super::view::{Member, View};
use std::collections::{BTreeMap, BTreeSet};

/// The differences, one line for each; none if the views are equal.
pub fn differences(views: &[View]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut fleets: Vec<&str> = views.iter().map(|view| view.fleet.as_str()).collect();
    fleets.dedup();
    if fleets.len() > 1 {
        let fleets = fleets.join(", ");
        lines.push(format!("the nodes are in different fleets: {fleets}"));
    }
    let members = views.iter().flat_map(|view| &view.members);
    let names: BTreeSet<&str> = members.map(|member| member.name.as_str()).collect();
    lines.extend(names.into_iter().filter_map(|name| difference(views, name)));
    let digests: BTreeSet<&str> = views.iter().map(|view| view.digest.as_str()).collect();
    if lines.is_empty() && digests.len() > 1 {
        lines
            .push("the digests differ, but the members shown do not: run the command again".into());
    }
    lines
}

/// How the views of one member differ, if they do.
fn difference(views: &[View], name: &str) -> Option<String> {
    // For each reported state, the nodes that report it.
    let mut reports: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for view in views {
        let member = view.members.iter().find(|member| member.name == name);
        let report = member.map_or("not known".to_owned(), describe);
        reports.entry(report).or_default().push(&view.node);
    }
    if reports.len() < 2 {
        return None;
    }
    let groups: Vec<String> = reports
        .iter()
        .map(|(report, nodes)| format!("{report} ({})", nodes.join(", ")))
        .collect();
    Some(format!("{name}: {}", groups.join("; ")))
}

fn describe(member: &Member) -> String {
    let Member {
        state,
        service_state,
        incarnation,
        address,
        ..
    } = member;
    let mut text = format!("{state} {service_state} incarnation {incarnation} at {address}");
    for rival in &member.conflict {
        text.push_str(&format!(" and {rival}"));
    }
    if !member.zone.is_empty() {
        text.push_str(&format!(" in {}", member.zone));
    }
    text
}
