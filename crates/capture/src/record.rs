//! Records of a capture and their encoding.
//!
//! Records are encoded in postcard, without field names, so that recording needs little CPU time
//! and disk space. Segment headers are encoded in MessagePack with field names, so that a
//! build with additional fields can read them. The `serde(rename)` attributes retain the names that
//! earlier builds wrote.

use pipitlever_admission::{Action, Event, Micros, RequestId, Settings};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::borrow::Cow;
use std::hash::Hasher;

/// The keys of the digest of idempotency keys.
const DIGEST_KEYS: (u64, u64) = (0x7069_7069_746c_6576, 0x6361_7074_7572_6531);

/// The external identifiers of a request. Its idempotency key, body and result are never recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The controller's identifier.
    pub id: RequestId,
    /// The `ref` on the wire, new with each attempt.
    pub reference: u64,
    /// The gateway that sent it, if the wire protocol states it.
    pub sender: Option<u64>,
    /// The digest of its idempotency key.
    #[serde(rename = "key")]
    pub key_digest: Option<u64>,
}

/// The digest of an idempotency key. It is the same on all nodes and builds, so that all attempts
/// of a request can be found in the captures of all nodes.
pub fn digest(key: &str) -> u64 {
    digest_bytes(key.as_bytes())
}

/// The digest of an idempotency key given as bytes.
pub fn digest_bytes(key: &[u8]) -> u64 {
    // SipHash-2-4 with public keys: the digest does not hide a key that can be guessed.
    let mut hasher = SipHasher24::new_with_keys(DIGEST_KEYS.0, DIGEST_KEYS.1);
    hasher.write(key);
    hasher.finish()
}

/// The final answer to a request, without its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedAnswer {
    /// Served, with a result of this many bytes.
    Served(u32),
    /// Rejected: the request did not run.
    #[serde(rename = "Refused")]
    Rejected {
        /// The shortest delay before a retry, in microseconds.
        #[serde(rename = "cooldown")]
        retry_after: Micros,
        /// The request should not be retried at any node.
        #[serde(rename = "nowhere")]
        no_retry: bool,
    },
    /// Failed: the request may have run.
    Failed {
        /// Its deadline passed.
        #[serde(rename = "expired")]
        timed_out: bool,
    },
}

/// What decided a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerSource {
    /// An action of the admission controller. A replay yields its cause.
    #[serde(rename = "Module")]
    AdmissionController,
    /// The end of the request's run.
    Run,
    /// The outcome of the original request with the same idempotency key.
    #[serde(rename = "Repeat")]
    Duplicate,
    /// The processor rejected the start of the run, or the reply to its call.
    #[serde(rename = "Rejected")]
    ProcessorRejected,
    /// The node, as its processor was not connected yet.
    #[serde(rename = "NotUp")]
    ProcessorNotReady,
    /// The node, as its requests use all the memory reserved for them.
    #[serde(rename = "Full")]
    MemoryFull,
    /// The node, as idempotency keys use all the memory reserved for them.
    KeysFull,
    /// The node, as the request's idempotency key had no entry when it was to start.
    #[serde(rename = "NoKey")]
    KeyEntryMissing,
    /// The node, as the deadline passed without a decision of the admission controller.
    #[serde(rename = "Overdue")]
    DeadlineExceeded,
    /// The node, as the idempotency store fails, is slow, or may have lost keys. The request did
    /// not run.
    #[serde(rename = "Store")]
    StoreUnavailable,
    /// The node, as the idempotency store has no capacity for another key.
    StoreFull,
    /// The node, as another process of the same node may have run a request with the same
    /// idempotency key.
    #[serde(rename = "Elsewhere")]
    OtherProcess,
    /// The node, as its version of the settings may be stale.
    #[serde(rename = "Floor")]
    StaleSettings,
}

/// One record of a capture. Entries borrow their contents for writing; a [`Record`] owns them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry<'a> {
    /// The identity of a request. Precedes the step in which the request arrives.
    Identity(RequestIdentity),
    /// One step of the controller.
    Step {
        /// The controller's clock, minus that of the previous record or of the segment header.
        clock_delta: Micros,
        /// The step's input, in order.
        events: Cow<'a, [Event]>,
        /// The step's output, in order.
        actions: Cow<'a, [Action]>,
    },
    /// A final answer was sent.
    Answer {
        /// The clock, minus that of the previous record or of the segment header.
        clock_delta: Micros,
        /// The request's `ref`.
        reference: u64,
        /// The index of the request's class.
        class: u32,
        /// The answer.
        answer: RecordedAnswer,
        /// What decided the answer.
        source: AnswerSource,
    },
}

/// A record that owns its contents.
pub type Record = Entry<'static>;

/// Records that a capture does not contain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRecords {
    /// A lower bound of the number of records.
    pub records: u64,
    /// How many of them were lost because the queue to the writer was full.
    #[serde(rename = "queue")]
    pub queue_full: u64,
    /// The last disk error, if any were lost because of one.
    #[serde(rename = "disk")]
    pub disk_error: Option<String>,
}

/// The header of a segment. The controller's state follows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The version of the build that wrote the segment.
    pub build: String,
    /// The node's name.
    pub node: String,
    /// The start of the run, in Unix milliseconds; the same in all its segments.
    pub run: u64,
    /// The number of the segment in the run, from 1.
    pub segment: u32,
    /// Steps of the run before this segment, including lost ones.
    pub steps: u64,
    /// The controller has taken no step yet: its state follows from the settings and the seed.
    #[serde(rename = "first")]
    pub is_initial: bool,
    /// The clock of the previous record, in Unix microseconds.
    pub now: Micros,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The settings that the controller was created with.
    pub settings: Settings,
    /// The seed that the controller was created with.
    pub seed: u64,
    /// The identities of the requests in memory.
    #[serde(rename = "names")]
    pub identities: Vec<RequestIdentity>,
    /// The records lost between the previous segment and this one.
    pub lost: Option<LostRecords>,
}

/// The end of a complete segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Another segment follows.
    Next,
    /// The segment is the last one of the run, and this many records after it were lost.
    Last(u64),
}

/// A record's bytes can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record can't be read: {0}")]
pub struct DecodeError(#[from] postcard::Error);

/// Appends an encoded record to `out`.
///
/// # Panics
///
/// Never: postcard can represent every record.
pub fn encode(record: &Entry, out: &mut Vec<u8>) {
    let buffer = std::mem::take(out);
    *out = postcard::to_extend(record, buffer).expect("postcard can represent every record");
}

/// Decodes the first record of `bytes`, and returns it with the bytes after it.
///
/// # Errors
///
/// If `bytes` does not begin with a whole record.
pub fn decode(bytes: &[u8]) -> Result<(Record, &[u8]), DecodeError> {
    Ok(postcard::take_from_bytes(bytes)?)
}
