//! What nodes say to each other about sessions, in postcard, inside the fleet's own datagrams.

use crate::placement::Placement;
use crate::Session;
use serde::{Deserialize, Serialize};

/// The most sessions in one message.
pub const MAX_ENTRIES: usize = 24;

/// A session as it travels: where it lives, and for how many seconds it was not wanted.
pub type Entry = (Session, Placement, u32);

/// One message. Each names the fleet's time where it comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Where does this session live? It is wanted now.
    LookupRequest {
        /// The fleet's time.
        time: u32,
        /// Which question.
        ticket: u32,
        /// The session.
        session: Session,
    },
    /// There; or it is not known.
    LookupReply {
        /// The fleet's time.
        time: u32,
        /// To which question.
        ticket: u32,
        /// The session.
        session: Session,
        /// Where it lives.
        placement: Option<Placement>,
    },
    /// These live there.
    Update {
        /// The fleet's time.
        time: u32,
        /// They.
        entries: Vec<Entry>,
        /// It is to be said that they are there.
        ack_requested: bool,
    },
    /// These are there now.
    UpdateAck {
        /// They.
        sessions: Vec<Session>,
    },
    /// A node that has just come wants what it is to remember.
    TransferRequest {
        /// Stands for this start of it.
        token: u64,
    },
    /// It has all of that from here.
    TransferComplete {
        /// That start.
        token: u64,
    },
}

/// Tells these messages from others that travel the same way.
const MARK: u8 = 0xa5;

impl Message {
    /// As it is sent.
    pub fn encode(&self) -> Vec<u8> {
        // Into memory, which takes all that is written to it.
        postcard::to_extend(self, vec![MARK]).unwrap_or_default()
    }

    /// Reads one, if it is one.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let message = postcard::from_bytes(bytes.strip_prefix(&[MARK])?).ok()?;
        let length = match &message {
            Message::Update { entries, .. } => entries.len(),
            Message::UpdateAck { sessions } => sessions.len(),
            _ => 0,
        };
        (length <= MAX_ENTRIES).then_some(message)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::timestamp::Timestamp;
    use proptest::prelude::*;

    #[test]
    fn the_longest_one_fits_a_datagram() {
        let birth = Timestamp {
            seconds: u32::MAX,
            node: u16::MAX,
        };
        let placement = Placement {
            worker: u32::MAX,
            created: birth,
            moves: 255,
            version: u16::MAX,
        };
        let entries = vec![(u64::MAX, placement, u32::MAX); MAX_ENTRIES];
        let message = Message::Update {
            time: u32::MAX,
            entries,
            ack_requested: true,
        };
        let bytes = message.encode();
        assert!(bytes.len() < 800, "{}", bytes.len());
        assert_eq!(Message::decode(&bytes), Some(message));
        let more = Message::Update {
            time: 0,
            entries: vec![(0, placement, 0); MAX_ENTRIES + 1],
            ack_requested: false,
        };
        assert_eq!(Message::decode(&more.encode()), None);
        assert_eq!(
            Message::decode(
                &Message::UpdateAck {
                    sessions: vec![0; MAX_ENTRIES + 1]
                }
                .encode()
            ),
            None
        );
    }

    proptest! {
        #[test]
        fn anything_may_come(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
            let _ = Message::decode(&bytes);
            let _ = Message::decode(&[&[MARK][..], &bytes].concat());
        }
    }
}
