//! What is kept in memory: requests, attempts, outcomes. The module's decisions become effects here.
//!
//! The core knows no wire, no socket and no clock: it is told what happened and when, and leaves a list of
//! effects to carry out. It decides no admission, no order and no run limit; that is the module's.

pub mod classes;
pub mod counters;
pub mod durable;
pub mod handed;
pub mod keys;

use classes::{Classes, Seat};
use counters::Counters;
use durable::Durable;
use handed::Handed;
use keys::{Kept, Keys};
use pipitlever::*;
use pipitlever_capture::record::{digest, By, Name, Told};
use pipitlever_capture::tap::Tap;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// What a request takes beside its body, in all tables together.
const REQUEST: usize = 1024;
/// What the process takes whatever it holds, and what each connection takes with its buffers.
const PROCESS: usize = 8 << 20;
const CONNECTION: usize = 24 << 10;
/// On however little memory a node is started, it holds a few requests.
const LEAST: usize = 2 << 20;
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
/// A call without a reply is given up this long after its deadline: the layer below answers by then.
const CALL_GRACE: Micros = 50_000;

/// The memory that may be taken, in bytes. What comes beyond is refused; nothing is forgotten for it. The
/// module's books are of the processor's memory: these keep the process itself within its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// By requests and their bodies.
    pub requests: usize,
    /// By keys and their results.
    pub keys: usize,
    /// By answers that wait to be written.
    pub answers: usize,
}

impl Bounds {
    /// The shares of a process that may take so many bytes and have so many connections. A tenth is left over.
    pub fn within(memory: usize, connections: usize) -> Bounds {
        let left = memory.saturating_sub(PROCESS + connections * CONNECTION).max(LEAST);
        Bounds { requests: left / 10 * 3, keys: left / 10 * 4, answers: left / 10 * 2 }
    }
}

/// Names a request to the outside: its `ref`, new with every try.
pub type Reference = u64;

/// Where the answer goes. The core only carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The connection that the request came on.
    pub connection: u64,
    /// The request's number on that connection.
    pub number: u64,
}

/// A request as a front read it.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Its name, new with every try.
    pub reference: Reference,
    /// The gateway that sent it, where the wire says.
    pub sender: Option<u64>,
    /// Its tenant, by position in the settings, where the wire names one that is there.
    pub tenant: Option<usize>,
    /// Where its answer goes.
    pub origin: Origin,
    /// Its class, by position in the settings.
    pub class: usize,
    /// When it came to the machine.
    pub arrived: Micros,
    /// When its caller stops waiting; the class's deadline after the arrival if it doesn't say.
    pub due: Option<Micros>,
    /// The work to expect, in microseconds on one core.
    pub cost: Option<f64>,
    /// The memory booked while it is held.
    pub memory_kb: f64,
    /// Its rank.
    pub rank: f64,
    /// A further try or a second copy.
    pub retry: bool,
    /// The same for all tries of one request, in keyed classes.
    pub key: Option<Rc<str>>,
    /// The body, as it came.
    pub body: Rc<[u8]>,
    /// Stands for class and body: the same for all tries of one request, on both fronts.
    pub payload: u64,
}

impl Incoming {
    /// What it takes of the memory.
    fn bytes(&self) -> usize {
        REQUEST + self.body.len()
    }

    /// What a capture calls it.
    fn name(&self, id: RequestId) -> Name {
        let key = self.key.as_deref().map(digest);
        Name { id, reference: self.reference, sender: self.sender, key }
    }
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result, unchanged.
    Served(Rc<[u8]>),
    /// This try never ran.
    Refused {
        /// How long the caller should keep away; 0 for no advice.
        cooldown: Micros,
        /// No other node should be tried.
        nowhere: bool,
    },
    /// It may have run.
    Failed {
        /// It failed because its time was up.
        expired: bool,
    },
    /// It may have run, before a restart, and its end is not known.
    Unknown {
        /// After so long a further try of its key may run.
        back: Micros,
    },
}

