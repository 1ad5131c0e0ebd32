//! `replay`: checks whether this build decides as recorded.

use crate::cursor::{
    replay_capture, Divergence, Extent, Gap, LocatedDivergence, ReplayTotals, ReplayedRecord,
    Visitor,
};
use crate::rendering;
use crate::source::ToolError;
use pipitlever_admission::{Action, Controller, Event, Micros};
use pipitlever_capture::record::{Record, SegmentHeader};
use pipitlever_capture::replay::{ActionMismatch, Difference};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::path::Path;

/// The number of steps before a difference that are printed with the difference.
const CONTEXT_STEPS: usize = 8;
/// The shortest duration in seconds for the computation of rates. Prevents divisions by zero.
const MIN_SECONDS: f64 = 1e-9;

/// A step that was replayed.
struct RecentStep {
    number: u64,
    now: Micros,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl RecentStep {
    fn render(&self, classes: &[String]) -> String {
        let events: Vec<String> = self
            .events
            .iter()
            .map(|event| rendering::event(event, classes))
            .collect();
        let actions: Vec<String> = self.actions.iter().map(rendering::action).collect();
        format!(
            "step {} at {}: {} -> {}",
            self.number,
            rendering::clock(self.now),
            events.join("; "),
            actions.join("; ")
        )
    }
}

/// The last steps of a replay.
#[derive(Default)]
struct RecentSteps {
    /// The names of the classes, by index.
    classes: Vec<String>,
    /// The last [`CONTEXT_STEPS`] steps and one more, as the last step may be the difference.
    steps: VecDeque<RecentStep>,
    /// The last steps of the node's run that was replayed last, as text.
    rendered: Vec<String>,
}

impl Visitor for RecentSteps {
    fn segment(&mut self, header: &SegmentHeader, _: &Controller, _: bool) {
        self.classes.clone_from(&header.classes);
    }

    fn record(&mut self, replayed: &ReplayedRecord) {
        let Record::Step {
            events, actions, ..
        } = replayed.record
        else {
            return;
        };
        if self.steps.len() > CONTEXT_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(RecentStep {
            number: replayed.replay.steps(),
            now: replayed.replay.now(),
            events: events.to_vec(),
            actions: actions.to_vec(),
        });
    }

    fn run_ended(&mut self) {
        let steps = self.steps.drain(..);
        self.rendered = steps.map(|step| step.render(&self.classes)).collect();
    }
}

impl RecentSteps {
    /// The steps before the last one, as text.
    fn before_last(&self) -> &[String] {
        self.rendered.split_last().map_or(&[], |(_, before)| before)
    }
}

/// The totals of a replay as JSON.
pub fn summary(totals: &ReplayTotals) -> Value {
    let seconds = totals.elapsed.as_secs_f64();
    json!({
        "runs": totals.runs,
        "segments": totals.segments,
        "steps": totals.steps,
        "requests": totals.requests,
        "bytes": totals.bytes,
        "seconds": seconds,
        "steps_per_second": totals.steps as f64 / seconds.max(MIN_SECONDS),
        "cut": totals.truncations,
        "gaps": totals.gaps,
        "different_steps": totals.divergences,
    })
}

/// Prints the totals of a replay as text.
pub fn print_summary(totals: &ReplayTotals) {
    let seconds = totals.elapsed.as_secs_f64();
    println!(
        "{} runs, {} segments, {} steps, {} requests, {} bytes in {seconds:.2} s \
         ({:.0} steps per second)",
        totals.runs,
        totals.segments,
        totals.steps,
        totals.requests,
        totals.bytes,
        totals.steps as f64 / seconds.max(MIN_SECONDS)
    );
    for truncation in &totals.truncations {
        println!(
            "cut: {} at offset {}",
            truncation.file.display(),
            truncation.offset
        );
    }
    totals.gaps.iter().for_each(print_gap);
}

fn print_gap(gap: &Gap) {
    let file = gap.file.display();
    let Some(lost) = &gap.lost else {
        println!("gap: records before {file} are missing");
        return;
    };
    let position = if gap.is_after { "after" } else { "before" };
    let cause = lost.disk_error.as_deref();
    let cause = cause.unwrap_or("the queue to the writer was full");
    println!(
        "gap: {} records lost {position} {file}: {cause}",
        lost.records
    );
}

fn divergence_json(located: &LocatedDivergence, recent: &RecentSteps) -> Value {
    let file = &located.file;
    match &located.divergence {
        Divergence::State { steps } => json!({"file": file, "step": steps, "what": "state"}),
        Divergence::Step(difference) => {
            let mismatch = difference.first_mismatch();
            json!({
                "file": file,
                "step": difference.step,
                "clock_us": difference.now,
                "what": "actions",
                "events": difference.events,
                "before": difference.status_before,
                "recorded": difference.recorded,
                "replayed": difference.replayed,
                "first_recorded": mismatch.recorded,
                "first_replayed": mismatch.replayed,
                "causes": difference.causes,
                "led_up": recent.before_last(),
            })
        }
    }
}

fn print_divergence(located: &LocatedDivergence, recent: &RecentSteps) {
    let file = located.file.display();
    match &located.divergence {
        Divergence::State { steps } => {
            println!("different: state after step {steps}, at the start of {file}");
        }
        Divergence::Step(difference) => {
            println!(
                "different: step {} at {} in {file}",
                difference.step,
                rendering::clock(difference.now)
            );
            print_difference(difference, recent);
        }
    }
}

fn print_difference(difference: &Difference, recent: &RecentSteps) {
    for event in &difference.events {
        let event = rendering::event(event, &recent.classes);
        println!("  event:         {event}");
    }
    let render =
        |action: Option<&Action>| action.map_or("no further action".to_owned(), rendering::action);
    let ActionMismatch { recorded, replayed } = difference.first_mismatch();
    println!("  recorded:      {}", render(recorded));
    println!("  this build:    {}", render(replayed));
    let status = &difference.status_before;
    for (id, cause) in &difference.causes {
        let cause = rendering::cause(cause, status);
        println!("  cause:         #{id}: {cause}");
    }
    println!("  status before: {}", rendering::controller_status(status));
    for step in recent.before_last() {
        println!("  earlier:       {step}");
    }
}

/// Replays a capture to the first difference and prints the result. Returns whether all decisions
/// are identical.
///
/// # Errors
///
/// If the capture can't be read.
pub fn replay(path: &Path, as_json: bool) -> Result<bool, ToolError> {
    let mut recent = RecentSteps::default();
    let totals = replay_capture(path, Extent::FirstDifference, &mut recent)?;
    let divergence = totals.first_divergence.as_ref();
    if as_json {
        let mut output = summary(&totals);
        output["verdict"] = json!(divergence.map_or("identical", |_| "different"));
        output["difference"] =
            divergence.map_or(Value::Null, |located| divergence_json(located, &recent));
        println!("{output}");
    } else {
        match divergence {
            None => println!("identical: all {} steps", totals.steps),
            Some(located) => print_divergence(located, &recent),
        }
        print_summary(&totals);
    }
    Ok(divergence.is_none())
}
