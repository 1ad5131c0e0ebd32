//! What is heard, and what becomes of the view for it.

use super::*;

/// How a member turns, and why.
pub(super) struct Transition<'a> {
    /// What is said of it from now on.
    pub record: Record,
    /// Who told.
    pub teller: &'a str,
    /// Why.
    pub cause: Cause,
    /// Who had no answer, where it is a suspect.
    pub by: Option<String>,
    /// For how long it has been so.
    pub age: Micros,
}

impl Membership {
    /// A datagram came.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        let packet = Packet::decode(&self.fleet, bytes)?;
        self.present(now);
        let Packet {
            sender: from,
            digest,
            body,
            updates: news,
            piggyback: hint,
        } = packet;
        if from.name == self.name {
            if from.record.token == self.own.record.token {
                // Its own word, by way of a seed that is this node, or sent again by somebody.
                return Ok(());
            }
            self.own.record_rival_contact(from.record.token, now);
        }
        let before = self.members.get(&from.name).map(|m| m.record.state);
        self.handle_update(now, &from, &from.name);
        for update in &news {
            self.handle_update(now, update, &from.name);
        }
        self.overhear(&from.name, &body, hint);
        self.answer(now, &from, body, before);
        self.compare(now, &from, digest);
        self.watch();
        Ok(())
    }

    /// Keeps what is not about the view, where a part wants it.
    fn overhear(&mut self, from: &str, body: &Body, hint: Vec<u8>) {
        if self.hint.is_none() || from == self.name {
            return;
        }
        let said = if let Body::Application(said) = body {
            Some(ApplicationMessage::Direct(said.clone()))
        } else {
            None
        };
        let hint = (!hint.is_empty()).then_some(ApplicationMessage::Piggyback(hint));
        for heard in hint.into_iter().chain(said) {
            if self.heard.len() < MOST_HEARD {
                self.heard.push_back((from.to_owned(), heard));
            }
        }
    }

    pub(super) fn answer(&mut self, now: Micros, from: &Update, body: Body, before: Option<State>) {
        let to = from.record.details.address;
        let held = self.members.get(&from.name).map(|m| m.record.state);
        // It lives, and is held to be something else: it hears so, and can say otherwise.
        let accused =
            held.is_some_and(|held| held != State::Alive) && from.record.state.is_active();
        let first = accused.then_some(from.name.as_str());
        match body {
            Body::Ping {
                sequence: seq,
                target: name,
            } => {
                if name.is_none_or(|name| name == self.name) {
                    self.send(now, to, Body::Ack { sequence: seq }, first);
                }
            }
            Body::PingReq {
                sequence: seq,
                name,
                address,
            } => {
                if self.help.len() < MOST_HELP {
                    let ours = self.next_seq();
                    self.help.push(IndirectProbe::new(
                        now,
                        self.rules.probe_interval,
                        ours,
                        (seq, to),
                    ));
                    self.ping(now, ours, &name, address);
                }
            }
            Body::Ack { sequence: seq } => {
                let probed = self
                    .probe
                    .as_ref()
                    .is_some_and(|p| p.sequence == seq && p.name == from.name);
                if probed || self.reached == Some(seq) {
                    self.members
                        .annotate(&from.name, |m| m.last_ack = Some(now));
                }
                if let Some(at) = self.help.iter().position(|h| h.sequence == seq) {
                    let help = self.help.swap_remove(at);
                    self.send(
                        now,
                        help.origin.1,
                        Body::IndirectAck {
                            sequence: help.origin.0,
                        },
                        None,
                    );
                } else if probed {
                    self.answered();
                }
                // One that was not known, or held dead: what it knows is worth asking for at once.
                if before.is_none_or(|state| !state.is_active()) && now >= self.next_sync {
                    self.want_sync(now, to);
                }
            }
            Body::IndirectAck { sequence: seq } => {
                if self.probe.as_ref().is_some_and(|p| p.sequence == seq) {
                    self.answered();
                }
            }
            Body::Nack { sequence: seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == seq) {
                    probe.nacks += 1;
                }
            }
            Body::Gossip if accused => self.send(now, to, Body::Gossip, first),
            Body::Gossip | Body::Application(_) => {}
        }
    }

    pub(super) fn answered(&mut self) {
        if self.probe.as_mut().is_some_and(Probe::acknowledge) {
            self.health.improve();
        }
    }

    /// Holds another's view against this one.
    pub(super) fn compare(&mut self, now: Micros, from: &Update, digest: u64) {
        if from.name == self.name {
            return;
        }
        if digest == self.digest() {
            self.differs = None;
            if self.agreed.len() < AGREED {
                self.agreed.insert(from.name.clone());
            }
            return;
        }
        self.agreed.clear();
        let since = *self.differs.get_or_insert(now);
        let held = self
            .members
            .get(&from.name)
            .is_some_and(|m| m.record.state.is_active());
        if held && now - since > DIFFER * self.rules.probe_interval && now >= self.next_sync {
            self.want_sync(now, from.record.details.address);
        }
    }

    pub(super) fn want_sync(&mut self, now: Micros, to: SocketAddr) {
        self.next_sync =
            now + self.rules.probe_interval + self.rng.i64(0..self.rules.probe_interval);
        self.sync = Some(to);
    }

    /// Takes in a piece of news, by way of this member.
    pub fn handle_update(&mut self, now: Micros, said: &Update, teller: &str) {
        if said.name == self.name {
            return self.learn_own(now, &said.record, teller);
        }
        let Some(member) = self.members.get(&said.name) else {
            return self.meet(now, said, teller);
        };
        let weighed = evaluate_update(&member.record, member.is_tombstone, &said.record);
        let told = if said.name == teller {
            Cause::SelfReported
        } else {
            Cause::ReportedBy(teller.to_owned())
        };
        match weighed {
            UpdateEffect::Ignored => {}
            UpdateEffect::Suspicion => self.accuse(now, said, told),
            UpdateEffect::UnconfirmedFailure(record) => {
                let said = Update {
                    record,
                    suspected_by: Some(teller.to_owned()),
                    ..said.clone()
                };
                self.accuse(now, &said, told);
            }
            UpdateEffect::Replaced(record) => {
                let age = Micros::from(said.state_age_seconds) * 1_000_000;
                self.turn(
                    now,
                    &said.name,
                    Transition {
                        record,
                        teller,
                        cause: told,
                        by: None,
                        age,
                    },
                );
            }
        }
    }

    /// One says that it had no answer of a member, or this node says so.
    pub(super) fn accuse(&mut self, now: Micros, said: &Update, cause: Cause) {
        let Some(member) = self.members.get(&said.name) else {
            return;
        };
        let by = said.suspected_by.clone().unwrap_or_else(|| match &cause {
            Cause::ReportedBy(teller) => teller.clone(),
            _ => self.name.clone(),
        });
        let mut joined = member.record.clone();
        let same =
            joined.token == said.record.token && joined.incarnation == said.record.incarnation;
        let new = joined.merge(&said.record);
        if same && member.record.state == State::Suspect {
            let mut confirmed = false;
            self.members.annotate(&said.name, |m| {
                confirmed = m.suspicion.as_mut().is_some_and(|s| s.confirm(&by));
            });
            if confirmed {
                self.list(&said.name);
                self.spread.enqueue(&said.name);
            }
            if !new {
                return;
            }
            let told_by = member_told(&cause, &self.name);
            let to = Transition {
                record: joined,
                teller: &told_by,
                cause,
                by: None,
                age: 0,
            };
            return self.turn(now, &said.name, to);
        }
        if new {
            let told_by = member_told(&cause, &self.name);
            let heard_of = matches!(cause, Cause::ReportedBy(_)) && joined.state == State::Suspect;
            let to = Transition {
                record: joined,
                teller: &told_by,
                cause,
                by: Some(by),
                age: 0,
            };
            self.turn(now, &said.name, to);
            if heard_of && self.rules.lifeguard.buddy_system {
                // A few of all who hear of it look for themselves: they confirm or clear it by what
                // they see.
                let likely = CHECKERS / self.members.active_count().max(1) as f64;
                if self.rng.f64() < likely && self.checks.len() < MOST_CHECKS {
                    self.checks.push_back(said.name.clone());
                }
            }
        }
    }

    /// A member has another record from now on: the one place where one changes.
    pub(super) fn turn(&mut self, now: Micros, name: &str, to: Transition) {
        let Transition {
            record,
            teller,
            cause,
            by,
            age,
        } = to;
        let Some(member) = self.members.get(name) else {
            return;
        };
        let (before, after) = (member.record.state, record.state);
        let another =
            (member.record.incarnation, member.record.token) != (record.incarnation, record.token);
        let rivals = (
            member.record.details.rivals.is_empty(),
            record.details.rivals.clone(),
        );
        let (incarnation, address) = (record.incarnation, record.details.address);
        let digest = self.digest();
        let suspected = match after {
            State::Suspect if before != State::Suspect || another => {
                Some(Some(Suspicion::new(now, by.as_deref().unwrap_or(teller))))
            }
            State::Suspect => None,
            _ => Some(None),
        };
        self.members.update(name, |m| {
            if m.record.load != record.load {
                m.load_updated_at = now;
            }
            m.record = record;
            m.is_tombstone = false;
            if before != after {
                m.state_since = now - age;
                m.reported_by = teller.to_owned();
                m.reconnect_attempts = 0;
            }
        });
        if let Some(suspicion) = suspected {
            self.suspect(name, suspicion);
        }
        if before != after {
            match (before.is_active(), after.is_active()) {
                (false, true) => self.ring.insert(name, &mut self.rng),
                (true, false) => {
                    self.ring.remove(name);
                    // Whoever is cut off now should be found soon.
                    self.reach = REACH_FIRST * self.rules.probe_interval;
                    let soon = now + self.reach;
                    self.next_reach = self.next_reach.min(soon);
                }
                _ => {}
            }
            let name = name.to_owned();
            self.event(Event::StateChanged {
                name,
                previous: Some(before),
                state: after,
                incarnation,
                cause,
            });
        }
        match rivals {
            (true, rivals) if !rivals.is_empty() => {
                self.event(Event::NameConflict {
                    name: name.to_owned(),
                    address,
                    rivals,
                });
            }
            (false, rivals) if rivals.is_empty() => self.event(Event::NameConflictResolved {
                name: name.to_owned(),
            }),
            _ => {}
        }
        if digest != self.digest() {
            self.agreed.clear();
        }
        self.spread.enqueue(name);
    }

    /// One that was not known.
    pub(super) fn meet(&mut self, now: Micros, said: &Update, teller: &str) {
        let Update {
            name,
            record,
            suspected_by: by,
            state_age_seconds: age_s,
        } = said;
        let since = match record.state.is_active() {
            true => now,
            false => now - Micros::from(*age_s) * 1_000_000,
        };
        if now - since > self.rules.retention {
            return;
        }
        while self.members.len() >= self.rules.max_members {
            let Some(other) = self.members.eviction_candidate(&self.name, name == teller) else {
                return;
            };
            self.suspect(&other, None);
            let fading = self.members.remove(&other).is_some_and(|m| m.is_tombstone);
            self.ring.remove(&other);
            self.spread.remove(&other);
            if !fading {
                self.event(Event::Forgotten {
                    name: other,
                    evicted: true,
                });
            }
        }
        self.met |= record.state.is_active();
        self.members.insert(name, record.clone(), since, teller);
        if record.state.is_active() {
            self.ring.insert(name, &mut self.rng);
        }
        if record.state == State::Suspect {
            self.suspect(
                name,
                Some(Suspicion::new(now, by.as_deref().unwrap_or(teller))),
            );
        }
        let cause = if name == teller {
            Cause::SelfReported
        } else {
            Cause::ReportedBy(teller.to_owned())
        };
        let (state, incarnation) = (record.state, record.incarnation);
        self.event(Event::StateChanged {
            name: name.clone(),
            previous: None,
            state,
            incarnation,
            cause,
        });
        if !record.details.rivals.is_empty() {
            let (address, rivals) = (record.details.address, record.details.rivals.clone());
            self.event(Event::NameConflict {
                name: name.clone(),
                address,
                rivals,
            });
        }
        self.agreed.clear();
        self.spread.enqueue(name);
    }

    /// Somebody speaks of this node.
    pub(super) fn learn_own(&mut self, now: Micros, said: &Record, teller: &str) {
        let contested = self.own.is_contested();
        match self.own.handle_update(now, said) {
            SelfUpdateOutcome::Unchanged => return self.publish_if_new(),
            SelfUpdateOutcome::Refuted(held) => {
                self.health.degrade(1);
                let (by, incarnation) = (teller.to_owned(), self.own.record.incarnation);
                self.event(Event::Refuted {
                    claimed: held,
                    reported_by: by,
                    incarnation,
                });
            }
            SelfUpdateOutcome::Superseded
            | SelfUpdateOutcome::Contested
            | SelfUpdateOutcome::Yielded => {}
        }
        match (contested, self.own.is_contested()) {
            (false, true) => {
                let held = self.own.effective_record();
                let (address, rivals) = (held.details.address, held.details.rivals.clone());
                self.event(Event::NameConflict {
                    name: self.name.clone(),
                    address,
                    rivals,
                });
            }
            (true, false) => self.event(Event::NameConflictResolved {
                name: self.name.clone(),
            }),
            _ => {}
        }
        self.publish();
    }

    pub(super) fn publish_if_new(&mut self) {
        if self
            .members
            .get(&self.name)
            .is_some_and(|m| m.record != *self.own.effective_record())
        {
            self.publish();
        }
    }

    /// What this node says of itself goes to the others.
    pub(super) fn publish(&mut self) {
        let (held, name) = (self.own.effective_record().clone(), self.name.clone());
        let digest = self.digest();
        self.members.update(&name, |m| m.record = held);
        if digest != self.digest() {
            self.agreed.clear();
        }
        self.spread.enqueue(&name);
    }
}

fn member_told(cause: &Cause, own: &str) -> String {
    match cause {
        Cause::ReportedBy(teller) => teller.clone(),
        _ => own.to_owned(),
    }
}
