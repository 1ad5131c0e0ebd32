//! Calls to the downstream layer that a run waits for.

use crate::core::Core;
use crate::effect::Effect;
use crate::request::Reference;
use crate::request_table::{Call, CallState};
use crate::timers::Timer;
use pipitlever_admission::{Event, Micros, Outcome, RequestId};
use std::rc::Rc;

/// A call is cancelled this long after its deadline, since the downstream layer answers by the
/// deadline.
const CALL_GRACE: Micros = 50_000;
/// Limit on the timeout that the controller sets for a call, in microseconds.
const MAX_CALL_TIMEOUT: Micros = 3_600_000_000;

impl Core {
    /// Handles a run's request for a call. The run is blocked until it receives the reply.
    pub fn handle_call_requested(&mut self, now: Micros, reference: Reference, body: Rc<[u8]>) {
        let Some(id) = self.requests.id_of(reference) else {
            return;
        };
        let Some(run) = self.requests.get_mut(id).and_then(|r| r.run_mut()) else {
            return;
        };
        run.call = Some(Call {
            body,
            state: CallState::Requested,
        });
        run.is_reply_resent = false;
        self.notify_controller(now, Event::NeedsCall(id));
    }

    /// Sends a requested call to the downstream layer, as decided by the controller.
    pub(super) fn place_call(&mut self, id: RequestId, timeout: Micros) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let (reference, request_deadline) = (request.incoming.reference, request.deadline);
        let Some(call) = request.run_mut().and_then(|run| run.call.as_mut()) else {
            return;
        };
        if matches!(call.state, CallState::Placed { .. }) {
            return;
        }
        self.counters.calls += 1;
        let latest = request_deadline.max(self.now);
        let deadline = (self.now + timeout.clamp(0, MAX_CALL_TIMEOUT)).min(latest);
        let expires_at = deadline + CALL_GRACE;
        call.state = CallState::Placed {
            placed_at: self.now,
            expires_at,
        };
        self.timers.schedule(expires_at, Timer::CallTimeout(id));
        self.effects.push(Effect::PlaceCall {
            reference,
            deadline,
            body: call.body.clone(),
        });
    }

    /// Handles the end of a call. `reply` is used only if the call succeeded.
    pub fn handle_call_finished(
        &mut self,
        now: Micros,
        reference: Reference,
        outcome: Outcome,
        reply: Rc<[u8]>,
    ) {
        let Some(id) = self.requests.id_of(reference) else {
            return;
        };
        let Some(run) = self.requests.get_mut(id).and_then(|r| r.run_mut()) else {
            return;
        };
        let Some(call) = &mut run.call else {
            return;
        };
        let CallState::Placed {
            placed_at,
            expires_at,
        } = call.state
        else {
            return;
        };
        self.timers.cancel(expires_at, Timer::CallTimeout(id));
        match outcome {
            Outcome::Success => {
                run.call = None;
                self.counters.calls_completed += 1;
                self.effects.push(Effect::SendReply {
                    reference,
                    body: reply,
                });
            }
            // The controller retries a rejected call immediately. With a peer that rejects or
            // resets within a millisecond, that caused 30,000 calls a second, so the controller is
            // notified only after `call_interval`, as in the simulator.
            Outcome::Rejected | Outcome::Unreachable | Outcome::Reset => {
                call.state = CallState::Rejected { placed_at, outcome };
                let at = now + self.call_interval;
                return self.timers.schedule(at, Timer::CallRejection(id));
            }
            _ => call.state = CallState::Requested,
        }
        self.notify_call_ended(now, id, placed_at, outcome);
    }

    /// Cancels a call that has not ended by its expiry.
    pub(super) fn handle_call_timeout(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.call_expiry().is_some() {
            let reference = request.incoming.reference;
            self.effects.push(Effect::CancelCall { reference });
            self.handle_call_finished(now, reference, Outcome::TimedOut, Rc::from([]));
        }
    }

    /// Notifies the controller of a rejected call, after the delay of one call interval.
    pub(super) fn handle_call_rejection(&mut self, now: Micros, id: RequestId) {
        let run = self.requests.get_mut(id).and_then(|r| r.run_mut());
        let Some(call) = run.and_then(|run| run.call.as_mut()) else {
            return;
        };
        if let CallState::Rejected { placed_at, outcome } = call.state {
            call.state = CallState::Requested;
            self.notify_call_ended(now, id, placed_at, outcome);
        }
    }

    fn notify_call_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        placed_at: Micros,
        outcome: Outcome,
    ) {
        let event = Event::CallEnded {
            id,
            elapsed: (now - placed_at).max(0),
            outcome,
        };
        self.notify_controller(now, event);
    }
}
