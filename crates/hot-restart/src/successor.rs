//! The side of the process that comes: when it may serve.

use crate::message::{Key, Message, Welcome};

/// How far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has greeted, and waits to be welcomed.
    Greeting,
    /// It has the sockets, and gets its own things ready.
    Preparing,
    /// It has asked for the keys.
    Freezing,
    /// It has all keys and has said so.
    Taking,
    /// It serves; its predecessor answers what it has read, and tells what becomes of its keys.
    Serving,
    /// There is no predecessor, or none any more.
    Alone,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Take over the sockets that came with this.
    Sockets(Welcome),
    /// Enter a key, or how it stands now.
    Enter(Key),
    /// No run of this key began.
    Free(String),
    /// Say `Taken`; health and share as it was told.
    Take {
        /// Health checks hear bad.
        standby: bool,
        /// The share of the processor's memory that the predecessor may still take.
        share: f64,
    },
    /// Accept, and say yes to operators. What the predecessor passes on of the fleet.
    Serve(Option<Vec<u8>>),
    /// The predecessor doesn't keep to the protocol, and lives: end, so that it serves on as if
    /// nothing had been.
    GiveUp(&'static str),
}

/// What the end of the connection means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// There is no predecessor: start as if there had never been one.
    Nobody,
    /// It died before all keys were here: those that aren't may have been run.
    Doubtful,
    /// It ended with all keys here. Those that it held or ran are at an end that nobody knows.
    Settled,
    /// It lives and has not yielded: end, so that it serves on.
    GiveUp,
}

/// The steps of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    stage: Stage,
}

impl Successor {
    /// It has greeted a predecessor.
    pub fn greeting() -> Successor {
        Successor {
            stage: Stage::Greeting,
        }
    }

    /// There is no predecessor.
    pub fn alone() -> Successor {
        Successor {
            stage: Stage::Alone,
        }
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Its own link to the processor is up; whether the keys are to be asked for.
    pub fn ready(&mut self) -> bool {
        let ask = self.stage == Stage::Preparing;
        if ask {
            self.stage = Stage::Freezing;
        }
        ask
    }

    /// The predecessor said something.
    pub fn heard(&mut self, message: Message) -> Act {
        match (self.stage, message) {
            (Stage::Greeting, Message::Welcome(welcome)) => {
                self.stage = Stage::Preparing;
                Act::Sockets(welcome)
            }
            (Stage::Freezing | Stage::Taking | Stage::Serving, Message::Key(key)) => {
                Act::Enter(key)
            }
            (Stage::Freezing | Stage::Taking | Stage::Serving, Message::Free(key)) => {
                Act::Free(key)
            }
            (Stage::Freezing, Message::End { standby, share }) => {
                self.stage = Stage::Taking;
                Act::Take { standby, share }
            }
            (Stage::Taking, Message::Yielded { member }) => {
                self.stage = Stage::Serving;
                Act::Serve(member)
            }
            _ => Act::GiveUp("it said something that is not its turn to say"),
        }
    }

    /// Whether the end of the connection is not enough: the predecessor may live and serve, which
    /// has to be known for [`Successor::lost`].
    pub fn asks_for_death(&self) -> bool {
        matches!(
            self.stage,
            Stage::Preparing | Stage::Freezing | Stage::Taking
        )
    }

    /// The connection has ended, and the predecessor is dead or not.
    pub fn lost(&mut self, dead: bool) -> Lost {
        match std::mem::replace(&mut self.stage, Stage::Alone) {
            Stage::Greeting | Stage::Alone => Lost::Nobody,
            Stage::Preparing | Stage::Freezing | Stage::Taking if !dead => Lost::GiveUp,
            Stage::Preparing | Stage::Freezing => Lost::Doubtful,
            Stage::Taking | Stage::Serving => Lost::Settled,
        }
    }
}
