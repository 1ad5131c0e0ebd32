//! Stand-ins that are fast enough to measure a node, and write the same bytes in the same pieces in
//! each run.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The longest time that any wait takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Starts a processor that answers all commands of a read in one write. Each run has a result of
/// `result` bytes; with `None` no run ends.
pub fn processor(result: Option<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let _ = serve(stream, result);
        }
    });
    at
}

fn serve(mut stream: TcpStream, result: Option<usize>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut input, mut out) = (Vec::new(), Vec::new());
    let (mut chunk, mut notices) = (vec![0; 1 << 16], 0);
    let body = vec![b'r'; result.unwrap_or(0)];
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        input.extend_from_slice(&chunk[..n]);
        let mut used = 0;
        while let Some(end) = input[used..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|at| used + at)
        {
            let line = std::str::from_utf8(&input[used..end - 1])
                .expect("words")
                .to_owned();
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "hello" => out.extend_from_slice(b"hi running 60000\r\n"),
                "usage" => write!(out, "used {} 0.5 1 0.1 2\r\n", words[1])?,
                "begin" => {
                    let length: usize = words[3].parse().expect("a length");
                    if input.len() < end + 1 + length + 2 {
                        break;
                    }
                    used = end + 1 + length + 2;
                    if let Some(length) = result {
                        notices += 1;
                        write!(out, "complete {notices} {} fine 1.5 {length}\r\n", words[1])?;
                        out.extend_from_slice(&body);
                        out.extend_from_slice(b"\r\n");
                    }
                    continue;
                }
                word => panic!("a command {word}"),
            }
            used = end + 1;
        }
        input.drain(..used);
        stream.write_all(&out)?;
        out.clear();
    }
}

/// A gateway that has its requests written for it.
pub struct Gateway {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    number: u64,
    name: u64,
}

impl Gateway {
    /// The gateway of this number.
    pub fn new(node: SocketAddr, number: u64) -> Gateway {
        let stream = TcpStream::connect(node).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let lines = BufReader::with_capacity(1 << 16, stream.try_clone().unwrap());
        Gateway {
            stream,
            lines,
            number: 0,
            name: number << 40,
        }
    }

    /// Appends a request of this class, with a key if there is one, and a body in base64.
    pub fn request(&mut self, out: &mut Vec<u8>, class: &str, key: Option<&str>, doc: &str) -> u64 {
        self.number += 1;
        self.name += 1;
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let key = key.map_or(String::new(), |k| format!(",\"replay\":\"{k}\""));
        writeln!(
            out,
            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"{class}\",\"params\":{{\"ref\":\"{:016x}\",\
             \"since\":{since},\"sender\":4,\"allow\":5000,\"effort\":12.50,\"room\":0.5,\
             \"class_rank\":0.6250{key},\"doc\":\"{doc}\"}}}}",
            self.number, self.name
        )
        .unwrap();
        self.number
    }

    /// Says these bytes in one write.
    pub fn say(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The next line.
    pub fn line(&mut self, line: &mut String) {
        line.clear();
        assert!(
            self.lines.read_line(line).expect("an answer") > 0,
            "the node has closed"
        );
    }

    /// Both halves, for two threads.
    pub fn split(&self) -> (TcpStream, BufReader<TcpStream>) {
        let reader = BufReader::with_capacity(1 << 16, self.stream.try_clone().unwrap());
        (self.stream.try_clone().unwrap(), reader)
    }
}

/// The number of the request that a line answers, and whether it was served.
pub fn answered(line: &str) -> (u64, bool) {
    let id = line.split("\"id\":").nth(1).expect("an id");
    let digits = id.find(|c: char| !c.is_ascii_digit()).expect("more");
    (
        id[..digits].parse().expect("a number"),
        line.contains("\"result\""),
    )
}
