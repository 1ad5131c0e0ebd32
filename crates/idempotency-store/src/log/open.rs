//! Opening of a log that earlier processes may have written.

use super::contents::LogContents;
use super::error::{Damage, OpenError};
use super::files::{Limits, SegmentFiles};
use super::segment::Segment;
use super::usage::SegmentUsage;
use super::Log;
use crate::class_windows::ClassWindows;
use crate::record::Salt;
use crate::recovery::RecoveredKey;
use crate::Micros;

/// Keys and damage found in the files of earlier processes.
#[derive(Debug)]
pub struct OpenReport {
    /// The keys within their windows.
    pub keys: Vec<RecoveredKey>,
    /// Data that was on the disk and can't be read.
    pub damage: Vec<Damage>,
    /// The longest window of any record, and of this process, in microseconds.
    pub longest_window: Micros,
    /// Length of the incomplete tail, in bytes.
    pub torn_bytes: u64,
}

impl<F: SegmentFiles> Log<F> {
    /// Opens the log for a process whose longest window is `window`, in microseconds.
    ///
    /// # Errors
    ///
    /// If the files report an error, a segment is of another version of the format, or there is no
    /// salt yet and the system has no random source.
    pub fn open(
        files: F,
        limits: Limits,
        window: Micros,
    ) -> Result<(Log<F>, OpenReport), OpenError> {
        Log::open_with_windows(files, limits, window, ClassWindows::default())
    }

    /// Like [`Log::open`]. `class_windows` are the windows of this process's classes, which apply to
    /// the records of earlier processes where they are longer.
    ///
    /// # Errors
    ///
    /// As [`Log::open`].
    pub fn open_with_windows(
        mut files: F,
        limits: Limits,
        window: Micros,
        class_windows: ClassWindows,
    ) -> Result<(Log<F>, OpenReport), OpenError> {
        let mut contents = LogContents::read_with_windows(&mut files, class_windows)?;
        let now = files.clocks();
        drop_unstarted_segments(&mut contents);
        let longest_window = contents.table.longest_window().max(window);
        let salt = match contents.salt() {
            Some(salt) => salt,
            None => Salt::random()?,
        };
        let last = contents.segments.last();
        let torn_bytes = last.map_or(0, |segment| segment.size - segment.readable);
        let log = Log {
            files,
            limits,
            salt,
            segments: segment_usages(&contents, now.since_boot, longest_window).into(),
            next_frame: None,
            durable_bytes: last.map(|segment| durable_bytes(&contents, segment)),
            next_segment: last.map_or(1, |segment| segment.number + 1),
            reclaimed_at: Micros::MIN,
        };
        let report = OpenReport {
            keys: contents.table.into_keys(&now),
            damage: contents.damage,
            longest_window,
            torn_bytes,
        };
        Ok((log, report))
    }
}

/// Drops segments at the end that were not completely started, so that their numbers are used
/// again. If they stayed, the header of the next segment could not record how much of the last
/// completely started one is on the disk, whose incomplete tail would then look like damage.
fn drop_unstarted_segments(contents: &mut LogContents) {
    while let Some(last) = contents.segments.last() {
        if last.header.is_some() || contents.is_damaged(last) {
            return;
        }
        contents.segments.pop();
    }
}

/// Length of the part of the last segment that counts as on the disk, in bytes: without an
/// incomplete tail, but the whole of a damaged segment.
fn durable_bytes(contents: &LogContents, last: &Segment) -> u64 {
    if contents.is_damaged(last) {
        last.size
    } else {
        last.readable
    }
}

fn segment_usages(
    contents: &LogContents,
    since_boot: Micros,
    longest_window: Micros,
) -> Vec<SegmentUsage> {
    let read_grace = contents.table.longest_read_grace();
    let longest = longest_window.saturating_add(read_grace);
    let missing = contents.missing.iter().map(|&number| {
        let expires_at = since_boot
            .saturating_add(longest_window)
            .saturating_add(read_grace);
        SegmentUsage::missing(number, expires_at)
    });
    // All segments of a damaged log are retained until every key that the damage may hide has
    // expired, so that each restart until then reports the damage.
    let is_damaged = !contents.damage.is_empty();
    let extension = contents.table.longest_extension();
    let found = contents.segments.iter().map(|segment| {
        let remaining = segment.remaining.filter(|_| !is_damaged);
        let expires_at = since_boot.saturating_add(remaining.unwrap_or(longest));
        let mut usage = SegmentUsage::found(segment.number, segment.size, expires_at);
        usage.extend(extension);
        usage
    });
    let mut usages: Vec<SegmentUsage> = missing.chain(found).collect();
    usages.sort_by_key(|usage| usage.number);
    usages
}
