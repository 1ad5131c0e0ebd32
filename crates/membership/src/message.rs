//! What members say to each other: postcard, with a checksum, the version and the fleet's name.

use crate::record::{Record, MAX_NAME_BYTES};
use postcard::accumulator::{CobsAccumulator, FeedResult};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How each message begins.
const MAGIC: [u8; 4] = *b"plfl";
/// The version spoken here. Another one is not understood, nor answered.
pub const PROTOCOL_VERSION: u16 = 1;
/// The longest frame on a connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 10;
/// Bytes of frames beside their content: the checksum, and one in 254 of the framing.
const FRAMING: usize = 256;

/// News about a member, and who says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub name: String,
    /// What is said of it.
    pub record: Record,
    /// Who had no answer of it, where it is a suspect.
    pub suspected_by: Option<String>,
    /// For how long it has been so, in seconds, where it is down or has left: times that need no
    /// common clock.
    pub state_age_seconds: u32,
}

impl Update {
    /// Whether one may hold it.
    pub fn is_valid(&self) -> bool {
        let name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        name(&self.name) && self.suspected_by.as_deref().is_none_or(name) && self.record.is_valid()
    }
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Is this one there? Whoever is there, if no name is given.
    Ping {
        /// The probe.
        sequence: u32,
        /// Who is asked. Another one at its address does not answer for it.
        target: Option<String>,
    },
    /// It is.
    Ack {
        /// The probe.
        sequence: u32,
    },
    /// Asks for a probe through the one that is asked.
    PingReq {
        /// The probe of the one that asks.
        sequence: u32,
        /// Who is to be probed, and where.
        name: String,
        /// Its address.
        address: SocketAddr,
    },
    /// It was asked to, and the probed one has answered.
    IndirectAck {
        /// The probe of the one that asked.
        sequence: u32,
    },
    /// It was asked to, and the probed one has not answered yet.
    Nack {
        /// The probe of the one that asked.
        sequence: u32,
    },
    /// There is news, no more.
    Gossip,
    /// Something of a part that stands on the view.
    Application(Vec<u8>),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who says it. Its own record, so that each is heard of directly.
    pub sender: Update,
    /// The digest of the sender's view.
    pub digest: u64,
    /// What it is about.
    pub body: Body,
    /// News that travels with it.
    pub updates: Vec<Update>,
    /// What a part that stands on the view has travel with everything. Behind the rest, and only if
    /// there is any: without it a datagram is what it was before there was such a part.
    #[serde(skip)]
    pub piggyback: Vec<u8>,
}

/// The longest hint, in bytes.
pub const MAX_PIGGYBACK_BYTES: usize = 512;

/// What is said on a connection, by turns, until both views are equal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The one that connects: who it is, and the digest of each part of its view.
    BucketDigests {
        /// Its own record.
        sender: Update,
        /// By part.
        digests: Vec<u64>,
    },
    /// The other one: who it is, and which parts differ, a bit each.
    DifferingBuckets {
        /// Its own record.
        sender: Update,
        /// The parts.
        buckets: u64,
    },
    /// Members of the parts that differ; a piece of them.
    Members(Vec<Update>),
    /// Those were all.
    End,
}

/// Why something can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is damaged, cut, or no message at all.
    Malformed,
    /// It is of another version.
    UnsupportedVersion(u16),
    /// It is of another fleet.
    WrongFleet(String),
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            DecodeError::Malformed => write!(f, "it can't be read"),
            DecodeError::UnsupportedVersion(version) => {
                write!(f, "it is of version {version}, this is {PROTOCOL_VERSION}")
            }
            DecodeError::WrongFleet(fleet) => write!(f, "it is of fleet {fleet}"),
        }
    }
}

/// Finds what was spoilt on its way.
static CRC: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);

/// What stands before each message.
type Head<'a> = ([u8; 4], u16, &'a str);

fn sealed<T: Serialize>(fleet: &str, content: &T) -> Vec<u8> {
    let head: Head = (MAGIC, PROTOCOL_VERSION, fleet);
    // Into memory, which takes all that is written to it.
    postcard::to_allocvec_crc32(&(head, content), CRC.digest()).unwrap_or_default()
}

