//! What happened in the view, each with its cause: a line of the log.

use crate::record::{Rival, State};
use std::fmt;

/// Why a member is held to be in a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This node had no answer of it, directly or through these.
    ProbeFailed(Vec<String>),
    /// These had no answer of it, and it did not say otherwise in time.
    SuspicionExpired(Vec<String>),
    /// This member told.
    ReportedBy(String),
    /// It said so itself.
    SelfReported,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::ProbeFailed(helpers) if helpers.is_empty() => {
                write!(f, "no answer to this node")
            }
            Cause::ProbeFailed(helpers) => write!(
                f,
                "no answer to this node, nor through {}",
                helpers.join(",")
            ),
            Cause::SuspicionExpired(by) => {
                write!(f, "not refuted in time, no answer to {}", by.join(","))
            }
            Cause::ReportedBy(by) => write!(f, "told by {by}"),
            Cause::SelfReported => write!(f, "by its own word"),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member's state is another one than before; none before if it was not known.
    StateChanged {
        /// The member.
        name: String,
        /// How it was.
        previous: Option<State>,
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
        claimed: State,
        /// Who told.
        reported_by: String,
        /// This node's incarnation since.
        incarnation: u64,
    },
    /// Living processes go by one name.
    NameConflict {
        /// The name.
        name: String,
        /// Where the one is whose word holds.
        address: std::net::SocketAddr,
        /// The others.
        rivals: Vec<Rival>,
    },
    /// They don't any more.
    NameConflictResolved {
        /// The name.
        name: String,
    },
    /// This node was not there for so long, in microseconds: stopped, or starved.
    LocalDelay(i64),
    /// A member is not remembered any more.
    Forgotten {
        /// The member.
        name: String,
        /// It had to make room.
        evicted: bool,
    },
    /// This node does not see a majority of those it knows any more, or does again.
    Partitioned(bool),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Event::StateChanged {
                name,
                previous: before,
                state,
                incarnation,
                cause,
            } => {
                let before = before.map_or("new", State::as_str);
                write!(
                    f,
                    "member={name} {before} -> {} incarnation={incarnation}: {cause}",
                    state.as_str()
                )
            }
            Event::Refuted {
                claimed: held,
                reported_by: by,
                incarnation,
            } => {
                write!(
                    f,
                    "refuted: held {} by {by}, now incarnation={incarnation}",
                    held.as_str()
                )
            }
            Event::NameConflict {
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
            Event::NameConflictResolved { name } => {
                write!(f, "conflict: member={name} is one process again")
            }
            Event::LocalDelay(time) => {
                write!(f, "late: this node was not there for {} ms", time / 1000)
            }
            Event::Forgotten {
                name,
                evicted: false,
            } => write!(f, "forgotten: member={name}"),
            Event::Forgotten {
                name,
                evicted: true,
            } => {
                write!(f, "forgotten: member={name}, there was no room")
            }
            Event::Partitioned(true) => {
                write!(f, "cut off: no majority of the known members is seen")
            }
            Event::Partitioned(false) => write!(
                f,
                "cut off no more: a majority of the known members is seen"
            ),
        }
    }
}
