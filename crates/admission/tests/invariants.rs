//! The invariants under random workloads with fixed seeds, and single limits at their boundaries.

mod common;
use common::*;
use pipitlever_admission::{
    Action, BackpressureKind, CancellationMode, Controller, Downstream, Event, Micros, Outcome,
    Request, RequestId, Safety, Settings, Tenant,
};

/// A linear congruential generator (Knuth's MMIX constants).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A random workload of 17 seconds in steps of 10 ms: a surge, then slow runs, then a shutdown.
struct Workload {
    random: Random,
    checker: InvariantChecker,
    next_id: RequestId,
    last_keyed: Option<RequestId>,
}

/// The results of a workload.
struct Outcomes {
    violations: Vec<String>,
    started: usize,
}

const STEP: usize = 10_000;
const SURGE: std::ops::Range<Micros> = 3_000_000..5_000_000;
const SLOW_RUNS: std::ops::Range<Micros> = 6_000_000..9_000_000;
const SHUTDOWN_NOTICE_AT: Micros = 15_000_000;
const LAST_ARRIVAL: Micros = 16_500_000;
const END: Micros = 17_000_000;

impl Workload {
    fn new(settings: &Settings, seed: u64) -> Workload {
        Workload {
            random: Random(seed),
            checker: InvariantChecker::new(settings),
            next_id: 1,
            last_keyed: None,
        }
    }

    /// Runs the workload. `tamper` changes the actions before they are checked.
    fn run(
        mut self,
        settings: &Settings,
        seed: u64,
        tamper: impl Fn(&mut Vec<Action>),
    ) -> Outcomes {
        let mut controller = Controller::new(settings.clone(), seed);
        let mut started = 0;
        for now in (0..=END).step_by(STEP) {
            let events = self.events(now);
            let mut actions = step(&mut controller, now, &events);
            tamper(&mut actions);
            started += start_count(&actions);
            self.checker.record(now, &events, &actions);
        }
        Outcomes {
            violations: self.checker.violations,
            started,
        }
    }

    fn events(&mut self, now: Micros) -> Vec<Event> {
        let mut events = vec![tick()];
        self.end_runs(now, &mut events);
        self.end_calls(&mut events);
        self.end_reuses(&mut events);
        if now == SHUTDOWN_NOTICE_AT {
            events.push(Event::ShutdownNotice(1_900_000));
        }
        let max_arrivals = if SURGE.contains(&now) { 6 } else { 2 };
        for _ in 0..self.random.below(max_arrivals) * u64::from(now < LAST_ARRIVAL) {
            events.push(Event::Arrived(self.next_request()));
        }
        events
    }

