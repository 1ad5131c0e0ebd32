//! Calls to the layer below: one connection, set up when a call wants it.

use super::hub::{Shared, ToLedger};
use super::{ahead, by};
use crate::wire::ledger::{abandon, post, Replies};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use pipitlever::Outcome;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A connection without calls is closed from this side after so long, in milliseconds: the ledger does it
/// after 10 s, and a call written just then would be lost without a word.
const IDLE_MS: u64 = 8000;

/// Carries calls for as long as the node runs.
pub async fn calls(hub: Shared, address: SocketAddr) {
    let nudge = hub.borrow().ledger.nudge.clone();
    loop {
        while hub.borrow().ledger.queue.is_empty() {
            nudge.wait().await;
        }
        // Where nobody accepts, calls come back at once: the next try keeps a distance to this one.
        let next = ahead(50);
        let connect = Async::<TcpStream>::connect(address);
        match by(ahead(1000), connect).await {
            Some(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                future::or(read(&hub, &stream), write(&hub, &stream)).await;
                hub.borrow_mut().ledger_lost();
            }
            _ => {
                hub.borrow_mut().ledger_unreachable();
                Timer::at(next).await;
            }
        }
    }
}

async fn read(hub: &Shared, mut stream: &Async<TcpStream>) {
    let mut machine = Replies::default();
    let mut bytes = vec![0; 16384];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        machine.feed(&bytes[..n]);
        loop {
            match machine.next() {
                Ok(Some((id, end, reply))) => hub.borrow_mut().called(id, end, reply),
                Ok(None) => break,
                Err(_) => {
                    hub.borrow_mut().core.counters.malformed += 1;
                    return;
                }
            }
        }
    }
}

async fn write(hub: &Shared, mut stream: &Async<TcpStream>) {
    let nudge = hub.borrow().ledger.nudge.clone();
    loop {
        let next = hub.borrow_mut().ledger.queue.pop_front();
        let bytes = match &next {
            Some(ToLedger::Post(id, deadline, body)) => {
                let mut hub = hub.borrow_mut();
                let left = deadline - hub.clock.now();
                if left <= 0 {
                    hub.tell(|core, now| core.call_ended(now, *id, Outcome::TimedOut, Rc::from([])));
                    continue;
                }
                hub.ledger.posted.insert(*id);
                post(*id, (left as u64).div_ceil(1000), body)
            }
            Some(ToLedger::Abandon(id)) => abandon(*id),
            None => {
                let quiet = by(ahead(IDLE_MS), nudge.wait()).await.is_none();
                let hub = hub.borrow();
                if quiet && hub.ledger.posted.is_empty() && hub.ledger.queue.is_empty() {
                    return;
                }
                continue;
            }
        };
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
