//! Messages and gossip from other members.

use super::{Event, Node};
use crate::acceptor::{Acceptor, DeferredMessage, Voting};
use crate::lease::ClockReading;
use crate::message::{GossipPayload, Message, Outgoing};
use crate::proposer::Outcome;
use crate::version::{is_quorum, Version};
use crate::Micros;

impl Node {
    /// Returns the payload to piggyback on messages of the membership protocol.
    pub fn gossip(&self) -> GossipPayload {
        GossipPayload {
            newest: self.newest.number,
            heartbeats: self.leases.heartbeats(&self.newest.acceptors),
        }
    }

    /// Handles the gossip payload of any member.
    pub fn handle_gossip(&mut self, now: Micros, gossip: &GossipPayload) {
        for heartbeat in &gossip.heartbeats {
            self.leases
                .record_heartbeat(heartbeat, &self.newest.acceptors);
        }
        self.request_newest(now, gossip.newest);
    }

    /// Handles a message.
    pub fn handle_message(&mut self, now: Micros, sender: &str, message: &Message) {
        // A message with this node's name as the sender is forged: the node delivers messages to
        // itself within the process.
        if sender == self.name {
            return;
        }
        self.dispatch(now, sender, message);
        self.deliver_to_self(now);
    }

    /// Delivers the messages that this node has addressed to itself, and those that result.
    pub(super) fn deliver_to_self(&mut self, now: Micros) {
        while let Some(position) = self.outgoing.iter().position(|o| o.recipient == self.name) {
            let Outgoing { recipient, message } = self.outgoing.remove(position);
            self.dispatch(now, &recipient, &message);
        }
    }

    fn dispatch(&mut self, now: Micros, sender: &str, message: &Message) {
        let allows_any_sender = matches!(
            message,
            Message::NewestRequest
                | Message::Decided(_)
                | Message::ClockRequest { .. }
                | Message::MinimumVersionRequest { .. }
        );
        if !allows_any_sender && sender != self.name && !self.is_acceptor(sender) {
            return;
        }
        self.handle_as_learner(now, sender, message);
        self.pass_to_acceptor(now, sender, message);
        self.pass_to_proposer(now, sender, message);
        if let Some(retirement) = &mut self.retirement {
            retirement.handle_message(now, sender, message, self.settings.lease, self.drift);
        }
    }

    fn is_acceptor(&self, name: &str) -> bool {
        self.newest.acceptors.iter().any(|known| known == name)
    }

    /// Handles the messages that every node handles, whether or not it is an acceptor.
    fn handle_as_learner(&mut self, now: Micros, sender: &str, message: &Message) {
        match message {
            Message::NewestRequest => self.send(sender, Message::Decided(self.newest.clone())),
            Message::ClockRequest { requested_at } => {
                self.send_clock(now, sender, *requested_at);
            }
            // A response from the future is forged, or meant for an earlier process.
            Message::ClockResponse {
                requested_at,
                incarnation,
                clock,
            } if *requested_at <= now => {
                let reading = ClockReading {
                    incarnation: *incarnation,
                    remote: *clock,
                    requested_at: *requested_at,
                };
                self.leases
                    .record_clock(sender, reading, &self.newest.acceptors);
            }
            Message::Decided(version) => self.learn(now, sender, version),
            Message::MinimumVersionRequest { nonce } => self.send_minimum_version(sender, *nonce),
            Message::MinimumVersionResponse {
                nonce,
                newest,
                highest,
            } if *nonce == self.minimum_version.nonce() => {
                // The newest version first: the sender may no longer be an acceptor.
                self.learn(now, sender, newest);
                self.handle_minimum_version(sender, *nonce, *highest);
            }
            _ => {}
        }
    }

    fn send_clock(&mut self, now: Micros, recipient: &str, requested_at: Micros) {
        let Some(acceptor) = &self.acceptor else {
            return;
        };
        if !self.writes.is_durable(acceptor.last_write()) {
            return;
        }
        if let Some(heartbeat) = acceptor.heartbeat(now) {
            let response = Message::ClockResponse {
                requested_at,
                incarnation: heartbeat.incarnation,
                clock: heartbeat.clock,
            };
            self.send(recipient, response);
        }
    }

    fn send_minimum_version(&mut self, recipient: &str, nonce: u64) {
        let Some(acceptor) = self
            .acceptor
            .as_ref()
            .filter(|acceptor| *acceptor.voting() == Voting::Enabled)
        else {
            return;
        };
        let newest = acceptor.state().newest.clone();
        let highest = acceptor
            .pending()
            .map_or(newest.number, |pending| pending.number.max(newest.number));
        let outgoing = Outgoing {
            recipient: recipient.to_owned(),
            message: Message::MinimumVersionResponse {
                nonce,
                newest,
                highest,
            },
        };
        let after_write = acceptor.last_write();
        self.send_deferred(DeferredMessage {
            outgoing,
            after_write,
        });
    }

