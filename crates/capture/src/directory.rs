//! The interface to the directory that stores segments, and the names of their files.

use std::io;

/// The suffix of a segment's file name.
pub const FILE_SUFFIX: &str = ".plc";
/// The longest part of a node's name that a file name contains, in characters.
const MAX_NODE_NAME_CHARS: usize = 48;

/// A directory of segments. A trait, so that tests can run the writer against a directory that is
/// full, slow or missing.
pub trait Directory {
    /// Returns the names and sizes in bytes of all files. Creates the directory if it is missing.
    ///
    /// # Errors
    ///
    /// If the directory can't be created or read.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Creates a file; [`Directory::append`] writes to it from then on.
    ///
    /// # Errors
    ///
    /// If the file exists or can't be created.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the most recently created file.
    ///
    /// # Errors
    ///
    /// If not all bytes can be written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Closes the most recently created file.
    fn close(&mut self);
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// If the file does not exist or can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Whether a file exists.
    fn contains(&mut self, name: &str) -> bool;
}

/// The parts of a segment's file name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentName<'a> {
    /// The node's name, as [`sanitize_node_name`] returns it.
    pub node: &'a str,
    /// The start of the run, in Unix milliseconds.
    pub run: u64,
    /// The number of the segment in the run.
    pub segment: u32,
}

impl<'a> SegmentName<'a> {
    /// Parses a file name; `None` if the file is not a segment.
    pub fn parse(name: &'a str) -> Option<SegmentName<'a>> {
        let mut parts = name.strip_suffix(FILE_SUFFIX)?.rsplitn(3, '-');
        let segment = parts.next()?.parse().ok()?;
        let run = parts.next()?.parse().ok()?;
        let node = parts.next()?;
        Some(SegmentName { node, run, segment })
    }

    /// The file name. The names of a node's segments sort in the order of the segments.
    pub fn file_name(&self) -> String {
        let SegmentName { node, run, segment } = self;
        format!("{node}-{run:013}-{segment:06}{FILE_SUFFIX}")
    }
}

/// A node's name with the characters that are unsafe in a file name replaced by `_`.
pub fn sanitize_node_name(node: &str) -> String {
    let sanitize = |character: char| {
        let is_safe = character.is_ascii_alphanumeric() || matches!(character, '_' | '.');
        if is_safe {
            character
        } else {
            '_'
        }
    };
    let name: String = node
        .chars()
        .take(MAX_NODE_NAME_CHARS)
        .map(sanitize)
        .collect();
    if name.trim_matches('.').is_empty() {
        return "node".into();
    }
    name
}
