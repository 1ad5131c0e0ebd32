//! Several processes of the built program, each with a processor of its own and a relay before its
//! fleet's address. What each says is kept, with the time. They end with the thread that started
//! them.

use crate::network_relay::{bind_address, Links, Relay};
use crate::stand_ins::{Client, Processor};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Nothing that is waited for takes this long: past it the test has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// What is to be started.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The program.
    pub program: PathBuf,
    /// The configuration, but for names and addresses.
    pub config: Value,
    /// A folder of this test alone, which is there.
    pub folder: PathBuf,
    /// Time between probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// Others that it is to meet, in the place of the first two nodes and without a relay; and
    /// whether the nodes are in a fleet at all.
    pub seeds: Vec<SocketAddr>,
    /// As above.
    pub fleet: bool,
    /// More for the operator's file, with FOLDER for the node's folder.
    pub more: String,
}

impl ClusterConfig {
    /// Nodes of this program with these settings in a fleet that probes five times a second; `more`
    /// for the operator's file.
    pub fn new(program: &str, config: Value, folder: PathBuf, more: String) -> ClusterConfig {
        let program = program.into();
        ClusterConfig {
            program,
            config,
            folder,
            probe_interval_ms: 200,
            seeds: Vec::new(),
            fleet: true,
            more,
        }
    }
}

/// A line that a process said: when, which node, which process of it.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Since the start of the rig.
    pub at: Duration,
    /// The node.
    pub node: usize,
    /// The process, counted over all.
    pub process: usize,
    /// What it said, or what was done to it.
    pub text: String,
}

/// All that was said and done, in order.
#[derive(Default)]
pub struct History {
    lines: Mutex<Vec<LogLine>>,
    more: Condvar,
}

impl History {
    fn add(&self, line: LogLine) {
        self.lines.lock().expect("no holder panics").push(line);
        self.more.notify_all();
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<LogLine> {
        self.lines.lock().expect("no holder panics").clone()
    }

    /// Waits for a line behind so many.
    pub fn wait(&self, behind: usize, wanted: impl Fn(&LogLine) -> bool) -> Option<LogLine> {
        let until = Instant::now() + PATIENCE;
        let mut lines = self.lines.lock().expect("no holder panics");
        let mut seen = behind;
        loop {
            if let Some(found) = lines[seen.min(lines.len())..].iter().find(|l| wanted(l)) {
                return Some(found.clone());
            }
            seen = lines.len();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            lines = self
                .more
                .wait_timeout(lines, left)
                .expect("no holder panics")
                .0;
        }
    }
}

/// A process that does not outlive this.
pub struct KillOnDrop(Child);

impl KillOnDrop {
    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "kill {name}");
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One that has been started and may not be ready yet.
pub struct StartingProcess {
    /// The process.
    pub child: KillOnDrop,
    /// Its number, over all.
    pub number: usize,
    node: usize,
    /// Lines that were said before it was there.
    behind: usize,
}

/// One process.
pub struct Process {
    child: KillOnDrop,
    /// Its number, over all.
    pub number: usize,
    /// Where its callers connect.
    pub client_address: SocketAddr,
    /// Where operators call.
    pub control_address: SocketAddr,
}

impl Process {
    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        self.child.signal(name);
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.0.wait().expect("it ends")
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.0.id()
    }
}

/// One node: a place where processes of one name are started.
pub struct Node {
    /// Its name.
    pub name: String,
    /// What the others know it by.
    pub relay: Relay,
    /// Its processor.
    pub processor: Processor,
    /// Its process, if one runs.
    pub process: Option<Process>,
    client_address: Arc<Mutex<Option<SocketAddr>>>,
    folder: PathBuf,
}

/// Several nodes.
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The links between them.
    pub links: Arc<Links>,
    /// What they said.
    pub history: Arc<History>,
    spec: ClusterConfig,
    started: Instant,
    processes: usize,
}

