//! Compares the allocations and copied bytes of a request with `baseline.toml`. Each request is
//! measured separately until the node is idle again; the result is the minimum of many requests, or
//! the median for copied bytes.
//!
//! `PIPITLEVER_BASELINE=1 cargo test -p pipitlever-benchmarks` records a new baseline; the commit
//! message states the reason.

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::{
    base64, configuration, packet, read_response, request_params, uwsgi_operator_file, Node,
    Processor,
};
use serde_json::{json, Value};
use standin::{parse_response, Gateway};
use std::collections::BTreeMap;

const REPETITIONS: usize = 101;
/// Greatest permitted ratio of a value to its baseline.
const MAX_GROWTH: f64 = 1.1;

/// Allocations, allocated bytes and copied bytes so far.
fn counts(node: &mut Node) -> [u64; 3] {
    node.request_allocation_counts();
    let line = node.wait_for_line("counted: ");
    ["allocations", "bytes", "copied"].map(|name| Node::counter(&line, name))
}

/// The allocations and allocated bytes of the request with the fewest allocations among many, and
/// the median of the copied bytes. The cost of reading the counters is subtracted. Timers and
/// growing tables add allocations to some requests and remove none, so that the minimum is what
/// each request needs.
fn cost(node: &mut Node, mut operation: impl FnMut()) -> [u64; 3] {
    let counts_since = |node: &mut Node, last: [u64; 3]| {
        let now = counts(node);
        ([0, 1, 2].map(|i| now[i] - last[i]), now)
    };
    let mut last = counts(node);
    let reading_costs = (0..REPETITIONS).map(|_| {
        let difference;
        (difference, last) = counts_since(node, last);
        difference
    });
    let reading_cost = reading_costs.min().expect("REPETITIONS is not zero");
    let mut request_costs = Vec::new();
    for _ in 0..REPETITIONS {
        let first = counts(node);
        operation();
        // Work after the response is included. It has ended once two successive readings of the
        // counters differ only by the cost of a reading.
        let mut readings = 0;
        let mut last = first;
        loop {
            let difference;
            (difference, last) = counts_since(node, last);
            readings += 1;
            if difference == reading_cost {
                break;
            }
        }
        request_costs.push([0, 1, 2].map(|i| last[i] - first[i] - readings * reading_cost[i]));
    }
    let minimum = *request_costs.iter().min().expect("REPETITIONS is not zero");
    let mut copied: Vec<u64> = request_costs.iter().map(|cost| cost[2]).collect();
    copied.sort_unstable();
    [minimum[0], minimum[1], copied[REPETITIONS / 2]]
}

/// A node and its gateway, with a processor that completes each run with a result of `result_size`
/// bytes.
fn start_node_and_gateway(result_size: usize) -> (Node, common::Gateway) {
    let mut processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address().to_string()}), None);
    processor.accept();
    processor.send(b"hi running 60000\r\n");
    let gateway = node.ready();
    std::thread::spawn(move || processor.serve_until_disconnected(result_size));
    (node, gateway)
}

/// A node with enough cores for many concurrent requests, and its processor.
fn start_node_with_many_cores() -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let config_entries = json!({
        "processor": standin::start_processor(Some(200)).to_string(),
        "settings": settings,
    });
    let node = Node::start(config_entries, None);
    node.ready();
    node
}

fn expect_served(gateway: &mut common::Gateway, class: &str, key: Option<&str>, body: &[u8]) {
    gateway.send(class, request_params(5000, key, body));
    let answer = gateway.receive();
    assert!(answer["result"].is_object(), "{answer}");
}

/// The allocations, allocated bytes and copied bytes of each case.
type Costs = BTreeMap<&'static str, [u64; 3]>;

fn measure_all() -> Costs {
    let mut costs = Costs::new();
    measure_single_requests(&mut costs);
    measure_cancellation(&mut costs);
    measure_uwsgi(&mut costs);
    measure_concurrent_requests(&mut costs);
    measure_overload(&mut costs);
    measure_large_body(&mut costs);
    costs
}

