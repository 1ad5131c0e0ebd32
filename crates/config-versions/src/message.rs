//! What nodes say to each other about versions, in postcard, inside the fleet's own messages: these
//! have the checksum, the version and the fleet's name.

use crate::version::{Version, MOST_NAME};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Attempts are ordered, and two publishers never have the same one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with each attempt.
    pub round: u64,
    /// The elector whose attempt it is.
    pub by: String,
    /// Which start of its process this is: one that has died may have begun this round with another
    /// version, and may not know it.
    pub start: u64,
}

/// What an elector's disk is, and how often it was written. Others remember it, so that an elector
/// whose disk was lost or put back finds out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Seal {
    /// Drawn when the disk was empty.
    pub token: u64,
    /// Votes that were written since.
    pub count: u64,
}

/// That an elector lives, and which versions it has closed. It travels through all members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// The elector.
    pub by: String,
    /// Which start of its process this is.
    pub start: u64,
    /// The reading of its clock.
    pub at: Micros,
    /// No version below this one is to be acted on.
    pub floor: u64,
    /// The version that brought the newest electors that it knows of, decided or not.
    pub config: u64,
}

impl Beat {
    /// Whether this one is later than another one of the same elector.
    pub fn follows(&self, other: &Beat) -> bool {
        (self.start, self.at) > (other.start, other.at)
    }
}

/// What travels with each message of the fleet: all of it is the newest that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The number of the newest version that was decided.
    pub newest: u64,
    /// The last word of each elector.
    pub beats: Vec<Beat>,
}

impl Hint {
    /// As it is sent.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads one; nothing if it is none, or says more than there can be.
    pub fn read(bytes: &[u8]) -> Option<Hint> {
        let hint: Hint = postcard::from_bytes(bytes).ok()?;
        let name = |n: &str| !n.is_empty() && n.len() <= MOST_NAME;
        (hint.beats.len() <= 8 && hint.beats.iter().all(|b| name(&b.by))).then_some(hint)
    }
}

/// What one says to another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A publisher asks an elector to heed no earlier attempt.
    Prepare {
        /// Its attempt.
        ballot: Ballot,
        /// The version that its own would build on.
        base: Version,
    },
    /// The elector heeds none, and says what it has accepted.
    Promise {
        /// The attempt.
        ballot: Ballot,
        /// For the number after the base.
        accepted: Option<(Ballot, Version)>,
        /// No version below this one is to be acted on.
        floor: u64,
        /// Its disk.
        seal: Seal,
    },
    /// The publisher asks it to accept a version.
    Accept {
        /// Its attempt.
        ballot: Ballot,
        /// What that builds on.
        base: Version,
        /// The version.
        version: Version,
        /// No version below this one is to be acted on, as far as the publisher has heard.
        floor: u64,
    },
    /// The elector has accepted.
    Accepted {
        /// The attempt.
        ballot: Ballot,
        /// No version below this one is to be acted on.
        floor: u64,
        /// Its disk.
        seal: Seal,
    },
    /// It has promised another one.
    Refused {
        /// The attempt that it refuses.
        ballot: Ballot,
        /// The one that it heeds.
        promised: Ballot,
    },
    /// This version was decided.
    Decided(Version),
    /// Which version is the newest?
    Which,
    /// An elector is to close versions.
    Close {
        /// All below this one.
        floor: u64,
        /// The newest version, which is not among them.
        newest: Version,
    },
    /// The elector has closed them.
    Closed {
        /// All below this one.
        floor: u64,
        /// A version that it has accepted and that was not decided, as far as it knows.
        pending: Option<Version>,
        /// Its disk.
        seal: Seal,
    },
    /// An elector that has started asks what is known of its disk.
    Known {
        /// As it finds it.
        seal: Seal,
    },
    /// What another elector remembers of it.
    Remembered {
        /// The latest seal of the one that asked.
        of: Seal,
        /// The newest version.
        newest: Version,
    },
    /// An elector's disk was written.
    Sealed(Seal),
    /// What is your clock?
    Clock {
        /// The asker's clock, which comes back.
        asked: Micros,
    },
    /// It was this, after it was asked.
    ClockIs {
        /// When it was asked, by the asker's clock.
        asked: Micros,
        /// Which start of its process this is.
        start: u64,
        /// The reading.
        at: Micros,
    },
    /// A process that has started asks which versions there are, before it acts on any.
    Floor {
        /// Drawn by the one that asks.
        nonce: u64,
    },
    /// What an elector has written of them.
    FloorIs {
        /// As it was asked.
        nonce: u64,
        /// The newest that it knows was decided.
        newest: Version,
        /// The highest that it knows of: decided, or accepted and not known to be.
        highest: u64,
    },
}

impl Message {
    /// As it is sent.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads one; nothing if it is none, or holds what no version may.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let message: Message = postcard::from_bytes(bytes).ok()?;
        let ballot = |b: &Ballot| b.by.len() <= MOST_NAME;
        let sane = match &message {
            Message::Prepare { ballot: b, base } => ballot(b) && base.sane(),
            Message::Promise {
                ballot: b,
                accepted,
                ..
            } => ballot(b) && accepted.as_ref().is_none_or(|(b, v)| ballot(b) && v.sane()),
            Message::Accept {
                ballot: b,
                base,
                version,
                ..
            } => ballot(b) && base.sane() && version.sane() && version.number == base.number + 1,
            Message::Accepted { ballot: b, .. } => ballot(b),
            Message::Refused {
                ballot: b,
                promised,
            } => ballot(b) && ballot(promised),
            Message::Decided(v)
            | Message::Close { newest: v, .. }
            | Message::Remembered { newest: v, .. } => v.sane(),
            Message::Closed { pending, .. } => pending.as_ref().is_none_or(Version::sane),
            Message::Which | Message::Known { .. } | Message::Sealed(_) | Message::Clock { .. } => {
                true
            }
            Message::ClockIs { .. } | Message::Floor { .. } => true,
            Message::FloorIs { newest, .. } => newest.sane(),
        };
        sane.then_some(message)
    }
}
