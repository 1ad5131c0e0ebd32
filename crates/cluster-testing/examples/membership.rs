//! Measures the fleet in the simulation: `cargo run --release -p pipitlever-cluster-testing
//! --example membership -- CASE SIZE SEEDS`.

use pipitlever_cluster_testing::membership_simulation::Simulation;
use pipitlever_cluster_testing::stand_ins::memory_mb;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::Event;
use pipitlever_membership::record::State;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const S: i64 = 1_000_000;

fn started(rules: &MembershipConfig, size: usize, seed: u64) -> Simulation {
    let mut world = Simulation::new(rules.clone(), size, seed);
    world.record = false;
    for i in 0..size {
        world.start(i, &[0, 1]);
        world.run(2_000);
    }
    let took = world.wait(120 * S, Simulation::has_converged);
    assert!(
        took.is_some(),
        "the fleet does not settle at the start: size={size} seed={seed}"
    );
    world
}

/// What each seed comes to, on several threads.
fn each<T: Send>(seeds: u64, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism()
        .map_or(2, |n| n.get())
        .clamp(2, 5)
        - 1;
    let (next, done) = (AtomicU64::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let came = play(seed);
                done.lock().expect("no holder panics").insert(seed, came);
            });
        }
    });
    done.into_inner()
        .expect("no holder panics")
        .into_values()
        .collect()
}

fn percent(all: &mut [i64], p: f64) -> f64 {
    all.sort();
    let at = ((all.len() as f64 * p).ceil() as usize).clamp(1, all.len()) - 1;
    all[at] as f64 / 1e6
}

