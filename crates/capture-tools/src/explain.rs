//! `explain`: the story of a request.

use crate::rows::{Moment, Row, Rows};
use crate::source::Trouble;
use crate::walk::{walk, Until};
use crate::words;
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
    fn fits(&self, row: &Row) -> bool {
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
fn reason(row: &Row) -> Option<String> {
    let (_, told, by) = row.answered?;
    if words::told_word(&told) == "served" {
        return None;
    }
    let view = row
        .story
        .iter()
        .rev()
        .find_map(|(_, _, moment)| match moment {
            Moment::Caused(cause, view) => Some(words::cause(cause, view)),
            _ => None,
        });
    let ended = row
        .ended
        .map(|(_, _, how)| format!("its run ended {}", words::outcome(how)));
    match words::by_word(by) {
        "module" => view,
        "run" => ended.or(Some("its run ended".into())),
        _ => words::answer(&told, by)
            .split_once("; ")
            .map(|(_, who)| who.to_owned()),
    }
}

fn line(moment: &Moment, classes: &[String]) -> String {
    match moment {
        Moment::Came(event, view) => {
            format!(
                "{}\n        the node went by: {}",
                words::event(event, classes),
                words::view(view)
            )
        }
        Moment::Told(event) => words::event(event, classes),
        Moment::Said(action) => format!("decided: {}", words::action(action)),
        Moment::Caused(cause, view) => {
            format!(
                "because {}\n        the node went by: {}",
                words::cause(cause, view),
                words::view(view)
            )
        }
        Moment::Answered(told, by) => format!("answer: {}", words::answer(told, *by)),
        Moment::Found => {
            "in memory when this part of the capture begins; what was before is not there".into()
        }
    }
}

fn story(row: &Row, classes: &[String]) -> Value {
    let moments: Vec<Value> = row
        .story
        .iter()
        .map(|(now, step, moment)| {
            let mut all = json!({"clock_us": now, "step": step, "text": line(moment, classes)});
            match moment {
                Moment::Came(event, view) => {
                    (all["event"], all["view"]) = (json!(event), json!(view))
                }
                Moment::Told(event) => all["event"] = json!(event),
                Moment::Said(action) => all["action"] = json!(action),
                Moment::Caused(cause, view) => {
                    (all["cause"], all["view"]) = (json!(cause), json!(view))
                }
                Moment::Answered(told, by) => (all["answer"], all["by"]) = (json!(told), json!(by)),
                Moment::Found => {}
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

fn print(row: &Row, classes: &[String]) {
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
    let start = row.story.first().map_or(0, |s| s.0);
    for (now, step, moment) in &row.story {
        let text = line(moment, classes);
        println!(
            "  {} {:+10.1} ms  step {step}: {text}",
            words::clock(*now),
            (now - start) as f64 / 1e3
        );
    }
}

/// Tells the stories of the requests that are asked about. Whether there was any.
pub fn explain(path: &Path, wanted: &Wanted, as_json: bool) -> Result<bool, Trouble> {
    let mut found = Vec::new();
    let mut all = 0u64;
    let mut classes: Vec<String> = Vec::new();
    let mut rows = Rows::new(true, |row: Row| {
        if wanted.fits(&row) {
            all += 1;
            if found.len() < wanted.most {
                found.push(row);
            }
        }
    });
    let walk = walk(path, Until::End, &mut rows)?;
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
    let same = walk.first.is_none();
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