impl Answer {
    /// As a capture has it.
    fn told(&self) -> Told {
        match self {
            Answer::Served(result) => Told::Served(result.len() as u32),
            Answer::Refused { cooldown, nowhere } => Told::Refused { cooldown: *cooldown, nowhere: *nowhere },
            Answer::Failed { expired } => Told::Failed { expired: *expired },
            Answer::Unknown { .. } => Told::Failed { expired: false },
        }
    }
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Give this answer.
    Answer(Origin, Answer),
    /// Start the run of a request of this class, with its body as it came. Nobody wants its result after the
    /// time given.
    Begin(Reference, usize, Micros, Rc<[u8]>),
    /// Pass on the reply to the call that the run waits for.
    Reply(Reference, Rc<[u8]>),
    /// Stop the run of a request of this class, which nobody waits for any more.
    Interrupt(Reference, usize),
    /// Place a call, given up at this time.
    Call(Reference, Micros, Rc<[u8]>),
    /// Give up a call.
    Abandon(Reference),
    /// Ask the processor for its gauges.
    Gauges,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Well, with a result.
    Fine,
    /// It failed.
    Fault,
    /// It was stopped, or ended at a call since its request was over.
    BrokenOff,
    /// It never started.
    NeverRan,
}

/// Which command the processor did not carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// To start a run.
    Begin,
    /// To stop one.
    Interrupt,
    /// The reply to a call, or one that is not ours.
    Other,
}

/// The processor's gauges, as far as it has them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy share of the cores.
    pub core_use: Option<f64>,
    /// All that needs a core.
    pub on_cores: Option<f64>,
    /// Share of memory in use.
    pub memory_use: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

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
    Running { since: Micros, call: Option<Call>, answered_again: bool },
}

/// One request, owned by the table of requests alone from its arrival to its close.
#[derive(Debug)]
struct Attempt {
    incoming: Incoming,
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
    /// Nothing is admitted or started from then on, until it is told otherwise: its version of the settings may be stale.
    until: Micros,
    idle: Micros,
    gauges: (Micros, Gauges),
    /// Where all that the module is told and says is kept, if it is.
    tap: Option<Tap>,
    /// Callers mark each further try.
    pub marked: bool,
    /// What another process of this node means for this one.
    handed: Handed,
    /// Keyed runs are remembered over a restart, if they are.
    durable: Option<Box<Durable>>,
    /// Counts since the start.
    pub counters: Counters,
    /// The classes by place, and the same by their names.
    pub classes: Classes,
}

impl Core {
    /// A node whose processor is not up yet, with the classes of these names. A round is the shortest gap between two calls of one request, and
    /// no result is longer than `most_result`.
    pub fn new(
        settings: Settings,
        names: &[Rc<str>],
        seed: u64,
        round: Micros,
        most_result: usize,
        bounds: Bounds,
    ) -> Core {
        let mut classes = Classes::default();
        let seats: Vec<Seat> = (0..names.len()).map(|at| Seat { at, was: None }).collect();
        classes.take(names, &seats);
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        Core {
            idle: settings.keepalive_max,
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
            marked: false,
            handed: Handed::default(),
            durable: None,
            counters: Counters::default(),
            classes,
        }
    }

    /// All work goes to workers: the node is up at once, and how busy they are shows in the runs they have.
    pub fn up_without_processor(&mut self, now: Micros) {
        self.counted = true;
        self.up(now, now, false);
    }

    /// The processor came up at this time, cold or warm. Later links to it change nothing.
    pub fn up(&mut self, now: Micros, started: Micros, cold: bool) {
        if self.module.is_some() {
            return;
        }
        self.settings.cold |= cold;
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
        let classes = self.classes.in_force().into_iter().map(|at| self.settings.classes[at].deadline);
        classes.max().unwrap_or(0)
    }

    /// How the class at a place is defined.
    pub fn class(&self, at: usize) -> &Class {
        &self.settings.classes[at]
    }

    /// Whether requests of the class at a place are open, held or running.
    pub fn class_in_use(&self, class: usize) -> bool {
        self.attempts.values().any(|a| a.incoming.class == class)
    }

    /// Other settings from now on, with the classes of these names, in their order, where they were seated. What is
    /// open ends under the class that it came with. Whether anything has changed for the module.
    pub fn retune(
        &mut self,
        mut settings: Settings,
        round: Micros,
        names: &[Rc<str>],
        seats: &[Seat],
    ) -> bool {
        let before = (self.settings.clone(), self.classes.in_force());
        self.classes.take(names, seats);
        let new = std::mem::take(&mut settings.classes);
        let mut classes = std::mem::take(&mut self.settings.classes);
        for (class, seat) in new.into_iter().zip(seats) {
            match classes.get_mut(seat.at) {
                Some(place) => *place = class,
                None => classes.push(class),
            }
        }
        self.keys.read_within(classes.iter().map(|c| c.deadline).max().unwrap_or(0));
        self.settings = Settings { classes, cold: self.settings.cold, ..settings };
        self.round = round.max(LEAST_ROUND);
        if (&self.settings, self.classes.in_force()) == (&before.0, before.1) {
            return false;
        }
        let in_force: Vec<_> = seats.iter().map(|s| (s.at, s.was)).collect();
        let settings = self.shared(&self.settings);
        if let Some(module) = &mut self.module {
            module.retune(settings, &in_force);
        }
        true
    }

