//! All decisions. The types, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the hysteretic control of Gaidamaka et al.: three modes on the count of requests
//! waiting to start, and a companion loop for how many of them run. `docs/design.md` tells what was kept
//! and what was changed. Tuned values are shares of an aim or multiples of cores, each with its reason.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Weight of a new reading in a smoothed one: the last ten or so requests count.
const SMOOTH: f64 = 0.1;

/// A smoothed time, and the best of it: drawn after it quickly down, slowly up. The least value ever seen
/// would be a chance low of times that spread widely, and would make ordinary times look slow; so would one
/// of the first few, which stand for long where few requests come. Both start as the plain mean of those.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Timing {
    mean: f64,
    best: f64,
    count: f64,
}

impl Timing {
    fn learn(&mut self, value: f64) {
        self.count += 1.0;
        self.mean += SMOOTH.max(1.0 / self.count) * (value - self.mean);
        let weight = if self.mean < self.best { SMOOTH } else { 0.05 * SMOOTH };
        let first = self.count * SMOOTH <= 1.0;
        self.best = if first { self.mean } else { self.best + weight * (self.mean - self.best) };
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    class: usize,
    state: Stage,
    due: Micros,
    aim: Micros,
    worth: f64,
    cost: f64,
    memory: f64,
    retry: bool,
    answered: bool,
    kept: bool,
    off_cores: Micros,
    parked_at: Micros,
}

/// The share of the aim that a line may take without hurting anybody, and that beyond which nothing joins it.
const SHORT: f64 = 0.1;
const LONG: f64 = 0.4;

/// The three modes on the count waiting to start, checked at every change of it (policy P1).
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Modes {
    mode: Mode,
    abate: f64,
    onset: f64,
    discard: f64,
}

impl Modes {
    /// The paper's thresholds are fixed. Here each is the number that the measured rate of success works off
    /// in a share of the aim, so slow servers, heavy requests and runs that fail fast all lower them.
    fn set(&mut self, rate: f64, aim: f64) {
        // A tenth of the aim is a line too short to hurt; a fifth leaves most of the aim to be read, to run
        // and to call in; beyond four tenths what is read last is unlikely to be answered within its aim.
        let drained = rate * aim / 1e6;
        // Where that is a handful chance alone passes it, so the spread of a chance count is added.
        let above = |share: f64| (share * drained + (share * drained).sqrt()).floor();
        self.abate = above(SHORT).max(1.0);
        self.onset = above(0.2).max(self.abate + 1.0);
        self.discard = (LONG * drained).floor().max(self.onset + 2.0);
    }

    fn check(&mut self, count: f64) {
        self.mode = match self.mode {
            _ if count >= self.discard => Mode::Discard,
            Mode::Normal if count >= self.onset => Mode::Overload,
            Mode::Discard if count <= self.onset => Mode::Overload,
            mode => mode,
        };
        if self.mode == Mode::Overload && count < self.abate {
            self.mode = Mode::Normal;
        }
    }
}

/// What a class has been seen to take: time from start to end, that less waits for calls, and the cost hint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Seen {
    total: Timing,
    cores: Timing,
    hint: Timing,
}

impl Seen {
    /// The cost of a request beside the usual of its class.
    fn size(&self, cost: f64) -> f64 {
        if cost > 0.0 && self.hint.mean > 0.0 {
            cost / self.hint.mean
        } else {
            1.0
        }
    }
}

/// The paper's control of one line: the modes, and a cut on rank that says what ranks high. One gate guards
/// the line to start; a second one, an extension, guards the line of requests that still need a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Gate {
    modes: Modes,
    recent: VecDeque<(Micros, f64)>,
    /// Arrivals a second.
    arriving: f64,
    cut: f64,
}

impl Gate {
    fn new(rate: f64, aim: f64) -> Gate {
        let mut modes = Modes { mode: Mode::Normal, abate: 1.0, onset: 2.0, discard: 4.0 };
        modes.set(rate, aim);
        Gate { modes, recent: VecDeque::new(), arriving: 0.0, cut: 0.0 }
    }

    fn takes(&self, worth: f64) -> bool {
        match self.modes.mode {
            Mode::Normal => true,
            Mode::Overload => worth >= self.cut,
            Mode::Discard => false,
        }
    }

