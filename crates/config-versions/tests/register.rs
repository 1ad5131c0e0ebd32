//! All orders of what electors and publishers do at small size: one content for a number, whatever
//! is late, lost, repeated or dies.

use pipitlever_config_versions::elector::{Elector, Kept, Said};
use pipitlever_config_versions::message::{Ballot, Message, Seal};
use pipitlever_config_versions::publisher::{Outcome, Publisher};
use pipitlever_config_versions::version::{Digest, Version};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const LATER: i64 = 10_000_000;
/// A model that grows beyond what can be played is to say so.
const MOST: std::time::Duration = std::time::Duration::from_secs(100);
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn electors(count: usize) -> Vec<String> {
    NAMES[..count].iter().map(|n| n.to_string()).collect()
}

/// A version on top of another one, by whom it is published.
fn version(base: &Version, by: &str, electors: Vec<String>) -> Version {
    let number = base.number + 1;
    let same = electors == base.electors;
    Version {
        number,
        digest: Digest::of(by.as_bytes()),
        length: 1,
        electors_since: if same { base.electors_since } else { number },
        electors,
        withdraws: None,
        nonce: by.len() as u64,
        by: by.into(),
        at_ms: 0,
        why: String::new(),
    }
}

/// One node: what is on its disk, what runs, and what waits for the disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    disk: Kept,
    elector: Elector,
    publisher: Option<Publisher>,
    /// What its publisher said at its end.
    outcome: Option<Outcome>,
}

/// From whom, to whom, and what.
type Letter = (&'static str, &'static str, Message);

fn known(name: &str) -> &'static str {
    NAMES.into_iter().find(|n| *n == name).unwrap()
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: BTreeMap<&'static str, Arc<Node>>,
    /// All that was ever sent: it may arrive at any time, or again, or never.
    sent: BTreeSet<Arc<Letter>>,
    crashes: usize,
    /// Nobody is told what was decided.
    unheard: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// It arrives, what is to be kept is written, and what waits for that is said.
    Deliver(Arc<Letter>),
    /// It arrives, and the process dies: before the write, or behind it and before a word.
    Dies(Arc<Letter>, bool),
    Wake(&'static str),
}

/// What is played.
struct Orders {
    /// How many electors there are, and who publishes, with the electors that they would have.
    electors: usize,
    publishers: Vec<(&'static str, Vec<String>)>,
    crashes: usize,
    /// Attempts that are played.
    rounds: u64,
}

impl Fleet {
    fn send(&mut self, from: &str, to: &str, message: Message) {
        // What a process says to itself is not on its way.
        if from == to {
            return self.deliver(from, to, &message);
        }
        // What others remember of disks has no part in what is decided: cases of its own are below.
        let mut message = message;
        match &mut message {
            Message::Sealed(_) => return,
            // Not hearing of it is the harder case, and its publisher's outcome is looked at.
            Message::Decided(_) if self.unheard => return,
            Message::Promise { seal, .. }
            | Message::Accepted { seal, .. }
            | Message::Closed { seal, .. } => {
                *seal = Seal::default();
            }
            _ => {}
        }
        self.sent
            .insert(Arc::new((known(from), known(to), message)));
    }

    /// Starts a process on what is on the disk. Others find nothing wrong with that.
    fn started(disk: Option<Kept>, name: &str, all: &[String]) -> (Elector, Kept) {
        let mut elector = Elector::start(name, disk, all, 7);
        for other in all.iter().filter(|n| *n != name) {
            let message = Message::Remembered {
                of: Seal::default(),
                newest: Version::genesis(all),
            };
            elector.hear(other, &message, |_| true);
        }
        let kept = elector.kept().0.clone();
        (elector, kept)
    }

