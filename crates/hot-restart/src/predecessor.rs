//! State machine of the predecessor: the running process that is replaced.

use crate::message::Message;

/// The phase of the hot restart, as the predecessor sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No successor is connected.
    Standalone,
    /// A successor has the sockets and prepares.
    Connect,
    /// The successor has requested the keys: this process starts no run of a key that it does not
    /// know. All keys are sent.
    Freeze,
    /// The successor serves and has the authority over keys. Changes of keys that are in progress
    /// here are sent to it.
    Mirror,
    /// As `Mirror`, and this process is shutting down: it does not resume if the successor dies.
    Retire,
}

/// Something that the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Use all limits alone again: none is shared with a successor any more.
    RestoreLimits,
    /// Send all keys, then [`Message::SnapshotComplete`], then changes. Unknown keys belong to the
    /// successor.
    FreezeKeys,
    /// Unknown keys belong to this process again: no run of them was started elsewhere.
    UnfreezeKeys,
    /// Stop accepting, ask connected peers to reconnect, and send [`Message::Yielded`].
    Yield,
    /// Accept again. Runs of unknown keys may have been started by the successor that died.
    Resume,
    /// Close the connection: the successor violates the protocol.
    Disconnect,
}

/// The predecessor's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    phase: Phase,
    is_shutting_down: bool,
}

impl Default for Predecessor {
    fn default() -> Self {
        Predecessor {
            phase: Phase::Standalone,
            is_shutting_down: false,
        }
    }
}

impl Predecessor {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles the connection of a successor; whether it is accepted.
    ///
    /// There is one successor at a time, and none for a process that is shutting down: its exit
    /// would end what the successor was promised.
    pub fn handle_connect(&mut self) -> bool {
        let is_accepted = self.phase == Phase::Standalone && !self.is_shutting_down;
        if is_accepted {
            self.phase = Phase::Connect;
        }
        is_accepted
    }

    /// Handles a message of the successor.
    pub fn handle_message(&mut self, message: &Message) -> Action {
        match (self.phase, message) {
            (Phase::Connect, Message::Freeze) => {
                self.phase = Phase::Freeze;
                Action::FreezeKeys
            }
            (Phase::Freeze, Message::SnapshotReceived) => {
                self.phase = if self.is_shutting_down {
                    Phase::Retire
                } else {
                    Phase::Mirror
                };
                Action::Yield
            }
            _ => Action::Disconnect,
        }
    }

    /// Whether the successor may serve. The end of its connection proves nothing then: its process
    /// has to exit before [`Predecessor::handle_disconnect`] is called.
    pub fn has_yielded(&self) -> bool {
        matches!(self.phase, Phase::Mirror | Phase::Retire)
    }

    /// Handles the end of the successor's connection, after all messages that it sent.
    pub fn handle_disconnect(&mut self) -> &'static [Action] {
        match self.phase {
            Phase::Standalone | Phase::Retire => &[],
            Phase::Connect => self.return_to_standalone(&[Action::RestoreLimits]),
            // It serves only after it has received `Yielded`.
            Phase::Freeze => {
                self.return_to_standalone(&[Action::UnfreezeKeys, Action::RestoreLimits])
            }
            Phase::Mirror => self.return_to_standalone(&[Action::Resume, Action::RestoreLimits]),
        }
    }

    /// Starts the shutdown of this process; whether a successor serves in its place, so that the
    /// node continues.
    pub fn begin_shutdown(&mut self) -> bool {
        self.is_shutting_down = true;
        if self.phase == Phase::Mirror {
            self.phase = Phase::Retire;
        }
        self.phase == Phase::Retire
    }

    fn return_to_standalone(&mut self, actions: &'static [Action]) -> &'static [Action] {
        self.phase = Phase::Standalone;
        actions
    }
}
