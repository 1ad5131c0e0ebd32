//! `review-stand-ins CASE FOLDER`: plays one case and writes `record.txt` into the folder.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` the case plays without its disruption.

mod early_drain;
mod gateway;
mod node;
mod platform;
mod reply;
mod util;
mod worker_loss;

use std::process::ExitCode;
use std::sync::Arc;
use util::Record;

/// The longest time that a case may take, in milliseconds.
const LIMIT_MS: u64 = 115_000;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|argument| argument == "worker") {
        return worker_loss::serve(&arguments[2..]);
    }
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        util::sleep_ms(LIMIT_MS);
        eprintln!("the case took too long");
        util::kill_children();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&format!("{folder}/record.txt")));
    let trouble = if has_trouble { "on" } else { "off" };
    record.say(&format!("case {case}, disruption {trouble}"));
    let verdict = match case.as_str() {
        "early-drain" => early_drain::play(&record, has_trouble),
        "reply" => reply::play(&record, has_trouble),
        "worker-loss" => worker_loss::play(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
