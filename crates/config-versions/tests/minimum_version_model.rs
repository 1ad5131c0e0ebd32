//! Model checking of the minimum version: no process of a node acts on a version below one that any
//! process under its name has acted on. Covers all orders in a small system of three acceptors, a
//! node that crashes, is replaced, and has its disk restored or lost, and delayed responses.

use pipitlever_config_versions::minimum_version::MinimumVersion;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const ACCEPTORS: [&str; 3] = ["a", "b", "c"];
/// The number of versions.
const VERSIONS: u64 = 2;
/// The number of processes that are started.
const STARTS: u64 = 2;
/// How often the disk is copied, restored or lost.
const MAX_DISK_FAULTS: u8 = 2;
const TIME_LIMIT: Duration = Duration::from_secs(120);
const NO_ACTION_BELOW_MINIMUM: &str = "no process acts below the minimum version";

fn acceptors() -> Vec<String> {
    ACCEPTORS.iter().map(ToString::to_string).collect()
}

/// One process of the node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    minimum: MinimumVersion,
    active: u64,
    /// A version that is on the disk and not active yet.
    written: Option<u64>,
}

/// A response in flight, which may arrive at any time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Response {
    acceptor: usize,
    /// The number of the process that sent the request.
    start: u64,
    highest: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    /// The highest version that each acceptor has accepted.
    accepted: [u64; 3],
    /// The highest version that a quorum has accepted.
    decided: u64,
    process: Option<Process>,
    starts: u64,
    /// The minimum version on the disk.
    disk: u64,
    /// The minimum version on a backup of the disk.
    backup: u64,
    disk_faults: u8,
    responses: BTreeSet<Response>,
    /// The highest version that any process has acted on.
    highest: u64,
    /// Whether a process has acted on a lower version than that.
    has_violation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Accept(usize),
    Start,
    Crash,
    Replace,
    BackUp,
    Restore,
    LoseDisk,
    Respond(usize),
    Deliver(Response),
    Write(u64),
    Activate,
}

/// A fault that is introduced on purpose.
#[derive(Clone, Copy, Default, PartialEq)]
enum Fault {
    #[default]
    None,
    /// A process acts on the version on its disk before a quorum has answered.
    TrustsDisk,
    /// One acceptor is a quorum.
    SingleAcceptor,
    /// A response to an earlier process counts.
    StaleResponse,
    /// A process acts before the write.
    Unwritten,
}

#[derive(Clone, Copy, Default)]
struct MinimumVersionModel(Fault);

impl MinimumVersionModel {
    fn may_act(&self, process: &Process) -> bool {
        if self.0 == Fault::TrustsDisk {
            process.active >= process.minimum.number()
        } else {
            process.minimum.allows(process.active)
        }
    }

    fn deliver(&self, system: &mut System, response: &Response) -> Option<()> {
        system.responses.remove(response);
        let minimum = &mut system.process.as_mut()?.minimum;
        let nonce = if self.0 == Fault::StaleResponse {
            minimum.nonce()
        } else {
            response.start
        };
        let acceptor = ACCEPTORS[response.acceptor];
        let acceptors = if self.0 == Fault::SingleAcceptor {
            vec![acceptor.to_owned()]
        } else {
            acceptors()
        };
        minimum.handle_response(acceptor, nonce, response.highest, &acceptors);
        Some(())
    }

    fn write(&self, system: &mut System, version: u64) -> Option<()> {
        let process = system.process.as_mut()?;
        process.written = Some(version);
        if self.0 != Fault::Unwritten {
            system.disk = version.max(system.disk);
        }
        // The minimum rises before the version is active.
        process.minimum.raise(version);
        Some(())
    }

    /// Adds the actions of the running process, and of acceptors that respond to it.
    fn process_actions(&self, system: &System, process: &Process, actions: &mut Vec<Action>) {
        actions.push(Action::Crash);
        if system.starts < STARTS && self.may_act(process) {
            actions.push(Action::Replace);
        }
        let may_respond = |acceptor: &usize| {
            let has_responded = system
                .responses
                .iter()
                .any(|r| r.acceptor == *acceptor && r.start == system.starts);
            !process.minimum.is_known() && !has_responded
        };
        actions.extend((0..3).filter(may_respond).map(Action::Respond));
        if process.written.is_some() {
            actions.push(Action::Activate);
            return;
        }
        let may_write =
            |version: &u64| self.0 == Fault::TrustsDisk || process.minimum.allows(*version);
        actions.extend(
            (process.active + 1..=system.decided)
                .filter(may_write)
                .map(Action::Write),
        );
    }
}

