//! One node's part in the fleet, as one machine: times, datagrams and what the node says of itself go in; datagrams, wishes
//! for connections and events come out.

use crate::event::{Cause, Event};
use crate::health::Health;
use crate::members::Members;
use crate::message::{length, Body, Broken, Packet, Update};
use crate::news::{weigh, Weighed};
use crate::own::{Own, Passed, Reply, MOST_CONTACTS};
use crate::probe::{Help, Next, Probe};
use crate::record::{Record, Standing, State};
use crate::ring::Ring;
use crate::rules::Rules;
use crate::spread::Spread;
use crate::suspicion::Suspicion;
use crate::Micros;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Probes for others at one time.
const MOST_HELP: usize = 64;
/// Members that are probed out of turn, at most.
const MOST_CHECKS: usize = 8;
/// How many, of all who hear of a suspicion, probe the suspect at once.
const CHECKERS: f64 = 4.0;
/// Events that nobody has fetched.
const MOST_EVENTS: usize = 4096;
/// Views must be heard to agree from so many before this one is settled.
const AGREED: usize = 3;
/// Bytes of a datagram beside the news: its checksum.
const OVERHEAD: usize = 8;
/// Periods for which views may differ before a connection settles it: news has had its time to arrive.
const DIFFER: Micros = 4;
/// Tries of members that are down: the first so many periods after the last change, then rarer, up to the most.
const REACH_FIRST: Micros = 2;
const REACH_MOST: Micros = 16;

/// What travels in one datagram.
type Datagram = (SocketAddr, Vec<u8>);

/// A node's view of the fleet, and all that keeps it.
pub struct Fleet {
    rules: Rules,
    fleet: String,
    name: String,
    own: Own,
    members: Members,
    seeds: Vec<SocketAddr>,
    contacts: Vec<SocketAddr>,
    rng: Rng,
    seq: u32,
    health: Health,
    ring: Ring,
    probe: Option<Probe>,
    next_probe: Micros,
    help: Vec<Help>,
    checks: VecDeque<String>,
    /// Ends of suspicions, the first one first.
    deadlines: BTreeSet<(Micros, String)>,
    spread: Spread,
    next_gossip: Micros,
    reach: Micros,
    next_reach: Micros,
    /// The number of the last tries of those who are down, seeds and rivals.
    reached: Option<u32>,
    next_tidy: Micros,
    /// Members whose view was heard to be the same since it changed last.
    agreed: BTreeSet<String>,
    /// Since when views are heard to differ from this one, with none that agrees.
    differs: Option<Micros>,
    next_sync: Micros,
    sync: Option<SocketAddr>,
    met: bool,
    cut_off: bool,
    /// When it said last that it wants to be woken, and when it was last there.
    expected: Option<Micros>,
    there: Micros,
    out: Vec<Datagram>,
    events: VecDeque<Event>,
    lost_events: u64,
}

impl Fleet {
    /// A node that has just started and knows nobody.
    pub fn new(rules: Rules, fleet: &str, name: &str, own: Own, seed: u64, now: Micros) -> Fleet {
        let mut rng = Rng::with_seed(seed);
        let period = rules.probe;
        let first = now + rng.i64(0..period);
        let mut members = Members::default();
        members.insert(name, own.held().clone(), now, name);
        Fleet {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            own,
            members,
            seeds: Vec::new(),
            contacts: Vec::new(),
            seq: rng.u32(..),
            rng,
            health: Health::default(),
            ring: Ring::default(),
            probe: None,
            next_probe: first,
            help: Vec::new(),
            checks: VecDeque::new(),
            deadlines: BTreeSet::new(),
            spread: Spread::default(),
            next_gossip: now,
            reach: REACH_FIRST * period,
            next_reach: now,
            reached: None,
            next_tidy: now + period,
            agreed: BTreeSet::new(),
            differs: None,
            next_sync: now,
            sync: None,
            met: false,
            cut_off: false,
            expected: None,
            there: now,
            out: Vec::new(),
            events: VecDeque::new(),
            lost_events: 0,
            rules,
        }
    }