/// One call at a door: whether it was a yes, and the text.
pub fn call_control(door: SocketAddr, line: &str) -> Option<(bool, String)> {
    let mut stream = TcpStream::connect_timeout(&door, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream
        .write_all(format!("{line} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes())
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.starts_with("HTTP/1.1 200"), body.to_owned()))
}

impl Cluster {
    /// So many nodes, none of which has started.
    pub fn new(spec: ClusterConfig, count: usize) -> Cluster {
        let links = Arc::new(Links::default());
        let node = |i: usize| {
            let folder = spec.folder.join(format!("n{i}"));
            std::fs::create_dir_all(&folder).expect("a folder");
            Node {
                name: format!("n{i}"),
                relay: Relay::start(i, &links),
                processor: Processor::start(),
                process: None,
                client_address: Arc::default(),
                folder,
            }
        };
        let nodes = (0..count).map(node).collect();
        let (history, started) = (Arc::new(History::default()), Instant::now());
        Cluster {
            nodes,
            links,
            history,
            spec,
            started,
            processes: 0,
        }
    }

    /// So many nodes that all know each other.
    pub fn start_converged(spec: ClusterConfig, count: usize) -> Cluster {
        let mut cluster = Cluster::new(spec, count);
        (0..count).for_each(|i| cluster.start(i));
        cluster.wait_converged("the start");
        cluster
    }

    fn note(&self, node: usize, text: String) {
        let line = LogLine {
            at: self.started.elapsed(),
            node,
            process: 0,
            text,
        };
        self.history.add(line);
    }

    /// Starts a node's process, which knows the first two as seeds.
    pub fn start(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let process = self.process(node, &name, None);
        self.nodes[node].process = Some(process);
    }

    /// Starts a process at a node's place: under a name, and at an address if one is given. It is
    /// ready when this returns.
    pub fn process(&mut self, node: usize, name: &str, listen: Option<SocketAddr>) -> Process {
        let launched = self.launch(node, name, listen);
        self.ready(launched)
    }

    /// Starts a process as above, and doesn't wait for it.
    pub fn launch(
        &mut self,
        node: usize,
        name: &str,
        listen: Option<SocketAddr>,
    ) -> StartingProcess {
        self.processes += 1;
        let number = self.processes;
        let n = &self.nodes[node];
        let mut config = self.spec.config.clone();
        let listen = listen.map_or("127.0.0.1:0".into(), |at| at.to_string());
        config["name"] = json!(name);
        config["listen"] = json!(listen);
        config["control"] = json!("127.0.0.1:0");
        config["processor"] = json!(n.processor.at.to_string());
        // With others to meet there is no relay between: it would not know them.
        let advertise = match self.spec.seeds[..] {
            [] => format!("advertise = \"{}\"\n", n.relay.at),
            _ => String::new(),
        };
        let first = self
            .nodes
            .iter()
            .take(2)
            .map(|n| n.relay.at)
            .filter(|_| !advertise.is_empty());
        let seeds: Vec<String> = first
            .chain(self.spec.seeds.clone())
            .map(|at| format!("\"{at}\""))
            .collect();
        let mut operator = format!(
            "[fleet]\nname = \"rig\"\nbind = \"{}:0\"\n{advertise}seeds = [{}]\nprobe_ms = {}\n",
            bind_address(node),
            seeds.join(", "),
            self.spec.probe_interval_ms
        );
        operator += &self
            .spec
            .more
            .replace("FOLDER", &n.folder.display().to_string());
        let files = [
            n.folder.join(format!("{number}.json")),
            n.folder.join(format!("{number}.toml")),
        ];
        std::fs::write(&files[0], config.to_string()).expect("a file");
        std::fs::write(
            &files[1],
            if self.spec.fleet {
                operator
            } else {
                String::new()
            },
        )
        .expect("a file");
        // Ended by the system when the thread that starts it ends, whatever ends that.
        let mut command = Command::new("setpriv");
        command
            .args(["--pdeathsig", "KILL", "--"])
            .arg(&self.spec.program)
            .arg("serve");
        command
            .arg("--config")
            .arg(&files[0])
            .arg("--operator")
            .arg(&files[1])
            .env("TMPDIR", &n.folder);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let behind = self.history.lines().len();
        let mut child = command.spawn().expect("setpriv and the program start");
        let log = BufReader::new(child.stderr.take().expect("a pipe"));
        let (history, started) = (self.history.clone(), self.started);
        std::thread::spawn(move || {
            for text in log.lines().map_while(Result::ok) {
                history.add(LogLine {
                    at: started.elapsed(),
                    node,
                    process: number,
                    text,
                });
            }
        });
        StartingProcess {
            child: KillOnDrop(child),
            number,
            node,
            behind,
        }
    }

    /// Waits until a process is ready.
    pub fn ready(&self, launched: StartingProcess) -> Process {
        let StartingProcess {
            child,
            number,
            node,
            behind,
        } = launched;
        let said = |part: &str, field: &str| -> SocketAddr {
            let line = self
                .history
                .wait(behind, |l| l.process == number && l.text.contains(part));
            let line = line
                .unwrap_or_else(|| panic!("n{node} does not say {part}: {:#?}", self.tail(node)))
                .text;
            let word = line.split(' ').find_map(|w| w.strip_prefix(field));
            word.and_then(|w| w.parse().ok())
                .unwrap_or_else(|| panic!("no {field} in {line}"))
        };
        let client_address = said("protocol=json-rpc", "listen=");
        let control_address = said("protocol=control", "address=");
        if self.spec.fleet {
            self.nodes[node].relay.aim(said("fleet: serving", "bind="));
        }
        *self.nodes[node]
            .client_address
            .lock()
            .expect("no holder panics") = Some(client_address);
        Process {
            child,
            number,
            client_address,
            control_address,
        }
    }

    /// Replaces text in a node's operator's file, and says so to its process.
    pub fn rewrite(&self, node: usize, from: &str, to: &str) {
        let n = &self.nodes[node];
        let number = n.process.as_ref().expect("it runs").number;
        let file = n.folder.join(format!("{number}.toml"));
        let text = std::fs::read_to_string(&file).expect("its file");
        assert!(text.contains(from), "{text}");
        std::fs::write(&file, text.replace(from, to)).expect("a file");
        self.signal(node, "-HUP");
    }

    /// The last lines of a node.
    pub fn tail(&self, node: usize) -> Vec<String> {
        let lines = self.history.lines();
        let mut of: Vec<String> = lines
            .iter()
            .filter(|l| l.node == node)
            .map(|l| format!("{:?} {}", l.at, l.text))
            .collect();
        of.drain(..of.len().saturating_sub(25));
        of
    }

    /// Sends a signal to a node's process.
    pub fn signal(&self, node: usize, name: &str) {
        self.note(node, format!("rig: {name}"));
        self.nodes[node]
            .process
            .as_ref()
            .expect("it runs")
            .signal(name);
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: usize) {
        self.signal(node, "-KILL");
        *self.nodes[node]
            .client_address
            .lock()
            .expect("no holder panics") = None;
        self.nodes[node].process = None;
    }

    /// What a node says of the fleet.
    pub fn view(&self, node: usize) -> Option<Value> {
        let door = self.nodes[node].process.as_ref()?.control_address;
        let (yes, text) = call_control(door, "GET /fleet")?;
        yes.then(|| serde_json::from_str(&text).expect("JSON"))
    }

    /// What one node holds another one to be.
    pub fn member(&self, at: usize, of: &str) -> Option<Value> {
        let view = self.view(at)?;
        view["members"]
            .as_array()?
            .iter()
            .find(|m| m["name"] == of)
            .cloned()
    }

    /// The nodes with a process.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|i| self.nodes[*i].process.is_some())
            .collect()
    }

    /// Waits until something is so, as the doors have it.
    pub fn wait(&self, what: &str, done: impl Fn(&Cluster) -> bool) -> Duration {
        let start = Instant::now();
        while !done(self) {
            if start.elapsed() > PATIENCE {
                for i in self.running() {
                    eprintln!("n{i}: {:?}\n{:#?}", self.view(i), self.tail(i));
                }
                panic!("{what}: not so after {PATIENCE:?}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        start.elapsed()
    }

    /// Whether all of these have settled on one view, in which they are alive, and nobody else is.
    pub fn have_converged(&self, nodes: &[usize]) -> bool {
        let mut digests = Vec::new();
        for i in nodes {
            let Some(view) = self.view(*i) else {
                return false;
            };
            let alive = |m: &&Value| m["state"] == "alive";
            let alive: Vec<_> = view["members"]
                .as_array()
                .into_iter()
                .flatten()
                .filter(alive)
                .collect();
            let all = nodes
                .iter()
                .all(|n| alive.iter().any(|m| m["name"] == self.nodes[*n].name));
            if view["settled"] != true || !all || alive.len() != nodes.len() {
                return false;
            }
            digests.push(view["digest"].clone());
        }
        digests.windows(2).all(|d| d[0] == d[1])
    }

    /// Waits until all that run agree.
    pub fn wait_converged(&self, what: &str) -> Duration {
        let running = self.running();
        self.wait(what, |c| c.have_converged(&running))
    }

    /// A caller of whatever process takes a node's clients at the time.
    pub fn start_client(&self, node: usize) -> Client {
        let client_address = self.nodes[node].client_address.clone();
        Client::start(node, move || {
            *client_address.lock().expect("no holder panics")
        })
    }

    /// Lines of all nodes that hold this, with the node.
    pub fn lines_containing(&self, part: &str) -> Vec<LogLine> {
        self.history
            .lines()
            .into_iter()
            .filter(|l| l.text.contains(part))
            .collect()
    }
}
