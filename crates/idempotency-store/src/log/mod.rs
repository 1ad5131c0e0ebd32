//! The log: segments of frames, within a bound, on files that may fail at any time.
//!
//! A frame is a batch of records, and is either durable whole or counts for nothing: nobody acted
//! on one that was not synced. After any failure nothing is appended behind what may be half there:
//! a new segment begins, and says how much of the one before is known to be on the disk. So on
//! reading, a tail that is cut off is told from damage: what was synced has to be there.
//!
//! A segment is dropped once all that it holds is over. That is written down first, in the opening
//! of the next segment: one that is missing without that is damage, too. Where records with long
//! windows keep segments of others alive, those that are still wanted are written again, and the
//! rest goes.

use crate::crash_point::crash_point;
use crate::record::{
    decode_header, decode_records, encode, Clocks, Record, Salt, SegmentHeader, FORMAT,
};
use crate::recovery::{remaining_window, Recovered, RecoveryTable};
use crate::Micros;
use pipitlever_framing::{append_frame, FrameReader, ReadError, ReadErrorKind};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;

/// How the names of segments end.
pub const SUFFIX: &str = ".pls";
/// What a power cut leaves unwritten is zeros, in blocks of so many bytes at the least.
const BLOCK: usize = 512;
/// Missing segments that are named, of each gap.
const MOST_MISSING: usize = 64;

/// A folder of files, of which one at a time is written.
pub trait SegmentFiles {
    /// The names of all files there.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// All bytes of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Begins an empty file, in place of one of that name. What is appended goes there from now on.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the file that was begun last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// All that was appended to the file that was begun last, and its name, are on the disk from
    /// now on.
    fn sync(&mut self) -> io::Result<()>;
    /// Takes a file away.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// The clocks now.
    fn clocks(&mut self) -> Clocks;
}

/// How much the log may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All segments together, in bytes. The log is told what to write by somebody who keeps to it.
    pub capacity: u64,
    /// A segment ends once it is this long, in bytes.
    pub segment_size: u64,
}

impl Limits {
    /// Limits for so many bytes in all.
    pub fn for_capacity(most: u64) -> Limits {
        Limits {
            capacity: most,
            segment_size: (most / 16).clamp(16 << 10, 16 << 20),
        }
    }
}

/// A place where something that was on the disk can't be read any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub file: String,
    /// Where in it, in bytes, and what is wrong.
    pub error: ReadError,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.error)
    }
}

/// One segment, as far as it can be read.
#[derive(Clone, Debug)]
pub struct Segment {
    /// Its number.
    pub number: u64,
    /// Its file.
    pub file: String,
    /// Bytes of the file.
    pub size: u64,
    /// Bytes that could be read.
    pub readable: u64,
    /// How it opens, if that could be read.
    pub header: Option<SegmentHeader>,
    /// How long something in it is wanted from now on, in microseconds; unknown where that takes
    /// other clocks.
    lasts: Option<Micros>,
    /// Why it could not be read to its end, where that is not a tail that was cut off.
    pub error: Option<ReadError>,
}

/// All segments of a folder.
#[derive(Clone, Debug, Default)]
pub struct LogContents {
    /// The segments, the oldest first.
    pub segments: Vec<Segment>,
    /// What was on the disk and can't be read.
    pub damage: Vec<Damage>,
    /// The numbers of segments that should be there and are not.
    pub missing: Vec<u64>,
    /// What was read, as it was read: all records at once would take several times their bytes.
    table: RecoveryTable,
}

/// What the processes before left.
#[derive(Debug)]
pub struct OpenReport {
    /// The keys that are within their windows.
    pub keys: Vec<Recovered>,
    /// What was on the disk and can't be read.
    pub damage: Vec<Damage>,
    /// The longest window of any record that was read, in microseconds.
    pub longest_window: Micros,
    /// Bytes behind the last whole frame that were cut off.
    pub torn_bytes: u64,
}

/// Why a folder can't be used at all.
#[derive(Debug)]
pub enum OpenError {
    /// The files can't be read.
    Io(io::Error),
    /// It is another build's format: which file, and the formats.
    Damaged(Damage),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OpenError::Io(error) => write!(f, "{error}"),
            OpenError::Damaged(damage) => write!(f, "{damage}"),
        }
    }
}

