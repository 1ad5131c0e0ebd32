//! A simulated host of a controller. Numbers that a test supplies select events which a real host
//! could report, in any order.

use pipitlever_admission::{
    Action, BackpressureKind, CancellationMode, Class, Controller, Downstream, Event, Idempotency,
    Micros, Outcome, Request, RequestId, Safety, Settings, Tenant,
};
use pipitlever_capture::record::RequestIdentity;
use pipitlever_capture::recorder::Recorder;
use std::collections::BTreeMap;

/// Settings with three classes and two tenants. The lowest four bits of `variant` select options.
pub fn settings(variant: u8) -> Settings {
    let class = |idempotency, priority_weight, late_weight| Class {
        latency_objective: 300_000,
        deadline: 900_000,
        idempotency,
        idempotency_window: 2_000_000,
        priority_weight,
        late_weight,
        makes_calls: true,
        skip_call_weight: if variant & 4 == 0 { 0.0 } else { 0.5 },
        ..Class::default()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0, 0.0),
            class(Idempotency::Keyed, 5.0, 0.2),
            class(Idempotency::NonIdempotent, 2.0, 0.2),
        ],
        tenants: vec![Tenant { quota_rps: 20.0 }; 2],
        cores: 3.0,
        memory_kb: 4_000.0,
        run_memory_factor: 8.0,
        key_kb: 20.0,
        is_cold: variant & 1 == 1,
        downstream: if variant & 2 == 0 {
            Downstream::Tier
        } else {
            Downstream::Shared
        },
        call_share: 4.0,
        call_window: 2_000_000,
        call_linger: 100_000,
        read_cache_ttl: if variant & 8 == 0 { 0 } else { 200_000 },
        cancellation: if variant & 4 == 0 {
            CancellationMode::Unsupported
        } else {
            CancellationMode::Abort
        },
        backpressure: BackpressureKind::Threshold,
        max_retry_after: 1_000_000,
        safety: Safety {
            warmup_time: 3_000_000,
            cold_speed: 0.2,
            ..Safety::default()
        },
        ..Settings::default()
    }
}

/// Selects one event. The first number selects its kind, the second its details.
pub type EventChoice = (u8, u32);

/// The state of a request in the host.
#[derive(Clone, Copy, PartialEq)]
enum RequestState {
    Queued,
    Running,
    AwaitingCall,
    InCall,
    AwaitingOriginal,
}

#[derive(Clone, Copy)]
struct HostRequest {
    state: RequestState,
    since: Micros,
}

/// A controller, and the requests that are open in its host.
pub struct SimulatedHost {
    pub controller: Controller,
    pub now: Micros,
    requests: BTreeMap<RequestId, HostRequest>,
    retained_keys: Vec<RequestId>,
    next_id: RequestId,
    is_shutting_down: bool,
    variant: u8,
}

impl SimulatedHost {
    pub fn new(variant: u8, seed: u64) -> SimulatedHost {
        SimulatedHost {
            controller: Controller::new(settings(variant), seed),
            now: 0,
            requests: BTreeMap::new(),
            retained_keys: Vec::new(),
            next_id: 1,
            is_shutting_down: false,
            variant,
        }
    }

    /// The number of requests that have arrived.
    pub fn arrivals(&self) -> u64 {
        self.next_id - 1
    }

