//! Messages between the two processes of a hot restart, and their encoding.
//!
//! Each side first sends a greeting, whose format is the same in every version. Frames follow: a
//! length of four bytes, little endian, then a [`Message`] in postcard. Postcard is positional, so
//! the order and types of fields and variants here must not change; a new variant at the end needs
//! a new [`VERSION`].
//!
//! The successor's greeting has the version that it asks for, and the predecessor's reply the one
//! that both use. A predecessor of an older build replies with its own version and closes the
//! connection; the successor then connects again and asks for that one.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The newest version of the protocol: since it, keys are sent with the origin of their window.
pub const VERSION: u16 = 4;
/// The oldest version of a peer that is not rejected.
pub const OLDEST_VERSION: u16 = 3;
/// Start of a greeting; the version follows (two bytes, little endian).
const GREETING_MAGIC: &[u8; 6] = b"plhand";
/// Size of a greeting, in bytes.
const GREETING_BYTES: usize = GREETING_MAGIC.len() + size_of::<u16>();
/// Size of the length before a frame, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();
/// Limit on a frame, in bytes: a key with its result and some overhead.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Limit on an idempotency key, in bytes. Listeners accept only far shorter keys; a key above the
/// limit aborts the hot restart instead of being omitted.
pub const MAX_KEY_BYTES: usize = 4096;
/// Limit on the name of a class, in bytes.
pub const MAX_CLASS_BYTES: usize = 512;
/// Limit on the membership state of a node, in bytes: its own record and some addresses.
pub const MAX_MEMBERSHIP_BYTES: usize = 16 << 10;
/// Limit on a result, in bytes: it fits into a frame with its key.
pub const MAX_RESULT_BYTES: usize = MAX_FRAME_BYTES - MAX_KEY_BYTES - 1024;

/// State of the run of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// An attempt is queued or in flight in the sending process.
    InProgress,
    /// The run returned this result.
    Served(Vec<u8>),
    /// The run failed and may have taken effect.
    Failed,
    /// Neither process has the outcome.
    Unknown,
}

/// The entry of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// The idempotency key.
    pub key: String,
    /// Digest of class and body of the key's attempts, with the salt of [`Welcome`].
    pub payload_digest: u64,
    /// Attempts that reach the machine up to this time are duplicates, in Unix microseconds.
    pub window_end: Micros,
    /// State of the key's run.
    pub state: KeyState,
}

/// What the end of a key's window follows from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowOrigin {
    /// Name of the key's class.
    pub class: String,
    /// When the window began, in Unix microseconds.
    pub start: Micros,
}

/// A listening socket that is passed with [`Welcome`], in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListeningSocket {
    /// Name of the protocol that the socket serves.
    pub protocol: String,
    /// Local address of the socket.
    pub address: SocketAddr,
}

/// The predecessor's identity; its listening sockets are passed along (`SCM_RIGHTS`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The node's name.
    pub node_name: String,
    /// The passed sockets.
    pub sockets: Vec<ListeningSocket>,
    /// Salt of the node's payload digests.
    pub salt: [u64; 2],
}

/// A message of the predecessor or the successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Predecessor, phase `Connect`: the predecessor's identity and sockets.
    Welcome(Welcome),
    /// Successor, start of phase `Freeze`: requests the keys, as all preparations are complete.
    Freeze,
    /// Predecessor: the entry of a key, sent again whenever it changes.
    Key(KeyEntry),
    /// Predecessor: removes a key that was in progress, since no run of the key was started.
    KeyReleased(String),
    /// Predecessor, start of phase `Transfer`: all keys were sent, and changes follow.
    SnapshotComplete {
        /// Operators have set the node to standby: health checks fail.
        is_standby: bool,
        /// The share of the processor's memory that the predecessor may still use, from 0 to 1.
        memory_share: f64,
    },
    /// Successor: confirms that all keys were received.
    SnapshotReceived,
    /// Predecessor, start of phase `Mirror`: the predecessor has stopped accepting connections, and
    /// the successor has the authority over keys until the successor exits.
    Yielded {
        /// The node's membership state, which the successor adopts; `None` without a fleet.
        membership: Option<Vec<u8>>,
    },
    /// Predecessor, since version 4: like [`Message::Key`], with the origin of the key's window, so
    /// that the window in force at the successor applies.
    KeyWithOrigin(KeyEntry, WindowOrigin),
}

