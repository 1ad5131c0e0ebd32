//! Model checking of a small cluster: all interleavings of joins, crashes, restarts, a partition,
//! false suspicions, several processes of one name, and messages that are delayed, lost or
//! duplicated. From every reachable state, once faults stop, all views converge and match the
//! running processes.

mod cluster;

use cluster::{has_false_failure, Action, Bounds, Cluster, Host, InFlight};
use pipitlever_membership::record::State;
use stateright::{Checker, Model, Property};

impl Model for Bounds {
    type State = Cluster;
    type Action = Action;

    /// All hosts but the last run a process and have each other in their views; the last one joins
    /// later.
    fn init_states(&self) -> Vec<Cluster> {
        let count = self.names.len();
        let mut cluster = Cluster {
            hosts: vec![Host::empty(); count],
            in_flight: Vec::new(),
            is_partitioned: false,
            starts: 0,
            crashes: 0,
            partitions: 0,
            failed_probes: 0,
        };
        let initial: Vec<usize> = (0..count - 1).collect();
        for &host in &initial {
            self.start(&mut cluster, host);
        }
        for &sender in &initial {
            for (name, record) in cluster.hosts[sender].view.clone() {
                self.broadcast(&mut cluster, &initial, name, &record, 0);
            }
        }
        vec![cluster]
    }

    fn actions(&self, cluster: &Cluster, actions: &mut Vec<Action>) {
        for host in 0..cluster.hosts.len() {
            self.host_actions(cluster, host, actions);
        }
        for position in 0..cluster.in_flight.len() {
            actions.push(Action::Lose(position));
        }
        if cluster.is_partitioned {
            actions.push(Action::SetPartitioned(false));
        } else if cluster.partitions < self.partitions {
            actions.push(Action::SetPartitioned(true));
        }
    }

    fn next_state(&self, previous: &Cluster, action: Action) -> Option<Cluster> {
        let mut cluster = previous.clone();
        match action {
            Action::Start(host) => self.start(&mut cluster, host),
            Action::Crash(host) => {
                cluster.crashes += 1;
                cluster.hosts[host] = Host::empty();
            }
            Action::Leave(host) => {
                let Host { process, view } = &mut cluster.hosts[host];
                let process = process.as_mut()?;
                process.leave();
                view.insert(self.names[host], process.effective_record().clone());
            }
            Action::SetPartitioned(is_partitioned) => {
                cluster.partitions += usize::from(is_partitioned);
                cluster.is_partitioned = is_partitioned;
            }
            Action::Send(sender, name) => {
                let record = cluster.hosts[sender].view.get(&name)?.clone();
                cluster.in_flight.push(InFlight {
                    sender,
                    name,
                    record,
                });
                // A canonical order, so that equal sets of messages are one state.
                cluster
                    .in_flight
                    .sort_by_key(|message| format!("{message:?}"));
            }
            Action::Deliver(host, position) => {
                let InFlight { name, record, .. } = cluster.in_flight[position].clone();
                self.receive(&mut cluster, host, name, &record, 0);
            }
            Action::Lose(position) => {
                cluster.in_flight.remove(position);
            }
            Action::FailProbe(host, name) => {
                cluster.failed_probes += 1;
                cluster.hosts[host].view.get_mut(&name)?.state = State::Suspect;
            }
            Action::ExpireSuspicion(host, name) => {
                cluster.hosts[host].view.get_mut(&name)?.state = State::Down;
            }
        }
        (cluster != *previous).then_some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "views converge once faults stop",
                |bounds: &Bounds, cluster| bounds.check_convergence(cluster).is_ok(),
            ),
            Property::sometimes("a running member is considered down", has_false_failure),
        ]
    }
}

fn check(bounds: &Bounds) {
    let checker = bounds.clone().checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    for (property, path) in checker.discoveries() {
        if property == "views converge once faults stop" {
            let last = path.last_state().clone();
            panic!(
                "{property}: {:?}\nafter {:#?}",
                bounds.check_convergence(&last),
                path.into_actions()
            );
        }
    }
    assert!(checker.is_done() && checker.unique_state_count() > 1000);
    assert!(
        checker
            .discovery("a running member is considered down")
            .is_some(),
        "no reachable state has a running member considered down: the model has no faults"
    );
}

const DEFAULTS: Bounds = Bounds {
    names: Vec::new(),
    starts: 2,
    crashes: 0,
    partitions: 0,
    failed_probes: 0,
    has_decreasing_tokens: false,
    has_leaves: false,
};

#[test]
fn three_members_with_a_partition_and_a_false_suspicion() {
    check(&Bounds {
        names: vec![0, 1, 2],
        starts: 3,
        partitions: 1,
        failed_probes: 1,
        ..DEFAULTS
    });
}

/// Takes minutes; run with `--release -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn larger_models() {
    for has_decreasing_tokens in [false, true] {
        check(&Bounds {
            names: vec![0, 1, 2],
            starts: 3,
            partitions: 1,
            failed_probes: 2,
            has_decreasing_tokens,
            ..DEFAULTS
        });
        check(&Bounds {
            names: vec![0, 1, 0],
            starts: 4,
            crashes: 1,
            failed_probes: 2,
            has_decreasing_tokens,
            ..DEFAULTS
        });
        check(&Bounds {
            names: vec![0, 1],
            starts: 4,
            crashes: 2,
            partitions: 1,
            failed_probes: 2,
            has_decreasing_tokens,
            has_leaves: true,
        });
    }
}

#[test]
fn two_members_with_a_crash_a_restart_and_a_partition() {
    for has_decreasing_tokens in [false, true] {
        check(&Bounds {
            names: vec![0, 1],
            starts: 3,
            crashes: 1,
            partitions: 1,
            failed_probes: 2,
            has_decreasing_tokens,
            ..DEFAULTS
        });
    }
}

#[test]
fn two_processes_of_one_name() {
    for has_decreasing_tokens in [false, true] {
        check(&Bounds {
            names: vec![0, 1, 0],
            starts: 3,
            crashes: 1,
            failed_probes: 1,
            has_decreasing_tokens,
            ..DEFAULTS
        });
    }
}
