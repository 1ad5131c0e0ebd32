//! One pool: who gets the next run.

use crate::health::{self, Health, State, Why};
use crate::limit::{self, Limit};
use crate::retry::{self, Budget, Further};
use crate::ring::{mix, Ring};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hash};

/// Whether a member gets runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Use {
    /// It does.
    #[default]
    On,
    /// It finishes what it has, and gets nothing new but what belongs to it by its key.
    Draining,
    /// It gets nothing.
    Disabled,
}

/// What the operator says of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member<A> {
    /// Where it is, which also names it.
    pub address: A,
    /// Its share, beside the others' of its tier; above 0.
    pub weight: f64,
    /// A lower tier comes first; the next one is used when nobody of it is usable.
    pub tier: u32,
    /// It is used only when no other member is usable.
    pub spare: bool,
    /// Whether it gets runs.
    pub usage: Use,
    /// Runs that it may have at once.
    pub most_runs: usize,
}

impl<A> Member<A> {
    /// One of weight 1, with a bound far off.
    pub fn at(address: A) -> Member<A> {
        Member { address, weight: 1.0, tier: 0, spare: false, usage: Use::On, most_runs: 1024 }
    }
}

/// What a pool keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Of each member's health.
    pub health: health::Rules,
    /// Of each member's limit.
    pub limit: limit::Rules,
    /// Of repeated tries.
    pub retry: retry::Rules,
    /// So large a share of the members may be out at once. Beyond it the signal is distrusted: if most look bad, it is more
    /// likely what they all depend on.
    pub most_out: f64,
    /// It is distrusted for so long, in microseconds.
    pub distrust: Micros,
    /// Spares are used for so long after another member is usable again, in microseconds.
    pub spares_stay: Micros,
    /// A member with a key's run gets no more than so many times the mean of runs.
    pub crowd: f64,
    /// Latencies fade in so long, in microseconds.
    pub fade: Micros,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            health: health::Rules::default(),
            limit: limit::Rules::default(),
            retry: retry::Rules::default(),
            most_out: 0.5,
            distrust: 10 * SECOND,
            spares_stay: 5 * SECOND,
            crowd: 1.5,
            fade: 10 * SECOND,
        }
    }
}

/// A run that needs a place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask<'a> {
    /// It may happen twice.
    pub safe: bool,
    /// Tries with the same key go to the same member where they can.
    pub key: Option<u64>,
    /// Members that this request has tried.
    pub tried: &'a [u32],
}

/// One run in a member's hands.
pub type Run = u64;

/// Where a run goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Place<A> {
    /// There. The member's number is for [`Ask::tried`].
    At {
        /// The run.
        run: Run,
        /// The member's number.
        member: u32,
        /// The member.
        address: A,
    },
    /// Each member that is usable has as much as it may have.
    NoRoom,
    /// No member is usable, or all that are have been tried.
    Nobody,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a response.
    Well,
    /// Nobody accepted it.
    Unreachable,
    /// It broke off, said what can't be read, or took too long.
    Failed,
    /// Its time was up. That says something of the member only if it had far more than a run usually takes.
    TimedOut,
}

/// A change worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note<A> {
    /// A member is out.
    Out(A, Why, Micros),
    /// A member is on trial.
    OnTrial(A),
    /// A member gets runs again.
    Back(A),
    /// Too many look bad: nobody is left out for a while.
    Distrusted,
    /// Members are left out again by what happens to their runs.
    Trusted,
    /// Spares are used.
    SparesOn,
    /// Spares are no longer used.
    SparesOff,
}

impl<A: fmt::Display> fmt::Display for Note<A> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::Out(member, why, out) => write!(f, "member={member} out for_ms={} why: {why}", out / 1000),
            Note::OnTrial(member) => write!(f, "member={member} on trial"),
            Note::Back(member) => write!(f, "member={member} back"),
            Note::Distrusted => write!(f, "most members look bad: none is left out for a while"),
            Note::Trusted => write!(f, "members are left out again"),
            Note::SparesOn => write!(f, "spares are used: no other member is usable"),
            Note::SparesOff => write!(f, "spares are no longer used"),
        }
    }
}

