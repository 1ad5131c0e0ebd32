//! Closes connections without losing a request or an answer.
//!
//! A peer may send a request while its connection is being closed. A close with unread bytes resets
//! the connection, which can destroy answers that the peer has not read yet. A connection is
//! therefore closed in steps:
//!
//! 1. a gateway is sent `goaway`, and requests that it sent before it read the `goaway` are read
//!    and answered;
//! 2. once no request is open, no bytes wait to be written and none are unread, this side stops
//!    writing (half-close);
//! 3. bytes that still arrive are read and dropped, until the peer closes as well or a timeout
//!    expires (lingering close).
//!
//! Requests that arrive after the half-close are dropped, as they could not be answered.

use crate::net::connections::PendingWork;
use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use pipitlever_reactor::{Async, Timer};
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// How long to wait for requests that a gateway sent before it read a `goaway`, in milliseconds. A
/// gateway sends such requests again within 50 ms; the rest is a margin for the network.
const IN_FLIGHT_GRACE_MS: u64 = 100;
/// Time between two checks of a connection that is being closed, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 5;
/// How long to wait for a peer that does not read its answers, or that keeps sending after
/// `goaway`, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 3000;

/// Length of a lingering close, in milliseconds.
pub const LINGER_MS: u64 = 250;
/// Length of a lingering close of an idle connection, whose peer has read everything, in
/// milliseconds.
pub const IDLE_LINGER_MS: u64 = 100;
/// Pause between two reads in a lingering close, in milliseconds: a peer that never stops sending
/// must not block the other tasks.
const LINGER_PAUSE_MS: u64 = 5;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed the connection, or a write failed.
    PeerClosed,
    /// All responses are written; the peer may not have read the last one yet.
    ResponsesSent,
    /// The connection was idle and is half-closed.
    HalfClosed,
    /// The peer did not read its answers in time.
    PeerStalled,
}

/// Sends `goaway` if the peer is a gateway, waits until the connection has no pending work, and
/// half-closes it. The connection's driver keeps reading and writing in the meantime.
pub async fn close(state: &SharedState, id: u64, stream: &Async<TcpStream>) -> ConnectionEnd {
    if state.borrow_mut().begin_close(id) {
        Timer::at(after_ms(IN_FLIGHT_GRACE_MS)).await;
    }
    let mut stall_deadline = after_ms(STALL_TIMEOUT_MS);
    loop {
        let pending = state.borrow().pending_work(id);
        if pending == PendingWork::OpenRequests {
            stall_deadline = after_ms(STALL_TIMEOUT_MS);
        }
        let is_stalled = stall_deadline <= Instant::now();
        let may_half_close = match pending {
            PendingWork::UnsentBytes if is_stalled => return ConnectionEnd::PeerStalled,
            PendingWork::UnsentBytes => false,
            PendingWork::None => is_stalled || has_nothing_unread(stream),
            PendingWork::OpenRequests | PendingWork::PartialMessage => is_stalled,
        };
        if may_half_close {
            // The half-close follows directly after the check for unread bytes, so that few bytes
            // can arrive in between.
            state.borrow_mut().connections.close_outbox(id);
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            return ConnectionEnd::HalfClosed;
        }
        Timer::at(after_ms(CHECK_INTERVAL_MS)).await;
    }
}

/// Whether the socket has neither unread bytes nor an end of the stream.
fn has_nothing_unread(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Half-closes a connection, and discards incoming bytes until the peer closes it or `linger_ms`
/// milliseconds have passed.
pub async fn linger(stream: &Async<TcpStream>, linger_ms: u64) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let discard = async {
        let mut bytes = [0; 4096];
        while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {
            Timer::at(after_ms(LINGER_PAUSE_MS)).await;
        }
    };
    timeout_at(after_ms(linger_ms), discard).await;
}
