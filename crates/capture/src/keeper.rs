//! What the writer does with records: segments within bounds on a folder that may fail at any time.
//!
//! The folder is a trait, so that every decision here is tested with disks that are full, slow, or
//! gone. It never holds more than is asked for; the oldest segment goes first; what could not be
//! written is counted, and the next segment names it.

use crate::record::{End, Lost, Opening};
use crate::segment::Writer;
use crate::tap::{Checkpoint, Message, Spool};
use pipitlever_admission::Micros;
use std::collections::VecDeque;
use std::fmt;
use std::io;

/// A frame is written once it has so many bytes of records, or at the end of a turn.
const FRAME: usize = 64 << 10;
/// After a failure the folder is tried again so much later, twice as late each time, up to the
/// last.
const FIRST_PAUSE: Micros = 1_000_000;
const LAST_PAUSE: Micros = 30_000_000;
/// A file that was taken away under the writer is noticed within this time.
const LOOK: Micros = 1_000_000;
/// How the names of segments end.
pub const SUFFIX: &str = ".plc";

/// A place that holds segments.
pub trait Folder {
    /// Names and bytes of all that is there. Makes the folder if there is none.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Begins a segment. What is appended goes there from now on.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the segment that was begun last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// The segment that was begun last is done with.
    fn close(&mut self);
    /// Takes a segment away.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Whether a segment is there.
    fn holds(&mut self, name: &str) -> bool;
}

/// How much is kept, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A segment ends once it is this long.
    pub segment: u64,
    /// All segments of a node together.
    pub keep: u64,
}

/// Something for the log: one line a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// Records are written, the first ones into this segment.
    Writing(String),
    /// Nothing is written: why.
    Stopped(String),
    /// So many records were lost: the segment that begins now names them, or the end of the last
    /// one.
    Gap(u64),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::Writing(name) => write!(f, "capture: writing: {name}"),
            Note::Stopped(why) => write!(f, "capture: stopped: {why}"),
            Note::Gap(records) => write!(f, "capture: gap: records={records}"),
        }
    }
}

/// The parts of a segment's name: node, run, number.
pub fn parts(name: &str) -> Option<(&str, u64, u32)> {
    let mut words = name.strip_suffix(SUFFIX)?.rsplitn(3, '-');
    let segment = words.next()?.parse().ok()?;
    let run = words.next()?.parse().ok()?;
    Some((words.next()?, run, segment))
}

fn name(node: &str, run: u64, segment: u32) -> String {
    // Names in order are segments in order.
    format!("{node}-{run:013}-{segment:06}{SUFFIX}")
}

/// A node's name as far as it can be part of a file's.
pub fn safe(node: &str) -> String {
    let plain = |c: char| {
        if c.is_ascii_alphanumeric() || c == '_' || c == '.' {
            c
        } else {
            '_'
        }
    };
    let name: String = node.chars().take(48).map(plain).collect();
    if name.trim_matches('.').is_empty() {
        return "node".into();
    }
    name
}

#[derive(Debug)]
struct Open {
    name: String,
    writer: Writer,
    written: u64,
}

/// Keeps a node's segments in a folder.
#[derive(Debug)]
pub struct Keeper<F> {
    folder: F,
    limits: Limits,
    node: String,
    segment: u32,
    open: Option<Open>,
    /// Closed segments, the oldest first.
    closed: VecDeque<(String, u64)>,
    /// Whole records that are not in a frame yet, and how many.
    pending: Vec<u8>,
    count: u64,
    lost: Lost,
    /// The folder failed, and is tried again then.
    retry: Option<Micros>,
    pause: Micros,
    looked: Micros,
    /// What the log was told last: whether records are written.
    told: Option<bool>,
    notes: Vec<Note>,
}

impl<F: Folder> Keeper<F> {
    /// Keeps segments of this node.
    pub fn new(folder: F, limits: Limits, node: &str) -> Keeper<F> {
        Keeper {
            folder,
            limits,
            node: safe(node),
            segment: 0,
            open: None,
            closed: VecDeque::new(),
            pending: Vec::new(),
            count: 0,
            lost: Lost::default(),
            retry: None,
            pause: FIRST_PAUSE,
            looked: 0,
            told: None,
            notes: Vec::new(),
        }
    }

