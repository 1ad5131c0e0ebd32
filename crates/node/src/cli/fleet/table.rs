//! Renders a view as a table.

use super::view::{Member, View};
use std::fmt::Write as _;

/// The headings of the columns.
const HEADINGS: [&str; 8] = [
    "MEMBER",
    "STATE",
    "STANDING",
    "SINCE",
    "INCARNATION",
    "ZONE",
    "ADDRESS",
    "TOLD BY",
];

type Row = [String; HEADINGS.len()];

/// Renders a summary line and the table of members.
pub fn render(view: &View) -> String {
    let mut rows = vec![HEADINGS.map(str::to_owned)];
    rows.extend(view.members.iter().map(|member| row(view, member)));
    let width = |column: usize| {
        let lengths = rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..HEADINGS.len()).map(width).collect();
    let mut text = summary(view);
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

fn summary(view: &View) -> String {
    let settled = if view.is_settled {
        "settled"
    } else {
        "not settled"
    };
    let cut_off = if view.is_cut_off { ", CUT OFF" } else { "" };
    format!(
        "fleet {} in the view of {}: {settled}{cut_off}, digest {}, health {}\n",
        view.fleet, view.node, view.digest, view.health
    )
}

fn row(view: &View, member: &Member) -> Row {
    let mark = if member.name == view.node { "*" } else { "" };
    let conflict = if member.conflict.is_empty() {
        ""
    } else {
        " CONFLICT"
    };
    let zone = if member.zone.is_empty() {
        "-"
    } else {
        &member.zone
    };
    let mut addresses = vec![member.address.clone()];
    addresses.extend(member.conflict.iter().cloned());
    [
        format!("{}{mark}", member.name),
        format!("{}{conflict}", member.state),
        member.service_state.clone(),
        short_time(member.since_ms),
        member.incarnation.to_string(),
        zone.to_owned(),
        addresses.join(" and "),
        member.reported_by.clone(),
    ]
}

/// A time, rounded down to a unit that suits its size.
fn short_time(ms: u64) -> String {
    match ms / 1000 {
        seconds @ 0..=119 => format!("{seconds}s"),
        seconds @ 120..=7199 => format!("{}m", seconds / 60),
        seconds => format!("{}h", seconds / 3600),
    }
}
