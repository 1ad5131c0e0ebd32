//! `[capture]`: where captures are written, and how much of them is retained.

use super::error::{within, FileError};
use super::store::non_empty_folder;
use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// Longest segment, in MB: reading a segment takes as much memory.
const MAX_SEGMENT_MB: f64 = 64.0;
/// Most that may be retained, in MB.
const MAX_RETAINED_MB: f64 = 1e6;
/// Bytes in a MB.
const MEGABYTE: f64 = 1_048_576.0;

/// The settings of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct CaptureSettings {
    /// The folder; created if it does not exist.
    pub folder: PathBuf,
    /// Length at which a segment ends, in bytes.
    pub segment_bytes: u64,
    /// Maximum size of all segments of this node together, in bytes.
    pub max_bytes: u64,
}

/// The section `[capture]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CaptureSection {
    folder: Spanned<PathBuf>,
    segment_mb: Spanned<f64>,
    keep_mb: Spanned<f64>,
}

impl CaptureSection {
    /// Checks the values.
    pub fn read(self, text: &str) -> Result<CaptureSettings, FileError> {
        let folder = non_empty_folder(text, self.folder)?;
        let keep_offset = self.keep_mb.span().start;
        let segment_range = [0.01, MAX_SEGMENT_MB];
        let segment_mb = within(
            text,
            "segment_mb",
            Some(self.segment_mb),
            0.0,
            segment_range,
        )?;
        let keep_range = [0.02, MAX_RETAINED_MB];
        let keep_mb = within(text, "keep_mb", Some(self.keep_mb), 0.0, keep_range)?;
        if keep_mb < 2.0 * segment_mb {
            // The oldest segment is removed before the next one begins: with space for one segment,
            // no records would remain.
            let message = "keep_mb has to be at least twice segment_mb";
            return Err(FileError::at(text, keep_offset, message));
        }
        let bytes = |mb: f64| (mb * MEGABYTE) as u64;
        Ok(CaptureSettings {
            folder,
            segment_bytes: bytes(segment_mb),
            max_bytes: bytes(keep_mb),
        })
    }
}
