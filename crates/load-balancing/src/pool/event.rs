//! Changes of a pool that are written to the log.

use crate::outlier_detection::EjectionReason;
use crate::Micros;
use std::fmt;

const MICROS_PER_MILLISECOND: Micros = 1000;

/// A change of a pool's members. `Display` renders the log line.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent<A> {
    /// A member was ejected.
    Ejected {
        /// The member's address.
        member: A,
        /// Cause of the ejection.
        reason: EjectionReason,
        /// Duration of the ejection, in microseconds.
        duration: Micros,
    },
    /// A member's ejection is over; one run probes it.
    ProbationStarted(A),
    /// A member's probe succeeded; its slow start begins.
    Recovered(A),
    /// More members than the panic threshold would be ejected: ejections are suspended.
    PanicStarted,
    /// Ejections apply again.
    PanicEnded,
    /// Standby members get runs, because no other member is usable.
    StandbyActivated,
    /// Standby members get no further runs.
    StandbyReleased,
}

impl<A: fmt::Display> fmt::Display for PoolEvent<A> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PoolEvent::Ejected {
                member,
                reason,
                duration,
            } => {
                let duration_ms = duration / MICROS_PER_MILLISECOND;
                write!(
                    f,
                    "ejected member={member} duration_ms={duration_ms} reason=\"{reason}\""
                )
            }
            PoolEvent::ProbationStarted(member) => write!(f, "probation started member={member}"),
            PoolEvent::Recovered(member) => write!(f, "recovered member={member}"),
            PoolEvent::PanicStarted => {
                write!(f, "panic threshold exceeded, ejections suspended")
            }
            PoolEvent::PanicEnded => write!(f, "ejections resumed"),
            PoolEvent::StandbyActivated => {
                write!(f, "standby members activated, no other member is usable")
            }
            PoolEvent::StandbyReleased => write!(f, "standby members released"),
        }
    }
}
