//! Test support: a small host that builds events and inspects actions, and a checker of the
//! controller's invariants.
#![allow(dead_code, reason = "each test binary uses a part of this module")]
#![allow(unused_imports, reason = "each test binary uses a part of this module")]

mod invariants;

pub use invariants::{InvariantChecker, RequestView};

use pipitlever_admission::{
    Action, BackpressureKind, CancellationMode, Class, Controller, Downstream, Event, Idempotency,
    Micros, Outcome, Request, RequestId, Settings,
};
use pipitlever_capture::segment::{restore_controller, serialize_controller};

/// The positions of the classes of [`settings`].
pub const IDEMPOTENT: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

const SEED: u64 = 1;

/// Each step whose time in milliseconds is a multiple of this number is repeated with a restored
/// state. Not every step is, as serializing a large state takes longer than the step.
const RESTORE_INTERVAL: Micros = 64;

/// A server with four cores and an idempotent, a keyed and a non-idempotent class that all make
/// calls.
pub fn settings() -> Settings {
    let class = |idempotency, priority_weight| Class {
        latency_objective: 1_000_000,
        deadline: 4_000_000,
        idempotency,
        idempotency_window: 5_000_000,
        priority_weight,
        makes_calls: true,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed, 2.0),
            class(Idempotency::NonIdempotent, 4.0),
        ],
        cores: 4.0,
        memory_kb: 20_000.0,
        run_memory_factor: 8.0,
        key_kb: 20.0,
        downstream: Downstream::Shared,
        call_share: 5.0,
        call_window: 5_000_000,
        call_linger: 200_000,
        cancellation: CancellationMode::Abort,
        backpressure: BackpressureKind::Threshold,
        max_retry_after: 1_000_000,
        ..Settings::default()
    }
}

/// A controller with a fixed seed.
pub fn controller(settings: Settings) -> Controller {
    Controller::new(settings, SEED)
}

/// A first attempt of this class, read as soon as it arrived.
pub fn request(id: RequestId, class: usize) -> Request {
    Request {
        id,
        class,
        memory_kb: 20.0,
        priority: (class as f64 + 0.5) / 3.0,
        ..Request::default()
    }
}

/// The arrival of [`request`].
pub fn arrival(id: RequestId, class: usize) -> Event {
    Event::Arrived(request(id, class))
}

/// The arrivals of a batch of requests.
pub fn arrivals(ids: impl Iterator<Item = RequestId>, class: usize) -> Vec<Event> {
    ids.map(|id| arrival(id, class)).collect()
}

/// The controller's tick, on saturated cores.
pub fn tick() -> Event {
    Event::Timer {
        tag: 0,
        cpu_utilization: Some(1.0),
        runnable: None,
        memory_utilization: None,
        connections: None,
    }
}

/// The end of a run.
pub fn finished(id: RequestId, elapsed: Micros, outcome: Outcome) -> Event {
    Event::Finished {
        id,
        elapsed,
        outcome,
    }
}

/// The successful end of a run.
pub fn succeeded(id: RequestId, elapsed: Micros) -> Event {
    finished(id, elapsed, Outcome::Success)
}

/// The end of a call.
pub fn call_ended(id: RequestId, elapsed: Micros, outcome: Outcome) -> Event {
    Event::CallEnded {
        id,
        elapsed,
        outcome,
    }
}

/// Executes a step and returns its actions. At each [`RESTORE_INTERVAL`] the step is repeated with
/// a controller that was serialized and restored, which has to return the same actions: captures
/// rely on it.
pub fn step(controller: &mut Controller, now: Micros, events: &[Event]) -> Vec<Action> {
    let restored = (now / 1000 % RESTORE_INTERVAL == 0).then(|| {
        restore_controller(&serialize_controller(controller))
            .expect("restores its serialized state")
    });
    let mut actions = Vec::new();
    controller.step(now, events, &mut actions);
    if let Some(mut restored) = restored {
        let mut repeated = Vec::new();
        restored.step(now, events, &mut repeated);
        assert_eq!(
            actions, repeated,
            "at {now}, after the state was serialized and restored"
        );
    }
    actions
}

/// Whether the request was rejected.
pub fn is_rejected(actions: &[Action], request: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id, .. } if *id == request))
}

/// The number of rejections.
pub fn rejection_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

/// The requests whose calls were placed, with the timeouts.
pub fn placed_calls(actions: &[Action]) -> Vec<(RequestId, Micros)> {
    let placed = |action: &Action| match action {
        Action::PlaceCall(id, timeout) => Some((*id, *timeout)),
        _ => None,
    };
    actions.iter().filter_map(placed).collect()
}

/// The requests that were started.
pub fn started(actions: &[Action]) -> Vec<RequestId> {
    let started = |action: &Action| match action {
        Action::Run(id) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

/// The number of requests that were started.
pub fn start_count(actions: &[Action]) -> usize {
    started(actions).len()
}

/// The thresholds of the start queue.
pub struct Thresholds {
    pub abatement: f64,
    pub onset: f64,
    pub discard: f64,
}

impl Thresholds {
    pub fn of(controller: &Controller) -> Thresholds {
        let [abatement, onset, discard] = controller.status().queues[0].thresholds;
        Thresholds {
            abatement,
            onset,
            discard,
        }
    }

    pub fn as_array(&self) -> [f64; 3] {
        [self.abatement, self.onset, self.discard]
    }
}
