//! Who gets a run, and what its end says.

use super::*;

/// Members drawn for a request, of which the less loaded one gets it.
const CHOICES: usize = 2;

impl<A: Clone + PartialEq + Hash> Pool<A> {
    pub(super) fn room(&self, i: usize) -> bool {
        self.servers[i].runs.len() < self.servers[i].limit.allowed_runs()
    }

    /// The part of its share that a member gets now.
    pub(super) fn part(&self, now: Micros, i: usize) -> f64 {
        match self.distrusted {
            Some(_) => 1.0,
            None => self.servers[i].health.traffic_share(now).max(0.01),
        }
    }

    pub(super) fn load(&self, now: Micros, i: usize) -> f64 {
        let server = &self.servers[i];
        let latency = server.latency(now, self.rules.latency_decay, self.typical);
        // Idle members are alike but for their latency; their weights are in how often they are
        // drawn.
        (server.runs.len() as f64 / (server.settings.weight * self.part(now, i)) + 1.0) * latency
    }

    /// A usable member, as often as its weight says.
    pub(super) fn draw(&mut self) -> usize {
        let sum = *self.weights.last().expect("one is usable");
        let at = self.rng.random_range(0.0..sum);
        self.usable[self
            .weights
            .partition_point(|w| *w <= at)
            .min(self.usable.len() - 1)]
    }

    /// The members that warm up and are left out of this request's choice.
    ///
    /// Each is drawn for the request, and not by its load: with many processes each of them has
    /// next to nothing in a new member's hands, and would take it to be idle. Whoever is among two
    /// drawn gets up to twice its share by being the less loaded one, so it may be among them half
    /// as often; what all processes send together then keeps to the ramp.
    fn left_out(&mut self, now: Micros) -> Vec<usize> {
        let mut left_out = Vec::new();
        if self.warming.len() == self.usable.len() {
            // All are as new: nobody else can take what they are spared.
            return left_out;
        }
        for at in 0..self.warming.len() {
            let i = self.warming[at];
            let part = self.part(now, i);
            if part < 1.0 && !self.rng.random_bool(part / CHOICES as f64) {
                left_out.push(i);
            }
        }
        left_out
    }

