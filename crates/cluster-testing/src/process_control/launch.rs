//! Starts processes: writes their configuration, and collects their log lines.

use super::history::LogLine;
use super::process::{KillOnDrop, Process, StartingProcess};
use super::Cluster;
use crate::network_relay::bind_address;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ChildStderr, Command, Stdio};

/// The number of nodes that all nodes of a cluster have as seeds.
const SEED_COUNT: usize = 2;
const ANY_PORT: &str = "127.0.0.1:0";

impl Cluster {
    /// Starts a process on a node under `name`, and waits until it is ready. It listens for clients
    /// on `listen`, or else on a free port.
    pub fn start_process(
        &mut self,
        node: usize,
        name: &str,
        listen: Option<SocketAddr>,
    ) -> Process {
        let process = self.launch(node, name, listen);
        self.wait_ready(process)
    }

    /// Starts a process as [`Cluster::start_process`] does, without waiting.
    pub fn launch(
        &mut self,
        node: usize,
        name: &str,
        listen: Option<SocketAddr>,
    ) -> StartingProcess {
        self.last_process += 1;
        let number = self.last_process;
        let config_file = self.nodes[node].directory.join(format!("{number}.json"));
        let config = self.platform_config(node, name, listen);
        std::fs::write(&config_file, config.to_string()).expect("the file is writable");
        let operator_file = self.operator_file(node, number);
        std::fs::write(&operator_file, self.operator_text(node)).expect("the file is writable");
        let older_lines = self.history.lines().len();
        let mut child = self
            .command(node, &config_file, &operator_file)
            .spawn()
            .expect("setpriv and the program can be started");
        let log = child.stderr.take().expect("the log is piped");
        self.collect_log(node, number, log);
        StartingProcess {
            number,
            child: KillOnDrop(child),
            node,
            older_lines,
        }
    }

    /// The operator file of a process.
    pub(super) fn operator_file(&self, node: usize, process: usize) -> PathBuf {
        self.nodes[node].directory.join(format!("{process}.toml"))
    }

    fn platform_config(&self, node: usize, name: &str, listen: Option<SocketAddr>) -> Value {
        let mut config = self.config.platform_config.clone();
        let listen = listen.map_or(ANY_PORT.into(), |address| address.to_string());
        config["name"] = json!(name);
        config["listen"] = json!(listen);
        config["control"] = json!(ANY_PORT);
        config["processor"] = json!(self.nodes[node].processor.address.to_string());
        config
    }

    fn operator_text(&self, node: usize) -> String {
        if !self.config.is_clustered {
            return String::new();
        }
        let mut text = format!(
            "[fleet]\nname = \"{}\"\nbind = \"{}:0\"\n",
            crate::CLUSTER_NAME,
            bind_address(node)
        );
        let external_seeds = self.config.external_seeds.clone();
        let seeds = if external_seeds.is_empty() {
            text += &format!("advertise = \"{}\"\n", self.nodes[node].relay.address);
            let seed_nodes = self.nodes.iter().take(SEED_COUNT);
            seed_nodes.map(|node| node.relay.address).collect()
        } else {
            // External members do not know the relays.
            external_seeds
        };
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        text += &format!("seeds = [{}]\n", seeds.join(", "));
        text += &format!("probe_ms = {}\n", self.config.probe_interval_ms);
        let directory = self.nodes[node].directory.display().to_string();
        text + &self.config.operator_sections.replace("FOLDER", &directory)
    }

    fn command(&self, node: usize, config_file: &Path, operator_file: &Path) -> Command {
        // The kernel kills the process when the thread that started it ends for whatever reason.
        let mut command = Command::new("setpriv");
        command
            .args(["--pdeathsig", "KILL", "--"])
            .arg(&self.config.program)
            .arg("serve")
            .arg("--config")
            .arg(config_file)
            .arg("--operator")
            .arg(operator_file)
            .env("TMPDIR", &self.nodes[node].directory)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command
    }

    /// Adds the lines of a process's log to the history as they are written.
    fn collect_log(&self, node: usize, process: usize, log: ChildStderr) {
        let history = self.history.clone();
        let started_at = self.started_at;
        std::thread::spawn(move || {
            for text in BufReader::new(log).lines().map_while(Result::ok) {
                history.add(LogLine {
                    at: started_at.elapsed(),
                    node,
                    process,
                    text,
                });
            }
        });
    }

    /// Waits until a process is ready, and directs the node's clients and relay to it.
    pub fn wait_ready(&self, process: StartingProcess) -> Process {
        let client_address = self.logged_address(&process, "protocol=json-rpc", "listen=");
        let control_address = self.logged_address(&process, "protocol=control", "address=");
        let node = &self.nodes[process.node];
        if self.config.is_clustered {
            let bind = self.logged_address(&process, "fleet: serving", "bind=");
            node.relay.set_target(bind);
        }
        node.set_client_address(Some(client_address));
        Process {
            number: process.number,
            client_address,
            control_address,
            child: process.child,
        }
    }

    /// Waits for a log line that contains `text`. Returns the address behind `key` in that line.
    fn logged_address(&self, process: &StartingProcess, text: &str, key: &str) -> SocketAddr {
        let node = process.node;
        let line = self
            .history
            .wait(process.older_lines, |line| {
                line.process == process.number && line.text.contains(text)
            })
            .unwrap_or_else(|| panic!("n{node} does not log {text}: {:#?}", self.tail(node)));
        let mut fields = line.text.split(' ');
        fields
            .find_map(|field| field.strip_prefix(key))
            .and_then(|value| value.parse().ok())
            .unwrap_or_else(|| panic!("no {key} in {}", line.text))
    }
}