impl System {
    /// Starts a process with the version on the disk, or the one of its predecessor.
    fn start(&mut self, predecessor_active: Option<u64>) {
        self.starts += 1;
        let mut minimum = MinimumVersion::new(self.disk, self.starts);
        if let Some(active) = predecessor_active {
            minimum.inherit(active);
        }
        self.process = Some(Process {
            minimum,
            active: predecessor_active.unwrap_or(self.disk),
            written: None,
        });
    }

    fn accept(&mut self, acceptor: usize) {
        self.accepted[acceptor] = self.decided + 1;
        let count = self.accepted.iter().filter(|a| **a > self.decided).count();
        if count >= 2 {
            self.decided += 1;
        }
    }

    fn disk_fault(&mut self, disk: u64, backup: u64) {
        self.disk = disk;
        self.backup = backup;
        self.disk_faults += 1;
    }
}

impl Model for MinimumVersionModel {
    type State = System;
    type Action = Action;

    fn init_states(&self) -> Vec<System> {
        vec![System {
            accepted: [0; 3],
            decided: 0,
            process: None,
            starts: 0,
            disk: 0,
            backup: 0,
            disk_faults: 0,
            responses: BTreeSet::new(),
            highest: 0,
            has_violation: false,
        }]
    }

    fn actions(&self, system: &System, actions: &mut Vec<Action>) {
        // The register decides one version at a time.
        let next = system.decided + 1;
        if next <= VERSIONS {
            let may_accept = |acceptor: &usize| system.accepted[*acceptor] < next;
            actions.extend((0..3).filter(may_accept).map(Action::Accept));
        }
        if system.disk_faults < MAX_DISK_FAULTS && system.disk != system.backup {
            actions.extend([Action::BackUp, Action::Restore]);
        }
        if system.disk_faults < MAX_DISK_FAULTS && system.disk != 0 {
            actions.push(Action::LoseDisk);
        }
        actions.extend(system.responses.iter().cloned().map(Action::Deliver));
        match &system.process {
            Some(process) => self.process_actions(system, process, actions),
            None if system.starts < STARTS => actions.push(Action::Start),
            None => {}
        }
    }

    fn next_state(&self, system: &System, action: Action) -> Option<System> {
        let mut next = system.clone();
        match action {
            Action::Accept(acceptor) => next.accept(acceptor),
            Action::Start => next.start(None),
            Action::Crash => next.process = None,
            Action::Replace => {
                let active = next.process.as_ref()?.active;
                next.start(Some(active));
            }
            Action::BackUp => next.disk_fault(system.disk, system.disk),
            Action::Restore => next.disk_fault(system.backup, system.backup),
            Action::LoseDisk => next.disk_fault(0, system.backup),
            Action::Respond(acceptor) => {
                next.responses.insert(Response {
                    acceptor,
                    start: system.starts,
                    highest: system.accepted[acceptor],
                });
            }
            Action::Deliver(response) => self.deliver(&mut next, &response)?,
            Action::Write(version) => self.write(&mut next, version)?,
            Action::Activate => {
                let process = next.process.as_mut()?;
                process.active = process.written.take()?;
            }
        }
        // Requests arrive continuously: a process that may act does so.
        if let Some(process) = next.process.as_ref().filter(|p| self.may_act(p)) {
            next.has_violation |= process.active < next.highest;
            next.highest = next.highest.max(process.active);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            NO_ACTION_BELOW_MINIMUM,
            |_, system: &System| !system.has_violation,
        )]
    }
}

/// Returns whether any order violates the property.
fn has_violation(fault: Fault) -> bool {
    let start = Instant::now();
    let checker = MinimumVersionModel(fault)
        .checker()
        .threads(4)
        .timeout(TIME_LIMIT)
        .spawn_bfs()
        .join();
    let is_violated = checker.discovery(NO_ACTION_BELOW_MINIMUM).is_some();
    assert!(
        is_violated || start.elapsed() < TIME_LIMIT,
        "not all states were reached in time"
    );
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    is_violated
}

#[test]
fn no_order_of_events_violates_the_minimum_version() {
    assert!(!has_violation(Fault::None));
}

#[test]
fn the_model_detects_faults_in_the_minimum_version() {
    for fault in [
        Fault::TrustsDisk,
        Fault::SingleAcceptor,
        Fault::StaleResponse,
    ] {
        assert!(has_violation(fault));
    }
    // The answers of the acceptors alone are sufficient for the property.
    assert!(!has_violation(Fault::Unwritten));
}
