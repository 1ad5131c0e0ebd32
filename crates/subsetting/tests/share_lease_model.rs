//! Model checking of shares in a system of three nodes whose loads change and whose reports take up
//! to the propagation time: in no interleaving do the shares add up to more than the limit.

use pipitlever_subsetting::share_lease::{LoadHistory, LoadLevels};
use stateright::{Checker, Model, Property};
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// The limit that the nodes divide.
const LIMIT: usize = 7;
/// The propagation time that nodes assume.
const MAX_PROPAGATION: i64 = 1;
/// The last time step.
const END: i64 = 4;
/// The number of load changes.
const MAX_CHANGES: usize = 3;
const TIME_LIMIT: Duration = Duration::from_secs(120);
const WITHIN_LIMIT: &str = "shares are within the limit";
const LARGE_SHARE: &str = "a node has most of the limit";

/// A reported load level, and when it was reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Report {
    level: u8,
    reported_at: i64,
}

/// The levels in a node's view since a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownLevels {
    since: i64,
    levels: [u8; NODES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    now: i64,
    reports: [Report; NODES],
    /// The level of every node in each node's view.
    known: [[u8; NODES]; NODES],
    /// The levels that were in each node's view within the propagation time.
    histories: Vec<Vec<KnownLevels>>,
    changes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A node reports a level.
    Report {
        node: usize,
        level: u8,
    },
    /// A node receives the latest report of another node.
    Receive {
        node: usize,
        reporter: usize,
    },
    Tick,
}

#[derive(Clone, Copy)]
struct ShareModel {
    /// The actual propagation time.
    propagation: i64,
    /// Whether a larger share takes effect at once.
    grows_at_once: bool,
}

fn name(node: usize) -> String {
    format!("n{node}")
}

fn load_levels(levels: &[u8; NODES]) -> LoadLevels {
    levels
        .iter()
        .enumerate()
        .map(|(node, level)| (name(node), *level))
        .collect()
}

impl System {
    /// Records the levels that are in a node's view now.
    fn record(&mut self, node: usize) {
        let now = self.now;
        let levels = self.known[node];
        let history = &mut self.histories[node];
        if history.last().is_none_or(|last| last.levels != levels) {
            history.push(KnownLevels { since: now, levels });
        }
        // Levels replaced longer ago than the propagation time have no effect on shares.
        while history.len() > 1 && history[1].since + MAX_PROPAGATION < now {
            history.remove(0);
        }
    }

    /// Returns whether all nodes have received a node's latest report.
    fn is_known_to_all(&self, reporter: usize) -> bool {
        (0..NODES).all(|node| self.known[node][reporter] == self.reports[reporter].level)
    }
}

impl ShareModel {
    /// Returns the share that a node has now.
    fn share(&self, node: usize, history: &[KnownLevels], now: i64) -> usize {
        let mut loads = LoadHistory::new(-9 * MAX_PROPAGATION);
        for known in history {
            loads.record(known.since, load_levels(&known.levels));
        }
        let max_propagation = if self.grows_at_once {
            -1
        } else {
            MAX_PROPAGATION
        };
        loads.expire(now, max_propagation);
        let tie_breaker = |name: &str| name.bytes().map(u64::from).sum();
        loads.share(&name(node), LIMIT, tie_breaker)
    }

    fn shares(&self, system: &System) -> Vec<usize> {
        system
            .histories
            .iter()
            .enumerate()
            .map(|(node, history)| self.share(node, history, system.now))
            .collect()
    }
}

impl Model for ShareModel {
    type State = System;
    type Action = Action;

    fn init_states(&self) -> Vec<System> {
        let initial = KnownLevels {
            since: -4 * MAX_PROPAGATION,
            levels: [0; NODES],
        };
        let report = Report {
            level: 0,
            reported_at: -9,
        };
        vec![System {
            now: 0,
            reports: [report; NODES],
            known: [[0; NODES]; NODES],
            histories: vec![vec![initial]; NODES],
            changes: 0,
        }]
    }

    fn actions(&self, system: &System, actions: &mut Vec<Action>) {
        let mut is_report_due = false;
        for node in 0..NODES {
            for (reporter, report) in system.reports.iter().enumerate() {
                if system.known[node][reporter] != report.level {
                    actions.push(Action::Receive { node, reporter });
                    is_report_due |= system.now - report.reported_at >= self.propagation;
                }
            }
            // A node reports again only after all others have received its last report.
            if system.changes < MAX_CHANGES && system.is_known_to_all(node) {
                let current = system.reports[node].level;
                let changed = [1u8, 5].into_iter().filter(|level| *level != current);
                actions.extend(changed.map(|level| Action::Report { node, level }));
            }
        }
        if !is_report_due && system.now < END {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, system: &System, action: Action) -> Option<System> {
        let mut next = system.clone();
        match action {
            Action::Report { node, level } => {
                next.reports[node] = Report {
                    level,
                    reported_at: next.now,
                };
                next.known[node][node] = level;
                next.changes += 1;
                next.record(node);
            }
            Action::Receive { node, reporter } => {
                next.known[node][reporter] = next.reports[reporter].level;
                next.record(node);
            }
            Action::Tick => {
                next.now += 1;
                (0..NODES).for_each(|node| next.record(node));
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_LIMIT, |model: &ShareModel, system: &System| {
                model.shares(system).iter().sum::<usize>() <= LIMIT
            }),
            Property::sometimes(LARGE_SHARE, |model: &ShareModel, system: &System| {
                model.shares(system).iter().any(|share| *share > LIMIT / 2)
            }),
        ]
    }
}

/// Returns whether the shares exceed the limit in some interleaving.
fn exceeds_limit(model: ShareModel) -> bool {
    let start = Instant::now();
    let checker = model
        .checker()
        .threads(4)
        .timeout(TIME_LIMIT)
        .spawn_bfs()
        .join();
    assert!(
        start.elapsed() < TIME_LIMIT,
        "not all states were reached in time"
    );
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    let counterexample = checker.discovery(WITHIN_LIMIT);
    assert!(
        checker.discovery(LARGE_SHARE).is_some(),
        "no state was reached in which {LARGE_SHARE}"
    );
    if let Some(path) = counterexample {
        println!("{WITHIN_LIMIT}: {:#?}", path.into_actions());
        return true;
    }
    false
}

#[test]
fn shares_never_exceed_the_limit_in_any_interleaving() {
    assert!(!exceeds_limit(ShareModel {
        propagation: MAX_PROPAGATION,
        grows_at_once: false
    }));
}

#[test]
fn the_model_detects_late_reports_and_shares_that_grow_at_once() {
    assert!(exceeds_limit(ShareModel {
        propagation: MAX_PROPAGATION,
        grows_at_once: true
    }));
    assert!(exceeds_limit(ShareModel {
        propagation: END,
        grows_at_once: false
    }));
}
