//! The admission controller, its queue of pending events, and the capture of its inputs and
//! actions.

use crate::effect::Answer;
use crate::request::IncomingRequest;
use crate::request_table::{OpenRequest, RequestTable};
use pipitlever_admission::{Action, Controller, Event, Micros, RequestId, Settings};
use pipitlever_capture::record::AnswerSource;
use pipitlever_capture::recorder::Recorder;
use std::collections::VecDeque;

/// Capacity that the buffer of actions keeps after a burst.
const RETAINED_ACTIONS: usize = 256;

/// An event queued for the controller.
#[derive(Debug)]
pub(crate) enum PendingEvent {
    /// An event that needs no further preparation.
    Event(Event),
    /// The arrival of a request. The request number is assigned when the event leaves the queue.
    Arrival(Box<OpenRequest>),
}

/// The admission controller, which may not be started yet, and its event queue.
pub(crate) struct Admission {
    seed: u64,
    controller: Option<Controller>,
    pending: VecDeque<PendingEvent>,
    /// Records all events, actions and answers while a capture is active.
    capture: Option<Recorder>,
    /// Buffer for the actions of a step, reused by each step.
    actions: Vec<Action>,
}

impl Admission {
    /// Creates the state before the start of the controller.
    pub(crate) fn new(seed: u64) -> Admission {
        Admission {
            seed,
            controller: None,
            pending: VecDeque::new(),
            capture: None,
            actions: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, settings: Settings) {
        self.controller = Some(Controller::new(settings, self.seed));
    }

    /// The controller; `None` before its start.
    pub(crate) fn controller(&self) -> Option<&Controller> {
        self.controller.as_ref()
    }

    /// The controller; `None` before its start.
    pub(crate) fn controller_mut(&mut self) -> Option<&mut Controller> {
        self.controller.as_mut()
    }

    pub(crate) fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    /// Queues an event for the controller.
    pub(crate) fn enqueue(&mut self, event: Event) {
        self.pending.push_back(PendingEvent::Event(event));
    }

    /// Queues the arrival of a duplicate whose original did not run, so that it is handled as a
    /// request of its own.
    pub(crate) fn enqueue_arrival(&mut self, request: OpenRequest) {
        self.pending
            .push_back(PendingEvent::Arrival(Box::new(request)));
    }

    /// Removes and returns the first pending event.
    pub(crate) fn next_pending(&mut self) -> Option<PendingEvent> {
        self.pending.pop_front()
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Passes events to the controller and returns its actions; `None` before the controller's
    /// start. The caller returns the emptied buffer with [`Admission::recycle`].
    pub(crate) fn step(
        &mut self,
        now: Micros,
        events: &[Event],
        settings: &Settings,
        requests: &RequestTable,
    ) -> Option<Vec<Action>> {
        let controller = self.controller.as_mut()?;
        let mut actions = std::mem::take(&mut self.actions);
        let capture = self.capture.as_mut();
        if let Some(capture) = capture.filter(|capture| capture.needs_checkpoint(now)) {
            capture.queue_checkpoint(now, controller, settings, requests.capture_identities());
        }
        controller.step(now, events, &mut actions);
        if let Some(capture) = &mut self.capture {
            capture.record_step(now, events, &actions);
        }
        Some(actions)
    }

    /// Keeps the emptied buffer of [`Admission::step`] for the next step.
    pub(crate) fn recycle(&mut self, mut actions: Vec<Action>) {
        actions.shrink_to(RETAINED_ACTIONS);
        self.actions = actions;
    }

    /// Starts a capture with this recorder, or ends it with `None`.
    pub(crate) fn set_capture(&mut self, capture: Option<Recorder>) {
        self.capture = capture;
    }

    /// Records in a capture which request has the number `id`.
    pub(crate) fn capture_request(&mut self, id: RequestId, incoming: &IncomingRequest) {
        if let Some(capture) = &mut self.capture {
            capture.record_identity(incoming.capture_identity(id));
        }
    }

    /// Records a final answer in a capture, with the component that produced it.
    pub(crate) fn capture_answer(
        &mut self,
        now: Micros,
        incoming: &IncomingRequest,
        answer: &Answer,
        source: AnswerSource,
    ) {
        if let Some(capture) = &mut self.capture {
            let class = incoming.class as u32;
            capture.record_answer(now, incoming.reference, class, answer.captured(), source);
        }
    }
}
