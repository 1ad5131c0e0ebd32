//! Gateways: they send requests over JSON-RPC and record every answer.

use crate::platform::Platform;
use crate::util::{base64, from_base64, unix_ms, Json, Record};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A request that is written so shortly before the end of its connection crosses that end.
const CROSSING_MS: u64 = 50;

/// How a try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Open,
    Served(Vec<u8>),
    /// The code -32000: it never ran.
    Refused,
    Failed(i64),
    /// No connection could be made: a refused connection proves that nothing ran.
    NoConnection,
    /// The connection ended without an answer.
    ConnectionEnded,
    /// The connection ended without an answer, and the request crossed its end.
    Crossed,
}

impl Outcome {
    /// There was no whole answer, and the request did not cross a close.
    pub fn is_missing(&self) -> bool {
        matches!(self, Outcome::Open | Outcome::ConnectionEnded)
    }
}

/// One try of a request.
#[derive(Clone, Debug)]
pub struct Try {
    pub reference: String,
    pub body: Vec<u8>,
    pub sent_ms: u64,
    pub outcome: Outcome,
}

/// A request to send.
#[derive(Clone)]
pub struct Request {
    pub class: String,
    pub body: Vec<u8>,
    pub key: Option<String>,
    pub allow_ms: u64,
}

/// All tries, by their number.
pub struct Tries {
    pub platform: Arc<Platform>,
    record: Arc<Record>,
    list: Mutex<Vec<Try>>,
    references: AtomicU64,
}

impl Tries {
    pub fn new(platform: &Arc<Platform>) -> Arc<Tries> {
        Arc::new(Tries {
            platform: platform.clone(),
            record: platform.record.clone(),
            list: Mutex::default(),
            references: AtomicU64::new(unix_ms() << 20),
        })
    }

    pub fn all(&self) -> Vec<Try> {
        self.list.lock().unwrap().clone()
    }

    /// How many tries ended in each way, as text.
    pub fn summary(&self) -> String {
        let all = self.all();
        let count =
            |wanted: fn(&Outcome) -> bool| all.iter().filter(|t| wanted(&t.outcome)).count();
        format!(
            "requests {}: served {}, refused {}, failed {}, no connection {}, crossed a close {}, \
             without an answer {}",
            all.len(),
            count(|o| matches!(o, Outcome::Served(_))),
            count(|o| matches!(o, Outcome::Refused)),
            count(|o| matches!(o, Outcome::Failed(_))),
            count(|o| matches!(o, Outcome::NoConnection)),
            count(|o| matches!(o, Outcome::Crossed)),
            count(Outcome::is_missing),
        )
    }

    fn add(&self, request: &Request) -> (usize, String) {
        let reference = format!("{:016x}", self.references.fetch_add(1, Ordering::Relaxed));
        self.platform.add_request(&reference, &request.class, &request.body);
        let mut list = self.list.lock().unwrap();
        list.push(Try {
            reference: reference.clone(),
            body: request.body.clone(),
            sent_ms: self.record.ms(),
            outcome: Outcome::Open,
        });
        (list.len() - 1, reference)
    }

    fn end(&self, number: usize, outcome: Outcome) {
        let mut list = self.list.lock().unwrap();
        let entry = &mut list[number];
        if entry.outcome == Outcome::Open {
            self.platform.end_request(&entry.reference);
            entry.outcome = outcome;
            let text = match &entry.outcome {
                Outcome::Served(result) => {
                    format!("served \"{}\"", String::from_utf8_lossy(result))
                }
                other => format!("{other:?}"),
            };
            self.record.line(&format!("gateway: {} {text}", entry.reference));
        } else {
            self.record.line(&format!("gateway: {} answered twice", entry.reference));
            let text = format!("{} answered twice", entry.reference);
            self.platform.violations.lock().unwrap().push(text);
        }
    }
}

struct Connection {
    stream: TcpStream,
    /// Tries without an answer, by their id on the connection, with the time of the writing.
    open: Mutex<HashMap<u64, (usize, u64)>>,
    last_id: AtomicU64,
    /// `goaway` was read, or the connection has ended.
    is_closing: AtomicBool,
    goaway_ms: AtomicU64,
}

