//! What can be read of a controller by those who show it. Nothing here decides, so it is no part of
//! `policy`.

use crate::rules::{Controller, Entry, Gate};
use crate::{Cause, ControllerStatus, Mode, QueueStatus, RequestId, RequestStatus, Stage};

impl Controller {
    /// The mode that the server is in.
    pub fn mode(&self) -> Mode {
        self.gates[0].modes.mode
    }

    /// Whether all cores are taken and nothing ends, for longer than chance explains.
    pub fn is_stalled(&self) -> bool {
        self.still.now
    }

    /// Whether actions may still name this request; when not, a host can free what it keeps for it.
    pub fn is_tracked(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Why requests were turned away or failed in the last step, in order.
    pub fn causes(&self) -> &[(RequestId, Cause)] {
        &self.why
    }

    /// How a request stands, while actions may still name it.
    pub fn request_status(&self, id: RequestId) -> Option<RequestStatus> {
        let e = self.entries.get(&id)?;
        Some(RequestStatus {
            stage: e.state,
            objective_at: e.aim,
            deadline: e.due,
            priority: e.worth,
        })
    }

    /// What it goes by at the moment.
    pub fn status(&self) -> ControllerStatus {
        let line = |i: usize| {
            let Gate {
                modes: m,
                cut,
                arriving,
                ..
            } = &self.gates[i];
            let thresholds = [m.abate, m.onset, m.discard];
            QueueStatus {
                mode: m.mode,
                length: self.line(i),
                thresholds,
                priority_cutoff: *cut,
                arrival_rate: *arriving,
            }
        };
        let at_call = |e: &&Entry| matches!(e.state, Stage::AwaitingCall | Stage::InCall);
        ControllerStatus {
            queues: [line(0), line(1)],
            queued: self.held.len(),
            running: self.on_cores() as usize,
            at_call: self.entries.values().filter(at_call).count(),
            concurrency_limit: self.run.limit,
            reading: self.reading,
            calls_in_flight: self.calls.in_hand(),
            call_limit: self.calls.limit,
            memory_kb: self.memory.used(&self.s),
            completion_rate: self.rate(),
            is_shutting_down: self.drain.is_some(),
        }
    }
}
