//! What a capture costs: run by hand, in a release build, with the cores to itself.
//!
//! `cargo test --release -p pipitlever-node --test capture_cost -- --ignored --nocapture`
#![cfg(target_os = "linux")]

mod common;

use common::*;
use serde_json::json;
use std::time::{Duration, Instant};

const REQUESTS: usize = 30_000;
const OPEN: usize = 16;
const ROUNDS: usize = 15;

/// CPU of a process so far, in clock ticks of a hundredth of a second, and the most memory that it
/// held, in KB.
fn usage(pid: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let words: Vec<&str> = stat.rsplit_once(')').unwrap().1.split(' ').collect();
    let ticks = words[12].parse::<u64>().unwrap() + words[13].parse::<u64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let most = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    (ticks, most.trim().trim_end_matches(" kB").parse().unwrap())
}

struct Figures {
    cpu_us: f64,
    p50: Duration,
    p99: Duration,
    most_kb: u64,
    bytes: f64,
}

fn run(capture: bool, round: usize) -> Figures {
    let folder =
        std::env::temp_dir().join(format!("pipitlever-{}-cost-{round}", std::process::id()));
    let section = format!(
        "[capture]\nfolder = {:?}\nsegment_mb = 1\nkeep_mb = 64\n",
        folder.to_str().unwrap()
    );
    let mut processor = Processor::new();
    let limits = json!({"processor": processor.address().to_string(),
        "limits": {"memory_mb": 32, "sockets": 384, "cores": 0.5}});
    let mut node = Node::start(limits, capture.then_some(&*section));
    processor.accept();
    processor.send(b"hi running 60000\r\n");
    let mut gateway = node.ready();
    std::thread::spawn(move || processor.echo_until_disconnected());
    let before = usage(node.pid()).0;
    let mut sent = std::collections::HashMap::new();
    let mut took = Vec::new();
    let mut next = 0;
    while took.len() < REQUESTS {
        while next < REQUESTS && sent.len() < OPEN {
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
        took.push(
            sent.remove(&answer["id"].as_u64().unwrap())
                .unwrap()
                .elapsed(),
        );
    }
    let (after, most_kb) = usage(node.pid());
    node.signal("-TERM");
    node.wait();
    let files = std::fs::read_dir(&folder)
        .map(|all| all.map(|e| e.unwrap().metadata().unwrap().len()).sum());
    let bytes = files.unwrap_or(0u64) as f64 / REQUESTS as f64;
    if capture {
        let keep = std::env::var_os("PIPITLEVER_KEEP");
        match keep.filter(|_| round < 2) {
            Some(to) => std::fs::rename(&folder, to).unwrap(),
            None => std::fs::remove_dir_all(&folder).unwrap(),
        }
    }
    took.sort();
    Figures {
        cpu_us: (after - before) as f64 * 10_000.0 / REQUESTS as f64,
        p50: took[REQUESTS / 2],
        p99: took[REQUESTS / 100 * 99],
        most_kb,
        bytes,
    }
}

#[test]
#[ignore = "a measurement, not a check of every build"]
fn a_capture_costs_little() {
    let mut cpu = [Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        // Alternating, and each first in turn.
        for capture in [round % 2 == 0, round % 2 == 1] {
            let f = run(capture, 2 * round + usize::from(capture));
            println!(
                "capture={capture:5} cpu={:.1} us a request, p50={:?} p99={:?} most={} KB, {:.0} bytes a request",
                f.cpu_us, f.p50, f.p99, f.most_kb, f.bytes
            );
            assert!(f.most_kb < 32 << 10, "{} KB", f.most_kb);
            cpu[usize::from(capture)].push(f.cpu_us);
        }
    }
    // The machine's own speed changes from run to run by far more than a capture costs, so
    // neighbours in time are held against each other.
    let mut ratios: Vec<f64> = cpu[0]
        .iter()
        .zip(&cpu[1])
        .map(|(off, on)| 100.0 * (on / off - 1.0))
        .collect();
    ratios.sort_by(f64::total_cmp);
    let [quarter, median, most] = [1, 2, 3].map(|n| ratios[n * ROUNDS / 4]);
    println!("CPU with a capture: {median:+.1}%, quartiles {quarter:+.1}% and {most:+.1}%");
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    println!(
        "off {:.1} us, on {:.1} us a request in the mean",
        mean(&cpu[0]),
        mean(&cpu[1])
    );
}
