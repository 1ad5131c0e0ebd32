//! What is spoken: one state machine a protocol, fed bytes and yielding messages. No socket, no
//! clock.

pub mod control;
pub mod jsonrpc;
pub mod ledger;
pub mod membership;
pub mod processor;
pub mod uwsgi;

/// Bytes that were copied on the way of requests: from what was read into a connection's buffer, to
/// what is shared, to the batch, and back into the answer. What the system copies is not among
/// them. Counted with the feature `count` alone.
#[cfg(feature = "count")]
pub static COPIED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// So many bytes are copied.
#[inline]
pub fn copied(bytes: usize) {
    #[cfg(feature = "count")]
    COPIED.fetch_add(bytes as u64, std::sync::atomic::Ordering::Relaxed);
    let _ = bytes;
}

/// A name of 16 lower-case hex digits, as a number.
pub fn reference(word: &str) -> Option<u64> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    (word.len() == 16 && word.bytes().all(hex))
        .then(|| u64::from_str_radix(word, 16).ok())
        .flatten()
}

/// A peer that broke its protocol: its connection has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A line of words, and the body behind it.
pub type Message<'a> = (&'a str, &'a [u8]);

/// Lines of words ending in CR LF, some with a body of the length that their last word states.
#[derive(Debug, Default)]
pub struct Framed {
    buffer: Vec<u8>,
    /// So much of it has been taken out.
    used: usize,
}

/// The longest line of words.
const MOST_LINE: usize = 1024;
/// The longest body behind one.
const MOST_BODY: usize = 1 << 20;
/// What a buffer keeps of its memory once it is empty.
const KEPT: usize = 16 << 10;

impl Framed {
    /// Takes in what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        take_out(&mut self.buffer, &mut self.used);
        crate::copied(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether nothing is left of a message that is not whole.
    pub fn is_empty(&self) -> bool {
        self.used == self.buffer.len()
    }

    /// The next whole message: its line, and its body where `has_body` says that such a line has
    /// one.
    pub fn next(&mut self, has_body: fn(&str) -> bool) -> Result<Option<Message<'_>>, Malformed> {
        let rest = &self.buffer[self.used..];
        let Some(end) = rest.iter().take(MOST_LINE).position(|&b| b == b'\n') else {
            return if rest.len() >= MOST_LINE {
                Err(Malformed)
            } else {
                Ok(None)
            };
        };
        let line = rest[..end].strip_suffix(b"\r").ok_or(Malformed)?;
        let line = std::str::from_utf8(line).map_err(|_| Malformed)?;
        let mut body: &[u8] = &[];
        let mut used = end + 1;
        if has_body(line) {
            let length = line.rsplit(' ').next().and_then(number).ok_or(Malformed)? as usize;
            if length > MOST_BODY {
                return Err(Malformed);
            }
            let Some((whole, _)) = rest[used..].split_at_checked(length + 2) else {
                return Ok(None);
            };
            body = whole.strip_suffix(b"\r\n").ok_or(Malformed)?;
            used += length + 2;
        }
        self.used += used;
        Ok(Some((line, body)))
    }
}

/// Drops what was taken out of a buffer, which moves what is left of it, and the memory that a
/// burst made it take.
fn take_out(buffer: &mut Vec<u8>, used: &mut usize) {
    crate::copied(buffer.len() - *used);
    buffer.drain(..std::mem::take(used));
    if buffer.is_empty() {
        buffer.shrink_to(KEPT);
    }
}

/// A plain decimal number, of digits alone.
pub fn number(word: &str) -> Option<u64> {
    (!word.is_empty() && word.bytes().all(|b| b.is_ascii_digit()))
        .then(|| word.parse().ok())
        .flatten()
}
