//! Makes each subsystem of a node panic. No panic ends unseen: the node says which subsystem it was,
//! fails its health check and its status, answers what it has read, and exits with a code of its
//! own.

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

/// EX_SOFTWARE of sysexits.h, as `docs/supervision.md` has it.
const EXIT_PANICKED: i32 = 70;
/// Time from the failure to the kill, in milliseconds.
const STOP_MS: u64 = 2000;

/// A node of which one subsystem panics when it is told to, with all that it talks to.
struct Site {
    folder: ScratchDirectory,
    subsystem: &'static str,
    node: Node,
    door: ControlEndpoint,
    processor: Processor,
    gateway: Gateway,
    ledger: TcpListener,
    worker: Worker,
    _registry: UdpSocket,
}

impl Site {
    /// Starts a node with these further sections of the operator file.
    fn start(subsystem: &'static str, sections: &str) -> Site {
        Site::start_with(subsystem, sections, |_| ())
    }

    /// The same; `prepare` is called with the trigger's path before the start.
    fn start_with(subsystem: &'static str, sections: &str, prepare: fn(&Path)) -> Site {
        let folder = ScratchDirectory::new(&format!("panics-{subsystem}"));
        std::fs::create_dir_all(&folder.0).unwrap();
        let trigger = folder.0.join("trigger");
        prepare(&trigger);
        let mut processor = Processor::new();
        let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
        let (registry, worker) = (udp_socket(), Worker::new());
        let parties = json!({
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
        let node =
            Node::start_with_environment(PROGRAM.as_ref(), parties, Some(&operator), &environment);
        let door = node.control_endpoint();
        processor.accept_running();
        let gateway = node.ready();
        Site {
            folder,
            subsystem,
            node,
            door,
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

    /// Lets the subsystem panic in the next thing that it does.
    fn arm(&self) {
        std::fs::write(self.trigger(), "").unwrap();
    }

    /// Sends a read that begins to run; its id at the processor.
    fn begin_read(&mut self) -> String {
        self.gateway
            .send("rota-view", request_params(4000, None, b"in flight"));
        self.processor.begin().0
    }

    /// The panic is logged with its place, and the node's status and health fail.
    fn expect_failure(&mut self) {
        let line = self.node.wait_for_line("panic: ");
        let place = "at=crates/node/src/supervision/panic_point.rs:";
        assert!(line.contains(place), "{line}");
        let subsystem = format!("subsystem={} ", self.subsystem);
        assert!(line.contains(&subsystem), "{line}");
        let ending = format!("ending: subsystem={} panicked", self.subsystem);
        assert_eq!(self.node.wait_for_line("ending: "), ending);
        let (status, text) = self.door.call("GET /status");
        let failed = format!("\r\n\r\nfailed: {}\n", self.subsystem);
        assert!(status == 503 && text.ends_with(&failed), "{status} {text}");
        assert_eq!(self.door.metric("panics"), Some(1));
    }

    /// A run that was in flight ends as usual, and the process ends with its own code in time.
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

/// The node ends with its own code. A node that goes on without a part of it would never end.
fn expect_exit(node: &mut Node) {
    let status = format!("/proc/{}/status", node.pid());
    let has_ended = || std::fs::read_to_string(&status).map_or(true, |s| s.contains("State:\tZ"));
    wait_until("the node ends", has_ended);
    assert_eq!(node.wait().code(), Some(EXIT_PANICKED));
}

/// The next answer, past notifications.
fn next_answer(gateway: &mut Gateway) -> Value {
    loop {
        let message = gateway.receive();
        assert!(!message.is_null(), "the connection ended without an answer");
        if message["method"].is_null() {
            return message;
        }
    }
}

fn uwsgi_client(site: &Site, path: &str, key: &str) -> TcpStream {
    let variables = [("HTTP_IDEMPOTENCY_KEY", key)];
    site.node.uwsgi_client(&packet(path, &variables, b"x"))
}

/// The connection that panics is lost, whichever it is; all others get their answers.
#[test]
fn a_panic_of_a_front_connection_drains_and_ends_the_node() {
    let mut site = Site::start("front", "");
    let mut gateways = vec![site.node.gateway(), site.node.gateway()];
    let mut runs = Vec::new();
    for gateway in &mut gateways {
        gateway.send("rota-view", request_params(4000, None, b"in flight"));
        runs.push(site.processor.begin().0);
    }
    site.arm();
    let _other = site.node.gateway();
    site.expect_failure();
    for run in &runs {
        site.processor.complete(run, "fine", b"served");
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
    site.expect_exit();
}

#[test]
fn a_panic_of_the_processor_connection_answers_and_ends_the_node() {
    let mut site = Site::start("processor", "");
    site.begin_read();
    site.arm();
    site.processor.send(b"used 1 0.5 1 0.1 2\r\n");
    site.expect_failure();
    // Its result can't arrive any more; the client is told so before the end.
    assert!(site.answer()["error"]["code"].is_i64());
    site.expect_exit();
}

#[test]
fn a_panic_of_the_ledger_calls_drains_and_ends_the_node() {
    let mut site = Site::start("ledger", "");
    let calling = site.begin_read();
    let run = site.begin_read();
    site.arm();
    site.processor.notice("ask", &calling, b"call");
    site.expect_failure();
    site.processor.complete(&run, "fine", b"served");
    let answer = site.answer();
    assert_eq!(answer["result"]["doc"], base64(b"served"), "{answer}");
    assert!(site.answer()["error"]["code"].is_i64());
    site.expect_exit();
    drop(site.ledger);
}

#[test]
fn a_panic_of_the_registry_heartbeats_drains_and_ends_the_node() {
    let mut site = Site::start("registry", "");
    let run = site.begin_read();
    site.arm();
    site.expect_failure();
    site.expect_answer_and_exit(&run);
}

#[test]
fn a_panic_of_a_workers_run_drains_and_ends_the_node() {
    let mut site = Site::start("workers", "");
    let run = site.begin_read();
    site.arm();
    let _client = uwsgi_client(&site, "/swap", "key");
    site.expect_failure();
    site.expect_answer_and_exit(&run);
    drop(site.worker);
}

#[test]
fn a_panic_of_the_control_endpoint_drains_and_ends_the_node() {
    let mut site = Site::start("control", "");
    let run = site.begin_read();
    site.arm();
    let _call = TcpStream::connect(site.door.0).unwrap();
    let line = site.node.wait_for_line("panic: ");
    assert!(line.contains("subsystem=control "), "{line}");
    let ending = site.node.wait_for_line("ending: ");
    assert_eq!(ending, "ending: subsystem=control panicked");
    site.expect_answer_and_exit(&run);
}

#[test]
fn a_panic_of_the_hot_restart_drains_and_ends_the_node() {
    let mut site = Site::start("hot-restart", "");
    let run = site.begin_read();
    let name = site.node.gateway_address.to_string().replace(':', "-");
    let meeting_place = site.folder.0.join(format!("pipitlever-{name}.sock"));
    site.arm();
    let _stranger = UnixStream::connect(meeting_place).unwrap();
    site.expect_failure();
    site.expect_answer_and_exit(&run);
}

const FLEET: &str = "[fleet]\nname = \"panics\"\nbind = \"127.0.0.1:0\"\nprobe_ms = 200\n";

/// A node's view of its fleet.
fn view(door: &ControlEndpoint) -> Value {
    let (_, response) = door.call("GET /fleet");
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

/// Whether a node's view has this member alive.
fn sees_alive(door: &ControlEndpoint, member: &str) -> bool {
    let view = view(door);
    let mut members = view["members"].as_array().unwrap().iter();
    members.any(|m| m["name"] == member && m["state"] == "alive")
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

/// Guards against a node that goes on with a view that never changes again.
#[test]
fn a_panic_of_the_membership_drains_and_ends_the_node_and_its_peer_notices() {
    let mut site = Site::start("fleet", FLEET);
    let view = view(&site.door);
    let seed = view["members"][0]["address"].as_str().unwrap();
    let peer = Node::start(
        json!({"name": "n2", "control": "127.0.0.1:0", "processor": common::unused_address().to_string()}),
        Some(&format!("{FLEET}seeds = [\"{seed}\"]\n")),
    );
    let line = peer.wait_for_line("serving: name=n2 protocol=control");
    let peer_door = ControlEndpoint(line.rsplit_once("address=").unwrap().1.parse().unwrap());
    wait_until("they know each other", || {
        sees_alive(&peer_door, "n1") && sees_alive(&site.door, "n2")
    });
    let run = site.begin_read();
    site.arm();
    site.expect_failure();
    site.expect_answer_and_exit(&run);
    wait_until("the peer notices the end", || !sees_alive(&peer_door, "n1"));
}

const STORE: &str = "[store]\nfolder = \"FOLDER/store\"\nmax_mb = 4\n";

#[test]
fn a_panic_of_the_stores_thread_drains_and_ends_the_node() {
    let mut site = Site::start("store", STORE);
    let run = site.begin_read();
    site.arm();
    let mut other = site.node.gateway();
    other.send("swap-confirm", request_params(4000, Some("key"), b"x"));
    site.expect_failure();
    site.expect_answer_and_exit(&run);
    // The key can't be recorded any more, so that its command never runs.
    assert!(next_answer(&mut other)["error"]["code"].is_i64());
}

/// In the start, when an acceptor writes for the first time: nothing was admitted yet.
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
    let parties = json!({"processor": common::unused_address().to_string(), "stop_ms": STOP_MS});
    let program = PROGRAM.as_ref();
    let mut node = Node::start_with_environment(program, parties, Some(&operator), &environment);
    assert!(node
        .wait_for_line("panic: ")
        .contains("subsystem=versions "));
    let ending = node.wait_for_line("ending: ");
    assert_eq!(ending, "ending: subsystem=versions panicked");
    expect_exit(&mut node);
}

/// No request, key or peer depends on a capture: the node goes on, and a reload begins a new one.
#[test]
fn a_panic_of_the_captures_thread_stops_the_capture_alone() {
    let capture = "[capture]\nfolder = \"FOLDER/captures\"\nsegment_mb = 8\nkeep_mb = 64\n";
    let arm_now = |trigger: &Path| std::fs::write(trigger, "").unwrap();
    let mut site = Site::start_with("capture", capture, arm_now);
    assert!(site
        .node
        .wait_for_line("panic: ")
        .contains("subsystem=capture "));
    let told = site.node.wait_for_line("capture: stopped");
    assert!(told.contains("SIGHUP starts it again"), "{told}");
    assert_eq!(site.door.call("GET /status").0, 200);
    assert_eq!(site.door.metric("panics"), Some(1));
    let run = site.begin_read();
    site.processor.complete(&run, "fine", b"served");
    let answer = site.answer();
    assert_eq!(answer["result"]["doc"], base64(b"served"), "{answer}");
    site.node.signal("-HUP");
    site.node.wait_for_line("capture: writing: ");
    site.node.signal("-TERM");
    assert_eq!(site.node.wait().code(), Some(0));
}

/// A panic in an update of the core leaves its state half changed: nothing that it would answer can
/// be relied on, so that the node ends at once, as in a crash.
#[test]
fn a_panic_in_an_update_of_the_core_ends_the_node_at_once() {
    let mut site = Site::start("core", "");
    site.begin_read();
    site.arm();
    site.node.wait_for_line("panic: ");
    assert_eq!(
        site.node.wait_for_line("ending: the core"),
        "ending: the core panicked in an update, nothing is drained"
    );
    site.expect_exit();
}
