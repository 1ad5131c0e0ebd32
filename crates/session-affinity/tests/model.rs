//! All orders of a small world: three nodes that remember sessions, one session, clients that come
//! to any of them, a version that takes its worker away and reaches each at its own time, and
//! messages that come in any order or not at all. From each state that is reached, once faults
//! stop, all nodes say the same; and a session whose worker stays has moved nowhere.

use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use pipitlever_session_affinity::message::Message;
use pipitlever_session_affinity::WorkerId;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

const NODES: usize = 3;
const WAIT: i64 = 60_000;
const KEY: SessionKey = SessionKey::Session(77);

#[derive(Clone, Debug)]
struct World {
    now: i64,
    nodes: Vec<SessionDirectory>,
    /// On their way: from, to, what.
    said: BTreeSet<(usize, usize, Vec<u8>)>,
    /// Nodes that a client has come to, and those that have taken the version.
    asked: [u8; NODES],
    taken: [bool; NODES],
    lost: u8,
}

impl World {
    fn look(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.look() == other.look()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.look().hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Ask(usize),
    Deliver((usize, usize, Vec<u8>)),
    Lose((usize, usize, Vec<u8>)),
    Take(usize),
    Late,
}

/// How much of each there is.
#[derive(Clone, Copy)]
struct Orders {
    asks: u8,
    losses: u8,
    /// Whoever waits may have waited for long enough.
    late: bool,
    /// The version takes away the worker that the session would be placed with, or one that it
    /// would not.
    takes_its_worker: bool,
    versions: bool,
}

fn pool(workers: &[&str]) -> Pool {
    let server = |name: &&str| WorkerSettings {
        name: (*name).into(),
        weight: 1.0,
        accepts_sessions: true,
        is_draining: false,
    };
    let workers = workers.iter().map(server).collect();
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers,
        idle_timeout_seconds: 3600,
        failure_grace: 5_000_000,
        drain_grace: 0,
    }
}

fn settle(world: &mut World) {
    // Everything that is said arrives, and time goes on.
    for _ in 0..400 {
        for (from, to, bytes) in std::mem::take(&mut world.said) {
            deliver(world, from, to, &bytes);
        }
        world.now += 5_000;
        for i in 0..NODES {
            world.nodes[i].handle_wakeup(world.now);
            carry(world, i);
        }
        if world.said.is_empty() && world.now > 2_000_000 {
            return;
        }
    }
}

fn carry(world: &mut World, i: usize) {
    world.nodes[i].take_resolutions();
    for (to, bytes) in world.nodes[i].take_messages() {
        let to = to[1..].parse().expect("a node's number");
        world.said.insert((i, to, bytes));
    }
}

fn deliver(world: &mut World, from: usize, to: usize, bytes: &[u8]) {
    let message = Message::decode(bytes).expect("a node wrote it");
    world.nodes[to].handle_message(world.now, &format!("n{from}"), &message);
    carry(world, to);
}

fn take(world: &mut World, i: usize, workers: &[&str]) {
    world.taken[i] = true;
    world.nodes[i].set_pools(world.now, 1, vec![pool(workers)]);
}

/// Where a node says that the session lives, with all messages arriving.
fn says(world: &mut World, i: usize) -> Option<WorkerId> {
    loop {
        match world.nodes[i].resolve(world.now, 0, KEY, 9) {
            Resolution::Worker(worker) => return Some(worker),
            Resolution::Unavailable => return None,
            Resolution::Pending => settle(world),
        }
    }
}

impl Orders {
    /// The worker of the session as it is first placed, and the workers that the version leaves.
    fn left(&self) -> (WorkerId, Vec<&'static str>) {
        let all = ["a", "b", "c"];
        let mut node = SessionDirectory::new(
            "n0",
            DirectorySettings {
                lookup_timeout: WAIT,
                max_sessions: 10,
            },
            vec![pool(&all)],
            0,
            0,
            0,
        );
        node.handle_membership_change(0, Vec::new(), true);
        let Resolution::Worker(worker) = node.resolve(0, 0, KEY, 0) else {
            panic!("nobody else is asked")
        };
        let at = node.pools()[0].position(worker).expect("it is in the file");
        let gone = if self.takes_its_worker {
            at
        } else {
            (at + 1) % 3
        };
        (
            worker,
            (0..3).filter(|i| *i != gone).map(|i| all[i]).collect(),
        )
    }
}

