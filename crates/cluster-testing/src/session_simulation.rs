//! Many nodes' parts in sessions that stay, under a virtual clock: with messages that are lost,
//! late or come twice, nodes that come and go, halves that don't hear each other, and versions that
//! each node takes at its own time. The same seed gives the same.

use fastrand::Rng;
use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use pipitlever_session_affinity::message::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds.
pub type Micros = i64;
const S: Micros = 1_000_000;

/// What happens to messages and news.
#[derive(Clone, Copy, Debug)]
pub struct FaultSettings {
    /// So many messages of a hundred are lost.
    pub loss: f64,
    /// So many come twice.
    pub twice: f64,
    /// They take up to so long.
    pub delay: Micros,
    /// So many of a hundred take two seconds.
    pub late: f64,
    /// News of members and versions takes up to so long to each node.
    pub news: Micros,
}

enum Event {
    /// A message, from one node to another.
    Said(usize, usize, Vec<u8>),
    /// A node looks at its clock.
    Wake(usize),
    /// A node hears who is there.
    View(usize),
    /// A node takes a version.
    Take(usize, u64),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// Its worker, by number in the version that its node acts on; and how long it waited.
    Worker(u32, Micros),
    /// To nobody.
    Unavailable,
}

/// The nodes and what is between them.
pub struct Simulation {
    /// The time.
    pub now: Micros,
    ways: FaultSettings,
    rng: Rng,
    nodes: Vec<Option<SessionDirectory>>,
    /// The version that each node acts on.
    acting: Vec<u64>,
    /// Nodes of two groups don't hear each other.
    groups: Vec<usize>,
    versions: Vec<Pool>,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    held: BTreeMap<u64, Event>,
    wakes: Vec<Micros>,
    /// What each tells with the view: that it has what it is to remember.
    filled: Vec<bool>,
    sequence: u64,
    started: u64,
    next_request: u64,
    /// Bytes that were sent.
    pub sent: u64,
}

/// A pool of these workers, each with its name, weight, and whether it takes sessions.
pub fn pool(workers: &[(u32, f64, bool)], patience: Micros) -> Pool {
    let server = |(name, weight, takes): &(u32, f64, bool)| WorkerSettings {
        name: format!("w{name}"),
        weight: *weight,
        accepts_sessions: *takes,
        is_draining: !takes,
    };
    let workers = workers.iter().map(server).collect();
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers,
        idle_timeout_seconds: 36 * 3600,
        failure_grace: patience,
        drain_grace: 36 * 3600 * S,
    }
}

impl Simulation {
    /// So many nodes, that all start now with this version.
    pub fn new(nodes: usize, first: Pool, ways: FaultSettings, seed: u64) -> Simulation {
        let mut world = Simulation {
            now: 0,
            ways,
            rng: Rng::with_seed(seed),
            nodes: (0..nodes).map(|_| None).collect(),
            acting: vec![0; nodes],
            groups: vec![0; nodes],
            versions: vec![first],
            events: BinaryHeap::new(),
            held: BTreeMap::new(),
            wakes: vec![Micros::MAX; nodes],
            filled: vec![false; nodes],
            sequence: 0,
            started: 0,
            next_request: 0,
            sent: 0,
        };
        (0..nodes).for_each(|i| world.start(i));
        world
    }

