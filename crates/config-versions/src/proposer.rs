//! The Paxos proposer: runs ballots until a version is decided for one number or the deadline
//! passes.

use crate::message::{AcceptedVersion, Ballot, Message, Outgoing};
use crate::version::{is_quorum, Version};
use crate::Micros;
use std::collections::BTreeMap;

/// The interval between retries of a request.
const RETRY_INTERVAL: Micros = 200_000;
/// The back-off after a rejection, multiplied by the number of rejections so far. A random duration
/// up to the same length is added.
const BACK_OFF: Micros = 100_000;
/// The maximum back-off before the random addition.
const MAX_BACK_OFF: Micros = 2_000_000;

/// The result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The proposed version was decided.
    Decided(Version),
    /// Another version was decided.
    OtherDecided(Version),
    /// No quorum answered in time. The number may still be decided, with this or another version.
    Undecided {
        /// The acceptors that had accepted the version.
        accepted_by: Vec<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Phase 1: the promises received, each with what the acceptor has accepted.
    Preparing(BTreeMap<String, Option<AcceptedVersion>>),
    /// Phase 2: the version, and the minimum version of each acceptor that has accepted it.
    Accepting(Version, BTreeMap<String, u64>),
    /// After a rejection: the next ballot starts at this time.
    BackingOff(Micros),
}

/// A proposal in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    base: Version,
    /// The version to propose. `None` if this proposer only completes a version that another one
    /// has proposed.
    proposal: Option<Version>,
    ballot: Ballot,
    rejections: u32,
    stage: Stage,
    /// The highest minimum version that any acceptor reported.
    minimum_version: u64,
    next_retry: Micros,
    deadline: Micros,
}

impl Proposer {
    /// Starts a proposal on top of a decided version, with a ballot that was not used before.
    pub fn new(
        base: Version,
        proposal: Option<Version>,
        ballot: Ballot,
        now: Micros,
        deadline: Micros,
    ) -> Proposer {
        Proposer {
            base,
            proposal,
            ballot,
            rejections: 0,
            stage: Stage::Preparing(BTreeMap::new()),
            minimum_version: 0,
            next_retry: now,
            deadline,
        }
    }

    /// Returns when to call [`Proposer::handle_timeout`].
    pub fn next_wakeup(&self) -> Micros {
        match self.stage {
            Stage::BackingOff(until) => until.min(self.deadline),
            _ => self.next_retry.min(self.deadline),
        }
    }

    /// Returns whether the proposer is backing off after a rejection.
    pub fn is_backing_off(&self) -> bool {
        matches!(self.stage, Stage::BackingOff(_))
    }

    /// Returns the round of the current ballot.
    pub fn round(&self) -> u64 {
        self.ballot.round
    }

    /// Returns the acceptors that have accepted the version in the current ballot.
    fn accepted_by(&self) -> Vec<String> {
        match &self.stage {
            Stage::Accepting(_, accepted_by) => accepted_by.keys().cloned().collect(),
            Stage::Preparing(_) | Stage::BackingOff(_) => Vec::new(),
        }
    }

