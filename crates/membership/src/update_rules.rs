//! What a piece of news about another member is worth, beside what is held: the rule by which views
//! change, without times.

use crate::record::{Record, State};

/// What comes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    /// It is old, or held already.
    Ignored,
    /// It says that somebody had no answer.
    Suspicion,
    /// It says that a member is down which is held to be alive here. It is a suspect here from now
    /// on, and has its time to say otherwise: else the halves of a fleet would hold themselves dead
    /// when they meet again.
    UnconfirmedFailure(Record),
    /// The member's record is this from now on.
    Replaced(Record),
}

/// Weighs what is said against what is held. A member that is about to be forgotten is not brought
/// back by what made it so.
pub fn evaluate_update(held: &Record, fading: bool, said: &Record) -> UpdateEffect {
    let order = (said.incarnation, said.token).cmp(&(held.incarnation, held.token));
    if order.is_lt() || (order.is_eq() && fading) {
        return UpdateEffect::Ignored;
    }
    let suspected = order.is_eq() && held.state == State::Suspect;
    match said.state {
        State::Down if held.state.is_active() && !suspected => {
            UpdateEffect::UnconfirmedFailure(Record {
                state: State::Suspect,
                ..said.clone()
            })
        }
        State::Suspect => UpdateEffect::Suspicion,
        _ => {
            let mut joined = held.clone();
            if joined.merge(said) {
                UpdateEffect::Replaced(joined)
            } else {
                UpdateEffect::Ignored
            }
        }
    }
}