impl std::error::Error for OpenError {}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> OpenError {
        OpenError::Io(error)
    }
}

fn name(number: u64) -> String {
    format!("{number:012}{SUFFIX}")
}

fn number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX)?;
    (digits.len() == 12).then(|| digits.parse().ok()).flatten()
}

/// Whether what can't be read is what a power cut leaves: pages that were never written are zeros.
/// No frame that was written begins with eight of them.
fn unwritten(bytes: &[u8], at: u64) -> bool {
    let at = at as usize;
    let first = at.div_ceil(BLOCK) * BLOCK;
    let zeros = |bytes: &[u8]| bytes.iter().all(|&b| b == 0);
    let head = bytes.get(at..first.min(bytes.len())).unwrap_or_default();
    let rest = bytes.get(first..).unwrap_or_default();
    // A file of less than a block, of which only the length was written.
    if bytes.get(at..).is_some_and(zeros) {
        return true;
    }
    (head.len() >= 8 && zeros(head)) || rest.chunks_exact(BLOCK).any(zeros)
}

impl Segment {
    /// Reads a segment's bytes, and hands over its records.
    fn read(
        number: u64,
        bytes: &[u8],
        now: &Clocks,
        mut take: impl FnMut(Record, &Clocks),
    ) -> Segment {
        let mut segment = Segment {
            number,
            file: name(number),
            size: bytes.len() as u64,
            readable: 0,
            header: None,
            lasts: Some(0),
            error: None,
        };
        if let Err(wrong) = segment.frames(bytes, now, &mut take) {
            // Only the last frame of all can be one that nobody synced; whoever knows more decides
            // (`LogContents::read`).
            segment.error = Some(wrong);
        }
        segment
    }

    fn frames(
        &mut self,
        bytes: &[u8],
        now: &Clocks,
        take: &mut impl FnMut(Record, &Clocks),
    ) -> Result<(), ReadError> {
        let mut frames = FrameReader::open(FORMAT, bytes)?;
        while let Some((at, payload)) = frames.next_frame()? {
            let content = |what: String| ReadError {
                offset: at,
                kind: ReadErrorKind::Content(what),
            };
            match &self.header {
                None => {
                    let opening = decode_header(payload).map_err(content)?;
                    if opening.number != self.number {
                        return Err(content(format!("this is segment {}", opening.number)));
                    }
                    self.header = Some(opening);
                }
                Some(SegmentHeader { clocks, .. }) => {
                    for record in decode_records(payload).map_err(content)? {
                        let lasts = lasts(&record, clocks, now);
                        self.lasts = self.lasts.and_then(|before| Some(before.max(lasts?)));
                        take(record, clocks);
                    }
                }
            }
            self.readable = frames.offset();
        }
        Ok(())
    }
}

