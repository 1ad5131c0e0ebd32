//! Duplicates: attempts with the idempotency key of another attempt. They wait for the outcome of
//! that attempt, or are answered with the cached outcome.

use crate::core::Core;
use crate::effect::Answer;
use crate::idempotency_table::{CachedOutcome, WindowOrigin};
use pipitlever_admission::{Event, Micros, Outcome, RequestId};
use pipitlever_capture::record::AnswerSource;
use std::rc::Rc;

impl Core {
    /// Whether a key belongs to a request of another class or body. Such a request is a client
    /// error: the cached outcome does not apply to it, and the key must not run twice.
    pub fn is_key_conflict(&self, key: &str, arrived_at: Micros, payload_digest: u64) -> bool {
        self.keys
            .find_duplicate(key, arrived_at)
            .is_some_and(|entry| entry.payload_digest != payload_digest)
    }

    /// Makes an attempt the owner of its key for `lifetime` microseconds.
    pub(super) fn retain_key(&mut self, id: RequestId, lifetime: Micros) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let incoming = &request.incoming;
        if let Some(key) = &incoming.idempotency_key {
            // A waiting duplicate may become a request of its own under the class definition that it
            // arrived with.
            let window = self.window_in_force(incoming.class);
            let window_end = self.now + lifetime.max(window);
            let window_origin = WindowOrigin {
                class: self.classes.shared_name(incoming.class),
                start: self.now,
            };
            let (digest, arrived_at) = (incoming.payload_digest, incoming.arrived_at);
            self.keys
                .retain(key, id, digest, arrived_at, window_end, window_origin);
        }
    }

    /// Answers a duplicate with the cached outcome, or adds it to those waiting for the outcome.
    pub(super) fn reuse_outcome(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        self.counters.duplicates += 1;
        let key = request.incoming.idempotency_key.as_deref();
        let original = request.duplicate_of.unwrap_or_default();
        let outcome = match self.keys.owned_entry(key.unwrap_or_default(), original) {
            Some(entry) => match &entry.outcome {
                Some(outcome) => outcome.clone(),
                None => return entry.waiting.push(id),
            },
            None => CachedOutcome::Failed,
        };
        self.answer_duplicate(id, &outcome);
    }

    /// Answers and closes a duplicate with the outcome of the original.
    pub(super) fn answer_duplicate(&mut self, id: RequestId, outcome: &CachedOutcome) {
        let (answer, outcome) = match outcome {
            CachedOutcome::Served(result) => (Answer::Served(result.clone()), Outcome::Success),
            CachedOutcome::Failed => (Answer::Failed { timed_out: false }, Outcome::Error),
            CachedOutcome::Unknown { window_end } => {
                let retry_after = (window_end - self.now).max(0);
                (Answer::Unknown { retry_after }, Outcome::Error)
            }
        };
        self.answer(id, answer, AnswerSource::Duplicate);
        self.close(id);
        self.admission.enqueue(Event::Finished {
            id,
            elapsed: 0,
            outcome,
        });
    }

    /// Caches the outcome of a keyed run and answers the duplicates that wait for it. Without an
    /// outcome the run was never started: the key is released, and waiting duplicates get the
    /// answer of the original.
    pub(super) fn share_outcome(
        &mut self,
        key: &Rc<str>,
        owner: RequestId,
        outcome: Option<CachedOutcome>,
        answer: &Answer,
    ) {
        if self.keys.owned_entry(key, owner).is_none() {
            return;
        }
        match outcome {
            Some(outcome) => self.cache_and_answer_waiting(key, &outcome),
            None => {
                let entry = self.keys.remove(key);
                let waiting = entry.map(|entry| entry.waiting).unwrap_or_default();
                self.release_waiting(waiting, Some(answer));
            }
        }
    }

    /// Caches the outcome of a key and answers the duplicates that wait for it.
    pub(super) fn cache_and_answer_waiting(&mut self, key: &Rc<str>, outcome: &CachedOutcome) {
        let waiting = self.keys.take_waiting(key).unwrap_or_default();
        self.keys.cache_outcome(key, outcome.clone());
        for id in waiting {
            self.answer_duplicate(id, outcome);
        }
    }

    /// Releases the key of an attempt that the controller has removed before its run.
    pub(super) fn release_key(&mut self, id: RequestId) {
        // The attempt may have been closed by its answer, so its key is looked up by the owner.
        let Some(key) = self.keys.owned_key(id) else {
            return;
        };
        let is_started = self
            .keys
            .owned_entry(&key, id)
            .is_some_and(|entry| entry.is_started);
        if is_started {
            return;
        }
        let entry = self.keys.remove(&key);
        let waiting = entry.map(|entry| entry.waiting).unwrap_or_default();
        self.release_waiting(waiting, None);
    }

    /// Handles duplicates of an attempt that never ran. They are answered with `rejection`, or
    /// without one they are passed to the controller again as requests of their own.
    pub(super) fn release_waiting(&mut self, waiting: Vec<RequestId>, rejection: Option<&Answer>) {
        for id in waiting {
            self.admission.enqueue(Event::Finished {
                id,
                elapsed: 0,
                outcome: Outcome::Error,
            });
            if let Some(answer) = rejection {
                self.answer(id, answer.clone(), AnswerSource::Duplicate);
            }
            if let Some(request) = self.close(id).filter(|request| request.origin.is_some()) {
                self.admission.enqueue_arrival(request);
            }
        }
    }
}
