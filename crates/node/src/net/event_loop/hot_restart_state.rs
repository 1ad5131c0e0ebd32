//! State of a hot restart in which this process is the predecessor.

use crate::net::notify::Notify;
use pipitlever_hot_restart::predecessor::Predecessor;

/// What this process knows of its successor, and what it still has to send to it.
#[derive(Default)]
pub struct HotRestartState {
    /// The protocol's state machine.
    pub predecessor: Predecessor,
    /// Notified when there is a message for the successor.
    pub transfer_pending: Notify,
    /// Bytes that are being written to the successor.
    pub unsent_bytes: usize,
}
