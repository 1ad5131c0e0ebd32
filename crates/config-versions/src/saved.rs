//! What is on a disk: a file of one frame, written anew as a whole and put in place by a rename.
//! The content of the version in force lies in a file of its own.

use pipitlever_framing::{append_frame, Format, FrameReader, ReadError, ReadErrorKind};
use serde::{Deserialize, Serialize};

/// Such a file.
pub const FORMAT: Format = Format {
    magic: *b"plverson",
    version: 1,
    description: "file of versions",
};

/// The bytes of a file that holds this.
pub fn write<T: Serialize>(kept: &T) -> Vec<u8> {
    let mut out = Vec::new();
    FORMAT.write_header(&mut out);
    append_frame(&mut out, 0, |payload| {
        payload.extend(postcard::to_allocvec(kept).unwrap_or_default())
    });
    out
}

/// Reads one. A file that was cut off holds nothing, and says so: it was never put in place like
/// that.
pub fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, ReadError> {
    let mut frames = FrameReader::open(FORMAT, bytes)?;
    let wrong = |what: &str| ReadError {
        offset: 0,
        kind: ReadErrorKind::Content(what.into()),
    };
    let frame = frames
        .next_frame()?
        .ok_or_else(|| wrong("it was cut off"))?;
    postcard::from_bytes(frame.payload).map_err(|_| wrong("what it holds can't be read"))
}
