//! Those that a node talks to beside the fleet, as small as their pages allow, and the rules that
//! hold between what was asked, run and answered.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A processor that ends each run well, with the body as its result, and remembers what it ran.
pub struct Processor {
    /// Where it is.
    pub at: SocketAddr,
    /// Bodies, and how often each was run.
    pub runs: Arc<Mutex<BTreeMap<Vec<u8>, usize>>>,
}

impl Processor {
    /// Runs that were begun, of all bodies.
    pub fn started_run_count(&self) -> usize {
        self.runs.lock().expect("no holder panics").values().sum()
    }

    /// Starts one; it ends with the test's process.
    pub fn start() -> Processor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<BTreeMap<Vec<u8>, usize>>> = Arc::default();
        let shared = runs.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let runs = shared.clone();
                std::thread::spawn(move || process(stream, &runs));
            }
        });
        Processor { at, runs }
    }
}

fn process(mut stream: TcpStream, runs: &Mutex<BTreeMap<Vec<u8>, usize>>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    let mut notices = 0;
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["hello", _] => stream.write_all(b"hi running 60000\r\n").ok()?,
            ["usage", tag] => stream
                .write_all(format!("used {tag} 0.5 1 0.1 2\r\n").as_bytes())
                .ok()?,
            ["begin", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                lines.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                *runs
                    .lock()
                    .expect("no holder panics")
                    .entry(body.clone())
                    .or_default() += 1;
                notices += 1;
                let head = format!("complete {notices} {id} fine 3.5 {}\r\n", body.len());
                stream
                    .write_all(&[head.as_bytes(), &body, b"\r\n"].concat())
                    .ok()?;
            }
            _ => return None,
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, with its own body.
    Served,
    /// It never ran.
    Rejected,
    /// It may have run.
    Failed,
    /// Its connection ended, as the node did.
    ConnectionLost,
    /// Something that no rule allows.
    Invalid,
}

/// What callers have asked, and what they heard.
#[derive(Default)]
pub struct ClientLog {
    /// Bodies and what became of each.
    pub all: Vec<(Vec<u8>, RequestOutcome)>,
    /// The longest time that an answer took.
    pub longest: Duration,
}

/// One caller, which asks again and again until it is told to stop.
pub struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<ClientLog>,
}

