//! What is written, and its bytes.

use crate::Micros;
use pipitlever_framing::Format;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::io;

/// How a segment of the store begins.
pub const FORMAT: Format = Format {
    magic: *b"PLSTORE\0",
    version: 1,
    description: "store of keyed requests",
};
/// The longest key. Longer ones are turned away by the fronts.
pub const MAX_KEY_BYTES: usize = 256;
/// Bytes of an intent beside its key and class: a bound, not the usual.
pub const INTENT_OVERHEAD_BYTES: u64 = 96;
/// Bytes of an outcome beside its result, and of a void.
pub const OUTCOME_OVERHEAD_BYTES: u64 = 48;

/// The clocks of a machine at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clocks {
    /// Unix time, in microseconds. It may be set, forwards or back.
    pub wall: Micros,
    /// Since the machine's start, its sleep included, in microseconds. Nobody sets it.
    pub since_boot: Micros,
    /// Names the machine's present start; empty where it can't be told.
    pub boot_id: String,
}

/// A run of a keyed request is about to begin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The store's own number for it. What a try is called outside may come again, by mistake or on
    /// purpose, and must not have one key's records taken for another's.
    pub id: u64,
    /// What the try is called outside.
    pub reference: u64,
    /// The same for all tries of one request.
    pub key: String,
    /// The name of its class.
    pub class: String,
    /// Stands for class and body, by [`Salt::digest`].
    pub payload_digest: u64,
    /// When the try reached the machine, in Unix microseconds.
    pub arrived_at: Micros,
    /// Tries that reach the machine so long after it are repeats, in microseconds.
    pub window: Micros,
    /// When nothing of it is read any more, by [`Clocks::up`].
    pub expires_at: Micros,
    /// A repeat that came within the window may be read so long after its end, in microseconds: the
    /// window ends this long before `over`.
    pub read_grace: Micros,
}

/// How a run came out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was served with this result.
    Served(Vec<u8>),
    /// It failed and may have had its effect.
    Failed,
}

/// One thing that the store remembers. The order of records means nothing: what belongs together
/// has one number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A run may have begun from here on.
    Intent(Intent),
    /// It has ended.
    Outcome {
        /// The intent's.
        id: u64,
        /// When its window is over, by [`Clocks::up`].
        expires_at: Micros,
        /// How.
        outcome: Outcome,
    },
    /// It never began, and never will.
    Void {
        /// The intent's.
        id: u64,
        /// When its window is over, by [`Clocks::up`].
        expires_at: Micros,
    },
}

impl Record {
    /// When it is of no further use, by [`Clocks::up`].
    pub fn expires_at(&self) -> Micros {
        match self {
            Record::Intent(Intent {
                expires_at: over, ..
            })
            | Record::Outcome {
                expires_at: over, ..
            }
            | Record::Void {
                expires_at: over, ..
            } => *over,
        }
    }
}

/// How a segment opens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// Its number, one more than that of the segment before.
    pub number: u64,
    /// The oldest segment that was not dropped by then.
    pub oldest: u64,
    /// How long the segment before is known to be on the disk, in bytes: what is missing of that
    /// was lost.
    pub previous_durable_bytes: Option<u64>,
    /// The clocks when it was begun.
    pub clocks: Clocks,
    /// What makes digests of this store its own.
    pub salt: Salt,
}

/// What makes the digests of a store its own: no client can make two bodies agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Salt(pub [u64; 2]);

impl Salt {
    /// A new one, from the system.
    pub fn random() -> io::Result<Salt> {
        let word = || getrandom::u64().map_err(io::Error::from);
        Ok(Salt([word()?, word()?]))
    }

    /// Stands for class and body, over restarts and whichever front they come by.
    pub fn digest(&self, class: &str, body: &[u8]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.0[0], self.0[1]);
        hasher.write(&(class.len() as u64).to_le_bytes());
        hasher.write(class.as_bytes());
        hasher.write(body);
        hasher.finish()
    }
}

/// Appends a value's bytes.
pub fn encode(value: &impl Serialize, out: &mut Vec<u8>) {
    let before = std::mem::take(out);
    // Nothing here has a form that postcard can't write, and a vector takes all.
    *out = postcard::to_extend(value, before).expect("records can be written");
}

/// The records of a frame.
pub fn decode_records(mut bytes: &[u8]) -> Result<Vec<Record>, String> {
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let (record, rest) =
            postcard::take_from_bytes(bytes).map_err(|e| format!("a record can't be read: {e}"))?;
        all.push(record);
        bytes = rest;
    }
    Ok(all)
}

/// The opening, which is a frame of its own.
pub fn decode_header(bytes: &[u8]) -> Result<SegmentHeader, String> {
    postcard::from_bytes(bytes).map_err(|e| format!("the opening can't be read: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_of_records_hold() {
        let intent = Intent {
            id: u64::MAX,
            reference: u64::MAX,
            key: "k".repeat(MAX_KEY_BYTES),
            class: "c".repeat(64),
            payload_digest: u64::MAX,
            arrived_at: Micros::MAX,
            window: Micros::MAX,
            expires_at: Micros::MIN,
            read_grace: Micros::MAX,
        };
        let length = |record: &Record| {
            let mut bytes = Vec::new();
            encode(record, &mut bytes);
            assert_eq!(decode_records(&bytes), Ok(vec![record.clone()]));
            bytes.len() as u64
        };
        assert!(
            length(&Record::Intent(intent)) <= INTENT_OVERHEAD_BYTES + MAX_KEY_BYTES as u64 + 64
        );
        let over = Micros::MIN;
        let kept = Outcome::Served(vec![7; 4096]);
        assert!(
            length(&Record::Outcome {
                id: u64::MAX,
                expires_at: over,
                outcome: kept
            }) <= OUTCOME_OVERHEAD_BYTES + 4096
        );
        assert!(
            length(&Record::Void {
                id: u64::MAX,
                expires_at: over
            }) <= OUTCOME_OVERHEAD_BYTES
        );
    }

    #[test]
    fn digests_tell_classes_and_bodies_apart() {
        let salt = Salt([1, 2]);
        let all = [
            salt.digest("a", b"bc"),
            salt.digest("ab", b"c"),
            salt.digest("a", b"b"),
        ];
        assert!(all[0] != all[1] && all[0] != all[2] && all[1] != all[2]);
        assert_eq!(all[0], salt.digest("a", b"bc"));
        assert_ne!(all[0], Salt([1, 3]).digest("a", b"bc"));
    }
}
