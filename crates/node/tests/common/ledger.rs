//! A stand-in for the ledger.

use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// A stand-in for the ledger: one connection, which carries one call at a time.
pub struct LedgerConnection {
    lines: BufReader<TcpStream>,
    /// The time that the last call allowed, in milliseconds.
    pub allowed_ms: u64,
}

impl LedgerConnection {
    pub fn accept(ledger: &TcpListener) -> LedgerConnection {
        LedgerConnection::from_stream(ledger.accept().unwrap().0)
    }

    pub fn from_stream(stream: TcpStream) -> LedgerConnection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        LedgerConnection {
            lines: BufReader::new(stream),
            allowed_ms: 0,
        }
    }

    /// The next call: the id of its run and the body.
    pub fn post(&mut self) -> (String, Vec<u8>) {
        self.try_post().expect("a call")
    }

    /// Like `post`; `None` at the end of the connection.
    pub fn try_post(&mut self) -> Option<(String, Vec<u8>)> {
        let mut line = String::new();
        self.lines.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let fields: Vec<&str> = line.trim_end_matches("\r\n").split(' ').collect();
        let ["post", id, allowed_ms, length] = fields[..] else {
            panic!("{line}")
        };
        self.allowed_ms = allowed_ms.parse().unwrap();
        let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
        self.lines.read_exact(&mut body).unwrap();
        assert_eq!(body.split_off(body.len() - 2), b"\r\n");
        Some((id.to_owned(), body))
    }

    pub fn reply(&mut self, text: &str) {
        self.reply_bytes(text.as_bytes());
    }

    pub fn reply_bytes(&mut self, bytes: &[u8]) {
        self.lines.get_mut().write_all(bytes).unwrap();
    }
}