#[derive(Debug)]
struct Server<A> {
    number: u32,
    settings: Member<A>,
    health: Health,
    limit: Limit,
    /// Peak-sensitive: rises at once, fades. In microseconds, as of `seen`.
    latency: Option<f64>,
    seen: Micros,
    /// Runs under way, the oldest first.
    runs: BTreeSet<(Micros, Run)>,
    /// The operator has taken it out of the file: it finishes what it has.
    gone: bool,
    /// It is out, and another node tries it before this one does.
    behind: bool,
}

impl<A> Server<A> {
    fn latency(&self, now: Micros, fade: Micros, typical: f64) -> f64 {
        let faded = |latency: f64| latency * (-((now - self.seen).max(0) as f64) / fade.max(1) as f64).exp();
        let known = self.latency.map_or(typical, faded);
        // One that hangs shows in what it has not answered.
        let waits = self.runs.first().map_or(0, |(since, _)| now - since) as f64;
        known.max(waits / 2.0).max(1.0)
    }

    fn observe(&mut self, now: Micros, took: Micros, fade: Micros) {
        let took = took.max(1) as f64;
        let left = (-((now - self.seen).max(0) as f64) / fade.max(1) as f64).exp();
        self.latency = Some(match self.latency {
            Some(latency) if took < latency * left => {
                // A tenth each, or what the time has faded, whichever is more.
                (latency * left.min(0.9)).max(latency * left * 0.9 + took * 0.1).max(took)
            }
            _ => took,
        });
        self.seen = now;
    }

    fn enabled(&self) -> bool {
        !self.gone && self.settings.usage == Use::On
    }
}

/// The pool.
#[derive(Debug)]
pub struct Pool<A> {
    rules: Rules,
    rng: SmallRng,
    servers: Vec<Server<A>>,
    places: HashMap<u32, usize>,
    runs: HashMap<Run, (u32, Micros)>,
    next: (u32, Run),
    /// Those that the next run may go to, and those on trial: made anew after each change.
    usable: Vec<usize>,
    /// Their weights, added up.
    weights: Vec<f64>,
    trials: Vec<usize>,
    ring: Ring,
    budget: Budget,
    /// What a run takes, all members together, in microseconds.
    typical: f64,
    distrusted: Option<Micros>,
    /// Spares are used, and since when they need not be.
    spares: Option<Option<Micros>>,
    next_tick: Micros,
    judged: Micros,
    notes: Vec<Note<A>>,
}

/// A fixed hasher: the same key and address come to the same place on all nodes and after a restart.
#[derive(Clone, Copy, Debug, Default)]
struct Fixed;

impl BuildHasher for Fixed {
    type Hasher = std::hash::DefaultHasher;
    fn build_hasher(&self) -> Self::Hasher {
        std::hash::DefaultHasher::new()
    }
}

impl<A: Clone + PartialEq + Hash> Pool<A> {
    /// A pool of these members.
    pub fn new(rules: Rules, members: Vec<Member<A>>, seed: u64, now: Micros) -> Pool<A> {
        let mut pool = Pool {
            rules,
            rng: SmallRng::seed_from_u64(seed),
            servers: Vec::new(),
            places: HashMap::new(),
            runs: HashMap::new(),
            next: (0, 0),
            usable: Vec::new(),
            weights: Vec::new(),
            trials: Vec::new(),
            ring: Ring::default(),
            budget: Budget::new(rules.retry, now),
            typical: 1000.0,
            distrusted: None,
            spares: None,
            next_tick: Micros::MIN,
            judged: now,
            notes: Vec::new(),
        };
        for member in members {
            pool.enter(member, Health::new(rules.health, now));
        }
        pool.arrange(now);
        pool.belong();
        pool.notes.clear();
        pool
    }

