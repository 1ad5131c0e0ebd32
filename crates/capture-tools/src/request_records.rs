//! One row a request: what it was, what was decided, how it ended. Explanations, figures and
//! exports come of it.

use crate::cursor::{ReplayedRecord, Visitor};
use pipitlever_admission::{
    Action, Cause, Controller, ControllerStatus, Event, Micros, Mode, Outcome, RequestId,
};
use pipitlever_capture::record::{AnswerSource, Opening, Record, RecordedAnswer, RequestIdentity};
use std::collections::{BTreeMap, HashMap};

/// Something in the timeline of a request.
#[derive(Clone, Debug)]
pub enum TimelineEntry {
    /// It came, and this is what the controller went by before it.
    Came(Event, ControllerStatus),
    /// The controller was told of it.
    Told(Event),
    /// The controller said of it.
    Said(Action),
    /// Why it was turned away or failed, and what the controller went by before.
    Caused(Cause, ControllerStatus),
    /// Its final answer went out.
    Answered(RecordedAnswer, AnswerSource),
    /// It was in memory when the capture, or what is there of it, began.
    Found,
}

/// One request.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Its node.
    pub node: String,
    /// Its node's start, in Unix milliseconds.
    pub run: u64,
    /// Its number with the controller, if it was told of it.
    pub id: Option<RequestId>,
    /// Its outside name.
    pub reference: Option<u64>,
    /// Its gateway.
    pub sender: Option<u64>,
    /// Its key's digest.
    pub key: Option<u64>,
    /// Its class, by position and name.
    pub class: (usize, String),
    /// When the controller was told of it; nothing if that was before the capture.
    pub arrived: Option<Micros>,
    /// How long it had stood unread.
    pub queued: Option<Micros>,
    /// How long its caller still waited.
    pub patience: Option<Micros>,
    /// The cost hint, in microseconds.
    pub cost: Option<f64>,
    /// The memory that it takes while held, in KB.
    pub memory_kb: Option<f64>,
    /// Its rank.
    pub rank: Option<f64>,
    /// A further try.
    pub retry: bool,
    /// The try that it repeats.
    pub repeats: Option<RequestId>,
    /// Mode, held requests and cut of the line to start when it came.
    pub met: Option<(Mode, usize, f64)>,
    /// When it was started.
    pub started: Option<Micros>,
    /// Calls placed for it.
    pub calls: u32,
    /// When its run ended, how long that took, and how it ended.
    pub ended: Option<(Micros, Micros, Outcome)>,
    /// When the module turned it away or failed it, and why.
    pub decided: Option<(Micros, Cause)>,
    /// When its caller was known to be gone.
    pub gone: Option<Micros>,
    /// Its final answer.
    pub answered: Option<(Micros, RecordedAnswer, AnswerSource)>,
    /// Its timeline, with clock and step, where one is wanted.
    pub timeline: Vec<(Micros, u64, TimelineEntry)>,
}

impl RequestRecord {
    /// The word for how it came out.
    pub fn outcome(&self) -> &'static str {
        match &self.answered {
            Some((_, told, _)) => crate::rendering::answer_label(told),
            None if self.gone.is_some() => "gone",
            None => "open",
        }
    }
}

/// Makes rows as a capture is gone through, and hands on each once it is complete.
pub struct RequestRecords<F: FnMut(RequestRecord)> {
    /// Whether with_timelines are wanted.
    with_timelines: bool,
    done: F,
    live: BTreeMap<RequestId, RequestRecord>,
    names: BTreeMap<RequestId, RequestIdentity>,
    by_reference: HashMap<u64, RequestId>,
    /// Requests of the step at hand.
    touched: Vec<RequestId>,
}

impl<F: FnMut(RequestRecord)> RequestRecords<F> {
    /// Nothing yet.
    pub fn new(with_timelines: bool, done: F) -> RequestRecords<F> {
        RequestRecords {
            with_timelines,
            done,
            live: BTreeMap::new(),
            names: BTreeMap::new(),
            by_reference: HashMap::new(),
            touched: Vec::new(),
        }
    }

    /// The last rows, as far as they came.
    fn flush(&mut self) {
        for (_, row) in std::mem::take(&mut self.live) {
            (self.done)(row);
        }
        self.names.clear();
        self.by_reference.clear();
    }

    fn row(&mut self, opening: &Opening, id: RequestId, class: usize) -> &mut RequestRecord {
        let name = self.names.remove(&id);
        if let Some(name) = name {
            self.by_reference.insert(name.reference, id);
        }
        let class = (
            class,
            opening.classes.get(class).cloned().unwrap_or_default(),
        );
        self.live.entry(id).or_insert_with(|| RequestRecord {
            node: opening.node.clone(),
            run: opening.run,
            id: Some(id),
            reference: name.map(|n| n.reference),
            sender: name.and_then(|n| n.sender),
            key: name.and_then(|n| n.key_digest),
            class,
            ..RequestRecord::default()
        })
    }

    fn close(&mut self, id: RequestId) {
        let Some(row) = self.live.remove(&id) else {
            return;
        };
        if let Some(reference) = row
            .reference
            .filter(|r| self.by_reference.get(r) == Some(&id))
        {
            self.by_reference.remove(&reference);
        }
        (self.done)(row);
    }

    fn tell(
        &mut self,
        id: RequestId,
        now: Micros,
        step: u64,
        moment: impl FnOnce() -> TimelineEntry,
    ) {
        if let Some(row) = self.live.get_mut(&id).filter(|_| self.with_timelines) {
            row.timeline.push((now, step, moment()));
        }
    }

