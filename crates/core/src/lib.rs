//! What is kept in memory: requests, attempts, outcomes. The module's decisions become effects
//! here.
//!
//! The core knows no wire, no socket and no clock: it is told what happened and when, and leaves a
//! list of effects to carry out. It decides no admission, no order and no run limit; that is the
//! module's.

mod calls;
mod class_table;
mod counters;
mod durable;
mod handed;
mod keys;
mod lost;
mod memory_limits;
mod messages;
mod repeats;
mod runs;
mod status;
mod timers;

pub use class_table::{ClassAssignment, ClassTable, TooManyClasses, MAX_CLASSES};
pub use counters::{ClassCounters, ConfigFileCounters, Counters};
pub use durable::RunStore;
pub use memory_limits::MemoryLimits;
pub use messages::{
    Answer, Effect, Gauges, IncomingRequest, Origin, Reference, RejectedCommand, RunOutcome,
};
pub use status::{StoreUsage, TableSizes};

use handed::Handed;
use keys::{Kept, Keys};
use pipitlever_admission::*;
use pipitlever_capture::record::{digest, By, Name, Told};
use pipitlever_capture::tap::Tap;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Answers leave this long before the due time, so that they are out by it.
const DUE_MARGIN: Micros = 10_000;
/// What is told to a caller refused by the table limits above, or before the processor is up.
const FULL_COOLDOWN: Micros = 200_000;
/// The gauges are asked for this long before the module's timer that wants them.
const GAUGE_LEAD: Micros = 5_000;
/// Gauges older than this are not passed on.
const GAUGE_AGE: Micros = 500_000;
/// The least round, whatever the settings say.
const LEAST_ROUND: Micros = 1000;
/// A call without a reply is given up this long after its deadline: the layer below answers by
/// then.
const CALL_GRACE: Micros = 50_000;

/// A call that a run stands at.
#[derive(Debug)]
struct Call {
    body: Rc<[u8]>,
    /// When it was placed and is given up, if it is in the hands of the layer below.
    placed: Option<(Micros, Micros)>,
    /// When it was placed and how it was turned away, until the module is told.
    turned_away: Option<(Micros, Outcome)>,
}

#[derive(Debug)]
enum Stage {
    /// Waits to start, or for another try of its key.
    Held,
    /// A run may have begun.
    Running {
        since: Micros,
        call: Option<Call>,
        answered_again: bool,
    },
}

/// One request, owned by the table of requests alone from its arrival to its close.
#[derive(Debug)]
struct Attempt {
    incoming: IncomingRequest,
    due: Micros,
    /// Set while an answer is owed; taken by the answer.
    origin: Option<Origin>,
    /// The try whose outcome it shares.
    repeats: Option<RequestId>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Gauges,
    Timer(u64),
    Due(RequestId),
    Call(RequestId),
    TurnedAway(RequestId),
}

/// What the module is still to be told.
#[derive(Debug)]
enum Pending {
    Event(Event),
    Offer(Box<Attempt>),
}

/// The node's memory.
pub struct Core {
    settings: Settings,
    seed: u64,
    module: Option<Controller>,
    now: Micros,
    attempts: BTreeMap<RequestId, Attempt>,
    by_reference: HashMap<Reference, RequestId>,
    next_id: RequestId,
    keys: Keys,
    most_result: usize,
    round: Micros,
    /// Bytes that the requests take, and may take.
    taken: usize,
    most_taken: usize,
    /// There is no processor to ask for gauges: runs are counted instead.
    counted: bool,
    wakes: BTreeSet<(Micros, Wake)>,
    pending: VecDeque<Pending>,
    /// Room for what the module says in a step.
    actions: Vec<Action>,
    effects: Vec<Effect>,
    owed: usize,
    level: Option<f64>,
    healthy: bool,
    /// Operators want no new clients: health checks hear bad.
    standby: bool,
    /// Nothing is admitted or started from then on, until it is told otherwise: its version of the
    /// settings may be stale.
    until: Micros,
    idle: Micros,
    gauges: (Micros, Gauges),
    /// Where all that the module is told and says is kept, if it is.
    tap: Option<Tap>,
    /// Callers mark each further try.
    pub retries_are_marked: bool,
    /// What another process of this node means for this one.
    handed: Handed,
    /// Keyed runs are remembered over a restart, if they are.
    durable: Option<Box<RunStore>>,
    /// Counts since the start.
    pub counters: Counters,
    /// The classes by place, and the same by their names.
    pub classes: ClassTable,
}

