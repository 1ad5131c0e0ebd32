//! What the two processes say to each other: a greeting that stays the same in all versions, then
//! frames of postcard, each behind its length.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version spoken here. Another one is not understood.
pub const VERSION: u16 = 3;
/// How each side greets the other, before its version (two bytes, little endian).
const GREETING: &[u8; 6] = b"plhand";
/// The longest frame, in bytes: a key, a result and some.
pub const MOST_FRAME: usize = 1 << 20;
/// The longest key, in bytes; the fronts read far shorter ones. A longer one would end the
/// handover, never be left out.
pub const MOST_KEY: usize = 4096;
/// The longest that is passed on of the fleet, in bytes: the node's own record, and some addresses.
pub const MOST_MEMBER: usize = 16 << 10;
/// The longest result that is passed on, in bytes: it fits into a frame with its key.
pub const MOST_RESULT: usize = MOST_FRAME - MOST_KEY - 1024;

/// How the run of a key came out, as far as it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// A try of it is held or runs in the process that says so.
    Open,
    /// It was served with this result.
    Served(Vec<u8>),
    /// It failed and may have had its effect.
    Failed,
    /// Nobody knows.
    Unknown,
}

/// One key that the predecessor remembers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The key.
    pub key: String,
    /// Stands for class and body of its tries, by the salt of [`Welcome`].
    pub payload: u64,
    /// Tries that reach the machine up to this time are repeats, in Unix microseconds.
    pub until: Micros,
    /// How its run came out.
    pub state: State,
}

/// A socket that is passed along with [`Welcome`], in the order of these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listening {
    /// The protocol spoken there.
    pub protocol: String,
    /// Its address.
    pub at: SocketAddr,
}

/// What the predecessor says of itself; the listening sockets come with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The node's name.
    pub name: String,
    /// The sockets.
    pub listening: Vec<Listening>,
    /// What makes the digests of bodies the node's own.
    pub salt: [u64; 2],
}

/// What is said, by whom is in the name's description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Predecessor: who it is.
    Welcome(Welcome),
    /// Successor: it is ready, and wants the keys.
    Freeze,
    /// Predecessor: how a key stands, anew each time that changes.
    Key(Key),
    /// Predecessor: a key that was open is free again, as no run of it began.
    Free(String),
    /// Predecessor: these were all keys; what follows are changes. Whether operators have it in
    /// standby, and the share of the processor's memory that it may still take.
    End {
        /// Health checks hear bad.
        standby: bool,
        /// From 0 to 1.
        share: f64,
    },
    /// Successor: it has all keys.
    Taken,
    /// Predecessor: it accepts nothing more, and the other one is the authority for keys. It is so
    /// until that one's death.
    Yielded {
        /// The node's part in the fleet, which is the other one's from now on; nothing if it has
        /// none.
        member: Option<Vec<u8>>,
    },
}

/// Why a peer can't be understood; its connection has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// It doesn't speak this protocol at all.
    Stranger,
    /// It speaks another version.
    Version(u16),
    /// It speaks this one wrongly.
    Malformed,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Broken::Stranger => write!(f, "it speaks another protocol"),
            Broken::Version(version) => write!(f, "it speaks version {version}, this is {VERSION}"),
            Broken::Malformed => write!(f, "a message of its can't be read"),
        }
    }
}

/// The first bytes that each side sends.
pub fn greeting() -> Vec<u8> {
    let mut bytes = GREETING.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes
}

/// Appends a message.
pub fn write(message: &Message, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    // Nothing here has a form that postcard can't write, and a vector takes all.
    *out = postcard::to_extend(message, std::mem::take(out)).expect("messages can be written");
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
}

/// Takes a peer's bytes apart.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: Vec<u8>,
    read: usize,
    greeted: bool,
}

impl Reader {
    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether the peer has greeted.
    pub fn greeted(&self) -> bool {
        self.greeted
    }

    /// The next message, once it is whole.
    pub fn message(&mut self) -> Result<Option<Message>, Broken> {
        if !self.greeted {
            let rest = &self.bytes[self.read..];
            let known = rest.len().min(GREETING.len());
            if rest[..known] != GREETING[..known] {
                return Err(Broken::Stranger);
            }
            let Some(version) = rest.get(GREETING.len()..GREETING.len() + 2) else {
                return Ok(None);
            };
            let version = u16::from_le_bytes([version[0], version[1]]);
            if version != VERSION {
                return Err(Broken::Version(version));
            }
            self.greeted = true;
            self.read += GREETING.len() + 2;
        }
        let rest = &self.bytes[self.read..];
        let Some(length) = rest.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MOST_FRAME {
            return Err(Broken::Malformed);
        }
        let Some(frame) = rest.get(4..4 + length) else {
            return Ok(None);
        };
        let (message, behind) = postcard::take_from_bytes(frame).map_err(|_| Broken::Malformed)?;
        let sane = match &message {
            Message::Key(key) => key.key.len() <= MOST_KEY,
            Message::Free(key) => key.len() <= MOST_KEY,
            Message::Yielded {
                member: Some(member),
            } => member.len() <= MOST_MEMBER,
            Message::End { share, .. } => (0.0..=1.0).contains(share),
            _ => true,
        };
        if !behind.is_empty() || !sane {
            return Err(Broken::Malformed);
        }
        self.read += 4 + length;
        Ok(Some(message))
    }
}
