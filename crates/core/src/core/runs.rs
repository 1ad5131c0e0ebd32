//! Start, stop and end of runs.

use crate::core::{Core, OVERLOAD_RETRY_AFTER};
use crate::effect::{Answer, Effect, RunOutcome};
use crate::idempotency_table::CachedOutcome;
use crate::request::Reference;
use crate::request_table::{Run, Stage};
use pipitlever_admission::{Event, Idempotency, Micros, Outcome, RequestId};
use pipitlever_capture::record::AnswerSource;
use std::rc::Rc;

/// The end of a run.
pub(super) struct FinishedRun {
    pub(super) outcome: RunOutcome,
    /// Time since the run's start, including waits for calls, in microseconds.
    pub(super) elapsed: Micros,
    pub(super) result: Rc<[u8]>,
}

/// The consequences of the end of a run.
struct Conclusion {
    /// The outcome reported to the controller.
    outcome: Outcome,
    /// The answer to the caller.
    answer: Answer,
    /// The outcome cached for duplicates; `None` if the key has not run.
    cached: Option<CachedOutcome>,
}

impl FinishedRun {
    /// A run that was never started.
    pub(super) fn not_started() -> FinishedRun {
        FinishedRun {
            outcome: RunOutcome::NotStarted,
            elapsed: 0,
            result: Rc::from([]),
        }
    }
}

impl Core {
    /// Starts a run as decided by the controller. With a store, a keyed run is dispatched once its
    /// intent is durable.
    pub(super) fn start_run(&mut self, id: RequestId) {
        if self.is_configuration_expired(self.now) {
            return self.reject_unstarted(id);
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let class = &self.settings.classes[request.incoming.class];
        let is_keyed = class.idempotency == Idempotency::Keyed;
        if is_keyed {
            // Without an entry, duplicates could not be distinguished from new requests. An entry
            // owned by another attempt belongs to the run of that attempt.
            let key = request.incoming.idempotency_key.as_deref();
            let entry = self.keys.owned_entry(key.unwrap_or_default(), id);
            let Some(entry) = entry.filter(|entry| !entry.is_started) else {
                return self.fail_without_key(id);
            };
            entry.is_started = true;
        }
        request.stage = Stage::Running(Run {
            started_at: self.now,
            call: None,
            is_reply_resent: false,
        });
        if !is_keyed || !self.write_intent(id) {
            self.dispatch_run(id);
        }
    }

    /// Sends the start of a run.
    pub(super) fn dispatch_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let incoming = &request.incoming;
        self.counters.runs += 1;
        self.classes.counters_mut(incoming.class).forwarded += 1;
        // A duplicate may use the outcome of a keyed run after the deadline of the first caller.
        let result_deadline = if incoming.idempotency_key.is_some() {
            let window = self.window_in_force(incoming.class);
            request.deadline.max(incoming.arrived_at + window)
        } else {
            request.deadline
        };
        self.effects.push(Effect::StartRun {
            reference: incoming.reference,
            class: incoming.class,
            result_deadline,
            body: incoming.body.clone(),
        });
    }

    /// Stops the run of a request that is answered or abandoned. The request stays open until the
    /// end of the run is reported. The run may still succeed if it ends before the stop is read.
    pub(super) fn stop_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.origin.is_none() && request.is_running() {
            self.counters.runs_stopped += 1;
            self.effects.push(Effect::StopRun {
                reference: request.incoming.reference,
                class: request.incoming.class,
            });
        }
    }

    /// Handles the end of a run. `elapsed` is the time since its start, including waits for calls,
    /// in microseconds.
    pub fn handle_run_finished(
        &mut self,
        now: Micros,
        reference: Reference,
        outcome: RunOutcome,
        elapsed: Micros,
        result: Rc<[u8]>,
    ) {
        let Some(id) = self.requests.id_of(reference) else {
            return self.finish_earlier_run(reference, outcome, &result);
        };
        let Some(request) = self.requests.get(id).filter(|r| r.is_running()) else {
            return;
        };
        let has_key = request.incoming.idempotency_key.is_some();
        self.advance_to(now);
        let run = FinishedRun {
            outcome,
            elapsed,
            result,
        };
        if has_key && self.write_outcome(reference, &run) {
            return;
        }
        let source = if outcome == RunOutcome::NotStarted {
            AnswerSource::ProcessorRejected
        } else {
            AnswerSource::Run
        };
        self.finish_run(id, run, source);
        self.process_pending(now);
    }

    /// Answers and closes a request whose run has ended or will not be started. The event for the
    /// controller is left pending.
    pub(super) fn finish_run(&mut self, id: RequestId, run: FinishedRun, source: AnswerSource) {
        let Some(request) = self.requests.get(id).filter(|r| r.is_running()) else {
            return;
        };
        if request.call_expiry().is_some() {
            let reference = request.incoming.reference;
            self.effects.push(Effect::CancelCall { reference });
        }
        let key = request.incoming.idempotency_key.clone();
        let Conclusion {
            outcome,
            answer,
            cached,
        } = self.conclude(run.outcome, run.result);
        self.answer(id, answer.clone(), source);
        self.close(id);
        self.admission.enqueue(Event::Finished {
            id,
            elapsed: run.elapsed,
            outcome,
        });
        if let Some(key) = key {
            self.share_outcome(&key, id, cached, &answer);
        }
    }

    /// Counts a completed run, and determines the consequences of the end of a run.
    fn conclude(&mut self, outcome: RunOutcome, result: Rc<[u8]>) -> Conclusion {
        let failed = |outcome| Conclusion {
            outcome,
            answer: Answer::Failed { timed_out: false },
            cached: Some(CachedOutcome::Failed),
        };
        match outcome {
            RunOutcome::Completed if result.len() <= self.keys.max_result_bytes() => {
                self.counters.runs_completed += 1;
                Conclusion {
                    outcome: Outcome::Success,
                    answer: Answer::Served(result.clone()),
                    cached: Some(CachedOutcome::Served(result)),
                }
            }
            // A result beyond the limit can be neither returned nor cached.
            RunOutcome::Completed | RunOutcome::Failed => failed(Outcome::Error),
            RunOutcome::Aborted => failed(Outcome::Cancelled),
            RunOutcome::NotStarted => Conclusion {
                outcome: Outcome::NotStarted,
                answer: Answer::rejected(OVERLOAD_RETRY_AFTER),
                cached: None,
            },
        }
    }

    /// Rejects a queued request because the configuration under which it was admitted may be stale.
    /// The request has not run, and its key is released.
    fn reject_unstarted(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let key = request.incoming.idempotency_key.clone();
        let answer = Answer::rejected(self.availability.advised_delay(OVERLOAD_RETRY_AFTER));
        self.answer(id, answer.clone(), AnswerSource::StaleSettings);
        self.close(id);
        self.enqueue_not_started(id);
        if let Some(key) = key {
            self.share_outcome(&key, id, None, &answer);
        }
    }

    /// Fails a keyed request that owns no entry, or whose entry belongs to an earlier run.
    fn fail_without_key(&mut self, id: RequestId) {
        self.enqueue_not_started(id);
        self.answer(
            id,
            Answer::Failed { timed_out: false },
            AnswerSource::KeyEntryMissing,
        );
        self.close(id);
    }

    fn enqueue_not_started(&mut self, id: RequestId) {
        self.admission.enqueue(Event::Finished {
            id,
            elapsed: 0,
            outcome: Outcome::NotStarted,
        });
    }
}
