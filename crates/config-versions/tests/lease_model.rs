//! Model checking of leases: in no order of events in a small system does a node act on a version
//! after its retirement is complete.

mod lease_fixtures;

use lease_fixtures::{heartbeat, newest, reading, retired, ClockResponse, ACCEPTORS, OLD};
use pipitlever_config_versions::lease::{ClockDrift, Leases};
use pipitlever_config_versions::retirement::{Retirement, Stage};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const NO_ACTION_AFTER_RETIREMENT: &str = "no node acts after the retirement";
const TIME_LIMIT: Duration = Duration::from_secs(60);
const LEASE: i64 = 2;
const END: i64 = 6;
/// The number of heartbeats of an acceptor.
const MAX_HEARTBEATS: usize = 2;
const NO_DRIFT: ClockDrift = ClockDrift { ppm: 0 };

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
        // messages arrive at once (in `Tick`). The first two are a quorum for the node, and the
        // first and the third one are a quorum for the retirement.
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
            Property::always(NO_ACTION_AFTER_RETIREMENT, |_, system: &System| {
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
    let is_violated = checker.discovery(NO_ACTION_AFTER_RETIREMENT).is_some();
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
