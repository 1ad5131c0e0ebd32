//! A simulated host with a capture of its controller, and the replay of all its segments.
#![allow(dead_code, unused_imports)]
#![allow(clippy::manual_is_multiple_of)]

mod directory;
mod host;

pub use directory::MemoryDirectory;
pub use host::{EventChoice, SimulatedHost};

use pipitlever_admission::{Action, Micros};
use pipitlever_capture::record::{End, Record, SegmentHeader};
use pipitlever_capture::recorder::{record_queue, RecordReceiver, Recorder, RunInfo};
use pipitlever_capture::replay::{initial_controller, Replay};
use pipitlever_capture::segment::{RecordAt, SegmentReader, Tail};
use pipitlever_capture::writer::{CaptureWriter, Limits};

/// Limits that a test does not reach.
pub const WIDE_LIMITS: Limits = Limits {
    segment_bytes: 1 << 20,
    total_bytes: 1 << 22,
};
/// A queue that does not fill.
pub const LARGE_QUEUE: usize = 1 << 20;

pub fn run_info(seed: u64) -> RunInfo {
    RunInfo {
        build: "test".into(),
        node: "n1".into(),
        run: 1_764_576_000_123,
        classes: ["rota-view", "swap-confirm", "cover-check"]
            .map(String::from)
            .to_vec(),
        seed,
        is_initial: true,
    }
}

/// Writes a capture to the folder that `PIPITLEVER_RECORD` names. Used to regenerate the captures
/// that the tests of the capture tools read.
pub fn write_fixture(name: &str, segment: &[u8]) {
    if let Some(folder) = std::env::var_os("PIPITLEVER_RECORD") {
        let path = std::path::Path::new(&folder).join(format!("{name}.plc"));
        std::fs::write(path, segment).unwrap();
    }
}

/// A simulated host with a capture of its controller.
pub struct CapturedHost {
    pub host: SimulatedHost,
    recorder: Option<Recorder>,
    pub receiver: RecordReceiver,
    pub writer: CaptureWriter<MemoryDirectory>,
    /// The writer's clock.
    clock: Micros,
    /// Records that were passed to the recorder.
    pub recorded: u64,
}

impl CapturedHost {
    pub fn new(variant: u8, seed: u64, queue_bytes: usize, limits: Limits) -> CapturedHost {
        let (recorder, receiver) = record_queue(run_info(seed), queue_bytes);
        CapturedHost {
            host: SimulatedHost::new(variant, seed),
            recorder: Some(recorder),
            receiver,
            writer: CaptureWriter::new(MemoryDirectory::default(), limits, "n1"),
            clock: 0,
            recorded: 0,
        }
    }

    pub fn directory(&mut self) -> &mut MemoryDirectory {
        self.writer.directory()
    }

    /// Records an identity for each arrival, and the step.
    pub fn step(&mut self, clock_delta: i32, choices: &[EventChoice]) -> Vec<Action> {
        let arrivals = self.host.arrivals();
        let actions = self.host.step(clock_delta, choices, self.recorder.as_mut());
        self.recorded += self.host.arrivals() - arrivals + 1;
        actions
    }

    /// Writes the queued records; returns the writer's log lines.
    pub fn write(&mut self, clock_delta: Micros) -> Vec<String> {
        self.clock += clock_delta;
        self.writer
            .write_queued(self.clock, &mut self.receiver)
            .iter()
            .map(ToString::to_string)
            .collect()
    }

    /// Ends the run and returns all segments, the oldest first.
    pub fn finish(mut self) -> Vec<Vec<u8>> {
        drop(self.recorder.take());
        self.writer.finish(self.clock, &mut self.receiver);
        std::mem::take(&mut self.directory().files)
            .into_values()
            .collect()
    }
}

/// The result of a replay that yielded the recorded actions.
#[derive(Debug, Default, PartialEq)]
pub struct ReplaySummary {
    pub steps: u64,
    /// Records in the segments.
    pub records: u64,
    /// Records that the segments state as lost.
    pub lost: u64,
    pub truncated: usize,
}

impl ReplaySummary {
    /// Whether all of this many steps were replayed.
    pub fn is_complete(&self, steps: u64) -> bool {
        self.steps == steps && self.lost == 0 && self.truncated == 0
    }
}

/// Replays all segments, each from its own state and as the continuation of the one before it, and
/// checks that both yield the recorded actions.
pub fn replay(segments: &[Vec<u8>]) -> ReplaySummary {
    let mut summary = ReplaySummary::default();
    let mut previous: Option<Replay> = None;
    for bytes in segments {
        let mut reader = SegmentReader::open(bytes).expect("a readable segment");
        let Some(header) = reader.header().cloned() else {
            summary.truncated += 1;
            continue;
        };
        let mut continued = enter_segment(previous.take(), &reader, &header);
        let controller = reader.controller().expect("a state of this build");
        let mut restored = Replay::new(controller, &header);
        summary.lost += header.lost.map_or(0, |lost| lost.records);
        while let Some(RecordAt { record, .. }) = reader.next_record().expect("an intact segment") {
            summary.records += 1;
            for replay in [&mut continued, &mut restored] {
                compare(replay, &record, header.segment);
            }
        }
        summary.steps = continued.steps();
        match reader.tail() {
            Some(Tail::Truncated(_)) => summary.truncated += 1,
            Some(Tail::Complete(End::Last(lost))) => summary.lost += lost,
            _ => {}
        }
        previous = Some(continued);
    }
    summary
}

/// Returns the replay at the start of a segment; checks that its state equals the recorded one.
fn enter_segment(
    previous: Option<Replay>,
    reader: &SegmentReader,
    header: &SegmentHeader,
) -> Replay {
    let recorded = reader.controller().expect("a state of this build");
    let mut replay = match previous {
        _ if header.is_initial => Replay::new(initial_controller(header), header),
        Some(previous) if header.lost.is_none() => previous,
        _ => Replay::new(recorded.clone(), header),
    };
    assert_eq!(replay.steps(), header.steps);
    assert!(
        replay.enter_segment(header, Some(&recorded)),
        "segment {}: the state differs",
        header.segment
    );
    replay
}

fn compare(replay: &mut Replay, record: &Record, segment: u32) {
    let difference = replay.compare(record).unwrap();
    assert!(difference.is_none(), "segment {segment}: {difference:#?}");
}
