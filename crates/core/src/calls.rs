//! Calls that a run waits for.

use super::*;

impl Core {
    /// A run cannot go on without a call.
    pub fn handle_call_requested(&mut self, now: Micros, reference: Reference, body: Rc<[u8]>) {
        let Some(&id) = self.by_reference.get(&reference) else {
            return;
        };
        let attempt = self.attempts.get_mut(&id).expect("both tables agree");
        let Stage::Running {
            call,
            answered_again,
            ..
        } = &mut attempt.stage
        else {
            return;
        };
        *call = Some(Call {
            body,
            placed: None,
            turned_away: None,
        });
        *answered_again = false;
        self.tell(now, Event::NeedsCall(id));
    }

    pub(super) fn call(&mut self, id: RequestId, within: Micros) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Stage::Running {
            call: Some(call), ..
        } = &mut attempt.stage
        else {
            return;
        };
        if call.placed.is_some() {
            return;
        }
        self.counters.calls += 1;
        let deadline = (self.now + within.clamp(0, 3_600_000_000)).min(attempt.due.max(self.now));
        call.placed = Some((self.now, deadline + CALL_GRACE));
        self.wakes.insert((deadline + CALL_GRACE, Wake::Call(id)));
        self.effects.push(Effect::PlaceCall {
            reference: attempt.incoming.reference,
            deadline,
            body: call.body.clone(),
        });
    }

    /// A call ended; with a reply if it went well.
    pub fn handle_call_finished(
        &mut self,
        now: Micros,
        reference: Reference,
        outcome: Outcome,
        reply: Rc<[u8]>,
    ) {
        let Some(&id) = self.by_reference.get(&reference) else {
            return;
        };
        let attempt = self.attempts.get_mut(&id).expect("both tables agree");
        let Stage::Running { call, .. } = &mut attempt.stage else {
            return;
        };
        let Some((placed, given_up)) = call.as_mut().and_then(|c| c.placed.take()) else {
            return;
        };
        self.wakes.remove(&(given_up, Wake::Call(id)));
        if outcome == Outcome::Success {
            *call = None;
            self.counters.calls_completed += 1;
            self.effects.push(Effect::SendReply {
                reference,
                body: reply,
            });
        }
        // The module asks again at once, and a layer below that says no within a millisecond, or
        // breaks off, made that a loop of 30,000 calls a second. It is told a round later, as often
        // as it would hear in a simulated day.
        if let (Outcome::Rejected | Outcome::Unreachable | Outcome::Reset, Some(call)) =
            (outcome, call)
        {
            call.turned_away = Some((placed, outcome));
            self.wakes.insert((now + self.round, Wake::TurnedAway(id)));
            return;
        }
        self.tell(
            now,
            Event::CallEnded {
                id,
                elapsed: (now - placed).max(0),
                outcome,
            },
        );
    }

    pub(super) fn turned_away(&mut self, now: Micros, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Stage::Running {
            call: Some(call), ..
        } = &mut attempt.stage
        else {
            return;
        };
        let Some((placed, outcome)) = call.turned_away.take() else {
            return;
        };
        self.tell(
            now,
            Event::CallEnded {
                id,
                elapsed: (now - placed).max(0),
                outcome,
            },
        );
    }
}
