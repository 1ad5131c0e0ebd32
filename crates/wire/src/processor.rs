//! The link to the processor: commands out, numbered notices in.

use super::{number, reference, Framed, Malformed};
use std::io::Write;
use std::rc::Rc;

/// How the processor says that a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With a result.
    Fine,
    /// It failed.
    Fault,
    /// Stopped, or ended at a call as its request was over.
    BrokenOff,
    /// Nothing was started.
    Late,
}

/// A command, as a rejection names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// To start a run.
    Begin,
    /// To stop one.
    Interrupt,
    /// Any other.
    Other,
}

/// What the processor says.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// It is up, since so many milliseconds; it was cold (`starting`) at its start or not.
    Hi {
        /// It has just begun, and is slow.
        cold: bool,
        /// For so long it has been there, in milliseconds.
        ms: f64,
    },
    /// A run is over after so many milliseconds.
    Complete {
        /// The run.
        id: u64,
        /// How it ended.
        end: RunEnd,
        /// Its time on the cores, in milliseconds.
        ms: f64,
        /// Its result.
        result: Rc<[u8]>,
    },
    /// A run waits for a call with this body.
    Ask {
        /// The run.
        id: u64,
        /// What it asks.
        body: Rc<[u8]>,
    },
    /// The gauges, in the order of the settings, and the number of the question that asked for
    /// them.
    Used {
        /// The question.
        question: Option<u64>,
        /// The gauges.
        gauges: Figures,
    },
    /// A command was not carried out.
    Reject {
        /// The command.
        command: Command,
        /// The run that it was about.
        id: u64,
    },
}

/// The most gauges that are looked at: the settings name a handful.
const MOST_FIGURES: usize = 16;

/// Some figures in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    all: [f64; MOST_FIGURES],
    count: usize,
}

impl Figures {
    /// The figure at this place, if there is one.
    pub fn get(&self, at: usize) -> Option<f64> {
        self.all[..self.count].get(at).copied()
    }

    fn push(&mut self, figure: f64) {
        if let Some(place) = self.all.get_mut(self.count) {
            *place = figure;
            self.count += 1;
        }
    }
}

/// One processor over all its links: remembers the last notice, so that each is applied once.
#[derive(Debug, Default)]
pub struct Processor {
    framed: Framed,
    last: u64,
}

impl Processor {
    /// The first message on a new link, which forgets what the old one left unfinished.
    pub fn hello(&mut self) -> Vec<u8> {
        self.framed = Framed::default();
        format!("hello {}\r\n", self.last).into_bytes()
    }

    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.framed.feed(bytes);
    }

    /// The next notice. One that was seen before is skipped: a new link repeats what it is not sure
    /// of.
    pub fn take(&mut self) -> Result<Option<Notice>, Malformed> {
        // Only some notices carry a body: a run that ended otherwise than well may come without its
        // length.
        let has_body = |line: &str| match line.split(' ').next() {
            Some("complete") => line.split(' ').count() == 6,
            first => first == Some("ask"),
        };
        while let Some((line, body)) = self.framed.next(has_body)? {
            // No notice but `used` has more than six words, and that one's are taken one by one.
            let mut words = [None; 6];
            words
                .iter_mut()
                .zip(line.split(' '))
                .for_each(|(place, word)| *place = Some(word));
            let word = |at: usize| words.get(at).copied().flatten();
            let first = word(0).unwrap_or_default();
            let numbered = matches!(first, "complete" | "ask" | "remark");
            if numbered {
                let n = word(1).and_then(number).ok_or(Malformed)?;
                if n <= self.last {
                    continue;
                }
                self.last = n;
            }
            let id = |at: usize| word(at).and_then(reference).ok_or(Malformed);
            // Times come with or without a fraction.
            let figure = |at: usize| {
                let value = word(at).and_then(|w| w.parse::<f64>().ok());
                value.filter(|v| (0.0..1e15).contains(v)).ok_or(Malformed)
            };
            return Ok(Some(match first {
                "hi" => {
                    let cold = match word(1) {
                        Some("starting") => true,
                        Some("running") => false,
                        _ => return Err(Malformed),
                    };
                    Notice::Hi {
                        cold,
                        ms: figure(2)?,
                    }
                }
                "complete" => {
                    let end = match word(3) {
                        Some("fine") => RunEnd::Fine,
                        Some("fault") => RunEnd::Fault,
                        Some("broken_off") => RunEnd::BrokenOff,
                        Some("late") => RunEnd::Late,
                        _ => return Err(Malformed),
                    };
                    Notice::Complete {
                        id: id(2)?,
                        end,
                        ms: figure(4)?,
                        result: shared(body),
                    }
                }
                "ask" => Notice::Ask {
                    id: id(2)?,
                    body: shared(body),
                },
                "used" => {
                    let mut gauges = Figures::default();
                    for word in line.split(' ').skip(2) {
                        gauges.push(word.parse::<f64>().map_err(|_| Malformed)?);
                    }
                    Notice::Used {
                        question: number(word(1).ok_or(Malformed)?),
                        gauges,
                    }
                }
                "reject" => {
                    // A reject that names no request of ours concerns none.
                    let command = match word(1).ok_or(Malformed)? {
                        "begin" => Command::Begin,
                        "interrupt" => Command::Interrupt,
                        _ => Command::Other,
                    };
                    Notice::Reject {
                        command,
                        id: id(2).unwrap_or(0),
                    }
                }
                "remark" => continue,
                _ => return Err(Malformed),
            }));
        }
        Ok(None)
    }
}