    /// Where others may be met. What is no member's address is asked again and again.
    pub fn seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Where some members were a moment ago: asked once.
    pub fn contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// What a process goes on with that takes this one's place.
    pub fn pass_on(&self) -> Passed {
        let others =
            self.members.iter().filter(|(name, m)| *name != self.name && m.record.state == State::Alive);
        let contacts = others.map(|(_, m)| m.record.details.address).take(MOST_CONTACTS).collect();
        Passed { record: self.own.record.clone(), contacts }
    }

    /// Takes over times and bounds.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// The rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The fleet's name.
    pub fn fleet(&self) -> &str {
        &self.fleet
    }

    /// This node's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The members, itself too.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What this process says of itself, as it would pass it on to one that goes on in its place.
    pub fn own_record(&self) -> &Record {
        &self.own.record
    }

    /// How far it trusts itself: 0 when all is well, to 8.
    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// Whether this node's view has come to rest: nobody is suspected, and the last ones heard have the same view.
    pub fn settled(&self) -> bool {
        let others = self.members.taking_part().saturating_sub(1);
        let met = self.met || self.seeds.iter().all(|s| *s == self.own.record.details.address);
        self.deadlines.is_empty() && met && self.agreed.len() >= others.min(AGREED)
    }

    /// Whether it sees no majority of those it knows.
    pub fn cut_off(&self) -> bool {
        self.members.known() > 1 && 2 * self.members.taking_part() <= self.members.known()
    }

    /// The digest of the view.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// What is to be sent.
    pub fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// What happened, and how much of it was lost as nobody fetched it.
    pub fn take_events(&mut self) -> (Vec<Event>, u64) {
        (self.events.drain(..).collect(), std::mem::take(&mut self.lost_events))
    }

    /// Whether there is a member to be connected to.
    pub fn wants_sync(&self) -> bool {
        self.sync.is_some()
    }

    /// A member to be connected to, as views differ. The wish is taken with this.
    pub fn take_sync(&mut self) -> Option<SocketAddr> {
        self.sync.take()
    }

    /// What the node says of itself.
    pub fn say(&mut self, standing: Standing, payload: &[u8]) {
        let same = {
            let d = &self.own.record.details;
            d.standing == standing && d.payload == payload
        };
        if same {
            return;
        }
        let said = self.own.say(|d| {
            d.standing = standing;
            d.payload = payload.to_vec();
        });
        if said {
            self.publish();
        }
    }

    /// How loaded it is, in 255ths. It is told as often as the fleet can bear.
    pub fn load(&mut self, share: u8) {
        let (reading, before) = self.own.record.load;
        if share != before {
            self.own.record.load = (reading + 1, share);
            self.publish();
        }
    }

    /// It leaves, and says so to some at once.
    pub fn leave(&mut self, now: Micros) {
        self.own.leave();
        self.publish();
        for name in self.ring.some(2 * Rules::HELPERS, &[], &mut self.rng) {
            self.news_to(now, &name);
        }
    }

    /// When it wants to be woken. To be asked after all that it is told: it holds its driver to the last answer, to know when it was
    /// not there.
    pub fn next_wake(&mut self) -> Micros {
        let at = self.due();
        self.expected = Some(at.max(self.there));
        at
    }

    fn due(&self) -> Micros {
        let probe = self.probe.as_ref().map_or(self.next_probe, |p| p.due().min(p.end()));
        let silent = self.help.iter().filter(|h| !h.silent).map(|h| h.silent_at).min();
        let gossip = (!self.spread.is_empty() && !self.ring.is_empty()).then_some(self.next_gossip);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let all = [silent, gossip, deadline, Some(self.next_reach), Some(self.next_tidy)];
        all.into_iter().flatten().fold(probe, Micros::min)
    }

    /// It is time for something.
    pub fn wake(&mut self, now: Micros) {
        self.present(now);
        // As before a datagram: what is waiting to be read may be what is waited for.
        self.probes(now);
        self.helps(now);
        self.suspects(now);
        self.reaches(now);
        self.gossips(now);
        self.tidies(now);
        self.watch();
    }

