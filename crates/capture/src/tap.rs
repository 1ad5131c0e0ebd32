//! The loop's side of a capture: it writes records into a bounded queue and waits for nobody.
//!
//! A record that finds no room is counted and not written, and so are those behind it: a controller
//! can't be played past a step that is missing. The next record to be written then is a checkpoint.

use crate::record::{encode, By, Entry, Lost, Name, Opening, Told};
use crossbeam_queue::ArrayQueue;
use pipitlever_admission::{Action, Controller, Event, Micros, Settings};
use rtrb::{Consumer, Producer, RingBuffer};
use std::borrow::Cow;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::thread::Thread;

/// Bytes of the queue that a node uses: at 5,000 requests a second, the records of a second.
pub const QUEUE: usize = 1 << 20;
/// After a gap the next checkpoint waits for so long: a state is copied for each, and a disk that
/// keeps failing would have the loop copy all the time.
const PAUSE: Micros = 250_000;

/// What the writer's buffer keeps of its memory after a burst.
const KEPT: usize = 64 << 10;

const RECORD: u8 = 0;
const CHECKPOINT: u8 = 1;

/// A controller's state between two steps, and how a segment that begins with it opens. The writer
/// numbers it.
#[derive(Debug)]
pub struct Checkpoint {
    /// How the segment opens.
    pub opening: Opening,
    /// The state.
    pub controller: Controller,
}

#[derive(Debug)]
struct Shared {
    /// The writer wants a checkpoint.
    wanted: AtomicBool,
    /// It beside the queue, whose bytes only say where it belongs.
    checkpoints: ArrayQueue<Box<Checkpoint>>,
    /// Records lost since the last checkpoint: what is left when the loop goes in the middle of a
    /// gap.
    lost: AtomicU64,
    /// Whom to wake when the queue fills.
    writer: OnceLock<Thread>,
}

/// What is the same in all segments of a run.
#[derive(Clone, Debug)]
pub struct About {
    /// The build.
    pub build: String,
    /// The node's name.
    pub node: String,
    /// The process's start, in Unix milliseconds.
    pub run: u64,
    /// The names of the classes, by position.
    pub classes: Vec<String>,
    /// The seed that it was given.
    pub seed: u64,
    /// The controller has not taken a step yet.
    pub fresh: bool,
}

/// The loop's end of the queue.
#[derive(Debug)]
pub struct Tap {
    about: About,
    queue: Producer<u8>,
    shared: Arc<Shared>,
    scratch: Vec<u8>,
    /// The clock of the last record that was written.
    last: Micros,
    steps: u64,
    /// Nothing may be written before the next checkpoint.
    gap: bool,
    lost: Lost,
    /// When the next checkpoint may be made.
    not_before: Micros,
}

/// The writer's end of the queue.
#[derive(Debug)]
pub struct Spool {
    queue: Consumer<u8>,
    buffer: Vec<u8>,
    shared: Arc<Shared>,
}

/// What the writer finds in the queue.
#[derive(Debug)]
pub enum Message<'a> {
    /// One record's bytes.
    Record(&'a [u8]),
    /// A state, to begin a segment with.
    Checkpoint(Box<Checkpoint>),
}

/// A queue of so many bytes. It wants a checkpoint first.
pub fn queue(about: About, bytes: usize) -> (Tap, Spool) {
    let (producer, consumer) = RingBuffer::new(bytes);
    let shared = Arc::new(Shared {
        wanted: AtomicBool::new(true),
        checkpoints: ArrayQueue::new(1),
        lost: AtomicU64::new(0),
        writer: OnceLock::new(),
    });
    let tap = Tap {
        about,
        queue: producer,
        shared: shared.clone(),
        scratch: Vec::new(),
        last: 0,
        steps: 0,
        gap: true,
        lost: Lost::default(),
        not_before: Micros::MIN,
    };
    (
        tap,
        Spool {
            queue: consumer,
            buffer: Vec::new(),
            shared,
        },
    )
}

impl Tap {
    /// Whether a checkpoint is to be made now, between two steps.
    pub fn wants_checkpoint(&self, now: Micros) -> bool {
        // A gap ends as soon as the writer has caught up; without one it says when the next segment
        // is due.
        let wanted = if self.lost.records > 0 {
            self.queue.slots() >= self.queue.buffer().capacity() / 2
        } else {
            self.shared.wanted.load(Relaxed)
        };
        wanted && now >= self.not_before && !self.shared.checkpoints.is_full()
    }

