//! The event loop's side of a capture: pushes records into a bounded queue and never blocks.
//!
//! A record that does not fit into the queue is counted as lost, and so are the records after it,
//! as a controller can't be replayed past a missing step. Recording resumes with a checkpoint.

use crate::record::{
    encode, AnswerSource, Entry, LostRecords, RecordedAnswer, RequestIdentity, SegmentHeader,
};
use crossbeam_queue::ArrayQueue;
use pipitlever_admission::{Action, Controller, Event, Micros, Settings};
use rtrb::{Consumer, Producer, RingBuffer};
use std::borrow::Cow;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::Thread;

/// The size of a node's queue in bytes: the records of one second at 5,000 requests per second.
pub const DEFAULT_QUEUE_BYTES: usize = 1 << 20;
/// The shortest time between two checkpoints. Each one copies the controller's state, so that
/// frequent checkpoints would delay the event loop while a disk keeps failing.
const MIN_CHECKPOINT_INTERVAL: Micros = 250_000;
/// The capacity that the receiver's buffer retains after a burst, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The capacity that the encoding buffer retains after a long record, in bytes.
const ENCODE_BUFFER_BYTES: usize = 4096;

/// The first byte of a record in the queue. Its length follows.
const RECORD_TAG: u8 = 0;
/// A checkpoint's only byte in the queue. The checkpoint itself is in `Shared::checkpoints`.
const CHECKPOINT_TAG: u8 = 1;
/// Bytes of a record's length, little-endian.
const LENGTH_BYTES: usize = 4;
/// Bytes before a record in the queue.
const RECORD_HEADER_BYTES: usize = 1 + LENGTH_BYTES;

/// The controller's state between two steps, and the header of the segment that begins with it.
#[derive(Debug)]
pub struct Checkpoint {
    /// The header. The writer sets the segment's number.
    pub header: SegmentHeader,
    /// The controller.
    pub controller: Controller,
}

/// The state that recorder and receiver share, in addition to the queue.
#[derive(Debug)]
struct Shared {
    /// The number of the checkpoint that the writer requests; the first one is 1. A number and not
    /// a flag: the recorder may queue a checkpoint after the writer has decided to request one and
    /// before the writer stores the request. A flag would then cause a second checkpoint.
    requested_checkpoint: AtomicU64,
    /// The checkpoint of the `CHECKPOINT_TAG` in the queue.
    checkpoints: ArrayQueue<Box<Checkpoint>>,
    /// Records lost since the last checkpoint. The end frame states them if the run ends in a gap.
    lost_records: AtomicU64,
    /// The thread to unpark when the queue becomes half full.
    writer_thread: OnceLock<Thread>,
}

/// The properties that are the same in all segments of a run.
#[derive(Clone, Debug)]
pub struct RunInfo {
    /// The version of the build.
    pub build: String,
    /// The node's name.
    pub node: String,
    /// The start of the run, in Unix milliseconds.
    pub run: u64,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The seed that the controller was created with.
    pub seed: u64,
    /// The controller has taken no step yet.
    pub is_initial: bool,
}

/// The event loop's end of the queue.
#[derive(Debug)]
pub struct Recorder {
    run_info: RunInfo,
    queue: Producer<u8>,
    shared: Arc<Shared>,
    /// The buffer that records are encoded in.
    buffer: Vec<u8>,
    /// The clock of the last record that was written.
    last_clock: Micros,
    steps: u64,
    /// The number of checkpoints queued.
    checkpoints: u64,
    /// No record may be written before the next checkpoint.
    is_in_gap: bool,
    lost: LostRecords,
    next_checkpoint_at: Micros,
}

/// The writer's end of the queue.
#[derive(Debug)]
pub struct RecordReceiver {
    queue: Consumer<u8>,
    buffer: Vec<u8>,
    shared: Arc<Shared>,
    /// The number of checkpoints received.
    checkpoints: u64,
}

/// A message in the queue.
#[derive(Debug)]
pub enum QueuedMessage<'a> {
    /// An encoded record.
    Record(&'a [u8]),
    /// The start of a new segment.
    Checkpoint(Box<Checkpoint>),
}

