//! Writes records into segments within the configured limits, on a directory that may fail at any
//! time.
//!
//! The total size of a node's segments never exceeds its limit: the oldest segment is removed
//! first. Records that can't be written are counted, and the next segment states the gap.

use crate::directory::{sanitize_node_name, Directory, SegmentName};
use crate::record::{End, LostRecords, SegmentHeader};
use crate::recorder::{Checkpoint, QueuedMessage, RecordReceiver};
use crate::retry_timer::RetryTimer;
use crate::segment::SegmentWriter;
use pipitlever_admission::Micros;
use std::collections::VecDeque;
use std::fmt;
use std::io;

/// Pending records are written as a frame once they have this many bytes, and at the end of each
/// call of [`CaptureWriter::write_queued`].
const FRAME_BYTES: usize = 64 << 10;
/// Added to the capacity of a frame's buffer for its headers, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 32;
/// How often the writer checks that the open segment's file still exists.
const FILE_CHECK_INTERVAL: Micros = 1_000_000;

/// The limits on disk usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A segment ends once it has this many bytes.
    pub segment_bytes: u64,
    /// The most bytes that all segments of a node have together.
    pub total_bytes: u64,
}

/// A change of the writer's state, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriterEvent {
    /// Records are written from now on. Contains the segment's file name.
    Writing(String),
    /// No records are written from now on. Contains the error.
    Stopped(String),
    /// This many records were lost. The segment that begins now, or the end of the last one, states
    /// the gap.
    Gap(u64),
}

impl fmt::Display for WriterEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WriterEvent::Writing(name) => write!(formatter, "capture: writing: file={name}"),
            WriterEvent::Stopped(error) => write!(formatter, "capture: stopped: {error}"),
            WriterEvent::Gap(records) => write!(formatter, "capture: gap: records={records}"),
        }
    }
}

/// The segment being written.
#[derive(Debug)]
struct OpenSegment {
    name: String,
    encoder: SegmentWriter,
    bytes: u64,
}

/// A complete segment on disk.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClosedSegment {
    name: String,
    bytes: u64,
}

/// Encoded records that are not in a frame yet.
#[derive(Debug, Default)]
struct PendingRecords {
    bytes: Vec<u8>,
    count: u64,
}

/// Writes the segments of a node into a directory.
#[derive(Debug)]
pub struct CaptureWriter<D> {
    directory: D,
    limits: Limits,
    /// The node's name, sanitized for file names.
    node: String,
    /// The number of the last segment whose creation was attempted.
    segment: u32,
    open: Option<OpenSegment>,
    /// The oldest first.
    closed: VecDeque<ClosedSegment>,
    pending: PendingRecords,
    lost: LostRecords,
    retry: RetryTimer,
    last_file_check: Micros,
    /// True if [`WriterEvent::Writing`] was reported last, false if [`WriterEvent::Stopped`] was,
    /// and `None` before either.
    reported_writing: Option<bool>,
    events: Vec<WriterEvent>,
}

impl<D: Directory> CaptureWriter<D> {
    /// Creates a writer for the segments of a node.
    pub fn new(directory: D, limits: Limits, node: &str) -> CaptureWriter<D> {
        CaptureWriter {
            directory,
            limits,
            node: sanitize_node_name(node),
            segment: 0,
            open: None,
            closed: VecDeque::new(),
            pending: PendingRecords::default(),
            lost: LostRecords::default(),
            retry: RetryTimer::new(),
            last_file_check: 0,
            reported_writing: None,
            events: Vec::new(),
        }
    }

    /// The directory, for tests.
    pub fn directory(&mut self) -> &mut D {
        &mut self.directory
    }

    /// The size of all segments, in bytes.
    pub fn total_bytes(&self) -> u64 {
        let closed: u64 = self.closed.iter().map(|segment| segment.bytes).sum();
        closed + self.open.as_ref().map_or(0, |segment| segment.bytes)
    }

    /// Writes the queued records and returns the events to be logged.
    pub fn write_queued(&mut self, now: Micros, receiver: &mut RecordReceiver) -> Vec<WriterEvent> {
        if now - self.last_file_check >= FILE_CHECK_INTERVAL {
            self.last_file_check = now;
            self.check_file(now);
        }
        receiver.drain(|message| match message {
            QueuedMessage::Record(bytes) => self.add_record(now, bytes),
            QueuedMessage::Checkpoint(checkpoint) => self.begin_segment(now, *checkpoint),
        });
        self.flush(now);
        if self.needs_checkpoint(now) {
            receiver.request_checkpoint();
        }
        std::mem::take(&mut self.events)
    }

