//! What nodes say to each other about versions, as it travels in the fleet's datagrams.

use crate::message::Message;
use crate::node::PIECE;
use crate::version::Digest;
use serde::{Deserialize, Serialize};

/// One word.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Of the register and its leases.
    Register(Vec<u8>),
    /// A piece of a content is wanted.
    Want {
        /// Which.
        digest: Digest,
        /// From which byte on.
        at: u32,
    },
    /// A piece of a content.
    Piece {
        /// Of which.
        digest: Digest,
        /// From which byte on.
        at: u32,
        /// How long all of it is; nothing if this node doesn't have it.
        all: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

impl Word {
    /// A message of the register's.
    pub fn register(message: &Message) -> Word {
        Word::Register(message.write())
    }

    /// As it is sent.
    pub fn write(&self) -> Vec<u8> {
        // Into memory, which takes all that is written to it.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads one, if it is one.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        let word: Word = postcard::from_bytes(bytes).ok()?;
        let sane = if let Word::Piece { bytes, .. } = &word {
            bytes.len() <= PIECE
        } else {
            true
        };
        sane.then_some(word)
    }
}