fn opened<'a, T: Deserialize<'a>>(fleet: &str, bytes: &'a [u8]) -> Result<T, DecodeError> {
    // Before the checksum, which another version may have elsewhere.
    let ((magic, version), _) =
        postcard::take_from_bytes::<([u8; 4], u16)>(bytes).map_err(|_| DecodeError::Malformed)?;
    if magic != MAGIC {
        return Err(DecodeError::Malformed);
    }
    if version != PROTOCOL_VERSION {
        return Err(DecodeError::UnsupportedVersion(version));
    }
    let (((_, _, theirs), content), rest): ((Head, T), &[u8]) =
        postcard::take_from_bytes_crc32(bytes, CRC.digest()).map_err(|_| {
            // Whoever is of another fleet may hold other things, too.
            let head = postcard::take_from_bytes::<Head>(bytes);
            match head {
                Ok(((_, _, theirs), _)) if theirs != fleet && theirs.len() <= MAX_NAME_BYTES => {
                    DecodeError::WrongFleet(theirs.to_owned())
                }
                _ => DecodeError::Malformed,
            }
        })?;
    if theirs != fleet {
        return Err(DecodeError::WrongFleet(
            theirs.chars().take(MAX_NAME_BYTES).collect(),
        ));
    }
    if !rest.is_empty() {
        return Err(DecodeError::Malformed);
    }
    Ok(content)
}

impl Packet {
    /// As a datagram of this fleet.
    pub fn encode(&self, fleet: &str) -> Vec<u8> {
        match self.piggyback.is_empty() {
            true => sealed(fleet, self),
            false => sealed(fleet, &(self, &self.piggyback)),
        }
    }

    /// A datagram of this fleet.
    pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Packet, DecodeError> {
        let packet = opened::<Packet>(fleet, bytes).or_else(|broken| match broken {
            DecodeError::Malformed => {
                let (packet, hint): (Packet, Vec<u8>) = opened(fleet, bytes)?;
                (hint.len() <= MAX_PIGGYBACK_BYTES)
                    .then_some(Packet {
                        piggyback: hint,
                        ..packet
                    })
                    .ok_or(DecodeError::Malformed)
            }
            other => Err(other),
        })?;
        let names = match &packet.body {
            Body::Ping { target: to, .. } => to.as_ref(),
            Body::PingReq { name, .. } => Some(name),
            _ => None,
        };
        let sane = names.is_none_or(|n| !n.is_empty() && n.len() <= MAX_NAME_BYTES);
        let sane = sane && packet.sender.is_valid() && packet.updates.iter().all(Update::is_valid);
        sane.then_some(packet).ok_or(DecodeError::Malformed)
    }
}

/// Bytes that a piece of news takes in a message.
pub fn encoded_length(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(usize::MAX)
}

/// Appends a frame for a connection of this fleet.
pub fn encode_frame(out: &mut Vec<u8>, fleet: &str, frame: &Frame) {
    // Sealed as a datagram is, and told apart by postcard's own framing.
    out.extend(postcard::to_allocvec_cobs(&sealed(fleet, frame)).unwrap_or_default());
}

/// The frames of a connection, fed in pieces.
pub struct FrameDecoder {
    gathered: Box<CobsAccumulator<{ MAX_FRAME_BYTES + FRAMING }>>,
    waiting: Vec<u8>,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        FrameDecoder {
            gathered: Box::new(CobsAccumulator::new()),
            waiting: Vec::new(),
        }
    }
}

impl FrameDecoder {
    /// Takes in what was read; no more of it is to be fed until [`Frames::next`] has nothing left.
    pub fn push(&mut self, bytes: &[u8]) {
        self.waiting.extend_from_slice(bytes);
    }

    /// The next frame that is whole.
    pub fn next_frame(&mut self, fleet: &str) -> Result<Option<Frame>, DecodeError> {
        let waiting = std::mem::take(&mut self.waiting);
        let (sealed, rest) = match self.gathered.feed::<Vec<u8>>(&waiting) {
            FeedResult::Consumed => return Ok(None),
            FeedResult::OverFull(_) | FeedResult::DeserError(_) => {
                return Err(DecodeError::Malformed)
            }
            FeedResult::Success { data, remaining } => (data, remaining.to_vec()),
        };
        self.waiting = rest;
        let frame: Frame = opened(fleet, &sealed)?;
        let sane = match &frame {
            Frame::BucketDigests { sender: from, .. }
            | Frame::DifferingBuckets { sender: from, .. } => from.is_valid(),
            Frame::Members(members) => members.iter().all(Update::is_valid),
            Frame::End => true,
        };
        sane.then_some(Some(frame)).ok_or(DecodeError::Malformed)
    }
}
