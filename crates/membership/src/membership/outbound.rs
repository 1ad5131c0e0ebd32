//! Outgoing datagrams, each with as many piggybacked updates as fit.

use crate::membership::Membership;
use crate::message::{encoded_length, Body, Packet, Update};
use crate::record::State;
use crate::Micros;
use std::net::SocketAddr;

/// Bytes reserved in a datagram for its checksum and length fields that grow with the updates.
const DATAGRAM_OVERHEAD_BYTES: usize = 8;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// Address of the receiver.
    pub destination: SocketAddr,
    /// Content.
    pub payload: Vec<u8>,
}

impl Membership {
    /// Returns the update that disseminates this node's own record.
    pub fn local_update(&self) -> Update {
        Update {
            name: self.local_name.clone(),
            record: self.local.record.clone(),
            suspected_by: None,
            state_age_seconds: 0,
        }
    }

    /// Returns the update that disseminates a member; `None` if it is unknown or a tombstone.
    pub fn update_about(&self, now: Micros, name: &str) -> Option<Update> {
        let member = self
            .members
            .get(name)
            .filter(|member| !member.is_tombstone)?;
        let suspected_by = member
            .suspicion
            .as_ref()
            .and_then(|suspicion| suspicion.reporters().last().cloned());
        let state_age_seconds = if member.record.state.is_active() {
            0
        } else {
            let age = (now - member.state_since).max(0);
            u32::try_from(age / 1_000_000).unwrap_or(u32::MAX)
        };
        Some(Update {
            name: name.to_owned(),
            record: member.record.clone(),
            suspected_by,
            state_age_seconds,
        })
    }

    /// Sends a datagram with the update about `first_update` and as many queued updates as fit.
    pub(super) fn send(
        &mut self,
        now: Micros,
        destination: SocketAddr,
        body: Body,
        first_update: Option<&str>,
    ) {
        let mut packet = Packet {
            sender: self.local_update(),
            digest: self.digest(),
            body,
            updates: Vec::new(),
            piggyback: self.application.piggyback(),
        };
        let mut available = self
            .config
            .max_datagram_bytes
            .saturating_sub(packet.encode(&self.fleet_name).len() + DATAGRAM_OVERHEAD_BYTES);
        if let Some(update) = first_update.and_then(|name| self.update_about(now, name)) {
            available = available.saturating_sub(encoded_length(&update));
            packet.updates.push(update);
        }
        self.add_queued_updates(now, &mut packet, available, first_update);
        self.outgoing.push(OutboundDatagram {
            destination,
            payload: packet.encode(&self.fleet_name),
        });
    }

    fn add_queued_updates(
        &mut self,
        now: Micros,
        packet: &mut Packet,
        mut available: usize,
        first_update: Option<&str>,
    ) {
        let max_transmissions = self.config.max_transmissions(self.members.active_count());
        let mut queue = std::mem::take(&mut self.dissemination);
        queue.take_batch(max_transmissions, |name| {
            // A member that has since been removed from the table takes no space.
            let Some(update) = self.update_about(now, name) else {
                return true;
            };
            let length = encoded_length(&update);
            if length > available {
                return false;
            }
            available -= length;
            if first_update != Some(name) {
                packet.updates.push(update);
            }
            true
        });
        self.dissemination = queue;
    }

    pub(super) fn send_gossip(&mut self, now: Micros, name: &str) {
        if let Some(destination) = self.address_of(name) {
            self.send(now, destination, Body::Gossip, None);
        }
    }

    /// Sends gossip to up to `count` random members, even if no update is queued.
    pub(super) fn gossip_to_random_members(&mut self, now: Micros, count: usize) {
        let schedule = &self.prober.schedule;
        for name in schedule.random_members(count, &[], &mut self.rng) {
            self.send_gossip(now, &name);
        }
    }

    /// Sends a ping. If the member is not alive, the ping carries the member's record, so that the
    /// member can refute it (Lifeguard's buddy system).
    pub(super) fn send_ping(
        &mut self,
        now: Micros,
        sequence: u32,
        name: &str,
        address: SocketAddr,
    ) {
        let is_alive = self
            .members
            .get(name)
            .is_none_or(|member| member.record.state == State::Alive);
        let is_suspicion_attached = !is_alive && self.config.lifeguard.buddy_system;
        let ping = Body::Ping {
            sequence,
            target: Some(name.to_owned()),
        };
        self.send(now, address, ping, is_suspicion_attached.then_some(name));
    }
}
