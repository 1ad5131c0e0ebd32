//! The decisions of the recorded controller and of this build's, request by request.

use hdrhistogram::Histogram;
use pipitlever_admission::{Action, Micros, RequestId};
use std::collections::BTreeMap;
use std::mem::take;

/// Significant decimal digits of histograms of durations.
const HISTOGRAM_DIGITS: u8 = 3;

/// One of the two controllers that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The controller that the capture was recorded from.
    Recorded,
    /// This build's controller.
    Replayed,
}

impl Side {
    /// Both sides, in the order in which they are printed.
    pub const BOTH: [Side; 2] = [Side::Recorded, Side::Replayed];
}

/// A value for each side.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerSide<T> {
    pub recorded: T,
    pub replayed: T,
}

impl<T> PerSide<T> {
    /// The value of a side.
    pub fn get(&self, side: Side) -> &T {
        match side {
            Side::Recorded => &self.recorded,
            Side::Replayed => &self.replayed,
        }
    }

    /// The value of a side.
    pub fn get_mut(&mut self, side: Side) -> &mut T {
        match side {
            Side::Recorded => &mut self.recorded,
            Side::Replayed => &mut self.replayed,
        }
    }
}

/// The decision of a controller on a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decision {
    /// Not decided before the end of the node's run.
    #[default]
    Open,
    /// Started; the request may have failed later.
    Started,
    /// Rejected.
    Rejected,
    /// Failed before it started.
    Failed,
    /// Answered with the outcome of the original request.
    Deduplicated,
}

impl Decision {
    /// All decisions.
    pub const ALL: [Decision; 5] = [
        Decision::Open,
        Decision::Started,
        Decision::Rejected,
        Decision::Failed,
        Decision::Deduplicated,
    ];

    /// The label of the decision in outputs.
    pub fn label(self) -> &'static str {
        match self {
            Decision::Open => "open",
            Decision::Started => "ran",
            Decision::Rejected => "refused",
            Decision::Failed => "failed",
            Decision::Deduplicated => "joined",
        }
    }
}

/// The start of a request on one side.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub at: Micros,
    /// The position among all starts of the side, from 1.
    pub order: u64,
}

/// One side's decisions on a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDecisions {
    decision: Decision,
    /// Whether the decision was made in the step of the arrival.
    is_immediate: bool,
    pub start: Option<Start>,
}

impl RequestDecisions {
    fn apply(&mut self, action: &Action, now: Micros, arrived: Micros, starts: &mut u64) {
        let decision = match action {
            Action::Run(_) => {
                *starts += 1;
                let order = *starts;
                self.start = Some(Start { at: now, order });
                Decision::Started
            }
            Action::Reject { .. } => Decision::Rejected,
            Action::Fail(_) => Decision::Failed,
            Action::ReuseOutcome(_) => Decision::Deduplicated,
            _ => return,
        };
        // The first decision counts: a started request may be failed later.
        if self.decision == Decision::Open {
            self.decision = decision;
            self.is_immediate = now == arrived;
        }
    }
}

/// The decisions of both sides on a request.
#[derive(Clone, Copy, Debug)]
pub struct ComparedRequest {
    pub class: usize,
    pub arrived: Micros,
    pub decisions: PerSide<RequestDecisions>,
}

/// The decisions of both sides on the requests of a class.
#[derive(Default)]
pub struct ClassComparison {
    pub requests: u64,
    /// The number of requests by the decisions on the recorded and on the replayed side.
    pub decisions: BTreeMap<(Decision, Decision), u64>,
    /// The number of requests decided in the step of their arrival.
    pub immediate: PerSide<u64>,
    /// Times from the arrival to the start, in microseconds.
    queue_times: PerSide<Option<Histogram<u64>>>,
}

impl ClassComparison {
    /// The number of requests with this decision on a side.
    pub fn count(&self, side: Side, decision: Decision) -> u64 {
        self.decisions
            .iter()
            .filter(|(&(recorded, replayed), _)| match side {
                Side::Recorded => recorded == decision,
                Side::Replayed => replayed == decision,
            })
            .map(|(_, requests)| requests)
            .sum()
    }

