//! Damage, and errors on opening a log.

use pipitlever_framing::{ReadError, ReadErrorKind};
use std::io;

/// A place where data that was on the disk can't be read any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {error}")]
pub struct Damage {
    /// Name of the file.
    pub file: String,
    /// Place in the file, and what is wrong there.
    pub error: ReadError,
}

impl Damage {
    pub(super) fn new(file: String, offset: u64, problem: &str) -> Damage {
        let kind = ReadErrorKind::InvalidPayload(problem.to_owned());
        let error = ReadError { offset, kind };
        Damage { file, error }
    }
}

/// Why a log can't be opened or compacted.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A segment is of another version of the format, or, for a compaction, damaged.
    #[error("{0}")]
    Damaged(Damage),
}