    /// Sets the thresholds, and puts the cut where the share of arrivals above it is what can be worked off,
    /// less as the line grows. Arrivals are counted over two aims: some dozens of requests.
    fn set(&mut self, now: Micros, rate: f64, aim: f64, [count, waiting]: [f64; 2], age: Micros) {
        self.modes.set(rate, aim);
        self.modes.check(count);
        let span = 2.0 * aim;
        while self.recent.front().is_some_and(|x| (now - x.0) as f64 > span) {
            self.recent.pop_front();
        }
        self.arriving = self.recent.len() as f64 / span.min(age.max(1) as f64) * 1e6;
        let line = (waiting - self.modes.abate) / (self.modes.discard - self.modes.abate);
        let keep = rate * (1.2 - 0.6 * line.clamp(0.0, 1.0)) / self.arriving.max(1e-9);
        if self.modes.mode == Mode::Normal || keep >= 1.0 {
            // Callers held back by the level come back bit by bit.
            self.cut = if self.cut < 0.02 { 0.0 } else { 0.97 * self.cut };
            return;
        }
        let mut worths: Vec<f64> = self.recent.iter().map(|x| x.1).collect();
        worths.sort_by(f64::total_cmp);
        let at = ((1.0 - keep) * worths.len() as f64) as usize;
        let target = worths.get(at).copied().unwrap_or(0.0);
        self.cut = if target > self.cut { target } else { self.cut + 0.1 * (target - self.cut) };
    }
}

/// What a request is worth beside the others, and how many of them were tries that others turned away.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Rank {
    tenants: Vec<VecDeque<Micros>>,
    retries: f64,
}

impl Rank {
    /// Rank with what the class band does not know: tenants over quota are worth little, and a marked
    /// retry has less of its time left than a first try.
    fn worth(&mut self, s: &Settings, now: Micros, r: &Request, span: f64) -> f64 {
        let retry = if r.retry { 1.0 } else { 0.0 };
        self.retries += 0.5 * SMOOTH * (retry - self.retries);
        let mut worth = r.rank * (1.0 - 0.1 * retry);
        if let Some(t) = r.tenant.filter(|&t| t < s.tenants.len()) {
            let seen = &mut self.tenants[t];
            if !r.retry {
                seen.push_back(now);
            }
            while seen.front().is_some_and(|&at| (now - at) as f64 > span) {
                seen.pop_front();
            }
            let quota = s.tenants[t].quota_rps / s.replicas.max(1.0) * span / 1e6;
            // Twice the spread of a chance count is allowed, since a quota holds for the fleet, not here.
            let over = seen.len() as f64 - quota - 2.0 * quota.sqrt();
            worth *= 1.0 - over.max(0.0) / seen.len().max(1) as f64 * (1.0 - s.over_share_worth);
        }
        worth
    }
}

/// How many requests may be on the cores.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RunLimit {
    limit: f64,
    started: Micros,
    /// Smoothed ratio of time on the cores to the best of the class.
    stretch: f64,
    /// Smoothed time on the cores of all ended runs, and the share that succeeded.
    slot: f64,
    success: f64,
}

impl RunLimit {
    /// The crowd that the cores survive at this moment, with a third kept back: the mean is over a span,
    /// and runs come back from calls and disks unbidden.
    fn ceiling(&self, s: &Settings, now: Micros) -> f64 {
        let cold_for = s.safety.cold_for.max(1) as f64;
        let age = if s.cold { (now - self.started) as f64 / cold_for } else { 1.0 };
        let speed = (s.safety.cold_from + (1.0 - s.safety.cold_from) * age).min(1.0);
        (0.65 * (1.0 + (s.safety.crowd - 1.0) * speed) * s.cores).max(1.0)
    }

    fn adjust(&mut self, s: &Settings, now: Micros, core_use: f64, held: usize) {
        let floor = s.cores.max(1.0);
        // Cores idle while work is held: runs wait for a disk, so more may run, whatever latency says.
        if core_use < 0.9 && held > 0 {
            self.limit = (self.limit * 1.15).max(self.limit + 1.0);
        } else if self.stretch > 2.0 || core_use > 0.97 {
            // Cores are busy: each further run only slows the others.
            self.limit -= 0.05 * self.limit;
        }
        self.limit = self.limit.min(self.ceiling(s, now)).max(floor.min(self.ceiling(s, now)));
    }
}

/// How many calls may be in the hands of the layer below.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Calls {
    placed: f64,
    lingering: VecDeque<Micros>,
    /// Seconds of calls in hand that may still be spent; below nought after a slow call.
    credit: f64,
    at: Micros,
    limit: f64,
    latency: Timing,
}

impl Calls {
    /// The least and the most that the bound may be. What a shared layer survives is some times
    /// what it does well; a fifth of the share keeps it busy. A tier tells no share: there it lies
    /// from a call a core to as many calls as there may be runs.
    fn bounds(s: &Settings) -> [f64; 2] {
        match s.below {
            Below::Tier => [s.cores.max(1.0), (0.65 * s.safety.crowd * s.cores).max(s.cores.max(1.0))],
            _ => [0.3 * s.call_share, 0.45 * s.call_share],
        }
    }

