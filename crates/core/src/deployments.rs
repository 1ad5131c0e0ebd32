//! The core under settings of any deployment, with a processor and a layer below by chance: one
//! answer for each request by its due time, nothing refused that ran, no key run twice, and nothing
//! left in memory at the end.

use super::tests::incoming;
use super::*;
use fastrand::Rng;
use pipitlever_settings::arbitrary::platform_settings;
use pipitlever_settings::PlatformSettings;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

const MS: Micros = 1000;

/// What became of a request.
#[derive(Default)]
struct Fate {
    due: Micros,
    key: Option<Rc<str>>,
    arrived: Micros,
    class: usize,
    begun: bool,
    answers: Vec<Answer>,
    gone: bool,
}

struct Day {
    core: Core,
    settings: Settings,
    fates: HashMap<Reference, Fate>,
    running: Vec<Reference>,
    calling: Vec<Reference>,
    begun: BTreeMap<(usize, Rc<str>), Micros>,
    interrupted: usize,
    now: Micros,
}

impl Day {
    fn carry_out(&mut self) {
        for effect in self.core.effects() {
            match effect {
                Effect::Answer { origin, answer } => {
                    let fate = self
                        .fates
                        .get_mut(&origin.request_number)
                        .expect("of a request");
                    let late = self.now > fate.due + self.settings.safety.answer_slack;
                    assert!(
                        !late,
                        "{} answered at {}, due {}",
                        origin.request_number, self.now, fate.due
                    );
                    assert!(
                        !(fate.begun && matches!(answer, Answer::Rejected { .. })),
                        "refused after its run"
                    );
                    fate.answers.push(answer);
                    assert_eq!(
                        fate.answers.len(),
                        1,
                        "{}: {:?}",
                        origin.request_number,
                        fate.answers
                    );
                }
                Effect::StartRun {
                    reference, class, ..
                } => {
                    let fate = self.fates.get_mut(&reference).expect("of a request");
                    assert!(!fate.begun && fate.class == class, "begun twice");
                    fate.begun = true;
                    if let Some(key) = fate.key.clone() {
                        let window = self.settings.classes[class].idempotency_window;
                        let before = self.begun.insert((class, key), fate.arrived);
                        let apart = before.is_none_or(|before| fate.arrived > before + window);
                        assert!(
                            apart,
                            "a key run twice: {before:?} {} {window}",
                            fate.arrived
                        );
                    }
                    self.running.push(reference);
                }
                Effect::StopRun { reference, .. } => {
                    assert_ne!(
                        self.settings.cancellation,
                        CancellationMode::Unsupported,
                        "there is no such command here"
                    );
                    self.interrupted += 1;
                    // It may cross the run's end.
                    if let Some(at) = self.running.iter().position(|r| *r == reference) {
                        self.running.swap_remove(at);
                        self.core.handle_run_finished(
                            self.now,
                            reference,
                            RunOutcome::Aborted,
                            5 * MS,
                            Rc::from([]),
                        );
                    }
                }
                Effect::PlaceCall { reference, .. } => self.calling.push(reference),
                Effect::CancelCall { reference } => self.calling.retain(|r| *r != reference),
                Effect::SendReply { reference, .. } => self.running.push(reference),
                Effect::QueryGauges => {}
            }
        }
    }

    fn told(&mut self, tell: impl FnOnce(&mut Core, Micros)) {
        tell(&mut self.core, self.now);
        while !self.core.effects.is_empty() {
            self.carry_out();
        }
    }
}

