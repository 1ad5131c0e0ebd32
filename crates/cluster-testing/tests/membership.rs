//! What the fleet is to bear, in the simulation: each test causes one thing that goes wrong, over
//! several seeds.

use pipitlever_cluster_testing::membership_simulation::{address, Simulation};
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::Event;
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::message::{Body, Packet, Update};
use pipitlever_membership::record::{Record, State};

const S: i64 = 1_000_000;

fn world(places: usize, seed: u64) -> Simulation {
    Simulation::new(MembershipConfig::default(), places, seed)
}

/// So many nodes that have found each other, and places for more.
fn settled(size: usize, places: usize, seed: u64) -> Simulation {
    let mut world = world(places, seed);
    (0..size).for_each(|i| world.start(i, &[0, 1]));
    wait(&mut world, 30, "the start");
    world.history.clear();
    world
}

fn wait(world: &mut Simulation, seconds: i64, what: &str) {
    let views = |w: &Simulation| {
        let mut all = String::new();
        for i in w.running() {
            let Some(fleet) = w.membership(i) else {
                continue;
            };
            let members = fleet.members().iter().map(|(name, m)| {
                format!(
                    "{name}:{}@{}",
                    m.record.state.as_str(),
                    m.record.incarnation
                )
            });
            all += &format!("n{i}: {}\n", members.collect::<Vec<_>>().join(" "));
        }
        all
    };
    let took = world.wait(seconds * S, Simulation::has_converged);
    assert!(
        took.is_some(),
        "{what}: not settled after {seconds} s:\n{}",
        views(world)
    );
}

/// Nodes that were held down anywhere since the history was cleared.
fn ever_down(world: &Simulation) -> Vec<String> {
    let down = world
        .history
        .iter()
        .filter_map(|(_, _, event)| match event {
            Event::StateChanged {
                name,
                state: State::Down,
                ..
            } => Some(name.clone()),
            _ => None,
        });
    let mut down: Vec<String> = down.collect();
    down.sort();
    down.dedup();
    down
}

#[test]
fn one_seed_makes_one_course_to_the_byte() {
    let course = |seed| {
        let mut world = settled(8, 10, seed);
        world.net.loss = 0.1;
        world.crash(3);
        world.run(4 * S);
        world.start(8, &[0]);
        world.split(|i| i % 2);
        world.run(9 * S);
        world.heal();
        world.run(9 * S);
        let sent: Vec<_> = (0..10).map(|i| world.sent(i)).collect();
        (format!("{:?}", world.history), sent)
    };
    assert_eq!(course(1), course(1));
    assert_ne!(course(1), course(2));
}

#[test]
fn a_crash_is_known_to_all_and_a_leaver_is_not_taken_for_dead() {
    for seed in 0..5 {
        let mut world = settled(10, 10, seed);
        world.crash(4);
        let all = |w: &Simulation, name: &str, state| {
            w.running()
                .iter()
                .all(|i| w.member_state(*i, name) == Some(state))
        };
        assert!(
            world.wait(6 * S, |w| all(w, "n4", State::Down)).is_some(),
            "{seed}"
        );
        world.leave(5);
        assert!(
            world.wait(2 * S, |w| all(w, "n5", State::Left)).is_some(),
            "{seed}"
        );
        world.run(5 * S);
        assert_eq!(ever_down(&world), ["n4"], "{seed}");
    }
}

#[test]
fn a_process_that_was_stopped_past_its_death_finds_out_and_its_old_news_does_no_harm() {
    for seed in 0..5 {
        let mut world = settled(10, 10, seed);
        world.pause(2);
        world.run(2 * S);
        // Meanwhile another one dies and comes back: what the stopped one knows of it is old.
        world.crash(6);
        world.run(20 * S);
        world.start(6, &[0]);
        world.run(8 * S);
        assert_eq!(world.member_state(0, "n2"), Some(State::Down), "{seed}");
        world.history.clear();
        world.resume(2);
        wait(&mut world, 15, "after SIGCONT");
        world.run(5 * S);
        let refuted = |e: &Event| matches!(e, Event::Refuted { .. });
        assert!(
            world
                .history
                .iter()
                .any(|(_, node, e)| *node == 2 && refuted(e)),
            "{seed}"
        );
        assert!(
            world
                .history
                .iter()
                .any(|(_, node, e)| *node == 2 && matches!(e, Event::LocalDelay(_))),
            "{seed}"
        );
        assert_eq!(
            ever_down(&world),
            [""; 0],
            "{seed}: nobody else is blamed for its sleep"
        );
    }
}

