//! `stats`: outcomes and durations by class and second.

use crate::cursor::{replay_capture, Extent, ReplayTotals};
use crate::rendering;
use crate::replay::{print_summary, summary};
use crate::request_record::RequestRecord;
use crate::request_records::RequestRecords;
use crate::source::ToolError;
use hdrhistogram::Histogram;
use pipitlever_admission::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::Path;

/// Significant decimal digits of the durations of a class.
const CLASS_DIGITS: u8 = 3;
/// Significant decimal digits of the durations of a class in one second.
const SECOND_DIGITS: u8 = 2;
/// The number of most recent seconds with a histogram for each class. Requests end within their
/// deadlines; a histogram for each second of a day would take gigabytes.
const OPEN_SECONDS: usize = 120;

/// The number of requests by outcome, see [`RequestRecord::outcome`].
type OutcomeCounts = BTreeMap<&'static str, u64>;

fn histogram(digits: u8) -> Histogram<u64> {
    Histogram::new(digits).expect("a valid number of digits")
}

/// Records a duration in microseconds; a negative one counts as 0.
fn record(histogram: &mut Histogram<u64>, duration: Micros) {
    // A histogram without an upper bound accepts every value.
    let _ = histogram.record(u64::try_from(duration).unwrap_or(0));
}

fn count(outcomes: &OutcomeCounts, outcome: &str) -> u64 {
    outcomes.get(outcome).copied().unwrap_or(0)
}

/// A quantile of durations, in milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Counts and times of the requests of a class.
struct ClassStats {
    outcomes: OutcomeCounts,
    /// Rejected and failed requests by reason.
    reasons: BTreeMap<&'static str, u64>,
    retries: u64,
    runs: u64,
    /// Times from the arrival to the start, in microseconds.
    queue_times: Histogram<u64>,
    /// Times from the arrival to the answer, in microseconds.
    answer_times: Histogram<u64>,
}

impl ClassStats {
    fn new() -> ClassStats {
        ClassStats {
            outcomes: OutcomeCounts::new(),
            reasons: BTreeMap::new(),
            retries: 0,
            runs: 0,
            queue_times: histogram(CLASS_DIGITS),
            answer_times: histogram(CLASS_DIGITS),
        }
    }

    fn add(&mut self, request: &RequestRecord) {
        *self.outcomes.entry(request.outcome()).or_default() += 1;
        if matches!(request.outcome(), "refused" | "failed") {
            *self.reasons.entry(reason(request)).or_default() += 1;
        }
        self.retries += u64::from(request.is_retry);
        self.runs += u64::from(request.started.is_some());
        let Some(arrived) = request.arrived else {
            return;
        };
        if let Some(started) = request.started {
            record(&mut self.queue_times, started - arrived);
        }
        if let Some(answer) = request.answer {
            record(&mut self.answer_times, answer.at - arrived);
        }
    }

    fn to_json(&self) -> Value {
        json!({
            "outcomes": self.outcomes,
            "reasons": self.reasons,
            "retries": self.retries,
            "runs": self.runs,
            "held": times_json(&self.queue_times),
            "answered": times_json(&self.answer_times),
        })
    }

    fn print(&self, class: &str) {
        let count = |outcome| count(&self.outcomes, outcome);
        let requests: u64 = self.outcomes.values().sum();
        println!(
            "{class:<16} {requests:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>8.1} \
             {:>13.1} {:>8.1}",
            self.retries,
            self.runs,
            count("served"),
            count("refused"),
            count("failed"),
            count("gone"),
            count("open"),
            quantile_ms(&self.queue_times, 0.5),
            quantile_ms(&self.queue_times, 0.99),
            quantile_ms(&self.answer_times, 0.5),
            quantile_ms(&self.answer_times, 0.99)
        );
        for (reason, count) in &self.reasons {
            println!("  {reason}: {count}");
        }
    }
}

/// Why a request was rejected or failed: the cause of the admission controller's decision, or the
/// source of the answer.
fn reason(request: &RequestRecord) -> &'static str {
    let source = request
        .answer
        .map_or("", |answer| rendering::answer_source_label(answer.source));
    match &request.decision {
        Some(decision) if source == "module" => rendering::cause_label(&decision.cause),
        _ => source,
    }
}

fn times_json(histogram: &Histogram<u64>) -> Value {
    json!({
        "count": histogram.len(),
        "p50_us": histogram.value_at_quantile(0.5),
        "p90_us": histogram.value_at_quantile(0.9),
        "p99_us": histogram.value_at_quantile(0.99),
        "max_us": histogram.max(),
    })
}

/// Counts and times of the requests of a class that arrived in one second.
struct SecondStats {
    outcomes: OutcomeCounts,
    /// Times from the arrival to the answer, in microseconds, while the second is open.
    answer_times: Option<Histogram<u64>>,
    /// The 99th percentile of the times to the answer, once the second is closed.
    answer_p99: u64,
}

