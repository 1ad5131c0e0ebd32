//! Membership nodes on a simulated network under a virtual clock. Runs with the same seed and the
//! same calls are equal.

mod delivery;
mod network;
mod node;

use crate::event_queue::EventQueue;
use delivery::ScheduledEvent;
use fastrand::Rng;
use network::Stream;
use node::Node;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::Event;
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::record::{ServiceState, State};
use pipitlever_membership::{Membership, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use network::{address, NetworkConditions, TrafficCounters};

/// The name of the cluster that simulated nodes are members of.
pub const CLUSTER_NAME: &str = "sim";
/// Time for which a process that has announced its departure goes on before it ends.
const LEAVE_DURATION: Micros = 300_000;
/// Time between two evaluations of the condition of [`Simulation::wait_for`].
const CONDITION_INTERVAL: Micros = 10_000;

/// An event of a node's membership.
#[derive(Debug)]
pub struct RecordedEvent {
    /// The virtual time.
    pub at: Micros,
    /// The node that reported the event.
    pub node: usize,
    /// The event.
    pub event: Event,
}

/// A datagram from a simulated node to the external process.
#[derive(Debug)]
pub struct ExternalDatagram {
    /// The simulated node.
    pub sender: usize,
    /// The bytes.
    pub payload: Vec<u8>,
}

/// The nodes, and the network between them.
pub struct Simulation {
    /// The virtual time in microseconds. Each node has a clock that differs from it.
    pub now: Micros,
    /// Delay and faults of all links.
    pub network: NetworkConditions,
    /// All events of all nodes, in order, if `records_history` is set.
    pub history: Vec<RecordedEvent>,
    /// Whether events are recorded; set at the start.
    pub records_history: bool,
    config: MembershipConfig,
    cluster_name: &'static str,
    nodes: Vec<Node>,
    address_of: fn(usize) -> SocketAddr,
    node_by_address: BTreeMap<SocketAddr, usize>,
    /// The node whose process is a real one outside of the simulation.
    external_node: Option<usize>,
    external_datagrams: Vec<ExternalDatagram>,
    /// Whether the link from the first to the second node carries nothing.
    cut_links: Vec<Vec<bool>>,
    queue: EventQueue<ScheduledEvent>,
    streams: BTreeMap<u64, Stream>,
    last_stream: u64,
    rng: Rng,
}

impl Simulation {
    /// Creates nodes of which none has a process.
    pub fn new(config: MembershipConfig, node_count: usize, seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let nodes = (0..node_count)
            .map(|node| Node::new(format!("n{node}"), &mut rng))
            .collect();
        Simulation {
            now: 0,
            network: NetworkConditions::default(),
            history: Vec::new(),
            records_history: true,
            config,
            cluster_name: CLUSTER_NAME,
            nodes,
            address_of: address,
            node_by_address: (0..node_count).map(|node| (address(node), node)).collect(),
            external_node: None,
            external_datagrams: Vec::new(),
            cut_links: vec![vec![false; node_count]; node_count],
            queue: EventQueue::default(),
            streams: BTreeMap::new(),
            last_stream: 0,
            rng,
        }
    }

    /// Makes `node` a real process with this address. The other nodes get the addresses of
    /// `address_of` and the name of the real cluster.
    pub fn set_external_process(
        &mut self,
        address_of: fn(usize) -> SocketAddr,
        node: usize,
        external_address: SocketAddr,
    ) {
        self.address_of = address_of;
        self.cluster_name = crate::CLUSTER_NAME;
        self.node_by_address = (0..self.nodes.len())
            .map(|node| (address_of(node), node))
            .collect();
        self.node_by_address.insert(external_address, node);
        self.external_node = Some(node);
    }

    /// Takes the datagrams that were sent to the external process.
    pub fn take_external_datagrams(&mut self) -> Vec<ExternalDatagram> {
        std::mem::take(&mut self.external_datagrams)
    }

    /// Starts a process on a node under `name`, with the addresses of the nodes `seeds` as seeds.
    pub fn start_as(&mut self, node: usize, name: &str, seeds: &[usize]) {
        let token = self.rng.u64(..);
        let seed = self.rng.u64(..);
        let now = self.local_time(node);
        let local_member = LocalMember::new(token, (self.address_of)(node), "");
        let config = self.config.clone();
        let mut membership =
            Membership::new(config, self.cluster_name, name, local_member, seed, now);
        membership.set_seeds(seeds.iter().map(|seed| (self.address_of)(*seed)).collect());
        membership.set_service_state(ServiceState::Serving, b"");
        self.nodes[node].start(name, membership);
        self.process_output(node);
    }

    /// Starts a process on a node under the node's own name.
    pub fn start(&mut self, node: usize, seeds: &[usize]) {
        self.start_as(node, &format!("n{node}"), seeds);
    }

    /// Ends a node's process without notice.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].crash();
        self.streams
            .retain(|_, stream| stream.ends.iter().all(|end| end.node != node));
    }

    /// Lets a node announce its departure, and ends its process a moment later.
    pub fn leave(&mut self, node: usize) {
        let now = self.local_time(node);
        if let Some(membership) = &mut self.nodes[node].membership {
            membership.leave(now);
        }
        self.process_output(node);
        self.run_for(LEAVE_DURATION);
        self.crash(node);
    }

    /// Pauses a process as SIGSTOP does: it keeps its state, and its socket buffers datagrams.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].is_paused = true;
    }

    /// Resumes a paused process.
    pub fn resume(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].is_paused = false;
        // Timers run first: they could suspect members whose messages are still in the buffer.
        self.nodes[node].wakeup = Some(now);
        self.queue.schedule(now, ScheduledEvent::Wakeup { node });
        for datagram in self.nodes[node].take_buffered() {
            self.inject(node, datagram);
        }
    }

    /// Delays everything that a node does by up to `max_delay` microseconds from now on.
    pub fn set_max_scheduling_delay(&mut self, node: usize, max_delay: Micros) {
        self.nodes[node].set_max_scheduling_delay(max_delay);
    }

    /// Sets whether the link from one node to another carries nothing.
    pub fn set_link_cut(&mut self, sender: usize, recipient: usize, is_cut: bool) {
        self.cut_links[sender][recipient] = is_cut;
    }

    /// Partitions the network: nodes of different groups are cut off from each other.
    pub fn partition(&mut self, group: impl Fn(usize) -> usize) {
        for sender in 0..self.nodes.len() {
            for recipient in 0..self.nodes.len() {
                self.cut_links[sender][recipient] = group(sender) != group(recipient);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.partition(|_| 0);
    }

    /// The membership of a node's process, if one runs.
    pub fn membership(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].membership.as_ref()
    }

    /// Calls `operation` with a node's membership and local time, and sends what results from it.
    /// Returns `None` if no process runs.
    pub fn with_membership<T>(
        &mut self,
        node: usize,
        operation: impl FnOnce(&mut Membership, Micros) -> T,
    ) -> Option<T> {
        let now = self.local_time(node);
        let result = operation(self.nodes[node].membership.as_mut()?, now);
        self.process_output(node);
        Some(result)
    }

    /// The nodes with a process.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].membership.is_some())
            .collect()
    }

    /// What a node has sent.
    pub fn traffic(&self, node: usize) -> TrafficCounters {
        self.nodes[node].traffic
    }

    /// The state of the member `name` in a node's view; `None` if it is not in the view.
    pub fn member_state(&self, node: usize, name: &str) -> Option<State> {
        self.membership(node)?
            .members()
            .get(name)
            .filter(|member| !member.is_tombstone)
            .map(|member| member.record.state)
    }

    /// Whether the views of all running nodes are equal, and the members that are alive in them are
    /// exactly the running nodes.
    pub fn has_converged(&self) -> bool {
        let running = self.running();
        let Some(first) = running.first().and_then(|node| self.membership(*node)) else {
            return true;
        };
        let alive_count = first
            .members()
            .iter()
            .filter(|(_, member)| member.record.state == State::Alive && !member.is_tombstone)
            .count();
        let is_alive =
            |node: &usize| self.member_state(*node, &self.nodes[*node].name) == Some(State::Alive);
        let has_equal_view = |node: &usize| {
            self.membership(*node)
                .is_some_and(|membership| membership.digest() == first.digest())
        };
        alive_count == running.len()
            && running.iter().all(is_alive)
            && running.iter().all(has_equal_view)
    }

    /// Runs for a duration in microseconds.
    pub fn run_for(&mut self, duration: Micros) {
        self.run_until(self.now + duration);
    }

    /// Runs until a virtual time. Does nothing if it is past.
    pub fn run_until(&mut self, until: Micros) {
        if until < self.now {
            return;
        }
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    /// Runs until a condition holds, for `timeout` microseconds at most. Returns the time that it
    /// took, or `None` if the condition does not hold.
    pub fn wait_for(
        &mut self,
        timeout: Micros,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Micros> {
        let start = self.now;
        while self.now < start + timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run_for(CONDITION_INTERVAL);
        }
        condition(self).then_some(self.now - start)
    }

    fn local_time(&self, node: usize) -> Micros {
        self.nodes[node].local_time(self.now)
    }
}
