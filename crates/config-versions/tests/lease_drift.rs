//! Simulations of leases with clocks that drift: no node acts on a version after its retirement is
//! complete.

mod lease_fixtures;

use lease_fixtures::{heartbeat, newest, reading, retired, ClockResponse, ACCEPTORS, OLD};
use pipitlever_config_versions::lease::{ClockDrift, Leases};
use pipitlever_config_versions::message::Heartbeat;
use pipitlever_config_versions::retirement::Retirement;
use proptest::prelude::*;

/// The position of the node's clock.
const NODE: usize = 3;
/// The position of the clock of the acceptor that retires.
const RETIRER: usize = 4;
const STEP: i64 = 100_000;
const STEPS: i64 = 4500;
/// Acceptors send heartbeats every two seconds.
const STEPS_PER_HEARTBEAT: i64 = 20;
/// No lease is required before this time.
const START_UP: i64 = 2_000_000;
const SIMULATED_LEASE: i64 = 10_000_000;

/// A clock with an offset, and a drift in parts per million.
#[derive(Clone, Copy)]
struct DriftingClock {
    offset: i64,
    drift_ppm: i64,
}

impl DriftingClock {
    fn read(self, now: i64) -> i64 {
        let drift = now as i128 * i128::from(self.drift_ppm) / 1_000_000;
        self.offset + now + drift as i64
    }
}

/// The scenario of a simulation.
struct Scenario<'a> {
    /// The clocks of the acceptors, of the node, and of the acceptor that retires.
    clocks: [DriftingClock; 5],
    /// The delays of messages, used in turn.
    delays: &'a [i64],
    retire_at: i64,
    /// Whether the acceptors' heartbeats no longer reach the node once they have retired.
    is_cut_off: bool,
}

/// A message in flight.
struct InFlight<T> {
    arrives_at: i64,
    message: T,
}

/// The state of a simulation.
struct Simulation<'a> {
    scenario: Scenario<'a>,
    acceptors: Vec<String>,
    leases: Leases,
    retirement: Option<Retirement>,
    has_retired: [bool; 3],
    heartbeats: Vec<InFlight<Heartbeat>>,
    responses: Vec<InFlight<ClockResponse>>,
}

impl Simulation<'_> {
    fn new(scenario: Scenario) -> Simulation {
        Simulation {
            scenario,
            acceptors: newest().acceptors,
            leases: Leases::default(),
            retirement: None,
            has_retired: [false; 3],
            heartbeats: Vec::new(),
            responses: Vec::new(),
        }
    }

    fn delay(&self, index: i64) -> i64 {
        self.scenario.delays[(index % self.scenario.delays.len() as i64) as usize]
    }

    /// Sends a due heartbeat and a clock request of one acceptor.
    fn send(&mut self, step: i64, acceptor: usize) {
        let now = step * STEP;
        let has_retired = self.has_retired[acceptor];
        let acceptor_clock = self.scenario.clocks[acceptor];
        if step % STEPS_PER_HEARTBEAT == 0 && !(self.scenario.is_cut_off && has_retired) {
            let minimum_version = if has_retired { OLD + 1 } else { 0 };
            self.heartbeats.push(InFlight {
                arrives_at: now + self.delay(step + acceptor as i64),
                message: heartbeat(acceptor, acceptor_clock.read(now), minimum_version),
            });
        }
        let drift = ClockDrift::default();
        let node_clock = self.scenario.clocks[NODE].read(now);
        let is_requested = self
            .responses
            .iter()
            .any(|response| response.message.acceptor == acceptor);
        let name = ACCEPTORS[acceptor];
        if !is_requested
            && self
                .leases
                .needs_clock(name, node_clock, SIMULATED_LEASE, drift)
        {
            let there = self.delay(step + 7 + acceptor as i64);
            let back = self.delay(step + 13 + acceptor as i64);
            self.responses.push(InFlight {
                arrives_at: now + there + back,
                message: ClockResponse {
                    acceptor,
                    requested_at: node_clock,
                    clock: acceptor_clock.read(now + there),
                },
            });
        }
    }

    fn deliver(&mut self, now: i64) {
        for heartbeat in self.heartbeats.iter().filter(|h| h.arrives_at <= now) {
            self.leases
                .record_heartbeat(&heartbeat.message, &self.acceptors);
        }
        self.heartbeats.retain(|h| h.arrives_at > now);
        for response in self.responses.iter().filter(|r| r.arrives_at <= now) {
            let ClockResponse {
                acceptor,
                requested_at,
                clock,
            } = response.message;
            self.leases.record_clock(
                ACCEPTORS[acceptor],
                reading(clock, requested_at),
                &self.acceptors,
            );
        }
        self.responses.retain(|r| r.arrives_at > now);
    }

    /// Retires the version at two acceptors. Returns whether the retirement became complete.
    fn retire(&mut self, now: i64) -> bool {
        let retirer_clock = self.scenario.clocks[RETIRER].read(now);
        let retirement = self
            .retirement
            .get_or_insert_with(|| Retirement::new(OLD + 1, newest(), retirer_clock));
        for (acceptor, name) in ACCEPTORS.iter().enumerate().take(2) {
            self.has_retired[acceptor] = true;
            retirement.handle_message(
                retirer_clock,
                name,
                &retired(OLD + 1),
                SIMULATED_LEASE,
                ClockDrift::default(),
            );
        }
        retirement.handle_timeout(retirer_clock, &mut Vec::new())
    }

    fn may_act(&self, now: i64) -> bool {
        let node_clock = self.scenario.clocks[NODE].read(now);
        self.leases
            .expires_at(OLD, &newest(), SIMULATED_LEASE, ClockDrift::default())
            .is_some_and(|expires_at| node_clock < expires_at)
    }
}

