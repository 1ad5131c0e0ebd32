//! Finds captures: a file, or all segments in a folder, by node and run.

use pipitlever_capture::directory::FILE_SUFFIX;
use pipitlever_capture::frame::ReadError;
use pipitlever_capture::segment::SegmentReader;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Why a capture can't be read.
#[derive(Debug)]
pub enum Trouble {
    /// The file can't be opened or read at all.
    File(PathBuf, std::io::Error),
    /// It is damaged, or no capture.
    Unreadable(PathBuf, ReadError),
    /// It is whole, but not for this build.
    State(PathBuf, String),
    /// There is none.
    Nothing(PathBuf),
    /// What was asked for can't be written.
    Output(PathBuf, String),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Trouble::File(path, error) => write!(f, "{}: {error}", path.display()),
            Trouble::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            Trouble::State(path, why) => write!(f, "{}: {why}", path.display()),
            Trouble::Nothing(path) => write!(f, "{}: no capture there", path.display()),
            Trouble::Output(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

/// One segment's file, and what its opening says.
#[derive(Clone, Debug)]
pub struct Segment {
    /// Where it is.
    pub path: PathBuf,
    /// Its number in the run; 0 if it was cut off before it said.
    pub number: u32,
    /// Its bytes.
    pub size: u64,
}

/// The segments of one process, in order.
#[derive(Clone, Debug)]
pub struct Run {
    /// The segments.
    pub segments: Vec<Segment>,
}

/// Reads a file whole.
pub fn bytes(path: &Path) -> Result<Vec<u8>, Trouble> {
    std::fs::read(path).map_err(|e| Trouble::File(path.to_owned(), e))
}

/// All runs at this path, the oldest first.
pub fn runs(path: &Path) -> Result<Vec<Run>, Trouble> {
    let error = |e| Trouble::File(path.to_owned(), e);
    let mut files = Vec::new();
    if std::fs::metadata(path).map_err(error)?.is_dir() {
        for entry in std::fs::read_dir(path).map_err(error)? {
            let file = entry.map_err(error)?.path();
            if file.to_string_lossy().ends_with(FILE_SUFFIX) {
                files.push(file);
            }
        }
        files.sort();
    } else {
        files.push(path.to_owned());
    }
    if files.is_empty() {
        return Err(Trouble::Nothing(path.to_owned()));
    }
    let mut runs: BTreeMap<(u64, String), Vec<Segment>> = BTreeMap::new();
    for path in files {
        let bytes = bytes(&path)?;
        let reader =
            SegmentReader::open(&bytes).map_err(|e| Trouble::Unreadable(path.clone(), e))?;
        // One that was cut off inside its opening has nothing to say but that.
        let (node, run, number) = reader.opening().map_or((String::new(), 0, 0), |o| {
            (o.node.clone(), o.run, o.segment)
        });
        let size = bytes.len() as u64;
        runs.entry((run, node))
            .or_default()
            .push(Segment { path, number, size });
    }
    let run = |mut segments: Vec<Segment>| {
        segments.sort_by_key(|s| s.number);
        Run { segments }
    };
    Ok(runs.into_values().map(run).collect())
}
