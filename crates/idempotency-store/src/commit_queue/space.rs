//! Accounting of the log's used and reserved space.

use super::config::CommitQueueConfig;
use crate::record::{
    Intent, Outcome, Record, INTENT_OVERHEAD_BYTES, MAX_KEY_BYTES, OUTCOME_OVERHEAD_BYTES,
};

/// Upper bound of a record's share of frame and segment headers, in bytes.
const FRAMING_BYTES: u64 = 48;

/// Space of the log, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Size of the log on the disk.
    pub used_bytes: u64,
    /// Reserved for records that are queued or being written, and for the outcomes of open intents.
    pub reserved_bytes: u64,
}

/// Accounts for the space of the log, so that the outcome of each admitted run fits.
#[derive(Debug)]
pub(super) struct Space {
    config: CommitQueueConfig,
    usage: Usage,
}

impl Space {
    pub(super) fn new(config: CommitQueueConfig, used_bytes: u64) -> Space {
        Space {
            config,
            usage: Usage {
                used_bytes,
                reserved_bytes: 0,
            },
        }
    }

    pub(super) fn usage(&self) -> Usage {
        self.usage
    }

    pub(super) fn set_used(&mut self, used_bytes: u64) {
        self.usage.used_bytes = used_bytes;
    }

    pub(super) fn reserve(&mut self, record: &Record) {
        self.usage.reserved_bytes += max_record_bytes(record);
    }

    pub(super) fn release(&mut self, record: &Record) {
        self.usage.reserved_bytes -= max_record_bytes(record);
    }

    /// Reserves space for the outcomes of `count` open intents.
    pub(super) fn reserve_outcomes(&mut self, count: u64) {
        self.usage.reserved_bytes += count * self.max_outcome_bytes();
    }

    pub(super) fn release_outcomes(&mut self, count: u64) {
        self.usage.reserved_bytes -= count * self.max_outcome_bytes();
    }

    fn max_outcome_bytes(&self) -> u64 {
        FRAMING_BYTES + OUTCOME_OVERHEAD_BYTES + self.config.max_result_bytes as u64
    }

    /// Whether the records of one more run would not fit.
    pub(super) fn is_full(&self) -> bool {
        let max_intent_bytes = FRAMING_BYTES + INTENT_OVERHEAD_BYTES + MAX_KEY_BYTES as u64;
        let run = max_intent_bytes + self.max_outcome_bytes();
        let committed = self.usage.used_bytes + self.usage.reserved_bytes;
        committed + run + self.config.compaction_reserve > self.config.capacity
    }
}

/// Upper bound of a record's space in the log, in bytes.
fn max_record_bytes(record: &Record) -> u64 {
    let encoded = match record {
        Record::Intent(Intent { key, class, .. }) => {
            INTENT_OVERHEAD_BYTES + (key.len() + class.len()) as u64
        }
        Record::Outcome {
            outcome: Outcome::Served(result),
            ..
        } => OUTCOME_OVERHEAD_BYTES + result.len() as u64,
        Record::Outcome {
            outcome: Outcome::Failed,
            ..
        }
        | Record::Void { .. } => OUTCOME_OVERHEAD_BYTES,
    };
    FRAMING_BYTES + encoded
}