    /// Selects a request in one of these states.
    fn pick(&self, detail: u32, states: &[RequestState]) -> Option<RequestId> {
        let candidates: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| states.contains(&request.state))
            .map(|(&id, _)| id)
            .collect();
        (!candidates.is_empty()).then(|| candidates[detail as usize % candidates.len()])
    }

    fn set_state(&mut self, id: RequestId, state: RequestState) {
        self.requests.get_mut(&id).expect("an open request").state = state;
    }

    /// Generates the selected event; a timer event if no request is in the required state.
    fn event(&mut self, (kind, detail): EventChoice) -> Event {
        let event = match kind % 16 {
            0..=6 => Some(self.arrive(detail)),
            7..=9 => self.finish_run(detail),
            10..=11 => self.need_call(detail),
            12..=13 => self.end_call(detail),
            14 if detail % 3 != 0 => Some(self.abandon(detail)),
            15 if detail % 400 == 0 && !self.is_shutting_down => {
                self.is_shutting_down = true;
                Some(Event::ShutdownNotice(2_000_000))
            }
            _ => None,
        };
        event.unwrap_or_else(|| timer(detail))
    }

    fn arrive(&mut self, detail: u32) -> Event {
        let class = detail as usize % 3;
        let id = self.next_id;
        self.next_id += 1;
        let is_duplicate = class == 1 && detail % 8 == 1 && !self.retained_keys.is_empty();
        let duplicate_of =
            is_duplicate.then(|| self.retained_keys[detail as usize % self.retained_keys.len()]);
        let state = if is_duplicate {
            RequestState::AwaitingOriginal
        } else {
            RequestState::Queued
        };
        let since = self.now;
        self.requests.insert(id, HostRequest { state, since });
        Event::Arrived(Request {
            id,
            class,
            tenant: (detail % 3 == 0).then_some(detail as usize % 2),
            has_key: detail % 2 == 0,
            timeout: (detail % 9 != 0).then_some(i64::from(detail % 900) * 1000),
            cost: (detail % 5 != 0).then_some(f64::from(detail % 50) * 1e3),
            memory_kb: 8.0 + f64::from(detail % 60),
            priority: f64::from(detail % 97) / 97.0,
            is_retry: detail % 6 == 0,
            is_write: class > 0,
            queue_time: i64::from(detail % 200) * 1000,
            duplicate_of,
        })
    }

    fn finish_run(&mut self, detail: u32) -> Option<Event> {
        let states = [RequestState::Running, RequestState::AwaitingOriginal];
        let id = self.pick(detail, &states)?;
        let request = self.requests.remove(&id).expect("an open request");
        Some(Event::Finished {
            id,
            elapsed: self.now - request.since,
            outcome: if detail % 31 == 0 {
                Outcome::NotStarted
            } else {
                outcome(detail)
            },
        })
    }

    fn need_call(&mut self, detail: u32) -> Option<Event> {
        let id = self.pick(detail, &[RequestState::Running])?;
        self.set_state(id, RequestState::AwaitingCall);
        Some(Event::NeedsCall(id))
    }

    fn end_call(&mut self, detail: u32) -> Option<Event> {
        let id = self.pick(detail, &[RequestState::InCall])?;
        let is_success = outcome(detail) == Outcome::Success;
        let state = if is_success {
            RequestState::Running
        } else {
            RequestState::AwaitingCall
        };
        self.set_state(id, state);
        Some(Event::CallEnded {
            id,
            elapsed: i64::from(detail % 300) * 1000,
            outcome: if detail % 7 == 0 && !is_success {
                Outcome::Rejected
            } else {
                outcome(detail)
            },
        })
    }

    fn abandon(&mut self, detail: u32) -> Event {
        let states = [
            RequestState::Queued,
            RequestState::Running,
            RequestState::AwaitingCall,
            RequestState::InCall,
            RequestState::AwaitingOriginal,
        ];
        let Some(id) = self.pick(detail, &states) else {
            // A notice that arrives after its request has finished.
            return Event::Abandoned(self.next_id.saturating_sub(1));
        };
        self.end_before_run(id);
        Event::Abandoned(id)
    }

    /// Executes and records a step of the controller, `clock_delta` microseconds after the last one
    /// (0 or negative for a clock that stands still or is set back).
    pub fn step(
        &mut self,
        clock_delta: i32,
        choices: &[EventChoice],
        recorder: Option<&mut Recorder>,
    ) -> Vec<Action> {
        self.now += i64::from(clock_delta);
        let events: Vec<Event> = choices.iter().map(|&choice| self.event(choice)).collect();
        let mut actions = Vec::new();
        if let Some(recorder) = recorder {
            if recorder.needs_checkpoint(self.now) {
                let settings = settings(self.variant);
                recorder.queue_checkpoint(self.now, &self.controller, &settings, Vec::new());
            }
            events
                .iter()
                .filter_map(identity)
                .for_each(|identity| recorder.record_identity(identity));
            self.controller.step(self.now, &events, &mut actions);
            recorder.record_step(self.now, &events, &actions);
        } else {
            self.controller.step(self.now, &events, &mut actions);
        }
        for action in &actions {
            self.apply(action);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Run(id) => {
                let state = RequestState::Running;
                let since = self.now;
                self.requests.insert(*id, HostRequest { state, since });
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                self.end_before_run(*id);
            }
            Action::RetainKey(id, _) => self.retained_keys.push(*id),
            Action::ReleaseKey(id) => self.retained_keys.retain(|retained| retained != id),
            Action::PlaceCall(id, _) => self.change_state(*id, RequestState::InCall),
            Action::SkipCall(id) => self.change_state(*id, RequestState::Running),
            _ => {}
        }
    }

    /// Removes a request that has not run.
    fn end_before_run(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| !request.has_run()) {
            self.requests.remove(&id);
        }
    }

    /// Sets the state of a request, if it is open.
    fn change_state(&mut self, id: RequestId, state: RequestState) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = state;
        }
    }
}

impl HostRequest {
    fn has_run(&self) -> bool {
        !matches!(
            self.state,
            RequestState::Queued | RequestState::AwaitingOriginal
        )
    }
}

fn outcome(detail: u32) -> Outcome {
    match detail % 5 {
        0 => Outcome::Error,
        1 => Outcome::Reset,
        _ => Outcome::Success,
    }
}

fn timer(detail: u32) -> Event {
    Event::Timer {
        tag: 0,
        cpu_utilization: (detail % 3 != 0).then_some(f64::from(detail % 100) / 99.0),
        runnable: (detail % 4 != 0).then_some(f64::from(detail % 7)),
        memory_utilization: None,
        connections: Some(f64::from(detail % 300)),
    }
}

/// The identity to record for an arrival.
fn identity(event: &Event) -> Option<RequestIdentity> {
    let Event::Arrived(request) = event else {
        return None;
    };
    Some(RequestIdentity {
        id: request.id,
        reference: !request.id,
        sender: Some(request.id % 7),
        key_digest: None,
    })
}
