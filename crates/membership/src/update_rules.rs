//! Effect of an update about another member on this node's record of it, independent of time.

use crate::record::{Record, State};

/// Effect of an update on the current record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    /// The update is older than the current record, or equal to it.
    Ignored,
    /// The update reports a failed probe: it starts or confirms a suspicion.
    Suspicion,
    /// The update reports a failure of a member that is alive in this node's view. The member
    /// becomes a suspect and has a full suspicion timeout to refute the failure: otherwise the
    /// sides of a healed partition would declare each other down. The record is that of the
    /// suspect.
    UnconfirmedFailure(Record),
    /// The merged record replaces the current one.
    Replaced(Record),
}

/// Determines the effect of the update `received` on the record `current`. A tombstone is only
/// replaced by a higher incarnation.
pub fn evaluate_update(current: &Record, is_tombstone: bool, received: &Record) -> UpdateEffect {
    let order = (received.incarnation, received.token).cmp(&(current.incarnation, current.token));
    if order.is_lt() || (order.is_eq() && is_tombstone) {
        return UpdateEffect::Ignored;
    }
    let is_suspect = order.is_eq() && current.state == State::Suspect;
    match received.state {
        State::Down if current.state.is_active() && !is_suspect => {
            UpdateEffect::UnconfirmedFailure(Record {
                state: State::Suspect,
                ..received.clone()
            })
        }
        State::Suspect => UpdateEffect::Suspicion,
        _ => {
            let mut merged = current.clone();
            if merged.merge(received) {
                UpdateEffect::Replaced(merged)
            } else {
                UpdateEffect::Ignored
            }
        }
    }
}
