//! Clients that retry rejected requests on other nodes. Measures the value of the retry advice that
//! nodes derive from each other's advertised load: every node has an admission controller, emulated
//! cores and a member of the simulated membership.

mod server;

use crate::event_queue::EventQueue;
use crate::membership_simulation::Simulation;
use fastrand::Rng;
use pipitlever_admission::{Action, Event, Micros};
use pipitlever_membership::config::MembershipConfig;
use server::Server;

/// One step of the emulation.
const STEP: Micros = 10_000;
/// Time between two reports of a node's load to the other nodes.
const REPORT_INTERVAL: Micros = 100_000;
/// Time after which clients no longer connect to a node that has failed.
const DISCOVERY_DELAY: Micros = 2_000_000;
/// Time until a client notices that its connection has been closed by a failure.
const CONNECTION_LOSS_DELAY: Micros = 1_000;
/// Time until a client gives up connecting to a node that has failed.
const CONNECT_FAILURE_DELAY: Micros = 50_000;
/// Time between a rejection and the next attempt.
const RETRY_DELAY: Micros = 10_000;
/// Time after which a client abandons a request.
const CLIENT_TIMEOUT: Micros = 2_000_000;
/// The longest time that the membership takes to converge at the start.
const CONVERGENCE_TIMEOUT: Micros = 30_000_000;
/// Cores of a node.
const CORES: f64 = 6.0;
/// The mean CPU time of a request, in microseconds.
const MEAN_WORK: f64 = 300_000.0;
/// The CPU time of parsing a request, as a fraction of `MEAN_WORK`.
const PARSING_FRACTION: f64 = 0.25;

/// A class of requests.
struct RequestClass {
    /// Random numbers below this bound, and not below that of the previous class, select the class.
    selection_bound: f64,
    latency_objective: Micros,
    deadline: Micros,
    priority_weight: f64,
}

const CLASSES: [RequestClass; 3] = [
    RequestClass {
        selection_bound: 0.56,
        latency_objective: 2_700_000,
        deadline: 8_900_000,
        priority_weight: 1.0,
    },
    RequestClass {
        selection_bound: 0.86,
        latency_objective: 2_200_000,
        deadline: 6_700_000,
        priority_weight: 2.0,
    },
    RequestClass {
        selection_bound: 1.0,
        latency_objective: 2_200_000,
        deadline: 6_700_000,
        priority_weight: 5.0,
    },
];

/// What is emulated.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The number of nodes.
    pub node_count: usize,
    /// The offered load as a fraction of what all cores can serve.
    pub load: f64,
    /// The fraction of nodes that fail after a third of the time and restart after two thirds.
    pub failed_fraction: f64,
    /// The duration in microseconds.
    pub duration: Micros,
    /// Whether nodes advise against retries when no other node has spare capacity.
    pub advises_on_retries: bool,
    /// The fraction of clients that follow a node's advice and backoff.
    pub compliant_fraction: f64,
    /// Whether compliant clients also follow the backpressure level.
    pub follows_backpressure_level: bool,
}

/// What resulted from a scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct Statistics {
    /// Requests.
    pub requests: u64,
    /// Attempts that reached a running node.
    pub attempts: u64,
    /// The priority weight of all requests.
    pub offered_weight: f64,
    /// The priority weight of the requests that were served within their latency objective.
    pub served_weight: f64,
    /// The part of `offered_weight` that was offered while nodes had failed.
    pub offered_weight_during_failure: f64,
    /// The part of `served_weight` that was offered while nodes had failed.
    pub served_weight_during_failure: f64,
    /// Rejected attempts.
    pub rejections: u64,
    /// Rejections for which the admission controller advised against a retry.
    pub controller_advice: u64,
    /// Rejections for which only the membership view advised against a retry.
    pub membership_advice: u64,
}

/// A client's request with all its attempts.
struct ClientRequest {
    class: usize,
    priority: f64,
    work: f64,
    created_at: Micros,
    is_compliant: bool,
    attempted_nodes: Vec<usize>,
    is_finished: bool,
}

/// What all clients know of a node.
#[derive(Clone)]
struct KnownNode {
    is_listed: bool,
    failed_at: Option<Micros>,
    backoff_until: Micros,
    backpressure_level: f64,
}

struct Emulation {
    scenario: Scenario,
    seed: u64,
    now: Micros,
    rng: Rng,
    membership: Simulation,
    servers: Vec<Server>,
    known_nodes: Vec<KnownNode>,
    requests: Vec<ClientRequest>,
    /// Scheduled attempts of requests, by index.
    attempts: EventQueue<usize>,
    last_attempt: u64,
    statistics: Statistics,
}

