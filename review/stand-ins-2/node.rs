//! A rota node as a process of its own, started with the command of the deploy file.

use crate::gateway::Connection;
use crate::record::Record;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Process ids of all nodes, which the watchdog kills.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all nodes that were started and have not been reaped.
pub fn kill_all() {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        send_signal("KILL", pid);
    }
}

fn send_signal(signal: &str, pid: u32) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{signal} {pid}"))
        .status();
}

/// A loopback address with a port that is free at the moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// The files and the environment of a node.
pub struct NodeFiles {
    pub name: String,
    pub folder: PathBuf,
    pub config: PathBuf,
    pub operator: Option<PathBuf>,
    pub listen: SocketAddr,
    pub control: SocketAddr,
}

impl NodeFiles {
    /// Describes a node whose files are in `folder`.
    pub fn new(name: &str, folder: &Path, listen: SocketAddr) -> NodeFiles {
        NodeFiles {
            name: name.to_owned(),
            folder: folder.to_owned(),
            config: folder.join(format!("{name}.json")),
            operator: None,
            listen,
            control: free_address(),
        }
    }

    /// Writes the configuration: all of it in one step, as a reader may be active.
    pub fn write_config(&self, text: &str) {
        replace(&self.config, text);
    }

    /// Writes the operator's file.
    pub fn write_operator(&mut self, text: &str) {
        let path = self.folder.join(format!("{}.toml", self.name));
        replace(&path, text);
        self.operator = Some(path);
    }
}

fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).expect("writes a file");
    std::fs::rename(&new, path).expect("renames a file");
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("a run command");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

/// A running node, killed on drop.
pub struct Node {
    pub files: NodeFiles,
    child: Child,
    record: Record,
}

impl Node {
    /// Starts a process. Its log goes to a file in its folder.
    pub fn start(files: NodeFiles, record: &Record) -> Node {
        let mut line = run_command();
        if let Some(operator) = &files.operator {
            line = format!(
                "{line} serve --config {} --operator {}",
                files.config.display(),
                operator.display()
            );
        }
        let log =
            File::create(files.folder.join(format!("{}.log", files.name))).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&line);
        command
            .env("EDGE_NAME", "n1")
            .env("EDGE_LISTEN", files.listen.to_string());
        command
            .env("EDGE_CONFIG", &files.config)
            .env("EDGE_CONTROL", files.control.to_string());
        command.env("TMPDIR", &files.folder).stdin(Stdio::null());
        command
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        let child = command.process_group(0).spawn().expect("starts the node");
        PROCESSES.lock().unwrap().push(child.id());
        record.line(format!("{}: process started: {line}", files.name));
        Node {
            files,
            child,
            record: record.clone(),
        }
    }

    /// Waits until a health check succeeds.
    pub fn wait_until_healthy(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Ok(mut connection) = Connection::open("health", self.files.listen, &self.record)
            {
                if connection.health(Duration::from_secs(1)) == Some(true) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until `GET /status` answers with success.
    pub fn wait_until_serving(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self
                .control("GET", "/status")
                .is_some_and(|(status, _)| status == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// A call of the control endpoint: its status and body.
    pub fn control(&self, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream =
            TcpStream::connect_timeout(&self.files.control, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let request =
            format!("{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        let status = text.split(' ').nth(1)?.parse().ok()?;
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        Some((status, body.to_owned()))
    }

    /// A figure of `GET /status/metrics`.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (_, text) = self.control("GET", "/status/metrics")?;
        let line = text
            .lines()
            .find(|line| line.starts_with(&format!("{name}:")))?;
        line.split([':', '|']).nth(1)?.parse().ok()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        self.record
            .line(format!("{}: SIG{signal}", self.files.name));
        send_signal(signal, self.child.id());
    }

    /// Sends SIGHUP and waits until the new files are accepted; false if they are turned down.
    pub fn reload(&self) -> bool {
        let accepted = self.figure("edge.cfg_accepted").unwrap_or(0);
        let invalid = self.figure("edge.cfg_invalid").unwrap_or(0);
        self.signal("HUP");
        let deadline = Instant::now() + Duration::from_secs(3);
        while Instant::now() < deadline {
            if self.figure("edge.cfg_accepted").unwrap_or(0) > accepted {
                self.record
                    .line(format!("{}: new configuration accepted", self.files.name));
                return true;
            }
            if self.figure("edge.cfg_invalid").unwrap_or(0) > invalid {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(format!(
            "{}: new configuration turned down",
            self.files.name
        ));
        false
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        self.record.line(format!("{}: SIGKILL", self.files.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        PROCESSES.lock().unwrap().retain(|&other| other != pid);
    }

    /// Copies the node's log to the record.
    pub fn record_log(&self) {
        let path = self.files.folder.join(format!("{}.log", self.files.name));
        for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
            self.record
                .line(format!("{}: log: {line}", self.files.name));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.record_log();
        self.kill();
    }
}
