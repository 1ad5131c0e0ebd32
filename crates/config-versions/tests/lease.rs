//! Nobody acts on a version after it was said to be closed: all orders in a small world, and clocks
//! that run at different rates.

use pipitlever_config_versions::closer::{Closer, Stage};
use pipitlever_config_versions::lease::{Leases, Rates};
use pipitlever_config_versions::message::{Beat, Message, Seal};
use pipitlever_config_versions::version::Version;
use proptest::prelude::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const ELECTORS: [&str; 3] = ["a", "b", "c"];
/// The version that is closed, and acted on until then.
const OLD: u64 = 1;

fn newest() -> Version {
    let electors: Vec<String> = ELECTORS.iter().map(|e| e.to_string()).collect();
    Version {
        number: OLD + 1,
        by: "a".into(),
        ..Version::genesis(&electors)
    }
}

fn beat(elector: usize, at: i64, floor: u64) -> Beat {
    Beat {
        by: ELECTORS[elector].into(),
        start: 1,
        at,
        floor,
        config: 0,
    }
}

fn closed(floor: u64) -> Message {
    Message::Closed {
        floor,
        pending: None,
        seal: Seal::default(),
    }
}

/// Three electors, a node that acts on the old version, and one who closes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    closed: [bool; 3],
    /// Words on their way, which may arrive at any time or never: beats, and answers about clocks.
    beats: BTreeSet<(usize, i64, u64)>,
    asked: BTreeSet<(usize, i64)>,
    answers: BTreeSet<(usize, i64, i64)>,
    leases: Leases,
    closer: Closer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Beat(usize),
    Hear(usize, i64, u64),
    Ask(usize),
    Answer(usize, i64),
    Told(usize, i64, i64),
    Close(usize),
    Acknowledge(usize),
}

/// What is played, and what is broken on purpose.
#[derive(Clone, Copy, Default)]
struct Times {
    /// A lease counts from the answer, not from the asking.
    from_the_answer: bool,
    /// The one that closes waits for nothing.
    no_wait: bool,
    /// It begins to wait with the first elector.
    first: bool,
}

const LEASE: i64 = 2;
const END: i64 = 6;
/// Beats of each elector.
const MOST_BEATS: usize = 2;
const EXACT: Rates = Rates { off: 0 };

/// The electors' clocks began at other times.
fn clock(elector: usize, now: i64) -> i64 {
    now + 100 * elector as i64
}

impl Model for Times {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let (beats, asked, answers) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        let closer = Closer::new(OLD + 1, newest(), 0);
        vec![World {
            now: 0,
            closed: [false; 3],
            beats,
            asked,
            answers,
            leases: Leases::default(),
            closer,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.now < END {
            actions.push(Action::Tick);
        }
        // The first one's words come at any time. The second one hears nothing of the closing, and
        // the node hears it at once (in `Tick`): with it the first one makes a majority for the
        // node, and with the third one for the closing.
        for e in [0, 2] {
            actions.push(Action::Close(e));
            if world.closed[e] {
                actions.push(Action::Acknowledge(e));
            }
        }
        {
            let e = 0;
            if world.beats.iter().filter(|b| b.0 == e).count() < MOST_BEATS {
                actions.push(Action::Beat(e));
            }
            if !world.asked.iter().any(|a| a.0 == e) {
                actions.push(Action::Ask(e));
            }
        }
        actions.extend(
            world
                .beats
                .iter()
                .map(|(e, at, c)| Action::Hear(*e, *at, *c)),
        );
        let answered = |e: usize| world.answers.iter().any(|a| a.0 == e);
        let open = world.asked.iter().filter(|(e, _)| !answered(*e));
        actions.extend(open.map(|(e, at)| Action::Answer(*e, *at)));
        actions.extend(
            world
                .answers
                .iter()
                .map(|(e, asked, at)| Action::Told(*e, *asked, *at)),
        );
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        let electors = newest().electors;
        match action {
            Action::Tick => {
                next.now += 1;
                next.leases
                    .told(ELECTORS[1], 1, clock(1, next.now), next.now, &electors);
                next.leases.beat(&beat(1, clock(1, next.now), 0), &electors);
                next.closer.wake(next.now, &mut Vec::new());
            }
            Action::Beat(e) => {
                next.beats.insert((
                    e,
                    clock(e, next.now),
                    if next.closed[e] { OLD + 1 } else { 0 },
                ));
            }
            Action::Hear(e, at, closed) => {
                next.leases.beat(&beat(e, at, closed), &electors);
            }
            Action::Ask(e) => {
                next.asked.insert((e, next.now));
            }
            Action::Answer(e, asked) => {
                next.answers.insert((e, asked, clock(e, next.now)));
            }
            Action::Told(e, asked, at) => {
                let asked = if self.from_the_answer {
                    next.now
                } else {
                    asked
                };
                next.leases.told(ELECTORS[e], 1, at, asked, &electors);
            }
            Action::Close(e) => next.closed[e] = true,
            Action::Acknowledge(e) => {
                let lease = if self.no_wait { 0 } else { LEASE };
                next.closer
                    .hear(next.now, ELECTORS[e], &closed(OLD + 1), lease, EXACT);
                if self.first {
                    next.closer
                        .hear(next.now, ELECTORS[1], &closed(OLD + 1), lease, EXACT);
                }
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts once it is closed", |_, world: &World| {
                !(acts(world) && *world.closer.stage() == Stage::Closed)
            }),
            Property::sometimes("one acts while it is being closed", |_, world: &World| {
                acts(world) && matches!(world.closer.stage(), Stage::Waiting(_))
            }),
            Property::sometimes("it is closed", |_, world: &World| {
                *world.closer.stage() == Stage::Closed
            }),
        ]
    }
}