fn shared(body: &[u8]) -> Rc<[u8]> {
    crate::copied(body.len());
    Rc::from(body)
}

/// Run a request.
pub fn begin(out: &mut Vec<u8>, id: u64, class: &str, body: &[u8]) {
    with_body(
        out,
        format_args!("begin {id:016x} {class} {}", body.len()),
        body,
    );
}

/// The reply to the call that a run waits for.
pub fn answer(out: &mut Vec<u8>, id: u64, reply: &[u8]) {
    with_body(out, format_args!("answer {id:016x} {}", reply.len()), reply);
}

/// Stop a run, in the way that the settings name.
pub fn interrupt(out: &mut Vec<u8>, id: u64) {
    // A vector takes all that is written to it.
    let _ = write!(out, "interrupt {id:016x}\r\n");
}

/// Ask for the gauges, with a number that comes back with them.
pub fn usage(out: &mut Vec<u8>, question: u64) {
    // A vector takes all that is written to it.
    let _ = write!(out, "usage {question}\r\n");
}

/// A line, its body and the line ends of both.
pub fn with_body(out: &mut Vec<u8>, line: std::fmt::Arguments, body: &[u8]) {
    // A vector takes all that is written to it.
    let _ = out.write_fmt(line);
    crate::copied(body.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    const ID: u64 = 0x821b2d98a3d2e319;

    fn complete(end: RunEnd, ms: f64, result: &[u8]) -> Notice {
        Notice::Complete {
            id: ID,
            end,
            ms,
            result: Rc::from(result),
        }
    }

    #[test]
    fn notices_are_read_whole_or_in_pieces() {
        let used = |question, all: &[f64]| {
            let mut gauges = Figures::default();
            all.iter().for_each(|&figure| gauges.push(figure));
            Notice::Used { question, gauges }
        };
        // Times with a fraction once broke the link: `complete 40 ... broken_off 1655.661 0`.
        let cases: [(&str, Result<Option<Notice>, Malformed>); 20] = [
            (
                "hi running 12.5\r\n",
                Ok(Some(Notice::Hi {
                    cold: false,
                    ms: 12.5,
                })),
            ),
            (
                "hi starting 0\r\n",
                Ok(Some(Notice::Hi {
                    cold: true,
                    ms: 0.0,
                })),
            ),
            (
                "complete 1 821b2d98a3d2e319 broken_off 1655.661 0\r\n\r\n",
                Ok(Some(complete(RunEnd::BrokenOff, 1655.661, b""))),
            ),
            (
                "complete 1 821b2d98a3d2e319 fine 7 4\r\na\r\nb\r\n",
                Ok(Some(complete(RunEnd::Fine, 7.0, b"a\r\nb"))),
            ),
            (
                "complete 1 821b2d98a3d2e319 fault 7\r\n",
                Ok(Some(complete(RunEnd::Fault, 7.0, b""))),
            ),
            (
                "complete 1 821b2d98a3d2e319 late 0 0\r\n\r\n",
                Ok(Some(complete(RunEnd::Late, 0.0, b""))),
            ),
            (
                "ask 2 821b2d98a3d2e319 1\r\nx\r\n",
                Ok(Some(Notice::Ask {
                    id: ID,
                    body: Rc::from(*b"x"),
                })),
            ),
            (
                "used t 0.5 3 0.1 12\r\n",
                Ok(Some(used(None, &[0.5, 3.0, 0.1, 12.0]))),
            ),
            ("used 7 0.5\r\n", Ok(Some(used(Some(7), &[0.5])))),
            (
                "reject begin 821b2d98a3d2e319\r\n",
                Ok(Some(Notice::Reject {
                    command: Command::Begin,
                    id: ID,
                })),
            ),
            (
                "reject interrupt 821b2d98a3d2e319\r\n",
                Ok(Some(Notice::Reject {
                    command: Command::Interrupt,
                    id: ID,
                })),
            ),
            ("remark 3 hello there 4\r\n", Ok(None)),
            ("complete 1 821b2d98a3d2e319 fine 7 4\r\nabc", Ok(None)),
            (
                "complete 1 821b2d98a3d2e319 fine 7 1\r\nabcd",
                Err(Malformed),
            ),
            (
                "complete 1 821b2d98a3d2e319 fine -7 0\r\n\r\n",
                Err(Malformed),
            ),
            (
                "complete 1 821b2d98a3d2e319 well 7 0\r\n\r\n",
                Err(Malformed),
            ),
            (
                "complete x 821b2d98a3d2e319 fine 7 0\r\n\r\n",
                Err(Malformed),
            ),
            ("ask 2 821B2D98A3D2E319 0\r\n\r\n", Err(Malformed)),
            ("ask 2 821b2d98a3d2e319 99999999\r\n", Err(Malformed)),
            ("hi running 1\n", Err(Malformed)),
        ];
        for (text, expected) in cases {
            let mut whole = Processor::default();
            whole.feed(text.as_bytes());
            assert_eq!(whole.take(), expected, "{text:?}");
            let mut pieces = Processor::default();
            let found = text.bytes().map(|b| {
                pieces.feed(&[b]);
                pieces.take()
            });
            let found = found
                .into_iter()
                .find(|f| *f != Ok(None))
                .unwrap_or(Ok(None));
            assert_eq!(found, expected, "{text:?} in pieces");
        }
    }

    #[test]
    fn a_line_without_end_breaks_the_link() {
        let mut processor = Processor::default();
        processor.feed(&[b'x'; 2000]);
        assert_eq!(processor.take(), Err(Malformed));
    }

    #[test]
    fn a_new_link_repeats_notices_and_each_is_applied_once() {
        let mut processor = Processor::default();
        assert_eq!(processor.hello(), b"hello 0\r\n");
        processor.feed(b"complete 1 821b2d98a3d2e319 fine 7 1\r\na\r\nask 2 821b");
        assert_eq!(
            processor.take(),
            Ok(Some(complete(RunEnd::Fine, 7.0, b"a")))
        );
        assert_eq!(processor.take(), Ok(None));
        // What the old link left unfinished is forgotten; what it brought whole is not taken again.
        assert_eq!(processor.hello(), b"hello 1\r\n");
        processor
            .feed(b"complete 1 821b2d98a3d2e319 fine 7 1\r\na\r\nask 2 821b2d98a3d2e319 0\r\n\r\n");
        assert_eq!(
            processor.take(),
            Ok(Some(Notice::Ask {
                id: ID,
                body: Rc::from([])
            }))
        );
        assert_eq!(processor.take(), Ok(None));
    }
}
