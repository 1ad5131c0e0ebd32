//! Votes wait for their writes, and an acceptor whose disk is not the one that its peers have
//! recorded does not vote.

use pipitlever_config_versions::acceptor::{Acceptor, AcceptorState, DeferredMessage, Voting};
use pipitlever_config_versions::file_format;
use pipitlever_config_versions::lease::ClockDrift;
use pipitlever_config_versions::message::{Ballot, DiskStamp, Message, Outgoing};
use pipitlever_config_versions::proposer::{Outcome, Proposer};
use pipitlever_config_versions::retirement::{Retirement, Stage};
use pipitlever_config_versions::version::{check_acceptor_change, Digest, Version};
use std::collections::{BTreeMap, VecDeque};

/// The name of a proposer that is not an acceptor.
const PROPOSER: &str = "p";

/// Returns one name per character.
fn names(all: &str) -> Vec<String> {
    all.chars().map(String::from).collect()
}

/// A message from a sender.
struct Delivery {
    sender: String,
    outgoing: Outgoing,
}

/// Acceptors that receive all messages in order.
#[derive(Default)]
struct Network {
    acceptors: BTreeMap<String, Acceptor>,
    in_flight: VecDeque<Delivery>,
    /// Messages to names that are not acceptors.
    undelivered: Vec<Delivery>,
}

impl Network {
    /// Starts the acceptors named in `present` with empty disks. `acceptors` names the whole set;
    /// each character is a name.
    fn new(acceptors: &str, present: &str) -> Network {
        let mut network = Network::default();
        for name in present.chars() {
            network.start(&name.to_string(), None, acceptors, 1000 + name as u64);
        }
        network.check_disks();
        network
    }

    fn start(&mut self, name: &str, stored: Option<AcceptorState>, acceptors: &str, disk_id: u64) {
        let acceptor = Acceptor::start(name, stored, &names(acceptors), disk_id);
        self.acceptors.insert(name.into(), acceptor);
    }

    /// Delivers the disk checks of acceptors that don't vote yet.
    fn check_disks(&mut self) {
        let requests: Vec<(String, Vec<DeferredMessage>)> = self
            .acceptors
            .iter()
            .map(|(name, acceptor)| (name.clone(), acceptor.disk_check_requests()))
            .collect();
        for (sender, requests) in requests {
            for request in requests {
                self.send(&sender, request.outgoing);
            }
        }
        self.deliver_all();
    }

    fn send(&mut self, sender: &str, outgoing: Outgoing) {
        self.in_flight.push_back(Delivery {
            sender: sender.into(),
            outgoing,
        });
    }

    fn deliver_all(&mut self) {
        while let Some(delivery) = self.in_flight.pop_front() {
            let Outgoing { recipient, message } = &delivery.outgoing;
            match self.acceptors.get_mut(recipient) {
                Some(acceptor) => {
                    let replies = acceptor.handle_message(&delivery.sender, message, |_| true);
                    for reply in replies {
                        self.send(recipient, reply.outgoing);
                    }
                }
                None => self.undelivered.push(delivery),
            }
        }
    }

    fn state(&self, name: &str) -> AcceptorState {
        self.acceptors[name].state().clone()
    }

    fn votes(&self, name: &str) -> bool {
        *self.acceptors[name].voting() == Voting::Enabled
    }

    /// Runs a proposer that is not an acceptor until it ends or no message is left.
    fn propose(&mut self, base: &Version, proposal: Version, round: u64) -> Option<Outcome> {
        let deadline = 1_000_000_000;
        let mut proposer = Proposer::new(base.clone(), Some(proposal), ballot(round), 0, deadline);
        let mut out = Vec::new();
        for attempt in 0..10 {
            let now = attempt * 1_000_000;
            proposer.handle_timeout(now, &mut out);
            self.send_all(&mut out);
            for Delivery { sender, outgoing } in std::mem::take(&mut self.undelivered) {
                let message = &outgoing.message;
                let outcome = proposer.handle_message(now, &sender, message, 0.0, &mut out);
                if outcome.is_some() {
                    self.send_all(&mut out);
                    return outcome;
                }
            }
        }
        None
    }

    /// Delivers the proposer's messages.
    fn send_all(&mut self, out: &mut Vec<Outgoing>) {
        for outgoing in out.drain(..) {
            self.send(PROPOSER, outgoing);
        }
        self.deliver_all();
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: PROPOSER.into(),
        incarnation: 1,
    }
}

