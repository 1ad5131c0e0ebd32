//! The cost of the idempotency store for keyed requests. Run by hand, in a release build.
//!
//! `cargo test --release -p pipitlever-node --test store_cost -- --ignored --nocapture`

#[path = "../../benchmarks/tests/standin/mod.rs"]
mod standin;

mod common;

use common::{base64, configuration, Node};
use serde_json::json;
use standin::{parse_response, Gateway};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;

fn start_node(store: Option<&str>, folder: &std::path::Path) -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let entries =
        json!({"processor": standin::start_processor(Some(200)).to_string(), "settings": settings});
    let text = store.map(|options| {
        format!(
            "[store]\nfolder = \"{}\"\nmax_mb = 512\n{options}",
            folder.display()
        )
    });
    let node = Node::start(entries, text.as_deref());
    node.ready();
    node
}

/// Sends keyed requests for `duration`, `at_once` at a time; returns the latency of each in
/// microseconds, and the requests per second.
fn measure_latencies(node: &Node, run: u64, duration: Duration, at_once: usize) -> (Vec<f64>, f64) {
    let mut gateway = Gateway::new(node.gateway_address, 1 + run);
    let (doc, mut out, mut line) = (base64(&[7; 200]), Vec::new(), String::new());
    let (mut latencies, mut keys, start) = (Vec::new(), 0, Instant::now());
    while start.elapsed() < duration {
        out.clear();
        let sent = Instant::now();
        for _ in 0..at_once {
            keys += 1;
            let key = format!("{run:08}{keys:024}");
            gateway.append_request(&mut out, "swap-confirm", Some(&key), &doc);
        }
        gateway.send(&out);
        for _ in 0..at_once {
            gateway.read_line(&mut line);
            assert!(parse_response(&line).1, "{line}");
            latencies.push(sent.elapsed().as_secs_f64() * 1e6);
        }
    }
    let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
    (latencies, rate)
}

#[test]
#[ignore = "a measurement, not a check of every build"]
fn latencies_of_each_sync_mode() {
    let base = std::env::temp_dir().join(format!("pipitlever-store-cost-{}", std::process::id()));
    let variants = [
        ("off", None),
        ("group", Some("")),
        ("each", Some("sync = \"each\"\n")),
        ("group, durable", Some("answers = \"durable\"\n")),
    ];
    let mut all: BTreeMap<(usize, &str), Vec<[f64; 3]>> = BTreeMap::new();
    for round in 0..ROUNDS {
        for i in 0..variants.len() {
            let (name, store) = variants[(i + round) % variants.len()];
            for at_once in [1, 16] {
                let folder = base.join(format!("{round}-{i}-{at_once}"));
                let node = start_node(store, &folder);
                let run = (round * 100 + i * 10) as u64;
                let (mut latencies, rate) =
                    measure_latencies(&node, run, Duration::from_millis(700), at_once);
                latencies.sort_by(f64::total_cmp);
                let quantile = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize];
                all.entry((at_once, name))
                    .or_default()
                    .push([quantile(0.5), quantile(0.99), rate]);
            }
        }
    }
    for ((at_once, name), samples) in all {
        let median = |i: usize| {
            let mut values: Vec<f64> = samples.iter().map(|s| s[i]).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let [p50, p99, rate] = [0, 1, 2].map(median);
        println!("{at_once:>2} at a time, {name:<15} p50 {p50:.0} us, p99 {p99:.0} us, {rate:.0} a second");
    }
    let _ = std::fs::remove_dir_all(&base);
}

/// The time until a node has recovered 100,000 keys with results of 400 bytes, and its peak memory.
#[test]
#[ignore = "a measurement, not a check of every build"]
fn recovery_of_a_hundred_thousand_keys() {
    use pipitlever_idempotency_store::disk::StoreDirectory;
    use pipitlever_idempotency_store::log::{Batch, Limits, Log};
    use pipitlever_idempotency_store::record::{Intent, Outcome, Record};
    let folder = std::env::temp_dir().join(format!("pipitlever-store-many-{}", std::process::id()));
    let disk = StoreDirectory::open(&folder).unwrap();
    let (mut log, _) = Log::open(disk, Limits::for_capacity(512 << 20), 20_000_000).unwrap();
    let now = log.clocks();
    let (window, read_grace) = (20_000_000, 8_000_000);
    for first in (0..100_000u64).step_by(1000) {
        let mut batch = Batch::default();
        for id in first..first + 1000 {
            let (key, class) = (format!("{id:032}"), "swap-confirm".to_owned());
            let expires_at = now.since_boot + window + read_grace;
            let intent = Intent {
                id,
                reference: id,
                key,
                class,
                payload_digest: id,
                arrived_at: now.wall,
                window,
                expires_at,
                read_grace,
            };
            batch.push(&Record::Intent(intent));
            batch.push(&Record::Outcome {
                id,
                expires_at,
                outcome: Outcome::Served(vec![7; 400]),
            });
        }
        log.write(&batch).unwrap();
    }
    drop(log);
    let start = Instant::now();
    let node = start_node(Some(""), &folder);
    println!("ready after {:?}", start.elapsed());
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap();
    let peak = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
    node.signal("-USR1");
    println!("{peak}; {}", node.wait_for_line("now: "));
    drop(node);
    let _ = std::fs::remove_dir_all(&folder);
}
