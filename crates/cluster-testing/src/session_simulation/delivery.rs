//! Delivery of messages and updates, and the handling of what directories emit.

use super::{Micros, Node, Simulation, SECOND};
use pipitlever_session_affinity::directory::Peer;
use pipitlever_session_affinity::message::Message;

/// The delay of a late message.
const LATE_DELAY: Micros = 2 * SECOND;

/// An event of the virtual time.
pub(super) enum Event {
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

impl Simulation {
    pub(super) fn handle_event(&mut self, event: Event) {
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
    pub(super) fn process_output(&mut self, index: usize) {
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
}
