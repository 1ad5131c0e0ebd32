//! Makes each subsystem of a node panic. The node has to log which subsystem panicked, fail
//! its health check and its status, answer the requests that it has read, and exit with the code
//! for panics.

#[path = "../../node/tests/common/mod.rs"]
mod common;

use common::{
    base64, packet, request_params, udp_socket, ControlEndpoint, Gateway, Node, Processor,
    ScratchDirectory, Worker, PROGRAM, TEST_TIMEOUT,
};
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// EX_SOFTWARE of sysexits.h, as documented in `docs/supervision.md`.
const EXIT_PANICKED: i32 = 70;
/// Upper limit of the drain after a failure, in milliseconds.
const STOP_MS: u64 = 2000;

/// A node of which one subsystem panics when a trigger file is created, and stand-ins for its
/// peers.
struct Fixture {
    folder: ScratchDirectory,
    subsystem: &'static str,
    node: Node,
    control: ControlEndpoint,
    processor: Processor,
    gateway: Gateway,
    ledger: TcpListener,
    worker: Worker,
    _registry: UdpSocket,
}

impl Fixture {
    /// Starts a node with `sections` added to its operator file.
    fn start(subsystem: &'static str, sections: &str) -> Fixture {
        Fixture::start_with(subsystem, sections, |_| ())
    }

    /// Like `start`; `prepare` is called with the path of the trigger file before the node starts.
    fn start_with(subsystem: &'static str, sections: &str, prepare: fn(&Path)) -> Fixture {
        let folder = ScratchDirectory::new(&format!("panics-{subsystem}"));
        std::fs::create_dir_all(&folder.0).unwrap();
        let trigger = folder.0.join("trigger");
        prepare(&trigger);
        let mut processor = Processor::new();
        let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
        let (registry, worker) = (udp_socket(), Worker::new());
        let config_entries = json!({
            "processor": processor.address().to_string(),
            "ledger": ledger.local_addr().unwrap().to_string(),
            "registry": registry.local_addr().unwrap().to_string(),
            "control": "127.0.0.1:0",
            "stop_ms": STOP_MS,
        });
        let operator = format!(
            "{}{}",
            common::uwsgi_operator_file(Some(worker.address()), "workers"),
            sections.replace("FOLDER", folder.0.to_str().unwrap())
        );
        let injection = format!("{subsystem}:{}", trigger.display());
        let environment = [
            ("PIPITLEVER_PANIC", injection.as_str()),
            ("TMPDIR", folder.0.to_str().unwrap()),
        ];
        let node = Node::start_with_environment(
            PROGRAM.as_ref(),
            config_entries,
            Some(&operator),
            &environment,
        );
        let control = node.control_endpoint();
        processor.accept_running();
        let gateway = node.ready();
        Fixture {
            folder,
            subsystem,
            node,
            control,
            processor,
            gateway,
            ledger,
            worker,
            _registry: registry,
        }
    }

    fn trigger(&self) -> PathBuf {
        self.folder.0.join("trigger")
    }

    /// Makes the subsystem panic at its next panic point.
    fn arm(&self) {
        std::fs::write(self.trigger(), "").unwrap();
    }

    /// Sends a read, waits until it runs, and returns the id of its run.
    fn begin_read(&mut self) -> String {
        self.gateway
            .send("rota-view", request_params(4000, None, b"in flight"));
        self.processor.begin().0
    }

    /// Checks that the panic is logged with its location and counted, and that the node's status
    /// fails and names the subsystem.
    fn expect_failure(&mut self) {
        let line = self.node.wait_for_line("panic: ");
        let location = "at=crates/node/src/supervision/panic_point.rs:";
        assert!(line.contains(location), "{line}");
        let subsystem = format!("subsystem={} ", self.subsystem);
        assert!(line.contains(&subsystem), "{line}");
        let ending = format!("ending: subsystem={} panicked", self.subsystem);
        assert_eq!(self.node.wait_for_line("ending: "), ending);
        let (status, text) = self.control.call("GET /status");
        let failed = format!("\r\n\r\nfailed: {}\n", self.subsystem);
        assert!(status == 503 && text.ends_with(&failed), "{status} {text}");
        assert_eq!(self.control.metric("panics"), Some(1));
    }

    /// Checks that a run in flight is completed and answered, and that the process then exits with
    /// the code for panics before the drain's limit.
    fn expect_answer_and_exit(&mut self, run: &str) {
        self.processor.complete(run, "fine", b"served");
        let answer = self.answer();
        assert_eq!(answer["result"]["doc"], base64(b"served"), "{answer}");
        self.expect_exit();
    }

    fn answer(&mut self) -> Value {
        next_answer(&mut self.gateway)
    }

    fn expect_exit(&mut self) {
        let start = Instant::now();
        expect_exit(&mut self.node);
        assert!(start.elapsed().as_millis() < u128::from(STOP_MS));
    }
}

