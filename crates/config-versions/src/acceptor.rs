//! The Paxos acceptor: promises, accepted versions, retired versions, and the state on its disk.
//!
//! Every vote must be durable before it is sent, so each message names the write it depends on. An
//! acceptor whose disk was replaced or restored from a backup has lost votes. It detects this by
//! the disk stamps that its peers have recorded, and then no longer votes.

use crate::message::{AcceptedVersion, Ballot, DiskStamp, Heartbeat, Message, Outgoing};
use crate::version::{is_quorum, Version};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The durable state of an acceptor. Postcard: the order of fields is part of the file format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The stamp of the disk.
    pub disk: DiskStamp,
    /// The incarnation of the process, which grows with each start.
    pub incarnation: u64,
    /// The highest ballot promised: lower ones are rejected.
    pub promised: Ballot,
    /// The version accepted for the number after `newest`, if any.
    pub accepted: Option<AcceptedVersion>,
    /// The newest version known to be decided.
    pub newest: Version,
    /// All versions below this one are retired.
    pub minimum_version: u64,
    /// The latest disk stamp of each other acceptor.
    pub peer_disks: BTreeMap<String, DiskStamp>,
}

/// Whether an acceptor may vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Voting {
    /// The acceptor has restarted and verifies its disk with its peers. These peers have confirmed
    /// the disk.
    Verifying(BTreeSet<String>),
    /// The acceptor votes.
    Enabled,
    /// The acceptor must not vote: its disk does not match this stamp, which a peer has recorded.
    Disabled(DiskStamp),
}

/// A message that must not be sent before a write is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DeferredMessage {
    /// The message.
    pub outgoing: Outgoing,
    /// The number of the write.
    pub after_write: u64,
}

/// A Paxos acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    name: String,
    state: AcceptorState,
    voting: Voting,
    /// The number of the last write requested.
    last_write: u64,
}

impl Acceptor {
    /// Starts an acceptor from the state on its disk. An empty disk is initialized with these
    /// acceptors and this random id.
    ///
    /// The first write, which records the incarnation, is pending from the start.
    pub fn start(
        name: &str,
        stored: Option<AcceptorState>,
        acceptors: &[String],
        disk_id: u64,
    ) -> Acceptor {
        let mut state = stored.unwrap_or_else(|| AcceptorState {
            disk: DiskStamp {
                disk_id,
                vote_count: 0,
            },
            incarnation: 0,
            promised: Ballot::default(),
            accepted: None,
            newest: Version::genesis(acceptors),
            minimum_version: 0,
            peer_disks: BTreeMap::new(),
        });
        state.incarnation += 1;
        Acceptor {
            name: name.to_owned(),
            state,
            voting: Voting::Verifying(BTreeSet::new()),
            last_write: 1,
        }
    }

    /// Returns the state that has to become durable.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Returns the number of the write that makes the current state durable.
    pub fn last_write(&self) -> u64 {
        self.last_write
    }

    /// Returns whether the acceptor may vote.
    pub fn voting(&self) -> &Voting {
        &self.voting
    }

    /// Returns requests to the peers that have not confirmed the disk yet.
    pub fn disk_check_requests(&self) -> Vec<DeferredMessage> {
        let Voting::Verifying(confirmed) = &self.voting else {
            return Vec::new();
        };
        let request = Message::DiskCheckRequest {
            disk: self.state.disk,
        };
        self.peers()
            .filter(|peer| !confirmed.contains(*peer))
            .map(|peer| self.defer(peer, request.clone()))
            .collect()
    }

    /// Returns a heartbeat for this clock reading, to be sent after the last write.
    ///
    /// Returns `None` unless the acceptor votes: its disk may otherwise have lost a retirement.
    pub fn heartbeat(&self, clock: Micros) -> Option<Heartbeat> {
        let latest = self.pending().unwrap_or(&self.state.newest);
        let heartbeat = Heartbeat {
            acceptor: self.name.clone(),
            incarnation: self.state.incarnation,
            clock,
            minimum_version: self.state.minimum_version,
            acceptors_since: latest.acceptors_since,
        };
        (self.voting == Voting::Enabled).then_some(heartbeat)
    }