    /// Notices that this node was not there: nobody is to be blamed for what it has missed.
    fn present(&mut self, now: Micros) {
        self.there = now;
        let Some(late) = self.expected.map(|at| now - at) else { return };
        if late <= self.rules.probe / 2 {
            return;
        }
        if self.rules.lifeguard.health {
            self.health.worse(1);
        }
        self.expected = Some(now);
        if late <= self.rules.probe {
            return;
        }
        self.event(Event::Late(late));
        // Its own probe says nothing, and suspects have the time again that it was away: refutations may wait to be read.
        if let Some(probe) = self.probe.take() {
            self.checks.push_front(probe.name);
            self.checks.truncate(MOST_CHECKS);
        }
        self.next_probe = now + self.rules.probe / 2;
        for (_, name) in self.deadlines.clone() {
            self.members.note(&name, |m| {
                if let Some(suspicion) = &mut m.suspicion {
                    suspicion.put_off(late);
                }
            });
            self.list(&name);
        }
        self.agreed.clear();
    }

    /// Lists the end of a member's suspicion, if it is suspected, and of none else.
    fn list(&mut self, name: &str) {
        let (rules, members, deadlines) = (&self.rules, self.members.taking_part(), &mut self.deadlines);
        self.members.note(name, |m| {
            if let Some(suspicion) = &mut m.suspicion {
                deadlines.remove(&(suspicion.listed, name.to_owned()));
                suspicion.listed = suspicion.deadline(rules, members);
                deadlines.insert((suspicion.listed, name.to_owned()));
            }
        });
    }

    /// A member is not suspected any more, or anew.
    fn suspect(&mut self, name: &str, suspicion: Option<Suspicion>) {
        let deadlines = &mut self.deadlines;
        self.members.note(name, |m| {
            if let Some(before) = std::mem::replace(&mut m.suspicion, suspicion) {
                deadlines.remove(&(before.listed, name.to_owned()));
            }
        });
        self.list(name);
    }

    fn event(&mut self, event: Event) {
        if self.events.len() == MOST_EVENTS {
            self.events.pop_front();
            self.lost_events += 1;
        }
        self.events.push_back(event);
    }

    /// Says so when the majority is lost or found.
    fn watch(&mut self) {
        let now = self.cut_off();
        if std::mem::replace(&mut self.cut_off, now) != now {
            self.event(Event::CutOff(now));
        }
    }

    // What is sent.

    /// This node's own record, as it is told.
    pub fn own(&self) -> Update {
        Update { name: self.name.clone(), record: self.own.record.clone(), by: None, age_s: 0 }
    }

    /// What is told of a member; nothing of one that is not known, or about to be forgotten.
    pub fn update(&self, now: Micros, name: &str) -> Option<Update> {
        let m = self.members.get(name).filter(|m| !m.fading)?;
        let by = m.suspicion.as_ref().and_then(|s| s.by().last().cloned());
        let age_s = match m.record.state.takes_part() {
            true => 0,
            false => u32::try_from((now - m.since).max(0) / 1_000_000).unwrap_or(u32::MAX),
        };
        Some(Update { name: name.to_owned(), record: m.record.clone(), by, age_s })
    }

    /// Sends something with as much news as fits; first that of one member, if there is one.
    fn send(&mut self, now: Micros, to: SocketAddr, body: Body, first: Option<&str>) {
        let mut packet = Packet { from: self.own(), digest: self.digest(), body, news: Vec::new() };
        let mut room = self.rules.most_datagram.saturating_sub(packet.write(&self.fleet).len() + OVERHEAD);
        if let Some(update) = first.and_then(|name| self.update(now, name)) {
            room = room.saturating_sub(length(&update));
            packet.news.push(update);
        }
        let most = self.rules.sendings(self.members.taking_part());
        let mut spread = std::mem::take(&mut self.spread);
        spread.take(most, |name| {
            // One that was forgotten meanwhile takes no room.
            let Some(update) = self.update(now, name) else { return true };
            let length = length(&update);
            if length > room {
                return false;
            }
            room -= length;
            if first != Some(name) {
                packet.news.push(update);
            }
            true
        });
        self.spread = spread;
        self.out.push((to, packet.write(&self.fleet)));
    }

