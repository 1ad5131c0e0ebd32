//! A cluster of real processes of the program. Each node has a processor of its own, and a network
//! relay in front of its membership address. All log lines are kept. The processes end with the
//! thread that started them.

mod history;
mod launch;
mod process;

pub use history::{History, LogLine};
pub use process::{Process, StartingProcess};

use crate::network_relay::{LinkTable, Relay};
use crate::stand_ins::{Client, Processor};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest time that any wait takes; a test fails if it is exceeded.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CONTROL_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CONTROL_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of log lines of a node that a failed wait prints.
const TAIL_LINES: usize = 25;
const DEFAULT_PROBE_INTERVAL_MS: u64 = 200;

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The program.
    pub program: PathBuf,
    /// The platform's configuration, without names and addresses.
    pub platform_config: Value,
    /// An existing directory that only this test uses.
    pub directory: PathBuf,
    /// Time between membership probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// Seeds outside of the cluster. If there are some, nodes advertise their own addresses in place
    /// of the relays', and do not use each other as seeds.
    pub external_seeds: Vec<SocketAddr>,
    /// Whether the nodes are members of a cluster; without it a node has no operator file.
    pub is_clustered: bool,
    /// Additional sections of the operator file. `FOLDER` stands for the node's directory.
    pub operator_sections: String,
}

impl ClusterConfig {
    /// Configures a cluster that probes its members five times a second.
    pub fn new(
        program: &str,
        platform_config: Value,
        directory: PathBuf,
        operator_sections: String,
    ) -> ClusterConfig {
        ClusterConfig {
            program: program.into(),
            platform_config,
            directory,
            probe_interval_ms: DEFAULT_PROBE_INTERVAL_MS,
            external_seeds: Vec::new(),
            is_clustered: true,
            operator_sections,
        }
    }
}

/// A node: processes are started under its name, one after another or side by side.
pub struct Node {
    /// The name.
    pub name: String,
    /// The relay, whose address the other nodes know.
    pub relay: Relay,
    /// The processor.
    pub processor: Processor,
    /// The current process, if one runs.
    pub process: Option<Process>,
    /// Where clients connect at the time.
    client_address: Arc<Mutex<Option<SocketAddr>>>,
    directory: PathBuf,
}

impl Node {
    fn set_client_address(&self, address: Option<SocketAddr>) {
        *self.client_address.lock().expect("no holder panics") = address;
    }

    fn running_process(&self) -> &Process {
        self.process.as_ref().expect("the node runs")
    }
}

/// A cluster.
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The links between the nodes.
    pub links: Arc<LinkTable>,
    /// The log lines of all nodes.
    pub history: Arc<History>,
    config: ClusterConfig,
    started_at: Instant,
    last_process: usize,
}

/// A response of a control endpoint.
#[derive(Clone, Debug)]
pub struct ControlResponse {
    /// Whether the status is 200.
    pub is_ok: bool,
    /// The body.
    pub body: String,
}

