//! Messages between members: datagrams of the failure detector and of dissemination, and frames of
//! push-pull synchronization. Both are postcard with a checksum, the protocol version and the
//! fleet's name; postcard is positional, so the order of fields and variants is part of the wire
//! format.

use crate::record::{Record, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

mod codec;
mod frame_decoder;

pub use codec::{encode_frame, encoded_length, DecodeError, PROTOCOL_VERSION};
pub use frame_decoder::{FrameDecoder, MAX_FRAME_BYTES};

/// Maximum length of the piggybacked application data of a datagram, in bytes.
pub const MAX_PIGGYBACK_BYTES: usize = 512;

/// An update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: String,
    /// Its record.
    pub record: Record,
    /// Member whose probe of the suspect failed, if the record is that of a suspect.
    pub suspected_by: Option<String>,
    /// Time since the member went down or left, in seconds. A duration needs no common clock.
    pub state_age_seconds: u32,
}

impl Update {
    /// Returns whether the update respects the limits on received updates.
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.name)
            && self.suspected_by.as_deref().is_none_or(is_valid_name)
            && self.record.is_valid()
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an ack.
    Ping {
        /// Sequence number of the probe.
        sequence: u32,
        /// Name of the probed member, the only one that replies; `None` addresses any member.
        target: Option<String>,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u32,
    },
    /// Requests that the receiver probe another member (SWIM's ping-req).
    PingReq {
        /// Sequence number of the sender's probe.
        sequence: u32,
        /// Name of the member to probe.
        name: String,
        /// Address of the member to probe.
        address: SocketAddr,
    },
    /// Reports that the target of a ping-req acknowledged.
    IndirectAck {
        /// Sequence number of the ping-req.
        sequence: u32,
    },
    /// Reports that the target of a ping-req has not acknowledged yet (Lifeguard's nack).
    Nack {
        /// Sequence number of the ping-req.
        sequence: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Carries data of a layer above membership.
    Application(Vec<u8>),
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's own record.
    pub sender: Update,
    /// Digest of the sender's view.
    pub digest: u64,
    /// Purpose of the datagram.
    pub body: Body,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
    /// Piggybacked application data. It follows the other fields and is omitted if empty, so that a
    /// datagram without it has the format of builds that do not support it.
    #[serde(skip)]
    pub piggyback: Vec<u8>,
}

impl Packet {
    /// Encodes the datagram for the fleet.
    pub fn encode(&self, fleet: &str) -> Vec<u8> {
        if self.piggyback.is_empty() {
            codec::encode_message(fleet, self)
        } else {
            codec::encode_message(fleet, &(self, &self.piggyback))
        }
    }

    /// Decodes a datagram of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed or exceeds a limit, or belongs to another protocol
    /// version or fleet.
    pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Packet, DecodeError> {
        let packet =
            codec::decode_message::<Packet>(fleet, bytes).or_else(|error| match error {
                DecodeError::Malformed => Packet::decode_with_piggyback(fleet, bytes),
                other => Err(other),
            })?;
        packet
            .is_valid()
            .then_some(packet)
            .ok_or(DecodeError::Malformed)
    }

    fn decode_with_piggyback(fleet: &str, bytes: &[u8]) -> Result<Packet, DecodeError> {
        let (packet, piggyback): (Packet, Vec<u8>) = codec::decode_message(fleet, bytes)?;
        (piggyback.len() <= MAX_PIGGYBACK_BYTES)
            .then_some(Packet {
                piggyback,
                ..packet
            })
            .ok_or(DecodeError::Malformed)
    }

    fn is_valid(&self) -> bool {
        let target = match &self.body {
            Body::Ping { target, .. } => target.as_deref(),
            Body::PingReq { name, .. } => Some(name.as_str()),
            _ => None,
        };
        target.is_none_or(is_valid_name)
            && self.sender.is_valid()
            && self.updates.iter().all(Update::is_valid)
    }
}

/// A frame of a push-pull synchronization.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the initiator.
    BucketDigests {
        /// The initiator's own record.
        sender: Update,
        /// Digest of each bucket of its table.
        digests: Vec<u64>,
    },
    /// First frame of the responder.
    DifferingBuckets {
        /// The responder's own record.
        sender: Update,
        /// Bit set of the buckets whose digests differ.
        buckets: u64,
    },
    /// Some of the members of the differing buckets.
    Members(Vec<Update>),
    /// All members have been sent.
    End,
}

impl Frame {
    fn is_valid(&self) -> bool {
        match self {
            Frame::BucketDigests { sender, .. } | Frame::DifferingBuckets { sender, .. } => {
                sender.is_valid()
            }
            Frame::Members(members) => members.iter().all(Update::is_valid),
            Frame::End => true,
        }
    }
}
