//! Runs: begun, stopped, ended.

use super::*;

impl Core {
    pub(super) fn run(&mut self, id: RequestId) {
        if self.is_configuration_expired(self.now) {
            return self.unrun(id);
        }
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let keyed = self.settings.classes[attempt.incoming.class].idempotency == Idempotency::Keyed;
        if keyed {
            // No run without the entry that tells its repeats apart, and none on another try's
            // entry.
            let key = attempt
                .incoming
                .idempotency_key
                .as_deref()
                .unwrap_or_default();
            let Some(entry) = self.keys.held_by(key, id).filter(|e| !e.begun) else {
                let ended = Event::Finished {
                    id,
                    elapsed: 0,
                    outcome: Outcome::NotStarted,
                };
                self.pending.push_back(Pending::Event(ended));
                self.answer(id, Answer::Failed { timed_out: false }, By::NoKey);
                self.close(id);
                return;
            };
            entry.begun = true;
        }
        attempt.stage = Stage::Running {
            since: self.now,
            call: None,
            answered_again: false,
        };
        if !keyed || !self.intend(id) {
            self.begin(id);
        }
    }

    /// What was held under a version that may be stale by now is not started: it never ran, and its
    /// key is free again.
    pub(super) fn unrun(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let key = attempt.incoming.idempotency_key.clone();
        let answer = Answer::Rejected {
            retry_after: self.keep_away(FULL_COOLDOWN),
            no_retry: false,
        };
        self.answer(id, answer.clone(), By::Floor);
        self.close(id);
        self.pending.push_back(Pending::Event(Event::Finished {
            id,
            elapsed: 0,
            outcome: Outcome::NotStarted,
        }));
        if let Some(key) = key {
            self.settle(&key, id, None, answer);
        }
    }

    /// The run goes out.
    pub(super) fn begin(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let incoming = &attempt.incoming;
        self.counters.runs += 1;
        self.classes.counters_mut(incoming.class).forwarded += 1;
        let keyed = incoming.idempotency_key.is_some();
        // A repeat may still want the outcome of a keyed run when its first caller does not.
        let class = &self.settings.classes[incoming.class];
        let until = if keyed {
            attempt
                .due
                .max(incoming.arrived_at + class.idempotency_window)
        } else {
            attempt.due
        };
        let begin = Effect::StartRun {
            reference: incoming.reference,
            class: incoming.class,
            result_deadline: until,
            body: incoming.body.clone(),
        };
        self.effects.push(begin);
    }

    /// Its request is answered, or its caller gone: the run would only take the cores from others.
    /// It stays in the table until its end is told, which may also be that it had just ended well.
    pub(super) fn interrupt(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.origin.is_none() && matches!(attempt.stage, Stage::Running { .. }) {
            self.counters.runs_stopped += 1;
            let IncomingRequest {
                reference, class, ..
            } = attempt.incoming;
            self.effects.push(Effect::StopRun { reference, class });
        }
    }

    /// A run ended. `took` runs from its start, waits included.
    pub fn handle_run_finished(
        &mut self,
        now: Micros,
        reference: Reference,
        end: RunOutcome,
        took: Micros,
        result: Rc<[u8]>,
    ) {
        let Some(&id) = self.by_reference.get(&reference) else {
            return self.earlier_ended(reference, end, &result);
        };
        let attempt = &self.attempts[&id];
        if !matches!(attempt.stage, Stage::Running { .. }) {
            return;
        }
        self.now = self.now.max(now);
        if attempt.incoming.idempotency_key.is_some() && self.outcome(reference, end, took, &result)
        {
            return;
        }
        let by = if end == RunOutcome::NotStarted {
            By::Rejected
        } else {
            By::Run
        };
        self.ended(id, end, took, result, by);
        self.pump(now);
    }

    /// A run is over, or will never begin: its request is answered and closed. What the module is
    /// to hear of it is pending.
    pub(super) fn ended(
        &mut self,
        id: RequestId,
        end: RunOutcome,
        took: Micros,
        result: Rc<[u8]>,
        by: By,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Stage::Running { call, .. } = &attempt.stage else {
            return;
        };
        let reference = attempt.incoming.reference;
        if call.as_ref().is_some_and(|c| c.placed.is_some()) {
            self.effects.push(Effect::CancelCall { reference });
        }
        let key = attempt.incoming.idempotency_key.clone();
        // A result too long to be passed on can't be kept either.
        let end = if end == RunOutcome::Completed && result.len() > self.most_result {
            RunOutcome::Failed
        } else {
            end
        };
        let (outcome, answer, kept) = match end {
            RunOutcome::Completed => {
                self.counters.runs_completed += 1;
                (
                    Outcome::Success,
                    Answer::Served(result.clone()),
                    Some(Kept::Served(result)),
                )
            }
            RunOutcome::Failed => (
                Outcome::Error,
                Answer::Failed { timed_out: false },
                Some(Kept::Failed),
            ),
            RunOutcome::Aborted => (
                Outcome::Cancelled,
                Answer::Failed { timed_out: false },
                Some(Kept::Failed),
            ),
            RunOutcome::NotStarted => (
                Outcome::NotStarted,
                Answer::Rejected {
                    retry_after: FULL_COOLDOWN,
                    no_retry: false,
                },
                None,
            ),
        };
        self.answer(id, answer.clone(), by);
        self.close(id);
        self.pending.push_back(Pending::Event(Event::Finished {
            id,
            elapsed: took,
            outcome,
        }));
        if let Some(key) = key {
            self.settle(&key, id, kept, answer);
        }
    }
}
