//! The link to the processor: held open, set up again whenever it breaks.

pub mod connection;

use crate::log::log;
use crate::net::hub::Shared;
use crate::net::{ahead, by};
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::processor::NoticeReader;
use std::net::TcpStream;

/// An old link says within this time, in milliseconds, that it has read everything, or is left
/// without.
const LEAVE_MS: u64 = 150;

/// What the buffer of what is written keeps of its memory.
const KEPT: usize = 16 << 10;

/// Keeps a link for as long as the node runs, to wherever the processor is.
pub async fn link(hub: Shared) {
    let mut machine = NoticeReader::default();
    let moved = hub.borrow().link.moved.clone();
    loop {
        let next = ahead(50);
        // The address is read now: a nudge left over from the old link, which ended before it was
        // waited for, would have the new one dropped as soon as it is there, with nothing said on
        // it.
        moved.clear();
        let Some(address) = hub.borrow().link.address else {
            return;
        };
        let connect = by(ahead(1000), Async::<TcpStream>::connect(address));
        let connected = future::or(async { connect.await.and_then(Result::ok) }, async {
            moved.wait().await;
            None
        });
        if let Some(stream) = connected.await {
            let _ = stream.get_ref().set_nodelay(true);
            hub.borrow_mut().linked();
            let hello = machine.hello();
            let carried = future::or(
                read(&hub, &mut machine, &stream),
                write(&hub, hello, &stream),
            );
            let left = async {
                moved.wait().await;
                Timer::at(ahead(LEAVE_MS)).await;
            };
            future::or(carried, left).await;
            let elsewhere = hub.borrow().link.address != Some(address);
            hub.borrow_mut().link.unlinked();
            log(if elsewhere {
                "processor: link moved"
            } else {
                "processor: link lost"
            });
            if elsewhere {
                continue;
            }
        }
        Timer::at(next).await;
    }
}

async fn read(hub: &Shared, machine: &mut NoticeReader, stream: &Async<TcpStream>) {
    let mut bytes = vec![0; 16384];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        machine.feed(&bytes[..n]);
        loop {
            match machine.next_notice() {
                Ok(Some(notice)) => hub.borrow_mut().notice(notice),
                Ok(None) => break,
                Err(_) => {
                    hub.borrow_mut().core.counters.malformed += 1;
                    log("processor: message not understood");
                    return;
                }
            }
        }
    }
}

/// Says hello, and then what the hub has to say, until the link is to be left.
async fn write(hub: &Shared, hello: Vec<u8>, stream: &Async<TcpStream>) {
    if stream.write_all(&hello).await.is_err() {
        return;
    }
    let nudge = hub.borrow().link.nudge.clone();
    let mut bytes = Vec::new();
    while !hub.borrow().link.left() {
        let batch = {
            let hub = &mut *hub.borrow_mut();
            hub.link.batch(hub.clock.now(), &mut bytes)
        };
        match batch {
            true if stream.write_all(&bytes).await.is_ok() => {}
            true => return,
            false => nudge.wait().await,
        }
        bytes.clear();
        // Not what a burst of large bodies made of it.
        bytes.shrink_to(KEPT);
    }
}
