//! A node process under test and minimal stand-ins for its peers: gateways, the processor, the
//! ledger and uwsgi workers. All of them use loopback addresses and, except for
//! [`unused_address`], ports that the system assigns.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
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

    /// Runs a node that ends by itself; returns its exit code and its log.
    pub fn run_to_exit(config_entries: Value, env: &[(&str, &str)]) -> (Option<i32>, String) {
        let file =
            std::env::temp_dir().join(format!("pipitlever-{}-fails.json", std::process::id()));
        std::fs::write(&file, configuration(&config_entries).to_string()).unwrap();
        let mut command = Command::new(PROGRAM);
        command
            .arg("serve")
            .arg("--config")
            .arg(&file)
            .envs(env.iter().copied());
        let output = command.output().expect("starts");
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

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn gateway(&self) -> Gateway {
        let stream = TcpStream::connect(self.gateway_address).unwrap();
        // Each message is sent at once, without waiting for the previous one's acknowledgement.
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Gateway {
            lines: BufReader::new(stream.try_clone().unwrap()),
            stream,
            id: 0,
        }
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

/// A stand-in for the processor: a test reads the node's commands and sends the processor's
/// notices.
pub struct Processor {
    pub listener: TcpListener,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
    pub hello: String,
    notices: u64,
}

impl Processor {
    pub fn new() -> Processor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Processor {
            listener,
            connection: None,
            hello: String::new(),
            notices: 0,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the node's connection and reads its hello.
    pub fn accept(&mut self) {
        let stream = self.listener.accept().unwrap().0;
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.connection = Some((stream.try_clone().unwrap(), BufReader::new(stream)));
        self.hello = self.read_line();
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.connection
            .as_mut()
            .unwrap()
            .0
            .write_all(bytes)
            .unwrap();
    }

    /// Numbers notices after those of the processor connection that this one replaces.
    pub fn continue_notice_numbers(&mut self, predecessor: &Processor) {
        self.notices = predecessor.notices;
    }

    /// Accepts the node's connection and reports the state `running`.
    pub fn accept_running(&mut self) {
        self.accept();
        self.send(b"hi running 1000.5\r\n");
    }

    /// Answers `usage` commands, and accepts no others, until the node closes the connection.
    pub fn answer_usage_until_closed(&mut self) {
        loop {
            let line = self.read_line();
            let Some(tag) = line.strip_prefix("usage ") else {
                return assert_eq!(line, "");
            };
            self.send(format!("used {tag} 0.5 1 0.1 2\r\n").as_bytes());
        }
    }

    pub fn disconnect(&mut self) {
        self.connection
            .take()
            .unwrap()
            .0
            .shutdown(Shutdown::Both)
            .unwrap();
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.connection
            .as_mut()
            .unwrap()
            .1
            .read_line(&mut line)
            .expect("a command");
        line.trim_end_matches("\r\n").to_owned()
    }

    /// Answers `usage` commands, and no others, for this long.
    pub fn answer_usage_for(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let line = self.read_line();
            if let Some(tag) = line.strip_prefix("usage ") {
                self.send(format!("used {tag} 1.0 2 0.1 2\r\n").as_bytes());
            }
        }
    }

    /// Answers the next command if it is `usage`, with this number of runnable runs. Returns whether
    /// it was; another command is left unread.
    pub fn answer_usage(&mut self, runnable: u32) -> bool {
        let commands = &mut self.connection.as_mut().unwrap().1;
        let is_usage = commands.fill_buf().expect("a command").starts_with(b"u");
        if is_usage {
            let line = self.read_line();
            let tag = line.strip_prefix("usage ").expect("a tag");
            self.send(format!("used {tag} 0.5 {runnable} 0.1 2\r\n").as_bytes());
        }
        is_usage
    }

    /// The next command other than `usage`, with its body. `usage` commands are answered.
    pub fn command(&mut self) -> (Vec<String>, Vec<u8>) {
        let start = Instant::now();
        loop {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "no command other than usage within {TEST_TIMEOUT:?}"
            );
            let fields: Vec<String> = self.read_line().split(' ').map(str::to_owned).collect();
            if fields[0] == "usage" {
                let used = format!("used {} 0.5 1 0.1 2\r\n", fields[1]);
                self.send(used.as_bytes());
                continue;
            }
            if fields[0] == "interrupt" {
                return (fields, Vec::new());
            }
            let length: usize = fields
                .last()
                .unwrap()
                .parse()
                .unwrap_or_else(|_| panic!("{fields:?}"));
            let mut body = vec![0; length + 2];
            self.connection
                .as_mut()
                .unwrap()
                .1
                .read_exact(&mut body)
                .unwrap();
            assert_eq!(body.split_off(length), b"\r\n");
            return (fields, body);
        }
    }

    /// Reads a command, which has to be `begin`; returns the run's id and the body.
    pub fn begin(&mut self) -> (String, Vec<u8>) {
        let (fields, body) = self.command();
        assert_eq!(fields[0], "begin", "{fields:?}");
        (fields[1].clone(), body)
    }

    /// Sends the next notice: `kind NUMBER arguments LENGTH` and the body.
    pub fn notice(&mut self, kind: &str, arguments: &str, body: &[u8]) {
        self.notices += 1;
        let head = format!("{kind} {} {arguments} {}\r\n", self.notices, body.len());
        self.send(&[head.as_bytes(), body, b"\r\n"].concat());
    }

    pub fn complete(&mut self, id: &str, status: &str, result: &[u8]) {
        self.notice("complete", &format!("{id} {status} 12.25"), result);
    }

    /// Completes every run with its own body until the node disconnects.
    pub fn echo_until_disconnected(self) {
        let bodies = self.echo();
        while bodies.recv().is_ok() {}
    }

    /// Completes every run with a result of this size until the node disconnects.
    pub fn serve_until_disconnected(self, result_size: usize) {
        let bodies = self.answer_all(move |_| vec![7; result_size]);
        while bodies.recv().is_ok() {}
    }

    /// Completes every run with its own body in a thread, until the node disconnects. The receiver
    /// gets each body.
    pub fn echo(self) -> Receiver<Vec<u8>> {
        self.answer_all(|body| body.to_vec())
    }

    fn answer_all(
        mut self,
        result: impl Fn(&[u8]) -> Vec<u8> + Send + 'static,
    ) -> Receiver<Vec<u8>> {
        let (sender, bodies) = channel();
        std::thread::spawn(move || loop {
            let mut line = String::new();
            let (stream, lines) = self.connection.as_mut().unwrap();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let fields: Vec<&str> = line.trim_end().split(' ').collect();
            if fields[0] == "usage" {
                let _ = stream.write_all(format!("used {} 0.5 1 0.1 2\r\n", fields[1]).as_bytes());
                continue;
            }
            let mut body = vec![0; fields[3].parse::<usize>().unwrap() + 2];
            lines.read_exact(&mut body).unwrap();
            body.truncate(body.len() - 2);
            let _ = sender.send(body.clone());
            self.complete(fields[1], "fine", &result(&body));
        });
        bodies
    }
}

/// A stand-in for the ledger: one connection, which carries one call at a time.
pub struct LedgerConnection {
    lines: BufReader<TcpStream>,
    /// The time that the last call allowed, in milliseconds.
    pub allowed_ms: u64,
}

impl LedgerConnection {
    pub fn accept(ledger: &TcpListener) -> LedgerConnection {
        LedgerConnection::from_stream(ledger.accept().unwrap().0)
    }

    pub fn from_stream(stream: TcpStream) -> LedgerConnection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        LedgerConnection {
            lines: BufReader::new(stream),
            allowed_ms: 0,
        }
    }

    /// The next call: the id of its run and the body.
    pub fn post(&mut self) -> (String, Vec<u8>) {
        self.try_post().expect("a call")
    }

    /// Like `post`; `None` at the end of the connection.
    pub fn try_post(&mut self) -> Option<(String, Vec<u8>)> {
        let mut line = String::new();
        self.lines.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let fields: Vec<&str> = line.trim_end_matches("\r\n").split(' ').collect();
        let ["post", id, allowed_ms, length] = fields[..] else {
            panic!("{line}")
        };
        self.allowed_ms = allowed_ms.parse().unwrap();
        let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
        self.lines.read_exact(&mut body).unwrap();
        assert_eq!(body.split_off(body.len() - 2), b"\r\n");
        Some((id.to_owned(), body))
    }

    pub fn reply(&mut self, text: &str) {
        self.reply_bytes(text.as_bytes());
    }

    pub fn reply_bytes(&mut self, bytes: &[u8]) {
        self.lines.get_mut().write_all(bytes).unwrap();
    }
}

