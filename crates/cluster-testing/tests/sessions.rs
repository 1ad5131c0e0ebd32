//! Sessions that stay, at several sizes, with messages lost, late and doubled, and nodes that come
//! and go.

use pipitlever_cluster_testing::session_simulation::{
    pool, FaultSettings, RouteOutcome, Simulation,
};
use std::collections::BTreeMap;

const S: i64 = 1_000_000;
const ROUGH: FaultSettings = FaultSettings {
    loss: 10.0,
    twice: 5.0,
    delay: 5_000,
    late: 0.0,
    news: 400_000,
};

/// Sessions, by key, and the worker of each.
type Places = BTreeMap<u64, u32>;

fn even(workers: std::ops::Range<u32>) -> Vec<(u32, f64, bool)> {
    workers.map(|w| (w, 1.0, true)).collect()
}

/// A world that has come to rest, and its sessions, each placed by one request at some node.
fn world(
    nodes: usize,
    workers: u32,
    sessions: u64,
    seed: u64,
) -> (Simulation, Places, fastrand::Rng) {
    world_of(ROUGH, nodes, workers, sessions, seed)
}

fn world_of(
    ways: FaultSettings,
    nodes: usize,
    workers: u32,
    sessions: u64,
    seed: u64,
) -> (Simulation, Places, fastrand::Rng) {
    let mut world = Simulation::new(nodes, pool(&even(0..workers), 5 * S), ways, seed);
    world.run_until(5 * S);
    assert!(world.filled());
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut places = Places::new();
    for key in 0..sessions {
        let RouteOutcome::Worker(worker, waited) = world.ask(rng.usize(0..nodes), key) else {
            panic!("nobody takes {key}")
        };
        assert!(waited <= 60_000, "{waited}");
        places.insert(key, worker);
    }
    (world, places, rng)
}

/// Asks for each session at some node: those that have moved, with where they were and are.
fn moved(world: &mut Simulation, places: &Places, rng: &mut fastrand::Rng) -> Vec<(u64, u32, u32)> {
    let mut moved = Vec::new();
    for (key, worker) in places {
        let there: Vec<usize> = (0..1_000)
            .take_while(|i| *i < world.nodes())
            .filter(|i| world.there(*i))
            .collect();
        match world.ask(there[rng.usize(0..there.len())], *key) {
            RouteOutcome::Worker(now, _) if now == *worker => {}
            RouteOutcome::Worker(now, _) => moved.push((*key, *worker, now)),
            RouteOutcome::Unavailable => panic!("nobody takes {key}"),
        }
    }
    moved
}

#[test]
fn nobody_moves_through_versions_that_keep_their_worker() {
    for seed in 1..=3 {
        let (mut world, places, mut rng) = world(10, 6, 600, seed);
        let mut workers = even(0..6);
        for round in 0..12 {
            // Weights change and workers come, in another order each time.
            workers.iter_mut().for_each(|w| w.1 = 0.5 + rng.f64() * 4.0);
            workers.push((6 + round, 1.0, true));
            rng.shuffle(&mut workers);
            world.publish(pool(&workers, 5 * S));
            // While some act on the one and some on the other.
            let seen = moved(&mut world, &places, &mut rng);
            assert!(seen.is_empty(), "seed {seed} round {round}: {seen:?}");
            if round % 3 == 0 {
                let i = rng.usize(0..10);
                world.kill(i);
                world.run_until(world.now + S);
                world.start(i);
                let seen = moved(&mut world, &places, &mut rng);
                assert!(
                    seen.is_empty(),
                    "seed {seed} round {round}, n{i} back: {seen:?}"
                );
                world.run_until(world.now + 2 * S);
                assert!(world.filled());
            }
        }
    }
}

#[test]
fn sessions_of_a_worker_that_goes_move_alone_and_once() {
    let (mut world, places, mut rng) = world(10, 6, 1_000, 7);
    let of = |w: u32| places.values().filter(|p| **p == w).count();
    let mut left = even(0..6);
    left.retain(|w| w.0 != 2);
    world.publish(pool(&left, 5 * S));
    world.run_until(world.now + S);
    let seen = moved(&mut world, &places, &mut rng);
    assert!(
        seen.iter().all(|(_, from, to)| *from == 2 && *to != 2) && seen.len() == of(2),
        "{}",
        seen.len()
    );
    // Spread over all that are left.
    for worker in [0, 1, 3, 4, 5] {
        let got = seen.iter().filter(|s| s.2 == worker).count();
        assert!(
            (of(2) / 10..of(2) / 2).contains(&got),
            "{worker}: {got} of {}",
            of(2)
        );
    }
    // When it comes back nobody moves again, whichever node is asked.
    let mut now = places.clone();
    now.extend(seen.iter().map(|(key, _, to)| (*key, *to)));
    world.publish(pool(&even(0..6), 5 * S));
    world.run_until(world.now + 2 * S);
    assert!(moved(&mut world, &now, &mut rng).is_empty());
    assert!(moved(&mut world, &now, &mut rng).is_empty());
}