    /// Starts the next ballot after a back-off, retries requests, and ends at the deadline.
    pub fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Outgoing>) -> Option<Outcome> {
        if now >= self.deadline {
            return Some(Outcome::Undecided {
                accepted_by: self.accepted_by(),
            });
        }
        if matches!(self.stage, Stage::BackingOff(until) if now >= until) {
            self.stage = Stage::Preparing(BTreeMap::new());
            self.next_retry = now;
        }
        if now >= self.next_retry && !self.is_backing_off() {
            self.next_retry = now + RETRY_INTERVAL;
            self.send_requests(out);
        }
        None
    }

    /// Handles an acceptor's response. `jitter` is a random number from 0 to 1.
    pub fn handle_message(
        &mut self,
        now: Micros,
        sender: &str,
        message: &Message,
        jitter: f64,
        out: &mut Vec<Outgoing>,
    ) -> Option<Outcome> {
        match message {
            Message::Promise {
                ballot,
                accepted,
                minimum_version,
                ..
            } if *ballot == self.ballot => {
                self.handle_promise(now, sender, accepted.as_ref(), *minimum_version, out)
            }
            Message::Accepted {
                ballot,
                minimum_version,
                ..
            } if *ballot == self.ballot => self.handle_accepted(sender, *minimum_version, out),
            Message::Rejected { ballot, promised }
                if *ballot == self.ballot && *promised > self.ballot =>
            {
                self.handle_rejected(now, promised, jitter);
                None
            }
            Message::Decided(version) if version.number > self.base.number => {
                Some(self.outcome_of(version.clone()))
            }
            _ => None,
        }
    }

    fn handle_promise(
        &mut self,
        now: Micros,
        sender: &str,
        accepted: Option<&AcceptedVersion>,
        minimum_version: u64,
        out: &mut Vec<Outgoing>,
    ) -> Option<Outcome> {
        let Stage::Preparing(promises) = &mut self.stage else {
            return None;
        };
        promises.insert(sender.to_owned(), accepted.cloned());
        self.minimum_version = self.minimum_version.max(minimum_version);
        if !is_quorum(&self.base.acceptors, |name| promises.contains_key(name)) {
            return None;
        }
        // The version accepted in the highest ballot may have been decided; no other can be.
        let latest = promises
            .values()
            .flatten()
            .max_by(|a, b| a.ballot.cmp(&b.ballot))
            .map(|accepted| accepted.version.clone());
        let Some(version) = latest.or(self.proposal.clone()) else {
            return Some(Outcome::OtherDecided(self.base.clone()));
        };
        self.stage = Stage::Accepting(version, BTreeMap::new());
        self.next_retry = now + RETRY_INTERVAL;
        self.send_requests(out);
        None
    }

    fn handle_accepted(
        &mut self,
        sender: &str,
        minimum_version: u64,
        out: &mut Vec<Outgoing>,
    ) -> Option<Outcome> {
        let Stage::Accepting(version, accepted_by) = &mut self.stage else {
            return None;
        };
        accepted_by.insert(sender.to_owned(), minimum_version);
        self.minimum_version = self.minimum_version.max(minimum_version);
        // Before a quorum of the new acceptors may renew leases, it must have retired all versions
        // that a quorum of the old ones has retired.
        let has_retired = |name: &str| {
            accepted_by
                .get(name)
                .is_some_and(|minimum| *minimum >= self.minimum_version)
        };
        let is_decided = is_quorum(&self.base.acceptors, |name| accepted_by.contains_key(name))
            && is_quorum(&version.acceptors, has_retired);
        if !is_decided {
            return None;
        }
        let version = version.clone();
        let recipients = self.base.acceptors.iter().chain(&version.acceptors);
        out.extend(recipients.map(|name| Outgoing {
            recipient: name.clone(),
            message: Message::Decided(version.clone()),
        }));
        Some(self.outcome_of(version))
    }

    fn handle_rejected(&mut self, now: Micros, promised: &Ballot, jitter: f64) {
        if self.is_backing_off() {
            return;
        }
        self.rejections += 1;
        self.ballot.round = promised.round + 1;
        let back_off = (BACK_OFF * Micros::from(self.rejections)).min(MAX_BACK_OFF);
        let random = (back_off as f64 * jitter) as Micros;
        self.stage = Stage::BackingOff(now + back_off + random);
    }

    /// Sends the current phase's request to each acceptor that has not answered it.
    fn send_requests(&self, out: &mut Vec<Outgoing>) {
        match &self.stage {
            Stage::Preparing(promises) => self.send_prepare(promises, out),
            Stage::Accepting(version, accepted_by) => self.send_accept(version, accepted_by, out),
            Stage::BackingOff(_) => {}
        }
    }

    fn send_prepare(
        &self,
        promises: &BTreeMap<String, Option<AcceptedVersion>>,
        out: &mut Vec<Outgoing>,
    ) {
        let recipients = self
            .base
            .acceptors
            .iter()
            .filter(|name| !promises.contains_key(*name));
        out.extend(recipients.map(|name| Outgoing {
            recipient: name.clone(),
            message: Message::Prepare {
                ballot: self.ballot.clone(),
                base: self.base.clone(),
            },
        }));
    }

    fn send_accept(
        &self,
        version: &Version,
        accepted_by: &BTreeMap<String, u64>,
        out: &mut Vec<Outgoing>,
    ) {
        let added = version
            .acceptors
            .iter()
            .filter(|name| !self.base.acceptors.contains(name));
        let recipients = self.base.acceptors.iter().chain(added).filter(|name| {
            accepted_by
                .get(*name)
                .is_none_or(|minimum| *minimum < self.minimum_version)
        });
        out.extend(recipients.map(|name| Outgoing {
            recipient: name.clone(),
            message: Message::Accept {
                ballot: self.ballot.clone(),
                base: self.base.clone(),
                version: version.clone(),
                minimum_version: self.minimum_version,
            },
        }));
    }

    fn outcome_of(&self, decided: Version) -> Outcome {
        if self.proposal.as_ref() == Some(&decided) {
            Outcome::Decided(decided)
        } else {
            Outcome::OtherDecided(decided)
        }
    }
}