    fn news_to(&mut self, now: Micros, name: &str) {
        let Some(to) = self.members.get(name).map(|m| m.record.details.address) else { return };
        self.send(now, to, Body::News, None);
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Asks one whether it is there. Who is held to be worse than alive is told so.
    fn ping(&mut self, now: Micros, seq: u32, name: &str, address: SocketAddr) {
        let alive = self.members.get(name).is_none_or(|m| m.record.state == State::Alive);
        let first = (!alive && self.rules.lifeguard.buddy).then_some(name);
        self.send(now, address, Body::Ping { seq, to: Some(name.to_owned()) }, first);
    }

    // What is due.

    fn probes(&mut self, now: Micros) {
        if let Some(mut probe) = self.probe.take() {
            match probe.next(now) {
                Next::Wait if now < probe.end() => return self.probe = Some(probe),
                Next::Wait => {}
                Next::Again => {
                    self.ping(now, probe.seq, &probe.name, probe.address);
                    return self.probe = Some(probe);
                }
                Next::Ask => {
                    probe.helpers = self.ring.some(Rules::HELPERS, &[&probe.name], &mut self.rng);
                    for helper in probe.helpers.clone() {
                        let Some(to) = self.members.get(&helper).map(|m| m.record.details.address) else {
                            continue;
                        };
                        let body =
                            Body::Ask { seq: probe.seq, name: probe.name.clone(), address: probe.address };
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
            self.members.get(name).is_some_and(|m| m.record.state.takes_part()) && *name != self.name
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
        let Some(address) = self.members.get(&name).map(|m| m.record.details.address) else { return };
        let seq = self.next_seq();
        self.ping(now, seq, &name, address);
        self.probe = Some(Probe::new(now, period, seq, name, address));
    }

    /// A probe was not answered.
    fn missed(&mut self, now: Micros, probe: &Probe) {
        // Helpers that said nothing at all were not reached, or could not reach this node: it may be its own doing.
        let unheard = probe.helpers.len().saturating_sub(probe.silent) as u32;
        self.health.worse(if probe.helpers.is_empty() { 1 } else { unheard });
        let Some(member) = self.members.get(&probe.name) else { return };
        if !member.record.state.takes_part() {
            return;
        }
        let record = Record { state: State::Suspect, ..member.record.clone() };
        let by = Some(self.name.clone());
        let said = Update { name: probe.name.clone(), record, by, age_s: 0 };
        self.accuse(now, &said, Cause::Missed(probe.helpers.clone()));
    }

    fn helps(&mut self, now: Micros) {
        let mut silent = Vec::new();
        for help in self.help.iter_mut().filter(|h| !h.silent && h.silent_at <= now) {
            help.silent = true;
            silent.push(help.of);
        }
        self.help.retain(|h| h.until > now);
        for (seq, to) in silent {
            self.send(now, to, Body::Silence { seq }, None);
        }
    }

    /// Suspects whose time is over are down.
    fn suspects(&mut self, now: Micros) {
        while self.deadlines.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.deadlines.pop_first() else { return };
            let Some(member) = self.members.get(&name) else { continue };
            let by = member.suspicion.as_ref().map_or(Vec::new(), |s| s.by().to_vec());
            let record = Record { state: State::Down, ..member.record.clone() };
            let told_by = self.name.clone();
            self.turn(now, &name, record, &told_by, Cause::Confirmed(by), None);
        }
    }

    /// Those who are down are still tried, at a falling rate, or two halves that hold each other dead would never meet again.
    fn reaches(&mut self, now: Micros) {
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
        let asked: Vec<SocketAddr> =
            std::mem::take(&mut self.contacts).into_iter().chain(self.seeds.clone()).collect();
        for seed in asked {
            if !addresses.contains(&seed) {
                self.send(now, seed, Body::Ping { seq, to: None }, None);
            }
        }
        for rival in self.own.rivals() {
            self.send(now, rival, Body::Ping { seq, to: None }, None);
        }
        if self.own.let_go(now - 3 * self.rules.suspicion(self.members.taking_part(), 0)) {
            self.publish();
        }
        let down = self.members.iter().filter(|(_, m)| m.record.state == State::Down && !m.fading);
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
            // It is told what it is held to be, whatever else is switched off: else it can't say otherwise.
            self.send(now, address, Body::Ping { seq, to: Some(name.clone()) }, Some(&name));
        }
    }

    fn gossips(&mut self, now: Micros) {
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

    fn tidies(&mut self, now: Micros) {
        if now < self.next_tidy {
            return;
        }
        self.next_tidy = now + (self.rules.forget / 16).clamp(self.rules.probe, 60_000_000);
        let (fade, gone) = self.members.outlived(now, self.rules.forget);
        for name in fade {
            self.members.change(&name, |m| m.fading = true);
            self.spread.remove(&name);
            self.agreed.clear();
            self.event(Event::Forgotten { name, crowded: false });
        }
        for name in gone {
            self.members.remove(&name);
        }
    }

    // What is heard.

    /// A datagram came.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Broken> {
        let packet = Packet::read(&self.fleet, bytes)?;
        self.present(now);
        let Packet { from, digest, body, news } = packet;
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
        self.answer(now, &from, body, before);
        self.compare(now, &from, digest);
        self.watch();
        Ok(())
    }

    fn answer(&mut self, now: Micros, from: &Update, body: Body, before: Option<State>) {
        let to = from.record.details.address;
        let held = self.members.get(&from.name).map(|m| m.record.state);
        // It lives, and is held to be something else: it hears so, and can say otherwise.
        let accused = held.is_some_and(|held| held != State::Alive) && from.record.state.takes_part();
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
                    self.help.push(Help::new(now, self.rules.probe, ours, (seq, to)));
                    self.ping(now, ours, &name, address);
                }
            }
            Body::Ack { seq } => {
                let probed = self.probe.as_ref().is_some_and(|p| p.seq == seq && p.name == from.name);
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
            Body::News => {}
        }
    }

    fn answered(&mut self) {
        if self.probe.as_mut().is_some_and(Probe::answer) {
            self.health.better();
        }
    }

    /// Holds another's view against this one.
    fn compare(&mut self, now: Micros, from: &Update, digest: u64) {
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
        let held = self.members.get(&from.name).is_some_and(|m| m.record.state.takes_part());
        if held && now - since > DIFFER * self.rules.probe && now >= self.next_sync {
            self.want_sync(now, from.record.details.address);
        }
    }

    fn want_sync(&mut self, now: Micros, to: SocketAddr) {
        self.next_sync = now + self.rules.probe + self.rng.i64(0..self.rules.probe);
        self.sync = Some(to);
    }

    /// Takes in a piece of news, by way of this member.
    pub fn learn(&mut self, now: Micros, said: &Update, teller: &str) {
        if said.name == self.name {
            return self.learn_own(now, &said.record, teller);
        }
        let Some(member) = self.members.get(&said.name) else { return self.meet(now, said, teller) };
        let weighed = weigh(&member.record, member.fading, &said.record);
        let told = if said.name == teller { Cause::Itself } else { Cause::Told(teller.to_owned()) };
        match weighed {
            Weighed::Nothing => {}
            Weighed::Accuses => self.accuse(now, said, told),
            Weighed::Doubted(record) => {
                let said = Update { record, by: Some(teller.to_owned()), ..said.clone() };
                self.accuse(now, &said, told);
            }
            Weighed::Turns(record) => self.turn(now, &said.name, record, teller, told, None),
        }
    }

    /// One says that it had no answer of a member, or this node says so.
    fn accuse(&mut self, now: Micros, said: &Update, cause: Cause) {
        let Some(member) = self.members.get(&said.name) else { return };
        let by = said.by.clone().unwrap_or_else(|| match &cause {
            Cause::Told(teller) => teller.clone(),
            _ => self.name.clone(),
        });
        let mut joined = member.record.clone();
        let same = joined.token == said.record.token && joined.incarnation == said.record.incarnation;
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
            return self.turn(now, &said.name, joined, &told_by, cause, None);
        }
        if new {
            let told_by = member_told(&cause, &self.name);
            let heard_of = matches!(cause, Cause::Told(_)) && joined.state == State::Suspect;
            self.turn(now, &said.name, joined, &told_by, cause, Some(by));
            if heard_of && self.rules.lifeguard.buddy {
                // A few of all who hear of it look for themselves: they confirm or clear it by what they see.
                let likely = CHECKERS / self.members.taking_part().max(1) as f64;
                if self.rng.f64() < likely && self.checks.len() < MOST_CHECKS {
                    self.checks.push_back(said.name.clone());
                }
            }
        }
    }

