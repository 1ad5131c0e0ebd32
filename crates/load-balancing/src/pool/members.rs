//! Who is a member, and who of them is usable.

use super::*;

impl<A: Clone + PartialEq + Hash> Pool<A> {
    /// A pool of these members.
    pub fn new(rules: PoolConfig, members: Vec<Member<A>>, seed: u64, now: Micros) -> Pool<A> {
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
            warming: Vec::new(),
            ring: HashRing::default(),
            budget: RetryBudget::new(rules.retry, now),
            typical: 1000.0,
            distrusted: None,
            spares: None,
            next_tick: Micros::MIN,
            judged: now,
            notes: Vec::new(),
        };
        for member in members {
            pool.enter(member, OutlierDetector::new(rules.outlier_detection, now));
        }
        pool.arrange(now);
        pool.belong();
        pool.notes.clear();
        pool
    }

    pub(super) fn enter(&mut self, settings: Member<A>, health: OutlierDetector) {
        self.next.0 += 1;
        let limit = ConcurrencyLimit::new(self.rules.concurrency_limit, settings.max_runs);
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

    /// The members are these from now on. One that stays keeps what is known of it, one that goes
    /// finishes what it has, and a newcomer starts slowly.
    pub fn update(&mut self, members: Vec<Member<A>>, now: Micros) {
        self.servers.iter_mut().for_each(|s| s.gone = true);
        for member in members {
            match self
                .servers
                .iter_mut()
                .find(|s| s.settings.address == member.address)
            {
                Some(server) => {
                    server.limit.set_upper_bound(member.max_runs);
                    (server.settings, server.gone) = (member, false);
                }
                None => self.enter(
                    member,
                    OutlierDetector::with_slow_start(self.rules.outlier_detection, now),
                ),
            }
        }
        self.servers.retain(|s| !s.gone || !s.runs.is_empty());
        self.arrange(now);
        self.belong();
    }

    /// Works out anew which member a key belongs to. That depends on the file alone: a member that
    /// is out for a while has its keys again when it is back.
    pub(super) fn belong(&mut self) {
        let named = |s: &Server<A>| splitmix64(Fixed.hash_one(&s.settings.address));
        let ring = self
            .servers
            .iter()
            .filter(|s| s.enabled() && !s.settings.is_standby);
        self.ring = HashRing::new(ring.map(|s| (s.number, named(s), s.settings.weight)));
    }

    /// Works out anew who may get runs.
    pub(super) fn arrange(&mut self, now: Micros) {
        self.places = self
            .servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.number, i))
            .collect();
        let distrusted = self.distrusted.is_some();
        let well = |s: &Server<A>| distrusted || s.health.traffic_share(now) > 0.0;
        let main = |s: &&Server<A>| s.enabled() && !s.settings.is_standby;
        let tier = self
            .servers
            .iter()
            .filter(main)
            .filter(|s| well(s))
            .map(|s| s.settings.tier)
            .min();
        // Back from the spares only once another member has been usable for a while.
        self.spares = match (tier, self.spares) {
            (None, None)
                if self
                    .servers
                    .iter()
                    .any(|s| s.enabled() && s.settings.is_standby) =>
            {
                self.notes.push(PoolEvent::StandbyActivated);
                Some(None)
            }
            (None, spares) => spares.map(|_| None),
            (Some(_), Some(None)) => Some(Some(now)),
            (Some(_), Some(Some(since))) if now >= since + self.rules.standby_hold => {
                self.notes.push(PoolEvent::StandbyReleased);
                None
            }
            (Some(_), spares) => spares,
        };
        let spares = self.spares.is_some();
        let picked = |s: &Server<A>| match s.settings.is_standby {
            true => spares,
            false => Some(s.settings.tier) == tier,
        };
        let all = || self.servers.iter().enumerate().filter(|(_, s)| s.enabled());
        self.usable = all()
            .filter(|(_, s)| well(s) && picked(s))
            .map(|(i, _)| i)
            .collect();
        self.trials = match distrusted {
            true => Vec::new(),
            false => {
                let on_trial =
                    |s: &Server<A>| matches!(s.health.state(), MemberState::Probation { .. });
                all().filter(|(_, s)| on_trial(s)).map(|(i, _)| i).collect()
            }
        };
        let warms = |i: &usize| {
            matches!(
                self.servers[*i].health.state(),
                MemberState::SlowStart { .. }
            )
        };
        self.warming = match distrusted {
            true => Vec::new(),
            false => self.usable.iter().copied().filter(warms).collect(),
        };
        let mut sum = 0.0;
        let weights = self.usable.iter().map(|&i| {
            sum += self.servers[i].settings.weight;
            sum
        });
        self.weights = weights.collect();
        let ends = self.servers.iter().filter_map(|s| match s.health.state() {
            MemberState::Ejected { until, .. } => Some(until),
            MemberState::SlowStart { since } => {
                Some(since + self.rules.outlier_detection.slow_start)
            }
            MemberState::Healthy | MemberState::Probation { .. } => None,
        });
        let spares = self
            .spares
            .flatten()
            .map(|since| since + self.rules.standby_hold);
        self.next_tick = ends
            .chain(self.distrusted)
            .chain(spares)
            .min()
            .unwrap_or(Micros::MAX);
    }
}
