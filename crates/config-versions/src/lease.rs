//! Leases (Gray and Cheriton 1989): until when a node may act on its active version.
//!
//! A heartbeat states the acceptor's clock and the versions it has retired, and reaches a node
//! through other members with unknown delay. A node therefore requests the clock of each acceptor
//! from time to time. The reading was taken after the request was sent, which bounds the send time
//! of every later heartbeat from below, on the node's own clock, by the drift of both clocks alone.
//! Clocks are not synchronized, and a heartbeat that was delayed on the network, or in the socket
//! buffer of a stopped process, extends a lease only as far as its age allows.

use crate::message::Heartbeat;
use crate::version::{is_quorum, Version};
use crate::Micros;
use std::collections::BTreeMap;

const MILLION: Micros = 1_000_000;

/// A clock is requested again once drift costs more than a lease divided by this number.
const MAX_DRIFT_FRACTION: Micros = 8;

/// The maximum drift of any clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockDrift {
    /// The deviation of a clock's rate, in parts per million.
    pub ppm: Micros,
}

impl Default for ClockDrift {
    /// 1%: ten times the 0.1% of a poor quartz or of a clock that is being slewed.
    fn default() -> ClockDrift {
        ClockDrift { ppm: 10_000 }
    }
}

impl ClockDrift {
    /// Returns the minimum duration on one clock while this duration passes on another.
    pub fn min_elapsed(self, duration: Micros) -> Micros {
        let deviation = duration as i128 * (2 * self.ppm) as i128 / (MILLION + self.ppm) as i128;
        duration - deviation as Micros
    }

    /// Returns the maximum duration on one clock while this duration passes on another.
    pub fn max_elapsed(self, duration: Micros) -> Micros {
        let deviation = duration as i128 * (2 * self.ppm) as i128 / (MILLION - self.ppm) as i128;
        duration + 1 + deviation as Micros
    }
}

/// A reading of an acceptor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockReading {
    /// The incarnation of the acceptor's process.
    pub incarnation: u64,
    /// The acceptor's clock, read after the request was sent.
    pub remote: Micros,
    /// The node's own clock when it sent the request.
    pub requested_at: Micros,
}

impl ClockReading {
    fn is_newer_than(&self, other: &ClockReading) -> bool {
        (self.incarnation, self.requested_at) > (other.incarnation, other.requested_at)
    }
}

/// The heartbeats and clocks of the acceptors, as known to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leases {
    heartbeats: BTreeMap<String, Heartbeat>,
    clocks: BTreeMap<String, ClockReading>,
}

impl Leases {
    /// Returns the latest heartbeats of these acceptors, to disseminate.
    pub fn heartbeats(&self, acceptors: &[String]) -> Vec<Heartbeat> {
        acceptors
            .iter()
            .filter_map(|name| self.heartbeats.get(name).cloned())
            .collect()
    }

    /// Records a heartbeat, received from any member. Returns whether it is new.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, acceptors: &[String]) -> bool {
        let acceptor = &heartbeat.acceptor;
        let is_new = acceptors.contains(acceptor)
            && self
                .heartbeats
                .get(acceptor)
                .is_none_or(|known| heartbeat.is_newer_than(known));
        if is_new {
            self.heartbeats.retain(|name, _| acceptors.contains(name));
            self.heartbeats.insert(acceptor.clone(), heartbeat.clone());
        }
        is_new
    }

    /// Records a reading of an acceptor's clock.
    pub fn record_clock(&mut self, acceptor: &str, reading: ClockReading, acceptors: &[String]) {
        let is_acceptor = acceptors.iter().any(|name| name == acceptor);
        let is_newer = self
            .clocks
            .get(acceptor)
            .is_none_or(|known| reading.is_newer_than(known));
        if is_acceptor && is_newer {
            self.clocks.retain(|name, _| acceptors.contains(name));
            self.clocks.insert(acceptor.to_owned(), reading);
        }
    }

    /// Returns whether to request an acceptor's clock: the clock is unknown, the acceptor has
    /// restarted, or drift since the last reading costs too much of a lease.
    pub fn needs_clock(
        &self,
        acceptor: &str,
        now: Micros,
        lease: Micros,
        drift: ClockDrift,
    ) -> bool {
        let Some(reading) = self.clocks.get(acceptor) else {
            return true;
        };
        let has_restarted = self
            .heartbeats
            .get(acceptor)
            .is_some_and(|heartbeat| heartbeat.incarnation > reading.incarnation);
        let age = now - reading.requested_at;
        has_restarted || age - drift.min_elapsed(age) > lease / MAX_DRIFT_FRACTION
    }

    /// Returns when the node's lease on its active version expires, or `None` without a lease.
    ///
    /// A quorum of the newest known version's acceptors must have sent a heartbeat that neither
    /// retires the active version nor reports newer acceptors. The lease starts at the earliest
    /// send time among the latest heartbeats of that quorum.
    pub fn expires_at(
        &self,
        active: u64,
        newest: &Version,
        lease: Micros,
        drift: ClockDrift,
    ) -> Option<Micros> {
        let renewed_at = |acceptor: &String| {
            let (heartbeat, sent_at) = self.sent_after(acceptor, drift)?;
            let renews = heartbeat.minimum_version <= active
                && heartbeat.acceptors_since <= newest.acceptors_since;
            renews.then_some(sent_at)
        };
        let mut renewals: Vec<Micros> = newest.acceptors.iter().filter_map(renewed_at).collect();
        renewals.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_renewed_at = renewals.get(newest.acceptors.len() / 2)?;
        Some(quorum_renewed_at + lease)
    }

    /// Returns whether a quorum has retired a version, so that no lease on it can be renewed.
    pub fn is_retired(&self, version: u64, acceptors: &[String]) -> bool {
        is_quorum(acceptors, |name| {
            self.heartbeats
                .get(name)
                .is_some_and(|heartbeat| heartbeat.minimum_version > version)
        })
    }

    /// Returns an acceptor's latest heartbeat, and the latest time on the node's own clock that is
    /// certainly before it was sent.
    fn sent_after(&self, acceptor: &str, drift: ClockDrift) -> Option<(&Heartbeat, Micros)> {
        let heartbeat = self.heartbeats.get(acceptor)?;
        let reading = self.clocks.get(acceptor)?;
        if heartbeat.incarnation != reading.incarnation {
            return None;
        }
        let elapsed = heartbeat.clock - reading.remote;
        let bound = if elapsed >= 0 {
            reading.requested_at + drift.min_elapsed(elapsed)
        } else {
            reading.requested_at - drift.max_elapsed(-elapsed)
        };
        Some((heartbeat, bound))
    }
}
