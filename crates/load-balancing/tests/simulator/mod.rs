//! Simulation of a pool under a workload, in simulated time.

use pipitlever_load_balancing::consistent_hash::splitmix64;
use pipitlever_load_balancing::pool::{
    MemberId, Pool, RunId, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::retry_budget::{AttemptEffect, RetryRequest};
use pipitlever_load_balancing::Micros;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Cores of each member. Runs take longer while a member has more of them than cores.
const CORES: f64 = 8.0;
/// Time until a failing member breaks the connection, in microseconds.
const FAILURE_TIME: Micros = 500;
/// Time until a refused connection is noticed, in microseconds.
const REFUSAL_TIME: Micros = 200;

/// How a member behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Completes each run in this many microseconds, or later with more runs than cores.
    Serves(f64),
    /// Accepts runs and never responds.
    Hangs,
    /// Breaks the connection at once.
    Fails,
    /// Refuses connections.
    Refuses,
}

/// Totals of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub requests: u64,
    pub attempts: u64,
    pub succeeded: u64,
    /// Attempts by member.
    pub attempts_by_member: HashMap<usize, u64>,
    pub latencies: Vec<Micros>,
    /// Log lines, with the time in milliseconds before each.
    pub events: Vec<String>,
}

impl Totals {
    pub fn p99(&mut self) -> Micros {
        self.latencies.sort_unstable();
        self.latencies[(self.latencies.len() - 1) * 99 / 100]
    }

    pub fn success_ratio(&self) -> f64 {
        self.succeeded as f64 / self.requests as f64
    }

    pub fn count_events(&self, text: &str) -> usize {
        self.events.iter().filter(|e| e.contains(text)).count()
    }
}

/// Requests at a steady rate.
#[derive(Clone, Copy)]
pub struct Workload<'a> {
    pub members: usize,
    /// Requests per second.
    pub rate: f64,
    pub duration: Micros,
    /// Time from a request's arrival to its deadline.
    pub deadline: Micros,
    /// Whether the requests are idempotent. If not, each has a sticky key.
    pub is_idempotent: bool,
    pub behavior: &'a dyn Fn(usize, Micros) -> Behavior,
}

impl Workload<'_> {
    /// The arrival of a request, with jitter that is the same in every simulation.
    fn arrival(&self, request: u64) -> Micros {
        let gap = (1e6 / self.rate) as Micros;
        request as Micros * gap + (splitmix64(request) % (gap.max(1) as u64)) as Micros
    }
}

/// A request before its next attempt.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    number: u64,
    arrived_at: Micros,
    attempted: Vec<MemberId>,
}

/// The scheduled end of a run.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunEnd {
    run: RunId,
    member: usize,
    outcome: OrderedOutcome,
    request: Request,
}

/// A [`RunOutcome`] with the order that the schedule requires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum OrderedOutcome {
    Succeeded,
    Failed,
    Unreachable,
    TimedOut,
}

impl From<OrderedOutcome> for RunOutcome {
    fn from(outcome: OrderedOutcome) -> RunOutcome {
        match outcome {
            OrderedOutcome::Succeeded => RunOutcome::Succeeded,
            OrderedOutcome::Failed => RunOutcome::Failed,
            OrderedOutcome::Unreachable => RunOutcome::Unreachable,
            OrderedOutcome::TimedOut => RunOutcome::TimedOut,
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Attempt(Request),
    End(RunEnd),
}

struct Simulation<'a> {
    pool: &'a mut Pool<usize>,
    workload: Workload<'a>,
    /// Steps by time and then by the order in which they were scheduled.
    schedule: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    scheduled: u64,
    /// Runs in flight by member.
    in_flight: Vec<f64>,
    totals: Totals,
}

pub fn simulate(pool: &mut Pool<usize>, workload: Workload) -> Totals {
    let mut simulation = Simulation {
        pool,
        workload,
        schedule: BinaryHeap::new(),
        scheduled: 0,
        in_flight: vec![0.0; workload.members],
        totals: Totals::default(),
    };
    simulation.schedule_arrival(0);
    while let Some(Reverse((now, _, step))) = simulation.schedule.pop() {
        match step {
            Step::Attempt(request) => simulation.attempt(now, request),
            Step::End(end) => simulation.end(now, end),
        }
        let events = simulation.pool.take_events();
        let lines = events.iter().map(|event| format!("{} {event}", now / 1000));
        simulation.totals.events.extend(lines);
    }
    simulation.totals
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Micros, step: Step) {
        self.schedule.push(Reverse((at, self.scheduled, step)));
        self.scheduled += 1;
    }

    fn schedule_arrival(&mut self, number: u64) {
        let arrived_at = self.workload.arrival(number);
        let request = Request {
            number,
            arrived_at,
            attempted: Vec::new(),
        };
        self.schedule(arrived_at, Step::Attempt(request));
    }

    fn attempt(&mut self, now: Micros, mut request: Request) {
        if request.attempted.is_empty() {
            self.totals.requests += 1;
            if self.workload.arrival(request.number + 1) < self.workload.duration {
                self.schedule_arrival(request.number + 1);
            }
        }
        let is_idempotent = self.workload.is_idempotent;
        let selection = self.pool.select(
            now,
            SelectionRequest {
                is_idempotent,
                hash_key: (!is_idempotent).then(|| splitmix64(request.number)),
                attempted_members: &request.attempted,
            },
        );
        let Selection::Selected {
            run,
            member: id,
            address: member,
        } = selection
        else {
            return;
        };
        self.totals.attempts += 1;
        *self.totals.attempts_by_member.entry(member).or_default() += 1;
        self.in_flight[member] += 1.0;
        request.attempted.push(id);
        let time_left = request.arrived_at + self.workload.deadline - now;
        let (run_time, outcome) = self.execute(now, member, time_left);
        let end = RunEnd {
            run,
            member,
            outcome,
            request,
        };
        self.schedule(now + run_time.max(1), Step::End(end));
    }

    fn execute(&self, now: Micros, member: usize, time_left: Micros) -> (Micros, OrderedOutcome) {
        match (self.workload.behavior)(member, now) {
            Behavior::Serves(idle_time) => {
                let slowdown = (self.in_flight[member] / CORES).max(1.0);
                let run_time = (idle_time * slowdown) as Micros;
                if run_time <= time_left {
                    (run_time, OrderedOutcome::Succeeded)
                } else {
                    (time_left, OrderedOutcome::Failed)
                }
            }
            Behavior::Hangs => (time_left, OrderedOutcome::TimedOut),
            Behavior::Fails => (FAILURE_TIME, OrderedOutcome::Failed),
            Behavior::Refuses => (REFUSAL_TIME, OrderedOutcome::Unreachable),
        }
    }

    fn end(&mut self, now: Micros, end: RunEnd) {
        self.in_flight[end.member] -= 1.0;
        self.pool.complete_run(now, end.run, end.outcome.into());
        if end.outcome == OrderedOutcome::Succeeded {
            self.totals.succeeded += 1;
            self.totals.latencies.push(now - end.request.arrived_at);
            return;
        }
        let effect = if end.outcome == OrderedOutcome::Unreachable {
            AttemptEffect::NeverRan
        } else {
            AttemptEffect::MayHaveRun
        };
        let retry = RetryRequest {
            deadline: end.request.arrived_at + self.workload.deadline,
            effect,
            is_idempotent: self.workload.is_idempotent,
            attempts: end.request.attempted.len() as u32,
        };
        if let Some(backoff) = self.pool.acquire_retry(now, retry) {
            self.schedule(now + backoff, Step::Attempt(end.request));
        }
    }
}