impl Core {
    /// A node whose processor is not up yet, with the classes of these names. A round is the
    /// shortest gap between two calls of one request, and no result is longer than `most_result`.
    pub fn new(
        settings: Settings,
        names: &[Rc<str>],
        seed: u64,
        round: Micros,
        most_result: usize,
        bounds: MemoryLimits,
    ) -> Core {
        let classes = ClassTable::new(names);
        let longest = settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        Core {
            idle: settings.max_keepalive,
            settings,
            seed,
            module: None,
            now: 0,
            attempts: BTreeMap::new(),
            by_reference: HashMap::new(),
            next_id: 0,
            keys: Keys::new(bounds.keys, most_result, longest),
            most_result,
            round: round.max(LEAST_ROUND),
            taken: 0,
            most_taken: bounds.requests,
            counted: false,
            wakes: BTreeSet::new(),
            pending: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
            owed: 0,
            level: None,
            healthy: false,
            standby: false,
            until: Micros::MAX,
            gauges: (Micros::MIN / 2, Gauges::default()),
            tap: None,
            retries_are_marked: false,
            handed: Handed::default(),
            durable: None,
            counters: Counters::default(),
            classes,
        }
    }

    /// All work goes to workers: the node is up at once, and how busy they are shows in the runs
    /// they have.
    pub fn start_without_processor(&mut self, now: Micros) {
        self.counted = true;
        self.start(now, now, false);
    }

    /// The processor came up at this time, cold or warm. Later links to it change nothing.
    pub fn start(&mut self, now: Micros, started: Micros, cold: bool) {
        if self.module.is_some() {
            return;
        }
        self.settings.is_cold |= cold;
        self.module = Some(Controller::new(self.shared(&self.settings), self.seed));
        // The module counts the time to warm up from its first step.
        self.step(started.min(now), &[]);
        self.step(now, &[]);
    }

    /// What arrives so long after the notice to leave may still be run.
    pub fn drain_grace(&self) -> Micros {
        self.settings.safety.drain_grace.max(0)
    }

    /// The longest deadline of the classes in force.
    pub fn longest_deadline(&self) -> Micros {
        let classes = self
            .classes
            .active()
            .into_iter()
            .map(|at| self.settings.classes[at].deadline);
        classes.max().unwrap_or(0)
    }

    /// How the class at a place is defined.
    pub fn class(&self, at: usize) -> &Class {
        &self.settings.classes[at]
    }

    /// Whether requests of the class at a place are open, held or running.
    pub fn is_class_in_use(&self, class: usize) -> bool {
        self.attempts.values().any(|a| a.incoming.class == class)
    }

