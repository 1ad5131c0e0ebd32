//! Parts of a bound never add up to more than it, in all orders of a small world: three nodes whose
//! loads change, and news that takes up to as long as is reckoned with. And where news takes
//! longer, by how much.

use pipitlever_subsetting::grant::{Levels, Seen};
use stateright::{Checker, Model, Property};
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// The bound, and the steps that news may take.
const BOUND: usize = 7;
const HOLD: i64 = 1;
const STEPS: i64 = 4;
const CHANGES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    /// The load of each node as it tells it, and when it was told last.
    told: [(u8, i64); NODES],
    /// What each node has heard of each.
    heard: [[u8; NODES]; NODES],
    /// What each node has held, and since when, as far back as it matters.
    sets: Vec<Vec<(i64, [u8; NODES])>>,
    changes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A node's load is that from now on.
    Load(usize, u8),
    /// One hears of another.
    Hear(usize, usize),
    Tick,
}

#[derive(Clone, Copy)]
struct Orders {
    /// News may take so long.
    news: i64,
    /// More holds as soon as less does.
    at_once: bool,
}

fn name(node: usize) -> String {
    format!("n{node}")
}

fn levels(of: &[u8; NODES]) -> Levels {
    of.iter().enumerate().map(|(i, l)| (name(i), *l)).collect()
}

impl Orders {
    /// What a node may have now, as the product reckons it.
    fn part(&self, node: usize, sets: &[(i64, [u8; NODES])], now: i64) -> usize {
        let mut seen = Seen::new(-9 * HOLD);
        sets.iter()
            .for_each(|(at, loads)| seen.set(*at, levels(loads)));
        seen.quiet(now, if self.at_once { -1 } else { HOLD });
        seen.part(&name(node), BOUND, |name| name.bytes().map(u64::from).sum())
    }

    fn sum(&self, w: &World) -> usize {
        w.sets
            .iter()
            .enumerate()
            .map(|(i, sets)| self.part(i, sets, w.now))
            .sum()
    }

    fn look(w: &mut World, node: usize) {
        let heard = w.heard[node];
        let now = w.now;
        let sets = &mut w.sets[node];
        if sets.last().is_none_or(|(_, last)| *last != heard) {
            sets.push((now, heard));
        }
        // What was left behind longer ago than news takes is no part of the state.
        while sets.len() > 1 && sets[1].0 + HOLD < now {
            sets.remove(0);
        }
    }
}

impl Model for Orders {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let sets = vec![vec![(-4 * HOLD, [0; NODES])]; NODES];
        let heard = [[0; NODES]; NODES];
        vec![World {
            now: 0,
            told: [(0, -9); NODES],
            heard,
            sets,
            changes: 0,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Action>) {
        let mut late = false;
        for node in 0..NODES {
            for of in (0..NODES).filter(|of| w.heard[node][*of] != w.told[*of].0) {
                actions.push(Action::Hear(node, of));
                late |= w.now - w.told[of].1 >= self.news;
            }
            // A node tells one thing at a time: the next once all have heard of it.
            let known = (0..NODES).all(|n| w.heard[n][node] == w.told[node].0);
            if w.changes < CHANGES && known {
                actions.extend(
                    [1u8, 5]
                        .into_iter()
                        .filter(|l| *l != w.told[node].0)
                        .map(|l| Action::Load(node, l)),
                );
            }
        }
        if !late && w.now < STEPS {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, w: &World, action: Action) -> Option<World> {
        let mut w = w.clone();
        match action {
            Action::Load(node, load) => {
                w.told[node] = (load, w.now);
                w.heard[node][node] = load;
                w.changes += 1;
                Orders::look(&mut w, node);
            }
            Action::Hear(node, of) => {
                w.heard[node][of] = w.told[of].0;
                Orders::look(&mut w, node);
            }
            Action::Tick => {
                w.now += 1;
                (0..NODES).for_each(|node| Orders::look(&mut w, node));
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("within the bound", |m: &Orders, w: &World| {
                m.sum(w) <= BOUND
            }),
            Property::sometimes("one has most of it", |m: &Orders, w: &World| {
                w.sets
                    .iter()
                    .enumerate()
                    .any(|(i, sets)| m.part(i, sets, w.now) > BOUND / 2)
            }),
        ]
    }
}

/// Which of the properties some order breaks.
fn broken(orders: Orders) -> Vec<&'static str> {
    let (start, most) = (Instant::now(), Duration::from_secs(120));
    let checker = orders.checker().threads(4).timeout(most).spawn_bfs().join();
    assert!(
        start.elapsed() < most,
        "not all states were reached in time"
    );
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    for p in ["within the bound"] {
        if let Some(path) = checker.discovery(p) {
            println!("{p}: {:#?}", path.into_actions());
        }
    }
    assert!(
        checker.discovery("one has most of it").is_some(),
        "the world is too small"
    );
    checker
        .discovery("within the bound")
        .map(|_| "within the bound")
        .into_iter()
        .collect()
}

#[test]
fn in_no_order_do_parts_add_up_to_more_than_the_bound() {
    assert!(broken(Orders {
        news: HOLD,
        at_once: false
    })
    .is_empty());
}

#[test]
fn where_news_is_late_or_nobody_waits_the_model_finds_it() {
    assert_eq!(
        broken(Orders {
            news: HOLD,
            at_once: true
        }),
        ["within the bound"]
    );
    assert_eq!(
        broken(Orders {
            news: STEPS,
            at_once: false
        }),
        ["within the bound"]
    );
}
