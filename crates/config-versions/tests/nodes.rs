//! Whole nodes in a simulated fleet: every node activates the decided versions, and none acts on a
//! retired one.

mod common;

use common::*;
use pipitlever_config_versions::message::{Ballot, DiskStamp, GossipPayload, Message};
use pipitlever_config_versions::node::{
    Chunk, Event, Node, Permission, Proposal, ProposeError, Role, StoredState, VersionWithContent,
    WithoutLease,
};
use pipitlever_config_versions::proposer::Outcome;
use pipitlever_config_versions::version::{Digest, Version};
use std::rc::Rc;

#[test]
fn all_nodes_activate_a_decided_version() {
    for (seed, loss) in [(1, 0.0), (2, 0.1), (3, 0.3)] {
        let mut fleet = Fleet::new(10, seed, WithoutLease::Refuse);
        fleet.loss = loss;
        let all: Vec<usize> = (0..10).collect();
        // Longer than one chunk.
        let content: Vec<u8> = (0..20_000).map(|i| (i % 251) as u8).collect();
        assert_eq!(fleet.propose(1, &content), Ok(1));
        assert_eq!(fleet.propose(1, &content), Err(ProposeError::InProgress));
        fleet.run_until_active(&all, 1);
        assert!(matches!(&fleet.outcomes(1)[..], [Outcome::Decided(v)] if v.number == 1));
        fleet.run(20 * SECOND);
        assert!(all.iter().all(|index| fleet.may_act(*index)), "seed {seed}");
        // Only an acceptor proposes, on top of the newest version, and with a reason.
        assert!(matches!(
            fleet.propose(5, b"x"),
            Err(ProposeError::NotAcceptor { .. })
        ));
        let now = fleet.clock(0);
        let stale = fleet.node(0).propose(now, proposal(0, b""));
        assert!(matches!(stale, Err(ProposeError::StaleBase(v)) if v.number == 1));
        let without_reason = Proposal {
            reason: String::new(),
            ..proposal(1, b"")
        };
        let result = fleet.node(0).propose(now, without_reason);
        assert_eq!(result, Err(ProposeError::ReasonLength));
    }
}

#[test]
fn the_proposer_on_the_majority_side_of_a_partition_wins() {
    let mut fleet = Fleet::new(6, 4, WithoutLease::Refuse);
    for index in [0, 3] {
        fleet.partition[index] = true;
    }
    assert_eq!(
        (fleet.propose(0, b"few"), fleet.propose(1, b"many")),
        (Ok(1), Ok(1))
    );
    fleet.run_until_active(&[1, 2, 4, 5], 1);
    fleet.run(15 * SECOND);
    let outcomes = fleet.outcomes(0);
    let [Outcome::Undecided { accepted_by }] = &outcomes[..] else {
        panic!("{outcomes:?}");
    };
    assert!(accepted_by.len() <= 1, "{accepted_by:?}");
    assert_eq!(fleet.active_versions()[3], Some(0));
    fleet.partition.fill(false);
    fleet.run_until_active(&[0, 1, 2, 3, 4, 5], 1);
    let digest = fleet.node(0).newest().digest;
    assert_eq!(digest, Digest::of(b"many"));
}