impl LogContents {
    /// Reads all segments of a folder, and tells a tail that was cut off from damage.
    pub fn read(files: &mut impl SegmentFiles) -> Result<LogContents, OpenError> {
        let mut numbers: Vec<u64> = files.list()?.iter().filter_map(|n| number(n)).collect();
        numbers.sort_unstable();
        let now = files.clocks();
        let mut contents = LogContents::default();
        let mut torn = Vec::new();
        for &number in &numbers {
            let bytes = files.read(&name(number))?;
            let table = &mut contents.table;
            let segment = Segment::read(number, &bytes, &now, |record, written| {
                table.add(record, written, &now)
            });
            if let Some(wrong) = &segment.error {
                if matches!(wrong.kind, ReadErrorKind::Version { .. }) {
                    return Err(OpenError::Damaged(Damage {
                        file: segment.file,
                        error: wrong.clone(),
                    }));
                }
                torn.push(unwritten(&bytes, wrong.offset));
            } else {
                torn.push(true);
            }
            contents.segments.push(segment);
        }
        let oldest = contents
            .segments
            .iter()
            .filter_map(|s| Some(s.header.as_ref()?.oldest))
            .max();
        // What is older was dropped before, as nothing in it was wanted any more.
        contents
            .segments
            .retain(|s| oldest.is_none_or(|oldest| s.number >= oldest));
        torn.drain(..torn.len() - contents.segments.len());
        let damage = |file: String, at: u64, why: ReadErrorKind| Damage {
            file,
            error: ReadError {
                offset: at,
                kind: why,
            },
        };
        let mut due = oldest;
        // Segments at the end that were never begun whole: nothing was written to them, and the one
        // before is the last.
        let begun = contents
            .segments
            .iter()
            .rposition(|s| s.header.is_some())
            .map_or(0, |i| i + 1);
        for (i, segment) in contents.segments.iter().enumerate() {
            // The first ones are enough to say so.
            for missing in (due.unwrap_or(segment.number)..segment.number).take(MOST_MISSING) {
                let why = ReadErrorKind::Content("this segment is missing".into());
                contents.damage.push(damage(name(missing), 0, why));
                contents.missing.push(missing);
            }
            due = Some(segment.number + 1);
            let next = contents.segments.get(i + 1);
            let known = next.and_then(|next| next.header.as_ref()?.previous_durable_bytes);
            let lost = match known {
                // So much was synced, and has to be there.
                Some(length) => segment.readable < length,
                // The last one: a batch at its end may be half written, and nobody acted on it. A
                // frame that is there in all its length, and says something else than it did, is
                // damage.
                None if i + 1 >= begun => !torn[i],
                // The next one can't say: what is not whole is taken to be lost.
                None => segment.error.is_some() || segment.readable < segment.size,
            };
            if lost {
                let cut = || ReadError {
                    offset: segment.readable,
                    kind: ReadErrorKind::Content("the rest is missing".into()),
                };
                let what = segment.error.clone().unwrap_or_else(cut);
                contents.damage.push(Damage {
                    file: segment.file.clone(),
                    error: what,
                });
            }
        }
        Ok(contents)
    }

    /// The keys that are within their windows at these clocks, or whose repeats may still be read.
    pub fn into_keys(self, now: &Clocks) -> Vec<Recovered> {
        self.table.into_keys(now)
    }

    /// The salt of the store, if any segment can say it.
    pub fn salt(&self) -> Option<Salt> {
        self.segments
            .iter()
            .rev()
            .find_map(|s| Some(s.header.as_ref()?.salt))
    }
}

/// How long a record is wanted from now on, in microseconds, if that can be told.
fn lasts(record: &Record, written: &Clocks, now: &Clocks) -> Option<Micros> {
    match record {
        Record::Intent(intent) => Some(
            remaining_window(intent, written, now)
                .map_or(0, |left| left.saturating_add(intent.read_grace)),
        ),
        // An outcome is wanted for as long as its intent, which may be in another segment.
        Record::Outcome {
            expires_at: over, ..
        }
        | Record::Void {
            expires_at: over, ..
        } => (!now.boot_id.is_empty()
            && written.boot_id == now.boot_id
            && written.since_boot <= now.since_boot)
            .then(|| over.saturating_sub(now.since_boot)),
    }
}

/// What is kept in memory of a segment on the disk.
#[derive(Debug)]
struct Kept {
    number: u64,
    bytes: u64,
    /// Everything in it is over then, by the machine's count.
    over: Micros,
    /// Bytes of records that are over in each second, for a segment that this process wrote.
    wanted: BTreeMap<Micros, u64>,
}

impl Kept {
    fn wanted(&self, now: Micros) -> u64 {
        self.wanted
            .range(now / SECOND..)
            .map(|(_, bytes)| bytes)
            .sum()
    }
}

const SECOND: Micros = 1_000_000;

/// A batch of records in bytes, with the time when each is over and its length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The records' bytes.
    pub bytes: Vec<u8>,
    /// Of each record, when it is over, by the machine's count, and its bytes.
    pub expiries: Vec<(Micros, u32)>,
}

impl Batch {
    /// Appends a record.
    pub fn push(&mut self, record: &Record) {
        let before = self.bytes.len();
        encode(record, &mut self.bytes);
        self.expiries
            .push((record.expires_at(), (self.bytes.len() - before) as u32));
    }
}

/// The log, as one process writes it.
#[derive(Debug)]
pub struct Log<F> {
    files: F,
    limits: Limits,
    salt: Salt,
    /// The oldest first. The last is being written if `open` says so.
    segments: VecDeque<Kept>,
    /// The number of the next frame, while the last segment may be appended to.
    open: Option<u32>,
    /// How long the last segment is known to be on the disk.
    durable: Option<u64>,
    next: u64,
    /// When room was last given back, by the machine's count.
    tidied: Micros,
}

