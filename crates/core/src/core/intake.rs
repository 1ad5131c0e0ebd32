//! Arrival of requests, and their abandonment by the caller.

use crate::core::Core;
use crate::effect::{Answer, Effect};
use crate::request::{IncomingRequest, Reference};
use crate::request_table::{OpenRequest, Stage};
use crate::timers::Timer;
use pipitlever_admission::{Event, Micros, Request};
use pipitlever_capture::record::AnswerSource;

/// An answer leaves this long before the caller's deadline, so that it arrives in time.
const DEADLINE_MARGIN: Micros = 10_000;
/// The delay that callers are advised to keep when a limit of the node itself rejects a request, in
/// microseconds.
pub const OVERLOAD_RETRY_AFTER: Micros = 200_000;

/// An answer that the node itself gives before the controller has seen the request.
struct EarlyAnswer {
    answer: Answer,
    by: AnswerSource,
}

/// A limit of the node itself that rejects a request.
pub(super) struct Overload {
    /// Which limit, for a capture.
    pub(super) by: AnswerSource,
    /// The delay to advise, in microseconds.
    pub(super) retry_after: Micros,
}

impl Overload {
    /// A limit with the usual advice.
    pub(super) fn new(by: AnswerSource) -> Overload {
        let retry_after = OVERLOAD_RETRY_AFTER;
        Overload { by, retry_after }
    }
}

impl Core {
    /// Handles a request. It is answered exactly once from here on, unless its caller abandons it.
    pub fn handle_request(&mut self, now: Micros, incoming: IncomingRequest) {
        self.counters.requests += 1;
        if let Some(EarlyAnswer { answer, by }) = self.check_acceptance(now, &incoming) {
            self.advance_to(now);
            self.admission
                .capture_answer(self.now, &incoming, &answer, by);
            self.count_answer(incoming.class, &answer);
            let origin = incoming.origin;
            self.effects.push(Effect::Answer { origin, answer });
            return;
        }
        // Every entry point passes all pending events on, so this one need not wait for others.
        debug_assert!(!self.admission.has_pending(), "no event is left over");
        let class_deadline = self.settings.classes[incoming.class].deadline;
        let deadline = incoming
            .deadline
            .unwrap_or(incoming.arrived_at + class_deadline);
        let origin = Some(incoming.origin);
        let request = OpenRequest {
            incoming,
            deadline: deadline - DEADLINE_MARGIN,
            origin,
            duplicate_of: None,
            stage: Stage::Queued,
        };
        let event = self.open_request(now, request);
        self.step(now, &[event]);
        self.process_pending(now);
    }

    /// Handles the loss of a caller, or a cancellation: the request needs no answer any more.
    pub fn handle_abandoned(&mut self, now: Micros, reference: Reference) {
        let Some(id) = self.requests.id_of(reference) else {
            return;
        };
        if self.requests.take_origin(id).is_none() {
            return;
        }
        self.counters.abandoned += 1;
        if self.requests.get(id).is_some_and(OpenRequest::is_queued) {
            self.close(id);
        }
        self.notify_controller(now, Event::Abandoned(id));
    }

    /// Whether a request of this reference is open, or a run of it may go on.
    pub fn contains_request(&self, reference: Reference) -> bool {
        self.requests.id_of(reference).is_some() || self.store_contains(reference)
    }

    /// Adds a request under a new number; the event that announces it to the controller.
    pub(super) fn open_request(&mut self, now: Micros, mut request: OpenRequest) -> Event {
        let id = self.requests.allocate_id();
        let incoming = &request.incoming;
        let original = incoming
            .idempotency_key
            .as_ref()
            .and_then(|key| self.keys.find_duplicate(key, incoming.arrived_at));
        request.duplicate_of = original.map(|entry| entry.owner);
        let event = Event::Arrived(Request {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            has_key: false,
            timeout: Some(request.deadline - now),
            cost: incoming.cost,
            memory_kb: incoming.memory_kb,
            priority: incoming.priority,
            is_retry: incoming.is_retry,
            is_write: incoming.idempotency_key.is_some(),
            queue_time: (now - incoming.arrived_at).max(0),
            duplicate_of: request.duplicate_of,
        });
        self.admission.capture_request(id, incoming);
        self.timers.schedule(request.deadline, Timer::Deadline(id));
        self.requests.insert(id, request);
        event
    }

    /// The answer to a request that the node itself does not accept. Such a request never runs.
    fn check_acceptance(&self, now: Micros, incoming: &IncomingRequest) -> Option<EarlyAnswer> {
        let has_new_key = incoming
            .idempotency_key
            .as_ref()
            .is_some_and(|key| self.keys.find_duplicate(key, incoming.arrived_at).is_none());
        if has_new_key {
            if let Some(answer) = self.check_unknown_key(now, incoming.is_retry) {
                let by = AnswerSource::OtherProcess;
                return Some(EarlyAnswer { answer, by });
            }
        }
        let Overload { by, retry_after } = self.check_limits(now, incoming, has_new_key)?;
        let answer = Answer::rejected(self.availability.advised_delay(retry_after));
        Some(EarlyAnswer { answer, by })
    }

    /// The limit that a request exceeds. No entry of a table may be evicted for it, so new work has
    /// to wait.
    fn check_limits(
        &self,
        now: Micros,
        incoming: &IncomingRequest,
        has_new_key: bool,
    ) -> Option<Overload> {
        if !self.admission.is_started() {
            Some(Overload::new(AnswerSource::ProcessorNotReady))
        } else if self.is_configuration_expired(now) {
            Some(Overload::new(AnswerSource::StaleSettings))
        } else if self.requests.is_full_for(incoming.bytes()) {
            Some(Overload::new(AnswerSource::MemoryFull))
        } else if has_new_key && self.keys.is_full() {
            Some(Overload::new(AnswerSource::KeysFull))
        } else if has_new_key {
            self.check_store(now)
        } else {
            None
        }
    }
}
