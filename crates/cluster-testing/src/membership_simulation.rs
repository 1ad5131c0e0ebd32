//! Nodes of the fleet on a simulated network under a virtual clock. What a seed and a script make
//! of it is the same each time.

use fastrand::Rng;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::Event;
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::record::{ServiceState, State};
use pipitlever_membership::sync::SyncSession;
use pipitlever_membership::{Membership, Micros};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// Datagrams that a stopped process finds when it goes on; the system drops the rest.
const BUFFERED: usize = 256;

/// How the network is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Net {
    /// The least time that a datagram is on its way, in microseconds.
    pub delay: Micros,
    /// What may come on top of it: what was sent later may come sooner.
    pub jitter: Micros,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub twice: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            delay: 200,
            jitter: 1800,
            loss: 0.0,
            twice: 0.0,
        }
    }
}

/// What a node has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes on connections.
    pub streamed: u64,
    /// Connections that it has opened.
    pub connections: u64,
}

enum What {
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    Wake {
        node: usize,
    },
    Stream {
        id: u64,
        answers: bool,
        bytes: Vec<u8>,
    },
}

struct Node {
    name: String,
    fleet: Option<Membership>,
    /// Its clock runs so much faster, and began there.
    rate: f64,
    offset: Micros,
    /// A turn takes up to so much; when this one began, and when it is over.
    lag: Micros,
    turn: Micros,
    busy: Micros,
    paused: bool,
    inbox: Vec<Vec<u8>>,
    wake: Option<Micros>,
    /// Which process of this name it is.
    life: u64,
    sent: Sent,
}

struct Stream {
    /// The one that connected, and the other one, each with its process.
    ends: [(usize, u64); 2],
    sessions: [SyncSession; 2],
}

/// All of it.
pub struct Simulation {
    /// The time, which no node sees.
    pub now: Micros,
    /// The network.
    pub net: Net,
    /// What happened, when and at which node.
    pub history: Vec<(Micros, usize, Event)>,
    /// Whether that is kept.
    pub record: bool,
    rules: MembershipConfig,
    nodes: Vec<Node>,
    places: BTreeMap<SocketAddr, usize>,
    /// A place whose process is a real one, and what is sent there.
    outside: Option<usize>,
    sent_out: Vec<(usize, Vec<u8>)>,
    address: fn(usize) -> SocketAddr,
    fleet_name: &'static str,
    /// Links that carry nothing from the first to the second.
    cut: Vec<Vec<bool>>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, What>,
    last: u64,
    streams: BTreeMap<u64, Stream>,
    rng: Rng,
}

/// Where a node is.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7000))
}

impl Simulation {
    /// So many places for nodes, none of which has started.
    pub fn new(rules: MembershipConfig, places: usize, seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let node = |i: usize| Node {
            name: format!("n{i}"),
            fleet: None,
            rate: 1.0,
            offset: 0,
            lag: 0,
            turn: -1,
            busy: 0,
            paused: false,
            inbox: Vec::new(),
            wake: None,
            life: 0,
            sent: Sent::default(),
        };
        let nodes: Vec<Node> = (0..places)
            .map(|i| {
                let mut node = node(i);
                // No two clocks agree, and none runs quite right.
                node.offset = rng.i64(0..3_600_000_000);
                node.rate = 1.0 + (rng.f64() - 0.5) * 2e-4;
                node
            })
            .collect();
        Simulation {
            now: 0,
            net: Net::default(),
            history: Vec::new(),
            record: true,
            rules,
            nodes,
            places: (0..places).map(|i| (address(i), i)).collect(),
            outside: None,
            sent_out: Vec::new(),
            address,
            fleet_name: "sim",
            cut: vec![vec![false; places]; places],
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            last: 0,
            streams: BTreeMap::new(),
            rng,
        }
    }

