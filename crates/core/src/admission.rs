//! The admission controller with the events that are still to be passed to it, and their capture.

use crate::effect::Answer;
use crate::request::IncomingRequest;
use crate::request_table::{OpenRequest, RequestTable};
use pipitlever_admission::{Action, Controller, Event, Micros, RequestId, Settings};
use pipitlever_capture::record::AnswerSource;
use pipitlever_capture::recorder::Recorder;
use std::collections::VecDeque;

/// Capacity that the buffer of actions keeps after a burst.
const RETAINED_ACTIONS: usize = 256;

/// An event that is still to be passed to the controller.
#[derive(Debug)]
pub(crate) enum PendingEvent {
    /// The event itself.
    Event(Event),
    /// The arrival of a request, which gets its number when the event is passed on.
    Arrival(Box<OpenRequest>),
}

/// The admission controller, once it is started.
pub(crate) struct Admission {
    seed: u64,
    controller: Option<Controller>,
    pending: VecDeque<PendingEvent>,
    /// Records all events, actions and answers, while a capture runs.
    capture: Option<Recorder>,
    /// Buffer for the actions of a step, reused by the next one.
    actions: Vec<Action>,
}

impl Admission {
    /// A controller that is not started.
    pub(crate) fn new(seed: u64) -> Admission {
        Admission {
            seed,
            controller: None,
            pending: VecDeque::new(),
            capture: None,
            actions: Vec::new(),
        }
    }

    /// Starts the controller.
    pub(crate) fn start(&mut self, settings: Settings) {
        self.controller = Some(Controller::new(settings, self.seed));
    }

    /// The controller; none before its start.
    pub(crate) fn controller(&self) -> Option<&Controller> {
        self.controller.as_ref()
    }

    /// The controller; none before its start.
    pub(crate) fn controller_mut(&mut self) -> Option<&mut Controller> {
        self.controller.as_mut()
    }

    /// Whether the controller is started.
    pub(crate) fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    /// Appends an event to those still to be passed on.
    pub(crate) fn enqueue(&mut self, event: Event) {
        self.pending.push_back(PendingEvent::Event(event));
    }

    /// Appends the arrival of a request that was open before.
    pub(crate) fn enqueue_arrival(&mut self, request: OpenRequest) {
        self.pending
            .push_back(PendingEvent::Arrival(Box::new(request)));
    }

    /// Takes the next pending event.
    pub(crate) fn next_pending(&mut self) -> Option<PendingEvent> {
        self.pending.pop_front()
    }

    /// Whether there are pending events.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Passes events to the controller and returns its actions, in a buffer to give back to
    /// [`Admission::recycle`]; none before the controller's start.
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

    /// Takes back the empty buffer of [`Admission::step`].
    pub(crate) fn recycle(&mut self, mut actions: Vec<Action>) {
        actions.shrink_to(RETAINED_ACTIONS);
        self.actions = actions;
    }

    /// Starts or ends a capture.
    pub(crate) fn set_capture(&mut self, capture: Option<Recorder>) {
        self.capture = capture;
    }

    /// Records in a capture which request has this number.
    pub(crate) fn capture_request(&mut self, id: RequestId, incoming: &IncomingRequest) {
        if let Some(capture) = &mut self.capture {
            capture.record_identity(incoming.capture_identity(id));
        }
    }

    /// Records a final answer in a capture, with the part of the node that gave it.
    pub(crate) fn capture_answer(
        &mut self,
        now: Micros,
        incoming: &IncomingRequest,
        answer: &Answer,
        by: AnswerSource,
    ) {
        if let Some(capture) = &mut self.capture {
            let class = incoming.class as u32;
            capture.record_answer(now, incoming.reference, class, answer.captured(), by);
        }
    }
}
