//! The link to the processor: held open, set up again whenever it breaks.

use super::hub::Shared;
use super::{ahead, by};
use crate::log::log;
use crate::wire::processor::Processor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};

/// Keeps a link for as long as the node runs.
pub async fn link(hub: Shared, address: SocketAddr) {
    let mut machine = Processor::default();
    loop {
        let next = ahead(50);
        if let Some(Ok(stream)) = by(ahead(1000), Async::<TcpStream>::connect(address)).await {
            let _ = stream.get_ref().set_nodelay(true);
            hub.borrow_mut().linked();
            let hello = machine.hello();
            future::or(read(&hub, &mut machine, &stream), write(&hub, hello, &stream)).await;
            hub.borrow_mut().unlinked();
            log("processor: link lost");
        }
        Timer::at(next).await;
    }
}

async fn read(hub: &Shared, machine: &mut Processor, mut stream: &Async<TcpStream>) {
    let mut bytes = vec![0; 16384];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        machine.feed(&bytes[..n]);
        loop {
            match machine.next() {
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

/// Says hello, and nothing else until the processor is up.
async fn write(hub: &Shared, hello: Vec<u8>, mut stream: &Async<TcpStream>) {
    if stream.write_all(&hello).await.is_err() {
        return;
    }
    let nudge = hub.borrow().link.nudge.clone();
    loop {
        let next = {
            let hub = hub.borrow();
            hub.link.commands.front().filter(|_| hub.link.up).cloned()
        };
        match next {
            Some(command) if stream.write_all(&command).await.is_ok() => {
                // Only now: one that was cut off in the middle was never understood, and goes out again.
                hub.borrow_mut().link.commands.pop_front();
            }
            Some(_) => return,
            None => nudge.wait().await,
        }
    }
}
