//! uwsgi packets: parsing those of clients, finding variables, and encoding packets for workers.

use super::Status;
use crate::parse_decimal;
use std::collections::HashSet;

/// Length of a packet's header, in bytes.
const HEADER_LENGTH: usize = 4;
/// Longest block of variables, in bytes.
const MAX_VARIABLES: usize = 8192;
/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 128;
/// Longest time that a client may wait, in milliseconds: an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A complete request.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// Where the body begins in `bytes`.
    body_start: usize,
    bytes: Vec<u8>,
}

impl Packet {
    /// A variable's value; an empty one counts as absent, as in CGI.
    pub fn variable(&self, name: &str) -> Option<&[u8]> {
        find_variable(&self.bytes, name).filter(|value| !value.is_empty())
    }

    /// The path that selects the route (`PATH_INFO`).
    ///
    /// # Errors
    ///
    /// Fails with [`Status::BadRequest`] if it is absent or not UTF-8.
    pub fn path(&self) -> Result<&str, Status> {
        let path = self.variable("PATH_INFO").ok_or(Status::BadRequest)?;
        std::str::from_utf8(path).map_err(|_| Status::BadRequest)
    }

    /// The idempotency key (`HTTP_IDEMPOTENCY_KEY`), if the request has one.
    ///
    /// # Errors
    ///
    /// Fails with [`Status::BadRequest`] if it is too long or not UTF-8.
    pub fn idempotency_key(&self) -> Result<Option<&str>, Status> {
        let Some(key) = self.variable("HTTP_IDEMPOTENCY_KEY") else {
            return Ok(None);
        };
        let key = std::str::from_utf8(key).map_err(|_| Status::BadRequest)?;
        if key.len() > MAX_KEY {
            return Err(Status::BadRequest);
        }
        Ok(Some(key))
    }

    /// How long the client waits, in milliseconds (`HTTP_X_ALLOW_MS`), if stated.
    ///
    /// # Errors
    ///
    /// Fails with [`Status::BadRequest`] if it is not a decimal number or too long.
    pub fn timeout_ms(&self) -> Result<Option<u64>, Status> {
        let Some(text) = self.variable("HTTP_X_ALLOW_MS") else {
            return Ok(None);
        };
        let timeout = std::str::from_utf8(text).ok().and_then(parse_decimal);
        let timeout = timeout.filter(|&ms| ms <= MAX_TIMEOUT_MS);
        timeout.map(Some).ok_or(Status::BadRequest)
    }

    /// The body alone.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body_start..]
    }

    /// The packet as it was received, for a worker.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the one packet of a client's connection.
#[derive(Debug)]
pub struct PacketReader {
    buffer: Vec<u8>,
    max_body: usize,
    /// The parts of the packet, once its variables are complete. They are checked once, as the body
    /// may arrive in many pieces.
    layout: Option<PacketLayout>,
}

/// Where the parts of a packet are in its bytes.
#[derive(Clone, Copy, Debug)]
struct PacketLayout {
    body_start: usize,
    end: usize,
}

impl PacketReader {
    /// A reader that accepts bodies of up to `max_body` bytes.
    pub fn new(max_body: usize) -> PacketReader {
        PacketReader {
            buffer: Vec::new(),
            max_body,
            layout: None,
        }
    }

