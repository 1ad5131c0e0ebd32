//! `pipitlever fleet`: what nodes' doors say of the fleet, as a table, and where they differ.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::time::{Duration, Instant};

/// A door answers within a second; one that doesn't within this is not there.
const PATIENCE: Duration = Duration::from_secs(3);
/// The longest answer that is read, in bytes: 10,000 members take less.
const MOST_ANSWER: u64 = 16 << 20;

/// What one node says of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct View {
    /// Its name.
    #[serde(rename = "self")]
    pub itself: String,
    /// The fleet's.
    pub fleet: String,
    /// Its view has come to rest.
    pub settled: bool,
    /// It sees no majority of those it knows.
    pub cut_off: bool,
    /// How far it trusts itself: 0 when all is well.
    pub health: u32,
    /// Equal to another node's exactly if their views are.
    pub digest: String,
    /// The members.
    pub members: Vec<Member>,
    /// How the node stands to the versions of the fleet's settings, if these are decided.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
    /// Where long-lived sessions live, if any stay with their workers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sessions: Option<crate::cli::sessions::SessionAffinity>,
}

/// How a node stands to the versions of the fleet's settings.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Versions {
    /// The one that it acts on.
    pub acting: u64,
    /// The newest that it knows was decided.
    pub decided: u64,
    /// It acts on none below this one.
    pub floor: u64,
    /// Enough electors were heard since its start to know that.
    pub floor_known: bool,
    /// It admits and starts requests.
    pub may_act: bool,
    /// Why it does not.
    pub why: String,
    /// What is left of its lease.
    pub lease_ms: Option<i64>,
    /// What it can't act on, and why.
    pub unfit: Option<String>,
}

/// One of them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Member {
    name: String,
    address: String,
    zone: String,
    state: String,
    incarnation: u64,
    standing: String,
    since_ms: u64,
    told_by: String,
    conflict: Vec<String>,
    #[serde(default)]
    acting: Option<u64>,
}

/// Asks a door for its node's view.
pub fn ask(door: &str) -> Result<View, String> {
    let wrong = |what: String| format!("{door}: {what}");
    match call(door, "GET", "/fleet", b"")? {
        (200, body) => {
            serde_json::from_slice(&body).map_err(|e| wrong(format!("not understood: {e}")))
        }
        (404, _) => Err(wrong(
            "this node is in no fleet: its operator's file has no [fleet]".into(),
        )),
        (code, _) => Err(wrong(format!("answered {code}"))),
    }
}