/// A uwsgi POST packet for this path, with additional variables and a body.
pub fn packet(path: &str, variables: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let mut vars = vec![
        ("REQUEST_METHOD", "POST"),
        ("PATH_INFO", path),
        ("CONTENT_LENGTH", &length),
    ];
    vars.extend(variables);
    let string = |s: &str| [&(s.len() as u16).to_le_bytes()[..], s.as_bytes()].concat();
    let block: Vec<u8> = vars
        .iter()
        .flat_map(|(n, v)| [string(n), string(v)].concat())
        .collect();
    let [low, high] = (block.len() as u16).to_le_bytes();
    [&[0, low, high, 0][..], &block, body].concat()
}

/// A stand-in for a uwsgi worker.
pub struct Worker(pub TcpListener);

impl Worker {
    pub fn new() -> Worker {
        Worker(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Accepts the next connection and reads its packet, which is returned unparsed.
    pub fn accept(&self) -> (TcpStream, Vec<u8>) {
        Worker::read(self.0.accept().unwrap().0)
    }

    /// Reads the packet on this connection.
    pub fn read(stream: TcpStream) -> (TcpStream, Vec<u8>) {
        Worker::try_read(stream).expect("a complete packet")
    }

    /// Like `read`; `None` if the connection ends before the packet is complete.
    pub fn try_read(mut stream: TcpStream) -> Option<(TcpStream, Vec<u8>)> {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        let mut bytes = vec![0; 4];
        stream.read_exact(&mut bytes).ok()?;
        let size = usize::from(u16::from_le_bytes([bytes[1], bytes[2]]));
        bytes.resize(4 + size, 0);
        stream.read_exact(&mut bytes[4..]).ok()?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let value = text
            .split_once("CONTENT_LENGTH")
            .expect("every packet has a CONTENT_LENGTH")
            .1;
        let digits: String = value
            .chars()
            .skip(2)
            .take_while(char::is_ascii_digit)
            .collect();
        let start = bytes.len();
        bytes.resize(start + digits.parse::<usize>().ok()?, 0);
        stream.read_exact(&mut bytes[start..]).ok()?;
        Some((stream, bytes))
    }

    /// Answers every request with its own body, in a thread that runs until the process ends; the
    /// receiver gets each body.
    pub fn echo(self) -> Receiver<Vec<u8>> {
        let (sender, bodies): (Sender<Vec<u8>>, _) = channel();
        std::thread::spawn(move || loop {
            let (mut stream, packet) = self.accept();
            let size = usize::from(u16::from_le_bytes([packet[1], packet[2]]));
            let body = &packet[4 + size..];
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = sender.send(body.to_vec());
            let _ = stream.write_all(&[head.as_bytes(), body].concat());
        });
        bodies
    }
}

/// An operator's file with two uwsgi routes: `/view` goes to the processor, `/swap` to the given
/// backend.
pub fn uwsgi_operator_file(worker: Option<SocketAddr>, backend: &str) -> String {
    let workers = worker.map(|w| format!("\"{w}\"")).unwrap_or_default();
    format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\nworkers = [{workers}]\ndeadline_ms = 5000\n\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"processor\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"{backend}\"\n"
    )
}

pub fn udp_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket
}
