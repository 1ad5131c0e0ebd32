//! Front ends: tasks that accept connections of gateways and uwsgi clients, and read and write
//! their messages.

use crate::net::connections::{ConnectionHandle, Front, Outbox};
use crate::net::event_loop::SharedState;
use crate::net::graceful_close::{self, ConnectionEnd};
use crate::net::notify::Notify;
use crate::net::{after_ms, timeout_at};
use crate::supervision::{Subsystem, Supervisor};
use futures_lite::future;
use pipitlever_reactor::{next_poll, Async, Timer};
use pipitlever_wire::jsonrpc::{GatewayReader, Message};
use pipitlever_wire::uwsgi::PacketReader;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Time between two checks whether a connection may be accepted, while the limit on connections is
/// reached, in milliseconds.
const LIMIT_CHECK_MS: u64 = 10;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Longest time between two checks of a connection's idle timeout, in milliseconds. The timeout may
/// change with the settings.
const IDLE_CHECK_MS: u64 = 1000;
/// Size of the buffer that a connection is read into, in bytes.
const READ_BUFFER_BYTES: usize = 8192;
/// Limit on the messages of one connection that are handled before other connections have their
/// turn.
const MESSAGES_PER_TURN: usize = 32;

/// Accepts the connections of one listener.
struct Acceptor {
    supervisor: Rc<Supervisor>,
    state: SharedState,
    front: Front,
    listener: Rc<Async<TcpListener>>,
}

impl Acceptor {
    /// Accepts connections until `stop` is notified. If the node shuts down, also accepts the
    /// connections in the listen backlog, as each may carry a request.
    async fn run(self, stop: Notify) {
        future::or(stop.wait(), self.accept_all()).await;
        // A process that is not shutting down was stopped because another process of the node
        // accepts on this socket. That process also accepts the connections in the backlog.
        if self.state.borrow().is_draining() {
            self.accept_backlog();
        }
    }