/// Simulates a scenario. Fails if the node acts after the retirement, or has no lease before it.
fn simulate(scenario: Scenario) {
    let mut simulation = Simulation::new(scenario);
    let mut completed_at = None;
    let mut has_acted = false;
    for step in 0..STEPS {
        let now = step * STEP;
        for acceptor in 0..ACCEPTORS.len() {
            simulation.send(step, acceptor);
        }
        simulation.deliver(now);
        let retire_at = simulation.scenario.retire_at;
        if now >= retire_at && simulation.retire(now) {
            completed_at = Some(now);
        }
        let may_act = simulation.may_act(now);
        if let Some(completed_at) = completed_at.filter(|_| may_act) {
            panic!(
                "the node acts {} us after the retirement",
                now - completed_at
            );
        }
        has_acted |= may_act;
        assert!(
            may_act || now >= retire_at || now < START_UP,
            "no lease at {now}"
        );
    }
    assert!(has_acted && completed_at.is_some());
}

fn drifting_clocks(drifts: [i64; 5], offsets: [i64; 5]) -> [DriftingClock; 5] {
    std::array::from_fn(|i| DriftingClock {
        offset: offsets[i],
        drift_ppm: drifts[i],
    })
}

proptest! {
    #[test]
    fn drifting_clocks_break_neither_the_retirement_nor_the_lease(
        drifts in prop::array::uniform5(-10_000i64..=10_000),
        offsets in prop::array::uniform5(0i64..1_000_000_000_000),
        delays in prop::collection::vec(0i64..400_000, 64),
        retire_at in 20_000_000i64..400_000_000,
        is_cut_off in any::<bool>(),
    ) {
        simulate(Scenario {
            clocks: drifting_clocks(drifts, offsets),
            delays: &delays,
            retire_at,
            is_cut_off,
        });
    }
}

/// Maximum drift, with the last heartbeat right before the retirement: random cases rarely come
/// close to that.
#[test]
fn the_maximum_drift_does_not_break_the_retirement() {
    for acceptors in [-10_000, 10_000] {
        for (node, retirer) in [(-10_000, 10_000), (10_000, -10_000), (-10_000, -10_000)] {
            for heartbeats in [10, 20, 30, 40, 50, 100] {
                let drifts = [acceptors, acceptors, acceptors, node, retirer];
                simulate(Scenario {
                    clocks: drifting_clocks(drifts, [0; 5]),
                    delays: &[0; 64],
                    retire_at: heartbeats * 2_000_000 + STEP,
                    is_cut_off: true,
                });
            }
        }
    }
}
