//! Model checking of proposers and acceptors in all message orders at small size: one version per
//! number, with messages that are delayed, lost or duplicated, and with crashes.

use pipitlever_config_versions::acceptor::{Acceptor, AcceptorState};
use pipitlever_config_versions::message::{Ballot, DiskStamp, Message, Outgoing};
use pipitlever_config_versions::proposer::{Outcome, Proposer};
use pipitlever_config_versions::version::{Digest, Version};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After all back-offs and retries of a proposer.
const LATER: i64 = 10_000_000;
/// The check fails if it takes longer.
const TIME_LIMIT: Duration = Duration::from_secs(100);
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// The node that proposes once faults have stopped.
const HEALER: &str = "c";

fn acceptors(count: usize) -> Vec<String> {
    NAMES[..count].iter().map(ToString::to_string).collect()
}

/// Returns a version of a proposer that builds on another.
fn version(base: &Version, proposer: &str, acceptors: Vec<String>) -> Version {
    let number = base.number + 1;
    let acceptors_since = if acceptors == base.acceptors {
        base.acceptors_since
    } else {
        number
    };
    Version {
        number,
        digest: Digest::of(proposer.as_bytes()),
        length: 1,
        acceptors_since,
        acceptors,
        reverts: None,
        nonce: proposer.len() as u64,
        proposer: proposer.into(),
        proposed_at_ms: 0,
        reason: String::new(),
    }
}

/// One node: its disk and its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    disk: AcceptorState,
    acceptor: Acceptor,
    proposer: Option<Proposer>,
    /// The outcome of its proposer.
    outcome: Option<Outcome>,
}

/// A message that was sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    sender: &'static str,
    recipient: &'static str,
    message: Message,
}

fn static_name(name: &str) -> &'static str {
    NAMES.into_iter().find(|known| *known == name).unwrap()
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: BTreeMap<&'static str, Arc<Node>>,
    /// All messages ever sent: each may arrive at any time, repeatedly, or never.
    sent: BTreeSet<Arc<Envelope>>,
    crashes: usize,
    /// Whether announcements of decided versions are lost.
    loses_decided: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A message arrives, the state is written, and the replies are sent.
    Deliver(Arc<Envelope>),
    /// A message arrives, and the process crashes before any reply is sent.
    Crash {
        envelope: Arc<Envelope>,
        is_written: bool,
    },
    /// A proposer's timeout.
    Timeout(&'static str),
}

/// A node that proposes, and the acceptors of its version.
struct ProposerSpec {
    name: &'static str,
    acceptors: Vec<String>,
}

/// The system that is checked.
struct ConsensusModel {
    acceptors: usize,
    proposers: Vec<ProposerSpec>,
    max_crashes: usize,
    /// The highest round after which a proposer starts another ballot.
    max_round: u64,
}

impl Fleet {
    fn send(&mut self, sender: &str, outgoing: Outgoing) {
        let Outgoing {
            recipient,
            mut message,
        } = outgoing;
        // A process delivers messages to itself at once.
        if sender == recipient {
            return self.deliver(sender, &recipient, &message);
        }
        // Disk stamps have no influence on decisions; tests/persistence.rs checks them.
        match &mut message {
            Message::DiskUpdated(_) => return,
            // Losing the announcement is the harder case. The proposer's outcome is checked.
            Message::Decided(_) if self.loses_decided => return,
            Message::Promise { disk, .. }
            | Message::Accepted { disk, .. }
            | Message::Retired { disk, .. } => *disk = DiskStamp::default(),
            _ => {}
        }
        self.sent.insert(Arc::new(Envelope {
            sender: static_name(sender),
            recipient: static_name(&recipient),
            message,
        }));
    }

    /// Starts an acceptor on a disk that its peers confirm.
    fn start_acceptor(disk: Option<AcceptorState>, name: &str, all: &[String]) -> Acceptor {
        let mut acceptor = Acceptor::start(name, disk, all, 7);
        for peer in all.iter().filter(|peer| *peer != name) {
            let response = Message::DiskCheckResponse {
                recorded: DiskStamp::default(),
                newest: Version::genesis(all),
            };
            acceptor.handle_message(peer, &response, |_| true);
        }
        acceptor
    }

    fn deliver(&mut self, sender: &str, recipient: &str, message: &Message) {
        let Some(node) = self.nodes.get_mut(recipient).map(Arc::make_mut) else {
            return;
        };
        let replies = node.acceptor.handle_message(sender, message, |_| true);
        let mut out: Vec<Outgoing> = replies.into_iter().map(|reply| reply.outgoing).collect();
        if let Some(proposer) = &mut node.proposer {
            let outcome = proposer.handle_message(0, sender, message, 0.0, &mut out);
            if outcome.is_some() {
                node.outcome = outcome;
                node.proposer = None;
            }
        }
        node.disk = node.acceptor.state().clone();
        for outgoing in out {
            self.send(recipient, outgoing);
        }
    }

