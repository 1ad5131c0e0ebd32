//! Reader of framed files.

use crate::{Format, ReadError, ReadErrorKind};
use crate::{FILE_HEADER_BYTES, FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES};

/// Offset of the version in the file header.
const VERSION_OFFSET: usize = 8;
/// Offset of the checksum in the file header.
const FILE_CHECKSUM_OFFSET: usize = 12;
const LENGTH_OFFSET: usize = 4;
const HEADER_CHECKSUM_OFFSET: usize = 8;
const PAYLOAD_CHECKSUM_OFFSET: usize = 12;

/// An intact frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Offset of the frame in the file, in bytes.
    pub offset: u64,
    /// The payload.
    pub payload: &'a [u8],
}

/// Reads the frames of a file in order.
#[derive(Clone, Debug)]
pub struct FrameReader<'a> {
    bytes: &'a [u8],
    /// Offset of the next frame, in bytes.
    position: usize,
    next_number: u32,
    is_truncated: bool,
}

impl<'a> FrameReader<'a> {
    /// Reads the file header. A file that ends within its header counts as truncated and has no
    /// frames.
    ///
    /// # Errors
    ///
    /// If the file is of another type or version, or its header is damaged.
    pub fn open(format: Format, bytes: &'a [u8]) -> Result<FrameReader<'a>, ReadError> {
        let is_truncated = bytes.len() < FILE_HEADER_BYTES;
        if is_truncated {
            check_partial_file_header(format, bytes)?;
        } else {
            check_file_header(format, bytes)?;
        }
        Ok(FrameReader {
            bytes,
            position: if is_truncated { 0 } else { FILE_HEADER_BYTES },
            next_number: 0,
            is_truncated,
        })
    }

    /// Returns the next frame, or `None` at the end of the file and where the file is truncated.
    ///
    /// # Errors
    ///
    /// If the frame is damaged or out of sequence.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'a>>, ReadError> {
        let offset = self.position as u64;
        let payload = self
            .next_payload()
            .map_err(|kind| ReadError { offset, kind })?;
        Ok(payload.map(|payload| Frame { offset, payload }))
    }

    fn next_payload(&mut self) -> Result<Option<&'a [u8]>, ReadErrorKind> {
        let rest = &self.bytes[self.position..];
        if self.is_truncated || rest.is_empty() {
            return Ok(None);
        }
        // After a power failure, blocks that the system had not written yet read as zeros.
        if rest.len() < FRAME_HEADER_BYTES || rest.iter().all(|&byte| byte == 0) {
            self.is_truncated = true;
            return Ok(None);
        }
        let length = self.check_frame_header(rest)?;
        let Some(payload) = rest[FRAME_HEADER_BYTES..].get(..length) else {
            self.is_truncated = true;
            return Ok(None);
        };
        if crc32fast::hash(payload) != read_u32(rest, PAYLOAD_CHECKSUM_OFFSET) {
            return Err(ReadErrorKind::Checksum);
        }
        self.position += FRAME_HEADER_BYTES + payload.len();
        self.next_number += 1;
        Ok(Some(payload))
    }

    /// Checks a frame header and returns the length of the payload, in bytes.
    fn check_frame_header(&self, header: &[u8]) -> Result<usize, ReadErrorKind> {
        let checksum = read_u32(header, HEADER_CHECKSUM_OFFSET);
        if crc32fast::hash(&header[..HEADER_CHECKSUM_OFFSET]) != checksum {
            return Err(ReadErrorKind::Checksum);
        }
        let found = read_u32(header, 0);
        if found != self.next_number {
            return Err(ReadErrorKind::OutOfSequence {
                expected: self.next_number,
                found,
            });
        }
        let length = read_u32(header, LENGTH_OFFSET);
        if length as usize > MAX_PAYLOAD_BYTES {
            return Err(ReadErrorKind::FrameTooLarge(length));
        }
        Ok(length as usize)
    }

    /// Whether the file is truncated after the last intact frame.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Offset after the last intact frame, in bytes.
    pub fn offset(&self) -> u64 {
        self.position as u64
    }
}

/// Checks that a file shorter than a header is the beginning of one.
fn check_partial_file_header(format: Format, bytes: &[u8]) -> Result<(), ReadError> {
    let mut expected = Vec::with_capacity(FILE_HEADER_BYTES);
    format.write_header(&mut expected);
    if bytes == &expected[..bytes.len()] {
        Ok(())
    } else {
        Err(wrong_file_type(format))
    }
}

fn check_file_header(format: Format, bytes: &[u8]) -> Result<(), ReadError> {
    if bytes[..format.magic.len()] != format.magic {
        return Err(wrong_file_type(format));
    }
    let error = |kind| ReadError {
        offset: VERSION_OFFSET as u64,
        kind,
    };
    let checksum = read_u32(bytes, FILE_CHECKSUM_OFFSET);
    if crc32fast::hash(&bytes[..FILE_CHECKSUM_OFFSET]) != checksum {
        return Err(error(ReadErrorKind::Checksum));
    }
    let found = u16::from_le_bytes([bytes[VERSION_OFFSET], bytes[VERSION_OFFSET + 1]]);
    if found != format.version {
        let supported = format.version;
        return Err(error(ReadErrorKind::UnsupportedVersion {
            found,
            supported,
        }));
    }
    Ok(())
}

fn wrong_file_type(format: Format) -> ReadError {
    ReadError {
        offset: 0,
        kind: ReadErrorKind::WrongFileType(format.description),
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let little_endian = [0, 1, 2, 3].map(|index| bytes[offset + index]);
    u32::from_le_bytes(little_endian)
}
