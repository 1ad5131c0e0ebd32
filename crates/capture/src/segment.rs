//! One segment: an opening with the controller's state, frames of records, and an end.

use crate::frame::{self, Frame, FrameReader, ReadError, ReadErrorKind, FORMAT};
use crate::record::{decode, End, Opening, Record};
use pipitlever_admission::Controller;

const OPENING: u8 = 0;
const RECORDS: u8 = 1;
const END: u8 = 2;

/// A controller's state, in bytes that are the same for the same state.
pub fn state(controller: &Controller) -> Vec<u8> {
    let mut bytes = Vec::new();
    put(controller, &mut bytes);
    bytes
}

fn put(value: &impl serde::Serialize, out: &mut Vec<u8>) {
    let mut serializer = rmp_serde::Serializer::new(out).with_struct_map();
    value
        .serialize(&mut serializer)
        .expect("a vector takes all, and all of it has a form");
}

/// The controller that was in this state. A build whose state has other fields can't take it over.
pub fn restored(state: &[u8]) -> Result<Controller, String> {
    rmp_serde::from_slice(state).map_err(|e| format!("this build has another state: {e}"))
}

/// Writes one segment into memory; somebody else brings the bytes to where they stay.
#[derive(Debug)]
pub struct Writer {
    number: u32,
}

impl Writer {
    /// Begins a segment: its head and its opening.
    pub fn open(opening: &Opening, controller: &Controller, out: &mut Vec<u8>) -> Writer {
        FORMAT.write_header(out);
        // Written in place: a state may be large, and the node's memory small.
        frame::append_frame(out, 0, |out| {
            out.push(OPENING);
            let at = out.len();
            out.extend_from_slice(&[0; 4]);
            put(opening, out);
            let length = (out.len() - at - 4) as u32;
            out[at..at + 4].copy_from_slice(&length.to_le_bytes());
            put(controller, out);
        });
        Writer { number: 1 }
    }

    /// One frame of whole records.
    pub fn records(&mut self, records: &[u8], out: &mut Vec<u8>) {
        self.frame(RECORDS, records, out);
    }

    /// The end.
    pub fn end(&mut self, end: End, out: &mut Vec<u8>) {
        match end {
            End::Next => self.frame(END, &[0], out),
            End::Last(lost) => self.frame(END, &[&[1], &lost.to_le_bytes()[..]].concat(), out),
        }
    }

    fn frame(&mut self, kind: u8, rest: &[u8], out: &mut Vec<u8>) {
        frame::append_frame(out, self.number, |out| {
            out.push(kind);
            out.extend_from_slice(rest);
        });
        self.number += 1;
    }
}

/// How a segment that could be read came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// As its writer meant it to.
    Whole(End),
    /// Cut off: everything before this offset is there.
    Cut(u64),
}

/// Reads one segment out of memory.
#[derive(Debug)]
pub struct Reader<'a> {
    frames: FrameReader<'a>,
    /// The rest of the present frame, and where that frame begins.
    rest: &'a [u8],
    at: u64,
    tail: Option<Tail>,
    opening: Option<Opening>,
    state: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Reads the opening. A segment that was cut off inside it has none, and no records.
    pub fn open(bytes: &'a [u8]) -> Result<Reader<'a>, ReadError> {
        let mut frames = FrameReader::open(FORMAT, bytes)?;
        let Some(Frame {
            offset: at,
            payload,
        }) = frames.next_frame()?
        else {
            let tail = Some(Tail::Cut(frames.offset()));
            return Ok(Reader {
                frames,
                rest: &[],
                at: 0,
                tail,
                opening: None,
                state: &[],
            });
        };
        let content = |what: String| ReadError {
            offset: at,
            kind: ReadErrorKind::Content(what),
        };
        let Some((&OPENING, rest)) = payload.split_first() else {
            return Err(content("no opening at the start".into()));
        };
        let split = rest.split_at_checked(4).and_then(|(length, rest)| {
            rest.split_at_checked(u32::from_le_bytes(length.try_into().ok()?) as usize)
        });
        let (words, state) = split.ok_or_else(|| content("an opening that is too short".into()))?;
        let opening: Opening = rmp_serde::from_slice(words)
            .map_err(|e| content(format!("the opening can't be read: {e}")))?;
        Ok(Reader {
            frames,
            rest: &[],
            at,
            tail: None,
            opening: Some(opening),
            state,
        })
    }

    /// How it begins; nothing if it was cut off before that was whole.
    pub fn opening(&self) -> Option<&Opening> {
        self.opening.as_ref()
    }

    /// The state that it begins with, as bytes.
    pub fn state(&self) -> &'a [u8] {
        self.state
    }

    /// The controller that it begins with, if this build can read it.
    pub fn controller(&self) -> Result<Controller, String> {
        restored(self.state)
    }

    /// The next record, and where its frame begins.
    pub fn next_record(&mut self) -> Result<Option<(u64, Record)>, ReadError> {
        loop {
            if self.tail.is_some() {
                return Ok(None);
            }
            let content = |at, what| ReadError {
                offset: at,
                kind: ReadErrorKind::Content(what),
            };
            if !self.rest.is_empty() {
                let (record, rest) = decode(self.rest).map_err(|e| content(self.at, e))?;
                self.rest = rest;
                self.check(&record).map_err(|e| content(self.at, e))?;
                return Ok(Some((self.at, record)));
            }
            let Some(Frame {
                offset: at,
                payload,
            }) = self.frames.next_frame()?
            else {
                self.tail = Some(Tail::Cut(self.frames.offset()));
                return Ok(None);
            };
            self.at = at;
            match payload.split_first() {
                Some((&RECORDS, records)) => self.rest = records,
                Some((&END, rest)) => {
                    let end = match rest {
                        [0] => End::Next,
                        // Without a count, as the first builds wrote it.
                        [1] => End::Last(0),
                        [1, lost @ ..] if lost.len() == 8 => {
                            End::Last(u64::from_le_bytes(lost.try_into().expect("eight bytes")))
                        }
                        _ => return Err(content(at, "an end that says nothing known".into())),
                    };
                    if self.frames.next_frame()?.is_some() {
                        return Err(content(at, "something behind the end".into()));
                    }
                    self.tail = Some(Tail::Whole(end));
                }
                _ => return Err(content(at, "a frame of no known kind".into())),
            }
        }
    }

    /// What a controller could not even look up is damage, whatever the checksum says.
    fn check(&self, record: &Record) -> Result<(), String> {
        let classes = self
            .opening
            .as_ref()
            .map_or(0, |o| o.settings.classes.len());
        let class = match record {
            Record::Named(_) => return Ok(()),
            Record::Step { events, .. } => events.iter().find_map(|e| match e {
                pipitlever_admission::Event::Arrived(r) if r.class >= classes => Some(r.class),
                _ => None,
            }),
            Record::Answer { class, .. } => Some(*class as usize).filter(|c| *c >= classes),
        };
        class.map_or(Ok(()), |c| Err(format!("class {c} of {classes}")))
    }

    /// How it ended, once [`Reader::next_record`] has nothing more.
    pub fn tail(&self) -> Option<Tail> {
        self.tail
    }
}
