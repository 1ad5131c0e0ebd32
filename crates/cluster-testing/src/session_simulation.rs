//! Session directories of many nodes under a virtual clock: messages are lost, delayed or
//! duplicated, nodes start and fail, networks are partitioned, and each node applies a version of
//! the configuration at its own time. Runs with the same seed and the same calls are equal.

use crate::event_queue::EventQueue;
use fastrand::Rng;
use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use pipitlever_session_affinity::message::Message;

/// Microseconds of virtual time.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
const LOOKUP_TIMEOUT: Micros = 60_000;
const MAX_SESSIONS: usize = 4_000_000;
const IDLE_TIMEOUT_SECONDS: u32 = 36 * 3600;
const DRAIN_GRACE: Micros = 36 * 3600 * SECOND;
/// The delay of a late message.
const LATE_DELAY: Micros = 2 * SECOND;
/// The only pool of the simulation.
const POOL_INDEX: usize = 0;

/// Faults of messages, and delays of membership and configuration updates.
#[derive(Clone, Copy, Debug)]
pub struct FaultSettings {
    /// The percentage of messages that are lost.
    pub loss_percent: f64,
    /// The percentage of messages that are delivered twice.
    pub duplication_percent: f64,
    /// The maximum delay of a message in microseconds.
    pub max_delay: Micros,
    /// The percentage of messages that are delayed by two seconds.
    pub late_percent: f64,
    /// The maximum time in microseconds until a node learns of a change of the membership or of a
    /// version.
    pub max_propagation_delay: Micros,
}

/// A worker of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SimulatedWorker {
    /// The number in the worker's name.
    pub number: u32,
    /// The weight for the placement of new sessions.
    pub weight: f64,
    /// Whether new sessions are placed on the worker; a worker that accepts none is draining.
    pub accepts_sessions: bool,
}

impl SimulatedWorker {
    /// A worker of weight 1 that accepts sessions.
    pub fn new(number: u32) -> SimulatedWorker {
        SimulatedWorker {
            number,
            weight: 1.0,
            accepts_sessions: true,
        }
    }

    fn name(number: u32) -> String {
        format!("w{number}")
    }

    fn settings(&self) -> WorkerSettings {
        WorkerSettings {
            name: SimulatedWorker::name(self.number),
            weight: self.weight,
            accepts_sessions: self.accepts_sessions,
            is_draining: !self.accepts_sessions,
        }
    }
}

/// The pool of these workers. Sessions stay on an ejected worker for `failure_grace` microseconds.
pub fn pool(workers: &[SimulatedWorker], failure_grace: Micros) -> Pool {
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers: workers.iter().map(SimulatedWorker::settings).collect(),
        idle_timeout_seconds: IDLE_TIMEOUT_SECONDS,
        failure_grace,
        drain_grace: DRAIN_GRACE,
    }
}

/// Where a node routes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// To a worker.
    Worker {
        /// The worker's number.
        number: u32,
        /// The time in microseconds that the lookup took.
        waited: Micros,
    },
    /// To no worker.
    Unavailable,
}

/// Sessions in the tables of all running nodes.
#[derive(Clone, Copy, Debug)]
pub struct TableSizes {
    /// Sessions in the largest table.
    pub max_sessions: usize,
    /// Bytes of all tables.
    pub total_bytes: usize,
}

enum Event {
    Message {
        sender: usize,
        recipient: usize,
        payload: Vec<u8>,
    },
    Wakeup(usize),
    /// A node learns of the current membership.
    MembershipChange(usize),
    /// A node applies a version.
    Activation {
        node: usize,
        version: usize,
    },
}

struct Node {
    /// `None` while the node does not run.
    directory: Option<SessionDirectory>,
    active_version: usize,
    /// Nodes of different groups are cut off from each other.
    group: usize,
    wakeup: Micros,
    /// Whether the other nodes know that the node has bootstrapped.
    is_bootstrap_announced: bool,
}