#[test]
fn a_lagging_node_stops_before_a_retirement_completes_and_skips_to_the_newest_version() {
    for is_paused in [false, true] {
        let mut fleet = Fleet::new(6, 5, WithoutLease::Refuse);
        fleet.propose(0, b"one").unwrap();
        fleet.run_until_active(&[0, 1, 2, 3, 4, 5], 1);
        // One node is partitioned or paused.
        fleet.partition[5] = !is_paused;
        fleet.machines[5].is_paused = is_paused;
        for content in [&b"two"[..], b"three"] {
            let number = fleet.propose(0, content).unwrap();
            fleet.run_until_active(&[0, 1, 2, 3, 4], number);
        }
        let now = fleet.clock(2);
        assert!(fleet.node(2).retire_below(now, 4).is_err());
        assert!(fleet.node(2).retire_below(now, 0).is_err());
        fleet.node(2).retire_below(now, 3).unwrap();
        let retired = Event::Retired { minimum_version: 3 };
        let start = fleet.now;
        while !fleet.machines[2].events.contains(&retired) {
            fleet.run(STEP);
            assert!(fleet.now < start + 30 * SECOND);
        }
        assert!(
            fleet.now - start > 10 * SECOND,
            "leases had not expired yet"
        );
        assert!(
            !fleet.may_act(5),
            "the lagging node acts on a retired version"
        );
        assert!((0..5).all(|index| fleet.may_act(index)));
        // The first messages that the node receives may be old; it must act on nothing before the
        // newest version.
        fleet.partition[5] = false;
        fleet.machines[5].is_paused = false;
        assert!(!fleet.may_act(5));
        fleet.run_until_active(&[5], 3);
        let activated: Vec<_> = fleet.machines[5]
            .events
            .iter()
            .filter(|event| matches!(event, Event::Activated { .. }))
            .collect();
        assert_eq!(
            activated,
            [
                &Event::Activated { number: 1 },
                &Event::Activated { number: 3 }
            ]
        );
        fleet.run(5 * SECOND);
        assert!(fleet.may_act(5));
    }
}

#[test]
fn nodes_follow_the_without_lease_setting_while_no_quorum_is_reachable() {
    for (without_lease, serves) in [(WithoutLease::Serve, true), (WithoutLease::Refuse, false)] {
        let mut fleet = Fleet::new(5, 6, without_lease);
        fleet.propose(0, b"one").unwrap();
        fleet.run_until_active(&[0, 1, 2, 3, 4], 1);
        fleet.machines[0].node = None;
        fleet.machines[1].node = None;
        fleet.run(15 * SECOND);
        assert_eq!(fleet.may_act(4), serves);
        assert!(fleet.propose(2, b"two").is_ok());
        fleet.run(15 * SECOND);
        assert!(matches!(
            &fleet.outcomes(2)[..],
            [Outcome::Undecided { .. }]
        ));
        assert_eq!(fleet.active_versions()[2..], [Some(1); 3]);
        // An acceptor that restarts with its disk completes a quorum.
        fleet.start(0);
        fleet.run(3 * SECOND);
        fleet.propose(2, b"two").unwrap();
        fleet.run_until_active(&[0, 2, 3, 4], 2);
        fleet.run(5 * SECOND);
        assert!(fleet.may_act(4));
    }
}

#[test]
fn no_node_acts_on_a_retired_version_whatever_the_settings() {
    let mut fleet = Fleet::new(5, 7, WithoutLease::Serve);
    fleet.propose(0, b"one").unwrap();
    fleet.run_until_active(&[0, 1, 2, 3, 4], 1);
    fleet.propose(0, b"unfit for all").unwrap();
    fleet.run(5 * SECOND);
    let rejected = Event::ActivationRejected {
        number: 2,
        reason: "it lacks a class".into(),
    };
    assert!(fleet.machines[4].events.contains(&rejected));
    let rejected_number = fleet.node(4).rejected_version().map(|v| v.number);
    assert_eq!(rejected_number, Some(2));
    assert_eq!(fleet.active_versions()[4], Some(1));
    let now = fleet.clock(0);
    fleet.node(0).retire_below(now, 2).unwrap();
    fleet.run(20 * SECOND);
    assert!((0..5).all(|index| fleet.permission(index) == Permission::Retired));
    // A version that can be activated gets the next number.
    fleet.propose(0, b"three").unwrap();
    fleet.run_until_active(&[0, 1, 2, 3, 4], 3);
    fleet.run(5 * SECOND);
    assert!((0..5).all(|index| fleet.may_act(index)));
}