/// Publishes a version on top of the newest that the door's node knows, and waits until the fleet
/// has decided.
pub fn publish(door: &str, file: &str, why: Option<&str>) -> Result<u8, String> {
    let why =
        why.ok_or("publish: say --why, in a sentence: it is written down with the version")?;
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let content: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
    // Whole or not at all, and here rather than at each node.
    crate::config::versions::Content::read(text.as_bytes()).map_err(|e| format!("{file}: {e}"))?;
    let versions = || {
        ask(door)?
            .versions
            .ok_or(format!("{door}: its fleet decides no versions"))
    };
    let base = versions()?.decided;
    let body = serde_json::json!({"base": base, "why": why, "content": content}).to_string();
    let (code, said) = call(door, "POST", "/fleet/publish", body.as_bytes())?;
    let said = String::from_utf8_lossy(&said).trim_end().to_owned();
    if code != 200 {
        return Err(format!("{door}: {said}"));
    }
    let until = Instant::now() + DECIDED;
    while versions()?.decided <= base {
        if Instant::now() > until {
            return Err(format!(
                "{door}: {said}, and no majority of the electors was heard in time: ask again"
            ));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("decided: {}", versions()?.decided);
    Ok(0)
}

/// Has a door's node do something about a version.
pub fn order(door: &str, task: &str, number: &str) -> Result<u8, String> {
    let number: u64 = number
        .parse()
        .map_err(|_| format!("{task}: no number of a version: {number}"))?;
    let (code, said) = call(door, "POST", &format!("/fleet/{task}/{number}"), b"")?;
    let said = String::from_utf8_lossy(&said).trim_end().to_owned();
    match code {
        200 => println!("{said}"),
        404 => return Err(format!("{door}: its fleet decides no versions")),
        _ => return Err(format!("{door}: {said}")),
    }
    Ok(0)
}

/// A version is decided within this, or it is said that it is not.
const DECIDED: Duration = Duration::from_secs(12);

/// One call at a door: its code and body.
fn call(door: &str, method: &str, path: &str, content: &[u8]) -> Result<(u16, Vec<u8>), String> {
    let wrong = |what: String| format!("{door}: {what}");
    let address = door.to_socket_addrs().ok().and_then(|mut all| all.next());
    let address: SocketAddr = address.ok_or_else(|| wrong("no address: say HOST:PORT".into()))?;
    let failed = |e: std::io::Error| wrong(e.to_string());
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    let length = content.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream
        .write_all(&[head.as_bytes(), content].concat())
        .map_err(failed)?;
    let mut bytes = Vec::new();
    stream
        .take(MOST_ANSWER)
        .read_to_end(&mut bytes)
        .map_err(failed)?;
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(&bytes) {
        Ok(httparse::Status::Complete(head)) => {
            Ok((response.code.unwrap_or(0), bytes[head..].to_vec()))
        }
        _ => Err(wrong("no door: it does not answer in HTTP".into())),
    }
}

/// A time, as short as it can be said.
fn ago(ms: u64) -> String {
    match ms / 1000 {
        s @ 0..=119 => format!("{s}s"),
        s @ 120..=7199 => format!("{}m", s / 60),
        s => format!("{}h", s / 3600),
    }
}

/// The view as a table.
pub fn table(view: &View) -> String {
    let mut rows = vec![[
        "MEMBER",
        "STATE",
        "STANDING",
        "SINCE",
        "INCARNATION",
        "ZONE",
        "ADDRESS",
        "TOLD BY",
    ]
    .map(str::to_owned)];
    for m in &view.members {
        let mark = if m.name == view.itself { "*" } else { "" };
        let address = std::iter::once(&m.address)
            .chain(&m.conflict)
            .cloned()
            .collect::<Vec<_>>();
        rows.push([
            format!("{}{mark}", m.name),
            if m.conflict.is_empty() {
                m.state.clone()
            } else {
                format!("{} CONFLICT", m.state)
            },
            m.standing.clone(),
            ago(m.since_ms),
            m.incarnation.to_string(),
            if m.zone.is_empty() {
                "-".into()
            } else {
                m.zone.clone()
            },
            address.join(" and "),
            m.told_by.clone(),
        ]);
    }
    let width = |column: usize| {
        rows.iter()
            .map(|r| r[column].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..8).map(width).collect();
    let settled = if view.settled {
        "settled"
    } else {
        "not settled"
    };
    let cut_off = if view.cut_off { ", CUT OFF" } else { "" };
    let (fleet, of, digest, health) = (&view.fleet, &view.itself, &view.digest, view.health);
    let mut text = format!(
        "fleet {fleet} as {of} sees it: {settled}{cut_off}, digest {digest}, health {health}\n"
    );
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, w)| format!("{cell:w$}", w = *w))
            .collect();
        // A string takes all that is written to it.
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

/// Where views differ, a line each.
pub fn differences(views: &[View]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut fleets: Vec<&str> = views.iter().map(|v| v.fleet.as_str()).collect();
    fleets.dedup();
    if fleets.len() > 1 {
        lines.push(format!(
            "they are of different fleets: {}",
            fleets.join(", ")
        ));
    }
    let names: BTreeSet<&str> = views
        .iter()
        .flat_map(|v| v.members.iter().map(|m| m.name.as_str()))
        .collect();
    for name in names {
        // Who says the same of it, by what is said.
        let mut said: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for view in views {
            let of = view
                .members
                .iter()
                .find(|m| m.name == name)
                .map_or("not known".into(), |m| {
                    let zone = if m.zone.is_empty() {
                        String::new()
                    } else {
                        format!(" in {}", m.zone)
                    };
                    let rivals = m
                        .conflict
                        .iter()
                        .map(|at| format!(" and {at}"))
                        .collect::<String>();
                    format!(
                        "{} {} incarnation {} at {}{rivals}{zone}",
                        m.state, m.standing, m.incarnation, m.address
                    )
                });
            said.entry(of).or_default().push(&view.itself);
        }
        if said.len() > 1 {
            let sides: Vec<String> = said
                .iter()
                .map(|(of, by)| format!("{of} ({})", by.join(", ")))
                .collect();
            lines.push(format!("{name}: {}", sides.join("; ")));
        }
    }
    let digests: BTreeSet<&str> = views.iter().map(|v| v.digest.as_str()).collect();
    if lines.is_empty() && digests.len() > 1 {
        lines.push("digests differ, what is shown of the members doesn't: ask again".into());
    }
    lines
}

/// `fleet status`: prints a node's view; with `watch` again whenever it has changed.
pub fn status(door: &str, json: bool, watch: bool) -> Result<u8, String> {
    let mut last: Option<View> = None;
    loop {
        let next = Instant::now() + Duration::from_millis(500);
        let view = ask(door)?;
        let shown = |v: &View| (v.digest.clone(), v.settled, v.cut_off);
        if last.as_ref().map(shown) != Some(shown(&view)) {
            match json {
                true => println!(
                    "{}",
                    serde_json::to_string(&view).map_err(|e| e.to_string())?
                ),
                false => print!("{}", table(&view)),
            }
        }
        if !watch {
            return Ok(0);
        }
        last = Some(view);
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// `fleet compare`: prints where views differ; 1 if they do.
pub fn compare(doors: &[String]) -> Result<u8, String> {
    let views = doors
        .iter()
        .map(|door| ask(door))
        .collect::<Result<Vec<_>, _>>()?;
    let lines = differences(&views);
    lines.iter().for_each(|line| println!("{line}"));
    if lines.is_empty() {
        let alive = views[0]
            .members
            .iter()
            .filter(|m| m.state == "alive")
            .count();
        println!(
            "equal: {} views of {} members, {alive} alive",
            views.len(),
            views[0].members.len()
        );
    }
    Ok(u8::from(!lines.is_empty()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(itself: &str, states: &[(&str, &str)]) -> View {
        let member = |(name, state): &(&str, &str)| Member {
            name: (*name).into(),
            address: "127.0.0.1:1".into(),
            zone: String::new(),
            state: (*state).into(),
            incarnation: 1,
            standing: "serving".into(),
            since_ms: 150_000,
            told_by: "n1".into(),
            conflict: Vec::new(),
            acting: None,
        };
        View {
            versions: None,
            sessions: None,
            itself: itself.into(),
            fleet: "rota".into(),
            settled: true,
            cut_off: false,
            health: 0,
            digest: format!("{states:?}"),
            members: states.iter().map(member).collect(),
        }
    }

    #[test]
    fn differences_name_who_says_what() {
        let one = view("n1", &[("n1", "alive"), ("n2", "alive"), ("n3", "down")]);
        let two = view("n2", &[("n1", "alive"), ("n2", "alive")]);
        assert_eq!(differences(&[one.clone(), one.clone()]), [""; 0]);
        assert_eq!(
            differences(&[one.clone(), two, one.clone()]),
            ["n3: down serving incarnation 1 at 127.0.0.1:1 (n1, n1); not known (n2)"]
        );
        let other = View {
            fleet: "x".into(),
            digest: "y".into(),
            ..one.clone()
        };
        assert_eq!(
            differences(&[one.clone(), other]),
            ["they are of different fleets: rota, x"]
        );
        let unseen = View {
            digest: "y".into(),
            ..one.clone()
        };
        assert_eq!(differences(&[one, unseen]).len(), 1);
    }

    #[test]
    fn the_table_marks_its_node_and_conflicts() {
        let mut seen = view("n1", &[("n1", "alive"), ("n22", "down")]);
        seen.members[1].conflict = vec!["127.0.0.1:9".into()];
        seen.cut_off = true;
        let text = table(&seen);
        let lines: Vec<&str> = text.lines().collect();
        assert!(lines[0].contains("settled, CUT OFF"), "{text}");
        assert!(
            lines[2].starts_with("n1*") && lines[2].contains("2m"),
            "{text}"
        );
        assert!(
            lines[3].contains("down CONFLICT") && lines[3].contains("127.0.0.1:1 and 127.0.0.1:9"),
            "{text}"
        );
    }
}
