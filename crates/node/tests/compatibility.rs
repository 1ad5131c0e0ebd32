//! Output that operators and their scripts parse: the control endpoint's JSON and metrics, the
//! `--json` output and the counters line, compared with fixtures written by the build of commit
//! 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-node --test compatibility`).
//! Values that differ from run to run are replaced by their type.

mod common;

use common::{
    configuration, packet, request_params, Node, Processor, ScratchDirectory, Worker, PROGRAM,
};
use pipitlever_cluster_testing::process_control::{call_control, Cluster, ClusterConfig};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

/// Texts that are part of the format: they are compared as they are.
const COMPARED_TEXTS: [&str; 4] = ["state", "standing", "outcome", "class"];

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures")).join(name)
}

/// A JSON value with each number, boolean and free text replaced by its type, and each list by
/// its first element.
fn shape(key: &str, value: &Value) -> Value {
    match value {
        Value::Object(members) => members
            .iter()
            .map(|(k, v)| (k.clone(), shape(k, v)))
            .collect(),
        Value::Array(members) => members.iter().take(1).map(|v| shape("", v)).collect(),
        // A node that grants leases itself may hold none at times.
        Value::Number(_) | Value::Null if key == "lease_ms" => Value::Null,
        Value::String(_) if COMPARED_TEXTS.contains(&key) => value.clone(),
        Value::String(_) => json!("text"),
        Value::Number(_) => json!("number"),
        Value::Bool(_) => json!("truth"),
        Value::Null => Value::Null,
    }
}

/// One line of statsd text without its value.
fn metric_name(line: &str) -> String {
    let (name, value) = line.split_once(':').expect("a metric has a value");
    let (_, kind) = value.split_once('|').expect("a metric has a type");
    format!("{name}|{kind}\n")
}

/// The keys of a line of `key=value` pairs.
fn keys_of(line: &str) -> String {
    line.split(' ')
        .map(|field| field.split_once('=').map_or(field, |(key, _)| key))
        .collect::<Vec<_>>()
        .join(" ")
}

fn operator_file(worker: SocketAddr) -> String {
    format!(
        "[fleet.versions]\nfolder = \"FOLDER/versions\"\nelectors = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 3000\n\
         [uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 4000\n\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\npool = \"desks\"\n\
         [[pool]]\nname = \"desks\"\nshare = true\n[pool.affinity]\nsession = \"HTTP_X_TERMINAL\"\n\
         [[pool.member]]\naddress = \"{worker}\"\nname = \"w0\"\n"
    )
}

