//! uwsgi workers, one of which is killed, and a class whose requests must never run twice.

use crate::gateway::{Gateway, Outcome, Request, Tries};
use crate::node::{control, free_address, settings, Class, Folder, Node};
use crate::platform::{Endpoint, LinkOptions, Platform};
use crate::util::{add_child, remove_child, sleep_ms, Record};
use crate::Verdict;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};

/// Number of workers. The one that is killed is a fifth of them.
const WORKERS: usize = 5;
/// How long a worker takes for a request, in milliseconds.
const WORK_MS: u64 = 300;
/// Time between two requests in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 30;
/// Length of the load in milliseconds.
const LOAD_MS: u64 = 12_000;
/// When a worker is killed, in milliseconds from the start of the load: as soon as it runs a request
/// then.
const KILL_MS: u64 = 6000;
/// Fewer runs than these test too little.
const MIN_RUNS: usize = 200;

/// A worker process: `review-stand-ins worker NAME`. It prints its address, and a line for each
/// request that it begins to run.
pub fn serve(arguments: &[String]) -> ExitCode {
    let name = arguments.first().cloned().unwrap_or_default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let output = Arc::new(Mutex::new(std::io::stdout()));
    let address = listener.local_addr().expect("a bound address");
    say(&output, &format!("address {address}"));
    while let Ok((stream, _)) = listener.accept() {
        let (name, output) = (name.clone(), output.clone());
        std::thread::spawn(move || run(stream, &name, &output));
    }
    ExitCode::from(2)
}