#[test]
fn who_is_stopped_with_a_suspicion_in_hand_hears_the_suspect_first() {
    for seed in 0..5 {
        let mut world = settled(10, 10, seed);
        world.pause(6);
        let suspects = |w: &Simulation| w.member_state(2, "n6") == Some(State::Suspect);
        assert!(world.wait(10 * S, suspects).is_some(), "{seed}");
        world.pause(2);
        world.resume(6);
        world.run(2 * S);
        assert_eq!(world.member_state(0, "n6"), Some(State::Alive), "{seed}");
        world.run(10 * S);
        world.history.clear();
        world.resume(2);
        wait(&mut world, 15, "after SIGCONT");
        assert!(!ever_down(&world).contains(&"n6".to_owned()), "{seed}");
    }
}

#[test]
fn a_slow_node_is_not_declared_dead_and_declares_nobody_dead() {
    for seed in 0..5 {
        let mut world = settled(10, 10, seed);
        world.lag(3, 400_000);
        world.run(120 * S);
        assert_eq!(ever_down(&world), [""; 0], "{seed}");
    }
}

#[test]
fn links_that_carry_one_way_or_not_at_all_kill_nobody_whom_others_reach() {
    for seed in 0..5 {
        let mut world = settled(6, 6, seed);
        // n0 does not hear n1; n2 and n3 don't hear each other at all.
        world.cut(1, 0, true);
        world.cut(2, 3, true);
        world.cut(3, 2, true);
        world.run(60 * S);
        assert_eq!(ever_down(&world), [""; 0], "{seed}");
        wait(&mut world, 10, "with broken links");
    }
}

#[test]
fn a_link_that_flaps_each_second_kills_nobody() {
    for seed in 0..5 {
        let mut world = settled(6, 6, seed);
        for i in 0..60 {
            for other in [1, 2, 3, 4, 5] {
                world.cut(0, other, i % 2 == 0);
            }
            world.run(S);
        }
        let down = ever_down(&world);
        assert_eq!(down, [""; 0], "{seed}");
        (1..6).for_each(|i| world.cut(0, i, false));
        wait(&mut world, 15, "after the flapping");
    }
}

#[test]
fn halves_that_were_apart_find_each_other_whatever_happened_on_both_sides() {
    for seed in 0..5 {
        let mut world = settled(10, 14, seed);
        world.split(|i| i % 2);
        world.run(20 * S);
        let cut_off = |w: &Simulation| {
            w.running()
                .iter()
                .filter(|i| w.membership(**i).unwrap().is_partitioned())
                .count()
        };
        assert_eq!(cut_off(&world), 10, "{seed}: neither half is a majority");
        world.crash(2);
        world.crash(3);
        world.start(10, &[0]);
        world.start(11, &[1]);
        world.crash(4);
        world.crash(5);
        world.run(3 * S);
        world.start(4, &[0]);
        world.start(5, &[1]);
        world.leave(6);
        world.run(30 * S);
        world.history.clear();
        world.heal();
        wait(&mut world, 10, "after the heal");
        // Each side has held the other one down: nobody comes to hold his own side down for that.
        let down = |e: &Event| match e {
            Event::StateChanged {
                name,
                state: State::Down,
                ..
            } => Some(name[1..].parse::<usize>().unwrap()),
            _ => None,
        };
        let fallen: Vec<_> = world
            .history
            .iter()
            .filter_map(|(_, at, e)| Some((*at, down(e)?)))
            .collect();
        let wrong = |(at, of): &&(usize, usize)| at % 2 == of % 2 && world.running().contains(of);
        assert_eq!(fallen.iter().find(wrong), None, "{seed}");
        for i in world.running() {
            assert_eq!(world.member_state(i, "n2"), Some(State::Down), "{seed}");
            assert_eq!(world.member_state(i, "n3"), Some(State::Down), "{seed}");
            assert_eq!(world.member_state(i, "n6"), Some(State::Left), "{seed}");
        }
    }
}

