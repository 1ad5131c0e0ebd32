//! What happened in the view, each with its cause: a line of the log.

use crate::record::{Rival, State};
use std::fmt;

/// Why a member is held to be in a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This node had no answer of it, directly or through these.
    Missed(Vec<String>),
    /// These had no answer of it, and it did not say otherwise in time.
    Confirmed(Vec<String>),
    /// This member told.
    Told(String),
    /// It said so itself.
    Itself,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Missed(helpers) if helpers.is_empty() => write!(f, "no answer to this node"),
            Cause::Missed(helpers) => write!(
                f,
                "no answer to this node, nor through {}",
                helpers.join(",")
            ),
            Cause::Confirmed(by) => write!(f, "not refuted in time, no answer to {}", by.join(",")),
            Cause::Told(by) => write!(f, "told by {by}"),
            Cause::Itself => write!(f, "by its own word"),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member's state is another one than before; none before if it was not known.
    Changed {
        /// The member.
        name: String,
        /// How it was.
        before: Option<State>,
        /// How it is.
        state: State,
        /// Of which incarnation that is said.
        incarnation: u64,
        /// Why.
        cause: Cause,
    },
    /// Others held this node to be suspect or down, and it said otherwise.
    Refuted {
        /// What it was held to be.
        held: State,
        /// Who told.
        by: String,
        /// This node's incarnation since.
        incarnation: u64,
    },
    /// Living processes go by one name.
    Conflict {
        /// The name.
        name: String,
        /// Where the one is whose word holds.
        address: std::net::SocketAddr,
        /// The others.
        rivals: Vec<Rival>,
    },
    /// They don't any more.
    Resolved {
        /// The name.
        name: String,
    },
    /// This node was not there for so long, in microseconds: stopped, or starved.
    Late(i64),
    /// A member is not remembered any more.
    Forgotten {
        /// The member.
        name: String,
        /// It had to make room.
        crowded: bool,
    },
    /// This node does not see a majority of those it knows any more, or does again.
    CutOff(bool),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Event::Changed {
                name,
                before,
                state,
                incarnation,
                cause,
            } => {
                let before = before.map_or("new", State::word);
                write!(
                    f,
                    "member={name} {before} -> {} incarnation={incarnation}: {cause}",
                    state.word()
                )
            }
            Event::Refuted {
                held,
                by,
                incarnation,
            } => {
                write!(
                    f,
                    "refuted: held {} by {by}, now incarnation={incarnation}",
                    held.word()
                )
            }
            Event::Conflict {
                name,
                address,
                rivals,
            } => {
                let others: Vec<String> = rivals.iter().map(|r| r.address.to_string()).collect();
                write!(
                    f,
                    "conflict: member={name} is at {address} and at {}",
                    others.join(",")
                )
            }
            Event::Resolved { name } => write!(f, "conflict: member={name} is one process again"),
            Event::Late(time) => write!(f, "late: this node was not there for {} ms", time / 1000),
            Event::Forgotten {
                name,
                crowded: false,
            } => write!(f, "forgotten: member={name}"),
            Event::Forgotten {
                name,
                crowded: true,
            } => {
                write!(f, "forgotten: member={name}, there was no room")
            }
            Event::CutOff(true) => write!(f, "cut off: no majority of the known members is seen"),
            Event::CutOff(false) => write!(
                f,
                "cut off no more: a majority of the known members is seen"
            ),
        }
    }
}