    fn enter(&mut self, settings: Member<A>, health: Health) {
        self.next.0 += 1;
        let limit = Limit::new(self.rules.limit, settings.most_runs);
        self.servers.push(Server {
            number: self.next.0,
            settings,
            health,
            limit,
            latency: None,
            seen: Micros::MIN / 2,
            runs: BTreeSet::new(),
            gone: false,
            behind: false,
        });
    }

    /// The members are these from now on. One that stays keeps what is known of it, one that goes finishes what it has,
    /// and a newcomer starts slowly.
    pub fn update(&mut self, members: Vec<Member<A>>, now: Micros) {
        self.servers.iter_mut().for_each(|s| s.gone = true);
        for member in members {
            match self.servers.iter_mut().find(|s| s.settings.address == member.address) {
                Some(server) => {
                    server.limit.bound(member.most_runs);
                    (server.settings, server.gone) = (member, false);
                }
                None => self.enter(member, Health::newcomer(self.rules.health, now)),
            }
        }
        self.servers.retain(|s| !s.gone || !s.runs.is_empty());
        self.arrange(now);
        self.belong();
    }

    /// Works out anew which member a key belongs to. That depends on the file alone: a member that is out for a while has its
    /// keys again when it is back.
    fn belong(&mut self) {
        let named = |s: &Server<A>| mix(Fixed.hash_one(&s.settings.address));
        let ring = self.servers.iter().filter(|s| s.enabled() && !s.settings.spare);
        self.ring = Ring::new(ring.map(|s| (s.number, named(s), s.settings.weight)));
    }

    /// Works out anew who may get runs.
    fn arrange(&mut self, now: Micros) {
        self.places = self.servers.iter().enumerate().map(|(i, s)| (s.number, i)).collect();
        let distrusted = self.distrusted.is_some();
        let well = |s: &Server<A>| distrusted || s.health.part(now) > 0.0;
        let main = |s: &&Server<A>| s.enabled() && !s.settings.spare;
        let tier = self.servers.iter().filter(main).filter(|s| well(s)).map(|s| s.settings.tier).min();
        // Back from the spares only once another member has been usable for a while.
        self.spares = match (tier, self.spares) {
            (None, None) if self.servers.iter().any(|s| s.enabled() && s.settings.spare) => {
                self.notes.push(Note::SparesOn);
                Some(None)
            }
            (None, spares) => spares.map(|_| None),
            (Some(_), Some(None)) => Some(Some(now)),
            (Some(_), Some(Some(since))) if now >= since + self.rules.spares_stay => {
                self.notes.push(Note::SparesOff);
                None
            }
            (Some(_), spares) => spares,
        };
        let spares = self.spares.is_some();
        let picked = |s: &Server<A>| match s.settings.spare {
            true => spares,
            false => Some(s.settings.tier) == tier,
        };
        let all = || self.servers.iter().enumerate().filter(|(_, s)| s.enabled());
        self.usable = all().filter(|(_, s)| well(s) && picked(s)).map(|(i, _)| i).collect();
        self.trials = match distrusted {
            true => Vec::new(),
            false => {
                let on_trial = |s: &Server<A>| matches!(s.health.state(), State::Trial { .. });
                all().filter(|(_, s)| on_trial(s)).map(|(i, _)| i).collect()
            }
        };
        let mut sum = 0.0;
        let weights = self.usable.iter().map(|&i| {
            sum += self.servers[i].settings.weight;
            sum
        });
        self.weights = weights.collect();
        let ends = self.servers.iter().filter_map(|s| match s.health.state() {
            State::Out { until, .. } => Some(until),
            State::Warming { since } => Some(since + self.rules.health.warm),
            State::Up | State::Trial { .. } => None,
        });
        let spares = self.spares.flatten().map(|since| since + self.rules.spares_stay);
        self.next_tick = ends.chain(self.distrusted).chain(spares).min().unwrap_or(Micros::MAX);
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.next_tick {
            for server in &mut self.servers {
                let address = || server.settings.address.clone();
                if server.behind && server.health.put_off(now) {
                    continue;
                }
                if server.health.tick(now) && matches!(server.health.state(), State::Trial { .. }) {
                    self.notes.push(Note::OnTrial(address()));
                }
            }
            if self.distrusted.is_some_and(|until| now >= until) {
                self.distrusted = None;
                self.notes.push(Note::Trusted);
            }
            self.arrange(now);
        }
        if now >= self.judged + SECOND {
            self.judged = now;
            self.judge(now);
        }
    }

