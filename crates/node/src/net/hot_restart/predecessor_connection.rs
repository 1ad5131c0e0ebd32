//! The successor's side: connects to the predecessor, receives its sockets and keys, and takes
//! over.

use super::adopted_sockets::AdoptedSockets;
use super::error::HotRestartError;
use super::peer::PeerProcess;
use super::{CHUNK_BYTES, MESSAGE_TIMEOUT_MS};
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use futures_lite::future;
use pipitlever_hot_restart::message::{self, Decoder, Message, Welcome};
use pipitlever_hot_restart::successor::{Action, ConnectionLoss, Phase, Successor};
use pipitlever_idempotency_store::record::Salt;
use pipitlever_reactor::{Async, Timer};
use rustix::fd::OwnedFd;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Instant;

/// How long to retry while the process at the socket sends no welcome, in milliseconds. It may be
/// shutting down.
const SHUTDOWN_TIMEOUT_MS: u64 = 3000;
/// Time between two attempts to connect, in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 25;
/// How long to wait for the predecessor's exit after the connection has ended, in milliseconds.
const EXIT_TIMEOUT_MS: u64 = 500;
/// Time between two checks whether this process is ready to serve, in milliseconds.
const READY_CHECK_MS: u64 = 5;
/// Lower bound of a successor's share of the processor's memory, even if its predecessor uses all.
const MIN_MEMORY_SHARE: f64 = 0.05;
/// Size of the buffer that the welcome is read into, in bytes.
const WELCOME_BUFFER_BYTES: usize = 4096;

/// A connection to a predecessor that has passed its sockets.
pub struct PredecessorConnection {
    stream: Async<UnixStream>,
    peer: PeerProcess,
    decoder: Decoder,
    successor: Successor,
    /// Salt of the node's payload digests.
    pub salt: Salt,
    /// The sockets, until they are taken.
    pub sockets: AdoptedSockets,
}

/// Connects to the process that listens at `path` and receives its sockets; none if there is no
/// such process.
///
/// # Errors
///
/// This process cannot take over from the process at `path`, which continues to serve.
pub async fn connect_to_predecessor(
    path: &Path,
    node_name: &str,
    listen: SocketAddr,
) -> Result<Option<PredecessorConnection>, HotRestartError> {
    let deadline = after_ms(SHUTDOWN_TIMEOUT_MS);
    let mut version = message::VERSION;
    loop {
        let stream = match UnixStream::connect(path) {
            Ok(stream) => stream,
            // No process, or the socket of a process that crashed.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) =>
            {
                return Ok(None);
            }
            Err(source) => {
                let path = path.to_owned();
                return Err(HotRestartError::Connect { path, source });
            }
        };
        let Some(peer) = PeerProcess::of(&stream) else {
            let path = path.to_owned();
            return Err(HotRestartError::OtherUser { path });
        };
        let stream = Async::<UnixStream>::new(stream).map_err(HotRestartError::Socket)?;
        let receiving = receive_welcome(&stream, version);
        match timeout_at(after_ms(MESSAGE_TIMEOUT_MS), receiving).await {
            Some(Ok(Reply::Welcome(received))) => {
                return received
                    .into_connection(stream, peer, node_name, listen)
                    .map(Some);
            }
            Some(Ok(Reply::OlderVersion(older))) => version = older,
            // The process is shutting down, has exited, or has another successor.
            Some(Ok(Reply::None)) if Instant::now() < deadline => {
                Timer::at(after_ms(RECONNECT_INTERVAL_MS)).await;
            }
            Some(Ok(Reply::None)) => return Err(HotRestartError::Rejected),
            Some(Err(error)) => return Err(error),
            None => return Err(HotRestartError::WelcomeTimeout),
        }
    }
}

/// A welcome and the sockets that were passed with it.
struct ReceivedWelcome {
    successor: Successor,
    decoder: Decoder,
    welcome: Welcome,
    sockets: Vec<OwnedFd>,
}

impl ReceivedWelcome {
    fn into_connection(
        self,
        stream: Async<UnixStream>,
        peer: PeerProcess,
        node_name: &str,
        listen: SocketAddr,
    ) -> Result<PredecessorConnection, HotRestartError> {
        let sockets = AdoptedSockets::new(&self.welcome, self.sockets, node_name, listen)?;
        Ok(PredecessorConnection {
            stream,
            peer,
            decoder: self.decoder,
            successor: self.successor,
            salt: Salt(self.welcome.salt),
            sockets,
        })
    }
}

/// What a process replies to a successor's greeting.
enum Reply {
    Welcome(Box<ReceivedWelcome>),
    /// The process is of an older build: it has closed the connection, and speaks this version.
    OlderVersion(u16),
    /// The connection has ended.
    None,
}

/// Sends the greeting with a version, and receives the reply.
async fn receive_welcome(
    stream: &Async<UnixStream>,
    version: u16,
) -> Result<Reply, HotRestartError> {
    let mut successor = Successor::connecting();
    let mut decoder = Decoder::default();
    if stream.write_all(&message::greeting(version)).await.is_err() {
        return Ok(Reply::None);
    }
    let (mut bytes, mut sockets) = ([0; WELCOME_BUFFER_BYTES], Vec::new());
    loop {
        match stream
            .receive_with_descriptors(&mut bytes, &mut sockets)
            .await
        {
            Ok(length) if length > 0 => decoder.feed(&bytes[..length]),
            _ => {
                let older = decoder.peer_version().filter(|peer| *peer < version);
                return Ok(older.map_or(Reply::None, Reply::OlderVersion));
            }
        }
        let Some(message) = decoder.next_message()? else {
            continue;
        };
        let Action::AdoptSockets(welcome) = successor.handle_message(message)? else {
            return Err(HotRestartError::NoWelcome);
        };
        return Ok(Reply::Welcome(Box::new(ReceivedWelcome {
            successor,
            decoder,
            welcome,
            sockets,
        })));
    }
}

