//! Front ends: accept connections, and read and write messages of gateways and uwsgi clients.

use crate::net::connections::{ConnectionHandle, Front, Outbox};
use crate::net::event_loop::SharedState;
use crate::net::graceful_close::{self, ConnectionEnd};
use crate::net::notify::Notify;
use crate::net::{after_ms, timeout_at};
use crate::supervision::{Subsystem, Supervisor};
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::jsonrpc::GatewayReader;
use pipitlever_wire::uwsgi::PacketReader;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Time between two checks for a free connection while the limit is reached, in milliseconds.
const FULL_CHECK_MS: u64 = 10;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Longest time between two checks of a connection's idle timeout, in milliseconds: the timeout may
/// change with the settings.
const IDLE_CHECK_MS: u64 = 1000;
/// Size of the buffer that a connection is read into, in bytes.
const READ_BUFFER_BYTES: usize = 8192;

/// Accepts the connections of one listener.
struct Acceptor {
    supervisor: Rc<Supervisor>,
    state: SharedState,
    front: Front,
    listener: Rc<Async<TcpListener>>,
}

impl Acceptor {
    /// Accepts connections until `stop` is notified. If the node shuts down, accepts those that the
    /// system has queued until then, as each may carry a request.
    async fn run(self, stop: Notify) {
        future::or(stop.wait(), self.accept_all()).await;
        // If another process of the node accepts, it takes the queued ones.
        if self.state.borrow().is_draining() {
            self.accept_queued();
        }
    }

