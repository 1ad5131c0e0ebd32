//! What a request costs the node in allocations and copies, held against `bench/baseline.toml`.
//! Counts, not times: one request after the other, each counted by itself until nothing more comes
//! of it, and the least, or the median, of many.
//!
//! `PIPITLEVER_BASELINE=1 cargo test -p pipitlever-benchmarks` records a new baseline; the commit
//! says why.

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::{base64, configuration, packet, response, uwsgi_file, work, Node, Processor};
use serde_json::{json, Value};
use standin::{answered, Gateway};
use std::collections::BTreeMap;

const TIMES: usize = 101;
/// How much a figure may grow over its baseline.
const GROWTH: f64 = 1.1;

/// Allocations and their bytes so far.
fn counts(node: &mut Node) -> [u64; 3] {
    node.ask();
    let line = node.line("counted: ");
    ["allocations", "bytes", "copied"].map(|name| Node::counter(&line, name))
}

/// The least allocations of many times and their bytes, and the bytes copied in the median, less
/// what the counting itself takes. A timer in between, or a table that needs room, adds allocations
/// to one time or another, and never takes away; what each request needs is in all.
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
        // What follows the answer belongs to it, too: until nothing but the counting is left.
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

/// A node, its gateway, and a processor that serves every run with a result of so many bytes.
fn pair(result: usize) -> (Node, common::Gateway) {
    let mut processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address().to_string()}), None);
    processor.accept();
    processor.say(b"hi running 60000\r\n");
    let gateway = node.ready();
    std::thread::spawn(move || processor.serve(result));
    (node, gateway)
}

/// A node with cores for many at once, and its processor.
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
    gateway.send(class, work(5000, key, body));
    let answer = gateway.receive();
    assert!(answer["result"].is_object(), "{answer}");
}

fn measured() -> BTreeMap<&'static str, [u64; 3]> {
    let mut all = BTreeMap::new();
    let (mut node, mut gateway) = pair(200);
    served(&mut gateway, "rota-view", None, &[7; 200]);
    all.insert(
        "view",
        cost(&mut node, || {
            served(&mut gateway, "rota-view", None, &[7; 200])
        }),
    );
    let mut keys = 0;
    let swap = || {
        keys += 1;
        served(
            &mut gateway,
            "swap-confirm",
            Some(&format!("key-{keys:028}")),
            &[7; 200],
        );
    };
    all.insert("swap", cost(&mut node, swap));
    let again = || {
        served(
            &mut gateway,
            "swap-confirm",
            Some(&format!("key-{:028}", 1)),
            &[7; 200],
        )
    };
    all.insert("repeat", cost(&mut node, again));
    let alive = || {
        gateway.send("alive", json!({}));
        assert_eq!(gateway.receive()["result"]["healthy"], true);
    };
    all.insert("health", cost(&mut node, alive));
    // Its time is over as it comes, so it is refused at once.
    let refused = || {
        let mut late = work(300, None, &[7; 200]);
        late["since"] = json!(late["since"].as_u64().unwrap() - 1000);
        gateway.send("rota-view", late);
        assert_eq!(gateway.receive()["error"]["code"], -32000);
    };
    all.insert("refused", cost(&mut node, refused));
    let mut processor = Processor::new();
    let mut node = Node::start(json!({"processor": processor.address().to_string()}), None);
    processor.accept();
    processor.say(b"hi running 60000\r\n");
    let mut gateway = node.ready();
    gateway.send("swap-confirm", work(60_000, Some("stands"), b""));
    let stands = processor.begin();
    std::thread::spawn(move || processor.serve(0));
    // A repeat that waits for the run, taken back: nothing else of it is left.
    let cancelled = || {
        let id = gateway.send("swap-confirm", work(50_000, Some("stands"), b""));
        gateway.notify("cancelRequest", json!({"id": id}));
        assert_eq!(gateway.receive()["error"]["code"], -32800);
    };
    all.insert("cancel", cost(&mut node, cancelled));
    drop(stands);
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address().to_string()});
    let mut node = Node::start(parties, Some(&uwsgi_file(None, "processor")));
    processor.accept();
    processor.say(b"hi running 60000\r\n");
    node.ready();
    std::thread::spawn(move || processor.serve(200));
    let at = node.uwsgi.unwrap();
    let get = packet("/view", &[], b"");
    let plain = || {
        let mut stream = std::net::TcpStream::connect(at).unwrap();
        std::io::Write::write_all(&mut stream, &get).unwrap();
        assert_eq!(response(stream).0, 200);
    };
    all.insert("uwsgi", cost(&mut node, plain));
    // 32 in one write, of a node that has the cores for them.
    let mut node = wide();
    let mut gateway = Gateway::new(node.gateways, 1);
    let doc = base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let many = || {
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
    all.insert("view-32", cost(&mut node, many));
    // One each of 200 gateways.
    let mut gateways: Vec<Gateway> = (0..200)
        .map(|n| Gateway::new(node.gateways, 2 + n))
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
    all.insert("gateways-200", cost(&mut node, round));
    // A node whose cores are taken, and that has a line: what comes is refused at once.
    let mut node = Node::start(
        json!({"processor": standin::processor(None).to_string()}),
        None,
    );
    node.ready();
    let mut full = Gateway::new(node.gateways, 1);
    out.clear();
    for _ in 0..30 {
        full.request(&mut out, "rota-view", None, &doc);
    }
    full.say(&out);
    full.line(&mut line);
    assert!(line.contains("-32000"), "{line}");
    let mut gateway = Gateway::new(node.gateways, 2);
    let overload = || {
        out.clear();
        gateway.request(&mut out, "rota-view", None, &doc);
        gateway.say(&out);
        gateway.line(&mut line);
        assert!(line.contains("-32000"), "{line}");
    };
    all.insert("overload", cost(&mut node, overload));
    let (mut node, mut gateway) = pair(4096);
    served(&mut gateway, "rota-view", None, &[7; 2048]);
    all.insert(
        "large",
        cost(&mut node, || {
            served(&mut gateway, "rota-view", None, &[7; 2048])
        }),
    );
    all
}

#[test]
fn no_request_costs_more_than_it_did() {
    let now = measured();
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

/// Buffers that are kept must not keep what a burst made of them.
#[test]
fn a_burst_of_large_bodies_is_given_back() {
    let held = |node: &mut Node| {
        node.ask();
        Node::counter(&node.line("counted: "), "held")
    };
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let parties =
        json!({"processor": standin::processor(Some(4096)).to_string(), "settings": settings});
    let mut node = Node::start(parties, None);
    node.ready();
    let mut gateways: Vec<Gateway> = (0..8).map(|n| Gateway::new(node.gateways, 1 + n)).collect();
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
    // As many requests as later, so that the tables have their size.
    burst(&small, 32);
    burst(&small, 1);
    let before = held(&mut node);
    (0..5).for_each(|_| burst(&large, 32));
    let full = held(&mut node);
    burst(&small, 1);
    let after = held(&mut node);
    // 256 bodies and results take 1.5 MB. What is left is what each buffer may keep.
    assert!(
        after < before + (256 << 10),
        "{before} before, {full} behind the burst, {after} at rest"
    );
}