    /// Whether the module has not been told anything yet.
    pub fn fresh(&self) -> bool {
        self.module.is_none()
    }

    /// From now on all that the module is told and says is kept, or no longer.
    pub fn capture(&mut self, tap: Option<Tap>) {
        self.tap = tap;
    }

    /// The level to tell with every answer, once there is one.
    pub fn level(&self) -> Option<f64> {
        self.level
    }

    /// Has another level told with every answer; the one before.
    pub fn tell_level(&mut self, level: Option<f64>) -> Option<f64> {
        std::mem::replace(&mut self.level, level)
    }

    /// What health checks hear.
    pub fn healthy(&self) -> bool {
        self.healthy && !self.standby && !self.barred(self.now)
    }

    /// What it acts on is known not to be stale until then, or not known at all; whether it may do more or less than before. The time
    /// is looked at with each request: a process that was stopped past it finds requests in its sockets.
    pub fn allow(&mut self, until: Option<Micros>) -> bool {
        let until = until.unwrap_or(Micros::MIN);
        let before = std::mem::replace(&mut self.until, until);
        (before == Micros::MIN) != (until == Micros::MIN)
    }

    /// Whether nothing may be admitted or started.
    pub fn barred(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Health checks hear bad from now on, or again what the module says; whether that is new. All else goes on.
    pub fn stand_by(&mut self, standby: bool) -> bool {
        std::mem::replace(&mut self.standby, standby) != standby
    }

    /// Whether no work gets done: all cores are taken, and nothing ends.
    pub fn stands_still(&self) -> bool {
        self.module.as_ref().is_some_and(Controller::stands_still)
    }

    /// Whether the module refuses work of low rank, or all.
    pub fn crowded(&self) -> bool {
        self.module.as_ref().is_some_and(|m| m.mode() != Mode::Normal)
    }

    /// Whether operators want no new clients.
    pub fn standing_by(&self) -> bool {
        self.standby
    }

    /// How long a connection may be idle.
    pub fn idle(&self) -> Micros {
        self.idle
    }

    /// The longest result that is passed on, in bytes.
    pub fn most_result(&self) -> usize {
        self.most_result
    }

    /// Answers still owed.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// Whether each request that was read is answered, told gone or open, and nothing is counted twice.
    pub fn balanced(&self) -> bool {
        let Counters { requests, served, refused, failed, gone, .. } = self.counters;
        requests == served + refused + failed + gone + self.owed as u64
    }

    /// Requests, running ones and keys in memory.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let running = self.attempts.values().filter(|a| matches!(a.stage, Stage::Running { .. }));
        (self.attempts.len(), running.count(), self.keys.len())
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

    /// When [`Core::wake`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        let own = self.wakes.first().map(|w| w.0);
        [own, self.store_next()].into_iter().flatten().min()
    }

    /// Whether a request of this name is in memory, or a run of it may still go on.
    pub fn knows(&self, reference: Reference) -> bool {
        self.by_reference.contains_key(&reference) || self.store_knows(reference)
    }

    /// Whether this key stands for another body or class. That is its client's error: the outcome of the other
    /// request is not this one's, and a second run under the key would break its promise.
    pub fn conflicts(&self, key: &str, arrived: Micros, payload: u64) -> bool {
        self.keys.repeated(key, arrived).is_some_and(|e| e.payload != payload)
    }

