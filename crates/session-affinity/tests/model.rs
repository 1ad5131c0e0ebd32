//! Model checking of a small cluster: three replicas, one session, clients that reach any node, a
//! configuration version that removes a worker and reaches each node at its own time, and messages
//! that are reordered or lost. From every reachable state, once faults stop, all nodes resolve the
//! session alike, and a session whose worker stays has not moved.

use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use pipitlever_session_affinity::message::Message;
use pipitlever_session_affinity::WorkerId;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

const NODES: usize = 3;
const WORKERS: [&str; 3] = ["a", "b", "c"];
const SESSION: SessionKey = SessionKey::Session(77);
const SETTINGS: DirectorySettings = DirectorySettings {
    lookup_timeout: 60_000,
    max_sessions: 10,
};
/// Time between two deliveries once faults have stopped, in microseconds.
const STEP: i64 = 5_000;
/// Maximum number of steps until no message is in flight.
const MAX_STEPS: usize = 400;
/// Time by which all retransmissions have ended, in microseconds.
const RETRANSMISSIONS_END: i64 = 2_000_000;
/// Maximum duration of a check.
const MAX_DURATION: Duration = Duration::from_secs(100);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlight {
    sender: usize,
    recipient: usize,
    payload: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Cluster {
    now: i64,
    nodes: Vec<SessionDirectory>,
    in_flight: BTreeSet<InFlight>,
    /// Number of requests that each node received.
    requests: [u8; NODES],
    /// Whether each node has the new version.
    has_version: [bool; NODES],
    losses: u8,
}

impl PartialEq for Cluster {
    fn eq(&self, other: &Cluster) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for Cluster {}

impl Hash for Cluster {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl Cluster {
    /// Moves a node's outgoing messages into flight.
    fn send_messages(&mut self, sender: usize) {
        self.nodes[sender].take_resolutions();
        for message in self.nodes[sender].take_messages() {
            let recipient = message.recipient[1..].parse().expect("a name like n1");
            self.in_flight.insert(InFlight {
                sender,
                recipient,
                payload: message.payload,
            });
        }
    }

    fn deliver(&mut self, message: &InFlight) {
        let decoded = Message::decode(&message.payload).expect("a node encoded it");
        let sender = format!("n{}", message.sender);
        self.nodes[message.recipient].handle_message(self.now, &sender, &decoded);
        self.send_messages(message.recipient);
    }

    fn wake_all(&mut self) {
        for node in 0..NODES {
            self.nodes[node].handle_wakeup(self.now);
            self.send_messages(node);
        }
    }

    /// Delivers all messages while time passes.
    fn run_without_faults(&mut self) {
        for _ in 0..MAX_STEPS {
            for message in std::mem::take(&mut self.in_flight) {
                self.deliver(&message);
            }
            self.now += STEP;
            self.wake_all();
            if self.in_flight.is_empty() && self.now > RETRANSMISSIONS_END {
                return;
            }
        }
    }

    fn apply_version(&mut self, node: usize, workers: &[&str]) {
        self.has_version[node] = true;
        self.nodes[node].set_pools(self.now, 1, vec![pool(workers)]);
    }

    /// Returns the worker to which a node resolves the session, without faults.
    fn resolve(&mut self, node: usize) -> Option<WorkerId> {
        loop {
            match self.nodes[node].resolve(self.now, 0, SESSION, 9) {
                Resolution::Worker(worker) => return Some(worker),
                Resolution::Unavailable => return None,
                Resolution::Pending => self.run_without_faults(),
            }
        }
    }
}

fn pool(workers: &[&str]) -> Pool {
    let workers = workers.iter().map(|name| WorkerSettings {
        name: (*name).into(),
        weight: 1.0,
        accepts_sessions: true,
        is_draining: false,
    });
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers: workers.collect(),
        idle_timeout_seconds: 3600,
        failure_grace: 5_000_000,
        drain_grace: 0,
    }
}

/// Creates a bootstrapped node without peers.
fn single_node(name: &str) -> SessionDirectory {
    let mut node = SessionDirectory::new(name, SETTINGS, vec![pool(&WORKERS)], 0, 0, 0);
    node.handle_membership_change(0, Vec::new(), true);
    node
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Request(usize),
    Deliver(InFlight),
    Lose(InFlight),
    ApplyVersion(usize),
    /// The lookups time out while messages are still in flight.
    ExpireLookups,
}

/// Bounds of the model.
#[derive(Clone, Copy)]
struct Bounds {
    requests: u8,
    losses: u8,
    has_timeouts: bool,
    has_version: bool,
    /// Whether the version removes the worker on which the session is first placed, rather than
    /// another one.
    removes_worker_of_session: bool,
}

/// What the version changes.
struct VersionChange {
    /// Worker on which the session is first placed.
    first_worker: WorkerId,
    /// Workers that the version retains.
    remaining: Vec<&'static str>,
}

impl Bounds {
    fn version_change(&self) -> VersionChange {
        let mut node = single_node("n0");
        let Resolution::Worker(first_worker) = node.resolve(0, 0, SESSION, 0) else {
            panic!("a single node resolves at once")
        };
        let position = node.pools()[0]
            .worker_index(first_worker)
            .expect("a worker of the pool");
        let removed = if self.removes_worker_of_session {
            position
        } else {
            (position + 1) % WORKERS.len()
        };
        let mut remaining = WORKERS.to_vec();
        remaining.remove(removed);
        VersionChange {
            first_worker,
            remaining,
        }
    }

    fn converges(&self, cluster: &Cluster) -> bool {
        let change = self.version_change();
        let mut cluster = cluster.clone();
        cluster.run_without_faults();
        if self.has_version {
            for node in 0..NODES {
                cluster.apply_version(node, &change.remaining);
            }
        }
        // The first round of requests moves the session where needed; the second one, after
        // verifications are due again, sees the result.
        for node in 0..NODES {
            cluster.resolve(node);
        }
        cluster.run_without_faults();
        cluster.now += 3_000_000;
        let workers: Vec<Option<WorkerId>> = (0..NODES).map(|node| cluster.resolve(node)).collect();
        let is_worker_retained = !(self.has_version && self.removes_worker_of_session);
        workers[0].is_some()
            && workers.iter().all(|worker| *worker == workers[0])
            && (workers[0] == Some(change.first_worker)) == is_worker_retained
    }
}

impl Model for Bounds {
    type State = Cluster;
    type Action = Action;

    fn init_states(&self) -> Vec<Cluster> {
        let names: Vec<String> = (0..NODES).map(|i| format!("n{i}")).collect();
        let peers = |own_name: &String| -> Vec<Peer> {
            let others = names.iter().filter(|name| *name != own_name);
            others
                .map(|name| Peer {
                    name: name.clone(),
                    is_bootstrapped: true,
                })
                .collect()
        };
        let node = |name: &String| {
            let mut node = single_node(name);
            node.handle_membership_change(0, peers(name), true);
            node.take_messages();
            node
        };
        vec![Cluster {
            now: 0,
            nodes: names.iter().map(node).collect(),
            in_flight: BTreeSet::new(),
            requests: [0; NODES],
            has_version: [false; NODES],
            losses: 0,
        }]
    }

    fn actions(&self, cluster: &Cluster, actions: &mut Vec<Action>) {
        if cluster.requests.iter().sum::<u8>() < self.requests {
            // Concurrent requests reach different nodes.
            let unused = (0..NODES).filter(|node| cluster.requests[*node] == 0);
            actions.extend(unused.map(Action::Request));
        }
        actions.extend(cluster.in_flight.iter().cloned().map(Action::Deliver));
        if cluster.losses < self.losses {
            actions.extend(cluster.in_flight.iter().cloned().map(Action::Lose));
        }
        if self.has_version {
            let old = (0..NODES).filter(|node| !cluster.has_version[*node]);
            actions.extend(old.map(Action::ApplyVersion));
        }
        if self.has_timeouts && cluster.now == 0 && !cluster.in_flight.is_empty() {
            actions.push(Action::ExpireLookups);
        }
    }

    fn next_state(&self, previous: &Cluster, action: Action) -> Option<Cluster> {
        let mut cluster = previous.clone();
        match action {
            Action::Request(node) => {
                cluster.requests[node] += 1;
                cluster.nodes[node].resolve(cluster.now, 0, SESSION, 1);
                cluster.send_messages(node);
            }
            Action::Deliver(message) => {
                cluster.in_flight.remove(&message);
                cluster.deliver(&message);
            }
            Action::Lose(message) => {
                cluster.in_flight.remove(&message);
                cluster.losses += 1;
            }
            Action::ApplyVersion(node) => {
                cluster.apply_version(node, &self.version_change().remaining);
            }
            Action::ExpireLookups => {
                cluster.now += SETTINGS.lookup_timeout + 1;
                cluster.wake_all();
            }
        }
        Some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "nodes agree once faults stop",
            Bounds::converges,
        )]
    }
}

