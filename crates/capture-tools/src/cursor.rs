//! Replays captures record by record, and passes each record to a visitor.

use crate::progress::Progress;
use crate::source::{self, Run, Segment, ToolError};
use pipitlever_admission::{Controller, ControllerStatus, Event};
use pipitlever_capture::record::{End, LostRecords, Record, SegmentHeader};
use pipitlever_capture::replay::{initial_controller, Difference, Replay};
use pipitlever_capture::segment::{RecordAt, SegmentReader, Tail};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Steps between two updates of the progress bar.
const PROGRESS_STEPS: u64 = 1024;

/// Receives the contents of captures. The default implementations ignore them.
pub trait Visitor {
    /// A segment begins. `is_restart` is set if its state does not continue the previous segment's.
    fn segment(&mut self, _header: &SegmentHeader, _controller: &Controller, _is_restart: bool) {}
    /// A record was replayed.
    fn record(&mut self, _replayed: &ReplayedRecord) {}
    /// The replay of a node's run has ended.
    fn run_ended(&mut self) {}
}

/// A record and the replay after it.
pub struct ReplayedRecord<'a> {
    /// The header of the segment.
    pub header: &'a SegmentHeader,
    /// The record.
    pub record: &'a Record,
    /// The replay, after the record.
    pub replay: &'a Replay,
    /// The controller's status before the record, if it is a step.
    pub status_before: Option<ControllerStatus>,
}

/// A truncated segment.
#[derive(Clone, Debug, Serialize)]
pub struct Truncation {
    /// The segment's file.
    pub file: PathBuf,
    /// The offset in bytes up to which the data is intact.
    pub offset: u64,
}

/// Records missing before or after a segment.
#[derive(Clone, Debug, Serialize)]
pub struct Gap {
    /// Whether the records are missing after the segment, at the end of the node's run.
    #[serde(rename = "behind")]
    pub is_after: bool,
    /// The segment that reports the gap, or that does not continue the previous one.
    pub file: PathBuf,
    /// The records that the segment reports as lost; `None` if segments were removed.
    pub lost: Option<LostRecords>,
}

/// How this build's decisions differ from the recorded ones.
#[derive(Clone, Debug)]
pub enum Divergence {
    /// This build takes other actions in a step than recorded.
    Step(Box<Difference>),
    /// The state at the start of a segment differs.
    State {
        /// The number of steps before the segment.
        steps: u64,
    },
}

/// A divergence and where it was found.
#[derive(Clone, Debug)]
pub struct LocatedDivergence {
    /// The segment's file.
    pub file: PathBuf,
    /// The divergence.
    pub divergence: Divergence,
}

/// How far a capture is replayed.
#[derive(Clone, Copy, PartialEq)]
pub enum Extent {
    /// To the first difference.
    FirstDifference,
    /// To the end. After a difference, this build's controller still receives the recorded events.
    End,
}

/// The result of replaying captures.
#[derive(Debug, Default)]
pub struct ReplayTotals {
    /// Runs of nodes.
    pub runs: usize,
    /// Segments.
    pub segments: usize,
    /// Steps replayed.
    pub steps: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Bytes read.
    pub bytes: u64,
    /// Truncated segments.
    pub truncations: Vec<Truncation>,
    /// Missing records.
    pub gaps: Vec<Gap>,
    /// The first difference.
    pub first_divergence: Option<LocatedDivergence>,
    /// The number of steps whose actions differ, plus that of segments whose state differs.
    pub divergences: u64,
    /// The duration of the replay.
    pub elapsed: Duration,
}

/// Replays all runs at a path.
///
/// # Errors
///
/// If a capture can't be read.
pub fn replay_capture(
    path: &Path,
    extent: Extent,
    visitor: &mut impl Visitor,
) -> Result<ReplayTotals, ToolError> {
    let start = Instant::now();
    let runs = source::runs(path)?;
    let segments = runs.iter().flat_map(|run| &run.segments);
    let mut cursor = Cursor {
        extent,
        visitor,
        progress: Progress::new(segments.map(|segment| segment.bytes).sum()),
        totals: ReplayTotals::default(),
    };
    for run in &runs {
        cursor.totals.runs += 1;
        cursor.replay_run(run)?;
        cursor.visitor.run_ended();
        if cursor.is_done() {
            break;
        }
    }
    let mut totals = cursor.totals;
    totals.elapsed = start.elapsed();
    Ok(totals)
}

/// The replay at the end of a segment.
struct Continuation {
    replay: Replay,
    /// The number of the segment that continues the replay.
    next_segment: u32,
}

/// The replay at the start of a segment.
struct SegmentStart {
    replay: Replay,
    /// Whether the replay is a new one rather than that of the previous segment.
    is_restart: bool,
    /// Whether the state was computed rather than read from the segment, so that both can be
    /// compared.
    is_computed: bool,
}

struct Cursor<'a, V> {
    extent: Extent,
    visitor: &'a mut V,
    progress: Progress,
    totals: ReplayTotals,
}