    /// Returns a ballot above all that this acceptor has promised. It is unique once the first
    /// write is durable, as it contains the incarnation.
    pub fn next_ballot(&self) -> Ballot {
        Ballot {
            round: self.state.promised.round + 1,
            proposer: self.name.clone(),
            incarnation: self.state.incarnation,
        }
    }

    /// Returns the version that this acceptor has accepted and that is not known to be decided.
    pub fn pending(&self) -> Option<&Version> {
        self.state
            .accepted
            .as_ref()
            .map(|accepted| &accepted.version)
    }

    /// Records a decided version.
    pub fn learn(&mut self, version: &Version) {
        if version.number <= self.state.newest.number {
            return;
        }
        self.state.newest = version.clone();
        if self
            .pending()
            .is_some_and(|pending| pending.number <= version.number)
        {
            self.state.accepted = None;
        }
        self.last_write += 1;
    }

    /// Handles a message and returns the messages it causes.
    ///
    /// `has_content` returns whether the content of a version is present: a version is accepted
    /// only if this node can serve its content.
    pub fn handle_message(
        &mut self,
        sender: &str,
        message: &Message,
        has_content: impl Fn(&Version) -> bool,
    ) -> Vec<DeferredMessage> {
        let mut out = Vec::new();
        match message {
            Message::Prepare { ballot, base } => {
                if self.may_vote_on(sender, base, &mut out) {
                    self.handle_prepare(sender, ballot, &mut out);
                }
            }
            Message::Accept {
                ballot,
                base,
                version,
                minimum_version,
            } => {
                if self.may_vote_on(sender, base, &mut out) {
                    if *ballot < self.state.promised {
                        out.push(self.rejection(sender, ballot));
                    } else if has_content(version) {
                        self.accept(sender, ballot, version, *minimum_version, &mut out);
                    }
                }
            }
            Message::Retire {
                minimum_version,
                newest,
            } => {
                self.learn(newest);
                self.handle_retire(sender, *minimum_version, &mut out);
            }
            Message::DiskCheckRequest { disk } => {
                out.push(self.handle_disk_check_request(sender, *disk));
            }
            Message::DiskCheckResponse { recorded, newest } => {
                self.learn(newest);
                self.handle_disk_check_response(sender, *recorded);
            }
            Message::DiskUpdated(disk)
            | Message::Promise { disk, .. }
            | Message::Accepted { disk, .. }
            | Message::Retired { disk, .. } => self.record_disk(sender, *disk),
            Message::Decided(version) => self.learn(version),
            Message::Rejected { .. }
            | Message::NewestRequest
            | Message::ClockRequest { .. }
            | Message::ClockResponse { .. }
            | Message::MinimumVersionRequest { .. }
            | Message::MinimumVersionResponse { .. } => {}
        }
        out
    }

    fn handle_prepare(&mut self, sender: &str, ballot: &Ballot, out: &mut Vec<DeferredMessage>) {
        if *ballot < self.state.promised {
            out.push(self.rejection(sender, ballot));
            return;
        }
        if *ballot > self.state.promised {
            self.state.promised = ballot.clone();
            self.record_vote(out);
        }
        let promise = Message::Promise {
            ballot: ballot.clone(),
            accepted: self.state.accepted.clone(),
            minimum_version: self.state.minimum_version,
            disk: self.state.disk,
        };
        out.push(self.defer(sender, promise));
    }

    fn accept(
        &mut self,
        sender: &str,
        ballot: &Ballot,
        version: &Version,
        minimum_version: u64,
        out: &mut Vec<DeferredMessage>,
    ) {
        let accepted = Some(AcceptedVersion {
            ballot: ballot.clone(),
            version: version.clone(),
        });
        if self.state.accepted != accepted || minimum_version > self.state.minimum_version {
            self.state.promised = ballot.clone();
            self.state.accepted = accepted;
            self.state.minimum_version = self.state.minimum_version.max(minimum_version);
            self.record_vote(out);
        }
        let message = Message::Accepted {
            ballot: ballot.clone(),
            minimum_version: self.state.minimum_version,
            disk: self.state.disk,
        };
        out.push(self.defer(sender, message));
    }

