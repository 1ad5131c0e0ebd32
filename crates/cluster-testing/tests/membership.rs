//! Membership under faults, in the simulation. Each test causes one kind of fault with several
//! seeds.

use pipitlever_cluster_testing::membership_simulation::{address, Simulation, CLUSTER_NAME};
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::Event;
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::message::{Body, Packet, Update};
use pipitlever_membership::record::{Record, State};

const SECOND: i64 = 1_000_000;

fn new_simulation(node_count: usize, seed: u64) -> Simulation {
    Simulation::new(MembershipConfig::default(), node_count, seed)
}

/// A simulation of which the first `running_count` nodes run and have converged.
fn converged(running_count: usize, node_count: usize, seed: u64) -> Simulation {
    let mut simulation = new_simulation(node_count, seed);
    start_all(&mut simulation, running_count);
    simulation.history.clear();
    simulation
}

/// Starts the first `count` nodes and waits until they have converged.
fn start_all(simulation: &mut Simulation, count: usize) {
    (0..count).for_each(|node| simulation.start(node, &[0, 1]));
    wait_converged(simulation, 30, "the start");
}

fn wait_converged(simulation: &mut Simulation, timeout_seconds: i64, description: &str) {
    let duration = simulation.wait_for(timeout_seconds * SECOND, Simulation::has_converged);
    assert!(
        duration.is_some(),
        "{description}: not converged after {timeout_seconds} s:\n{}",
        views(simulation)
    );
}

/// The views of all running nodes as text.
fn views(simulation: &Simulation) -> String {
    let mut text = String::new();
    for node in simulation.running() {
        let Some(membership) = simulation.membership(node) else {
            continue;
        };
        let members = membership.members().iter().map(|(name, member)| {
            let record = &member.record;
            format!("{name}:{}@{}", record.state.as_str(), record.incarnation)
        });
        text += &format!("n{node}: {}\n", members.collect::<Vec<_>>().join(" "));
    }
    text
}

/// The record of the member `name` in a node's view.
fn record(simulation: &Simulation, node: usize, name: &str) -> Record {
    let members = simulation.membership(node).unwrap().members();
    members.get(name).unwrap().record.clone()
}

fn update(name: &str, record: Record) -> Update {
    Update {
        name: name.into(),
        record,
        suspected_by: None,
        state_age_seconds: 0,
    }
}

/// An encoded packet of a node, with updates that the node has not verified.
fn packet(sender: Update, body: Body, updates: Vec<Update>) -> Vec<u8> {
    let packet = Packet {
        sender,
        digest: 1,
        body,
        updates,
        piggyback: Vec::new(),
    };
    packet.encode(CLUSTER_NAME)
}

/// The name of the member that an event declares down.
fn declared_down(event: &Event) -> Option<&str> {
    match event {
        Event::StateChanged {
            name,
            state: State::Down,
            ..
        } => Some(name),
        _ => None,
    }
}

