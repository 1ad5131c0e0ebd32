//! Measures a node's CPU time, latency and throughput. Run manually, in a release build, on an
//! otherwise idle machine.
//!
//! `cargo test --release -p pipitlever-benchmarks --test speed -- --ignored --nocapture`
//!
//! `PIPITLEVER_PROGRAM=FILE[,FILE...]` names the builds to measure; that of the current source is
//! `target/release/pipitlever`. They are measured alternately, so that other load on the machine
//! affects all of them. Latency is counted from the scheduled send time of a request, and the
//! greatest delay of the load generator behind its schedule is reported.
#![cfg(target_os = "linux")]

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::Node;
use serde_json::json;
use standin::{parse_response, Gateway};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

const ROUNDS: usize = 7;

/// Starts a node that is pinned to core 0.
fn start_pinned_node(program: &Path) -> Node {
    let mut settings = common::configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let config_entries = json!({
        "processor": standin::start_processor(Some(200)).to_string(),
        "settings": settings,
    });
    let node = Node::start_program(program, config_entries, None);
    node.ready();
    let pid = node.pid().to_string();
    let pinned = std::process::Command::new("taskset")
        .args(["-a", "-p", "-c", "0", &pid])
        .output();
    assert!(pinned
        .expect("taskset of util-linux is installed")
        .status
        .success());
    node
}

/// CPU time of the node so far, in clock ticks of 10 ms.
fn cpu_ticks(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).unwrap();
    // `utime` and `stime` are fields 14 and 15 of proc_pid_stat(5). Fields are counted from the end
    // of field 2, the program's name in parentheses, since it may contain spaces.
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split(' ').collect();
    fields[12].parse::<f64>().unwrap() + fields[13].parse::<f64>().unwrap()
}

/// CPU time per request in microseconds. Requests are sent in batches of `batch_size`, and a batch
/// is answered before the next one is sent.
fn measure_cpu_time(program: &Path, requests: usize, batch_size: usize) -> f64 {
    let node = start_pinned_node(program);
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let doc = common::base64(&[7; 200]);
    let (mut out, mut line) = (Vec::new(), String::new());
    let before = cpu_ticks(&node);
    for _ in 0..requests / batch_size {
        out.clear();
        (0..batch_size).for_each(|_| {
            gateway.append_request(&mut out, "rota-view", None, &doc);
        });
        gateway.send(&out);
        for _ in 0..batch_size {
            gateway.read_line(&mut line);
            assert!(parse_response(&line).1, "{line}");
        }
    }
    (cpu_ticks(&node) - before) * 10_000.0 / requests as f64
}

/// Latencies at `rate` requests per second in an open loop: requests are sent on schedule, whether
/// or not earlier ones are answered. Returns p50, p99 and p99.9 in microseconds, and the greatest
/// delay of the load generator behind its schedule.
fn measure_open_loop(program: &Path, rate: u64, duration: Duration) -> [f64; 4] {
    let node = start_pinned_node(program);
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let (mut writer, mut reader) = gateway.split();
    let doc = common::base64(&[7; 200]);
    let count = (rate as f64 * duration.as_secs_f64()) as u64;
    let start = Instant::now() + Duration::from_millis(50);
    let send_time = move |n: u64| start + Duration::from_nanos(1_000_000_000 / rate * n);
    let sender = std::thread::spawn(move || {
        let (mut out, mut max_delay, mut sent) = (Vec::new(), Duration::ZERO, 0);
        while sent < count {
            let now = Instant::now();
            if now < send_time(sent) {
                std::thread::sleep(send_time(sent) - now);
            }
            out.clear();
            while sent < count && send_time(sent) <= Instant::now() {
                max_delay = max_delay.max(send_time(sent).elapsed());
                gateway.append_request(&mut out, "rota-view", None, &doc);
                sent += 1;
            }
            writer.write_all(&out).unwrap();
        }
        max_delay
    });
    let (mut line, mut latencies) = (String::new(), Vec::with_capacity(count as usize));
    for _ in 0..count {
        line.clear();
        reader.read_line(&mut line).unwrap();
        let (id, served) = parse_response(&line);
        assert!(served, "{line}");
        latencies.push(send_time(id - 1).elapsed().as_secs_f64() * 1e6);
    }
    latencies.sort_by(f64::total_cmp);
    let quantile = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize];
    [
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        sender.join().unwrap().as_secs_f64() * 1e6,
    ]
}

/// Answered requests per second with the node's core saturated. Each gateway sends its next batch
/// once the last one is answered; a batch has 32 requests, or 4 with more than 32 gateways.
fn measure_saturated(program: &Path, gateways: u64, duration: Duration) -> f64 {
    let node = start_pinned_node(program);
    let doc = common::base64(&[7; 200]);
    // The four threads below and this one wait here until all gateways have connected, and the
    // measurement starts then: in a burst of connections some may succeed only in a second attempt.
    let connected = Arc::new(Barrier::new(5));
    // Four threads serve all gateways, so that the load generator does not become the bottleneck.
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            let (address, doc, connected) = (node.gateway_address, doc.clone(), connected.clone());
            let numbers = (0..gateways).filter(move |n| n % 4 == thread);
            std::thread::spawn(move || {
                let batch_size = if gateways > 32 { 4 } else { 32 };
                let mut gateways: Vec<Gateway> =
                    numbers.map(|n| Gateway::new(address, 1 + n)).collect();
                let (mut out, mut line, mut done) = (Vec::new(), String::new(), 0);
                connected.wait();
                let start = Instant::now();
                while start.elapsed() < duration {
                    for gateway in &mut gateways {
                        out.clear();
                        (0..batch_size).for_each(|_| {
                            gateway.append_request(&mut out, "rota-view", None, &doc);
                        });
                        gateway.send(&out);
                    }
                    for gateway in &mut gateways {
                        for _ in 0..batch_size {
                            gateway.read_line(&mut line);
                            done += u64::from(parse_response(&line).0 > 0);
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
fn measure_builds_alternately() {
    // The default is the build that counts its allocations, which is slightly slower.
    let files = std::env::var("PIPITLEVER_PROGRAM").unwrap_or_else(|_| common::PROGRAM.into());
    let programs: Vec<PathBuf> = files.split(',').map(PathBuf::from).collect();
    let mut all: BTreeMap<(&str, usize), Vec<f64>> = BTreeMap::new();
    for round in 0..ROUNDS {
        for i in 0..programs.len() {
            // Each build is the first one in some rounds.
            let i = (i + round) % programs.len();
            let program = &programs[i];
            let mut record = |name, value| all.entry((name, i)).or_default().push(value);
            record("cpu-lone-us", measure_cpu_time(program, 20_000, 1));
            record("cpu-32-us", measure_cpu_time(program, 96_000, 32));
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
                let values = measure_open_loop(program, rate, Duration::from_secs(1));
                names
                    .into_iter()
                    .zip(values)
                    .for_each(|(name, value)| record(name, value));
            }
            record(
                "full-8-gateways-rps",
                measure_saturated(program, 8, Duration::from_secs(1)),
            );
            record(
                "full-200-gateways-rps",
                measure_saturated(program, 200, Duration::from_secs(1)),
            );
        }
    }
    for ((name, i), values) in &mut all {
        let median = median(values);
        let (min, max) = (values[0], values[values.len() - 1]);
        println!(
            "{name:<24} {:<40} {median:>10.1} ({min:.1} to {max:.1})",
            programs[*i].display()
        );
    }
}
