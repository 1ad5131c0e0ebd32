//! A processor: runs each request for a fixed time and returns a result that names the run.

use crate::record::Record;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    /// The bodies of all runs that were started, in order.
    runs: Vec<Vec<u8>>,
    /// The references of the runs that have not ended.
    running: HashSet<String>,
    /// All numbered notices, in order.
    notices: Vec<Vec<u8>>,
    /// The present link to the node.
    link: Option<TcpStream>,
    is_killed: bool,
}

/// A processor on a loopback address of its own.
#[derive(Clone)]
pub struct Processor {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    run_time: Duration,
    record: Record,
}

impl Processor {
    /// Starts a processor whose runs take `run_time`.
    pub fn start(name: &str, run_time: Duration, record: &Record) -> std::io::Result<Processor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let processor = Processor {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: Arc::default(),
            run_time,
            record: record.clone(),
        };
        let accepting = processor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let processor = accepting.clone();
                thread::spawn(move || processor.serve(stream));
            }
        });
        Ok(processor)
    }

    /// The number of runs that were started with this body.
    pub fn runs_of(&self, body: &[u8]) -> usize {
        let state = self.state.lock().unwrap();
        state.runs.iter().filter(|run| *run == body).count()
    }

    /// Ends the processor as if it were killed: its link breaks, and it serves no other one.
    pub fn kill(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_killed = true;
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        self.record.line(format!("{}: killed", self.name));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if self.state.lock().unwrap().is_killed {
            return;
        }
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["hello", number] => self.greet(&stream, number.parse().unwrap_or(0)),
                ["begin", reference, class, length] => {
                    let Some(body) = read_body(&mut reader, length) else {
                        return;
                    };
                    self.begin(reference, class, body);
                }
                ["usage", tag] => {
                    let running = self.state.lock().unwrap().running.len() as f64;
                    let reply = format!(
                        "used {tag} {:.2} {running} 0.10 4\r\n",
                        (running / 6.0).min(1.0)
                    );
                    let _ = (&stream).write_all(reply.as_bytes());
                }
                _ => return,
            }
        }
    }

    fn greet(&self, stream: &TcpStream, last: usize) {
        let mut state = self.state.lock().unwrap();
        let mut bytes = b"hi running 100000\r\n".to_vec();
        for notice in state.notices.iter().skip(last) {
            bytes.extend_from_slice(notice);
        }
        let mut writing = stream;
        let _ = writing.write_all(&bytes);
        state.link = stream.try_clone().ok();
    }

    fn begin(&self, reference: &str, class: &str, body: Vec<u8>) {
        let result = {
            let mut state = self.state.lock().unwrap();
            if !state.running.insert(reference.to_owned()) {
                return;
            }
            let number = state.runs.len() + 1;
            state.runs.push(body.clone());
            format!("result of run {number} at {} for {reference}", self.name).into_bytes()
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        self.record.line(format!(
            "{}: run started ref={reference} class={class} body={body:?}",
            self.name
        ));
        let (processor, reference) = (self.clone(), reference.to_owned());
        thread::spawn(move || {
            thread::sleep(processor.run_time);
            processor.complete(&reference, &result);
        });
    }

    fn complete(&self, reference: &str, result: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.running.remove(reference);
        let number = state.notices.len() + 1;
        let (ms, length) = (self.run_time.as_millis(), result.len());
        let mut notice =
            format!("complete {number} {reference} fine {ms} {length}\r\n").into_bytes();
        notice.extend_from_slice(result);
        notice.extend_from_slice(b"\r\n");
        if let Some(mut link) = state.link.as_ref() {
            let _ = link.write_all(&notice);
        }
        state.notices.push(notice);
        self.record
            .line(format!("{}: run ended ref={reference}", self.name));
    }
}

fn read_body(reader: &mut impl Read, length: &str) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length.parse::<usize>().ok()? + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(bytes.len() - 2);
    Some(bytes)
}