    /// Appends bytes that were read. Returns the packet once it is complete, or an error as soon as
    /// the packet is known to be invalid.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Packet, Status>> {
        self.buffer.extend_from_slice(bytes);
        self.parse().transpose()
    }

    /// Memory of the bytes that were read, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    fn parse(&mut self) -> Result<Option<Packet>, Status> {
        if self.layout.is_none() {
            self.layout = self.parse_head()?;
            if let Some(PacketLayout { end, .. }) = self.layout {
                // The whole packet, instead of twice the part that has arrived.
                let missing = end.saturating_sub(self.buffer.len());
                self.buffer.reserve_exact(missing);
            }
        }
        let layout = self.layout.filter(|layout| self.buffer.len() >= layout.end);
        let Some(PacketLayout { body_start, end }) = layout else {
            return Ok(None);
        };
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.truncate(end);
        Ok(Some(Packet { body_start, bytes }))
    }

    /// Checks the header and the variables, once they are complete.
    fn parse_head(&self) -> Result<Option<PacketLayout>, Status> {
        let Some(&[modifier, low, high, _]) = self.buffer.first_chunk::<HEADER_LENGTH>() else {
            // A client of another protocol may never send the rest of the header.
            return if self.buffer.first().is_some_and(|&m| m != 0) {
                Err(Status::BadRequest)
            } else {
                Ok(None)
            };
        };
        if modifier != 0 {
            return Err(Status::BadRequest);
        }
        let size = usize::from(u16::from_le_bytes([low, high]));
        if size > MAX_VARIABLES {
            return Err(Status::TooLarge);
        }
        let body_start = HEADER_LENGTH + size;
        let Some(block) = self.buffer.get(HEADER_LENGTH..body_start) else {
            return Ok(None);
        };
        check_variables(block).ok_or(Status::BadRequest)?;
        let length = content_length(find_variable(&self.buffer, "CONTENT_LENGTH"))?;
        if length > self.max_body {
            return Err(Status::TooLarge);
        }
        let end = body_start + length;
        Ok(Some(PacketLayout { body_start, end }))
    }
}

/// The length of the body; 0 if the variables do not state it.
fn content_length(variable: Option<&[u8]>) -> Result<usize, Status> {
    let Some(text) = variable.filter(|text| !text.is_empty()) else {
        return Ok(0);
    };
    if !text.iter().all(u8::is_ascii_digit) {
        return Err(Status::BadRequest);
    }
    let text = std::str::from_utf8(text).map_err(|_| Status::BadRequest)?;
    // A length that overflows counts as too large.
    Ok(text.parse().unwrap_or(usize::MAX))
}

/// Removes the length-prefixed string at the start of the block and returns it.
fn take_string<'a>(block: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = block.split_first_chunk::<2>()?;
    let (text, rest) = rest.split_at_checked(usize::from(u16::from_le_bytes(*length)))?;
    *block = rest;
    Some(text)
}

/// Checks names and values, each prefixed with its length; none if they are malformed. A repeated
/// name is an error, as the node and the worker could use different values.
fn check_variables(mut block: &[u8]) -> Option<()> {
    let mut names = HashSet::new();
    while !block.is_empty() {
        let name = std::str::from_utf8(take_string(&mut block)?).ok()?;
        take_string(&mut block)?;
        if name.is_empty() || !names.insert(name) {
            return None;
        }
    }
    Some(())
}

/// Finds the value of a variable in the bytes of a complete packet.
pub fn find_variable<'a>(packet: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let size = usize::from(u16::from_le_bytes([*packet.get(1)?, *packet.get(2)?]));
    let mut block = packet.get(HEADER_LENGTH..HEADER_LENGTH + size)?;
    while !block.is_empty() {
        let found = take_string(&mut block)?;
        let value = take_string(&mut block)?;
        if found == name.as_bytes() {
            return Some(value);
        }
    }
    None
}

/// Encodes a packet; none if the variables are too long for one.
pub fn encode_packet(variables: &[(&str, &str)], body: &[u8]) -> Option<Vec<u8>> {
    let mut block = Vec::new();
    for text in variables.iter().flat_map(|(name, value)| [name, value]) {
        block.extend_from_slice(&u16::try_from(text.len()).ok()?.to_le_bytes());
        block.extend_from_slice(text.as_bytes());
    }
    let [low, high] = u16::try_from(block.len()).ok()?.to_le_bytes();
    Some([&[0, low, high, 0], block.as_slice(), body].concat())
}