#[test]
fn a_worker_gone_and_back_within_a_second_leaves_one_place_for_each() {
    let (mut world, places, mut rng) = world(12, 5, 500, 11);
    let mut left = even(0..5);
    left.remove(0);
    world.publish(pool(&left, 5 * S));
    world.run_until(world.now + 100_000);
    world.publish(pool(&even(0..5), 5 * S));
    let during = moved(&mut world, &places, &mut rng);
    assert!(during.iter().all(|(_, from, _)| *from == 0), "{during:?}");
    world.run_until(world.now + 3 * S);
    // Some have moved, some not, as their nodes saw it: whichever, it is the same for all.
    moved(&mut world, &places, &mut rng);
    world.run_until(world.now + 2 * S);
    let mut now = places.clone();
    now.extend(
        moved(&mut world, &places, &mut rng)
            .iter()
            .map(|(key, _, to)| (*key, *to)),
    );
    for _ in 0..3 {
        assert_eq!(moved(&mut world, &now, &mut rng), []);
    }
}

#[test]
fn halves_go_on_and_the_older_placement_holds_at_the_heal() {
    let (mut world, mut places, mut rng) = world(10, 6, 300, 13);
    // A version that changes where a new session goes reaches one half alone.
    world.split(|i| i % 2);
    world.run_until(world.now + S);
    let seen = moved(&mut world, &places, &mut rng);
    assert!(
        seen.is_empty(),
        "{} of {}: {:?}",
        seen.len(),
        places.len(),
        &seen[..seen.len().min(5)]
    );
    // New ones come to the one half, and later their clients to the other, which knows nothing of
    // them.
    let first: Places = (1_000..1_300)
        .map(|key| (key, worker(world.ask(2, key))))
        .collect();
    world.run_until(world.now + 2 * S);
    let mut heavy = even(0..6);
    heavy
        .iter_mut()
        .for_each(|w| w.1 = if w.0 < 3 { 9.0 } else { 1.0 });
    world.publish_to(pool(&heavy, 5 * S), |i| i % 2 == 1);
    world.run_until(world.now + S);
    let second: Places = (1_000..1_300)
        .map(|key| (key, worker(world.ask(3, key))))
        .collect();
    let differ = first.iter().filter(|(key, w)| second[*key] != **w).count();
    assert!(differ > 30, "{differ} were placed otherwise");
    world.split(|_| 0);
    world.run_until(world.now + 3 * S);
    places.extend(&first);
    // The first request at each node may still find what its side had; it hears within a second.
    moved(&mut world, &places, &mut rng);
    world.run_until(world.now + 2 * S);
    for _ in 0..3 {
        let seen = moved(&mut world, &places, &mut rng);
        assert!(
            seen.is_empty(),
            "{} of {}: {:?}",
            seen.len(),
            places.len(),
            &seen[..seen.len().min(5)]
        );
    }
}

fn worker(came: RouteOutcome) -> u32 {
    match came {
        RouteOutcome::Worker(worker, _) => worker,
        RouteOutcome::Unavailable => panic!("nobody takes it"),
    }
}

#[test]
fn a_worker_that_flaps_keeps_its_sessions_and_one_that_fails_for_long_loses_them_once() {
    let (mut world, places, mut rng) = world(6, 4, 300, 17);
    for _ in 0..10 {
        world.fail(&[1]);
        world.run_until(world.now + S);
        assert_eq!(moved(&mut world, &places, &mut rng), []);
        world.fail(&[]);
        world.run_until(world.now + S);
    }
    world.fail(&[1]);
    world.run_until(world.now + 6 * S);
    let seen = moved(&mut world, &places, &mut rng);
    let of = places.values().filter(|w| **w == 1).count();
    assert!(
        seen.len() == of && seen.iter().all(|(_, from, to)| *from == 1 && *to != 1),
        "{} {of}",
        seen.len()
    );
    let mut now = places.clone();
    now.extend(seen.iter().map(|(key, _, to)| (*key, *to)));
    world.fail(&[]);
    world.run_until(world.now + 2 * S);
    assert_eq!(
        moved(&mut world, &now, &mut rng),
        [],
        "it is back, and nobody goes back"
    );
}

