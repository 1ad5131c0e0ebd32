//! Notices of the processor. Most are numbered, and a new connection repeats those that may have
//! been lost with the old one.

use crate::lines::{LineMessage, LineReader};
use crate::{count_copied, parse_decimal, parse_reference, Malformed};
use std::rc::Rc;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It succeeded with a result (`fine`).
    Succeeded,
    /// It failed (`fault`).
    Failed,
    /// It was interrupted, or ended at a call because its request was over (`broken_off`).
    Interrupted,
    /// It was not started (`late`).
    NotStarted,
}

/// The command that a rejection names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// The start of a run.
    Start,
    /// The interruption of a run.
    Interrupt,
    /// Any other command.
    Other,
}

/// A message of the processor.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The processor is up (`hi`).
    Hello {
        /// It has only just started and is slow at first.
        is_cold: bool,
        /// Time since its start, in milliseconds.
        uptime_ms: f64,
    },
    /// A run has ended (`complete`).
    RunEnded {
        /// Reference of the request.
        reference: u64,
        /// How it ended.
        outcome: RunOutcome,
        /// Its time on the cores, in milliseconds.
        duration_ms: f64,
        /// Its result.
        result: Rc<[u8]>,
    },
    /// A run waits for a call to the layer below (`ask`).
    CallRequested {
        /// Reference of the request.
        reference: u64,
        /// The body of the call.
        body: Rc<[u8]>,
    },
    /// The gauges (`used`).
    Gauges {
        /// Number of the query that they answer; none for those sent unasked.
        query: Option<u64>,
        /// The values, in the order of the settings.
        values: GaugeValues,
    },
    /// A command was not carried out (`reject`).
    CommandRejected {
        /// The command.
        command: CommandKind,
        /// Reference of the request that it was about; 0 if the notice names none.
        reference: u64,
    },
}

/// Most gauges that are read; the settings name a handful.
const MAX_GAUGES: usize = 16;
/// Most words of a notice other than `used`.
const MAX_WORDS: usize = 6;
/// Times of this many milliseconds and above are malformed.
const TIME_LIMIT_MS: f64 = 1e15;

/// The values of the gauges, in the order in which the processor lists them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GaugeValues {
    values: [f64; MAX_GAUGES],
    count: usize,
}

impl GaugeValues {
    /// The value at this position, if there is one.
    pub fn get(&self, position: usize) -> Option<f64> {
        self.values[..self.count].get(position).copied()
    }

    /// Appends a value; ignored beyond the most that are read.
    pub fn push(&mut self, value: f64) {
        if let Some(slot) = self.values.get_mut(self.count) {
            *slot = value;
            self.count += 1;
        }
    }
}

/// Reads the notices of one processor over all its connections. Remembers the number of the last
/// notice, so that each takes effect once.
#[derive(Debug, Default)]
pub struct NoticeReader {
    lines: LineReader,
    last_number: u64,
}

impl NoticeReader {
    /// Begins a new connection: drops what the old one left incomplete, and returns the first
    /// message to send, which names the last notice.
    pub fn hello(&mut self) -> Vec<u8> {
        self.lines = LineReader::default();
        format!("hello {}\r\n", self.last_number).into_bytes()
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.lines.feed(bytes);
    }

    /// The next notice that was not seen before.
    ///
    /// # Errors
    ///
    /// Fails if the processor sent anything that is not a notice.
    pub fn next_notice(&mut self) -> Result<Option<Notice>, Malformed> {
        while let Some(message) = self.lines.next_message(has_body)? {
            let words = Words::split(message.line);
            if words.is_numbered() {
                let number = words.get(1).and_then(parse_decimal).ok_or(Malformed)?;
                if number <= self.last_number {
                    continue;
                }
                self.last_number = number;
            }
            if let Some(notice) = parse(&words, message)? {
                return Ok(Some(notice));
            }
        }
        Ok(None)
    }
}

/// Whether a notice has a body. A run that did not succeed may come without the length of one.
fn has_body(line: &str) -> bool {
    match line.split(' ').next() {
        Some("complete") => line.split(' ').count() == MAX_WORDS,
        first => first == Some("ask"),
    }
}

/// The first words of a notice.
struct Words<'a>([Option<&'a str>; MAX_WORDS]);

impl<'a> Words<'a> {
    fn split(line: &'a str) -> Words<'a> {
        let mut words = [None; MAX_WORDS];
        for (slot, word) in words.iter_mut().zip(line.split(' ')) {
            *slot = Some(word);
        }
        Words(words)
    }

    fn get(&self, position: usize) -> Option<&'a str> {
        self.0.get(position).copied().flatten()
    }

    fn name(&self) -> &'a str {
        self.get(0).unwrap_or_default()
    }

    fn is_numbered(&self) -> bool {
        matches!(self.name(), "complete" | "ask" | "remark")
    }

    fn reference(&self, position: usize) -> Result<u64, Malformed> {
        self.get(position)
            .and_then(parse_reference)
            .ok_or(Malformed)
    }

    /// A time in milliseconds, with or without a fraction.
    fn time_ms(&self, position: usize) -> Result<f64, Malformed> {
        let value = self.get(position).and_then(|word| word.parse::<f64>().ok());
        value
            .filter(|time| (0.0..TIME_LIMIT_MS).contains(time))
            .ok_or(Malformed)
    }
}

/// The notice of a message; none for a remark, which is ignored.
fn parse(words: &Words, message: LineMessage) -> Result<Option<Notice>, Malformed> {
    let notice = match words.name() {
        "hi" => Notice::Hello {
            is_cold: match words.get(1) {
                Some("starting") => true,
                Some("running") => false,
                _ => return Err(Malformed),
            },
            uptime_ms: words.time_ms(2)?,
        },
        "complete" => Notice::RunEnded {
            outcome: parse_outcome(words.get(3))?,
            reference: words.reference(2)?,
            duration_ms: words.time_ms(4)?,
            result: shared(message.body),
        },
        "ask" => Notice::CallRequested {
            reference: words.reference(2)?,
            body: shared(message.body),
        },
        "used" => parse_gauges(words, message.line)?,
        "reject" => Notice::CommandRejected {
            command: match words.get(1).ok_or(Malformed)? {
                "begin" => CommandKind::Start,
                "interrupt" => CommandKind::Interrupt,
                _ => CommandKind::Other,
            },
            // A rejection that names none of our requests concerns none.
            reference: words.reference(2).unwrap_or(0),
        },
        "remark" => return Ok(None),
        _ => return Err(Malformed),
    };
    Ok(Some(notice))
}

fn parse_outcome(word: Option<&str>) -> Result<RunOutcome, Malformed> {
    match word {
        Some("fine") => Ok(RunOutcome::Succeeded),
        Some("fault") => Ok(RunOutcome::Failed),
        Some("broken_off") => Ok(RunOutcome::Interrupted),
        Some("late") => Ok(RunOutcome::NotStarted),
        _ => Err(Malformed),
    }
}

fn parse_gauges(words: &Words, line: &str) -> Result<Notice, Malformed> {
    let mut values = GaugeValues::default();
    for word in line.split(' ').skip(2) {
        values.push(word.parse::<f64>().map_err(|_| Malformed)?);
    }
    Ok(Notice::Gauges {
        query: parse_decimal(words.get(1).ok_or(Malformed)?),
        values,
    })
}

fn shared(body: &[u8]) -> Rc<[u8]> {
    count_copied(body.len());
    Rc::from(body)
}
