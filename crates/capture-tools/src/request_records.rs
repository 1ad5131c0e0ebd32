//! Collects one record for each request of a capture.

use crate::cursor::{ReplayedRecord, Visitor};
use crate::request_record::{
    ControllerDecision, FinalAnswer, RequestClass, RequestRecord, RunEnd, TimelineEntry,
    TimelineEvent,
};
use pipitlever_admission::{Action, Cause, Controller, ControllerStatus, Event, RequestId};
use pipitlever_capture::record::{Record, RequestIdentity, SegmentHeader};
use std::collections::{BTreeMap, HashMap};

/// Collects request records during a replay, and passes on each once it is complete.
pub struct RequestRecords<F: FnMut(RequestRecord)> {
    with_timelines: bool,
    on_complete: F,
    open: BTreeMap<RequestId, RequestRecord>,
    /// Identities of requests that have not arrived yet.
    identities: BTreeMap<RequestId, RequestIdentity>,
    by_reference: HashMap<u64, RequestId>,
    /// The requests that the events and actions of the current step refer to.
    touched: Vec<RequestId>,
}

impl<F: FnMut(RequestRecord)> RequestRecords<F> {
    /// Creates a collector.
    pub fn new(with_timelines: bool, on_complete: F) -> RequestRecords<F> {
        RequestRecords {
            with_timelines,
            on_complete,
            open: BTreeMap::new(),
            identities: BTreeMap::new(),
            by_reference: HashMap::new(),
            touched: Vec::new(),
        }
    }

    /// Passes on all open records, although they may be incomplete.
    fn flush(&mut self) {
        for (_, request) in std::mem::take(&mut self.open) {
            (self.on_complete)(request);
        }
        self.identities.clear();
        self.by_reference.clear();
    }

    /// The record of a request, created if there is none.
    fn record_of(
        &mut self,
        header: &SegmentHeader,
        id: RequestId,
        class: Option<usize>,
    ) -> &mut RequestRecord {
        let identity = self.identities.remove(&id);
        if let Some(identity) = identity {
            self.by_reference.insert(identity.reference, id);
        }
        self.open.entry(id).or_insert_with(|| RequestRecord {
            node: header.node.clone(),
            run: header.run,
            id: Some(id),
            reference: identity.map(|identity| identity.reference),
            sender: identity.and_then(|identity| identity.sender),
            key_digest: identity.and_then(|identity| identity.key_digest),
            class: request_class(header, class),
            ..RequestRecord::default()
        })
    }

    /// Passes on a record that is complete.
    fn close(&mut self, id: RequestId) {
        let Some(request) = self.open.remove(&id) else {
            return;
        };
        if let Some(reference) = request.reference {
            if self.by_reference.get(&reference) == Some(&id) {
                self.by_reference.remove(&reference);
            }
        }
        (self.on_complete)(request);
    }

    fn add_to_timeline(
        &mut self,
        id: RequestId,
        replayed: &ReplayedRecord,
        event: impl FnOnce() -> TimelineEvent,
    ) {
        if let Some(request) = self.open.get_mut(&id).filter(|_| self.with_timelines) {
            request.timeline.push(TimelineEntry {
                now: replayed.replay.now(),
                step: replayed.replay.steps(),
                event: event(),
            });
        }
    }

    fn handle_event(
        &mut self,
        replayed: &ReplayedRecord,
        event: &Event,
        status: &ControllerStatus,
    ) {
        if let Event::ShutdownNotice(_) = event {
            // The notice concerns all requests in memory.
            let open: Vec<RequestId> = self.open.keys().copied().collect();
            for id in open {
                self.add_to_timeline(id, replayed, || TimelineEvent::Event(event.clone()));
            }
        }
        let Some(id) = event.request() else { return };
        self.touched.push(id);
        let now = replayed.replay.now();
        if let Event::Arrived(request) = event {
            self.record_of(replayed.header, id, Some(request.class))
                .set_arrival(request, now, status);
            let arrived = || TimelineEvent::Arrived(event.clone(), *status);
            return self.add_to_timeline(id, replayed, arrived);
        }
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        match event {
            Event::Finished {
                elapsed, outcome, ..
            } => {
                request.run_end = Some(RunEnd {
                    at: now,
                    elapsed: *elapsed,
                    outcome: *outcome,
                });
            }
            Event::Abandoned(_) if request.answer.is_none() => request.abandoned = Some(now),
            _ => {}
        }
        self.add_to_timeline(id, replayed, || TimelineEvent::Event(event.clone()));
    }