    fn handle_retire(
        &mut self,
        sender: &str,
        minimum_version: u64,
        out: &mut Vec<DeferredMessage>,
    ) {
        if self.voting != Voting::Enabled || minimum_version > self.state.newest.number {
            return;
        }
        if minimum_version > self.state.minimum_version {
            self.state.minimum_version = minimum_version;
            self.record_vote(out);
        }
        let retired = Message::Retired {
            minimum_version: self.state.minimum_version,
            pending: self.pending().cloned(),
            disk: self.state.disk,
        };
        out.push(self.defer(sender, retired));
    }

    fn handle_disk_check_request(&mut self, sender: &str, disk: DiskStamp) -> DeferredMessage {
        let recorded = self
            .state
            .peer_disks
            .get(sender)
            .copied()
            .unwrap_or_default();
        if recorded == DiskStamp::default() {
            self.record_disk(sender, disk);
        }
        let response = Message::DiskCheckResponse {
            recorded,
            newest: self.state.newest.clone(),
        };
        self.defer(sender, response)
    }

    fn handle_disk_check_response(&mut self, sender: &str, recorded: DiskStamp) {
        let disk = self.state.disk;
        let Voting::Verifying(confirmed) = &mut self.voting else {
            return;
        };
        let was_replaced = recorded.disk_id != disk.disk_id;
        let was_restored = recorded.vote_count > disk.vote_count;
        if recorded != DiskStamp::default() && (was_replaced || was_restored) {
            self.voting = Voting::Disabled(recorded);
            return;
        }
        confirmed.insert(sender.to_owned());
        let agrees = |name: &str| name == self.name || confirmed.contains(name);
        if is_quorum(&self.state.newest.acceptors, agrees) {
            self.voting = Voting::Enabled;
        }
    }

    /// Returns whether the acceptor votes and has learned no version newer than the proposal's
    /// base. Learns a newer base, and sends the newest decided version to a sender with an older
    /// base.
    fn may_vote_on(
        &mut self,
        sender: &str,
        base: &Version,
        out: &mut Vec<DeferredMessage>,
    ) -> bool {
        if self.voting != Voting::Enabled {
            return false;
        }
        self.learn(base);
        if base.number < self.state.newest.number {
            out.push(self.defer(sender, Message::Decided(self.state.newest.clone())));
            return false;
        }
        true
    }

    /// Requests a write for a vote, and announces the new disk stamp to the peers.
    fn record_vote(&mut self, out: &mut Vec<DeferredMessage>) {
        self.state.disk.vote_count += 1;
        self.last_write += 1;
        let update = Message::DiskUpdated(self.state.disk);
        out.extend(self.peers().map(|peer| self.defer(peer, update.clone())));
    }

    /// Records the latest disk stamp of a peer.
    fn record_disk(&mut self, peer: &str, disk: DiskStamp) {
        let known = self.state.peer_disks.get(peer).copied().unwrap_or_default();
        // A new disk id replaces the recorded one without further checks: the acceptor announces it
        // only after a quorum has confirmed its disk.
        if disk != known && (disk.disk_id != known.disk_id || disk.vote_count > known.vote_count) {
            self.state.peer_disks.insert(peer.to_owned(), disk);
            self.last_write += 1;
        }
    }

    fn rejection(&self, recipient: &str, ballot: &Ballot) -> DeferredMessage {
        let message = Message::Rejected {
            ballot: ballot.clone(),
            promised: self.state.promised.clone(),
        };
        self.defer(recipient, message)
    }

    fn defer(&self, recipient: &str, message: Message) -> DeferredMessage {
        let outgoing = Outgoing {
            recipient: recipient.to_owned(),
            message,
        };
        DeferredMessage {
            outgoing,
            after_write: self.last_write,
        }
    }

    fn peers(&self) -> impl Iterator<Item = &String> {
        self.state
            .newest
            .acceptors
            .iter()
            .filter(|name| **name != self.name)
    }
}
