//! Packets of uwsgi clients, and a stand-in for a uwsgi worker.

use super::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

/// A uwsgi POST packet for this path, with additional variables and a body.
pub fn packet(path: &str, variables: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let mut vars = vec![
        ("REQUEST_METHOD", "POST"),
        ("PATH_INFO", path),
        ("CONTENT_LENGTH", &length),
    ];
    vars.extend(variables);
    let string = |s: &str| [&(s.len() as u16).to_le_bytes()[..], s.as_bytes()].concat();
    let block: Vec<u8> = vars
        .iter()
        .flat_map(|(n, v)| [string(n), string(v)].concat())
        .collect();
    let [low, high] = (block.len() as u16).to_le_bytes();
    [&[0, low, high, 0][..], &block, body].concat()
}

/// A stand-in for a uwsgi worker.
pub struct Worker(pub TcpListener);

impl Worker {
    pub fn new() -> Worker {
        Worker(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Accepts the next connection and reads its packet, which is returned unparsed.
    pub fn accept(&self) -> (TcpStream, Vec<u8>) {
        Worker::read(self.0.accept().unwrap().0)
    }

    /// Reads the packet on this connection.
    pub fn read(stream: TcpStream) -> (TcpStream, Vec<u8>) {
        Worker::try_read(stream).expect("a complete packet")
    }

    /// Like `read`; `None` if the connection ends before the packet is complete.
    pub fn try_read(mut stream: TcpStream) -> Option<(TcpStream, Vec<u8>)> {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        let mut bytes = vec![0; 4];
        stream.read_exact(&mut bytes).ok()?;
        let size = usize::from(u16::from_le_bytes([bytes[1], bytes[2]]));
        bytes.resize(4 + size, 0);
        stream.read_exact(&mut bytes[4..]).ok()?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let value = text
            .split_once("CONTENT_LENGTH")
            .expect("every packet has a CONTENT_LENGTH")
            .1;
        let digits: String = value
            .chars()
            .skip(2)
            .take_while(char::is_ascii_digit)
            .collect();
        let start = bytes.len();
        bytes.resize(start + digits.parse::<usize>().ok()?, 0);
        stream.read_exact(&mut bytes[start..]).ok()?;
        Some((stream, bytes))
    }

    /// Answers every request with its own body, in a thread that runs until the process ends; the
    /// receiver gets each body.
    pub fn echo(self) -> Receiver<Vec<u8>> {
        let (sender, bodies): (Sender<Vec<u8>>, _) = channel();
        std::thread::spawn(move || loop {
            let (mut stream, packet) = self.accept();
            let size = usize::from(u16::from_le_bytes([packet[1], packet[2]]));
            let body = &packet[4 + size..];
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = sender.send(body.to_vec());
            let _ = stream.write_all(&[head.as_bytes(), body].concat());
        });
        bodies
    }
}

/// An operator's file with two uwsgi routes: `/view` goes to the processor, `/swap` to the given
/// backend.
pub fn uwsgi_operator_file(worker: Option<SocketAddr>, backend: &str) -> String {
    let workers = worker.map(|w| format!("\"{w}\"")).unwrap_or_default();
    format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\nworkers = [{workers}]\ndeadline_ms = 5000\n\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"processor\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"{backend}\"\n"
    )
}
