//! Clock, base64, JSON and the record that the stand-ins share.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.expect("after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// The processes that this case has started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Remembers a process that was started.
pub fn add_child(id: u32) {
    CHILDREN.lock().expect("no holder panics").push(id);
}

/// Forgets a process that has ended.
pub fn remove_child(id: u32) {
    CHILDREN.lock().expect("no holder panics").retain(|&child| child != id);
}

/// Sends a signal to a process that this case has started.
pub fn send_signal(signal: &str, id: u32) {
    let command = format!("kill {signal} {id}");
    let _ = std::process::Command::new("/bin/sh").arg("-c").arg(command).status();
}

/// Kills all processes that have not ended.
pub fn kill_children() {
    for id in CHILDREN.lock().expect("no holder panics").drain(..) {
        send_signal("-KILL", id);
    }
}

/// Writes `record.txt`: one line an event, with the milliseconds since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{:>7} {text}", self.ms());
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A small generator of pseudo-random numbers (splitmix64).
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let state = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from `low` to below `high`.
    pub fn range(&self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low).max(1)
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0u32;
        for position in 0..3 {
            value = value << 8 | u32::from(*group.get(position).unwrap_or(&0));
        }
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(ALPHABET[(value >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for group in text.as_bytes().chunks(4) {
        let padding = group.iter().filter(|&&b| b == b'=').count();
        if group.len() != 4 || padding > 2 {
            return None;
        }
        let mut value = 0u32;
        for &b in group {
            let digit = if b == b'=' { 0 } else { ALPHABET.iter().position(|&a| a == b)? };
            value = value << 6 | digit as u32;
        }
        bytes.extend_from_slice(&value.to_be_bytes()[1..4 - padding]);
    }
    Some(bytes)
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, literal: &str) -> Option<()> {
        self.space();
        self.bytes[self.at..].starts_with(literal.as_bytes()).then_some(())?;
        self.at += literal.len();
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.take("[")?;
                let mut items = Vec::new();
                if self.take("]").is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take("]").is_some() {
                        return Some(Json::List(items));
                    }
                    self.take(",")?;
                }
            }
            b'{' => {
                self.take("{")?;
                let mut fields = Vec::new();
                if self.take("}").is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(":")?;
                    fields.push((key, self.value()?));
                    if self.take("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.take(",")?;
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let character = char::from_u32(code.ok()?)?;
                            bytes.extend_from_slice(character.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
