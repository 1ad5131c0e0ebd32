//! A stand-in for the processor.

use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// A stand-in for the processor: a test reads the node's commands and sends the processor's
/// notices.
pub struct Processor {
    pub listener: TcpListener,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
    pub hello: String,
    notices: u64,
}

impl Processor {
    pub fn new() -> Processor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Processor {
            listener,
            connection: None,
            hello: String::new(),
            notices: 0,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the node's connection and reads its hello.
    pub fn accept(&mut self) {
        let stream = self.listener.accept().unwrap().0;
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.connection = Some((stream.try_clone().unwrap(), BufReader::new(stream)));
        self.hello = self.read_line();
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.connection
            .as_mut()
            .unwrap()
            .0
            .write_all(bytes)
            .unwrap();
    }

    /// Numbers notices after those of the processor connection that this one replaces.
    pub fn continue_notice_numbers(&mut self, predecessor: &Processor) {
        self.notices = predecessor.notices;
    }

    /// Accepts the node's connection and reports the state `running`.
    pub fn accept_running(&mut self) {
        self.accept();
        self.send(b"hi running 1000.5\r\n");
    }

    /// Answers `usage` commands, and accepts no others, until the node closes the connection.
    pub fn answer_usage_until_closed(&mut self) {
        loop {
            let line = self.read_line();
            let Some(tag) = line.strip_prefix("usage ") else {
                return assert_eq!(line, "");
            };
            self.send(format!("used {tag} 0.5 1 0.1 2\r\n").as_bytes());
        }
    }

    pub fn disconnect(&mut self) {
        self.connection
            .take()
            .unwrap()
            .0
            .shutdown(Shutdown::Both)
            .unwrap();
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.connection
            .as_mut()
            .unwrap()
            .1
            .read_line(&mut line)
            .expect("a command");
        line.trim_end_matches("\r\n").to_owned()
    }

    /// Answers `usage` commands, and no others, for this long.
    pub fn answer_usage_for(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let line = self.read_line();
            if let Some(tag) = line.strip_prefix("usage ") {
                self.send(format!("used {tag} 1.0 2 0.1 2\r\n").as_bytes());
            }
        }
    }

    /// Answers the next command if it is `usage`, with this number of runnable runs. Returns whether
    /// it was; another command is left unread.
    pub fn answer_usage(&mut self, runnable: u32) -> bool {
        let commands = &mut self.connection.as_mut().unwrap().1;
        let is_usage = commands.fill_buf().expect("a command").starts_with(b"u");
        if is_usage {
            let line = self.read_line();
            let tag = line.strip_prefix("usage ").expect("a tag");
            self.send(format!("used {tag} 0.5 {runnable} 0.1 2\r\n").as_bytes());
        }
        is_usage
    }

    /// The next command other than `usage`, with its body. `usage` commands are answered.
    pub fn command(&mut self) -> (Vec<String>, Vec<u8>) {
        let start = Instant::now();
        loop {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "no command other than usage within {TEST_TIMEOUT:?}"
            );
            let fields: Vec<String> = self.read_line().split(' ').map(str::to_owned).collect();
            if fields[0] == "usage" {
                let used = format!("used {} 0.5 1 0.1 2\r\n", fields[1]);
                self.send(used.as_bytes());
                continue;
            }
            if fields[0] == "interrupt" {
                return (fields, Vec::new());
            }
            let length: usize = fields
                .last()
                .unwrap()
                .parse()
                .unwrap_or_else(|_| panic!("{fields:?}"));
            let mut body = vec![0; length + 2];
            self.connection
                .as_mut()
                .unwrap()
                .1
                .read_exact(&mut body)
                .unwrap();
            assert_eq!(body.split_off(length), b"\r\n");
            return (fields, body);
        }
    }

    /// Reads a command, which has to be `begin`; returns the run's id and the body.
    pub fn begin(&mut self) -> (String, Vec<u8>) {
        let (fields, body) = self.command();
        assert_eq!(fields[0], "begin", "{fields:?}");
        (fields[1].clone(), body)
    }

    /// Sends the next notice: `kind NUMBER arguments LENGTH` and the body.
    pub fn notice(&mut self, kind: &str, arguments: &str, body: &[u8]) {
        self.notices += 1;
        let head = format!("{kind} {} {arguments} {}\r\n", self.notices, body.len());
        self.send(&[head.as_bytes(), body, b"\r\n"].concat());
    }

    pub fn complete(&mut self, id: &str, status: &str, result: &[u8]) {
        self.notice("complete", &format!("{id} {status} 12.25"), result);
    }

    /// Completes every run with its own body until the node disconnects.
    pub fn echo_until_disconnected(self) {
        let bodies = self.echo();
        while bodies.recv().is_ok() {}
    }

    /// Completes every run with a result of this size until the node disconnects.
    pub fn serve_until_disconnected(self, result_size: usize) {
        let bodies = self.answer_all(move |_| vec![7; result_size]);
        while bodies.recv().is_ok() {}
    }

    /// Completes every run with its own body in a thread, until the node disconnects. The receiver
    /// gets each body.
    pub fn echo(self) -> Receiver<Vec<u8>> {
        self.answer_all(|body| body.to_vec())
    }

    fn answer_all(
        mut self,
        result: impl Fn(&[u8]) -> Vec<u8> + Send + 'static,
    ) -> Receiver<Vec<u8>> {
        let (sender, bodies) = channel();
        std::thread::spawn(move || loop {
            let mut line = String::new();
            let (stream, lines) = self.connection.as_mut().unwrap();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let fields: Vec<&str> = line.trim_end().split(' ').collect();
            if fields[0] == "usage" {
                let _ = stream.write_all(format!("used {} 0.5 1 0.1 2\r\n", fields[1]).as_bytes());
                continue;
            }
            let mut body = vec![0; fields[3].parse::<usize>().unwrap() + 2];
            lines.read_exact(&mut body).unwrap();
            body.truncate(body.len() - 2);
            let _ = sender.send(body.clone());
            self.complete(fields[1], "fine", &result(&body));
        });
        bodies
    }
}
