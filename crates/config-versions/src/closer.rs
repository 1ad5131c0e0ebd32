//! Closing: a majority of electors closes versions, and once every lease on them has run out,
//! nobody acts on them.

use crate::lease::Rates;
use crate::message::Message;
use crate::version::{majority, Version};
use crate::Micros;
use std::collections::BTreeSet;

/// Requests are sent again after so long.
const AGAIN: Micros = 200_000;

/// How far it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// These electors have closed.
    Asking(BTreeSet<String>),
    /// A majority has; leases may last until then.
    Waiting(Micros),
    /// No lease is left.
    Closed,
}

/// Versions that are being closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Closer {
    floor: u64,
    newest: Version,
    /// Electors that may come, by what an elector has accepted.
    pending: Option<Version>,
    stage: Stage,
    again: Micros,
}

impl Closer {
    /// Begins to close all versions below this one, which is the newest or before it.
    pub fn new(floor: u64, newest: Version, now: Micros) -> Closer {
        Closer {
            floor,
            newest,
            pending: None,
            stage: Stage::Asking(BTreeSet::new()),
            again: now,
        }
    }

    /// All versions below this one.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// How far it is.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// A newer version was decided: its electors count from now on.
    pub fn decided(&mut self, version: &Version) {
        if version.number > self.newest.number {
            self.newest = version.clone();
            if self
                .pending
                .as_ref()
                .is_some_and(|p| p.number <= version.number)
            {
                self.pending = None;
            }
        }
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Option<Micros> {
        match self.stage {
            Stage::Asking(_) => Some(self.again),
            Stage::Waiting(until) => Some(until),
            Stage::Closed => None,
        }
    }

    /// It is time. Whether the promise holds from now on.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<(String, Message)>) -> bool {
        match &self.stage {
            Stage::Waiting(until) if now >= *until => {
                self.stage = Stage::Closed;
                return true;
            }
            Stage::Asking(heard) if now >= self.again => {
                self.again = now + AGAIN;
                let more = self.pending.iter().flat_map(|p| &p.electors);
                let more = more.filter(|e| !self.newest.electors.contains(e));
                let silent = self
                    .newest
                    .electors
                    .iter()
                    .chain(more)
                    .filter(|e| !heard.contains(*e));
                let message = Message::Close {
                    floor: self.floor,
                    newest: self.newest.clone(),
                };
                out.extend(silent.map(|e| (e.clone(), message.clone())));
            }
            _ => {}
        }
        false
    }

    /// An elector has closed them.
    pub fn hear(
        &mut self,
        now: Micros,
        from: &str,
        message: &Message,
        lease: Micros,
        rates: Rates,
    ) {
        let Message::Closed { floor, pending, .. } = message else {
            return;
        };
        let Stage::Asking(heard) = &mut self.stage else {
            return;
        };
        if *floor < self.floor {
            return;
        }
        if let Some(version) = pending
            .as_ref()
            .filter(|p| p.number == self.newest.number + 1)
        {
            // It may have been decided already, and its electors may renew leases.
            self.pending = Some(version.clone());
        }
        heard.insert(from.to_owned());
        let closed = |electors: &[String]| majority(electors, |e| heard.contains(e));
        if closed(&self.newest.electors)
            && self.pending.as_ref().is_none_or(|p| closed(&p.electors))
        {
            // Every lease that a majority renews from now on leaves them out; the others began
            // before now.
            self.stage = Stage::Waiting(now + rates.longest(lease));
        }
    }
}
