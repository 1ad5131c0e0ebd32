//! No process of a node acts on a version below the one that any process of its name has acted on:
//! all orders in a small world of three electors, a node that crashes, is replaced, and has its
//! disk put back or lost, and answers that are late.

use pipitlever_config_versions::floor::Floor;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const ELECTORS: [&str; 3] = ["a", "b", "c"];
/// Versions and starts that there are.
const VERSIONS: u64 = 2;
const STARTS: u64 = 2;
/// How often the disk is copied, put back or lost.
const MEDDLED: u8 = 2;

fn electors() -> Vec<String> {
    ELECTORS.iter().map(|e| e.to_string()).collect()
}

/// One process of the node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    floor: Floor,
    acting: u64,
    /// Written down, and not acted on yet.
    written: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// The highest version that each elector has accepted.
    accepted: [u64; 3],
    /// What a majority has accepted.
    decided: u64,
    process: Option<Process>,
    starts: u64,
    /// The floor on the disk, and on a copy of it from some time ago.
    disk: u64,
    copy: u64,
    meddled: u8,
    /// Answers on their way, which may arrive at any time: from whom, to which start, what.
    answers: BTreeSet<(usize, u64, u64)>,
    /// The highest version that any process has acted on.
    highest: u64,
    /// Something was done under a lower one.
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Accept(usize),
    Start,
    Crash,
    Replace,
    Copy,
    PutBack,
    Lose,
    Answer(usize),
    Deliver(usize, u64, u64),
    Write(u64),
    Act,
}

/// What is broken on purpose.
#[derive(Clone, Copy, Default, PartialEq)]
enum Broken {
    #[default]
    Nothing,
    /// A process believes its disk.
    Disk,
    /// One elector is enough.
    One,
    /// An answer to an earlier start counts.
    Old,
    /// A process acts before that is written, and believes its disk in the next start.
    Unwritten,
}

#[derive(Clone, Copy, Default)]
struct Orders(Broken);

impl Orders {
    fn may_act(&self, p: &Process) -> bool {
        match self.0 {
            Broken::Disk => p.acting >= p.floor.floor(),
            _ => p.floor.allows(p.acting),
        }
    }
}

impl Model for Orders {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            accepted: [0; 3],
            decided: 0,
            process: None,
            starts: 0,
            disk: 0,
            copy: 0,
            meddled: 0,
            answers: BTreeSet::new(),
            highest: 0,
            broken: false,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Action>) {
        // One version at a time is accepted, as the register has it.
        let next = w.decided + 1;
        if next <= VERSIONS {
            actions.extend((0..3).filter(|e| w.accepted[*e] < next).map(Action::Accept));
        }
        if w.meddled < MEDDLED && w.disk != w.copy {
            actions.extend([Action::Copy, Action::PutBack]);
        }
        if w.meddled < MEDDLED && w.disk != 0 {
            actions.push(Action::Lose);
        }
        actions.extend(
            w.answers
                .iter()
                .map(|(e, start, highest)| Action::Deliver(*e, *start, *highest)),
        );
        let Some(p) = &w.process else {
            if w.starts < STARTS {
                actions.push(Action::Start);
            }
            return;
        };
        actions.push(Action::Crash);
        if w.starts < STARTS && self.may_act(p) {
            actions.push(Action::Replace);
        }
        let asked =
            |e: &usize| !p.floor.open() && !w.answers.iter().any(|a| (a.0, a.1) == (*e, w.starts));
        actions.extend((0..3).filter(asked).map(Action::Answer));
        match p.written {
            Some(_) => actions.push(Action::Act),
            None => actions.extend(
                (p.acting + 1..=w.decided)
                    .filter(|v| self.0 == Broken::Disk || p.floor.allows(*v))
                    .map(Action::Write),
            ),
        }
    }

    fn next_state(&self, w: &World, action: Action) -> Option<World> {
        let mut w = w.clone();
        let start = w.starts;
        match action {
            Action::Accept(e) => {
                w.accepted[e] = w.decided + 1;
                if w.accepted.iter().filter(|a| **a > w.decided).count() >= 2 {
                    w.decided += 1;
                }
            }
            Action::Start => {
                w.starts += 1;
                let floor = Floor::new(w.disk, w.starts);
                // It begins with what the disk has, and may act on it once that is known to be
                // right.
                w.process = Some(Process {
                    floor,
                    acting: w.disk,
                    written: None,
                });
            }
            Action::Crash => w.process = None,
            Action::Replace => {
                let acting = w.process.as_ref()?.acting;
                w.starts += 1;
                let mut floor = Floor::new(w.disk, w.starts);
                floor.handed(acting);
                w.process = Some(Process {
                    floor,
                    acting,
                    written: None,
                });
            }
            Action::Copy => (w.copy, w.meddled) = (w.disk, w.meddled + 1),
            Action::PutBack => (w.disk, w.meddled) = (w.copy, w.meddled + 1),
            Action::Lose => (w.disk, w.meddled) = (0, w.meddled + 1),
            Action::Answer(e) => drop(w.answers.insert((e, start, w.accepted[e]))),
            Action::Deliver(e, to, highest) => {
                w.answers.remove(&(e, to, highest));
                let p = w.process.as_mut()?;
                let to = if self.0 == Broken::Old {
                    p.floor.nonce()
                } else {
                    to
                };
                let electors = if self.0 == Broken::One {
                    vec![ELECTORS[e].to_owned()]
                } else {
                    electors()
                };
                p.floor.heard(ELECTORS[e], to, highest, &electors);
            }
            Action::Write(v) => {
                let p = w.process.as_mut()?;
                p.written = Some(v);
                if self.0 != Broken::Unwritten {
                    w.disk = v.max(w.disk);
                }
                // The floor rises before the act: from here on nothing below it is done.
                p.floor.raise(v);
            }
            Action::Act => {
                let p = w.process.as_mut()?;
                p.acting = p.written.take()?;
            }
        }
        // Requests come all the time: each state in which it may act is one in which it does.
        if let Some(p) = w.process.as_ref().filter(|p| self.may_act(p)) {
            w.broken |= p.acting < w.highest;
            w.highest = w.highest.max(p.acting);
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "nothing is begun below the floor",
            |_, w: &World| !w.broken,
        )]
    }
}

/// Whether any order breaks it.
fn breaks(broken: Broken) -> bool {
    let (start, most) = (Instant::now(), Duration::from_secs(120));
    let checker = Orders(broken)
        .checker()
        .threads(4)
        .timeout(most)
        .spawn_bfs()
        .join();
    let found = checker
        .discovery("nothing is begun below the floor")
        .is_some();
    assert!(
        found || start.elapsed() < most,
        "not all states were reached in time"
    );
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    found
}

#[test]
fn in_no_order_is_anything_begun_below_the_floor() {
    assert!(!breaks(Broken::Nothing));
}

#[test]
fn the_model_finds_what_is_broken_on_purpose() {
    for broken in [Broken::Disk, Broken::One, Broken::Old] {
        assert!(breaks(broken));
    }
    // What is not written down is found out from the electors all the same: the disk alone carries
    // nothing.
    assert!(!breaks(Broken::Unwritten));
}
