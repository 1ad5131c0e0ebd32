//! One segment: a frame with the segment header and the controller's state, frames of records, and
//! an end frame.

use crate::frame::{append_frame, Frame, FrameReader, ReadError, ReadErrorKind, FORMAT};
use crate::record::{decode, End, Record, SegmentHeader};
use pipitlever_admission::{Controller, Event};
use serde::Serialize;

/// The first byte of the frame with the segment header.
const HEADER_TAG: u8 = 0;
/// The first byte of a frame with records.
const RECORDS_TAG: u8 = 1;
/// The first byte of the end frame.
const END_TAG: u8 = 2;
/// In an end frame: another segment follows.
const END_NEXT: u8 = 0;
/// In an end frame: the segment is the last one of its run.
const END_LAST: u8 = 1;
/// Bytes of the segment header's length, little-endian.
const LENGTH_BYTES: usize = 4;

/// A controller's state can't be read by this build.
#[derive(Debug, thiserror::Error)]
#[error("this build has another state: {0}")]
pub struct RestoreError(#[from] rmp_serde::decode::Error);

/// Serializes a controller's state. Equal states have equal bytes.
pub fn serialize_controller(controller: &Controller) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_message_pack(controller, &mut bytes);
    bytes
}

fn write_message_pack(value: &impl Serialize, out: &mut Vec<u8>) {
    let mut serializer = rmp_serde::Serializer::new(out).with_struct_map();
    value.serialize(&mut serializer).expect(
        "MessagePack can represent segment headers and states, and a vector accepts all bytes",
    );
}

/// Restores a controller from its serialized state.
///
/// # Errors
///
/// If the state was written by a build whose state has other fields.
pub fn restore_controller(state: &[u8]) -> Result<Controller, RestoreError> {
    Ok(rmp_serde::from_slice(state)?)
}

/// Encodes one segment, frame by frame.
#[derive(Debug)]
pub struct SegmentWriter {
    /// The number of the next frame.
    next_frame: u32,
}

impl SegmentWriter {
    /// Begins a segment: appends the file header and the frame with the segment header to `out`.
    pub fn open(
        header: &SegmentHeader,
        controller: &Controller,
        out: &mut Vec<u8>,
    ) -> SegmentWriter {
        FORMAT.write_header(out);
        // Serialized in place, without a copy, as the state may be large compared with the node's
        // memory.
        append_frame(out, 0, |out| {
            out.push(HEADER_TAG);
            let length_at = out.len();
            let header_at = length_at + LENGTH_BYTES;
            out.extend_from_slice(&[0; LENGTH_BYTES]);
            write_message_pack(header, out);
            let length = (out.len() - header_at) as u32;
            out[length_at..header_at].copy_from_slice(&length.to_le_bytes());
            write_message_pack(controller, out);
        });
        SegmentWriter { next_frame: 1 }
    }

    /// Appends a frame of whole encoded records to `out`.
    pub fn append_records(&mut self, records: &[u8], out: &mut Vec<u8>) {
        self.append_tagged(RECORDS_TAG, records, out);
    }

    /// Appends the end frame to `out`.
    pub fn append_end(&mut self, end: End, out: &mut Vec<u8>) {
        match end {
            End::Next => self.append_tagged(END_TAG, &[END_NEXT], out),
            End::Last(lost) => {
                let payload = [&[END_LAST], &lost.to_le_bytes()[..]].concat();
                self.append_tagged(END_TAG, &payload, out);
            }
        }
    }

    fn append_tagged(&mut self, tag: u8, payload: &[u8], out: &mut Vec<u8>) {
        append_frame(out, self.next_frame, |out| {
            out.push(tag);
            out.extend_from_slice(payload);
        });
        self.next_frame += 1;
    }
}

/// The end of a segment's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The data ends with an end frame.
    Complete(End),
    /// The data is truncated. The part before this offset in bytes is intact.
    Truncated(u64),
}

/// A record and its position.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordAt {
    /// The offset of the record's frame in the file, in bytes.
    pub offset: u64,
    /// The record.
    pub record: Record,
}

/// Reads one segment from memory.
#[derive(Debug)]
pub struct SegmentReader<'a> {
    frames: FrameReader<'a>,
    /// The records of the current frame that are not decoded yet.
    undecoded: &'a [u8],
    /// The offset of the current frame, in bytes.
    frame_offset: u64,
    tail: Option<Tail>,
    header: Option<SegmentHeader>,
    state: &'a [u8],
}