    /// Other settings from now on, with the classes of these names, in their order, where they were
    /// seated. What is open ends under the class that it came with. Whether anything has changed
    /// for the module.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        round: Micros,
        names: &[Rc<str>],
        seats: &[ClassAssignment],
    ) -> bool {
        let before = (self.settings.clone(), self.classes.active());
        self.classes.apply(names, seats);
        let new = std::mem::take(&mut settings.classes);
        let mut classes = std::mem::take(&mut self.settings.classes);
        for (class, seat) in new.into_iter().zip(seats) {
            match classes.get_mut(seat.index) {
                Some(place) => *place = class,
                None => classes.push(class),
            }
        }
        self.keys
            .read_within(classes.iter().map(|c| c.deadline).max().unwrap_or(0));
        self.settings = Settings {
            classes,
            is_cold: self.settings.is_cold,
            ..settings
        };
        self.round = round.max(LEAST_ROUND);
        if (&self.settings, self.classes.active()) == (&before.0, before.1) {
            return false;
        }
        let in_force: Vec<_> = seats.iter().map(|s| (s.index, s.previous)).collect();
        let settings = self.shared(&self.settings);
        if let Some(module) = &mut self.module {
            module.reconfigure(settings, &in_force);
        }
        true
    }

    /// From now on all that the module is told and says is kept, or no longer.
    pub fn set_capture(&mut self, tap: Option<Tap>) {
        self.tap = tap;
    }

    /// What is to be done outside, in order, for an empty list, which takes its place.
    pub fn take_effects(&mut self, list: &mut Vec<Effect>) {
        debug_assert!(list.is_empty(), "what was taken before is carried out");
        std::mem::swap(&mut self.effects, list);
    }

    /// What is to be done outside, in order.
    #[cfg(test)]
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether a request of this name is in memory, or a run of it may still go on.
    pub fn contains_request(&self, reference: Reference) -> bool {
        self.by_reference.contains_key(&reference) || self.store_knows(reference)
    }

    /// A request was read. It is answered once from here on, unless its caller leaves.
    pub fn handle_request(&mut self, now: Micros, incoming: IncomingRequest) {
        self.counters.requests += 1;
        let deadline = self.settings.classes[incoming.class].deadline;
        let due = incoming.deadline.unwrap_or(incoming.arrived_at + deadline) - DUE_MARGIN;
        let taken = self.taken + incoming.bytes();
        let full = taken > self.most_taken;
        let new_key = incoming
            .idempotency_key
            .as_ref()
            .is_some_and(|k| self.keys.repeated(k, incoming.arrived_at).is_none());
        let no_place = new_key && self.keys.full();
        if let Some(answer) = new_key
            .then(|| self.doubts(now, incoming.is_retry))
            .flatten()
        {
            // Another process may have run it. Never offered, never run here.
            self.now = self.now.max(now);
            note(&mut self.tap, self.now, &incoming, &answer, By::Elsewhere);
            self.answered_as(incoming.class, &answer);
            self.effects.push(Effect::Answer {
                origin: incoming.origin,
                answer,
            });
            return;
        }
        let store = if new_key {
            self.store_refuses(now)
        } else {
            None
        };
        let barred = self.is_configuration_expired(now);
        if self.module.is_none() || barred || full || no_place || store.is_some() {
            // Nothing may be forgotten to make room, so new work has to wait. Never offered, never
            // run.
            let (by, cooldown) = match (&self.module, store) {
                (None, _) => (By::NotUp, FULL_COOLDOWN),
                (Some(_), _) if barred => (By::Floor, FULL_COOLDOWN),
                (Some(_), _) if full => (By::Full, FULL_COOLDOWN),
                (Some(_), _) if no_place => (By::KeysFull, FULL_COOLDOWN),
                (Some(_), store) => store.expect("nothing else is left"),
            };
            let answer = Answer::Rejected {
                retry_after: self.keep_away(cooldown),
                no_retry: false,
            };
            self.now = self.now.max(now);
            note(&mut self.tap, self.now, &incoming, &answer, by);
            self.answered_as(incoming.class, &answer);
            self.effects.push(Effect::Answer {
                origin: incoming.origin,
                answer,
            });
            return;
        }
        self.owed += 1;
        self.taken = taken;
        let origin = Some(incoming.origin);
        let attempt = Attempt {
            incoming,
            due,
            origin,
            repeats: None,
            stage: Stage::Held,
        };
        // Nothing is ever left to be told from before, so it need not wait its turn.
        debug_assert!(
            self.pending.is_empty(),
            "each call tells the module all that it has"
        );
        let event = self.offer(now, attempt);
        self.step(now, &[event]);
        self.pump(now);
    }

    /// The caller of this request has gone: no answer is owed any more.
    pub fn handle_abandoned(&mut self, now: Micros, reference: Reference) {
        let Some(&id) = self.by_reference.get(&reference) else {
            return;
        };
        let attempt = self.attempts.get_mut(&id).expect("both tables agree");
        if attempt.origin.take().is_none() {
            return;
        }
        self.owed -= 1;
        self.counters.abandoned += 1;
        if matches!(attempt.stage, Stage::Held) {
            self.close(id);
        }
        self.tell(now, Event::Abandoned(id));
    }

    /// The notice to leave: the process stops after `left`.
    pub fn begin_shutdown(&mut self, now: Micros, left: Micros) {
        self.tell(now, Event::ShutdownNotice(left));
        self.healthy = false;
    }

    fn tell(&mut self, now: Micros, event: Event) {
        self.pending.push_back(Pending::Event(event));
        self.pump(now);
    }

    /// Tells the module one thing at a time: what it said to one may decide what the next one
    /// repeats.
    fn pump(&mut self, now: Micros) {
        while let Some(pending) = self.pending.pop_front() {
            let event = match pending {
                Pending::Event(event) => event,
                Pending::Offer(attempt) => self.offer(now, *attempt),
            };
            self.step(now, &[event]);
        }
    }

    fn step(&mut self, now: Micros, events: &[Event]) {
        // The module's clock never goes back.
        self.now = self.now.max(now);
        let Some(module) = &mut self.module else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        let tap = self.tap.as_mut();
        if let Some(tap) = tap.filter(|t| t.wants_checkpoint(self.now)) {
            let names = self
                .attempts
                .iter()
                .map(|(&id, a)| a.incoming.name(id))
                .collect();
            tap.checkpoint(self.now, module, &self.settings, names);
        }
        module.step(self.now, events, &mut actions);
        if let Some(tap) = &mut self.tap {
            tap.step(self.now, events, &actions);
        }
        // Actions are carried out without a further step, so the list is this step's alone, and
        // used again.
        for action in actions.drain(..) {
            self.act(action);
        }
        self.heed();
        actions.shrink_to(256);
        self.actions = actions;
    }

    /// Enters a request under a new number, which no other try ever had.
    fn offer(&mut self, now: Micros, mut attempt: Attempt) -> Event {
        self.next_id += 1;
        let id = self.next_id;
        let incoming = &attempt.incoming;
        let repeated = incoming
            .idempotency_key
            .as_ref()
            .and_then(|k| self.keys.repeated(k, incoming.arrived_at));
        attempt.repeats = repeated.map(|e| e.holder);
        let request = Request {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            has_key: false,
            timeout: Some(attempt.due - now),
            cost: incoming.cost,
            memory_kb: incoming.memory_kb,
            priority: incoming.priority,
            is_retry: incoming.is_retry,
            is_write: incoming.idempotency_key.is_some(),
            queue_time: (now - incoming.arrived_at).max(0),
            duplicate_of: attempt.repeats,
        };
        if let Some(tap) = &mut self.tap {
            tap.named(incoming.name(id));
        }
        self.by_reference.insert(incoming.reference, id);
        self.wakes.insert((attempt.due, Wake::Due(id)));
        self.attempts.insert(id, attempt);
        Event::Arrived(request)
    }

    /// Carries out one action of the module's. Those on requests that are over do nothing.
    fn act(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.run(id),
            Action::ReuseOutcome(id) => self.reuse(id),
            Action::Reject {
                id,
                retry_after: backoff,
                no_retry,
            } => {
                let Some(attempt) = self.attempts.get(&id) else {
                    return;
                };
                // Refused promises that this try never ran. The module may turn a running read
                // away: to its caller that is a failure.
                if matches!(attempt.stage, Stage::Held) {
                    let cooldown = self.keep_away(backoff);
                    self.answer(
                        id,
                        Answer::Rejected {
                            retry_after: cooldown,
                            no_retry: no_retry,
                        },
                        By::Module,
                    );
                    self.close(id);
                } else {
                    self.fail(id);
                }
            }
            Action::Fail(id) => self.fail(id),
            Action::RetainKey(id, lifetime) => {
                let Some(attempt) = self.attempts.get(&id) else {
                    return;
                };
                if let Some(key) = &attempt.incoming.idempotency_key {
                    let IncomingRequest {
                        payload_digest: payload,
                        arrived_at: arrived,
                        ..
                    } = attempt.incoming;
                    self.keys
                        .keep(key, id, payload, arrived, self.now + lifetime);
                }
            }
            Action::ReleaseKey(id) => self.forget(id),
            Action::PlaceCall(id, within) => self.call(id, within),
            Action::Backpressure(level) => self.level = Some(level),
            Action::Health(healthy) => self.healthy = healthy,
            Action::CloseIdle(idle) => self.idle = idle,
            Action::Timer(after, tag) => {
                self.wakes.insert((self.now + after, Wake::Timer(tag)));
                self.wakes
                    .insert((self.now + after - GAUGE_LEAD, Wake::Gauges));
            }
            Action::Cancel(id) => self.interrupt(id),
            // No call can be skipped on sockets: no party has a command for it, and the module's
            // settings say so.
            Action::SkipCall(_) => {}
        }
    }

    fn fail(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let held = matches!(attempt.stage, Stage::Held);
        let expired = self.now >= attempt.due;
        self.answer(id, Answer::Failed { timed_out: expired }, By::Module);
        if held {
            self.close(id);
        }
    }

    /// The final answer: taken once, whoever gives it.
    fn answer(&mut self, id: RequestId, answer: Answer, by: By) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(origin) = attempt.origin.take() else {
            return;
        };
        note(&mut self.tap, self.now, &attempt.incoming, &answer, by);
        self.owed -= 1;
        let class = attempt.incoming.class;
        self.answered_as(class, &answer);
        self.effects.push(Effect::Answer { origin, answer });
    }

    /// Counts an outcome: the one place where that is done.
    fn answered_as(&mut self, class: usize, answer: &Answer) {
        let class = self.classes.counters_mut(class);
        let (all, of_class) = match answer {
            Answer::Served(_) => (&mut self.counters.served, &mut class.served),
            Answer::Rejected { .. } => (&mut self.counters.rejected, &mut class.rejected),
            Answer::Failed { .. } | Answer::Unknown { .. } => {
                (&mut self.counters.failed, &mut class.failed)
            }
        };
        *all += 1;
        *of_class += 1;
    }

    /// Takes a request out of every table: the one place where it is given back.
    fn close(&mut self, id: RequestId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.by_reference.remove(&attempt.incoming.reference);
        self.taken -= attempt.incoming.bytes();
        self.wakes.remove(&(attempt.due, Wake::Due(id)));
        if let Stage::Running {
            call:
                Some(Call {
                    placed: Some((_, given_up)),
                    ..
                }),
            ..
        } = attempt.stage
        {
            self.wakes.remove(&(given_up, Wake::Call(id)));
        }
        if let (Some(key), Some(holder)) = (&attempt.incoming.idempotency_key, attempt.repeats) {
            if let Some(entry) = self.keys.held_by(key, holder) {
                entry.waiting.retain(|&w| w != id);
            }
        }
        Some(attempt)
    }
}

/// A final answer, for the capture.
fn note(tap: &mut Option<Tap>, now: Micros, incoming: &IncomingRequest, answer: &Answer, by: By) {
    if let Some(tap) = tap {
        tap.answer(
            now,
            incoming.reference,
            incoming.class as u32,
            answer.told(),
            by,
        );
    }
}

#[cfg(test)]
mod deployments;
#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod tests;
