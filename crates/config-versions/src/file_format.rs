//! The format of state files: a header and one checksummed frame.
//!
//! Each update replaces the whole file: a new file is written and then renamed.

pub use pipitlever_framing::ReadError;
use pipitlever_framing::{append_frame, Format, FrameReader, ReadErrorKind};
use serde::{Deserialize, Serialize};

/// The header of state files.
pub const FORMAT: Format = Format {
    magic: *b"plverson",
    version: 1,
    description: "file of versions",
};

/// Encodes a file that holds this state.
pub fn encode<T: Serialize>(state: &T) -> Vec<u8> {
    let mut file = Vec::new();
    FORMAT.write_header(&mut file);
    append_frame(&mut file, 0, |payload| {
        payload.extend(postcard::to_allocvec(state).unwrap_or_default());
    });
    file
}

/// Decodes a file.
///
/// # Errors
///
/// Fails if the header, the checksum or the payload is damaged, and if the file is truncated: a
/// complete file is written before the rename, so a truncated one is damaged too.
pub fn decode<T: for<'a> Deserialize<'a>>(file: &[u8]) -> Result<T, ReadError> {
    let mut frames = FrameReader::open(FORMAT, file)?;
    let frame = frames
        .next_frame()?
        .ok_or_else(|| damaged("the file is truncated"))?;
    postcard::from_bytes(frame.payload).map_err(|_| damaged("the payload can't be decoded"))
}

fn damaged(reason: &str) -> ReadError {
    ReadError {
        offset: 0,
        kind: ReadErrorKind::InvalidPayload(reason.into()),
    }
}
