//! Arrival of requests, and their abandonment by callers.

use crate::core::Core;
use crate::effect::{Answer, Effect};
use crate::request::{IncomingRequest, Reference};
use crate::request_table::{OpenRequest, Stage};
use crate::timers::Timer;
use pipitlever_admission::{Event, Micros, Request};
use pipitlever_capture::record::AnswerSource;

/// An answer is sent at least this long before the caller's deadline, so that it arrives in time.
const DEADLINE_MARGIN: Micros = 10_000;
/// The default retry delay that is advised when the node itself rejects a request, in microseconds.
pub const OVERLOAD_RETRY_AFTER: Micros = 200_000;

/// An answer to a request that was not passed to the controller.
struct EarlyAnswer {
    answer: Answer,
    source: AnswerSource,
}

/// A rejection by the node itself: of a request that is not passed to the controller.
pub(super) struct NodeRejection {
    /// The reason, as recorded in a capture.
    pub(super) source: AnswerSource,
    /// The advised retry delay, in microseconds.
    pub(super) retry_after: Micros,
}

impl NodeRejection {
    /// A rejection with the default retry delay.
    pub(super) fn new(source: AnswerSource) -> NodeRejection {
        let retry_after = OVERLOAD_RETRY_AFTER;
        NodeRejection {
            source,
            retry_after,
        }
    }
}

impl Core {
    /// Handles a request. It is answered exactly once from here on, unless its caller abandons it.
    pub fn handle_request(&mut self, now: Micros, incoming: IncomingRequest) {
        self.counters.requests += 1;
        if let Some(EarlyAnswer { answer, source }) = self.check_acceptance(now, &incoming) {
            self.advance_to(now);
            self.admission
                .capture_answer(self.now, &incoming, &answer, source);
            self.count_answer(incoming.class, &answer);
            let origin = incoming.origin;
            self.effects.push(Effect::Answer { origin, answer });
            return;
        }
        // Every entry point processes all pending events before it returns, so the arrival can be
        // passed to the controller directly.
        debug_assert!(
            !self.admission.has_pending(),
            "an earlier entry point left controller events pending"
        );
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

    /// Counts a request that was read after its caller had disconnected. It is not handled.
    pub fn count_unread_request(&mut self) {
        self.counters.requests += 1;
        self.counters.abandoned += 1;
    }

    /// Handles the disconnection of a caller, or a cancellation: the request is not answered.
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

    /// Whether a request of this reference is open, or a run of it may still be in progress.
    pub fn contains_request(&self, reference: Reference) -> bool {
        self.requests.id_of(reference).is_some() || self.store_contains(reference)
    }

    /// Adds a request under a new number, and returns the arrival event for the controller.
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

    /// The answer to a request that is not passed to the controller; `None` if the request is
    /// accepted.
    fn check_acceptance(&self, now: Micros, incoming: &IncomingRequest) -> Option<EarlyAnswer> {
        let has_new_key = incoming
            .idempotency_key
            .as_ref()
            .is_some_and(|key| self.keys.find_duplicate(key, incoming.arrived_at).is_none());
        if has_new_key {
            if let Some(answer) = self.check_unknown_key(now, incoming.is_retry) {
                let source = AnswerSource::OtherProcess;
                return Some(EarlyAnswer { answer, source });
            }
        }
        let NodeRejection {
            source,
            retry_after,
        } = self.check_node_state(now, incoming, has_new_key)?;
        let answer = Answer::rejected(self.availability.advised_delay(retry_after));
        Some(EarlyAnswer { answer, source })
    }

    /// The rejection of a request by the state of the node, if there is one. Table entries are never
    /// evicted to admit a request.
    fn check_node_state(
        &self,
        now: Micros,
        incoming: &IncomingRequest,
        has_new_key: bool,
    ) -> Option<NodeRejection> {
        if !self.admission.is_started() {
            Some(NodeRejection::new(AnswerSource::ProcessorNotReady))
        } else if self.is_configuration_expired(now) {
            Some(NodeRejection::new(AnswerSource::StaleSettings))
        } else if self.requests.is_full_for(incoming.bytes()) {
            Some(NodeRejection::new(AnswerSource::MemoryFull))
        } else if has_new_key && self.keys.is_full() {
            Some(NodeRejection::new(AnswerSource::KeysFull))
        } else if has_new_key {
            self.check_store(now)
        } else {
            None
        }
    }
}
