//! Calls to the layer below: a small pool of connections, each with one call at a time, so that a
//! spoilt reply costs the call that it belongs to and no other.

pub mod calls;

use crate::net::hub::Shared;
use crate::net::ledger::calls::{Idle, ToPost};
use crate::net::{ahead, by};
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_admission::Outcome;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::ledger::{encode_call, CallOutcome, ReplyReader};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// A connection without a call is used again for so long, in milliseconds. The ledger closes idle
/// ones after 10 s, but some are closed or forgotten sooner, and a call written to such a one is
/// lost without proof.
const REUSE_MS: u64 = 250;
/// A reply that has begun is whole within this time, in milliseconds: the ledger writes it in one
/// go. What goes on for longer is noise, or a body that never ends.
const WHOLE_MS: u64 = 250;
/// Between two tries to reach a ledger that nobody listens for, in milliseconds.
const APART_MS: u64 = 50;

/// Gives each call a driver, and closes connections that nobody used in time.
pub async fn calls(executor: Rc<LocalExecutor<'static>>, hub: Shared) {
    let nudge = hub.borrow().calls.nudge.clone();
    loop {
        let next = hub.borrow_mut().calls.next();
        if let Some((call, taken_back)) = next {
            let driver = {
                let hub = hub.clone();
                async move { future::or(taken_back.wait(), carry(hub, call)).await }
            };
            executor.spawn(driver).detach();
            continue;
        }
        let oldest = {
            let idle = &mut hub.borrow_mut().calls.idle;
            idle.retain(|c| c.until > Instant::now());
            idle.first().map(|c| c.until)
        };
        match oldest {
            Some(until) => drop(by(until, nudge.wait()).await),
            None => nudge.wait().await,
        }
    }
}

/// One call from start to end. Dropped when the call is given up: its connection closes, which
/// tells the ledger.
async fn carry(hub: Shared, call: ToPost) {
    let (outcome, reply) = match connection(&hub, &call).await {
        Some((stream, address)) => exchange(&hub, &call, stream, address).await,
        None => (Outcome::Unreachable, Vec::new()),
    };
    hub.borrow_mut().called(call.reference, outcome, reply);
}

/// A connection that is still good, as far as can be seen; a new one if there is none.
async fn connection(hub: &Shared, call: &ToPost) -> Option<(Async<TcpStream>, SocketAddr)> {
    let address = hub.borrow().calls.address?;
    loop {
        // The one used last: the others grow old and are closed.
        let idle = hub.borrow_mut().calls.idle.pop();
        let Some(idle) = idle.filter(|c| c.until > Instant::now()) else {
            break;
        };
        // Bytes that no call asked for, or an end: either way it is of no further use.
        let quiet = idle.stream.get_ref().peek(&mut [0]);
        if idle.last != call.reference
            && quiet.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        {
            return Some((idle.stream, address));
        }
    }
    // Where nobody accepts, calls come back at once: the next try keeps a distance to this one.
    let next = ahead(APART_MS);
    let connected = by(ahead(1000), Async::<TcpStream>::connect(address)).await;
    let Some(Ok(stream)) = connected else {
        Timer::at(next).await;
        return None;
    };
    let _ = stream.get_ref().set_nodelay(true);
    Some((stream, address))
}

async fn exchange(
    hub: &Shared,
    call: &ToPost,
    stream: Async<TcpStream>,
    address: SocketAddr,
) -> (Outcome, Vec<u8>) {
    let left = call.deadline - hub.borrow().clock.now();
    if left <= 0 {
        return (Outcome::TimedOut, Vec::new());
    }
    let bytes = encode_call(call.reference, (left as u64).div_ceil(1000), &call.body);
    if stream.write_all(&bytes).await.is_err() {
        return (Outcome::Reset, Vec::new());
    }
    let Some((end, reply, clean)) = reply(hub, call.reference, &stream).await else {
        return (Outcome::Reset, Vec::new());
    };
    if clean {
        hub.borrow_mut().calls.rest(
            address,
            Idle {
                stream,
                until: ahead(REUSE_MS),
                last: call.reference,
            },
        );
    }
    let outcome = match end {
        CallOutcome::Succeeded => Outcome::Success,
        CallOutcome::Rejected => Outcome::Rejected,
        // No run waits for it any more: its end is on its way, and another call would fare the
        // same.
        CallOutcome::Failed | CallOutcome::Unneeded => Outcome::Error,
        CallOutcome::TimedOut => Outcome::TimedOut,
    };
    (outcome, reply)
}

/// The reply to this request's call, and whether nothing but it came; nothing if none can come any
/// more.
async fn reply(
    hub: &Shared,
    reference: u64,
    stream: &Async<TcpStream>,
) -> Option<(CallOutcome, Vec<u8>, bool)> {
    let mut machine = ReplyReader::default();
    let mut bytes = [0; 4096];
    let mut alone = true;
    let mut whole_by = None;
    loop {
        let n = match whole_by {
            Some(at) => by(at, stream.read(&mut bytes)).await,
            None => Some(stream.read(&mut bytes).await),
        };
        machine.feed(&bytes[..n?.ok().filter(|&n| n > 0)?]);
        loop {
            match machine.next_reply() {
                Ok(Some(reply)) if reply.reference == reference => {
                    return Some((reply.outcome, reply.body, alone && machine.is_empty()));
                }
                // A reply that nobody asked for here.
                Ok(Some(_)) => alone = false,
                Ok(None) => break,
                Err(_) => {
                    hub.borrow_mut().core.counters.malformed += 1;
                    return None;
                }
            }
        }
        whole_by = match machine.is_empty() {
            true => None,
            false => whole_by.or_else(|| Some(ahead(WHOLE_MS))),
        };
    }
}
