//! Damage, and errors on opening a log.

use pipitlever_framing::{ReadError, ReadErrorKind};
use std::io;

/// Data that was on the disk and can't be read any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {error}")]
pub struct Damage {
    /// Name of the file.
    pub file: String,
    /// Offset in the file, and kind of the damage.
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
    /// A segment is of another version of the format, or is damaged, which prevents a compaction.
    #[error("{0}")]
    Damaged(Damage),
}
