//! Events that a node reports, for logs and metrics.

use crate::proposer::Outcome;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A newer version is known to be decided.
    Learned {
        /// The version number.
        number: u64,
        /// The member whose message confirmed it.
        sender: String,
    },
    /// The content of the newest version is complete.
    Fetched {
        /// The version number.
        number: u64,
        /// The member that sent the last chunk.
        sender: String,
    },
    /// A version became active.
    Activated {
        /// The version number.
        number: u64,
    },
    /// A version could not be activated.
    ActivationRejected {
        /// The version number.
        number: u64,
        /// The reason.
        reason: String,
    },
    /// The node has a lease on its active version.
    LeaseAcquired {
        /// The active version.
        number: u64,
    },
    /// The lease on the active version has expired.
    LeaseExpired {
        /// The active version.
        number: u64,
    },
    /// A peer has recorded another disk or more votes for this node's acceptor, which therefore no
    /// longer votes.
    DiskMismatch,
    /// A proposal that was started here has ended.
    ProposalFinished(Outcome),
    /// No node acts on a version below this one any more.
    Retired {
        /// The minimum version.
        minimum_version: u64,
    },
    /// The node's minimum version became known.
    MinimumVersionKnown {
        /// The minimum version.
        minimum_version: u64,
    },
}