    /// The folder, as a test wants to look at it.
    pub fn folder(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Bytes of all segments.
    pub fn total(&self) -> u64 {
        self.closed.iter().map(|c| c.1).sum::<u64>() + self.open.as_ref().map_or(0, |o| o.written)
    }

    /// Takes in what has gathered and writes it. What is to be logged comes back.
    pub fn turn(&mut self, now: Micros, spool: &mut Spool) -> Vec<Note> {
        if now - self.looked >= LOOK {
            self.looked = now;
            // A file that is gone takes what is written to it without an error, and nobody will
            // ever read it.
            let gone = self
                .open
                .as_ref()
                .is_some_and(|o| !self.folder.holds(&o.name));
            if gone {
                self.failed(now, &io::Error::other("the segment was taken away"));
            }
        }
        spool.drain(|message| match message {
            Message::Record(bytes) => self.record(now, bytes),
            Message::Checkpoint(checkpoint) => self.begin(now, *checkpoint),
        });
        self.flush(now);
        let due = match (&self.open, self.retry) {
            (Some(open), _) => open.written >= self.limits.segment,
            (None, Some(at)) => now >= at,
            (None, None) => true,
        };
        if due {
            spool.want_checkpoint();
        }
        std::mem::take(&mut self.notes)
    }

    /// The loop has gone: the last segment ends.
    pub fn finish(&mut self, now: Micros, spool: &mut Spool) -> Vec<Note> {
        let mut notes = self.turn(now, spool);
        // What was lost at the very end has no segment behind it to name it.
        let lost = self.lost.records + spool.lost();
        self.end(now, End::Last(lost));
        notes.append(&mut self.notes);
        if lost > 0 {
            notes.push(Note::Gap(lost));
        }
        notes
    }

    fn record(&mut self, now: Micros, bytes: &[u8]) {
        if self.open.is_none() {
            self.lost.records += 1;
            return;
        }
        self.pending.extend_from_slice(bytes);
        self.count += 1;
        if self.pending.len() >= FRAME {
            self.flush(now);
        }
    }

    fn flush(&mut self, now: Micros) {
        let Some(open) = self.open.as_mut().filter(|_| !self.pending.is_empty()) else {
            return;
        };
        let mut bytes = Vec::with_capacity(self.pending.len() + 32);
        open.writer.records(&self.pending, &mut bytes);
        match self.make_room(bytes.len() as u64) {
            Ok(true) => {}
            // This segment alone has grown to the bound, so the loop is slow to make its
            // checkpoint.
            Ok(false) => {
                self.lose_pending();
                return self.end(now, End::Next);
            }
            Err(error) => return self.failed(now, &error),
        }
        match self.folder.append(&bytes) {
            Ok(()) => {
                self.open.as_mut().expect("seen above").written += bytes.len() as u64;
                self.pending.clear();
                self.count = 0;
                self.pending.shrink_to(2 * FRAME);
            }
            Err(error) => self.failed(now, &error),
        }
    }

    /// Takes away the oldest segments until so much more has room; whether it has. One that can't
    /// be removed is a failure: the bytes of those that stay must not grow with every segment.
    fn make_room(&mut self, more: u64) -> io::Result<bool> {
        while self.total() + more > self.limits.keep {
            let Some((name, _)) = self.closed.front() else {
                return Ok(false);
            };
            match self.folder.remove(name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => self.closed.pop_front(),
            };
        }
        Ok(true)
    }

    fn begin(&mut self, now: Micros, checkpoint: Checkpoint) {
        self.end(now, End::Next);
        if self.retry.is_some_and(|at| now < at) {
            // It was made for a gap of the queue's; the folder still rests.
            self.lost.records += checkpoint.opening.lost.map_or(0, |l| l.records);
            return;
        }
        if let Err(error) = self.try_begin(checkpoint) {
            self.failed(now, &error);
            return;
        }
        (self.retry, self.pause) = (None, FIRST_PAUSE);
        let name = self
            .open
            .as_ref()
            .map(|o| o.name.clone())
            .unwrap_or_default();
        if self.told != Some(true) {
            self.told = Some(true);
            self.notes.push(Note::Writing(name));
        }
    }

    fn try_begin(&mut self, checkpoint: Checkpoint) -> io::Result<()> {
        let Checkpoint {
            opening,
            controller,
        } = checkpoint;
        let mut lost = opening.lost.clone().unwrap_or_default();
        lost.records += self.lost.records;
        lost.disk = self.lost.disk.take().or(lost.disk);
        self.lost = lost.clone();
        let run = opening.run;
        let missing = (lost != Lost::default()).then(|| lost.clone());
        let opening = Opening {
            segment: self.segment + 1,
            lost: missing,
            ..opening
        };
        let mut bytes = Vec::new();
        let writer = Writer::open(&opening, &controller, &mut bytes);
        let mut mine: Vec<(String, u64)> = self.folder.list()?;
        mine.retain(|(name, _)| parts(name).is_some_and(|p| p.0 == self.node));
        mine.sort();
        self.closed = mine.into();
        // Room for the whole segment, so that not every frame takes one away.
        let wanted = self.limits.segment.max(bytes.len() as u64);
        if !self.make_room(wanted)? && !self.make_room(bytes.len() as u64)? {
            return Err(io::Error::other(format!(
                "a state of {} bytes is over keep_mb",
                bytes.len()
            )));
        }
        // A number that was tried once is not tried again: what it left may still be there.
        self.segment += 1;
        let name = name(&self.node, run, self.segment);
        self.folder.create(&name)?;
        if let Err(error) = self.folder.append(&bytes) {
            // A segment without an opening is of no use to anybody.
            self.folder.close();
            let _ = self.folder.remove(&name);
            return Err(error);
        }
        self.open = Some(Open {
            name,
            writer,
            written: bytes.len() as u64,
        });
        if lost.records > 0 {
            self.notes.push(Note::Gap(lost.records));
        }
        self.lost = Lost::default();
        Ok(())
    }

    fn end(&mut self, now: Micros, end: End) {
        self.flush(now);
        let Some(mut open) = self.open.take() else {
            return;
        };
        let mut bytes = Vec::new();
        open.writer.end(end, &mut bytes);
        // Without its end a segment reads as cut off there, and loses nothing.
        if self.folder.append(&bytes).is_ok() {
            open.written += bytes.len() as u64;
        }
        self.folder.close();
        self.closed.push_back((open.name, open.written));
    }

    fn lose_pending(&mut self) {
        self.lost.records += std::mem::take(&mut self.count);
        self.pending.clear();
    }

    fn failed(&mut self, now: Micros, error: &io::Error) {
        self.lose_pending();
        if let Some(open) = self.open.take() {
            self.folder.close();
            self.closed.push_back((open.name, open.written));
        }
        self.lost.disk = Some(error.to_string());
        self.retry = Some(now + self.pause);
        self.pause = (2 * self.pause).min(LAST_PAUSE);
        if self.told != Some(false) {
            self.told = Some(false);
            self.notes.push(Note::Stopped(error.to_string()));
        }
    }
}
