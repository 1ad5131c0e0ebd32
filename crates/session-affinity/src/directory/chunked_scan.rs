//! Scans of the whole table that send entries to other nodes. A scan runs in chunks, since requests
//! wait while a chunk runs.

use crate::directory::SessionDirectory;
use crate::message::{DirectoryEntry, Message, MAX_ENTRIES};
use crate::replicas::{ReplicaSet, REPLICATION_FACTOR};
use crate::{Micros, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// Interval between chunks, in microseconds.
const CHUNK_INTERVAL: Micros = 5_000;
/// Maximum number of sessions scanned in one chunk.
const MAX_SCANNED_SESSIONS: usize = 2_000;
/// Approximate maximum number of messages sent in one chunk.
const MAX_SENT_MESSAGES: usize = 12;

/// Which entries a scan sends, and to which nodes.
#[derive(Clone, Debug)]
pub(super) enum ScanPurpose {
    /// Sends a node that has just joined the entries of which it will be a replica.
    Transfer {
        /// Name of the node.
        recipient: String,
        /// Token of its request.
        token: u64,
    },
    /// Sends entries to nodes that were not replicas of the session in this earlier set.
    Rebalance(ReplicaSet),
}

/// A scan, and the sessions still to be scanned.
#[derive(Clone, Debug)]
struct Scan {
    purpose: ScanPurpose,
    sessions: Vec<SessionId>,
}

/// Scans in the order in which they were started.
#[derive(Clone, Debug)]
pub(super) struct ScanQueue {
    scans: VecDeque<Scan>,
    next_chunk_at: Micros,
}

impl ScanQueue {
    pub(super) fn new(now: Micros) -> ScanQueue {
        ScanQueue {
            scans: VecDeque::new(),
            next_chunk_at: now,
        }
    }

    /// Returns when the next chunk is due; `None` without scans.
    pub(super) fn next_chunk_at(&self) -> Option<Micros> {
        (!self.scans.is_empty()).then_some(self.next_chunk_at)
    }

    /// Returns whether the transfer with this token is in progress.
    pub(super) fn serves_transfer(&self, requested_token: u64) -> bool {
        self.scans.iter().any(|scan| {
            matches!(scan.purpose, ScanPurpose::Transfer { token, .. } if token == requested_token)
        })
    }
}

impl SessionDirectory {
    /// Starts a scan of the sessions in the table.
    pub(super) fn start_scan(&mut self, now: Micros, purpose: ScanPurpose) {
        let sessions = self.table.iter(now).map(|entry| entry.session).collect();
        self.scans.scans.push_back(Scan { purpose, sessions });
    }

    /// Sends entries to the nodes that have become their replicas.
    pub(super) fn rebalance(&mut self, now: Micros, previous: ReplicaSet) {
        if !self.table.is_empty() {
            self.start_scan(now, ScanPurpose::Rebalance(previous));
        }
    }

    /// Runs the next chunk if one is due.
    pub(super) fn run_scan_chunk(&mut self, now: Micros) {
        if now < self.scans.next_chunk_at {
            return;
        }
        let Some(mut scan) = self.scans.scans.pop_front() else {
            return;
        };
        self.scans.next_chunk_at = now + CHUNK_INTERVAL;
        let entries_by_recipient = self.collect_chunk(now, &mut scan);
        self.send_chunk(now, entries_by_recipient);
        if !scan.sessions.is_empty() {
            self.scans.scans.push_front(scan);
        } else if let ScanPurpose::Transfer { recipient, token } = scan.purpose {
            self.send(&recipient, Message::TransferComplete { token }.encode());
        }
    }

    fn collect_chunk(&self, now: Micros, scan: &mut Scan) -> BTreeMap<String, Vec<DirectoryEntry>> {
        let mut entries_by_recipient: BTreeMap<String, Vec<DirectoryEntry>> = BTreeMap::new();
        let (mut scanned, mut collected) = (0, 0);
        while scanned < MAX_SCANNED_SESSIONS && collected < MAX_SENT_MESSAGES * MAX_ENTRIES {
            let Some(session) = scan.sessions.pop() else {
                break;
            };
            scanned += 1;
            // The entry may have been removed since the scan started.
            let Some(entry) = self.table.directory_entry(now, session) else {
                continue;
            };
            for recipient in self.recipients(&scan.purpose, session) {
                collected += 1;
                entries_by_recipient
                    .entry(recipient)
                    .or_default()
                    .push(entry);
            }
        }
        entries_by_recipient
    }

    fn send_chunk(
        &mut self,
        now: Micros,
        entries_by_recipient: BTreeMap<String, Vec<DirectoryEntry>>,
    ) {
        let time = self.clock.read(now);
        for (recipient, entries) in entries_by_recipient {
            for chunk in entries.chunks(MAX_ENTRIES) {
                for entry in chunk {
                    self.unacknowledged
                        .track(now, entry.session, vec![recipient.clone()]);
                }
                let update = Message::Update {
                    time,
                    entries: chunk.to_vec(),
                    ack_requested: true,
                };
                self.send(&recipient, update.encode());
            }
        }
    }

    /// Returns the nodes to which a scan sends the entry of a session.
    fn recipients(&self, purpose: &ScanPurpose, session: SessionId) -> Vec<String> {
        match purpose {
            ScanPurpose::Transfer { recipient, .. } => {
                // The local view may not include the recipient yet.
                let is_replica = self.prospective_replicas.is_replica(session, recipient)
                    || !self.prospective_replicas.contains(recipient);
                is_replica.then(|| recipient.clone()).into_iter().collect()
            }
            ScanPurpose::Rebalance(previous) => self.new_replicas(previous, session),
        }
    }

    /// Returns the nodes that have become replicas of a session, if this node is the one to send
    /// them the entry: the first remaining earlier replica, or, if none remains, every node that
    /// has the entry.
    fn new_replicas(&self, previous: &ReplicaSet, session: SessionId) -> Vec<String> {
        let previous_replicas = previous.ranked(session, REPLICATION_FACTOR);
        let sender = previous_replicas
            .iter()
            .find(|name| self.replicas.contains(name));
        if sender.is_some_and(|name| *name != self.local_name) {
            return Vec::new();
        }
        self.replicas
            .ranked(session, REPLICATION_FACTOR)
            .into_iter()
            .filter(|name| !previous_replicas.contains(name) && *name != self.local_name)
            .map(str::to_owned)
            .collect()
    }
}
