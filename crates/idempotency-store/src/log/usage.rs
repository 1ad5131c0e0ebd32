//! Size and expiry of the segments on the disk, as tracked in memory.

use super::batch::Batch;
use crate::Micros;
use std::collections::BTreeMap;

pub(super) const SECOND: Micros = 1_000_000;

/// Size and expiry of a segment.
#[derive(Debug)]
pub(super) struct SegmentUsage {
    pub(super) number: u64,
    /// Size of the file, in bytes.
    pub(super) bytes: u64,
    /// When all of its records have expired, by the time since boot, in microseconds.
    pub(super) expires_at: Micros,
    /// How much longer than written its records are needed, since windows became longer, in
    /// microseconds.
    pub(super) extension: Micros,
    /// Bytes of records by the second in which they expire. All bytes of an earlier process's
    /// segment count as expiring together.
    bytes_by_expiry: BTreeMap<i64, u64>,
}

impl SegmentUsage {
    /// Usage of a segment that this process has started.
    pub(super) fn started(number: u64, bytes: u64) -> SegmentUsage {
        SegmentUsage {
            number,
            bytes,
            expires_at: Micros::MIN,
            extension: 0,
            bytes_by_expiry: BTreeMap::new(),
        }
    }

    /// Usage of a segment of an earlier process.
    pub(super) fn found(number: u64, bytes: u64, expires_at: Micros) -> SegmentUsage {
        SegmentUsage {
            number,
            bytes,
            expires_at,
            extension: 0,
            bytes_by_expiry: BTreeMap::from([(expires_at / SECOND, bytes)]),
        }
    }

    /// Usage of a segment that should exist but does not.
    pub(super) fn missing(number: u64, expires_at: Micros) -> SegmentUsage {
        SegmentUsage {
            expires_at,
            ..SegmentUsage::started(number, 0)
        }
    }

    /// Counts the records of a batch that was written to the segment.
    pub(super) fn add(&mut self, batch: &Batch) {
        for expiry in &batch.expiries {
            self.expires_at = self.expires_at.max(expiry.expires_at);
            let second = expiry.expires_at / SECOND;
            *self.bytes_by_expiry.entry(second).or_default() += u64::from(expiry.bytes);
        }
    }

    /// Keeps all records for this much longer, in microseconds.
    pub(super) fn extend(&mut self, extension: Micros) {
        self.extension = self.extension.saturating_add(extension);
        if self.expires_at != Micros::MIN {
            self.expires_at = self.expires_at.saturating_add(extension);
        }
        let seconds = extension / SECOND + 1;
        if extension > 0 {
            let before = std::mem::take(&mut self.bytes_by_expiry);
            self.bytes_by_expiry = before
                .into_iter()
                .map(|(second, bytes)| (second.saturating_add(seconds), bytes))
                .collect();
        }
    }

    /// Bytes of records that have not expired.
    pub(super) fn live_bytes(&self, now: Micros) -> u64 {
        let live = self.bytes_by_expiry.range(now / SECOND..);
        live.map(|(_, bytes)| bytes).sum()
    }
}
