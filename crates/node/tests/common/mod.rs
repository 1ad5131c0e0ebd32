//! A node process under test and minimal stand-ins for its peers: gateways, the processor, the
//! ledger and uwsgi workers. All of them use loopback addresses and, except for
//! [`unused_address`], ports that the system assigns.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test crate uses only some of the helpers"
)]

mod ledger;
mod processor;
mod uwsgi;

pub use ledger::LedgerConnection;
pub use processor::Processor;
pub use uwsgi::{packet, uwsgi_operator_file, Worker};

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper limit of every wait; a test that reaches it has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The program under test: the node, or its build that counts allocations.
pub const PROGRAM: &str = match (
    option_env!("CARGO_BIN_EXE_pipitlever"),
    option_env!("CARGO_BIN_EXE_counted"),
) {
    (Some(node), _) => node,
    (None, Some(counted)) => counted,
    (None, None) => panic!("cargo sets the path of no program under test"),
};
/// An address without a listener. A port of 127.0.0.1 that was free a moment ago may be in use by
/// another test by now.
pub fn unused_address() -> SocketAddr {
    "127.77.0.1:9".parse().unwrap()
}

pub fn base64(bytes: &[u8]) -> String {
    use ::base64::Engine;
    ::base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn settings() -> Value {
    let class = |name: &str, kind: &str, priority_weight: f64| {
        json!({"name": name, "idempotency": kind, "target": 2200000, "deadline": 6700000,
               "memorySpan": 20049000, "worth": priority_weight, "lateWorth": 0.2})
    };
    json!({
        "categories": [class("rota-view", "free", 1.0), class("swap-confirm", "guarded", 5.0)],
        "familyInfo": {"below": "tier", "blowup": 8.0, "classCalls": [true, true], "cold": false, "cpus": 6,
            "heapKb": 56166.0, "keyKb": 2.0, "keepaliveMax": 15000000, "passesDeadline": true,
            "say": "threshold", "stopMode": "silent", "gauges": ["core_use", "on_cores", "heap_share", "links"]},
        "limits": {"maxRetryAfter": 1000000}, "clients": {"marksRetry": true},
        "safety": {"answerSlack": 100000, "cold": 18000000, "coldFrom": 0.21, "drainGrace": 2500000,
            "tipAfter": 3000000, "tipMultiple": 5.0}
    })
}

/// The default configuration with `entries` added or replaced.
pub fn configuration(entries: &Value) -> Value {
    let mut config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "stop_ms": 5000, "settings": settings()});
    config
        .as_object_mut()
        .unwrap()
        .extend(entries.as_object().unwrap().clone());
    config
}

/// The path of a folder for one test. `new` does not create the folder; it is removed on drop.
pub struct ScratchDirectory(pub PathBuf);

