//! Compares the system calls of a request, by name, with `baseline-syscalls.toml`. Needs strace.
//!
//! Requests are sent one at a time or several in one write, and the node is idle before each write.
//! The result is the minimum count of each system call over many repetitions, since timers only add
//! calls.
//!
//! `PIPITLEVER_BASELINE=1 cargo test -p pipitlever-benchmarks` records a new baseline; the commit
//! message states the reason. With `PIPITLEVER_PROGRAM=FILE` another build is traced, without the
//! comparison.
#![cfg(target_os = "linux")]

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::Node;
use serde_json::json;
use standin::{parse_response, Gateway};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

const REPETITIONS: usize = 60;
/// Greatest permitted ratio of a count to its baseline.
const MAX_GROWTH: f64 = 1.1;

/// Number of system calls by name.
type Calls = BTreeMap<String, usize>;

/// A node under strace.
struct Traced {
    node: Node,
    strace: Child,
    log: PathBuf,
}

impl Traced {
    fn start(case: &str, result_size: usize) -> Traced {
        // Enough cores for 32 concurrent requests, so that none is rejected.
        let mut settings = common::configuration(&json!({}))["settings"].clone();
        settings["familyInfo"]["cpus"] = json!(64);
        let config_entries = json!({
            "processor": standin::start_processor(Some(result_size)).to_string(),
            "settings": settings,
        });
        let node = Node::start(config_entries, None);
        node.ready();
        let log =
            std::env::temp_dir().join(format!("pipitlever-{}-{case}.strace", std::process::id()));
        let pid = node.pid().to_string();
        let mut strace = Command::new("strace")
            .args(["-f", "-s", "16", "-o", log.to_str().unwrap(), "-p", &pid])
            .stderr(Stdio::piped())
            .spawn()
            .expect("strace is installed (.ci/run installs it)");
        let mut lines = BufReader::new(strace.stderr.take().unwrap()).lines();
        let line = lines
            .next()
            .expect("strace reports that it attached")
            .unwrap();
        assert!(
            line.contains("attached"),
            "strace did not attach to the node: {line}"
        );
        std::thread::spawn(move || lines.for_each(drop));
        Traced { node, strace, log }
    }

    /// Names of the system calls so far. A call whose log entry is split by one of another thread
    /// counts once.
    fn call_names(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        // The last line may be incomplete.
        let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
        let name = |line: &str| {
            let call = line.split_whitespace().nth(1)?;
            let name = call.split_once('(')?.0;
            (!line.contains(" resumed>") && !name.is_empty()).then(|| name.to_owned())
        };
        complete_lines.lines().filter_map(name).collect()
    }

    /// The minimum count of each system call over many repetitions of an operation.
    fn cost(&self, mut operation: impl FnMut()) -> Calls {
        let mut minimum: Option<Calls> = None;
        let mut before = self.wait_until_idle(0);
        for _ in 0..REPETITIONS {
            operation();
            let after = self.wait_until_idle(before + 1);
            let names = self.call_names();
            let mut calls = Calls::new();
            names[before..after]
                .iter()
                .for_each(|name| *calls.entry(name.clone()).or_default() += 1);
            before = after;
            minimum = Some(match minimum {
                None => calls,
                Some(mut minimum) => {
                    minimum.retain(|name, count| {
                        *count = (*count).min(calls.get(name).copied().unwrap_or(0));
                        *count > 0
                    });
                    minimum
                }
            });
        }
        minimum.expect("REPETITIONS is not zero")
    }

    /// Waits until the node is blocked in a system call and has made at least `min_calls` calls,
    /// which includes the blocked one. Returns the number of calls that are logged completely.
    fn wait_until_idle(&self, min_calls: usize) -> usize {
        let start = Instant::now();
        loop {
            let text = std::fs::read_to_string(&self.log).unwrap_or_default();
            let count = self.call_names().len();
            // A call in progress is logged at the end of the file, without a result.
            let is_blocked = !text.ends_with('\n')
                && text
                    .rsplit('\n')
                    .next()
                    .is_some_and(|l| l.contains("epoll_"));
            let is_blocked = is_blocked || text.trim_end().ends_with("<unfinished ...>");
            if is_blocked && count + 1 >= min_calls {
                return count;
            }
            assert!(
                start.elapsed() < standin::TEST_TIMEOUT,
                "the node does not become idle: {text}"
            );
            std::thread::yield_now();
        }
    }
}

impl Drop for Traced {
    fn drop(&mut self) {
        let _ = Command::new("kill")
            .args(["-INT", &self.strace.id().to_string()])
            .status();
        let _ = self.strace.wait();
        let _ = std::fs::remove_file(&self.log);
    }
}

fn measure_all() -> BTreeMap<&'static str, Calls> {
    let mut all = BTreeMap::new();
    let doc = common::base64(&[7; 200]);
    let large = common::base64(&[7; 2048]);
    // Case, requests in one write, class, body, whether they have a key, and size of the result.
    let cases: [(&str, usize, &str, &str, bool, usize); 4] = [
        ("view", 1, "rota-view", &doc, false, 200),
        ("swap", 1, "swap-confirm", &doc, true, 200),
        ("large", 1, "rota-view", &large, false, 4096),
        ("view-32", 32, "rota-view", &doc, false, 200),
    ];
    for (case, count, class, doc, keyed, result_size) in cases {
        let traced = Traced::start(case, result_size);
        let mut gateway = Gateway::new(traced.node.gateway_address, 1);
        let mut last_key = 0;
        let (mut out, mut line) = (Vec::new(), String::new());
        let send_batch = || {
            out.clear();
            for _ in 0..count {
                last_key += 1;
                let key = format!("{last_key:032x}");
                gateway.append_request(&mut out, class, keyed.then_some(&key), doc);
            }
            gateway.send(&out);
            for _ in 0..count {
                gateway.read_line(&mut line);
                assert!(parse_response(&line).1, "{line}");
            }
        };
        all.insert(case, traced.cost(send_batch));
    }
    let traced = Traced::start("health", 0);
    let mut gateway = Gateway::new(traced.node.gateway_address, 1);
    let (mut last_id, mut line) = (0, String::new());
    let check_health = || {
        last_id += 1;
        let health_check = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{last_id},\"method\":\"alive\",\"params\":{{}}}}\n"
        );
        gateway.send(health_check.as_bytes());
        gateway.read_line(&mut line);
    };
    all.insert("health", traced.cost(check_health));
    all
}

#[test]
fn system_calls_per_request_stay_within_the_baseline() {
    let now = measure_all();
    for (case, calls) in &now {
        let total: usize = calls.values().sum();
        println!("{case}: {total} calls: {calls:?}");
    }
    if std::env::var_os("PIPITLEVER_PROGRAM").is_some() {
        return;
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/baseline-syscalls.toml");
    if std::env::var_os("PIPITLEVER_BASELINE").is_some() {
        std::fs::write(path, toml::to_string(&now).unwrap()).unwrap();
        return;
    }
    let baseline: BTreeMap<String, Calls> =
        toml::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    assert_eq!(
        baseline.len(),
        now.len(),
        "the baseline and the test differ in their number of cases"
    );
    let mut exceeded = Vec::new();
    for (case, calls) in &now {
        for (name, count) in calls {
            let baseline_count = baseline[*case].get(name).copied().unwrap_or(0);
            if *count as f64 > baseline_count as f64 * MAX_GROWTH {
                exceeded.push(format!(
                    "{case}: {name} {count}, {baseline_count} in the baseline"
                ));
            }
        }
    }
    assert!(
        exceeded.is_empty(),
        "system calls above the baseline: {exceeded:#?}"
    );
}
