//! State machine of the successor: the new process, which serves once the predecessor has yielded.

use crate::message::{KeyEntry, Message, Welcome, WindowOrigin};
use thiserror::Error;

/// Phase of the hot restart on the successor's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The greeting was sent; [`Message::Welcome`] is awaited.
    Connect,
    /// The sockets were received, and this process prepares its own connections.
    Prepare,
    /// The keys were requested and are being received.
    Freeze,
    /// All keys were received and confirmed; [`Message::Yielded`] is awaited.
    Transfer,
    /// This process serves. The predecessor answers the requests that it has already read, and
    /// sends changes of their keys.
    Mirror,
    /// No predecessor is connected.
    Standalone,
}

/// An action for the driver to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Take over the sockets that were passed with this message.
    AdoptSockets(Welcome),
    /// Add a key, or replace its state. A predecessor of an older build does not send the origin of
    /// the key's window.
    ApplyKey(KeyEntry, Option<WindowOrigin>),
    /// Remove a key: no run of the key was started.
    ReleaseKey(String),
    /// Send [`Message::SnapshotReceived`] and adopt the predecessor's standby state and memory
    /// share.
    ConfirmSnapshot {
        /// Operators have set the node to standby: health checks fail.
        is_standby: bool,
        /// The share of the processor's memory that the predecessor may still use, from 0 to 1.
        memory_share: f64,
    },
    /// Accept connections, with the membership state of the predecessor.
    Serve {
        /// The node's membership state; `None` without a fleet.
        membership: Option<Vec<u8>>,
    },
}

/// The predecessor sent a message that does not belong to the phase.
///
/// A successor that does not serve yet has to exit, so that the predecessor continues alone.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("unexpected message in phase {0:?}")]
pub struct UnexpectedMessage(pub Phase);

/// How the loss of the connection to the predecessor has to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// There is no predecessor: start without one.
    NoPredecessor,
    /// The predecessor exited before all keys were received: it may have started a run of an
    /// unknown key.
    KeysIncomplete,
    /// The predecessor exited after all keys were received. The outcome of keys that were in
    /// progress there is unknown.
    KeysComplete,
    /// The predecessor is still running and has not yielded: exit, so that the predecessor
    /// continues alone.
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

    /// Handles the end of the preparations: the connection to the processor is up. Returns whether
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
                Ok(Action::ApplyKey(entry, None))
            }
            (
                Phase::Freeze | Phase::Transfer | Phase::Mirror,
                Message::KeyWithOrigin(entry, origin),
            ) => Ok(Action::ApplyKey(entry, Some(origin))),
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

    /// Whether the predecessor may still be running and serving after its connection has ended, so
    /// that the caller has to check its process for [`Successor::handle_disconnect`].
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