    /// A request was read. It is answered once from here on, unless its caller leaves.
    pub fn arrived(&mut self, now: Micros, incoming: Incoming) {
        self.counters.requests += 1;
        let deadline = self.settings.classes[incoming.class].deadline;
        let due = incoming.due.unwrap_or(incoming.arrived + deadline) - DUE_MARGIN;
        let taken = self.taken + incoming.bytes();
        let full = taken > self.most_taken;
        let new_key =
            incoming.key.as_ref().is_some_and(|k| self.keys.repeated(k, incoming.arrived).is_none());
        let no_place = new_key && self.keys.full();
        if let Some(answer) = new_key.then(|| self.doubts(now, incoming.retry)).flatten() {
            // Another process may have run it. Never offered, never run here.
            self.now = self.now.max(now);
            note(&mut self.tap, self.now, &incoming, &answer, By::Elsewhere);
            self.answered_as(incoming.class, &answer);
            self.effects.push(Effect::Answer(incoming.origin, answer));
            return;
        }
        let store = if new_key { self.store_refuses(now) } else { None };
        let barred = self.barred(now);
        if self.module.is_none() || barred || full || no_place || store.is_some() {
            // Nothing may be forgotten to make room, so new work has to wait. Never offered, never run.
            let (by, cooldown) = match (&self.module, store) {
                (None, _) => (By::NotUp, FULL_COOLDOWN),
                (Some(_), _) if barred => (By::Floor, FULL_COOLDOWN),
                (Some(_), _) if full => (By::Full, FULL_COOLDOWN),
                (Some(_), _) if no_place => (By::KeysFull, FULL_COOLDOWN),
                (Some(_), store) => store.expect("nothing else is left"),
            };
            let answer = Answer::Refused { cooldown: self.keep_away(cooldown), nowhere: false };
            self.now = self.now.max(now);
            note(&mut self.tap, self.now, &incoming, &answer, by);
            self.answered_as(incoming.class, &answer);
            self.effects.push(Effect::Answer(incoming.origin, answer));
            return;
        }
        self.owed += 1;
        self.taken = taken;
        let origin = Some(incoming.origin);
        let attempt = Attempt { incoming, due, origin, repeats: None, stage: Stage::Held };
        // Nothing is ever left to be told from before, so it need not wait its turn.
        debug_assert!(self.pending.is_empty(), "each call tells the module all that it has");
        let event = self.offer(now, attempt);
        self.step(now, &[event]);
        self.pump(now);
    }

    /// The caller of this request has gone: no answer is owed any more.
    pub fn gone(&mut self, now: Micros, reference: Reference) {
        let Some(&id) = self.by_reference.get(&reference) else { return };
        let attempt = self.attempts.get_mut(&id).expect("both tables agree");
        if attempt.origin.take().is_none() {
            return;
        }
        self.owed -= 1;
        self.counters.gone += 1;
        if matches!(attempt.stage, Stage::Held) {
            self.close(id);
        }
        self.tell(now, Event::Gone(id));
    }

    /// A run ended. `took` runs from its start, waits included.
    pub fn run_ended(&mut self, now: Micros, reference: Reference, end: End, took: Micros, result: Rc<[u8]>) {
        let Some(&id) = self.by_reference.get(&reference) else {
            return self.earlier_ended(reference, end, &result);
        };
        let attempt = &self.attempts[&id];
        if !matches!(attempt.stage, Stage::Running { .. }) {
            return;
        }
        self.now = self.now.max(now);
        if attempt.incoming.key.is_some() && self.outcome(reference, end, took, &result) {
            return;
        }
        let by = if end == End::NeverRan { By::Rejected } else { By::Run };
        self.ended(id, end, took, result, by);
        self.pump(now);
    }