/// Whether the connection has to be read further.
#[derive(PartialEq, Eq)]
enum Progress {
    Continue,
    Finished,
}

impl PredecessorConnection {
    /// Takes over once this process is ready, and applies the predecessor's messages until it
    /// exits. `serve` is called with the predecessor's membership state when this process has to
    /// serve.
    ///
    /// # Errors
    ///
    /// This process has to exit, and the predecessor continues to serve.
    pub async fn take_over(
        mut self,
        state: &SharedState,
        serve: impl Fn(Option<Vec<u8>>),
    ) -> Result<(), HotRestartError> {
        if self.wait_until_ready(state).await? == Progress::Continue {
            self.receive_keys(state, &serve).await?;
        }
        // The connection may end while both processes run, and only one of them may serve.
        let has_exited = !self.successor.must_check_exit()
            || self
                .peer
                .wait_for_exit(Some(after_ms(EXIT_TIMEOUT_MS)))
                .await;
        let has_served = self.successor.phase() == Phase::Mirror;
        match self.successor.handle_disconnect(has_exited) {
            ConnectionLoss::Abort => return Err(HotRestartError::Disconnected),
            ConnectionLoss::KeysComplete => log("hot restart: complete, the predecessor exited"),
            ConnectionLoss::KeysIncomplete | ConnectionLoss::NoPredecessor => {
                log(
                    "hot restart: the predecessor exited before all keys were received: \
                     unknown keys are rejected for a window",
                );
                state
                    .borrow_mut()
                    .with_core(|core, now| core.handle_keys_lost(now));
            }
        }
        state
            .borrow_mut()
            .with_core(|core, now| core.resolve_orphaned_keys(now));
        // A successor of this process may have taken over in the meantime: it serves in this
        // process's place, and shares the limits with it.
        let has_successor = state.borrow().hot_restart.predecessor.has_successor();
        if !has_successor {
            state.borrow_mut().set_memory_share(None);
        }
        if !has_served {
            serve(None);
        }
        Ok(())
    }

    /// Waits until this process is ready to serve, or the connection ends.
    async fn wait_until_ready(&mut self, state: &SharedState) -> Result<Progress, HotRestartError> {
        let ready = async {
            while state.borrow().core.is_starting() {
                Timer::at(after_ms(READY_CHECK_MS)).await;
            }
            None
        };
        let mut byte = [0];
        let ended = async { Some(self.stream.read(&mut byte).await) };
        match future::or(ready, ended).await {
            None => Ok(Progress::Continue),
            Some(Ok(length)) if length > 0 => Err(HotRestartError::PrematureMessage),
            Some(_) => Ok(Progress::Finished),
        }
    }

    /// Requests the keys and handles messages until the connection ends. After the takeover an
    /// invalid message closes the connection instead of ending the process.
    async fn receive_keys(
        &mut self,
        state: &SharedState,
        serve: &impl Fn(Option<Vec<u8>>),
    ) -> Result<(), HotRestartError> {
        self.successor.handle_ready();
        let mut bytes = vec![0; CHUNK_BYTES];
        let mut out = Vec::new();
        message::encode(&Message::Freeze, &mut out);
        let deadline = after_ms(MESSAGE_TIMEOUT_MS);
        loop {
            if !out.is_empty() {
                // After a failure the read below returns the end of the connection.
                let writing = self.stream.write_all(&out);
                let _ = timeout_at(after_ms(MESSAGE_TIMEOUT_MS), writing).await;
                out.clear();
            }
            let reading = self.stream.read(&mut bytes);
            let read = match self.successor.phase() {
                Phase::Mirror => Some(reading.await),
                _ => timeout_at(deadline, reading).await,
            };
            match read {
                Some(Ok(length)) if length > 0 => self.decoder.feed(&bytes[..length]),
                Some(_) => return Ok(()),
                None => return Err(HotRestartError::SnapshotTimeout),
            }
            loop {
                let is_serving = self.successor.phase() == Phase::Mirror;
                match self.next_action() {
                    Ok(None) => break,
                    Ok(Some(action)) => execute(state, serve, action, &mut out),
                    Err(_) if is_serving => return Ok(()),
                    Err(error) => return Err(error),
                }
            }
        }
    }

    fn next_action(&mut self) -> Result<Option<Action>, HotRestartError> {
        match self.decoder.next_message()? {
            Some(message) => Ok(Some(self.successor.handle_message(message)?)),
            None => Ok(None),
        }
    }
}

fn execute(
    state: &SharedState,
    serve: &impl Fn(Option<Vec<u8>>),
    action: Action,
    out: &mut Vec<u8>,
) {
    match action {
        Action::AdoptSockets(_) => {}
        Action::ApplyKey(key, origin) => {
            let mut state = state.borrow_mut();
            let to_unix = state.clock.unix_offset();
            state.with_core(|core, now| core.apply_transferred_key(now, key, origin, to_unix));
        }
        Action::ReleaseKey(key) => {
            state
                .borrow_mut()
                .with_core(|core, now| core.release_transferred_key(now, &key));
        }
        Action::ConfirmSnapshot {
            is_standby,
            memory_share,
        } => {
            let mut state = state.borrow_mut();
            state.core.set_standby(is_standby);
            let share = (1.0 - memory_share).max(MIN_MEMORY_SHARE);
            state.set_memory_share(Some(share));
            message::encode(&Message::SnapshotReceived, out);
        }
        Action::Serve { membership } => {
            log("hot restart: took over, this process serves");
            serve(membership);
        }
    }
}
