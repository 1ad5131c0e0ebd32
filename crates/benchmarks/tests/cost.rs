//! Compares the allocations and copied bytes of a request with `baseline.toml`. Each request is
//! counted by itself until the node is idle again; the result is the minimum of many requests, or
//! the median for copied bytes.
//!
//! `PIPITLEVER_BASELINE=1 cargo test -p pipitlever-benchmarks` records a new baseline. The commit
//! gives the reason.

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::{
    base64, configuration, packet, read_response, request_params, uwsgi_operator_file, Node,
    Processor,
};
use serde_json::{json, Value};
use standin::{answered, Gateway};
use std::collections::BTreeMap;

const TIMES: usize = 101;
/// How much a figure may grow over its baseline.
const GROWTH: f64 = 1.1;

/// Allocations, allocated bytes and copied bytes so far.
fn counts(node: &mut Node) -> [u64; 3] {
    node.request_allocation_counts();
    let line = node.wait_for_line("counted: ");
    ["allocations", "bytes", "copied"].map(|name| Node::counter(&line, name))
}

/// The minimum of the allocations and allocated bytes of many requests, and the median of the copied
/// bytes, without the cost of counting. Timers and growing tables add allocations to some requests
/// and remove none, so that the minimum is what each request needs.
fn cost(node: &mut Node, mut once: impl FnMut()) -> [u64; 3] {
    let step = |node: &mut Node, last: [u64; 3]| {
        let now = counts(node);
        ([0, 1, 2].map(|i| now[i] - last[i]), now)
    };
    let mut last = counts(node);
    let idle = (0..TIMES).map(|_| {
        let taken;
        (taken, last) = step(node, last);
        taken
    });
    let idle = idle.min().expect("many times");
    let mut all = Vec::new();
    for _ in 0..TIMES {
        let first = counts(node);
        once();
        // The work after the response counts, too, until only the cost of counting is left.
        let mut counted = 0;
        let mut last = first;
        loop {
            let taken;
            (taken, last) = step(node, last);
            counted += 1;
            if taken == idle {
                break;
            }
        }
        all.push([0, 1, 2].map(|i| last[i] - first[i] - counted * idle[i]));
    }
    let least = *all.iter().min().expect("many times");
    let mut copied: Vec<u64> = all.iter().map(|taken| taken[2]).collect();
    copied.sort_unstable();
    [least[0], least[1], copied[TIMES / 2]]
}

/// A node and its gateway, with a processor that serves every run with a result of `result` bytes.
fn pair(result: usize) -> (Node, common::Gateway) {
    let mut processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address().to_string()}), None);
    processor.accept();
    processor.send(b"hi running 60000\r\n");
    let gateway = node.ready();
    std::thread::spawn(move || processor.serve_until_disconnected(result));
    (node, gateway)
}

/// A node with enough cores for many concurrent requests, and its processor.
fn wide() -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let parties =
        json!({"processor": standin::processor(Some(200)).to_string(), "settings": settings});
    let node = Node::start(parties, None);
    node.ready();
    node
}