impl ScratchDirectory {
    pub fn new(name: &str) -> ScratchDirectory {
        let path = std::env::temp_dir().join(format!("pipitlever-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        ScratchDirectory(path)
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A node process under test, killed on drop.
pub struct Node {
    child: Child,
    config: (PathBuf, Value),
    operator_file: PathBuf,
    pub gateway_address: SocketAddr,
    pub uwsgi_address: Option<SocketAddr>,
    lines: Receiver<String>,
    /// The process is stopped by a signal and prints no counters at the end of the test.
    pub stopped: bool,
    /// The expected count of answers that the node drops because the test does not read them.
    pub expected_undelivered: u64,
}

impl Node {
    /// Starts a node with these configuration entries and an operator's file with this text.
    pub fn start(config_entries: Value, operator_file: Option<&str>) -> Node {
        Node::start_program(&Node::program(), config_entries, operator_file)
    }

    /// The program to start: PIPITLEVER_PROGRAM selects another build, for measurements.
    fn program() -> PathBuf {
        std::env::var_os("PIPITLEVER_PROGRAM").map_or_else(|| PROGRAM.into(), PathBuf::from)
    }

    /// Like `start`, with the given program.
    pub fn start_program(
        program: &Path,
        config_entries: Value,
        operator_file: Option<&str>,
    ) -> Node {
        Node::start_with_environment(program, config_entries, operator_file, &[])
    }

    /// Returns a function that maps an extension to the path of a new node's file.
    fn files() -> impl Fn(&str) -> PathBuf {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!(
            "pipitlever-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::Relaxed)
        );
        move |extension: &str| std::env::temp_dir().join(format!("{name}.{extension}"))
    }

    /// Like `start_program`, with additional environment variables.
    pub fn start_with_environment(
        program: &Path,
        config_entries: Value,
        operator_file: Option<&str>,
        env: &[(&str, &str)],
    ) -> Node {
        let file = Node::files();
        let config = configuration(&config_entries);
        std::fs::write(file("json"), config.to_string()).unwrap();
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg("--config")
            .arg(file("json"))
            .envs(env.iter().copied());
        Node::spawn(command, config, &file, operator_file)
    }

    /// Starts a node whose process may open at most so many file descriptors.
    pub fn start_with_descriptor_limit(descriptors: usize, config_entries: Value) -> Node {
        let file = Node::files();
        let config = configuration(&config_entries);
        std::fs::write(file("json"), config.to_string()).unwrap();
        let mut command = Command::new("prlimit");
        command
            .arg(format!("--nofile={descriptors}"))
            .arg(Node::program())
            .arg("serve");
        command.arg("--config").arg(file("json"));
        Node::spawn(command, config, &file, None)
    }

    fn spawn(
        mut command: Command,
        config: Value,
        file: &dyn Fn(&str) -> PathBuf,
        operator_file: Option<&str>,
    ) -> Node {
        if let Some(text) = operator_file {
            std::fs::write(file("toml"), text).unwrap();
            command.arg("--operator").arg(file("toml"));
        }
        let mut child = command
            .stdin(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        let (sender, lines) = channel();
        let log = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            log.lines()
                .map_while(Result::ok)
                .try_for_each(|l| sender.send(l))
        });
        let listening = || -> SocketAddr {
            loop {
                let line = lines
                    .recv_timeout(TEST_TIMEOUT)
                    .expect("the log names the listen address");
                if let Some((_, at)) = line.rsplit_once("listen=") {
                    return at.parse().unwrap();
                }
            }
        };
        let gateway_address = listening();
        let uwsgi_address = operator_file
            .filter(|text| text.contains("listen"))
            .map(|_| listening());
        Node {
            child,
            config: (file("json"), config),
            operator_file: file("toml"),
            gateway_address,
            uwsgi_address,
            lines,
            stopped: false,
            expected_undelivered: 0,
        }
    }

    /// Runs a node that ends by itself; returns its exit code and its log. A node that does not end
    /// is killed, and has no exit code.
    pub fn run_to_exit(config_entries: Value, env: &[(&str, &str)]) -> (Option<i32>, String) {
        // A file of its own: tests that run at once would start with each other's configuration.
        let file = Node::files()("json");
        std::fs::write(&file, configuration(&config_entries).to_string()).unwrap();
        let mut command = Command::new(PROGRAM);
        command
            .arg("serve")
            .arg("--config")
            .arg(&file)
            .envs(env.iter().copied());
        let child = command.stderr(Stdio::piped()).spawn().expect("starts");
        let id = child.id().to_string();
        let (ended, end) = channel::<()>();
        let watchdog = std::thread::spawn(move || {
            if end.recv_timeout(TEST_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
                let _ = Command::new("kill").args(["-KILL", &id]).status();
            }
        });
        let output = child.wait_with_output().expect("ends");
        drop(ended);
        watchdog.join().unwrap();
        let _ = std::fs::remove_file(&file);
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    }

    /// Adds or replaces these entries of the configuration file and sends SIGHUP.
    pub fn reload(&mut self, config_entries: Value) {
        self.config
            .1
            .as_object_mut()
            .unwrap()
            .extend(config_entries.as_object().unwrap().clone());
        let text = self.config.1.to_string();
        self.reload_text(&text);
    }

    pub fn reload_text(&self, text: &str) {
        // The rename is atomic: the node may still be reading the file for an earlier signal, and
        // rejects a truncated one.
        let new = self.config.0.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.config.0).unwrap();
        self.signal("-HUP");
    }

    /// Replaces the operator's file and sends SIGHUP.
    pub fn rewrite_operator_file(&self, text: &str) {
        let new = self.operator_file.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.operator_file).unwrap();
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Skips log lines up to the next one that begins with `start`, and returns it.
    pub fn wait_for_line(&self, start: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(TEST_TIMEOUT)
                .unwrap_or_else(|_| panic!("no log line that begins with {start:?}"));
            if line.starts_with(start) {
                return line;
            }
        }
    }

    /// The control endpoint, once the log names its address.
    pub fn control_endpoint(&self) -> ControlEndpoint {
        let line = self.wait_for_line("serving: name=n1 protocol=control");
        ControlEndpoint(line.rsplit_once("address=").unwrap().1.parse().unwrap())
    }

    /// The value of `name=` in a log line.
    pub fn counter(line: &str, name: &str) -> u64 {
        let value = line
            .split(' ')
            .find_map(|w| w.strip_prefix(&format!("{name}=")));
        value
            .unwrap_or_else(|| panic!("no {name} in {line}"))
            .parse()
            .unwrap()
    }

    /// Has the build that counts allocations print its counts.
    pub fn request_allocation_counts(&mut self) {
        self.child.stdin.as_mut().unwrap().write_all(b"\n").unwrap();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The resident memory of the process, in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.trim().strip_suffix(" kB"));
        size.expect("the size of the process").parse().unwrap()
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn gateway(&self) -> Gateway {
        Gateway::connect(self.gateway_address)
    }

    /// Connects a gateway and waits until the node reports that it is healthy.
    pub fn ready(&self) -> Gateway {
        let mut gateway = self.gateway();
        loop {
            let id = gateway.send("alive", json!({}));
            let answer = gateway.receive();
            assert_eq!(answer["id"], id);
            if answer["result"]["healthy"] == true {
                return gateway;
            }
        }
    }

    /// Opens a uwsgi connection and sends this packet.
    pub fn uwsgi_client(&self, packet: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(
            self.uwsgi_address
                .expect("the uwsgi listener is configured"),
        )
        .unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(packet).unwrap();
        stream
    }

    /// Sends a uwsgi request and reads the response: its status and its whole text.
    pub fn uwsgi_request(&self, packet: &[u8]) -> (u16, String) {
        read_response(self.uwsgi_client(packet))
    }
}

impl Node {
    /// The next `counters: ` and `now: ` lines, which the node prints on SIGUSR1 and when it ends.
    fn counters_and_state(&self, timeout: Duration) -> Option<(String, String)> {
        let mut counters = None;
        loop {
            let line = self.lines.recv_timeout(timeout).ok()?;
            assert!(!line.starts_with("accounting: "), "{line}");
            if line.starts_with("counters: ") {
                counters = Some(line);
            } else if let (true, Some(counters)) = (line.starts_with("now: "), counters.take()) {
                // A test may have read the first line of an earlier pair: only a whole pair counts.
                return Some((counters, line));
            }
        }
    }

