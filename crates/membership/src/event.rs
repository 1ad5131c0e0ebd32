//! Events of the membership state machine, each with its cause. Each is written as a log line.

use crate::record::{Rival, State};
use crate::Micros;
use std::fmt;
use std::net::SocketAddr;

/// Why a member entered a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A probe sent by this node failed: neither the ping nor the indirect probes through these
    /// members were acknowledged.
    ProbeFailed(Vec<String>),
    /// The suspicion reported by these members timed out without a refutation.
    SuspicionExpired(Vec<String>),
    /// This member reported the state.
    ReportedBy(String),
    /// The member announced the state itself.
    SelfReported,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::ProbeFailed(helpers) if helpers.is_empty() => {
                write!(f, "probe of this node timed out")
            }
            Cause::ProbeFailed(helpers) => write!(
                f,
                "probe of this node timed out, indirect probes failed through={}",
                helpers.join(",")
            ),
            Cause::SuspicionExpired(reporters) => write!(
                f,
                "suspicion timed out without refutation reporters={}",
                reporters.join(",")
            ),
            Cause::ReportedBy(reporter) => write!(f, "reported_by={reporter}"),
            Cause::SelfReported => write!(f, "announced by the member"),
        }
    }
}

/// Events since the previous batch was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Events, the oldest first.
    pub events: Vec<Event>,
    /// Number of older events that were dropped because the queue was full.
    pub lost: u64,
}

/// A change of the membership view or of this node's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member changed its state or entered the table.
    StateChanged {
        /// Name of the member.
        name: String,
        /// State before; `None` for a new member.
        previous: Option<State>,
        /// State now.
        state: State,
        /// Incarnation to which the state belongs.
        incarnation: u64,
        /// Why the state changed.
        cause: Cause,
    },
    /// This node refuted a claim that it is suspect or down.
    Refuted {
        /// State that was claimed.
        claimed: State,
        /// Member from which the claim was received.
        reported_by: String,
        /// Incarnation of this node from now on.
        incarnation: u64,
    },
    /// Several live processes use one member name.
    NameConflict {
        /// Member name.
        name: String,
        /// Address of the process whose record is in effect.
        address: SocketAddr,
        /// The other processes.
        rivals: Vec<Rival>,
    },
    /// A name conflict has ended: only one live process uses the name.
    NameConflictResolved {
        /// Member name.
        name: String,
    },
    /// This process did not run for this time, in microseconds: it was stopped or starved of CPU.
    LocalDelay(Micros),
    /// A member was removed from the view.
    Removed {
        /// Name of the member.
        name: String,
        /// Whether it was evicted from a full table rather than expired.
        evicted: bool,
    },
    /// This node lost (`true`) or regained (`false`) contact with a majority of the known members.
    Partitioned(bool),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Event::StateChanged {
                name,
                previous,
                state,
                incarnation,
                cause,
            } => write!(
                f,
                "member={name} {} -> {} incarnation={incarnation}: {cause}",
                previous.map_or("new", State::as_str),
                state.as_str()
            ),
            Event::Refuted {
                claimed,
                reported_by,
                incarnation,
            } => write!(
                f,
                "refuted: claimed_state={} reported_by={reported_by} incarnation={incarnation}",
                claimed.as_str()
            ),
            Event::NameConflict {
                name,
                address,
                rivals,
            } => write!(
                f,
                "name conflict: member={name} address={address} rivals={}",
                join_addresses(rivals)
            ),
            Event::NameConflictResolved { name } => {
                write!(f, "name conflict resolved: member={name}")
            }
            Event::LocalDelay(delay) => write!(
                f,
                "local delay: this process did not run for_ms={}",
                delay / 1000
            ),
            Event::Removed { name, evicted } => {
                let reason = if *evicted { "table_full" } else { "retention" };
                write!(f, "removed: member={name} reason={reason}")
            }
            Event::Partitioned(true) => {
                f.write_str("partitioned: no contact with a majority of the known members")
            }
            Event::Partitioned(false) => {
                f.write_str("partition healed: contact with a majority of the known members")
            }
        }
    }
}

fn join_addresses(rivals: &[Rival]) -> String {
    let addresses: Vec<String> = rivals
        .iter()
        .map(|rival| rival.address.to_string())
        .collect();
    addresses.join(",")
}
