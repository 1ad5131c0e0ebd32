//! `explain`: the timelines of requests.

use crate::cursor::{replay_capture, Extent};
use crate::rendering;
use crate::request_record::{RequestRecord, TimelineEntry, TimelineEvent};
use crate::request_records::RequestRecords;
use crate::source::ToolError;
use serde_json::{json, Value};
use std::path::Path;

/// Selects requests: those that match all criteria that are set.
#[derive(Clone, Debug, Default)]
pub struct RequestFilter {
    /// The `ref` of the request.
    pub reference: Option<u64>,
    /// The digest of the idempotency key.
    pub key_digest: Option<u64>,
    /// The identifier of the gateway that sent the request.
    pub sender: Option<u64>,
    /// Selects rejected requests; together with `is_failed`, rejected and failed ones.
    pub is_rejected: bool,
    /// Selects failed requests.
    pub is_failed: bool,
    /// The maximum number of requests to print.
    pub limit: usize,
}

impl RequestFilter {
    fn matches(&self, request: &RequestRecord) -> bool {
        let matches = |wanted: Option<u64>, value| wanted.is_none() || wanted == value;
        matches(self.reference, request.reference)
            && matches(self.key_digest, request.key_digest)
            && matches(self.sender, request.sender)
            && self.matches_outcome(request.outcome())
    }

    fn matches_outcome(&self, outcome: &str) -> bool {
        let is_any = !self.is_rejected && !self.is_failed;
        is_any
            || (self.is_rejected && outcome == "refused")
            || (self.is_failed && outcome == "failed")
    }
}

fn hex(value: Option<u64>) -> Option<String> {
    value.map(|value| format!("{value:016x}"))
}

/// Why a request was rejected or failed, as text; `None` for others.
fn reason(request: &RequestRecord) -> Option<String> {
    let answer = request.answer?;
    if rendering::answer_label(&answer.answer) == "served" {
        return None;
    }
    match rendering::answer_source_label(answer.source) {
        "module" => last_cause(request),
        "run" => {
            let end = request.run_end.map_or(String::new(), |end| {
                format!(" {}", rendering::outcome(end.outcome))
            });
            Some(format!("its run ended{end}"))
        }
        _ => rendering::answer(&answer.answer, answer.source)
            .split_once("; ")
            .map(|(_, source)| source.to_owned()),
    }
}

/// The last cause in the timeline, as text.
fn last_cause(request: &RequestRecord) -> Option<String> {
    let mut entries = request.timeline.iter().rev();
    entries.find_map(|entry| match &entry.event {
        TimelineEvent::Cause(cause, status) => Some(rendering::cause(cause, status)),
        _ => None,
    })
}

fn render(event: &TimelineEvent, classes: &[String]) -> String {
    match event {
        TimelineEvent::Arrived(event, status) => format!(
            "{}\n        the node went by: {}",
            rendering::event(event, classes),
            rendering::controller_status(status)
        ),
        TimelineEvent::Event(event) => rendering::event(event, classes),
        TimelineEvent::Action(action) => format!("decided: {}", rendering::action(action)),
        TimelineEvent::Cause(cause, status) => format!(
            "because {}\n        the node went by: {}",
            rendering::cause(cause, status),
            rendering::controller_status(status)
        ),
        TimelineEvent::Answer(answer, source) => {
            format!("answer: {}", rendering::answer(answer, *source))
        }
        TimelineEvent::InMemory => {
            "in memory when this part of the capture begins; what was before is not there".into()
        }
    }
}

fn entry_json(entry: &TimelineEntry, classes: &[String]) -> Value {
    let text = render(&entry.event, classes);
    let mut output = json!({"clock_us": entry.now, "step": entry.step, "text": text});
    match &entry.event {
        TimelineEvent::Arrived(event, status) => {
            output["event"] = json!(event);
            output["view"] = json!(status);
        }
        TimelineEvent::Event(event) => output["event"] = json!(event),
        TimelineEvent::Action(action) => output["action"] = json!(action),
        TimelineEvent::Cause(cause, status) => {
            output["cause"] = json!(cause);
            output["view"] = json!(status);
        }
        TimelineEvent::Answer(answer, source) => {
            output["answer"] = json!(answer);
            output["by"] = json!(source);
        }
        TimelineEvent::InMemory => {}
    }
    output
}

fn request_json(request: &RequestRecord, classes: &[String]) -> Value {
    let timeline: Vec<Value> = request
        .timeline
        .iter()
        .map(|entry| entry_json(entry, classes))
        .collect();
    json!({
        "node": request.node,
        "run": request.run,
        "id": request.id,
        "ref": hex(request.reference),
        "sender": request.sender,
        "key_digest": hex(request.key_digest),
        "class": request.class.name,
        "outcome": request.outcome(),
        "reason": reason(request),
        "story": timeline,
    })
}

fn print_request(request: &RequestRecord, classes: &[String]) {
    let field = |name: &str, value: Option<String>| {
        value.map_or(String::new(), |value| format!(" {name}={value}"))
    };
    let class = match request.class.name.as_str() {
        "" => "request",
        class => class,
    };
    println!(
        "{class} on {}{}{}{}: {}{}",
        request.node,
        field("ref", hex(request.reference)),
        field("sender", request.sender.map(|sender| sender.to_string())),
        field("key-digest", hex(request.key_digest)),
        request.outcome(),
        reason(request).map_or(String::new(), |reason| format!(": {reason}")),
    );
    let start = request.timeline.first().map_or(0, |entry| entry.now);
    for entry in &request.timeline {
        println!(
            "  {} {:+10.1} ms  step {}: {}",
            rendering::clock(entry.now),
            (entry.now - start) as f64 / 1e3,
            entry.step,
            render(&entry.event, classes)
        );
    }
}

/// The names of the classes of these requests, by index.
fn class_names(requests: &[RequestRecord]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for request in requests {
        let Some(index) = request.class.index else {
            continue;
        };
        if names.len() <= index {
            names.resize(index + 1, String::new());
        }
        names[index].clone_from(&request.class.name);
    }
    names
}

/// Prints the timelines of the requests that match the filter. Returns whether there are any.
///
/// # Errors
///
/// If the capture can't be read.
pub fn explain(path: &Path, filter: &RequestFilter, as_json: bool) -> Result<bool, ToolError> {
    let mut requests = Vec::new();
    let mut found = 0u64;
    let mut records = RequestRecords::new(true, |request: RequestRecord| {
        if filter.matches(&request) {
            found += 1;
            if requests.len() < filter.limit {
                requests.push(request);
            }
        }
    });
    let totals = replay_capture(path, Extent::End, &mut records)?;
    drop(records);
    let classes = class_names(&requests);
    // The causes come from the replay and are the node's only if this build decides as recorded.
    let is_identical = totals.first_divergence.is_none();
    if as_json {
        let requests: Vec<Value> = requests
            .iter()
            .map(|request| request_json(request, &classes))
            .collect();
        let output = json!({"found": found, "identical": is_identical, "requests": requests});
        println!("{output}");
        return Ok(found > 0);
    }
    if !is_identical {
        println!(
            "this build decides otherwise than recorded: causes may differ from the node's; \
             see 'pipitlever-capture replay'"
        );
    }
    for request in &requests {
        print_request(request, &classes);
    }
    let omitted = found - requests.len() as u64;
    if omitted > 0 {
        println!("{omitted} more requests match; --most N sets how many are printed");
    }
    if found == 0 {
        println!("no such request");
    }
    Ok(found > 0)
}
