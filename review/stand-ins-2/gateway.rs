//! A gateway: connections with several requests open, and their answers.

use crate::record::Record;
use crate::wire::{base64, decode_base64, field};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The final answer to a request, as its gateway saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with this result.
    Served(Vec<u8>),
    /// Refused: this try never ran.
    Refused,
    /// Failed, with this error code.
    Failed(String),
}

#[derive(Default)]
struct State {
    answers: HashMap<u64, Vec<Answer>>,
    healthy: HashMap<u64, bool>,
    is_closed: bool,
}

/// A request to send.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    pub class: &'a str,
    pub body: &'a [u8],
    /// How long the gateway waits, in milliseconds.
    pub allow_ms: u64,
    /// The key, in keyed classes.
    pub key: Option<&'a str>,
    pub is_retry: bool,
}

/// One connection of a gateway.
pub struct Connection {
    name: String,
    stream: TcpStream,
    state: Arc<(Mutex<State>, Condvar)>,
    last_id: u64,
    record: Record,
}

/// A new reference, unique within the process.
pub fn new_reference() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    0x9b1f_0000_0000_0000 + LAST.fetch_add(1, Ordering::Relaxed) + 1
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

impl Connection {
    /// Opens a connection.
    pub fn open(name: &str, address: SocketAddr, record: &Record) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let connection = Connection {
            name: name.to_owned(),
            stream: stream.try_clone()?,
            state: state.clone(),
            last_id: 0,
            record: record.clone(),
        };
        let (name, record) = (name.to_owned(), record.clone());
        thread::spawn(move || read_answers(&name, stream, &state, &record));
        Ok(connection)
    }

    /// Sends a request and returns its id.
    pub fn send(&mut self, request: Request) -> u64 {
        self.last_id += 1;
        let (id, reference) = (self.last_id, new_reference());
        let Request {
            class,
            body,
            allow_ms,
            key,
            is_retry,
        } = request;
        let mut params = format!(
            "\"ref\":\"{reference:016x}\",\"since\":{},\"sender\":1,\"allow\":{allow_ms},\"room\":24.5,\"class_rank\":0.9,\"doc\":\"{}\"",
            unix_ms(),
            base64(body)
        );
        if is_retry {
            params.push_str(",\"dup\":1");
        }
        if let Some(key) = key {
            params.push_str(&format!(",\"replay\":\"{key}\""));
        }
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{{params}}}}}\n"
        );
        let written = self.stream.write_all(line.as_bytes()).is_ok();
        let key = key.unwrap_or("-");
        self.record.line(format!(
            "{}: request sent id={id} ref={reference:016x} class={class} key={key} dup={} written={written}",
            self.name,
            u8::from(is_retry)
        ));
        id
    }

    /// Sends a health check and returns whether the answer is good; none without an answer.
    pub fn health(&mut self, timeout: Duration) -> Option<bool> {
        self.last_id += 1;
        let id = self.last_id;
        let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n");
        self.stream.write_all(line.as_bytes()).ok()?;
        self.wait(timeout, |state| state.healthy.get(&id).copied())
    }

    /// The first answer to a request, awaited for at most `timeout`; none if none arrives or the
    /// connection ends before.
    pub fn answer(&self, id: u64, timeout: Duration) -> Option<Answer> {
        self.wait(timeout, |state| {
            state.answers.get(&id).map(|answers| answers[0].clone())
        })
    }

    fn wait<T>(&self, timeout: Duration, get: impl Fn(&State) -> Option<T>) -> Option<T> {
        let deadline = Instant::now() + timeout;
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        loop {
            if let Some(value) = get(&state) {
                return Some(value);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || state.is_closed {
                return None;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn read_answers(name: &str, stream: TcpStream, shared: &(Mutex<State>, Condvar), record: &Record) {
    let mut lines = BufReader::new(stream);
    loop {
        let mut line = String::new();
        let length = lines.read_line(&mut line).unwrap_or(0);
        let mut state = shared.0.lock().unwrap();
        if length == 0 {
            state.is_closed = true;
            record.line(format!("{name}: connection ended"));
            shared.1.notify_all();
            return;
        }
        if field(&line, "method") == Some("goaway") {
            record.line(format!("{name}: goaway"));
        } else if let Some(id) = field(&line, "id").and_then(|id| id.parse().ok()) {
            if let Some(healthy) = field(&line, "healthy") {
                state.healthy.insert(id, healthy == "true");
            } else {
                let answer = parse_answer(&line);
                let shown = match &answer {
                    Answer::Served(result) => {
                        format!("served {:?}", String::from_utf8_lossy(result))
                    }
                    other => format!("{other:?}"),
                };
                record.line(format!("{name}: answer id={id} {shown}"));
                state.answers.entry(id).or_default().push(answer);
            }
        } else {
            record.line(format!("{name}: message without id {:?}", line.trim_end()));
        }
        shared.1.notify_all();
    }
}

fn parse_answer(line: &str) -> Answer {
    if let (true, Some(doc)) = (line.contains("\"result\":"), field(line, "doc")) {
        return Answer::Served(decode_base64(doc).unwrap_or_default());
    }
    match field(line, "code") {
        Some("-32000") => Answer::Refused,
        code => Answer::Failed(code.unwrap_or("none").to_owned()),
    }
}
