//! Reclaiming of space: incrementally while the log is written, and by compaction of a store that
//! is not in use.

use super::batch::Batch;
use super::contents::LogContents;
use super::error::OpenError;
use super::files::{segment_name, SegmentFiles};
use super::segment::Segment;
use super::usage::SECOND;
use super::Log;
use crate::record::{Clocks, Record};
use crate::recovery::RecoveredKey;
use crate::Micros;
use std::io;

/// Minimum interval between two reclaims, in microseconds. Limits the work while expired segments
/// can't be removed.
const RECLAIM_INTERVAL: Micros = SECOND;

impl<F: SegmentFiles> Log<F> {
    /// Drops expired segments. If the oldest segment has not expired but at least half of it has,
    /// its live records are rewritten to a new segment. Does nothing while at most half of the
    /// capacity is used.
    pub(super) fn reclaim_space(&mut self) -> io::Result<()> {
        if self.used_bytes() <= self.limits.capacity / 2 || self.segments.len() < 2 {
            return Ok(());
        }
        let now = self.files.clocks().since_boot;
        if now < self.reclaimed_at.saturating_add(RECLAIM_INTERVAL) {
            return Ok(());
        }
        let oldest = &self.segments[0];
        if oldest.expires_at < now {
            self.reclaimed_at = now;
            return self.start_segment();
        }
        if oldest.live_bytes(now) * 2 > oldest.bytes {
            return Ok(());
        }
        self.reclaimed_at = now;
        self.rewrite_oldest(now)
    }

    fn rewrite_oldest(&mut self, now: Micros) -> io::Result<()> {
        let (number, extension) = (self.segments[0].number, self.segments[0].extension);
        let bytes = self.files.read(&segment_name(number))?;
        let mut live = Batch::default();
        let clocks = self.files.clocks();
        Segment::read(number, &bytes, &clocks, |record, _| {
            if record.expires_at().saturating_add(extension) >= now {
                live.push(&record);
            }
        });
        self.start_segment()?;
        if !live.is_empty() {
            self.append(&live)?;
            // The records are copied as they were written.
            if let Some(segment) = self.segments.back_mut() {
                segment.extend(extension);
            }
        }
        // All live records are in a newer segment; the start of the next one drops this segment.
        self.segments[0].expires_at = Micros::MIN;
        self.start_segment()
    }

    /// Writes all live records into one new segment and drops the others. The store must not be in
    /// use by another process.
    ///
    /// # Errors
    ///
    /// If the files report an error, or the log is damaged.
    pub fn compact(&mut self) -> Result<(), OpenError> {
        let contents = LogContents::read(&mut self.files)?;
        if let Some(damage) = contents.damage.first() {
            return Err(OpenError::Damaged(damage.clone()));
        }
        let now = self.files.clocks();
        let mut live = Batch::default();
        for key in contents.into_keys(&now) {
            push_key(&mut live, key, &now);
        }
        self.start_segment()?;
        if !live.is_empty() {
            self.append(&live)?;
        }
        let older = self.segments.len() - 1;
        for segment in self.segments.iter_mut().take(older) {
            segment.expires_at = Micros::MIN;
        }
        self.start_segment()?;
        Ok(())
    }
}

/// Appends the records of a key, with times converted to the clocks of the current boot.
fn push_key(batch: &mut Batch, key: RecoveredKey, now: &Clocks) {
    let RecoveredKey {
        mut intent,
        window_end,
        outcome,
    } = key;
    intent.expires_at = now.since_boot + (window_end - now.wall) + intent.read_grace;
    intent.arrived_at = window_end - intent.window;
    let (id, expires_at) = (intent.id, intent.expires_at);
    batch.push(&Record::Intent(intent));
    if let Some(outcome) = outcome {
        batch.push(&Record::Outcome {
            id,
            expires_at,
            outcome,
        });
    }
}