impl<F: SegmentFiles> Log<F> {
    /// Reads what is there, for a process whose longest window is this, in microseconds.
    pub fn open(
        mut files: F,
        limits: Limits,
        window: Micros,
    ) -> Result<(Log<F>, OpenReport), OpenError> {
        let mut contents = LogContents::read(&mut files)?;
        let now = files.clocks();
        // Segments at the end that were never begun whole are begun anew: kept, they could not say
        // how much of the one before was on the disk, and its torn tail would look like damage.
        let damage = std::mem::take(&mut contents.damage);
        let never = |s: &Segment| s.header.is_none() && !damage.iter().any(|d| d.file == s.file);
        while contents.segments.last().is_some_and(never) {
            contents.segments.pop();
        }
        contents.damage = damage;
        let longest = contents.table.longest_window().max(window);
        let linger = contents.table.longest_read_grace();
        let torn = contents.segments.last().map_or(0, |s| s.size - s.readable);
        let salt = match contents.salt() {
            Some(salt) => salt,
            None => Salt::random()?,
        };
        let whole = |s: &Segment| !contents.damage.iter().any(|d| d.file == s.file);
        let durable = contents
            .segments
            .last()
            .map(|s| if whole(s) { s.readable } else { s.size });
        let next = contents.segments.last().map_or(1, |s| s.number + 1);
        let damaged = !contents.damage.is_empty();
        let missing = contents.missing.iter().map(|&number| Kept {
            number,
            bytes: 0,
            over: now
                .since_boot
                .saturating_add(longest)
                .saturating_add(linger),
            wanted: BTreeMap::new(),
        });
        let missing: Vec<Kept> = missing.collect();
        let found = OpenReport {
            keys: contents.table.into_keys(&now),
            damage: contents.damage,
            longest_window: longest,
            torn_bytes: torn,
        };
        let segments = contents.segments.into_iter().map(|segment| {
            // Damage is told until it can hide nothing any more, however many starts there are
            // until then.
            let left = segment
                .lasts
                .filter(|_| !damaged)
                .unwrap_or(longest.saturating_add(linger));
            Kept {
                number: segment.number,
                bytes: segment.size,
                over: now.since_boot.saturating_add(left),
                wanted: BTreeMap::from([(
                    now.since_boot.saturating_add(left) / SECOND,
                    segment.size,
                )]),
            }
        });
        let mut segments: Vec<Kept> = missing.into_iter().chain(segments).collect();
        segments.sort_by_key(|s| s.number);
        let segments = segments.into();
        Ok((
            Log {
                files,
                limits,
                salt,
                segments,
                open: None,
                durable,
                next,
                tidied: Micros::MIN,
            },
            found,
        ))
    }

    /// What makes this store's digests its own.
    pub fn salt(&self) -> Salt {
        self.salt
    }

    /// Bytes of all segments.
    pub fn used_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    /// The clocks now.
    pub fn clocks(&mut self) -> Clocks {
        self.files.clocks()
    }

    /// The files, as a test wants to look at them.
    pub fn files_mut(&mut self) -> &mut F {
        &mut self.files
    }

    /// Makes a batch durable, whole; or says why it can't. An empty one only sees to what is over.
    pub fn write(&mut self, batch: &Batch) -> io::Result<()> {
        self.tidy()?;
        if batch.expiries.is_empty() {
            // Whoever asks wants to know whether the files work again.
            return if self.open.is_none() {
                self.rotate()
            } else {
                Ok(())
            };
        }
        let last = self.segments.back().map_or(0, |s| s.bytes);
        if self.open.is_none() || last >= self.limits.segment_size {
            self.rotate()?;
        }
        self.append(batch)
    }

    fn append(&mut self, batch: &Batch) -> io::Result<()> {
        let number = self.open.take().expect("a segment was begun");
        let segment = self.segments.back_mut().expect("a segment was begun");
        let mut bytes = Vec::new();
        append_frame(&mut bytes, number, |out| {
            out.extend_from_slice(&batch.bytes)
        });
        crash_point("before-append");
        // Whatever becomes of them, they may be on the disk from now on.
        segment.bytes += bytes.len() as u64;
        self.files.append(&bytes)?;
        crash_point("before-sync");
        self.files.sync()?;
        crash_point("after-sync");
        self.open = Some(number + 1);
        self.durable = Some(segment.bytes);
        for &(over, length) in &batch.expiries {
            segment.over = segment.over.max(over);
            *segment.wanted.entry(over / SECOND).or_default() += u64::from(length);
        }
        Ok(())
    }

