//! What is due: probes, help, suspicions that are over, tries of the dead, news, and what is
//! forgotten.

use super::*;

impl Fleet {
    pub(super) fn probes(&mut self, now: Micros) {
        if let Some(mut probe) = self.probe.take() {
            match probe.next(now) {
                Next::Wait if now < probe.end() => return self.probe = Some(probe),
                Next::Wait => {}
                Next::Again => {
                    self.ping(now, probe.seq, &probe.name, probe.address);
                    return self.probe = Some(probe);
                }
                Next::Ask => {
                    probe.helpers = self
                        .ring
                        .some(Rules::HELPERS, &[&probe.name], &mut self.rng);
                    for helper in probe.helpers.clone() {
                        let Some(to) = self.members.get(&helper).map(|m| m.record.details.address)
                        else {
                            continue;
                        };
                        let body = Body::Ask {
                            seq: probe.seq,
                            name: probe.name.clone(),
                            address: probe.address,
                        };
                        self.send(now, to, body, None);
                    }
                    return self.probe = Some(probe);
                }
                Next::Failed => self.missed(now, &probe),
            }
        }
        if now < self.next_probe {
            return;
        }
        let check = std::iter::from_fn(|| self.checks.pop_front());
        let wanted = check.take(MOST_CHECKS).find(|name| {
            self.members
                .get(name)
                .is_some_and(|m| m.record.state.takes_part())
                && *name != self.name
        });
        let Some(name) = wanted.or_else(|| self.ring.next(&mut self.rng)) else {
            self.next_probe = now + self.rules.probe;
            return;
        };
        let period = match self.rules.lifeguard.health {
            true => self.health.stretch(self.rules.probe),
            false => self.rules.probe,
        };
        self.next_probe = now + period;
        let Some(address) = self.members.get(&name).map(|m| m.record.details.address) else {
            return;
        };
        let seq = self.next_seq();
        self.ping(now, seq, &name, address);
        self.probe = Some(Probe::new(now, period, seq, name, address));
    }

    /// A probe was not answered.
    pub(super) fn missed(&mut self, now: Micros, probe: &Probe) {
        // Helpers that said nothing at all were not reached, or could not reach this node: it may
        // be its own doing.
        let unheard = probe.helpers.len().saturating_sub(probe.silent) as u32;
        self.health
            .worse(if probe.helpers.is_empty() { 1 } else { unheard });
        let Some(member) = self.members.get(&probe.name) else {
            return;
        };
        if !member.record.state.takes_part() {
            return;
        }
        let record = Record {
            state: State::Suspect,
            ..member.record.clone()
        };
        let by = Some(self.name.clone());
        let said = Update {
            name: probe.name.clone(),
            record,
            by,
            age_s: 0,
        };
        self.accuse(now, &said, Cause::Missed(probe.helpers.clone()));
    }

    pub(super) fn helps(&mut self, now: Micros) {
        let mut silent = Vec::new();
        for help in self
            .help
            .iter_mut()
            .filter(|h| !h.silent && h.silent_at <= now)
        {
            help.silent = true;
            silent.push(help.of);
        }
        self.help.retain(|h| h.until > now);
        for (seq, to) in silent {
            self.send(now, to, Body::Silence { seq }, None);
        }
    }

    /// Suspects whose time is over are down.
    pub(super) fn suspects(&mut self, now: Micros) {
        while self.deadlines.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.deadlines.pop_first() else {
                return;
            };
            let Some(member) = self.members.get(&name) else {
                continue;
            };
            let by = member
                .suspicion
                .as_ref()
                .map_or(Vec::new(), |s| s.by().to_vec());
            let record = Record {
                state: State::Down,
                ..member.record.clone()
            };
            let told_by = self.name.clone();
            let to = Turn {
                record,
                teller: &told_by,
                cause: Cause::Confirmed(by),
                by: None,
                age: 0,
            };
            self.turn(now, &name, to);
        }
    }

    /// Those who are down are still tried, at a falling rate, or two halves that hold each other
    /// dead would never meet again.
    pub(super) fn reaches(&mut self, now: Micros) {
        if now < self.next_reach {
            return;
        }
        self.next_reach = now + self.reach / 2 + self.rng.i64(0..=self.reach / 2);
        self.reach = (self.reach + self.reach / 4).min(REACH_MOST * self.rules.probe);
        let seq = self.next_seq();
        self.reached = Some(seq);
        let addresses: BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, m)| m.record.state.takes_part())
            .map(|(_, m)| m.record.details.address)
            .collect();
        let asked: Vec<SocketAddr> = std::mem::take(&mut self.contacts)
            .into_iter()
            .chain(self.seeds.clone())
            .collect();
        for seed in asked {
            if !addresses.contains(&seed) {
                self.send(now, seed, Body::Ping { seq, to: None }, None);
            }
        }
        for rival in self.own.rivals() {
            self.send(now, rival, Body::Ping { seq, to: None }, None);
        }
        if self
            .own
            .let_go(now - 3 * self.rules.suspicion(self.members.taking_part(), 0))
        {
            self.publish();
        }
        let down = self
            .members
            .iter()
            .filter(|(_, m)| m.record.state == State::Down && !m.fading);
        // The ones that were tried least; at random among these, or all would try the same.
        let mut least: Vec<(u32, String)> = Vec::new();
        for (name, m) in down {
            if least.first().is_none_or(|(tries, _)| m.tries <= *tries) {
                if least.first().is_some_and(|(tries, _)| m.tries < *tries) {
                    least.clear();
                }
                least.push((m.tries, name.to_owned()));
            }
        }
        if least.is_empty() {
            return;
        }
        let (_, name) = least.swap_remove(self.rng.usize(..least.len()));
        self.members.note(&name, |m| m.tries += 1);
        let address = self.members.get(&name).map(|m| m.record.details.address);
        if let Some(address) = address {
            // It is told what it is held to be, whatever else is switched off: else it can't say
            // otherwise.
            self.send(
                now,
                address,
                Body::Ping {
                    seq,
                    to: Some(name.clone()),
                },
                Some(&name),
            );
        }
    }

    pub(super) fn gossips(&mut self, now: Micros) {
        if self.spread.is_empty() || now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.rules.gossip();
        for name in self.ring.some(Rules::HELPERS, &[], &mut self.rng) {
            if self.spread.is_empty() {
                return;
            }
            self.news_to(now, &name);
        }
    }

    pub(super) fn tidies(&mut self, now: Micros) {
        if now < self.next_tidy {
            return;
        }
        // Often: until the last one has forgotten a member, views differ.
        self.next_tidy = now + 2 * self.rules.probe;
        let (fade, gone) = self.members.outlived(now, self.rules.forget);
        for name in fade {
            self.members.change(&name, |m| m.fading = true);
            self.spread.remove(&name);
            self.agreed.clear();
            self.event(Event::Forgotten {
                name,
                crowded: false,
            });
        }
        for name in gone {
            self.members.remove(&name);
        }
    }
}