/// Sends a request to a control endpoint; `request` is the method and the path. Returns `None` if
/// the connection fails.
pub fn call_control(control_address: SocketAddr, request: &str) -> Option<ControlResponse> {
    let mut stream = TcpStream::connect_timeout(&control_address, CONTROL_CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CONTROL_READ_TIMEOUT)).ok()?;
    stream
        .write_all(format!("{request} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes())
        .ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    Some(ControlResponse {
        is_ok: head.starts_with("HTTP/1.1 200"),
        body: body.to_owned(),
    })
}

impl Cluster {
    /// Creates the nodes of a cluster, without processes.
    pub fn new(config: ClusterConfig, node_count: usize) -> Cluster {
        let links = Arc::new(LinkTable::default());
        let node = |index: usize| {
            let name = format!("n{index}");
            let directory = config.directory.join(&name);
            std::fs::create_dir_all(&directory).expect("the node's directory can be created");
            Node {
                name,
                relay: Relay::start(index, &links),
                processor: Processor::start(),
                process: None,
                client_address: Arc::default(),
                directory,
            }
        };
        let nodes = (0..node_count).map(node).collect();
        Cluster {
            nodes,
            links,
            history: Arc::default(),
            config,
            started_at: Instant::now(),
            last_process: 0,
        }
    }

    /// Starts all nodes of a cluster and waits until their views have converged.
    pub fn start_converged(config: ClusterConfig, node_count: usize) -> Cluster {
        let mut cluster = Cluster::new(config, node_count);
        (0..node_count).for_each(|node| cluster.start(node));
        cluster.wait_converged("the start");
        cluster
    }

    /// Starts a node's process and waits until it is ready.
    pub fn start(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let process = self.start_process(node, &name, None);
        self.nodes[node].process = Some(process);
    }

    /// Sends a signal to a node's process; `signal` is an option of kill(1), such as `-TERM`.
    pub fn signal(&self, node: usize, signal: &str) {
        self.history.add(LogLine {
            at: self.started_at.elapsed(),
            node,
            process: 0,
            text: format!("cluster test: sent signal={signal}"),
        });
        self.nodes[node].running_process().signal(signal);
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: usize) {
        self.signal(node, "-KILL");
        self.nodes[node].set_client_address(None);
        self.nodes[node].process = None;
    }

    /// Replaces text in the operator file of a node's process, and lets the process reload it.
    pub fn edit_operator_file(&self, node: usize, original: &str, replacement: &str) {
        let process = self.nodes[node].running_process();
        let file = self.operator_file(node, process.number);
        let text = std::fs::read_to_string(&file).expect("the operator file");
        assert!(text.contains(original), "{text}");
        std::fs::write(&file, text.replace(original, replacement)).expect("the file is writable");
        self.signal(node, "-HUP");
    }

    /// The membership view of a node, by its control endpoint.
    pub fn view(&self, node: usize) -> Option<Value> {
        let control_address = self.nodes[node].process.as_ref()?.control_address;
        let response = call_control(control_address, "GET /fleet")?;
        response
            .is_ok
            .then(|| serde_json::from_str(&response.body).expect("the view is JSON"))
    }

    /// The entry of the member `name` in a node's view.
    pub fn member(&self, node: usize, name: &str) -> Option<Value> {
        let view = self.view(node)?;
        let mut members = view["members"].as_array()?.iter();
        members.find(|member| member["name"] == name).cloned()
    }

    /// The nodes with a process.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].process.is_some())
            .collect()
    }

    /// Whether the views of these nodes are settled and equal, and the members that are alive in
    /// them are exactly these nodes.
    pub fn have_converged(&self, nodes: &[usize]) -> bool {
        let mut digests = Vec::new();
        for node in nodes {
            let Some(view) = self.view(*node) else {
                return false;
            };
            if view["settled"] != true || !self.has_alive_members(&view, nodes) {
                return false;
            }
            digests.push(view["digest"].clone());
        }
        digests.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Whether the members that are alive in `view` are exactly these nodes.
    fn has_alive_members(&self, view: &Value, nodes: &[usize]) -> bool {
        let alive: Vec<_> = view["members"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|member| member["state"] == "alive")
            .collect();
        let is_alive = |node: &usize| {
            let name = &self.nodes[*node].name;
            alive.iter().any(|member| member["name"] == *name)
        };
        alive.len() == nodes.len() && nodes.iter().all(is_alive)
    }

    /// Waits until a condition holds. Returns the time that it took.
    ///
    /// # Panics
    ///
    /// After [`WAIT_TIMEOUT`].
    pub fn wait(&self, description: &str, condition: impl Fn(&Cluster) -> bool) -> Duration {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > WAIT_TIMEOUT {
                self.print_state();
                panic!("{description}: does not hold after {WAIT_TIMEOUT:?}");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        start.elapsed()
    }

    /// Waits until the views of all running nodes have converged. Returns the time that it took.
    pub fn wait_converged(&self, description: &str) -> Duration {
        let running = self.running();
        self.wait(description, |cluster| cluster.have_converged(&running))
    }

    fn print_state(&self) {
        for node in self.running() {
            eprintln!("n{node}: {:?}\n{:#?}", self.view(node), self.tail(node));
        }
    }

    /// The last log lines of a node.
    pub fn tail(&self, node: usize) -> Vec<String> {
        let lines = self.history.lines();
        let mut tail: Vec<String> = lines
            .iter()
            .filter(|line| line.node == node)
            .map(|line| format!("{:?} {}", line.at, line.text))
            .collect();
        tail.drain(..tail.len().saturating_sub(TAIL_LINES));
        tail
    }

    /// The log lines of all nodes that contain `text`.
    pub fn lines_containing(&self, text: &str) -> Vec<LogLine> {
        let mut lines = self.history.lines();
        lines.retain(|line| line.text.contains(text));
        lines
    }

    /// Starts a client of the process that serves a node's clients at the time.
    pub fn start_client(&self, node: usize) -> Client {
        self.start_client_as(node, node)
    }

    /// Starts a client with a number of its own, as [`Cluster::start_client`] does.
    pub fn start_client_as(&self, number: usize, node: usize) -> Client {
        let client_address = self.nodes[node].client_address.clone();
        Client::start(number, move || {
            *client_address.lock().expect("no holder panics")
        })
    }
}
