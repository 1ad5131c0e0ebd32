//! What the others say.

use super::*;

impl Node {
    // What is heard.

    /// What travels with each message of the fleet.
    pub fn hint(&self) -> Hint {
        Hint {
            newest: self.newest.number,
            beats: self.leases.beats(&self.newest.electors),
        }
    }

    /// Hears another's. Whether it said anything new.
    pub fn heard_hint(&mut self, now: Micros, hint: &Hint) -> bool {
        let mut new = false;
        for beat in &hint.beats {
            new |= self.leases.beat(beat, &self.newest.electors);
        }
        self.ask_which(now, hint.newest);
        new
    }

    /// Somebody says that there is a newer version. Whoever may say anything is no witness of that:
    /// the electors are asked, all of them, and now and then, however often it is said.
    pub(super) fn ask_which(&mut self, now: Micros, number: u64) {
        if number > self.newest.number && now >= self.next_which {
            self.next_which = now + AGAIN;
            let electors = self.newest.electors.clone();
            self.out.extend(
                electors
                    .into_iter()
                    .filter(|e| *e != self.name)
                    .map(|e| (e, Message::Which)),
            );
        }
    }

    /// Something was said to this node.
    pub fn heard(&mut self, now: Micros, from: &str, message: &Message) {
        // Its own words don't come from outside: whoever speaks in its name would be believed.
        if from == self.name {
            return;
        }
        self.hear(now, from, message);
        self.own_words(now);
    }

    /// What this node says to itself is not sent.
    pub(super) fn own_words(&mut self, now: Micros) {
        while let Some(at) = self.out.iter().position(|(to, _)| *to == self.name) {
            let (name, message) = self.out.remove(at);
            self.hear(now, &name, &message);
        }
    }

    pub(super) fn hear(&mut self, now: Micros, from: &str, message: &Message) {
        let of_electors = !matches!(
            message,
            Message::Which | Message::Decided(_) | Message::Clock { .. } | Message::Floor { .. }
        );
        if of_electors && from != self.name && !self.newest.electors.iter().any(|e| e == from) {
            // One that this node doesn't know yet is known once it has asked those that it knows.
            return;
        }
        match message {
            Message::Which => self
                .out
                .push((from.to_owned(), Message::Decided(self.newest.clone()))),
            Message::Clock { asked } => {
                let beat = self.elector.as_ref().and_then(|e| e.beat(now));
                if let Some((beat, _)) = beat.filter(|(_, write)| *write <= self.synced) {
                    let message = Message::ClockIs {
                        asked: *asked,
                        start: beat.start,
                        at: beat.at,
                    };
                    self.out.push((from.to_owned(), message));
                }
            }
            // An answer from before this process, or one that nobody gave, must not bring a lease
            // from the future.
            Message::ClockIs { asked, start, at } if *asked <= now => {
                self.leases
                    .told(from, *start, *at, *asked, &self.newest.electors);
            }
            Message::Decided(version) => self.learn(now, from, version),
            Message::Floor { nonce } => {
                if let Some(elector) = self.elector.as_ref().filter(|e| *e.voting() == Voting::Yes)
                {
                    let (kept, after) = elector.kept();
                    let newest = kept.newest.clone();
                    let highest = elector
                        .pending()
                        .map_or(newest.number, |v| v.number.max(newest.number));
                    let message = Message::FloorIs {
                        nonce: *nonce,
                        newest,
                        highest,
                    };
                    self.say(Said {
                        to: from.to_owned(),
                        message,
                        after,
                    });
                }
            }
            Message::FloorIs {
                nonce,
                newest,
                highest,
            } if *nonce == self.floor.nonce() => {
                // What it says of electors first: who is asked may have left them since.
                self.learn(now, from, newest);
                let electors = self.newest.electors.clone();
                if self.floor.heard(from, *nonce, *highest, &electors) {
                    self.event(Event::Floor(self.floor.floor()));
                }
            }
            _ => {}
        }
        let decided = matches!(message, Message::Decided(_));
        if let Some(elector) = self.elector.as_mut().filter(|_| !decided) {
            let was = matches!(elector.voting(), Voting::Never(_));
            let contents = &self.contents;
            let said = elector.hear(from, message, |v| {
                contents.iter().any(|(d, _)| *d == v.digest)
            });
            let lost = !was && matches!(elector.voting(), Voting::Never(_));
            let learned = elector.kept().0.newest.clone();
            said.into_iter().for_each(|s| self.say(s));
            if lost {
                self.event(Event::Disk);
            }
            let name = self.name.clone();
            self.learn(now, &name, &learned);
            // Nothing is accepted whose content isn't here: it is fetched, and accepted when it is
            // asked for again.
            if let Message::Accept { version, .. } = message {
                self.want(now, version.digest, from);
            }
        }
        let jitter = self.rng.f64();
        let mut out = Vec::new();
        let outcome = self
            .publisher
            .as_mut()
            .and_then(|p| p.hear(now, from, message, jitter, &mut out));
        self.out.append(&mut out);
        if let Some(outcome) = outcome {
            self.published(now, outcome);
        }
        if let Some(closer) = &mut self.closer {
            closer.hear(now, from, message, self.settings.lease, self.rates);
        }
    }

    pub(super) fn published(&mut self, now: Micros, outcome: Outcome) {
        self.publisher = None;
        if let Outcome::Decided(version) | Outcome::Another(version) = &outcome {
            let name = self.name.clone();
            self.learn(now, &name, &version.clone());
        }
        self.event(Event::Published(outcome));
    }

    /// A version was decided, as somebody says. This node's own elector and publisher know; of
    /// others a majority of the electors has to say so, or one bad datagram with a number of 2^63
    /// would shut the node out for ever.
    pub(super) fn learn(&mut self, now: Micros, from: &str, version: &Version) {
        if version.number <= self.newest.number {
            return;
        }
        if from == self.name {
            return self.adopt(now, from, version);
        }
        if !self.newest.electors.iter().any(|e| e == from) {
            return self.ask_which(now, version.number);
        }
        self.claims.insert(from.to_owned(), version.clone());
        let claims = &self.claims;
        // What its own elector has accepted bears out the number. Not the version: another one may
        // have been decided under it.
        let own = self
            .elector
            .as_ref()
            .and_then(Elector::pending)
            .map(|v| v.number);
        let said = |e: &str, number: u64| {
            let own = own.filter(|_| e == self.name);
            claims
                .get(e)
                .map(|v| v.number)
                .max(own)
                .is_some_and(|known| known >= number)
        };
        let sure = claims
            .values()
            .filter(|v| majority(&self.newest.electors, |e| said(e, v.number)));
        let best = sure
            .max_by_key(|v| v.number)
            .filter(|v| v.number > self.newest.number)
            .cloned();
        if let Some(version) = best {
            self.adopt(now, from, &version);
        }
    }

    pub(super) fn adopt(&mut self, now: Micros, from: &str, version: &Version) {
        if version.number <= self.newest.number {
            return;
        }
        self.claims
            .retain(|e, v| v.number > version.number && version.electors.contains(e));
        self.newest = version.clone();
        self.event(Event::Heard(version.number, from.to_owned()));
        if let Some(elector) = &mut self.elector {
            elector.decided(version);
        }
        if let Some(closer) = &mut self.closer {
            closer.decided(version);
        }
        self.want(now, version.digest, from);
    }
}
