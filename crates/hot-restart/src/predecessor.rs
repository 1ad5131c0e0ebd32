//! The side of the process that is there: what it does about one that comes to take over.

use crate::message::Message;

/// How far a successor has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// There is none.
    Alone,
    /// It has the sockets and gets ready.
    Met,
    /// It has asked for the keys: this process begins no run of one that it doesn't know.
    Frozen,
    /// It serves, and is the authority for keys.
    Yielded,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Room is shared with nobody any more.
    Unshare,
    /// Tell it all keys, `End`, and from then on what changes; unknown keys are its own.
    Freeze,
    /// Unknown keys are this process's again: none was run elsewhere.
    Thaw,
    /// Stop accepting, have those who are connected go over, and say `Yielded`.
    Yield,
    /// Accept again, though keys that are not known may have been run by the one that died.
    Resume,
    /// It doesn't keep to the protocol: its connection has to end.
    Drop,
}

/// The steps of the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    stage: Stage,
    leaving: bool,
}

impl Default for Predecessor {
    fn default() -> Self {
        Predecessor {
            stage: Stage::Alone,
            leaving: false,
        }
    }
}

impl Predecessor {
    /// How far a successor has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// A successor has connected; whether it may stay. There is one at a time, and none takes over
    /// from a process that has been told to leave: its end would be the end of what the successor
    /// was promised.
    pub fn met(&mut self) -> bool {
        let may = self.stage == Stage::Alone && !self.leaving;
        if may {
            self.stage = Stage::Met;
        }
        may
    }

    /// It said something.
    pub fn heard(&mut self, message: &Message) -> Act {
        match (self.stage, message) {
            (Stage::Met, Message::Freeze) => {
                self.stage = Stage::Frozen;
                Act::Freeze
            }
            (Stage::Frozen, Message::Taken) => {
                self.stage = Stage::Yielded;
                Act::Yield
            }
            _ => Act::Drop,
        }
    }

    /// Whether the end of its connection is not enough: it may live and serve, so that its death
    /// has to be seen before [`Predecessor::lost`].
    pub fn awaits_death(&self) -> bool {
        self.stage == Stage::Yielded
    }

    /// Its connection has ended. What it had said came before.
    pub fn lost(&mut self) -> &'static [Act] {
        let before = std::mem::replace(&mut self.stage, Stage::Alone);
        match before {
            Stage::Alone => &[],
            Stage::Met => &[Act::Unshare],
            // It serves only once it has heard `Yielded`.
            Stage::Frozen => &[Act::Thaw, Act::Unshare],
            // On the way out there is nobody left to accept for.
            Stage::Yielded if self.leaving => {
                self.stage = Stage::Yielded;
                &[]
            }
            Stage::Yielded => &[Act::Resume, Act::Unshare],
        }
    }

    /// This process is told to leave; whether another one serves in its place, so that the node
    /// goes on.
    pub fn leave(&mut self) -> bool {
        self.leaving = true;
        self.stage == Stage::Yielded
    }
}