#[test]
fn a_corrupt_content_is_fetched_from_another_member() {
    let mut fleet = Fleet::new(8, 8, WithoutLease::Refuse);
    // The proposer sends zeros, and is the only one that has the content.
    fleet.machines[0].corrupts_contents = true;
    let content: Vec<u8> = (0..30_000).map(|i| (i % 13) as u8).collect();
    fleet.propose(0, &content).unwrap();
    fleet.run(3 * SECOND);
    assert!(
        fleet.active_versions()[3..].iter().all(|a| *a == Some(0)),
        "{:?}",
        fleet.active_versions()
    );
    // An empty chunk does not cause another request at once.
    let now = fleet.clock(1) + 2 * SECOND;
    let request = fleet.node(1).next_chunk_request(now, &["n2"]).unwrap();
    let empty = Chunk {
        bytes: Vec::new(),
        content_length: 30_000,
    };
    fleet
        .node(1)
        .handle_chunk(now, "n0", request.digest, request.offset, Some(empty));
    assert_eq!(fleet.node(1).next_chunk_request(now, &["n2"]), None);
    fleet.machines[0].corrupts_contents = false;
    fleet.run_until_active(&(0..8).collect::<Vec<_>>(), 1);
}

#[test]
fn a_stored_version_is_active_after_a_restart() {
    let settings = settings(WithoutLease::Serve);
    let content: Rc<[u8]> = b"one".to_vec().into();
    let version = Version {
        number: 4,
        digest: Digest::of(&content),
        proposer: "n0".into(),
        ..Version::genesis(&settings.acceptors)
    };
    let stored = StoredState {
        role: Role::Learner,
        active: Some(VersionWithContent { version, content }),
        minimum_version: 0,
    };
    let mut node = Node::new("n7", settings, stored, 1, 0);
    assert_eq!(
        (
            node.active_version(),
            node.newest().number,
            node.version_to_activate()
        ),
        (4, 4, None)
    );
    // The disk may have been restored from a backup, unless the previous process confirms it.
    assert_eq!(node.permission(0), Permission::MinimumUnknown);
    node.inherit_version(4);
    assert!(matches!(node.permission(0), Permission::Granted { .. }));
}

/// Guards against a forged version, from one datagram or a faulty member, that becomes the newest
/// one or changes the acceptors: every node would wait for its content forever.
#[test]
fn a_forged_version_is_not_learned() {
    let mut fleet = Fleet::new(7, 11, WithoutLease::Refuse);
    assert_eq!(fleet.propose(0, b"one"), Ok(1));
    let all: Vec<usize> = (0..7).collect();
    fleet.run_until_active(&all, 1);
    let forged = Version {
        number: 1 << 63,
        proposer: "n5".into(),
        acceptors: ["n4", "n5", "n6"].map(String::from).to_vec(),
        acceptors_since: 1 << 62,
        ..fleet.node(0).newest().clone()
    };
    let forgeries = forgeries(&forged);
    for index in 0..7 {
        let now = fleet.clock(index);
        for message in &forgeries {
            // From a member that is not an acceptor, and from no member.
            fleet.node(index).handle_message(now, "n5", message);
            fleet.node(index).handle_message(now, "n99", message);
        }
        // In the name of an acceptor, which the others don't confirm.
        let acceptor = if index == 1 { "n2" } else { "n1" };
        fleet
            .node(index)
            .handle_message(now, acceptor, &Message::Decided(forged.clone()));
        let gossip = GossipPayload {
            newest: 1 << 63,
            heartbeats: Vec::new(),
        };
        for _ in 0..1000 {
            fleet.node(index).handle_gossip(now, &gossip);
        }
        // The acceptors are queried once per interval, however often a newer version is advertised.
        assert!(
            fleet.node(index).take_outgoing().len() <= 3 + 2 * forgeries.len(),
            "n{index}"
        );
        let minimum_version = fleet.node(index).minimum_version().number();
        assert!(
            fleet.node(index).newest().number == 1 && minimum_version <= 1,
            "n{index}: {minimum_version}"
        );
    }
    assert_eq!(fleet.propose(1, b"two"), Ok(2));
    fleet.run_until_active(&all, 2);
    assert!(all.iter().all(|index| fleet.may_act(*index)));
}