impl Model for Orders {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let names: Vec<String> = (0..NODES).map(|i| format!("n{i}")).collect();
        let settings = DirectorySettings {
            lookup_timeout: WAIT,
            max_sessions: 10,
        };
        let peers = |me: &String| -> Vec<Peer> {
            names
                .iter()
                .filter(|n| *n != me)
                .map(|n| Peer {
                    name: n.clone(),
                    is_bootstrapped: true,
                })
                .collect()
        };
        let node = |name: &String| {
            let mut node =
                SessionDirectory::new(name, settings, vec![pool(&["a", "b", "c"])], 0, 0, 0);
            // Alone first, so that it has all there is to remember.
            node.handle_membership_change(0, Vec::new(), true);
            node.handle_membership_change(0, peers(name), true);
            node.take_messages();
            node
        };
        let nodes = names.iter().map(node).collect();
        vec![World {
            now: 0,
            nodes,
            said: BTreeSet::new(),
            asked: [0; NODES],
            taken: [false; NODES],
            lost: 0,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Action>) {
        if w.asked.iter().sum::<u8>() < self.asks {
            // Of two at once each comes to another node.
            actions.extend((0..NODES).filter(|i| w.asked[*i] == 0).map(Action::Ask));
        }
        actions.extend(w.said.iter().cloned().map(Action::Deliver));
        if w.lost < self.losses {
            actions.extend(w.said.iter().cloned().map(Action::Lose));
        }
        if self.versions {
            actions.extend((0..NODES).filter(|i| !w.taken[*i]).map(Action::Take));
        }
        if self.late && w.now == 0 && !w.said.is_empty() {
            actions.push(Action::Late);
        }
    }

    fn next_state(&self, w: &World, action: Action) -> Option<World> {
        let mut w = w.clone();
        match action {
            Action::Ask(i) => {
                w.asked[i] += 1;
                w.nodes[i].resolve(w.now, 0, KEY, 1);
                carry(&mut w, i);
            }
            Action::Deliver(said) => {
                w.said.remove(&said);
                deliver(&mut w, said.0, said.1, &said.2);
            }
            Action::Lose(said) => {
                w.said.remove(&said);
                w.lost += 1;
            }
            Action::Take(i) => take(&mut w, i, &self.left().1),
            Action::Late => {
                // Whoever waits has waited for long enough, with what is on its way still to come.
                w.now += WAIT + 1;
                for i in 0..NODES {
                    w.nodes[i].handle_wakeup(w.now);
                    carry(&mut w, i);
                }
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "once faults stop all say the same",
            |m: &Orders, w: &World| {
                let (first, left) = m.left();
                let mut w = w.clone();
                settle(&mut w);
                (0..NODES)
                    .filter(|_| m.versions)
                    .for_each(|i| take(&mut w, i, &left));
                // Each once, by which whoever has to has moved it; then once more a second later.
                for i in 0..NODES {
                    says(&mut w, i);
                }
                settle(&mut w);
                w.now += 3_000_000;
                let said: Vec<Option<WorkerId>> = (0..NODES).map(|i| says(&mut w, i)).collect();
                let stays = !(m.versions && m.takes_its_worker);
                said[0].is_some()
                    && said.iter().all(|s| *s == said[0])
                    && (said[0] == Some(first)) == stays
            },
        )]
    }
}

fn check(orders: Orders) {
    let (start, most) = (Instant::now(), Duration::from_secs(100));
    let checker = orders.checker().threads(4).timeout(most).spawn_bfs().join();
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    assert!(
        start.elapsed() < most,
        "not all states were reached in time"
    );
    checker.assert_properties();
}

#[test]
fn clients_that_come_to_two_nodes_at_once_find_one_place() {
    check(Orders {
        asks: 2,
        losses: 0,
        late: false,
        takes_its_worker: false,
        versions: false,
    });
}

#[test]
#[ignore = "600,000 states take most of a minute"]
fn clients_that_waited_for_long_enough_find_one_place() {
    check(Orders {
        asks: 2,
        losses: 0,
        late: true,
        takes_its_worker: false,
        versions: false,
    });
}

#[test]
fn a_lost_message_parts_nobody() {
    check(Orders {
        asks: 1,
        losses: 2,
        late: true,
        takes_its_worker: false,
        versions: false,
    });
}

#[test]
fn a_version_moves_those_of_the_worker_that_goes_and_no_others() {
    check(Orders {
        asks: 1,
        losses: 0,
        late: true,
        takes_its_worker: true,
        versions: true,
    });
    check(Orders {
        asks: 1,
        losses: 0,
        late: true,
        takes_its_worker: false,
        versions: true,
    });
}
