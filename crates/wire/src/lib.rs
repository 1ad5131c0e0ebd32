//! The protocols that a node speaks: one state machine for each, fed bytes and yielding messages.
//!
//! Nothing here has a socket or a clock, and nothing decides about admission. The names that a
//! protocol has on the wire are mapped to the node's terms here and nowhere else.
//!
//! | module | protocol |
//! | --- | --- |
//! | [`jsonrpc`] | requests of the platform's gateways: JSON-RPC 2.0, one message a line |
//! | [`uwsgi`] | requests of uwsgi clients, and requests to uwsgi workers |
//! | [`processor`] | commands to the platform's processor and its notices |
//! | [`ledger`] | calls to the layer below |
//! | [`service_registry`] | heartbeats to the service registry |
//! | [`control`] | the control endpoint, over HTTP/1.1 |
//! | [`lines`] | the framing that `processor` and `ledger` share |

pub mod control;
pub mod jsonrpc;
pub mod ledger;
pub mod lines;
pub mod processor;
pub mod service_registry;
pub mod uwsgi;

/// Bytes copied on the path of requests: from the read buffer to the connection's buffer, to the
/// shared body, to the batch of commands, and into the answer. Copies by the system are not
/// counted. Only with the feature `count`.
#[cfg(feature = "count")]
pub static COPIED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Counts copied bytes; does nothing without the feature `count`.
#[inline]
pub fn count_copied(bytes: usize) {
    #[cfg(feature = "count")]
    COPIED.fetch_add(bytes as u64, std::sync::atomic::Ordering::Relaxed);
    let _ = bytes;
}

/// A peer violated its protocol: its connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message")]
pub struct Malformed;

/// Length of a request's reference on the wire, in hexadecimal digits.
const REFERENCE_DIGITS: usize = 16;

/// Parses a reference: 16 lower-case hexadecimal digits.
pub fn parse_reference(word: &str) -> Option<u64> {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if word.len() != REFERENCE_DIGITS || !word.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(word, 16).ok()
}

/// Parses a decimal number that consists of digits alone; `str::parse` would accept a sign.
pub fn parse_decimal(word: &str) -> Option<u64> {
    if word.is_empty() || !word.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    word.parse().ok()
}
