//! A simulation of a whole fleet: nodes with skewed clocks, a lossy network, partitions and pauses.

use fastrand::Rng;
use pipitlever_config_versions::acceptor::AcceptorState;
use pipitlever_config_versions::message::{Message, Outgoing};
use pipitlever_config_versions::minimum_version::UnknownMinimum;
use pipitlever_config_versions::node::{
    Event, Node, Permission, Proposal, ProposeError, Role, Settings, StoredState, WithoutLease,
};
use pipitlever_config_versions::proposer::Outcome;
use std::collections::BTreeMap;

pub const MILLISECOND: i64 = 1000;
pub const SECOND: i64 = 1_000_000;
/// The simulated time per step.
pub const STEP: i64 = 20 * MILLISECOND;
/// The mean interval between gossip exchanges of a node.
const GOSSIP_INTERVAL: i64 = 500 * MILLISECOND;
/// The number of acceptors, which are the first nodes.
const ACCEPTORS: usize = 3;

/// One simulated machine.
pub struct Machine {
    pub node: Option<Node>,
    pub disk: Option<AcceptorState>,
    /// The offset of the machine's clock.
    clock_offset: i64,
    pub is_paused: bool,
    pub events: Vec<Event>,
    /// Whether the machine sends zeros in place of contents.
    pub corrupts_contents: bool,
}

/// A message in flight.
struct Delivery {
    sender: usize,
    recipient: usize,
    message: Message,
}

/// Nodes n0, n1 and so on, the first three of which are acceptors.
pub struct Fleet {
    pub now: i64,
    pub machines: Vec<Machine>,
    /// Machines are connected to those with the same value.
    pub partition: Vec<bool>,
    /// The probability that a message is lost.
    pub loss: f64,
    /// Messages by arrival time and sequence number.
    in_flight: BTreeMap<(i64, u64), Delivery>,
    last_sequence: u64,
    rng: Rng,
    without_lease: WithoutLease,
}

/// Returns the name of a node.
pub fn name(index: usize) -> String {
    format!("n{index}")
}

fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// Returns the settings of all nodes.
pub fn settings(without_lease: WithoutLease) -> Settings {
    Settings {
        acceptors: (0..ACCEPTORS).map(name).collect(),
        lease: 10 * SECOND,
        without_lease,
        unknown_minimum: UnknownMinimum::Wait,
    }
}

impl Fleet {
    pub fn new(count: usize, seed: u64, without_lease: WithoutLease) -> Fleet {
        let mut rng = Rng::with_seed(seed);
        let machines = (0..count)
            .map(|_| Machine {
                node: None,
                disk: None,
                clock_offset: rng.i64(0..3600 * SECOND),
                is_paused: false,
                events: Vec::new(),
                corrupts_contents: false,
            })
            .collect();
        let mut fleet = Fleet {
            now: 0,
            machines,
            partition: vec![false; count],
            loss: 0.0,
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng,
            without_lease,
        };
        (0..count).for_each(|index| fleet.start(index));
        fleet.run(3 * SECOND);
        fleet
    }

