//! What is due: probes, help, suspicions that are over, tries of the dead, news, and what is
//! forgotten.

use super::*;

impl Membership {
    pub(super) fn probes(&mut self, now: Micros) {
        if let Some(mut probe) = self.probe.take() {
            match probe.next_step(now) {
                ProbeStep::Wait if now < probe.period_end() => return self.probe = Some(probe),
                ProbeStep::Wait => {}
                ProbeStep::Retry => {
                    self.ping(now, probe.sequence, &probe.name, probe.address);
                    return self.probe = Some(probe);
                }
                ProbeStep::PingReq => {
                    probe.helpers = self.ring.random_members(
                        MembershipConfig::INDIRECT_PROBES,
                        &[&probe.name],
                        &mut self.rng,
                    );
                    for helper in probe.helpers.clone() {
                        let Some(to) = self.members.get(&helper).map(|m| m.record.details.address)
                        else {
                            continue;
                        };
                        let body = Body::PingReq {
                            sequence: probe.sequence,
                            name: probe.name.clone(),
                            address: probe.address,
                        };
                        self.send(now, to, body, None);
                    }
                    return self.probe = Some(probe);
                }
                ProbeStep::Failed => self.missed(now, &probe),
            }
        }
        if now < self.next_probe {
            return;
        }
        let check = std::iter::from_fn(|| self.checks.pop_front());
        let wanted = check.take(MOST_CHECKS).find(|name| {
            self.members
                .get(name)
                .is_some_and(|m| m.record.state.is_active())
                && *name != self.name
        });
        let Some(name) = wanted.or_else(|| self.ring.next_target(&mut self.rng)) else {
            self.next_probe = now + self.rules.probe_interval;
            return;
        };
        let period = match self.rules.lifeguard.local_health {
            true => self.health.scale(self.rules.probe_interval),
            false => self.rules.probe_interval,
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
        let unheard = probe.helpers.len().saturating_sub(probe.nacks) as u32;
        self.health
            .degrade(if probe.helpers.is_empty() { 1 } else { unheard });
        let Some(member) = self.members.get(&probe.name) else {
            return;
        };
        if !member.record.state.is_active() {
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
            suspected_by: by,
            state_age_seconds: 0,
        };
        self.accuse(now, &said, Cause::ProbeFailed(probe.helpers.clone()));
    }

    pub(super) fn helps(&mut self, now: Micros) {
        let mut silent = Vec::new();
        for help in self
            .help
            .iter_mut()
            .filter(|h| !h.nack_sent && h.nack_at <= now)
        {
            help.nack_sent = true;
            silent.push(help.origin);
        }
        self.help.retain(|h| h.expires_at > now);
        for (seq, to) in silent {
            self.send(now, to, Body::Nack { sequence: seq }, None);
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
                .map_or(Vec::new(), |s| s.reporters().to_vec());
            let record = Record {
                state: State::Down,
                ..member.record.clone()
            };
            let told_by = self.name.clone();
            let to = Transition {
                record,
                teller: &told_by,
                cause: Cause::SuspicionExpired(by),
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
        self.reach = (self.reach + self.reach / 4).min(REACH_MOST * self.rules.probe_interval);
        let seq = self.next_seq();
        self.reached = Some(seq);
        let addresses: BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, m)| m.record.state.is_active())
            .map(|(_, m)| m.record.details.address)
            .collect();
        let asked: Vec<SocketAddr> = std::mem::take(&mut self.contacts)
            .into_iter()
            .chain(self.seeds.clone())
            .collect();
        for seed in asked {
            if !addresses.contains(&seed) {
                self.send(
                    now,
                    seed,
                    Body::Ping {
                        sequence: seq,
                        target: None,
                    },
                    None,
                );
            }
        }
        for rival in self.own.rival_addresses() {
            self.send(
                now,
                rival,
                Body::Ping {
                    sequence: seq,
                    target: None,
                },
                None,
            );
        }
        if self
            .own
            .expire_rivals(now - 3 * self.rules.suspicion_timeout(self.members.active_count(), 0))
        {
            self.publish();
        }
        let down = self
            .members
            .iter()
            .filter(|(_, m)| m.record.state == State::Down && !m.is_tombstone);
        // The ones that were tried least; at random among these, or all would try the same.
        let mut least: Vec<(u32, String)> = Vec::new();
        for (name, m) in down {
            if least
                .first()
                .is_none_or(|(tries, _)| m.reconnect_attempts <= *tries)
            {
                if least
                    .first()
                    .is_some_and(|(tries, _)| m.reconnect_attempts < *tries)
                {
                    least.clear();
                }
                least.push((m.reconnect_attempts, name.to_owned()));
            }
        }
        if least.is_empty() {
            return;
        }
        let (_, name) = least.swap_remove(self.rng.usize(..least.len()));
        self.members.annotate(&name, |m| m.reconnect_attempts += 1);
        let address = self.members.get(&name).map(|m| m.record.details.address);
        if let Some(address) = address {
            // It is told what it is held to be, whatever else is switched off: else it can't say
            // otherwise.
            self.send(
                now,
                address,
                Body::Ping {
                    sequence: seq,
                    target: Some(name.clone()),
                },
                Some(&name),
            );
        }
    }

    pub(super) fn gossips(&mut self, now: Micros) {
        if self.spread.is_empty() || now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.rules.gossip_interval();
        for name in self
            .ring
            .random_members(MembershipConfig::INDIRECT_PROBES, &[], &mut self.rng)
        {
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
        self.next_tidy = now + 2 * self.rules.probe_interval;
        let (fade, gone) = self.members.expired(now, self.rules.retention);
        for name in fade {
            self.members.update(&name, |m| m.is_tombstone = true);
            self.spread.remove(&name);
            self.agreed.clear();
            self.event(Event::Forgotten {
                name,
                evicted: false,
            });
        }
        for name in gone {
            self.members.remove(&name);
        }
    }
}
