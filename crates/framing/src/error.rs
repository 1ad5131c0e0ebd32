//! Errors on reading a framed file.

use crate::MAX_PAYLOAD_BYTES;

/// An error at an offset of a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("offset {offset}: {kind}")]
pub struct ReadError {
    /// Offset in the file, in bytes.
    pub offset: u64,
    /// Kind of the error.
    pub kind: ReadErrorKind,
}

/// Kind of a [`ReadError`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadErrorKind {
    /// The file does not begin with the magic number. Contains [`crate::Format::description`].
    #[error("this is no {0}")]
    WrongFileType(&'static str),
    /// The file is of a format version that this build does not support.
    #[error("format {found}; this build reads format {supported}")]
    UnsupportedVersion {
        /// Version of the file.
        found: u16,
        /// Version that this build reads.
        supported: u16,
    },
    /// A checksum does not match.
    #[error("damaged: a checksum does not match")]
    Checksum,
    /// A frame is out of sequence.
    #[error("damaged: frame number {found}, expected {expected}")]
    OutOfSequence {
        /// Expected frame number.
        expected: u32,
        /// Frame number found.
        found: u32,
    },
    /// A payload exceeds [`MAX_PAYLOAD_BYTES`]. Contains its length in bytes.
    #[error("damaged: a payload of {0} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes")]
    FrameTooLarge(u32),
    /// A frame is intact, but its payload is invalid. Contains the reason.
    #[error("damaged: {0}")]
    InvalidPayload(String),
}