/// Creates a queue of this many bytes. The first message has to be a checkpoint.
pub fn record_queue(run_info: RunInfo, queue_bytes: usize) -> (Recorder, RecordReceiver) {
    let (producer, consumer) = RingBuffer::new(queue_bytes);
    let shared = Arc::new(Shared {
        requested_checkpoint: AtomicU64::new(1),
        checkpoints: ArrayQueue::new(1),
        lost_records: AtomicU64::new(0),
        writer_thread: OnceLock::new(),
    });
    let recorder = Recorder {
        run_info,
        queue: producer,
        shared: shared.clone(),
        buffer: Vec::new(),
        last_clock: 0,
        steps: 0,
        checkpoints: 0,
        is_in_gap: true,
        lost: LostRecords::default(),
        next_checkpoint_at: Micros::MIN,
    };
    let receiver = RecordReceiver {
        queue: consumer,
        buffer: Vec::new(),
        shared,
        checkpoints: 0,
    };
    (recorder, receiver)
}

impl Recorder {
    /// Whether [`Recorder::queue_checkpoint`] is to be called before the next step.
    pub fn needs_checkpoint(&self, now: Micros) -> bool {
        // A gap ends once the writer has caught up; otherwise the writer requests a checkpoint for
        // the next segment.
        let is_due = if self.lost.records > 0 {
            self.queue.slots() >= self.queue.buffer().capacity() / 2
        } else {
            self.shared.requested_checkpoint.load(Ordering::Relaxed) > self.checkpoints
        };
        is_due && now >= self.next_checkpoint_at && !self.shared.checkpoints.is_full()
    }

    /// Queues a checkpoint of the controller in its state before the next step, with the settings
    /// that it was created with and the identities of the requests in memory.
    pub fn queue_checkpoint(
        &mut self,
        now: Micros,
        controller: &Controller,
        settings: &Settings,
        identities: Vec<RequestIdentity>,
    ) {
        let checkpoint = Box::new(Checkpoint {
            header: self.header(now, settings, identities),
            controller: controller.clone(),
        });
        if self.queue.slots() == 0 || self.shared.checkpoints.push(checkpoint).is_err() {
            return;
        }
        self.shared.lost_records.store(0, Ordering::Relaxed);
        self.queue
            .push(CHECKPOINT_TAG)
            .expect("a slot is free, and this is the only producer");
        self.checkpoints += 1;
        self.last_clock = now;
        self.is_in_gap = false;
        self.lost = LostRecords::default();
        self.next_checkpoint_at = now + MIN_CHECKPOINT_INTERVAL;
    }

    fn header(
        &self,
        now: Micros,
        settings: &Settings,
        identities: Vec<RequestIdentity>,
    ) -> SegmentHeader {
        let RunInfo {
            build,
            node,
            run,
            classes,
            seed,
            is_initial,
        } = self.run_info.clone();
        SegmentHeader {
            build,
            node,
            run,
            segment: 0,
            steps: self.steps,
            is_initial: is_initial && self.steps == 0,
            now,
            classes,
            settings: settings.clone(),
            seed,
            identities,
            lost: (self.lost.records > 0).then(|| self.lost.clone()),
        }
    }

    /// Records the identity of a request, before the step in which it arrives.
    pub fn record_identity(&mut self, identity: RequestIdentity) {
        self.record(self.last_clock, |_| Entry::Identity(identity));
    }

    /// Records a step of the controller.
    pub fn record_step(&mut self, now: Micros, events: &[Event], actions: &[Action]) {
        self.steps += 1;
        let (events, actions) = (Cow::Borrowed(events), Cow::Borrowed(actions));
        self.record(now, |clock_delta| Entry::Step {
            clock_delta,
            events,
            actions,
        });
    }