    /// Holds latencies against the pool's median.
    fn judge(&mut self, now: Micros) {
        let (fade, typical) = (self.rules.fade, self.typical);
        let mut all: Vec<f64> =
            self.usable.iter().map(|&i| self.servers[i].latency(now, fade, typical)).collect();
        if all.len() < 3 {
            return;
        }
        all.sort_by(f64::total_cmp);
        let median = all[(all.len() - 1) / 2];
        for i in self.usable.clone() {
            let server = &self.servers[i];
            if let Some(why) = server.health.slow(server.latency(now, fade, typical), median) {
                self.take_out(now, i, why);
            }
        }
    }

    /// Takes a member out, unless too many would be.
    fn take_out(&mut self, now: Micros, i: usize, why: Why) {
        if self.distrusted.is_some() {
            return;
        }
        let main = || self.servers.iter().filter(|s| s.enabled() && !s.settings.spare);
        let (enabled, out) = (main().count(), main().filter(|s| s.health.part(now) == 0.0).count());
        // Spares that can bear a good part of the load are there for this.
        let weight = |s: &Server<A>| s.settings.weight;
        let spares = self.servers.iter().filter(|s| s.enabled() && s.settings.spare);
        let spare: f64 = spares.filter(|s| s.health.part(now) > 0.0).map(weight).sum();
        let relieved = spare >= self.rules.most_out * main().map(weight).sum::<f64>() && spare > 0.0;
        let on_trial = matches!(self.servers[i].health.state(), State::Trial { .. });
        // Of a lone member nobody is better off without it.
        if !on_trial && !relieved && (out + 1) as f64 > self.rules.most_out * enabled as f64 {
            self.distrusted = Some(now + self.rules.distrust);
            self.notes.push(Note::Distrusted);
            return self.arrange(now);
        }
        let server = &mut self.servers[i];
        server.health.take_out(now, why);
        if let State::Out { until, .. } = server.health.state() {
            self.notes.push(Note::Out(server.settings.address.clone(), why, until - now));
        }
        self.arrange(now);
    }

    fn room(&self, i: usize) -> bool {
        self.servers[i].runs.len() < self.servers[i].limit.runs()
    }

    /// The part of its share that a member gets now.
    fn part(&self, now: Micros, i: usize) -> f64 {
        match self.distrusted {
            Some(_) => 1.0,
            None => self.servers[i].health.part(now).max(0.01),
        }
    }

    fn load(&self, now: Micros, i: usize) -> f64 {
        let server = &self.servers[i];
        let latency = server.latency(now, self.rules.fade, self.typical);
        // Idle members are alike but for their latency; their weights are in how often they are drawn.
        (server.runs.len() as f64 / (server.settings.weight * self.part(now, i)) + 1.0) * latency
    }

    /// A usable member, as often as its weight says, and one that warms up more seldom.
    fn draw(&mut self, now: Micros) -> usize {
        let sum = *self.weights.last().expect("one is usable");
        let mut i = 0;
        for _ in 0..3 {
            let at = self.rng.random_range(0.0..sum);
            i = self.usable[self.weights.partition_point(|w| *w <= at).min(self.usable.len() - 1)];
            let part = self.part(now, i);
            if part >= 1.0 || self.rng.random_bool(part) {
                break;
            }
        }
        i
    }