/// Requests one at a time: read, keyed, retried, health check, and rejected on arrival.
fn measure_single_requests(costs: &mut Costs) {
    let (mut node, mut gateway) = start_node_and_gateway(200);
    expect_served(&mut gateway, "rota-view", None, &[7; 200]);
    let view = || expect_served(&mut gateway, "rota-view", None, &[7; 200]);
    costs.insert("view", cost(&mut node, view));
    let mut last_key = 0;
    let swap = || {
        last_key += 1;
        let key = format!("key-{last_key:028}");
        expect_served(&mut gateway, "swap-confirm", Some(&key), &[7; 200]);
    };
    costs.insert("swap", cost(&mut node, swap));
    let retry = || {
        let key = format!("key-{:028}", 1);
        expect_served(&mut gateway, "swap-confirm", Some(&key), &[7; 200]);
    };
    costs.insert("repeat", cost(&mut node, retry));
    let health_check = || {
        gateway.send("alive", json!({}));
        assert_eq!(gateway.receive()["result"]["healthy"], true);
    };
    costs.insert("health", cost(&mut node, health_check));
    // The deadline has passed when the request arrives, so that it is rejected at once.
    let rejected = || {
        let mut late = request_params(300, None, &[7; 200]);
        late["since"] = json!(late["since"].as_u64().unwrap() - 1000);
        gateway.send("rota-view", late);
        assert_eq!(gateway.receive()["error"]["code"], -32000);
    };
    costs.insert("refused", cost(&mut node, rejected));
}

/// A duplicate that waits for the run of its key and is cancelled.
fn measure_cancellation(costs: &mut Costs) {
    let mut processor = Processor::new();
    let mut node = Node::start(json!({"processor": processor.address().to_string()}), None);
    processor.accept();
    processor.send(b"hi running 60000\r\n");
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(60_000, Some("active"), b""));
    let run = processor.begin();
    std::thread::spawn(move || processor.serve_until_disconnected(0));
    let cancelled = || {
        let id = gateway.send("swap-confirm", request_params(50_000, Some("active"), b""));
        gateway.notify("cancelRequest", json!({"id": id}));
        assert_eq!(gateway.receive()["error"]["code"], -32800);
    };
    costs.insert("cancel", cost(&mut node, cancelled));
    drop(run);
}

/// A read request by uwsgi.
fn measure_uwsgi(costs: &mut Costs) {
    let mut processor = Processor::new();
    let config = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(config, Some(&uwsgi_operator_file(None, "processor")));
    processor.accept();
    processor.send(b"hi running 60000\r\n");
    node.ready();
    std::thread::spawn(move || processor.serve_until_disconnected(200));
    let address = node.uwsgi_address.unwrap();
    let request = packet("/view", &[], b"");
    let view = || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        std::io::Write::write_all(&mut stream, &request).unwrap();
        assert_eq!(read_response(stream).0, 200);
    };
    costs.insert("uwsgi", cost(&mut node, view));
}

/// 32 requests in one write, and one request of each of 200 gateways.
fn measure_concurrent_requests(costs: &mut Costs) {
    let mut node = start_node_with_many_cores();
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let doc = base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let batch = || {
        out.clear();
        for _ in 0..32 {
            gateway.append_request(&mut out, "rota-view", None, &doc);
        }
        gateway.send(&out);
        for _ in 0..32 {
            gateway.read_line(&mut line);
            assert!(parse_response(&line).1, "{line}");
        }
    };
    costs.insert("view-32", cost(&mut node, batch));
    let mut gateways: Vec<Gateway> = (0..200)
        .map(|number| Gateway::new(node.gateway_address, 2 + number))
        .collect();
    let round = || {
        for gateway in &mut gateways {
            let mut out = Vec::new();
            gateway.append_request(&mut out, "rota-view", None, &doc);
            gateway.send(&out);
        }
        for gateway in &mut gateways {
            gateway.read_line(&mut line);
        }
    };
    costs.insert("gateways-200", cost(&mut node, round));
}

