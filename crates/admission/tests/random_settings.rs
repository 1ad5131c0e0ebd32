//! The invariants under random settings from the whole valid range, which covers any deployment.

mod common;
use common::*;
use pipitlever_admission::{
    Action, Controller, Downstream, Event, Idempotency, Micros, Outcome, Request, RequestId,
    Settings,
};
use pipitlever_settings::arbitrary::platform_settings;
use pipitlever_settings::PlatformSettings;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::ops::Range;

/// Random settings and the platform's JSON that they were read from.
struct RandomSettings {
    json: serde_json::Value,
    settings: Settings,
}

impl RandomSettings {
    /// Draws settings that depend on the seed only.
    fn draw(seed: u8) -> RandomSettings {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let json = platform_settings().new_tree(&mut runner).unwrap().current();
        let platform: PlatformSettings =
            serde_json::from_value(json.clone()).unwrap_or_else(|e| panic!("{e}: {json}"));
        platform
            .validate()
            .unwrap_or_else(|e| panic!("{e}: {json}"));
        let settings = platform.controller_settings().unwrap();
        RandomSettings { json, settings }
    }
}

const STEP: usize = 10_000;
const SURGE: Range<Micros> = 1_000_000..2_000_000;
const STALL: Range<Micros> = 2_500_000..3_500_000;
const SHUTDOWN_NOTICE_AT: Micros = 4_500_000;
const LAST_ARRIVAL: Micros = 5_800_000;
const END: Micros = 6_500_000;

/// A random workload of 6.5 seconds: base load, a surge, a stall, a shutdown.
struct Workload<'a> {
    settings: &'a Settings,
    random: fastrand::Rng,
    checker: InvariantChecker,
    next_id: RequestId,
    /// Keyed requests with their classes, in order of arrival.
    keyed: Vec<(usize, RequestId)>,
}

/// The results of a workload.
struct Outcomes {
    violations: Vec<String>,
    started: usize,
    rejected: usize,
}

