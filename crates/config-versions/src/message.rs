//! Messages of the version protocol, in postcard.
//!
//! The membership protocol's datagrams carry these messages, and add the checksum, the protocol
//! version and the fleet's name. Postcard identifies fields and variants by position: their order
//! is part of the wire format.

use crate::version::{is_valid_name, Version, MAX_NAME_BYTES};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The maximum number of heartbeats in a gossip payload: one more than the maximum number of
/// acceptors.
const MAX_HEARTBEATS: usize = 8;

/// A Paxos ballot number: totally ordered, and unique per proposer and process.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round, which grows with each ballot.
    pub round: u64,
    /// The name of the proposer.
    pub proposer: String,
    /// The incarnation of the proposer's process: an earlier process may have used the same round
    /// for another version.
    pub incarnation: u64,
}

/// A version that an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedVersion {
    /// The ballot in which it was accepted.
    pub ballot: Ballot,
    /// The version.
    pub version: Version,
}

/// Identifies an acceptor's disk and the number of votes written to it.
///
/// Peers record the latest stamp of each acceptor, so that an acceptor can detect after a restart
/// that its disk was replaced or restored from a backup.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskStamp {
    /// A random number drawn when the disk was empty.
    pub disk_id: u64,
    /// The number of votes written since then.
    pub vote_count: u64,
}

/// A heartbeat of an acceptor, disseminated through all members. Renews leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The name of the acceptor.
    pub acceptor: String,
    /// The incarnation of the acceptor's process.
    pub incarnation: u64,
    /// The acceptor's clock when it sent the heartbeat.
    pub clock: Micros,
    /// All versions below this one are retired.
    pub minimum_version: u64,
    /// The number of the version that introduced the latest acceptors known to this acceptor,
    /// decided or pending.
    pub acceptors_since: u64,
}

impl Heartbeat {
    /// Returns whether this heartbeat is newer than another one of the same acceptor.
    pub fn is_newer_than(&self, other: &Heartbeat) -> bool {
        (self.incarnation, self.clock) > (other.incarnation, other.clock)
    }
}

/// The payload that is piggybacked on each message of the membership protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPayload {
    /// The number of the newest version known to be decided.
    pub newest: u64,
    /// The latest heartbeat of each acceptor.
    pub heartbeats: Vec<Heartbeat>,
}

impl GossipPayload {
    /// Encodes the payload.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a payload. Returns `None` for malformed bytes, too many heartbeats, and invalid
    /// names.
    pub fn decode(bytes: &[u8]) -> Option<GossipPayload> {
        let payload: GossipPayload = postcard::from_bytes(bytes).ok()?;
        let is_valid = payload.heartbeats.len() <= MAX_HEARTBEATS
            && payload
                .heartbeats
                .iter()
                .all(|heartbeat| is_valid_name(&heartbeat.acceptor));
        is_valid.then_some(payload)
    }
}