    async fn accept_all(&self) {
        let freed = self.state.borrow().connections.freed.clone();
        loop {
            // Idle connections are evicted, so that they do not block new ones.
            while self.state.borrow().is_over_limit() {
                self.state.borrow_mut().evict_if_full();
                timeout_at(after_ms(LIMIT_CHECK_MS), freed.wait()).await;
            }
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.spawn_connection(stream);
                    // A close takes several steps. Evicting early spares the next client that wait.
                    self.state.borrow_mut().evict_if_full();
                }
                Err(_) => {
                    // Most likely no descriptor is free: the listener retries after a pause.
                    self.state.borrow_mut().core.counters.accept_errors += 1;
                    self.state.borrow_mut().evict_if_full();
                    Timer::at(after_ms(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    /// Accepts the connections that wait in the listen backlog.
    fn accept_backlog(&self) {
        loop {
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => self.spawn_connection(stream),
                // Only this connection failed; the backlog may hold others.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(_) => return,
            }
        }
    }

    /// Registers a connection and spawns its driver. If the driver registered the connection, a
    /// whole burst would be accepted before the first driver runs, as none of its connections would
    /// count towards the limit yet.
    fn spawn_connection(&self, stream: TcpStream) {
        let Ok(stream) = Async::<TcpStream>::new(stream) else {
            return;
        };
        // Responses are small and need low latency. Without the option the connection still works.
        let _ = stream.get_ref().set_nodelay(true);
        let handle = self.state.borrow_mut().add_connection(self.front);
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
        written,
    } = handle;
    let reading = async {
        match front {
            Front::Gateway => read_gateway(&state, id, &stream, &outbox, &written).await,
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
    // `closing` is polled first. It closes the outbox, which also ends `writing`, and its result
    // `HalfClosed` means that the peer has read everything.
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
    state.borrow_mut().remove_connection(id);
    if let Some((lingering, linger_ms)) = lingering {
        graceful_close::linger(&stream, linger_ms).await;
        drop(stream);
        state.borrow_mut().connections.end_linger(lingering);
    }
}

/// Waits until a connection is to be closed: it has no open request and has reached its idle
/// timeout or is evicted, or this process closes all connections.
async fn wait_for_close(state: &SharedState, id: u64, close_requested: &Notify) {
    loop {
        future::or(close_requested.wait(), wait_until_idle(state, id)).await;
        // A request may have arrived in the meantime.
        let state = state.borrow();
        if !state.connections.is_in_use(id) || state.is_closing() {
            return;
        }
    }
}

/// Reads a gateway's messages until it closes the connection.
async fn read_gateway(
    state: &SharedState,
    id: u64,
    stream: &Async<TcpStream>,
    outbox: &Outbox,
    written: &Notify,
) {
    let mut reader = GatewayReader::default();
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    while let Ok(length) = stream.read(&mut bytes).await {
        if length == 0 {
            return;
        }
        // Messages that arrive after the outbox is closed could not be answered and are ignored.
        if !outbox.is_closed() {
            reader.feed(&bytes[..length]);
        }
        let mut handled = 0;
        while !outbox.is_closed() {
            if handled == MESSAGES_PER_TURN {
                handled = 0;
                wait_for_turn(state, id, written).await;
                continue;
            }
            handled += 1;
            let message = reader.next_message(
                |name| state.borrow().class_index(name),
                |name| state.borrow().tenant_index(name),
            );
            let Some(message) = message else { break };
            if stream.is_read_closed() && matches!(message, Message::Work(_)) {
                // The end of the connection follows these bytes: the client has left.
                state.borrow_mut().core.count_unread_request();
                continue;
            }
            state.borrow_mut().handle_gateway_message(id, message);
            if reader.is_broken() {
                state.borrow_mut().connections.close_outbox(id);
            }
        }
        if outbox.is_closed() {
            future::pending::<()>().await;
        }
        state
            .borrow_mut()
            .record_activity(id, reader.has_partial_message());
        yield_after_read(length).await;
    }
}

/// Waits until the next message of a connection may be handled: other connections had their turn,
/// and the peer has read enough of its answers. Messages that are read and not handled yet keep the
/// connection from being closed, like a partial message.
async fn wait_for_turn(state: &SharedState, id: u64, written: &Notify) {
    state.borrow_mut().record_activity(id, true);
    next_poll().await;
    while state.borrow().connections.is_reading_paused(id) {
        written.wait().await;
    }
}

/// Lets other tasks run after a read of this many bytes. A peer that never stops sending may not
/// keep them from their sockets, either.
async fn yield_after_read(length: usize) {
    if length == READ_BUFFER_BYTES {
        next_poll().await;
    } else {
        // The next read waits for an event.
        future::yield_now().await;
    }
}

/// Reads the only packet of a uwsgi connection, and then waits for the client to close it.
async fn read_packet(state: &SharedState, id: u64, stream: &Async<TcpStream>, outbox: &Outbox) {
    let mut reader = Some(PacketReader::new(state.borrow().uwsgi.max_body_bytes));
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    while let Ok(length) = stream.read(&mut bytes).await {
        if length == 0 {
            return;
        }
        // A packet that arrives after the outbox is closed could not be answered.
        if outbox.is_closed() {
            future::pending::<()>().await;
        }
        let packet = reader
            .as_mut()
            .and_then(|reader| reader.feed(&bytes[..length]));
        if let Some(packet) = packet {
            reader = None;
            if stream.is_read_closed() && packet.is_ok() {
                state.borrow_mut().core.count_unread_request();
                return;
            }
            state.borrow_mut().handle_uwsgi_packet(id, packet);
        }
        let buffered = reader.as_ref().map_or(0, PacketReader::buffered_bytes);
        {
            let mut state = state.borrow_mut();
            state.record_activity(id, reader.is_some());
            state.record_incomplete_packet(id, buffered);
        }
        if outbox.is_closed() {
            reader = None;
        }
        yield_after_read(length).await;
    }
}

/// Writes queued bytes until the outbox is closed and empty. Returns false if a write failed.
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

/// Waits until a connection reaches its idle timeout. The timeout may change during the wait.
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
    /// The protocol of the front end.
    pub front: Front,
    /// The address that the socket is bound to.
    pub address: SocketAddr,
    /// The socket.
    pub listener: Rc<Async<TcpListener>>,
    /// Whether this process's configuration has the address. Otherwise the socket was passed on by
    /// the predecessor, whose clients use it, and is closed after the predecessor's exit.
    pub is_configured: bool,
}

/// A task that accepts the connections of a socket.
struct RunningAcceptor {
    /// As in [`FrontSocket`].
    is_configured: bool,
    /// Stops the task.
    stop: Notify,
}

/// The listening sockets of the front ends. They stay open while no connections are accepted.
pub struct Fronts {
    supervisor: Rc<Supervisor>,
    state: SharedState,
    sockets: RefCell<Vec<FrontSocket>>,
    /// The running acceptors.
    acceptors: RefCell<Vec<RunningAcceptor>>,
}

impl Fronts {
    /// Creates the front ends of these sockets. Call [`Fronts::open`] to accept connections.
    pub fn new(
        supervisor: Rc<Supervisor>,
        state: SharedState,
        sockets: Vec<FrontSocket>,
    ) -> Rc<Fronts> {
        Rc::new(Fronts {
            supervisor,
            state,
            sockets: RefCell::new(sockets),
            acceptors: RefCell::default(),
        })
    }

    /// Starts an acceptor for each socket.
    pub fn open(&self) {
        self.state.borrow_mut().set_accepting(true);
        for socket in self.sockets.borrow().iter() {
            let stop = Notify::new();
            self.acceptors.borrow_mut().push(RunningAcceptor {
                is_configured: socket.is_configured,
                stop: stop.clone(),
            });
            let accepting = self.acceptor(socket).run(stop);
            self.supervisor.spawn(Subsystem::Front, accepting).detach();
        }
    }

    fn acceptor(&self, socket: &FrontSocket) -> Acceptor {
        Acceptor {
            supervisor: self.supervisor.clone(),
            state: self.state.clone(),
            front: socket.front,
            listener: socket.listener.clone(),
        }
    }

    /// Stops accepting, as another process of the node accepts on the same sockets.
    pub fn pause(&self) {
        self.state.borrow_mut().set_accepting(false);
        self.stop_acceptors();
    }

    /// Closes the sockets once the connections in their backlogs are accepted.
    pub fn close(&self) {
        self.sockets.take();
        self.stop_acceptors();
    }

    /// Closes the sockets that only the predecessor's configuration has, once the connections in
    /// their backlogs are accepted. Called after the predecessor's exit.
    pub fn close_unconfigured(&self) {
        let is_unconfigured = |socket: &mut FrontSocket| !socket.is_configured;
        let mut sockets = self.sockets.borrow_mut();
        for socket in sockets.extract_if(.., is_unconfigured) {
            // A successor of this process that accepts in its place was passed the socket, too.
            if self.state.borrow().is_accepting {
                self.acceptor(&socket).accept_backlog();
            }
        }
        let mut acceptors = self.acceptors.borrow_mut();
        for acceptor in acceptors.extract_if(.., |acceptor| !acceptor.is_configured) {
            acceptor.stop.notify();
        }
    }

    fn stop_acceptors(&self) {
        for acceptor in self.acceptors.take() {
            acceptor.stop.notify();
        }
    }

    /// The sockets, to be passed on to a successor.
    pub fn sockets(&self) -> Vec<FrontSocket> {
        self.sockets.borrow().clone()
    }
}
