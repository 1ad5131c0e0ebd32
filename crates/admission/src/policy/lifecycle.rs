//! The lifecycle of admitted requests: calls, ends of runs, abandonment, failure and cancellation.

use super::controller::{Controller, RequestEntry};
use super::latency::SMOOTHING;
use crate::interface::{
    Action, CancellationMode, Cause, Idempotency, Micros, Outcome, RequestId, Stage,
};

impl Controller {
    /// Handles the end of a run, or of the reuse of an outcome.
    pub(super) fn handle_finished(&mut self, id: RequestId, elapsed: Micros, outcome: Outcome) {
        let Some(entry) = self.requests.remove(&id) else {
            return;
        };
        if entry.stage == Stage::AwaitingOriginal {
            self.memory.requests_kb -= entry.memory_kb;
            return;
        }
        self.memory.requests_kb -= entry.memory_kb * self.settings.run_memory_factor;
        if entry.stage == Stage::InCall {
            self.calls
                .record_end(&self.settings, self.now, elapsed as f64, Outcome::Cancelled);
        }
        if outcome == Outcome::NotStarted {
            // There is no run to measure, and no outcome for duplicates.
            self.memory.release_key(id);
            return;
        }
        if outcome == Outcome::Success || outcome == Outcome::Error {
            self.stall.record_progress(self.now);
        }
        self.record_run(&entry, elapsed, outcome);
    }

    fn record_run(&mut self, entry: &RequestEntry, elapsed: Micros, outcome: Outcome) {
        // `off_core_time` contains minus the total duration of the stalls before the start, so this
        // subtracts the waits for calls and the stalls during the run.
        let core_time = elapsed - entry.off_core_time - self.stall.total_stalled;
        let core_time = core_time.max(1) as f64;
        let run = &mut self.concurrency;
        if outcome == Outcome::Success && !entry.is_answered {
            let class = &mut self.class_statistics[entry.class];
            class.run_time.record(elapsed as f64);
            class.core_time.record(core_time);
            class.cost.record(entry.cost);
            // The expected time is scaled by cost, so that a large request does not count as slow.
            let expected = class.core_time.best * class.relative_cost(entry.cost);
            let stretch = core_time / expected.max(1.0);
            run.stretch += SMOOTHING * (stretch - run.stretch);
        }
        let success = if outcome == Outcome::Success {
            1.0
        } else {
            0.0
        };
        run.success_rate += SMOOTHING * (success - run.success_rate);
        // Runs that fail immediately would make the cores look fast and attract more requests.
        if outcome != Outcome::Error {
            run.mean_core_time += SMOOTHING * (core_time - run.mean_core_time);
        }
    }

    /// Handles a caller that no longer waits for its answer.
    pub(super) fn handle_abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        entry.is_answered = true;
        let (stage, class) = (entry.stage, entry.class);
        match stage {
            Stage::Queued | Stage::AwaitingOriginal => self.remove_unstarted(id, actions),
            Stage::Running | Stage::AwaitingCall | Stage::InCall => {
                // Duplicates of a keyed request can still need its outcome.
                if self.class(class).idempotency != Idempotency::Keyed {
                    self.cancel(id, actions);
                }
            }
        }
    }

    /// Handles a run that needs its downstream call in order to continue.
    pub(super) fn handle_needs_call(&mut self, id: RequestId) {
        self.stall.record_progress(self.now);
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.stage = Stage::AwaitingCall;
            entry.needs_call_since = self.now;
        }
    }

    /// Handles the end of a downstream call: the request continues, waits for another call, or
    /// fails.
    pub(super) fn handle_call_ended(
        &mut self,
        id: RequestId,
        elapsed: Micros,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if entry.stage != Stage::InCall {
            return;
        }
        self.calls
            .record_end(&self.settings, self.now, elapsed as f64, outcome);
        let class = &self.settings.classes[entry.class];
        let may_repeat = match outcome {
            Outcome::Rejected | Outcome::Unreachable => true,
            // The call may have run, which an idempotent class tolerates.
            Outcome::Reset => class.idempotency == Idempotency::Idempotent,
            _ => false,
        };
        let is_skipped = !may_repeat && class.skip_call_weight > 0.0;
        if outcome == Outcome::Success || is_skipped {
            entry.stage = Stage::Running;
            entry.off_core_time += self.now - entry.needs_call_since;
            if outcome != Outcome::Success {
                actions.push(Action::SkipCall(id));
            }
        } else if may_repeat {
            entry.stage = Stage::AwaitingCall;
        } else {
            entry.stage = Stage::AwaitingCall;
            if !entry.is_answered {
                self.fail(id, Cause::CallFailed(outcome), actions);
            }
        }
    }

    /// Removes a request that never started, and releases the key that it retained. A duplicate
    /// that awaits its original retains no key of its own.
    pub(super) fn remove_unstarted(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.remove(&id) else {
            return;
        };
        self.memory.requests_kb -= entry.memory_kb;
        if entry.has_retained_key && entry.stage == Stage::Queued {
            self.memory.release_key(id);
            actions.push(Action::ReleaseKey(id));
        }
        if self.queued.remove(&id) {
            self.update_modes();
        }
    }

    /// Answers a request with an error. A queued request has not run; in the other stages, the
    /// request or its original may have run.
    pub(super) fn fail(&mut self, id: RequestId, cause: Cause, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        self.causes.push((id, cause));
        entry.is_answered = true;
        actions.push(Action::Fail(id));
        match entry.stage {
            Stage::Queued | Stage::AwaitingOriginal => self.remove_unstarted(id, actions),
            Stage::Running => self.cancel(id, actions),
            Stage::AwaitingCall | Stage::InCall => {}
        }
    }

    /// Cancels a run, where the host supports that.
    pub(super) fn cancel(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.settings.cancellation != CancellationMode::Unsupported {
            actions.push(Action::Cancel(id));
        }
    }
}