    /// Credit comes in at the bound and is spent by calls in hand, so the mean in hand is the bound however
    /// slow calls are, also where it is far below one call at a time. A fifth of the rule's span is saved up.
    fn advance(&mut self, s: &Settings, now: Micros) {
        while self.lingering.front().is_some_and(|&until| until <= now) {
            self.lingering.pop_front();
        }
        let gained = (self.limit - self.in_hand()) * (now - self.at) as f64;
        self.credit = (self.credit + gained).min(0.2 * self.limit * s.call_span as f64);
        self.at = now;
    }

    fn in_hand(&self) -> f64 {
        self.placed + self.lingering.len() as f64
    }

    /// A chance bunch, which the fleet as a whole evens out, may pass the bound twice over, or be one call:
    /// larger ones would crowd a layer that is already slow.
    fn bunch(&self) -> f64 {
        (2.0 * self.limit).max(1.0)
    }

    fn room(&self, s: &Settings, ceiling: f64) -> bool {
        let hands = self.in_hand() + 1.0;
        if s.below != Below::Shared {
            return hands <= self.limit.min(ceiling);
        }
        hands <= self.bunch() && self.credit > 0.0
    }

    /// When a call is given up: all servers may find themselves with a slow call at once. What the bound and
    /// the saved credit leave of nine tenths of the share over the rule's span is what calls may overspend,
    /// lingering included.
    fn patience(&self, s: &Settings) -> Micros {
        if s.below != Below::Shared {
            return Micros::MAX;
        }
        let spare = (0.9 * s.call_share - 1.2 * self.limit) / self.bunch();
        let spare = (spare * s.call_span as f64) as Micros;
        spare - s.linger.min(spare / 2)
    }

    /// Calls a second that the bound allows. A tier's share is not told, and what its window lets through is
    /// no promise: there the whole line is to be one that hurts nobody.
    fn rate(&self, s: &Settings) -> f64 {
        if self.latency.mean == 0.0 {
            return f64::INFINITY;
        }
        let share = if s.below == Below::Tier { SHORT / LONG } else { 1.0 };
        share * self.limit / self.latency.mean * 1e6
    }

    fn ended(&mut self, s: &Settings, now: Micros, took: f64, outcome: Outcome) {
        self.placed -= 1.0;
        if outcome == Outcome::Busy || outcome == Outcome::Unreachable {
            self.credit -= self.latency.mean;
        }
        if outcome == Outcome::TimedOut || outcome == Outcome::Cancelled {
            self.lingering.push_back(now + s.linger);
        }
        if outcome == Outcome::Done || outcome == Outcome::TimedOut {
            self.latency.learn(took);
        }
        // Latency well over the best means that calls wait in line below: fewer at a time do as much.
        if outcome != Outcome::Done || self.latency.mean > 1.5 * self.latency.best {
            self.limit *= 0.95;
        } else if s.below == Below::Tier || self.credit < 0.5 * 0.2 * self.limit * s.call_span as f64 {
            self.limit += 0.05 * self.limit;
        }
        let [least, most] = Calls::bounds(s);
        self.limit = self.limit.clamp(least, most);
    }
}

/// An exact account of memory: held and running requests and kept keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Memory {
    requests: f64,
    keys: BTreeSet<(Micros, RequestId)>,
    expiry: BTreeMap<RequestId, Micros>,
}

impl Memory {
    fn used(&self, s: &Settings) -> f64 {
        self.requests + self.keys.len() as f64 * s.key_kb
    }

    /// Room is asked for before a run or a key; a tenth stays free, as reading takes memory unasked.
    fn room(&self, s: &Settings, more: f64) -> bool {
        self.used(s) + more <= 0.9 * s.memory_kb
    }

    fn keep(&mut self, id: RequestId, until: Micros) {
        self.forget(id);
        self.keys.insert((until, id));
        self.expiry.insert(id, until);
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(until) = self.expiry.remove(&id) {
            self.keys.remove(&(until, id));
        }
    }

    fn expire(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.keys.first().filter(|k| k.0 < now) {
            self.keys.remove(&(until, id));
            self.expiry.remove(&id);
        }
    }
}

/// The way out, once the notice to leave has come.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Drain {
    /// What arrived later than this must not run.
    last_arrival: Micros,
    /// Everything read is answered by then.
    stop: Micros,
}

/// The shortest aim of these classes, which the lines and the slow loop go by.
fn shortest_aim<'a>(classes: impl Iterator<Item = &'a Class>) -> f64 {
    classes.map(|c| c.aim).min().unwrap_or(1_000_000).max(1) as f64
}