fn acts(world: &World) -> bool {
    world
        .leases
        .until(OLD, &newest(), LEASE, EXACT)
        .is_some_and(|until| world.now < until)
}

fn play(times: Times) -> (usize, bool) {
    let most = std::time::Duration::from_secs(60);
    let start = std::time::Instant::now();
    let checker = times.checker().threads(4).timeout(most).spawn_bfs().join();
    let found = checker.discovery("nobody acts once it is closed").is_some();
    assert!(
        found || start.elapsed() < most,
        "not all states were reached in time"
    );
    if !found {
        checker.assert_properties();
    }
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    (checker.unique_state_count(), found)
}

#[test]
fn in_no_order_does_anybody_act_after_the_promise() {
    let (states, found) = play(Times::default());
    assert!(states > 1000 && !found);
}

#[test]
fn the_check_notices_what_would_break_the_promise() {
    for times in [
        Times {
            from_the_answer: true,
            ..Times::default()
        },
        Times {
            no_wait: true,
            ..Times::default()
        },
        Times {
            first: true,
            ..Times::default()
        },
    ] {
        assert!(play(times).1);
    }
}

/// Clocks run at rates of their own, in millionths, and began at times of their own; all that is
/// said takes its time. The first three are the electors', the next the node's, the last that of
/// the one that closes.
fn clocks(rates: [i64; 5], begun: [i64; 5], delays: &[i64], close_at: i64, cut: bool) {
    let (limits, lease, electors) = (Rates::default(), 10_000_000, newest().electors);
    let clock = |who: usize, now: i64| {
        begun[who] + now + (now as i128 * rates[who] as i128 / 1_000_000) as i64
    };
    let mut leases = Leases::default();
    let mut closer: Option<Closer> = None;
    let mut closed_by = [false; 3];
    let (mut held, mut promised) = (0, None);
    // Beats on their way: when they arrive, and what they say.
    let mut beats: Vec<(i64, Beat)> = Vec::new();
    let mut told: Vec<(i64, usize, i64, i64)> = Vec::new();
    for step in 0..4500i64 {
        let now = step * 100_000;
        let delay = |more: i64| delays[((step + more) % 64) as usize];
        let node = clock(3, now);
        for (e, name) in ELECTORS.iter().enumerate() {
            // Electors speak every two seconds, unless the node is cut off after the closing.
            if step % 20 == 0 && !(cut && closed_by[e]) {
                let upto = if closed_by[e] { OLD + 1 } else { 0 };
                beats.push((now + delay(e as i64), beat(e, clock(e, now), upto)));
            }
            let on_its_way = told.iter().any(|t| t.1 == e);
            if !on_its_way && leases.asks(name, node, lease, limits) {
                let (there, back) = (delay(7 + e as i64), delay(13 + e as i64));
                told.push((now + there + back, e, node, clock(e, now + there)));
            }
        }
        for (_, beat) in beats.iter().filter(|b| b.0 <= now) {
            leases.beat(beat, &electors);
        }
        beats.retain(|b| b.0 > now);
        for (_, e, asked, at) in told.iter().filter(|t| t.0 <= now) {
            leases.told(ELECTORS[*e], 1, *at, *asked, &electors);
        }
        told.retain(|t| t.0 > now);
        if now >= close_at {
            let theirs = clock(4, now);
            let closer = closer.get_or_insert_with(|| Closer::new(OLD + 1, newest(), theirs));
            for (e, name) in ELECTORS.iter().enumerate().take(2) {
                closed_by[e] = true;
                closer.hear(theirs, name, &closed(OLD + 1), lease, limits);
            }
            if closer.wake(theirs, &mut Vec::new()) {
                promised = Some(now);
            }
        }
        let acts = leases
            .until(OLD, &newest(), lease, limits)
            .is_some_and(|until| node < until);
        assert!(
            !(acts && promised.is_some()),
            "it acts {} us after the promise",
            now - promised.unwrap()
        );
        // Until the closing no lease runs out, once there is one.
        held += i64::from(acts);
        assert!(
            acts || now >= close_at || now < 2_000_000,
            "no lease at {now}"
        );
    }
    assert!(held > 0 && promised.is_some());
}

proptest! {
    #[test]
    fn clocks_of_different_rates_keep_the_promise_and_the_lease(
        rates in prop::array::uniform5(-10_000i64..=10_000),
        begun in prop::array::uniform5(0i64..1_000_000_000_000),
        delays in prop::collection::vec(0i64..400_000, 64),
        close_at in 20_000_000i64..400_000_000,
        cut in any::<bool>(),
    ) {
        clocks(rates, begun, &delays, close_at, cut);
    }
}

/// As far apart as clocks may run, with the last beat right before the closing: what random draws
/// seldom come near.
#[test]
fn the_farthest_rates_keep_the_promise() {
    for electors in [-10_000, 10_000] {
        for (node, closer) in [(-10_000, 10_000), (10_000, -10_000), (-10_000, -10_000)] {
            for beats in [10, 20, 30, 40, 50, 100] {
                let rates = [electors, electors, electors, node, closer];
                clocks(rates, [0; 5], &[0; 64], beats * 2_000_000 + 100_000, true);
            }
        }
    }
}
