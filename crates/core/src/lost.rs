//! Commands that a broken link may have swallowed, and those that the processor did not carry out.

use super::*;

impl Core {
    /// Whether a run that is no longer wanted may go on for all that is known: it is to be stopped
    /// once more.
    pub fn may_resend_stop(&self, reference: Reference) -> bool {
        let attempt = self
            .by_reference
            .get(&reference)
            .map(|id| &self.attempts[id]);
        attempt.is_some_and(|a| a.origin.is_none() && matches!(a.stage, Stage::Running { .. }))
    }

    /// Whether a start that may not have been read may go out again: nothing was heard of the run,
    /// and somebody waits for it. All notices so far are known. Safe classes alone, as the run may
    /// end just now.
    pub fn may_resend_start(&self, reference: Reference) -> bool {
        let attempt = self
            .by_reference
            .get(&reference)
            .map(|id| &self.attempts[id]);
        attempt.is_some_and(|a| {
            let free =
                self.settings.classes[a.incoming.class].idempotency == Idempotency::Idempotent;
            free && a.origin.is_some() && matches!(a.stage, Stage::Running { call: None, .. })
        })
    }

    /// Whether the reply to a call may go out again that may not have been read: the run has
    /// neither ended nor asked for more. If it was read after all, the processor rejects the second
    /// one, which then means nothing.
    pub fn may_resend_reply(&mut self, reference: Reference) -> bool {
        let Some(id) = self.by_reference.get(&reference) else {
            return false;
        };
        match &mut self.attempts.get_mut(id).expect("both tables agree").stage {
            Stage::Running {
                call: None,
                answered_again,
                ..
            } => {
                *answered_again = true;
                true
            }
            _ => false,
        }
    }

    /// The processor did not carry out a command for this request. A start that it rejects never
    /// ran: it goes out a second time only in classes where that makes no difference. A stop that
    /// it rejects came too late.
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
        let start = command == RejectedCommand::Start;
        let Some(&id) = self.by_reference.get(&reference) else {
            return;
        };
        let Stage::Running {
            since,
            answered_again,
            ..
        } = self.attempts[&id].stage
        else {
            return;
        };
        if start {
            self.handle_run_finished(
                now,
                reference,
                RunOutcome::NotStarted,
                (now - since).max(0),
                Rc::from([]),
            );
        } else if !answered_again {
            self.now = self.now.max(now);
            self.answer(id, Answer::Failed { timed_out: false }, By::Rejected);
            self.tell(now, Event::Abandoned(id));
        }
    }
}
