//! How fast the node is: run by hand, in a release build, with the cores to itself.
//!
//! `cargo test --release -p pipitlever-benchmarks --test speed -- --ignored --nocapture`
//!
//! `PIPITLEVER_PROGRAM=FILE[,FILE...]` names the builds that are measured, in turn, so that what
//! the machine does meanwhile befalls all of them; `target/release/pipitlever` is the present one.
//! Latency counts from the moment that a request was to be sent, and a generator that falls behind
//! its own schedule says so.
#![cfg(target_os = "linux")]

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::Node;
use serde_json::json;
use standin::{answered, Gateway};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

const ROUNDS: usize = 7;

/// A node on a core of its own, and with it CPU in hundredths of a second so far.
fn node(program: &Path) -> Node {
    let mut settings = common::configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let parties =
        json!({"processor": standin::processor(Some(200)).to_string(), "settings": settings});
    let node = Node::start_program(program, parties, None);
    node.ready();
    let pid = node.pid().to_string();
    let pinned = std::process::Command::new("taskset")
        .args(["-a", "-p", "-c", "0", &pid])
        .output();
    assert!(pinned.expect("taskset, of util-linux").status.success());
    node
}

fn ticks(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).unwrap();
    let words: Vec<&str> = stat.rsplit_once(')').unwrap().1.split(' ').collect();
    words[12].parse::<f64>().unwrap() + words[13].parse::<f64>().unwrap()
}

/// CPU in microseconds a request, of so many requests with so many at a time.
fn cpu(program: &Path, requests: usize, at_once: usize) -> f64 {
    let node = node(program);
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let doc = common::base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let before = ticks(&node);
    for _ in 0..requests / at_once {
        out.clear();
        (0..at_once).for_each(|_| {
            gateway.request(&mut out, "rota-view", None, &doc);
        });
        gateway.say(&out);
        for _ in 0..at_once {
            gateway.line(&mut line);
            assert!(answered(&line).1, "{line}");
        }
    }
    (ticks(&node) - before) * 10_000.0 / requests as f64
}

/// Latencies at so many requests a second, sent at their times whatever comes back: p50, p99, p99.9
/// in microseconds, and by how much the generator was late at the most.
fn open_loop(program: &Path, rate: u64, length: Duration) -> [f64; 4] {
    let node = node(program);
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let (mut to, mut from) = gateway.split();
    let doc = common::base64(&[7; 200]);
    let count = (rate as f64 * length.as_secs_f64()) as u64;
    let start = Instant::now() + Duration::from_millis(50);
    let due = move |n: u64| start + Duration::from_nanos(1_000_000_000 / rate * n);
    let sender = std::thread::spawn(move || {
        let (mut out, mut behind, mut sent) = (Vec::new(), Duration::ZERO, 0);
        while sent < count {
            let now = Instant::now();
            if now < due(sent) {
                std::thread::sleep(due(sent) - now);
            }
            out.clear();
            while sent < count && due(sent) <= Instant::now() {
                behind = behind.max(due(sent).elapsed());
                gateway.request(&mut out, "rota-view", None, &doc);
                sent += 1;
            }
            to.write_all(&out).unwrap();
        }
        behind
    });
    let (mut line, mut took) = (String::new(), Vec::with_capacity(count as usize));
    for _ in 0..count {
        line.clear();
        from.read_line(&mut line).unwrap();
        let (id, served) = answered(&line);
        assert!(served, "{line}");
        took.push(due(id - 1).elapsed().as_secs_f64() * 1e6);
    }
    took.sort_by(f64::total_cmp);
    let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    [
        at(0.5),
        at(0.99),
        at(0.999),
        sender.join().unwrap().as_secs_f64() * 1e6,
    ]
}

/// Requests a second with the node's core full: each of these gateways has 32 open all the time.
fn full(program: &Path, gateways: u64, length: Duration) -> f64 {
    let node = node(program);
    let doc = common::base64(&[7; 200]);
    // The time counts once all are connected: a burst of connections may wait for a second try of
    // theirs.
    let connected = Arc::new(Barrier::new(5));
    // Few threads for many gateways: the generator is not to be what is measured.
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            let (at, doc, connected) = (node.gateway_address, doc.clone(), connected.clone());
            let mine = (0..gateways).filter(move |n| n % 4 == thread);
            std::thread::spawn(move || {
                let open = if gateways > 32 { 4 } else { 32 };
                let mut gateways: Vec<Gateway> = mine.map(|n| Gateway::new(at, 1 + n)).collect();
                let (mut out, mut line, mut done) = (Vec::new(), String::new(), 0);
                connected.wait();
                let start = Instant::now();
                while start.elapsed() < length {
                    for gateway in &mut gateways {
                        out.clear();
                        (0..open).for_each(|_| {
                            gateway.request(&mut out, "rota-view", None, &doc);
                        });
                        gateway.say(&out);
                    }
                    for gateway in &mut gateways {
                        for _ in 0..open {
                            gateway.line(&mut line);
                            done += u64::from(answered(&line).0 > 0);
                        }
                    }
                }
                done
            })
        })
        .collect();
    connected.wait();
    let start = Instant::now();
    let done: u64 = threads.into_iter().map(|t| t.join().unwrap()).sum();
    done as f64 / start.elapsed().as_secs_f64()
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

#[test]
#[ignore = "a measurement, not a check of every build"]
fn builds_in_turn() {
    // Without a word the one that counts its allocations, which costs it a little.
    let named = std::env::var("PIPITLEVER_PROGRAM").unwrap_or_else(|_| common::PROGRAM.into());
    let programs: Vec<PathBuf> = named.split(',').map(PathBuf::from).collect();
    let mut all: BTreeMap<(&str, usize), Vec<f64>> = BTreeMap::new();
    for round in 0..ROUNDS {
        for i in 0..programs.len() {
            // Each is first in turn.
            let i = (i + round) % programs.len();
            let program = &programs[i];
            let mut note = |what, value| all.entry((what, i)).or_default().push(value);
            note("cpu-lone-us", cpu(program, 20_000, 1));
            note("cpu-32-us", cpu(program, 96_000, 32));
            for (rate, names) in [
                (
                    2_000,
                    [
                        "2000/s-p50-us",
                        "2000/s-p99-us",
                        "2000/s-p999-us",
                        "2000/s-behind-us",
                    ],
                ),
                (
                    10_000,
                    [
                        "10000/s-p50-us",
                        "10000/s-p99-us",
                        "10000/s-p999-us",
                        "10000/s-behind-us",
                    ],
                ),
            ] {
                let figures = open_loop(program, rate, Duration::from_secs(1));
                names
                    .into_iter()
                    .zip(figures)
                    .for_each(|(name, figure)| note(name, figure));
            }
            note(
                "full-8-gateways-rps",
                full(program, 8, Duration::from_secs(1)),
            );
            note(
                "full-200-gateways-rps",
                full(program, 200, Duration::from_secs(1)),
            );
        }
    }
    for ((what, i), values) in &mut all {
        let median = median(values);
        let (least, most) = (values[0], values[values.len() - 1]);
        println!(
            "{what:<24} {:<40} {median:>10.1} ({least:.1} to {most:.1})",
            programs[*i].display()
        );
    }
}