    fn at(&mut self, time: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence)));
        self.held.insert(self.sequence, event);
    }

    /// A node starts, and knows nothing. The others hear of it.
    pub fn start(&mut self, i: usize) {
        self.started += 1;
        let version = self.versions.len() as u64 - 1;
        let settings = DirectorySettings {
            lookup_timeout: 60_000,
            max_sessions: 4_000_000,
        };
        let pools = vec![self.versions[version as usize].clone()];
        let mut node = SessionDirectory::new(
            &format!("n{i}"),
            settings,
            Vec::new(),
            1_000,
            self.started,
            self.now,
        );
        node.set_pools(self.now, version, pools);
        self.nodes[i] = Some(node);
        self.filled[i] = false;
        self.acting[i] = version;
        self.news();
    }

    /// A node dies with what it knew.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
        self.news();
    }

    /// The nodes are in these groups from now on, or in one.
    pub fn split(&mut self, group: impl Fn(usize) -> usize) {
        (0..self.nodes.len()).for_each(|i| self.groups[i] = group(i));
        self.news();
    }

    /// All hear who is there, each at its own time.
    fn news(&mut self) {
        for i in 0..self.nodes.len() {
            let time = self.now + self.rng.i64(0..=self.ways.news);
            self.at(time, Event::View(i));
        }
    }

    /// A version, which all take, each at its own time.
    pub fn publish(&mut self, pool: Pool) {
        self.publish_to(pool, |_| true);
    }

    /// A version that reaches some alone.
    pub fn publish_to(&mut self, pool: Pool, to: impl Fn(usize) -> bool) {
        self.versions.push(pool);
        let version = self.versions.len() as u64 - 1;
        for i in (0..self.nodes.len()).filter(|i| to(*i)) {
            let time = self.now + self.rng.i64(0..=self.ways.news);
            self.at(time, Event::Take(i, version));
        }
    }

    /// There are so many nodes: those beyond the ones that were start now, all at once.
    pub fn grow(&mut self, nodes: usize) {
        let before = self.nodes.len();
        self.nodes.resize_with(nodes, || None);
        self.acting.resize(nodes, 0);
        self.groups.resize(nodes, 0);
        self.wakes.resize(nodes, Micros::MAX);
        self.filled.resize(nodes, false);
        (before..nodes).for_each(|i| self.start(i));
    }

    /// How many nodes there are, those that are not running too.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// These workers fail, or none does, as all nodes find at once.
    pub fn fail(&mut self, workers: &[u32]) {
        self.fail_at(workers, |_| true);
    }

    /// The same, as some nodes find: their way there is bad.
    pub fn fail_at(&mut self, workers: &[u32], at: impl Fn(usize) -> bool) {
        let now = self.now;
        let nodes = self.nodes.iter_mut().enumerate().filter(|(i, _)| at(*i));
        for node in nodes.filter_map(|(_, n)| n.as_mut()) {
            let state = &node.pools()[0];
            let at = |w: &u32| {
                state
                    .pool
                    .workers
                    .iter()
                    .position(|s| s.name == format!("w{w}"))
            };
            let out: Vec<u32> = workers.iter().filter_map(|w| state.id(at(w)?)).collect();
            node.set_ejected_workers(now, 0, &out);
        }
    }

    /// Whether a node is there, and takes clients with sessions.
    pub fn there(&self, i: usize) -> bool {
        self.nodes[i]
            .as_ref()
            .is_some_and(SessionDirectory::is_ready)
    }

    /// The version that a node acts on.
    pub fn acting(&self, i: usize) -> u64 {
        self.acting[i]
    }

    /// What each node holds of a session, for whoever looks for a fault.
    pub fn held(&self, key: u64) -> Vec<String> {
        let held = |(i, n): (usize, &Option<SessionDirectory>)| {
            let placement = n
                .as_ref()
                .and_then(|n| n.placement(self.now, 0, SessionKey::Session(key)));
            placement.map(|p| format!("n{i}: {p:?}"))
        };
        self.nodes.iter().enumerate().filter_map(held).collect()
    }

    /// Whether all have what they are to remember.
    pub fn filled(&self) -> bool {
        self.nodes
            .iter()
            .flatten()
            .all(SessionDirectory::is_bootstrapped)
    }

    /// The most that a node remembers, and what all of them take.
    pub fn memory(&self) -> (usize, usize) {
        let tables = || self.nodes.iter().flatten().map(SessionDirectory::table);
        (
            tables().map(|t| t.len()).max().unwrap_or_default(),
            tables().map(|t| t.bytes()).sum(),
        )
    }

    /// Does all that is due by then.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((time, sequence))) = self
            .events
            .peek()
            .copied()
            .filter(|Reverse((t, _))| *t <= until)
        {
            self.events.pop();
            let Some(event) = self.held.remove(&sequence) else {
                continue;
            };
            self.now = self.now.max(time);
            self.happen(event);
        }
        self.now = self.now.max(until);
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        let i = match event {
            Event::Said(from, to, bytes) => {
                // Those who have been parted since don't hear it.
                if self.groups[from] == self.groups[to] {
                    if let (Some(node), Some(message)) =
                        (&mut self.nodes[to], Message::decode(&bytes))
                    {
                        node.handle_message(now, &format!("n{from}"), &message);
                    }
                }
                to
            }
            Event::Wake(i) => {
                if self.wakes[i] > now {
                    return;
                }
                self.wakes[i] = Micros::MAX;
                if let Some(node) = &mut self.nodes[i] {
                    node.handle_wakeup(now);
                }
                i
            }
            Event::View(i) => {
                let here = |j: &usize| *j != i && self.groups[*j] == self.groups[i];
                let peer = |j: usize| {
                    self.nodes[j].as_ref().map(|_| Peer {
                        name: format!("n{j}"),
                        is_bootstrapped: self.filled[j],
                    })
                };
                let peers: Vec<Peer> = (0..self.nodes.len())
                    .filter(here)
                    .filter_map(peer)
                    .collect();
                if let Some(node) = &mut self.nodes[i] {
                    node.handle_membership_change(now, peers, true);
                }
                i
            }
            Event::Take(i, version) => {
                if version > self.acting[i] {
                    if let Some(node) = &mut self.nodes[i] {
                        self.acting[i] = version;
                        node.set_pools(now, version, vec![self.versions[version as usize].clone()]);
                    }
                }
                i
            }
        };
        self.carry(i);
    }

    /// Carries what a node has to say, and wakes it in time.
    fn carry(&mut self, i: usize) {
        let Some(node) = &mut self.nodes[i] else {
            return;
        };
        let out = node.take_messages();
        let due = node.next_wakeup().max(self.now + 1);
        let news = std::mem::replace(&mut self.filled[i], node.is_bootstrapped())
            != node.is_bootstrapped();
        for message in out {
            let bytes = message.payload;
            self.sent += bytes.len() as u64;
            let to: usize = message.recipient[1..].parse().expect("a node's number");
            let times = 1 + usize::from(self.rng.f64() * 100.0 < self.ways.twice);
            for _ in 0..times {
                if self.rng.f64() * 100.0 >= self.ways.loss {
                    let late = self.rng.f64() * 100.0 < self.ways.late;
                    let delay = self.rng.i64(1..=self.ways.delay.max(1));
                    let time = self.now + if late { 2 * S } else { delay };
                    self.at(time, Event::Said(i, to, bytes.clone()));
                }
            }
        }
        if due < self.wakes[i] {
            self.wakes[i] = due;
            self.at(due, Event::Wake(i));
        }
        if news {
            // That it is a home now travels with the view.
            self.news();
        }
    }

    /// A request of a session comes to a node: where it goes.
    pub fn ask(&mut self, i: usize, key: u64) -> RouteOutcome {
        self.look_for(i, SessionKey::Session(key))
    }

    /// A keyed request whose session lives with this worker comes to a node: where it goes.
    pub fn ask_key(&mut self, i: usize, key: u64, worker: u32) -> RouteOutcome {
        let Some(node) = &self.nodes[i] else {
            return RouteOutcome::Unavailable;
        };
        let state = &node.pools()[0];
        let at = state
            .pool
            .workers
            .iter()
            .position(|s| s.name == format!("w{worker}"));
        let worker = at.and_then(|at| state.id(at)).expect("it is in the file");
        self.look_for(i, SessionKey::IdempotencyKey(key, worker))
    }

    fn look_for(&mut self, i: usize, what: SessionKey) -> RouteOutcome {
        self.next_request += 1;
        let (start, request) = (self.now, self.next_request);
        let Some(node) = &mut self.nodes[i] else {
            return RouteOutcome::Unavailable;
        };
        let mut found = node.resolve(start, 0, what, request);
        while found == Resolution::Pending {
            self.carry(i);
            let next = self
                .events
                .peek()
                .map_or(self.now + S, |Reverse((t, _))| *t);
            self.run_until(next);
            let Some(node) = &mut self.nodes[i] else {
                return RouteOutcome::Unavailable;
            };
            // Others that wait would be told by the same; here there is one at a time.
            if let Some(resolved) = node
                .take_resolutions()
                .into_iter()
                .find(|resolved| resolved.request == request)
            {
                found = resolved.resolution;
            }
        }
        self.carry(i);
        let Some(node) = &self.nodes[i] else {
            return RouteOutcome::Unavailable;
        };
        match found {
            Resolution::Worker(worker) => {
                let state = &node.pools()[0];
                let at = state.position(worker).expect("it is in the file");
                let number = state.pool.workers[at].name[1..]
                    .parse()
                    .expect("a worker's number");
                RouteOutcome::Worker(number, self.now - start)
            }
            Resolution::Pending | Resolution::Unavailable => RouteOutcome::Unavailable,
        }
    }
}
