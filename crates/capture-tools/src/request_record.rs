//! What a capture contains about one request.

use crate::rendering;
use pipitlever_admission::{
    Action, Cause, ControllerStatus, Event, Micros, Mode, Outcome, Request, RequestId,
};
use pipitlever_capture::record::{AnswerSource, RecordedAnswer};

/// Something that happened to a request.
#[derive(Clone, Debug)]
pub enum TimelineEvent {
    /// It arrived. Contains the controller's status before.
    Arrived(Event, ControllerStatus),
    /// An event reached the controller.
    Event(Event),
    /// The controller decided on an action.
    Action(Action),
    /// Why the controller rejected or failed it. Contains the controller's status before.
    Cause(Cause, ControllerStatus),
    /// Its final answer was sent.
    Answer(RecordedAnswer, AnswerSource),
    /// It was in memory when the capture, or a part of it after a gap, began.
    InMemory,
}

/// An event in the timeline of a request.
#[derive(Clone, Debug)]
pub struct TimelineEntry {
    /// The clock, in Unix microseconds.
    pub now: Micros,
    /// The number of the last step of the run.
    pub step: u64,
    /// The event.
    pub event: TimelineEvent,
}

/// The class of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestClass {
    /// Its index; `None` for a request that arrived before the capture.
    pub index: Option<usize>,
    /// Its name; empty if it is unknown.
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

/// The end of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// When it ended, in Unix microseconds.
    pub at: Micros,
    /// Its duration, in microseconds.
    pub elapsed: Micros,
    /// How it ended.
    pub outcome: Outcome,
}

/// A rejection or failure by the controller.
#[derive(Clone, Copy, Debug)]
pub struct ControllerDecision {
    /// When it was decided, in Unix microseconds.
    pub at: Micros,
    /// Why.
    pub cause: Cause,
}

/// A final answer.
#[derive(Clone, Copy, Debug)]
pub struct FinalAnswer {
    /// When it was sent, in Unix microseconds.
    pub at: Micros,
    /// The answer.
    pub answer: RecordedAnswer,
    /// What decided it.
    pub source: AnswerSource,
}

/// One request. Times are in Unix microseconds, durations in microseconds.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Its node.
    pub node: String,
    /// The start of its run, in Unix milliseconds.
    pub run: u64,
    /// The controller's identifier; `None` if the request never reached the controller.
    pub id: Option<RequestId>,
    /// Its `ref`.
    pub reference: Option<u64>,
    /// Its gateway.
    pub sender: Option<u64>,
    /// The digest of its idempotency key.
    pub key_digest: Option<u64>,
    /// Its class.
    pub class: RequestClass,
    /// When it reached the controller; `None` if that was before the capture.
    pub arrived: Option<Micros>,
    /// How long it was unread before.
    pub queue_time: Option<Micros>,
    /// How long its client still waits.
    pub timeout: Option<Micros>,
    /// The cost hint, in microseconds.
    pub cost: Option<f64>,
    /// The memory that it uses, in KB.
    pub memory_kb: Option<f64>,
    /// Its priority.
    pub priority: Option<f64>,
    /// It is a retry.
    pub is_retry: bool,
    /// The original request, if it is a duplicate.
    pub duplicate_of: Option<RequestId>,
    /// The queue when it arrived.
    pub queue_at_arrival: Option<QueueAtArrival>,
    /// When it started.
    pub started: Option<Micros>,
    /// The number of calls placed for it.
    pub calls: u32,
    /// The end of its run.
    pub run_end: Option<RunEnd>,
    /// The controller's rejection or failure.
    pub decision: Option<ControllerDecision>,
    /// When its client was known to have abandoned it.
    pub abandoned: Option<Micros>,
    /// Its final answer.
    pub answer: Option<FinalAnswer>,
    /// What happened to it, if timelines are collected.
    pub timeline: Vec<TimelineEntry>,
}

impl RequestRecord {
    /// The word for how the request ended in outputs: `served`, `refused`, `failed`, `gone` (its
    /// client abandoned it) or `open`.
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
