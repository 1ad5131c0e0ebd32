//! No node acts on a version after its retirement is complete: model checking of all orders in a
//! small system, and simulations with clocks that drift.

use pipitlever_config_versions::lease::{ClockDrift, ClockReading, Leases};
use pipitlever_config_versions::message::{DiskStamp, Heartbeat, Message};
use pipitlever_config_versions::retirement::{Retirement, Stage};
use pipitlever_config_versions::version::Version;
use proptest::prelude::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const ACCEPTORS: [&str; 3] = ["a", "b", "c"];
/// The version that is retired, and active until then.
const OLD: u64 = 1;
const NEVER_AFTER: &str = "no node acts after the retirement";
const TIME_LIMIT: Duration = Duration::from_secs(60);

fn newest() -> Version {
    let acceptors: Vec<String> = ACCEPTORS.iter().map(ToString::to_string).collect();
    Version {
        number: OLD + 1,
        proposer: "a".into(),
        ..Version::genesis(&acceptors)
    }
}

fn heartbeat(acceptor: usize, clock: i64, minimum_version: u64) -> Heartbeat {
    Heartbeat {
        acceptor: ACCEPTORS[acceptor].into(),
        incarnation: 1,
        clock,
        minimum_version,
        acceptors_since: 0,
    }
}

fn reading(remote: i64, requested_at: i64) -> ClockReading {
    ClockReading {
        incarnation: 1,
        remote,
        requested_at,
    }
}

fn retired(minimum_version: u64) -> Message {
    Message::Retired {
        minimum_version,
        pending: None,
        disk: DiskStamp::default(),
    }
}

/// A heartbeat in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentHeartbeat {
    acceptor: usize,
    clock: i64,
    minimum_version: u64,
}

/// A clock request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ClockRequest {
    acceptor: usize,
    requested_at: i64,
}

/// A clock response in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ClockResponse {
    acceptor: usize,
    requested_at: i64,
    clock: i64,
}

/// Three acceptors, a node that acts on the old version, and one that retires it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    now: i64,
    has_retired: [bool; 3],
    /// Messages that may arrive at any time or never.
    heartbeats: BTreeSet<SentHeartbeat>,
    requests: BTreeSet<ClockRequest>,
    responses: BTreeSet<ClockResponse>,
    leases: Leases,
    retirement: Retirement,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    SendHeartbeat(usize),
    DeliverHeartbeat(SentHeartbeat),
    RequestClock(usize),
    RespondClock(ClockRequest),
    DeliverClock(ClockResponse),
    Retire(usize),
    AcknowledgeRetirement(usize),
}

/// The system that is checked, with faults that are introduced on purpose.
#[derive(Clone, Copy, Default)]
struct LeaseModel {
    /// A lease counts from the clock response, not from the request.
    counts_from_response: bool,
    /// A retirement does not wait for leases.
    waits_for_nothing: bool,
    /// A retirement waits from the first acknowledgement.
    waits_from_first: bool,
}

const LEASE: i64 = 2;
const END: i64 = 6;
/// The number of heartbeats of an acceptor.
const MAX_HEARTBEATS: usize = 2;
const NO_DRIFT: ClockDrift = ClockDrift { ppm: 0 };

/// Returns an acceptor's clock, each of which began at another time.
fn clock(acceptor: usize, now: i64) -> i64 {
    now + 100 * acceptor as i64
}

impl System {
    fn minimum_version(&self, acceptor: usize) -> u64 {
        if self.has_retired[acceptor] {
            OLD + 1
        } else {
            0
        }
    }

    fn tick(&mut self, acceptors: &[String]) {
        self.now += 1;
        let second_clock = clock(1, self.now);
        self.leases
            .record_clock(ACCEPTORS[1], reading(second_clock, self.now), acceptors);
        self.leases
            .record_heartbeat(&heartbeat(1, second_clock, 0), acceptors);
        self.retirement.handle_timeout(self.now, &mut Vec::new());
    }

    fn may_act(&self) -> bool {
        self.leases
            .expires_at(OLD, &newest(), LEASE, NO_DRIFT)
            .is_some_and(|expires_at| self.now < expires_at)
    }

    fn is_complete(&self) -> bool {
        *self.retirement.stage() == Stage::Complete
    }
}

impl LeaseModel {
    fn acknowledge(self, system: &mut System, acceptor: usize) {
        let lease = if self.waits_for_nothing { 0 } else { LEASE };
        let mut senders = vec![ACCEPTORS[acceptor]];
        if self.waits_from_first {
            senders.push(ACCEPTORS[1]);
        }
        for sender in senders {
            system.retirement.handle_message(
                system.now,
                sender,
                &retired(OLD + 1),
                lease,
                NO_DRIFT,
            );
        }
    }
}

impl Model for LeaseModel {
    type State = System;
    type Action = Action;

