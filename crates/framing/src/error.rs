//! Why a file of frames cannot be read.

/// An error at a place in a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("offset {offset}: {kind}")]
pub struct ReadError {
    /// Offset in the file, in bytes.
    pub offset: u64,
    /// What is wrong there.
    pub kind: ReadErrorKind,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadErrorKind {
    /// The file does not begin with the magic number. Contains [`crate::Format::description`].
    #[error("this is no {0}")]
    WrongFileType(&'static str),
    /// The file has another version of the format.
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
    #[error("damaged: frame {found}, expected {expected}")]
    OutOfSequence {
        /// The next number in sequence.
        expected: u32,
        /// The number in the frame.
        found: u32,
    },
    /// A frame exceeds [`crate::MAX_PAYLOAD_BYTES`]. Contains its length in bytes.
    #[error("damaged: a frame of {0} bytes")]
    FrameTooLarge(u32),
    /// A frame is intact, and its payload is invalid.
    #[error("damaged: {0}")]
    InvalidPayload(String),
}