impl Message {
    /// The message that stands for this one in a version of the protocol.
    pub fn for_version(self, version: u16) -> Message {
        match self {
            Message::KeyWithOrigin(entry, _) if version < 4 => Message::Key(entry),
            message => message,
        }
    }

    /// Whether all sizes and numbers are within their limits.
    fn is_within_limits(&self) -> bool {
        match self {
            Message::Key(entry) => entry.key.len() <= MAX_KEY_BYTES,
            Message::KeyWithOrigin(entry, origin) => {
                entry.key.len() <= MAX_KEY_BYTES && origin.class.len() <= MAX_CLASS_BYTES
            }
            Message::KeyReleased(key) => key.len() <= MAX_KEY_BYTES,
            Message::Yielded {
                membership: Some(membership),
            } => membership.len() <= MAX_MEMBERSHIP_BYTES,
            Message::SnapshotComplete { memory_share, .. } => (0.0..=1.0).contains(memory_share),
            _ => true,
        }
    }
}

/// Why the peer's bytes cannot be decoded. The connection has to be closed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes do not start with a greeting of this protocol.
    #[error("the peer does not speak the hot restart protocol")]
    UnknownProtocol,
    /// The greeting has a version that this process does not speak.
    #[error("the peer speaks version {0}, this process versions {OLDEST_VERSION} to {VERSION}")]
    UnsupportedVersion(u16),
    /// A frame exceeds a limit, or contains no valid message of this version.
    #[error("malformed message from the peer")]
    Malformed,
}

/// Returns the greeting that each side sends first, with a version.
pub fn greeting(version: u16) -> Vec<u8> {
    let mut bytes = GREETING_MAGIC.to_vec();
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes
}

/// Appends the frame of a message.
pub fn encode(message: &Message, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    // Postcard fails only on types without a representation, which messages do not contain, or on
    // a full buffer, while a vector grows as needed.
    *out = postcard::to_extend(message, std::mem::take(out)).expect("a message can be encoded");
    let length = (out.len() - start - LENGTH_BYTES) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// Decodes the peer's greeting and messages from received bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    consumed: usize,
    peer_version: Option<u16>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The version in the peer's greeting, once that was decoded.
    pub fn peer_version(&self) -> Option<u16> {
        self.peer_version
    }

    /// Returns the next message, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the peer uses another protocol or version, or sent a malformed frame.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        if self.peer_version.is_none() && !self.decode_greeting()? {
            return Ok(None);
        }
        self.decode_frame()
    }

    /// Decodes the greeting and returns whether all of the greeting has arrived.
    fn decode_greeting(&mut self) -> Result<bool, DecodeError> {
        let rest = &self.bytes[self.consumed..];
        let compared = rest.len().min(GREETING_MAGIC.len());
        if rest[..compared] != GREETING_MAGIC[..compared] {
            return Err(DecodeError::UnknownProtocol);
        }
        let Some(version) = rest.get(GREETING_MAGIC.len()..GREETING_BYTES) else {
            return Ok(false);
        };
        let version = u16::from_le_bytes([version[0], version[1]]);
        if !(OLDEST_VERSION..=VERSION).contains(&version) {
            return Err(DecodeError::UnsupportedVersion(version));
        }
        self.peer_version = Some(version);
        self.consumed += GREETING_BYTES;
        Ok(true)
    }

    fn decode_frame(&mut self) -> Result<Option<Message>, DecodeError> {
        let rest = &self.bytes[self.consumed..];
        let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(DecodeError::Malformed);
        }
        let Some(frame) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let (message, trailing): (Message, _) =
            postcard::take_from_bytes(frame).map_err(|_| DecodeError::Malformed)?;
        if !trailing.is_empty() || !message.is_within_limits() {
            return Err(DecodeError::Malformed);
        }
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}