    /// Checks that every request read was answered, has a client that disconnected, or is open, and
    /// that no answers were dropped other than the expected ones.
    fn check_accounting(&mut self) {
        let running = matches!(self.child.try_wait(), Ok(None));
        if running {
            self.signal("-USR1");
        }
        // A process that was killed, or whose last lines the test has read, prints no more lines.
        let timeout = if running {
            TEST_TIMEOUT
        } else {
            Duration::ZERO
        };
        let Some((counters, now)) = self.counters_and_state(timeout) else {
            return assert!(
                !running || self.stopped,
                "a running node printed no counters after SIGUSR1"
            );
        };
        let count = |name: &str| Node::counter(&counters, name);
        let answered = count("served") + count("refused") + count("failed") + count("gone");
        let open = Node::counter(&now, "open");
        assert_eq!(count("requests"), answered + open, "{counters} {now}");
        assert_eq!(
            count("undelivered"),
            self.expected_undelivered,
            "{counters}"
        );
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let checked = match std::thread::panicking() {
            true => Ok(()),
            false => {
                std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| self.check_accounting()))
            }
        };
        // The process is ended whether or not the check passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Err(panic) = checked {
            std::panic::resume_unwind(panic);
        }
    }
}

/// The control endpoint of a node.
pub struct ControlEndpoint(pub SocketAddr);

