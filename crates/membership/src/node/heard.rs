//! What is heard, and what becomes of the view for it.

use super::*;

/// How a member turns, and why.
pub(super) struct Turn<'a> {
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

impl Fleet {
    /// A datagram came.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Broken> {
        let packet = Packet::read(&self.fleet, bytes)?;
        self.present(now);
        let Packet {
            from,
            digest,
            body,
            news,
            hint,
        } = packet;
        if from.name == self.name {
            if from.record.token == self.own.record.token {
                // Its own word, by way of a seed that is this node, or sent again by somebody.
                return Ok(());
            }
            self.own.rival_heard(from.record.token, now);
        }
        let before = self.members.get(&from.name).map(|m| m.record.state);
        self.learn(now, &from, &from.name);
        for update in &news {
            self.learn(now, update, &from.name);
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
        let said = if let Body::Said(said) = body {
            Some(Heard::Said(said.clone()))
        } else {
            None
        };
        let hint = (!hint.is_empty()).then_some(Heard::Hint(hint));
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
            held.is_some_and(|held| held != State::Alive) && from.record.state.takes_part();
        let first = accused.then_some(from.name.as_str());
        match body {
            Body::Ping { seq, to: name } => {
                if name.is_none_or(|name| name == self.name) {
                    self.send(now, to, Body::Ack { seq }, first);
                }
            }
            Body::Ask { seq, name, address } => {
                if self.help.len() < MOST_HELP {
                    let ours = self.next_seq();
                    self.help
                        .push(Help::new(now, self.rules.probe, ours, (seq, to)));
                    self.ping(now, ours, &name, address);
                }
            }
            Body::Ack { seq } => {
                let probed = self
                    .probe
                    .as_ref()
                    .is_some_and(|p| p.seq == seq && p.name == from.name);
                if probed || self.reached == Some(seq) {
                    self.members.note(&from.name, |m| m.heard = Some(now));
                }
                if let Some(at) = self.help.iter().position(|h| h.seq == seq) {
                    let help = self.help.swap_remove(at);
                    self.send(now, help.of.1, Body::Vouch { seq: help.of.0 }, None);
                } else if probed {
                    self.answered();
                }
                // One that was not known, or held dead: what it knows is worth asking for at once.
                if before.is_none_or(|state| !state.takes_part()) && now >= self.next_sync {
                    self.want_sync(now, to);
                }
            }
            Body::Vouch { seq } => {
                if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
                    self.answered();
                }
            }
            Body::Silence { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
                    probe.silent += 1;
                }
            }
            Body::News if accused => self.send(now, to, Body::News, first),
            Body::News | Body::Said(_) => {}
        }
    }

    pub(super) fn answered(&mut self) {
        if self.probe.as_mut().is_some_and(Probe::answer) {
            self.health.better();
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
            .is_some_and(|m| m.record.state.takes_part());
        if held && now - since > DIFFER * self.rules.probe && now >= self.next_sync {
            self.want_sync(now, from.record.details.address);
        }
    }

    pub(super) fn want_sync(&mut self, now: Micros, to: SocketAddr) {
        self.next_sync = now + self.rules.probe + self.rng.i64(0..self.rules.probe);
        self.sync = Some(to);
    }

    /// Takes in a piece of news, by way of this member.
    pub fn learn(&mut self, now: Micros, said: &Update, teller: &str) {
        if said.name == self.name {
            return self.learn_own(now, &said.record, teller);
        }
        let Some(member) = self.members.get(&said.name) else {
            return self.meet(now, said, teller);
        };
        let weighed = weigh(&member.record, member.fading, &said.record);
        let told = if said.name == teller {
            Cause::Itself
        } else {
            Cause::Told(teller.to_owned())
        };
        match weighed {
            Weighed::Nothing => {}
            Weighed::Accuses => self.accuse(now, said, told),
            Weighed::Doubted(record) => {
                let said = Update {
                    record,
                    by: Some(teller.to_owned()),
                    ..said.clone()
                };
                self.accuse(now, &said, told);
            }
            Weighed::Turns(record) => {
                let age = Micros::from(said.age_s) * 1_000_000;
                self.turn(
                    now,
                    &said.name,
                    Turn {
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
        let by = said.by.clone().unwrap_or_else(|| match &cause {
            Cause::Told(teller) => teller.clone(),
            _ => self.name.clone(),
        });
        let mut joined = member.record.clone();
        let same =
            joined.token == said.record.token && joined.incarnation == said.record.incarnation;
        let new = joined.join(&said.record);
        if same && member.record.state == State::Suspect {
            let mut confirmed = false;
            self.members.note(&said.name, |m| {
                confirmed = m.suspicion.as_mut().is_some_and(|s| s.confirm(&by));
            });
            if confirmed {
                self.list(&said.name);
                self.spread.add(&said.name);
            }
            if !new {
                return;
            }
            let told_by = member_told(&cause, &self.name);
            let to = Turn {
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
            let heard_of = matches!(cause, Cause::Told(_)) && joined.state == State::Suspect;
            let to = Turn {
                record: joined,
                teller: &told_by,
                cause,
                by: Some(by),
                age: 0,
            };
            self.turn(now, &said.name, to);
            if heard_of && self.rules.lifeguard.buddy {
                // A few of all who hear of it look for themselves: they confirm or clear it by what
                // they see.
                let likely = CHECKERS / self.members.taking_part().max(1) as f64;
                if self.rng.f64() < likely && self.checks.len() < MOST_CHECKS {
                    self.checks.push_back(said.name.clone());
                }
            }
        }
    }

    /// A member has another record from now on: the one place where one changes.
    pub(super) fn turn(&mut self, now: Micros, name: &str, to: Turn) {
        let Turn {
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
        self.members.change(name, |m| {
            if m.record.load != record.load {
                m.load_at = now;
            }
            m.record = record;
            m.fading = false;
            if before != after {
                m.since = now - age;
                m.told_by = teller.to_owned();
                m.tries = 0;
            }
        });
        if let Some(suspicion) = suspected {
            self.suspect(name, suspicion);
        }
        if before != after {
            match (before.takes_part(), after.takes_part()) {
                (false, true) => self.ring.add(name, &mut self.rng),
                (true, false) => {
                    self.ring.remove(name);
                    // Whoever is cut off now should be found soon.
                    self.reach = REACH_FIRST * self.rules.probe;
                    let soon = now + self.reach;
                    self.next_reach = self.next_reach.min(soon);
                }
                _ => {}
            }
            let name = name.to_owned();
            self.event(Event::Changed {
                name,
                before: Some(before),
                state: after,
                incarnation,
                cause,
            });
        }
        match rivals {
            (true, rivals) if !rivals.is_empty() => {
                self.event(Event::Conflict {
                    name: name.to_owned(),
                    address,
                    rivals,
                });
            }
            (false, rivals) if rivals.is_empty() => self.event(Event::Resolved {
                name: name.to_owned(),
            }),
            _ => {}
        }
        if digest != self.digest() {
            self.agreed.clear();
        }
        self.spread.add(name);
    }

    /// One that was not known.
    pub(super) fn meet(&mut self, now: Micros, said: &Update, teller: &str) {
        let Update {
            name,
            record,
            by,
            age_s,
        } = said;
        let since = match record.state.takes_part() {
            true => now,
            false => now - Micros::from(*age_s) * 1_000_000,
        };
        if now - since > self.rules.forget {
            return;
        }
        while self.members.len() >= self.rules.most_members {
            let Some(other) = self.members.least_useful(&self.name, name == teller) else {
                return;
            };
            self.suspect(&other, None);
            let fading = self.members.remove(&other).is_some_and(|m| m.fading);
            self.ring.remove(&other);
            self.spread.remove(&other);
            if !fading {
                self.event(Event::Forgotten {
                    name: other,
                    crowded: true,
                });
            }
        }
        self.met |= record.state.takes_part();
        self.members.insert(name, record.clone(), since, teller);
        if record.state.takes_part() {
            self.ring.add(name, &mut self.rng);
        }
        if record.state == State::Suspect {
            self.suspect(
                name,
                Some(Suspicion::new(now, by.as_deref().unwrap_or(teller))),
            );
        }
        let cause = if name == teller {
            Cause::Itself
        } else {
            Cause::Told(teller.to_owned())
        };
        let (state, incarnation) = (record.state, record.incarnation);
        self.event(Event::Changed {
            name: name.clone(),
            before: None,
            state,
            incarnation,
            cause,
        });
        if !record.details.rivals.is_empty() {
            let (address, rivals) = (record.details.address, record.details.rivals.clone());
            self.event(Event::Conflict {
                name: name.clone(),
                address,
                rivals,
            });
        }
        self.agreed.clear();
        self.spread.add(name);
    }

    /// Somebody speaks of this node.
    pub(super) fn learn_own(&mut self, now: Micros, said: &Record, teller: &str) {
        let contested = self.own.contested();
        match self.own.news(now, said) {
            Reply::Nothing => return self.publish_if_new(),
            Reply::Refuted(held) => {
                self.health.worse(1);
                let (by, incarnation) = (teller.to_owned(), self.own.record.incarnation);
                self.event(Event::Refuted {
                    held,
                    by,
                    incarnation,
                });
            }
            Reply::Outbid | Reply::Contested | Reply::Yielded => {}
        }
        match (contested, self.own.contested()) {
            (false, true) => {
                let held = self.own.held();
                let (address, rivals) = (held.details.address, held.details.rivals.clone());
                self.event(Event::Conflict {
                    name: self.name.clone(),
                    address,
                    rivals,
                });
            }
            (true, false) => self.event(Event::Resolved {
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
            .is_some_and(|m| m.record != *self.own.held())
        {
            self.publish();
        }
    }

    /// What this node says of itself goes to the others.
    pub(super) fn publish(&mut self) {
        let (held, name) = (self.own.held().clone(), self.name.clone());
        let digest = self.digest();
        self.members.change(&name, |m| m.record = held);
        if digest != self.digest() {
            self.agreed.clear();
        }
        self.spread.add(&name);
    }
}

fn member_told(cause: &Cause, own: &str) -> String {
    match cause {
        Cause::Told(teller) => teller.clone(),
        _ => own.to_owned(),
    }
}
