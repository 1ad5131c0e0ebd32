//! The controller's state, and the order of work in a step.

use super::call_limit::CallLimit;
use super::concurrency_limit::ConcurrencyLimit;
use super::hysteresis::HysteresisController;
use super::latency::{ClassStatistics, MICROS_PER_SECOND, SMOOTHING};
use super::memory_budget::MemoryBudget;
use super::priority::PriorityEstimator;
use super::stall_detector::StallDetector;
use crate::interface::{Action, Cause, Class, Event, Micros, RequestId, Settings, Stage};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The tag of the only timer that the controller sets.
const TICK_TAG: u64 = 0;
/// The shortest interval between two ticks.
const MIN_TICK: Micros = 1000;
/// The latency objective if no class is in force.
const DEFAULT_OBJECTIVE: Micros = 1_000_000;
/// The assumed core time of a run, as a share of the shortest latency objective, until runs have
/// been measured.
const INITIAL_CORE_TIME: f64 = 0.25;
/// Delays before reading of up to this share of the latency objective are attributed to random
/// variation.
const NORMAL_READ_DELAY: f64 = 0.3;

/// A queue with a hysteresis controller.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Queue {
    /// Requests that wait to start.
    Start,
    /// Requests that wait for a downstream call.
    Call,
}

impl Queue {
    /// All queues, in the order of [`Controller::queue_controls`].
    pub(crate) const ALL: [Queue; 2] = [Queue::Start, Queue::Call];
}

/// A request from its arrival until it ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RequestEntry {
    pub(crate) class: usize,
    #[serde(rename = "state")]
    pub(crate) stage: Stage,
    /// The time by which the request has to be answered.
    #[serde(rename = "due")]
    pub(crate) deadline: Micros,
    /// The time of the latency objective.
    #[serde(rename = "aim")]
    pub(crate) objective_at: Micros,
    /// The effective priority.
    #[serde(rename = "worth")]
    pub(crate) priority: f64,
    /// The expected cost; 0 if unknown.
    pub(crate) cost: f64,
    /// The memory while queued, in kilobytes.
    #[serde(rename = "memory")]
    pub(crate) memory_kb: f64,
    #[serde(rename = "retry")]
    pub(crate) is_retry: bool,
    #[serde(rename = "answered")]
    pub(crate) is_answered: bool,
    #[serde(rename = "kept")]
    pub(crate) has_retained_key: bool,
    /// The time that the run waited for calls, less the total duration of all stalls before its
    /// start; can be negative. The total at its end is added, which leaves the stalls during the
    /// run.
    #[serde(rename = "off_cores")]
    pub(crate) off_core_time: Micros,
    /// The time at which the run last needed a call.
    #[serde(rename = "parked_at")]
    pub(crate) needs_call_since: Micros,
}

/// The state of a graceful shutdown.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Shutdown {
    /// The latest arrival time of a request that may run; the end of the drain grace.
    pub(crate) last_arrival: Micros,
    /// All requests are answered by this time.
    #[serde(rename = "stop")]
    pub(crate) stop_at: Micros,
}

/// The admission controller of one server.
///
/// The host calls [`Controller::step`] with the events that occurred and carries out the actions.
/// The whole state can be serialized; captures hold it with the names of the `rename` attributes,
/// in this order of fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Controller {
    #[serde(rename = "s")]
    pub(crate) settings: Settings,
    /// The time of the present step.
    pub(crate) now: Micros,
    /// The time of the first step.
    #[serde(rename = "born")]
    pub(crate) started_at: Option<Micros>,
    /// The state of the random number generator.
    #[serde(rename = "random")]
    random_state: u64,
    #[serde(rename = "entries")]
    pub(crate) requests: BTreeMap<RequestId, RequestEntry>,
    /// The requests that wait to start.
    #[serde(rename = "held")]
    pub(crate) queued: BTreeSet<RequestId>,
    /// The hysteresis controllers of the queues, in the order of [`Queue::ALL`].
    #[serde(rename = "gates")]
    pub(crate) queue_controls: [HysteresisController; 2],
    /// The backpressure level that was last advertised.
    #[serde(rename = "told")]
    pub(crate) advertised_level: f64,
    /// The moving average of the time that requests waited before they were read, in microseconds.
    #[serde(rename = "unread")]
    pub(crate) read_delay: f64,
    #[serde(rename = "seen")]
    pub(crate) class_statistics: Vec<ClassStatistics>,
    #[serde(rename = "rank")]
    pub(crate) priorities: PriorityEstimator,
    #[serde(rename = "run")]
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) calls: CallLimit,
    #[serde(default, rename = "still")]
    pub(crate) stall: StallDetector,
    pub(crate) memory: MemoryBudget,
    #[serde(rename = "drain")]
    pub(crate) shutdown: Option<Shutdown>,
    /// The time from which the control loop is due.
    pub(crate) next_control: Micros,
    #[serde(rename = "core_use")]
    pub(crate) cpu_utilization: f64,
    /// The smoothed number of requests on the cores that are being read, less the runs that wait
    /// for a disk.
    pub(crate) reading: f64,
    /// The shortest latency objective of the classes in force, in microseconds.
    #[serde(rename = "aim")]
    pub(crate) objective: f64,
    pub(crate) connections: f64,
    /// The time after which idle connections are closed, in microseconds.
    #[serde(rename = "idle")]
    pub(crate) idle_timeout: f64,
    /// The causes of rejections and failures of the present step.
    #[serde(skip)]
    pub(crate) causes: Vec<(RequestId, Cause)>,
}