fn check(bounds: Bounds) {
    let start = Instant::now();
    let checker = bounds
        .checker()
        .threads(4)
        .timeout(MAX_DURATION)
        .spawn_bfs()
        .join();
    println!(
        "{} states in {:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    assert!(
        start.elapsed() < MAX_DURATION,
        "not all states were reached in time"
    );
    checker.assert_properties();
}

const DEFAULTS: Bounds = Bounds {
    requests: 1,
    losses: 0,
    has_timeouts: false,
    has_version: false,
    removes_worker_of_session: false,
};

#[test]
fn concurrent_requests_at_two_nodes_resolve_to_one_worker() {
    check(Bounds {
        requests: 2,
        ..DEFAULTS
    });
}

#[test]
#[ignore = "600,000 states take most of a minute"]
fn concurrent_requests_with_lookup_timeouts_resolve_to_one_worker() {
    check(Bounds {
        requests: 2,
        has_timeouts: true,
        ..DEFAULTS
    });
}

#[test]
fn lost_messages_do_not_split_a_session() {
    check(Bounds {
        losses: 2,
        has_timeouts: true,
        ..DEFAULTS
    });
}

#[test]
fn a_version_moves_only_the_sessions_of_the_removed_worker() {
    for removes_worker_of_session in [true, false] {
        check(Bounds {
            has_timeouts: true,
            has_version: true,
            removes_worker_of_session,
            ..DEFAULTS
        });
    }
}