    fn handle_cause(
        &mut self,
        replayed: &ReplayedRecord,
        id: RequestId,
        cause: Cause,
        status: &ControllerStatus,
    ) {
        if let Some(request) = self.open.get_mut(&id) {
            let at = replayed.replay.now();
            request
                .decision
                .get_or_insert(ControllerDecision { at, cause });
        }
        self.add_to_timeline(id, replayed, || TimelineEvent::Cause(cause, *status));
    }

    fn handle_action(&mut self, replayed: &ReplayedRecord, action: &Action) {
        let Some(id) = action.request() else { return };
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        match action {
            Action::Run(_) => request.started = Some(replayed.replay.now()),
            Action::PlaceCall(..) => request.calls += 1,
            _ => {}
        }
        self.touched.push(id);
        self.add_to_timeline(id, replayed, || TimelineEvent::Action(action.clone()));
    }

    fn handle_step(&mut self, replayed: &ReplayedRecord, events: &[Event], actions: &[Action]) {
        let controller = replayed.replay.controller();
        let status = replayed
            .status_before
            .unwrap_or_else(|| controller.status());
        for event in events {
            self.handle_event(replayed, event, &status);
        }
        for &(id, cause) in controller.causes() {
            self.handle_cause(replayed, id, cause, &status);
        }
        for action in actions {
            self.handle_action(replayed, action);
        }
        for id in std::mem::take(&mut self.touched) {
            let is_over =
                |request: &RequestRecord| request.answer.is_some() || request.abandoned.is_some();
            if self.open.get(&id).is_some_and(is_over) && !controller.is_tracked(id) {
                self.close(id);
            }
        }
    }

    fn handle_answer(
        &mut self,
        replayed: &ReplayedRecord,
        reference: u64,
        class: usize,
        answer: FinalAnswer,
    ) {
        let Some(&id) = self.by_reference.get(&reference) else {
            return self.add_node_answer(replayed, reference, class, answer);
        };
        if let Some(request) = self.open.get_mut(&id) {
            request.answer = Some(answer);
        }
        let event = || TimelineEvent::Answer(answer.answer, answer.source);
        self.add_to_timeline(id, replayed, event);
        if !replayed.replay.controller().is_tracked(id) {
            self.close(id);
        }
    }

    /// Passes on the record of a request that the node answered without the controller.
    fn add_node_answer(
        &mut self,
        replayed: &ReplayedRecord,
        reference: u64,
        class: usize,
        answer: FinalAnswer,
    ) {
        let entry = TimelineEntry {
            now: answer.at,
            step: replayed.replay.steps(),
            event: TimelineEvent::Answer(answer.answer, answer.source),
        };
        (self.on_complete)(RequestRecord {
            node: replayed.header.node.clone(),
            run: replayed.header.run,
            reference: Some(reference),
            class: request_class(replayed.header, Some(class)),
            answer: Some(answer),
            timeline: self.with_timelines.then_some(entry).into_iter().collect(),
            ..RequestRecord::default()
        });
    }
}

fn request_class(header: &SegmentHeader, index: Option<usize>) -> RequestClass {
    let name = index.and_then(|index| header.classes.get(index));
    RequestClass {
        index,
        name: name.cloned().unwrap_or_default(),
    }
}

impl<F: FnMut(RequestRecord)> Visitor for RequestRecords<F> {
    fn segment(&mut self, header: &SegmentHeader, _: &Controller, is_restart: bool) {
        if !is_restart {
            return;
        }
        self.flush();
        for identity in &header.identities {
            self.identities.insert(identity.id, *identity);
        }
        let in_memory: Vec<RequestId> = self.identities.keys().copied().collect();
        for id in in_memory {
            // The class is unknown, as an identity does not contain one.
            let with_timelines = self.with_timelines;
            let request = self.record_of(header, id, None);
            if with_timelines {
                request.timeline.push(TimelineEntry {
                    now: header.now,
                    step: header.steps,
                    event: TimelineEvent::InMemory,
                });
            }
        }
    }

    fn record(&mut self, replayed: &ReplayedRecord) {
        match replayed.record {
            Record::Identity(identity) => {
                // An attempt that is offered to the controller again gets a new identifier, so
                // the record with the previous identifier is complete.
                if let Some(&previous) = self.by_reference.get(&identity.reference) {
                    self.close(previous);
                }
                self.identities.insert(identity.id, *identity);
            }
            Record::Answer {
                reference,
                class,
                answer,
                source,
                ..
            } => {
                let answer = FinalAnswer {
                    at: replayed.replay.now(),
                    answer: *answer,
                    source: *source,
                };
                self.handle_answer(replayed, *reference, *class as usize, answer);
            }
            Record::Step {
                events, actions, ..
            } => self.handle_step(replayed, events, actions),
        }
    }

    fn run_ended(&mut self) {
        self.flush();
    }
}
