//! Access to the files of a log, and the limits of a log.

use crate::record::Clocks;
use std::io;

/// Suffix of the file names of segments.
pub const SUFFIX: &str = ".pls";
/// Number of digits in the file name of a segment.
const NUMBER_DIGITS: usize = 12;

/// A directory of files, one of which is written at a time.
///
/// All methods return the errors of the file system.
#[expect(
    clippy::missing_errors_doc,
    reason = "documented for the trait as a whole"
)]
pub trait SegmentFiles {
    /// Lists the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing one of that name, and makes it the active file.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the active file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes the active file durable: all appended bytes, and its name.
    fn sync(&mut self) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Reads the clocks of the machine.
    fn clocks(&mut self) -> Clocks;
}

/// Limits of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of all segments together, in bytes. The log reclaims space to stay within it; the
    /// commit queue bounds what is written.
    pub capacity: u64,
    /// Size from which a segment is complete and the next batch goes to a new one, in bytes.
    pub segment_size: u64,
}

impl Limits {
    /// Number of segments per log, unless the bounds of the segment size apply.
    const SEGMENTS: u64 = 16;
    const MIN_SEGMENT_SIZE: u64 = 16 << 10;
    const MAX_SEGMENT_SIZE: u64 = 16 << 20;

    /// Limits of a log with a capacity in bytes.
    pub fn for_capacity(capacity: u64) -> Limits {
        let segment_size = capacity / Self::SEGMENTS;
        Limits {
            capacity,
            segment_size: segment_size.clamp(Self::MIN_SEGMENT_SIZE, Self::MAX_SEGMENT_SIZE),
        }
    }
}

/// The file name of a segment.
pub(super) fn segment_name(number: u64) -> String {
    format!("{number:0NUMBER_DIGITS$}{SUFFIX}")
}

/// The number in a file name, if this is the name of a segment.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX)?;
    if digits.len() != NUMBER_DIGITS {
        return None;
    }
    digits.parse().ok()
}
