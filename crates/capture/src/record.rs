//! What a capture says, and its bytes.
//!
//! Records are in postcard: no names, small figures, so that writing one costs a node little.
//! Openings are in MessagePack with names, since another build may read them whose state has a
//! field more; there is one a segment.

use pipitlever_admission::{Action, Event, Micros, RequestId, Settings};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::borrow::Cow;
use std::hash::Hasher;

/// What a request is called outside. Never its key, its body or its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Name {
    /// Its number with the controller.
    pub id: RequestId,
    /// Its `ref`, new with every try.
    pub reference: u64,
    /// The gateway that sent it, where the wire says.
    pub sender: Option<u64>,
    /// The digest of its key.
    pub key: Option<u64>,
}

/// A key's digest: the same on all nodes and builds, so that its tries can be found in all their
/// captures.
pub fn digest(key: &str) -> u64 {
    digest_bytes(key.as_bytes())
}

/// The same of a key as it stands on a wire.
pub fn digest_bytes(key: &[u8]) -> u64 {
    // SipHash-2-4 with a key of this project's. It hides no key that can be guessed.
    let mut hasher = SipHasher24::new_with_keys(0x7069_7069_746c_6576, 0x6361_7074_7572_6531);
    hasher.write(key);
    hasher.finish()
}

/// A final answer, as far as a capture tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    /// Served, with a result of so many bytes.
    Served(u32),
    /// Refused: it never ran.
    Refused {
        /// How long to keep away, in microseconds.
        cooldown: Micros,
        /// No other node should be tried.
        nowhere: bool,
    },
    /// Failed: it may have run.
    Failed {
        /// Because its time was up.
        expired: bool,
    },
}

/// Who made the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum By {
    /// The module's action: the replay has its cause.
    Module,
    /// The end of its run.
    Run,
    /// The outcome of the try that it repeats.
    Repeat,
    /// The processor did not carry out its start, or the reply to its call.
    Rejected,
    /// The node, as it has no module before its processor is up.
    NotUp,
    /// The node, as its requests take all the memory that they may.
    Full,
    /// The node, as the keys take all the memory that they may.
    KeysFull,
    /// The node, as the try held no entry for its key when it was to start.
    NoKey,
    /// The node, as the module had not answered by the due time.
    Overdue,
    /// The node, as its store does not work, is slow, or may have lost keys: the run never began.
    Store,
    /// The node, as its store has no room for another key.
    StoreFull,
    /// The node, as another process of it may have run the key.
    Elsewhere,
    /// The node, as its version of the settings may be stale.
    Floor,
}

/// One thing that a capture says. The loop borrows what it writes; whoever reads owns it, as a
/// [`Record`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry<'a> {
    /// A request's outside name. It stands before the step of its arrival.
    Named(Name),
    /// One step of the controller.
    Step {
        /// Its clock, less that of the record before; an opening says where that count begins.
        after: Micros,
        /// What it was told, in order.
        events: Cow<'a, [Event]>,
        /// What it said, in order.
        actions: Cow<'a, [Action]>,
    },
    /// A final answer went out.
    Answer {
        /// The clock, less that of the record before.
        after: Micros,
        /// The request's `ref`.
        reference: u64,
        /// Its class, by position.
        class: u32,
        /// What it was told.
        told: Told,
        /// Who made the answer.
        by: By,
    },
}

/// An entry that owns what it says.
pub type Record = Entry<'static>;

/// Records that are not there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// How many, at least.
    pub records: u64,
    /// Because the queue to the writer was full.
    pub queue: u64,
    /// Because the disk failed; the last error.
    pub disk: Option<String>,
}

/// How a segment begins, beside the controller's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Opening {
    /// The build that wrote it.
    pub build: String,
    /// The node's name.
    pub node: String,
    /// The same in all segments of one process: its start in Unix milliseconds.
    pub run: u64,
    /// Counts the segments of a run, from 1.
    pub segment: u32,
    /// Steps before this segment, those that were lost included.
    pub steps: u64,
    /// No step was taken before: the state follows from settings and seed.
    pub first: bool,
    /// The clock of the record before, in Unix microseconds.
    pub now: Micros,
    /// The names of the classes, by position.
    pub classes: Vec<String>,
    /// What the controller was told at its start.
    pub settings: Settings,
    /// The seed that it was given.
    pub seed: u64,
    /// Outside names of the requests in memory.
    pub names: Vec<Name>,
    /// What is missing between the segment before and this one.
    pub lost: Option<Lost>,
}

/// How a segment ends, when it was not cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Another one follows.
    Next,
    /// The capture ended with it, and so many records behind it are missing.
    Last(u64),
}

/// Appends a record's bytes.
pub fn encode(record: &Entry, out: &mut Vec<u8>) {
    let before = std::mem::take(out);
    // Nothing here has a form that postcard can't write, and a vector takes all.
    *out = postcard::to_extend(record, before).expect("records can be written");
}

/// Takes a record off the front.
pub fn decode(bytes: &[u8]) -> Result<(Record, &[u8]), String> {
    postcard::take_from_bytes(bytes).map_err(|e| format!("a record can't be read: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use pipitlever_admission::{Outcome, Request};

    #[test]
    fn records_come_back_as_they_were() {
        let request = Request {
            id: 7,
            timeout: Some(-5),
            cost: Some(f64::INFINITY),
            ..Request::default()
        };
        let events = vec![
            Event::Arrived(request),
            Event::Finished {
                id: 3,
                elapsed: i64::MIN,
                outcome: Outcome::NotStarted,
            },
            Event::Timer {
                tag: 0,
                cpu_utilization: None,
                runnable: Some(2.5),
                memory_utilization: None,
                connections: None,
            },
        ];
        let actions = vec![
            Action::Run(7),
            Action::Reject {
                id: 8,
                retry_after: 200_000,
                no_retry: true,
            },
            Action::Backpressure(f64::MIN_POSITIVE),
        ];
        let name = Name {
            id: 7,
            reference: u64::MAX,
            sender: Some(4),
            key: Some(digest("k")),
        };
        let answer = Record::Answer {
            after: 3,
            reference: 1,
            class: 2,
            told: Told::Failed { expired: true },
            by: By::Overdue,
        };
        let step = Record::Step {
            after: -1_000_000,
            events: events.into(),
            actions: actions.into(),
        };
        let records = [Record::Named(name), step, answer];
        let mut bytes = Vec::new();
        records.iter().for_each(|r| encode(r, &mut bytes));
        let whole = |bytes: &[u8]| {
            let (mut rest, mut read) = (bytes, Vec::new());
            while let Ok((record, after)) = decode(rest) {
                read.push(record);
                rest = after;
            }
            (read, rest.len())
        };
        assert_eq!(whole(&bytes), (records.to_vec(), 0));
        // Cut off anywhere it yields those that are whole, and no others.
        for length in 0..bytes.len() {
            let (read, rest) = whole(&bytes[..length]);
            assert!(
                read.len() < records.len() && read[..] == records[..read.len()],
                "{length}"
            );
            let mut again = Vec::new();
            read.iter().for_each(|r| encode(r, &mut again));
            assert_eq!(again.len() + rest, length);
        }
    }

    #[test]
    fn a_key_has_the_same_digest_everywhere() {
        // Captures on disk hold these: another digest would make old ones unsearchable.
        assert_eq!(digest("k"), 0x9c9c_c252_d58b_4571);
        assert_ne!(digest("k"), digest("l"));
    }
}
