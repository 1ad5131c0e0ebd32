//! Callers that try again, on nodes with the decision module in them, beside the simulated fleet:
//! what it is worth that a node knows of the others when it refuses. Work is emulated: cores that
//! are shared by all that is read and run.

use crate::membership_simulation::Simulation;
use fastrand::Rng;
use pipitlever_admission::{
    Action, BackpressureKind, Class, Controller, Event, Idempotency, Micros, Outcome, Request,
    Settings,
};
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::record::ServiceState;
use pipitlever_membership::spare_capacity::SpareCapacity;
use std::collections::BTreeMap;

/// One step of the emulation.
const STEP: Micros = 10_000;
/// How often a node looks at the others.
const LOOK: Micros = 100_000;
/// Callers learn so late that a node is gone.
const LIST: Micros = 2_000_000;
/// The mean work of a request, on one core, and what reading one takes of it.
const WORK: f64 = 300_000.0;
const READING: f64 = 0.25;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Nodes.
    pub nodes: usize,
    /// What is asked for, over what all cores can do.
    pub demand: f64,
    /// The share of nodes that die after a third of the time, and come back after two thirds.
    pub die: f64,
    /// How long it lasts.
    pub time: Micros,
    /// Nodes say where there is nowhere to go.
    pub advice: bool,
    /// The share of callers that heed what they are told, and whether the level is among that.
    pub heed: f64,
    /// As above.
    pub levels: bool,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Result {
    /// Requests.
    pub requests: u64,
    /// Tries of them that were read by a node.
    pub tries: u64,
    /// Worth asked for, and served within its wanted time.
    pub asked: f64,
    /// As above.
    pub served: f64,
    /// Worth of those that asked while nodes were gone, and what was served of it.
    pub asked_short: f64,
    /// As above.
    pub served_short: f64,
    /// Refusals, and those that said that there is nowhere to go: by the module, and by the view
    /// alone.
    pub refused: u64,
    /// As above.
    pub told: u64,
    /// As above.
    pub advised: u64,
}

struct Try {
    request: usize,
    /// Work that is left of the reading, then of the run; nothing while it is held.
    left: f64,
    running: bool,
    on_cores: bool,
    started: Micros,
}

struct Server {
    module: Controller,
    tries: BTreeMap<u64, Try>,
    timers: BTreeMap<(Micros, u64), ()>,
    level: f64,
    used: f64,
    elsewhere: SpareCapacity,
    up: bool,
}

struct Ask {
    class: usize,
    rank: f64,
    worth: f64,
    work: f64,
    born: Micros,
    heeds: bool,
    tried: Vec<usize>,
    over: bool,
}

fn settings(cores: f64) -> Settings {
    let class = |aim, deadline, worth| Class {
        latency_objective: aim,
        deadline,
        idempotency: Idempotency::Idempotent,
        priority_weight: worth,
        late_weight: 0.2,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class(2_700_000, 8_900_000, 1.0),
            class(2_200_000, 6_700_000, 2.0),
            class(2_200_000, 6_700_000, 5.0),
        ],
        cores,
        memory_kb: 56_000.0,
        run_memory_factor: 8.0,
        backpressure: BackpressureKind::Threshold,
        max_retry_after: 1_000_000,
        ..Settings::default()
    }
}

