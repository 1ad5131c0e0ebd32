//! Proposers and acceptors whose messages are delivered in any order, repeatedly or never.

use pipitlever_config_versions::acceptor::{Acceptor, AcceptorState};
use pipitlever_config_versions::message::{Ballot, DiskStamp, Message, Outgoing};
use pipitlever_config_versions::proposer::{Outcome, Proposer};
use pipitlever_config_versions::version::{Digest, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A time after all back-offs and retries of a proposer.
pub const LATER: i64 = 10_000_000;
/// The names of the nodes.
pub const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// The node that proposes once faults have stopped.
pub const RECOVERY_PROPOSER: &str = "c";

/// Returns the first `count` names.
pub fn acceptors(count: usize) -> Vec<String> {
    NAMES[..count].iter().map(ToString::to_string).collect()
}

/// Returns a version that the proposer proposes on top of `base`.
pub fn version(base: &Version, proposer: &str, acceptors: Vec<String>) -> Version {
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
pub struct Node {
    pub disk: AcceptorState,
    pub acceptor: Acceptor,
    pub proposer: Option<Proposer>,
    /// The outcome of its proposer.
    pub outcome: Option<Outcome>,
}

/// A message that was sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Envelope {
    pub sender: &'static str,
    pub recipient: &'static str,
    pub message: Message,
}

fn static_name(name: &str) -> &'static str {
    NAMES.into_iter().find(|known| *known == name).unwrap()
}

/// All nodes and messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    pub nodes: BTreeMap<&'static str, Arc<Node>>,
    /// All messages ever sent: each may arrive at any time, repeatedly, or never.
    pub sent: BTreeSet<Arc<Envelope>>,
    pub crashes: usize,
    /// Whether announcements of decided versions are lost.
    pub loses_decided: bool,
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
    pub fn start_acceptor(disk: Option<AcceptorState>, name: &str, all: &[String]) -> Acceptor {
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

    pub fn deliver(&mut self, sender: &str, recipient: &str, message: &Message) {
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

    pub fn timeout(&mut self, name: &str, now: i64) {
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
    pub fn decided(&self) -> BTreeSet<Version> {
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
    pub fn has_one_version_per_number(&self) -> bool {
        let decided = self.decided();
        let numbers: BTreeSet<u64> = decided.iter().map(|version| version.number).collect();
        numbers.len() == decided.len()
    }

    fn newest(&self, name: &str) -> &Version {
        &self.nodes[name].acceptor.state().newest
    }

    /// Returns whether a new proposer succeeds once faults have stopped, and all acceptors learn
    /// the same version.
    pub fn recovers(&self) -> bool {
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
            if fleet.nodes[RECOVERY_PROPOSER].proposer.is_none() && !is_done {
                fleet.start_recovery_proposer(50 + round);
            }
            fleet.timeout(RECOVERY_PROPOSER, LATER * (round as i64 + 1));
            for envelope in envelopes {
                fleet.deliver(envelope.sender, envelope.recipient, &envelope.message);
            }
            is_done |= matches!(
                fleet.nodes[RECOVERY_PROPOSER].outcome,
                Some(Outcome::Decided(_))
            );
            if is_done && fleet.sent.len() == sent_before {
                break;
            }
            sent_before = fleet.sent.len();
        }
        let newest = fleet.newest(RECOVERY_PROPOSER);
        let has_newest = |name: &String| fleet.newest(name) == newest;
        is_done && newest.acceptors.iter().all(has_newest) && fleet.has_one_version_per_number()
    }

    fn start_recovery_proposer(&mut self, round: u64) {
        let newest = self.newest(RECOVERY_PROPOSER).clone();
        let proposal = version(&newest, RECOVERY_PROPOSER, newest.acceptors.clone());
        let ballot = Ballot {
            round,
            proposer: RECOVERY_PROPOSER.into(),
            incarnation: 9,
        };
        let node = Arc::make_mut(self.nodes.get_mut(RECOVERY_PROPOSER).unwrap());
        node.proposer = Some(Proposer::new(newest, Some(proposal), ballot, 0, i64::MAX));
    }

    /// Delivers a message to a node that crashes, and restarts the node.
    pub fn crash(&mut self, envelope: &Envelope, is_written: bool, all: &[String]) -> Option<()> {
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
