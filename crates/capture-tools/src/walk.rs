//! Goes through captures record by record, with this build's controller beside them.

use crate::source::{self, Run, Trouble};
use indicatif::{ProgressBar, ProgressStyle};
use pipitlever_admission::{Controller, ControllerStatus, Event};
use pipitlever_capture::record::{End, LostRecords, Opening, Record};
use pipitlever_capture::replay::{initial_controller, Difference, Replay, ReplayError};
use pipitlever_capture::segment::{RecordAt, RestoreError, SegmentReader, Tail};
use serde::Serialize;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Somebody who wants to know what a capture says. All does nothing unless it is wanted.
pub trait Visitor {
    /// A segment begins; `anew` if it does not go on from the one before it.
    fn segment(&mut self, _opening: &Opening, _controller: &Controller, _anew: bool) {}
    /// A record was played. `before` is what the controller went by before it, if it is a step.
    fn record(&mut self, _seen: &Seen) {}
    /// A run is over.
    fn run_ended(&mut self) {}
}

/// One record, played.
pub struct Seen<'a> {
    /// How the segment began.
    pub opening: &'a Opening,
    /// The record.
    pub record: &'a Record,
    /// The controller, after it.
    pub replay: &'a Replay,
    /// What the controller went by before it.
    pub before: Option<ControllerStatus>,
}

/// Where a capture is cut off.
#[derive(Clone, Debug, Serialize)]
pub struct Cut {
    /// The file.
    pub file: PathBuf,
    /// Everything before this offset is there.
    pub offset: u64,
}

/// What is missing before or behind a segment.
#[derive(Clone, Debug, Serialize)]
pub struct Gap {
    /// It is missing at the end of the run, behind the segment.
    pub behind: bool,
    /// The segment that says so, or that does not go on from the one before it.
    pub file: PathBuf,
    /// What it says; nothing if the segments between were taken away.
    pub lost: Option<LostRecords>,
}

/// How a build decides otherwise.
#[derive(Clone, Debug)]
pub enum Otherwise {
    /// A step has other actions.
    Step(Box<Difference>),
    /// The state at a segment's start is another one.
    State {
        /// Steps before it.
        steps: u64,
    },
}

/// What came of a walk.
#[derive(Debug, Default)]
pub struct Walk {
    /// Runs of nodes.
    pub runs: usize,
    /// Segments.
    pub segments: usize,
    /// Steps played.
    pub steps: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Bytes read.
    pub bytes: u64,
    /// Where captures are cut off.
    pub cuts: Vec<Cut>,
    /// What is missing.
    pub gaps: Vec<Gap>,
    /// The first difference, and in which file.
    pub first: Option<(PathBuf, Otherwise)>,
    /// Steps with other actions.
    pub different: u64,
    /// How long it took.
    pub took: Duration,
}

/// A bar on a terminal, once it has taken a second.
pub struct Progress {
    start: Instant,
    bar: Option<ProgressBar>,
    total: u64,
    shown: bool,
}

impl Progress {
    /// For so many bytes; none is shown where nobody looks.
    pub fn new(total: u64) -> Progress {
        Progress {
            start: Instant::now(),
            bar: None,
            total,
            shown: std::io::stderr().is_terminal(),
        }
    }

    /// So many bytes are done.
    pub fn at(&mut self, done: u64) {
        if !self.shown || self.start.elapsed() < Duration::from_secs(1) {
            return;
        }
        let bar = self.bar.get_or_insert_with(|| {
            let style = ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {eta}");
            ProgressBar::new(self.total).with_style(style.expect("a template that is right"))
        });
        bar.set_position(done);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}

/// How far a walk goes.
#[derive(Clone, Copy, PartialEq)]
pub enum Until {
    /// To the first difference.
    Difference,
    /// To the end. Behind a difference this build's controller is told what the capture's was.
    End,
}

/// Goes through all runs at this path.
pub fn walk(path: &Path, until: Until, visitor: &mut impl Visitor) -> Result<Walk, Trouble> {
    let start = Instant::now();
    let runs = source::runs(path)?;
    let total = runs.iter().flat_map(|r| &r.segments).map(|s| s.size).sum();
    let mut progress = Progress::new(total);
    let mut walk = Walk::default();
    for run in &runs {
        walk.runs += 1;
        walk.run(run, until, visitor, &mut progress)?;
        visitor.run_ended();
        if walk.first.is_some() && until == Until::Difference {
            break;
        }
    }
    walk.took = start.elapsed();
    Ok(walk)
}

impl Walk {
    fn differs(&mut self, path: &Path, how: Otherwise) {
        self.different += 1;
        if self.first.is_none() {
            self.first = Some((path.to_owned(), how));
        }
    }

