//! A checker of the controller's invariants, which follows events and actions only:
//!
//! - every request is answered by its deadline, and before the server stops;
//! - no key runs twice, and no call that may have run is repeated;
//! - during shutdown no late arrival runs;
//! - memory and concurrency stay within what the server survives.

use pipitlever_admission::{
    Action, BackpressureKind, CancellationMode, Event, Idempotency, Micros, Outcome, Request,
    RequestId, Settings,
};
use std::collections::BTreeMap;

/// The state of a request as the host observes it.
#[derive(Clone)]
struct TrackedRequest {
    request: Request,
    arrived_at: Micros,
    deadline: Micros,
    is_started: bool,
    is_on_core: bool,
    call_count: u32,
    may_call_again: bool,
    is_answered: bool,
    is_live: bool,
    awaits_original: bool,
    is_cancelled: bool,
}

impl TrackedRequest {
    fn new(request: &Request, now: Micros, settings: &Settings) -> TrackedRequest {
        let arrived_at = now - request.queue_time;
        let class = &settings.classes[request.class];
        let deadline = request
            .timeout
            .map_or(arrived_at + class.deadline, |timeout| now + timeout);
        TrackedRequest {
            request: request.clone(),
            arrived_at,
            deadline: deadline.max(now),
            is_started: false,
            is_on_core: false,
            call_count: 0,
            may_call_again: true,
            is_answered: false,
            is_live: true,
            awaits_original: false,
            is_cancelled: false,
        }
    }

    fn memory_kb(&self, settings: &Settings) -> f64 {
        let factor = if self.is_started {
            settings.run_memory_factor
        } else {
            1.0
        };
        self.request.memory_kb * factor
    }

    fn is_waiting_off_core(&self) -> bool {
        self.is_live && self.is_started && !self.is_on_core
    }

    fn view(&self) -> RequestView {
        RequestView {
            is_running: self.is_live && self.is_on_core,
            is_cancelled: self.is_live && self.is_cancelled,
            is_in_call: self.is_waiting_off_core() && self.call_count > 0 && !self.may_call_again,
            is_answered_off_core: self.is_waiting_off_core() && self.is_answered,
            awaits_original: self.is_live && self.awaits_original && !self.is_answered,
            original: self.request.duplicate_of,
        }
    }
}

/// The state of a request that a test driver can observe.
pub struct RequestView {
    pub is_running: bool,
    pub is_cancelled: bool,
    pub is_in_call: bool,
    pub is_answered_off_core: bool,
    pub awaits_original: bool,
    pub original: Option<RequestId>,
}

impl RequestView {
    /// Whether the run ends immediately, as its answer is no longer needed.
    pub fn is_ending(&self) -> bool {
        self.is_cancelled || self.is_answered_off_core
    }
}

/// The time of the shutdown notice and of the stop.
#[derive(Clone, Copy)]
struct ShutdownTimes {
    notice_at: Micros,
    stop_at: Micros,
}

/// Checks the invariants after each step.
pub struct InvariantChecker {
    settings: Settings,
    requests: BTreeMap<RequestId, TrackedRequest>,
    key_expiry: BTreeMap<RequestId, Micros>,
    started_keyed: Vec<RequestId>,
    shutdown: Option<ShutdownTimes>,
    /// The violations found, each with its time.
    pub violations: Vec<String>,
}

impl InvariantChecker {
    pub fn new(settings: &Settings) -> InvariantChecker {
        InvariantChecker {
            settings: settings.clone(),
            requests: BTreeMap::new(),
            key_expiry: BTreeMap::new(),
            started_keyed: Vec::new(),
            shutdown: None,
            violations: Vec::new(),
        }
    }

    /// Records the events and the actions of a step, and checks the invariants.
    pub fn record(&mut self, now: Micros, events: &[Event], actions: &[Action]) {
        for event in events {
            self.record_event(now, event);
        }
        for action in actions {
            let violation = self.record_action(now, action);
            self.violations
                .extend(violation.map(|v| format!("{now}: {v}")));
        }
        self.key_expiry.retain(|_, until| *until >= now);
        self.check_resources(now);
        self.check_deadlines(now);
        self.requests.retain(|_, r| r.is_live || !r.is_answered);
    }

