//! The segmented log, bounded in size, on files whose operations may fail at any time.
//!
//! A frame contains a batch of records. A frame that is not completely durable is ignored on
//! reading, as no run relies on a batch that was not synced. After any failure nothing is appended
//! to the same segment, since its tail may be incomplete: a new segment is started, whose header
//! records how much of the previous one is known to be on the disk. A reader can therefore
//! distinguish a truncated tail from damage: all synced bytes must be readable.
//!
//! A segment is dropped once all of its records have expired. The header of the next segment
//! records the drop first, so that a segment missing without such an entry counts as damage. Where
//! a few records with long windows prevent a segment from expiring, its live records are copied to
//! a new segment and the old one is dropped.

mod batch;
mod compaction;
mod contents;
mod error;
mod files;
mod open;
mod segment;
mod usage;

pub use batch::{Batch, RecordExpiry};
pub use contents::LogContents;
pub use error::{Damage, OpenError};
pub use files::{Limits, SegmentFiles, SUFFIX};
pub use open::OpenReport;
pub use segment::Segment;

use crate::crash_point::crash_point;
use crate::record::{encode, Clocks, Salt, SegmentHeader, FORMAT};
use crate::Micros;
use files::segment_name;
use pipitlever_framing::append_frame;
use std::collections::VecDeque;
use std::io;
use usage::SegmentUsage;

/// The log of the process that writes to it.
#[derive(Debug)]
pub struct Log<F> {
    files: F,
    limits: Limits,
    salt: Salt,
    /// Segments, the oldest first. The last one may be appended to while `next_frame` is set.
    segments: VecDeque<SegmentUsage>,
    /// Number of the next frame; `None` if the next batch needs a new segment.
    next_frame: Option<u32>,
    /// Length of the part of the last segment that is known to be on the disk, in bytes.
    durable_bytes: Option<u64>,
    /// Number of the next segment.
    next_segment: u64,
    /// When space was last reclaimed, by the time since boot.
    reclaimed_at: Micros,
}

impl<F: SegmentFiles> Log<F> {
    /// The key of the store's digests.
    pub fn salt(&self) -> Salt {
        self.salt
    }

    /// Size of all segments, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Reads the clocks of the machine.
    pub fn clocks(&mut self) -> Clocks {
        self.files.clocks()
    }

    /// The files of the log, for tests.
    pub fn files_mut(&mut self) -> &mut F {
        &mut self.files
    }

    /// Writes a batch and makes it durable, all records or none. An empty batch reclaims space, and
    /// tests whether writes succeed again after an error.
    ///
    /// # Errors
    ///
    /// If the files report an error. The batch may be durable nevertheless.
    pub fn write(&mut self, batch: &Batch) -> io::Result<()> {
        self.write_records(batch)?;
        for segment in &mut self.segments {
            segment.extend(batch.extension);
        }
        Ok(())
    }

    fn write_records(&mut self, batch: &Batch) -> io::Result<()> {
        self.reclaim_space()?;
        if batch.is_empty() {
            return match self.next_frame {
                Some(_) => Ok(()),
                None => self.start_segment(),
            };
        }
        let last_size = self.segments.back().map_or(0, |segment| segment.bytes);
        if self.next_frame.is_none() || last_size >= self.limits.segment_size {
            self.start_segment()?;
        }
        self.append(batch)
    }

    fn append(&mut self, batch: &Batch) -> io::Result<()> {
        let number = self.next_frame.take().expect("a segment was started");
        let segment = self.segments.back_mut().expect("a segment was started");
        let mut bytes = Vec::new();
        append_frame(&mut bytes, number, |out| {
            out.extend_from_slice(&batch.bytes);
        });
        crash_point("before-append");
        // Counted even if the append fails, since any part of the frame may be on the disk.
        segment.bytes += bytes.len() as u64;
        self.files.append(&bytes)?;
        crash_point("before-sync");
        self.files.sync()?;
        crash_point("after-sync");
        self.next_frame = Some(number + 1);
        self.durable_bytes = Some(segment.bytes);
        segment.add(batch);
        Ok(())
    }

    /// Starts a new segment, and drops the oldest ones that have expired.
    fn start_segment(&mut self) -> io::Result<()> {
        self.next_frame = None;
        let clocks = self.files.clocks();
        let expired = self
            .segments
            .iter()
            .take_while(|segment| segment.expires_at < clocks.since_boot)
            .count();
        let number = self.next_segment;
        let header = SegmentHeader {
            number,
            oldest: self.segments.get(expired).map_or(number, |s| s.number),
            previous_durable_bytes: self.durable_bytes,
            clocks,
            salt: self.salt,
        };
        let mut bytes = Vec::new();
        FORMAT.write_header(&mut bytes);
        append_frame(&mut bytes, 0, |out| encode(&header, out));
        // A file of this number that already exists was not completely started: no batch was
        // written to it, and it is replaced.
        self.files.create(&segment_name(number))?;
        self.files.append(&bytes)?;
        self.files.sync()?;
        let size = bytes.len() as u64;
        self.next_segment = number + 1;
        self.durable_bytes = Some(size);
        self.next_frame = Some(1);
        self.segments.push_back(SegmentUsage::started(number, size));
        self.remove_oldest(expired);
        Ok(())
    }

    /// Removes the oldest segments. A segment that can't be removed stays in the list, and its
    /// removal is retried when the next segment is started.
    fn remove_oldest(&mut self, count: usize) {
        for _ in 0..count {
            let name = segment_name(self.segments[0].number);
            if self.files.remove(&name).is_err() {
                return;
            }
            self.segments.pop_front();
        }
    }
}
