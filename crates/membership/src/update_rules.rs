//! What an update about another member does to the record held of it, independent of time.

use crate::record::{Record, State};

/// Effect of an update on the record held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    /// The update is older than the record held, or equal to it.
    Ignored,
    /// The update reports a failed probe: it starts or confirms a suspicion.
    Suspicion,
    /// The update reports a failure of a member that is alive here. The member becomes a suspect
    /// and keeps its time to refute: otherwise the parts of a healed partition would declare each
    /// other down. The record is the suspected one.
    UnconfirmedFailure(Record),
    /// The merged record replaces the one held.
    Replaced(Record),
}

/// Determines the effect of the update `received` on the record `held`. A tombstone is only
/// replaced by a higher incarnation.
pub fn evaluate_update(held: &Record, is_tombstone: bool, received: &Record) -> UpdateEffect {
    let order = (received.incarnation, received.token).cmp(&(held.incarnation, held.token));
    if order.is_lt() || (order.is_eq() && is_tombstone) {
        return UpdateEffect::Ignored;
    }
    let is_suspect = order.is_eq() && held.state == State::Suspect;
    match received.state {
        State::Down if held.state.is_active() && !is_suspect => {
            UpdateEffect::UnconfirmedFailure(Record {
                state: State::Suspect,
                ..received.clone()
            })
        }
        State::Suspect => UpdateEffect::Suspicion,
        _ => {
            let mut merged = held.clone();
            if merged.merge(received) {
                UpdateEffect::Replaced(merged)
            } else {
                UpdateEffect::Ignored
            }
        }
    }
}