impl Client {
    /// Asks the node that is there at the time, one request after another, every second one with a
    /// key.
    pub fn start(name: usize, at: impl Fn() -> Option<SocketAddr> + Send + 'static) -> Client {
        let stop = Arc::new(AtomicBool::new(false));
        let told = stop.clone();
        let thread = std::thread::spawn(move || {
            let (mut asked, mut count) = (ClientLog::default(), 0);
            while !told.load(Ordering::Relaxed) {
                let connected = at().and_then(|at| TcpStream::connect(at).ok());
                if let Some(stream) = connected {
                    call(name, stream, &mut asked, &mut count, &told);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            asked
        });
        Client { stop, thread }
    }

    /// Stops it; what it has asked and heard.
    pub fn stop(self) -> ClientLog {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the caller ends")
    }
}

fn call(
    name: usize,
    stream: TcpStream,
    asked: &mut ClientLog,
    count: &mut u64,
    stop: &AtomicBool,
) -> Option<()> {
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    for id in 1.. {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        *count += 1;
        let body = format!("caller {name} request {count}").into_bytes();
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .ok()?
            .as_millis() as u64;
        let keyed = count.is_multiple_of(2);
        let mut params = json!({"ref": format!("{:08x}{count:08x}", name + 1), "since": since, "sender": name,
            "allow": 4000, "effort": 12.5, "room": 24.5, "class_rank": 0.625, "doc": STANDARD.encode(&body)});
        if keyed {
            params["replay"] = json!(format!("{name:016x}{count:016x}"));
        }
        let class = if keyed { "swap-confirm" } else { "rota-view" };
        let message = json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params});
        let start = Instant::now();
        let heard = match stream.write_all(format!("{message}\n").as_bytes()) {
            Ok(()) => answer(&mut lines, id, &body),
            Err(_) => Some(RequestOutcome::ConnectionLost),
        };
        let heard = heard.unwrap_or(RequestOutcome::ConnectionLost);
        asked.longest = asked.longest.max(start.elapsed());
        asked.all.push((body, heard));
        if heard == RequestOutcome::ConnectionLost {
            return None;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

fn answer(lines: &mut BufReader<TcpStream>, id: u64, body: &[u8]) -> Option<RequestOutcome> {
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let said: Value = serde_json::from_str(&line).ok()?;
        if said["method"] == "goaway" {
            continue;
        }
        if said["id"] != id {
            return Some(RequestOutcome::Invalid);
        }
        return Some(
            match (&said["result"]["doc"], said["error"]["code"].as_i64()) {
                (Value::String(doc), None) if STANDARD.decode(doc).is_ok_and(|d| d == body) => {
                    RequestOutcome::Served
                }
                (Value::Null, Some(-32000)) => RequestOutcome::Rejected,
                (Value::Null, Some(_)) => RequestOutcome::Failed,
                _ => RequestOutcome::Invalid,
            },
        );
    }
}

/// Holds what callers heard against what processors ran; what is wrong, if anything is.
pub fn check(
    asked: &[ClientLog],
    runs: &[&Processor],
) -> Result<BTreeMap<&'static str, usize>, String> {
    let mut ran: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for processor in runs {
        for (body, times) in processor.runs.lock().expect("no holder panics").iter() {
            *ran.entry(body.clone()).or_default() += times;
        }
    }
    let mut counts = BTreeMap::new();
    for (body, heard) in asked.iter().flat_map(|a| &a.all) {
        let times = ran.get(body).copied().unwrap_or(0);
        let named = String::from_utf8_lossy(body);
        if times > 1 {
            return Err(format!("{named}: run {times} times"));
        }
        let word = match heard {
            RequestOutcome::Served if times == 0 => {
                return Err(format!("{named}: served, and never run"))
            }
            RequestOutcome::Rejected if times > 0 => {
                return Err(format!("{named}: refused, and run"))
            }
            RequestOutcome::Invalid => return Err(format!("{named}: answered wrongly")),
            RequestOutcome::Served => "served",
            RequestOutcome::Rejected => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::ConnectionLost => "nothing",
        };
        *counts.entry(word).or_default() += 1;
    }
    Ok(counts)
}

/// The processor time that a process has used, in milliseconds.
pub fn cpu_ms(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<f64> = text
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .filter_map(|w| w.parse().ok())
        .collect();
    // Of the fields behind the name the first is a letter; user and system time come eleven and
    // twelve later, in hundredths.
    fields.get(10..12).map_or(0.0, |t| 10.0 * (t[0] + t[1]))
}

/// The memory that a process has, in megabytes.
pub fn memory_mb(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(0.0, |kb| kb / 1024.0)
}

/// Connections that an open loop spreads its requests over: each has some open at most.
const WAYS: u64 = 8;

/// Plain reads at a fixed rate a second, whatever becomes of those before: their latencies from the
/// time that each was due, and what `cpu` grew by.
pub fn run_open_loop(at: SocketAddr, rate: u64, time: Duration, cpu: impl Fn() -> f64) -> String {
    let (count, start, before) = (rate * time.as_secs(), Instant::now(), cpu());
    let due = move |number: u64| start + Duration::from_micros(number * 1_000_000 / rate);
    let (mut ways, mut readers) = (Vec::new(), Vec::new());
    for way in 0..WAYS {
        let stream = TcpStream::connect(at).expect("the node accepts");
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
        ways.push(stream);
        readers.push(std::thread::spawn(move || {
            let (mut took, mut served) = (Vec::new(), 0);
            while (took.len() as u64) < count / WAYS {
                let mut line = String::new();
                if lines.read_line(&mut line).unwrap_or(0) == 0 {
                    break;
                }
                let Ok(said) = serde_json::from_str::<Value>(&line) else {
                    break;
                };
                let Some(id) = said["id"].as_u64() else {
                    continue;
                };
                served += u64::from(said["result"].is_object());
                took.push(due((id - 1) * WAYS + way).elapsed());
            }
            (took, served)
        }));
    }
    for number in 0..count {
        std::thread::sleep(due(number).saturating_duration_since(Instant::now()));
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let params = json!({"ref": format!("{number:016x}"), "since": since, "sender": 1, "allow": 4000,
            "effort": 12.5, "room": 24.5, "class_rank": 0.625, "doc": STANDARD.encode(b"a plain view")});
        let message = json!({"jsonrpc": "2.0", "id": number / WAYS + 1, "method": "rota-view", "params": params});
        let _ = ways[(number % WAYS) as usize].write_all(format!("{message}\n").as_bytes());
    }
    let (mut took, mut served) = (Vec::new(), 0);
    for reader in readers {
        let (of, count) = reader.join().expect("the reader ends");
        took.extend(of);
        served += count;
    }
    took.sort();
    let at = |p: f64| {
        took.get((took.len() as f64 * p) as usize)
            .copied()
            .unwrap_or_default()
    };
    let cpu = (cpu() - before) / start.elapsed().as_secs_f64();
    format!(
        "{rate}/s served={served} of {count} p50={:?} p99={:?} cpu={cpu:.1} ms/s",
        at(0.5),
        at(0.99)
    )
}
