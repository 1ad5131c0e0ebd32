//! A client that sends requests one after another.

use super::unix_time_ms;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The error code of a request that was rejected and never ran.
const REJECTED_CODE: i64 = -32000;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served with the request's own body as the result.
    Served,
    /// Rejected: the request never ran.
    Rejected,
    /// Failed: the request may have run.
    Failed,
    /// The connection ended without a response.
    ConnectionLost,
    /// A response that the protocol does not allow.
    Invalid,
}

/// A request that a client has sent.
pub struct SentRequest {
    /// The body, which no other request has.
    pub body: Vec<u8>,
    /// The outcome.
    pub outcome: RequestOutcome,
    /// When the response arrived, or the connection was found to have ended.
    pub ended_at: Instant,
}

/// What a client has sent and received.
#[derive(Default)]
pub struct ClientLog {
    /// All requests, in order.
    pub requests: Vec<SentRequest>,
    /// The longest time until a response.
    pub longest_latency: Duration,
}

/// A client on a thread of its own, which sends requests until it is stopped.
pub struct Client {
    is_stopping: Arc<AtomicBool>,
    thread: JoinHandle<ClientLog>,
}

impl Client {
    /// Starts a client that connects to the address that `current_address` returns at the time. Each
    /// second request has an idempotency key.
    pub fn start(
        number: usize,
        current_address: impl Fn() -> Option<SocketAddr> + Send + 'static,
    ) -> Client {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = is_stopping.clone();
        let thread = std::thread::spawn(move || {
            let mut session = Session {
                client: number,
                request_count: 0,
                log: ClientLog::default(),
                stop_flag,
            };
            while !session.is_stopping() {
                let address = current_address();
                let stream = address.and_then(|address| TcpStream::connect(address).ok());
                if let Some(stream) = stream {
                    session.send_requests(stream);
                }
                std::thread::sleep(RECONNECT_INTERVAL);
            }
            session.log
        });
        Client {
            is_stopping,
            thread,
        }
    }

    /// Stops the client. Returns its log.
    pub fn stop(self) -> ClientLog {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.thread.join().expect("the client's thread ends")
    }
}

/// The state of a client's thread.
struct Session {
    client: usize,
    request_count: u64,
    log: ClientLog,
    stop_flag: Arc<AtomicBool>,
}

impl Session {
    fn is_stopping(&self) -> bool {
        self.stop_flag.load(Ordering::Relaxed)
    }

    /// Sends requests until the connection ends or the client is stopped. Returns `None` when it is
    /// over.
    fn send_requests(&mut self, mut stream: TcpStream) -> Option<()> {
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        for id in 1.. {
            if self.is_stopping() {
                return None;
            }
            self.request_count += 1;
            let body =
                format!("caller {} request {}", self.client, self.request_count).into_bytes();
            let message = self.request(id, &body);
            let start = Instant::now();
            let outcome = stream
                .write_all(format!("{message}\n").as_bytes())
                .ok()
                .and_then(|()| read_outcome(&mut reader, id, &body))
                .unwrap_or(RequestOutcome::ConnectionLost);
            self.log.longest_latency = self.log.longest_latency.max(start.elapsed());
            self.log.requests.push(SentRequest {
                body,
                outcome,
                ended_at: Instant::now(),
            });
            if outcome == RequestOutcome::ConnectionLost {
                return None;
            }
            std::thread::sleep(REQUEST_INTERVAL);
        }
        None
    }

    fn request(&self, id: u64, body: &[u8]) -> Value {
        let (client, count) = (self.client, self.request_count);
        let mut params = json!({
            "ref": format!("{:08x}{count:08x}", client + 1),
            "since": unix_time_ms(),
            "sender": client,
            "allow": 4000,
            "effort": 12.5,
            "room": 24.5,
            "class_rank": 0.625,
            "doc": STANDARD.encode(body),
        });
        let has_key = count.is_multiple_of(2);
        if has_key {
            params["replay"] = json!(format!("{client:016x}{count:016x}"));
        }
        let class = if has_key { "swap-confirm" } else { "rota-view" };
        json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params})
    }
}

/// Reads the response to a request. Returns `None` if the connection ends.
fn read_outcome(reader: &mut BufReader<TcpStream>, id: u64, body: &[u8]) -> Option<RequestOutcome> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let response: Value = serde_json::from_str(&line).ok()?;
        if response["method"] == "goaway" {
            continue;
        }
        if response["id"] != id {
            return Some(RequestOutcome::Invalid);
        }
        return Some(outcome(&response, body));
    }
}

fn outcome(response: &Value, body: &[u8]) -> RequestOutcome {
    match (
        &response["result"]["doc"],
        response["error"]["code"].as_i64(),
    ) {
        (Value::String(doc), None) if STANDARD.decode(doc).is_ok_and(|result| result == body) => {
            RequestOutcome::Served
        }
        (Value::Null, Some(REJECTED_CODE)) => RequestOutcome::Rejected,
        (Value::Null, Some(_)) => RequestOutcome::Failed,
        _ => RequestOutcome::Invalid,
    }
}