    fn init_states(&self) -> Vec<System> {
        vec![System {
            now: 0,
            has_retired: [false; 3],
            heartbeats: BTreeSet::new(),
            requests: BTreeSet::new(),
            responses: BTreeSet::new(),
            leases: Leases::default(),
            retirement: Retirement::new(OLD + 1, newest(), 0),
        }]
    }

    fn actions(&self, system: &System, actions: &mut Vec<Action>) {
        if system.now < END {
            actions.push(Action::Tick);
        }
        // The first acceptor's messages arrive at any time. The second one never retires, and its
        // messages arrive at once (in `Tick`): with it the first one is a quorum for the node, and
        // with the third one a quorum for the retirement.
        for acceptor in [0, 2] {
            actions.push(Action::Retire(acceptor));
            if system.has_retired[acceptor] {
                actions.push(Action::AcknowledgeRetirement(acceptor));
            }
        }
        let first = 0;
        let sent = system.heartbeats.iter().filter(|h| h.acceptor == first);
        if sent.count() < MAX_HEARTBEATS {
            actions.push(Action::SendHeartbeat(first));
        }
        if !system.requests.iter().any(|r| r.acceptor == first) {
            actions.push(Action::RequestClock(first));
        }
        let heartbeats = system.heartbeats.iter().copied();
        actions.extend(heartbeats.map(Action::DeliverHeartbeat));
        let is_answered = |request: &&ClockRequest| {
            system
                .responses
                .iter()
                .any(|response| response.acceptor == request.acceptor)
        };
        let open = system.requests.iter().filter(|r| !is_answered(r));
        actions.extend(open.copied().map(Action::RespondClock));
        let responses = system.responses.iter().copied();
        actions.extend(responses.map(Action::DeliverClock));
    }

    fn next_state(&self, system: &System, action: Action) -> Option<System> {
        let mut next = system.clone();
        let acceptors = newest().acceptors;
        match action {
            Action::Tick => next.tick(&acceptors),
            Action::SendHeartbeat(acceptor) => {
                next.heartbeats.insert(SentHeartbeat {
                    acceptor,
                    clock: clock(acceptor, next.now),
                    minimum_version: next.minimum_version(acceptor),
                });
            }
            Action::DeliverHeartbeat(sent) => {
                let heartbeat = heartbeat(sent.acceptor, sent.clock, sent.minimum_version);
                next.leases.record_heartbeat(&heartbeat, &acceptors);
            }
            Action::RequestClock(acceptor) => {
                next.requests.insert(ClockRequest {
                    acceptor,
                    requested_at: next.now,
                });
            }
            Action::RespondClock(request) => {
                next.responses.insert(ClockResponse {
                    acceptor: request.acceptor,
                    requested_at: request.requested_at,
                    clock: clock(request.acceptor, next.now),
                });
            }
            Action::DeliverClock(response) => {
                let counted_from = if self.counts_from_response {
                    next.now
                } else {
                    response.requested_at
                };
                let reading = reading(response.clock, counted_from);
                next.leases
                    .record_clock(ACCEPTORS[response.acceptor], reading, &acceptors);
            }
            Action::Retire(acceptor) => next.has_retired[acceptor] = true,
            Action::AcknowledgeRetirement(acceptor) => self.acknowledge(&mut next, acceptor),
        }
        (next != *system).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_AFTER, |_, system: &System| {
                !(system.may_act() && system.is_complete())
            }),
            Property::sometimes("a node acts during the retirement", |_, system: &System| {
                system.may_act() && matches!(system.retirement.stage(), Stage::AwaitingExpiry(_))
            }),
            Property::sometimes("the retirement is complete", |_, system: &System| {
                system.is_complete()
            }),
        ]
    }
}

/// The result of a check.
struct Checked {
    states: usize,
    is_violated: bool,
}

fn check(model: LeaseModel) -> Checked {
    let start = Instant::now();
    let checker = model
        .checker()
        .threads(4)
        .timeout(TIME_LIMIT)
        .spawn_bfs()
        .join();
    let is_violated = checker.discovery(NEVER_AFTER).is_some();
    assert!(
        is_violated || start.elapsed() < TIME_LIMIT,
        "not all states were reached in time"
    );
    if !is_violated {
        checker.assert_properties();
    }
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    Checked {
        states: checker.unique_state_count(),
        is_violated,
    }
}

#[test]
fn in_no_order_does_a_node_act_after_the_retirement() {
    let checked = check(LeaseModel::default());
    assert!(checked.states > 1000 && !checked.is_violated);
}

#[test]
fn the_model_detects_faults_in_leases() {
    for model in [
        LeaseModel {
            counts_from_response: true,
            ..LeaseModel::default()
        },
        LeaseModel {
            waits_for_nothing: true,
            ..LeaseModel::default()
        },
        LeaseModel {
            waits_from_first: true,
            ..LeaseModel::default()
        },
    ] {
        assert!(check(model).is_violated);
    }
}

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
            panic!("it acts {} us after the retirement", now - completed_at);
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

/// Maximum drift, with the last heartbeat right before the retirement: random draws seldom come
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