    /// A place for a first try.
    pub fn select(&mut self, now: Micros, ask: SelectionRequest) -> Selection<A> {
        if ask.attempted_members.is_empty() {
            self.budget.record_first_attempt();
        }
        self.tick(now);
        let tried = |s: &Server<A>| ask.attempted_members.contains(&s.number);
        // A member on trial goes first: nobody else can tell whether it is well.
        let trial = self.trials.iter().copied().find(|&i| {
            let server = &self.servers[i];
            !tried(server)
                && server
                    .health
                    .accepts_probe(now, ask.is_idempotent, server.runs.len())
        });
        if let Some(i) = trial {
            return self.put(now, i);
        }
        if let Some(i) = ask
            .hash_key
            .and_then(|key| self.sticky(now, key, ask.attempted_members))
        {
            return self.put(now, i);
        }
        let count = self.usable.len();
        let free = |pool: &Pool<A>, i: usize| !tried(&pool.servers[i]) && pool.room(i);
        let left_out = self.left_out(now);
        let open = |pool: &Pool<A>, i: usize| free(pool, i) && !left_out.contains(&i);
        // Two at random, a few times over: with most members open one time is enough.
        for _ in 0..4 {
            if count < 2 {
                break;
            }
            let two: [usize; CHOICES] = [self.draw(), self.draw()];
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
        let least = |among: &dyn Fn(usize) -> bool| {
            let all = self.usable.iter().copied().filter(|&i| among(i));
            all.min_by(|&a, &b| self.load(now, a).total_cmp(&self.load(now, b)))
        };
        // Where nobody else has room, one that warms up is better than none.
        match least(&|i| open(self, i)).or_else(|| least(&|i| free(self, i))) {
            Some(i) => self.put(now, i),
            None if self.usable.iter().any(|&i| !tried(&self.servers[i])) => Selection::AtCapacity,
            None => Selection::Unavailable,
        }
    }

    /// A place at one member alone, whether it is left out or not: for what can't be anywhere else.
    pub fn select_member(
        &mut self,
        now: Micros,
        ask: SelectionRequest,
        address: &A,
    ) -> Selection<A> {
        if ask.attempted_members.is_empty() {
            self.budget.record_first_attempt();
        }
        self.tick(now);
        let there = |s: &Server<A>| !s.gone && s.settings.address == *address;
        match self.servers.iter().position(there) {
            Some(i) if ask.attempted_members.contains(&self.servers[i].number) => {
                Selection::Unavailable
            }
            Some(i) if self.room(i) => self.put(now, i),
            Some(_) => Selection::AtCapacity,
            None => Selection::Unavailable,
        }
    }

    /// The member that a key belongs to, or the next one in its order that is not crowded.
    pub(super) fn sticky(&self, now: Micros, key: u64, tried: &[u32]) -> Option<usize> {
        let runs = self.runs.len();
        let weights = self.weights.last().copied().unwrap_or_default();
        let fits = |i: usize| {
            let server = &self.servers[i];
            let share = (runs + 1) as f64 * server.settings.weight / weights.max(1e-9);
            let most = (self.rules.hash_load_factor * share).ceil().max(1.0);
            let well = self.distrusted.is_some() || server.health.traffic_share(now) > 0.0;
            let free = !tried.contains(&server.number) && self.room(i);
            well && free && ((server.runs.len() + 1) as f64) <= most
        };
        self.ring
            .preference_order(key)
            .take(256)
            .filter_map(|n| self.places.get(&n).copied())
            .find(|&i| fits(i))
    }

    pub(super) fn put(&mut self, now: Micros, i: usize) -> Selection<A> {
        self.next.1 += 1;
        let run = self.next.1;
        let server = &mut self.servers[i];
        server.runs.insert((now, run));
        self.runs.insert(run, (server.number, now));
        Selection::Selected {
            run,
            member: server.number,
            address: server.settings.address.clone(),
        }
    }

    /// A run has ended.
    pub fn complete_run(&mut self, now: Micros, run: RunId, end: RunOutcome) {
        let Some((number, since)) = self.runs.remove(&run) else {
            return;
        };
        let Some(&i) = self.places.get(&number) else {
            return;
        };
        let (fade, typical) = (self.rules.latency_decay, &mut self.typical);
        let server = &mut self.servers[i];
        let in_flight = server.runs.len();
        server.runs.remove(&(since, run));
        let took = (now - since).max(0);
        let mut out = None;
        let patient = took as f64 >= *typical * self.rules.outlier_detection.latency_factor;
        match end {
            RunOutcome::Succeeded => {
                server.observe(now, took, fade);
                *typical += (took as f64 - *typical) * 0.02;
                server.limit.record_success(now, since, in_flight);
                if server.health.record_success(now) {
                    self.notes
                        .push(PoolEvent::Recovered(server.settings.address.clone()));
                    self.arrange(now);
                }
            }
            RunOutcome::TimedOut if !patient => {}
            RunOutcome::Failed | RunOutcome::TimedOut => {
                // One that fails at once must not look quick.
                server.observe(now, took.max(*typical as Micros), fade);
                out = server.health.record_failure();
            }
            RunOutcome::Unreachable => out = server.health.record_failure(),
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

    /// How long to wait before a further try of a request, if it may have one.
    pub fn acquire_retry(&mut self, now: Micros, further: RetryRequest) -> Option<Micros> {
        self.budget.acquire(now, further, &mut self.rng)
    }

    /// From now on so much of the budget of repeats is this node's.
    pub fn set_budget_share(&mut self, part: f64) {
        self.budget.set_share(part);
    }

    /// Changes since the last call, in order.
    pub fn take_events(&mut self) -> Vec<PoolEvent<A>> {
        std::mem::take(&mut self.notes)
    }

    /// Runs under way.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }
}
