//! State machine of the predecessor: the running process that is replaced.

use crate::message::Message;

/// Phase of the hot restart on the predecessor's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No successor is connected.
    Standalone,
    /// A successor has the sockets and prepares its own connections.
    Connect,
    /// The successor has requested the keys, and all keys are being sent. This process starts no
    /// run of an unknown key.
    Freeze,
    /// The successor serves and has the authority over keys. Changes of keys that are in progress
    /// in this process are sent to the successor.
    Mirror,
    /// Like `Mirror`, while this process is shutting down: it does not resume if the successor
    /// exits.
    Retire,
}

/// An action for the driver to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Use the whole of each limit again: none is shared with a successor any more.
    RestoreLimits,
    /// Send all keys, then [`Message::SnapshotComplete`], then changes. The successor gets the
    /// authority over unknown keys.
    FreezeKeys,
    /// Take back the authority over unknown keys: the successor has started no run.
    UnfreezeKeys,
    /// Stop accepting connections, instruct connected peers to reconnect, and send
    /// [`Message::Yielded`].
    Yield,
    /// Accept connections again. The successor may have started runs of unknown keys before it
    /// exited.
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

    /// Handles the connection of a successor and returns whether the successor is accepted.
    ///
    /// One successor is accepted at a time, and none while this process is shutting down, since
    /// its exit would cut the transfer short.
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

    /// Whether a successor is connected or has taken over.
    pub fn has_successor(&self) -> bool {
        self.phase != Phase::Standalone
    }

    /// Whether the successor may serve. The end of its connection does not show that it has stopped
    /// serving: its process has to exit before [`Predecessor::handle_disconnect`] is called.
    pub fn has_yielded(&self) -> bool {
        matches!(self.phase, Phase::Mirror | Phase::Retire)
    }

    /// Handles the end of the successor's connection, after all messages that it sent.
    pub fn handle_disconnect(&mut self) -> &'static [Action] {
        match self.phase {
            Phase::Standalone | Phase::Retire => &[],
            Phase::Connect => self.return_to_standalone(&[Action::RestoreLimits]),
            // The successor serves only after it has received `Yielded`.
            Phase::Freeze => {
                self.return_to_standalone(&[Action::UnfreezeKeys, Action::RestoreLimits])
            }
            Phase::Mirror => self.return_to_standalone(&[Action::Resume, Action::RestoreLimits]),
        }
    }

    /// Starts the shutdown of this process and returns whether a successor serves in its place, so
    /// that the node continues.
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
