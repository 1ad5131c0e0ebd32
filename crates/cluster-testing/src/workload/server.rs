//! A node of the emulation: an admission controller, and cores that parsing and running requests
//! share equally.

use super::{ClientRequest, CLASSES, CLIENT_TIMEOUT, CORES, MEAN_WORK, PARSING_FRACTION, STEP};
use crate::membership_simulation::Simulation;
use pipitlever_admission::{
    BackpressureKind, Class, Controller, Event, Idempotency, Micros, Outcome, Request, Settings,
};
use pipitlever_membership::record::ServiceState;
use pipitlever_membership::spare_capacity::SpareCapacity;
use std::collections::{BTreeMap, BTreeSet};

/// The weight of the latest step in the moving average of the CPU utilization.
const UTILIZATION_SMOOTHING: f64 = 0.1;
/// The memory utilization that all nodes report.
const MEMORY_UTILIZATION: f64 = 0.1;
/// The connections that all nodes report.
const CONNECTION_COUNT: f64 = 8.0;
/// The longest time that a request counts as having waited when the remaining time is computed.
const MAX_ELAPSED: Micros = 1_900_000;

enum Phase {
    Parsing,
    Queued,
    Running { started_at: Micros },
    Finished,
}

/// An attempt on this node.
struct Attempt {
    request: usize,
    phase: Phase,
    /// Remaining CPU time of the phase in microseconds.
    remaining: f64,
}

impl Attempt {
    fn uses_cpu(&self) -> bool {
        matches!(self.phase, Phase::Parsing | Phase::Running { .. })
    }
}

/// A node of the emulation.
pub(super) struct Server {
    pub(super) controller: Controller,
    pub(super) is_running: bool,
    pub(super) backpressure_level: f64,
    pub(super) spare_capacity: SpareCapacity,
    attempts: BTreeMap<u64, Attempt>,
    /// Time and tag of each timer of the controller.
    timers: BTreeSet<(Micros, u64)>,
    cpu_utilization: f64,
}

impl Server {
    /// Creates a running node.
    pub(super) fn new(seed: u64) -> Server {
        Server {
            controller: Controller::new(settings(), seed),
            is_running: true,
            backpressure_level: 0.0,
            spare_capacity: SpareCapacity::default(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            cpu_utilization: 0.0,
        }
    }

    /// Ends the node's process. Returns the requests of all its attempts.
    pub(super) fn fail(&mut self) -> Vec<usize> {
        self.is_running = false;
        std::mem::take(&mut self.attempts)
            .into_values()
            .map(|attempt| attempt.request)
            .collect()
    }

    /// Starts to parse an attempt.
    pub(super) fn receive(&mut self, id: u64, request: usize) {
        let attempt = Attempt {
            request,
            phase: Phase::Parsing,
            remaining: MEAN_WORK * PARSING_FRACTION,
        };
        self.attempts.insert(id, attempt);
    }

    /// Starts to run a parsed attempt.
    pub(super) fn run(&mut self, id: u64, now: Micros, requests: &[ClientRequest]) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.remaining = requests[attempt.request].work;
            attempt.phase = Phase::Running { started_at: now };
        }
    }

    /// Removes an attempt. Returns its request.
    pub(super) fn remove(&mut self, id: u64) -> Option<usize> {
        self.attempts.remove(&id).map(|attempt| attempt.request)
    }

    /// Sets a timer of the controller.
    pub(super) fn set_timer(&mut self, at: Micros, tag: u64) {
        self.timers.insert((at, tag));
    }

    /// Advances all attempts on the cores by one step. Returns the arrivals of parsed attempts and
    /// the ends of runs.
    pub(super) fn advance_cores(&mut self, now: Micros, requests: &[ClientRequest]) -> Vec<Event> {
        let runnable = self.runnable();
        let utilization = (runnable / CORES).min(1.0);
        self.cpu_utilization += UTILIZATION_SMOOTHING * (utilization - self.cpu_utilization);
        let progress = STEP as f64 * (CORES / runnable.max(1.0)).min(1.0);
        let mut events = Vec::new();
        for (id, attempt) in &mut self.attempts {
            if !attempt.uses_cpu() {
                continue;
            }
            attempt.remaining -= progress;
            if attempt.remaining > 0.0 {
                continue;
            }
            if let Phase::Running { started_at } = attempt.phase {
                attempt.phase = Phase::Finished;
                events.push(Event::Finished {
                    id: *id,
                    elapsed: now - started_at,
                    outcome: Outcome::Success,
                });
            } else {
                attempt.phase = Phase::Queued;
                events.push(arrival(*id, &requests[attempt.request], now));
            }
        }
        events
    }

    /// Appends an event for each timer that is due.
    pub(super) fn append_due_timers(&mut self, now: Micros, events: &mut Vec<Event>) {
        let later = self.timers.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.timers, later);
        let runnable = self.runnable();
        events.extend(due.into_iter().map(|(_, tag)| Event::Timer {
            tag,
            cpu_utilization: Some(self.cpu_utilization),
            runnable: Some(runnable),
            memory_utilization: Some(MEMORY_UTILIZATION),
            connections: Some(CONNECTION_COUNT),
        }));
    }

    /// The number of attempts that use the cores.
    fn runnable(&self) -> f64 {
        let attempts = self.attempts.values();
        attempts.filter(|attempt| attempt.uses_cpu()).count() as f64
    }

    /// Reports the load to the other nodes and reads theirs.
    pub(super) fn exchange_load_reports(&mut self, node: usize, simulation: &mut Simulation) {
        // The priority cutoff is a continuous measurement; the hysteresis mode changes several times
        // a second.
        let priority_cutoff = self.controller.status().queues[0].priority_cutoff;
        let load = (priority_cutoff.clamp(0.0, 1.0) * 255.0) as u8;
        simulation.with_membership(node, |membership, now| {
            membership.set_service_state(ServiceState::Serving, b"");
            membership.report_load(now, load);
            self.spare_capacity.update(
                now,
                membership.local_name(),
                membership.members(),
                membership.is_partitioned(),
            );
        });
    }
}

fn settings() -> Settings {
    let classes = CLASSES.iter().map(|class| Class {
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        idempotency: Idempotency::Idempotent,
        priority_weight: class.priority_weight,
        late_weight: 0.2,
        ..Class::default()
    });
    Settings {
        classes: classes.collect(),
        cores: CORES,
        memory_kb: 56_000.0,
        run_memory_factor: 8.0,
        backpressure: BackpressureKind::Threshold,
        max_retry_after: 1_000_000,
        ..Settings::default()
    }
}

fn arrival(id: u64, request: &ClientRequest, now: Micros) -> Event {
    let elapsed = (now - request.created_at).min(MAX_ELAPSED);
    Event::Arrived(Request {
        id,
        class: request.class,
        timeout: Some(CLIENT_TIMEOUT - elapsed),
        cost: Some(request.work / 1000.0),
        memory_kb: 24.5,
        priority: request.priority,
        is_retry: request.attempted_nodes.len() > 1,
        ..Request::default()
    })
}