/// A request that is rejected at once, since all cores are in use and requests are queued.
fn measure_overload(costs: &mut Costs) {
    let config = json!({"processor": standin::start_processor(None).to_string()});
    let mut node = Node::start(config, None);
    node.ready();
    let doc = base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let mut saturating = Gateway::new(node.gateway_address, 1);
    for _ in 0..30 {
        saturating.append_request(&mut out, "rota-view", None, &doc);
    }
    saturating.send(&out);
    saturating.read_line(&mut line);
    assert!(line.contains("-32000"), "{line}");
    let mut gateway = Gateway::new(node.gateway_address, 2);
    let overload = || {
        out.clear();
        gateway.append_request(&mut out, "rota-view", None, &doc);
        gateway.send(&out);
        gateway.read_line(&mut line);
        assert!(line.contains("-32000"), "{line}");
    };
    costs.insert("overload", cost(&mut node, overload));
}

/// A read request with a body of 2 KiB and a result of 4 KiB.
fn measure_large_body(costs: &mut Costs) {
    let (mut node, mut gateway) = start_node_and_gateway(4096);
    expect_served(&mut gateway, "rota-view", None, &[7; 2048]);
    let large = || expect_served(&mut gateway, "rota-view", None, &[7; 2048]);
    costs.insert("large", cost(&mut node, large));
}

#[test]
fn costs_per_request_stay_within_the_baseline() {
    let now = measure_all();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/baseline.toml");
    if std::env::var_os("PIPITLEVER_BASELINE").is_some() {
        let section = |(case, [count, bytes, copied]): (&&str, &[u64; 3])| {
            format!("[{case}]\nallocations = {count}\nbytes = {bytes}\ncopied = {copied}\n")
        };
        let text: Vec<String> = now.iter().map(section).collect();
        std::fs::write(path, text.join("\n")).unwrap();
        return;
    }
    let baseline: BTreeMap<String, BTreeMap<String, u64>> =
        toml::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    assert_eq!(
        baseline.len(),
        now.len(),
        "the baseline and the test differ in their number of cases"
    );
    let mut exceeded: Vec<Value> = Vec::new();
    for (case, values) in &now {
        for (name, value) in ["allocations", "bytes", "copied"].iter().zip(values) {
            let baseline_value = baseline[*case][*name];
            if *value as f64 > baseline_value as f64 * MAX_GROWTH {
                exceeded.push(json!([case, name, baseline_value, value]));
            }
        }
    }
    assert!(
        exceeded.is_empty(),
        "above the baseline (case, name, baseline, now): {exceeded:?}; all: {now:?}"
    );
}

/// Guards against reused buffers that retain the memory which a burst has added to them.
#[test]
fn memory_of_a_burst_of_large_bodies_is_released() {
    let bytes_in_use = |node: &mut Node| {
        node.request_allocation_counts();
        Node::counter(&node.wait_for_line("counted: "), "held")
    };
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let config_entries = json!({
        "processor": standin::start_processor(Some(4096)).to_string(),
        "settings": settings,
    });
    let mut node = Node::start(config_entries, None);
    node.ready();
    let mut gateways: Vec<Gateway> = (0..8)
        .map(|n| Gateway::new(node.gateway_address, 1 + n))
        .collect();
    let (small, large) = (base64(&[7; 8]), base64(&[7; 2048]));
    let (mut out, mut line) = (Vec::new(), String::new());
    let mut send_burst = |doc: &str, count: usize| {
        for gateway in &mut gateways {
            out.clear();
            for _ in 0..count {
                gateway.append_request(&mut out, "rota-view", None, doc);
            }
            gateway.send(&out);
        }
        for gateway in &mut gateways {
            (0..count).for_each(|_| gateway.read_line(&mut line));
        }
    };
    // The same number of requests as below, so that the tables have grown to their final size.
    send_burst(&small, 32);
    send_burst(&small, 1);
    let before = bytes_in_use(&mut node);
    (0..5).for_each(|_| send_burst(&large, 32));
    let after_burst = bytes_in_use(&mut node);
    send_burst(&small, 1);
    let idle = bytes_in_use(&mut node);
    // 256 bodies and results take 1.5 MB; the rest is the capacity that each buffer may retain.
    assert!(
        idle < before + (256 << 10),
        "bytes in use: {before} before, {after_burst} after the burst, {idle} when idle"
    );
}
