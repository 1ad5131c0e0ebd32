//! Operators' commands: propose a version, retire versions, and set the minimum version.

use super::{Event, Node, ProposeError, RetireError};
use crate::acceptor::{Acceptor, Voting};
use crate::proposer::Proposer;
use crate::retirement::Retirement;
use crate::version::{check_acceptor_change, Digest, Version, MAX_CONTENT_BYTES, MAX_REASON_BYTES};
use crate::Micros;

/// How long a proposal may take.
const PROPOSAL_TIMEOUT: Micros = 10_000_000;

/// A version that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The number of the version that the proposal builds on.
    pub base: u64,
    /// The content.
    pub content: Vec<u8>,
    /// The acceptors that decide the next version, if they change.
    pub acceptors: Option<Vec<String>>,
    /// The number of the version that the proposal reverts, if any.
    pub reverts: Option<u64>,
    /// The time of the proposal, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// The reason, one sentence.
    pub reason: String,
}

impl Node {
    /// Starts to propose a version and returns its number. [`Event::ProposalFinished`] reports the
    /// outcome.
    ///
    /// # Errors
    ///
    /// Fails if this node can't propose now, or if the proposal is invalid.
    pub fn propose(&mut self, now: Micros, proposal: Proposal) -> Result<u64, ProposeError> {
        self.check_may_propose()?;
        if proposal.base != self.newest.number {
            return Err(ProposeError::StaleBase(Box::new(self.newest.clone())));
        }
        if self.proposer.is_some() {
            return Err(ProposeError::InProgress);
        }
        let length = proposal.content.len();
        if length > MAX_CONTENT_BYTES {
            return Err(ProposeError::ContentTooLong { length });
        }
        if proposal.reason.is_empty() || proposal.reason.len() > MAX_REASON_BYTES {
            return Err(ProposeError::ReasonLength);
        }
        if let Some(acceptors) = &proposal.acceptors {
            check_acceptor_change(&self.newest.acceptors, acceptors)?;
        }
        let content = proposal.content.as_slice().into();
        let version = self.next_version(proposal);
        let number = version.number;
        self.contents.insert(version.digest, content);
        self.start_proposer(now, Some(version));
        Ok(number)
    }

    fn check_may_propose(&self) -> Result<(), ProposeError> {
        let is_acceptor = self.newest.acceptors.contains(&self.name);
        match self.acceptor.as_ref().map(Acceptor::voting) {
            Some(Voting::Disabled(_)) => Err(ProposeError::DiskMismatch),
            Some(Voting::Enabled) if is_acceptor && self.writes.is_incarnation_durable() => Ok(()),
            Some(_) if is_acceptor => Err(ProposeError::NotReady),
            _ => Err(ProposeError::NotAcceptor {
                acceptors: self.newest.acceptors.clone(),
            }),
        }
    }

    fn next_version(&mut self, proposal: Proposal) -> Version {
        let number = self.newest.number + 1;
        let acceptors = proposal
            .acceptors
            .unwrap_or_else(|| self.newest.acceptors.clone());
        let acceptors_since = if acceptors == self.newest.acceptors {
            self.newest.acceptors_since
        } else {
            number
        };
        Version {
            number,
            digest: Digest::of(&proposal.content),
            length: proposal.content.len() as u32,
            acceptors,
            acceptors_since,
            reverts: proposal.reverts,
            nonce: self.rng.u64(..),
            proposer: self.name.clone(),
            proposed_at_ms: proposal.proposed_at_ms,
            reason: proposal.reason,
        }
    }

    /// Starts to propose a version, or to complete a pending one if there is none to propose.
    pub(super) fn start_proposer(&mut self, now: Micros, proposal: Option<Version>) {
        if let Some(acceptor) = &self.acceptor {
            self.proposer = Some(Proposer::new(
                self.newest.clone(),
                proposal,
                acceptor.next_ballot(),
                now,
                now + PROPOSAL_TIMEOUT,
            ));
        }
    }

    /// Starts to retire all versions below a minimum. [`Event::Retired`] reports completion.
    ///
    /// # Errors
    ///
    /// Fails if the minimum is 0 or above the newest version, if this node is not an acceptor, and
    /// if a retirement with a higher minimum was started here.
    pub fn retire_below(&mut self, now: Micros, minimum_version: u64) -> Result<(), RetireError> {
        if minimum_version == 0 || minimum_version > self.newest.number {
            return Err(RetireError::OutOfRange {
                newest: self.newest.number,
            });
        }
        if self.acceptor.is_none() || !self.newest.acceptors.contains(&self.name) {
            return Err(RetireError::NotAcceptor {
                acceptors: self.newest.acceptors.clone(),
            });
        }
        let current = self.retirement.as_ref().map(Retirement::minimum_version);
        match current {
            Some(current) if current > minimum_version => Err(RetireError::HigherMinimum {
                minimum_version: current,
            }),
            Some(current) if current == minimum_version => Ok(()),
            _ => {
                let newest = self.newest.clone();
                self.retirement = Some(Retirement::new(minimum_version, newest, now));
                Ok(())
            }
        }
    }

    /// Sets the node's minimum version. The new one may be lower.
    pub fn set_minimum_version(&mut self, minimum_version: u64) {
        self.minimum_version.set_by_operator(minimum_version);
        self.emit(Event::MinimumVersionKnown { minimum_version });
    }
}