/// A gateway with one connection at a time.
pub struct Gateway {
    number: u64,
    address: SocketAddr,
    tries: Arc<Tries>,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl Gateway {
    pub fn new(number: u64, address: SocketAddr, tries: &Arc<Tries>) -> Arc<Gateway> {
        Arc::new(Gateway { number, address, tries: tries.clone(), connection: Mutex::default() })
    }

    fn connect(self: &Arc<Gateway>) -> Option<Arc<Connection>> {
        let mut current = self.connection.lock().unwrap();
        let usable = current
            .as_ref()
            .filter(|c| !c.is_closing.load(Ordering::SeqCst) && c.open.lock().unwrap().len() < 32);
        if let Some(connection) = usable {
            return Some(connection.clone());
        }
        let stream = TcpStream::connect(self.address).ok()?;
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection {
            stream,
            open: Mutex::default(),
            last_id: AtomicU64::new(0),
            is_closing: AtomicBool::new(false),
            goaway_ms: AtomicU64::new(u64::MAX),
        });
        let (gateway, reading) = (self.clone(), connection.clone());
        std::thread::spawn(move || gateway.read(&reading));
        *current = Some(connection.clone());
        Some(connection)
    }

    /// Sends a request.
    pub fn send(self: &Arc<Gateway>, request: &Request) {
        let (number, reference) = self.tries.add(request);
        let Some(connection) = self.connect() else {
            return self.tries.end(number, Outcome::NoConnection);
        };
        let id = connection.last_id.fetch_add(1, Ordering::SeqCst) + 1;
        let key = request.key.as_ref().map(|key| format!(r#","replay":"{key}""#));
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"ref\":\"{reference}\",\"since\":{},\
             \"sender\":{},\"allow\":{},\"effort\":40.0,\"room\":24.5,\"class_rank\":0.6250{},\"doc\":\"{}\"}}}}\n",
            request.class,
            unix_ms(),
            self.number,
            request.allow_ms,
            key.unwrap_or_default(),
            base64(&request.body)
        );
        let text = String::from_utf8_lossy(&request.body).into_owned();
        self.tries.record.line(&format!(
            "gateway: {reference} {} \"{text}\" key={} allow={}",
            request.class,
            request.key.as_deref().unwrap_or("-"),
            request.allow_ms
        ));
        let sent_ms = self.tries.record.ms();
        connection.open.lock().unwrap().insert(id, (number, sent_ms));
        let _ = (&connection.stream).write_all(line.as_bytes());
        if connection.is_closing.load(Ordering::SeqCst) {
            self.end_if_closed(&connection);
        }
    }

    fn read(self: Arc<Gateway>, connection: &Connection) {
        let mut lines = BufReader::new(&connection.stream);
        loop {
            let mut line = String::new();
            if !matches!(lines.read_line(&mut line), Ok(length) if length > 0) {
                break;
            }
            let Some(message) = Json::parse(line.trim_end()) else {
                self.tries.record.line(&format!("gateway: cannot read {line}"));
                continue;
            };
            if message.get("method").and_then(Json::text) == Some("goaway") {
                connection.goaway_ms.store(self.tries.record.ms(), Ordering::SeqCst);
                connection.is_closing.store(true, Ordering::SeqCst);
            } else if let Some(id) = message.get("id").and_then(Json::number) {
                let entry = connection.open.lock().unwrap().remove(&(id as u64));
                if let Some((number, _)) = entry {
                    self.tries.end(number, outcome(&message));
                }
            }
            let is_done = connection.open.lock().unwrap().is_empty();
            if connection.is_closing.load(Ordering::SeqCst) && is_done {
                let _ = connection.stream.shutdown(Shutdown::Write);
            }
        }
        connection.is_closing.store(true, Ordering::SeqCst);
        self.end_if_closed(connection);
    }

    /// Ends the tries of a connection that has ended. A request crosses the close if it was written
    /// at most 50 ms before the end or before `goaway`.
    fn end_if_closed(&self, connection: &Connection) {
        let mut byte = [0];
        if !matches!(connection.stream.peek(&mut byte), Ok(0) | Err(_)) {
            return;
        }
        let goaway_ms = connection.goaway_ms.load(Ordering::SeqCst);
        let ended_ms = self.tries.record.ms();
        for (_, (number, sent_ms)) in connection.open.lock().unwrap().drain() {
            let crosses = sent_ms + CROSSING_MS >= ended_ms.min(goaway_ms);
            let outcome = if crosses { Outcome::Crossed } else { Outcome::ConnectionEnded };
            self.tries.end(number, outcome);
        }
    }
}

fn outcome(message: &Json) -> Outcome {
    let doc = message.get("result").and_then(|r| r.get("doc")).and_then(Json::text);
    let code = message.get("error").and_then(|e| e.get("code")).and_then(Json::number);
    match (doc.and_then(from_base64), code) {
        (Some(result), None) => Outcome::Served(result),
        (None, Some(-32000.0)) => Outcome::Refused,
        (_, Some(code)) => Outcome::Failed(code as i64),
        (None, None) => Outcome::Failed(0),
    }
}