fn line(what: &str, size: usize, all: &mut [i64]) {
    let (p50, p99, most) = (percent(all, 0.5), percent(all, 0.99), percent(all, 1.0));
    println!(
        "{what} size={size} n={} p50={p50:.2} p99={p99:.2} most={most:.2}",
        all.len()
    );
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, size, seeds, more @ ..] = &words[..] else {
        return eprintln!(
            "say a case (start, crash, heal, rest, wrong), a size and a number of seeds; rest: the loss; wrong: the loss \
             and hours; last: without health, suspicion or buddy"
        );
    };
    let (size, seeds): (usize, u64) = (size.parse().unwrap(), seeds.parse().unwrap());
    let mut rules = MembershipConfig::default();
    // Lifeguard's ideas, one of which may be left out.
    let without = more
        .iter()
        .skip_while(|w| *w != "without")
        .nth(1)
        .map(String::as_str);
    match without {
        None => {}
        Some("health") => rules.lifeguard.local_health = false,
        Some("suspicion") => rules.lifeguard.dynamic_suspicion = false,
        Some("buddy") => rules.lifeguard.buddy_system = false,
        Some(_) => return eprintln!("without health, suspicion or buddy"),
    }
    match case.as_str() {
        "start" => {
            let mut took = each(seeds, |seed| {
                let mut world = Simulation::new(rules.clone(), size, seed);
                world.record = false;
                (0..size).for_each(|i| world.start(i, &[0, 1]));
                let took = world
                    .wait(120 * S, Simulation::has_converged)
                    .unwrap_or(999 * S);
                if seeds == 1 {
                    // With more of them several worlds share the process.
                    let memory = memory_mb(std::process::id());
                    println!("memory size={size} MB a member={:.3}", memory / size as f64);
                }
                took
            });
            line("start-all-equal", size, &mut took);
        }
        "crash" => {
            let all = each(seeds, |seed| {
                let mut world = started(&rules, size, seed);
                let victim = size / 2;
                let name = format!("n{victim}");
                world.crash(victim);
                let knows =
                    |w: &Simulation, i: usize| w.member_state(i, &name) == Some(State::Down);
                let others: Vec<usize> = world.running();
                let one = world
                    .wait(60 * S, |w| others.iter().any(|i| knows(w, *i)))
                    .unwrap_or(999 * S);
                let rest = world
                    .wait(60 * S, |w| others.iter().all(|i| knows(w, *i)))
                    .unwrap_or(999 * S);
                [
                    one,
                    one + rest,
                    one + rest
                        + world
                            .wait(60 * S, Simulation::has_converged)
                            .unwrap_or(999 * S),
                ]
            });
            for (i, what) in ["crash-first", "crash-all-know", "crash-all-equal"]
                .into_iter()
                .enumerate()
            {
                line(
                    what,
                    size,
                    &mut all.iter().map(|t| t[i]).collect::<Vec<_>>(),
                );
            }
        }
        "heal" => {
            let mut took = each(seeds, |seed| {
                let mut world = started(&rules, size, seed);
                world.split(|i| i % 2);
                world.run(60 * S);
                let half = |i| {
                    world
                        .membership(i)
                        .is_some_and(|f| f.members().active_count() <= size.div_ceil(2))
                };
                assert!(
                    (0..size).all(half),
                    "the halves hold each other dead: {seed}"
                );
                world.heal();
                world
                    .wait(120 * S, Simulation::has_converged)
                    .unwrap_or(999 * S)
            });
            line("heal-all-equal", size, &mut took);
        }
        "rest" => {
            let loss: f64 = more.first().map_or(0.0, |l| l.parse().unwrap());
            for seed in 0..seeds {
                let mut world = started(&rules, size, seed);
                world.net.loss = loss;
                world.run(10 * S);
                let before: Vec<_> = (0..size).map(|i| world.sent(i)).collect();
                world.run(60 * S);
                let rate =
                    |of: fn(pipitlever_cluster_testing::membership_simulation::Sent) -> u64| {
                        let all: Vec<u64> = (0..size)
                            .map(|i| of(world.sent(i)) - of(before[i]))
                            .collect();
                        (
                            all.iter().sum::<u64>() as f64 / size as f64 / 60.0,
                            *all.iter().max().unwrap() as f64 / 60.0,
                        )
                    };
                println!("rest size={size} loss={loss} seed={seed} bytes/s mean,most={:.0?} datagrams/s={:.1?} streamed/s={:.0?}",
                    rate(|s| s.bytes), rate(|s| s.datagrams), rate(|s| s.streamed));
                let before: Vec<_> = (0..size).map(|i| world.sent(i)).collect();
                for i in 0..size / 5 {
                    world.crash(i * 5 + 2);
                }
                let took = world.wait(60 * S, Simulation::has_converged);
                let live = world.running();
                let sent: u64 = live
                    .iter()
                    .map(|i| {
                        world.sent(*i).bytes + world.sent(*i).streamed
                            - before[*i].bytes
                            - before[*i].streamed
                    })
                    .sum();
                let s = took.unwrap_or(60 * S) as f64 / 1e6;
                println!(
                    "fifth size={size} seed={seed} settled after {s:.2} s, bytes/s meanwhile={:.0}",
                    sent as f64 / live.len() as f64 / s
                );
            }
        }
        "wrong" => {
            let loss: f64 = more[0].parse().unwrap();
            let hours: f64 = more[1].parse().unwrap();
            let all = each(seeds, |seed| {
                let mut world = started(&rules, size, seed);
                world.net.loss = loss;
                for i in 0..size / 20 {
                    world.lag(i * 20 + 3, 300_000);
                }
                world.record = true;
                let (mut down, mut suspect) = (0, 0);
                for _ in 0..(hours * 60.0) as usize {
                    world.run(60 * S);
                    for (_, _, event) in world.history.drain(..) {
                        match event {
                            Event::StateChanged {
                                state: State::Down, ..
                            } => down += 1,
                            Event::StateChanged {
                                state: State::Suspect,
                                ..
                            } => suspect += 1,
                            _ => {}
                        }
                    }
                }
                (down, suspect)
            });
            let (down, suspect) = all.iter().fold((0, 0), |sum, x| (sum.0 + x.0, sum.1 + x.1));
            println!(
                "wrong size={size} loss={loss} hours={hours} seeds={seeds} without={without:?}: down={down} suspect={suspect}, \
                 counted at each node"
            );
        }
        _ => eprintln!("no case {case}"),
    }
}
