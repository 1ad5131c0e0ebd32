//! Stand-ins with little overhead of their own, for measurements of a node. Their writes have the
//! same contents and boundaries in each run.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Upper limit of every wait.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a processor and returns its address. The commands that one read from the connection
/// returns are answered in one write. Each run completes with a result of `result_size` bytes; with
/// `None` no run completes.
pub fn start_processor(result_size: Option<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let _ = serve(stream, result_size);
        }
    });
    address
}

fn serve(mut stream: TcpStream, result_size: Option<usize>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut input, mut out) = (Vec::new(), Vec::new());
    let (mut chunk, mut notices) = (vec![0; 1 << 16], 0);
    let body = vec![b'r'; result_size.unwrap_or(0)];
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        input.extend_from_slice(&chunk[..n]);
        let mut consumed = 0;
        while let Some(end) = input[consumed..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|offset| consumed + offset)
        {
            let line = std::str::from_utf8(&input[consumed..end - 1])
                .expect("a command in UTF-8")
                .to_owned();
            let fields: Vec<&str> = line.split(' ').collect();
            match fields[0] {
                "hello" => out.extend_from_slice(b"hi running 60000\r\n"),
                "usage" => write!(out, "used {} 0.5 1 0.1 2\r\n", fields[1])?,
                "begin" => {
                    let length: usize = fields[3]
                        .parse()
                        .expect("begin ends with the length of its body");
                    if input.len() < end + 1 + length + 2 {
                        break;
                    }
                    consumed = end + 1 + length + 2;
                    if let Some(length) = result_size {
                        notices += 1;
                        write!(
                            out,
                            "complete {notices} {} fine 1.5 {length}\r\n",
                            fields[1]
                        )?;
                        out.extend_from_slice(&body);
                        out.extend_from_slice(b"\r\n");
                    }
                    continue;
                }
                command => panic!("unexpected command {command}"),
            }
            consumed = end + 1;
        }
        input.drain(..consumed);
        stream.write_all(&out)?;
        out.clear();
    }
}

/// A gateway connection. Requests are appended to a buffer, which can be sent in one write.
pub struct Gateway {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    last_id: u64,
    last_reference: u64,
}

impl Gateway {
    /// Connects to a node. Gateways with different numbers use different request references.
    pub fn new(node: SocketAddr, number: u64) -> Gateway {
        let stream = TcpStream::connect(node).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let lines = BufReader::with_capacity(1 << 16, stream.try_clone().unwrap());
        Gateway {
            stream,
            lines,
            last_id: 0,
            last_reference: number << 40,
        }
    }

    /// Appends a request of this class to `out`, with an idempotency key if one is given and a body
    /// in base64. Returns its id.
    pub fn append_request(
        &mut self,
        out: &mut Vec<u8>,
        class: &str,
        key: Option<&str>,
        doc: &str,
    ) -> u64 {
        self.last_id += 1;
        self.last_reference += 1;
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let key = key.map_or(String::new(), |k| format!(",\"replay\":\"{k}\""));
        writeln!(
            out,
            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"{class}\",\"params\":{{\
             \"ref\":\"{:016x}\",\"since\":{since},\"sender\":4,\"allow\":5000,\
             \"effort\":12.50,\"room\":0.5,\"class_rank\":0.6250{key},\"doc\":\"{doc}\"}}}}",
            self.last_id, self.last_reference
        )
        .unwrap();
        self.last_id
    }

    /// Sends these bytes in one write.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Replaces `line` by the next line that the node sends.
    pub fn read_line(&mut self, line: &mut String) {
        line.clear();
        assert!(
            self.lines.read_line(line).expect("a response line") > 0,
            "the node closed the connection"
        );
    }

    /// The connection's writing and reading halves, for two threads.
    pub fn split(&self) -> (TcpStream, BufReader<TcpStream>) {
        let reader = BufReader::with_capacity(1 << 16, self.stream.try_clone().unwrap());
        (self.stream.try_clone().unwrap(), reader)
    }
}

/// The id of the request that a line answers, and whether the request was served.
pub fn parse_response(line: &str) -> (u64, bool) {
    let id = line
        .split("\"id\":")
        .nth(1)
        .expect("the response has an id");
    let digits = id.find(|c: char| !c.is_ascii_digit()).expect("the id ends");
    (
        id[..digits].parse().expect("the id is a number"),
        line.contains("\"result\""),
    )
}