    fn event(&mut self, replayed: &ReplayedRecord, event: &Event, view: &ControllerStatus) {
        let (now, step) = (replayed.replay.now(), replayed.replay.steps());
        if let Event::ShutdownNotice(_) = event {
            // It bears on all that is in memory.
            let live: Vec<RequestId> = self.live.keys().copied().collect();
            live.into_iter()
                .for_each(|id| self.tell(id, now, step, || TimelineEntry::Told(event.clone())));
        }
        let Some(id) = event.request() else { return };
        self.touched.push(id);
        if let Event::Arrived(r) = event {
            let row = self.row(replayed.opening, id, r.class);
            row.arrived = Some(now);
            row.queued = Some(r.queue_time);
            (row.patience, row.cost, row.memory_kb) = (r.timeout, r.cost, Some(r.memory_kb));
            (row.rank, row.retry, row.repeats) = (Some(r.priority), r.is_retry, r.duplicate_of);
            let line = &view.queues[0];
            row.met = Some((line.mode, view.queued, line.priority_cutoff));
            return self.tell(id, now, step, || TimelineEntry::Came(event.clone(), *view));
        }
        let Some(row) = self.live.get_mut(&id) else {
            return;
        };
        match event {
            Event::Finished {
                elapsed: took,
                outcome,
                ..
            } => row.ended = Some((now, *took, *outcome)),
            Event::Abandoned(_) if row.answered.is_none() => row.gone = Some(now),
            _ => {}
        }
        self.tell(id, now, step, || TimelineEntry::Told(event.clone()));
    }

    fn action(&mut self, now: Micros, step: u64, action: &Action) {
        let Some(id) = action.request() else { return };
        let Some(row) = self.live.get_mut(&id) else {
            return;
        };
        match action {
            Action::Run(_) => row.started = Some(now),
            Action::PlaceCall(..) => row.calls += 1,
            _ => {}
        }
        self.touched.push(id);
        self.tell(id, now, step, || TimelineEntry::Said(action.clone()));
    }

    fn answer(
        &mut self,
        replayed: &ReplayedRecord,
        reference: u64,
        class: usize,
        told: RecordedAnswer,
        by: AnswerSource,
    ) {
        let (now, step) = (replayed.replay.now(), replayed.replay.steps());
        let Some(&id) = self.by_reference.get(&reference) else {
            // The node's own answer: the controller never heard of it.
            let name = replayed
                .opening
                .classes
                .get(class)
                .cloned()
                .unwrap_or_default();
            let timeline = match self.with_timelines {
                true => vec![(now, step, TimelineEntry::Answered(told, by))],
                false => Vec::new(),
            };
            return (self.done)(RequestRecord {
                node: replayed.opening.node.clone(),
                run: replayed.opening.run,
                reference: Some(reference),
                class: (class, name),
                answered: Some((now, told, by)),
                timeline,
                ..RequestRecord::default()
            });
        };
        if let Some(row) = self.live.get_mut(&id) {
            row.answered = Some((now, told, by));
        }
        self.tell(id, now, step, || TimelineEntry::Answered(told, by));
        if !replayed.replay.controller().is_tracked(id) {
            self.close(id);
        }
    }
}

impl<F: FnMut(RequestRecord)> Visitor for RequestRecords<F> {
    fn segment(&mut self, opening: &Opening, _: &Controller, anew: bool) {
        if !anew {
            return;
        }
        self.flush();
        self.names = opening.identities.iter().map(|n| (n.id, *n)).collect();
        let found: Vec<RequestId> = self.names.keys().copied().collect();
        for id in found {
            // Its class stands in no name; what the state has of it shows in its timeline.
            self.row(opening, id, usize::MAX);
            self.tell(id, opening.now, opening.steps, || TimelineEntry::Found);
        }
    }

    fn record(&mut self, replayed: &ReplayedRecord) {
        match replayed.record {
            Record::Identity(name) => {
                // The same try is offered again under a new number: the row of the old one is over.
                if let Some(&old) = self.by_reference.get(&name.reference) {
                    self.close(old);
                }
                self.names.insert(name.id, *name);
            }
            Record::Answer {
                reference,
                class,
                answer,
                source,
                ..
            } => {
                self.answer(replayed, *reference, *class as usize, *answer, *source);
            }
            Record::Step {
                events, actions, ..
            } => {
                let (now, step) = (replayed.replay.now(), replayed.replay.steps());
                let view = replayed
                    .status_before
                    .unwrap_or_else(|| replayed.replay.controller().status());
                events.iter().for_each(|e| self.event(replayed, e, &view));
                for &(id, cause) in replayed.replay.controller().causes() {
                    if let Some(row) = self.live.get_mut(&id) {
                        row.decided.get_or_insert((now, cause));
                    }
                    self.tell(id, now, step, || TimelineEntry::Caused(cause, view));
                }
                actions.iter().for_each(|a| self.action(now, step, a));
                for id in std::mem::take(&mut self.touched) {
                    let over = |r: &RequestRecord| r.answered.is_some() || r.gone.is_some();
                    if self.live.get(&id).is_some_and(over)
                        && !replayed.replay.controller().is_tracked(id)
                    {
                        self.close(id);
                    }
                }
            }
        }
    }

    fn run_ended(&mut self) {
        self.flush();
    }
}
