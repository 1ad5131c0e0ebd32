//! Many sessions on their way to other nodes: all that is remembered is looked through piece by
//! piece, as requests wait meanwhile.

use super::SessionDirectory;
use crate::message::{Entry, Message, MAX_ENTRIES};
use crate::replicas::{ReplicaSet, REPLICATION_FACTOR};
use crate::{Micros, Session};
use std::collections::BTreeMap;

/// Pieces are so far apart, in microseconds.
const PAUSE: Micros = 5_000;
/// Sessions that are looked at in one piece, and messages that go out with it, about.
const LOOKED: usize = 2_000;
const SENT: usize = 12;

/// What is sent, and to whom.
#[derive(Clone, Debug)]
pub(super) enum ScanPurpose {
    /// All that a newcomer is to remember, to it; this is the start of it that is served.
    Transfer {
        /// Its name.
        to: String,
        /// Its start.
        token: u64,
    },
    /// What the homes of a session had before, to those that are new among them.
    Spread(ReplicaSet),
}

/// An errand, and what is still to be looked at.
#[derive(Clone, Debug)]
pub(super) struct ScanJob {
    errand: ScanPurpose,
    sessions: Vec<Session>,
}

impl ScanJob {
    /// Whether it serves this start of a newcomer.
    pub(super) fn serves(&self, start: u64) -> bool {
        matches!(self.errand, ScanPurpose::Transfer { token, .. } if token == start)
    }
}

impl SessionDirectory {
    /// All that is remembered now is looked through.
    pub(super) fn send_all(&mut self, now: Micros, errand: ScanPurpose) {
        let sessions = self.table.iter(now).map(|(session, ..)| session).collect();
        self.jobs.push_back(ScanJob { errand, sessions });
    }

    /// The homes have changed: those that are new hear what they are to remember, each from one
    /// that had it.
    pub(super) fn spread(&mut self, now: Micros, before: ReplicaSet) {
        if !self.table.is_empty() {
            self.send_all(now, ScanPurpose::Spread(before));
        }
    }

    /// Does the next piece.
    pub(super) fn pieces(&mut self, now: Micros) {
        if now < self.next_piece {
            return;
        }
        let Some(mut job) = self.jobs.pop_front() else {
            return;
        };
        self.next_piece = now + PAUSE;
        let mut to: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
        let (mut looked, mut sent) = (0, 0);
        while looked < LOOKED && sent < SENT * MAX_ENTRIES {
            let Some(session) = job.sessions.pop() else {
                break;
            };
            looked += 1;
            // It may have been forgotten meanwhile.
            let Some(entry) = self.table.directory_entry(now, session) else {
                continue;
            };
            for home in self.owes(&job.errand, session) {
                sent += 1;
                to.entry(home).or_default().push(entry);
            }
        }
        let time = self.time.read(now);
        for (home, entries) in to {
            for entries in entries.chunks(MAX_ENTRIES) {
                entries
                    .iter()
                    .for_each(|e| self.owed.track(now, e.0, vec![home.clone()]));
                let message = Message::Update {
                    time,
                    entries: entries.to_vec(),
                    ack_requested: true,
                };
                self.out.push((home.clone(), message.encode()));
            }
        }
        match job.errand {
            _ if !job.sessions.is_empty() => self.jobs.push_front(job),
            ScanPurpose::Transfer { to, token } => self
                .out
                .push((to, Message::TransferComplete { token }.encode())),
            ScanPurpose::Spread(_) => {}
        }
    }

    /// Who is to be told of a session on an errand.
    fn owes(&self, errand: &ScanPurpose, session: Session) -> Vec<String> {
        match errand {
            // Another home of a session sends it as well: that is for losses on the way. And it may
            // be that the view here has the newcomer not yet.
            ScanPurpose::Transfer { to, .. } => {
                let wanted = self.coming.is_replica(session, to) || !self.coming.contains(to);
                wanted.then(|| to.clone()).into_iter().collect()
            }
            ScanPurpose::Spread(before) => {
                let had = before.ranked(session, REPLICATION_FACTOR);
                // Of those that had it the first one that is left says so; if none is, whoever has
                // it for its own clients.
                let left = had.iter().find(|h| self.homes.contains(h));
                if left.is_some_and(|h| *h != self.name) {
                    return Vec::new();
                }
                let have = self.homes.ranked(session, REPLICATION_FACTOR).into_iter();
                have.filter(|h| !had.contains(h) && *h != self.name)
                    .map(str::to_owned)
                    .collect()
            }
        }
    }
}