fn served(gateway: &mut common::Gateway, class: &str, key: Option<&str>, body: &[u8]) {
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
    let (mut node, mut gateway) = pair(200);
    served(&mut gateway, "rota-view", None, &[7; 200]);
    let view = || served(&mut gateway, "rota-view", None, &[7; 200]);
    costs.insert("view", cost(&mut node, view));
    let mut last_key = 0;
    let swap = || {
        last_key += 1;
        let key = format!("key-{last_key:028}");
        served(&mut gateway, "swap-confirm", Some(&key), &[7; 200]);
    };
    costs.insert("swap", cost(&mut node, swap));
    let retry = || {
        let key = format!("key-{:028}", 1);
        served(&mut gateway, "swap-confirm", Some(&key), &[7; 200]);
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
    gateway.send("swap-confirm", request_params(60_000, Some("stands"), b""));
    let run = processor.begin();
    std::thread::spawn(move || processor.serve_until_disconnected(0));
    let cancelled = || {
        let id = gateway.send("swap-confirm", request_params(50_000, Some("stands"), b""));
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
    let mut node = wide();
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let doc = base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let batch = || {
        out.clear();
        for _ in 0..32 {
            gateway.request(&mut out, "rota-view", None, &doc);
        }
        gateway.say(&out);
        for _ in 0..32 {
            gateway.line(&mut line);
            assert!(answered(&line).1, "{line}");
        }
    };
    costs.insert("view-32", cost(&mut node, batch));
    let mut gateways: Vec<Gateway> = (0..200)
        .map(|number| Gateway::new(node.gateway_address, 2 + number))
        .collect();
    let round = || {
        for gateway in &mut gateways {
            let mut out = Vec::new();
            gateway.request(&mut out, "rota-view", None, &doc);
            gateway.say(&out);
        }
        for gateway in &mut gateways {
            gateway.line(&mut line);
        }
    };
    costs.insert("gateways-200", cost(&mut node, round));
}

/// A request that is rejected at once, since all cores are in use and requests are queued.
fn measure_overload(costs: &mut Costs) {
    let config = json!({"processor": standin::processor(None).to_string()});
    let mut node = Node::start(config, None);
    node.ready();
    let doc = base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let mut saturating = Gateway::new(node.gateway_address, 1);
    for _ in 0..30 {
        saturating.request(&mut out, "rota-view", None, &doc);
    }
    saturating.say(&out);
    saturating.line(&mut line);
    assert!(line.contains("-32000"), "{line}");
    let mut gateway = Gateway::new(node.gateway_address, 2);
    let overload = || {
        out.clear();
        gateway.request(&mut out, "rota-view", None, &doc);
        gateway.say(&out);
        gateway.line(&mut line);
        assert!(line.contains("-32000"), "{line}");
    };
    costs.insert("overload", cost(&mut node, overload));
}

/// A read request with a body of 2 KiB and a result of 4 KiB.
fn measure_large_body(costs: &mut Costs) {
    let (mut node, mut gateway) = pair(4096);
    served(&mut gateway, "rota-view", None, &[7; 2048]);
    let large = || served(&mut gateway, "rota-view", None, &[7; 2048]);
    costs.insert("large", cost(&mut node, large));
}

#[test]
fn no_request_costs_more_than_it_did() {
    let now = measure_all();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/baseline.toml");
    if std::env::var_os("PIPITLEVER_BASELINE").is_some() {
        let line = |(case, [count, bytes, copied]): (&&str, &[u64; 3])| {
            format!("[{case}]\nallocations = {count}\nbytes = {bytes}\ncopied = {copied}\n")
        };
        let text: Vec<String> = now.iter().map(line).collect();
        std::fs::write(path, text.join("\n")).unwrap();
        return;
    }
    let baseline: BTreeMap<String, BTreeMap<String, u64>> =
        toml::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    assert_eq!(baseline.len(), now.len(), "each case has its baseline");
    let mut grown: Vec<Value> = Vec::new();
    for (case, figures) in &now {
        for (name, figure) in ["allocations", "bytes", "copied"].iter().zip(figures) {
            let allowed = baseline[*case][*name];
            if *figure as f64 > allowed as f64 * GROWTH {
                grown.push(json!([case, name, allowed, figure]));
            }
        }
    }
    assert!(
        grown.is_empty(),
        "case, figure, baseline, now: {grown:?}; all: {now:?}"
    );
}

/// Reused buffers must release the memory that a burst has added to them.
#[test]
fn a_burst_of_large_bodies_is_given_back() {
    let held = |node: &mut Node| {
        node.request_allocation_counts();
        Node::counter(&node.wait_for_line("counted: "), "held")
    };
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let parties =
        json!({"processor": standin::processor(Some(4096)).to_string(), "settings": settings});
    let mut node = Node::start(parties, None);
    node.ready();
    let mut gateways: Vec<Gateway> = (0..8)
        .map(|n| Gateway::new(node.gateway_address, 1 + n))
        .collect();
    let (small, large) = (base64(&[7; 8]), base64(&[7; 2048]));
    let (mut out, mut line) = (Vec::new(), String::new());
    let mut burst = |doc: &str, count: usize| {
        for gateway in &mut gateways {
            out.clear();
            for _ in 0..count {
                gateway.request(&mut out, "rota-view", None, doc);
            }
            gateway.say(&out);
        }
        for gateway in &mut gateways {
            (0..count).for_each(|_| gateway.line(&mut line));
        }
    };
    // As many requests as later, so that the tables have reached their size.
    burst(&small, 32);
    burst(&small, 1);
    let before = held(&mut node);
    (0..5).for_each(|_| burst(&large, 32));
    let full = held(&mut node);
    burst(&small, 1);
    let after = held(&mut node);
    // 256 bodies and results take 1.5 MB; the rest is the capacity that each buffer may retain.
    assert!(
        after < before + (256 << 10),
        "{before} before, {full} behind the burst, {after} at rest"
    );
}