/// Plays a case.
pub fn play(case: Case, seed: u64) -> Result {
    const CORES: f64 = 6.0;
    let mut rng = Rng::with_seed(seed);
    let mut world = Simulation::new(MembershipConfig::default(), case.nodes, seed);
    world.record = false;
    (0..case.nodes).for_each(|i| world.start(i, &[0, 1]));
    world.wait(30_000_000, Simulation::has_converged);
    let server = |seed| Server {
        module: Controller::new(settings(CORES), seed),
        tries: BTreeMap::new(),
        timers: BTreeMap::new(),
        level: 0.0,
        used: 0.0,
        elsewhere: SpareCapacity::default(),
        up: true,
    };
    let mut servers: Vec<Server> = (0..case.nodes)
        .map(|i| server(seed * 1000 + i as u64))
        .collect();
    let mut asks: Vec<Ask> = Vec::new();
    let mut due: BTreeMap<(Micros, u64), usize> = BTreeMap::new();
    let (mut away, mut levels) = (vec![0; case.nodes], vec![0.0; case.nodes]);
    let (mut listed, mut gone_at) = (vec![true; case.nodes], vec![None; case.nodes]);
    let (mut result, mut next_id, mut count) = (Result::default(), 0u64, 0u64);
    let capacity = case.nodes as f64 * CORES / (WORK * (1.0 + READING)) * 1e6;
    let [third, two] = [case.time / 3, 2 * case.time / 3];
    let dying = (case.nodes as f64 * case.die) as usize;
    let mut now = 0;
    while now < case.time {
        if now == third / STEP * STEP {
            for i in 0..dying {
                world.crash(i);
                (servers[i].up, gone_at[i]) = (false, Some(now));
                for t in std::mem::take(&mut servers[i].tries).into_values() {
                    // Its caller hears of the end of the connection, and of a read may ask again.
                    due.insert(
                        (now + 1000, {
                            count += 1;
                            count
                        }),
                        t.request,
                    );
                }
            }
        }
        if now == two / STEP * STEP {
            for i in 0..dying {
                world.start(i, &[case.nodes - 1]);
                servers[i] = server(seed * 2000 + i as u64);
                (listed[i], gone_at[i]) = (true, None);
            }
        }
        for i in 0..dying {
            listed[i] &= gone_at[i].is_none_or(|at| now < at + LIST);
        }
        // New requests, as they come.
        let mut expected = capacity * case.demand * STEP as f64 / 1e6;
        while expected > 0.0 && rng.f64() < expected {
            let (share, heeds) = (rng.f64(), rng.f64() < case.heed);
            let class = if share < 0.56 {
                0
            } else if share < 0.86 {
                1
            } else {
                2
            };
            let worth = [1.0, 2.0, 5.0][class];
            let rank = (class as f64 + rng.f64()) / 3.0;
            let work = WORK * (0.7 + 0.6 * rng.f64());
            asks.push(Ask {
                class,
                rank,
                worth,
                work,
                born: now,
                heeds,
                tried: Vec::new(),
                over: false,
            });
            result.requests += 1;
            result.asked += worth;
            if (third..two).contains(&now) {
                result.asked_short += worth;
            }
            count += 1;
            due.insert((now + rng.i64(0..STEP), count), asks.len() - 1);
            expected -= 1.0;
        }
        // Tries that are due go to a node that is on the list, not tried yet, and not to be kept
        // away from.
        while let Some(entry) = due.first_entry().filter(|e| e.key().0 <= now) {
            let at = entry.remove();
            let ask = &mut asks[at];
            if ask.over || now - ask.born > 2_000_000 {
                continue;
            }
            let open = |i: &usize| {
                listed[*i]
                    && !ask.tried.contains(i)
                    && !(ask.heeds && (away[*i] > now || (case.levels && levels[*i] > ask.rank)))
            };
            let all: Vec<usize> = (0..case.nodes).filter(open).collect();
            if all.is_empty() {
                ask.over = true;
                continue;
            }
            let node = all[rng.usize(..all.len())];
            ask.tried.push(node);
            if !servers[node].up {
                count += 1;
                due.insert((now + 50_000, count), at);
                continue;
            }
            result.tries += 1;
            next_id += 1;
            let left = WORK * READING;
            servers[node].tries.insert(
                next_id,
                Try {
                    request: at,
                    left,
                    running: false,
                    on_cores: true,
                    started: 0,
                },
            );
        }
        for i in 0..case.nodes {
            if !servers[i].up {
                continue;
            }
            let mut events = Vec::new();
            step_cores(&mut servers[i], CORES, now, &asks, &mut events);
            let ticks: Vec<u64> = {
                let s = &mut servers[i];
                let ready: Vec<(Micros, u64)> = s
                    .timers
                    .range(..=(now, u64::MAX))
                    .map(|(k, ())| *k)
                    .collect();
                s.timers.retain(|k, ()| !ready.contains(k));
                ready.into_iter().map(|(_, tag)| tag).collect()
            };
            for tag in ticks {
                let on = servers[i].tries.values().filter(|t| t.on_cores).count() as f64;
                let core_use = Some(servers[i].used);
                events.push(Event::Timer {
                    tag,
                    cpu_utilization: core_use,
                    runnable: Some(on),
                    memory_utilization: Some(0.1),
                    connections: Some(8.0),
                });
            }
            let mut actions = Vec::new();
            servers[i].module.step(now, &events, &mut actions);
            for event in &events {
                let Event::Finished { id, .. } = event else {
                    continue;
                };
                let Some(done) = servers[i].tries.remove(id) else {
                    continue;
                };
                let ask = &mut asks[done.request];
                let aim = [2_700_000, 2_200_000, 2_200_000][ask.class];
                if !ask.over && now - ask.born <= aim {
                    result.served += ask.worth;
                    if (third..two).contains(&ask.born) {
                        result.served_short += ask.worth;
                    }
                }
                ask.over = true;
                levels[i] = servers[i].level;
            }
            for action in actions {
                match action {
                    Action::Run(id) => {
                        if let Some(t) = servers[i].tries.get_mut(&id) {
                            (t.left, t.running, t.on_cores, t.started) =
                                (asks[t.request].work, true, true, now);
                        }
                    }
                    Action::Reject {
                        id,
                        retry_after: backoff,
                        no_retry,
                    } => {
                        let Some(t) = servers[i].tries.remove(&id) else {
                            continue;
                        };
                        let ask = &mut asks[t.request];
                        levels[i] = servers[i].level;
                        if backoff > 0 {
                            away[i] = away[i].max(now + backoff);
                        }
                        let nowhere = case.advice && servers[i].elsewhere.is_exhausted(ask.rank);
                        result.refused += 1;
                        result.told += u64::from(no_retry);
                        result.advised += u64::from(nowhere && !no_retry);
                        if (no_retry || nowhere) && ask.heeds {
                            ask.over = true;
                        } else {
                            count += 1;
                            due.insert((now + 10_000, count), t.request);
                        }
                    }
                    Action::Fail(id) => {
                        if let Some(t) = servers[i].tries.remove(&id) {
                            asks[t.request].over = true;
                        }
                    }
                    Action::Timer(after, tag) => {
                        servers[i].timers.insert((now + after, tag), ());
                    }
                    Action::Backpressure(level) => servers[i].level = level,
                    _ => {}
                }
            }
        }
        if now % LOOK == 0 {
            look(&mut world, &mut servers);
        }
        world.run(STEP);
        now += STEP;
    }
    result
}

