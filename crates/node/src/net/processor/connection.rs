//! The link to the processor, as far as it is kept in memory: what waits, what is written, what may
//! be lost.

use crate::net::notify::Nudge;
use pipitlever_admission::Micros;
use pipitlever_core::{Core, Reference};
use pipitlever_wire::processor;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// A link that answered within this time is taken to be alive.
const ALIVE: Micros = 2000;
/// Commands written to the processor before it is asked whether it has read them.
const MOST_BATCH: usize = 64;

/// What a command tells the processor of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// To run it; whether that must not happen twice, and its class.
    Begin(Reference, bool, Rc<str>),
    /// The reply to its call.
    Answer(Reference),
    /// To stop its run.
    Interrupt(Reference),
}

/// A command to the processor, as it goes out.
#[derive(Clone, Debug)]
struct Command {
    told: Told,
    body: Rc<[u8]>,
}

/// What waits to be written to the processor, and how its link stands.
///
/// A link that breaks may have swallowed what was last written to it, unread. So commands go out in
/// batches, each with a question behind it and the next one only after its answer: what is lost is
/// one batch at most, and it is known which. The rest waits here, and has certainly not been read.
#[derive(Debug)]
pub struct Link {
    /// Something is to be done on the link.
    pub nudge: Nudge,
    /// Where the processor is, if there is one.
    pub address: Option<SocketAddr>,
    /// It is somewhere else now: the present link is to be left once all that was said on it is
    /// read.
    pub moved: Nudge,
    leaving: bool,
    /// The processor has said hi on this link.
    up: bool,
    /// In order, not yet written.
    commands: VecDeque<Command>,
    /// Written, and not known to be read.
    unread: Vec<Command>,
    /// The same of links that broke, until the present one has caught up with their notices.
    doubtful: Vec<Command>,
    catching_up: bool,
    /// Questions asked, and whether the last one has its answer.
    questions: u64,
    answered: bool,
    /// When the last answer came.
    heard: Micros,
    /// A question is wanted, for its gauges or for what it proves.
    ask: bool,
}

impl Link {
    /// No link yet, and no address.
    pub fn new() -> Link {
        Link {
            nudge: Nudge::new(),
            address: None,
            moved: Nudge::new(),
            leaving: false,
            up: false,
            commands: VecDeque::new(),
            unread: Vec::new(),
            doubtful: Vec::new(),
            catching_up: false,
            questions: 0,
            answered: true,
            heard: Micros::MIN / 2,
            ask: false,
        }
    }

    /// This is to be told.
    pub fn command(&mut self, told: Told, body: Rc<[u8]>) {
        self.commands.push_back(Command { told, body });
        self.nudge.give();
    }

    /// The gauges are wanted.
    pub fn ask(&mut self) {
        self.ask = true;
        self.nudge.give();
    }

    /// What is to be written next, if anything is by now: a batch and a question.
    pub fn batch(&mut self, now: Micros, out: &mut Vec<u8>) -> bool {
        if !self.up || !self.answered || self.leaving || (self.commands.is_empty() && !self.ask) {
            return false;
        }
        // A start that must not happen twice is never written to a link that may have died since it
        // last answered: unread, it could not be told from one whose run is under way, and could
        // not go out again.
        let once = self
            .commands
            .iter()
            .any(|c| matches!(c.told, Told::Begin(_, true, _)));
        if !self.catching_up && (!once || now - self.heard <= ALIVE) {
            while let Some(command) = self.commands.pop_front() {
                self.unread.push(command);
                if self.unread.len() >= MOST_BATCH {
                    break;
                }
            }
        }
        (self.ask, self.answered) = (false, false);
        self.questions += 1;
        for Command { told, body } in &self.unread {
            match told {
                Told::Begin(reference, _, class) => {
                    processor::write_start(out, *reference, class, body)
                }
                Told::Answer(reference) => processor::write_call_reply(out, *reference, body),
                Told::Interrupt(reference) => processor::write_interrupt(out, *reference),
            }
        }
        processor::write_gauge_query(out, self.questions);
        true
    }

    /// The processor answered this question. If it is the last one, all that was written before it
    /// is read.
    pub fn answered(&mut self, now: Micros, question: Option<u64>, core: &mut Core) {
        if question != Some(self.questions) {
            return;
        }
        (self.answered, self.heard) = (true, now);
        self.unread.clear();
        if std::mem::take(&mut self.catching_up) {
            self.caught_up(core);
        }
        self.nudge.give();
    }

    /// A new link has brought all notices of the old one. What that may have swallowed goes out
    /// again, first, where it is safe to; a start that must not happen twice is not, as its run may
    /// just have ended.
    fn caught_up(&mut self, core: &mut Core) {
        for command in std::mem::take(&mut self.doubtful).into_iter().rev() {
            let again = match &command.told {
                Told::Begin(reference, once, _) => !once && core.may_resend_start(*reference),
                Told::Answer(reference) => core.may_resend_reply(*reference),
                Told::Interrupt(reference) => core.may_resend_stop(*reference),
            };
            if again {
                self.commands.push_front(command);
            }
        }
    }

    /// Whether nothing more is to be said on this link: the processor is elsewhere and has read
    /// everything.
    pub fn left(&self) -> bool {
        self.leaving && (self.answered || !self.up)
    }

    /// The link ended. What it has not read for certain is looked at on the next one.
    pub fn unlinked(&mut self) {
        (self.up, self.leaving) = (false, false);
    }

    /// The processor is up on a new link.
    pub fn hi(&mut self) {
        // A question before anything else: its answer comes behind all notices that the old link
        // left unread. The answer to an older one proves nothing here.
        (self.up, self.ask, self.answered) = (true, true, true);
        self.doubtful.append(&mut self.unread);
        self.catching_up = true;
        self.nudge.give();
    }

    /// The processor is there from now on.
    pub fn moved(&mut self, to: Option<SocketAddr>) {
        let before = std::mem::replace(&mut self.address, to);
        if before.is_some() && before != to {
            self.leaving = true;
            self.moved.give();
            self.nudge.give();
        }
    }
}
