//! Read access to a controller's state, for display and monitoring. This module makes no admission
//! decisions and is therefore not part of the policy.

use crate::policy::{Controller, Queue};
use crate::{Cause, ControllerStatus, Mode, QueueStatus, RequestId, RequestStatus, Stage};

impl Controller {
    /// The mode of the start queue.
    pub fn mode(&self) -> Mode {
        self.queue_control(Queue::Start).hysteresis.mode
    }

    /// Whether all cores are busy and no run has ended for longer than random variation explains.
    pub fn is_stalled(&self) -> bool {
        self.stall.is_stalled
    }

    /// Whether actions can still refer to this request. If not, the host can free its state.
    pub fn is_tracked(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The causes of the rejections and failures of the last step, in order.
    pub fn causes(&self) -> &[(RequestId, Cause)] {
        &self.causes
    }

    /// The status of a request, while it is tracked.
    pub fn request_status(&self, id: RequestId) -> Option<RequestStatus> {
        let entry = self.requests.get(&id)?;
        Some(RequestStatus {
            stage: entry.stage,
            objective_at: entry.objective_at,
            deadline: entry.deadline,
            priority: entry.priority,
        })
    }

    /// The present status of the controller.
    pub fn status(&self) -> ControllerStatus {
        ControllerStatus {
            queues: Queue::ALL.map(|queue| self.queue_status(queue)),
            queued: self.queued.len(),
            running: self.running() as usize,
            waiting_for_call: self.waiting_for_call(),
            concurrency_limit: self.concurrency.limit,
            reading: self.reading,
            calls_in_flight: self.calls.occupancy(),
            call_limit: self.calls.limit,
            memory_kb: self.memory.used_kb(&self.settings),
            completion_rate: self.completion_rate(),
            is_shutting_down: self.shutdown.is_some(),
        }
    }

    fn queue_status(&self, queue: Queue) -> QueueStatus {
        let control = self.queue_control(queue);
        let hysteresis = &control.hysteresis;
        QueueStatus {
            mode: hysteresis.mode,
            length: self.queue_length(queue),
            thresholds: [hysteresis.abatement, hysteresis.onset, hysteresis.discard],
            priority_cutoff: control.cutoff,
            arrival_rate: control.arrival_rate,
        }
    }

    fn waiting_for_call(&self) -> usize {
        self.requests
            .values()
            .filter(|entry| matches!(entry.stage, Stage::AwaitingCall | Stage::InCall))
            .count()
    }
}