/// Decides for one server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Controller {
    s: Settings,
    now: Micros,
    born: Option<Micros>,
    random: u64,
    entries: BTreeMap<RequestId, Entry>,
    held: BTreeSet<RequestId>,
    /// The gates of the line to start and of the line for calls.
    gates: [Gate; 2],
    told: f64,
    /// Smoothed time that requests stood unread.
    unread: f64,
    seen: Vec<Seen>,
    rank: Rank,
    run: RunLimit,
    calls: Calls,
    memory: Memory,
    drain: Option<Drain>,
    next_control: Micros,
    core_use: f64,
    /// Smoothed number on the cores beyond runs: being read, less the runs that wait for a disk.
    reading: f64,
    aim: f64,
    /// Open connections, and how long one may be idle.
    connections: f64,
    idle: f64,
    /// Why requests were turned away or failed in the last step.
    #[serde(skip)]
    why: Vec<(RequestId, Cause)>,
}

impl Controller {
    /// A controller for a server that starts now, with a seed for its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let s = settings;
        let aim = shortest_aim(s.classes.iter());
        // Until runs are seen, one is taken to need a quarter of the shortest aim.
        let slot = 0.25 * aim;
        let rank = Rank { tenants: vec![VecDeque::new(); s.tenants.len()], retries: 0.0 };
        Controller {
            now: 0,
            born: None,
            reading: 0.0,
            random: seed | 1,
            entries: BTreeMap::new(),
            held: BTreeSet::new(),
            gates: [Gate::new(s.cores / slot * 1e6, aim), Gate::new(f64::INFINITY, aim)],
            told: 0.0,
            unread: 0.0,
            seen: vec![Seen::default(); s.classes.len()],
            rank,
            run: RunLimit { limit: s.cores.max(1.0), started: 0, stretch: 1.0, slot, success: 1.0 },
            calls: Calls {
                placed: 0.0,
                lingering: VecDeque::new(),
                credit: 0.0,
                at: 0,
                // Calls slow down long before the share is reached; growth starts from less than a third.
                limit: if s.below == Below::Tier { Calls::bounds(&s)[1] } else { 0.4 * s.call_share },
                latency: Timing::default(),
            },
            memory: Memory::default(),
            drain: None,
            next_control: 0,
            core_use: 0.0,
            aim,
            connections: 0.0,
            idle: s.keepalive_max as f64,
            why: Vec::new(),
            s,
        }
    }

    /// Other settings from now on. Requests in hand end under the class that they came with, so classes keep
    /// their places: those in force are at these, each with the place of the class whose experience it takes
    /// over.
    pub fn retune(&mut self, settings: Settings, in_force: &[(usize, Option<usize>)]) {
        let before = std::mem::take(&mut self.seen);
        self.s = Settings { cold: self.s.cold, ..settings };
        self.seen = (0..self.s.classes.len()).map(|i| before.get(i).cloned().unwrap_or_default()).collect();
        for &(at, was) in in_force.iter().filter(|(at, was)| Some(*at) != *was) {
            self.seen[at] = was.and_then(|was| before.get(was).cloned()).unwrap_or_default();
        }
        self.rank.tenants.resize(self.s.tenants.len(), VecDeque::new());
        self.aim = shortest_aim(in_force.iter().map(|&(at, _)| &self.s.classes[at]));
        let [least, most] = Calls::bounds(&self.s);
        self.calls.limit = self.calls.limit.clamp(least, most);
    }

    /// The mode that the server is in.
    pub fn mode(&self) -> Mode {
        self.gates[0].modes.mode
    }

    /// Whether actions may still name this request; when not, a host can free what it keeps for it.
    pub fn knows(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Requests waiting to start.
    pub fn waiting(&self) -> usize {
        self.held.len()
    }

    /// The thresholds in force: abatement, onset and discard.
    pub fn thresholds(&self) -> (f64, f64, f64) {
        let m = &self.gates[0].modes;
        (m.abate, m.onset, m.discard)
    }

    /// Why requests were turned away or failed in the last step, in order.
    pub fn why(&self) -> &[(RequestId, Cause)] {
        &self.why
    }

    /// How a request stands, while actions may still name it.
    pub fn standing(&self, id: RequestId) -> Option<Standing> {
        let e = self.entries.get(&id)?;
        Some(Standing { stage: e.state, aim: e.aim, due: e.due, worth: e.worth })
    }

    /// What it goes by at the moment.
    pub fn view(&self) -> View {
        let line = |i: usize| {
            let Gate { modes: m, cut, arriving, .. } = &self.gates[i];
            let thresholds = [m.abate, m.onset, m.discard];
            LineView { mode: m.mode, count: self.line(i), thresholds, cut: *cut, arriving: *arriving }
        };
        let at_call = |e: &&Entry| matches!(e.state, Stage::Parked | Stage::Calling);
        View {
            lines: [line(0), line(1)],
            held: self.held.len(),
            running: self.on_cores() as usize,
            at_call: self.entries.values().filter(at_call).count(),
            run_limit: self.run.limit,
            reading: self.reading,
            in_hand: self.calls.in_hand(),
            call_limit: self.calls.limit,
            memory_kb: self.memory.used(&self.s),
            rate: self.rate(),
            leaving: self.drain.is_some(),
        }
    }

    /// Takes in a batch of events, then decides.
    pub fn step(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        self.why.clear();
        if self.born.is_none() {
            self.born = Some(now);
            self.run.started = now;
            self.calls.at = now;
            // Checks answered from store cost next to nothing and never load the layer below.
            out.push(Action::Health(true));
            out.push(Action::Timer(self.tick(), 0));
        }
        self.calls.advance(&self.s, now);
        self.memory.expire(now);
        let mut ticked = false;
        for event in events {
            match event {
                Event::Arrived(r) => self.take_in(r),
                Event::Leaving(left) => self.leave(*left, out),
                Event::Finished { id, took, outcome } => self.finished(*id, *took, *outcome),
                Event::Gone(id) => self.gone(*id, out),
                Event::NeedsCall(id) => {
                    if let Some(e) = self.entries.get_mut(id) {
                        e.state = Stage::Parked;
                        e.parked_at = now;
                    }
                }
                Event::CallEnded { id, took, outcome } => self.call_ended(*id, *took, *outcome, out),
                Event::Timer { core_use, connections, on_cores, .. } => {
                    let reading = on_cores.map_or(0.0, |n| n - self.on_cores());
                    self.reading += SMOOTH * (reading - self.reading);
                    ticked = true;
                    self.connections = connections.unwrap_or(self.connections);
                    self.core_use = core_use.unwrap_or(self.core_use);
                }
            }
        }
        self.control(out);
        for event in events {
            if let Event::Arrived(r) = event {
                self.admit(r, out);
            }
        }
        self.sweep(out);
        self.place_calls(out);
        self.check();
        self.start(out);
        if ticked {
            out.push(Action::Timer(self.tick(), 0));
        }
    }

    /// A third of the slack: due times are met with two ticks to spare.
    fn tick(&self) -> Micros {
        (self.s.safety.answer_slack / 3).max(1000)
    }

    fn on_cores(&self) -> f64 {
        self.entries.values().filter(|e| e.state == Stage::Running).count() as f64
    }

    fn class(&self, class: usize) -> &Class {
        &self.s.classes[class]
    }

    /// Requests a second that can be finished well: Little's law on the places on the cores.
    fn rate(&self) -> f64 {
        self.run.limit / self.run.slot.max(1.0) * 1e6 * self.run.success
    }

    /// The length of a line: all that wait to start, or those that wait to call and, beyond a bunch, to start
    /// and need calls. What stands unread counts with the first, by Little's law on the wait that arrivals
    /// report, since reading takes the cores that runs need. It never brings on discard: to read only in
    /// order to refuse would serve nobody.
    fn line(&self, gate: usize) -> f64 {
        if gate == 0 {
            let held = self.held.len() as f64;
            // Waits to be read of up to a third of the aim are an ordinary bunch.
            let unread = (self.unread - 0.3 * self.aim).max(0.0) * self.rate() / 1e6;
            return (held + unread).min(self.gates[0].modes.discard - 1.0).max(held);
        }
        let to_call = self.held.iter().filter(|id| self.s.classes[self.entries[id].class].calls);
        // Up to the first line's abatement they are an ordinary bunch, which the cores soon start.
        let beyond = (to_call.count() as f64 - self.gates[0].modes.abate).max(0.0);
        beyond + self.parked().count() as f64
    }

    /// Requests that wait for their call to be placed, with their aims.
    fn parked(&self) -> impl Iterator<Item = (Micros, RequestId)> + '_ {
        let waits = |e: &Entry| e.state == Stage::Parked && !e.answered;
        self.entries.iter().filter(move |(_, e)| waits(e)).map(|(&id, e)| (e.aim, id))
    }

    /// Policy P1: at every change of a line its mode is looked at.
    fn check(&mut self) {
        for i in 0..2 {
            let count = self.line(i);
            self.gates[i].modes.check(count);
        }
    }

    /// A request enters the books. From here on it occupies memory and is owed an answer.
    fn take_in(&mut self, r: &Request) {
        let class = self.class(r.class);
        let arrived = self.now - r.queued;
        let aim = class.aim + (class.aim_stretch * r.cost.unwrap_or(0.0)) as Micros;
        let mut due = match r.patience {
            Some(patience) => self.now + patience,
            None => arrived + class.deadline,
        };
        if let Some(drain) = self.drain {
            due = due.min(drain.stop);
        }
        let entry = Entry {
            class: r.class,
            state: Stage::Held,
            due,
            aim: (arrived + aim).min(due),
            worth: self.rank.worth(&self.s, self.now, r, 2.0 * self.aim),
            cost: r.cost.unwrap_or(0.0),
            memory: r.memory_kb,
            retry: r.retry,
            answered: false,
            kept: false,
            off_cores: 0,
            parked_at: 0,
        };
        self.unread += SMOOTH * (r.queued as f64 - self.unread);
        self.memory.requests += r.memory_kb;
        self.entries.insert(r.id, entry);
    }

    /// Takes a request that was just read, or turns it away: early, before it has cost more than its reading.
    fn admit(&mut self, r: &Request, out: &mut Vec<Action>) {
        if !self.entries.contains_key(&r.id) {
            return;
        }
        let keyed = self.class(r.class).idempotency == Idempotency::Keyed;
        if r.same_as.is_some() {
            // A repeat is answered from the first: running it, or turning it away, could be a second effect.
            let entry = self.entries.get_mut(&r.id).expect("taken in above");
            entry.state = Stage::Reusing;
            out.push(Action::Reuse(r.id));
            if self.memory.used(&self.s) > self.s.memory_kb {
                let cause = Cause::Memory { used: self.memory.used(&self.s), more: 0.0 };
                self.fail(r.id, cause, out);
            }
            return;
        }
        // Looked at once: what was taken before the notice arrived before it too.
        let late = self.drain.is_some_and(|d| self.now - r.queued > d.last_arrival);
        let key_kb = if keyed { self.s.key_kb } else { 0.0 };
        let worth = self.entries[&r.id].worth;
        let mut cause = late.then_some(Cause::AfterGrace);
        for (i, gate) in self.gates.iter_mut().enumerate() {
            if i == 0 || self.s.classes[r.class].calls {
                gate.recent.push_back((self.now, worth));
                let line = Cause::Line { calls: i == 1, mode: gate.modes.mode, worth, cut: gate.cut };
                cause = cause.or((!gate.takes(worth)).then_some(line));
            }
        }
        let memory = Cause::Memory { used: self.memory.used(&self.s), more: key_kb };
        cause = cause.or((!self.memory.room(&self.s, key_kb)).then_some(memory));
        if let Some(cause) = cause {
            return self.refuse(r.id, cause, out);
        }
        let fresh = self.s.fresh > 0 && r.has_key && !r.write;
        let share = fresh && self.class(r.class).idempotency == Idempotency::Free;
        if keyed || (share && self.memory.room(&self.s, self.s.key_kb)) {
            // Kept while still held: a repeat that comes before the run is recognised too. The window counts
            // from the arrival, the entry from now, so it outlasts the window.
            let window =
                if keyed { self.class(r.class).window } else { self.s.fresh + self.class(r.class).aim };
            self.memory.keep(r.id, self.now + window);
            self.entries.get_mut(&r.id).expect("taken in above").kept = true;
            out.push(Action::Keep(r.id, window));
        }
        self.held.insert(r.id);
        self.check();
    }

    fn finished(&mut self, id: RequestId, took: Micros, outcome: Outcome) {
        let Some(e) = self.entries.remove(&id) else { return };
        if e.state == Stage::Reusing {
            self.memory.requests -= e.memory;
            return;
        }
        self.memory.requests -= e.memory * self.s.run_factor;
        if e.state == Stage::Calling {
            self.calls.ended(&self.s, self.now, took as f64, Outcome::Cancelled);
        }
        if outcome == Outcome::Moot {
            // Nothing was started, so it says nothing of runs, and no repeat can be told from it.
            self.memory.forget(id);
            return;
        }
        let cores = (took - e.off_cores).max(1) as f64;
        if outcome == Outcome::Done && !e.answered {
            let seen = &mut self.seen[e.class];
            seen.total.learn(took as f64);
            seen.cores.learn(cores);
            seen.hint.learn(e.cost);
            // A large request is not a slow one.
            let ratio = cores / (seen.cores.best * seen.size(e.cost)).max(1.0);
            self.run.stretch += SMOOTH * (ratio - self.run.stretch);
        }
        let good = if outcome == Outcome::Done { 1.0 } else { 0.0 };
        self.run.success += SMOOTH * (good - self.run.success);
        self.run.slot += SMOOTH * (cores - self.run.slot);
    }

    fn gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.entries.get_mut(&id) else { return };
        e.answered = true;
        match e.state {
            Stage::Held | Stage::Reusing => self.drop_unrun(id, out),
            // Nobody waits, but a repeat may still want the outcome of a keyed one.
            _ if self.s.classes[e.class].idempotency != Idempotency::Keyed => self.halt(id, out),
            _ => {}
        }
    }

    fn call_ended(&mut self, id: RequestId, took: Micros, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(e) = self.entries.get_mut(&id) else { return };
        if e.state != Stage::Calling {
            return;
        }
        self.calls.ended(&self.s, self.now, took as f64, outcome);
        match outcome {
            Outcome::Done => {
                e.state = Stage::Running;
                e.off_cores += self.now - e.parked_at;
            }
            // Proven not to have run: it may be placed again, paid for as if it had.
            Outcome::Busy | Outcome::Unreachable => e.state = Stage::Parked,
            // Nobody knows whether it ran; a class that is safe to repeat doesn't care.
            Outcome::Reset if self.s.classes[e.class].idempotency == Idempotency::Free => {
                e.state = Stage::Parked;
            }
            _ => {
                e.state = Stage::Parked;
                if self.s.classes[e.class].skip_worth > 0.0 {
                    e.state = Stage::Running;
                    out.push(Action::SkipCall(id));
                } else if !e.answered {
                    self.fail(id, Cause::Call(outcome), out);
                }
            }
        }
    }

    /// Removes a request that never ran, and its key with it.
    fn drop_unrun(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.entries.remove(&id) else { return };
        self.memory.requests -= e.memory;
        if e.kept && e.state == Stage::Held {
            self.memory.forget(id);
            out.push(Action::Forget(id));
        }
        if self.held.remove(&id) {
            self.check();
        }
    }

    /// Turns away a request that never ran.
    fn refuse(&mut self, id: RequestId, cause: Cause, out: &mut Vec<Action>) {
        self.why.push((id, cause));
        let e = &self.entries[&id];
        let hopeless = self.now >= e.aim && self.class(e.class).late_worth == 0.0;
        // When many arrivals were turned away elsewhere the whole fleet is short: another try only costs
        // a further reading.
        let no_retry = hopeless || e.retry || self.rank.retries > 0.2;
        let over = (self.line(0) - self.gates[0].modes.abate).max(0.0) / self.rate().max(1e-9) * 1e6;
        let mut backoff = if self.drain.is_some() {
            self.s.max_backoff
        } else if self.gates[0].modes.mode == Mode::Normal {
            0
        } else {
            (over * (0.5 + self.chance())) as Micros
        };
        backoff = backoff.clamp(0, self.s.max_backoff.max(0));
        out.push(Action::Refuse { id, backoff, no_retry });
        self.drop_unrun(id, out);
    }

    /// Answers with an error: all that may have run, or waits for one that may have.
    fn fail(&mut self, id: RequestId, cause: Cause, out: &mut Vec<Action>) {
        let Some(e) = self.entries.get_mut(&id) else { return };
        self.why.push((id, cause));
        e.answered = true;
        out.push(Action::Fail(id));
        match e.state {
            Stage::Held | Stage::Reusing => self.drop_unrun(id, out),
            Stage::Running => self.halt(id, out),
            _ => {}
        }
    }

    fn halt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.s.halt != HaltMode::Never {
            out.push(Action::Halt(id));
        }
    }

    fn leave(&mut self, left: Micros, out: &mut Vec<Action>) {
        let stop = self.now + (left - 2 * self.tick()).max(0);
        self.drain = Some(Drain { last_arrival: self.now + self.s.safety.drain_grace, stop });
        for e in self.entries.values_mut() {
            e.due = e.due.min(stop);
        }
        out.push(Action::Health(false));
        if self.s.level != LevelKind::Never {
            // The highest threshold, or no window and no share.
            out.push(Action::Level(if self.s.level == LevelKind::Threshold { 1.0 } else { 0.0 }));
        }
    }

    /// The slow loop, a tenth of the shortest aim apart: thresholds, run limit, cut and level.
    fn control(&mut self, out: &mut Vec<Action>) {
        if self.now < self.next_control {
            return;
        }
        self.next_control = self.now + (0.1 * self.aim) as Micros;
        self.run.adjust(&self.s, self.now, self.core_use, self.held.len());
        let rates = [self.rate(), self.calls.rate(&self.s)];
        let age = self.now - self.born.unwrap_or(self.now);
        for (i, rate) in rates.into_iter().enumerate() {
            let count = self.line(i);
            let waiting = if i == 0 { self.held.len() as f64 } else { count };
            self.gates[i].set(self.now, rate, self.aim, [count, waiting], age);
        }
        self.close_idle(out);
        let cut = self.gates[0].cut;
        let level = match self.s.level {
            LevelKind::Threshold => cut,
            LevelKind::Share => 1.0 - cut,
            LevelKind::Window => {
                (self.run.limit + self.gates[0].modes.onset) * (1.0 - cut) / self.s.callers.max(1.0)
            }
            LevelKind::Never => return,
        };
        // Small changes are not worth telling.
        if self.drain.is_none() && (level - self.told).abs() > 0.02 {
            self.told = level;
            out.push(Action::Level(level));
        }
    }

    /// Idle connections fill the table, which takes of the cores and then shuts callers out. A caller back
    /// within half an aim is worth waiting for: connections beyond what that brings, and beyond four a core
    /// that do no harm, are of callers that aren't, and are closed sooner. With few callers none is closed.
    fn close_idle(&mut self, out: &mut Vec<Action>) {
        let useful = 0.5 * self.gates[0].arriving * self.aim / 1e6 + 4.0 * self.s.cores;
        let idle = if self.connections > useful { 0.8 * self.idle } else { 1.1 * self.idle };
        let idle = idle.max(0.5 * self.aim).min(self.s.keepalive_max as f64);
        if idle != self.idle {
            self.idle = idle;
            out.push(Action::CloseIdle(idle as Micros));
        }
    }

    /// Answers what is due, and gives up what can no longer earn anything.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut ended = Vec::new();
        for (&id, e) in self.entries.iter().filter(|(_, e)| !e.answered) {
            let class = &self.s.classes[e.class];
            let worthless = class.late_worth == 0.0 && now >= e.aim;
            let give_up = match e.state {
                Stage::Held => worthless,
                Stage::Reusing => false,
                _ => worthless && class.idempotency != Idempotency::Keyed && self.s.halt != HaltMode::Never,
            };
            if give_up || now >= e.due {
                let cause = if now >= e.due { Cause::Due(e.state) } else { Cause::PastAim(e.state) };
                ended.push((id, e.state, class.idempotency, cause));
            }
        }
        for (id, state, idempotency, cause) in ended {
            match state {
                Stage::Held => self.refuse(id, cause, out),
                Stage::Running if idempotency == Idempotency::Free => {
                    // A read may be turned away while it runs, which lets the caller be told to stop trying.
                    self.entries.get_mut(&id).expect("swept above").answered = true;
                    self.why.push((id, cause));
                    out.push(Action::Refuse { id, backoff: 0, no_retry: true });
                    self.halt(id, out);
                }
                _ => self.fail(id, cause, out),
            }
        }
    }

    /// Places calls, nearest aim first, while the layer below has room for this server.
    fn place_calls(&mut self, out: &mut Vec<Action>) {
        let ceiling = self.run.ceiling(&self.s, self.now);
        let mut line: Vec<(Micros, RequestId)> = self.parked().collect();
        line.sort_unstable();
        for (_, id) in line {
            if !self.calls.room(&self.s, ceiling) {
                break;
            }
            let e = self.entries.get_mut(&id).expect("listed above");
            let left = (e.due - self.now).min(self.calls.patience(&self.s)).max(1);
            e.state = Stage::Calling;
            self.calls.placed += 1.0;
            out.push(Action::Call(id, left));
        }
    }

    /// Starts held requests while there is room on the cores and in memory. What can't end within its aim is
    /// turned away before it wastes work.
    fn start(&mut self, out: &mut Vec<Action>) {
        let ceiling = self.run.ceiling(&self.s, self.now);
        // Reading shares the cores with runs and cannot be put off, so it takes their places; half of the
        // cores stay with runs, or a flood of reading would stop all work.
        let limit = (self.run.limit - self.reading.max(0.0)).max(0.5 * self.s.cores).max(1.0).floor();
        let mut running = self.on_cores();
        let unstarted = |e: &&Entry| matches!(e.state, Stage::Held | Stage::Reusing);
        let mut all = (self.entries.len() - self.entries.values().filter(unstarted).count()) as f64;
        loop {
            if running >= limit || all + 1.0 > ceiling {
                return;
            }
            // Earliest aim first: with a short line that ranks of worth have passed, all can be in time.
            let Some((_, id)) = self.held.iter().map(|&id| (self.entries[&id].aim, id)).min() else {
                return;
            };
            let e = &self.entries[&id];
            let class = self.class(e.class);
            // Sizes spread, so most end sooner than the mean; while nothing runs one is always tried.
            let seen = &self.seen[e.class];
            let expected = 0.7 * seen.total.mean * seen.size(e.cost);
            let left = if class.late_worth > 0.0 { e.due } else { e.aim } - self.now;
            if expected as Micros > left && all > 0.0 {
                self.refuse(id, Cause::TooLate { expected: expected as Micros, left }, out);
                continue;
            }
            let more = e.memory * (self.s.run_factor - 1.0);
            if !self.memory.room(&self.s, more) {
                if all == 0.0 {
                    // Nothing runs that could make room: this one will never fit.
                    self.refuse(id, Cause::NeverFits { more }, out);
                    continue;
                }
                return;
            }
            self.memory.requests += more;
            self.entries.get_mut(&id).expect("held above").state = Stage::Running;
            self.held.remove(&id);
            self.check();
            out.push(Action::Run(id));
            running += 1.0;
            all += 1.0;
        }
    }

    /// A random number from 0 to 1 (xorshift), to spread callers that were sent away together.
    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}