    fn run(
        &mut self,
        run: &Run,
        until: Until,
        visitor: &mut impl Visitor,
        progress: &mut Progress,
    ) -> Result<(), Trouble> {
        // The replay up to here, and the number of the segment that may go on from it.
        let mut before: Option<(Replay, u32)> = None;
        for segment in &run.segments {
            let path = &segment.path;
            let bytes = source::bytes(path)?;
            let unreadable = |e| Trouble::Unreadable(path.clone(), e);
            let mut reader = SegmentReader::open(&bytes).map_err(unreadable)?;
            self.segments += 1;
            let Some(opening) = reader.opening().cloned() else {
                self.ended(path, reader.tail());
                continue;
            };
            let goes_on = opening.lost.is_none();
            let earlier = before.take().filter(|b| goes_on && b.1 == opening.segment);
            let anew = earlier.is_none();
            let (mut replay, known) = match earlier {
                Some((replay, _)) => (replay, true),
                None if opening.is_initial => {
                    (Replay::new(initial_controller(&opening), &opening), true)
                }
                None => {
                    if opening.segment > 1 {
                        self.gaps.push(Gap {
                            file: path.clone(),
                            lost: opening.lost.clone(),
                            behind: false,
                        });
                    }
                    let state = |e: RestoreError| Trouble::State(path.clone(), e.to_string());
                    (
                        Replay::new(reader.controller().map_err(state)?, &opening),
                        false,
                    )
                }
            };
            // A state that came by replay is held against the one that was recorded, unless this
            // build has another form of it.
            let recorded = reader.controller().ok().filter(|_| known);
            if !replay.enter_segment(&opening, recorded.as_ref()) {
                self.differs(
                    path,
                    Otherwise::State {
                        steps: opening.steps,
                    },
                );
                if until == Until::Difference {
                    return Ok(());
                }
                replay = Replay::new(recorded.expect("it was another one"), &opening);
            }
            visitor.segment(&opening, replay.controller(), anew);
            let base = self.bytes;
            while let Some(RecordAt { offset: at, record }) =
                reader.next_record().map_err(unreadable)?
            {
                let damaged = |why: ReplayError| {
                    Trouble::State(path.clone(), format!("offset {at}: damaged: {why}"))
                };
                let played = replay.apply(&record).map_err(damaged)?;
                if let Record::Step { events, .. } = &record {
                    self.steps += 1;
                    let arrived = |e: &&Event| matches!(e, Event::Arrived(_));
                    self.requests += events.iter().filter(arrived).count() as u64;
                }
                if let Some(difference) = replay.difference(&record, played.as_ref()) {
                    self.differs(path, Otherwise::Step(Box::new(difference)));
                }
                let before = played.map(|step| step.status_before);
                visitor.record(&Seen {
                    opening: &opening,
                    record: &record,
                    replay: &replay,
                    before,
                });
                if self.first.is_some() && until == Until::Difference {
                    return Ok(());
                }
                if self.steps.is_multiple_of(1024) {
                    progress.at(base + at);
                }
            }
            self.bytes = base + bytes.len() as u64;
            progress.at(self.bytes);
            self.ended(path, reader.tail());
            before = Some((replay, opening.segment + 1));
        }
        Ok(())
    }

    fn ended(&mut self, path: &Path, tail: Option<Tail>) {
        match tail {
            Some(Tail::Truncated(offset)) => self.cuts.push(Cut {
                file: path.to_owned(),
                offset,
            }),
            Some(Tail::Complete(End::Last(lost))) if lost > 0 => {
                let lost = Some(LostRecords {
                    records: lost,
                    ..LostRecords::default()
                });
                self.gaps.push(Gap {
                    file: path.to_owned(),
                    lost,
                    behind: true,
                });
            }
            _ => {}
        }
    }
}
