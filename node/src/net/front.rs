//! The fronts: accept connections and carry what is said on them, lines of gateways or uwsgi packets.

use super::hub::{Front, Nudge, Shared};
use super::{ahead, by};
use crate::wire::jsonrpc::Gateway;
use crate::wire::uwsgi::Client;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

/// Accepts connections until told to leave; then takes those that the machine has already accepted, and
/// closes the listening socket.
pub async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    hub: Shared,
    front: Front,
    listener: Async<TcpListener>,
    most: usize,
    leave: Nudge,
) {
    let accept = |stream: TcpStream| {
        let Ok(stream) = Async::new(stream) else { return };
        // Answers are small and wanted at once; a socket without the option still works.
        let _ = stream.get_ref().set_nodelay(true);
        executor.spawn(connection(hub.clone(), front, stream)).detach();
    };
    let accepting = async {
        let freed = hub.borrow().freed.clone();
        loop {
            while hub.borrow().connections() >= most {
                freed.wait().await;
                // The other front may be waiting for the same place; it looks again for itself.
                if hub.borrow().connections() < most {
                    freed.give();
                }
            }
            match listener.accept().await {
                Ok((stream, _)) => accept(stream.into_inner().expect("fresh socket")),
                Err(_) => {
                    // Out of descriptors, most likely: neither an end nor a reason to spin.
                    hub.borrow_mut().core.counters.accept_errors += 1;
                    Timer::at(ahead(50)).await;
                }
            }
        }
    };
    future::or(leave.wait(), accepting).await;
    // A request on a connection that the machine accepted is held here: none may be cut off by the close.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        accept(stream);
    }
}

async fn connection(hub: Shared, front: Front, stream: Async<TcpStream>) {
    let (id, out) = hub.borrow_mut().connected(front);
    let reading = async {
        match front {
            Front::Gateway => read_lines(&hub, id, &stream).await,
            Front::Uwsgi => read_packet(&hub, id, &stream).await,
        }
        false
    };
    let writing = async {
        write(&hub, id, &stream, out).await;
        true
    };
    let closing = future::or(reading, future::or(writing, idle(&hub, id))).await;
    hub.borrow_mut().disconnected(id);
    if closing {
        // What the peer still sends is read and dropped for a moment: unread, it would reset the connection
        // and could take the last answer with it.
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        let discard = async {
            let mut bytes = [0; 4096];
            while (&stream).read(&mut bytes).await.is_ok_and(|n| n > 0) {}
        };
        by(ahead(1000), discard).await;
    }
}

/// Reads a gateway's lines until it closes.
async fn read_lines(hub: &Shared, id: u64, mut stream: &Async<TcpStream>) {
    let mut machine = Gateway::default();
    let mut bytes = vec![0; 8192];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        machine.feed(&bytes[..n]);
        while let Some(message) = machine.next() {
            hub.borrow_mut().gateway(id, message);
        }
        if machine.broken() {
            hub.borrow_mut().finish(id);
            future::pending::<()>().await;
        }
    }
}

/// Reads one packet, and then only looks out for the client's leaving.
async fn read_packet(hub: &Shared, id: u64, mut stream: &Async<TcpStream>) {
    let mut machine = Some(Client::new(hub.borrow().uwsgi.most_body));
    let mut bytes = vec![0; 8192];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        if let Some(packet) = machine.as_mut().and_then(|m| m.feed(&bytes[..n])) {
            machine = None;
            hub.borrow_mut().uwsgi_packet(id, packet);
        }
    }
}

/// Writes what is queued until nothing more will be.
async fn write(hub: &Shared, id: u64, mut stream: &Async<TcpStream>, out: Receiver<Vec<u8>>) {
    while let Ok(bytes) = out.recv().await {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        hub.borrow_mut().written(id, bytes.len());
    }
}

/// Ends once the connection has been idle for too long, which may change while it waits.
async fn idle(hub: &Shared, id: u64) -> bool {
    loop {
        let at = {
            let hub = hub.borrow();
            hub.idle_at(id).map(|at| hub.clock.instant(at))
        };
        let soon = ahead(1000);
        match at {
            Some(at) if at <= std::time::Instant::now() => return true,
            Some(at) => Timer::at(at.min(soon)).await,
            None => Timer::at(soon).await,
        };
    }
}
