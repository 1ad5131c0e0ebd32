//! Messages about sessions between nodes, sent as application messages of the membership protocol.
//! Their encoding is postcard, which identifies fields and variants by position.

use crate::placement::Placement;
use crate::SessionId;
use serde::{Deserialize, Serialize};

/// Maximum number of sessions in one message, so that it fits into a datagram.
pub const MAX_ENTRIES: usize = 24;

/// First byte, which distinguishes these messages from other application messages.
const MARKER: u8 = 0xa5;

/// Directory entry of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The session.
    pub session: SessionId,
    /// Its placement.
    pub placement: Placement,
    /// Time since the session was last requested, in seconds.
    pub idle_seconds: u32,
}

/// A message between nodes. `time` is the sender's hybrid clock, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the placement of a session that is being requested by a client.
    LookupRequest {
        /// Time of the sender.
        time: u32,
        /// Identifier of the lookup; 0 if the sender does not wait for the reply.
        lookup_id: u32,
        /// The session.
        session: SessionId,
    },
    /// Answers a lookup.
    LookupReply {
        /// Time of the sender.
        time: u32,
        /// Identifier of the lookup.
        lookup_id: u32,
        /// The session.
        session: SessionId,
        /// Its placement; `None` if the sender has no entry for the session.
        placement: Option<Placement>,
    },
    /// Replicates directory entries.
    Update {
        /// Time of the sender.
        time: u32,
        /// The entries.
        entries: Vec<DirectoryEntry>,
        /// Whether the receiver has to acknowledge the entries that it stores.
        ack_requested: bool,
    },
    /// Acknowledges an update.
    UpdateAck {
        /// Sessions that the sender stores.
        sessions: Vec<SessionId>,
    },
    /// Requests all entries of which the sender, which has just joined, is a replica.
    TransferRequest {
        /// Identifies the start of the sender's process.
        token: u64,
    },
    /// Reports that the sender has sent all requested entries.
    TransferComplete {
        /// Token of the request.
        token: u64,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types into memory cannot fail.
        postcard::to_extend(self, vec![MARKER]).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are malformed or contain more than [`MAX_ENTRIES`]
    /// sessions.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let message = postcard::from_bytes(bytes.strip_prefix(&[MARKER])?).ok()?;
        let session_count = match &message {
            Message::Update { entries, .. } => entries.len(),
            Message::UpdateAck { sessions } => sessions.len(),
            _ => 0,
        };
        (session_count <= MAX_ENTRIES).then_some(message)
    }
}
