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
    /// Share room with the successor, or no longer.
    Share(bool),
    /// Tell it all keys, `End`, and from then on what changes; unknown keys are its own.
    Freeze,
    /// Unknown keys are this process's again: none was run elsewhere.
    Thaw,
    /// Stop accepting, and have those who are connected go over.
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
        Predecessor { stage: Stage::Alone, leaving: false }
    }
}

impl Predecessor {
    /// How far a successor has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// A successor has connected; whether it may stay. There is one at a time, and none takes over from a process that has
    /// been told to leave: its end would be the end of what the successor was promised.
    pub fn met(&mut self) -> Option<Act> {
        if self.stage != Stage::Alone || self.leaving {
            return None;
        }
        self.stage = Stage::Met;
        Some(Act::Share(true))
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

    /// Its connection has ended: it died, or was dropped. What it had said came before.
    pub fn lost(&mut self) -> &'static [Act] {
        let before = std::mem::replace(&mut self.stage, Stage::Alone);
        match before {
            Stage::Alone => &[],
            Stage::Met => &[Act::Share(false)],
            // It serves only after `Taken`.
            Stage::Frozen => &[Act::Thaw, Act::Share(false)],
            // On the way out there is nobody left to accept for.
            Stage::Yielded if self.leaving => {
                self.stage = Stage::Yielded;
                &[]
            }
            Stage::Yielded => &[Act::Resume, Act::Share(false)],
        }
    }

    /// This process is told to leave; whether another one serves in its place, so that the node goes on.
    pub fn leave(&mut self) -> bool {
        self.leaving = true;
        self.stage == Stage::Yielded
    }
}
