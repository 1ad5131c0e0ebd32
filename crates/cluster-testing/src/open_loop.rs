//! Open-loop load: requests at a fixed rate, whatever the latency of earlier ones.

use crate::stand_ins::unix_time_ms;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::fmt;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The requests are spread over this many connections, each of which may have several in flight.
const CONNECTION_COUNT: u64 = 8;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Latencies and CPU time of a run. The latency of a request starts at its scheduled time, so that
/// delays of the generator count, too.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Requests a second.
    pub rate: u64,
    /// Requests that were sent.
    pub request_count: u64,
    /// Requests that were served.
    pub served_count: u64,
    /// The median latency.
    pub p50: Duration,
    /// The 99th percentile of the latencies.
    pub p99: Duration,
    /// CPU time in milliseconds a second.
    pub cpu_ms_per_second: f64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{}/s served={} of {} p50={:?} p99={:?} cpu={:.1} ms/s",
            self.rate,
            self.served_count,
            self.request_count,
            self.p50,
            self.p99,
            self.cpu_ms_per_second
        )
    }
}

/// The times at which requests are due.
#[derive(Clone, Copy)]
struct Schedule {
    start: Instant,
    rate: u64,
}

impl Schedule {
    fn due_at(self, number: u64) -> Instant {
        self.start + Duration::from_micros(number * 1_000_000 / self.rate)
    }
}

/// The responses of one connection.
#[derive(Default)]
struct Responses {
    latencies: Vec<Duration>,
    served_count: u64,
}

/// Sends read requests at `rate` a second to `address`. `cpu_ms` returns the CPU time of the node in
/// milliseconds.
pub fn run_open_loop(
    address: SocketAddr,
    rate: u64,
    duration: Duration,
    cpu_ms: impl Fn() -> f64,
) -> LoadReport {
    let request_count = rate * duration.as_secs();
    let cpu_before = cpu_ms();
    let schedule = Schedule {
        start: Instant::now(),
        rate,
    };
    let (mut connections, mut readers) = (Vec::new(), Vec::new());
    for connection in 0..CONNECTION_COUNT {
        let stream = connect(address);
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        connections.push(stream);
        readers.push(std::thread::spawn(move || {
            read_responses(
                reader,
                connection,
                request_count / CONNECTION_COUNT,
                schedule,
            )
        }));
    }
    for number in 0..request_count {
        let now = Instant::now();
        let remaining = schedule.due_at(number).saturating_duration_since(now);
        std::thread::sleep(remaining);
        let connection = (number % CONNECTION_COUNT) as usize;
        let _ = connections[connection].write_all(format!("{}\n", request(number)).as_bytes());
    }
    let mut all = Responses::default();
    for reader in readers {
        let responses = reader.join().expect("the reader's thread ends");
        all.latencies.extend(responses.latencies);
        all.served_count += responses.served_count;
    }
    all.latencies.sort();
    LoadReport {
        rate,
        request_count,
        served_count: all.served_count,
        p50: percentile(&all.latencies, 0.5),
        p99: percentile(&all.latencies, 0.99),
        cpu_ms_per_second: (cpu_ms() - cpu_before) / schedule.start.elapsed().as_secs_f64(),
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the node accepts");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    stream
}

/// Reads the responses of one connection until there are `count`, or the connection ends.
fn read_responses(
    mut reader: BufReader<TcpStream>,
    connection: u64,
    count: u64,
    schedule: Schedule,
) -> Responses {
    let mut responses = Responses::default();
    while (responses.latencies.len() as u64) < count {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
        let Ok(response) = serde_json::from_str::<Value>(&line) else {
            break;
        };
        let Some(id) = response["id"].as_u64() else {
            continue;
        };
        responses.served_count += u64::from(response["result"].is_object());
        let number = (id - 1) * CONNECTION_COUNT + connection;
        responses.latencies.push(schedule.due_at(number).elapsed());
    }
    responses
}

fn request(number: u64) -> Value {
    json!({
        "jsonrpc": "2.0",
        "id": number / CONNECTION_COUNT + 1,
        "method": "rota-view",
        "params": {
            "ref": format!("{number:016x}"),
            "since": unix_time_ms(),
            "sender": 1,
            "allow": 4000,
            "effort": 12.5,
            "room": 24.5,
            "class_rank": 0.625,
            "doc": STANDARD.encode(b"a plain view"),
        },
    })
}

fn percentile(sorted: &[Duration], fraction: f64) -> Duration {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted.get(index).copied().unwrap_or_default()
}