/// Emulates a scenario.
pub fn run(scenario: Scenario, seed: u64) -> Statistics {
    let mut emulation = Emulation::new(scenario, seed);
    while emulation.now < scenario.duration {
        emulation.step();
    }
    emulation.statistics
}

impl Emulation {
    fn new(scenario: Scenario, seed: u64) -> Emulation {
        let node_count = scenario.node_count;
        let rng = Rng::with_seed(seed);
        let mut membership = Simulation::new(MembershipConfig::default(), node_count, seed);
        membership.records_history = false;
        (0..node_count).for_each(|node| membership.start(node, &[0, 1]));
        membership.wait_for(CONVERGENCE_TIMEOUT, Simulation::has_converged);
        let known_node = KnownNode {
            is_listed: true,
            failed_at: None,
            backoff_until: 0,
            backpressure_level: 0.0,
        };
        Emulation {
            scenario,
            seed,
            now: 0,
            rng,
            membership,
            servers: (0..node_count)
                .map(|node| Server::new(seed * 1000 + node as u64))
                .collect(),
            known_nodes: vec![known_node; node_count],
            requests: Vec::new(),
            attempts: EventQueue::default(),
            last_attempt: 0,
            statistics: Statistics::default(),
        }
    }

    fn failure_time(&self) -> Micros {
        self.scenario.duration / 3
    }

    fn restart_time(&self) -> Micros {
        2 * self.scenario.duration / 3
    }

    fn failing_nodes(&self) -> std::ops::Range<usize> {
        0..(self.scenario.node_count as f64 * self.scenario.failed_fraction) as usize
    }

    fn step(&mut self) {
        if self.now == self.failure_time() / STEP * STEP {
            self.failing_nodes().for_each(|node| self.fail(node));
        }
        if self.now == self.restart_time() / STEP * STEP {
            self.failing_nodes().for_each(|node| self.restart(node));
        }
        self.update_listed_nodes();
        self.create_requests();
        while let Some((_, request)) = self.attempts.pop_until(self.now) {
            self.attempt(request);
        }
        for node in 0..self.servers.len() {
            if self.servers[node].is_running {
                self.step_server(node);
            }
        }
        if self.now % REPORT_INTERVAL == 0 {
            self.exchange_load_reports();
        }
        self.membership.run_for(STEP);
        self.now += STEP;
    }

    fn fail(&mut self, node: usize) {
        self.membership.crash(node);
        self.known_nodes[node].failed_at = Some(self.now);
        for request in self.servers[node].fail() {
            self.attempts
                .schedule(self.now + CONNECTION_LOSS_DELAY, request);
        }
    }

    fn restart(&mut self, node: usize) {
        self.membership.start(node, &[self.scenario.node_count - 1]);
        self.servers[node] = Server::new(self.seed * 2000 + node as u64);
        self.known_nodes[node].is_listed = true;
        self.known_nodes[node].failed_at = None;
    }

    fn update_listed_nodes(&mut self) {
        for node in self.failing_nodes() {
            let known = &mut self.known_nodes[node];
            let is_current = |at: Micros| self.now < at + DISCOVERY_DELAY;
            known.is_listed &= known.failed_at.is_none_or(is_current);
        }
    }

    /// Creates the requests of one step.
    fn create_requests(&mut self) {
        let capacity =
            self.scenario.node_count as f64 * CORES / (MEAN_WORK * (1.0 + PARSING_FRACTION)) * 1e6;
        let mut expected_count = capacity * self.scenario.load * STEP as f64 / 1e6;
        while expected_count > 0.0 && self.rng.f64() < expected_count {
            self.create_request();
            expected_count -= 1.0;
        }
    }

    fn create_request(&mut self) {
        let selection = self.rng.f64();
        let is_compliant = self.rng.f64() < self.scenario.compliant_fraction;
        let class = CLASSES
            .iter()
            .position(|class| selection < class.selection_bound)
            .unwrap_or(CLASSES.len() - 1);
        let priority = (class as f64 + self.rng.f64()) / 3.0;
        let work = MEAN_WORK * (0.7 + 0.6 * self.rng.f64());
        self.requests.push(ClientRequest {
            class,
            priority,
            work,
            created_at: self.now,
            is_compliant,
            attempted_nodes: Vec::new(),
            is_finished: false,
        });
        let weight = CLASSES[class].priority_weight;
        self.statistics.requests += 1;
        self.statistics.offered_weight += weight;
        if self.is_during_failure(self.now) {
            self.statistics.offered_weight_during_failure += weight;
        }
        let first_attempt_at = self.now + self.rng.i64(0..STEP);
        self.attempts
            .schedule(first_attempt_at, self.requests.len() - 1);
    }