impl Controller {
    /// Creates the controller of a server that starts now. The seed determines its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let objective = shortest_objective(settings.classes.iter());
        let mean_core_time = INITIAL_CORE_TIME * objective;
        Controller {
            now: 0,
            started_at: None,
            // The xorshift generator requires a state other than 0.
            random_state: seed | 1,
            requests: BTreeMap::new(),
            queued: BTreeSet::new(),
            queue_controls: [
                HysteresisController::new(
                    settings.cores / mean_core_time * MICROS_PER_SECOND,
                    objective,
                ),
                HysteresisController::new(f64::INFINITY, objective),
            ],
            advertised_level: 0.0,
            read_delay: 0.0,
            class_statistics: vec![ClassStatistics::default(); settings.classes.len()],
            priorities: PriorityEstimator::new(settings.tenants.len()),
            concurrency: ConcurrencyLimit {
                limit: settings.cores.max(1.0),
                started_at: 0,
                stretch: 1.0,
                mean_core_time,
                success_rate: 1.0,
            },
            calls: CallLimit::new(&settings),
            stall: StallDetector::default(),
            memory: MemoryBudget::default(),
            shutdown: None,
            next_control: 0,
            cpu_utilization: 0.0,
            reading: 0.0,
            objective,
            connections: 0.0,
            idle_timeout: settings.max_keepalive as f64,
            causes: Vec::new(),
            settings,
        }
    }

    /// Replaces the settings. Present requests keep their class, so classes keep their positions.
    ///
    /// `in_force` lists the positions of the classes that new requests may have, each with the
    /// position of the class whose statistics it continues, if any.
    pub fn reconfigure(&mut self, settings: Settings, in_force: &[(usize, Option<usize>)]) {
        let before = std::mem::take(&mut self.class_statistics);
        let statistics_of = |class: usize| before.get(class).cloned();
        self.settings = Settings {
            is_cold: self.settings.is_cold,
            ..settings
        };
        self.class_statistics = (0..self.settings.classes.len())
            .map(|class| statistics_of(class).unwrap_or_default())
            .collect();
        for &(class, predecessor) in in_force {
            if Some(class) != predecessor {
                self.class_statistics[class] =
                    predecessor.and_then(statistics_of).unwrap_or_default();
            }
        }
        self.priorities.resize(self.settings.tenants.len());
        let classes = in_force.iter().map(|&(at, _)| &self.settings.classes[at]);
        self.objective = shortest_objective(classes);
        self.calls.clamp_to_bounds(&self.settings);
    }

    /// Processes a batch of events that occurred by `now` and appends the resulting actions.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.causes.clear();
        if self.started_at.is_none() {
            self.start_up(actions);
        }
        self.calls.advance(&self.settings, now);
        self.memory.release_expired(now);
        for event in events {
            self.process(event, actions);
        }
        self.run_control_loop(actions);
        for event in events {
            if let Event::Arrived(request) = event {
                self.admit_or_reject(request, actions);
            }
        }
        self.expire_requests(actions);
        self.place_calls(actions);
        self.update_modes();
        self.start_queued(actions);
        if events.iter().any(|e| matches!(e, Event::Timer { .. })) {
            actions.push(self.tick_timer());
        }
    }

    fn start_up(&mut self, actions: &mut Vec<Action>) {
        self.started_at = Some(self.now);
        self.concurrency.started_at = self.now;
        self.calls.credit_at = self.now;
        // Health checks that are answered without the controller cost almost nothing and do not
        // load the downstream layer.
        actions.push(Action::Health(true));
        actions.push(self.tick_timer());
    }

    fn process(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.register(request),
            Event::ShutdownNotice(remaining) => self.begin_shutdown(*remaining, actions),
            Event::Finished {
                id,
                elapsed,
                outcome,
            } => self.handle_finished(*id, *elapsed, *outcome),
            Event::Abandoned(id) => self.handle_abandoned(*id, actions),
            Event::NeedsCall(id) => self.handle_needs_call(*id),
            Event::CallEnded {
                id,
                elapsed,
                outcome,
            } => self.handle_call_ended(*id, *elapsed, *outcome, actions),
            Event::Timer {
                cpu_utilization,
                runnable,
                connections,
                ..
            } => self.record_gauges(*cpu_utilization, *runnable, *connections),
        }
    }

    fn record_gauges(
        &mut self,
        cpu_utilization: Option<f64>,
        runnable: Option<f64>,
        connections: Option<f64>,
    ) {
        let reading = runnable.map_or(0.0, |count| count - self.running());
        self.reading += SMOOTHING * (reading - self.reading);
        self.connections = connections.unwrap_or(self.connections);
        self.cpu_utilization = cpu_utilization.unwrap_or(self.cpu_utilization);
    }

    fn tick_timer(&self) -> Action {
        Action::Timer(self.tick(), TICK_TAG)
    }

    /// The interval between ticks: a third of the answer slack, so that deadlines are met with two
    /// ticks to spare.
    pub(super) fn tick(&self) -> Micros {
        (self.settings.safety.answer_slack / 3).max(MIN_TICK)
    }

    /// The number of requests on the cores.
    pub(crate) fn running(&self) -> f64 {
        self.requests
            .values()
            .filter(|r| r.stage == Stage::Running)
            .count() as f64
    }

    pub(super) fn class(&self, class: usize) -> &Class {
        &self.settings.classes[class]
    }

    pub(crate) fn queue_control(&self, queue: Queue) -> &HysteresisController {
        &self.queue_controls[queue as usize]
    }

    /// Requests per second that the server can finish successfully, by Little's law on the
    /// concurrency limit.
    pub(crate) fn completion_rate(&self) -> f64 {
        let run = &self.concurrency;
        run.limit / run.mean_core_time.max(1.0) * MICROS_PER_SECOND * run.success_rate
    }

    /// The length of a queue that determines its mode.
    pub(crate) fn queue_length(&self, queue: Queue) -> f64 {
        match queue {
            Queue::Start => self.start_queue_length(),
            Queue::Call => self.call_queue_length(),
        }
    }

    /// The number of queued requests and of those that are not read yet, as reading uses the cores
    /// that runs need. The number of unread requests is estimated from the reported read delays by
    /// Little's law. Unread requests alone never cause the discard mode, in which the server would
    /// read requests only to reject them.
    fn start_queue_length(&self) -> f64 {
        let queued = self.queued.len() as f64;
        let delay = (self.read_delay - NORMAL_READ_DELAY * self.objective).max(0.0);
        let unread = delay * self.completion_rate() / MICROS_PER_SECOND;
        (queued + unread)
            .min(self.queue_control(Queue::Start).hysteresis.discard - 1.0)
            .max(queued)
    }

    /// The requests that wait for their call, and the queued requests of calling classes beyond the
    /// abatement threshold of the start queue; up to that threshold they will be started soon.
    fn call_queue_length(&self) -> f64 {
        let to_call = self
            .queued
            .iter()
            .filter(|id| self.class(self.requests[id].class).makes_calls);
        let abatement = self.queue_control(Queue::Start).hysteresis.abatement;
        let excess = (to_call.count() as f64 - abatement).max(0.0);
        excess + self.awaiting_call().count() as f64
    }

    /// Requests that wait for their call to be placed, with the times of their latency objectives.
    pub(super) fn awaiting_call(&self) -> impl Iterator<Item = (Micros, RequestId)> + '_ {
        self.requests
            .iter()
            .filter(|(_, r)| r.stage == Stage::AwaitingCall && !r.is_answered)
            .map(|(&id, r)| (r.objective_at, id))
    }

    /// Evaluates the mode of each queue. Policy P1 requires this at every change of a length.
    pub(super) fn update_modes(&mut self) {
        for queue in Queue::ALL {
            let length = self.queue_length(queue);
            self.queue_controls[queue as usize]
                .hysteresis
                .update_mode(length);
        }
    }

    /// A random number from 0 to below 1 (xorshift64, Marsaglia 2003). It spreads the retries of
    /// callers that were rejected together.
    pub(super) fn random_unit(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The shortest latency objective of these classes in microseconds, which thresholds and the
/// control interval derive from.
fn shortest_objective<'a>(classes: impl Iterator<Item = &'a Class>) -> f64 {
    let objective = classes.map(|c| c.latency_objective).min();
    objective.unwrap_or(DEFAULT_OBJECTIVE).max(1) as f64
}