    async fn accept_all(&self) {
        let freed = self.state.borrow().connections.freed.clone();
        loop {
            // Connections without requests must not keep out others.
            while self.state.borrow().is_over_limit() {
                self.state.borrow_mut().evict_if_full();
                timeout_at(after_ms(FULL_CHECK_MS), freed.wait()).await;
            }
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.spawn_connection(stream);
                    // Ahead of need: a close takes several steps, and the next client must not wait
                    // for them.
                    self.state.borrow_mut().evict_if_full();
                }
                Err(_) => {
                    // Most likely out of descriptors, which is neither an end nor a reason to spin.
                    self.state.borrow_mut().core.counters.accept_errors += 1;
                    self.state.borrow_mut().evict_if_full();
                    Timer::at(after_ms(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    fn accept_queued(&self) {
        loop {
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => self.spawn_connection(stream),
                // Only this connection is lost; others may be queued behind it.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(_) => return,
            }
        }
    }

    /// Spawns the driver of a connection. The connection counts towards the limit at once: a burst
    /// would otherwise be accepted whole before the first driver runs.
    fn spawn_connection(&self, stream: TcpStream) {
        let Ok(stream) = Async::<TcpStream>::new(stream) else {
            return;
        };
        // Answers are small and urgent; a socket without the option still works.
        let _ = stream.get_ref().set_nodelay(true);
        let handle = self.state.borrow_mut().connected(self.front);
        let driver = drive(self.state.clone(), self.front, stream, handle);
        self.supervisor.spawn(Subsystem::Front, driver).detach();
    }
}

/// Drives one connection from accept to close.
async fn drive(
    state: SharedState,
    front: Front,
    stream: Async<TcpStream>,
    handle: ConnectionHandle,
) {
    let ConnectionHandle {
        id,
        outbox,
        close_requested,
    } = handle;
    let reading = async {
        match front {
            Front::Gateway => read_gateway(&state, id, &stream, &outbox).await,
            Front::Uwsgi => read_packet(&state, id, &stream, &outbox).await,
        }
        ConnectionEnd::PeerClosed
    };
    let writing = async {
        if write(&state, id, &stream, &outbox).await {
            ConnectionEnd::ResponsesSent
        } else {
            ConnectionEnd::PeerClosed
        }
    };
    let closing = async {
        wait_for_close(&state, id, &close_requested).await;
        graceful_close::close(&state, id, &stream).await
    };
    // The close is polled first: it ends the outbox that the writer waits for, and knows that the
    // peer has read everything.
    let end = future::or(closing, future::or(reading, writing)).await;
    let linger_ms = match end {
        ConnectionEnd::ResponsesSent => Some(graceful_close::LINGER_MS),
        ConnectionEnd::HalfClosed => Some(graceful_close::IDLE_LINGER_MS),
        ConnectionEnd::PeerClosed | ConnectionEnd::PeerStalled => None,
    };
    let lingering = linger_ms.and_then(|linger_ms| {
        let lingering = state.borrow_mut().connections.begin_linger(id)?;
        Some((lingering, linger_ms))
    });
    state.borrow_mut().disconnected(id);
    if let Some((lingering, linger_ms)) = lingering {
        graceful_close::linger(&stream, linger_ms).await;
        drop(stream);
        state.borrow_mut().connections.end_linger(lingering);
    }
}

/// Waits until a connection without open requests is idle for too long or to be evicted, or until
/// this process closes all connections.
async fn wait_for_close(state: &SharedState, id: u64, close_requested: &Notify) {
    loop {
        future::or(close_requested.wait(), wait_until_idle(state, id)).await;
        // A request may have arrived just before.
        let state = state.borrow();
        if !state.connections.is_in_use(id) || state.is_closing() {
            return;
        }
    }
}

/// Reads a gateway's messages until it closes the connection.
async fn read_gateway(state: &SharedState, id: u64, stream: &Async<TcpStream>, outbox: &Outbox) {
    let mut reader = GatewayReader::default();
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    while let Ok(length) = stream.read(&mut bytes).await {
        if length == 0 {
            return;
        }
        // Once the outbox is closed, messages could not be answered and are not acted on.
        if !outbox.is_closed() {
            reader.feed(&bytes[..length]);
        }
        while !outbox.is_closed() {
            let message = reader.next_message(
                |name| state.borrow().class_index(name),
                |name| state.borrow().tenant_index(name),
            );
            let Some(message) = message else { break };
            state.borrow_mut().handle_gateway_message(id, message);
            if reader.is_broken() {
                state.borrow_mut().connections.finish(id);
            }
        }
        if outbox.is_closed() {
            future::pending::<()>().await;
        }
        state
            .borrow_mut()
            .record_activity(id, reader.has_partial_message());
        // A peer that never stops sending must not block the other tasks.
        future::yield_now().await;
    }
}

/// Reads one packet, and then waits for the client to close the connection.
async fn read_packet(state: &SharedState, id: u64, stream: &Async<TcpStream>, outbox: &Outbox) {
    let mut reader = Some(PacketReader::new(state.borrow().uwsgi.max_body_bytes));
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    while let Ok(length) = stream.read(&mut bytes).await {
        if length == 0 {
            return;
        }
        // Once the outbox is closed, a packet could not be answered.
        if outbox.is_closed() {
            future::pending::<()>().await;
        }
        let packet = reader
            .as_mut()
            .and_then(|reader| reader.feed(&bytes[..length]));
        if let Some(packet) = packet {
            reader = None;
            state.borrow_mut().handle_uwsgi_packet(id, packet);
        }
        state.borrow_mut().record_activity(id, reader.is_some());
        future::yield_now().await;
    }
}

/// Writes queued bytes until the outbox is closed and empty. Returns whether all could be written.
async fn write(state: &SharedState, id: u64, stream: &Async<TcpStream>, outbox: &Outbox) -> bool {
    let mut bytes = Vec::new();
    while outbox.take(&mut bytes).await {
        if stream.write_all(&bytes).await.is_err() {
            return false;
        }
        state
            .borrow_mut()
            .connections
            .record_written(id, bytes.len());
        bytes.clear();
    }
    true
}

/// Waits until a connection reaches its idle timeout, which may change meanwhile.
async fn wait_until_idle(state: &SharedState, id: u64) {
    loop {
        let deadline = {
            let state = state.borrow();
            state.idle_deadline(id).map(|at| state.clock.instant(at))
        };
        let next_check = after_ms(IDLE_CHECK_MS);
        match deadline {
            Some(deadline) if deadline <= Instant::now() => return,
            Some(deadline) => Timer::at(deadline.min(next_check)).await,
            None => Timer::at(next_check).await,
        };
    }
}

/// A listening socket of a front end.
#[derive(Clone)]
pub struct FrontSocket {
    /// The front end.
    pub front: Front,
    /// Its address.
    pub address: SocketAddr,
    /// The socket.
    pub listener: Rc<Async<TcpListener>>,
}

/// The listening sockets of the front ends, whether connections are accepted or not.
pub struct Fronts {
    supervisor: Rc<Supervisor>,
    state: SharedState,
    sockets: RefCell<Vec<FrontSocket>>,
    /// Stops the acceptors.
    stops: RefCell<Vec<Notify>>,
}

impl Fronts {
    /// Takes listening sockets and accepts nothing yet.
    pub fn new(
        supervisor: Rc<Supervisor>,
        state: SharedState,
        sockets: Vec<(Front, SocketAddr, Async<TcpListener>)>,
    ) -> Rc<Fronts> {
        let sockets = sockets
            .into_iter()
            .map(|(front, address, listener)| FrontSocket {
                front,
                address,
                listener: Rc::new(listener),
            });
        Rc::new(Fronts {
            supervisor,
            state,
            sockets: RefCell::new(sockets.collect()),
            stops: RefCell::default(),
        })
    }

    /// Begins to accept connections.
    pub fn open(&self) {
        self.state.borrow_mut().set_accepting(true);
        for socket in self.sockets.borrow().iter() {
            let stop = Notify::new();
            self.stops.borrow_mut().push(stop.clone());
            let acceptor = Acceptor {
                supervisor: self.supervisor.clone(),
                state: self.state.clone(),
                front: socket.front,
                listener: socket.listener.clone(),
            };
            self.supervisor
                .spawn(Subsystem::Front, acceptor.run(stop))
                .detach();
        }
    }

    /// Stops to accept, as another process of the node does.
    pub fn pause(&self) {
        self.state.borrow_mut().set_accepting(false);
        self.stop_acceptors();
    }

    /// Closes the sockets once the connections that the system has queued are accepted.
    pub fn close(&self) {
        self.sockets.take();
        self.stop_acceptors();
    }

    fn stop_acceptors(&self) {
        self.stops.take().iter().for_each(Notify::notify);
    }

    /// The sockets, to be passed on to a successor.
    pub fn sockets(&self) -> Vec<FrontSocket> {
        self.sockets.borrow().clone()
    }
}
