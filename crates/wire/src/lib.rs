//! The protocols of a node. Each is a state machine that takes bytes and returns messages.
//!
//! This crate does no I/O, reads no clock and makes no admission decisions. Only this crate maps
//! the names on the wire to the node's terms.
//!
//! | module | protocol |
//! | --- | --- |
//! | [`jsonrpc`] | requests of the platform's gateways: JSON-RPC 2.0, one message per line |
//! | [`uwsgi`] | requests of uwsgi clients, and requests to uwsgi workers |
//! | [`processor`] | commands to the platform's processor and its notices |
//! | [`ledger`] | downstream calls, sent to the ledger |
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
/// shared body, to the batch of commands, and into the answer. Copies made by the kernel are not
/// counted. Exists only with the feature `count`.
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
pub fn parse_reference(text: &str) -> Option<u64> {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != REFERENCE_DIGITS || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Parses a decimal number that consists of digits alone; `str::parse` would accept a sign.
pub fn parse_decimal(text: &str) -> Option<u64> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