/// Standard output of `pipitlever` with these arguments.
fn run_program(arguments: &[&str]) -> String {
    let output = Command::new(PROGRAM).args(arguments).output().unwrap();
    assert!(
        output.status.success(),
        "{arguments:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap()
}

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

#[test]
fn fleet_output_is_that_of_the_earlier_build() {
    let folder = ScratchDirectory::new("compatibility-fleet");
    std::fs::create_dir_all(&folder.0).unwrap();
    let worker = Worker::new();
    let operator_file = operator_file(worker.address());
    let spec = ClusterConfig::new(
        PROGRAM,
        configuration(&json!({})),
        folder.0.clone(),
        operator_file,
    );
    let cluster = Cluster::start_converged(spec, 3);
    let complete = |view: Value| {
        let share = view["share"][0]["workers"][0]["most_runs"].is_number();
        let serving = view["members"]
            .as_array()
            .unwrap()
            .iter()
            .all(|m| m["standing"] == "serving");
        serving
            && view["versions"]["may_act"] == true
            && view["sessions"]["filled"] == true
            && share
    };
    cluster.wait("leases, sessions and shares", |c| {
        (0..3).all(|i| c.view(i).is_some_and(complete))
    });
    let endpoint = cluster.nodes[0].process.as_ref().unwrap().control_address;
    let address = endpoint.to_string();
    let mut text = String::new();
    let view = cluster.view(0).unwrap();
    text.push_str(&format!("GET /fleet {}\n", shape("", &view)));
    let status = run_program(&["fleet", "status", "--at", &address, "--json"]);
    text.push_str(&format!(
        "fleet status --json {}\n",
        shape("", &parse_json(&status))
    ));
    let sessions = run_program(&["fleet", "sessions", "--at", &address, "--json"]);
    text.push_str(&format!(
        "fleet sessions --json {}\n",
        shape("", &parse_json(&sessions))
    ));
    let metrics = call_control(endpoint, "GET /status/metrics").unwrap();
    metrics
        .body
        .lines()
        .for_each(|line| text.push_str(&metric_name(line)));
    pipitlever_test_fixtures::assert_text(fixture("fleet.txt"), &text);
}

#[test]
fn control_calls_metrics_and_counters_are_those_of_the_earlier_build() {
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string(), "control": "127.0.0.1:0"});
    let node = Node::start(entries, None);
    let endpoint = node.control_endpoint();
    let mut text = String::new();
    let mut record_call = |line: &str| {
        let (code, answer) = endpoint.call(line);
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        text.push_str(&format!(
            "{line}: {code} {}\n",
            body.trim_end().replace('\n', "; ")
        ));
    };
    record_call("GET /status");
    processor.accept_running();
    let mut gateway = node.ready();
    for line in [
        "GET /status",
        "GET /status/metrics",
        "POST /standby",
        "GET /status",
        "POST /active",
    ] {
        record_call(line);
    }
    for line in [
        "GET /nowhere",
        "GET /standby",
        "GET /fleet",
        "POST /fleet/publish",
        "POST /fleet/close/1",
    ] {
        record_call(line);
    }
    gateway.send("rota-view", request_params(5000, None, b"body"));
    let (command, _) = processor.command();
    processor.complete(&command[1], "fine", b"result");
    gateway.receive();
    node.signal("-USR1");
    for line in [
        node.wait_for_line("counters: "),
        node.wait_for_line("now: "),
    ] {
        text.push_str(&format!("{}\n", keys_of(&line)));
    }
    pipitlever_test_fixtures::assert_text(fixture("control.txt"), &text);
}

#[test]
fn store_output_is_that_of_the_earlier_build() {
    let scratch = ScratchDirectory::new("compatibility-store");
    let folder = scratch.0.to_str().unwrap();
    let section = format!("[store]\nfolder = {folder:?}\nmax_mb = 4\n");
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(entries, Some(&section));
    processor.accept_running();
    let mut gateway = node.ready();
    for (key, status) in [("served", "fine"), ("failed", "fault")] {
        gateway.send("swap-confirm", request_params(5000, Some(key), b"body"));
        let (id, _) = processor.begin();
        processor.complete(&id, status, b"result");
        gateway.receive();
    }
    node.signal("-TERM");
    assert!(node.wait().success());
    let mut text = String::new();
    for command in ["check", "list", "compact"] {
        for line in run_program(&["store", command, folder, "--json"]).lines() {
            text.push_str(&format!(
                "store {command} --json {}\n",
                shape("", &parse_json(line))
            ));
        }
        let line = run_program(&["store", command, folder]);
        text.push_str(&format!(
            "store {command} {}\n",
            keys_of(line.lines().next().unwrap_or_default())
        ));
    }
    pipitlever_test_fixtures::assert_text(fixture("store.txt"), &text);
}

#[test]
fn a_uwsgi_response_is_that_of_the_earlier_build() {
    let (processor, worker) = (Processor::new(), Worker::new());
    let entries = json!({"processor": processor.address().to_string()});
    let node = Node::start(
        entries,
        Some(&common::uwsgi_operator_file(
            Some(worker.address()),
            "workers",
        )),
    );
    let (code, response) = node.uwsgi_request(&packet("/nowhere", &[], b""));
    let text = format!("{code}\n{}", response.replace('\r', ""));
    pipitlever_test_fixtures::assert_text(fixture("uwsgi.txt"), &text);
}
