//! What the other process of a hot restart means for this one: keys that are in progress there, and
//! the memory that the two share.

use pipitlever_hot_restart::key_authority::KeyAuthority;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The state of a hot restart in the core.
#[derive(Debug, Default)]
pub(crate) struct KeyTransfer {
    /// Which process may run a request of a key that is not known here.
    pub(crate) authority: KeyAuthority,
    /// Keys that are queued or running in the predecessor.
    pub(crate) in_progress: BTreeSet<Rc<str>>,
    /// While there is another process: the share of the processor's memory that this one may use.
    pub(crate) memory_share: Option<f64>,
}