    /// A run is over, or will never begin: its request is answered and closed. What the module is to hear of it
    /// is pending.
    fn ended(&mut self, id: RequestId, end: End, took: Micros, result: Rc<[u8]>, by: By) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Stage::Running { call, .. } = &attempt.stage else { return };
        let reference = attempt.incoming.reference;
        if call.as_ref().is_some_and(|c| c.placed.is_some()) {
            self.effects.push(Effect::Abandon(reference));
        }
        let key = attempt.incoming.key.clone();
        // A result too long to be passed on can't be kept either.
        let end = if end == End::Fine && result.len() > self.most_result { End::Fault } else { end };
        let (outcome, answer, kept) = match end {
            End::Fine => {
                self.counters.runs_fine += 1;
                (Outcome::Done, Answer::Served(result.clone()), Some(Kept::Served(result)))
            }
            End::Fault => (Outcome::Error, Answer::Failed { expired: false }, Some(Kept::Failed)),
            End::BrokenOff => (Outcome::Cancelled, Answer::Failed { expired: false }, Some(Kept::Failed)),
            End::NeverRan => {
                (Outcome::Moot, Answer::Refused { cooldown: FULL_COOLDOWN, nowhere: false }, None)
            }
        };
        self.answer(id, answer.clone(), by);
        self.close(id);
        self.pending.push_back(Pending::Event(Event::Finished { id, took, outcome }));
        if let Some(key) = key {
            self.settle(&key, id, kept, answer);
        }
    }

    /// A run cannot go on without a call.
    pub fn asked(&mut self, now: Micros, reference: Reference, body: Rc<[u8]>) {
        let Some(&id) = self.by_reference.get(&reference) else { return };
        let attempt = self.attempts.get_mut(&id).expect("both tables agree");
        let Stage::Running { call, answered_again, .. } = &mut attempt.stage else { return };
        *call = Some(Call { body, placed: None, turned_away: None });
        *answered_again = false;
        self.tell(now, Event::NeedsCall(id));
    }

    /// A call ended; with a reply if it went well.
    pub fn call_ended(&mut self, now: Micros, reference: Reference, outcome: Outcome, reply: Rc<[u8]>) {
        let Some(&id) = self.by_reference.get(&reference) else { return };
        let attempt = self.attempts.get_mut(&id).expect("both tables agree");
        let Stage::Running { call, .. } = &mut attempt.stage else { return };
        let Some((placed, given_up)) = call.as_mut().and_then(|c| c.placed.take()) else { return };
        self.wakes.remove(&(given_up, Wake::Call(id)));
        if outcome == Outcome::Done {
            *call = None;
            self.counters.calls_fine += 1;
            self.effects.push(Effect::Reply(reference, reply));
        }
        // The module asks again at once, and a layer below that says no within a millisecond, or breaks off,
        // made that a loop of 30,000 calls a second. It is told a round later, as often as it would hear in a simulated day.
        if let (Outcome::Busy | Outcome::Unreachable | Outcome::Reset, Some(call)) = (outcome, call) {
            call.turned_away = Some((placed, outcome));
            self.wakes.insert((now + self.round, Wake::TurnedAway(id)));
            return;
        }
        self.tell(now, Event::CallEnded { id, took: (now - placed).max(0), outcome });
    }

    fn turned_away(&mut self, now: Micros, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Stage::Running { call: Some(call), .. } = &mut attempt.stage else { return };
        let Some((placed, outcome)) = call.turned_away.take() else { return };
        self.tell(now, Event::CallEnded { id, took: (now - placed).max(0), outcome });
    }

    /// Whether a run that is no longer wanted may go on for all that is known: it is to be stopped once more.
    pub fn may_interrupt_again(&self, reference: Reference) -> bool {
        let attempt = self.by_reference.get(&reference).map(|id| &self.attempts[id]);
        attempt.is_some_and(|a| a.origin.is_none() && matches!(a.stage, Stage::Running { .. }))
    }

    /// The processor did not carry out a command for this request. A start that it rejects never ran: it goes
    /// out a second time only in classes where that makes no difference. A stop that it rejects came too late.
    pub fn rejected(&mut self, now: Micros, reference: Reference, command: Rejected) {
        self.counters.rejected += 1;
        if command == Rejected::Interrupt {
            return;
        }
        let start = command == Rejected::Begin;
        let Some(&id) = self.by_reference.get(&reference) else { return };
        let Stage::Running { since, answered_again, .. } = self.attempts[&id].stage else { return };
        if start {
            self.run_ended(now, reference, End::NeverRan, (now - since).max(0), Rc::from([]));
        } else if !answered_again {
            self.now = self.now.max(now);
            self.answer(id, Answer::Failed { expired: false }, By::Rejected);
            self.tell(now, Event::Gone(id));
        }
    }

    /// The processor's gauges.
    pub fn gauges(&mut self, now: Micros, gauges: Gauges) {
        self.gauges = (now, gauges);
    }

    /// Whether a start that may not have been read may go out again: nothing was heard of the run, and somebody
    /// waits for it. All notices so far are known. Safe classes alone, as the run may end just now.
    pub fn may_begin_again(&self, reference: Reference) -> bool {
        let attempt = self.by_reference.get(&reference).map(|id| &self.attempts[id]);
        attempt.is_some_and(|a| {
            let free = self.settings.classes[a.incoming.class].idempotency == Idempotency::Free;
            free && a.origin.is_some() && matches!(a.stage, Stage::Running { call: None, .. })
        })
    }

    /// Whether the reply to a call may go out again that may not have been read: the run has neither ended nor
    /// asked for more. If it was read after all, the processor rejects the second one, which then means nothing.
    pub fn may_answer_again(&mut self, reference: Reference) -> bool {
        let Some(id) = self.by_reference.get(&reference) else { return false };
        match &mut self.attempts.get_mut(id).expect("both tables agree").stage {
            Stage::Running { call: None, answered_again, .. } => {
                *answered_again = true;
                true
            }
            _ => false,
        }
    }

    /// The notice to leave: the process stops after `left`.
    pub fn leaving(&mut self, now: Micros, left: Micros) {
        self.tell(now, Event::Leaving(left));
        self.healthy = false;
    }

    /// Does what is due by now.
    pub fn wake(&mut self, now: Micros) {
        self.keys.expire(now);
        self.store_wake(now);
        while let Some(&(at, wake)) = self.wakes.first().filter(|w| w.0 <= now) {
            self.wakes.pop_first();
            match wake {
                Wake::Gauges => self.effects.push(Effect::Gauges),
                Wake::Timer(tag) => {
                    let known = now - self.gauges.0 <= GAUGE_AGE;
                    let g = match known {
                        _ if self.counted => self.counted_gauges(),
                        true => self.gauges.1,
                        false => Gauges::default(),
                    };
                    let Gauges { core_use, on_cores, memory_use, connections } = g;
                    self.tell(now, Event::Timer { tag, core_use, on_cores, memory_use, connections });
                }
                Wake::Due(id) => self.due(now, id),
                Wake::TurnedAway(id) => self.turned_away(now, id),
                Wake::Call(id) => {
                    let Some(a) = self.attempts.get(&id) else { continue };
                    let Stage::Running { call: Some(call), .. } = &a.stage else { continue };
                    if call.placed.is_some() {
                        let reference = a.incoming.reference;
                        self.effects.push(Effect::Abandon(reference));
                        self.call_ended(at.max(now), reference, Outcome::TimedOut, Rc::from([]));
                    }
                }
            }
        }
    }

    /// Each worker serves one request at a time, so the runs in their hands are the cores in use.
    fn counted_gauges(&self) -> Gauges {
        let runs = self.sizes().1 as f64;
        let core_use = Some((runs / self.settings.cores.max(1.0)).min(1.0));
        Gauges { core_use, on_cores: Some(runs), ..Gauges::default() }
    }

    /// The module answers what is due; should it ever not, the request still gets its answer.
    fn due(&mut self, now: Micros, id: RequestId) {
        if self.attempts.get(&id).is_none_or(|a| a.origin.is_none()) {
            return;
        }
        self.step(now, &[]);
        self.pump(now);
        let Some(attempt) = self.attempts.get(&id).filter(|a| a.origin.is_some()) else { return };
        let held = matches!(attempt.stage, Stage::Held);
        self.answer(id, Answer::Failed { expired: true }, By::Overdue);
        if held {
            self.close(id);
        }
        self.tell(now, Event::Gone(id));
    }

    fn tell(&mut self, now: Micros, event: Event) {
        self.pending.push_back(Pending::Event(event));
        self.pump(now);
    }

    /// Tells the module one thing at a time: what it said to one may decide what the next one repeats.
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
        let Some(module) = &mut self.module else { return };
        let mut actions = std::mem::take(&mut self.actions);
        let tap = self.tap.as_mut();
        if let Some(tap) = tap.filter(|t| t.wants_checkpoint(self.now)) {
            let names = self.attempts.iter().map(|(&id, a)| a.incoming.name(id)).collect();
            tap.checkpoint(self.now, module, &self.settings, names);
        }
        module.step(self.now, events, &mut actions);
        if let Some(tap) = &mut self.tap {
            tap.step(self.now, events, &actions);
        }
        // Actions are carried out without a further step, so the list is this step's alone, and used again.
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
        let repeated = incoming.key.as_ref().and_then(|k| self.keys.repeated(k, incoming.arrived));
        attempt.repeats = repeated.map(|e| e.holder);
        let request = Request {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            has_key: false,
            patience: Some(attempt.due - now),
            cost: incoming.cost,
            memory_kb: incoming.memory_kb,
            rank: incoming.rank,
            retry: incoming.retry,
            write: incoming.key.is_some(),
            queued: (now - incoming.arrived).max(0),
            same_as: attempt.repeats,
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
            Action::Reuse(id) => self.reuse(id),
            Action::Refuse { id, backoff, no_retry } => {
                let Some(attempt) = self.attempts.get(&id) else { return };
                // Refused promises that this try never ran. The module may turn a running read away: to its
                // caller that is a failure.
                if matches!(attempt.stage, Stage::Held) {
                    let cooldown = self.keep_away(backoff);
                    self.answer(id, Answer::Refused { cooldown, nowhere: no_retry }, By::Module);
                    self.close(id);
                } else {
                    self.fail(id);
                }
            }
            Action::Fail(id) => self.fail(id),
            Action::Keep(id, lifetime) => {
                let Some(attempt) = self.attempts.get(&id) else { return };
                if let Some(key) = &attempt.incoming.key {
                    let Incoming { payload, arrived, .. } = attempt.incoming;
                    self.keys.keep(key, id, payload, arrived, self.now + lifetime);
                }
            }
            Action::Forget(id) => self.forget(id),
            Action::Call(id, within) => self.call(id, within),
            Action::Level(level) => self.level = Some(level),
            Action::Health(healthy) => self.healthy = healthy,
            Action::CloseIdle(idle) => self.idle = idle,
            Action::Timer(after, tag) => {
                self.wakes.insert((self.now + after, Wake::Timer(tag)));
                self.wakes.insert((self.now + after - GAUGE_LEAD, Wake::Gauges));
            }
            Action::Halt(id) => self.interrupt(id),
            // No call can be skipped on sockets: no party has a command for it, and the module's settings say so.
            Action::SkipCall(_) => {}
        }
    }

    fn run(&mut self, id: RequestId) {
        if self.barred(self.now) {
            return self.unrun(id);
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let keyed = self.settings.classes[attempt.incoming.class].idempotency == Idempotency::Keyed;
        if keyed {
            // No run without the entry that tells its repeats apart, and none on another try's entry.
            let key = attempt.incoming.key.as_deref().unwrap_or_default();
            let Some(entry) = self.keys.held_by(key, id).filter(|e| !e.begun) else {
                let ended = Event::Finished { id, took: 0, outcome: Outcome::Moot };
                self.pending.push_back(Pending::Event(ended));
                self.answer(id, Answer::Failed { expired: false }, By::NoKey);
                self.close(id);
                return;
            };
            entry.begun = true;
        }
        attempt.stage = Stage::Running { since: self.now, call: None, answered_again: false };
        if !keyed || !self.intend(id) {
            self.begin(id);
        }
    }

    /// What was held under a version that may be stale by now is not started: it never ran, and its key is free again.
    fn unrun(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let key = attempt.incoming.key.clone();
        let answer = Answer::Refused { cooldown: self.keep_away(FULL_COOLDOWN), nowhere: false };
        self.answer(id, answer.clone(), By::Floor);
        self.close(id);
        self.pending.push_back(Pending::Event(Event::Finished { id, took: 0, outcome: Outcome::Moot }));
        if let Some(key) = key {
            self.settle(&key, id, None, answer);
        }
    }

    /// The run goes out.
    fn begin(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let incoming = &attempt.incoming;
        self.counters.runs += 1;
        self.classes.count(incoming.class).relayed += 1;
        let keyed = incoming.key.is_some();
        // A repeat may still want the outcome of a keyed run when its first caller does not.
        let class = &self.settings.classes[incoming.class];
        let until = if keyed { attempt.due.max(incoming.arrived + class.window) } else { attempt.due };
        let begin = Effect::Begin(incoming.reference, incoming.class, until, incoming.body.clone());
        self.effects.push(begin);
    }

    /// A repeat joins the try that has its key, or gets the outcome that is kept of it.
    fn reuse(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        self.counters.repeats += 1;
        let key = attempt.incoming.key.clone().unwrap_or_else(|| Rc::from(""));
        let holder = attempt.repeats.unwrap_or_default();
        let kept = match self.keys.held_by(&key, holder) {
            Some(entry) if entry.kept.is_none() => return entry.waiting.push(id),
            Some(entry) => entry.kept.clone().expect("seen above"),
            None => Kept::Failed,
        };
        self.share(id, &kept);
    }

    /// Gives a repeat the outcome of the try that it repeats.
    fn share(&mut self, id: RequestId, kept: &Kept) {
        let (answer, outcome) = match kept {
            Kept::Served(result) => (Answer::Served(result.clone()), Outcome::Done),
            Kept::Failed => (Answer::Failed { expired: false }, Outcome::Error),
            Kept::Unknown(until) => (Answer::Unknown { back: (until - self.now).max(0) }, Outcome::Error),
        };
        self.answer(id, answer, By::Repeat);
        self.close(id);
        self.pending.push_back(Pending::Event(Event::Finished { id, took: 0, outcome }));
    }

    /// A keyed run ended: its outcome is kept, and goes to those that wait for it.
    fn settle(&mut self, key: &str, id: RequestId, kept: Option<Kept>, answer: Answer) {
        let Some(kept) = kept else {
            // It never ran, so its entry must not stand for a run.
            if self.keys.held_by(key, id).is_some() {
                let entry = self.keys.remove(key).expect("held");
                self.release(entry.waiting, Some(answer));
            }
            return;
        };
        let Some(entry) = self.keys.held_by(key, id) else { return };
        let waiting = std::mem::take(&mut entry.waiting);
        self.keys.ended(key, kept.clone());
        for id in waiting {
            self.share(id, &kept);
        }
    }

    /// The module dropped a try that never ran: its key is free again.
    fn forget(&mut self, id: RequestId) {
        // The request itself may have been closed by its answer, so the entry is looked for by its holder.
        let Some(key) = self.keys.key_of(id) else { return };
        if self.keys.held_by(&key, id).is_some_and(|e| e.begun) {
            return;
        }
        let entry = self.keys.remove(&key).expect("held");
        self.release(entry.waiting, None);
    }

    /// Repeats of a try that never ran: refused along with it, or offered to the module as what they now are,
    /// requests of their own that came when they came.
    fn release(&mut self, waiting: Vec<RequestId>, refusal: Option<Answer>) {
        for id in waiting {
            self.pending.push_back(Pending::Event(Event::Finished { id, took: 0, outcome: Outcome::Error }));
            if let Some(answer) = &refusal {
                self.answer(id, answer.clone(), By::Repeat);
            }
            if let Some(attempt) = self.close(id).filter(|a| a.origin.is_some()) {
                self.taken += attempt.incoming.bytes();
                self.pending.push_back(Pending::Offer(Box::new(attempt)));
            }
        }
    }

    fn call(&mut self, id: RequestId, within: Micros) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Stage::Running { call: Some(call), .. } = &mut attempt.stage else { return };
        if call.placed.is_some() {
            return;
        }
        self.counters.calls += 1;
        let deadline = (self.now + within.clamp(0, 3_600_000_000)).min(attempt.due.max(self.now));
        call.placed = Some((self.now, deadline + CALL_GRACE));
        self.wakes.insert((deadline + CALL_GRACE, Wake::Call(id)));
        self.effects.push(Effect::Call(attempt.incoming.reference, deadline, call.body.clone()));
    }

    /// Its request is answered, or its caller gone: the run would only take the cores from others. It stays in
    /// the table until its end is told, which may also be that it had just ended well.
    fn interrupt(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if attempt.origin.is_none() && matches!(attempt.stage, Stage::Running { .. }) {
            self.counters.interrupted += 1;
            let Incoming { reference, class, .. } = attempt.incoming;
            self.effects.push(Effect::Interrupt(reference, class));
        }
    }

    fn fail(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let held = matches!(attempt.stage, Stage::Held);
        let expired = self.now >= attempt.due;
        self.answer(id, Answer::Failed { expired }, By::Module);
        if held {
            self.close(id);
        }
    }

    /// The final answer: taken once, whoever gives it.
    fn answer(&mut self, id: RequestId, answer: Answer, by: By) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Some(origin) = attempt.origin.take() else { return };
        note(&mut self.tap, self.now, &attempt.incoming, &answer, by);
        self.owed -= 1;
        let class = attempt.incoming.class;
        self.answered_as(class, &answer);
        self.effects.push(Effect::Answer(origin, answer));
    }

    /// Counts an outcome: the one place where that is done.
    fn answered_as(&mut self, class: usize, answer: &Answer) {
        let class = self.classes.count(class);
        let (all, of_class) = match answer {
            Answer::Served(_) => (&mut self.counters.served, &mut class.fulfilled),
            Answer::Refused { .. } => (&mut self.counters.refused, &mut class.throttled),
            Answer::Failed { .. } | Answer::Unknown { .. } => (&mut self.counters.failed, &mut class.faulted),
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
        if let Stage::Running { call: Some(Call { placed: Some((_, given_up)), .. }), .. } = attempt.stage {
            self.wakes.remove(&(given_up, Wake::Call(id)));
        }
        if let (Some(key), Some(holder)) = (&attempt.incoming.key, attempt.repeats) {
            if let Some(entry) = self.keys.held_by(key, holder) {
                entry.waiting.retain(|&w| w != id);
            }
        }
        Some(attempt)
    }
}

/// A final answer, for the capture.
fn note(tap: &mut Option<Tap>, now: Micros, incoming: &Incoming, answer: &Answer, by: By) {
    if let Some(tap) = tap {
        tap.answer(now, incoming.reference, incoming.class as u32, answer.told(), by);
    }
}

#[cfg(test)]
mod deployments;
#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod tests;