/// Members that any node has declared down since the history was cleared.
fn ever_down(simulation: &Simulation) -> Vec<String> {
    let mut names: Vec<String> = simulation
        .history
        .iter()
        .filter_map(|recorded| declared_down(&recorded.event))
        .map(str::to_owned)
        .collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn runs_of_one_seed_are_equal() {
    let course = |seed| {
        let mut simulation = converged(8, 10, seed);
        simulation.network.loss = 0.1;
        simulation.crash(3);
        simulation.run_for(4 * SECOND);
        simulation.start(8, &[0]);
        simulation.partition(|i| i % 2);
        simulation.run_for(9 * SECOND);
        simulation.heal();
        simulation.run_for(9 * SECOND);
        let sent: Vec<_> = (0..10).map(|i| simulation.traffic(i)).collect();
        (format!("{:?}", simulation.history), sent)
    };
    assert_eq!(course(1), course(1));
    assert_ne!(course(1), course(2));
}

#[test]
fn all_nodes_detect_a_crash_and_a_departure_is_no_failure() {
    for seed in 0..5 {
        let mut simulation = converged(10, 10, seed);
        simulation.crash(4);
        let all = |simulation: &Simulation, name: &str, state| {
            simulation
                .running()
                .iter()
                .all(|i| simulation.member_state(*i, name) == Some(state))
        };
        assert!(
            simulation
                .wait_for(6 * SECOND, |simulation| all(simulation, "n4", State::Down))
                .is_some(),
            "{seed}"
        );
        simulation.leave(5);
        assert!(
            simulation
                .wait_for(2 * SECOND, |simulation| all(simulation, "n5", State::Left))
                .is_some(),
            "{seed}"
        );
        simulation.run_for(5 * SECOND);
        assert_eq!(ever_down(&simulation), ["n4"], "{seed}");
    }
}

#[test]
fn a_process_resumed_after_it_was_declared_down_refutes_and_spreads_no_old_state() {
    for seed in 0..5 {
        let mut simulation = converged(10, 10, seed);
        simulation.pause(2);
        simulation.run_for(2 * SECOND);
        // Another node restarts meanwhile, so that the paused process has an old state of it.
        simulation.crash(6);
        simulation.run_for(20 * SECOND);
        simulation.start(6, &[0]);
        simulation.run_for(8 * SECOND);
        assert_eq!(
            simulation.member_state(0, "n2"),
            Some(State::Down),
            "{seed}"
        );
        simulation.history.clear();
        simulation.resume(2);
        wait_converged(&mut simulation, 15, "after the process was resumed");
        simulation.run_for(5 * SECOND);
        let refuted = |e: &Event| matches!(e, Event::Refuted { .. });
        assert!(
            simulation
                .history
                .iter()
                .any(|recorded| recorded.node == 2 && refuted(&recorded.event)),
            "{seed}"
        );
        assert!(
            simulation.history.iter().any(
                |recorded| recorded.node == 2 && matches!(recorded.event, Event::LocalDelay(_))
            ),
            "{seed}"
        );
        assert_eq!(
            ever_down(&simulation),
            [""; 0],
            "{seed}: the pause causes no other failure"
        );
    }
}

#[test]
fn a_resumed_process_reads_the_suspect_before_its_suspicion_expires() {
    for seed in 0..5 {
        let mut simulation = converged(10, 10, seed);
        simulation.pause(6);
        let suspects =
            |simulation: &Simulation| simulation.member_state(2, "n6") == Some(State::Suspect);
        assert!(
            simulation.wait_for(10 * SECOND, suspects).is_some(),
            "{seed}"
        );
        simulation.pause(2);
        simulation.resume(6);
        simulation.run_for(2 * SECOND);
        assert_eq!(
            simulation.member_state(0, "n6"),
            Some(State::Alive),
            "{seed}"
        );
        simulation.run_for(10 * SECOND);
        simulation.history.clear();
        simulation.resume(2);
        wait_converged(&mut simulation, 15, "after the process was resumed");
        assert!(!ever_down(&simulation).contains(&"n6".to_owned()), "{seed}");
    }
}

#[test]
fn a_slow_node_is_not_declared_down_and_declares_no_member_down() {
    for seed in 0..5 {
        let mut simulation = converged(10, 10, seed);
        simulation.set_max_scheduling_delay(3, 400_000);
        simulation.run_for(120 * SECOND);
        assert_eq!(ever_down(&simulation), [""; 0], "{seed}");
    }
}

#[test]
fn broken_links_cause_no_failure_of_members_that_others_reach() {
    for seed in 0..5 {
        let mut simulation = converged(6, 6, seed);
        // n0 receives nothing from n1; n2 and n3 receive nothing from each other.
        simulation.set_link_cut(1, 0, true);
        simulation.set_link_cut(2, 3, true);
        simulation.set_link_cut(3, 2, true);
        simulation.run_for(60 * SECOND);
        assert_eq!(ever_down(&simulation), [""; 0], "{seed}");
        wait_converged(&mut simulation, 10, "with broken links");
    }
}

#[test]
fn a_flapping_link_causes_no_failure() {
    for seed in 0..5 {
        let mut simulation = converged(6, 6, seed);
        for i in 0..60 {
            for other in [1, 2, 3, 4, 5] {
                simulation.set_link_cut(0, other, i % 2 == 0);
            }
            simulation.run_for(SECOND);
        }
        let down = ever_down(&simulation);
        assert_eq!(down, [""; 0], "{seed}");
        (1..6).for_each(|i| simulation.set_link_cut(0, i, false));
        wait_converged(&mut simulation, 15, "after the flapping");
    }
}

#[test]
fn halves_merge_after_a_partition_with_crashes_restarts_and_departures() {
    for seed in 0..5 {
        let mut simulation = converged(10, 14, seed);
        simulation.partition(|node| node % 2);
        simulation.run_for(20 * SECOND);
        let is_partitioned = |node: &usize| simulation.membership(*node).unwrap().is_partitioned();
        let partitioned_count = simulation
            .running()
            .iter()
            .filter(|n| is_partitioned(n))
            .count();
        assert_eq!(partitioned_count, 10, "{seed}: neither half is a majority");
        change_both_halves(&mut simulation);
        simulation.run_for(30 * SECOND);
        simulation.history.clear();
        simulation.heal();
        wait_converged(&mut simulation, 10, "after the partition");
        assert_no_member_declared_down_by_its_own_half(&simulation, seed);
        for node in simulation.running() {
            let state = |name| simulation.member_state(node, name);
            assert_eq!(state("n2"), Some(State::Down), "{seed}");
            assert_eq!(state("n3"), Some(State::Down), "{seed}");
            assert_eq!(state("n6"), Some(State::Left), "{seed}");
        }
    }
}

/// Crashes, starts and restarts a node of either half, and lets one leave.
fn change_both_halves(simulation: &mut Simulation) {
    simulation.crash(2);
    simulation.crash(3);
    simulation.start(10, &[0]);
    simulation.start(11, &[1]);
    simulation.crash(4);
    simulation.crash(5);
    simulation.run_for(3 * SECOND);
    simulation.start(4, &[0]);
    simulation.start(5, &[1]);
    simulation.leave(6);
}

/// Each half has declared the other one down; that must not spread to the other half.
fn assert_no_member_declared_down_by_its_own_half(simulation: &Simulation, seed: u64) {
    let wrongly_declared = simulation.history.iter().find(|recorded| {
        let Some(name) = declared_down(&recorded.event) else {
            return false;
        };
        let member: usize = name[1..].parse().unwrap();
        recorded.node % 2 == member % 2 && simulation.running().contains(&member)
    });
    assert!(wrongly_declared.is_none(), "{seed}: {wrongly_declared:?}");
}

#[test]
fn three_partitions_merge() {
    for seed in 0..5 {
        let mut simulation = converged(9, 9, seed);
        // Without seeds, nodes reconnect to members that are down.
        for node in 0..9 {
            let is_running = simulation
                .with_membership(node, |membership, _| membership.set_seeds(Vec::new()))
                .is_some();
            assert!(is_running);
        }
        simulation.partition(|i| i % 3);
        simulation.run_for(60 * SECOND);
        // Two partitions merge first, then all.
        simulation.partition(|i| usize::from(i % 3 == 2));
        simulation.run_for(20 * SECOND);
        simulation.heal();
        wait_converged(&mut simulation, 10, "after the partition");
    }
}

#[test]
fn nodes_restart_all_at_once_and_without_a_running_seed() {
    for seed in 0..5 {
        let mut simulation = converged(8, 9, seed);
        (0..8).for_each(|i| simulation.crash(i));
        (0..8).for_each(|i| simulation.start(i, &[0, 1]));
        wait_converged(&mut simulation, 10, "after the restart of all nodes");
        simulation.crash(0);
        simulation.crash(1);
        simulation.start(8, &[0, 1]);
        simulation.run_for(20 * SECOND);
        assert_eq!(simulation.membership(8).unwrap().members().len(), 1);
        assert!(
            !simulation.membership(8).unwrap().is_converged(),
            "{seed}: it has reached no member"
        );
        simulation.start(1, &[2]);
        wait_converged(&mut simulation, 15, "after the restart of a seed");
    }
}

#[test]
fn two_clusters_with_a_common_seed_merge() {
    let mut simulation = new_simulation(8, 1);
    (0..4).for_each(|i| simulation.start(i, &[0]));
    (4..8).for_each(|i| simulation.start(i, &[4]));
    simulation.run_for(20 * SECOND);
    assert!(!simulation.has_converged());
    simulation.crash(7);
    simulation.start(7, &[0, 4]);
    wait_converged(&mut simulation, 15, "after a common seed was set");
}

#[test]
fn ten_restarts_within_one_suspicion_timeout_leave_one_member() {
    for seed in 0..5 {
        let mut simulation = converged(10, 10, seed);
        for _ in 0..10 {
            simulation.crash(4);
            simulation.run_for(150_000);
            simulation.start(4, &[0]);
            simulation.run_for(50_000);
        }
        wait_converged(&mut simulation, 10, "after ten restarts");
        assert!(!simulation
            .membership(4)
            .unwrap()
            .members()
            .get("n4")
            .unwrap()
            .record
            .details
            .rivals
            .iter()
            .any(|_| true));
    }
}

#[test]
fn two_processes_of_one_name_are_reported_by_all_nodes_without_a_conflict() {
    for seed in 0..5 {
        let mut simulation = converged(6, 8, seed);
        simulation.start_as(6, "n2", &[0]);
        simulation.run_for(30 * SECOND);
        let record_of = |simulation: &Simulation, node| record(simulation, node, "n2");
        let first = record_of(&simulation, 0);
        assert_eq!(first.details.rivals.len(), 1, "{seed}");
        let mut both = vec![first.details.address, first.details.rivals[0].address];
        both.sort();
        assert_eq!(both, [address(2), address(6)], "{seed}");
        assert!(
            simulation
                .running()
                .iter()
                .all(|i| record_of(&simulation, *i) == first),
            "{seed}"
        );
        // The incarnation does not rise without limit.
        simulation.run_for(120 * SECOND);
        assert!(
            record_of(&simulation, 0).incarnation <= first.incarnation + 2,
            "{seed}: {:?}",
            record_of(&simulation, 0)
        );
        // After one process has ended, all nodes attribute the name to the other.
        simulation.crash(6);
        simulation.run_for(60 * SECOND);
        assert!(
            simulation.running().iter().all(|i| {
                let record = record_of(&simulation, *i);
                record.state == State::Alive
                    && record.details.rivals.is_empty()
                    && record.details.address == address(2)
            }),
            "{seed}: {:?}",
            record_of(&simulation, 0)
        );
    }
}

/// A record of a process that does not exist.
fn forged(name: &str) -> Update {
    let local_member = LocalMember::new(7, ([10, 9, 9, 9], 9).into(), "");
    let record = Record {
        incarnation: 5,
        ..local_member.record
    };
    update(name, record)
}

#[test]
fn a_flood_of_forged_members_evicts_no_real_member() {
    let config = MembershipConfig {
        max_members: 50,
        ..MembershipConfig::default()
    };
    let mut simulation = Simulation::new(config, 11, 3);
    start_all(&mut simulation, 10);
    for round in 0..2000 {
        let updates = (0..10)
            .map(|index| forged(&format!("x{}", round * 10 + index)))
            .collect();
        let flood = Packet {
            sender: forged("liar"),
            digest: 0,
            body: Body::Gossip,
            updates,
            piggyback: Vec::new(),
        };
        simulation.inject(round % 10, flood.encode(CLUSTER_NAME));
        simulation.run_for(2_000);
    }
    for node in 0..10 {
        let members = simulation.membership(node).unwrap().members();
        assert!(members.len() <= 50);
        let is_active = |member: usize| {
            let state = simulation.member_state(node, &format!("n{member}"));
            state.is_some_and(State::is_active)
        };
        assert!((0..10).all(is_active), "{node}");
    }
    // A real member can still join.
    simulation.start(10, &[0]);
    simulation.run_for(60 * SECOND);
    assert!((0..10).all(|node| simulation.member_state(node, "n10") == Some(State::Alive)));
}

#[test]
fn a_replayed_datagram_of_an_earlier_process_changes_nothing() {
    let mut simulation = converged(5, 5, 1);
    let record = simulation.membership(3).unwrap().local_record().clone();
    let sender = update("n3", record.clone());
    let down = Record {
        state: State::Down,
        ..record
    };
    let replayed = packet(sender, Body::Ack { sequence: 77 }, vec![update("n3", down)]);
    simulation.crash(3);
    simulation.run_for(10 * SECOND);
    simulation.start(3, &[0]);
    wait_converged(&mut simulation, 10, "after the restart");
    simulation.run_for(5 * SECOND);
    let digest_before = simulation.membership(0).unwrap().digest();
    (0..5).for_each(|node| simulation.inject(node, replayed.clone()));
    simulation.run_for(10 * SECOND);
    assert!(simulation.has_converged());
    assert_eq!(simulation.membership(0).unwrap().digest(), digest_before);
}

#[test]
fn an_expired_member_is_removed_and_not_added_again_by_old_updates() {
    let config = MembershipConfig {
        retention: 30 * SECOND,
        ..MembershipConfig::default()
    };
    let mut simulation = Simulation::new(config, 6, 4);
    start_all(&mut simulation, 6);
    simulation.crash(5);
    simulation.run_for(20 * SECOND);
    assert_eq!(simulation.member_state(0, "n5"), Some(State::Down));
    let old_record = record(&simulation, 0, "n5");
    simulation.run_for(20 * SECOND);
    let is_unknown =
        |simulation: &Simulation| (0..5).all(|node| simulation.member_state(node, "n5").is_none());
    assert!(is_unknown(&simulation));
    let sender_record = simulation.membership(3).unwrap().local_record().clone();
    let sender = update("n3", sender_record);
    let gossip = packet(sender, Body::Gossip, vec![update("n5", old_record)]);
    (0..5)
        .filter(|node| *node != 3)
        .for_each(|node| simulation.inject(node, gossip.clone()));
    simulation.run_for(100_000);
    assert!(is_unknown(&simulation), "the tombstone rejects the update");
    wait_converged(&mut simulation, 10, "after the expiry");
    simulation.run_for(60 * SECOND);
    let has_entry = |node: usize| {
        let members = simulation.membership(node).unwrap().members();
        members.get("n5").is_some()
    };
    assert!(!(0..5).any(has_entry), "the tombstone is removed, too");
    assert!(simulation.has_converged());
}
