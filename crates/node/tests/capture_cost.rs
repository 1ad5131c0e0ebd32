//! The cost of a capture. Run by hand, in a release build, on an otherwise idle machine.
//!
//! `cargo test --release -p pipitlever-node --test capture_cost -- --ignored --nocapture`
#![cfg(target_os = "linux")]

mod common;

use common::*;
use serde_json::json;
use std::time::{Duration, Instant};

const REQUESTS: usize = 30_000;
const OPEN_REQUESTS: usize = 16;
const ROUNDS: usize = 15;

/// CPU time of a process so far, in clock ticks of 10 ms, and its peak resident memory, in KB.
fn cpu_and_peak_memory(pid: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split(' ').collect();
    let ticks = fields[12].parse::<u64>().unwrap() + fields[13].parse::<u64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let peak = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    (ticks, peak.trim().trim_end_matches(" kB").parse().unwrap())
}

struct Measurements {
    cpu_us: f64,
    p50: Duration,
    p99: Duration,
    peak_kb: u64,
    bytes: f64,
}

fn measure(capture: bool, round: usize) -> Measurements {
    let folder =
        std::env::temp_dir().join(format!("pipitlever-{}-cost-{round}", std::process::id()));
    let section = format!(
        "[capture]\nfolder = {:?}\nsegment_mb = 1\nkeep_mb = 64\n",
        folder.to_str().unwrap()
    );
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string(),
        "limits": {"memory_mb": 32, "sockets": 384, "cores": 0.5}});
    let mut node = Node::start(entries, capture.then_some(&*section));
    processor.accept();
    processor.send(b"hi running 60000\r\n");
    let mut gateway = node.ready();
    std::thread::spawn(move || processor.echo_until_disconnected());
    let before = cpu_and_peak_memory(node.pid()).0;
    let mut sent = std::collections::HashMap::new();
    let mut latencies = Vec::new();
    let mut next = 0;
    while latencies.len() < REQUESTS {
        while next < REQUESTS && sent.len() < OPEN_REQUESTS {
            next += 1;
            let class = if next.is_multiple_of(7) {
                "swap-confirm"
            } else {
                "rota-view"
            };
            let key = format!("key-{round}-{next}");
            let params = request_params(5000, (next.is_multiple_of(7)).then_some(&*key), &[7; 200]);
            sent.insert(gateway.send(class, params), Instant::now());
        }
        let answer = gateway.receive();
        latencies.push(
            sent.remove(&answer["id"].as_u64().unwrap())
                .unwrap()
                .elapsed(),
        );
    }
    let (after, peak_kb) = cpu_and_peak_memory(node.pid());
    node.signal("-TERM");
    node.wait();
    let files = std::fs::read_dir(&folder)
        .map(|all| all.map(|e| e.unwrap().metadata().unwrap().len()).sum());
    let bytes = files.unwrap_or(0u64) as f64 / REQUESTS as f64;
    if capture {
        // PIPITLEVER_KEEP=FOLDER keeps the capture of the first round.
        let keep = std::env::var_os("PIPITLEVER_KEEP");
        match keep.filter(|_| round < 2) {
            Some(to) => std::fs::rename(&folder, to).unwrap(),
            None => std::fs::remove_dir_all(&folder).unwrap(),
        }
    }
    latencies.sort();
    Measurements {
        cpu_us: (after - before) as f64 * 10_000.0 / REQUESTS as f64,
        p50: latencies[REQUESTS / 2],
        p99: latencies[REQUESTS / 100 * 99],
        peak_kb,
        bytes,
    }
}

#[test]
#[ignore = "a measurement, not a check of every build"]
fn the_cost_of_a_capture() {
    let mut cpu = [Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        // Each round measures both variants, in alternating order.
        for capture in [round % 2 == 0, round % 2 == 1] {
            let measured = measure(capture, 2 * round + usize::from(capture));
            println!(
                "capture={capture:5} cpu={:.1} us a request, p50={:?} p99={:?} peak={} KB, {:.0} bytes a request",
                measured.cpu_us, measured.p50, measured.p99, measured.peak_kb, measured.bytes
            );
            assert!(measured.peak_kb < 32 << 10, "{} KB", measured.peak_kb);
            cpu[usize::from(capture)].push(measured.cpu_us);
        }
    }
    // The machine's speed varies between rounds by far more than a capture costs, so the two runs
    // of one round are compared.
    let mut ratios: Vec<f64> = cpu[0]
        .iter()
        .zip(&cpu[1])
        .map(|(off, on)| 100.0 * (on / off - 1.0))
        .collect();
    ratios.sort_by(f64::total_cmp);
    let [lower, median, upper] = [1, 2, 3].map(|n| ratios[n * ROUNDS / 4]);
    println!("CPU with a capture: {median:+.1}%, quartiles {lower:+.1}% and {upper:+.1}%");
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    println!(
        "off {:.1} us, on {:.1} us a request on average",
        mean(&cpu[0]),
        mean(&cpu[1])
    );
}
