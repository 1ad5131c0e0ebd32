//! Any deployment: days under settings drawn from the whole of what is valid, held to every rule.

mod common;
use common::*;
use pipitlever_admission::*;
use pipitlever_settings::arbitrary::platform_settings;
use pipitlever_settings::PlatformSettings;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

/// Draws the same settings for a seed each time.
fn drawn(seed: u8) -> (serde_json::Value, Settings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(Cases::default(), rng);
    let json = platform_settings().new_tree(&mut runner).unwrap().current();
    let config: PlatformSettings =
        serde_json::from_value(json.clone()).unwrap_or_else(|e| panic!("{e}: {json}"));
    config
        .validate()
        .unwrap_or_else(|why| panic!("{why}: {json}"));
    (json, config.controller_settings().unwrap())
}

/// A day of six seconds: calm, a surge, a standstill, a drain. Returns breaches of the rules, and
/// what was run and refused.
fn day(s: &Settings, seed: u64) -> (Vec<String>, usize, usize) {
    let mut c = Controller::new(s.clone(), seed);
    let mut books = Books::new(s);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut next, mut ran, mut turned) = (1, 0, 0);
    let mut keyed: Vec<(usize, RequestId)> = Vec::new();
    let (leave_at, end) = (4_500_000, 6_000_000);
    for now in (0..=end + 500_000).step_by(10_000) {
        let mut events = vec![ticks(0)];
        let stands = (2_500_000..3_500_000).contains(&now);
        for id in books.open(|v| v.halted || v.cancelled) {
            events.push(Event::Finished {
                id,
                elapsed: 1000,
                outcome: Outcome::Cancelled,
            });
        }
        for id in books.open(|v| v.running && !v.halted && !v.cancelled) {
            if !stands && rng.u32(..12) == 0 {
                events.push(match rng.u32(..8) {
                    0 if s.downstream != Downstream::None => Event::NeedsCall(id),
                    1 => Event::Finished {
                        id,
                        elapsed: 20_000,
                        outcome: Outcome::Error,
                    },
                    _ => done(id, 90_000),
                });
            }
        }
        for id in books.open(|v| v.calling && !v.cancelled) {
            let outcome = match rng.u32(..40) {
                0..=5 => Outcome::Success,
                6 => Outcome::Error,
                7 => Outcome::TimedOut,
                8 => Outcome::Rejected,
                9 => Outcome::Unreachable,
                10 => Outcome::Reset,
                _ => continue,
            };
            events.push(Event::CallEnded {
                id,
                elapsed: 50_000,
                outcome,
            });
        }
        for id in books.open(|v| v.reusing && v.original.is_some()) {
            if rng.u32(..20) == 0 {
                events.push(Event::Finished {
                    id,
                    elapsed: 1000,
                    outcome: Outcome::Success,
                });
            }
        }
        if now == leave_at {
            events.push(Event::ShutdownNotice(1_400_000));
        }
        let most = if (1_000_000..2_000_000).contains(&now) {
            6
        } else {
            2
        };
        for _ in 0..rng.u32(..=most) * u32::from(now < end - 200_000) {
            let class = rng.usize(..s.classes.len());
            let mut r = Request {
                id: next,
                class,
                priority: rng.f64(),
                ..Request::default()
            };
            r.queue_time = rng.i64(0..40_000);
            r.is_retry = rng.u32(..5) == 0;
            // All that may be read at once finds room, as the platform promises.
            r.memory_kb = s.memory_kb / 400.0 * (0.2 + rng.f64());
            r.timeout = rng.bool().then(|| 100_000 + rng.i64(0..3_000_000));
            r.cost = rng.bool().then(|| 1e3 + 1e6 * rng.f64());
            // Some of tenants that the settings don't have.
            r.tenant = rng.bool().then(|| rng.usize(..6));
            if s.classes[class].idempotency == Idempotency::Keyed {
                let live = keyed
                    .iter()
                    .rev()
                    .find(|(of, id)| *of == class && books.is_live(*id));
                r.duplicate_of = live.map(|(_, id)| *id).filter(|_| rng.u32(..4) == 0);
                if r.duplicate_of.is_none() {
                    keyed.push((class, next));
                }
            }
            events.push(Event::Arrived(r));
            next += 1;
        }
        let actions = step(&mut c, now, &events);
        ran += runs(&actions);
        turned += actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
        for action in &actions {
            match action {
                Action::Backpressure(level) => {
                    assert!(level.is_finite() && *level >= 0.0, "{level}")
                }
                Action::Reject {
                    retry_after: backoff,
                    ..
                } => {
                    assert!((0..=s.max_retry_after.max(0)).contains(backoff))
                }
                Action::CloseIdle(idle) => assert!(*idle <= s.max_keepalive, "{idle}"),
                _ => {}
            }
        }
        books.note(now, &events, &actions);
    }
    (books.breaches, ran, turned)
}

fn days(seeds: std::ops::Range<u64>) {
    let (mut ran, mut turned) = (0, 0);
    for seed in seeds {
        let (json, settings) = drawn(seed as u8);
        let (breaches, r, t) = day(&settings, seed + 1);
        assert!(
            breaches.is_empty(),
            "seed {seed}: {:?}\n{json}",
            &breaches[..breaches.len().min(5)]
        );
        (ran, turned) = (ran + r, turned + t);
    }
    assert!(ran > 0 && turned > 0, "{ran} run, {turned} refused");
}

#[test]
fn every_rule_holds_under_settings_of_any_deployment() {
    days(0..10);
}

/// By hand: `cargo test --release --test settings -- --ignored`.
#[test]
#[ignore = "250 days"]
fn every_rule_holds_under_mplatform_settings() {
    days(0..250);
}