    /// Begins a segment. Whatever is over by now is dropped behind it.
    fn rotate(&mut self) -> io::Result<()> {
        self.open = None;
        let clocks = self.files.clocks();
        let over = self
            .segments
            .iter()
            .take_while(|s| s.over < clocks.since_boot)
            .count();
        let number = self.next;
        let oldest = self.segments.get(over).map_or(number, |s| s.number);
        let opening = SegmentHeader {
            number,
            oldest,
            previous_durable_bytes: self.durable,
            clocks: clocks.clone(),
            salt: self.salt,
        };
        let mut bytes = Vec::new();
        FORMAT.write_header(&mut bytes);
        append_frame(&mut bytes, 0, |out| encode(&opening, out));
        // One of this number that is there was not finished, and nothing was ever written behind
        // its opening.
        self.files.create(&name(number))?;
        self.files.append(&bytes)?;
        self.files.sync()?;
        self.next = number + 1;
        self.durable = Some(bytes.len() as u64);
        self.open = Some(1);
        let bytes = bytes.len() as u64;
        self.segments.push_back(Kept {
            number,
            bytes,
            over: Micros::MIN,
            wanted: BTreeMap::new(),
        });
        for _ in 0..over {
            // One that can't be removed still takes its room, and is tried again with the next.
            if self.files.remove(&name(self.segments[0].number)).is_err() {
                break;
            }
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Gives back room: drops segments that are over, and writes again what is still wanted of one
    /// that is mostly over.
    fn tidy(&mut self) -> io::Result<()> {
        if self.used_bytes() <= self.limits.capacity / 2 || self.segments.len() < 2 {
            return Ok(());
        }
        let now = self.files.clocks().since_boot;
        // Not again with each batch where what is over can't be removed.
        if now < self.tidied.saturating_add(SECOND) {
            return Ok(());
        }
        let oldest = &self.segments[0];
        if oldest.over < now {
            self.tidied = now;
            return self.rotate();
        }
        if oldest.wanted(now) * 2 > oldest.bytes {
            return Ok(());
        }
        self.tidied = now;
        let bytes = self.files.read(&name(oldest.number))?;
        let mut batch = Batch::default();
        let clocks = self.files.clocks();
        Segment::read(oldest.number, &bytes, &clocks, |record, _| {
            if record.expires_at() >= now {
                batch.push(&record);
            }
        });
        self.rotate()?;
        if !batch.expiries.is_empty() {
            self.append(&batch)?;
        }
        // All of it is somewhere else from here on; it goes with the next segment that begins.
        self.segments[0].over = Micros::MIN;
        self.rotate()
    }

    /// Writes all that is wanted into one new segment and drops the others: for a store that nobody
    /// uses.
    pub fn compact(&mut self) -> Result<(), OpenError> {
        let contents = LogContents::read(&mut self.files)?;
        if let Some(damage) = contents.damage.first() {
            return Err(OpenError::Damaged(damage.clone()));
        }
        let now = self.files.clocks();
        let mut batch = Batch::default();
        for Recovered {
            mut intent,
            window_end: until,
            outcome: kept,
        } in contents.into_keys(&now)
        {
            // By the clocks of the present start.
            intent.expires_at = now.since_boot + (until - now.wall) + intent.read_grace;
            intent.arrived_at = until - intent.window;
            let (id, over) = (intent.id, intent.expires_at);
            batch.push(&Record::Intent(intent));
            if let Some(kept) = kept {
                batch.push(&Record::Outcome {
                    id,
                    expires_at: over,
                    outcome: kept,
                });
            }
        }
        self.rotate()?;
        if !batch.expiries.is_empty() {
            self.append(&batch)?;
        }
        let last = self.segments.len() - 1;
        self.segments
            .iter_mut()
            .take(last)
            .for_each(|s| s.over = Micros::MIN);
        self.rotate()?;
        Ok(())
    }
}
