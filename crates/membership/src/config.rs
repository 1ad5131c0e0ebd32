//! The times and bounds of the fleet.

use crate::Micros;

/// What the operator's file says, and what follows from it.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Time between two probes of a node that is well.
    pub probe_interval: Micros,
    /// Members that are remembered, itself too.
    pub max_members: usize,
    /// Bytes of a datagram.
    pub max_datagram_bytes: usize,
    /// A member that is down or has left is forgotten after so long.
    pub retention: Micros,
    /// What Lifeguard adds, to be switched off by measurements alone.
    pub lifeguard: Lifeguard,
}

/// Lifeguard's ideas, each of which can be switched off to see what it gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifeguard {
    /// A node that runs late, or whose own probes get lost, takes more time for the others
    /// (LHA-Probe).
    pub local_health: bool,
    /// A suspicion's time shrinks as others confirm it (LHA-Suspicion); without it all have the
    /// shortest.
    pub dynamic_suspicion: bool,
    /// Who is suspected is told so with the next probe, and a few who hear of it probe at once (the
    /// buddy system).
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
    /// Members asked to probe another one.
    pub const INDIRECT_PROBES: usize = 3;
    /// Confirmations of others after which a suspicion has its shortest time.
    pub const SUSPICION_CONFIRMATIONS: usize = 3;

    /// How often one piece of news is sent by each, in a fleet of this size: enough for all to hear
    /// it, and an end.
    pub fn max_transmissions(&self, members: usize) -> u32 {
        4 * digits(members).ceil().max(1.0) as u32
    }

    /// The shortest time that a suspect has. Its name must reach it and its answer come back, over
    /// some hops.
    pub fn min_suspicion_timeout(&self, members: usize) -> Micros {
        (self.probe_interval as f64 * (2.0 + digits(members) / 2.0)) as Micros
    }

    /// The time that a suspect has, with so many who have had no answer of it beside the first, of
    /// so many who might.
    pub fn suspicion_timeout(&self, members: usize, confirmed: usize) -> Micros {
        let shortest = self.min_suspicion_timeout(members);
        // Itself, the suspect and this node: whoever else there is could confirm it.
        let able = members.saturating_sub(2).min(Self::SUSPICION_CONFIRMATIONS);
        if !self.lifeguard.dynamic_suspicion {
            return shortest;
        }
        if able == 0 {
            return 2 * shortest;
        }
        let longest = 6.0 * shortest as f64;
        let share = (confirmed.min(able) as f64 + 1.0).ln() / (able as f64 + 1.0).ln();
        (longest - (longest - shortest as f64) * share) as Micros
    }

    /// Time between two sendings of news that have no other message to travel with.
    pub fn gossip_interval(&self) -> Micros {
        self.probe_interval / 5
    }
}

/// The decimal logarithm of a number of members.
fn digits(members: usize) -> f64 {
    (members.max(1) as f64 + 1.0).log10()
}
