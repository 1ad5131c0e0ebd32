//! Compares the system calls of a request, by name, with `baseline-syscalls.toml`. Needs strace.
//!
//! Requests are sent one at a time or several in one write, and the node is idle before the next
//! one. The result is the minimum count of each call of many requests, since timers only add calls.
//!
//! `PIPITLEVER_BASELINE=1 cargo test -p pipitlever-benchmarks` records a new baseline. The commit
//! gives the reason. With `PIPITLEVER_PROGRAM=FILE` another build is counted and not compared.
#![cfg(target_os = "linux")]

#[path = "../../node/tests/common/mod.rs"]
mod common;
mod standin;

use common::Node;
use serde_json::json;
use standin::{answered, Gateway};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

const TIMES: usize = 60;
/// How much a figure may grow over its baseline.
const GROWTH: f64 = 1.1;

type Calls = BTreeMap<String, usize>;

/// A node under strace.
struct Traced {
    node: Node,
    strace: Child,
    log: PathBuf,
}

impl Traced {
    fn start(case: &str, result: usize) -> Traced {
        // Enough cores for 32 concurrent requests, so that none is rejected.
        let mut settings = common::configuration(&json!({}))["settings"].clone();
        settings["familyInfo"]["cpus"] = json!(64);
        let parties = json!({"processor": standin::processor(Some(result)).to_string(), "settings": settings});
        let node = Node::start(parties, None);
        node.ready();
        let log =
            std::env::temp_dir().join(format!("pipitlever-{}-{case}.strace", std::process::id()));
        let pid = node.pid().to_string();
        let mut strace = Command::new("strace")
            .args(["-f", "-s", "16", "-o", log.to_str().unwrap(), "-p", &pid])
            .stderr(Stdio::piped())
            .spawn()
            .expect("strace is installed: .ci/run does it");
        let mut lines = BufReader::new(strace.stderr.take().unwrap()).lines();
        let line = lines.next().expect("a word").unwrap();
        assert!(line.contains("attached"), "strace can't trace here: {line}");
        std::thread::spawn(move || lines.for_each(drop));
        Traced { node, strace, log }
    }

    /// Names of the calls so far. One that another thread's cut in two counts once.
    fn names(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        // The last line may not be whole yet.
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let name = |line: &str| {
            let call = line.split_whitespace().nth(1)?;
            let name = call.split_once('(')?.0;
            (!line.contains(" resumed>") && !name.is_empty()).then(|| name.to_owned())
        };
        whole.lines().filter_map(name).collect()
    }

    /// The calls that one doing of this brings about, each name at its least.
    fn cost(&self, mut once: impl FnMut()) -> Calls {
        let mut least: Option<Calls> = None;
        let mut before = self.settled(0);
        for _ in 0..TIMES {
            once();
            let after = self.settled(before + 1);
            let names = self.names();
            let mut calls = Calls::new();
            names[before..after]
                .iter()
                .for_each(|name| *calls.entry(name.clone()).or_default() += 1);
            before = after;
            least = Some(match least {
                None => calls,
                Some(mut least) => {
                    least.retain(|name, count| {
                        *count = (*count).min(calls.get(name).copied().unwrap_or(0));
                        *count > 0
                    });
                    least
                }
            });
        }
        least.expect("many times")
    }

    /// Waits until the node waits, with so many calls made at least: it has made one more than it
    /// has returned from.
    fn settled(&self, least: usize) -> usize {
        let start = Instant::now();
        loop {
            let text = std::fs::read_to_string(&self.log).unwrap_or_default();
            let count = self.names().len();
            // A wait that is under way stands at the end without a result.
            let waits = !text.ends_with('\n')
                && text
                    .rsplit('\n')
                    .next()
                    .is_some_and(|l| l.contains("epoll_"));
            let waits = waits || text.trim_end().ends_with("<unfinished ...>");
            if waits && count + 1 >= least {
                return count;
            }
            assert!(
                start.elapsed() < standin::PATIENCE,
                "the node does not come to rest: {text}"
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

fn measured() -> BTreeMap<&'static str, Calls> {
    let mut all = BTreeMap::new();
    let doc = common::base64(&[7; 200]);
    let large = common::base64(&[7; 2048]);
    // So many requests in one write, and their class, body and key.
    let cases: [(&str, usize, &str, &str, bool, usize); 4] = [
        ("view", 1, "rota-view", &doc, false, 200),
        ("swap", 1, "swap-confirm", &doc, true, 200),
        ("large", 1, "rota-view", &large, false, 4096),
        ("view-32", 32, "rota-view", &doc, false, 200),
    ];
    for (case, count, class, doc, keyed, result) in cases {
        let traced = Traced::start(case, result);
        let mut gateway = Gateway::new(traced.node.gateway_address, 1);
        let mut keys = 0;
        let (mut out, mut line) = (Vec::new(), String::new());
        let once = || {
            out.clear();
            for _ in 0..count {
                keys += 1;
                let key = format!("{keys:032x}");
                gateway.request(&mut out, class, keyed.then_some(&key), doc);
            }
            gateway.say(&out);
            for _ in 0..count {
                gateway.line(&mut line);
                assert!(answered(&line).1, "{line}");
            }
        };
        all.insert(case, traced.cost(once));
    }
    let traced = Traced::start("health", 0);
    let mut gateway = Gateway::new(traced.node.gateway_address, 1);
    let (mut number, mut line) = (0, String::new());
    let once = || {
        number += 1;
        let alive = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"alive\",\"params\":{{}}}}\n"
        );
        gateway.say(alive.as_bytes());
        gateway.line(&mut line);
    };
    all.insert("health", traced.cost(once));
    all
}

#[test]
fn no_request_calls_the_system_more_than_it_did() {
    let now = measured();
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
    assert_eq!(baseline.len(), now.len(), "each case has its baseline");
    let mut grown = Vec::new();
    for (case, calls) in &now {
        for (name, count) in calls {
            let allowed = baseline[*case].get(name).copied().unwrap_or(0);
            if *count as f64 > allowed as f64 * GROWTH {
                grown.push(format!("{case}: {name} {count}, {allowed} in the baseline"));
            }
        }
    }
    assert!(grown.is_empty(), "{grown:#?}");
}