impl Workload<'_> {
    fn run(settings: &Settings, seed: u64) -> Outcomes {
        let mut workload = Workload {
            settings,
            random: fastrand::Rng::with_seed(seed),
            checker: InvariantChecker::new(settings),
            next_id: 1,
            keyed: Vec::new(),
        };
        let mut controller = Controller::new(settings.clone(), seed);
        let (mut started, mut rejected) = (0, 0);
        for now in (0..=END).step_by(STEP) {
            let events = workload.events(now);
            let actions = step(&mut controller, now, &events);
            started += start_count(&actions);
            rejected += rejection_count(&actions);
            workload.check_ranges(&actions);
            workload.checker.record(now, &events, &actions);
        }
        Outcomes {
            violations: workload.checker.violations,
            started,
            rejected,
        }
    }

    fn events(&mut self, now: Micros) -> Vec<Event> {
        let mut events = vec![tick()];
        self.end_runs(now, &mut events);
        self.end_calls(&mut events);
        self.end_reuses(&mut events);
        if now == SHUTDOWN_NOTICE_AT {
            events.push(Event::ShutdownNotice(1_400_000));
        }
        let max_arrivals = if SURGE.contains(&now) { 6 } else { 2 };
        for _ in 0..self.random.u32(..=max_arrivals) * u32::from(now < LAST_ARRIVAL) {
            events.push(Event::Arrived(self.next_request()));
        }
        events
    }

    /// Cancelled runs end immediately. Others end at random, and none during the stall.
    fn end_runs(&mut self, now: Micros, events: &mut Vec<Event>) {
        for id in self.checker.requests_where(RequestView::is_ending) {
            events.push(finished(id, 1000, Outcome::Cancelled));
        }
        let running = self
            .checker
            .requests_where(|r| r.is_running && !r.is_ending());
        for id in running {
            if !STALL.contains(&now) && self.random.u32(..12) == 0 {
                events.push(match self.random.u32(..8) {
                    0 if self.settings.downstream != Downstream::None => Event::NeedsCall(id),
                    1 => finished(id, 20_000, Outcome::Error),
                    _ => succeeded(id, 90_000),
                });
            }
        }
    }

    fn end_calls(&mut self, events: &mut Vec<Event>) {
        let in_call = self
            .checker
            .requests_where(|r| r.is_in_call && !r.is_answered_off_core);
        for id in in_call {
            let outcome = match self.random.u32(..40) {
                0..=5 => Outcome::Success,
                6 => Outcome::Error,
                7 => Outcome::TimedOut,
                8 => Outcome::Rejected,
                9 => Outcome::Unreachable,
                10 => Outcome::Reset,
                _ => continue,
            };
            events.push(call_ended(id, 50_000, outcome));
        }
    }

    fn end_reuses(&mut self, events: &mut Vec<Event>) {
        let reusing = self
            .checker
            .requests_where(|r| r.awaits_original && r.original.is_some());
        for id in reusing {
            if self.random.u32(..20) == 0 {
                events.push(succeeded(id, 1000));
            }
        }
    }

    fn next_request(&mut self) -> Request {
        let id = self.next_id;
        self.next_id += 1;
        let class = self.random.usize(..self.settings.classes.len());
        let mut request = Request {
            id,
            class,
            priority: self.random.f64(),
            ..Request::default()
        };
        request.queue_time = self.random.i64(0..40_000);
        request.is_retry = self.random.u32(..5) == 0;
        // The platform guarantees that all requests read at once fit into memory.
        request.memory_kb = self.settings.memory_kb / 400.0 * (0.2 + self.random.f64());
        request.timeout = self
            .random
            .bool()
            .then(|| 100_000 + self.random.i64(0..3_000_000));
        request.cost = self.random.bool().then(|| 1e3 + 1e6 * self.random.f64());
        // Includes tenants that the settings do not have.
        request.tenant = self.random.bool().then(|| self.random.usize(..6));
        if self.settings.classes[class].idempotency == Idempotency::Keyed {
            request.duplicate_of = self
                .live_original(class)
                .filter(|_| self.random.u32(..4) == 0);
            if request.duplicate_of.is_none() {
                self.keyed.push((class, id));
            }
        }
        request
    }

    fn live_original(&self, class: usize) -> Option<RequestId> {
        let is_candidate =
            |(of, id): &&(usize, RequestId)| *of == class && self.checker.is_live(*id);
        self.keyed
            .iter()
            .rev()
            .find(is_candidate)
            .map(|(_, id)| *id)
    }

    fn check_ranges(&self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Backpressure(level) => {
                    assert!(level.is_finite() && *level >= 0.0, "{level}");
                }
                Action::Reject { retry_after, .. } => {
                    let max = self.settings.max_retry_after.max(0);
                    assert!((0..=max).contains(retry_after), "{retry_after}");
                }
                Action::CloseIdle(timeout) => {
                    assert!(*timeout <= self.settings.max_keepalive, "{timeout}");
                }
                _ => {}
            }
        }
    }
}

fn check_seeds(seeds: Range<u8>) {
    let (mut started, mut rejected) = (0, 0);
    for seed in seeds {
        let RandomSettings { json, settings } = RandomSettings::draw(seed);
        let outcomes = Workload::run(&settings, u64::from(seed) + 1);
        let violations = &outcomes.violations;
        assert!(
            violations.is_empty(),
            "seed {seed}: {:?}\n{json}",
            &violations[..violations.len().min(5)]
        );
        started += outcomes.started;
        rejected += outcomes.rejected;
    }
    assert!(
        started > 0 && rejected > 0,
        "{started} started, {rejected} rejected"
    );
}

#[test]
fn invariants_hold_under_settings_of_any_deployment() {
    check_seeds(0..10);
}

/// Run manually: `cargo test --release --test random_settings -- --ignored`.
#[test]
#[ignore = "250 workloads"]
fn invariants_hold_under_many_settings() {
    check_seeds(0..250);
}