impl ControlEndpoint {
    /// Sends an HTTP request with this method and path; returns the status and the whole response.
    pub fn call(&self, method_and_path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.0).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
            .write_all(format!("{method_and_path} HTTP/1.1\r\nHost: n1\r\n\r\n").as_bytes())
            .unwrap();
        read_response(stream)
    }

    /// The value of a metric, if it is reported.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let (status, text) = self.call("GET /status/metrics");
        assert_eq!(status, 200);
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(&format!("edge.{name}:")))?;
        line.split_once('|')?.0.parse().ok()
    }
}

/// Reads an HTTP response up to the end of the connection: its status and its whole text.
pub fn read_response(mut stream: TcpStream) -> (u16, String) {
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("a response and the end of the connection");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text
        .strip_prefix("HTTP/1.")
        .and_then(|t| t.get(2..5))
        .and_then(|s| s.parse().ok());
    (
        status.unwrap_or_else(|| panic!("not an HTTP response: {text:?}")),
        text,
    )
}

/// A stand-in for a gateway: one JSON-RPC connection to a node.
pub struct Gateway {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    id: u64,
}

impl Gateway {
    pub fn connect(address: SocketAddr) -> Gateway {
        let stream = TcpStream::connect(address).unwrap();
        // Each message is sent at once, without waiting for the previous one's acknowledgement.
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Gateway {
            lines: BufReader::new(stream.try_clone().unwrap()),
            stream,
            id: 0,
        }
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a request and returns its id.
    pub fn send(&mut self, method: &str, params: Value) -> u64 {
        self.id += 1;
        let message = json!({"jsonrpc": "2.0", "id": self.id, "method": method, "params": params});
        self.send_bytes(format!("{message}\n").as_bytes());
        self.id
    }

    pub fn notify(&mut self, method: &str, params: Value) {
        self.send_bytes(
            format!(
                "{}\n",
                json!({"jsonrpc": "2.0", "method": method, "params": params})
            )
            .as_bytes(),
        );
    }

    /// Waits until bytes have arrived, and leaves them unread.
    pub fn wait_for_bytes(&self) {
        assert!(self.stream.peek(&mut [0]).expect("bytes") > 0);
    }

    /// The next message; `Null` at the end of the connection.
    pub fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a message");
        if line.is_empty() {
            return Value::Null;
        }
        serde_json::from_str(&line).unwrap()
    }
}

/// The parameters of a request that allows `allow_ms`, with an idempotency key if one is given.
pub fn request_params(allow_ms: u64, key: Option<&str>, body: &[u8]) -> Value {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let reference = format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed));
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let mut params = json!({"ref": reference, "since": since, "sender": 1, "allow": allow_ms,
        "effort": 12.5, "room": 24.5, "class_rank": 0.625, "doc": base64(body)});
    if let Some(key) = key {
        params["replay"] = json!(key);
    }
    params
}

pub fn udp_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket
}