#[test]
fn three_parts_find_each_other() {
    for seed in 0..5 {
        let mut world = settled(9, 9, seed);
        // With no seed to ask: it is the dead that are tried.
        (0..9).for_each(|i| {
            assert!(world
                .with_membership(i, |fleet, _| fleet.set_seeds(Vec::new()))
                .is_some())
        });
        world.split(|i| i % 3);
        world.run(60 * S);
        // First two of them, then all.
        world.split(|i| usize::from(i % 3 == 2));
        world.run(20 * S);
        world.heal();
        wait(&mut world, 10, "after the heal");
    }
}

#[test]
fn all_at_once_and_with_no_seed_up() {
    for seed in 0..5 {
        let mut world = settled(8, 9, seed);
        (0..8).for_each(|i| world.crash(i));
        (0..8).for_each(|i| world.start(i, &[0, 1]));
        wait(&mut world, 10, "all restarted");
        world.crash(0);
        world.crash(1);
        world.start(8, &[0, 1]);
        world.run(20 * S);
        assert_eq!(world.membership(8).unwrap().members().len(), 1);
        assert!(
            !world.membership(8).unwrap().is_converged(),
            "{seed}: it has met nobody"
        );
        world.start(1, &[2]);
        wait(&mut world, 15, "a seed is up again");
    }
}

#[test]
fn two_fleets_that_get_a_common_seed_are_one() {
    let mut world = world(8, 1);
    (0..4).for_each(|i| world.start(i, &[0]));
    (4..8).for_each(|i| world.start(i, &[4]));
    world.run(20 * S);
    assert!(!world.has_converged());
    world.crash(7);
    world.start(7, &[0, 4]);
    wait(&mut world, 15, "a common seed");
}

