//! A small host for the tests: it plays events, keeps its own books of the four rules and reports
//! breaches.
#![allow(dead_code)]

use pipitlever_admission::*;
use pipitlever_capture::segment::{restored, state};
use std::collections::BTreeMap;

/// One server of four cores with a free, a keyed and an unsafe class that all may call.
pub fn settings() -> Settings {
    let class = |idempotency, worth| Class {
        latency_objective: 1_000_000,
        deadline: 4_000_000,
        idempotency,
        idempotency_window: 5_000_000,
        priority_weight: worth,
        makes_calls: true,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed, 2.0),
            class(Idempotency::NonIdempotent, 4.0),
        ],
        cores: 4.0,
        memory_kb: 20_000.0,
        run_memory_factor: 8.0,
        key_kb: 20.0,
        downstream: Downstream::Shared,
        call_share: 5.0,
        call_window: 5_000_000,
        call_linger: 200_000,
        cancellation: CancellationMode::Abort,
        backpressure: BackpressureKind::Threshold,
        max_retry_after: 1_000_000,
        ..Settings::default()
    }
}

/// A first try of this class, read as soon as it arrived.
pub fn request(id: RequestId, class: usize) -> Request {
    Request {
        id,
        class,
        memory_kb: 20.0,
        priority: (class as f64 + 0.5) / 3.0,
        ..Request::default()
    }
}

pub fn ticks(id: u64) -> Event {
    Event::Timer {
        tag: id,
        cpu_utilization: Some(1.0),
        runnable: None,
        memory_utilization: None,
        connections: None,
    }
}

pub fn done(id: RequestId, took: Micros) -> Event {
    Event::Finished {
        id,
        elapsed: took,
        outcome: Outcome::Success,
    }
}

/// Steps and returns the actions. A controller whose state was written and read again has to say
/// the same, or no capture could be trusted.
pub fn step(c: &mut Controller, now: Micros, events: &[Event]) -> Vec<Action> {
    // One step in some dozens: with long tables writing the state takes longer than the step.
    let again = (now / 1000 % 64 == 0).then(|| restored(&state(c)).expect("what was just written"));
    let mut out = Vec::new();
    c.step(now, events, &mut out);
    if let Some(mut again) = again {
        let mut second = Vec::new();
        again.step(now, events, &mut second);
        assert_eq!(
            out, second,
            "at {now}, after the state was written and read again"
        );
    }
    out
}

pub fn refused(actions: &[Action], wanted: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id, .. } if *id == wanted))
}

pub fn calls(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::PlaceCall(..)))
        .count()
}

pub fn runs(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Run(_)))
        .count()
}

#[derive(Clone)]
struct Book {
    request: Request,
    arrived: Micros,
    due: Micros,
    started: bool,
    on_cores: bool,
    at_call: bool,
    calls: u32,
    may_repeat: bool,
    answered: bool,
    live: bool,
    reusing: bool,
    halted: bool,
}

/// The books of the four rules, kept from events and actions alone.
pub struct Books {
    s: Settings,
    all: BTreeMap<RequestId, Book>,
    keys: BTreeMap<RequestId, Micros>,
    ran_keys: Vec<RequestId>,
    leave: Option<(Micros, Micros)>,
    pub breaches: Vec<String>,
}

impl Books {
    pub fn new(s: &Settings) -> Books {
        Books {
            s: s.clone(),
            all: BTreeMap::new(),
            keys: BTreeMap::new(),
            ran_keys: Vec::new(),
            leave: None,
            breaches: Vec::new(),
        }
    }

    /// Takes in what happened and what was done about it.
    pub fn note(&mut self, now: Micros, events: &[Event], actions: &[Action]) {
        for event in events {
            match event {
                Event::Arrived(r) => {
                    let arrived = now - r.queue_time;
                    let due = r
                        .timeout
                        .map_or(arrived + self.s.classes[r.class].deadline, |p| now + p);
                    let book = Book {
                        request: r.clone(),
                        arrived,
                        due: due.max(now),
                        started: false,
                        on_cores: false,
                        at_call: false,
                        calls: 0,
                        may_repeat: true,
                        answered: false,
                        live: true,
                        reusing: false,
                        halted: false,
                    };
                    self.all.insert(r.id, book);
                }
                Event::ShutdownNotice(left) => self.leave = Some((now, now + left)),
                Event::Finished { id, outcome, .. } => {
                    let b = self.all.get_mut(id).expect("known");
                    (b.live, b.on_cores) = (false, false);
                    b.answered |= matches!(outcome, Outcome::Success | Outcome::Error);
                }
                Event::Abandoned(id) => self.all.get_mut(id).expect("known").answered = true,
                Event::NeedsCall(id) => {
                    let b = self.all.get_mut(id).expect("known");
                    (b.on_cores, b.at_call, b.may_repeat) = (false, true, true);
                }
                Event::CallEnded { id, outcome, .. } => {
                    let b = self.all.get_mut(id).expect("known");
                    b.on_cores = *outcome == Outcome::Success;
                    b.may_repeat = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
                }
                Event::Timer { .. } => {}
            }
        }
        for action in actions {
            self.act(now, action);
        }
        self.keys.retain(|_, until| *until >= now);
        let held = |b: &Book| {
            if b.started {
                self.s.run_memory_factor
            } else {
                1.0
            }
        };
        let requests: f64 = self
            .all
            .values()
            .filter(|b| b.live)
            .map(|b| b.request.memory_kb * held(b))
            .sum::<f64>();
        let memory = requests + self.keys.len() as f64 * self.s.key_kb;
        if memory > self.s.memory_kb {
            self.breaches.push(format!("{now}: memory {memory}"));
        }
        let crowd = self.all.values().filter(|b| b.live && b.on_cores).count() as f64;
        if crowd > self.s.safety.max_concurrency_per_core * self.s.cores {
            self.breaches.push(format!("{now}: crowd {crowd}"));
        }
        let late = |b: &&Book| !b.answered && now > b.due + self.s.safety.answer_slack;
        for b in self.all.values().filter(late) {
            self.breaches
                .push(format!("{now}: {} unanswered", b.request.id));
        }
        let stopped = self.leave.is_some_and(|l| now >= l.1);
        for b in self.all.values().filter(|b| stopped && !b.answered) {
            self.breaches
                .push(format!("{now}: {} unanswered at the stop", b.request.id));
        }
        self.all.retain(|_, b| b.live || !b.answered);
    }

