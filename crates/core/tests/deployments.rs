//! The core under random valid settings, with a simulated processor and downstream layer.
//!
//! Checks that each request gets one answer by its deadline, no request that ran is rejected, no
//! key runs twice within its window, and no request is unanswered at the end.

mod common;

use common::*;
use fastrand::Rng;
use pipitlever_admission::{CancellationMode, Downstream, Idempotency, Micros, Outcome, Settings};
use pipitlever_core::{Answer, Core, Effect, IncomingRequest, MemoryLimits, Reference, RunOutcome};
use pipitlever_settings::arbitrary::platform_settings;
use pipitlever_settings::PlatformSettings;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, HashMap};
use std::ops::{AddAssign, Range};
use std::rc::Rc;

const TICK: Micros = 5 * MILLISECOND;
const TICKS: u32 = 1600;
const OVERLOAD: Range<u32> = 300..600;
/// No run ends during these ticks.
const STALL: Range<u32> = 600..800;
const SHUTDOWN_TICK: u32 = 1200;
const LAST_ARRIVAL_TICK: u32 = 1450;
const RUN_TIME: Micros = 40 * MILLISECOND;

/// The events of a request.
#[derive(Default)]
struct History {
    deadline: Micros,
    key: Option<Rc<str>>,
    arrived_at: Micros,
    class: usize,
    is_started: bool,
    is_abandoned: bool,
    answers: Vec<Answer>,
}

/// Numbers of answers and stop commands of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    served: usize,
    rejected: usize,
    stopped: usize,
}

impl AddAssign for Totals {
    fn add_assign(&mut self, other: Totals) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.stopped += other.stopped;
    }
}

struct Simulation {
    core: Core,
    settings: Settings,
    rng: Rng,
    histories: HashMap<Reference, History>,
    running: Vec<Reference>,
    calling: Vec<Reference>,
    /// Arrival time of the last attempt that ran, by class and key.
    key_runs: BTreeMap<(usize, Rc<str>), Micros>,
    stopped: usize,
    now: Micros,
    last_reference: Reference,
}

impl Simulation {
    fn new(seed: u8, json: &serde_json::Value) -> Simulation {
        let platform: PlatformSettings = serde_json::from_value(json.clone()).expect("settings");
        let settings = platform.controller_settings().expect("settings");
        let names: Vec<Rc<str>> = platform
            .class_names()
            .iter()
            .map(|name| name.as_str().into())
            .collect();
        let limits = MemoryLimits::for_process(64 << 20, 100);
        let mut simulation = Simulation {
            core: core_with(settings.clone(), &names, limits),
            settings,
            rng: Rng::with_seed(seed.into()),
            histories: HashMap::new(),
            running: Vec::new(),
            calling: Vec::new(),
            key_runs: BTreeMap::new(),
            stopped: 0,
            now: SECOND,
            last_reference: 0,
        };
        let is_cold = simulation.settings.is_cold;
        simulation.apply_input(|core, now| core.start(now, now, is_cold));
        simulation
    }

    /// Passes an input to the core and carries out the resulting effects.
    fn apply_input(&mut self, input: impl FnOnce(&mut Core, Micros)) {
        input(&mut self.core, self.now);
        loop {
            let effects = take_effects(&mut self.core);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { origin, answer } => self.check_answer(origin.request_number, answer),
            Effect::StartRun {
                reference, class, ..
            } => self.start_run(reference, class),
            Effect::StopRun { reference, .. } => self.stop_run(reference),
            Effect::PlaceCall { reference, .. } => self.calling.push(reference),
            Effect::CancelCall { reference } => self.calling.retain(|r| *r != reference),
            Effect::SendReply { reference, .. } => self.running.push(reference),
            Effect::QueryGauges => {}
        }
    }

