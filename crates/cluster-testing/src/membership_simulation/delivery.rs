//! Delivery of datagrams, wakeups and connection bytes, and the handling of what nodes emit.

use super::network::{Stream, StreamEnd};
use super::{ExternalDatagram, RecordedEvent, Simulation};
use pipitlever_membership::sync::SyncSession;
use pipitlever_membership::Micros;

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// The end of a connection that has opened it.
const INITIATOR: usize = 0;

/// An event of the virtual time.
pub(super) enum ScheduledEvent {
    /// A datagram arrives at a node.
    Datagram { recipient: usize, payload: Vec<u8> },
    /// A timer of a node may be due.
    Wakeup { node: usize },
    /// Bytes arrive at one end of a connection.
    StreamBytes {
        stream: u64,
        end: usize,
        bytes: Vec<u8>,
    },
}

impl Simulation {
    /// Delivers a datagram to a node now.
    pub fn inject(&mut self, recipient: usize, payload: Vec<u8>) {
        let event = ScheduledEvent::Datagram { recipient, payload };
        self.queue.schedule(self.now, event);
    }

    pub(super) fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Datagram { recipient, payload } => {
                self.handle_datagram(recipient, payload);
            }
            ScheduledEvent::Wakeup { node } => self.handle_wakeup(node),
            ScheduledEvent::StreamBytes { stream, end, bytes } => {
                self.handle_stream_bytes(stream, end, &bytes);
            }
        }
    }

    fn handle_datagram(&mut self, recipient: usize, payload: Vec<u8>) {
        let node = &mut self.nodes[recipient];
        if node.membership.is_none() {
            return;
        }
        if node.is_paused {
            node.buffer(payload);
            return;
        }
        if let Err(next_turn) = node.take_turn(self.now, &mut self.rng) {
            let event = ScheduledEvent::Datagram { recipient, payload };
            self.queue.schedule(next_turn, event);
            return;
        }
        let now = self.local_time(recipient);
        if let Some(membership) = &mut self.nodes[recipient].membership {
            // A datagram that does not decode is dropped, as the node's driver does.
            let _ = membership.handle_datagram(now, &payload);
        }
        self.process_output(recipient);
    }

    fn handle_wakeup(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.is_wakeup_due(self.now) {
            return;
        }
        if let Err(next_turn) = node.take_turn(self.now, &mut self.rng) {
            let event = ScheduledEvent::Wakeup { node: index };
            self.queue.schedule(next_turn, event);
            return;
        }
        node.wakeup = None;
        let now = self.local_time(index);
        if let Some(membership) = &mut self.nodes[index].membership {
            membership.handle_wakeup(now);
        }
        self.process_output(index);
    }

    /// Records the events of a node, sends its datagrams, opens its connections and schedules its
    /// next wakeup.
    pub(super) fn process_output(&mut self, index: usize) {
        let Some(membership) = &mut self.nodes[index].membership else {
            return;
        };
        let datagrams = membership.take_datagrams();
        let sync_target = membership.take_sync_target();
        let events = membership.take_events().events;
        let next_wakeup = membership.next_wakeup();
        if self.records_history {
            let at = self.now;
            self.history
                .extend(events.into_iter().map(|event| RecordedEvent {
                    at,
                    node: index,
                    event,
                }));
        }
        for datagram in datagrams {
            let recipient = self.node_by_address.get(&datagram.destination).copied();
            self.send_datagram(index, recipient, datagram.payload);
        }
        let sync_peer = sync_target.and_then(|target| self.node_by_address.get(&target).copied());
        if let Some(peer) = sync_peer {
            self.connect(index, peer);
        }
        self.schedule_wakeup(index, next_wakeup);
    }

    fn schedule_wakeup(&mut self, index: usize, local_time: Micros) {
        let node = &mut self.nodes[index];
        let at = node.virtual_time(local_time, self.now);
        if node.wakeup.is_none_or(|wakeup| at < wakeup) {
            node.wakeup = Some(at);
            let event = ScheduledEvent::Wakeup { node: index };
            self.queue.schedule(at, event);
        }
    }

    fn send_datagram(&mut self, sender: usize, recipient: Option<usize>, payload: Vec<u8>) {
        let traffic = &mut self.nodes[sender].traffic;
        traffic.datagrams += 1;
        traffic.datagram_bytes += payload.len() as u64 + DATAGRAM_HEADER_BYTES;
        let Some(recipient) = recipient else {
            return;
        };
        if self.external_node == Some(recipient) {
            let datagram = ExternalDatagram { sender, payload };
            self.external_datagrams.push(datagram);
            return;
        }
        if self.cut_links[sender][recipient] || self.rng.f64() < self.network.loss {
            return;
        }
        let copies = 1 + u64::from(self.rng.f64() < self.network.duplication);
        for _ in 0..copies {
            let at = self.now + self.network.delay(&mut self.rng);
            let payload = payload.clone();
            let event = ScheduledEvent::Datagram { recipient, payload };
            self.queue.schedule(at, event);
        }
    }

    /// Opens a connection for a push-pull synchronization.
    fn connect(&mut self, initiator: usize, responder: usize) {
        self.nodes[initiator].traffic.connections += 1;
        let is_cut = self.cut_links[initiator][responder] || self.cut_links[responder][initiator];
        if !self.nodes[responder].is_responsive() || is_cut {
            return;
        }
        let Some(membership) = &self.nodes[initiator].membership else {
            return;
        };
        let sessions = [SyncSession::initiate(membership), SyncSession::respond()];
        let ends = [initiator, responder].map(|node| StreamEnd {
            node,
            process: self.nodes[node].process,
        });
        self.last_stream += 1;
        let stream = self.last_stream;
        self.streams.insert(stream, Stream { ends, sessions });
        let handshake = 2 * self.network.min_delay;
        self.send_stream_bytes(stream, INITIATOR, handshake);
    }

    /// Sends what one end of a connection has to send, `additional_delay` microseconds later than
    /// the network would deliver it.
    fn send_stream_bytes(&mut self, id: u64, end: usize, additional_delay: Micros) {
        let Some(mut stream) = self.streams.remove(&id) else {
            return;
        };
        let sender = stream.ends[end].node;
        let recipient = stream.ends[1 - end].node;
        let now = self.local_time(sender);
        let mut bytes = Vec::new();
        if let Some(membership) = &self.nodes[sender].membership {
            while let Some(chunk) = stream.sessions[end].next_chunk(membership, now) {
                bytes.extend(chunk);
            }
        }
        self.nodes[sender].traffic.stream_bytes += bytes.len() as u64;
        if self.cut_links[sender][recipient] {
            return;
        }
        if !stream.is_complete() || !bytes.is_empty() {
            self.streams.insert(id, stream);
        }
        if bytes.is_empty() {
            return;
        }
        let delay = self.network.delay(&mut self.rng);
        let retransmission_delay = self.network.retransmission_delay(&mut self.rng);
        let event = ScheduledEvent::StreamBytes {
            stream: id,
            end: 1 - end,
            bytes,
        };
        let at = self.now + additional_delay + delay + retransmission_delay;
        self.queue.schedule(at, event);
    }

    fn handle_stream_bytes(&mut self, id: u64, end: usize, bytes: &[u8]) {
        let Some(mut stream) = self.streams.remove(&id) else {
            return;
        };
        let StreamEnd { node, process } = stream.ends[end];
        if !self.nodes[node].is_responsive() || self.nodes[node].process != process {
            return;
        }
        let now = self.local_time(node);
        let Some(membership) = &mut self.nodes[node].membership else {
            return;
        };
        let session = &mut stream.sessions[end];
        if session.handle_bytes(membership, now, bytes).is_err() {
            return;
        }
        self.streams.insert(id, stream);
        self.send_stream_bytes(id, end, 0);
        self.process_output(node);
    }
}
