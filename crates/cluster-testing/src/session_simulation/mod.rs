//! Session directories of many nodes under a virtual clock: messages are lost, delayed or
//! duplicated, nodes start and fail, networks are partitioned, and each node applies a version of
//! the configuration at its own time. Runs with the same seed and the same calls are equal.

mod delivery;
mod model;

pub use model::{pool, FaultSettings, RouteOutcome, SimulatedWorker, TableSizes};

use crate::event_queue::EventQueue;
use delivery::Event;
use fastrand::Rng;
use pipitlever_session_affinity::directory::{
    DirectorySettings, Pool, Resolution, SessionDirectory, SessionKey,
};

/// Microseconds of virtual time.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
const LOOKUP_TIMEOUT: Micros = 60_000;
const MAX_SESSIONS: usize = 4_000_000;
/// The only pool of the simulation.
const POOL_INDEX: usize = 0;

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
    state.worker_id_at(position)
}

/// The number of the worker with this id.
fn worker_number(directory: &SessionDirectory, id: u32) -> u32 {
    let state = &directory.pools()[POOL_INDEX];
    let position = state.worker_index(id).expect("the version has the worker");
    let name = &state.pool.workers[position].name;
    name[1..].parse().expect("a worker's number")
}
