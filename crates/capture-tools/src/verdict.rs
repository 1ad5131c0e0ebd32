//! `replay`: does this build decide as the capture says?

use crate::source::Trouble;
use crate::walk::{walk, Otherwise, Seen, Until, Visitor, Walk};
use crate::words;
use pipitlever_admission::Controller;
use pipitlever_capture::record::{Opening, Record};
use pipitlever_capture::replay::{ActionMismatch, Difference};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::path::Path;

/// Steps before a difference that are told.
const BEFORE: usize = 8;

/// Remembers the last steps, and the names of the classes.
#[derive(Default)]
pub struct Latest {
    steps: VecDeque<String>,
    pub classes: Vec<String>,
    recent: VecDeque<(u64, i64, Record)>,
}

impl Visitor for Latest {
    fn segment(&mut self, opening: &Opening, _: &Controller, _: bool) {
        self.classes.clone_from(&opening.classes);
    }

    fn record(&mut self, seen: &Seen) {
        if matches!(seen.record, Record::Step { .. }) {
            if self.recent.len() > BEFORE {
                self.recent.pop_front();
            }
            self.recent
                .push_back((seen.replay.steps(), seen.replay.now(), seen.record.clone()));
        }
    }

    fn run_ended(&mut self) {
        self.steps = self
            .recent
            .drain(..)
            .map(|r| step(&r, &self.classes))
            .collect();
    }
}

impl Latest {
    /// The steps before the last one, in words.
    pub fn before(&self) -> Vec<String> {
        self.steps
            .iter()
            .take(self.steps.len().saturating_sub(1))
            .cloned()
            .collect()
    }
}

fn step((number, now, record): &(u64, i64, Record), classes: &[String]) -> String {
    let Record::Step {
        events, actions, ..
    } = record
    else {
        return String::new();
    };
    let told: Vec<String> = events.iter().map(|e| words::event(e, classes)).collect();
    let said: Vec<String> = actions.iter().map(words::action).collect();
    format!(
        "step {number} at {}: {} -> {}",
        words::clock(*now),
        told.join("; "),
        said.join("; ")
    )
}

/// What was played, in JSON.
pub fn summary(walk: &Walk) -> Value {
    let seconds = walk.took.as_secs_f64();
    json!({
        "runs": walk.runs, "segments": walk.segments, "steps": walk.steps, "requests": walk.requests,
        "bytes": walk.bytes, "seconds": seconds, "steps_per_second": walk.steps as f64 / seconds.max(1e-9),
        "cut": walk.cuts, "gaps": walk.gaps, "different_steps": walk.different,
    })
}

/// What was played and what is missing, in words.
pub fn print_summary(walk: &Walk) {
    let seconds = walk.took.as_secs_f64();
    println!(
        "{} runs, {} segments, {} steps, {} requests, {} bytes in {seconds:.2} s ({:.0} steps a second)",
        walk.runs,
        walk.segments,
        walk.steps,
        walk.requests,
        walk.bytes,
        walk.steps as f64 / seconds.max(1e-9)
    );
    for cut in &walk.cuts {
        println!("cut: {} at offset {}", cut.file.display(), cut.offset);
    }
    for gap in &walk.gaps {
        match &gap.lost {
            Some(lost) => {
                let why = lost
                    .disk_error
                    .as_deref()
                    .unwrap_or("the queue to the writer was full");
                let where_to = if gap.behind { "behind" } else { "before" };
                println!(
                    "gap: {} records {where_to} {}: {why}",
                    lost.records,
                    gap.file.display()
                );
            }
            None => println!("gap: what was before {} is not there", gap.file.display()),
        }
    }
}

/// A difference, in JSON.
fn difference(file: &Path, how: &Otherwise, latest: &Latest) -> Value {
    let Otherwise::Step(d) = how else {
        let Otherwise::State { steps } = how else {
            return Value::Null;
        };
        return json!({"file": file, "step": steps, "what": "state"});
    };
    let Difference {
        step,
        now,
        events,
        status_before,
        recorded,
        replayed,
        causes,
    } = &**d;
    let ActionMismatch {
        recorded: first_recorded,
        replayed: first_replayed,
    } = d.first_mismatch();
    json!({
        "file": file, "step": step, "clock_us": now, "what": "actions", "events": events, "before": status_before,
        "recorded": recorded, "replayed": replayed, "first_recorded": first_recorded,
        "first_replayed": first_replayed, "causes": causes, "led_up": latest.before(),
    })
}

fn print_difference(file: &Path, how: &Otherwise, latest: &Latest) {
    let d = match how {
        Otherwise::Step(d) => d,
        Otherwise::State { steps } => {
            println!(
                "different: the state after step {steps}, where {} begins, is another one",
                file.display()
            );
            return;
        }
    };
    println!(
        "different: step {} at {} in {}",
        d.step,
        words::clock(d.now),
        file.display()
    );
    d.events
        .iter()
        .for_each(|e| println!("  told:          {}", words::event(e, &latest.classes)));
    let ActionMismatch { recorded, replayed } = d.first_mismatch();
    let said = |a: Option<&_>| a.map_or("nothing more".to_owned(), words::action);
    println!("  capture says:  {}", said(recorded));
    println!("  this build:    {}", said(replayed));
    d.causes.iter().for_each(|(id, why)| {
        println!(
            "  its reason:    #{id}: {}",
            words::cause(why, &d.status_before)
        )
    });
    println!("  it went by:    {}", words::view(&d.status_before));
    latest
        .before()
        .iter()
        .for_each(|s| println!("  before that:   {s}"));
}

/// Plays a capture to the first difference. Whether there is none.
pub fn replay(path: &Path, as_json: bool) -> Result<bool, Trouble> {
    let mut latest = Latest::default();
    let walk = walk(path, Until::Difference, &mut latest)?;
    let verdict = if walk.first.is_none() {
        "identical"
    } else {
        "different"
    };
    if as_json {
        let mut all = summary(&walk);
        all["verdict"] = json!(verdict);
        all["difference"] = walk
            .first
            .as_ref()
            .map_or(Value::Null, |(f, h)| difference(f, h, &latest));
        println!("{all}");
        return Ok(walk.first.is_none());
    }
    match &walk.first {
        None => println!("identical: all {} steps", walk.steps),
        Some((file, how)) => print_difference(file, how, &latest),
    }
    print_summary(&walk);
    Ok(walk.first.is_none())
}