    /// Cancelled runs end immediately, and others at random.
    fn end_runs(&mut self, now: Micros, events: &mut Vec<Event>) {
        let mean_steps = if SLOW_RUNS.contains(&now) { 60 } else { 12 };
        let ending = self.checker.requests_where(RequestView::is_ending);
        let live = self
            .checker
            .requests_where(|r| r.is_running || r.is_ending());
        for id in live {
            if ending.contains(&id) {
                events.push(finished(id, 1000, Outcome::Cancelled));
            } else if self.random.below(mean_steps) == 0 {
                events.push(match self.random.below(4) {
                    0 => Event::NeedsCall(id),
                    1 if self.random.below(5) == 0 => finished(id, 90_000, Outcome::Error),
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
            let outcome = match self.random.below(80) {
                0..=8 => Outcome::Success,
                9 => Outcome::Error,
                10 => Outcome::TimedOut,
                11 => Outcome::Rejected,
                12 => Outcome::Unreachable,
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
            if self.random.below(20) == 0 {
                events.push(succeeded(id, 1000));
            }
        }
    }

    fn next_request(&mut self) -> Request {
        let id = self.next_id;
        self.next_id += 1;
        let mut request = request(id, self.random.below(3) as usize);
        request.queue_time = self.random.below(40_000) as Micros;
        request.is_retry = self.random.below(5) == 0;
        request.memory_kb = 5.0 + self.random.below(60) as f64;
        request.timeout =
            (self.random.below(2) == 0).then(|| 200_000 + self.random.below(3_000_000) as Micros);
        if request.class == KEYED {
            let original = self.last_keyed.filter(|&id| self.checker.is_live(id));
            request.duplicate_of = original.filter(|_| self.random.below(4) == 0);
            if request.duplicate_of.is_none() {
                self.last_keyed = Some(id);
            }
        }
        request
    }
}

fn run_workload(settings: &Settings, seed: u64) -> Outcomes {
    Workload::new(settings, seed).run(settings, seed, |_| {})
}

#[test]
fn invariants_hold_under_random_workloads() {
    let modes = [
        CancellationMode::Unsupported,
        CancellationMode::Abort,
        CancellationMode::Suspend,
    ];
    for seed in 1..30 {
        for cancellation in modes {
            let settings = Settings {
                cancellation,
                ..settings()
            };
            let Outcomes {
                violations,
                started,
            } = run_workload(&settings, seed);
            assert!(
                violations.is_empty(),
                "seed {seed} {cancellation:?}: {violations:?}"
            );
            assert!(started > 100, "only {started} were started");
        }
    }
}

#[test]
fn invariants_hold_with_little_memory_and_without_backpressure() {
    let settings = Settings {
        memory_kb: 3_000.0,
        backpressure: BackpressureKind::Disabled,
        downstream: Downstream::None,
        ..settings()
    };
    for seed in 1..20 {
        let violations = run_workload(&settings, seed).violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Settings that differ from [`settings`] in one respect each.
fn varied_settings() -> Vec<Settings> {
    let tenants = [5.0, 50.0].map(|quota_rps| Tenant { quota_rps }).to_vec();
    let mut skips_calls = settings();
    skips_calls.classes[IDEMPOTENT].skip_call_weight = 0.5;
    vec![
        Settings {
            backpressure: BackpressureKind::Window,
            callers: 3.0,
            ..settings()
        },
        Settings {
            backpressure: BackpressureKind::Share,
            downstream: Downstream::Tier,
            ..settings()
        },
        Settings {
            read_cache_ttl: 300_000,
            tenants,
            over_quota_weight: 0.1,
            ..settings()
        },
        Settings {
            call_share: 0.4,
            is_cold: true,
            cores: 2.0,
            ..settings()
        },
        skips_calls,
    ]
}

#[test]
fn invariants_hold_under_varied_settings() {
    for (index, settings) in varied_settings().iter().enumerate() {
        for seed in 1..8 {
            let violations = run_workload(settings, seed).violations;
            assert!(
                violations.is_empty(),
                "settings {index} seed {seed}: {violations:?}"
            );
        }
    }
}

#[test]
fn the_checker_detects_tampered_actions() {
    let violations = |tamper: fn(&mut Vec<Action>)| {
        let settings = settings();
        Workload::new(&settings, 3)
            .run(&settings, 3, tamper)
            .violations
    };
    let without_answers = violations(|actions| {
        actions.retain(|a| !matches!(a, Action::Fail(_) | Action::Reject { .. }));
    });
    assert!(!without_answers.is_empty());
    let without_keys = violations(|actions| {
        actions.retain(|a| !matches!(a, Action::RetainKey(..)));
    });
    assert!(without_keys
        .iter()
        .any(|v| v.contains("without a retained key")));
    let with_repeated_runs = violations(|actions| {
        let repeated: Vec<Action> = started(actions).into_iter().map(Action::Run).collect();
        actions.extend(repeated);
    });
    assert!(with_repeated_runs.iter().any(|v| v.contains("run twice")));
}

#[test]
fn the_same_events_produce_the_same_actions() {
    let run = || {
        let mut controller = Controller::new(settings(), 9);
        let mut actions = Vec::new();
        for id in 0..400 {
            let events = [tick(), arrival(id, (id % 3) as usize)];
            actions.extend(step(&mut controller, id as Micros * 5_000, &events));
        }
        actions
    };
    assert_eq!(run(), run());
}

#[test]
fn a_running_request_is_answered_at_its_deadline() {
    let mut controller = controller(settings());
    let with_timeout = Request {
        timeout: Some(300_000),
        ..request(1, NON_IDEMPOTENT)
    };
    let actions = step(&mut controller, 0, &[Event::Arrived(with_timeout)]);
    assert_eq!(start_count(&actions), 1);
    let actions = step(&mut controller, 299_999, &[tick()]);
    assert!(!actions.contains(&Action::Fail(1)));
    let actions = step(&mut controller, 300_000, &[tick()]);
    assert!(actions.contains(&Action::Fail(1)));
    assert!(actions.contains(&Action::Cancel(1)));
}

#[test]
fn a_cold_server_runs_fewer_requests_concurrently() {
    let started = |is_cold| {
        let mut controller = controller(Settings {
            is_cold,
            downstream: Downstream::None,
            safety: Safety {
                warmup_time: 10_000_000,
                cold_speed: 0.2,
                max_concurrency_per_core: 2.0,
                ..Safety::default()
            },
            ..settings()
        });
        let mut events = vec![tick()];
        events.extend(arrivals(1..8, NON_IDEMPOTENT));
        start_count(&step(&mut controller, 0, &events))
    };
    // (1 + (2 - 1) * 0.2) * 4 cores * 0.65 is slightly above 3; the warm server uses all 4 cores.
    assert_eq!(started(true), 3);
    assert_eq!(started(false), 4);
}

#[test]
fn requests_at_calls_count_towards_the_concurrency_ceiling() {
    let mut controller = controller(Settings {
        safety: Safety {
            max_concurrency_per_core: 2.0,
            ..Safety::default()
        },
        ..settings()
    });
    let actions = step(&mut controller, 0, &arrivals(1..=4, NON_IDEMPOTENT));
    assert_eq!(start_count(&actions), 4);
    let needs_call: Vec<Event> = (1..=4).map(Event::NeedsCall).collect();
    step(&mut controller, 1000, &needs_call);
    assert_eq!(controller.status().running, 0);
    // 4 cores * 2 * 0.65 is 5.2, so that one more can start.
    let actions = step(&mut controller, 2000, &arrivals(5..=8, NON_IDEMPOTENT));
    assert_eq!(start_count(&actions), 1);
}
