//! All decisions. The types, events and actions are in `src/interface/`.
//!
//! The ordinary path is the hysteretic control of Gaidamaka et al.; `docs/design.md` tells what was
//! kept and what was changed. Tuned values are shares of an aim or multiples of cores, each with
//! its reason.

mod calls;
mod control;
mod gate;
mod limit;
mod memory;
mod rank;
mod requests;
mod start;
mod still;
mod timing;

pub(crate) use self::gate::Gate;
use self::{
    calls::Calls, gate::*, limit::RunLimit, memory::Memory, rank::Rank, still::Still, timing::*,
};
use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) class: usize,
    pub(crate) state: Stage,
    pub(crate) due: Micros,
    pub(crate) aim: Micros,
    pub(crate) worth: f64,
    pub(crate) cost: f64,
    pub(crate) memory: f64,
    pub(crate) retry: bool,
    pub(crate) answered: bool,
    pub(crate) kept: bool,
    pub(crate) off_cores: Micros,
    pub(crate) parked_at: Micros,
}

/// The way out, once the notice to leave has come.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Drain {
    /// What arrived later than this must not run.
    last_arrival: Micros,
    /// Everything read is answered by then.
    stop: Micros,
}

/// The shortest aim of these classes, which the lines and the slow loop go by.
fn shortest_aim<'a>(classes: impl Iterator<Item = &'a Class>) -> f64 {
    classes
        .map(|c| c.latency_objective)
        .min()
        .unwrap_or(1_000_000)
        .max(1) as f64
}

/// Decides for one server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Controller {
    pub(crate) s: Settings,
    pub(crate) now: Micros,
    pub(crate) born: Option<Micros>,
    pub(crate) random: u64,
    pub(crate) entries: BTreeMap<RequestId, Entry>,
    pub(crate) held: BTreeSet<RequestId>,
    /// The gates of the line to start and of the line for calls.
    pub(crate) gates: [Gate; 2],
    pub(crate) told: f64,
    /// Smoothed time that requests stood unread.
    pub(crate) unread: f64,
    pub(crate) seen: Vec<Seen>,
    pub(crate) rank: Rank,
    pub(crate) run: RunLimit,
    pub(crate) calls: Calls,
    #[serde(default)]
    pub(crate) still: Still,
    pub(crate) memory: Memory,
    pub(crate) drain: Option<Drain>,
    pub(crate) next_control: Micros,
    pub(crate) core_use: f64,
    /// Smoothed number on the cores beyond runs: being read, less the runs that wait for a disk.
    pub(crate) reading: f64,
    pub(crate) aim: f64,
    /// Open connections, and how long one may be idle.
    pub(crate) connections: f64,
    pub(crate) idle: f64,
    /// Why requests were turned away or failed in the last step.
    #[serde(skip)]
    pub(crate) why: Vec<(RequestId, Cause)>,
}