fn forgeries(forged: &Version) -> Vec<Message> {
    vec![
        Message::Decided(forged.clone()),
        Message::MinimumVersionResponse {
            nonce: 0,
            newest: forged.clone(),
            highest: 1 << 63,
        },
        Message::Prepare {
            ballot: Ballot {
                round: 1 << 60,
                proposer: "n5".into(),
                incarnation: 1,
            },
            base: forged.clone(),
        },
        Message::DiskCheckResponse {
            recorded: DiskStamp {
                disk_id: 1,
                vote_count: 1 << 60,
            },
            newest: forged.clone(),
        },
        Message::Retire {
            minimum_version: 1 << 62,
            newest: forged.clone(),
        },
    ]
}

/// Guards against an acceptor that takes the version it has accepted for the decided one, when
/// another version was decided under the same number.
#[test]
fn an_accepted_version_is_not_taken_for_the_decided_one() {
    let mut fleet = Fleet::new(3, 12, WithoutLease::Refuse);
    assert_eq!(fleet.propose(0, b"one"), Ok(1));
    fleet.run_until_active(&[0, 1, 2], 1);
    let (now, base) = (fleet.clock(0), fleet.node(0).newest().clone());
    let version = |nonce| Version {
        number: 2,
        nonce,
        proposer: "n2".into(),
        ..base.clone()
    };
    let ballot = Ballot {
        round: 9,
        proposer: "n2".into(),
        incarnation: 1,
    };
    let messages = [
        Message::Prepare {
            ballot: ballot.clone(),
            base: base.clone(),
        },
        Message::Accept {
            ballot,
            base: base.clone(),
            version: version(7),
            minimum_version: 0,
        },
    ];
    for message in messages {
        fleet.node(0).handle_message(now, "n2", &message);
    }
    let accepted = fleet.node(0).acceptor().unwrap().pending();
    assert_eq!(accepted.map(|version| version.nonce), Some(7));
    fleet
        .node(0)
        .handle_message(now, "n1", &Message::Decided(version(8)));
    let newest = fleet.node(0).newest();
    assert_eq!((newest.number, newest.nonce), (2, 8));
}

/// Guards against a process that resumes with its own older state after its successor has taken
/// over, voted and failed: a promise made from that state could undo a vote of the successor.
#[test]
fn a_resumed_process_restarts_from_its_disk() {
    let mut fleet = Fleet::new(5, 13, WithoutLease::Refuse);
    assert_eq!(fleet.propose(1, b"one"), Ok(1));
    fleet.run_until_active(&[0, 1, 2, 3, 4], 1);
    // The process of n0 is suspended while its successor takes part, votes and fails.
    let predecessor = fleet.machines[0].node.take().unwrap();
    fleet.start(0);
    fleet.node(0).inherit_version(0);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.propose(0, b"two"), Ok(2));
    fleet.run_until_active(&[0, 1, 2, 3, 4], 2);
    fleet.machines[0].node = Some(predecessor);
    let (now, stored) = (fleet.clock(0), fleet.machines[0].disk.clone().unwrap());
    let role = Role::Acceptor(Some(Box::new(stored.clone())));
    fleet.node(0).resume(now, role, 2);
    assert_eq!(
        fleet.node(0).permission(now),
        Permission::MinimumUnknown,
        "the process acted on version 1 and has not received version 2"
    );
    fleet.run(STEP);
    let disk = fleet.machines[0].disk.as_ref().unwrap();
    assert!(disk.incarnation > stored.incarnation);
    fleet.run_until_active(&[0, 1, 2, 3, 4], 2);
    fleet.run(5 * SECOND);
    assert!(fleet.may_act(0));
    assert_eq!(fleet.propose(0, b"three"), Ok(3));
    fleet.run_until_active(&[0, 1, 2, 3, 4], 3);
}
