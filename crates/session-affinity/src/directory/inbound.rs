//! Membership changes and messages from other nodes.

use crate::directory::replication::requested_entry;
use crate::directory::{Peer, SessionDirectory};
use crate::message::{DirectoryEntry, Message};
use crate::placement::Placement;
use crate::replicas::ReplicaSet;
use crate::table::MergeOutcome;
use crate::{Micros, SessionId};
use std::collections::BTreeSet;

impl SessionDirectory {
    /// Handles a change of the membership view, or of its convergence. `peers` are the other
    /// active nodes.
    pub fn handle_membership_change(
        &mut self,
        now: Micros,
        peers: Vec<Peer>,
        is_view_converged: bool,
    ) {
        let peers: Vec<Peer> = peers
            .into_iter()
            .filter(|peer| peer.name != self.local_name)
            .collect();
        let sources: BTreeSet<String> = peers
            .iter()
            .filter(|peer| peer.is_bootstrapped)
            .map(|peer| peer.name.clone())
            .collect();
        let local_name = self.local_name.as_str();
        let local_replica = self.is_bootstrapped().then_some(local_name);
        let replicas = ReplicaSet::new(sources.iter().map(String::as_str).chain(local_replica));
        let all_names = peers.iter().map(|peer| peer.name.as_str());
        self.prospective_replicas = ReplicaSet::new(all_names.chain([local_name]));
        let previous = std::mem::replace(&mut self.replicas, replicas);
        if previous != self.replicas {
            self.rebalance(now, previous);
        }
        self.state_transfer.set_sources(&sources, is_view_converged);
        self.run_state_transfer(now);
    }

    /// Handles a message of another node.
    pub fn handle_message(&mut self, now: Micros, sender: &str, message: &Message) {
        match message {
            Message::LookupRequest {
                time,
                lookup_id,
                session,
            } => {
                self.clock.observe(now, *time);
                self.reply_to_lookup(now, sender, *lookup_id, *session);
            }
            Message::LookupReply {
                time,
                lookup_id,
                session,
                placement,
            } => {
                self.clock.observe(now, *time);
                self.handle_lookup_reply(now, sender, *lookup_id, *session, *placement);
            }
            Message::Update {
                time,
                entries,
                ack_requested,
            } => {
                self.clock.observe(now, *time);
                self.state_transfer.record_message(now, sender);
                self.handle_entries(now, sender, entries);
                if *ack_requested {
                    self.acknowledge(now, sender, entries);
                }
            }
            Message::UpdateAck { sessions } => {
                for session in sessions {
                    self.unacknowledged.acknowledge(*session, sender);
                }
            }
            Message::TransferRequest { token } => {
                self.handle_transfer_request(now, sender, *token);
            }
            Message::TransferComplete { token } => {
                self.state_transfer.record_completion(*token, sender);
                self.run_state_transfer(now);
            }
        }
    }

    fn reply_to_lookup(&mut self, now: Micros, sender: &str, lookup_id: u32, session: SessionId) {
        self.table.touch(now, session);
        let known = self.table.get(now, session);
        let reply = Message::LookupReply {
            time: self.clock.read(now),
            lookup_id,
            session,
            placement: known.map(|known| known.placement),
        };
        self.send(sender, reply.encode());
    }

    fn handle_lookup_reply(
        &mut self,
        now: Micros,
        sender: &str,
        lookup_id: u32,
        session: SessionId,
        placement: Option<Placement>,
    ) {
        if let Some(result) = self
            .lookups
            .handle_reply(lookup_id, sender, session, placement)
        {
            return self.complete_lookup(now, result);
        }
        // The reply answers a verification, or arrived after its lookup was completed.
        let Some(known) = self.table.get(now, session) else {
            return;
        };
        match placement {
            Some(placement) => {
                let entry = requested_entry(session, placement);
                if self.merge_entry(now, sender, entry) {
                    // The other replicas may have the placement that was replaced.
                    self.announce(now, session, placement);
                }
            }
            // The sender lacks the entry; a replica stores it, and other nodes ignore the update.
            None => self.send_entry(now, sender, requested_entry(session, known.placement)),
        }
    }

    fn handle_entries(&mut self, now: Micros, sender: &str, entries: &[DirectoryEntry]) {
        for entry in entries {
            let session = entry.session;
            let is_replica = self.replicas.is_replica(session, &self.local_name)
                || self
                    .prospective_replicas
                    .is_replica(session, &self.local_name);
            // Entries of other sessions would fill the table.
            if is_replica || self.table.get(now, session).is_some() {
                self.merge_entry(now, sender, *entry);
            }
            if let Some(result) = self.lookups.resolve(session, entry.placement) {
                self.complete_lookup(now, result);
            }
        }
    }

    /// Acknowledges the entries that this node stores.
    fn acknowledge(&mut self, now: Micros, sender: &str, entries: &[DirectoryEntry]) {
        let sessions: Vec<SessionId> = entries
            .iter()
            .map(|entry| entry.session)
            .filter(|session| self.table.get(now, *session).is_some())
            .collect();
        if !sessions.is_empty() {
            self.send(sender, Message::UpdateAck { sessions }.encode());
        }
    }

    /// Merges an entry of another node, and returns whether it is stored now. A sender with an
    /// outdated placement receives the current one.
    fn merge_entry(&mut self, now: Micros, sender: &str, entry: DirectoryEntry) -> bool {
        let outcome = self.table.merge(now, entry);
        if let MergeOutcome::Outdated(current) = outcome {
            self.send_entry(now, sender, requested_entry(entry.session, current));
        }
        outcome == MergeOutcome::Applied
    }

    fn send_entry(&mut self, now: Micros, recipient: &str, entry: DirectoryEntry) {
        let update = Message::Update {
            time: self.clock.read(now),
            entries: vec![entry],
            ack_requested: false,
        };
        self.send(recipient, update.encode());
    }
}
