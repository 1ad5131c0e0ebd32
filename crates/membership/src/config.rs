//! Intervals and limits of the membership protocol.

use crate::Micros;

/// Settings of the membership protocol, and the values derived from them.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Protocol period: the interval between two probes of a healthy node, in microseconds.
    pub probe_interval: Micros,
    /// Maximum number of members in the table, including this node and tombstones.
    pub max_members: usize,
    /// Maximum size of a datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// How long a member that is down or has left stays in the view, in microseconds.
    pub retention: Micros,
    /// Lifeguard extensions in use.
    pub lifeguard: Lifeguard,
}

/// Lifeguard extensions. Simulations disable one at a time to measure its effect; nodes use all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifeguard {
    /// LHA-Probe: the local health multiplier lengthens the probe interval.
    pub local_health: bool,
    /// LHA-Suspicion: independent confirmations shorten the suspicion timeout. Without it every
    /// suspicion has the minimum timeout.
    pub dynamic_suspicion: bool,
    /// Buddy system: a ping to a suspect carries the suspicion, and a few of the members that
    /// receive a suspicion probe the suspect at once.
    pub buddy_system: bool,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_interval: 500_000,
            max_members: 1200,
            max_datagram_bytes: 1200,
            retention: 3_600_000_000,
            lifeguard: Lifeguard {
                local_health: true,
                dynamic_suspicion: true,
                buddy_system: true,
            },
        }
    }
}

impl MembershipConfig {
    /// Number of members that receive a ping-req for one failed probe (SWIM's `k`).
    pub const INDIRECT_PROBES: usize = 3;
    /// Number of independent confirmations that reduce a suspicion timeout to its minimum.
    pub const SUSPICION_CONFIRMATIONS: usize = 3;

    /// Returns how often each member retransmits one update: enough that it reaches all of
    /// `members` with high probability.
    pub fn max_transmissions(&self, members: usize) -> u32 {
        4 * log10_of_members(members).ceil().max(1.0) as u32
    }

    /// Returns the minimum suspicion timeout in microseconds. It covers the propagation of the
    /// suspicion to the suspect and of the refutation to this node, each over several hops.
    pub fn min_suspicion_timeout(&self, members: usize) -> Micros {
        (self.probe_interval as f64 * (2.0 + log10_of_members(members) / 2.0)) as Micros
    }

    /// Returns the suspicion timeout in microseconds after `confirmations` independent
    /// confirmations (Lifeguard, section IV-B).
    pub fn suspicion_timeout(&self, members: usize, confirmations: usize) -> Micros {
        let min = self.min_suspicion_timeout(members);
        if !self.lifeguard.dynamic_suspicion {
            return min;
        }
        // Neither the suspect nor the first reporter can confirm the suspicion.
        let possible = members.saturating_sub(2).min(Self::SUSPICION_CONFIRMATIONS);
        if possible == 0 {
            return 2 * min;
        }
        let max = 6.0 * min as f64;
        let progress =
            (confirmations.min(possible) as f64 + 1.0).ln() / (possible as f64 + 1.0).ln();
        (max - (max - min as f64) * progress) as Micros
    }

    /// Returns the interval in microseconds between gossip messages that carry no probe.
    pub fn gossip_interval(&self) -> Micros {
        self.probe_interval / 5
    }
}

/// Returns the decimal logarithm of the number of members plus one.
fn log10_of_members(members: usize) -> f64 {
    (members.max(1) as f64 + 1.0).log10()
}