impl Controller {
    /// A controller for a server that starts now, with a seed for its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let s = settings;
        let aim = shortest_aim(s.classes.iter());
        // Until runs are seen, one is taken to need a quarter of the shortest aim.
        let slot = 0.25 * aim;
        let rank = Rank {
            tenants: vec![VecDeque::new(); s.tenants.len()],
            retries: 0.0,
        };
        Controller {
            now: 0,
            born: None,
            reading: 0.0,
            random: seed | 1,
            entries: BTreeMap::new(),
            held: BTreeSet::new(),
            gates: [
                Gate::new(s.cores / slot * 1e6, aim),
                Gate::new(f64::INFINITY, aim),
            ],
            told: 0.0,
            unread: 0.0,
            seen: vec![Seen::default(); s.classes.len()],
            rank,
            run: RunLimit {
                limit: s.cores.max(1.0),
                started: 0,
                stretch: 1.0,
                slot,
                success: 1.0,
            },
            calls: Calls {
                placed: 0.0,
                lingering: VecDeque::new(),
                credit: 0.0,
                at: 0,
                // Calls slow down long before the share is reached; growth starts from less than a
                // third.
                limit: if s.downstream == Downstream::Tier {
                    Calls::bounds(&s)[1]
                } else {
                    0.4 * s.call_share
                },
                latency: Timing::default(),
            },
            still: Still::default(),
            memory: Memory::default(),
            drain: None,
            next_control: 0,
            core_use: 0.0,
            aim,
            connections: 0.0,
            idle: s.max_keepalive as f64,
            why: Vec::new(),
            s,
        }
    }

    /// Other settings from now on. Requests in hand end under the class that they came with, so
    /// classes keep their places: those in force are at these, each with the place of the class
    /// whose experience it takes over.
    pub fn reconfigure(&mut self, settings: Settings, in_force: &[(usize, Option<usize>)]) {
        let before = std::mem::take(&mut self.seen);
        self.s = Settings {
            is_cold: self.s.is_cold,
            ..settings
        };
        self.seen = (0..self.s.classes.len())
            .map(|i| before.get(i).cloned().unwrap_or_default())
            .collect();
        for &(at, was) in in_force.iter().filter(|(at, was)| Some(*at) != *was) {
            self.seen[at] = was
                .and_then(|was| before.get(was).cloned())
                .unwrap_or_default();
        }
        self.rank
            .tenants
            .resize(self.s.tenants.len(), VecDeque::new());
        self.aim = shortest_aim(in_force.iter().map(|&(at, _)| &self.s.classes[at]));
        let [least, most] = Calls::bounds(&self.s);
        self.calls.limit = self.calls.limit.clamp(least, most);
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
                Event::ShutdownNotice(left) => self.leave(*left, out),
                Event::Finished {
                    id,
                    elapsed: took,
                    outcome,
                } => self.finished(*id, *took, *outcome),
                Event::Abandoned(id) => self.gone(*id, out),
                Event::NeedsCall(id) => {
                    self.still.moved(now);
                    if let Some(e) = self.entries.get_mut(id) {
                        e.state = Stage::AwaitingCall;
                        e.parked_at = now;
                    }
                }
                Event::CallEnded {
                    id,
                    elapsed: took,
                    outcome,
                } => self.call_ended(*id, *took, *outcome, out),
                Event::Timer {
                    cpu_utilization,
                    connections,
                    runnable,
                    ..
                } => {
                    let reading = runnable.map_or(0.0, |n| n - self.on_cores());
                    self.reading += SMOOTH * (reading - self.reading);
                    ticked = true;
                    self.connections = connections.unwrap_or(self.connections);
                    self.core_use = cpu_utilization.unwrap_or(self.core_use);
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

    pub(crate) fn on_cores(&self) -> f64 {
        self.entries
            .values()
            .filter(|e| e.state == Stage::Running)
            .count() as f64
    }

    fn class(&self, class: usize) -> &Class {
        &self.s.classes[class]
    }

    /// Requests a second that can be finished well: Little's law on the places on the cores.
    pub(crate) fn rate(&self) -> f64 {
        self.run.limit / self.run.slot.max(1.0) * 1e6 * self.run.success
    }

    /// The length of a line: all that wait to start, or those that wait to call and, beyond a
    /// bunch, to start and need calls. What stands unread counts with the first, by Little's law on
    /// the wait that arrivals report, since reading takes the cores that runs need. It never brings
    /// on discard: to read only in order to refuse would serve nobody.
    pub(crate) fn line(&self, gate: usize) -> f64 {
        if gate == 0 {
            let held = self.held.len() as f64;
            // Waits to be read of up to a third of the aim are an ordinary bunch.
            let unread = (self.unread - 0.3 * self.aim).max(0.0) * self.rate() / 1e6;
            return (held + unread)
                .min(self.gates[0].modes.discard - 1.0)
                .max(held);
        }
        let to_call = self
            .held
            .iter()
            .filter(|id| self.s.classes[self.entries[id].class].makes_calls);
        // Up to the first line's abatement they are an ordinary bunch, which the cores soon start.
        let beyond = (to_call.count() as f64 - self.gates[0].modes.abate).max(0.0);
        beyond + self.parked().count() as f64
    }

    /// Requests that wait for their call to be placed, with their aims.
    fn parked(&self) -> impl Iterator<Item = (Micros, RequestId)> + '_ {
        let waits = |e: &Entry| e.state == Stage::AwaitingCall && !e.answered;
        self.entries
            .iter()
            .filter(move |(_, e)| waits(e))
            .map(|(&id, e)| (e.aim, id))
    }

    /// Policy P1: at every change of a line its mode is looked at.
    fn check(&mut self) {
        for i in 0..2 {
            let count = self.line(i);
            self.gates[i].modes.check(count);
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
