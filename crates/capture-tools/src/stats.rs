//! `stats`: outcomes and times by class and second.

use crate::cursor::{replay_capture, Extent};
use crate::rendering;
use crate::replay::summary;
use crate::request_records::{RequestRecord, RequestRecords};
use crate::source::ToolError;
use hdrhistogram::Histogram;
use pipitlever_admission::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::Path;

/// Counts and times of some requests.
struct Figures {
    outcomes: BTreeMap<&'static str, u64>,
    reasons: BTreeMap<&'static str, u64>,
    retries: u64,
    runs: u64,
    /// From the arrival to the start, and to the answer, in microseconds.
    held: Histogram<u64>,
    answered: Histogram<u64>,
}

impl Figures {
    fn new() -> Figures {
        let histogram = || Histogram::new(3).expect("three figures are allowed");
        Figures {
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            retries: 0,
            runs: 0,
            held: histogram(),
            answered: histogram(),
        }
    }

    fn take(&mut self, row: &RequestRecord) {
        *self.outcomes.entry(row.outcome()).or_default() += 1;
        if matches!(row.outcome(), "refused" | "failed") {
            let by = row
                .answered
                .map_or("", |a| rendering::answer_source_label(a.2));
            let reason = match &row.decided {
                Some((_, cause)) if by == "module" => rendering::cause_label(cause),
                _ => by,
            };
            *self.reasons.entry(reason).or_default() += 1;
        }
        self.retries += u64::from(row.retry);
        self.runs += u64::from(row.started.is_some());
        let Some(arrived) = row.arrived else { return };
        let after = |at: Micros| u64::try_from(at - arrived).unwrap_or(0);
        // A histogram that grows by itself takes every value.
        if let Some(started) = row.started {
            let _ = self.held.record(after(started));
        }
        if let Some((at, ..)) = row.answered {
            let _ = self.answered.record(after(at));
        }
    }

    fn json(&self) -> Value {
        let times = |h: &Histogram<u64>| {
            let at = |q: f64| h.value_at_quantile(q);
            json!({"count": h.len(), "p50_us": at(0.5), "p90_us": at(0.9), "p99_us": at(0.99), "max_us": h.max()})
        };
        json!({"outcomes": self.outcomes, "reasons": self.reasons, "retries": self.retries, "runs": self.runs,
            "held": times(&self.held), "answered": times(&self.answered)})
    }
}

/// Figures of one class in one second.
struct Second {
    outcomes: BTreeMap<&'static str, u64>,
    /// Times to the answer, in two figures; given back once the second has passed for good.
    open: Option<Histogram<u64>>,
    p99: u64,
}

/// Seconds that may still change. Requests end within their deadlines; a day has many seconds, and
/// a histogram for each would take gigabytes.
const OPEN_SECONDS: usize = 120;

#[derive(Default)]
struct Seconds {
    open: BTreeMap<i64, BTreeMap<String, Second>>,
    passed: BTreeMap<i64, BTreeMap<String, Second>>,
}

impl Seconds {
    fn take(&mut self, class: &str, row: &RequestRecord) {
        let Some(at) = row.arrived.or(row.answered.map(|a| a.0)) else {
            return;
        };
        let second = at.div_euclid(1_000_000);
        let late = self
            .passed
            .last_key_value()
            .is_some_and(|(last, _)| second <= *last);
        let by = if late {
            &mut self.passed
        } else {
            &mut self.open
        }
        .entry(second)
        .or_default();
        let new = || Second {
            outcomes: BTreeMap::new(),
            open: Histogram::new(2).ok(),
            p99: 0,
        };
        let figures = by.entry(class.into()).or_insert_with(new);
        *figures.outcomes.entry(row.outcome()).or_default() += 1;
        if let (Some(h), Some((answered, ..))) = (&mut figures.open, row.answered) {
            let _ = h.record(u64::try_from(answered - at).unwrap_or(0));
        }
        while self.open.len() > OPEN_SECONDS {
            self.pass();
        }
    }

    fn pass(&mut self) {
        let Some((second, mut by)) = self.open.pop_first() else {
            return;
        };
        for figures in by.values_mut() {
            figures.p99 = figures.open.take().map_or(0, |h| h.value_at_quantile(0.99));
        }
        self.passed.insert(second, by);
    }
}

/// Prints the figures of a capture.
pub fn stats(path: &Path, as_json: bool) -> Result<(), ToolError> {
    let mut classes: BTreeMap<String, Figures> = BTreeMap::new();
    let mut seconds = Seconds::default();
    let mut rows = RequestRecords::new(false, |row: RequestRecord| {
        let name = if row.class.1.is_empty() {
            "?"
        } else {
            &row.class.1
        };
        classes
            .entry(name.into())
            .or_insert_with(Figures::new)
            .take(&row);
        seconds.take(name, &row);
    });
    let totals = replay_capture(path, Extent::End, &mut rows)?;
    drop(rows);
    while !seconds.open.is_empty() {
        seconds.pass();
    }
    let seconds = seconds.passed;
    if as_json {
        let all: BTreeMap<_, _> = classes.iter().map(|(name, f)| (name, f.json())).collect();
        let each: Vec<Value> = seconds
            .iter()
            .flat_map(|(second, by)| {
                by.iter().map(move |(class, f)| {
                    json!({"unix_s": second, "class": class, "outcomes": f.outcomes, "answered_p99_us": f.p99})
                })
            })
            .collect();
        println!(
            "{}",
            json!({"capture": summary(&totals), "classes": all, "seconds": each})
        );
        return Ok(());
    }
    println!("class            requests retries    runs  served refused  failed    gone    open  held p50   p99 ms  answered p50   p99 ms");
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    for (name, f) in &classes {
        let count = |word: &str| f.outcomes.get(word).copied().unwrap_or(0);
        let all: u64 = f.outcomes.values().sum();
        println!(
            "{name:<16} {all:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>8.1} {:>13.1} {:>8.1}",
            f.retries,
            f.runs,
            count("served"),
            count("refused"),
            count("failed"),
            count("gone"),
            count("open"),
            ms(&f.held, 0.5),
            ms(&f.held, 0.99),
            ms(&f.answered, 0.5),
            ms(&f.answered, 0.99)
        );
        for (reason, count) in &f.reasons {
            println!("  {reason}: {count}");
        }
    }
    println!("\nunix second  class            requests  served refused  failed  answered p99 ms");
    for (second, by) in &seconds {
        for (class, f) in by {
            let count = |word: &str| f.outcomes.get(word).copied().unwrap_or(0);
            println!(
                "{second:>11}  {class:<16} {:>8} {:>7} {:>7} {:>7} {:>16.1}",
                f.outcomes.values().sum::<u64>(),
                count("served"),
                count("refused"),
                count("failed"),
                f.p99 as f64 / 1e3
            );
        }
    }
    crate::replay::print_summary(&totals);
    Ok(())
}