    /// Writes the remaining records after the recorder was dropped, ends the last segment, and
    /// returns the events to be logged.
    pub fn finish(&mut self, now: Micros, receiver: &mut RecordReceiver) -> Vec<WriterEvent> {
        let mut events = self.write_queued(now, receiver);
        // The end frame states these losses, as no segment header follows.
        let lost = self.lost.records + receiver.lost_records();
        self.end_segment(now, End::Last(lost));
        events.append(&mut self.events);
        if lost > 0 {
            events.push(WriterEvent::Gap(lost));
        }
        events
    }

    /// Stops if the open segment's file was removed, as writes to it would succeed but be lost.
    fn check_file(&mut self, now: Micros) {
        let Some(open) = &self.open else { return };
        if !self.directory.contains(&open.name) {
            let error = io::Error::other("the segment's file was removed");
            self.handle_failure(now, &error);
        }
    }

    fn needs_checkpoint(&self, now: Micros) -> bool {
        match &self.open {
            Some(open) => open.bytes >= self.limits.segment_bytes,
            None => !self.retry.is_waiting(now),
        }
    }

    fn add_record(&mut self, now: Micros, bytes: &[u8]) {
        if self.open.is_none() {
            self.lost.records += 1;
            return;
        }
        self.pending.bytes.extend_from_slice(bytes);
        self.pending.count += 1;
        if self.pending.bytes.len() >= FRAME_BYTES {
            self.flush(now);
        }
    }

    /// Writes the pending records as a frame.
    fn flush(&mut self, now: Micros) {
        let Some(open) = self.open.as_mut() else {
            return;
        };
        if self.pending.bytes.is_empty() {
            return;
        }
        let mut frame = Vec::with_capacity(self.pending.bytes.len() + FRAME_OVERHEAD_BYTES);
        open.encoder.append_records(&self.pending.bytes, &mut frame);
        match self.free_space(frame.len() as u64) {
            Ok(true) => {}
            // The open segment alone has reached the limit before the next checkpoint.
            Ok(false) => {
                self.discard_pending();
                return self.end_segment(now, End::Next);
            }
            Err(error) => return self.handle_failure(now, &error),
        }
        match self.directory.append(&frame) {
            Ok(()) => {
                let open = self.open.as_mut().expect("a segment is open, see above");
                open.bytes += frame.len() as u64;
                self.pending.bytes.clear();
                self.pending.count = 0;
                self.pending.bytes.shrink_to(2 * FRAME_BYTES);
            }
            Err(error) => self.handle_failure(now, &error),
        }
    }

    /// Removes the oldest segments until `needed` further bytes stay within the limit. Returns
    /// false if they exceed the limit even without any closed segment. A segment that can't be
    /// removed is an error, as disk usage would grow with every new segment.
    fn free_space(&mut self, needed: u64) -> io::Result<bool> {
        while self.total_bytes() + needed > self.limits.total_bytes {
            let Some(oldest) = self.closed.front() else {
                return Ok(false);
            };
            match self.directory.remove(&oldest.name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => self.closed.pop_front(),
            };
        }
        Ok(true)
    }

    fn begin_segment(&mut self, now: Micros, checkpoint: Checkpoint) {
        self.end_segment(now, End::Next);
        if self.retry.is_waiting(now) {
            // The checkpoint ends a gap of the queue, but writing to the directory still fails.
            let lost = checkpoint.header.lost;
            self.lost.records += lost.map_or(0, |lost| lost.records);
            return;
        }
        match self.try_begin_segment(checkpoint) {
            Ok(name) => {
                self.retry = RetryTimer::new();
                if self.reported_writing != Some(true) {
                    self.reported_writing = Some(true);
                    self.events.push(WriterEvent::Writing(name));
                }
            }
            Err(error) => self.handle_failure(now, &error),
        }
    }