/// Checks that the node exits with the code for panics. A node that continued without the failed
/// subsystem would not exit.
fn expect_exit(node: &mut Node) {
    let status = format!("/proc/{}/status", node.pid());
    let has_exited = || std::fs::read_to_string(&status).map_or(true, |s| s.contains("State:\tZ"));
    wait_until("the node exits", has_exited);
    assert_eq!(node.wait().code(), Some(EXIT_PANICKED));
}

/// The next answer; skips notifications.
fn next_answer(gateway: &mut Gateway) -> Value {
    loop {
        let message = gateway.receive();
        assert!(!message.is_null(), "the connection ended without an answer");
        if message["method"].is_null() {
            return message;
        }
    }
}

fn uwsgi_client(fixture: &Fixture, path: &str, key: &str) -> TcpStream {
    let variables = [("HTTP_IDEMPOTENCY_KEY", key)];
    fixture.node.uwsgi_client(&packet(path, &variables, b"x"))
}

/// The panic can occur in any of the client connections. Only that one is lost; requests on the
/// others are answered.
#[test]
fn a_panic_of_a_client_connection_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("front", "");
    let mut gateways = vec![fixture.node.gateway(), fixture.node.gateway()];
    let mut runs = Vec::new();
    for gateway in &mut gateways {
        gateway.send("rota-view", request_params(4000, None, b"in flight"));
        runs.push(fixture.processor.begin().0);
    }
    fixture.arm();
    let _other = fixture.node.gateway();
    fixture.expect_failure();
    for run in &runs {
        fixture.processor.complete(run, "fine", b"served");
    }
    let is_served = |gateway: &mut Gateway| loop {
        let message = gateway.receive();
        if message.is_null() || message["method"].is_null() {
            return message["result"]["doc"] == base64(b"served");
        }
    };
    let served = gateways
        .iter_mut()
        .filter_map(|g| is_served(g).then_some(()))
        .count();
    assert!(served >= gateways.len() - 1, "{served} served");
    fixture.expect_exit();
}

#[test]
fn a_panic_of_the_processor_connection_answers_and_ends_the_node() {
    let mut fixture = Fixture::start("processor", "");
    fixture.begin_read();
    fixture.arm();
    fixture.processor.send(b"used 1 0.5 1 0.1 2\r\n");
    fixture.expect_failure();
    // The result can no longer arrive: the client gets an error before the node exits.
    assert!(fixture.answer()["error"]["code"].is_i64());
    fixture.expect_exit();
}

#[test]
fn a_panic_of_the_ledger_calls_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("ledger", "");
    let calling_run = fixture.begin_read();
    let run = fixture.begin_read();
    fixture.arm();
    fixture.processor.notice("ask", &calling_run, b"call");
    fixture.expect_failure();
    fixture.processor.complete(&run, "fine", b"served");
    let answer = fixture.answer();
    assert_eq!(answer["result"]["doc"], base64(b"served"), "{answer}");
    assert!(fixture.answer()["error"]["code"].is_i64());
    fixture.expect_exit();
    drop(fixture.ledger);
}

#[test]
fn a_panic_of_the_registry_heartbeats_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("registry", "");
    let run = fixture.begin_read();
    fixture.arm();
    fixture.expect_failure();
    fixture.expect_answer_and_exit(&run);
}

#[test]
fn a_panic_of_a_workers_run_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("workers", "");
    let run = fixture.begin_read();
    fixture.arm();
    let _client = uwsgi_client(&fixture, "/swap", "key");
    fixture.expect_failure();
    fixture.expect_answer_and_exit(&run);
    drop(fixture.worker);
}

#[test]
fn a_panic_of_the_control_endpoint_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("control", "");
    let run = fixture.begin_read();
    fixture.arm();
    let _call = TcpStream::connect(fixture.control.0).unwrap();
    let line = fixture.node.wait_for_line("panic: ");
    assert!(line.contains("subsystem=control "), "{line}");
    let ending = fixture.node.wait_for_line("ending: ");
    assert_eq!(ending, "ending: subsystem=control panicked");
    fixture.expect_answer_and_exit(&run);
}

#[test]
fn a_panic_of_the_hot_restart_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("hot-restart", "");
    let run = fixture.begin_read();
    let name = fixture.node.gateway_address.to_string().replace(':', "-");
    let socket_path = fixture.folder.0.join(format!("pipitlever-{name}.sock"));
    fixture.arm();
    let _unidentified = UnixStream::connect(socket_path).unwrap();
    fixture.expect_failure();
    fixture.expect_answer_and_exit(&run);
}

const FLEET: &str = "[fleet]\nname = \"panics\"\nbind = \"127.0.0.1:0\"\nprobe_ms = 200\n";

/// A node's membership view.
fn membership_view(control: &ControlEndpoint) -> Value {
    let (_, response) = control.call("GET /fleet");
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

/// Whether a member is alive in a node's membership view.
fn sees_alive(control: &ControlEndpoint, member: &str) -> bool {
    let view = membership_view(control);
    let mut members = view["members"].as_array().unwrap().iter();
    members.any(|m| m["name"] == member && m["state"] == "alive")
}

fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "not within {TEST_TIMEOUT:?}: {description}"
        );
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

