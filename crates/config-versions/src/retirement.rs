//! Version retirement: a quorum of acceptors stops renewing leases on old versions. Once every
//! lease has expired, no node acts on them.

use crate::lease::ClockDrift;
use crate::message::{Message, Outgoing};
use crate::version::{is_quorum, Version};
use crate::Micros;
use std::collections::BTreeSet;

/// The interval between retries of a request.
const RETRY_INTERVAL: Micros = 200_000;

/// The progress of a retirement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// These acceptors have retired the versions so far; a quorum is needed.
    Requesting(BTreeSet<String>),
    /// A quorum has retired them. Leases may last until this time.
    AwaitingExpiry(Micros),
    /// All leases have expired.
    Complete,
}

/// A retirement of all versions below a minimum.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Retirement {
    minimum_version: u64,
    newest: Version,
    /// A version that an acceptor has accepted after the newest: if it is decided, its acceptors
    /// may renew leases.
    pending: Option<Version>,
    stage: Stage,
    next_retry: Micros,
}

impl Retirement {
    /// Starts to retire all versions below a minimum, which must not exceed the newest version.
    pub fn new(minimum_version: u64, newest: Version, now: Micros) -> Retirement {
        Retirement {
            minimum_version,
            newest,
            pending: None,
            stage: Stage::Requesting(BTreeSet::new()),
            next_retry: now,
        }
    }

    /// Returns the minimum version: all versions below it are to be retired.
    pub fn minimum_version(&self) -> u64 {
        self.minimum_version
    }

    /// Returns the progress of the retirement.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Records a newer decided version, whose acceptors form the quorum from now on.
    pub fn learn(&mut self, version: &Version) {
        if version.number <= self.newest.number {
            return;
        }
        self.newest = version.clone();
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.number <= version.number)
        {
            self.pending = None;
        }
    }

    /// Returns when to call [`Retirement::handle_timeout`], if ever.
    pub fn next_wakeup(&self) -> Option<Micros> {
        match self.stage {
            Stage::Requesting(_) => Some(self.next_retry),
            Stage::AwaitingExpiry(until) => Some(until),
            Stage::Complete => None,
        }
    }

    /// Retries requests, and returns whether the retirement became complete.
    pub fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Outgoing>) -> bool {
        match &self.stage {
            Stage::AwaitingExpiry(until) if now >= *until => {
                self.stage = Stage::Complete;
                true
            }
            Stage::Requesting(retired_by) if now >= self.next_retry => {
                self.next_retry = now + RETRY_INTERVAL;
                self.request(retired_by, out);
                false
            }
            _ => false,
        }
    }

    /// Sends a request to each acceptor that has not answered.
    fn request(&self, retired_by: &BTreeSet<String>, out: &mut Vec<Outgoing>) {
        let added = self
            .pending
            .iter()
            .flat_map(|pending| &pending.acceptors)
            .filter(|name| !self.newest.acceptors.contains(name));
        let recipients = self
            .newest
            .acceptors
            .iter()
            .chain(added)
            .filter(|name| !retired_by.contains(*name));
        out.extend(recipients.map(|name| Outgoing {
            recipient: name.clone(),
            message: Message::Retire {
                minimum_version: self.minimum_version,
                newest: self.newest.clone(),
            },
        }));
    }

    /// Handles a [`Message::Retired`] and ignores other messages.
    pub fn handle_message(
        &mut self,
        now: Micros,
        sender: &str,
        message: &Message,
        lease: Micros,
        drift: ClockDrift,
    ) {
        let Message::Retired {
            minimum_version,
            pending,
            ..
        } = message
        else {
            return;
        };
        let Stage::Requesting(retired_by) = &mut self.stage else {
            return;
        };
        if *minimum_version < self.minimum_version {
            return;
        }
        if let Some(version) = pending
            .as_ref()
            .filter(|pending| pending.number == self.newest.number + 1)
        {
            // This version may be decided already, in which case its acceptors may renew leases.
            self.pending = Some(version.clone());
        }
        retired_by.insert(sender.to_owned());
        let is_retired =
            |acceptors: &[String]| is_quorum(acceptors, |name| retired_by.contains(name));
        if is_retired(&self.newest.acceptors)
            && self
                .pending
                .as_ref()
                .is_none_or(|pending| is_retired(&pending.acceptors))
        {
            // No lease on these versions is renewed from now on: any quorum that could renew one
            // includes an acceptor that has retired them.
            self.stage = Stage::AwaitingExpiry(now + drift.max_elapsed(lease));
        }
    }
}
