//! Batches of records.

use crate::record::{encode, Record};
use crate::Micros;

/// Size and expiry of a record in a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordExpiry {
    /// When the record expires, by the time since boot.
    pub expires_at: Micros,
    /// Length of the encoded record, in bytes.
    pub bytes: u32,
}

/// Encoded records that are written as one frame, and become durable together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The encoded records.
    pub bytes: Vec<u8>,
    /// Expiry and size of each record.
    pub expiries: Vec<RecordExpiry>,
    /// All records, those of the batch included, are kept for this much longer, in microseconds.
    pub extension: Micros,
}

impl Batch {
    /// Appends a record.
    pub fn push(&mut self, record: &Record) {
        let before = self.bytes.len();
        encode(record, &mut self.bytes);
        self.expiries.push(RecordExpiry {
            expires_at: record.expires_at(),
            bytes: (self.bytes.len() - before) as u32,
        });
    }

    /// Whether the batch has no records.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }
}
