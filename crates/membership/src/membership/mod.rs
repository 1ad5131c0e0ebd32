//! One node's part in the fleet, as one machine: times, datagrams and what the node says of itself
//! go in; datagrams, wishes for connections and events come out.

use crate::config::MembershipConfig;
use crate::dissemination::DisseminationQueue;
use crate::event::{Cause, Event};
use crate::local_health::LocalHealth;
use crate::local_member::{LocalMember, ResumeState, SelfUpdateOutcome, MAX_CONTACTS};
use crate::members::Members;
use crate::message::{encoded_length, Body, DecodeError, Packet, Update};
use crate::probe::{IndirectProbe, Probe, ProbeStep};
use crate::probe_schedule::ProbeSchedule;
use crate::record::{Record, ServiceState, State};
use crate::spare_capacity;
use crate::suspicion::Suspicion;
use crate::update_rules::{evaluate_update, UpdateEffect};
use crate::Micros;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

mod messages;
mod timers;

use messages::Transition;

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
/// Periods for which views may differ before a connection settles it: news has had its time to
/// arrive.
const DIFFER: Micros = 4;
/// Tries of members that are down: the first so many periods after the last change, then rarer, up
/// to the most.
const REACH_FIRST: Micros = 2;
const REACH_MOST: Micros = 16;

/// Readings of the load are told so far apart, by each, and for each member that there is; and
/// again after so long.
const LOAD_LEAST: Micros = 500_000;
const LOAD_EACH: Micros = 50_000;
const LOAD_AGAIN: Micros = 2_000_000;

/// What travels in one datagram.
type Datagram = (SocketAddr, Vec<u8>);

/// What a member said that is not about the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplicationMessage {
    /// What travelled with something else.
    Piggyback(Vec<u8>),
    /// What it said to this node.
    Direct(Vec<u8>),
}

/// What was heard and nobody has fetched, at most.
const MOST_HEARD: usize = 1024;

/// A node's view of the fleet, and all that keeps it.
pub struct Membership {
    rules: MembershipConfig,
    fleet: String,
    name: String,
    own: LocalMember,
    members: Members,
    seeds: Vec<SocketAddr>,
    contacts: Vec<SocketAddr>,
    rng: Rng,
    seq: u32,
    health: LocalHealth,
    ring: ProbeSchedule,
    probe: Option<Probe>,
    next_probe: Micros,
    help: Vec<IndirectProbe>,
    checks: VecDeque<String>,
    /// Ends of suspicions, the first one first.
    deadlines: BTreeSet<(Micros, String)>,
    spread: DisseminationQueue,
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
    load_at: Micros,
    /// When it said last that it wants to be woken, and when it was last there.
    expected: Option<Micros>,
    there: Micros,
    out: Vec<Datagram>,
    /// What travels with everything that is sent, where a part that stands on the view wants that;
    /// and what it is to hear.
    hint: Option<Vec<u8>>,
    heard: VecDeque<(String, ApplicationMessage)>,
    events: VecDeque<Event>,
    lost_events: u64,
}

impl Membership {
    /// A node that has just started and knows nobody.
    pub fn new(
        rules: MembershipConfig,
        fleet: &str,
        name: &str,
        own: LocalMember,
        seed: u64,
        now: Micros,
    ) -> Membership {
        let mut rng = Rng::with_seed(seed);
        let period = rules.probe_interval;
        let first = now + rng.i64(0..period);
        let mut members = Members::default();
        members.insert(name, own.effective_record().clone(), now, name);
        Membership {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            own,
            members,
            seeds: Vec::new(),
            contacts: Vec::new(),
            seq: rng.u32(..),
            rng,
            health: LocalHealth::default(),
            ring: ProbeSchedule::default(),
            probe: None,
            next_probe: first,
            help: Vec::new(),
            checks: VecDeque::new(),
            deadlines: BTreeSet::new(),
            spread: DisseminationQueue::default(),
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
            load_at: now,
            expected: None,
            there: now,
            out: Vec::new(),
            hint: None,
            heard: VecDeque::new(),
            events: VecDeque::new(),
            lost_events: 0,
            rules,
        }
    }

    /// Where others may be met. What is no member's address is asked again and again.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Where some members were a moment ago: asked once.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// What a process goes on with that takes this one's place.
    pub fn resume_state(&self) -> ResumeState {
        let others = self
            .members
            .iter()
            .filter(|(name, m)| *name != self.name && m.record.state == State::Alive);
        let contacts = others
            .map(|(_, m)| m.record.details.address)
            .take(MAX_CONTACTS)
            .collect();
        ResumeState {
            record: self.own.record.clone(),
            contacts,
        }
    }

    /// Takes over times and bounds.
    pub fn set_config(&mut self, rules: MembershipConfig) {
        self.rules = rules;
    }

    /// The rules.
    pub fn config(&self) -> &MembershipConfig {
        &self.rules
    }

    /// The fleet's name.
    pub fn fleet_name(&self) -> &str {
        &self.fleet
    }

