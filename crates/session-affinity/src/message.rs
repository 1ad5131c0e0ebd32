//! What nodes say to each other about sessions, in postcard, inside the fleet's own datagrams.

use crate::placement::Placement;
use crate::Session;
use serde::{Deserialize, Serialize};

/// The most sessions in one message.
pub const MOST: usize = 24;

/// A session as it travels: where it lives, and for how many seconds it was not wanted.
pub type Entry = (Session, Placement, u32);

/// One message. Each names the fleet's time where it comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Where does this session live? It is wanted now.
    Ask {
        /// The fleet's time.
        time: u32,
        /// Which question.
        ticket: u32,
        /// The session.
        session: Session,
    },
    /// There; or it is not known.
    Answer {
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
    Tell {
        /// The fleet's time.
        time: u32,
        /// They.
        entries: Vec<Entry>,
        /// It is to be said that they are there.
        owed: bool,
    },
    /// These are there now.
    Have {
        /// They.
        sessions: Vec<Session>,
    },
    /// A node that has just come wants what it is to remember.
    Fill {
        /// Stands for this start of it.
        token: u64,
    },
    /// It has all of that from here.
    Filled {
        /// That start.
        token: u64,
    },
}

/// Tells these messages from others that travel the same way.
const MARK: u8 = 0xa5;

impl Message {
    /// As it is sent.
    pub fn write(&self) -> Vec<u8> {
        // Into memory, which takes all that is written to it.
        postcard::to_extend(self, vec![MARK]).unwrap_or_default()
    }

    /// Reads one, if it is one.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let message = postcard::from_bytes(bytes.strip_prefix(&[MARK])?).ok()?;
        let length = match &message {
            Message::Tell { entries, .. } => entries.len(),
            Message::Have { sessions } => sessions.len(),
            _ => 0,
        };
        (length <= MOST).then_some(message)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stamp::Birth;
    use proptest::prelude::*;

    #[test]
    fn the_longest_one_fits_a_datagram() {
        let birth = Birth {
            seconds: u32::MAX,
            by: u16::MAX,
        };
        let placement = Placement {
            worker: u32::MAX,
            birth,
            moves: 255,
            version: u16::MAX,
        };
        let entries = vec![(u64::MAX, placement, u32::MAX); MOST];
        let message = Message::Tell {
            time: u32::MAX,
            entries,
            owed: true,
        };
        let bytes = message.write();
        assert!(bytes.len() < 800, "{}", bytes.len());
        assert_eq!(Message::read(&bytes), Some(message));
        let more = Message::Tell {
            time: 0,
            entries: vec![(0, placement, 0); MOST + 1],
            owed: false,
        };
        assert_eq!(Message::read(&more.write()), None);
        assert_eq!(
            Message::read(
                &Message::Have {
                    sessions: vec![0; MOST + 1]
                }
                .write()
            ),
            None
        );
    }

    proptest! {
        #[test]
        fn anything_may_come(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
            let _ = Message::read(&bytes);
            let _ = Message::read(&[&[MARK][..], &bytes].concat());
        }
    }
}
