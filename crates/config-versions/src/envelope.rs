//! The datagrams in which nodes exchange protocol messages and chunks of contents, in postcard.

use crate::message::Message;
use crate::node::MAX_CHUNK_BYTES;
use crate::version::Digest;
use serde::{Deserialize, Serialize};

/// One datagram. Postcard identifies variants and fields by position: their order is part of the
/// wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Envelope {
    /// An encoded [`Message`].
    ProtocolMessage(Vec<u8>),
    /// Requests a chunk of a content.
    ChunkRequest {
        /// The digest of the content.
        digest: Digest,
        /// The offset of the chunk, in bytes.
        offset: u32,
    },
    /// Answers a [`Envelope::ChunkRequest`].
    Chunk {
        /// The digest of the content.
        digest: Digest,
        /// The offset of the chunk, in bytes.
        offset: u32,
        /// The length of the whole content, in bytes. `None` if the sender does not have it.
        content_length: Option<u32>,
        /// The bytes of the chunk, at most [`MAX_CHUNK_BYTES`].
        bytes: Vec<u8>,
    },
}

impl Envelope {
    /// Wraps a protocol message.
    pub fn protocol_message(message: &Message) -> Envelope {
        Envelope::ProtocolMessage(message.encode())
    }

    /// Encodes the envelope.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory does not fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes an envelope. Returns `None` for malformed bytes and for a chunk that is too long.
    pub fn decode(bytes: &[u8]) -> Option<Envelope> {
        let envelope: Envelope = postcard::from_bytes(bytes).ok()?;
        match &envelope {
            Envelope::Chunk { bytes, .. } if bytes.len() > MAX_CHUNK_BYTES => None,
            _ => Some(envelope),
        }
    }
}