impl Node {
    fn new() -> Node {
        Node {
            directory: None,
            active_version: 0,
            group: 0,
            wakeup: Micros::MAX,
            is_bootstrap_announced: false,
        }
    }

    fn name(index: usize) -> String {
        format!("n{index}")
    }
}

/// The nodes, and the network between them.
pub struct Simulation {
    /// The virtual time in microseconds.
    pub now: Micros,
    /// Bytes of all messages that were sent.
    pub sent_bytes: u64,
    faults: FaultSettings,
    rng: Rng,
    nodes: Vec<Node>,
    /// The pool of each version, by number.
    versions: Vec<Pool>,
    queue: EventQueue<Event>,
    started_processes: u64,
    last_request: u64,
}

impl Simulation {
    /// Creates nodes that all start now with the first version.
    pub fn new(
        node_count: usize,
        first_version: Pool,
        faults: FaultSettings,
        seed: u64,
    ) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            sent_bytes: 0,
            faults,
            rng: Rng::with_seed(seed),
            nodes: (0..node_count).map(|_| Node::new()).collect(),
            versions: vec![first_version],
            queue: EventQueue::default(),
            started_processes: 0,
            last_request: 0,
        };
        (0..node_count).for_each(|node| simulation.start(node));
        simulation
    }

    /// Starts a node with an empty directory and the latest version.
    pub fn start(&mut self, index: usize) {
        self.started_processes += 1;
        let settings = DirectorySettings {
            lookup_timeout: LOOKUP_TIMEOUT,
            max_sessions: MAX_SESSIONS,
        };
        let mut directory = SessionDirectory::new(
            &Node::name(index),
            settings,
            Vec::new(),
            1_000,
            self.started_processes,
            self.now,
        );
        let version = self.versions.len() - 1;
        let pools = vec![self.versions[version].clone()];
        directory.set_pools(self.now, version as u64, pools);
        let node = &mut self.nodes[index];
        node.directory = Some(directory);
        node.is_bootstrap_announced = false;
        node.active_version = version;
        self.announce_membership();
    }

    /// Ends a node, which loses its directory.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].directory = None;
        self.announce_membership();
    }

    /// Partitions the network: nodes of different groups are cut off from each other.
    pub fn partition(&mut self, group: impl Fn(usize) -> usize) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.group = group(index);
        }
        self.announce_membership();
    }

    /// Lets every node learn of the current membership, each after a delay of its own.
    fn announce_membership(&mut self) {
        for node in 0..self.nodes.len() {
            let at = self.now + self.propagation_delay();
            self.queue.schedule(at, Event::MembershipChange(node));
        }
    }

    fn propagation_delay(&mut self) -> Micros {
        self.rng.i64(0..=self.faults.max_propagation_delay)
    }

    /// Publishes a version, which every node applies after a delay of its own.
    pub fn publish(&mut self, pool: Pool) {
        self.publish_to(pool, |_| true);
    }

    /// Publishes a version that reaches only some nodes.
    pub fn publish_to(&mut self, pool: Pool, is_reached: impl Fn(usize) -> bool) {
        self.versions.push(pool);
        let version = self.versions.len() - 1;
        for node in (0..self.nodes.len()).filter(|node| is_reached(*node)) {
            let at = self.now + self.propagation_delay();
            self.queue.schedule(at, Event::Activation { node, version });
        }
    }

    /// Starts additional nodes, all at once, until there are `node_count`.
    pub fn grow_to(&mut self, node_count: usize) {
        let previous_count = self.nodes.len();
        self.nodes.resize_with(node_count, Node::new);
        (previous_count..node_count).for_each(|node| self.start(node));
    }

    /// The number of nodes, including those that do not run.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Ejects these workers, and no others, on all nodes at once.
    pub fn set_ejected(&mut self, workers: &[u32]) {
        self.set_ejected_at(workers, |_| true);
    }

    /// Ejects these workers, and no others, on some nodes at once.
    pub fn set_ejected_at(&mut self, workers: &[u32], is_affected: impl Fn(usize) -> bool) {
        let now = self.now;
        for (_, node) in self
            .nodes
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| is_affected(*index))
        {
            let Some(directory) = &mut node.directory else {
                continue;
            };
            let ejected: Vec<u32> = workers
                .iter()
                .filter_map(|number| worker_id(directory, *number))
                .collect();
            directory.set_ejected_workers(now, POOL_INDEX, &ejected);
        }
    }

    /// Whether a node runs and accepts requests with sessions.
    pub fn is_ready(&self, index: usize) -> bool {
        self.nodes[index]
            .directory
            .as_ref()
            .is_some_and(SessionDirectory::is_ready)
    }

    /// Whether all running nodes have received the state that they replicate.
    pub fn has_bootstrapped(&self) -> bool {
        self.directories().all(SessionDirectory::is_bootstrapped)
    }

    /// The sizes of the tables of all running nodes.
    pub fn table_sizes(&self) -> TableSizes {
        let tables = || self.directories().map(SessionDirectory::table);
        TableSizes {
            max_sessions: tables().map(|table| table.len()).max().unwrap_or_default(),
            total_bytes: tables().map(|table| table.bytes()).sum(),
        }
    }

    fn directories(&self) -> impl Iterator<Item = &SessionDirectory> {
        self.nodes.iter().filter_map(|node| node.directory.as_ref())
    }

    /// Runs for a duration in microseconds.
    pub fn run_for(&mut self, duration: Micros) {
        self.run_until(self.now + duration);
    }

    /// Runs until a virtual time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = self.now.max(until);
    }

    fn handle_event(&mut self, event: Event) {
        let affected = match event {
            Event::Message {
                sender,
                recipient,
                payload,
            } => {
                self.deliver(sender, recipient, &payload);
                recipient
            }
            Event::Wakeup(index) => {
                if self.nodes[index].wakeup > self.now {
                    return;
                }
                self.wake(index);
                index
            }
            Event::MembershipChange(index) => {
                self.update_peers(index);
                index
            }
            Event::Activation { node, version } => {
                self.activate(node, version);
                node
            }
        };
        self.process_output(affected);
    }

    fn deliver(&mut self, sender: usize, recipient: usize, payload: &[u8]) {
        // A partition also stops the messages that are on their way.
        if self.nodes[sender].group != self.nodes[recipient].group {
            return;
        }
        let Some(directory) = &mut self.nodes[recipient].directory else {
            return;
        };
        if let Some(message) = Message::decode(payload) {
            directory.handle_message(self.now, &Node::name(sender), &message);
        }
    }

    fn wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.wakeup = Micros::MAX;
        if let Some(directory) = &mut node.directory {
            directory.handle_wakeup(self.now);
        }
    }

    fn update_peers(&mut self, index: usize) {
        let group = self.nodes[index].group;
        let is_peer = |peer: usize, node: &Node| {
            peer != index && node.group == group && node.directory.is_some()
        };
        let peers: Vec<Peer> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(peer, node)| is_peer(*peer, node))
            .map(|(peer, node)| Peer {
                name: Node::name(peer),
                is_bootstrapped: node.is_bootstrap_announced,
            })
            .collect();
        if let Some(directory) = &mut self.nodes[index].directory {
            directory.handle_membership_change(self.now, peers, true);
        }
    }

    fn activate(&mut self, index: usize, version: usize) {
        let node = &mut self.nodes[index];
        if version <= node.active_version {
            return;
        }
        if let Some(directory) = &mut node.directory {
            node.active_version = version;
            let pools = vec![self.versions[version].clone()];
            directory.set_pools(self.now, version as u64, pools);
        }
    }

    /// Sends a node's messages, schedules its next wakeup, and announces that it has bootstrapped.
    fn process_output(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(directory) = &mut node.directory else {
            return;
        };
        let messages = directory.take_messages();
        let next_wakeup = directory.next_wakeup().max(self.now + 1);
        let is_bootstrapped = directory.is_bootstrapped();
        let was_announced = std::mem::replace(&mut node.is_bootstrap_announced, is_bootstrapped);
        for message in messages {
            let recipient = message.recipient[1..].parse().expect("a node's number");
            self.send(index, recipient, &message.payload);
        }
        let node = &mut self.nodes[index];
        if next_wakeup < node.wakeup {
            node.wakeup = next_wakeup;
            self.queue.schedule(next_wakeup, Event::Wakeup(index));
        }
        if was_announced != is_bootstrapped {
            self.announce_membership();
        }
    }

    fn send(&mut self, sender: usize, recipient: usize, payload: &[u8]) {
        self.sent_bytes += payload.len() as u64;
        let copies = 1 + usize::from(self.draws(self.faults.duplication_percent));
        for _ in 0..copies {
            if self.draws(self.faults.loss_percent) {
                continue;
            }
            let is_late = self.draws(self.faults.late_percent);
            let delay = self.rng.i64(1..=self.faults.max_delay.max(1));
            let event = Event::Message {
                sender,
                recipient,
                payload: payload.to_vec(),
            };
            let at = self.now + if is_late { LATE_DELAY } else { delay };
            self.queue.schedule(at, event);
        }
    }

    /// Draws whether an event of this probability happens.
    fn draws(&mut self, percent: f64) -> bool {
        self.rng.f64() * 100.0 < percent
    }

    /// Routes a request of a session that arrives at a node.
    pub fn route_session(&mut self, index: usize, session: u64) -> RouteOutcome {
        self.resolve(index, SessionKey::Session(session))
    }

    /// Routes a request with an idempotency key, whose session is placed on `worker`, that arrives
    /// at a node.
    pub fn route_key(&mut self, index: usize, key: u64, worker: u32) -> RouteOutcome {
        let Some(directory) = &self.nodes[index].directory else {
            return RouteOutcome::Unavailable;
        };
        let worker = worker_id(directory, worker).expect("the version has the worker");
        self.resolve(index, SessionKey::IdempotencyKey(key, worker))
    }

    fn resolve(&mut self, index: usize, key: SessionKey) -> RouteOutcome {
        self.last_request += 1;
        let request = self.last_request;
        let start = self.now;
        let Some(directory) = &mut self.nodes[index].directory else {
            return RouteOutcome::Unavailable;
        };
        let mut resolution = directory.resolve(start, POOL_INDEX, key, request);
        while resolution == Resolution::Pending {
            self.process_output(index);
            let next_event = self.queue.next_time().unwrap_or(self.now + SECOND);
            self.run_until(next_event);
            let Some(directory) = &mut self.nodes[index].directory else {
                return RouteOutcome::Unavailable;
            };
            // Requests are resolved one at a time: all other resolutions are obsolete.
            if let Some(resolved) = directory
                .take_resolutions()
                .into_iter()
                .find(|resolved| resolved.request == request)
            {
                resolution = resolved.resolution;
            }
        }
        self.process_output(index);
        let Some(directory) = &self.nodes[index].directory else {
            return RouteOutcome::Unavailable;
        };
        match resolution {
            Resolution::Worker(worker) => RouteOutcome::Worker {
                number: worker_number(directory, worker),
                waited: self.now - start,
            },
            Resolution::Pending | Resolution::Unavailable => RouteOutcome::Unavailable,
        }
    }
}

/// The directory's id of a worker; `None` if the active version does not have it.
fn worker_id(directory: &SessionDirectory, number: u32) -> Option<u32> {
    let state = &directory.pools()[POOL_INDEX];
    let name = SimulatedWorker::name(number);
    let position = state
        .pool
        .workers
        .iter()
        .position(|worker| worker.name == name)?;
    state.id(position)
}

/// The number of the worker with this id.
fn worker_number(directory: &SessionDirectory, id: u32) -> u32 {
    let state = &directory.pools()[POOL_INDEX];
    let position = state.position(id).expect("the version has the worker");
    let name = &state.pool.workers[position].name;
    name[1..].parse().expect("a worker's number")
}