    /// A place for a first try.
    pub fn place(&mut self, now: Micros, ask: Ask) -> Place<A> {
        if ask.tried.is_empty() {
            self.budget.first();
        }
        self.tick(now);
        let tried = |s: &Server<A>| ask.tried.contains(&s.number);
        // A member on trial goes first: nobody else can tell whether it is well.
        let trial = self.trials.iter().copied().find(|&i| {
            let server = &self.servers[i];
            !tried(server) && server.health.may_try(now, ask.safe, server.runs.len())
        });
        if let Some(i) = trial {
            return self.put(now, i);
        }
        if let Some(i) = ask.key.and_then(|key| self.sticky(now, key, ask.tried)) {
            return self.put(now, i);
        }
        let count = self.usable.len();
        let open = |pool: &Pool<A>, i: usize| !tried(&pool.servers[i]) && pool.room(i);
        // Two at random, a few times over: with most members open one time is enough.
        for _ in 0..4 {
            if count < 2 {
                break;
            }
            let two = [self.draw(now), self.draw(now)];
            match two.map(|i| open(self, i)) {
                [true, true] => {
                    let [a, b] = two.map(|i| self.load(now, i));
                    return self.put(now, if b < a { two[1] } else { two[0] });
                }
                [true, false] => return self.put(now, two[0]),
                [false, true] => return self.put(now, two[1]),
                [false, false] => {}
            }
        }
        let all = self.usable.iter().copied().filter(|&i| open(self, i));
        match all.min_by(|&a, &b| self.load(now, a).total_cmp(&self.load(now, b))) {
            Some(i) => self.put(now, i),
            None if self.usable.iter().any(|&i| !tried(&self.servers[i])) => Place::NoRoom,
            None => Place::Nobody,
        }
    }

    /// A place at one member alone, whether it is left out or not: for what can't be anywhere else.
    pub fn place_at(&mut self, now: Micros, ask: Ask, address: &A) -> Place<A> {
        if ask.tried.is_empty() {
            self.budget.first();
        }
        self.tick(now);
        let there = |s: &Server<A>| !s.gone && s.settings.address == *address;
        match self.servers.iter().position(there) {
            Some(i) if ask.tried.contains(&self.servers[i].number) => Place::Nobody,
            Some(i) if self.room(i) => self.put(now, i),
            Some(_) => Place::NoRoom,
            None => Place::Nobody,
        }
    }

    /// The member that a key belongs to, or the next one in its order that is not crowded.
    fn sticky(&self, now: Micros, key: u64, tried: &[u32]) -> Option<usize> {
        let runs = self.runs.len();
        let weights = self.weights.last().copied().unwrap_or_default();
        let fits = |i: usize| {
            let server = &self.servers[i];
            let share = (runs + 1) as f64 * server.settings.weight / weights.max(1e-9);
            let most = (self.rules.crowd * share).ceil().max(1.0);
            let well = self.distrusted.is_some() || server.health.part(now) > 0.0;
            let free = !tried.contains(&server.number) && self.room(i);
            well && free && ((server.runs.len() + 1) as f64) <= most
        };
        self.ring.order(key).take(256).filter_map(|n| self.places.get(&n).copied()).find(|&i| fits(i))
    }

    fn put(&mut self, now: Micros, i: usize) -> Place<A> {
        self.next.1 += 1;
        let run = self.next.1;
        let server = &mut self.servers[i];
        server.runs.insert((now, run));
        self.runs.insert(run, (server.number, now));
        Place::At { run, member: server.number, address: server.settings.address.clone() }
    }

