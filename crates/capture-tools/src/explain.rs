//! `explain`: the story of a request.

use crate::cursor::{replay_capture, Extent};
use crate::rendering;
use crate::request_records::{RequestRecord, RequestRecords, TimelineEntry};
use crate::source::ToolError;
use serde_json::{json, Value};
use std::path::Path;

/// Which requests are asked about: all that fit everything that is named.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    /// This `ref`.
    pub reference: Option<u64>,
    /// A key of this digest.
    pub key: Option<u64>,
    /// Of this gateway.
    pub sender: Option<u64>,
    /// Refused ones.
    pub refused: bool,
    /// Failed ones.
    pub failed: bool,
    /// No more than so many.
    pub most: usize,
}

impl Wanted {
    fn fits(&self, row: &RequestRecord) -> bool {
        let outcome = row.outcome();
        self.reference.is_none_or(|r| row.reference == Some(r))
            && self.key.is_none_or(|k| row.key == Some(k))
            && self.sender.is_none_or(|s| row.sender == Some(s))
            && (!(self.refused || self.failed)
                || (self.refused && outcome == "refused")
                || (self.failed && outcome == "failed"))
    }
}

fn hex(value: Option<u64>) -> Option<String> {
    value.map(|v| format!("{v:016x}"))
}

/// The cause of a refusal or failure, in words; nothing of one that was served.
fn reason(row: &RequestRecord) -> Option<String> {
    let (_, told, by) = row.answered?;
    if rendering::answer_label(&told) == "served" {
        return None;
    }
    let view = row
        .timeline
        .iter()
        .rev()
        .find_map(|(_, _, moment)| match moment {
            TimelineEntry::Caused(cause, view) => Some(rendering::cause(cause, view)),
            _ => None,
        });
    let ended = row
        .ended
        .map(|(_, _, how)| format!("its run ended {}", rendering::outcome(how)));
    match rendering::answer_source_label(by) {
        "module" => view,
        "run" => ended.or(Some("its run ended".into())),
        _ => rendering::answer(&told, by)
            .split_once("; ")
            .map(|(_, who)| who.to_owned()),
    }
}

fn line(moment: &TimelineEntry, classes: &[String]) -> String {
    match moment {
        TimelineEntry::Came(event, view) => {
            format!(
                "{}\n        the node went by: {}",
                rendering::event(event, classes),
                rendering::view(view)
            )
        }
        TimelineEntry::Told(event) => rendering::event(event, classes),
        TimelineEntry::Said(action) => format!("decided: {}", rendering::action(action)),
        TimelineEntry::Caused(cause, view) => {
            format!(
                "because {}\n        the node went by: {}",
                rendering::cause(cause, view),
                rendering::view(view)
            )
        }
        TimelineEntry::Answered(told, by) => format!("answer: {}", rendering::answer(told, *by)),
        TimelineEntry::Found => {
            "in memory when this part of the capture begins; what was before is not there".into()
        }
    }
}

fn story(row: &RequestRecord, classes: &[String]) -> Value {
    let moments: Vec<Value> = row
        .timeline
        .iter()
        .map(|(now, step, moment)| {
            let mut all = json!({"clock_us": now, "step": step, "text": line(moment, classes)});
            match moment {
                TimelineEntry::Came(event, view) => {
                    (all["event"], all["view"]) = (json!(event), json!(view))
                }
                TimelineEntry::Told(event) => all["event"] = json!(event),
                TimelineEntry::Said(action) => all["action"] = json!(action),
                TimelineEntry::Caused(cause, view) => {
                    (all["cause"], all["view"]) = (json!(cause), json!(view))
                }
                TimelineEntry::Answered(told, by) => {
                    (all["answer"], all["by"]) = (json!(told), json!(by))
                }
                TimelineEntry::Found => {}
            }
            all
        })
        .collect();
    json!({
        "node": row.node, "run": row.run, "id": row.id, "ref": hex(row.reference), "sender": row.sender,
        "key_digest": hex(row.key), "class": row.class.1, "outcome": row.outcome(), "reason": reason(row),
        "story": moments,
    })
}

fn print(row: &RequestRecord, classes: &[String]) {
    let some =
        |name: &str, value: Option<String>| value.map_or(String::new(), |v| format!(" {name}={v}"));
    println!(
        "{} on {}{}{}{}: {}{}",
        if row.class.1.is_empty() {
            "request"
        } else {
            &row.class.1
        },
        row.node,
        some("ref", hex(row.reference)),
        some("sender", row.sender.map(|s| s.to_string())),
        some("key-digest", hex(row.key)),
        row.outcome(),
        reason(row).map_or(String::new(), |why| format!(": {why}")),
    );
    let start = row.timeline.first().map_or(0, |s| s.0);
    for (now, step, moment) in &row.timeline {
        let text = line(moment, classes);
        println!(
            "  {} {:+10.1} ms  step {step}: {text}",
            rendering::clock(*now),
            (now - start) as f64 / 1e3
        );
    }
}

/// Tells the stories of the requests that are asked about. Whether there was any.
pub fn explain(path: &Path, wanted: &Wanted, as_json: bool) -> Result<bool, ToolError> {
    let mut found = Vec::new();
    let mut all = 0u64;
    let mut classes: Vec<String> = Vec::new();
    let mut rows = RequestRecords::new(true, |row: RequestRecord| {
        if wanted.fits(&row) {
            all += 1;
            if found.len() < wanted.most {
                found.push(row);
            }
        }
    });
    let totals = replay_capture(path, Extent::End, &mut rows)?;
    drop(rows);
    for row in &found {
        if row.class.0 != usize::MAX {
            if classes.len() <= row.class.0 {
                classes.resize(row.class.0 + 1, String::new());
            }
            classes[row.class.0].clone_from(&row.class.1);
        }
    }
    // Causes come of a replay: they are those of the node only as long as this build decides as it
    // did.
    let same = totals.first_divergence.is_none();
    if as_json {
        let stories: Vec<Value> = found.iter().map(|r| story(r, &classes)).collect();
        println!(
            "{}",
            json!({"found": all, "identical": same, "requests": stories})
        );
        return Ok(all > 0);
    }
    if !same {
        println!(
            "this build decides otherwise than the capture says; causes may not be the node's: see replay"
        );
    }
    found.iter().for_each(|row| print(row, &classes));
    if all > found.len() as u64 {
        println!(
            "{} more; --most N tells more of them",
            all - found.len() as u64
        );
    }
    if all == 0 {
        println!("no such request");
    }
    Ok(all > 0)
}
