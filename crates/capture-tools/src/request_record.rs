//! The data of one request in a capture.

use crate::rendering;
use pipitlever_admission::{
    Action, Cause, ControllerStatus, Event, Micros, Mode, Outcome, Request, RequestId,
};
use pipitlever_capture::record::{AnswerSource, RecordedAnswer};

/// Something that happened to a request.
#[derive(Clone, Debug)]
pub enum TimelineEvent {
    /// The request arrived. Contains the controller's status before the arrival.
    Arrived(Event, ControllerStatus),
    /// An event reached the controller.
    Event(Event),
    /// The controller decided on an action.
    Action(Action),
    /// Why the controller rejected or failed the request. Contains the controller's status before
    /// the decision.
    Cause(Cause, ControllerStatus),
    /// The final answer was sent.
    Answer(RecordedAnswer, AnswerSource),
    /// The request was in memory when the capture began, or when the part after a gap began.
    InMemory,
}

/// An event in the timeline of a request.
#[derive(Clone, Debug)]
pub struct TimelineEntry {
    /// The clock, in Unix microseconds.
    pub now: Micros,
    /// The number of the controller's most recent step, counted from the start of the node's run.
    pub step: u64,
    /// The event.
    pub event: TimelineEvent,
}

/// The class of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestClass {
    /// The index of the class; `None` for a request that arrived before the capture.
    pub index: Option<usize>,
    /// The name of the class; empty if unknown.
    pub name: String,
}

/// The state of the queue of requests to start when a request arrived.
#[derive(Clone, Copy, Debug)]
pub struct QueueAtArrival {
    /// The mode of the queue.
    pub mode: Mode,
    /// The number of queued requests.
    pub queued: usize,
    /// The lowest priority that was admitted.
    pub priority_cutoff: f64,
}

/// The end of a request's run.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// When the run ended, in Unix microseconds.
    pub at: Micros,
    /// The duration of the run, in microseconds.
    pub elapsed: Micros,
    /// How the run ended.
    pub outcome: Outcome,
}

/// A rejection or failure by the controller.
#[derive(Clone, Copy, Debug)]
pub struct ControllerDecision {
    /// When the controller decided, in Unix microseconds.
    pub at: Micros,
    /// The reason of the decision.
    pub cause: Cause,
}

/// A final answer.
#[derive(Clone, Copy, Debug)]
pub struct FinalAnswer {
    /// When the answer was sent, in Unix microseconds.
    pub at: Micros,
    /// The answer.
    pub answer: RecordedAnswer,
    /// The component or event that decided the answer.
    pub source: AnswerSource,
}

/// One request. Times are in Unix microseconds, durations in microseconds.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// The name of the node.
    pub node: String,
    /// The start of the node's run, in Unix milliseconds.
    pub run: u64,
    /// The controller's identifier; `None` if the request never reached the controller.
    pub id: Option<RequestId>,
    /// The `ref` of the request.
    pub reference: Option<u64>,
    /// The identifier of the gateway.
    pub sender: Option<u64>,
    /// The digest of the idempotency key.
    pub key_digest: Option<u64>,
    /// The class.
    pub class: RequestClass,
    /// When the request reached the controller; `None` if that was before the capture.
    pub arrived: Option<Micros>,
    /// The time that the request had waited unread before its arrival at the controller.
    pub queue_time: Option<Micros>,
    /// How long the client still waits after the arrival.
    pub timeout: Option<Micros>,
    /// The cost hint, in microseconds.
    pub cost: Option<f64>,
    /// The memory that the request uses, in KB.
    pub memory_kb: Option<f64>,
    /// The priority.
    pub priority: Option<f64>,
    /// Whether the request is a retry.
    pub is_retry: bool,
    /// The original request, if this one is a duplicate.
    pub duplicate_of: Option<RequestId>,
    /// The state of the queue at the arrival.
    pub queue_at_arrival: Option<QueueAtArrival>,
    /// When the run started.
    pub started: Option<Micros>,
    /// The number of calls placed for the request.
    pub calls: u32,
    /// The end of the run.
    pub run_end: Option<RunEnd>,
    /// The controller's rejection or failure.
    pub decision: Option<ControllerDecision>,
    /// When the controller was notified that the client had abandoned the request.
    pub abandoned: Option<Micros>,
    /// The final answer.
    pub answer: Option<FinalAnswer>,
    /// The events of the request in order, if timelines are collected.
    pub timeline: Vec<TimelineEntry>,
}

impl RequestRecord {
    /// The label of the outcome in outputs: `served`, `refused` (rejected), `failed`, `gone` (the
    /// client abandoned the request) or `open`.
    pub fn outcome(&self) -> &'static str {
        match &self.answer {
            Some(answer) => rendering::answer_label(&answer.answer),
            None if self.abandoned.is_some() => "gone",
            None => "open",
        }
    }

    /// Sets the fields that are known once the request reaches the controller.
    pub fn set_arrival(&mut self, request: &Request, now: Micros, status: &ControllerStatus) {
        self.arrived = Some(now);
        self.queue_time = Some(request.queue_time);
        self.timeout = request.timeout;
        self.cost = request.cost;
        self.memory_kb = Some(request.memory_kb);
        self.priority = Some(request.priority);
        self.is_retry = request.is_retry;
        self.duplicate_of = request.duplicate_of;
        let queue = &status.queues[0];
        self.queue_at_arrival = Some(QueueAtArrival {
            mode: queue.mode,
            queued: status.queued,
            priority_cutoff: queue.priority_cutoff,
        });
    }
}