    /// A member has another record from now on: the one place where one changes.
    fn turn(
        &mut self,
        now: Micros,
        name: &str,
        record: Record,
        teller: &str,
        cause: Cause,
        by: Option<String>,
    ) {
        let Some(member) = self.members.get(name) else { return };
        let (before, after) = (member.record.state, record.state);
        let another = (member.record.incarnation, member.record.token) != (record.incarnation, record.token);
        let rivals = (member.record.details.rivals.is_empty(), record.details.rivals.clone());
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
            m.record = record;
            m.fading = false;
            if before != after {
                m.since = now;
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
            self.event(Event::Changed { name, before: Some(before), state: after, incarnation, cause });
        }
        match rivals {
            (true, rivals) if !rivals.is_empty() => {
                self.event(Event::Conflict { name: name.to_owned(), address, rivals });
            }
            (false, rivals) if rivals.is_empty() => self.event(Event::Resolved { name: name.to_owned() }),
            _ => {}
        }
        if digest != self.digest() {
            self.agreed.clear();
        }
        self.spread.add(name);
    }

    /// One that was not known.
    fn meet(&mut self, now: Micros, said: &Update, teller: &str) {
        let Update { name, record, by, age_s } = said;
        let since = match record.state.takes_part() {
            true => now,
            false => now - Micros::from(*age_s) * 1_000_000,
        };
        if now - since > self.rules.forget {
            return;
        }
        while self.members.len() >= self.rules.most_members {
            let Some(other) = self.members.least_useful(&self.name, name == teller) else { return };
            self.suspect(&other, None);
            let fading = self.members.remove(&other).is_some_and(|m| m.fading);
            self.ring.remove(&other);
            self.spread.remove(&other);
            if !fading {
                self.event(Event::Forgotten { name: other, crowded: true });
            }
        }
        self.met |= record.state.takes_part();
        self.members.insert(name, record.clone(), since, teller);
        if record.state.takes_part() {
            self.ring.add(name, &mut self.rng);
        }
        if record.state == State::Suspect {
            self.suspect(name, Some(Suspicion::new(now, by.as_deref().unwrap_or(teller))));
        }
        let cause = if name == teller { Cause::Itself } else { Cause::Told(teller.to_owned()) };
        let (state, incarnation) = (record.state, record.incarnation);
        self.event(Event::Changed { name: name.clone(), before: None, state, incarnation, cause });
        if !record.details.rivals.is_empty() {
            let (address, rivals) = (record.details.address, record.details.rivals.clone());
            self.event(Event::Conflict { name: name.clone(), address, rivals });
        }
        self.agreed.clear();
        self.spread.add(name);
    }

