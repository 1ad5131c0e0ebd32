//! Messages of layers above membership, such as configuration versions and session affinity. The
//! datagrams of the failure detector carry them.

use crate::config::MembershipConfig;
use crate::membership::{Membership, OutboundDatagram};
use crate::message::{Body, Packet};
use crate::Micros;
use std::collections::VecDeque;

/// Maximum number of received messages that the caller has not taken yet; further ones are
/// dropped.
const MAX_RECEIVED: usize = 1024;

/// Content of a message of a layer above membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplicationMessage {
    /// Data that a member attaches to each of its datagrams.
    Piggyback(Vec<u8>),
    /// Data that a member sent to this node alone.
    Direct(Vec<u8>),
}

/// A message of a layer above membership, and the member that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Name of the member.
    pub sender: String,
    /// Content.
    pub content: ApplicationMessage,
}

/// Outgoing piggyback and received messages. Received messages are dropped until
/// [`Membership::set_piggyback`] attaches a layer.
#[derive(Default)]
pub(super) struct ApplicationChannel {
    piggyback: Option<Vec<u8>>,
    received: VecDeque<ReceivedMessage>,
}

impl ApplicationChannel {
    /// Returns the data to attach to a datagram; empty if no layer is attached.
    pub(super) fn piggyback(&self) -> Vec<u8> {
        self.piggyback.clone().unwrap_or_default()
    }

    fn push(&mut self, sender: &str, content: ApplicationMessage) {
        if self.received.len() < MAX_RECEIVED {
            self.received.push_back(ReceivedMessage {
                sender: sender.to_owned(),
                content,
            });
        }
    }
}

impl Membership {
    /// Attaches a layer above membership: `piggyback` is attached to every datagram from now on,
    /// and messages from the layer on other members are queued.
    pub fn set_piggyback(&mut self, piggyback: Vec<u8>) {
        self.application.piggyback = Some(piggyback);
    }

    /// Takes a received message of the layer above.
    pub fn take_application_message(&mut self) -> Option<ReceivedMessage> {
        self.application.received.pop_front()
    }

    /// Sends a message of the layer above to a member. Returns whether the member is in the
    /// table.
    pub fn send_application_message(&mut self, recipient: &str, content: Vec<u8>) -> bool {
        let Some(destination) = self.address_of(recipient) else {
            return false;
        };
        let packet = Packet {
            sender: self.local_update(),
            digest: self.digest(),
            body: Body::Application(content),
            updates: Vec::new(),
            piggyback: self.application.piggyback(),
        };
        self.outgoing.push(OutboundDatagram {
            destination,
            payload: packet.encode(&self.fleet_name),
        });
        true
    }

    /// Sends the piggyback to some members at once.
    pub fn gossip_piggyback(&mut self, now: Micros) {
        self.gossip_to_random_members(now, MembershipConfig::INDIRECT_PROBES);
    }

    /// Queues the application data of a datagram if a layer is attached.
    pub(super) fn queue_application_messages(
        &mut self,
        sender: &str,
        body: &Body,
        piggyback: Vec<u8>,
    ) {
        if self.application.piggyback.is_none() || sender == self.local_name {
            return;
        }
        if !piggyback.is_empty() {
            let content = ApplicationMessage::Piggyback(piggyback);
            self.application.push(sender, content);
        }
        if let Body::Application(content) = body {
            let content = ApplicationMessage::Direct(content.clone());
            self.application.push(sender, content);
        }
    }
}
