//! State of a hot restart in the predecessor.

use crate::net::notify::Notify;
use pipitlever_hot_restart::predecessor::Predecessor;

/// State of a hot restart in which this process is the predecessor.
#[derive(Default)]
pub struct HotRestartState {
    /// State machine of the hot-restart protocol.
    pub predecessor: Predecessor,
    /// Notified when a message for the successor may be pending.
    pub transfer_pending: Notify,
    /// Bytes that are being written to the successor.
    pub unsent_bytes: usize,
}
