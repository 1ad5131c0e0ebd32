//! Rule for requests whose idempotency key a process does not know.
//!
//! One of the two processes has the authority over keys at any time. In the other one, and after a
//! process has died with keys that were not transferred, a run of an unknown key may already have
//! been started elsewhere.

use crate::Micros;

/// What happens to a request whose key is not known to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKeyDecision {
    /// The request is handled as a new one.
    Accept,
    /// The request is rejected as never run: it is a first attempt, so its key has run nowhere.
    Reject,
    /// The request fails: an earlier attempt may have run in a process that can't be asked.
    Fail,
}

/// This process's authority over keys that it does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyAuthority {
    /// The other process has the authority.
    is_remote: bool,
    /// Keys that were lost with the other process may have been run until this time.
    uncertain_until: Option<Micros>,
}

impl KeyAuthority {
    /// Gives the authority to the other process, or back to this one.
    pub fn set_remote(&mut self, is_remote: bool) {
        self.is_remote = is_remote;
    }

    /// Returns the authority to this process after the other one died with keys that are not known
    /// here. No attempt of theirs is a duplicate after `until`.
    pub fn handle_keys_lost(&mut self, until: Micros) {
        self.is_remote = false;
        self.uncertain_until = self.uncertain_until.max(Some(until));
    }

    /// Whether an unknown key may have been run by the other process.
    pub fn is_uncertain(&self, now: Micros) -> bool {
        self.is_remote || self.uncertain_until.is_some_and(|until| now <= until)
    }

    /// Decides about a request whose key is not known here. Where gateways mark every retry
    /// (`retries_are_marked`), an unmarked request is a first attempt; elsewhere any request may be
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