    fn timeout(&mut self, name: &str, now: i64) {
        let node = Arc::make_mut(self.nodes.get_mut(name).unwrap());
        let mut out = Vec::new();
        if let Some(proposer) = &mut node.proposer {
            assert!(proposer.handle_timeout(now, &mut out).is_none());
        }
        for outgoing in out {
            self.send(name, outgoing);
        }
    }

    /// Returns every version that a message or an outcome reports as decided.
    fn decided(&self) -> BTreeSet<Version> {
        let announced = self.sent.iter().filter_map(|envelope| {
            if let Message::Decided(version) = &envelope.message {
                Some(version.clone())
            } else {
                None
            }
        });
        let outcomes = self.nodes.values().filter_map(|node| match &node.outcome {
            Some(Outcome::Decided(version) | Outcome::OtherDecided(version)) => {
                Some(version.clone())
            }
            _ => None,
        });
        announced
            .chain(outcomes)
            .filter(|version| version.number > 0)
            .collect()
    }

    /// Returns whether no number has two decided versions.
    fn has_one_version_per_number(&self) -> bool {
        let decided = self.decided();
        let numbers: BTreeSet<u64> = decided.iter().map(|version| version.number).collect();
        numbers.len() == decided.len()
    }

    fn newest(&self, name: &str) -> &Version {
        &self.nodes[name].acceptor.state().newest
    }

    /// Returns whether a new proposer succeeds once faults have stopped, and all acceptors learn
    /// the same version.
    fn heals(&self) -> bool {
        let mut fleet = self.clone();
        fleet.loses_decided = false;
        for node in fleet.nodes.values_mut().map(Arc::make_mut) {
            node.proposer = None;
            node.outcome = None;
        }
        let (mut sent_before, mut is_done) = (0, false);
        for round in 0..20 {
            let mut envelopes: Vec<_> = fleet.sent.clone().into_iter().collect();
            // Messages from before the faults stopped arrive last.
            envelopes.sort_by_key(|envelope| self.sent.contains(envelope));
            if fleet.nodes[HEALER].proposer.is_none() && !is_done {
                fleet.start_healer(50 + round);
            }
            fleet.timeout(HEALER, LATER * (round as i64 + 1));
            for envelope in envelopes {
                fleet.deliver(envelope.sender, envelope.recipient, &envelope.message);
            }
            is_done |= matches!(fleet.nodes[HEALER].outcome, Some(Outcome::Decided(_)));
            if is_done && fleet.sent.len() == sent_before {
                break;
            }
            sent_before = fleet.sent.len();
        }
        let newest = fleet.newest(HEALER);
        let has_newest = |name: &String| fleet.newest(name) == newest;
        is_done && newest.acceptors.iter().all(has_newest) && fleet.has_one_version_per_number()
    }

    fn start_healer(&mut self, round: u64) {
        let newest = self.newest(HEALER).clone();
        let proposal = version(&newest, HEALER, newest.acceptors.clone());
        let ballot = Ballot {
            round,
            proposer: HEALER.into(),
            incarnation: 9,
        };
        let node = Arc::make_mut(self.nodes.get_mut(HEALER).unwrap());
        node.proposer = Some(Proposer::new(newest, Some(proposal), ballot, 0, i64::MAX));
    }

    /// Delivers a message to a node that crashes, and restarts the node.
    fn crash(&mut self, envelope: &Envelope, is_written: bool, all: &[String]) -> Option<()> {
        let name = envelope.recipient;
        let node = Arc::make_mut(self.nodes.get_mut(name)?);
        let mut crashed = node.acceptor.clone();
        crashed.handle_message(envelope.sender, &envelope.message, |_| true);
        let disk = if is_written {
            crashed.state().clone()
        } else {
            node.disk.clone()
        };
        let acceptor = Fleet::start_acceptor(Some(disk), name, all);
        // A proposer that was in progress restarts with another version.
        let proposer = node.proposer.as_ref().map(|_| {
            let newest = acceptor.state().newest.clone();
            let proposal = Version {
                nonce: 77,
                ..version(&newest, name, all.to_vec())
            };
            let ballot = acceptor.next_ballot();
            Proposer::new(newest, Some(proposal), ballot, 0, i64::MAX)
        });
        let is_proposing = proposer.is_some();
        *node = Node {
            disk: acceptor.state().clone(),
            acceptor,
            proposer,
            outcome: node.outcome.clone(),
        };
        self.crashes += 1;
        if is_proposing {
            self.timeout(name, 0);
        }
        Some(())
    }
}

