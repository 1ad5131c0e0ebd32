//! The fronts: accept connections and carry what is said on them, lines of gateways or uwsgi
//! packets.

use crate::net::connections::{Front, Outbox, Place};
use crate::net::graceful_close::{self, End};
use crate::net::hub::Shared;
use crate::net::notify::Nudge;
use crate::net::{ahead, by};
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::jsonrpc::GatewayReader;
use pipitlever_wire::uwsgi::PacketReader;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// At the limit, a place is looked for again after so long, in milliseconds.
const FULL_MS: u64 = 10;

/// Accepts connections until told to leave; then takes those that the machine has already accepted,
/// and closes the listening socket.
async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    hub: Shared,
    front: Front,
    listener: Rc<Async<TcpListener>>,
    leave: Nudge,
) {
    let accept = |stream: TcpStream| {
        let Ok(stream) = Async::<TcpStream>::new(stream) else {
            return;
        };
        // Answers are small and wanted at once; a socket without the option still works.
        let _ = stream.get_ref().set_nodelay(true);
        // It takes its place now: a burst would else be accepted whole before the first driver
        // runs.
        let place = hub.borrow_mut().connected(front);
        executor
            .spawn(connection(hub.clone(), front, stream, place))
            .detach();
    };
    let accepting = async {
        let freed = hub.borrow().places.freed.clone();
        loop {
            // Those that say nothing must not shut out those that have something to say.
            while hub.borrow().crowded() {
                hub.borrow_mut().make_room();
                by(ahead(FULL_MS), freed.wait()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    accept(stream);
                    // Ahead of need: a connection is closed in some steps, and the next newcomer is
                    // not to wait for them.
                    hub.borrow_mut().make_room();
                }
                Err(_) => {
                    // Out of descriptors, most likely: neither an end nor a reason to spin.
                    hub.borrow_mut().core.counters.accept_errors += 1;
                    hub.borrow_mut().make_room();
                    Timer::at(ahead(50)).await;
                }
            }
        }
    };
    future::or(leave.wait(), accepting).await;
    if !hub.borrow().draining() {
        // Another process of this node accepts from the same queue.
        return;
    }
    // A request on a connection that the machine accepted is held here: none may be cut off by the
    // close.
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => accept(stream),
            // That one alone is gone; others may wait behind it.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) => {}
            Err(_) => return,
        }
    }
}

async fn connection(hub: Shared, front: Front, stream: Async<TcpStream>, place: Place) {
    let Place { id, out, wanted } = place;
    let reading = async {
        match front {
            Front::Gateway => read_lines(&hub, id, &stream, &out).await,
            Front::Uwsgi => read_packet(&hub, id, &stream, &out).await,
        }
        End::Peer
    };
    let writing = async {
        match write(&hub, id, &stream, &out).await {
            true => End::Said,
            false => End::Peer,
        }
    };
    let unused = async {
        future::or(wanted.wait(), idle(&hub, id)).await;
        // A request may have come just before: then its place is not to be had.
        while hub.borrow().places.in_use(id) && !hub.borrow().closing() {
            future::or(wanted.wait(), idle(&hub, id)).await;
        }
        graceful_close::retire(&hub, id, &stream).await
    };
    // The idle one first: it closes what the writer waits for, and knows that the peer has read
    // all.
    let end = future::or(unused, future::or(reading, writing)).await;
    let bound_ms = match end {
        End::Said => Some(graceful_close::LINGER_MS),
        End::Idle => Some(graceful_close::LINGER_IDLE_MS),
        End::Peer | End::Stuck => None,
    };
    let lingering =
        bound_ms.and_then(|bound_ms| Some((hub.borrow_mut().places.linger(id)?, bound_ms)));
    hub.borrow_mut().disconnected(id);
    if let Some((lingering, bound_ms)) = lingering {
        graceful_close::linger(&stream, bound_ms).await;
        drop(stream);
        hub.borrow_mut().places.lingered(lingering);
    }
}