    /// Starts a process on a machine, from the acceptor state on its disk.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.u64(..);
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        let role = if index < ACCEPTORS {
            Role::Acceptor(machine.disk.clone().map(Box::new))
        } else {
            Role::Learner
        };
        let stored = StoredState {
            role,
            active: None,
            minimum_version: 0,
        };
        let settings = settings(self.without_lease);
        machine.node = Some(Node::new(&name(index), settings, stored, seed, now));
    }

    pub fn node(&mut self, index: usize) -> &mut Node {
        self.machines[index].node.as_mut().unwrap()
    }

    /// Returns a machine's clock.
    pub fn clock(&self, index: usize) -> i64 {
        self.machines[index].clock_offset + self.now
    }

    fn is_running(&self, index: usize) -> bool {
        self.machines[index].node.is_some() && !self.machines[index].is_paused
    }

    fn is_delivered(&mut self, sender: usize, recipient: usize) -> bool {
        self.partition[sender] == self.partition[recipient] && self.rng.f64() >= self.loss
    }

    /// Carries out a node's writes, activations and messages.
    fn process_outputs(&mut self, index: usize) {
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        let Some(node) = &mut machine.node else {
            return;
        };
        if let Some(write) = node.take_write() {
            machine.disk = Some(write.state);
            node.write_finished(now, write.number, true);
        }
        if let Some(candidate) = node.version_to_activate() {
            let number = candidate.version.number;
            if candidate.content.starts_with(b"unfit") {
                node.version_rejected(number, "it lacks a class".to_owned());
            } else {
                node.version_activated(number);
            }
        }
        machine.events.extend(node.take_events());
        for Outgoing { recipient, message } in node.take_outgoing() {
            assert!(message == Message::decode(&message.encode()).unwrap());
            let recipient = index_of(&recipient);
            if self.is_delivered(index, recipient) {
                let arrives_at = self.now + self.rng.i64(200..2000);
                self.put_in_flight(
                    arrives_at,
                    Delivery {
                        sender: index,
                        recipient,
                        message,
                    },
                );
            }
        }
    }

    fn put_in_flight(&mut self, arrives_at: i64, delivery: Delivery) {
        self.last_sequence += 1;
        self.in_flight
            .insert((arrives_at, self.last_sequence), delivery);
    }

    pub fn run(&mut self, duration: i64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_due();
            for index in 0..self.machines.len() {
                if self.is_running(index) {
                    self.step(index);
                }
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(((arrives_at, _), delivery)) = self.in_flight.pop_first() {
            if arrives_at > self.now {
                self.put_in_flight(arrives_at, delivery);
                break;
            }
            let recipient = delivery.recipient;
            let now = self.clock(recipient);
            let machine = &mut self.machines[recipient];
            if machine.is_paused {
                continue;
            }
            if let Some(node) = &mut machine.node {
                node.handle_message(now, &name(delivery.sender), &delivery.message);
            }
            self.process_outputs(recipient);
        }
    }

    /// Runs one node's timers, an occasional gossip exchange, and its chunk requests.
    fn step(&mut self, index: usize) {
        let now = self.clock(index);
        if self.node(index).next_wakeup() <= now {
            self.node(index).handle_timeout(now);
        }
        let count = self.machines.len();
        let peer = (index + 1 + self.rng.usize(..count - 1)) % count;
        if self.is_running(peer)
            && self.rng.i64(..GOSSIP_INTERVAL) < STEP
            && self.is_delivered(index, peer)
        {
            self.exchange_gossip(index, peer);
        }
        self.fetch_chunk(index);
        self.process_outputs(index);
    }

    fn exchange_gossip(&mut self, index: usize, peer: usize) {
        let (now, peer_now) = (self.clock(index), self.clock(peer));
        let gossip = self.node(index).gossip();
        self.node(peer).handle_gossip(peer_now, &gossip);
        let gossip = self.node(peer).gossip();
        self.node(index).handle_gossip(now, &gossip);
        self.process_outputs(peer);
    }

    fn fetch_chunk(&mut self, index: usize) {
        let now = self.clock(index);
        let others: Vec<String> = (0..self.machines.len())
            .filter(|other| *other != index)
            .map(name)
            .collect();
        let others: Vec<&str> = others.iter().map(String::as_str).collect();
        let Some(request) = self.node(index).next_chunk_request(now, &others) else {
            return;
        };
        let source = index_of(&request.recipient);
        if !self.is_running(source) || !self.is_delivered(index, source) {
            return;
        }
        let is_corrupt = self.machines[source].corrupts_contents;
        let mut chunk = self
            .node(source)
            .content_chunk(request.digest, request.offset);
        if let Some(chunk) = chunk.as_mut().filter(|_| is_corrupt) {
            chunk.bytes.fill(0);
        }
        self.node(index).handle_chunk(
            now,
            &request.recipient,
            request.digest,
            request.offset,
            chunk,
        );
    }

    /// Proposes a version on top of the newest one that the node knows.
    pub fn propose(&mut self, index: usize, content: &[u8]) -> Result<u64, ProposeError> {
        let now = self.clock(index);
        let base = self.node(index).newest().number;
        let result = self.node(index).propose(now, proposal(base, content));
        self.process_outputs(index);
        result
    }

    /// Runs until these nodes act on a version, and returns how long that took.
    pub fn run_until_active(&mut self, nodes: &[usize], number: u64) -> i64 {
        let start = self.now;
        while !nodes
            .iter()
            .all(|index| self.active_versions()[*index] == Some(number))
        {
            assert!(
                self.now < start + 60 * SECOND,
                "not all nodes act on version {number}: {:?}",
                self.active_versions()
            );
            self.run(STEP);
        }
        self.now - start
    }

    pub fn active_versions(&self) -> Vec<Option<u64>> {
        self.machines
            .iter()
            .map(|machine| machine.node.as_ref().map(Node::active_version))
            .collect()
    }

    pub fn permission(&mut self, index: usize) -> Permission {
        let now = self.clock(index);
        self.node(index).permission(now)
    }

    pub fn may_act(&mut self, index: usize) -> bool {
        matches!(self.permission(index), Permission::Granted { .. })
    }

    /// Returns the outcomes of the proposals started at a node.
    pub fn outcomes(&self, index: usize) -> Vec<Outcome> {
        let outcome = |event: &Event| match event {
            Event::ProposalFinished(outcome) => Some(outcome.clone()),
            _ => None,
        };
        self.machines[index]
            .events
            .iter()
            .filter_map(outcome)
            .collect()
    }
}

/// Returns a proposal with a valid reason.
pub fn proposal(base: u64, content: &[u8]) -> Proposal {
    Proposal {
        base,
        content: content.to_vec(),
        acceptors: None,
        reverts: None,
        proposed_at_ms: 0,
        reason: "a test".into(),
    }
}
