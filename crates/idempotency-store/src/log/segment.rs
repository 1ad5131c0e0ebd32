//! Reading of one segment.

use super::files::segment_name;
use crate::record::{decode_header, decode_records, Clocks, Record, SegmentHeader, FORMAT};
use crate::recovery::remaining_window;
use crate::Micros;
use pipitlever_framing::{FrameReader, ReadError, ReadErrorKind};

/// File systems write in blocks of at least this size, in bytes. A block that was not written
/// before a power failure reads as zeros.
const BLOCK_BYTES: usize = 512;
/// No frame begins with this many zeros, as a frame header has a checksum.
const MIN_ZEROS: usize = 8;

/// The readable part of a segment, and the reason why it ends.
#[derive(Clone, Debug)]
pub struct Segment {
    /// Number of the segment.
    pub number: u64,
    /// Name of the file.
    pub file: String,
    /// Size of the file, in bytes.
    pub size: u64,
    /// Length of the readable part, in bytes.
    pub readable: u64,
    /// The segment's header, if it is readable.
    pub header: Option<SegmentHeader>,
    /// Why the segment can't be read to its end, unless it is truncated.
    pub error: Option<ReadError>,
    /// The longest time that a record of the segment is still needed, in microseconds; `None` if
    /// the clocks of another boot leave this open.
    pub(super) remaining: Option<Micros>,
    /// False if reading ended with an error and the rest does not look like blocks that were never
    /// written.
    pub(super) has_unwritten_tail: bool,
}

impl Segment {
    /// Reads a segment, and calls `on_record` with each record and the clocks of the header.
    pub(super) fn read(
        number: u64,
        bytes: &[u8],
        now: &Clocks,
        mut on_record: impl FnMut(Record, &Clocks),
    ) -> Segment {
        let mut segment = Segment {
            number,
            file: segment_name(number),
            size: bytes.len() as u64,
            readable: 0,
            header: None,
            error: None,
            remaining: Some(0),
            has_unwritten_tail: true,
        };
        if let Err(error) = segment.read_frames(bytes, now, &mut on_record) {
            // Whether the error is damage depends on the segments after this one.
            segment.has_unwritten_tail = is_unwritten(bytes, error.offset as usize);
            segment.error = Some(error);
        }
        segment
    }

    fn read_frames(
        &mut self,
        bytes: &[u8],
        now: &Clocks,
        on_record: &mut impl FnMut(Record, &Clocks),
    ) -> Result<(), ReadError> {
        let mut frames = FrameReader::open(FORMAT, bytes)?;
        while let Some(frame) = frames.next_frame()? {
            let invalid = |problem: String| ReadError {
                offset: frame.offset,
                kind: ReadErrorKind::InvalidPayload(problem),
            };
            if let Some(header) = &self.header {
                let records = decode_records(frame.payload);
                for record in records.map_err(|error| invalid(error.to_string()))? {
                    let remaining = remaining_use(&record, &header.clocks, now);
                    self.remaining = self
                        .remaining
                        .and_then(|longest| Some(longest.max(remaining?)));
                    on_record(record, &header.clocks);
                }
            } else {
                let header = decode_header(frame.payload);
                let header = header.map_err(|error| invalid(error.to_string()))?;
                if header.number != self.number {
                    return Err(invalid(format!(
                        "the header has segment number {}, unlike the file name",
                        header.number
                    )));
                }
                self.header = Some(header);
            }
            self.readable = frames.offset();
        }
        Ok(())
    }
}

/// How long a record is still needed, in microseconds; `None` if the record is of another boot and
/// has no wall clock time.
fn remaining_use(record: &Record, written: &Clocks, now: &Clocks) -> Option<Micros> {
    match record {
        Record::Intent(intent) => Some(
            remaining_window(intent, written, now)
                .map_or(0, |window| window.saturating_add(intent.read_grace)),
        ),
        // Needed as long as its intent, which may be in another segment.
        Record::Outcome { expires_at, .. } | Record::Void { expires_at, .. } => written
            .is_same_boot(now)
            .then(|| expires_at.saturating_sub(now.since_boot)),
    }
}

/// Whether the bytes from `offset` on look as after a power failure: blocks that were not written
/// are zeros.
fn is_unwritten(bytes: &[u8], offset: usize) -> bool {
    let is_zero = |bytes: &[u8]| bytes.iter().all(|&byte| byte == 0);
    // The rest may be shorter than a block: only the new length of the file was written.
    if bytes.get(offset..).is_some_and(is_zero) {
        return true;
    }
    let first_block = offset.div_ceil(BLOCK_BYTES) * BLOCK_BYTES;
    let before_block = bytes
        .get(offset..first_block.min(bytes.len()))
        .unwrap_or_default();
    let blocks = bytes.get(first_block..).unwrap_or_default();
    (before_block.len() >= MIN_ZEROS && is_zero(before_block))
        || blocks.chunks_exact(BLOCK_BYTES).any(is_zero)
}
