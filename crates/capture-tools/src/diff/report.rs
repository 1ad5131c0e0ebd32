//! The output of `replay --diff`.
//!
//! The names of members and columns are part of the output format, and some differ from the names
//! in the code: `refused` is [`Decision::Rejected`], `joined` is [`Decision::Deduplicated`], `ran`
//! is [`Decision::Started`], and `fates` counts the requests by the decisions of both sides.

use super::comparison::{ClassComparison, Decision, Side};
use super::divergent_replay::DivergentReplay;
use crate::cursor::ReplayTotals;
use crate::replay::{print_summary, summary};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Prints the comparison as JSON. `started_by_both` is a number of requests;
/// `started_in_another_order` is the share of their pairs that the sides started in opposite
/// orders, from 0 to 1.
pub fn print_json(totals: &ReplayTotals, replay: &DivergentReplay) {
    let comparison = &replay.comparison;
    let classes: BTreeMap<String, Value> = comparison
        .classes
        .iter()
        .map(|(class, compared)| (class_name(replay, *class), class_json(compared)))
        .collect();
    let output = json!({
        "capture": summary(totals),
        "different_steps": replay.different_steps,
        "classes": classes,
        "started_by_both": comparison.started_by_both,
        "started_in_another_order": comparison.inversion_ratio(),
    });
    println!("{output}");
}

fn class_name(replay: &DivergentReplay, class: usize) -> String {
    replay.classes.get(class).cloned().unwrap_or_default()
}

/// The totals of a class. `fates` contains the number of requests for each pair of decisions.
fn class_json(class: &ClassComparison) -> Value {
    let decisions: Vec<Value> = class
        .decisions
        .iter()
        .map(|((recorded, replayed), requests)| {
            json!({
                "capture": recorded.label(),
                "this_build": replayed.label(),
                "requests": requests,
            })
        })
        .collect();
    json!({
        "requests": class.requests,
        "capture": side_json(class, Side::Recorded),
        "this_build": side_json(class, Side::Replayed),
        "fates": decisions,
    })
}

/// The totals of a class on one side. `held` counts the requests that were not decided in the step
/// of their arrival, including those still open at the end of the node's run. `held_p50_us` and
/// `held_p99_us` cover other requests: they are quantiles of the time from arrival to start over
/// all started requests, including those started on arrival.
fn side_json(class: &ClassComparison, side: Side) -> Value {
    let immediate = *class.immediate.get(side);
    let mut output = json!({
        "at_once": immediate,
        "held": class.requests - immediate,
        "held_p50_us": class.queue_time_quantile(side, 0.5),
        "held_p99_us": class.queue_time_quantile(side, 0.99),
    });
    for decision in Decision::ALL {
        output[decision.label()] = json!(class.count(side, decision));
    }
    output
}

/// Prints the comparison as text. The columns `held p50` and `p99 ms` are quantiles of the time
/// from arrival to start over all started requests, in milliseconds.
pub fn print_text(totals: &ReplayTotals, replay: &DivergentReplay) {
    match replay.different_steps {
        0 => println!("identical: all {} steps", totals.steps),
        steps => println!("different: {steps} steps"),
    }
    println!(
        "class            side        requests     ran refused  failed  joined    open at once  \
         held p50   p99 ms"
    );
    let comparison = &replay.comparison;
    for (class, compared) in &comparison.classes {
        print_class(&class_name(replay, *class), compared);
    }
    println!(
        "order: {} requests started by both, {:.2}% of their pairs in the opposite order",
        comparison.started_by_both,
        100.0 * comparison.inversion_ratio()
    );
    print_summary(totals);
}

fn print_class(name: &str, class: &ClassComparison) {
    for (side, label) in [(Side::Recorded, "capture"), (Side::Replayed, "this build")] {
        let milliseconds = |quantile| class.queue_time_quantile(side, quantile) as f64 / 1e3;
        println!(
            "{name:<16} {label:<11} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>8.1}",
            class.requests,
            class.count(side, Decision::Started),
            class.count(side, Decision::Rejected),
            class.count(side, Decision::Failed),
            class.count(side, Decision::Deduplicated),
            class.count(side, Decision::Open),
            class.immediate.get(side),
            milliseconds(0.5),
            milliseconds(0.99)
        );
    }
    for ((recorded, replayed), requests) in &class.decisions {
        if recorded != replayed {
            println!(
                "  {requests} {} in the capture, {} with this build",
                recorded.label(),
                replayed.label()
            );
        }
    }
}