    fn check_answer(&mut self, reference: Reference, answer: Answer) {
        let history = self
            .histories
            .get_mut(&reference)
            .expect("a request that was sent");
        let is_late = self.now > history.deadline + self.settings.safety.answer_slack;
        assert!(
            !is_late,
            "{reference} answered at {}, deadline {}",
            self.now, history.deadline
        );
        assert!(
            !(history.is_started && matches!(answer, Answer::Rejected { .. })),
            "{reference} was rejected after its run had started"
        );
        history.answers.push(answer);
        assert_eq!(
            history.answers.len(),
            1,
            "{reference}: {:?}",
            history.answers
        );
    }

    fn start_run(&mut self, reference: Reference, class: usize) {
        let history = self
            .histories
            .get_mut(&reference)
            .expect("a request that was sent");
        assert!(
            !history.is_started && history.class == class,
            "{reference} was started twice or with another class"
        );
        history.is_started = true;
        if let Some(key) = history.key.clone() {
            let window = self.settings.classes[class].idempotency_window;
            let previous = self.key_runs.insert((class, key), history.arrived_at);
            let is_outside_window =
                previous.is_none_or(|previous| history.arrived_at > previous + window);
            assert!(
                is_outside_window,
                "key run twice within its window: arrivals {previous:?} and {}, window {window}",
                history.arrived_at
            );
        }
        self.running.push(reference);
    }

    fn stop_run(&mut self, reference: Reference) {
        assert_ne!(
            self.settings.cancellation,
            CancellationMode::Unsupported,
            "stop command to a processor without cancellation"
        );
        self.stopped += 1;
        // The run may have ended before the stop is read.
        if let Some(index) = self.running.iter().position(|r| *r == reference) {
            self.running.swap_remove(index);
            let outcome = RunOutcome::Aborted;
            let elapsed = 5 * MILLISECOND;
            self.core
                .handle_run_finished(self.now, reference, outcome, elapsed, Rc::from([]));
        }
    }

    fn step(&mut self, tick: u32) {
        self.now += TICK;
        if self.core.next_wakeup().is_some_and(|at| at <= self.now) {
            self.apply_input(|core, now| core.handle_wakeup(now));
        }
        self.end_some_runs(tick);
        self.end_some_calls();
        if tick == SHUTDOWN_TICK {
            self.apply_input(|core, now| core.begin_shutdown(now, 1500 * MILLISECOND));
        }
        let max_arrivals = if OVERLOAD.contains(&tick) { 3 } else { 1 };
        let arrivals = if tick < LAST_ARRIVAL_TICK {
            self.rng.u32(..=max_arrivals)
        } else {
            0
        };
        for _ in 0..arrivals {
            self.send_request();
            if self.rng.u32(..30) == 0 {
                self.abandon_some_request();
            }
        }
    }

    fn end_some_runs(&mut self, tick: u32) {
        for index in (0..self.running.len()).rev() {
            if STALL.contains(&tick) || self.rng.u32(..25) != 0 {
                continue;
            }
            let Some(reference) = self.running.get(index).copied() else {
                continue;
            };
            self.running.swap_remove(index);
            let has_downstream = self.settings.downstream != Downstream::None;
            if has_downstream && self.rng.u32(..4) == 0 {
                self.apply_input(|core, now| {
                    core.handle_call_requested(now, reference, Rc::from([]));
                });
                continue;
            }
            let outcome = if self.rng.u32(..8) == 0 {
                RunOutcome::Failed
            } else {
                RunOutcome::Completed
            };
            self.end_run(reference, outcome);
        }
    }

    fn end_run(&mut self, reference: Reference, outcome: RunOutcome) {
        let result = Rc::from(*b"result");
        self.apply_input(|core, now| {
            core.handle_run_finished(now, reference, outcome, RUN_TIME, result);
        });
    }

    fn end_some_calls(&mut self) {
        let outcomes = [
            Outcome::Success,
            Outcome::Success,
            Outcome::Rejected,
            Outcome::Error,
            Outcome::Reset,
        ];
        for index in (0..self.calling.len()).rev() {
            if self.rng.u32(..10) != 0 {
                continue;
            }
            let Some(reference) = self.calling.get(index).copied() else {
                continue;
            };
            self.calling.swap_remove(index);
            let outcome = outcomes[self.rng.usize(..outcomes.len())];
            self.apply_input(|core, now| {
                core.handle_call_finished(now, reference, outcome, Rc::from([]));
            });
        }
    }