    fn is_during_failure(&self, time: Micros) -> bool {
        (self.failure_time()..self.restart_time()).contains(&time)
    }

    /// Sends a request to a random node that is listed, has not been attempted yet, and is not to be
    /// avoided.
    fn attempt(&mut self, index: usize) {
        let request = &self.requests[index];
        if request.is_finished || self.now - request.created_at > CLIENT_TIMEOUT {
            return;
        }
        let candidates: Vec<usize> = (0..self.scenario.node_count)
            .filter(|node| self.is_candidate(request, *node))
            .collect();
        if candidates.is_empty() {
            self.requests[index].is_finished = true;
            return;
        }
        let node = candidates[self.rng.usize(..candidates.len())];
        self.requests[index].attempted_nodes.push(node);
        if !self.servers[node].is_running {
            self.attempts
                .schedule(self.now + CONNECT_FAILURE_DELAY, index);
            return;
        }
        self.statistics.attempts += 1;
        self.last_attempt += 1;
        self.servers[node].receive(self.last_attempt, index);
    }

    fn is_candidate(&self, request: &ClientRequest, node: usize) -> bool {
        let known = &self.known_nodes[node];
        let is_backing_off = known.backoff_until > self.now;
        let is_below_level =
            self.scenario.follows_backpressure_level && known.backpressure_level > request.priority;
        let is_avoided = request.is_compliant && (is_backing_off || is_below_level);
        known.is_listed && !request.attempted_nodes.contains(&node) && !is_avoided
    }

    fn step_server(&mut self, node: usize) {
        let server = &mut self.servers[node];
        let mut events = server.advance_cores(self.now, &self.requests);
        server.append_due_timers(self.now, &mut events);
        let mut actions = Vec::new();
        server.controller.step(self.now, &events, &mut actions);
        for event in &events {
            if let Event::Finished { id, .. } = event {
                self.finish(node, *id);
            }
        }
        for action in &actions {
            self.handle_action(node, action);
        }
    }

    fn finish(&mut self, node: usize, attempt: u64) {
        let server = &mut self.servers[node];
        let Some(index) = server.remove(attempt) else {
            return;
        };
        self.known_nodes[node].backpressure_level = server.backpressure_level;
        let request = &self.requests[index];
        let class = &CLASSES[request.class];
        let created_at = request.created_at;
        if !request.is_finished && self.now - created_at <= class.latency_objective {
            self.statistics.served_weight += class.priority_weight;
            if self.is_during_failure(created_at) {
                self.statistics.served_weight_during_failure += class.priority_weight;
            }
        }
        self.requests[index].is_finished = true;
    }

    fn handle_action(&mut self, node: usize, action: &Action) {
        let server = &mut self.servers[node];
        match *action {
            Action::Run(id) => server.run(id, self.now, &self.requests),
            Action::Reject {
                id,
                retry_after,
                no_retry,
            } => self.reject(node, id, retry_after, no_retry),
            Action::Fail(id) => {
                if let Some(request) = server.remove(id) {
                    self.requests[request].is_finished = true;
                }
            }
            Action::Timer(delay, tag) => server.set_timer(self.now + delay, tag),
            Action::Backpressure(level) => server.backpressure_level = level,
            _ => {}
        }
    }

    fn reject(&mut self, node: usize, attempt: u64, retry_after: Micros, no_retry: bool) {
        let server = &mut self.servers[node];
        let Some(index) = server.remove(attempt) else {
            return;
        };
        let request = &mut self.requests[index];
        let known = &mut self.known_nodes[node];
        known.backpressure_level = server.backpressure_level;
        if retry_after > 0 {
            known.backoff_until = known.backoff_until.max(self.now + retry_after);
        }
        let is_exhausted = self.scenario.advises_on_retries
            && server.spare_capacity.is_exhausted(request.priority);
        self.statistics.rejections += 1;
        self.statistics.controller_advice += u64::from(no_retry);
        self.statistics.membership_advice += u64::from(is_exhausted && !no_retry);
        if (no_retry || is_exhausted) && request.is_compliant {
            request.is_finished = true;
        } else {
            self.attempts.schedule(self.now + RETRY_DELAY, index);
        }
    }

    /// Lets each running node report its load and read that of the others.
    fn exchange_load_reports(&mut self) {
        for (node, server) in self.servers.iter_mut().enumerate() {
            if server.is_running {
                server.exchange_load_reports(node, &mut self.membership);
            }
        }
    }
}
