//! The platform's side: the processor with its addresses, the ledger, and what both know of the
//! requests that were sent.

use crate::util::{sleep_ms, Random, Record};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that a gateway has sent.
#[derive(Clone)]
pub struct Known {
    pub class: String,
    pub body: Vec<u8>,
    /// It was answered or given up.
    pub is_over: bool,
}

/// A call at the ledger: its request, its body and the reply to it.
#[derive(Clone)]
pub struct Call {
    pub reference: String,
    pub body: Vec<u8>,
    pub reply: Vec<u8>,
}

/// What the stand-ins of the platform share.
pub struct Platform {
    pub record: Arc<Record>,
    pub random: Random,
    pub requests: Mutex<HashMap<String, Known>>,
    pub calls: Mutex<Vec<Call>>,
    /// Rules that a command to the processor broke.
    pub violations: Mutex<Vec<String>>,
}

impl Platform {
    pub fn new(record: Arc<Record>) -> Arc<Platform> {
        Arc::new(Platform {
            record,
            random: Random::new(1),
            requests: Mutex::default(),
            calls: Mutex::default(),
            violations: Mutex::default(),
        })
    }

    pub fn add_request(&self, reference: &str, class: &str, body: &[u8]) {
        let known = Known { class: class.into(), body: body.into(), is_over: false };
        self.requests.lock().unwrap().insert(reference.into(), known);
    }

    pub fn end_request(&self, reference: &str) {
        if let Some(known) = self.requests.lock().unwrap().get_mut(reference) {
            known.is_over = true;
        }
    }

    fn is_over(&self, reference: &str) -> bool {
        let requests = self.requests.lock().unwrap();
        requests.get(reference).is_none_or(|known| known.is_over)
    }

    fn violation(&self, text: String) {
        self.record.line(&format!("RULE BROKEN: {text}"));
        self.violations.lock().unwrap().push(text);
    }
}

/// The work of a run in milliseconds, with a call between each two parts. It stands in the body:
/// `work=30,30 ...`.
fn plan(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let work = text.split(' ').find_map(|word| word.strip_prefix("work="));
    let parts = work.unwrap_or("20").split(',');
    parts.filter_map(|part| part.parse().ok()).collect()
}

/// How the processor treats its links.
#[derive(Clone, Copy, Default)]
pub struct LinkOptions {
    /// Notices are written in pieces, with a pause of this range in milliseconds between two.
    pub piece_pause_ms: Option<(u64, u64)>,
    /// The processor comes up only when [`Endpoint::come_up`] is called.
    pub is_down_at_first: bool,
    /// The processor is cold: it answers `hello` with `starting`.
    pub is_cold: bool,
}

struct RunState {
    reply: Sender<Vec<u8>>,
    /// The body of the call that the run waits for.
    waiting: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    notices: Vec<Vec<u8>>,
    runs: HashMap<String, RunState>,
    ended: HashSet<String>,
    /// The current link, with its number.
    link: Option<(u64, Sender<Vec<u8>>, TcpStream)>,
    links: u64,
}

