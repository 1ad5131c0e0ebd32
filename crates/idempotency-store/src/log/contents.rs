//! Reading of all segments, and the distinction between a truncated tail and damage.

use super::error::{Damage, OpenError};
use super::files::{segment_name, segment_number, SegmentFiles};
use super::segment::Segment;
use crate::class_windows::ClassWindows;
use crate::record::{Clocks, Salt};
use crate::recovery::{RecoveredKey, RecoveryTable};
use pipitlever_framing::ReadErrorKind;

/// Upper bound of the missing segments that are reported for each gap in the numbers.
const MAX_REPORTED_MISSING: usize = 64;

/// All segments of a directory.
#[derive(Clone, Debug, Default)]
pub struct LogContents {
    /// The segments, the oldest first.
    pub segments: Vec<Segment>,
    /// Data that was on the disk and can't be read.
    pub damage: Vec<Damage>,
    /// Numbers of segments that should exist and do not.
    pub missing: Vec<u64>,
    /// Filled while reading, since all decoded records together would take several times the memory
    /// of their encodings.
    pub(super) table: RecoveryTable,
}

impl LogContents {
    /// Reads all segments of a directory.
    ///
    /// # Errors
    ///
    /// If the file system reports an error, or a segment is of another version of the format.
    /// Damage is not an error; it is listed in [`LogContents::damage`].
    pub fn read(files: &mut impl SegmentFiles) -> Result<LogContents, OpenError> {
        LogContents::read_with_windows(files, ClassWindows::default())
    }

    /// Like [`LogContents::read`], for a process with these windows.
    ///
    /// # Errors
    ///
    /// As [`LogContents::read`].
    pub fn read_with_windows(
        files: &mut impl SegmentFiles,
        class_windows: ClassWindows,
    ) -> Result<LogContents, OpenError> {
        let names = files.list()?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
        numbers.sort_unstable();
        let now = files.clocks();
        let mut contents = LogContents {
            table: RecoveryTable::with_windows(class_windows),
            ..LogContents::default()
        };
        for number in numbers {
            contents.read_segment(files, number, &now)?;
        }
        let oldest = contents.oldest_needed();
        // Older segments were dropped, as all of their records had expired; their files were not
        // removed yet.
        contents
            .segments
            .retain(|segment| oldest.is_none_or(|oldest| segment.number >= oldest));
        contents.find_damage(oldest);
        Ok(contents)
    }

    fn read_segment(
        &mut self,
        files: &mut impl SegmentFiles,
        number: u64,
        now: &Clocks,
    ) -> Result<(), OpenError> {
        let bytes = files.read(&segment_name(number))?;
        let table = &mut self.table;
        let segment = Segment::read(number, &bytes, now, |record, written| {
            table.add(record, written, now);
        });
        match segment.error {
            Some(error) if matches!(error.kind, ReadErrorKind::UnsupportedVersion { .. }) => {
                let file = segment.file;
                Err(OpenError::Damaged(Damage { file, error }))
            }
            _ => {
                self.segments.push(segment);
                Ok(())
            }
        }
    }

    /// The oldest segment that was not dropped, by the newest header.
    fn oldest_needed(&self) -> Option<u64> {
        let headers = self.segments.iter().filter_map(|s| s.header.as_ref());
        headers.map(|header| header.oldest).max()
    }

    fn find_damage(&mut self, oldest: Option<u64>) {
        let started = self.started_segments();
        let mut expected = oldest;
        for index in 0..self.segments.len() {
            let number = self.segments[index].number;
            let gap = expected.unwrap_or(number)..number;
            for missing in gap.take(MAX_REPORTED_MISSING) {
                let file = segment_name(missing);
                self.damage
                    .push(Damage::new(file, 0, "this segment is missing"));
                self.missing.push(missing);
            }
            expected = Some(number + 1);
            if self.has_lost_data(index, started) {
                self.damage.push(damage_of(&self.segments[index]));
            }
        }
    }

    /// Whether a segment has lost data that was on the disk. `started` is the number of segments
    /// that were completely started.
    fn has_lost_data(&self, index: usize, started: usize) -> bool {
        let segment = &self.segments[index];
        let next_header = (self.segments.get(index + 1)).and_then(|next| next.header.as_ref());
        match next_header.and_then(|header| header.previous_durable_bytes) {
            // Length of the part that was synced.
            Some(durable) => segment.readable < durable,
            // The last batch of the last segment may be incomplete: it was not synced, and no run
            // relied on it. A complete frame with other contents is damage.
            None if index + 1 >= started => !segment.has_unwritten_tail,
            // The next header does not record how much was synced: the whole segment may have been.
            None => segment.error.is_some() || segment.readable < segment.size,
        }
    }

    /// The number of segments up to the last one with a readable header. Nothing was written to
    /// those after it, as they were not completely started.
    fn started_segments(&self) -> usize {
        let last = self.segments.iter().rposition(|s| s.header.is_some());
        last.map_or(0, |index| index + 1)
    }

    /// Returns the keys within their windows at `now`, and those whose duplicates may still be
    /// read.
    pub fn into_keys(self, now: &Clocks) -> Vec<RecoveredKey> {
        self.table.into_keys(now)
    }

    /// The store's salt, if a header is readable.
    pub fn salt(&self) -> Option<Salt> {
        let mut headers = self.segments.iter().filter_map(|s| s.header.as_ref());
        headers.next_back().map(|header| header.salt)
    }

    pub(super) fn is_damaged(&self, segment: &Segment) -> bool {
        self.damage.iter().any(|damage| damage.file == segment.file)
    }
}

fn damage_of(segment: &Segment) -> Damage {
    let file = segment.file.clone();
    match segment.error.clone() {
        Some(error) => Damage { file, error },
        None => Damage::new(
            file,
            segment.readable,
            "the data after this offset is missing",
        ),
    }
}
