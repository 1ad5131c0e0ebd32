//! A uwsgi worker.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A worker that answers each packet with a response of its own.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Vec<u8>>>>,
    record: Record,
}

impl Worker {
    /// Starts a worker.
    pub fn start(name: &str, record: &Record) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            name: name.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            record: record.clone(),
        };
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let worker = accepting.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    /// The bodies of the requests that were run, in order.
    pub fn runs(&self) -> Vec<Vec<u8>> {
        self.runs.lock().unwrap().clone()
    }

    /// The body of the response to the request that was run as this number, counted from 1.
    pub fn result(&self, number: usize) -> Vec<u8> {
        format!("result of run {number} at {}", self.name).into_bytes()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut header = [0; 4];
        stream.read_exact(&mut header).ok()?;
        let mut block = vec![0; usize::from(u16::from_le_bytes([header[1], header[2]]))];
        stream.read_exact(&mut block).ok()?;
        let mut body = vec![0; content_length(&block)];
        stream.read_exact(&mut body).ok()?;
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(body.clone());
            runs.len()
        };
        self.record.line(format!(
            "{}: run {number} body={:?}",
            self.name,
            String::from_utf8_lossy(&body)
        ));
        let result = self.result(number);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
            result.len()
        );
        stream.write_all(&[head.as_bytes(), &result].concat()).ok()
    }
}

fn content_length(mut block: &[u8]) -> usize {
    let mut take = || {
        let (length, rest) = block.split_first_chunk::<2>()?;
        let (text, rest) = rest.split_at_checked(usize::from(u16::from_le_bytes(*length)))?;
        block = rest;
        Some(text)
    };
    while let (Some(name), Some(value)) = (take(), take()) {
        if name == b"CONTENT_LENGTH" {
            return String::from_utf8_lossy(value).parse().unwrap_or(0);
        }
    }
    0
}