/// One address of the processor, with notices of its own.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    platform: Arc<Platform>,
    options: LinkOptions,
    up_since: Arc<Mutex<Option<Instant>>>,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    pub fn start(platform: &Arc<Platform>, name: &str, options: LinkOptions) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = Endpoint {
            name: name.into(),
            address: listener.local_addr().expect("a bound address"),
            platform: platform.clone(),
            options,
            up_since: Arc::new(Mutex::new((!options.is_down_at_first).then(Instant::now))),
            state: Arc::default(),
        };
        let accepting = endpoint.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let endpoint = accepting.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    /// The processor comes up; `hi` was held back until now.
    pub fn come_up(&self) {
        self.platform.record.line(&format!("{}: comes up", self.name));
        *self.up_since.lock().unwrap() = Some(Instant::now());
    }

    /// Breaks the current link. Returns whether there was one.
    pub fn break_link(&self) -> bool {
        let link = self.state.lock().unwrap().link.take();
        if let Some((number, _, stream)) = &link {
            self.platform.record.line(&format!("{}: link {number} breaks", self.name));
            let _ = stream.shutdown(Shutdown::Both);
        }
        link.is_some()
    }

    /// Executes the commands of a connection, one after another.
    fn serve(self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut is_linked = false;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_owned();
            let fields: Vec<&str> = line.split(' ').collect();
            if let ["hello", last] = fields[..] {
                while self.up_since.lock().unwrap().is_none() {
                    sleep_ms(5);
                }
                self.open_link(&stream, last.parse().ok()?)?;
                is_linked = true;
                continue;
            }
            let body = match fields[..] {
                ["begin", _, _, length] | ["answer", _, length] => {
                    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                    reader.read_exact(&mut body).ok()?;
                    body.truncate(body.len() - 2);
                    body
                }
                ["usage", _] => Vec::new(),
                _ => return None,
            };
            if !is_linked {
                return None;
            }
            self.execute(&line, body);
        }
    }

    /// Makes this connection the current link, and sends `hi` and the notices after `last`.
    fn open_link(&self, stream: &TcpStream, last: usize) -> Option<()> {
        let mut state = self.state.lock().unwrap();
        if let Some((_, _, old)) = state.link.take() {
            let _ = old.shutdown(Shutdown::Both);
        }
        state.links += 1;
        let number = state.links;
        let (sender, frames) = channel();
        let up = self.up_since.lock().unwrap().map_or(0, |since| since.elapsed().as_millis());
        let hi = if self.options.is_cold {
            format!("hi starting {up}\r\n")
        } else {
            format!("hi running {}\r\n", 60_000 + up)
        };
        let _ = sender.send(hi.into_bytes());
        for notice in state.notices.iter().skip(last) {
            let _ = sender.send(notice.clone());
        }
        state.link = Some((number, sender, stream.try_clone().ok()?));
        self.platform.record.line(&format!("{}: link {number}, hello {last}", self.name));
        let (writing, stream) = (self.clone(), stream.try_clone().ok()?);
        std::thread::spawn(move || writing.write_frames(stream, &frames));
        Some(())
    }

    fn write_frames(&self, mut stream: TcpStream, frames: &Receiver<Vec<u8>>) -> Option<()> {
        loop {
            let mut bytes = frames.recv().ok()?;
            while let Ok(more) = frames.try_recv() {
                bytes.extend(more);
            }
            if let Some((low, high)) = self.options.piece_pause_ms {
                let cut = self.platform.random.range(1, bytes.len() as u64) as usize;
                stream.write_all(&bytes[..cut]).ok()?;
                sleep_ms(self.platform.random.range(low, high));
                bytes.drain(..cut);
            }
            stream.write_all(&bytes).ok()?;
        }
    }

    fn execute(&self, line: &str, body: Vec<u8>) {
        let fields: Vec<&str> = line.split(' ').collect();
        match fields[..] {
            ["usage", tag] => {
                let state = self.state.lock().unwrap();
                let on_cores = state.runs.values().filter(|run| run.waiting.is_none()).count();
                let core_use = (on_cores as f64 / 6.0).min(1.0);
                let used = format!("used {tag} {core_use:.2} {on_cores} 0.10 8\r\n");
                if let Some((_, link, _)) = &state.link {
                    let _ = link.send(used.into_bytes());
                }
            }
            ["begin", reference, class, _] => self.begin(reference, class, body),
            ["answer", reference, _] => self.pass_reply(reference, body),
            _ => {}
        }
    }

    fn begin(&self, reference: &str, class: &str, body: Vec<u8>) {
        let known = self.platform.requests.lock().unwrap().get(reference).cloned();
        let Some(known) = known.filter(|known| known.class == class && known.body == body) else {
            self.platform.violation(format!("begin {reference} {class}: not as it was sent"));
            return self.unnumbered(&format!("reject begin {reference}\r\n"));
        };
        let mut state = self.state.lock().unwrap();
        if state.runs.contains_key(reference) || state.ended.contains(reference) {
            return;
        }
        if known.is_over {
            state.ended.insert(reference.into());
            return self.notice(&mut state, &format!("{reference} late 0 0"), "complete", b"");
        }
        let (reply, replies) = channel();
        state.runs.insert(reference.into(), RunState { reply, waiting: None });
        drop(state);
        let text = String::from_utf8_lossy(&body).into_owned();
        self.platform.record.line(&format!("{}: run {reference} {class} \"{text}\"", self.name));
        let (endpoint, reference) = (self.clone(), reference.to_owned());
        std::thread::spawn(move || endpoint.run(&reference, &body, &replies));
    }

    fn run(&self, reference: &str, body: &[u8], replies: &Receiver<Vec<u8>>) {
        let start = Instant::now();
        let parts = plan(body);
        let mut result = [b"result of ", body].concat();
        for (index, part) in parts.iter().enumerate() {
            sleep_ms(*part);
            if index + 1 == parts.len() {
                break;
            }
            if self.platform.is_over(reference) {
                return self.complete(reference, "broken_off", start, b"");
            }
            let call = format!("call {} of {reference}", index + 1).into_bytes();
            {
                let mut state = self.state.lock().unwrap();
                if let Some(run) = state.runs.get_mut(reference) {
                    run.waiting = Some(call.clone());
                }
                let head = format!("{reference} {}", call.len());
                self.notice(&mut state, &head, "ask", &call);
            }
            // The end of the request ends the run at its call.
            let reply = loop {
                match replies.recv_timeout(Duration::from_millis(20)) {
                    Ok(reply) => break reply,
                    Err(_) if self.platform.is_over(reference) => {
                        return self.complete(reference, "broken_off", start, b"");
                    }
                    Err(_) => {}
                }
            };
            self.check_reply(reference, &call, &reply);
            result.extend_from_slice(b" + ");
            result.extend_from_slice(&reply);
        }
        self.complete(reference, "fine", start, &result);
    }

    /// The reply has to be one that the ledger gave to this call.
    fn check_reply(&self, reference: &str, call: &[u8], reply: &[u8]) {
        let calls = self.platform.calls.lock().unwrap();
        let is_right =
            calls.iter().any(|c| c.reference == reference && c.body == call && c.reply == reply);
        drop(calls);
        if !is_right {
            let (call, reply) = (String::from_utf8_lossy(call), String::from_utf8_lossy(reply));
            self.platform.violation(format!(
                "{}: run {reference} waited for the reply to \"{call}\" and was given \"{reply}\"",
                self.name
            ));
        }
    }

    fn pass_reply(&self, reference: &str, reply: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let text = String::from_utf8_lossy(&reply).into_owned();
        let run = state.runs.get_mut(reference);
        if let Some(run) = run.filter(|run| run.waiting.is_some()) {
            run.waiting = None;
            self.platform.record.line(&format!("{}: answer {reference} \"{text}\"", self.name));
            let _ = run.reply.send(reply);
            return;
        }
        drop(state);
        self.platform.record.line(&format!(
            "{}: answer {reference} \"{text}\": rejected, no call waits",
            self.name
        ));
        self.unnumbered(&format!("reject answer {reference}\r\n"));
    }

    fn complete(&self, reference: &str, end: &str, start: Instant, result: &[u8]) {
        let ms = start.elapsed().as_millis();
        let mut state = self.state.lock().unwrap();
        state.runs.remove(reference);
        state.ended.insert(reference.into());
        let head = format!("{reference} {end} {ms} {}", result.len());
        self.notice(&mut state, &head, "complete", result);
    }

    /// Writes and keeps a numbered notice.
    fn notice(&self, state: &mut State, rest: &str, word: &str, body: &[u8]) {
        let number = state.notices.len() + 1;
        let head = format!("{word} {number} {rest}\r\n");
        let notice = [head.as_bytes(), body, b"\r\n"].concat();
        state.notices.push(notice.clone());
        if let Some((_, link, _)) = &state.link {
            let _ = link.send(notice);
        }
    }

    fn unnumbered(&self, text: &str) {
        if let Some((_, link, _)) = &self.state.lock().unwrap().link {
            let _ = link.send(text.as_bytes().to_vec());
        }
    }
}

/// Starts a ledger that answers each call after `delay_ms`, and returns its address.
pub fn start_ledger(platform: &Arc<Platform>, delay_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let platform = platform.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let platform = platform.clone();
            std::thread::spawn(move || serve_calls(stream, &platform, delay_ms));
        }
    });
    address
}

fn serve_calls(mut stream: TcpStream, platform: &Platform, delay_ms: u64) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        let ["post", reference, _, length] = fields[..] else {
            continue;
        };
        let mut body = vec![0; length.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut body).ok()?;
        body.truncate(body.len() - 2);
        let reply = [b"reply to ", &body[..]].concat();
        let text = String::from_utf8_lossy(&body).into_owned();
        platform.record.line(&format!("ledger: post {reference} \"{text}\""));
        let call = Call { reference: reference.into(), body, reply: reply.clone() };
        platform.calls.lock().unwrap().push(call);
        sleep_ms(delay_ms);
        let head = format!("{reference} posted {}\r\n", reply.len());
        stream.write_all(&[head.as_bytes(), &reply, b"\r\n"].concat()).ok()?;
    }
}