    /// Nodes are at these addresses, and the one of a place is a real process.
    pub fn bridge(&mut self, address: fn(usize) -> SocketAddr, place: usize, at: SocketAddr) {
        (self.address, self.fleet_name) = (address, "rig");
        self.places = (0..self.nodes.len()).map(|i| (address(i), i)).collect();
        self.places.insert(at, place);
        self.outside = Some(place);
    }

    /// What nodes have sent to the real process, and who.
    pub fn take_sent_out(&mut self) -> Vec<(usize, Vec<u8>)> {
        std::mem::take(&mut self.sent_out)
    }

    /// Starts a process at a place, under a name, with these as seeds.
    pub fn start_as(&mut self, node: usize, name: &str, seeds: &[usize]) {
        let (token, seed) = (self.rng.u64(..), self.rng.u64(..));
        let now = self.local(node);
        let own = LocalMember::new(token, (self.address)(node), "");
        let mut fleet = Membership::new(self.rules.clone(), self.fleet_name, name, own, seed, now);
        fleet.set_seeds(seeds.iter().map(|s| (self.address)(*s)).collect());
        fleet.set_service_state(ServiceState::Serving, b"");
        let n = &mut self.nodes[node];
        n.life += 1;
        (n.name, n.fleet, n.paused, n.wake) = (name.to_owned(), Some(fleet), false, None);
        n.inbox.clear();
        self.settle(node);
    }

    /// The same under the place's own name.
    pub fn start(&mut self, node: usize, seeds: &[usize]) {
        self.start_as(node, &format!("n{node}"), seeds);
    }

    /// Ends a process without a word.
    pub fn crash(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        (n.fleet, n.paused, n.wake) = (None, false, None);
        self.streams
            .retain(|_, s| s.ends.iter().all(|e| e.0 != node));
    }

    /// Has it say that it leaves, and ends it a moment later.
    pub fn leave(&mut self, node: usize) {
        let now = self.local(node);
        if let Some(fleet) = &mut self.nodes[node].fleet {
            fleet.leave(now);
        }
        self.settle(node);
        self.run(300_000);
        self.crash(node);
    }

