//! State transfer to a node that has just joined: the replicas send it the entries of which it will
//! be a replica, and only then does it answer lookups.

use crate::directory::chunked_scan::ScanPurpose;
use crate::directory::{OutboundMessage, SessionDirectory};
use crate::message::Message;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time without a message from a source after which the request is repeated, in microseconds.
const RETRY_INTERVAL: Micros = 500_000;
/// Time after which the node continues without the missing entries, in microseconds; each of them
/// has another replica.
const TRANSFER_TIMEOUT: Micros = 15_000_000;
/// Maximum number of recorded transfers to other nodes.
const MAX_SERVED_TRANSFERS: usize = 64;

/// A transfer to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ServedTransfer {
    recipient: String,
    token: u64,
}

/// Progress of the transfer to this node, and the transfers that it has served.
#[derive(Clone, Debug)]
pub(super) struct StateTransfer {
    /// Identifies the start of this node's process.
    token: u64,
    started: Micros,
    is_complete: bool,
    /// Nodes that send their entries, with the time of the latest request or message.
    sources: BTreeMap<String, Option<Micros>>,
    /// Sources that have sent all entries.
    completed_sources: BTreeSet<String>,
    has_view_converged: bool,
    served: Vec<ServedTransfer>,
}

impl StateTransfer {
    pub(super) fn new(token: u64, now: Micros) -> StateTransfer {
        StateTransfer {
            token,
            started: now,
            is_complete: false,
            sources: BTreeMap::new(),
            completed_sources: BTreeSet::new(),
            has_view_converged: false,
            served: Vec::new(),
        }
    }

    /// Returns whether the membership view has converged once, so that the nodes to query are
    /// known.
    pub(super) fn is_ready(&self) -> bool {
        self.has_view_converged || self.is_complete
    }

    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Sets the bootstrapped nodes. Nodes that are bootstrapped after the view has converged are
    /// not sources: their entries come from the same sources, and nodes that start together would
    /// wait for each other.
    pub(super) fn set_sources(&mut self, bootstrapped: &BTreeSet<String>, is_view_converged: bool) {
        if !self.has_view_converged {
            for name in bootstrapped {
                self.sources.entry(name.clone()).or_default();
            }
        }
        self.sources.retain(|name, _| bootstrapped.contains(name));
        self.has_view_converged |= is_view_converged;
    }

    /// Records that a source sent an update.
    pub(super) fn record_message(&mut self, now: Micros, sender: &str) {
        if self.is_complete {
            return;
        }
        if let Some(last_contact) = self.sources.get_mut(sender) {
            *last_contact = Some(now);
        }
    }

    /// Records that a source has sent all entries.
    pub(super) fn record_completion(&mut self, token: u64, sender: &str) {
        if token == self.token && !self.is_complete {
            self.completed_sources.insert(sender.to_owned());
        }
    }

    /// Returns when a request has to be repeated or the transfer times out.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        if self.is_complete {
            return None;
        }
        let next_request = self
            .sources
            .iter()
            .filter(|(name, _)| !self.completed_sources.contains(*name))
            .map(|(_, last_contact)| last_contact.map_or(self.started, |at| at + RETRY_INTERVAL))
            .min();
        let timeout = self.started + TRANSFER_TIMEOUT;
        Some(next_request.unwrap_or(Micros::MAX).min(timeout))
    }

    /// Returns the sources to which a request is due, and records it as sent.
    fn take_due_sources(&mut self, now: Micros) -> Vec<String> {
        let mut due = Vec::new();
        for (name, last_contact) in &mut self.sources {
            let is_due = last_contact.is_none_or(|at| now >= at + RETRY_INTERVAL);
            if is_due && !self.completed_sources.contains(name) {
                *last_contact = Some(now);
                due.push(name.clone());
            }
        }
        due
    }

    fn update_completion(&mut self, now: Micros) {
        let has_all = self
            .sources
            .keys()
            .all(|name| self.completed_sources.contains(name));
        let is_timed_out = now >= self.started + TRANSFER_TIMEOUT;
        if self.has_view_converged && has_all || is_timed_out {
            self.is_complete = true;
        }
    }
}

impl SessionDirectory {
    /// Requests missing entries; once none are missing, this node is a replica.
    pub(super) fn run_state_transfer(&mut self, now: Micros) {
        if self.state_transfer.is_complete {
            return;
        }
        let token = self.state_transfer.token;
        for recipient in self.state_transfer.take_due_sources(now) {
            self.outgoing.push(OutboundMessage {
                recipient,
                payload: Message::TransferRequest { token }.encode(),
            });
        }
        self.state_transfer.update_completion(now);
    }

    /// Starts to send a node that has just joined the entries of which it will be a replica.
    pub(super) fn handle_transfer_request(&mut self, now: Micros, sender: &str, token: u64) {
        let transfer = ServedTransfer {
            recipient: sender.to_owned(),
            token,
        };
        if self.state_transfer.served.contains(&transfer) {
            // The completion may have been lost. Lost entries are not sent again: another replica
            // sends them as well.
            if !self.scans.serves_transfer(token) {
                self.send(sender, Message::TransferComplete { token }.encode());
            }
            return;
        }
        self.state_transfer.served.push(transfer);
        if self.state_transfer.served.len() > MAX_SERVED_TRANSFERS {
            self.state_transfer.served.remove(0);
        }
        self.start_scan(
            now,
            ScanPurpose::Transfer {
                recipient: sender.to_owned(),
                token,
            },
        );
    }
}
