//! Requests for a member of a pool, and their results.

/// Identifies a member within its pool. An address that is removed and added again gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub(super) u32);

/// Identifies a run in flight within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub(super) u64);

/// A run that needs a member.
#[derive(Clone, Copy, Debug, Default)]
pub struct SelectionRequest<'a> {
    /// Whether the run may be executed more than once.
    pub is_idempotent: bool,
    /// Sticky key: requests with the same key go to the same member where possible.
    pub hash_key: Option<u64>,
    /// Members that earlier attempts of this request went to; none for a first attempt.
    pub attempted_members: &'a [MemberId],
}

/// The result of a selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection<A> {
    /// The run goes to this member, and counts as in flight until [`super::Pool::complete_run`].
    Selected {
        /// The run.
        run: RunId,
        /// The member, for [`SelectionRequest::attempted_members`].
        member: MemberId,
        /// The member's address.
        address: A,
    },
    /// Every usable member has as many runs in flight as its limit allows.
    AtCapacity,
    /// No member is usable, or every usable one was attempted before.
    Unavailable,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The member responded.
    Succeeded,
    /// The member accepted no connection.
    Unreachable,
    /// The connection broke, the response was malformed, or the member took too long.
    Failed,
    /// The request's deadline passed. Counts as a failure only if the member had several times the
    /// usual latency to respond.
    TimedOut,
}