    /// This node's name.
    pub fn local_name(&self) -> &str {
        &self.name
    }

    /// The members, itself too.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What this process says of itself, as it would pass it on to one that goes on in its place.
    pub fn local_record(&self) -> &Record {
        &self.own.record
    }

    /// How far it trusts itself: 0 when all is well, to 8.
    pub fn local_health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether this node's view has come to rest: nobody is suspected, and the last ones heard have
    /// the same view.
    pub fn is_converged(&self) -> bool {
        let others = self.members.active_count().saturating_sub(1);
        let met = self.met
            || self
                .seeds
                .iter()
                .all(|s| *s == self.own.record.details.address);
        self.deadlines.is_empty() && met && self.agreed.len() >= others.min(AGREED)
    }

    /// Whether it sees no majority of those it knows.
    pub fn is_partitioned(&self) -> bool {
        self.members.known_count() > 1
            && 2 * self.members.active_count() <= self.members.known_count()
    }

    /// The digest of the view.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// What is to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// What happened, and how much of it was lost as nobody fetched it.
    pub fn take_events(&mut self) -> (Vec<Event>, u64) {
        (
            self.events.drain(..).collect(),
            std::mem::take(&mut self.lost_events),
        )
    }

    /// Whether there is a member to be connected to.
    pub fn has_sync_target(&self) -> bool {
        self.sync.is_some()
    }

    /// A member to be connected to, as views differ. The wish is taken with this.
    pub fn take_sync_target(&mut self) -> Option<SocketAddr> {
        self.sync.take()
    }

    /// What the node says of itself.
    pub fn set_service_state(&mut self, standing: ServiceState, payload: &[u8]) {
        let same = {
            let d = &self.own.record.details;
            d.service_state == standing && d.payload == payload
        };
        if same {
            return;
        }
        let said = self.own.update_details(|d| {
            d.service_state = standing;
            d.payload = payload.to_vec();
        });
        if said {
            self.publish();
        }
    }

    /// The rank below which it refuses, in 255ths. It is told as often as the fleet can bear, and
    /// again while it refuses anything, as old news counts for nothing.
    pub fn report_load(&mut self, now: Micros, cut: u8) {
        let (reading, before) = self.own.record.load;
        let since = now - self.load_at;
        let least = LOAD_LEAST.max(self.members.active_count() as Micros * LOAD_EACH);
        let again = cut > 0 && since >= LOAD_AGAIN.max(least);
        if self.members.active_count() <= spare_capacity::MAX_MEMBERS
            && since >= least
            && (cut != before || again)
        {
            self.load_at = now;
            self.own.record.load = (reading + 1, cut);
            self.publish();
        }
    }

    /// It leaves, and says so to some at once.
    pub fn leave(&mut self, now: Micros) {
        self.own.leave();
        self.publish();
        for name in
            self.ring
                .random_members(2 * MembershipConfig::INDIRECT_PROBES, &[], &mut self.rng)
        {
            self.news_to(now, &name);
        }
    }

    /// A part stands on the view: this travels with everything from now on, and what is not about
    /// the view is kept for it.
    pub fn set_piggyback(&mut self, hint: Vec<u8>) {
        self.hint = Some(hint);
    }

    /// What members have said to that part.
    pub fn take_application_message(&mut self) -> Option<(String, ApplicationMessage)> {
        self.heard.pop_front()
    }

    /// Says something of that part to a member; whether it is known.
    pub fn send_application_message(&mut self, to: &str, said: Vec<u8>) -> bool {
        let Some(address) = self.members.get(to).map(|m| m.record.details.address) else {
            return false;
        };
        let (from, digest, hint) = (
            self.local_update(),
            self.digest(),
            self.hint.clone().unwrap_or_default(),
        );
        let packet = Packet {
            sender: from,
            digest,
            body: Body::Application(said),
            updates: Vec::new(),
            piggyback: hint,
        };
        self.out.push((address, packet.encode(&self.fleet)));
        true
    }

    /// Has what travels with everything go to some members at once.
    pub fn gossip_piggyback(&mut self, now: Micros) {
        for name in self
            .ring
            .random_members(MembershipConfig::INDIRECT_PROBES, &[], &mut self.rng)
        {
            self.news_to(now, &name);
        }
    }

    /// When it wants to be woken. To be asked after all that it is told: it holds its driver to the
    /// last answer, to know when it was not there.
    pub fn next_wakeup(&mut self) -> Micros {
        let at = self.due();
        self.expected = Some(at.max(self.there));
        at
    }

    fn due(&self) -> Micros {
        let probe = self
            .probe
            .as_ref()
            .map_or(self.next_probe, |p| p.next_step_at().min(p.period_end()));
        let silent = self
            .help
            .iter()
            .filter(|h| !h.nack_sent)
            .map(|h| h.nack_at)
            .min();
        let gossip = (!self.spread.is_empty() && !self.ring.is_empty()).then_some(self.next_gossip);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let all = [
            silent,
            gossip,
            deadline,
            Some(self.next_reach),
            Some(self.next_tidy),
        ];
        all.into_iter().flatten().fold(probe, Micros::min)
    }