    fn handle_minimum_version(&mut self, sender: &str, nonce: u64, highest: u64) {
        let became_known =
            self.minimum_version
                .handle_response(sender, nonce, highest, &self.newest.acceptors);
        if became_known {
            self.emit(Event::MinimumVersionKnown {
                minimum_version: self.minimum_version.number(),
            });
        }
    }

    fn pass_to_acceptor(&mut self, now: Micros, sender: &str, message: &Message) {
        // `learn` passes a decided version to the acceptor once a quorum has confirmed it.
        if matches!(message, Message::Decided(_)) {
            return;
        }
        let Some(acceptor) = &mut self.acceptor else {
            return;
        };
        let contents = &self.contents;
        let was_disabled = matches!(acceptor.voting(), Voting::Disabled(_));
        let replies =
            acceptor.handle_message(sender, message, |version| contents.contains(version.digest));
        let is_disabled = matches!(acceptor.voting(), Voting::Disabled(_));
        let newest = acceptor.state().newest.clone();
        for reply in replies {
            self.send_deferred(reply);
        }
        if is_disabled && !was_disabled {
            self.emit(Event::DiskMismatch);
        }
        self.learn_own(now, &newest);
        // A version is accepted only once its content is present, so the proposer's retry succeeds.
        if let Message::Accept { version, .. } = message {
            self.fetch_content(now, version.digest, sender);
        }
    }

    fn pass_to_proposer(&mut self, now: Micros, sender: &str, message: &Message) {
        let jitter = self.rng.f64();
        let Some(proposer) = &mut self.proposer else {
            return;
        };
        let outcome = proposer.handle_message(now, sender, message, jitter, &mut self.outgoing);
        if let Some(outcome) = outcome {
            self.finish_proposal(now, outcome);
        }
    }

    /// Ends the proposal in progress.
    pub(super) fn finish_proposal(&mut self, now: Micros, outcome: Outcome) {
        self.proposer = None;
        if let Outcome::Decided(version) | Outcome::OtherDecided(version) = &outcome {
            self.learn_own(now, version);
        }
        self.emit(Event::ProposalFinished(outcome));
    }

    /// Requests the newest version from the acceptors because a member has advertised a newer one.
    /// Any member can advertise a false number, so requests are rate-limited.
    fn request_newest(&mut self, now: Micros, advertised: u64) {
        if advertised <= self.newest.number || !self.timers.may_request_newest(now) {
            return;
        }
        for acceptor in self.newest.acceptors.clone() {
            if acceptor != self.name {
                self.send(&acceptor, Message::NewestRequest);
            }
        }
    }

    /// Learns a version that this node's own acceptor or proposer has found to be decided.
    pub(super) fn learn_own(&mut self, now: Micros, version: &Version) {
        let name = self.name.clone();
        self.adopt(now, &name, version);
    }

    /// Learns a version that a member claims to be decided, once a quorum of acceptors confirms it.
    ///
    /// Without a quorum, one forged datagram with a high version number would keep the node from
    /// learning any real version.
    fn learn(&mut self, now: Micros, sender: &str, version: &Version) {
        if version.number <= self.newest.number {
            return;
        }
        if sender == self.name {
            return self.learn_own(now, version);
        }
        if !self.is_acceptor(sender) {
            return self.request_newest(now, version.number);
        }
        self.claims.insert(sender.to_owned(), version.clone());
        if let Some(confirmed) = self.confirmed_claim() {
            self.adopt(now, sender, &confirmed);
        }
    }

    /// Returns the newest version whose number a quorum of acceptors confirms.
    ///
    /// A version that this node's own acceptor has accepted confirms only the number: another
    /// version may have been decided under that number.
    fn confirmed_claim(&self) -> Option<Version> {
        let own_pending = self
            .acceptor
            .as_ref()
            .and_then(Acceptor::pending)
            .map(|pending| pending.number);
        let confirms = |name: &str, number: u64| {
            let claimed = self.claims.get(name).map(|version| version.number);
            let own = own_pending.filter(|_| name == self.name);
            claimed.max(own).is_some_and(|known| known >= number)
        };
        self.claims
            .values()
            .filter(|version| {
                is_quorum(&self.newest.acceptors, |name| {
                    confirms(name, version.number)
                })
            })
            .max_by_key(|version| version.number)
            .filter(|version| version.number > self.newest.number)
            .cloned()
    }

    /// Makes a decided version the newest one, if it is newer.
    fn adopt(&mut self, now: Micros, sender: &str, version: &Version) {
        if version.number <= self.newest.number {
            return;
        }
        self.claims.retain(|acceptor, claimed| {
            claimed.number > version.number && version.acceptors.contains(acceptor)
        });
        self.newest = version.clone();
        self.emit(Event::Learned {
            number: version.number,
            sender: sender.to_owned(),
        });
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.learn(version);
        }
        if let Some(retirement) = &mut self.retirement {
            retirement.learn(version);
        }
        self.fetch_content(now, version.digest, sender);
    }
}
