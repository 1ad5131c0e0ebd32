//! Timers: deadlines of requests and calls, and the timers of the admission controller.

use crate::core::Core;
use crate::effect::{Answer, Effect};
use crate::gauges::Gauges;
use crate::request_table::OpenRequest;
use crate::timers::Timer;
use pipitlever_admission::{Event, Micros, RequestId};
use pipitlever_capture::record::AnswerSource;

impl Core {
    /// When [`Core::handle_wakeup`] has to be called next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let timer = self.timers.next_expiry();
        [timer, self.next_store_timeout()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles all timers that have expired.
    pub fn handle_wakeup(&mut self, now: Micros) {
        self.keys.expire(now);
        self.handle_store_timeouts(now);
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::QueryGauges => self.effects.push(Effect::QueryGauges),
                Timer::Controller(tag) => self.handle_controller_timer(now, tag),
                Timer::Deadline(id) => self.handle_deadline(now, id),
                Timer::CallTimeout(id) => self.handle_call_timeout(now, id),
                Timer::CallRejection(id) => self.handle_call_rejection(now, id),
            }
        }
    }

    /// Stores the gauges that the processor has reported.
    pub fn update_gauges(&mut self, now: Micros, gauges: Gauges) {
        self.gauges.update(now, gauges);
    }

    fn handle_controller_timer(&mut self, now: Micros, tag: u64) {
        let Gauges {
            cpu_utilization,
            runnable,
            memory_utilization,
            connections,
        } = self
            .gauges
            .read(now, || self.requests.running(), self.settings.cores);
        let event = Event::Timer {
            tag,
            cpu_utilization,
            runnable,
            memory_utilization,
            connections,
        };
        self.notify_controller(now, event);
    }

    /// Handles the deadline of a request. The controller normally answers the request in a step; if
    /// it does not, the request fails here.
    fn handle_deadline(&mut self, now: Micros, id: RequestId) {
        if !self.is_id_unanswered(id) {
            return;
        }
        self.step(now, &[]);
        self.process_pending(now);
        if !self.is_id_unanswered(id) {
            return;
        }
        let is_queued = self.requests.get(id).is_some_and(OpenRequest::is_queued);
        self.answer(
            id,
            Answer::Failed { timed_out: true },
            AnswerSource::DeadlineExceeded,
        );
        if is_queued {
            self.close(id);
        }
        self.notify_controller(now, Event::Abandoned(id));
    }

    fn is_id_unanswered(&self, id: RequestId) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| request.origin.is_some())
    }
}
