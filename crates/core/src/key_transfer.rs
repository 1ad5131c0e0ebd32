//! The state of a hot restart: authority over unknown keys, keys in progress in the predecessor,
//! and this process's share of memory.

use pipitlever_admission::Micros;
use pipitlever_hot_restart::key_authority::KeyAuthority;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The state of a hot restart in the core.
#[derive(Debug, Default)]
pub(crate) struct KeyTransfer {
    /// Which process may run a request of a key that is not known here.
    pub(crate) authority: KeyAuthority,
    /// When keys were last lost with another process, if ever.
    pub(crate) keys_lost_at: Option<Micros>,
    /// Keys that are queued or running in the predecessor.
    pub(crate) in_progress: BTreeSet<Rc<str>>,
    /// The share of the processor's memory that this process may use; `None` while no other process
    /// of the node runs.
    pub(crate) memory_share: Option<f64>,
}