fn play(seed: u8) -> (usize, usize, usize) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(Cases::default(), rng);
    let json = platform_settings()
        .new_tree(&mut runner)
        .expect("a tree")
        .current();
    let config: PlatformSettings = serde_json::from_value(json.clone()).expect("settings");
    let (settings, names) = (
        config.controller_settings().expect("settings"),
        config.class_names(),
    );
    let names: Vec<Rc<str>> = names.iter().map(|n| n.as_str().into()).collect();
    let core = Core::new(
        settings.clone(),
        &names,
        7,
        2000,
        4096,
        MemoryLimits::for_process(64 << 20, 100),
    );
    let mut rng = Rng::with_seed(seed.into());
    let mut day = Day {
        core,
        settings,
        fates: HashMap::new(),
        running: Vec::new(),
        calling: Vec::new(),
        begun: BTreeMap::new(),
        interrupted: 0,
        now: 1000 * MS,
    };
    let cold = day.settings.is_cold;
    day.told(|core, now| core.start(now, now, cold));
    let mut next = 0;
    for tick in 0..1600 {
        day.now += 5 * MS;
        if day.core.next_wakeup().is_some_and(|at| at <= day.now) {
            day.told(|core, now| core.handle_wakeup(now));
        }
        let stands = (600..800).contains(&tick);
        for at in (0..day.running.len()).rev() {
            if !stands && rng.u32(..25) == 0 {
                let Some(reference) = day.running.get(at).copied() else {
                    continue;
                };
                day.running.swap_remove(at);
                let calls = day.settings.downstream != Downstream::None && rng.u32(..4) == 0;
                day.told(|core, now| match calls {
                    true => core.handle_call_requested(now, reference, Rc::from([])),
                    false => {
                        let end = if rng.u32(..8) == 0 {
                            RunOutcome::Failed
                        } else {
                            RunOutcome::Completed
                        };
                        core.handle_run_finished(
                            now,
                            reference,
                            end,
                            40 * MS,
                            Rc::from(*b"result"),
                        );
                    }
                });
            }
        }
        for at in (0..day.calling.len()).rev() {
            if rng.u32(..10) == 0 {
                let Some(reference) = day.calling.get(at).copied() else {
                    continue;
                };
                day.calling.swap_remove(at);
                let outcomes = [
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::Rejected,
                    Outcome::Error,
                    Outcome::Reset,
                ];
                let outcome = outcomes[rng.usize(..outcomes.len())];
                day.told(|core, now| {
                    core.handle_call_finished(now, reference, outcome, Rc::from([]))
                });
            }
        }
        if tick == 1200 {
            day.told(|core, now| core.begin_shutdown(now, 1500 * MS));
        }
        let most = if (300..600).contains(&tick) { 3 } else { 1 };
        for _ in 0..if tick < 1450 { rng.u32(..=most) } else { 0 } {
            next += 1;
            let class = rng.usize(..day.settings.classes.len());
            let keyed = day.settings.classes[class].idempotency == Idempotency::Keyed;
            // Tries of a few keys: some come again after their window.
            let key: Option<Rc<str>> = keyed.then(|| format!("{class}-{}", rng.u32(..40)).into());
            let arrived = day.now - rng.i64(0..20 * MS);
            let waits = 100 * MS + rng.i64(0..2000 * MS);
            let due = rng.bool().then_some(day.now + waits);
            let deadline = day.settings.classes[class].deadline;
            let tenant = rng
                .bool()
                .then(|| rng.usize(..5))
                .filter(|t| *t < day.settings.tenants.len());
            let fate = Fate {
                due: due.unwrap_or((arrived + deadline).max(day.now)),
                key: key.clone(),
                arrived,
                class,
                ..Fate::default()
            };
            day.fates.insert(next, fate);
            let new = IncomingRequest {
                class,
                arrived_at: arrived,
                deadline: due,
                tenant,
                idempotency_key: key,
                is_retry: rng.bool(),
                priority: rng.f64(),
                memory_kb: day.settings.memory_kb / 400.0,
                ..incoming(next, day.now, None)
            };
            day.told(|core, now| core.handle_request(now, new));
            if rng.u32(..30) == 0 {
                let reference = 1 + rng.u64(..next);
                day.fates.get_mut(&reference).expect("of a request").gone = true;
                day.told(|core, now| core.handle_abandoned(now, reference));
            }
        }
    }
    // What still runs ends; nobody is owed anything by then.
    for reference in std::mem::take(&mut day.running)
        .into_iter()
        .chain(std::mem::take(&mut day.calling))
    {
        day.told(|core, now| {
            core.handle_run_finished(
                now,
                reference,
                RunOutcome::Completed,
                40 * MS,
                Rc::from(*b"result"),
            )
        });
    }
    assert_eq!(day.core.unanswered(), 0, "seed {seed}: {json}");
    for (reference, fate) in &day.fates {
        let one = fate.answers.len() == 1 || (fate.gone && fate.answers.is_empty());
        assert!(
            one,
            "seed {seed}: {reference} has {:?}\n{json}",
            fate.answers
        );
    }
    let served = day
        .fates
        .values()
        .filter(|f| matches!(f.answers[..], [Answer::Served(_)]))
        .count();
    let refused = day
        .fates
        .values()
        .filter(|f| matches!(f.answers[..], [Answer::Rejected { .. }]))
        .count();
    (served, refused, day.interrupted)
}

#[test]
fn every_rule_holds_in_the_core_under_settings_of_any_deployment() {
    let all: Vec<_> = (0..10).map(play).collect();
    let sum = |of: fn(&(usize, usize, usize)) -> usize| all.iter().map(of).sum::<usize>();
    assert!(
        sum(|d| d.0) > 100 && sum(|d| d.1) > 100 && sum(|d| d.2) > 0,
        "{all:?}"
    );
}

#[test]
#[ignore = "250 days"]
fn every_rule_holds_in_the_core_under_mplatform_settings() {
    for seed in 0..250 {
        play(seed);
    }
}
