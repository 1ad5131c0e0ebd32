//! The node's processes, started with the command of the deploy file.

use crate::util::{add_child, remove_child, send_signal, sleep_ms, unix_ms, Record};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// A class of the settings: name, effect, wanted time, deadline and window in milliseconds, worth.
pub struct Class {
    name: &'static str,
    effect: &'static str,
    target_ms: u64,
    deadline_ms: u64,
    window_ms: u64,
    worth: f64,
}

impl Class {
    fn new(name: &'static str, effect: &'static str, worth: f64) -> Class {
        Class { name, effect, target_ms: 2200, deadline_ms: 6700, window_ms: 20_000, worth }
    }

    /// A read, which is safe to repeat.
    pub fn rota_view() -> Class {
        Class::new("rota-view", "free", 1.0)
    }

    /// A write with a key.
    pub fn swap_confirm() -> Class {
        Class::new("swap-confirm", "guarded", 5.0)
    }

    /// A write without a key, which must not be repeated.
    pub fn shift_claim() -> Class {
        Class::new("shift-claim", "single_shot", 5.0)
    }
}

/// The settings of a small deployment. `is_cold`: the node was just started.
pub fn settings(classes: &[Class], is_cold: bool) -> String {
    let categories: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"name":"{}","idempotency":"{}","target":{},"deadline":{},"memorySpan":{},"worth":{:?},"lateWorth":0.2}}"#,
                class.name,
                class.effect,
                class.target_ms * 1000,
                class.deadline_ms * 1000,
                class.window_ms * 1000,
                class.worth
            )
        })
        .collect();
    let calls = vec!["true"; classes.len()].join(",");
    let degraded = vec!["0.0"; classes.len()].join(",");
    format!(
        r#"{{"categories":[{}],"clients":{{"marksRetry":true}},"failureDomains":["quimperle"],
"family":"server","familyInfo":{{"below":"tier","blowup":8.0,"callsOver":5000000,"classCalls":[{calls}],
"cold":{is_cold},"cpus":6,"degradedWorth":[{degraded}],"depShare":0.0,"fresh":0,
"gauges":["core_use","on_cores","heap_share","links"],"heapKb":56000.0,"heeded":1000000,
"keepaliveMax":15000000,"keyKb":20.0,"linger":200000,"passesDeadline":true,"readiness":false,
"realChecks":false,"say":"threshold","stopMode":"silent","tellsGone":true,"upstreams":4}},
"goal":{{"whole":0.5,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.3}},
"limits":{{"cpuUsPerRequest":0.0,"cpuUsPerS":60000,"maxRetryAfter":1000000,"retryAfter":true}},
"overShareWorth":0.1,"penalties":{{"connection":0.0,"handshake":0.0,"lateFail":0.08,"origin":0.0,"waste":0.05}},
"replicasOfMe":4,"report":{{"names":["load_share"],"via":"pull"}},"round":2000,
"safety":{{"answerSlack":100000,"cold":18000000,"coldFrom":0.21,"drainGrace":2500000,"tipAfter":3000000,"tipMultiple":5.0}},
"selfIndex":1,"tenants":[],"tier":0,"tiers":["rota-front","rota-core"],"worthBy":"work","zone":"quimperle"}}"#,
        categories.join(",")
    )
}

/// A loopback address with a port that is free at this moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// The value of a key of the deploy file.
fn deploy_value(key: &str) -> Option<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| {
        line.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with('='))
    })?;
    let (_, value) = line.split_once('=')?;
    Some(value.trim().strip_prefix('"')?.split('"').next()?.to_owned())
}

/// The folder of one run, which is `$TMPDIR` of its processes; removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let name = format!("pipitlever-review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One process of the node; killed on drop.
pub struct Node {
    pub name: String,
    child: Child,
    log: PathBuf,
    record: Arc<Record>,
    code: Option<String>,
}

impl Node {
    /// Starts a process with `run` of the deploy file and `arguments` behind it. The configuration
    /// is written into the folder, as `NAME.json`.
    pub fn start(
        record: &Arc<Record>,
        folder: &Path,
        name: &str,
        config: &str,
        arguments: &str,
    ) -> Node {
        let config_path = folder.join(format!("{name}.json"));
        std::fs::write(&config_path, config).expect("the configuration can be written");
        let run = deploy_value("run").expect("deploy/balancer.toml has `run`");
        let log = folder.join(format!("{name}.log"));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} {arguments}"))
            .env("EDGE_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(File::create(folder.join(format!("{name}.out"))).expect("a file"))
            .stderr(File::create(&log).expect("a file"))
            .spawn()
            .expect("sh starts");
        add_child(child.id());
        record.line(&format!("{name}: started pid={} run=\"{run} {arguments}\"", child.id()));
        Node { name: name.to_owned(), child, log, record: record.clone(), code: None }
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: &str) {
        if self.code.is_none() {
            self.record.line(&format!("{}: signal {signal}", self.name));
            send_signal(signal, self.child.id());
        }
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        if self.code.is_none() {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(&format!("{}: ended, {status}", self.name));
                remove_child(self.child.id());
                self.code = Some(status.to_string());
            }
        }
        self.code.clone()
    }

    /// Waits for the end of the process, at most until the record's clock shows `until_ms`.
    pub fn wait_until(&mut self, until_ms: u64) -> Option<String> {
        while self.ended().is_none() && self.record.ms() < until_ms {
            sleep_ms(10);
        }
        self.ended()
    }

    /// Copies the last lines of the process's log to the record.
    pub fn record_log(&self) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        for line in &lines[lines.len().saturating_sub(14)..] {
            self.record.line(&format!("{} log: {line}", self.name));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            remove_child(self.child.id());
        }
    }
}

/// Makes one call at a control address. Returns the status; none if there is no answer within 1 s.
pub fn control(address: SocketAddr, call: &str) -> Option<u16> {
    let timeout = Duration::from_millis(1000);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!("{call} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}
