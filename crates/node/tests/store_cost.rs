//! What the store costs keyed requests: run by hand, in a release build.
//!
//! `cargo test --release -p pipitlever-node --test store_cost -- --ignored --nocapture`

#[path = "../../benchmarks/tests/standin/mod.rs"]
mod standin;

mod common;

use common::{base64, configuration, Node};
use serde_json::json;
use standin::{answered, Gateway};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;

fn node(store: Option<&str>, folder: &std::path::Path) -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let parties =
        json!({"processor": standin::processor(Some(200)).to_string(), "settings": settings});
    let text = store.map(|more| {
        format!(
            "[store]\nfolder = \"{}\"\nmax_mb = 512\n{more}",
            folder.display()
        )
    });
    let node = Node::start(parties, text.as_deref());
    node.ready();
    node
}

/// So many keyed requests one after the other, or 16 at a time; microseconds each takes, and
/// requests a second.
fn latencies(node: &Node, run: u64, length: Duration, at_once: usize) -> (Vec<f64>, f64) {
    let mut gateway = Gateway::new(node.gateway_address, 1 + run);
    let (doc, mut out, mut line) = (base64(&[7; 200]), Vec::new(), String::new());
    let (mut took, mut keys, start) = (Vec::new(), 0, Instant::now());
    while start.elapsed() < length {
        out.clear();
        let sent = Instant::now();
        for _ in 0..at_once {
            keys += 1;
            let key = format!("{run:08}{keys:024}");
            gateway.request(&mut out, "swap-confirm", Some(&key), &doc);
        }
        gateway.say(&out);
        for _ in 0..at_once {
            gateway.line(&mut line);
            assert!(answered(&line).1, "{line}");
            took.push(sent.elapsed().as_secs_f64() * 1e6);
        }
    }
    let rate = took.len() as f64 / start.elapsed().as_secs_f64();
    (took, rate)
}

#[test]
#[ignore = "a measurement, not a check of every build"]
fn off_group_each_and_durable_in_turn() {
    let base = std::env::temp_dir().join(format!("pipitlever-store-cost-{}", std::process::id()));
    let kinds = [
        ("off", None),
        ("group", Some("")),
        ("each", Some("sync = \"each\"\n")),
        ("group, durable", Some("answers = \"durable\"\n")),
    ];
    let mut all: BTreeMap<(usize, &str), Vec<[f64; 3]>> = BTreeMap::new();
    for round in 0..ROUNDS {
        for i in 0..kinds.len() {
            let (name, store) = kinds[(i + round) % kinds.len()];
            for at_once in [1, 16] {
                let folder = base.join(format!("{round}-{i}-{at_once}"));
                let node = node(store, &folder);
                let run = (round * 100 + i * 10) as u64;
                let (mut took, rate) = latencies(&node, run, Duration::from_millis(700), at_once);
                took.sort_by(f64::total_cmp);
                let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
                all.entry((at_once, name))
                    .or_default()
                    .push([at(0.5), at(0.99), rate]);
            }
        }
    }
    for ((at_once, name), figures) in all {
        let median = |i: usize| {
            let mut values: Vec<f64> = figures.iter().map(|f| f[i]).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let [p50, p99, rate] = [0, 1, 2].map(median);
        println!("{at_once:>2} at a time, {name:<15} p50 {p50:.0} us, p99 {p99:.0} us, {rate:.0} a second");
    }
    let _ = std::fs::remove_dir_all(&base);
}

/// 100,000 keys with results of 400 bytes: how long a node takes to read them, and the most memory
/// that it has had.
#[test]
#[ignore = "a measurement, not a check of every build"]
fn a_hundred_thousand_keys() {
    use pipitlever_idempotency_store::disk::StoreDirectory;
    use pipitlever_idempotency_store::log::{Batch, Limits, Log};
    use pipitlever_idempotency_store::record::{Intent, Outcome, Record};
    let folder = std::env::temp_dir().join(format!("pipitlever-store-many-{}", std::process::id()));
    let disk = StoreDirectory::open(&folder).unwrap();
    let (mut log, _) = Log::open(disk, Limits::for_capacity(512 << 20), 20_000_000).unwrap();
    let now = log.clocks();
    let (window, linger) = (20_000_000, 8_000_000);
    for first in (0..100_000u64).step_by(1000) {
        let mut batch = Batch::default();
        for id in first..first + 1000 {
            let (key, class) = (format!("{id:032}"), "swap-confirm".to_owned());
            let over = now.since_boot + window + linger;
            let intent = Intent {
                id,
                reference: id,
                key,
                class,
                payload_digest: id,
                arrived_at: now.wall,
                window,
                expires_at: over,
                read_grace: linger,
            };
            batch.push(&Record::Intent(intent));
            batch.push(&Record::Outcome {
                id,
                expires_at: over,
                outcome: Outcome::Served(vec![7; 400]),
            });
        }
        log.write(&batch).unwrap();
    }
    drop(log);
    let start = Instant::now();
    let node = node(Some(""), &folder);
    println!("ready after {:?}", start.elapsed());
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap();
    let most = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
    node.signal("-USR1");
    println!("{most}; {}", node.wait_for_line("now: "));
    drop(node);
    let _ = std::fs::remove_dir_all(&folder);
}