/// Returns a version that builds on another, with these acceptors.
fn next(base: &Version, acceptors: &str) -> Version {
    let number = base.number + 1;
    let acceptors = names(acceptors);
    let acceptors_since = if acceptors == base.acceptors {
        base.acceptors_since
    } else {
        number
    };
    Version {
        number,
        digest: Digest::of(&[number as u8]),
        acceptors,
        acceptors_since,
        proposer: PROPOSER.into(),
        ..base.clone()
    }
}

#[test]
fn a_vote_waits_for_its_write() {
    let mut network = Network::new("abc", "abc");
    let acceptor = network.acceptors.get_mut("a").unwrap();
    let first_write = acceptor.last_write();
    let (base, ballot) = (Version::genesis(&names("abc")), ballot(1));
    let prepare = Message::Prepare {
        ballot: ballot.clone(),
        base: base.clone(),
    };
    let write_of = |replies: &[DeferredMessage]| {
        let to_proposer = |reply: &&DeferredMessage| reply.outgoing.recipient == PROPOSER;
        replies.iter().find(to_proposer).unwrap().after_write
    };
    let promised = acceptor.handle_message(PROPOSER, &prepare, |_| true);
    let promise_write = write_of(&promised);
    assert!(promise_write > first_write && promise_write == acceptor.last_write());
    assert_eq!(acceptor.state().promised, ballot);
    // A repeated promise depends on the same write.
    let repeated = acceptor.handle_message(PROPOSER, &prepare, |_| true);
    assert_eq!(
        (write_of(&repeated), acceptor.last_write()),
        (promise_write, promise_write)
    );
    let accept = Message::Accept {
        ballot,
        version: next(&base, "abc"),
        base,
        minimum_version: 0,
    };
    assert!(
        acceptor
            .handle_message(PROPOSER, &accept, |_| false)
            .is_empty(),
        "the acceptor accepts nothing without the content"
    );
    let accepted = acceptor.handle_message(PROPOSER, &accept, |_| true);
    assert!(write_of(&accepted) > promise_write && acceptor.pending().is_some());
    // The peers are notified of the write.
    assert!(accepted.iter().any(|reply| {
        reply.outgoing.recipient == "b" && matches!(reply.outgoing.message, Message::DiskUpdated(_))
    }));
}

#[test]
fn an_acceptor_with_a_lost_or_restored_disk_does_not_vote() {
    let mut network = Network::new("abc", "abc");
    assert!("abc".chars().all(|name| network.votes(&name.to_string())));
    let base = Version::genesis(&names("abc"));
    let backup = network.state("a");
    let first = next(&base, "abc");
    assert_eq!(
        network.propose(&base, first.clone(), 1),
        Some(Outcome::Decided(first.clone()))
    );
    let current = network.state("a");
    // With its current disk the acceptor verifies the disk and votes. Its ballots differ from those
    // of the previous process, which may have used the same round.
    let previous = Acceptor::start("a", Some(current), &names("abc"), 5);
    network.start("a", Some(previous.state().clone()), "abc", 5);
    assert_ne!(network.acceptors["a"].next_ballot(), previous.next_ballot());
    assert!(!network.votes("a") && network.acceptors["a"].heartbeat(0).is_none());
    network.check_disks();
    assert!(network.votes("a") && network.acceptors["a"].heartbeat(0).is_some());
    for stored in [Some(backup), None] {
        network.start("a", stored, "abc", 5);
        network.check_disks();
        let acceptor = network.acceptors.get_mut("a").unwrap();
        assert!(
            matches!(acceptor.voting(), Voting::Disabled(_)),
            "{:?}",
            acceptor.voting()
        );
        // The acceptor promises nothing, and sends no heartbeat.
        let prepare = Message::Prepare {
            ballot: ballot(9),
            base: first.clone(),
        };
        let replies = acceptor.handle_message(PROPOSER, &prepare, |_| true);
        assert!(replies.is_empty() && acceptor.heartbeat(0).is_none());
    }
    // The other two are a quorum.
    let second = next(&first, "abc");
    assert_eq!(
        network.propose(&first, second.clone(), 20),
        Some(Outcome::Decided(second))
    );
}

