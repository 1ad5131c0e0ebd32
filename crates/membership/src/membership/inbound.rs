//! Received datagrams.

use crate::membership::Membership;
use crate::message::{Body, DecodeError, Packet, Update};
use crate::probe::ProbeOrigin;
use crate::record::State;
use crate::Micros;

impl Membership {
    /// Handles a datagram.
    ///
    /// # Errors
    ///
    /// Fails without any effect if the datagram cannot be decoded.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        let packet = Packet::decode(&self.fleet_name, bytes)?;
        self.detect_delay(now);
        let Packet {
            sender,
            digest,
            body,
            updates,
            piggyback,
        } = packet;
        if sender.name == self.local_name {
            if sender.record.token == self.local.record.token {
                // A datagram of this process, sent to a seed that is this node or replayed.
                return Ok(());
            }
            self.local.record_rival_contact(sender.record.token, now);
        }
        let previous_state = self.state_of(&sender.name);
        self.handle_update(now, &sender, &sender.name);
        for update in &updates {
            self.handle_update(now, update, &sender.name);
        }
        self.queue_application_messages(&sender.name, &body, piggyback);
        self.handle_body(now, &sender, body, previous_state);
        self.compare_digest(now, &sender, digest);
        self.report_partition_change();
        Ok(())
    }

    fn state_of(&self, name: &str) -> Option<State> {
        self.members.get(name).map(|member| member.record.state)
    }

    fn handle_body(
        &mut self,
        now: Micros,
        sender: &Update,
        body: Body,
        previous_state: Option<State>,
    ) {
        let address = sender.record.details.address;
        match body {
            Body::Ping { sequence, target } => {
                if target.is_none_or(|target| target == self.local_name) {
                    let refutable = self.refutable_update(sender);
                    self.send(now, address, Body::Ack { sequence }, refutable);
                }
            }
            Body::PingReq {
                sequence,
                name,
                address: target,
            } => {
                let origin = ProbeOrigin { sequence, address };
                self.start_indirect_probe(now, origin, &name, target);
            }
            Body::Ack { sequence } => {
                self.handle_ack(now, sequence, &sender.name);
                // The table of a member that was unknown or down may differ in many records.
                let was_inactive = previous_state.is_none_or(|state| !state.is_active());
                if was_inactive && self.convergence.is_sync_allowed(now) {
                    self.request_sync(now, address);
                }
            }
            Body::IndirectAck { sequence } => self.handle_indirect_ack(sequence),
            Body::Nack { sequence } => self.handle_nack(sequence),
            Body::Gossip => {
                let refutable = self.refutable_update(sender);
                if refutable.is_some() {
                    self.send(now, address, Body::Gossip, refutable);
                }
            }
            Body::Application(_) => {}
        }
    }

    /// Returns the sender's name if this node's record of an active sender is in a state other than
    /// alive: the reply then carries that record, so that the sender can refute it.
    fn refutable_update<'a>(&self, sender: &'a Update) -> Option<&'a str> {
        let is_presumed_failed = self
            .state_of(&sender.name)
            .is_some_and(|state| state != State::Alive);
        (is_presumed_failed && sender.record.state.is_active()).then_some(sender.name.as_str())
    }
}