    /// A run has ended.
    pub fn ended(&mut self, now: Micros, run: Run, end: End) {
        let Some((number, since)) = self.runs.remove(&run) else { return };
        let Some(&i) = self.places.get(&number) else { return };
        let (fade, typical) = (self.rules.fade, &mut self.typical);
        let server = &mut self.servers[i];
        let in_flight = server.runs.len();
        server.runs.remove(&(since, run));
        let took = (now - since).max(0);
        let mut out = None;
        let patient = took as f64 >= *typical * self.rules.health.slower;
        match end {
            End::Well => {
                server.observe(now, took, fade);
                *typical += (took as f64 - *typical) * 0.02;
                server.limit.went_well(now, since, in_flight);
                if server.health.went_well(now) {
                    self.notes.push(Note::Back(server.settings.address.clone()));
                    self.arrange(now);
                }
            }
            End::TimedOut if !patient => {}
            End::Failed | End::TimedOut => {
                // One that fails at once must not look quick.
                server.observe(now, took.max(*typical as Micros), fade);
                out = server.health.failed();
            }
            End::Unreachable => out = server.health.failed(),
        }
        if let Some(why) = out {
            self.take_out(now, i, why);
        }
        if self.servers[i].gone && self.servers[i].runs.is_empty() {
            self.servers.remove(i);
            self.arrange(now);
        }
        self.tick(now);
    }

    /// Members that are left out, or on trial.
    pub fn out(&self) -> impl Iterator<Item = &A> {
        let out = |s: &&Server<A>| matches!(s.health.state(), State::Out { .. } | State::Trial { .. });
        self.servers.iter().filter(|s| !s.gone).filter(out).map(|s| &s.settings.address)
    }

    /// Members that are left out, or on trial, as their runs failed.
    pub fn failing(&self) -> impl Iterator<Item = &A> {
        self.servers.iter().filter(|s| !s.gone && s.health.failing()).map(|s| &s.settings.address)
    }

    /// Whether another node tries a member first that is left out.
    pub fn behind(&mut self, address: &A, behind: bool) {
        self.servers.iter_mut().filter(|s| s.settings.address == *address).for_each(|s| s.behind = behind);
    }

    /// Another node has found a member to be well: it is tried sooner here.
    pub fn found_well(&mut self, now: Micros, address: &A) {
        let server = self.servers.iter_mut().find(|s| s.settings.address == *address);
        if server.is_some_and(|s| s.health.sooner(now)) {
            self.arrange(now);
        }
    }

    /// From now on so much of the budget of repeats is this node's.
    pub fn divide(&mut self, part: f64) {
        self.budget.divide(part);
    }

    /// How long to wait before a further try of a request, if it may have one.
    pub fn again(&mut self, now: Micros, further: Further) -> Option<Micros> {
        self.budget.again(now, further, &mut self.rng)
    }

    /// Changes since the last call, in order.
    pub fn notes(&mut self) -> Vec<Note<A>> {
        std::mem::take(&mut self.notes)
    }

    /// Runs under way.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// A line for each member: its state and why, since when, its runs and limit, its latency.
    pub fn report(&self, now: Micros) -> Vec<String>
    where
        A: fmt::Display,
    {
        let line = |s: &Server<A>| {
            let state = match (s.gone, s.settings.usage, s.health.state()) {
                (true, ..) => "leaving".to_owned(),
                (_, Use::Disabled, _) => "disabled".to_owned(),
                (_, Use::Draining, _) => "draining".to_owned(),
                (_, _, State::Up) => "up".to_owned(),
                (_, _, State::Out { why, .. }) => format!("out({why})"),
                (_, _, State::Trial { .. }) => "trial".to_owned(),
                (_, _, State::Warming { .. }) => "warming".to_owned(),
            };
            let latency = s.latency(now, self.rules.fade, self.typical) / 1000.0;
            let since = (now - s.health.since).max(0) / SECOND;
            format!(
                "member={} state={state} since_s={since} runs={} limit={} latency_ms={latency:.1} weight={}{}",
                s.settings.address,
                s.runs.len(),
                s.limit.runs(),
                s.settings.weight,
                if s.settings.spare { " spare" } else { "" }
            )
        };
        self.servers.iter().map(line).collect()
    }
}