    fn deliver(&mut self, from: &str, to: &str, message: &Message) {
        let Some(node) = self.nodes.get_mut(to).map(Arc::make_mut) else {
            return;
        };
        let said = node.elector.hear(from, message, |_| true);
        let mut out = Vec::new();
        if let Some(publisher) = &mut node.publisher {
            if let Some(outcome) = publisher.hear(0, from, message, 0.0, &mut out) {
                node.outcome = Some(outcome);
                node.publisher = None;
            }
        }
        node.disk = node.elector.kept().0.clone();
        let said = said
            .into_iter()
            .map(|Said { to, message, .. }| (to, message));
        for (other, message) in said.chain(out) {
            self.send(to, &other, message);
        }
    }

    fn wake(&mut self, name: &str, now: i64) {
        let node = Arc::make_mut(self.nodes.get_mut(name).unwrap());
        let mut out = Vec::new();
        if let Some(publisher) = &mut node.publisher {
            assert!(publisher.wake(now, &mut out).is_none());
        }
        for (to, message) in out {
            self.send(name, &to, message);
        }
    }

    /// Every version that anybody was told to be decided.
    fn decided(&self) -> BTreeSet<Version> {
        let told = self.sent.iter().filter_map(|l| match &l.2 {
            Message::Decided(v) => Some(v.clone()),
            _ => None,
        });
        let ended = self.nodes.values().filter_map(|n| match &n.outcome {
            Some(Outcome::Decided(v) | Outcome::Another(v)) => Some(v.clone()),
            _ => None,
        });
        told.chain(ended).filter(|v| v.number > 0).collect()
    }

    /// From here on nothing fails: whether a publisher that comes now has a version decided, and
    /// all know the same one.
    fn heals(&self) -> bool {
        let mut fleet = self.clone();
        fleet.unheard = false;
        for node in fleet.nodes.values_mut().map(Arc::make_mut) {
            (node.publisher, node.outcome) = (None, None);
        }
        let (mut before, mut done) = (0, false);
        for round in 0..20 {
            let mut fresh: Vec<_> = fleet.sent.clone().into_iter().collect();
            // What is old first: it is still on its way.
            fresh.sort_by_key(|m| self.sent.contains(m));
            let newest = fleet.nodes["c"].elector.kept().0.newest.clone();
            if fleet.nodes["c"].publisher.is_none() && !done {
                let own = version(&newest, "c", newest.electors.clone());
                let ballot = Ballot {
                    round: 50 + round,
                    by: "c".into(),
                    start: 9,
                };
                let publisher = Publisher::new(newest, Some(own), ballot, 0, i64::MAX);
                Arc::make_mut(fleet.nodes.get_mut("c").unwrap()).publisher = Some(publisher);
            }
            fleet.wake("c", LATER * (round as i64 + 1));
            for letter in fresh {
                fleet.deliver(letter.0, letter.1, &letter.2);
            }
            done |= matches!(fleet.nodes["c"].outcome, Some(Outcome::Decided(_)));
            if done && fleet.sent.len() == before {
                break;
            }
            before = fleet.sent.len();
        }
        let newest = &fleet.nodes["c"].elector.kept().0.newest;
        let same = |name: &String| fleet.nodes[name.as_str()].elector.kept().0.newest == *newest;
        done && newest.electors.iter().all(same) && one_content_each(&fleet)
    }
}

/// Whether no number has two contents.
fn one_content_each(fleet: &Fleet) -> bool {
    let decided = fleet.decided();
    let numbers: BTreeSet<u64> = decided.iter().map(|v| v.number).collect();
    numbers.len() == decided.len()
}

impl Model for Orders {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let all = electors(self.electors);
        let genesis = Version::genesis(&all);
        let mut nodes = BTreeMap::new();
        for name in NAMES {
            let (elector, disk) = Fleet::started(None, name, &all);
            let own = self.publishers.iter().find(|(by, _)| *by == name);
            let publisher = own.map(|(by, next)| {
                let own = version(&genesis, by, next.clone());
                Publisher::new(genesis.clone(), Some(own), elector.ballot(), 0, i64::MAX)
            });
            nodes.insert(
                name,
                Arc::new(Node {
                    disk,
                    elector,
                    publisher,
                    outcome: None,
                }),
            );
        }
        if self.electors == 3 && self.publishers.iter().all(|(_, next)| next.len() == 3) {
            nodes.remove("d");
        }
        let mut fleet = Fleet {
            nodes,
            sent: BTreeSet::new(),
            crashes: 0,
            unheard: self.publishers.len() > 1,
        };
        self.publishers.iter().for_each(|(by, _)| fleet.wake(by, 0));
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        for letter in &fleet.sent {
            actions.push(Action::Deliver(letter.clone()));
            if fleet.crashes < self.crashes {
                actions.extend([false, true].map(|written| Action::Dies(letter.clone(), written)));
            }
        }
        for (name, node) in &fleet.nodes {
            // Sending again what may arrive at any time anyway makes no difference.
            if node
                .publisher
                .as_ref()
                .is_some_and(|p| p.backs_off() && p.round() <= self.rounds)
            {
                actions.push(Action::Wake(name));
            }
        }
    }

