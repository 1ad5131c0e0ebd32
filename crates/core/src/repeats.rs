//! Repeats of a key: they join the try that has it, or get the outcome that is kept of it.

use super::*;

impl Core {
    /// Whether this key stands for another body or class. That is its client's error: the outcome
    /// of the other request is not this one's, and a second run under the key would break its
    /// promise.
    pub fn is_key_conflict(&self, key: &str, arrived: Micros, payload: u64) -> bool {
        self.keys
            .repeated(key, arrived)
            .is_some_and(|e| e.payload != payload)
    }

    /// A repeat joins the try that has its key, or gets the outcome that is kept of it.
    pub(super) fn reuse(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        self.counters.duplicates += 1;
        let key = attempt
            .incoming
            .idempotency_key
            .clone()
            .unwrap_or_else(|| Rc::from(""));
        let holder = attempt.repeats.unwrap_or_default();
        let kept = match self.keys.held_by(&key, holder) {
            Some(entry) if entry.kept.is_none() => return entry.waiting.push(id),
            Some(entry) => entry.kept.clone().expect("seen above"),
            None => Kept::Failed,
        };
        self.share(id, &kept);
    }

    /// Gives a repeat the outcome of the try that it repeats.
    pub(super) fn share(&mut self, id: RequestId, kept: &Kept) {
        let (answer, outcome) = match kept {
            Kept::Served(result) => (Answer::Served(result.clone()), Outcome::Success),
            Kept::Failed => (Answer::Failed { timed_out: false }, Outcome::Error),
            Kept::Unknown(until) => (
                Answer::Unknown {
                    retry_after: (until - self.now).max(0),
                },
                Outcome::Error,
            ),
        };
        self.answer(id, answer, By::Repeat);
        self.close(id);
        self.pending.push_back(Pending::Event(Event::Finished {
            id,
            elapsed: 0,
            outcome,
        }));
    }

    /// A keyed run ended: its outcome is kept, and goes to those that wait for it.
    pub(super) fn settle(&mut self, key: &str, id: RequestId, kept: Option<Kept>, answer: Answer) {
        let Some(kept) = kept else {
            // It never ran, so its entry must not stand for a run.
            if self.keys.held_by(key, id).is_some() {
                let entry = self.keys.remove(key).expect("held");
                self.release(entry.waiting, Some(answer));
            }
            return;
        };
        let Some(entry) = self.keys.held_by(key, id) else {
            return;
        };
        let waiting = std::mem::take(&mut entry.waiting);
        self.keys.ended(key, kept.clone());
        for id in waiting {
            self.share(id, &kept);
        }
    }

    /// The module dropped a try that never ran: its key is free again.
    pub(super) fn forget(&mut self, id: RequestId) {
        // The request itself may have been closed by its answer, so the entry is looked for by its
        // holder.
        let Some(key) = self.keys.key_of(id) else {
            return;
        };
        if self.keys.held_by(&key, id).is_some_and(|e| e.begun) {
            return;
        }
        let entry = self.keys.remove(&key).expect("held");
        self.release(entry.waiting, None);
    }

    /// Repeats of a try that never ran: refused along with it, or offered to the module as what
    /// they now are, requests of their own that came when they came.
    pub(super) fn release(&mut self, waiting: Vec<RequestId>, refusal: Option<Answer>) {
        for id in waiting {
            self.pending.push_back(Pending::Event(Event::Finished {
                id,
                elapsed: 0,
                outcome: Outcome::Error,
            }));
            if let Some(answer) = &refusal {
                self.answer(id, answer.clone(), By::Repeat);
            }
            if let Some(attempt) = self.close(id).filter(|a| a.origin.is_some()) {
                self.taken += attempt.incoming.bytes();
                self.pending.push_back(Pending::Offer(Box::new(attempt)));
            }
        }
    }
}