    /// Records a final answer to the request with this `ref` and class index.
    pub fn record_answer(
        &mut self,
        now: Micros,
        reference: u64,
        class: u32,
        answer: RecordedAnswer,
        source: AnswerSource,
    ) {
        self.record(now, |clock_delta| Entry::Answer {
            clock_delta,
            reference,
            class,
            answer,
            source,
        });
    }

    /// Queues a record, or counts it as lost.
    fn record<'a>(&mut self, now: Micros, entry: impl FnOnce(Micros) -> Entry<'a>) {
        if self.is_in_gap {
            // Records before the first checkpoint do not count as lost.
            if self.lost.records > 0 {
                self.count_lost();
            }
            return;
        }
        self.encode(&entry(now.wrapping_sub(self.last_clock)));
        let free_before = self.queue.slots();
        if self.queue.push_entire_slice(&self.buffer).is_err() {
            self.is_in_gap = true;
            return self.count_lost();
        }
        self.last_clock = now;
        // Wakes the writer once, when the queue becomes half full: the writer polls the queue, but
        // the poll interval may be too long for a burst.
        let half = self.queue.buffer().capacity() / 2;
        if free_before >= half && free_before - self.buffer.len() < half {
            self.shared.writer_thread.get().inspect(|t| t.unpark());
        }
        self.buffer.shrink_to(ENCODE_BUFFER_BYTES);
    }

    /// Encodes a record with its header into the buffer.
    fn encode(&mut self, entry: &Entry) {
        self.buffer.clear();
        self.buffer.push(RECORD_TAG);
        self.buffer.extend_from_slice(&[0; LENGTH_BYTES]);
        encode(entry, &mut self.buffer);
        let length = (self.buffer.len() - RECORD_HEADER_BYTES) as u32;
        self.buffer[1..RECORD_HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
    }

    fn count_lost(&mut self) {
        self.lost.records += 1;
        self.lost.queue_full += 1;
        let lost_records = &self.shared.lost_records;
        lost_records.store(self.lost.records, Ordering::Relaxed);
    }
}

impl RecordReceiver {
    /// Sets the thread that empties the queue, which is unparked when the queue becomes half full.
    pub fn set_writer_thread(&self, thread: Thread) {
        // The thread is set once, when it starts; a second call has no effect.
        let _ = self.shared.writer_thread.set(thread);
    }

    /// Requests the checkpoint after those received so far. Has no effect if the recorder has
    /// queued that checkpoint in the meantime.
    pub fn request_checkpoint(&self) {
        let requested = &self.shared.requested_checkpoint;
        requested.store(self.checkpoints + 1, Ordering::Relaxed);
    }

    /// Whether the recorder was dropped and the queue is empty.
    pub fn is_finished(&self) -> bool {
        self.queue.is_abandoned() && self.queue.is_empty()
    }

    /// Records lost since the last checkpoint.
    pub fn lost_records(&self) -> u64 {
        self.shared.lost_records.load(Ordering::Relaxed)
    }

    /// Removes the messages that are in the queue now and passes them to `handle`, in order.
    pub fn drain(&mut self, mut handle: impl FnMut(QueuedMessage)) {
        let queued = self.queue.slots();
        self.buffer.resize(queued, 0);
        if self.queue.pop_entire_slice(&mut self.buffer).is_err() {
            return;
        }
        // The recorder pushes each message as a whole, so the buffer contains whole messages.
        let mut rest = &self.buffer[..];
        while let Some((&tag, after_tag)) = rest.split_first() {
            if tag == CHECKPOINT_TAG {
                rest = after_tag;
                self.checkpoints += 1;
                if let Some(checkpoint) = self.shared.checkpoints.pop() {
                    handle(QueuedMessage::Checkpoint(checkpoint));
                }
                continue;
            }
            let (length, after_length) = after_tag.split_at(LENGTH_BYTES);
            let length = u32::from_le_bytes(length.try_into().expect("four bytes")) as usize;
            let (record, after_record) = after_length.split_at(length);
            handle(QueuedMessage::Record(record));
            rest = after_record;
        }
        self.buffer.shrink_to(RECEIVE_BUFFER_BYTES);
    }
}
