//! Driver of ledger calls. Each connection carries one call at a time, so that a corrupt reply
//! fails no other call; idle connections are pooled for a short time.

use crate::net::event_loop::SharedState;
use crate::net::ledger_calls::{IdleConnection, LedgerCall, StartedCall};
use crate::net::{after_ms, timeout_at};
use crate::supervision::{Subsystem, Supervisor};
use futures_lite::future;
use pipitlever_admission::Outcome;
use pipitlever_core::Reference;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::ledger::{encode_call, CallOutcome, ReplyReader};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// How long an idle connection may be reused, in milliseconds. The ledger closes idle connections
/// after 10 s, but some are closed or lost sooner. If a call is written to a lost connection, it is
/// unknown whether the ledger executed it.
const REUSE_MS: u64 = 250;
/// Longest time between the first and the last byte of a reply, in milliseconds. The ledger writes
/// a whole reply with one write.
const REPLY_TIMEOUT_MS: u64 = 250;
/// Timeout of connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Shortest time between two attempts to connect for the same call, in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 50;

/// Spawns a driver for each call, and closes connections that have been idle for too long.
pub async fn run(supervisor: Rc<Supervisor>, state: SharedState) {
    let changed = state.borrow().ledger.changed.clone();
    loop {
        let started = state.borrow_mut().ledger.start_next();
        if let Some(StartedCall { call, cancelled }) = started {
            let state = state.clone();
            // A cancelled driver is dropped, which closes its connection.
            let driver = async move { future::or(cancelled.wait(), drive_call(state, call)).await };
            supervisor.spawn(Subsystem::Ledger, driver).detach();
            continue;
        }
        let first_expiry = {
            let idle = &mut state.borrow_mut().ledger.idle;
            idle.retain(|connection| connection.reusable_until > Instant::now());
            idle.first().map(|connection| connection.reusable_until)
        };
        match first_expiry {
            Some(expiry) => drop(timeout_at(expiry, changed.wait()).await),
            None => changed.wait().await,
        }
    }
}

/// Drives one call from its connection to its outcome.
async fn drive_call(state: SharedState, call: LedgerCall) {
    let (outcome, reply) = match obtain_connection(&state, &call).await {
        Some(connection) => exchange(&state, &call, connection).await,
        None => (Outcome::Unreachable, Vec::new()),
    };
    state
        .borrow_mut()
        .finish_call(call.reference, outcome, reply);
}

/// A connection and the address that it was made to.
struct LedgerConnection {
    stream: Async<TcpStream>,
    address: SocketAddr,
}

/// Takes an idle connection that appears to be open, or makes a new one; none if that fails.
async fn obtain_connection(state: &SharedState, call: &LedgerCall) -> Option<LedgerConnection> {
    let address = state.borrow().ledger.address?;
    loop {
        // The most recently used connection is reused; the others expire and are closed.
        let idle = state.borrow_mut().ledger.idle.pop();
        let Some(idle) = idle.filter(|idle| idle.reusable_until > Instant::now()) else {
            break;
        };
        // Unexpected bytes or an end of the stream make a connection unusable.
        let peeked = idle.stream.get_ref().peek(&mut [0]);
        let has_nothing_unread = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        if idle.last_reference != call.reference && has_nothing_unread {
            let stream = idle.stream;
            return Some(LedgerConnection { stream, address });
        }
    }
    connect(address).await
}

/// Connects to the ledger. A failure is reported after [`RECONNECT_INTERVAL_MS`] at the earliest,
/// as the core may make the call again at once.
async fn connect(address: SocketAddr) -> Option<LedgerConnection> {
    let next_attempt = after_ms(RECONNECT_INTERVAL_MS);
    let timeout = after_ms(CONNECT_TIMEOUT_MS);
    let connected = timeout_at(timeout, Async::<TcpStream>::connect(address)).await;
    let Some(Ok(stream)) = connected else {
        Timer::at(next_attempt).await;
        return None;
    };
    let _ = stream.get_ref().set_nodelay(true);
    Some(LedgerConnection { stream, address })
}

/// Writes a call and reads its reply.
async fn exchange(
    state: &SharedState,
    call: &LedgerCall,
    connection: LedgerConnection,
) -> (Outcome, Vec<u8>) {
    let LedgerConnection { stream, address } = connection;
    let remaining = call.deadline - state.borrow().clock.now();
    if remaining <= 0 {
        return (Outcome::TimedOut, Vec::new());
    }
    let remaining_ms = (remaining as u64).div_ceil(1000);
    let bytes = encode_call(call.reference, remaining_ms, &call.body);
    if stream.write_all(&bytes).await.is_err() {
        return (Outcome::Reset, Vec::new());
    }
    let Some(reply) = read_reply(state, call.reference, &stream).await else {
        return (Outcome::Reset, Vec::new());
    };
    if reply.is_reusable {
        let connection = IdleConnection {
            stream,
            reusable_until: after_ms(REUSE_MS),
            last_reference: call.reference,
        };
        state.borrow_mut().ledger.release(address, connection);
    }
    let outcome = match reply.outcome {
        CallOutcome::Succeeded => Outcome::Success,
        CallOutcome::Rejected => Outcome::Rejected,
        // `Unneeded`: the ledger reports that the run has ended; its outcome will arrive. Another
        // attempt would get the same reply.
        CallOutcome::Failed | CallOutcome::Unneeded => Outcome::Error,
        CallOutcome::TimedOut => Outcome::TimedOut,
    };
    (outcome, reply.body)
}

struct CallReply {
    outcome: CallOutcome,
    body: Vec<u8>,
    /// Whether the connection can carry another call, as it received nothing but this reply.
    is_reusable: bool,
}

/// Reads the reply to a request's call; none if the connection ends or fails first.
async fn read_reply(
    state: &SharedState,
    reference: Reference,
    stream: &Async<TcpStream>,
) -> Option<CallReply> {
    let mut reader = ReplyReader::default();
    let mut bytes = [0; 4096];
    let mut has_other_replies = false;
    let mut deadline = None;
    loop {
        let read = match deadline {
            Some(deadline) => timeout_at(deadline, stream.read(&mut bytes)).await,
            None => Some(stream.read(&mut bytes).await),
        };
        let length = read?.ok().filter(|&length| length > 0)?;
        reader.feed(&bytes[..length]);
        loop {
            match reader.next_reply() {
                Ok(Some(reply)) if reply.reference == reference => {
                    return Some(CallReply {
                        outcome: reply.outcome,
                        body: reply.body,
                        is_reusable: !has_other_replies && reader.is_empty(),
                    });
                }
                Ok(Some(_)) => has_other_replies = true,
                Ok(None) => break,
                Err(_) => {
                    state.borrow_mut().core.counters.malformed += 1;
                    return None;
                }
            }
        }
        deadline = if reader.is_empty() {
            None
        } else {
            deadline.or_else(|| Some(after_ms(REPLY_TIMEOUT_MS)))
        };
    }
}