    /// Creates a segment that begins with the checkpoint, and returns its file name.
    fn try_begin_segment(&mut self, checkpoint: Checkpoint) -> io::Result<String> {
        let Checkpoint { header, controller } = checkpoint;
        self.merge_lost(header.lost.clone());
        let lost = self.lost.clone();
        let header = SegmentHeader {
            segment: self.segment + 1,
            lost: (lost != LostRecords::default()).then_some(lost),
            ..header
        };
        let mut bytes = Vec::new();
        let encoder = SegmentWriter::open(&header, &controller, &mut bytes);
        self.closed = self.list_segments()?;
        self.free_space_for_segment(bytes.len() as u64)?;
        // A number is never used twice, as the file of a failed attempt may still exist.
        self.segment += 1;
        let name = SegmentName {
            node: &self.node,
            run: header.run,
            segment: self.segment,
        };
        let name = name.file_name();
        self.create_file(&name, &bytes)?;
        self.open = Some(OpenSegment {
            name: name.clone(),
            encoder,
            bytes: bytes.len() as u64,
        });
        if self.lost.records > 0 {
            self.events.push(WriterEvent::Gap(self.lost.records));
        }
        self.lost = LostRecords::default();
        Ok(name)
    }

    /// Adds the recorder's losses to those of the writer. The writer's disk error takes precedence.
    fn merge_lost(&mut self, recorder: Option<LostRecords>) {
        let recorder = recorder.unwrap_or_default();
        self.lost = LostRecords {
            records: recorder.records + self.lost.records,
            queue_full: recorder.queue_full,
            disk_error: self.lost.disk_error.take().or(recorder.disk_error),
        };
    }

    /// The node's segments in the directory, the oldest first.
    fn list_segments(&mut self) -> io::Result<VecDeque<ClosedSegment>> {
        let files = self.directory.list()?;
        let is_own =
            |name: &str| SegmentName::parse(name).is_some_and(|parsed| parsed.node == self.node);
        let mut segments: Vec<ClosedSegment> = files
            .into_iter()
            .filter(|(name, _)| is_own(name))
            .map(|(name, bytes)| ClosedSegment { name, bytes })
            .collect();
        segments.sort();
        Ok(segments.into())
    }

    /// Frees space for a whole segment at once, so that not every frame removes a segment. If the
    /// limit does not allow that, frees space for the segment's header and state.
    fn free_space_for_segment(&mut self, checkpoint_bytes: u64) -> io::Result<()> {
        let whole = self.limits.segment_bytes.max(checkpoint_bytes);
        if self.free_space(whole)? || self.free_space(checkpoint_bytes)? {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "a checkpoint of {checkpoint_bytes} bytes exceeds keep_mb"
        )))
    }

    fn create_file(&mut self, name: &str, checkpoint: &[u8]) -> io::Result<()> {
        self.directory.create(name)?;
        self.directory.append(checkpoint).inspect_err(|_| {
            // A segment with an incomplete header or state can't be replayed.
            self.directory.close();
            // A file that can't be removed counts as a segment: it is removed later, as the oldest.
            let _ = self.directory.remove(name);
        })
    }

    fn end_segment(&mut self, now: Micros, end: End) {
        self.flush(now);
        let Some(mut open) = self.open.take() else {
            return;
        };
        let mut frame = Vec::new();
        open.encoder.append_end(end, &mut frame);
        // Without an end frame the segment is read as truncated at this point, but no record is
        // lost.
        if self.directory.append(&frame).is_ok() {
            open.bytes += frame.len() as u64;
        }
        self.close_file(open);
    }

    fn close_file(&mut self, open: OpenSegment) {
        self.directory.close();
        self.closed.push_back(ClosedSegment {
            name: open.name,
            bytes: open.bytes,
        });
    }

    fn discard_pending(&mut self) {
        self.lost.records += std::mem::take(&mut self.pending.count);
        self.pending.bytes.clear();
    }

    /// Closes the open segment and schedules the next attempt.
    fn handle_failure(&mut self, now: Micros, error: &io::Error) {
        self.discard_pending();
        if let Some(open) = self.open.take() {
            self.close_file(open);
        }
        self.lost.disk_error = Some(error.to_string());
        self.retry.record_failure(now);
        if self.reported_writing != Some(false) {
            self.reported_writing = Some(false);
            self.events.push(WriterEvent::Stopped(error.to_string()));
        }
    }
}
