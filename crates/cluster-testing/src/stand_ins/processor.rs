//! A processor that ends each run successfully with the body as its result.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Bytes of the line end behind a body.
const LINE_END_BYTES: usize = 2;

/// A processor that records what it runs. It ends with the test's process.
pub struct Processor {
    /// The address that nodes connect to.
    pub address: SocketAddr,
    /// How often each body was run.
    run_counts: Arc<Mutex<BTreeMap<Vec<u8>, usize>>>,
}

impl Processor {
    /// Starts a processor.
    pub fn start() -> Processor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let run_counts: Arc<Mutex<BTreeMap<Vec<u8>, usize>>> = Arc::default();
        let shared = run_counts.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let run_counts = shared.clone();
                std::thread::spawn(move || serve(stream, &run_counts));
            }
        });
        Processor {
            address,
            run_counts,
        }
    }

    /// The number of runs that were started, of all bodies.
    pub fn started_run_count(&self) -> usize {
        self.run_counts().values().sum()
    }

    /// How often each body was run.
    pub fn run_counts(&self) -> BTreeMap<Vec<u8>, usize> {
        self.run_counts.lock().expect("no holder panics").clone()
    }
}

/// Serves a node's connection. Returns `None` when it ends or violates the protocol.
fn serve(mut stream: TcpStream, run_counts: &Mutex<BTreeMap<Vec<u8>, usize>>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut last_notice = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        match fields[..] {
            ["hello", _] => stream.write_all(b"hi running 60000\r\n").ok()?,
            ["usage", tag] => {
                let usage = format!("used {tag} 0.5 1 0.1 2\r\n");
                stream.write_all(usage.as_bytes()).ok()?;
            }
            ["begin", id, _, length] => {
                let body = read_body(&mut reader, length.parse().ok()?)?;
                *run_counts
                    .lock()
                    .expect("no holder panics")
                    .entry(body.clone())
                    .or_default() += 1;
                last_notice += 1;
                let head = format!("complete {last_notice} {id} fine 3.5 {}\r\n", body.len());
                let notice = [head.as_bytes(), &body, b"\r\n"].concat();
                stream.write_all(&notice).ok()?;
            }
            _ => return None,
        }
    }
}

fn read_body(reader: &mut impl Read, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length + LINE_END_BYTES];
    reader.read_exact(&mut body).ok()?;
    body.truncate(length);
    Some(body)
}
