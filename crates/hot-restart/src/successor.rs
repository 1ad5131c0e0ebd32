//! State machine of the successor: the new process, and when it may serve.

use crate::message::{KeyEntry, Message, Welcome};
use thiserror::Error;

/// The phase of the hot restart, as the successor sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has sent its greeting and waits for [`Message::Welcome`].
    Connect,
    /// It has the sockets and prepares its own connections.
    Prepare,
    /// It has requested the keys and receives them.
    Freeze,
    /// It has confirmed all keys and waits for [`Message::Yielded`].
    Transfer,
    /// It serves. The predecessor answers the requests that it has read, and sends changes of their
    /// keys.
    Mirror,
    /// No predecessor is connected.
    Standalone,
}

/// Something that the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Take over the sockets that were passed with this message.
    AdoptSockets(Welcome),
    /// Enter a key, or its new state.
    ApplyKey(KeyEntry),
    /// Remove a key: no run of it was started.
    ReleaseKey(String),
    /// Send [`Message::SnapshotReceived`] and adopt the predecessor's standby state and memory
    /// share.
    ConfirmSnapshot {
        /// Operators have set the node to standby: health checks fail.
        is_standby: bool,
        /// The share of the processor's memory that the predecessor may still use, from 0 to 1.
        memory_share: f64,
    },
    /// Accept connections, with the membership state that the predecessor passed on.
    Serve {
        /// The node's membership state; none without a fleet.
        membership: Option<Vec<u8>>,
    },
}

/// The predecessor sent a message that does not belong to the phase.
///
/// A successor that does not serve yet has to exit, so that the predecessor continues alone.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("unexpected message in phase {0:?}")]
pub struct UnexpectedMessage(pub Phase);

/// The consequence of the connection's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// There is no predecessor: start without one.
    NoPredecessor,
    /// The predecessor died before all keys were received: a run of an unknown key may have been
    /// started.
    KeysIncomplete,
    /// The predecessor died after all keys were received. The outcome of keys that were in progress
    /// there is unknown.
    KeysComplete,
    /// The predecessor is alive and has not yielded: exit, so that it continues alone.
    Abort,
}

/// The successor's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    phase: Phase,
}

impl Successor {
    /// A process that has sent its greeting to a predecessor.
    pub fn connecting() -> Successor {
        Successor {
            phase: Phase::Connect,
        }
    }

    /// A process without a predecessor.
    pub fn standalone() -> Successor {
        Successor {
            phase: Phase::Standalone,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles the end of the preparations: the connection to the processor is up. Whether
    /// [`Message::Freeze`] has to be sent.
    pub fn handle_ready(&mut self) -> bool {
        let requests_keys = self.phase == Phase::Prepare;
        if requests_keys {
            self.phase = Phase::Freeze;
        }
        requests_keys
    }

    /// Handles a message of the predecessor.
    ///
    /// # Errors
    ///
    /// [`UnexpectedMessage`] if the message does not belong to the phase.
    pub fn handle_message(&mut self, message: Message) -> Result<Action, UnexpectedMessage> {
        match (self.phase, message) {
            (Phase::Connect, Message::Welcome(welcome)) => {
                self.phase = Phase::Prepare;
                Ok(Action::AdoptSockets(welcome))
            }
            (Phase::Freeze | Phase::Transfer | Phase::Mirror, Message::Key(entry)) => {
                Ok(Action::ApplyKey(entry))
            }
            (Phase::Freeze | Phase::Transfer | Phase::Mirror, Message::KeyReleased(key)) => {
                Ok(Action::ReleaseKey(key))
            }
            (
                Phase::Freeze,
                Message::SnapshotComplete {
                    is_standby,
                    memory_share,
                },
            ) => {
                self.phase = Phase::Transfer;
                Ok(Action::ConfirmSnapshot {
                    is_standby,
                    memory_share,
                })
            }
            (Phase::Transfer, Message::Yielded { membership }) => {
                self.phase = Phase::Mirror;
                Ok(Action::Serve { membership })
            }
            (phase, _) => Err(UnexpectedMessage(phase)),
        }
    }

    /// Whether the predecessor may be alive and serve after its connection has ended, so that its
    /// process has to be looked at for [`Successor::handle_disconnect`].
    pub fn must_check_exit(&self) -> bool {
        matches!(self.phase, Phase::Prepare | Phase::Freeze | Phase::Transfer)
    }

    /// Handles the end of the connection, given whether the predecessor's process has exited.
    pub fn handle_disconnect(&mut self, has_exited: bool) -> ConnectionLoss {
        match std::mem::replace(&mut self.phase, Phase::Standalone) {
            Phase::Connect | Phase::Standalone => ConnectionLoss::NoPredecessor,
            Phase::Prepare | Phase::Freeze | Phase::Transfer if !has_exited => {
                ConnectionLoss::Abort
            }
            Phase::Prepare | Phase::Freeze => ConnectionLoss::KeysIncomplete,
            Phase::Transfer | Phase::Mirror => ConnectionLoss::KeysComplete,
        }
    }
}
