//! Notices from the processor. Most are numbered. On a new connection the processor repeats those
//! that may have been lost with the previous connection.

use crate::lines::{LineMessage, LineReader};
use crate::{count_copied, parse_decimal, parse_reference, Malformed};
use std::rc::Rc;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded and has a result (`fine`).
    Succeeded,
    /// The run failed (`fault`).
    Failed,
    /// The run was interrupted, or ended at a call because its request had ended (`broken_off`).
    Interrupted,
    /// The run was not started (`late`).
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

/// A message from the processor.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The processor is up (`hi`).
    Hello {
        /// The processor has just started and is still slow.
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
    /// A run waits for a downstream call (`ask`).
    CallRequested {
        /// Reference of the request.
        reference: u64,
        /// The body of the call.
        body: Rc<[u8]>,
    },
    /// The gauges (`used`).
    Gauges {
        /// Number of the query that the gauges answer; none if they are unsolicited.
        query: Option<u64>,
        /// The values, in the order of the settings.
        values: GaugeValues,
    },
    /// The processor rejected a command (`reject`).
    CommandRejected {
        /// The command.
        command: CommandKind,
        /// Reference of the request that the command concerns; 0 if the notice names none.
        reference: u64,
    },
}

/// Most gauges that are read. The settings name far fewer.
const MAX_GAUGES: usize = 16;
/// Most fields of a notice other than `used`.
const MAX_FIELDS: usize = 6;
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

    /// Appends a value. Values beyond `MAX_GAUGES` are ignored.
    pub fn push(&mut self, value: f64) {
        if let Some(slot) = self.values.get_mut(self.count) {
            *slot = value;
            self.count += 1;
        }
    }
}

/// Reads the notices of one processor over all its connections. Stores the number of the last
/// notice, so that a repeated notice has no effect.
#[derive(Debug, Default)]
pub struct NoticeReader {
    lines: LineReader,
    last_number: u64,
}

impl NoticeReader {
    /// Begins a new connection: discards an incomplete notice of the previous connection, and
    /// returns the first message to send, which contains the number of the last notice received.
    pub fn hello(&mut self) -> Vec<u8> {
        self.lines = LineReader::default();
        format!("hello {}\r\n", self.last_number).into_bytes()
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.lines.feed(bytes);
    }

    /// The next notice that was not received before.
    ///
    /// # Errors
    ///
    /// Fails if the processor sent anything that is not a notice.
    pub fn next_notice(&mut self) -> Result<Option<Notice>, Malformed> {
        while let Some(message) = self.lines.next_message(has_body)? {
            let fields = Fields::split(message.line);
            if fields.is_numbered() {
                let number = fields.get(1).and_then(parse_decimal).ok_or(Malformed)?;
                if number <= self.last_number {
                    continue;
                }
                self.last_number = number;
            }
            if let Some(notice) = parse(&fields, message)? {
                return Ok(Some(notice));
            }
        }
        Ok(None)
    }
}

/// Whether a notice has a body. The notice of a run that did not succeed may omit the body and its
/// length.
fn has_body(line: &str) -> bool {
    match line.split(' ').next() {
        Some("complete") => line.split(' ').count() == MAX_FIELDS,
        first => first == Some("ask"),
    }
}

/// The first fields of a notice.
struct Fields<'a>([Option<&'a str>; MAX_FIELDS]);

impl<'a> Fields<'a> {
    fn split(line: &'a str) -> Fields<'a> {
        let mut fields = [None; MAX_FIELDS];
        for (slot, field) in fields.iter_mut().zip(line.split(' ')) {
            *slot = Some(field);
        }
        Fields(fields)
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
        let value = self
            .get(position)
            .and_then(|field| field.parse::<f64>().ok());
        value
            .filter(|time| (0.0..TIME_LIMIT_MS).contains(time))
            .ok_or(Malformed)
    }
}

/// Parses a notice; none for a remark, which is ignored.
fn parse(fields: &Fields, message: LineMessage) -> Result<Option<Notice>, Malformed> {
    let notice = match fields.name() {
        "hi" => Notice::Hello {
            is_cold: match fields.get(1) {
                Some("starting") => true,
                Some("running") => false,
                _ => return Err(Malformed),
            },
            uptime_ms: fields.time_ms(2)?,
        },
        "complete" => Notice::RunEnded {
            outcome: parse_outcome(fields.get(3))?,
            reference: fields.reference(2)?,
            duration_ms: fields.time_ms(4)?,
            result: copy_shared(message.body),
        },
        "ask" => Notice::CallRequested {
            reference: fields.reference(2)?,
            body: copy_shared(message.body),
        },
        "used" => parse_gauges(fields, message.line)?,
        "reject" => Notice::CommandRejected {
            command: match fields.get(1).ok_or(Malformed)? {
                "begin" => CommandKind::Start,
                "interrupt" => CommandKind::Interrupt,
                _ => CommandKind::Other,
            },
            // A rejection without a valid reference is about no request of this node.
            reference: fields.reference(2).unwrap_or(0),
        },
        "remark" => return Ok(None),
        _ => return Err(Malformed),
    };
    Ok(Some(notice))
}

fn parse_outcome(field: Option<&str>) -> Result<RunOutcome, Malformed> {
    match field {
        Some("fine") => Ok(RunOutcome::Succeeded),
        Some("fault") => Ok(RunOutcome::Failed),
        Some("broken_off") => Ok(RunOutcome::Interrupted),
        Some("late") => Ok(RunOutcome::NotStarted),
        _ => Err(Malformed),
    }
}

fn parse_gauges(fields: &Fields, line: &str) -> Result<Notice, Malformed> {
    let mut values = GaugeValues::default();
    for field in line.split(' ').skip(2) {
        values.push(field.parse::<f64>().map_err(|_| Malformed)?);
    }
    Ok(Notice::Gauges {
        query: parse_decimal(fields.get(1).ok_or(Malformed)?),
        values,
    })
}

fn copy_shared(body: &[u8]) -> Rc<[u8]> {
    count_copied(body.len());
    Rc::from(body)
}
