//! Steps of the admission controller, and the execution of its actions.

use crate::admission::PendingEvent;
use crate::core::Core;
use crate::effect::Answer;
use crate::timers::Timer;
use pipitlever_admission::{Action, Event, Micros, RequestId};
use pipitlever_capture::record::AnswerSource;

/// The gauges are queried this long before the controller's timer that uses them.
const GAUGE_LEAD: Micros = 5_000;

impl Core {
    /// Passes all pending events and then this one to the controller.
    pub(super) fn notify_controller(&mut self, now: Micros, event: Event) {
        self.admission.enqueue(event);
        self.process_pending(now);
    }

    /// Passes the pending events to the controller one at a time, since the actions of one event
    /// may determine which attempt the next arrival duplicates.
    pub(super) fn process_pending(&mut self, now: Micros) {
        while let Some(pending) = self.admission.next_pending() {
            let event = match pending {
                PendingEvent::Event(event) => event,
                PendingEvent::Arrival(request) => self.open_request(now, *request),
            };
            self.step(now, &[event]);
        }
    }

    /// Runs a step of the controller and executes its actions. Events that result from the actions
    /// are left pending.
    pub(super) fn step(&mut self, now: Micros, events: &[Event]) {
        self.advance_to(now);
        let actions = self
            .admission
            .step(self.now, events, &self.settings, &self.requests);
        let Some(mut actions) = actions else {
            return;
        };
        for action in actions.drain(..) {
            self.execute(&action);
        }
        self.process_store_events();
        self.admission.recycle(actions);
    }

    /// Executes one action. Actions on requests that are closed have no effect.
    fn execute(&mut self, action: &Action) {
        match *action {
            Action::Run(id) => self.start_run(id),
            Action::ReuseOutcome(id) => self.reuse_outcome(id),
            Action::Reject {
                id,
                retry_after,
                no_retry,
            } => self.reject(id, retry_after, no_retry),
            Action::Fail(id) => self.fail(id),
            Action::RetainKey(id, lifetime) => self.retain_key(id, lifetime),
            Action::ReleaseKey(id) => self.release_key(id),
            Action::PlaceCall(id, timeout) => self.place_call(id, timeout),
            Action::Backpressure(level) => self.availability.load_level = Some(level),
            Action::Health(is_healthy) => self.availability.is_healthy = is_healthy,
            Action::CloseIdle(timeout) => self.availability.idle_timeout = timeout,
            Action::Timer(delay, tag) => {
                let at = self.now + delay;
                self.timers.schedule(at, Timer::Controller(tag));
                self.timers.schedule(at - GAUGE_LEAD, Timer::QueryGauges);
            }
            Action::Cancel(id) => self.stop_run(id),
            // Not issued: `controller_settings` disables skipping, as no protocol has a command
            // for it.
            Action::SkipCall(_) => {}
        }
    }

    /// Answers a request that the controller rejects. The controller may also reject a running
    /// idempotent request; since `Rejected` guarantees that the attempt did not run, such a request
    /// fails instead.
    fn reject(&mut self, id: RequestId, retry_after: Micros, no_retry: bool) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if !request.is_queued() {
            return self.fail(id);
        }
        let retry_after = self.availability.advised_delay(retry_after);
        let answer = Answer::Rejected {
            retry_after,
            no_retry,
        };
        self.answer(id, answer, AnswerSource::AdmissionController);
        self.close(id);
    }

    /// Answers a request with a failure. The request stays open until the end of its run, if it has
    /// one.
    fn fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let is_queued = request.is_queued();
        let timed_out = self.now >= request.deadline;
        self.answer(
            id,
            Answer::Failed { timed_out },
            AnswerSource::AdmissionController,
        );
        if is_queued {
            self.close(id);
        }
    }
}