impl<'a> SegmentReader<'a> {
    /// Reads the segment header. A segment that is truncated inside the header has neither a header
    /// nor records.
    ///
    /// # Errors
    ///
    /// If the bytes are not a capture, have another format version, or the header is damaged.
    pub fn open(bytes: &'a [u8]) -> Result<SegmentReader<'a>, ReadError> {
        let mut frames = FrameReader::open(FORMAT, bytes)?;
        let Some(Frame { offset, payload }) = frames.next_frame()? else {
            let tail = Some(Tail::Truncated(frames.offset()));
            return Ok(SegmentReader {
                frames,
                undecoded: &[],
                frame_offset: 0,
                tail,
                header: None,
                state: &[],
            });
        };
        let (header, state) = read_segment_header(offset, payload)?;
        Ok(SegmentReader {
            frames,
            undecoded: &[],
            frame_offset: offset,
            tail: None,
            header: Some(header),
            state,
        })
    }

    /// The header; `None` if the segment is truncated inside it.
    pub fn header(&self) -> Option<&SegmentHeader> {
        self.header.as_ref()
    }

    /// The serialized state of the controller at the start of the segment.
    pub fn state(&self) -> &'a [u8] {
        self.state
    }

    /// The controller at the start of the segment.
    ///
    /// # Errors
    ///
    /// If this build can't read the state.
    pub fn controller(&self) -> Result<Controller, RestoreError> {
        restore_controller(self.state)
    }

    /// Reads the next record; `None` at the end of the segment.
    ///
    /// # Errors
    ///
    /// If the segment is damaged.
    pub fn next_record(&mut self) -> Result<Option<RecordAt>, ReadError> {
        while self.tail.is_none() {
            if !self.undecoded.is_empty() {
                return self.decode_record().map(Some);
            }
            self.read_frame()?;
        }
        Ok(None)
    }

    /// How the segment ends, once [`SegmentReader::next_record`] has returned `None`.
    pub fn tail(&self) -> Option<Tail> {
        self.tail
    }

    fn decode_record(&mut self) -> Result<RecordAt, ReadError> {
        let offset = self.frame_offset;
        let (record, undecoded) =
            decode(self.undecoded).map_err(|error| invalid_content(offset, error.to_string()))?;
        self.undecoded = undecoded;
        self.check_class(&record)?;
        Ok(RecordAt { offset, record })
    }

    /// Reads the next frame. Its records remain to be decoded, unless it is the end frame.
    fn read_frame(&mut self) -> Result<(), ReadError> {
        let Some(Frame { offset, payload }) = self.frames.next_frame()? else {
            self.tail = Some(Tail::Truncated(self.frames.offset()));
            return Ok(());
        };
        self.frame_offset = offset;
        match payload.split_first() {
            Some((&RECORDS_TAG, records)) => self.undecoded = records,
            Some((&END_TAG, end)) => {
                let end = read_end(offset, end)?;
                if self.frames.next_frame()?.is_some() {
                    return Err(invalid_content(offset, "data after the end frame"));
                }
                self.tail = Some(Tail::Complete(end));
            }
            _ => return Err(invalid_content(offset, "a frame without a known tag")),
        }
        Ok(())
    }

    /// Checks that the record's class exists, as the controller indexes its classes unchecked.
    fn check_class(&self, record: &Record) -> Result<(), ReadError> {
        let header = self.header.as_ref();
        let classes = header.map_or(0, |header| header.settings.classes.len());
        let unknown = match record {
            Record::Identity(_) => None,
            Record::Step { events, .. } => events.iter().find_map(|event| match event {
                Event::Arrived(request) if request.class >= classes => Some(request.class),
                _ => None,
            }),
            Record::Answer { class, .. } => Some(*class as usize).filter(|c| *c >= classes),
        };
        unknown.map_or(Ok(()), |class| {
            let reason = format!("class index {class}, but the segment has {classes} classes");
            Err(invalid_content(self.frame_offset, reason))
        })
    }
}

fn invalid_content(offset: u64, reason: impl Into<String>) -> ReadError {
    ReadError {
        offset,
        kind: ReadErrorKind::InvalidPayload(reason.into()),
    }
}

/// Splits the payload of the first frame into the header and the controller's state.
fn read_segment_header(offset: u64, payload: &[u8]) -> Result<(SegmentHeader, &[u8]), ReadError> {
    let Some((&HEADER_TAG, rest)) = payload.split_first() else {
        return Err(invalid_content(
            offset,
            "the first frame is not a segment header",
        ));
    };
    let parts = rest
        .split_at_checked(LENGTH_BYTES)
        .and_then(|(length, rest)| {
            let length = u32::from_le_bytes(length.try_into().ok()?);
            rest.split_at_checked(length as usize)
        });
    let Some((header, state)) = parts else {
        return Err(invalid_content(offset, "the segment header is truncated"));
    };
    let header = rmp_serde::from_slice(header).map_err(|error| {
        invalid_content(
            offset,
            format!("the segment header can't be decoded: {error}"),
        )
    })?;
    Ok((header, state))
}

/// Reads the payload of an end frame.
fn read_end(offset: u64, payload: &[u8]) -> Result<End, ReadError> {
    match payload {
        [END_NEXT] => Ok(End::Next),
        // The first builds wrote no count of lost records.
        [END_LAST] => Ok(End::Last(0)),
        [END_LAST, lost @ ..] if lost.len() == size_of::<u64>() => {
            let lost = lost.try_into().expect("eight bytes");
            Ok(End::Last(u64::from_le_bytes(lost)))
        }
        _ => Err(invalid_content(offset, "an end frame with unknown content")),
    }
}