#[test]
fn a_fifth_lost_and_a_twentieth_two_seconds_late_move_nobody() {
    let ways = FaultSettings {
        loss: 20.0,
        twice: 10.0,
        late: 5.0,
        ..ROUGH
    };
    let (mut world, places, mut rng) = world_of(ways, 10, 6, 400, 31);
    let mut workers = even(0..6);
    for round in 0..6 {
        workers.iter_mut().for_each(|w| w.1 = 0.5 + rng.f64() * 4.0);
        workers.push((6 + round, 1.0, true));
        world.publish(pool(&workers, 5 * S));
        assert_eq!(moved(&mut world, &places, &mut rng), [], "round {round}");
    }
}

#[test]
fn a_client_whose_node_dies_finds_its_worker_at_another_one_at_once() {
    let (mut world, places, mut rng) = world(10, 6, 400, 37);
    // Where a new session would go is another matter by now.
    let heavy: Vec<_> = (0..6)
        .map(|w| (w, if w == 0 { 9.0 } else { 0.5 }, true))
        .collect();
    world.publish(pool(&heavy, 5 * S));
    world.run_until(world.now + S);
    for dead in 0..10 {
        let mine: Places = places
            .iter()
            .filter(|(key, _)| **key % 10 == dead as u64)
            .map(|(k, w)| (*k, *w))
            .collect();
        for (key, at) in &mine {
            assert_eq!(worker(world.ask(dead, *key)), *at);
        }
        world.kill(dead);
        // Nobody has heard of that yet.
        assert_eq!(moved(&mut world, &mine, &mut rng), [], "n{dead}");
        world.start(dead);
        world.run_until(world.now + 3 * S);
    }
}

#[test]
fn a_worker_that_one_node_alone_can_not_reach_loses_what_comes_there() {
    let (mut world, places, mut rng) = world(6, 4, 300, 41);
    world.fail_at(&[1], |i| i == 2);
    world.run_until(world.now + 6 * S);
    let mut now = places.clone();
    for (key, at) in &places {
        // Half of the clients come by that node.
        let by = if key % 2 == 0 { 2 } else { 4 };
        let came = worker(world.ask(by, *key));
        assert_eq!(came == *at, *at != 1 || by != 2, "{key}");
        now.insert(*key, came);
    }
    world.run_until(world.now + 2 * S);
    // All go by that, and the others stay: its word takes no worker out for anybody.
    for _ in 0..2 {
        let seen = moved(&mut world, &now, &mut rng);
        assert!(seen.iter().all(|(_, from, _)| *from == 1), "{seen:?}");
        now.extend(seen.iter().map(|(key, _, to)| (*key, *to)));
    }
    let stay = now.values().filter(|w| **w == 1).count();
    assert!(stay > 10, "{stay}");
}

#[test]
fn repeats_of_a_key_go_where_the_first_try_went() {
    let (mut world, places, mut rng) = world(6, 4, 200, 29);
    // Each session has a key under way.
    for (key, at) in &places {
        assert_eq!(worker(world.ask_key(rng.usize(0..6), *key, *at)), *at);
    }
    world.fail(&[1]);
    world.run_until(world.now + 6 * S);
    let seen = moved(&mut world, &places, &mut rng);
    assert!(!seen.is_empty());
    world.fail(&[]);
    world.run_until(world.now + S);
    for (key, from, to) in seen {
        // The session lives elsewhere now, and its key is where it ran, whichever node is asked.
        assert_eq!(worker(world.ask(rng.usize(0..6), key)), to);
        assert_eq!(worker(world.ask_key(rng.usize(0..6), key, to)), from);
        // A new key of that session goes with it.
        assert_eq!(worker(world.ask_key(rng.usize(0..6), key + 10_000, to)), to);
    }
}

#[test]
fn many_that_join_at_once_and_leave_again_move_nobody() {
    let (mut world, places, mut rng) = world(5, 6, 500, 19);
    world.grow(105);
    let seen = moved(&mut world, &places, &mut rng);
    assert!(seen.is_empty(), "{seen:?}");
    world.run_until(world.now + 15 * S);
    assert!(world.filled());
    let seen = moved(&mut world, &places, &mut rng);
    assert!(seen.is_empty(), "{seen:?}");
    // One after the other, as a drain does it.
    for i in 5..105 {
        world.kill(i);
        world.run_until(world.now + S);
    }
    let seen = moved(&mut world, &places, &mut rng);
    assert!(seen.is_empty(), "{seen:?}");
}

#[test]
fn one_seed_is_one_course() {
    let course = |seed| {
        let (mut world, places, mut rng) = world(8, 5, 200, seed);
        world.kill(3);
        world.run_until(world.now + S);
        (
            places,
            moved(&mut world, &BTreeMap::new(), &mut rng),
            world.sent,
        )
    };
    assert_eq!(course(23), course(23));
    assert_ne!(course(23).2, course(24).2);
}