    /// Stops a process, which keeps what it has.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// It goes on.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        // Its timers first: what they would blame others for may be waiting to be read.
        self.nodes[node].wake = Some(self.now);
        self.push(self.now, What::Wake { node });
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        for bytes in inbox {
            self.push(self.now, What::Datagram { to: node, bytes });
        }
    }

    /// Everything that it does is late by up to so much from now on.
    pub fn lag(&mut self, node: usize, lag: Micros) {
        self.nodes[node].lag = lag;
    }

    /// Whether a link carries nothing from now on.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.cut[from][to] = cut;
    }

    /// Nodes of different groups don't hear each other; those of one do.
    pub fn split(&mut self, group: impl Fn(usize) -> usize) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                self.cut[from][to] = group(from) != group(to);
            }
        }
    }

    /// Everybody hears everybody.
    pub fn heal(&mut self) {
        self.split(|_| 0);
    }

    /// A node's part in the fleet, if it runs.
    pub fn membership(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].fleet.as_ref()
    }

    /// Has a node say something of itself.
    pub fn with_membership<T>(
        &mut self,
        node: usize,
        tell: impl FnOnce(&mut Membership, Micros) -> T,
    ) -> Option<T> {
        let now = self.local(node);
        let told = tell(self.nodes[node].fleet.as_mut()?, now);
        self.settle(node);
        Some(told)
    }

    /// Those that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|i| self.nodes[*i].fleet.is_some())
            .collect()
    }

    /// What a node has sent.
    pub fn sent(&self, node: usize) -> Sent {
        self.nodes[node].sent
    }

    /// What one node holds another one to be.
    pub fn member_state(&self, at: usize, of: &str) -> Option<State> {
        self.membership(at)?
            .members()
            .get(of)
            .filter(|m| !m.is_tombstone)
            .map(|m| m.record.state)
    }

    /// Whether all that run have equal views, in which those that run are alive and the others are
    /// not.
    pub fn has_converged(&self) -> bool {
        let running = self.running();
        let Some(first) = running.first().and_then(|i| self.membership(*i)) else {
            return true;
        };
        let alive = first
            .members()
            .iter()
            .filter(|(_, m)| m.record.state == State::Alive && !m.is_tombstone)
            .count();
        let right = running
            .iter()
            .all(|i| self.member_state(*i, &self.nodes[*i].name) == Some(State::Alive));
        right
            && alive == running.len()
            && running.iter().all(|i| {
                self.membership(*i)
                    .is_some_and(|f| f.digest() == first.digest())
            })
    }

    /// Runs until this time, if it is still to come.
    pub fn run_to(&mut self, until: Micros) {
        if until > self.now {
            self.run(until - self.now);
        }
    }

    /// Runs for so long.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        self.run_until(until, |_| false);
    }

    /// Runs until something is so, looked at every 10 ms, or the time is over; how long it took.
    pub fn wait(&mut self, most: Micros, done: impl Fn(&Simulation) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + most {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(10_000);
        }
        done(self).then_some(self.now - start)
    }

    fn run_until(&mut self, until: Micros, done: impl Fn(&Simulation) -> bool) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until || done(self) {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(what) = self.what.remove(&id) {
                self.happen(what);
            }
        }
        self.now = until;
    }

    /// A datagram from outside of the fleet.
    pub fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.push(self.now, What::Datagram { to, bytes });
    }

    fn push(&mut self, at: Micros, what: What) {
        self.last += 1;
        self.queue.push(Reverse((at, self.last)));
        self.what.insert(self.last, what);
    }

    fn local(&self, node: usize) -> Micros {
        let n = &self.nodes[node];
        n.offset + (self.now as f64 * n.rate) as Micros
    }

    fn global(&self, node: usize, local: Micros) -> Micros {
        let n = &self.nodes[node];
        (((local - n.offset) as f64 / n.rate).ceil() as Micros).max(self.now)
    }

    /// Whether a node that is slow has its turn now; else what happens to it is put off to its next
    /// one. In a turn it does all that has come by then.
    fn late(&mut self, node: usize, what: What) -> Option<What> {
        let n = &mut self.nodes[node];
        if n.lag == 0 || n.turn == self.now {
            return Some(what);
        }
        if n.busy > self.now {
            let at = n.busy;
            self.push(at, what);
            return None;
        }
        n.turn = self.now;
        n.busy = self.now + self.rng.i64(0..=n.lag);
        Some(what)
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Datagram { to, bytes } => {
                let n = &mut self.nodes[to];
                if n.fleet.is_none() {
                    return;
                }
                if n.paused {
                    if n.inbox.len() < BUFFERED {
                        n.inbox.push(bytes);
                    }
                    return;
                }
                let Some(What::Datagram { bytes, .. }) =
                    self.late(to, What::Datagram { to, bytes })
                else {
                    return;
                };
                let now = self.local(to);
                if let Some(fleet) = &mut self.nodes[to].fleet {
                    // What is no message is dropped, as on sockets.
                    let _ = fleet.handle_datagram(now, &bytes);
                }
                self.settle(to);
            }
            What::Wake { node } => {
                let n = &self.nodes[node];
                if n.fleet.is_none() || n.paused || n.wake.is_none_or(|at| at > self.now) {
                    return;
                }
                let Some(_) = self.late(node, What::Wake { node }) else {
                    return;
                };
                self.nodes[node].wake = None;
                let now = self.local(node);
                if let Some(fleet) = &mut self.nodes[node].fleet {
                    fleet.handle_wakeup(now);
                }
                self.settle(node);
            }
            What::Stream { id, answers, bytes } => self.streamed(id, answers, &bytes),
        }
    }

    /// Carries out what a node wants after something has happened to it.
    fn settle(&mut self, node: usize) {
        let Some(fleet) = &mut self.nodes[node].fleet else {
            return;
        };
        let (out, sync) = (fleet.take_datagrams(), fleet.take_sync_target());
        let events = fleet.take_events().events;
        let next = fleet.next_wakeup();
        if self.record {
            let now = self.now;
            self.history
                .extend(events.into_iter().map(|e| (now, node, e)));
        }
        for datagram in out {
            let bytes = datagram.payload;
            let sent = &mut self.nodes[node].sent;
            sent.datagrams += 1;
            sent.bytes += bytes.len() as u64 + 28;
            let Some(to) = self.places.get(&datagram.destination).copied() else {
                continue;
            };
            if self.outside == Some(to) {
                self.sent_out.push((node, bytes));
                continue;
            }
            if self.cut[node][to] || self.rng.f64() < self.net.loss {
                continue;
            }
            let copies = 1 + u64::from(self.rng.f64() < self.net.twice);
            for _ in 0..copies {
                let at = self.now + self.net.delay + self.rng.i64(0..=self.net.jitter);
                self.push(
                    at,
                    What::Datagram {
                        to,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        if let Some(to) = sync.and_then(|to| self.places.get(&to).copied()) {
            self.connect(node, to);
        }
        let at = self.global(node, next);
        let n = &mut self.nodes[node];
        if n.wake.is_none_or(|wake| at < wake) {
            n.wake = Some(at);
            self.push(at, What::Wake { node });
        }
    }

    fn connect(&mut self, from: usize, to: usize) {
        self.nodes[from].sent.connections += 1;
        let reached = self.nodes[to].fleet.is_some() && !self.nodes[to].paused;
        if !reached || self.cut[from][to] || self.cut[to][from] {
            return;
        }
        let Some(fleet) = &self.nodes[from].fleet else {
            return;
        };
        let sessions = [SyncSession::initiate(fleet), SyncSession::respond()];
        let ends = [(from, self.nodes[from].life), (to, self.nodes[to].life)];
        self.last += 1;
        let id = self.last;
        self.streams.insert(id, Stream { ends, sessions });
        // Two ways for the connection itself.
        self.say(id, 0, 2 * self.net.delay);
    }

    /// Sends what one end of a connection has to say.
    fn say(&mut self, id: u64, end: usize, more: Micros) {
        let Some(mut stream) = self.streams.remove(&id) else {
            return;
        };
        let (node, other) = (stream.ends[end].0, stream.ends[1 - end].0);
        let now = self.local(node);
        let mut said = Vec::new();
        if let Some(fleet) = &self.nodes[node].fleet {
            while let Some(piece) = stream.sessions[end].next_chunk(fleet, now) {
                said.extend(piece);
            }
        }
        self.nodes[node].sent.streamed += said.len() as u64;
        let over = stream.sessions.iter().all(SyncSession::is_complete);
        if self.cut[node][other] {
            return;
        }
        if !over || !said.is_empty() {
            self.streams.insert(id, stream);
        }
        if !said.is_empty() {
            // What is lost is sent again.
            let mut at = self.now + more + self.net.delay + self.rng.i64(0..=self.net.jitter);
            while self.rng.f64() < self.net.loss {
                at += 200_000;
            }
            self.push(
                at,
                What::Stream {
                    id,
                    answers: end == 0,
                    bytes: said,
                },
            );
        }
    }

    fn streamed(&mut self, id: u64, answers: bool, bytes: &[u8]) {
        let end = usize::from(answers);
        let Some(mut stream) = self.streams.remove(&id) else {
            return;
        };
        let (node, life) = stream.ends[end];
        let n = &self.nodes[node];
        if n.fleet.is_none() || n.life != life || n.paused {
            return;
        }
        let now = self.local(node);
        let Some(fleet) = &mut self.nodes[node].fleet else {
            return;
        };
        if stream.sessions[end]
            .handle_bytes(fleet, now, bytes)
            .is_err()
        {
            return;
        }
        self.streams.insert(id, stream);
        self.say(id, end, 0);
        self.settle(node);
    }
}