    /// A quantile of the times from the arrival to the start, in microseconds; 0 without starts.
    pub fn queue_time_quantile(&self, side: Side, quantile: f64) -> u64 {
        let histogram = self.queue_times.get(side).as_ref();
        histogram.map_or(0, |histogram| histogram.value_at_quantile(quantile))
    }

    fn add(&mut self, request: &ComparedRequest) {
        self.requests += 1;
        let PerSide { recorded, replayed } = request.decisions;
        *self
            .decisions
            .entry((recorded.decision, replayed.decision))
            .or_default() += 1;
        for side in Side::BOTH {
            let decisions = request.decisions.get(side);
            *self.immediate.get_mut(side) += u64::from(decisions.is_immediate);
            if let Some(start) = decisions.start {
                let histogram = self.queue_times.get_mut(side).get_or_insert_with(|| {
                    Histogram::new(HISTOGRAM_DIGITS).expect("a valid number of digits")
                });
                let queue_time = u64::try_from(start.at - request.arrived).unwrap_or(0);
                // A histogram without an upper bound accepts every value.
                let _ = histogram.record(queue_time);
            }
        }
    }
}

/// The comparison of both sides over a whole capture.
#[derive(Default)]
pub struct Comparison {
    /// The requests of the node's current run.
    requests: BTreeMap<RequestId, ComparedRequest>,
    /// The number of starts so far.
    starts: PerSide<u64>,
    /// The totals by class index.
    pub classes: BTreeMap<usize, ClassComparison>,
    /// The number of pairs of requests that the sides started in opposite orders.
    inversions: u64,
    /// The number of requests that both sides started.
    pub started_by_both: u64,
}

impl Comparison {
    /// Adds a request that arrives.
    pub fn arrive(&mut self, id: RequestId, class: usize, now: Micros) {
        let request = ComparedRequest {
            class,
            arrived: now,
            decisions: PerSide::default(),
        };
        self.requests.insert(id, request);
    }

    /// A request of the node's current run.
    pub fn request(&self, id: RequestId) -> Option<&ComparedRequest> {
        self.requests.get(&id)
    }

    /// Adds an action of a side.
    pub fn apply(&mut self, side: Side, action: &Action, now: Micros) {
        let request = action.request().and_then(|id| self.requests.get_mut(&id));
        let Some(request) = request else { return };
        let decisions = request.decisions.get_mut(side);
        decisions.apply(action, now, request.arrived, self.starts.get_mut(side));
    }

    /// Adds the requests of the node's run to the totals, at the end of that run.
    pub fn finish_run(&mut self) {
        let mut orders = Vec::new();
        for request in take(&mut self.requests).into_values() {
            self.classes.entry(request.class).or_default().add(&request);
            let PerSide { recorded, replayed } = request.decisions;
            if let (Some(recorded), Some(replayed)) = (recorded.start, replayed.start) {
                orders.push((recorded.order, replayed.order));
            }
        }
        orders.sort_unstable();
        self.started_by_both += orders.len() as u64;
        let mut replayed: Vec<u64> = orders.into_iter().map(|(_, replayed)| replayed).collect();
        self.inversions += count_inversions(&mut replayed);
    }

    /// The share of pairs of requests that the sides started in opposite orders, from 0 to 1.
    pub fn inversion_ratio(&self) -> f64 {
        let pairs = self.started_by_both.saturating_sub(1) * self.started_by_both / 2;
        self.inversions as f64 / (pairs.max(1)) as f64
    }
}

/// Counts the pairs of values in descending order, and sorts the values. Uses a merge sort, as a
/// capture of one day contains millions of starts.
fn count_inversions(values: &mut [u64]) -> u64 {
    if values.len() < 2 {
        return 0;
    }
    let middle = values.len() / 2;
    let (left, right) = values.split_at_mut(middle);
    let mut count = count_inversions(left) + count_inversions(right);
    let mut merged = Vec::with_capacity(values.len());
    let (mut left, mut right) = (0, middle);
    while left < middle || right < values.len() {
        let takes_left = right == values.len() || (left < middle && values[left] <= values[right]);
        if takes_left {
            merged.push(values[left]);
            left += 1;
        } else {
            count += (middle - left) as u64;
            merged.push(values[right]);
            right += 1;
        }
    }
    values.copy_from_slice(&merged);
    count
}