fn say(output: &Mutex<std::io::Stdout>, text: &str) {
    let mut output = output.lock().expect("no holder panics");
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

fn run(mut stream: TcpStream, name: &str, output: &Mutex<std::io::Stdout>) -> Option<()> {
    let mut header = [0; 4];
    stream.read_exact(&mut header).ok()?;
    let mut block = vec![0; usize::from(u16::from_le_bytes([header[1], header[2]]))];
    stream.read_exact(&mut block).ok()?;
    let mut length = 0;
    let mut rest = &block[..];
    while rest.len() >= 2 {
        let variable = take_string(&mut rest)?;
        let value = take_string(&mut rest)?;
        if variable == b"CONTENT_LENGTH" && !value.is_empty() {
            length = std::str::from_utf8(value).ok()?.parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    say(output, &format!("run {}", String::from_utf8_lossy(&body)));
    sleep_ms(WORK_MS);
    let result = format!("{name} ran {}", String::from_utf8_lossy(&body));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", result.len());
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(result.as_bytes()).ok()
}

fn take_string<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, after) = rest.split_first_chunk::<2>()?;
    let (text, after) = after.split_at_checked(usize::from(u16::from_le_bytes(*length)))?;
    *rest = after;
    Some(text)
}

/// A run that a worker began.
#[derive(Clone)]
struct Run {
    body: String,
    worker: String,
    ms: u64,
}

/// All runs that workers began.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<Vec<Run>>>);

/// A worker process; killed on drop.
struct Worker {
    name: String,
    child: Child,
    address: SocketAddr,
    record: Arc<Record>,
}

impl Worker {
    fn start(record: &Arc<Record>, runs: &Runs, number: usize) -> Option<Worker> {
        let name = format!("worker-{number}");
        let program = std::env::current_exe().ok()?;
        let mut child = Command::new(program)
            .args(["worker", &name])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        add_child(child.id());
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let first = lines.next()?.ok()?;
        let address = first.strip_prefix("address ")?.parse().ok()?;
        record.line(&format!("{name}: pid={} address={address}", child.id()));
        let (reading, runs, worker) = (record.clone(), runs.clone(), name.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                reading.line(&format!("{worker}: {line}"));
                if let Some(body) = line.strip_prefix("run ") {
                    let (body, worker, ms) = (body.to_owned(), worker.clone(), reading.ms());
                    runs.0.lock().unwrap().push(Run { body, worker, ms });
                }
            }
        });
        Some(Worker { name, child, address, record: record.clone() })
    }

    /// The number of runs that this worker began so recently that half of their work is left.
    fn running(&self, runs: &Runs) -> usize {
        let since_ms = self.record.ms().saturating_sub(WORK_MS / 2);
        let runs = runs.0.lock().unwrap();
        runs.iter().filter(|run| run.worker == self.name && run.ms >= since_ms).count()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        remove_child(self.child.id());
    }
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let platform = Platform::new(record.clone());
    let processor = Endpoint::start(&platform, "processor", LinkOptions::default());
    let runs = Runs::default();
    let started = (1..=WORKERS).map(|number| Worker::start(record, &runs, number));
    let Some(mut workers) = started.collect::<Option<Vec<_>>>() else {
        return Verdict::CouldNotRun;
    };
    let (listen, door, uwsgi) = (free_address(), free_address(), free_address());
    let classes = [Class::rota_view(), Class::shift_claim()];
    let config = format!(
        r#"{{"name":"n1","listen":"{listen}","processor":"{}","control":"{door}","seed":"8c1f30d27a5be964",
"stop_ms":5000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"settings":{}}}"#,
        processor.address,
        settings(&classes, false)
    );
    let addresses: Vec<String> =
        workers.iter().map(|worker| format!("\"{}\"", worker.address)).collect();
    let operator = format!(
        "[uwsgi]\nlisten = \"{uwsgi}\"\nworkers = [{}]\ndeadline_ms = 2200\n\n\
         [[uwsgi.route]]\npath = \"/rota/claim\"\nclass = \"shift-claim\"\nbackend = \"workers\"\n",
        addresses.join(", ")
    );
    let folder = Folder::new();
    let operator_path = folder.0.join("operator.toml");
    std::fs::write(&operator_path, operator).expect("the operator file can be written");
    let arguments = format!("serve --operator {}", operator_path.display());
    let mut node = Node::start(record, &folder.0, "node", &config, &arguments);
    while control(door, "GET /status") != Some(200) {
        if record.ms() > 10_000 || node.ended().is_some() {
            node.record_log();
            return Verdict::CouldNotRun;
        }
        sleep_ms(20);
    }
    let tries = Tries::new(&platform);
    let gateways: Vec<_> = (0..4).map(|n| Gateway::new(n, listen, &tries)).collect();
    let begin_ms = record.ms();
    let mut is_killed = !has_trouble;
    let mut number = 0u64;
    while record.ms() < begin_ms + LOAD_MS && node.ended().is_none() {
        if !is_killed && record.ms() > begin_ms + KILL_MS && workers[0].running(&runs) > 0 {
            is_killed = true;
            record.say(&format!("{}: killed", workers[0].name));
            let _ = workers[0].child.kill();
        }
        number += 1;
        gateways[(number % 4) as usize].send(&Request {
            class: "shift-claim".into(),
            body: format!("claim {number}").into_bytes(),
            key: None,
            allow_ms: 2200,
        });
        sleep_ms(REQUEST_INTERVAL_MS);
    }
    sleep_ms(2500);
    let has_ended = node.ended().is_some();
    node.signal("-TERM");
    node.wait_until(record.ms() + 5000);
    node.record_log();
    record.say(&tries.summary());
    if has_ended || !is_killed {
        return Verdict::CouldNotRun;
    }
    judge(record, &tries, &runs)
}

/// No request may run more than once: the gateways send each request once.
fn judge(record: &Record, tries: &Tries, runs: &Runs) -> Verdict {
    let mut workers_of: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let runs = runs.0.lock().unwrap().clone();
    for run in &runs {
        workers_of.entry(run.body.clone()).or_default().push(run.worker.clone());
    }
    let twice: Vec<_> = workers_of.iter().filter(|(_, workers)| workers.len() > 1).collect();
    record.say(&format!("runs {}; requests that ran more than once: {}", runs.len(), twice.len()));
    for (body, workers) in &twice {
        let all = tries.all();
        let answer = all.iter().find(|t| t.body == body.as_bytes()).map(|t| &t.outcome);
        let text = match answer {
            Some(Outcome::Served(result)) => {
                format!("served \"{}\"", String::from_utf8_lossy(result))
            }
            other => format!("{other:?}"),
        };
        record.say(&format!("\"{body}\" ran at {}; the gateway was {text}", workers.join(" and ")));
    }
    if !twice.is_empty() {
        Verdict::Broken
    } else if runs.len() < MIN_RUNS {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    }
}
