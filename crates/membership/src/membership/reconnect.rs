//! Reconnect attempts to seeds, rivals and members that are down. Without them the sides of a
//! healed partition, which have declared each other down, would never merge.

use crate::membership::Membership;
use crate::message::Body;
use crate::record::State;
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Interval between attempts after a member went down, in protocol periods.
const INITIAL_INTERVAL_PERIODS: Micros = 2;
/// Maximum interval between attempts, in protocol periods.
const MAX_INTERVAL_PERIODS: Micros = 16;
/// Number of suspicion timeouts after which a rival without contact is removed.
const RIVAL_TIMEOUTS: Micros = 3;

/// Schedule of reconnect attempts, with exponential backoff and jitter.
pub(super) struct Reconnector {
    pub(super) seeds: Vec<SocketAddr>,
    /// Addresses that are pinged once.
    pub(super) contacts: Vec<SocketAddr>,
    interval: Micros,
    next_attempt_at: Micros,
    /// Sequence number of the latest attempts.
    pub(super) last_sequence: Option<u32>,
}

impl Reconnector {
    pub(super) fn new(now: Micros, period: Micros) -> Reconnector {
        Reconnector {
            seeds: Vec::new(),
            contacts: Vec::new(),
            interval: INITIAL_INTERVAL_PERIODS * period,
            next_attempt_at: now,
            last_sequence: None,
        }
    }

    pub(super) fn next_attempt_at(&self) -> Micros {
        self.next_attempt_at
    }

    /// Resets the backoff after a member went down or left.
    pub(super) fn reset_backoff(&mut self, now: Micros, period: Micros) {
        self.interval = INITIAL_INTERVAL_PERIODS * period;
        self.next_attempt_at = self.next_attempt_at.min(now + self.interval);
    }
}

impl Membership {
    /// Makes the reconnect attempts that are due.
    pub(super) fn run_reconnects(&mut self, now: Micros) {
        if now < self.reconnector.next_attempt_at {
            return;
        }
        self.schedule_next_reconnect(now);
        let sequence = self.next_sequence();
        self.reconnector.last_sequence = Some(sequence);
        self.ping_seeds(now, sequence);
        for rival in self.local.rival_addresses() {
            self.ping_address(now, sequence, rival);
        }
        self.expire_rivals(now);
        self.ping_down_member(now, sequence);
    }

    fn schedule_next_reconnect(&mut self, now: Micros) {
        let reconnector = &mut self.reconnector;
        let half = reconnector.interval / 2;
        reconnector.next_attempt_at = now + half + self.rng.i64(0..=half);
        let max = MAX_INTERVAL_PERIODS * self.config.probe_interval;
        reconnector.interval = (reconnector.interval + reconnector.interval / 4).min(max);
    }

    /// Pings seeds and contacts that are not the address of an active member.
    fn ping_seeds(&mut self, now: Micros, sequence: u32) {
        let active_addresses: BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, member)| member.record.state.is_active())
            .map(|(_, member)| member.record.details.address)
            .collect();
        let mut addresses = std::mem::take(&mut self.reconnector.contacts);
        addresses.extend(&self.reconnector.seeds);
        for address in addresses {
            if !active_addresses.contains(&address) {
                self.ping_address(now, sequence, address);
            }
        }
    }

    fn ping_address(&mut self, now: Micros, sequence: u32, address: SocketAddr) {
        let ping = Body::Ping {
            sequence,
            target: None,
        };
        self.send(now, address, ping, None);
    }

    fn expire_rivals(&mut self, now: Micros) {
        let timeout = self
            .config
            .suspicion_timeout(self.members.active_count(), 0);
        if self.local.expire_rivals(now - RIVAL_TIMEOUTS * timeout) {
            self.publish_local_record();
        }
    }

    /// Pings one of the members that are down.
    fn ping_down_member(&mut self, now: Micros, sequence: u32) {
        let Some(name) = self.pick_down_member() else {
            return;
        };
        self.members
            .annotate(&name, |member| member.reconnect_attempts += 1);
        let Some(address) = self.address_of(&name) else {
            return;
        };
        let ping = Body::Ping {
            sequence,
            target: Some(name.clone()),
        };
        // The member's record is attached whatever Lifeguard extensions are in use: without the
        // record the member could not refute that it is down.
        self.send(now, address, ping, Some(&name));
    }

    /// Picks at random among the members that are down with the fewest attempts, so that nodes
    /// do not all ping the same member.
    fn pick_down_member(&mut self) -> Option<String> {
        let mut fewest_attempts = u32::MAX;
        let mut candidates: Vec<&str> = Vec::new();
        for (name, member) in self.members.iter() {
            if member.record.state == State::Down && !member.is_tombstone {
                let attempts = member.reconnect_attempts;
                if attempts < fewest_attempts {
                    fewest_attempts = attempts;
                    candidates.clear();
                }
                if attempts == fewest_attempts {
                    candidates.push(name);
                }
            }
        }
        if candidates.is_empty() {
            return None;
        }
        let picked = self.rng.usize(..candidates.len());
        Some(candidates[picked].to_owned())
    }
}