/// A message of the version protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Phase 1a: a proposer requests the promise to reject all lower ballots.
    Prepare {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The decided version that the proposal builds on.
        base: Version,
    },
    /// Phase 1b: the acceptor promises to reject lower ballots, and reports the version it has
    /// accepted.
    Promise {
        /// The ballot promised.
        ballot: Ballot,
        /// The version accepted for the number after the base, if any.
        accepted: Option<AcceptedVersion>,
        /// All versions below this one are retired at the acceptor.
        minimum_version: u64,
        /// The stamp of the acceptor's disk.
        disk: DiskStamp,
    },
    /// Phase 2a: the proposer requests that an acceptor accept a version.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The decided version that the proposal builds on.
        base: Version,
        /// The version to accept.
        version: Version,
        /// The highest minimum version that any promise reported.
        minimum_version: u64,
    },
    /// Phase 2b: the acceptor has accepted the version.
    Accepted {
        /// The ballot of the version accepted.
        ballot: Ballot,
        /// All versions below this one are retired at the acceptor.
        minimum_version: u64,
        /// The stamp of the acceptor's disk.
        disk: DiskStamp,
    },
    /// The acceptor rejects a ballot because it has promised a higher one.
    Rejected {
        /// The ballot rejected.
        ballot: Ballot,
        /// The ballot promised.
        promised: Ballot,
    },
    /// Announces a decided version.
    Decided(Version),
    /// Requests the newest decided version from an acceptor.
    NewestRequest,
    /// Requests that an acceptor retire versions.
    Retire {
        /// All versions below this one are to be retired.
        minimum_version: u64,
        /// The newest decided version, which is not retired.
        newest: Version,
    },
    /// The acceptor has retired versions.
    Retired {
        /// All versions below this one are retired at the acceptor.
        minimum_version: u64,
        /// A version that the acceptor has accepted and that is not known to be decided.
        pending: Option<Version>,
        /// The stamp of the acceptor's disk.
        disk: DiskStamp,
    },
    /// A restarted acceptor requests the stamp that its peers have recorded for its disk.
    DiskCheckRequest {
        /// The stamp on the acceptor's disk.
        disk: DiskStamp,
    },
    /// Answers a [`Message::DiskCheckRequest`].
    DiskCheckResponse {
        /// The latest stamp recorded, or the default if there is none.
        recorded: DiskStamp,
        /// The newest decided version known to the responder.
        newest: Version,
    },
    /// Announces the new stamp of the sender's disk after a vote.
    DiskUpdated(DiskStamp),
    /// Requests the clock of an acceptor.
    ClockRequest {
        /// The requester's clock, echoed by the response.
        requested_at: Micros,
    },
    /// Answers a [`Message::ClockRequest`].
    ClockResponse {
        /// The requester's clock, from the request.
        requested_at: Micros,
        /// The incarnation of the acceptor's process.
        incarnation: u64,
        /// The acceptor's clock.
        clock: Micros,
    },
    /// A restarted process requests the versions that an acceptor has accepted or knows to be
    /// decided.
    MinimumVersionRequest {
        /// A random number, echoed by the response.
        nonce: u64,
    },
    /// Answers a [`Message::MinimumVersionRequest`] from the acceptor's disk.
    MinimumVersionResponse {
        /// The nonce of the request.
        nonce: u64,
        /// The newest version that the acceptor knows to be decided.
        newest: Version,
        /// The highest version number known to the acceptor, decided or accepted.
        highest: u64,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message. Returns `None` for malformed bytes and for fields beyond their limits.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let message: Message = postcard::from_bytes(bytes).ok()?;
        message.is_valid().then_some(message)
    }

    fn is_valid(&self) -> bool {
        match self {
            Message::Prepare { ballot, base } => is_valid_ballot(ballot) && base.is_valid(),
            Message::Promise {
                ballot, accepted, ..
            } => {
                is_valid_ballot(ballot)
                    && accepted.as_ref().is_none_or(|accepted| {
                        is_valid_ballot(&accepted.ballot) && accepted.version.is_valid()
                    })
            }
            Message::Accept {
                ballot,
                base,
                version,
                ..
            } => {
                is_valid_ballot(ballot)
                    && base.is_valid()
                    && version.is_valid()
                    && version.number == base.number + 1
            }
            Message::Accepted { ballot, .. } => is_valid_ballot(ballot),
            Message::Rejected { ballot, promised } => {
                is_valid_ballot(ballot) && is_valid_ballot(promised)
            }
            Message::Decided(version)
            | Message::Retire {
                newest: version, ..
            }
            | Message::DiskCheckResponse {
                newest: version, ..
            }
            | Message::MinimumVersionResponse {
                newest: version, ..
            } => version.is_valid(),
            Message::Retired { pending, .. } => pending.as_ref().is_none_or(Version::is_valid),
            Message::NewestRequest
            | Message::DiskCheckRequest { .. }
            | Message::DiskUpdated(_)
            | Message::ClockRequest { .. }
            | Message::ClockResponse { .. }
            | Message::MinimumVersionRequest { .. } => true,
        }
    }
}

fn is_valid_ballot(ballot: &Ballot) -> bool {
    ballot.proposer.len() <= MAX_NAME_BYTES
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The name of the member to send it to.
    pub recipient: String,
    /// The message.
    pub message: Message,
}