    /// The requests in a state.
    pub fn requests_where(&self, is_in_state: fn(&RequestView) -> bool) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| is_in_state(&request.view()))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Whether events can still refer to this request.
    pub fn is_live(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.is_live)
    }

    fn tracked(&mut self, id: RequestId) -> &mut TrackedRequest {
        self.requests.get_mut(&id).expect("a tracked request")
    }

    fn record_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Arrived(request) => {
                let tracked = TrackedRequest::new(request, now, &self.settings);
                self.requests.insert(request.id, tracked);
            }
            Event::ShutdownNotice(remaining) => {
                self.shutdown = Some(ShutdownTimes {
                    notice_at: now,
                    stop_at: now + remaining,
                });
            }
            Event::Finished { id, outcome, .. } => {
                let request = self.tracked(*id);
                (request.is_live, request.is_on_core) = (false, false);
                request.is_answered |= matches!(outcome, Outcome::Success | Outcome::Error);
            }
            Event::Abandoned(id) => self.tracked(*id).is_answered = true,
            Event::NeedsCall(id) => {
                let request = self.tracked(*id);
                (request.is_on_core, request.may_call_again) = (false, true);
            }
            Event::CallEnded { id, outcome, .. } => {
                let request = self.tracked(*id);
                request.is_on_core = *outcome == Outcome::Success;
                request.may_call_again =
                    matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            }
            Event::Timer { .. } => {}
        }
    }

    /// Records an action and returns the invariant that it violates, if any.
    fn record_action(&mut self, now: Micros, action: &Action) -> Option<String> {
        match action {
            Action::Run(id) => self.record_start(*id),
            Action::Reject { id, .. } => self.record_rejection(*id),
            Action::Fail(id) => self.record_failure(*id),
            Action::ReuseOutcome(id) => {
                let request = self.tracked(*id);
                request.awaits_original = true;
                let is_duplicate = request.request.duplicate_of.is_some();
                (!is_duplicate).then(|| format!("{id} duplicates nothing"))
            }
            Action::RetainKey(id, lifetime) => {
                self.key_expiry.insert(*id, now + lifetime);
                None
            }
            Action::ReleaseKey(id) => {
                self.key_expiry.remove(id);
                None
            }
            Action::PlaceCall(id, _) => self.record_call(*id),
            Action::SkipCall(id) => self.record_skipped_call(*id),
            Action::Cancel(id) => self.record_cancellation(*id),
            Action::Backpressure(_) => {
                let is_disabled = self.settings.backpressure == BackpressureKind::Disabled;
                is_disabled.then(|| "a backpressure level was advertised".into())
            }
            Action::Health(_) | Action::CloseIdle(_) | Action::Timer(..) => None,
        }
    }

    fn idempotency(&self, id: RequestId) -> Idempotency {
        self.settings.classes[self.requests[&id].request.class].idempotency
    }

    /// Whether the request, or the one that it duplicates, was started.
    fn may_have_run(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let original = request.request.duplicate_of;
        request.is_started || original.is_some_and(|o| self.started_keyed.contains(&o))
    }

    fn record_start(&mut self, id: RequestId) -> Option<String> {
        let is_keyed = self.idempotency(id) == Idempotency::Keyed;
        let arrived_at = self.requests[&id].arrived_at;
        let drain_grace = self.settings.safety.drain_grace;
        let is_too_late = self
            .shutdown
            .is_some_and(|s| arrived_at > s.notice_at + drain_grace);
        let mut violation = None;
        if self.may_have_run(id) {
            violation = Some(format!("{id} run twice"));
        }
        if is_keyed && !self.key_expiry.contains_key(&id) {
            violation = Some(format!("{id} run without a retained key"));
        }
        if is_too_late {
            violation = Some(format!("{id} run after the grace period"));
        }
        if is_keyed {
            self.started_keyed.push(id);
        }
        let request = self.tracked(id);
        (request.is_started, request.is_on_core) = (true, true);
        violation
    }

    fn record_rejection(&mut self, id: RequestId) -> Option<String> {
        let is_idempotent = self.idempotency(id) == Idempotency::Idempotent;
        let may_have_run = self.may_have_run(id);
        let request = self.tracked(id);
        let is_wrong = request.is_answered || (may_have_run && !is_idempotent);
        request.is_answered = true;
        request.is_live &= request.is_started;
        is_wrong.then(|| format!("{id} rejected after it ran or was answered"))
    }

    fn record_failure(&mut self, id: RequestId) -> Option<String> {
        let request = self.tracked(id);
        let was_answered = request.is_answered;
        request.is_answered = true;
        request.is_live &= request.is_started;
        was_answered.then(|| format!("{id} answered twice"))
    }

    fn record_call(&mut self, id: RequestId) -> Option<String> {
        let is_idempotent = self.idempotency(id) == Idempotency::Idempotent;
        let request = self.tracked(id);
        let is_wrong = !request.may_call_again && !is_idempotent;
        request.may_call_again = false;
        request.call_count += 1;
        is_wrong.then(|| format!("{id} called again"))
    }

    fn record_skipped_call(&mut self, id: RequestId) -> Option<String> {
        let request = self.tracked(id);
        request.is_on_core = true;
        let class = request.request.class;
        let is_required = self.settings.classes[class].skip_call_weight == 0.0;
        is_required.then(|| format!("{id} skipped a required call"))
    }

    fn record_cancellation(&mut self, id: RequestId) -> Option<String> {
        let request = self.tracked(id);
        request.is_cancelled = request.is_answered;
        let is_unsupported = self.settings.cancellation == CancellationMode::Unsupported;
        is_unsupported.then(|| format!("{id} cancelled where that is not supported"))
    }

    fn check_resources(&mut self, now: Micros) {
        let settings = &self.settings;
        let live = self.requests.values().filter(|r| r.is_live);
        let requests_kb: f64 = live.clone().map(|r| r.memory_kb(settings)).sum();
        let memory_kb = requests_kb + self.key_expiry.len() as f64 * settings.key_kb;
        if memory_kb > settings.memory_kb {
            self.violations
                .push(format!("{now}: {memory_kb} KB in use"));
        }
        let running = live.filter(|r| r.is_on_core).count() as f64;
        if running > settings.safety.max_concurrency_per_core * settings.cores {
            self.violations.push(format!("{now}: {running} running"));
        }
    }

    fn check_deadlines(&mut self, now: Micros) {
        let answer_slack = self.settings.safety.answer_slack;
        let is_stopped = self.shutdown.is_some_and(|s| now >= s.stop_at);
        for request in self.requests.values().filter(|r| !r.is_answered) {
            let id = request.request.id;
            if now > request.deadline + answer_slack {
                self.violations
                    .push(format!("{now}: {id} not answered by its deadline"));
            }
            if is_stopped {
                self.violations
                    .push(format!("{now}: {id} not answered by the stop"));
            }
        }
    }
}
