//! Frames with checksums, and shared parts of the writers of framed files.
//!
//! A reader distinguishes intact frames, a truncated file and damage. All numbers are
//! little-endian:
//!
//! ```text
//! file header:  magic, 8 bytes  version u16  zero u16  crc32 of the 12 bytes before
//! frame:        number u32  length u32  crc32 of these 8 bytes  crc32 of the payload  payload
//! ```
//!
//! The frame header has a checksum of its own. Otherwise a flipped bit in a length would look like
//! a truncated file, and the frames after it would be lost without an error.

pub mod disk;
mod error;
mod reader;

pub use error::{ReadError, ReadErrorKind};
pub use reader::{Frame, FrameReader};

/// Size of the file header, in bytes.
pub const FILE_HEADER_BYTES: usize = 16;
/// Size of a frame without its payload, in bytes.
pub const FRAME_HEADER_BYTES: usize = 16;
/// Upper bound of a payload, in bytes. The state of an admission controller with 100,000
/// requests and keys takes some 20 MB.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// A file type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Format {
    /// The first bytes of a file.
    pub magic: [u8; 8],
    /// Version of the payloads; a reader rejects other versions.
    pub version: u16,
    /// Name of the file type for error messages.
    pub description: &'static str,
}

impl Format {
    /// Appends the file header.
    pub fn write_header(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&self.magic);
        out.extend_from_slice(&self.version.to_le_bytes());
        out.extend_from_slice(&[0, 0]);
        let checksum = crc32fast::hash(&out[start..]);
        out.extend_from_slice(&checksum.to_le_bytes());
    }
}

/// Appends a frame. `write_payload` appends its payload in place.
pub fn append_frame(out: &mut Vec<u8>, number: u32, write_payload: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    let payload_start = start + FRAME_HEADER_BYTES;
    out.resize(payload_start, 0);
    write_payload(out);
    let length = (out.len() - payload_start) as u32;
    let payload_checksum = crc32fast::hash(&out[payload_start..]);
    let header = &mut out[start..payload_start];
    header[..4].copy_from_slice(&number.to_le_bytes());
    header[4..8].copy_from_slice(&length.to_le_bytes());
    let header_checksum = crc32fast::hash(&header[..8]);
    header[8..12].copy_from_slice(&header_checksum.to_le_bytes());
    header[12..].copy_from_slice(&payload_checksum.to_le_bytes());
}
