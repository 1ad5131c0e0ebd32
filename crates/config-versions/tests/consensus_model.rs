//! Model checking of proposers and acceptors in all message orders at small size: one version per
//! number, with messages that are delayed, lost or duplicated, and with crashes.

mod consensus_system;

use consensus_system::{acceptors, version, Envelope, Fleet, Node, LATER, NAMES};
use pipitlever_config_versions::proposer::Proposer;
use pipitlever_config_versions::version::Version;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The check fails if it takes longer.
const TIME_LIMIT: Duration = Duration::from_secs(100);

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
                |_, fleet: &Fleet| fleet.recovers(),
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