impl<V: Visitor> Cursor<'_, V> {
    /// Whether a difference was found at which the replay ends.
    fn is_done(&self) -> bool {
        self.totals.first_divergence.is_some() && self.extent == Extent::FirstDifference
    }

    fn add_divergence(&mut self, path: &Path, divergence: Divergence) {
        self.totals.divergences += 1;
        self.totals
            .first_divergence
            .get_or_insert_with(|| LocatedDivergence {
                file: path.to_owned(),
                divergence,
            });
    }

    fn replay_run(&mut self, run: &Run) -> Result<(), ToolError> {
        let mut continuation: Option<Continuation> = None;
        for segment in &run.segments {
            let bytes = source::read_file(&segment.path)?;
            let mut reader = SegmentReader::open(&bytes)
                .map_err(|error| ToolError::Unreadable(segment.path.clone(), error))?;
            self.totals.segments += 1;
            let Some(header) = reader.header().cloned() else {
                self.add_tail(&segment.path, reader.tail());
                continue;
            };
            let start = self.start_segment(segment, &reader, &header, continuation.take())?;
            let Some(mut replay) = self.enter_segment(segment, &reader, &header, start) else {
                return Ok(());
            };
            self.replay_records(segment, &mut reader, &header, &mut replay)?;
            if self.is_done() {
                return Ok(());
            }
            self.totals.bytes += bytes.len() as u64;
            self.progress.set(self.totals.bytes);
            self.add_tail(&segment.path, reader.tail());
            continuation = Some(Continuation {
                replay,
                next_segment: header.segment + 1,
            });
        }
        Ok(())
    }

    /// Continues the previous segment's replay if this segment follows it without a gap; otherwise
    /// starts from the settings and the seed, or from the segment's state.
    fn start_segment(
        &mut self,
        segment: &Segment,
        reader: &SegmentReader,
        header: &SegmentHeader,
        continuation: Option<Continuation>,
    ) -> Result<SegmentStart, ToolError> {
        let continuation = continuation.filter(|continuation| {
            header.lost.is_none() && continuation.next_segment == header.segment
        });
        if let Some(continuation) = continuation {
            return Ok(SegmentStart {
                replay: continuation.replay,
                is_restart: false,
                is_computed: true,
            });
        }
        if header.is_initial {
            return Ok(SegmentStart {
                replay: Replay::new(initial_controller(header), header),
                is_restart: true,
                is_computed: true,
            });
        }
        if header.segment > 1 {
            self.totals.gaps.push(Gap {
                file: segment.path.clone(),
                lost: header.lost.clone(),
                is_after: false,
            });
        }
        let controller = reader
            .controller()
            .map_err(|error| ToolError::State(segment.path.clone(), error))?;
        Ok(SegmentStart {
            replay: Replay::new(controller, header),
            is_restart: true,
            is_computed: false,
        })
    }

    /// Compares the replayed state with the recorded one, and continues with the recorded one if
    /// they differ. Returns `None` if the replay ends at this difference.
    fn enter_segment(
        &mut self,
        segment: &Segment,
        reader: &SegmentReader,
        header: &SegmentHeader,
        start: SegmentStart,
    ) -> Option<Replay> {
        let mut replay = start.replay;
        // A state that this build can't read is not compared.
        let recorded = reader.controller().ok().filter(|_| start.is_computed);
        if !replay.enter_segment(header, recorded.as_ref()) {
            let steps = header.steps;
            self.add_divergence(&segment.path, Divergence::State { steps });
            if self.is_done() {
                return None;
            }
            let recorded = recorded.expect("only a recorded state can differ");
            replay = Replay::new(recorded, header);
        }
        self.visitor
            .segment(header, replay.controller(), start.is_restart);
        Some(replay)
    }

    fn replay_records(
        &mut self,
        segment: &Segment,
        reader: &mut SegmentReader,
        header: &SegmentHeader,
        replay: &mut Replay,
    ) -> Result<(), ToolError> {
        let path = &segment.path;
        let unreadable = |error| ToolError::Unreadable(path.clone(), error);
        while let Some(RecordAt { offset, record }) = reader.next_record().map_err(unreadable)? {
            let step = replay.apply(&record).map_err(|error| ToolError::Step {
                path: path.clone(),
                offset,
                error,
            })?;
            if let Record::Step { events, .. } = &record {
                self.totals.steps += 1;
                let is_arrival = |event: &&Event| matches!(event, Event::Arrived(_));
                self.totals.requests += events.iter().filter(is_arrival).count() as u64;
            }
            if let Some(difference) = replay.difference(&record, step.as_ref()) {
                self.add_divergence(path, Divergence::Step(Box::new(difference)));
            }
            self.visitor.record(&ReplayedRecord {
                header,
                record: &record,
                replay,
                status_before: step.map(|step| step.status_before),
            });
            if self.is_done() {
                return Ok(());
            }
            if self.totals.steps.is_multiple_of(PROGRESS_STEPS) {
                self.progress.set(self.totals.bytes + offset);
            }
        }
        Ok(())
    }

    /// Adds the truncation or the lost records at the end of a segment.
    fn add_tail(&mut self, path: &Path, tail: Option<Tail>) {
        match tail {
            Some(Tail::Truncated(offset)) => self.totals.truncations.push(Truncation {
                file: path.to_owned(),
                offset,
            }),
            Some(Tail::Complete(End::Last(lost))) if lost > 0 => self.totals.gaps.push(Gap {
                file: path.to_owned(),
                lost: Some(LostRecords {
                    records: lost,
                    ..LostRecords::default()
                }),
                is_after: true,
            }),
            _ => {}
        }
    }
}