#[test]
fn ten_crashes_and_restarts_within_one_suspicion() {
    for seed in 0..5 {
        let mut world = settled(10, 10, seed);
        for _ in 0..10 {
            world.crash(4);
            world.run(150_000);
            world.start(4, &[0]);
            world.run(50_000);
        }
        wait(&mut world, 10, "after ten restarts");
        assert!(!world
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
fn two_that_live_under_one_name_are_named_everywhere_and_nobody_fights() {
    for seed in 0..5 {
        let mut world = settled(6, 8, seed);
        world.start_as(6, "n2", &[0]);
        world.run(30 * S);
        let held = |w: &Simulation, i: usize| {
            w.membership(i)
                .unwrap()
                .members()
                .get("n2")
                .unwrap()
                .record
                .clone()
        };
        let first = held(&world, 0);
        assert_eq!(first.details.rivals.len(), 1, "{seed}");
        let mut both = vec![first.details.address, first.details.rivals[0].address];
        both.sort();
        assert_eq!(both, [address(2), address(6)], "{seed}");
        assert!(
            world.running().iter().all(|i| held(&world, *i) == first),
            "{seed}"
        );
        // It stays so, with no number that rises and rises.
        world.run(120 * S);
        assert!(
            held(&world, 0).incarnation <= first.incarnation + 2,
            "{seed}: {:?}",
            held(&world, 0)
        );
        // One of them goes: the name is one process's again, everywhere.
        world.crash(6);
        world.run(60 * S);
        assert!(
            world.running().iter().all(|i| {
                let held = held(&world, *i);
                held.state == State::Alive
                    && held.details.rivals.is_empty()
                    && held.details.address == address(2)
            }),
            "{seed}: {:?}",
            held(&world, 0)
        );
    }
}

fn liar(name: &str, incarnation: u64) -> Update {
    let record = Record {
        incarnation,
        ..LocalMember::new(7, ([10, 9, 9, 9], 9).into(), "").record
    };
    Update {
        name: name.into(),
        record,
        suspected_by: None,
        state_age_seconds: 0,
    }
}

#[test]
fn a_liars_thousands_of_names_push_nobody_out() {
    let rules = MembershipConfig {
        max_members: 50,
        ..MembershipConfig::default()
    };
    let mut world = Simulation::new(rules, 11, 3);
    (0..10).for_each(|i| world.start(i, &[0, 1]));
    wait(&mut world, 30, "the start");
    for i in 0..2000 {
        let news = (0..10)
            .map(|k| liar(&format!("x{}", i * 10 + k), 5))
            .collect();
        let packet = Packet {
            sender: liar("liar", 5),
            digest: 0,
            body: Body::Gossip,
            updates: news,
            piggyback: Vec::new(),
        };
        world.inject(i % 10, packet.encode("sim"));
        world.run(2_000);
    }
    for i in 0..10 {
        let members = world.membership(i).unwrap().members();
        assert!(members.len() <= 50);
        assert!(
            (0..10).all(|k| world
                .member_state(i, &format!("n{k}"))
                .is_some_and(State::is_active)),
            "{i}"
        );
    }
    // One that is real finds a place.
    world.start(10, &[0]);
    world.run(60 * S);
    assert!((0..10).all(|i| world.member_state(i, "n10") == Some(State::Alive)));
}

#[test]
fn an_old_datagram_that_comes_again_changes_nothing() {
    let mut world = settled(5, 5, 1);
    let record = world.membership(3).unwrap().local_record().clone();
    let from = Update {
        name: "n3".into(),
        record: record.clone(),
        suspected_by: None,
        state_age_seconds: 0,
    };
    let down = Update {
        record: Record {
            state: State::Down,
            ..record
        },
        ..from.clone()
    };
    let old = Packet {
        sender: from,
        digest: 1,
        body: Body::Ack { sequence: 77 },
        updates: vec![down],
        piggyback: Vec::new(),
    }
    .encode("sim");
    world.crash(3);
    world.run(10 * S);
    world.start(3, &[0]);
    wait(&mut world, 10, "restarted");
    world.run(5 * S);
    let before = world.membership(0).unwrap().digest();
    (0..5).for_each(|i| world.inject(i, old.clone()));
    world.run(10 * S);
    assert!(world.has_converged() && world.membership(0).unwrap().digest() == before);
}

#[test]
fn who_is_down_is_forgotten_in_the_end_and_does_not_come_back_by_hearsay() {
    let rules = MembershipConfig {
        retention: 30 * S,
        ..MembershipConfig::default()
    };
    let mut world = Simulation::new(rules, 6, 4);
    (0..6).for_each(|i| world.start(i, &[0, 1]));
    wait(&mut world, 30, "the start");
    world.crash(5);
    world.run(20 * S);
    assert_eq!(world.member_state(0, "n5"), Some(State::Down));
    let record = world
        .membership(0)
        .unwrap()
        .members()
        .get("n5")
        .unwrap()
        .record
        .clone();
    let old = Update {
        name: "n5".into(),
        record,
        suspected_by: None,
        state_age_seconds: 0,
    };
    world.run(20 * S);
    assert!((0..5).all(|i| world.member_state(i, "n5").is_none()));
    // What somebody said of it long ago comes again.
    let record = world.membership(3).unwrap().local_record().clone();
    let from = Update {
        name: "n3".into(),
        record,
        suspected_by: None,
        state_age_seconds: 0,
    };
    let packet = Packet {
        sender: from,
        digest: 1,
        body: Body::Gossip,
        updates: vec![old],
        piggyback: Vec::new(),
    }
    .encode("sim");
    (0..5)
        .filter(|i| *i != 3)
        .for_each(|i| world.inject(i, packet.clone()));
    world.run(100_000);
    assert!(
        (0..5).all(|i| world.member_state(i, "n5").is_none()),
        "it is known to be old"
    );
    wait(&mut world, 10, "one is forgotten");
    world.run(60 * S);
    assert!(
        (0..5).all(|i| world.membership(i).unwrap().members().get("n5").is_none()),
        "the entry is gone, too"
    );
    assert!(world.has_converged());
}