    /// A checkpoint: the state that the next step will find, what it was told at its start, and the
    /// names of the requests in it.
    pub fn checkpoint(
        &mut self,
        now: Micros,
        controller: &Controller,
        settings: &Settings,
        names: Vec<Name>,
    ) {
        let About {
            build,
            node,
            run,
            classes,
            seed,
            fresh,
        } = self.about.clone();
        let settings = settings.clone();
        let lost = (self.lost.records > 0).then(|| self.lost.clone());
        let opening = Opening {
            build,
            node,
            run,
            segment: 0,
            steps: self.steps,
            first: fresh && self.steps == 0,
            now,
            classes,
            settings,
            seed,
            names,
            lost,
        };
        let checkpoint = Box::new(Checkpoint {
            opening,
            controller: controller.clone(),
        });
        if self.queue.slots() == 0 || self.shared.checkpoints.push(checkpoint).is_err() {
            return;
        }
        self.shared.wanted.store(false, Relaxed);
        self.shared.lost.store(0, Relaxed);
        self.queue
            .push(CHECKPOINT)
            .expect("there is a slot, and nobody else takes it");
        (self.last, self.gap, self.lost) = (now, false, Lost::default());
        self.not_before = now + PAUSE;
    }

    /// A request's outside name.
    pub fn named(&mut self, name: Name) {
        self.put(self.last, |_| Entry::Named(name));
    }

    /// A step that the controller has taken.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &[Action]) {
        self.steps += 1;
        let (events, actions) = (Cow::Borrowed(events), Cow::Borrowed(actions));
        self.put(now, |after| Entry::Step {
            after,
            events,
            actions,
        });
    }

    /// A final answer.
    pub fn answer(&mut self, now: Micros, reference: u64, class: u32, told: Told, by: By) {
        self.put(now, |after| Entry::Answer {
            after,
            reference,
            class,
            told,
            by,
        });
    }

    fn put<'a>(&mut self, now: Micros, entry: impl FnOnce(Micros) -> Entry<'a>) {
        if self.gap {
            // Before the first checkpoint nothing is missing yet.
            if self.lost.records > 0 {
                self.lose();
            }
            return;
        }
        self.scratch.clear();
        self.scratch.extend_from_slice(&[RECORD, 0, 0, 0, 0]);
        encode(&entry(now.wrapping_sub(self.last)), &mut self.scratch);
        let length = (self.scratch.len() - 5) as u32;
        self.scratch[1..5].copy_from_slice(&length.to_le_bytes());
        let before = self.queue.slots();
        if self.queue.push_entire_slice(&self.scratch).is_err() {
            self.gap = true;
            return self.lose();
        }
        self.last = now;
        // Once, as the queue gets half full: the writer looks by itself, but may be late for a
        // burst.
        let half = self.queue.buffer().capacity() / 2;
        if before >= half && before - self.scratch.len() < half {
            self.shared.writer.get().inspect(|w| w.unpark());
        }
        // A long record is no reason to keep its memory.
        self.scratch.shrink_to(4096);
    }

    fn lose(&mut self) {
        self.lost.records += 1;
        self.lost.queue += 1;
        self.shared.lost.store(self.lost.records, Relaxed);
    }
}

impl Spool {
    /// The thread that empties the queue.
    pub fn emptied_by(&self, thread: Thread) {
        let _ = self.shared.writer.set(thread);
    }

    /// Has the loop make a checkpoint.
    pub fn want_checkpoint(&self) {
        self.shared.wanted.store(true, Relaxed);
    }

    /// Whether the loop has gone and nothing is left.
    pub fn ended(&self) -> bool {
        self.queue.is_abandoned() && self.queue.is_empty()
    }

    /// Records that the loop has lost and no checkpoint has named.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Relaxed)
    }

    /// Empties the queue as far as it is filled now. Messages come in order.
    pub fn drain(&mut self, mut each: impl FnMut(Message)) {
        let filled = self.queue.slots();
        self.buffer.resize(filled, 0);
        if self.queue.pop_entire_slice(&mut self.buffer).is_err() {
            return;
        }
        // A message is put into the queue whole or not at all, so what is there are whole messages.
        let mut rest = &self.buffer[..];
        while let Some((&kind, after)) = rest.split_first() {
            if kind == CHECKPOINT {
                rest = after;
                if let Some(checkpoint) = self.shared.checkpoints.pop() {
                    each(Message::Checkpoint(checkpoint));
                }
                continue;
            }
            let (length, after) = after.split_at(4);
            let length = u32::from_le_bytes(length.try_into().expect("four bytes")) as usize;
            let (record, after) = after.split_at(length);
            each(Message::Record(record));
            rest = after;
        }
        self.buffer.shrink_to(KEPT);
    }
}