impl Model for ConsensusModel {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let all = acceptors(self.acceptors);
        let genesis = Version::genesis(&all);
        let mut nodes = BTreeMap::new();
        for name in NAMES {
            let acceptor = Fleet::start_acceptor(None, name, &all);
            let spec = self.proposers.iter().find(|spec| spec.name == name);
            let proposer = spec.map(|spec| {
                let proposal = version(&genesis, name, spec.acceptors.clone());
                let ballot = acceptor.next_ballot();
                Proposer::new(genesis.clone(), Some(proposal), ballot, 0, i64::MAX)
            });
            let node = Node {
                disk: acceptor.state().clone(),
                acceptor,
                proposer,
                outcome: None,
            };
            nodes.insert(name, Arc::new(node));
        }
        let has_three_acceptors = |spec: &ProposerSpec| spec.acceptors.len() == 3;
        if self.acceptors == 3 && self.proposers.iter().all(has_three_acceptors) {
            nodes.remove("d");
        }
        let mut fleet = Fleet {
            nodes,
            sent: BTreeSet::new(),
            crashes: 0,
            loses_decided: self.proposers.len() > 1,
        };
        for spec in &self.proposers {
            fleet.timeout(spec.name, 0);
        }
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        for envelope in &fleet.sent {
            actions.push(Action::Deliver(envelope.clone()));
            if fleet.crashes < self.max_crashes {
                actions.extend([false, true].map(|is_written| Action::Crash {
                    envelope: envelope.clone(),
                    is_written,
                }));
            }
        }
        for (name, node) in &fleet.nodes {
            // Retries make no difference, as every message may arrive at any time.
            let starts_ballot = |proposer: &Proposer| {
                proposer.is_backing_off() && proposer.round() <= self.max_round
            };
            if node.proposer.as_ref().is_some_and(starts_ballot) {
                actions.push(Action::Timeout(name));
            }
        }
    }

    fn next_state(&self, fleet: &Fleet, action: Action) -> Option<Fleet> {
        let mut next = fleet.clone();
        match action {
            Action::Deliver(envelope) => {
                next.deliver(envelope.sender, envelope.recipient, &envelope.message);
            }
            Action::Timeout(name) => next.timeout(name, LATER),
            Action::Crash {
                envelope,
                is_written,
            } => next.crash(&envelope, is_written, &acceptors(self.acceptors))?,
        }
        (next != *fleet).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a number has one version", |_, fleet: &Fleet| {
                fleet.has_one_version_per_number()
            }),
            Property::always(
                "a proposal is decided once faults stop",
                |_, fleet: &Fleet| fleet.heals(),
            ),
            Property::sometimes("a version is decided", |_, fleet: &Fleet| {
                !fleet.decided().is_empty()
            }),
            Property::sometimes(
                "each proposal may be decided",
                |model: &ConsensusModel, fleet: &Fleet| {
                    let decided = fleet.decided();
                    model.proposers.last().is_none_or(|last| {
                        decided.iter().any(|version| version.proposer == last.name)
                    })
                },
            ),
        ]
    }
}

/// Checks all properties, and returns the number of states.
fn check(model: ConsensusModel) -> usize {
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
    checker.assert_properties();
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    checker.unique_state_count()
}

fn proposer(name: &'static str, acceptor_count: usize) -> ProposerSpec {
    ProposerSpec {
        name,
        acceptors: acceptors(acceptor_count),
    }
}

#[test]
fn a_crash_leaves_one_version_per_number_and_a_later_proposal_succeeds() {
    let states = check(ConsensusModel {
        acceptors: 3,
        proposers: vec![proposer("a", 3)],
        max_crashes: 1,
        max_round: 2,
    });
    assert!(states > 2000);
}

#[test]
fn one_of_two_concurrent_proposals_is_decided() {
    let states = check(ConsensusModel {
        acceptors: 3,
        proposers: vec![proposer("a", 3), proposer("b", 3)],
        max_crashes: 0,
        max_round: 1,
    });
    assert!(states > 2000);
}

#[test]
fn acceptors_change_during_a_concurrent_proposal() {
    let states = check(ConsensusModel {
        acceptors: 3,
        proposers: vec![proposer("a", 4), proposer("b", 3)],
        max_crashes: 0,
        max_round: 1,
    });
    assert!(states > 2000);
}
