//! Replication of placements: updates to the replicas of a session, and their retransmission.

use crate::directory::{OutboundMessage, SessionDirectory};
use crate::message::{DirectoryEntry, Message, MAX_ENTRIES};
use crate::placement::Placement;
use crate::replicas::REPLICATION_FACTOR;
use crate::{Micros, SessionId};
use std::collections::BTreeMap;

impl SessionDirectory {
    /// Sends a placement to the replicas of its session, and to those that will be its replicas
    /// once they are bootstrapped.
    pub(super) fn announce(&mut self, now: Micros, session: SessionId, placement: Placement) {
        let replicas = self.replicas.ranked(session, REPLICATION_FACTOR);
        let prospective = self
            .prospective_replicas
            .ranked(session, REPLICATION_FACTOR)
            .into_iter()
            .filter(|name| !self.replicas.is_replica(session, name));
        let recipients: Vec<String> = replicas
            .iter()
            .copied()
            .chain(prospective)
            .filter(|name| *name != self.local_name)
            .map(str::to_owned)
            .collect();
        let update = Message::Update {
            time: self.clock.read(now),
            entries: vec![requested_entry(session, placement)],
            ack_requested: true,
        }
        .encode();
        let messages = recipients.iter().map(|recipient| OutboundMessage {
            recipient: recipient.clone(),
            payload: update.clone(),
        });
        self.outgoing.extend(messages);
        self.unacknowledged.track(now, session, recipients);
    }

    /// Sends unacknowledged updates again, several in one message.
    pub(super) fn retransmit_updates(&mut self, now: Micros) {
        let mut entries_by_replica: BTreeMap<String, Vec<DirectoryEntry>> = BTreeMap::new();
        for retransmission in self.unacknowledged.take_retransmissions(now) {
            let session = retransmission.session;
            let Some(known) = self.table.get(now, session) else {
                continue;
            };
            let entry = requested_entry(session, known.placement);
            for replica in retransmission.replicas {
                entries_by_replica.entry(replica).or_default().push(entry);
            }
        }
        let time = self.clock.read(now);
        for (recipient, entries) in entries_by_replica {
            for chunk in entries.chunks(MAX_ENTRIES) {
                let update = Message::Update {
                    time,
                    entries: chunk.to_vec(),
                    ack_requested: true,
                };
                self.send(&recipient, update.encode());
            }
        }
    }
}

/// Returns the directory entry of a session that is being requested.
pub(super) fn requested_entry(session: SessionId, placement: Placement) -> DirectoryEntry {
    DirectoryEntry {
        session,
        placement,
        idle_seconds: 0,
    }
}
