//! Decisions on requests whose idempotency key has no entry in a process.
//!
//! One of the two processes of a hot restart has the authority over keys at any time. In the other
//! one, and after a process has exited with keys that were not transferred, a run of an unknown key
//! may already have been started elsewhere.

use crate::Micros;

/// Decision on a request whose key has no entry in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKeyDecision {
    /// The request is handled as a first attempt.
    Accept,
    /// The request is rejected as never run: a first attempt cannot have run anywhere.
    Reject,
    /// The request fails: an earlier attempt may have run in a process whose keys are not
    /// available.
    Fail,
}

/// Authority of this process over unknown keys: those without an entry in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyAuthority {
    /// The other process has the authority.
    is_remote: bool,
    /// Duplicates of keys that were lost with the other process may arrive until this time.
    uncertain_until: Option<Micros>,
}

impl KeyAuthority {
    /// Assigns the authority to the other process, or back to this one.
    pub fn set_remote(&mut self, is_remote: bool) {
        self.is_remote = is_remote;
    }

    /// Returns the authority to this process after the other one exited with keys that were not
    /// transferred. Attempts of such keys that arrive after `until` are no duplicates.
    pub fn handle_keys_lost(&mut self, until: Micros) {
        self.is_remote = false;
        self.uncertain_until = self.uncertain_until.max(Some(until));
    }

    /// Moves the end of the time in which duplicates of lost keys may arrive, if it becomes later.
    pub fn extend_uncertainty(&mut self, until: Micros) {
        self.uncertain_until = self.uncertain_until.max(Some(until));
    }

    /// Whether the other process may have run an unknown key.
    pub fn is_uncertain(&self, now: Micros) -> bool {
        self.is_remote || self.uncertain_until.is_some_and(|until| now <= until)
    }

    /// Decides on a request with an unknown key. Where gateways mark every retry
    /// (`retries_are_marked`), an unmarked request is a first attempt; otherwise any request may be
    /// a retry.
    pub fn decide(
        &self,
        now: Micros,
        is_retry: bool,
        retries_are_marked: bool,
    ) -> UnknownKeyDecision {
        if !self.is_uncertain(now) {
            UnknownKeyDecision::Accept
        } else if is_retry || !retries_are_marked {
            UnknownKeyDecision::Fail
        } else {
            UnknownKeyDecision::Reject
        }
    }
}