    /// Somebody speaks of this node.
    fn learn_own(&mut self, now: Micros, said: &Record, teller: &str) {
        let contested = self.own.contested();
        match self.own.news(now, said) {
            Reply::Nothing => return self.publish_if_new(),
            Reply::Refuted(held) => {
                self.health.worse(1);
                let (by, incarnation) = (teller.to_owned(), self.own.record.incarnation);
                self.event(Event::Refuted { held, by, incarnation });
            }
            Reply::Outbid | Reply::Contested | Reply::Yielded => {}
        }
        match (contested, self.own.contested()) {
            (false, true) => {
                let held = self.own.held();
                let (address, rivals) = (held.details.address, held.details.rivals.clone());
                self.event(Event::Conflict { name: self.name.clone(), address, rivals });
            }
            (true, false) => self.event(Event::Resolved { name: self.name.clone() }),
            _ => {}
        }
        self.publish();
    }

    fn publish_if_new(&mut self) {
        if self.members.get(&self.name).is_some_and(|m| m.record != *self.own.held()) {
            self.publish();
        }
    }

    /// What this node says of itself goes to the others.
    fn publish(&mut self) {
        let (held, name) = (self.own.held().clone(), self.name.clone());
        let digest = self.digest();
        self.members.change(&name, |m| m.record = held);
        if digest != self.digest() {
            self.agreed.clear();
        }
        self.spread.add(&name);
    }

    /// How many members are in each state, for figures.
    pub fn states(&self) -> BTreeMap<State, usize> {
        let mut states = BTreeMap::new();
        for (_, m) in self.members.iter().filter(|(_, m)| !m.fading) {
            *states.entry(m.record.state).or_default() += 1;
        }
        states
    }
}

fn member_told(cause: &Cause, own: &str) -> String {
    match cause {
        Cause::Told(teller) => teller.clone(),
        _ => own.to_owned(),
    }
}
