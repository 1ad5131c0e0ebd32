//! The modelled cluster: hosts, messages in flight, and the steps of the model.

use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::record::{Record, State};
use pipitlever_membership::update_rules::{evaluate_update, UpdateEffect};
use std::collections::BTreeMap;

/// Maximum number of messages in flight. Each may be delivered to any process any number of times.
pub const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of rounds until views have to be stable.
pub const MAX_ROUNDS: i64 = 40;

/// Member name, modelled as a number.
pub type Name = usize;

/// A host that runs at most one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    pub process: Option<LocalMember>,
    /// Records in the view of the process, by name.
    pub view: BTreeMap<Name, Record>,
}

impl Host {
    pub fn empty() -> Host {
        Host {
            process: None,
            view: BTreeMap::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlight {
    pub sender: usize,
    pub name: Name,
    pub record: Record,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cluster {
    pub hosts: Vec<Host>,
    pub in_flight: Vec<InFlight>,
    /// Whether the first host is separated from the others.
    pub is_partitioned: bool,
    pub starts: u64,
    pub crashes: usize,
    pub partitions: usize,
    pub failed_probes: usize,
}

impl Cluster {
    pub fn running(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|host| self.hosts[*host].process.is_some())
            .collect()
    }

    pub fn is_separated(&self, a: usize, b: usize) -> bool {
        self.is_partitioned && (a == 0) != (b == 0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Start(usize),
    Crash(usize),
    Leave(usize),
    SetPartitioned(bool),
    /// A host sends its record of a name.
    Send(usize, Name),
    /// A host receives the message at this position.
    Deliver(usize, usize),
    Lose(usize),
    /// A host's probe of a name fails.
    FailProbe(usize, Name),
    /// A host's suspicion of a name times out.
    ExpireSuspicion(usize, Name),
}

/// Bounds of the model: the member name of each host, and how often each fault may happen.
#[derive(Clone)]
pub struct Bounds {
    pub names: Vec<Name>,
    pub starts: u64,
    pub crashes: usize,
    pub partitions: usize,
    pub failed_probes: usize,
    /// Whether later processes have lower tokens. Tokens are random, so both orders occur.
    pub has_decreasing_tokens: bool,
    pub has_leaves: bool,
}

impl Bounds {
    pub fn start(&self, cluster: &mut Cluster, host: usize) {
        cluster.starts += 1;
        let token = if self.has_decreasing_tokens {
            100 - cluster.starts
        } else {
            cluster.starts
        };
        let address = ([127, 0, 0, 1], host as u16 + 1).into();
        let process = LocalMember::new(token, address, "");
        cluster.hosts[host] = Host {
            view: [(self.names[host], process.record.clone())].into(),
            process: Some(process),
        };
    }

    pub fn receive(
        &self,
        cluster: &mut Cluster,
        host: usize,
        name: Name,
        record: &Record,
        now: i64,
    ) {
        let is_own_name = self.names[host] == name;
        let Host { process, view } = &mut cluster.hosts[host];
        let Some(process) = process else { return };
        if is_own_name {
            process.handle_update(now, record);
            view.insert(name, process.effective_record().clone());
            return;
        }
        let Some(current) = view.get_mut(&name) else {
            view.insert(name, record.clone());
            return;
        };
        match evaluate_update(current, false, record) {
            UpdateEffect::Ignored => {}
            UpdateEffect::Suspicion => {
                current.merge(record);
            }
            UpdateEffect::UnconfirmedFailure(suspected) => {
                current.merge(&suspected);
            }
            UpdateEffect::Replaced(replacement) => *current = replacement,
        }
    }

    pub fn broadcast(
        &self,
        cluster: &mut Cluster,
        recipients: &[usize],
        name: Name,
        record: &Record,
        now: i64,
    ) {
        for &recipient in recipients {
            self.receive(cluster, recipient, name, record, now);
        }
    }

    /// Runs the cluster without further faults until it is stable, and checks the views.
    pub fn check_convergence(&self, cluster: &Cluster) -> Result<(), String> {
        let mut cluster = cluster.clone();
        cluster.is_partitioned = false;
        let all: Vec<usize> = (0..cluster.hosts.len()).collect();
        for message in std::mem::take(&mut cluster.in_flight) {
            self.broadcast(&mut cluster, &all, message.name, &message.record, 0);
        }
        let running = cluster.running();
        for round in 0.. {
            if round > MAX_ROUNDS {
                return Err(format!("views are not stable after {MAX_ROUNDS} rounds"));
            }
            let previous = cluster.clone();
            self.exchange_views(&mut cluster, &running, round);
            self.run_failure_detectors(&mut cluster, &running);
            if cluster == previous {
                break;
            }
        }
        self.check_views(&cluster, &running)
    }

    /// Sends the view and the own record of every running host to all running hosts.
    pub fn exchange_views(&self, cluster: &mut Cluster, running: &[usize], round: i64) {
        for &sender in running {
            for (name, record) in cluster.hosts[sender].view.clone() {
                self.broadcast(cluster, running, name, &record, round);
            }
            let own_record = cluster.hosts[sender]
                .process
                .as_ref()
                .map(|process| process.record.clone());
            if let Some(record) = own_record {
                self.broadcast(cluster, running, self.names[sender], &record, round);
            }
        }
    }

    /// Advances suspicions of processes that do not run by one step, and expires rivals without
    /// contact.
    pub fn run_failure_detectors(&self, cluster: &mut Cluster, running: &[usize]) {
        let tokens: Vec<u64> = running
            .iter()
            .filter_map(|host| cluster.hosts[*host].process.as_ref())
            .map(|process| process.record.token)
            .collect();
        for &host in running {
            let own_name = self.names[host];
            let Host { process, view } = &mut cluster.hosts[host];
            for (name, current) in view.iter_mut().filter(|(name, _)| **name != own_name) {
                let has_process = running.iter().any(|host| self.names[*host] == *name);
                let is_running = has_process && tokens.contains(&current.token);
                if current.state.is_active() && !is_running {
                    current.state = if current.state == State::Alive {
                        State::Suspect
                    } else {
                        State::Down
                    };
                }
            }
            if let Some(process) = process {
                for token in &tokens {
                    process.record_rival_contact(*token, i64::MAX);
                }
                process.expire_rivals(i64::MAX);
                view.insert(own_name, process.effective_record().clone());
            }
        }
    }

    /// Checks that all running hosts have the same view, and that the view matches the running
    /// processes.
    pub fn check_views(&self, cluster: &Cluster, running: &[usize]) -> Result<(), String> {
        let Some(first) = running.first() else {
            return Ok(());
        };
        let view = &cluster.hosts[*first].view;
        for &host in running {
            if cluster.hosts[host].view != *view {
                return Err(format!(
                    "views differ: host {host} has {:?}, host {first} has {view:?}",
                    cluster.hosts[host].view
                ));
            }
        }
        for (name, current) in view {
            let processes: Vec<&LocalMember> = running
                .iter()
                .filter(|host| self.names[**host] == *name)
                .filter_map(|host| cluster.hosts[*host].process.as_ref())
                .collect();
            if !matches_processes(current, &processes) {
                return Err(format!(
                    "name {name}: {current:?} does not match the running processes {processes:?}"
                ));
            }
        }
        Ok(())
    }

    pub fn host_actions(&self, cluster: &Cluster, host: usize, actions: &mut Vec<Action>) {
        let Some(process) = &cluster.hosts[host].process else {
            if cluster.starts < self.starts {
                actions.push(Action::Start(host));
            }
            return;
        };
        if cluster.crashes < self.crashes {
            actions.push(Action::Crash(host));
        }
        if self.has_leaves && !process.is_leaving() {
            actions.push(Action::Leave(host));
        }
        for (&name, current) in &cluster.hosts[host].view {
            let message = InFlight {
                sender: host,
                name,
                record: current.clone(),
            };
            if cluster.in_flight.len() < MAX_IN_FLIGHT && !cluster.in_flight.contains(&message) {
                actions.push(Action::Send(host, name));
            }
            let is_other = name != self.names[host];
            if is_other
                && current.state == State::Alive
                && cluster.failed_probes < self.failed_probes
            {
                actions.push(Action::FailProbe(host, name));
            }
            if is_other && current.state == State::Suspect {
                actions.push(Action::ExpireSuspicion(host, name));
            }
        }
        for (position, message) in cluster.in_flight.iter().enumerate() {
            if message.sender != host && !cluster.is_separated(message.sender, host) {
                actions.push(Action::Deliver(host, position));
            }
        }
    }
}

/// Returns whether a record matches the processes that run under its name.
pub fn matches_processes(record: &Record, processes: &[&LocalMember]) -> bool {
    if processes.is_empty() {
        return !record.state.is_active();
    }
    if processes.iter().all(|process| process.is_leaving()) {
        return record.state == State::Left;
    }
    if processes.iter().any(|process| process.is_leaving()) {
        // A leaving process no longer refutes claims.
        return true;
    }
    let mut tokens: Vec<u64> = processes
        .iter()
        .map(|process| process.record.token)
        .collect();
    tokens.sort();
    let rivals = record.details.rivals.iter();
    let mut named: Vec<u64> = rivals
        .map(|rival| rival.token)
        .chain([record.token])
        .collect();
    named.sort();
    record.state == State::Alive && named == tokens
}

/// Returns whether some host's view has a member down whose process runs.
pub fn has_false_failure(bounds: &Bounds, cluster: &Cluster) -> bool {
    let running = cluster.running();
    cluster.hosts.iter().any(|host| {
        host.view.iter().any(|(name, current)| {
            current.state == State::Down
                && running.iter().any(|other| bounds.names[*other] == *name)
        })
    })
}
