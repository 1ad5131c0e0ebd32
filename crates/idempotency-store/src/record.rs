//! The records of the log and their encoding: postcard, which is positional, so that the order of
//! fields and variants must not change.

use crate::Micros;
use pipitlever_framing::Format;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::io;

/// File format of a segment.
pub const FORMAT: Format = Format {
    magic: *b"PLSTORE\0",
    version: 1,
    description: "segment of an idempotency store",
};
/// Upper bound of an idempotency key, in bytes. The protocol fronts reject longer keys.
pub const MAX_KEY_BYTES: usize = 256;
/// Upper bound of an encoded intent without its key and class, in bytes.
pub const INTENT_OVERHEAD_BYTES: u64 = 96;
/// Upper bound of an encoded outcome without its result, and of a void, in bytes.
pub const OUTCOME_OVERHEAD_BYTES: u64 = 48;

/// A reading of the machine's clocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clocks {
    /// Unix time, in microseconds. This clock may be set forwards and backwards.
    pub wall: Micros,
    /// Time since boot, in microseconds, suspended time included. This clock is never set.
    pub since_boot: Micros,
    /// Identifies the boot; empty if unknown.
    pub boot_id: String,
}

impl Clocks {
    /// Whether this earlier reading is of the same boot as `now`, so that the times since boot can
    /// be compared.
    pub(crate) fn is_same_boot(&self, now: &Clocks) -> bool {
        !now.boot_id.is_empty() && self.boot_id == now.boot_id && self.since_boot <= now.since_boot
    }
}

/// Announces a run with an idempotency key, before the run starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Id of the intent, assigned by the store. Records refer to it and not to the client's
    /// reference, which a client may reuse, by mistake or on purpose: the records of two keys must
    /// not be mixed up.
    pub id: u64,
    /// The client's reference of the attempt.
    pub reference: u64,
    /// The idempotency key, which all attempts of a request share.
    pub key: String,
    /// Name of the request's class.
    pub class: String,
    /// Digest of class and body, by [`Salt::digest`].
    pub payload_digest: u64,
    /// When the attempt reached the machine, in Unix microseconds.
    pub arrived_at: Micros,
    /// Attempts that reach the machine within this time of `arrived_at` are duplicates, in
    /// microseconds.
    pub window: Micros,
    /// When the intent expires, by [`Clocks::since_boot`].
    pub expires_at: Micros,
    /// Upper bound of the time from the end of the window until a duplicate that arrived within
    /// the window is read, in microseconds. The window ends this long before `expires_at`.
    pub read_grace: Micros,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run succeeded with this result.
    Served(Vec<u8>),
    /// The run failed, and may have taken effect.
    Failed,
}

/// A record of the log. The records of a run share the id of its intent; their order is not
/// significant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The run may have started.
    Intent(Intent),
    /// The run has ended.
    Outcome {
        /// Id of the intent.
        id: u64,
        /// When the record expires, by [`Clocks::since_boot`].
        expires_at: Micros,
        /// How the run ended.
        outcome: Outcome,
    },
    /// The run has not started and never will.
    Void {
        /// Id of the intent.
        id: u64,
        /// When the record expires, by [`Clocks::since_boot`].
        expires_at: Micros,
    },
}

impl Record {
    /// When the record expires and is of no further use, by [`Clocks::since_boot`].
    pub fn expires_at(&self) -> Micros {
        match self {
            Record::Intent(Intent { expires_at, .. })
            | Record::Outcome { expires_at, .. }
            | Record::Void { expires_at, .. } => *expires_at,
        }
    }
}

/// The first frame of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// Number of the segment; segments are numbered consecutively.
    pub number: u64,
    /// The oldest segment that was not dropped yet.
    pub oldest: u64,
    /// Length of the part of the previous segment that is known to be on the disk, in bytes. If
    /// less is readable, data was lost.
    pub previous_durable_bytes: Option<u64>,
    /// The clocks when the segment was started.
    pub clocks: Clocks,
    /// The store's salt.
    pub salt: Salt,
}

/// Secret key of a store's payload digests, which prevents clients from constructing two bodies
/// with equal digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Salt(pub [u64; 2]);

impl Salt {
    /// Creates a salt from the system's random source.
    ///
    /// # Errors
    ///
    /// If the system has no random source.
    pub fn random() -> io::Result<Salt> {
        let random = || getrandom::u64().map_err(io::Error::from);
        Ok(Salt([random()?, random()?]))
    }

    /// Returns the digest of a class and a body. The digest does not depend on the process or on
    /// the protocol front that received the request.
    pub fn digest(&self, class: &str, body: &[u8]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.0[0], self.0[1]);
        hasher.write(&(class.len() as u64).to_le_bytes());
        hasher.write(class.as_bytes());
        hasher.write(body);
        hasher.finish()
    }
}

/// Why a frame's payload can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A record is invalid.
    #[error("cannot decode a record: {0}")]
    Record(#[source] postcard::Error),
    /// The header of a segment is invalid.
    #[error("cannot decode the segment header: {0}")]
    Header(#[source] postcard::Error),
}

/// Appends the encoding of a value.
pub fn encode(value: &impl Serialize, out: &mut Vec<u8>) {
    let before = std::mem::take(out);
    // Every type of this module has a postcard encoding, and a vector grows as needed.
    *out = postcard::to_extend(value, before).expect("records can be encoded");
}

/// Decodes the records of a frame.
///
/// # Errors
///
/// If a record is invalid.
pub fn decode_records(mut bytes: &[u8]) -> Result<Vec<Record>, DecodeError> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (record, rest) = postcard::take_from_bytes(bytes).map_err(DecodeError::Record)?;
        records.push(record);
        bytes = rest;
    }
    Ok(records)
}

/// Decodes the header of a segment, which is a frame of its own.
///
/// # Errors
///
/// If the header is invalid.
pub fn decode_header(bytes: &[u8]) -> Result<SegmentHeader, DecodeError> {
    postcard::from_bytes(bytes).map_err(DecodeError::Header)
}