/// Guards against a node that continues to run with a membership view that is no longer updated.
#[test]
fn a_panic_of_the_membership_drains_and_ends_the_node_and_is_detected_by_its_peer() {
    let mut fixture = Fixture::start("fleet", FLEET);
    let view = membership_view(&fixture.control);
    let seed = view["members"][0]["address"].as_str().unwrap();
    let peer = Node::start(
        json!({
            "name": "n2",
            "control": "127.0.0.1:0",
            "processor": common::unused_address().to_string(),
        }),
        Some(&format!("{FLEET}seeds = [\"{seed}\"]\n")),
    );
    let line = peer.wait_for_line("serving: name=n2 protocol=control");
    let peer_control = ControlEndpoint(line.rsplit_once("address=").unwrap().1.parse().unwrap());
    wait_until("n1 and n2 discover each other", || {
        sees_alive(&peer_control, "n1") && sees_alive(&fixture.control, "n2")
    });
    let run = fixture.begin_read();
    fixture.arm();
    fixture.expect_failure();
    fixture.expect_answer_and_exit(&run);
    wait_until("n2 detects that n1 has exited", || {
        !sees_alive(&peer_control, "n1")
    });
}

const STORE: &str = "[store]\nfolder = \"FOLDER/store\"\nmax_mb = 4\n";

#[test]
fn a_panic_of_the_store_thread_drains_and_ends_the_node() {
    let mut fixture = Fixture::start("store", STORE);
    let run = fixture.begin_read();
    fixture.arm();
    let mut other = fixture.node.gateway();
    other.send("swap-confirm", request_params(4000, Some("key"), b"x"));
    fixture.expect_failure();
    fixture.expect_answer_and_exit(&run);
    // The key can no longer be recorded, so that its request does not run.
    assert!(next_answer(&mut other)["error"]["code"].is_i64());
}

/// The panic occurs in the acceptor's first write, which is made at the start, before any request is
/// admitted, so that nothing is drained.
#[test]
fn a_panic_of_the_versions_thread_ends_the_node() {
    let folder = ScratchDirectory::new("panics-versions");
    std::fs::create_dir_all(&folder.0).unwrap();
    let trigger = folder.0.join("trigger");
    std::fs::write(&trigger, "").unwrap();
    let operator = format!(
        "[uwsgi]\n{FLEET}[fleet.versions]\nfolder = {:?}\n\
         electors = [\"n1\", \"n2\", \"n3\"]\nlease_ms = 3000\n",
        folder.0.join("versions").to_str().unwrap()
    );
    let injection = format!("versions:{}", trigger.display());
    let environment = [("PIPITLEVER_PANIC", injection.as_str())];
    let config_entries =
        json!({"processor": common::unused_address().to_string(), "stop_ms": STOP_MS});
    let program = PROGRAM.as_ref();
    let mut node =
        Node::start_with_environment(program, config_entries, Some(&operator), &environment);
    assert!(node
        .wait_for_line("panic: ")
        .contains("subsystem=versions "));
    let ending = node.wait_for_line("ending: ");
    assert_eq!(ending, "ending: subsystem=versions panicked");
    expect_exit(&mut node);
}

/// No request, key or peer depends on the capture: the node continues to serve, and a reload starts
/// a new capture.
#[test]
fn a_panic_of_the_capture_thread_stops_only_the_capture() {
    let capture = "[capture]\nfolder = \"FOLDER/captures\"\nsegment_mb = 8\nkeep_mb = 64\n";
    let create_trigger = |trigger: &Path| std::fs::write(trigger, "").unwrap();
    let mut fixture = Fixture::start_with("capture", capture, create_trigger);
    assert!(fixture
        .node
        .wait_for_line("panic: ")
        .contains("subsystem=capture "));
    let line = fixture.node.wait_for_line("capture: stopped");
    assert!(line.contains("SIGHUP starts it again"), "{line}");
    assert_eq!(fixture.control.call("GET /status").0, 200);
    assert_eq!(fixture.control.metric("panics"), Some(1));
    let run = fixture.begin_read();
    fixture.processor.complete(&run, "fine", b"served");
    let answer = fixture.answer();
    assert_eq!(answer["result"]["doc"], base64(b"served"), "{answer}");
    fixture.node.signal("-HUP");
    fixture.node.wait_for_line("capture: writing: ");
    fixture.node.signal("-TERM");
    assert_eq!(fixture.node.wait().code(), Some(0));
}

/// A panic in an update of the core leaves its state inconsistent, so that further answers would be
/// unreliable: the node exits at once, as in a crash.
#[test]
fn a_panic_in_an_update_of_the_core_ends_the_node_at_once() {
    let mut fixture = Fixture::start("core", "");
    fixture.begin_read();
    fixture.arm();
    fixture.node.wait_for_line("panic: ");
    assert_eq!(
        fixture.node.wait_for_line("ending: the core"),
        "ending: the core panicked in an update, nothing is drained"
    );
    fixture.expect_exit();
}