    fn next_state(&self, fleet: &Fleet, action: Action) -> Option<Fleet> {
        let mut next = fleet.clone();
        match action {
            Action::Deliver(letter) => next.deliver(letter.0, letter.1, &letter.2),
            Action::Wake(name) => next.wake(name, LATER),
            Action::Dies(letter, written) => {
                let (from, to, message) = &*letter;
                let all = electors(self.electors);
                let node = Arc::make_mut(next.nodes.get_mut(to)?);
                let mut dead = node.elector.clone();
                dead.hear(from, message, |_| true);
                let disk = if written {
                    dead.kept().0.clone()
                } else {
                    node.disk.clone()
                };
                let (elector, disk) = Fleet::started(Some(disk), to, &all);
                // A publisher that was in the middle comes back with another version.
                let publisher = node.publisher.as_ref().map(|_| {
                    let newest = elector.kept().0.newest.clone();
                    let own = Version {
                        nonce: 77,
                        ..version(&newest, to, all.clone())
                    };
                    Publisher::new(newest, Some(own), elector.ballot(), 0, i64::MAX)
                });
                let publishes = publisher.is_some();
                *node = Node {
                    disk,
                    elector,
                    publisher,
                    outcome: node.outcome.clone(),
                };
                next.crashes += 1;
                if publishes {
                    next.wake(to, 0);
                }
            }
        }
        (next != *fleet).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a number has one content", |_, fleet: &Fleet| {
                one_content_each(fleet)
            }),
            Property::always(
                "a publish is decided once faults stop",
                |_, fleet: &Fleet| fleet.heals(),
            ),
            Property::sometimes("one is decided", |_, fleet: &Fleet| {
                !fleet.decided().is_empty()
            }),
            Property::sometimes("each may be decided", |model: &Orders, fleet: &Fleet| {
                let by: BTreeSet<_> = fleet.decided().into_iter().map(|v| v.by).collect();
                model
                    .publishers
                    .last()
                    .is_none_or(|(last, _)| by.contains(*last))
            }),
        ]
    }
}

fn play(orders: Orders) -> usize {
    let start = std::time::Instant::now();
    let checker = orders.checker().threads(4).timeout(MOST).spawn_bfs().join();
    assert!(
        start.elapsed() < MOST,
        "not all states were reached in time"
    );
    checker.assert_properties();
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    checker.unique_state_count()
}

#[test]
fn a_crash_anywhere_leaves_one_content_and_a_way_on() {
    let publishers = vec![("a", electors(3))];
    assert!(
        play(Orders {
            electors: 3,
            publishers,
            crashes: 1,
            rounds: 2
        }) > 2000
    );
}

#[test]
fn of_two_publishers_at_once_one_is_decided_or_the_other() {
    let publishers = vec![("a", electors(3)), ("b", electors(3))];
    assert!(
        play(Orders {
            electors: 3,
            publishers,
            crashes: 0,
            rounds: 1
        }) > 2000
    );
}

#[test]
fn electors_change_while_another_one_publishes() {
    let publishers = vec![("a", electors(4)), ("b", electors(3))];
    assert!(
        play(Orders {
            electors: 3,
            publishers,
            crashes: 0,
            rounds: 1
        }) > 2000
    );
}