impl SecondStats {
    fn new() -> SecondStats {
        SecondStats {
            outcomes: OutcomeCounts::new(),
            answer_times: Some(histogram(SECOND_DIGITS)),
            answer_p99: 0,
        }
    }

    fn close(&mut self) {
        let histogram = self.answer_times.take();
        self.answer_p99 = histogram.map_or(0, |histogram| histogram.value_at_quantile(0.99));
    }
}

/// The statistics of one second by class name.
type ClassSeconds = BTreeMap<String, SecondStats>;

/// Statistics by second, in Unix time.
#[derive(Default)]
struct Seconds {
    /// The most recent seconds, which have histograms.
    open: BTreeMap<i64, ClassSeconds>,
    closed: BTreeMap<i64, ClassSeconds>,
}

impl Seconds {
    fn add(&mut self, class: &str, request: &RequestRecord) {
        let answered = request.answer.map(|answer| answer.at);
        let Some(at) = request.arrived.or(answered) else {
            return;
        };
        let second = at.div_euclid(1_000_000);
        let last_closed = self.closed.last_key_value();
        let seconds = if last_closed.is_some_and(|(last, _)| second <= *last) {
            &mut self.closed
        } else {
            &mut self.open
        };
        let classes = seconds.entry(second).or_default();
        let stats = classes.entry(class.into()).or_insert_with(SecondStats::new);
        *stats.outcomes.entry(request.outcome()).or_default() += 1;
        if let (Some(histogram), Some(answered)) = (&mut stats.answer_times, answered) {
            record(histogram, answered - at);
        }
        while self.open.len() > OPEN_SECONDS {
            self.close_first();
        }
    }

    fn close_first(&mut self) {
        let Some((second, mut classes)) = self.open.pop_first() else {
            return;
        };
        classes.values_mut().for_each(SecondStats::close);
        self.closed.insert(second, classes);
    }

    /// Closes all seconds and returns them.
    fn close(mut self) -> BTreeMap<i64, ClassSeconds> {
        while !self.open.is_empty() {
            self.close_first();
        }
        self.closed
    }
}

/// Prints the statistics of a capture.
///
/// # Errors
///
/// If the capture can't be read.
pub fn stats(path: &Path, as_json: bool) -> Result<(), ToolError> {
    let mut classes: BTreeMap<String, ClassStats> = BTreeMap::new();
    let mut seconds = Seconds::default();
    let mut requests = RequestRecords::new(false, |request: RequestRecord| {
        let class = match request.class.name.as_str() {
            "" => "?",
            class => class,
        };
        classes
            .entry(class.into())
            .or_insert_with(ClassStats::new)
            .add(&request);
        seconds.add(class, &request);
    });
    let totals = replay_capture(path, Extent::End, &mut requests)?;
    drop(requests);
    let seconds = seconds.close();
    if as_json {
        print_json(&totals, &classes, &seconds);
    } else {
        print_text(&totals, &classes, &seconds);
    }
    Ok(())
}

fn print_json(
    totals: &ReplayTotals,
    classes: &BTreeMap<String, ClassStats>,
    seconds: &BTreeMap<i64, ClassSeconds>,
) {
    let classes: BTreeMap<&String, Value> = classes
        .iter()
        .map(|(class, stats)| (class, stats.to_json()))
        .collect();
    let mut by_second = Vec::new();
    for (second, classes) in seconds {
        for (class, stats) in classes {
            by_second.push(json!({
                "unix_s": second,
                "class": class,
                "outcomes": stats.outcomes,
                "answered_p99_us": stats.answer_p99,
            }));
        }
    }
    let output = json!({"capture": summary(totals), "classes": classes, "seconds": by_second});
    println!("{output}");
}

fn print_text(
    totals: &ReplayTotals,
    classes: &BTreeMap<String, ClassStats>,
    seconds: &BTreeMap<i64, ClassSeconds>,
) {
    println!(
        "class            requests retries    runs  served refused  failed    gone    open  \
         held p50   p99 ms  answered p50   p99 ms"
    );
    for (class, stats) in classes {
        stats.print(class);
    }
    println!("\nunix second  class            requests  served refused  failed  answered p99 ms");
    for (second, classes) in seconds {
        for (class, stats) in classes {
            println!(
                "{second:>11}  {class:<16} {:>8} {:>7} {:>7} {:>7} {:>16.1}",
                stats.outcomes.values().sum::<u64>(),
                count(&stats.outcomes, "served"),
                count(&stats.outcomes, "refused"),
                count(&stats.outcomes, "failed"),
                stats.answer_p99 as f64 / 1e3
            );
        }
    }
    print_summary(totals);
}
