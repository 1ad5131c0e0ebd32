//! How this side closes a connection without losing a request or an answer.
//!
//! A peer may send a request in the very moment in which its connection is closed, and a close over
//! bytes that nobody has read resets the connection, which can take answers with it that the peer
//! has not read yet. So a connection is closed in steps:
//!
//! 1. a gateway hears `goaway`, and what it had sent before it heard that is read and answered;
//! 2. once nothing is open, nothing waits to be written and nothing has arrived, this side stops
//!    writing (half-close);
//! 3. what still arrives is read and dropped, until the peer closes as well or a bound is reached.
//!
//! Nothing that is read after the half-close is acted on: its answer could not be written any more.

use crate::net::hub::Shared;
use crate::net::{ahead, by};
use pipitlever_reactor::{Async, Timer};
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// How long requests that cross a `goaway` are waited for, in milliseconds: a gateway sends once
/// more what crossed the close within 50 ms, and the network takes some.
const CROSSING_MS: u64 = 100;
/// Between two looks at a connection that is about to be closed, in milliseconds.
const LOOK_MS: u64 = 5;
/// A peer that takes no answer, or that goes on sending though it was told not to, is waited for so
/// long, in milliseconds.
const STUCK_MS: u64 = 3000;

/// After the half-close a connection is read for so long, in milliseconds; for so long where it was
/// idle before, as the peer has read all that it was sent. With such pauses: a peer that never
/// stops sending must not have the core.
pub const LINGER_MS: u64 = 250;
pub const LINGER_IDLE_MS: u64 = 100;
const LINGER_PAUSE_MS: u64 = 5;

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its peer left, or can't be written to.
    Peer,
    /// All that was to be said is written, the last of it just now.
    Said,
    /// It was idle, and is half-closed.
    Idle,
    /// Its peer does not read what it was sent: nothing more is waited for.
    Stuck,
}

/// What keeps a connection from being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// Nothing does.
    Quiet,
    /// Requests are open on it, each until its due time.
    Open,
    /// An answer is not written yet: its peer does not read.
    Unwritten,
    /// Half a message has arrived.
    Unfinished,
}

/// Tells the peer that the connection is about to be closed, waits until it is quiet, and
/// half-closes it. Reading goes on meanwhile, in the connection's own task.
pub async fn retire(hub: &Shared, id: u64, stream: &Async<TcpStream>) -> End {
    if hub.borrow_mut().retire(id) {
        Timer::at(ahead(CROSSING_MS)).await;
    }
    let mut stuck_at = ahead(STUCK_MS);
    loop {
        let rest = hub.borrow().rest(id);
        if rest == Rest::Open {
            stuck_at = ahead(STUCK_MS);
        }
        let waited_for = stuck_at > Instant::now();
        if rest == Rest::Unwritten && !waited_for {
            return End::Stuck;
        }
        if rest == Rest::Quiet && nothing_arrived(stream) || rest != Rest::Unwritten && !waited_for
        {
            // In one step with the look, so that nothing comes in between but what the kernel takes
            // in meanwhile.
            hub.borrow_mut().places.finish(id);
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            return End::Idle;
        }
        Timer::at(ahead(LOOK_MS)).await;
    }
}

/// Whether the kernel holds neither bytes nor an end of this connection that have not been read.
fn nothing_arrived(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Half-closes a connection and reads on, without acting on what comes, until the peer closes or so
/// many milliseconds are over.
pub async fn linger(stream: &Async<TcpStream>, bound_ms: u64) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let discard = async {
        let mut bytes = [0; 4096];
        while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
            Timer::at(ahead(LINGER_PAUSE_MS)).await;
        }
    };
    by(ahead(bound_ms), discard).await;
}
