//! Finds the segments at a path (one file, or all segments in a folder) and groups them by run.

use pipitlever_capture::directory::FILE_SUFFIX;
use pipitlever_capture::frame::ReadError;
use pipitlever_capture::replay::ReplayError;
use pipitlever_capture::segment::{RestoreError, SegmentReader};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// A file or folder can't be opened or read.
    #[error("{}: {}", .0.display(), .1)]
    File(PathBuf, #[source] io::Error),
    /// A file is damaged, or is not a capture.
    #[error("{}: {}", .0.display(), .1)]
    Unreadable(PathBuf, #[source] ReadError),
    /// This build can't read the controller's state in a segment.
    #[error("{}: {}", .0.display(), .1)]
    State(PathBuf, #[source] RestoreError),
    /// This build's controller panicked in a recorded step. No capture written by a node causes
    /// this.
    #[error("{}: offset {offset}: damaged: {error}", .path.display())]
    Step {
        /// The segment's file.
        path: PathBuf,
        /// The offset of the step's frame, in bytes.
        offset: u64,
        /// The controller's error.
        error: ReplayError,
    },
    /// A folder has no segments.
    #[error("{}: the folder contains no capture", .0.display())]
    NoCapture(PathBuf),
    /// An output file can't be written. Contains the error of the system or of a library.
    #[error("{}: {}", .0.display(), .1)]
    Output(PathBuf, String),
}

/// A segment and its file.
#[derive(Clone, Debug)]
pub struct Segment {
    /// The path of the file.
    pub path: PathBuf,
    /// The number of the segment in the run; 0 if the file is truncated inside the header.
    pub number: u32,
    /// The size of the file in bytes.
    pub bytes: u64,
}

/// The segments of one run of a node, in order.
#[derive(Clone, Debug)]
pub struct Run {
    /// The segments.
    pub segments: Vec<Segment>,
}

/// Identifies a run of a node. Sorts by the start of the run, in Unix milliseconds.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    start: u64,
    node: String,
}

/// Reads a file.
///
/// # Errors
///
/// If the file can't be read.
pub fn read_file(path: &Path) -> Result<Vec<u8>, ToolError> {
    std::fs::read(path).map_err(|error| ToolError::File(path.to_owned(), error))
}

/// Returns all runs at a path, the oldest first.
///
/// # Errors
///
/// If the path or a segment can't be read, or a folder has no segments.
pub fn runs(path: &Path) -> Result<Vec<Run>, ToolError> {
    let files = segment_files(path).map_err(|error| ToolError::File(path.to_owned(), error))?;
    if files.is_empty() {
        return Err(ToolError::NoCapture(path.to_owned()));
    }
    let mut runs: BTreeMap<RunKey, Vec<Segment>> = BTreeMap::new();
    for file in files {
        let (run, segment) = read_segment(file)?;
        runs.entry(run).or_default().push(segment);
    }
    let sorted = |mut segments: Vec<Segment>| {
        segments.sort_by_key(|segment| segment.number);
        Run { segments }
    };
    Ok(runs.into_values().map(sorted).collect())
}

/// The segments in a folder, in the order of their names; the path itself if it is a file.
fn segment_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !std::fs::metadata(path)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let file = entry?.path();
        if file.to_string_lossy().ends_with(FILE_SUFFIX) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Reads the header of a segment. All files that are truncated inside the header form one run.
fn read_segment(path: PathBuf) -> Result<(RunKey, Segment), ToolError> {
    let bytes = read_file(&path)?;
    let reader =
        SegmentReader::open(&bytes).map_err(|error| ToolError::Unreadable(path.clone(), error))?;
    let (run, number) = reader.header().map_or((RunKey::default(), 0), |header| {
        let run = RunKey {
            start: header.run,
            node: header.node.clone(),
        };
        (run, header.segment)
    });
    let bytes = bytes.len() as u64;
    Ok((
        run,
        Segment {
            path,
            number,
            bytes,
        },
    ))
}