#[test]
fn an_acceptor_with_another_disk_does_not_vote_however_many_votes_are_on_it() {
    let mut network = Network::new("abc", "abc");
    let base = Version::genesis(&names("abc"));
    network.propose(&base, next(&base, "abc"), 1);
    let current = network.state("a");
    let other_disk = AcceptorState {
        disk: DiskStamp {
            disk_id: current.disk.disk_id + 1,
            vote_count: current.disk.vote_count + 1,
        },
        ..current
    };
    network.start("a", Some(other_disk), "abc", 5);
    network.check_disks();
    let voting = network.acceptors["a"].voting();
    assert!(matches!(voting, Voting::Disabled(_)), "{voting:?}");
}

#[test]
fn a_proposer_with_a_stale_base_learns_the_newest_version_and_changes_nothing() {
    let mut network = Network::new("abc", "abc");
    let base = Version::genesis(&names("abc"));
    let first = next(&base, "abc");
    assert!(matches!(
        network.propose(&base, first.clone(), 1),
        Some(Outcome::Decided(_))
    ));
    let stale = Version {
        nonce: 9,
        ..next(&base, "abc")
    };
    assert_eq!(
        network.propose(&base, stale, 5),
        Some(Outcome::OtherDecided(first.clone()))
    );
    assert!("abc"
        .chars()
        .all(|name| network.state(&name.to_string()).newest == first));
    // Nothing is decided without a quorum.
    network.acceptors.remove("a");
    network.acceptors.remove("b");
    assert_eq!(network.propose(&first, next(&first, "abc"), 9), None);
}

#[test]
fn a_quorum_of_changed_acceptors_has_retired_what_the_previous_quorum_retired() {
    let mut network = Network::new("abc", "abcd");
    let base = Version::genesis(&names("abc"));
    let first = next(&base, "abc");
    let second = next(&first, "abc");
    assert!(matches!(
        network.propose(&base, first.clone(), 1),
        Some(Outcome::Decided(_))
    ));
    assert!(matches!(
        network.propose(&first, second.clone(), 2),
        Some(Outcome::Decided(_))
    ));
    let mut retirement = Retirement::new(2, second.clone(), 0);
    let mut out = Vec::new();
    retirement.handle_timeout(0, &mut out);
    // The third acceptor receives no request.
    out.retain(|outgoing| outgoing.recipient != "c");
    network.send_all(&mut out);
    for Delivery { sender, outgoing } in std::mem::take(&mut network.undelivered) {
        retirement.handle_message(0, &sender, &outgoing.message, 10, ClockDrift::default());
    }
    assert!(matches!(retirement.stage(), Stage::AwaitingExpiry(_)));
    assert_eq!(network.state("c").minimum_version, 0);
    let third = next(&second, "abcd");
    assert_eq!(
        network.propose(&second, third.clone(), 3),
        Some(Outcome::Decided(third))
    );
    let retired_by = "abcd"
        .chars()
        .filter(|name| network.state(&name.to_string()).minimum_version == 2)
        .count();
    assert!(retired_by >= 3, "{retired_by} of four have retired it");
}

#[test]
fn acceptors_change_one_at_a_time() {
    let may_follow =
        |current: &str, next: &str| check_acceptor_change(&names(current), &names(next)).is_ok();
    for (current, next) in [
        ("abc", "abc"),
        ("abc", "abcd"),
        ("abcd", "bcd"),
        ("abc", "cab"),
    ] {
        assert!(may_follow(current, next), "{current} {next}");
    }
    for (current, next) in [
        ("abc", "abd"),
        ("abc", "abcde"),
        ("abc", "ab"),
        ("abc", "aabc"),
        ("abcdefg", "abcdefgh"),
    ] {
        assert!(!may_follow(current, next), "{current} {next}");
    }
}

#[test]
fn a_truncated_or_damaged_file_is_not_decoded() {
    let mut network = Network::new("abc", "abc");
    let base = Version::genesis(&names("abc"));
    network.propose(&base, next(&base, "abc"), 1);
    let state = network.state("b");
    let file = file_format::encode(&state);
    let decode = file_format::decode::<AcceptorState>;
    assert_eq!(decode(&file).unwrap(), state);
    for length in 0..file.len() {
        assert!(decode(&file[..length]).is_err(), "truncated to {length}");
    }
    for bit in 0..file.len() * 8 {
        let mut damaged = file.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&damaged).is_err(), "bit {bit}");
    }
}
