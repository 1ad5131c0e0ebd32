//! What a piece of news about another member is worth, beside what is held: the rule by which views
//! change, without times.

use crate::record::{Record, State};

/// What comes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Weighed {
    /// It is old, or held already.
    Nothing,
    /// It says that somebody had no answer.
    Accuses,
    /// It says that a member is down which is held to be alive here. It is a suspect here from now
    /// on, and has its time to say otherwise: else the halves of a fleet would hold themselves dead
    /// when they meet again.
    Doubted(Record),
    /// The member's record is this from now on.
    Turns(Record),
}

/// Weighs what is said against what is held. A member that is about to be forgotten is not brought
/// back by what made it so.
pub fn weigh(held: &Record, fading: bool, said: &Record) -> Weighed {
    let order = (said.incarnation, said.token).cmp(&(held.incarnation, held.token));
    if order.is_lt() || (order.is_eq() && fading) {
        return Weighed::Nothing;
    }
    let suspected = order.is_eq() && held.state == State::Suspect;
    match said.state {
        State::Down if held.state.takes_part() && !suspected => Weighed::Doubted(Record {
            state: State::Suspect,
            ..said.clone()
        }),
        State::Suspect => Weighed::Accuses,
        _ => {
            let mut joined = held.clone();
            if joined.join(said) {
                Weighed::Turns(joined)
            } else {
                Weighed::Nothing
            }
        }
    }
}
