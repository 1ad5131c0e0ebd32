//! Many sessions through many versions that keep their worker, with a tenth of the messages lost
//! and nodes that restart: who moved without a cause. `cargo run --release -p
//! pipitlever-cluster-testing --example sessions -- NODES SESSIONS VERSIONS SEED`

use pipitlever_cluster_testing::session_simulation::{
    pool, FaultSettings, RouteOutcome, Simulation,
};
use std::time::Instant;

const S: i64 = 1_000_000;

fn main() {
    let words: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|w| w.parse().ok())
        .collect();
    let [nodes, sessions, versions, seed] = words[..] else {
        return eprintln!("usage: sessions NODES SESSIONS VERSIONS SEED");
    };
    let started = Instant::now();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut workers: Vec<(u32, f64, bool)> = (0..12).map(|w| (w, 1.0, true)).collect();
    let ways = FaultSettings {
        loss: 10.0,
        twice: 2.0,
        delay: 4_000,
        late: 0.0,
        news: 500_000,
    };
    let mut world = Simulation::new(nodes as usize, pool(&workers, 5 * S), ways, seed);
    while !world.filled() {
        world.run_until(world.now + S);
    }
    println!(
        "{nodes} nodes had what they are to remember {} s after they all started",
        world.now / S
    );
    let mut places: Vec<u32> = Vec::new();
    let (mut asked, mut waited, mut longest, mut nowhere) = (0u64, 0i64, 0i64, 0u64);
    let mut ask = |world: &mut Simulation, rng: &mut fastrand::Rng, key: u64| loop {
        let node = rng.usize(0..nodes as usize);
        if !world.there(node) {
            continue;
        }
        asked += 1;
        match world.ask(node, key) {
            RouteOutcome::Worker(worker, took) => {
                (waited, longest) = (waited + took, longest.max(took));
                return worker;
            }
            RouteOutcome::Unavailable => nowhere += 1,
        }
    };
    for key in 0..sessions {
        places.push(ask(&mut world, &mut rng, key));
    }
    let (mut without_cause, mut with_cause, mut wanted) = (0u64, 0u64, 0u64);
    let mut next = 12;
    for version in 0..versions {
        // Each tenth one takes a worker away; the others add one, and change the weights and the
        // order.
        let gone = (version % 10 == 9).then(|| workers.remove(rng.usize(0..workers.len())).0);
        if gone.is_none() {
            workers.push((next, 1.0, true));
            next += 1;
        }
        workers.iter_mut().for_each(|w| w.1 = 0.5 + rng.f64() * 3.0);
        rng.shuffle(&mut workers);
        world.publish(pool(&workers, 5 * S));
        if version % 5 == 0 {
            let i = rng.usize(0..nodes as usize);
            world.kill(i);
            world.run_until(world.now + S);
            world.start(i);
        }
        world.run_until(world.now + S);
        wanted += places.iter().filter(|p| Some(**p) == gone).count() as u64;
        for key in 0..sessions {
            let now = ask(&mut world, &mut rng, key);
            let before = std::mem::replace(&mut places[key as usize], now);
            match before == now {
                true => {}
                false if Some(before) == gone => with_cause += 1,
                false => without_cause += 1,
            }
        }
    }
    let (most, bytes) = world.memory();
    println!("{nodes} nodes, {sessions} sessions, {versions} versions, seed {seed}: {without_cause} moved without a cause, {with_cause} with one ({wanted} had to)");
    println!(
        "{asked} requests ({nowhere} refused), waited {:.2} ms in the mean and {:.1} at the most; a node remembers {most} at the most, all take {:.1} MB; {:.0} bytes sent a request; emulated {} s in {:.0} s",
        waited as f64 / asked as f64 / 1e3,
        longest as f64 / 1e3,
        bytes as f64 / 1048576.0,
        world.sent as f64 / asked as f64,
        world.now / S,
        started.elapsed().as_secs_f64()
    );
}