    /// It is time for something.
    pub fn handle_wakeup(&mut self, now: Micros) {
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
        let Some(late) = self.expected.map(|at| now - at) else {
            return;
        };
        if late <= self.rules.probe_interval / 2 {
            return;
        }
        if self.rules.lifeguard.local_health {
            self.health.degrade(1);
        }
        self.expected = Some(now);
        if late <= self.rules.probe_interval {
            return;
        }
        self.event(Event::LocalDelay(late));
        // Its own probe says nothing, and suspects have the time again that it was away:
        // refutations may wait to be read.
        if let Some(probe) = self.probe.take() {
            self.checks.push_front(probe.name);
            self.checks.truncate(MOST_CHECKS);
        }
        self.next_probe = now + self.rules.probe_interval / 2;
        for (_, name) in self.deadlines.clone() {
            self.members.annotate(&name, |m| {
                if let Some(suspicion) = &mut m.suspicion {
                    suspicion.extend(late);
                }
            });
            self.list(&name);
        }
        self.agreed.clear();
    }

    /// Lists the end of a member's suspicion, if it is suspected, and of none else.
    fn list(&mut self, name: &str) {
        let (rules, members, deadlines) = (
            &self.rules,
            self.members.active_count(),
            &mut self.deadlines,
        );
        self.members.annotate(name, |m| {
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
        self.members.annotate(name, |m| {
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
        let now = self.is_partitioned();
        if std::mem::replace(&mut self.cut_off, now) != now {
            self.event(Event::Partitioned(now));
        }
    }

    // What is sent.

    /// This node's own record, as it is told.
    pub fn local_update(&self) -> Update {
        Update {
            name: self.name.clone(),
            record: self.own.record.clone(),
            suspected_by: None,
            state_age_seconds: 0,
        }
    }

    /// What is told of a member; nothing of one that is not known, or about to be forgotten.
    pub fn update_about(&self, now: Micros, name: &str) -> Option<Update> {
        let m = self.members.get(name).filter(|m| !m.is_tombstone)?;
        let by = m
            .suspicion
            .as_ref()
            .and_then(|s| s.reporters().last().cloned());
        let age_s = match m.record.state.is_active() {
            true => 0,
            false => u32::try_from((now - m.state_since).max(0) / 1_000_000).unwrap_or(u32::MAX),
        };
        Some(Update {
            name: name.to_owned(),
            record: m.record.clone(),
            suspected_by: by,
            state_age_seconds: age_s,
        })
    }

    /// Sends something with as much news as fits; first that of one member, if there is one.
    fn send(&mut self, now: Micros, to: SocketAddr, body: Body, first: Option<&str>) {
        let mut packet = Packet {
            sender: self.local_update(),
            digest: self.digest(),
            body,
            updates: Vec::new(),
            piggyback: Vec::new(),
        };
        packet.piggyback = self.hint.clone().unwrap_or_default();
        let mut room = self
            .rules
            .max_datagram_bytes
            .saturating_sub(packet.encode(&self.fleet).len() + OVERHEAD);
        if let Some(update) = first.and_then(|name| self.update_about(now, name)) {
            room = room.saturating_sub(encoded_length(&update));
            packet.updates.push(update);
        }
        let most = self.rules.max_transmissions(self.members.active_count());
        let mut spread = std::mem::take(&mut self.spread);
        spread.take_batch(most, |name| {
            // One that was forgotten meanwhile takes no room.
            let Some(update) = self.update_about(now, name) else {
                return true;
            };
            let length = encoded_length(&update);
            if length > room {
                return false;
            }
            room -= length;
            if first != Some(name) {
                packet.updates.push(update);
            }
            true
        });
        self.spread = spread;
        self.out.push((to, packet.encode(&self.fleet)));
    }

    fn news_to(&mut self, now: Micros, name: &str) {
        let Some(to) = self.members.get(name).map(|m| m.record.details.address) else {
            return;
        };
        self.send(now, to, Body::Gossip, None);
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Asks one whether it is there. Who is held to be worse than alive is told so.
    fn ping(&mut self, now: Micros, seq: u32, name: &str, address: SocketAddr) {
        let alive = self
            .members
            .get(name)
            .is_none_or(|m| m.record.state == State::Alive);
        let first = (!alive && self.rules.lifeguard.buddy_system).then_some(name);
        self.send(
            now,
            address,
            Body::Ping {
                sequence: seq,
                target: Some(name.to_owned()),
            },
            first,
        );
    }

    /// How many members are in each state, for figures.
    pub fn count_by_state(&self) -> BTreeMap<State, usize> {
        let mut states = BTreeMap::new();
        for (_, m) in self.members.iter().filter(|(_, m)| !m.is_tombstone) {
            *states.entry(m.record.state).or_default() += 1;
        }
        states
    }
}