/// Reads a gateway's lines until it closes.
async fn read_lines(hub: &Shared, id: u64, stream: &Async<TcpStream>, out: &Outbox) {
    let mut machine = GatewayReader::default();
    let mut bytes = vec![0; 8192];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        // What comes behind the last word is not acted on: its answer could not be written any
        // more.
        if !out.closed() {
            machine.feed(&bytes[..n]);
        }
        while !out.closed() {
            let message = machine.next_message(
                |name| hub.borrow().class(name),
                |name| hub.borrow().tenant(name),
            );
            let Some(message) = message else { break };
            hub.borrow_mut().gateway(id, message);
            if machine.is_broken() {
                hub.borrow_mut().places.finish(id);
            }
        }
        if out.closed() {
            future::pending::<()>().await;
        }
        hub.borrow_mut().stirred(id, machine.has_partial_message());
        // A peer that always has something to say would otherwise never let the others have their
        // turn.
        future::yield_now().await;
    }
}

/// Reads one packet, and then only looks out for the client's leaving.
async fn read_packet(hub: &Shared, id: u64, stream: &Async<TcpStream>, out: &Outbox) {
    let mut machine = Some(PacketReader::new(hub.borrow().uwsgi.most_body));
    let mut bytes = vec![0; 8192];
    while let Ok(n) = stream.read(&mut bytes).await {
        if n == 0 {
            return;
        }
        // A connection that was closed meanwhile has no answer for a packet any more.
        if out.closed() {
            future::pending::<()>().await;
        }
        if let Some(packet) = machine.as_mut().and_then(|m| m.feed(&bytes[..n])) {
            machine = None;
            hub.borrow_mut().uwsgi_packet(id, packet);
        }
        hub.borrow_mut().stirred(id, machine.is_some());
        future::yield_now().await;
    }
}

/// Writes what is queued until nothing more will be; whether all of it could be written.
async fn write(hub: &Shared, id: u64, stream: &Async<TcpStream>, out: &Outbox) -> bool {
    let mut bytes = Vec::new();
    while out.take(&mut bytes).await {
        if stream.write_all(&bytes).await.is_err() {
            return false;
        }
        hub.borrow_mut().places.written(id, bytes.len());
        bytes.clear();
    }
    true
}

/// Ends once the connection has been idle for too long, which may change while it waits.
async fn idle(hub: &Shared, id: u64) {
    loop {
        let at = {
            let hub = hub.borrow();
            hub.idle_at(id).map(|at| hub.clock.instant(at))
        };
        let soon = ahead(1000);
        match at {
            Some(at) if at <= std::time::Instant::now() => return,
            Some(at) => Timer::at(at.min(soon)).await,
            None => Timer::at(soon).await,
        };
    }
}

/// A socket that a front listens on, and its address.
pub type Listening = (Front, SocketAddr, Rc<Async<TcpListener>>);

/// The sockets that the fronts listen on, whether anything is accepted from them or not.
pub struct Fronts {
    executor: Rc<LocalExecutor<'static>>,
    hub: Shared,
    sockets: RefCell<Vec<Listening>>,
    leave: RefCell<Vec<Nudge>>,
}

impl Fronts {
    /// Listens on these, and accepts nothing yet.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        hub: Shared,
        sockets: Vec<(Front, SocketAddr, Async<TcpListener>)>,
    ) -> Rc<Fronts> {
        let sockets = sockets
            .into_iter()
            .map(|(front, at, listener)| (front, at, Rc::new(listener)));
        Rc::new(Fronts {
            executor,
            hub,
            sockets: RefCell::new(sockets.collect()),
            leave: RefCell::default(),
        })
    }

    /// Accepts from now on.
    pub fn open(&self) {
        self.hub.borrow_mut().take_clients(true);
        for (front, _, listener) in self.sockets.borrow().iter() {
            let leave = Nudge::new();
            self.leave.borrow_mut().push(leave.clone());
            let accepting = listen(
                self.executor.clone(),
                self.hub.clone(),
                *front,
                listener.clone(),
                leave,
            );
            self.executor.spawn(accepting).detach();
        }
    }

    /// Accepts nothing more, as another process of this node does.
    pub fn pause(&self) {
        self.hub.borrow_mut().take_clients(false);
        self.leave.take().iter().for_each(Nudge::give);
    }

    /// Lets the sockets go: they close once what the machine has accepted is taken.
    pub fn leave(&self) {
        self.sockets.take();
        self.leave.take().iter().for_each(Nudge::give);
    }

    /// The sockets, to be passed on.
    pub fn sockets(&self) -> Vec<Listening> {
        self.sockets.borrow().clone()
    }
}