/// Each node says how it is, and looks at the others.
fn look(world: &mut Simulation, servers: &mut [Server]) {
    for (i, server) in servers.iter_mut().enumerate().filter(|(_, s)| s.up) {
        // What it measures, not the mode of the moment: modes change several times a second.
        let cut = (server.module.status().queues[0]
            .priority_cutoff
            .clamp(0.0, 1.0)
            * 255.0) as u8;
        world.with_membership(i, |fleet, now| {
            fleet.set_service_state(ServiceState::Serving, b"");
            fleet.report_load(now, cut);
            server.elsewhere.update(
                now,
                fleet.local_name(),
                fleet.members(),
                fleet.is_partitioned(),
            );
        });
    }
}

/// All that is on the cores gets on; what was read arrives at the module, and what has run has
/// ended.
fn step_cores(server: &mut Server, cores: f64, now: Micros, asks: &[Ask], events: &mut Vec<Event>) {
    let on = server.tries.values().filter(|t| t.on_cores).count() as f64;
    server.used += 0.1 * ((on / cores).min(1.0) - server.used);
    let each = STEP as f64 * (cores / on.max(1.0)).min(1.0);
    for (id, t) in server.tries.iter_mut().filter(|(_, t)| t.on_cores) {
        t.left -= each;
        if t.left > 0.0 {
            continue;
        }
        t.on_cores = false;
        if t.running {
            events.push(Event::Finished {
                id: *id,
                elapsed: now - t.started,
                outcome: Outcome::Success,
            });
        } else {
            let ask = &asks[t.request];
            events.push(Event::Arrived(Request {
                id: *id,
                class: ask.class,
                timeout: Some(2_000_000 - (now - ask.born).min(1_900_000)),
                cost: Some(ask.work / 1000.0),
                memory_kb: 24.5,
                priority: ask.rank,
                is_retry: ask.tried.len() > 1,
                ..Request::default()
            }));
        }
    }
}
