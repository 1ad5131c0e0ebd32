//! Resending of processor commands that may have been lost with a connection, and handling of
//! rejected commands.

use crate::core::Core;
use crate::effect::{Answer, RejectedCommand, RunOutcome};
use crate::request::Reference;
use crate::request_table::OpenRequest;
use pipitlever_admission::{Event, Idempotency, Micros};
use pipitlever_capture::record::AnswerSource;
use std::rc::Rc;

impl Core {
    /// Whether a stop may be sent again: the request is answered or abandoned, and its run may
    /// still be in progress.
    pub fn may_resend_stop(&self, reference: Reference) -> bool {
        self.requests
            .by_reference(reference)
            .is_some_and(|request| request.origin.is_none() && request.is_running())
    }

    /// Whether a start may be sent again, once all notices of the lost connection were handled: the
    /// run has neither ended nor requested a call, the request is unanswered, and its class is
    /// idempotent. Other classes are excluded because the run may end while the start is resent.
    pub fn may_resend_start(&self, reference: Reference) -> bool {
        self.requests
            .by_reference(reference)
            .is_some_and(|request| {
                let class = &self.settings.classes[request.incoming.class];
                let is_without_call = request.run().is_some_and(|run| run.call.is_none());
                class.idempotency == Idempotency::Idempotent
                    && request.origin.is_some()
                    && is_without_call
            })
    }

    /// Whether the reply of a call may be sent again, once the processor is known not to have read
    /// it: the run has neither ended nor requested another call. Should the run have read the first
    /// reply nevertheless, the processor rejects the second one, and that rejection is ignored.
    pub fn may_resend_reply(&mut self, reference: Reference) -> bool {
        let Some(id) = self.requests.id_of(reference) else {
            return false;
        };
        match self.requests.get_mut(id).and_then(|r| r.run_mut()) {
            Some(run) if run.call.is_none() => {
                run.is_reply_resent = true;
                true
            }
            _ => false,
        }
    }

    /// Whether a run of this request may be in progress.
    pub fn is_running(&self, reference: Reference) -> bool {
        self.requests
            .by_reference(reference)
            .is_some_and(OpenRequest::is_running)
    }

    /// Whether the caller of this request still waits for an answer.
    pub fn is_unanswered(&self, reference: Reference) -> bool {
        self.requests
            .by_reference(reference)
            .is_some_and(|request| request.origin.is_some())
    }

    /// Ends a run whose start was lost. Its request counts as failed rather than as never run, as
    /// the loss is concluded from the run's silence.
    pub fn end_lost_run(&mut self, now: Micros, reference: Reference) {
        self.handle_run_finished(now, reference, RunOutcome::Failed, 0, Rc::from([]));
    }

    /// Handles a command that the processor rejected. After a rejected start, the request has not
    /// run. A rejected stop has no effect, as the run ended before the processor read the stop.
    pub fn handle_command_rejected(
        &mut self,
        now: Micros,
        reference: Reference,
        command: RejectedCommand,
    ) {
        self.counters.rejected_commands += 1;
        if command == RejectedCommand::Stop {
            return;
        }
        let Some(id) = self.requests.id_of(reference) else {
            return;
        };
        let Some(run) = self.requests.get(id).and_then(|request| request.run()) else {
            return;
        };
        if command == RejectedCommand::Start {
            let elapsed = (now - run.started_at).max(0);
            let outcome = RunOutcome::NotStarted;
            self.handle_run_finished(now, reference, outcome, elapsed, Rc::from([]));
        } else if !run.is_reply_resent {
            self.advance_to(now);
            self.answer(
                id,
                Answer::Failed { timed_out: false },
                AnswerSource::ProcessorRejected,
            );
            self.notify_controller(now, Event::Abandoned(id));
        }
    }
}