    fn send_request(&mut self) {
        self.last_reference += 1;
        let reference = self.last_reference;
        let class = self.rng.usize(..self.settings.classes.len());
        let is_keyed = self.settings.classes[class].idempotency == Idempotency::Keyed;
        // Attempts of few keys, of which some arrive after the window of the previous attempt.
        let key: Option<Rc<str>> =
            is_keyed.then(|| format!("{class}-{}", self.rng.u32(..40)).into());
        let arrived_at = self.now - self.rng.i64(0..20 * MILLISECOND);
        let timeout = 100 * MILLISECOND + self.rng.i64(0..2000 * MILLISECOND);
        let deadline = self.rng.bool().then_some(self.now + timeout);
        let class_deadline = self.settings.classes[class].deadline;
        let tenant = self
            .rng
            .bool()
            .then(|| self.rng.usize(..5))
            .filter(|tenant| *tenant < self.settings.tenants.len());
        let history = History {
            deadline: deadline.unwrap_or((arrived_at + class_deadline).max(self.now)),
            key: key.clone(),
            arrived_at,
            class,
            ..History::default()
        };
        self.histories.insert(reference, history);
        let request = IncomingRequest {
            class,
            arrived_at,
            deadline,
            tenant,
            idempotency_key: key,
            is_retry: self.rng.bool(),
            priority: self.rng.f64(),
            memory_kb: self.settings.memory_kb / 400.0,
            ..incoming(reference, self.now, None)
        };
        self.apply_input(|core, now| core.handle_request(now, request));
    }

    fn abandon_some_request(&mut self) {
        let reference = 1 + self.rng.u64(..self.last_reference);
        let history = self
            .histories
            .get_mut(&reference)
            .expect("a request that was sent");
        history.is_abandoned = true;
        self.apply_input(|core, now| core.handle_abandoned(now, reference));
    }

    /// Ends all runs and checks that each request is answered or abandoned.
    fn finish(mut self, seed: u8, json: &serde_json::Value) -> Totals {
        let running = std::mem::take(&mut self.running);
        let calling = std::mem::take(&mut self.calling);
        for reference in running.into_iter().chain(calling) {
            self.end_run(reference, RunOutcome::Completed);
        }
        assert_eq!(self.core.unanswered(), 0, "seed {seed}: {json}");
        for (reference, history) in &self.histories {
            let is_settled =
                history.answers.len() == 1 || (history.is_abandoned && history.answers.is_empty());
            assert!(
                is_settled,
                "seed {seed}: {reference} has {:?}\n{json}",
                history.answers
            );
        }
        let count = |matches: fn(&Answer) -> bool| {
            let histories = self.histories.values();
            histories
                .filter(|history| matches!(&history.answers[..], [answer] if matches(answer)))
                .count()
        };
        Totals {
            served: count(|answer| matches!(answer, Answer::Served(_))),
            rejected: count(|answer| matches!(answer, Answer::Rejected { .. })),
            stopped: self.stopped,
        }
    }
}

fn simulate(seed: u8) -> Totals {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let tree = platform_settings().new_tree(&mut runner);
    let json = tree.expect("the strategy generates settings").current();
    let mut simulation = Simulation::new(seed, &json);
    for tick in 0..TICKS {
        simulation.step(tick);
    }
    simulation.finish(seed, &json)
}

#[test]
fn invariants_hold_under_settings_of_any_deployment() {
    let mut totals = Totals::default();
    for seed in 0..10 {
        totals += simulate(seed);
    }
    assert!(
        totals.served > 100 && totals.rejected > 100 && totals.stopped > 0,
        "{totals:?}"
    );
}

#[test]
#[ignore = "250 simulations"]
fn invariants_hold_under_many_settings() {
    for seed in 0..250 {
        simulate(seed);
    }
}