    fn act(&mut self, now: Micros, action: &Action) {
        let mut breach = None;
        match action {
            Action::Run(id) => {
                let b = self.all.get_mut(id).expect("known");
                let keyed = self.s.classes[b.request.class].idempotency == Idempotency::Keyed;
                if b.started
                    || b.request
                        .duplicate_of
                        .is_some_and(|s| self.ran_keys.contains(&s))
                {
                    breach = Some(format!("{id} run twice"));
                }
                if keyed && !self.keys.contains_key(id) {
                    breach = Some(format!("{id} run without its key kept"));
                }
                if self
                    .leave
                    .is_some_and(|l| b.arrived > l.0 + self.s.safety.drain_grace)
                {
                    breach = Some(format!("{id} run after the grace"));
                }
                if keyed {
                    self.ran_keys.push(*id);
                }
                (b.started, b.on_cores) = (true, true);
            }
            Action::Reject { id, .. } => {
                let b = self.all.get_mut(id).expect("known");
                let free = self.s.classes[b.request.class].idempotency == Idempotency::Idempotent;
                let ran = b.started
                    || b.request
                        .duplicate_of
                        .is_some_and(|s| self.ran_keys.contains(&s));
                if b.answered || (ran && !free) {
                    breach = Some(format!("{id} refused after it ran or was answered"));
                }
                b.answered = true;
                b.live &= b.started;
            }
            Action::Fail(id) => {
                let b = self.all.get_mut(id).expect("known");
                if b.answered {
                    breach = Some(format!("{id} answered twice"));
                }
                b.answered = true;
                b.live &= b.started;
            }
            Action::ReuseOutcome(id) => {
                let b = self.all.get_mut(id).expect("known");
                b.reusing = true;
                if b.request.duplicate_of.is_none() {
                    breach = Some(format!("{id} repeats nothing"));
                }
            }
            Action::RetainKey(id, lifetime) => {
                self.keys.insert(*id, now + lifetime);
            }
            Action::ReleaseKey(id) => {
                self.keys.remove(id);
            }
            Action::PlaceCall(id, _) => {
                let b = self.all.get_mut(id).expect("known");
                let free = self.s.classes[b.request.class].idempotency == Idempotency::Idempotent;
                if !b.may_repeat && !free {
                    breach = Some(format!("{id} called again"));
                }
                b.may_repeat = false;
                b.calls += 1;
            }
            Action::Cancel(id) => {
                if self.s.cancellation == CancellationMode::Unsupported {
                    breach = Some(format!("{id} halted where nothing can be"));
                }
                let b = self.all.get_mut(id).expect("known");
                b.halted = b.answered;
            }
            Action::SkipCall(id) => {
                let b = self.all.get_mut(id).expect("known");
                b.on_cores = true;
                if self.s.classes[b.request.class].skip_call_weight == 0.0 {
                    breach = Some(format!("{id} skipped a call it needs"));
                }
            }
            Action::Backpressure(_) if self.s.backpressure == BackpressureKind::Disabled => {
                breach = Some("level told".into())
            }
            _ => {}
        }
        self.breaches.extend(breach.map(|b| format!("{now}: {b}")));
    }

    /// The open requests in one of four states: halted, running, at a call, or waiting for another.
    pub fn open(&self, state: fn(&View) -> bool) -> Vec<RequestId> {
        let view = |b: &Book| View {
            running: b.live && b.on_cores,
            halted: b.live && b.halted,
            calling: b.live && b.started && !b.on_cores && b.calls > 0 && !b.may_repeat,
            cancelled: b.live && b.started && !b.on_cores && b.answered,
            reusing: b.live && b.reusing && !b.answered,
            original: b.request.duplicate_of,
        };
        self.all
            .iter()
            .filter(|(_, b)| state(&view(b)))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Whether this request may still be named by events.
    pub fn is_live(&self, id: RequestId) -> bool {
        self.all.get(&id).is_some_and(|b| b.live)
    }
}

/// What the driver may know of a request.
pub struct View {
    pub running: bool,
    pub halted: bool,
    pub calling: bool,
    pub cancelled: bool,
    pub reusing: bool,
    pub original: Option<RequestId>,
}

/// The thresholds in force for the line to start: abatement, onset and discard.
pub fn thresholds(c: &Controller) -> (f64, f64, f64) {
    let [abate, onset, discard] = c.status().queues[0].thresholds;
    (abate, onset, discard)
}
