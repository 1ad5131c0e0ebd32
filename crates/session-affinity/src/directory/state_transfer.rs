//! A node that has just come is filled before it is anybody's home: each that is one sends it what
//! it is to remember.

use super::chunked_scan::ScanPurpose;
use super::SessionDirectory;
use crate::message::Message;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// It is asked again after so long without a word, in microseconds.
const AGAIN: Micros = 500_000;
/// After so long a node does without what is missing: each session has another home.
const LONGEST: Micros = 15_000_000;
/// Starts that were served, of the last ones.
const SERVED: usize = 64;

/// How far it is.
#[derive(Clone, Debug)]
pub(super) struct StateTransfer {
    token: u64,
    begun: Micros,
    done: bool,
    /// Those that have what it wants, and when one was last asked or heard.
    wanted: BTreeMap<String, Option<Micros>>,
    answered: BTreeSet<String>,
    settled: bool,
    /// Starts of others that were served.
    served: Vec<(String, u64)>,
}

impl StateTransfer {
    pub(super) fn new(token: u64, now: Micros) -> StateTransfer {
        StateTransfer {
            token,
            begun: now,
            done: false,
            wanted: BTreeMap::new(),
            answered: BTreeSet::new(),
            settled: false,
            served: Vec::new(),
        }
    }

    /// Whether it has seen a view that was at rest.
    pub(super) fn ready(&self) -> bool {
        self.settled || self.done
    }

    pub(super) fn done(&self) -> bool {
        self.done
    }

    pub(super) fn view(&mut self, filled: BTreeSet<String>, settled: bool) {
        // Once a view has come to rest nobody else is wanted: whoever is filled later has it from
        // these, and hears what is new as this node does. Many that start together would wait for
        // each other.
        if !self.settled {
            for name in &filled {
                self.wanted.entry(name.clone()).or_default();
            }
        }
        self.wanted.retain(|n, _| filled.contains(n));
        // A view that is not at rest may lack those that know all.
        self.settled |= settled;
    }

    pub(super) fn heard(&mut self, now: Micros, from: &str) {
        if let Some(at) = self.wanted.get_mut(from).filter(|_| !self.done) {
            *at = Some(now);
        }
    }

    pub(super) fn answered(&mut self, token: u64, from: &str) {
        if token == self.token && !self.done {
            self.answered.insert(from.to_owned());
        }
    }

    pub(super) fn next(&self) -> Option<Micros> {
        if self.done {
            return None;
        }
        let open = self
            .wanted
            .iter()
            .filter(|(n, _)| !self.answered.contains(*n));
        let again = open
            .map(|(_, at)| at.map_or(self.begun, |at| at + AGAIN))
            .min();
        Some(again.unwrap_or(Micros::MAX).min(self.begun + LONGEST))
    }
}

impl SessionDirectory {
    /// Asks for what is missing; once nothing is, this node is a home.
    pub(super) fn filling(&mut self, now: Micros) {
        if self.fill.done {
            return;
        }
        let fill = &mut self.fill;
        for (name, at) in &mut fill.wanted {
            if !fill.answered.contains(name) && at.is_none_or(|at| now >= at + AGAIN) {
                *at = Some(now);
                self.out.push((
                    name.clone(),
                    Message::TransferRequest { token: fill.token }.encode(),
                ));
            }
        }
        let all = fill.wanted.keys().all(|n| fill.answered.contains(n));
        let long = now >= fill.begun + LONGEST;
        if fill.settled && all || long {
            fill.done = true;
        }
    }

    /// One that has just come wants what it is to remember.
    pub(super) fn fill_other(&mut self, now: Micros, from: &str, token: u64) {
        let start = (from.to_owned(), token);
        if self.fill.served.contains(&start) {
            // The word that it has all may be lost, not that it was sent.
            if !self.jobs.iter().any(|job| job.serves(token)) {
                self.out
                    .push((start.0, Message::TransferComplete { token }.encode()));
            }
            return;
        }
        // Another home of a session sends it as well: that is for losses on the way.
        self.fill.served.push(start);
        if self.fill.served.len() > SERVED {
            self.fill.served.remove(0);
        }
        self.send_all(
            now,
            ScanPurpose::Transfer {
                to: from.to_owned(),
                token,
            },
        );
    }
}
