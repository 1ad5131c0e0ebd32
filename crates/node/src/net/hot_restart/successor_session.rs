//! The predecessor's side: one connection to a successor.

use super::error::SessionEnd;
use super::peer::PeerProcess;
use super::successor_listener::SuccessorListener;
use super::{CHUNK_BYTES, MEMBERSHIP_TCP, MEMBERSHIP_UDP, MESSAGE_TIMEOUT_MS};
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use futures_lite::future;
use pipitlever_hot_restart::message::{self, Decoder, ListeningSocket, Message, Welcome};
use pipitlever_hot_restart::predecessor::{Action, Phase};
use pipitlever_idempotency_store::record::Salt;
use pipitlever_reactor::Async;
use rustix::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// Size of the buffer that the successor's short messages are read into, in bytes.
const READ_BUFFER_BYTES: usize = 512;

/// Serves one connection, from the greeting to the end.
pub async fn run(listener: Rc<SuccessorListener>, stream: Async<UnixStream>, peer: PeerProcess) {
    let state = &listener.state;
    let mut decoder = Decoder::default();
    let greeting = read_greeting(&mut decoder, &stream);
    let greeted = timeout_at(after_ms(MESSAGE_TIMEOUT_MS), greeting).await;
    let version = match greeted.unwrap_or(Err(SessionEnd::GreetingTimeout)) {
        Ok(version) => version,
        Err(reason) => {
            // The greeting contains the version, so that a process of another version can ask for
            // that one, or report it.
            let version = decoder.peer_version().unwrap_or(message::VERSION);
            let _ = stream.write(&message::greeting(version)).await;
            return log(&format!("hot restart: rejected a process: {reason}"));
        }
    };
    if !state.borrow_mut().hot_restart.predecessor.handle_connect() {
        return log("hot restart: rejected a process: another one is the successor already");
    }
    log("hot restart: a successor connected");
    let writing = write(&listener, &stream, version);
    let reading = read(&listener, &mut decoder, &stream);
    let end = future::or(writing, reading).await;
    // Closes the connection, so that a successor that still reads sees its end.
    drop(stream);
    let has_yielded = state.borrow().hot_restart.predecessor.has_yielded();
    if has_yielded {
        // The successor may serve until it exits, and only one process may serve.
        peer.wait_for_exit(None).await;
    }
    let actions = state
        .borrow_mut()
        .hot_restart
        .predecessor
        .handle_disconnect();
    if !has_yielded {
        log(&format!(
            "hot restart: aborted, this process goes on serving: {end}"
        ));
    } else if !actions.is_empty() {
        log(&format!(
            "hot restart: the successor exited, this process serves again: {end}"
        ));
    }
    for action in actions {
        execute(&listener, *action);
    }
}

/// Reads the greeting, and returns the version that the successor asks for. It may send no message
/// before it has received the welcome.
async fn read_greeting(
    decoder: &mut Decoder,
    stream: &Async<UnixStream>,
) -> Result<u16, SessionEnd> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    loop {
        if let Some(version) = decoder.peer_version() {
            return Ok(version);
        }
        match stream.read(&mut bytes).await {
            Ok(length) if length > 0 => decoder.feed(&bytes[..length]),
            _ => return Err(SessionEnd::NoGreeting),
        }
        if decoder.next_message()?.is_some() {
            return Err(SessionEnd::UnexpectedMessage);
        }
    }
}

/// Sends the welcome with the sockets, and then keys and other messages as they become due.
async fn write(
    listener: &SuccessorListener,
    stream: &Async<UnixStream>,
    version: u16,
) -> SessionEnd {
    let mut bytes = match send_welcome(listener, stream, version).await {
        Ok(unsent) => unsent,
        Err(end) => return end,
    };
    let transfer_pending = listener.state.borrow().hot_restart.transfer_pending.clone();
    let mut sent = SentMessages::default();
    loop {
        match timeout_at(after_ms(MESSAGE_TIMEOUT_MS), stream.write_all(&bytes)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return error.into(),
            // Otherwise updates for a successor that does not read would accumulate in this
            // process.
            None => return SessionEnd::WriteTimeout,
        }
        bytes.clear();
        while !next_chunk(&listener.state, version, &mut bytes, &mut sent) {
            transfer_pending.wait().await;
        }
    }
}

/// Sends the welcome and passes the sockets. Returns the bytes of the welcome that are not written
/// yet.
async fn send_welcome(
    listener: &SuccessorListener,
    stream: &Async<UnixStream>,
    version: u16,
) -> Result<Vec<u8>, SessionEnd> {
    let sockets = listener.fronts.sockets();
    let membership = listener.state.borrow().membership.clone();
    let membership_sockets = membership.as_ref().map(|membership| membership.sockets());
    let mut listening: Vec<ListeningSocket> = sockets
        .iter()
        .map(|socket| ListeningSocket {
            protocol: socket.front.name().into(),
            address: socket.address,
        })
        .collect();
    let mut passed: Vec<_> = sockets
        .iter()
        .map(|socket| socket.listener.get_ref().as_fd())
        .collect();
    if let Some((udp, tcp)) = membership_sockets {
        let addresses = [
            (MEMBERSHIP_UDP, udp.local_addr()),
            (MEMBERSHIP_TCP, tcp.local_addr()),
        ];
        listening.extend(addresses.into_iter().filter_map(|(protocol, address)| {
            Some(ListeningSocket {
                protocol: protocol.into(),
                address: address.ok()?,
            })
        }));
        passed.extend([udp.as_fd(), tcp.as_fd()]);
    }
    let Salt(salt) = listener.state.borrow().salt;
    let welcome = Message::Welcome(Welcome {
        node_name: listener.node_name.clone(),
        sockets: listening,
        salt,
    });
    let mut bytes = message::greeting(version);
    message::encode(&welcome, &mut bytes);
    let sending = stream.send_with_descriptors(&bytes, &passed);
    match timeout_at(after_ms(MESSAGE_TIMEOUT_MS), sending).await {
        Some(Ok(sent)) => Ok(bytes.split_off(sent)),
        _ => Err(SessionEnd::WelcomeNotSent),
    }
}

/// Which of the messages that are sent once have been sent.
#[derive(Default)]
struct SentMessages {
    is_snapshot_complete: bool,
    is_yielded: bool,
}

/// Encodes the messages that are due, with at most about [`CHUNK_BYTES`] of keys. Returns whether
/// there are any. All keys precede `SnapshotComplete`; later changes of keys follow it.
fn next_chunk(
    state: &SharedState,
    version: u16,
    chunk: &mut Vec<u8>,
    sent: &mut SentMessages,
) -> bool {
    let mut state = state.borrow_mut();
    let unix_offset = state.clock.unix_offset();
    while chunk.len() < CHUNK_BYTES {
        let Some(message) = state.core.next_key_update(unix_offset) else {
            break;
        };
        message::encode(&message.for_version(version), chunk);
    }
    let phase = state.hot_restart.predecessor.phase();
    let has_yielded = state.hot_restart.predecessor.has_yielded();
    if has_yielded && !std::mem::replace(&mut sent.is_yielded, true) {
        let membership = state
            .membership
            .as_ref()
            .map(|driver| driver.resume_state());
        message::encode(&Message::Yielded { membership }, chunk);
    }
    if chunk.is_empty() && !sent.is_snapshot_complete && phase == Phase::Freeze {
        sent.is_snapshot_complete = true;
        let is_standby = state.core.is_standby();
        // If this process uses more than half of the memory, it keeps that share.
        let memory_share = state.core.required_memory_share();
        state.set_memory_share(Some(memory_share));
        let message = Message::SnapshotComplete {
            is_standby,
            memory_share,
        };
        message::encode(&message, chunk);
    }
    state.hot_restart.unsent_bytes = chunk.len();
    !chunk.is_empty()
}

/// Handles the successor's messages until the connection ends.
async fn read(
    listener: &Rc<SuccessorListener>,
    decoder: &mut Decoder,
    stream: &Async<UnixStream>,
) -> SessionEnd {
    let mut bytes = [0; READ_BUFFER_BYTES];
    loop {
        loop {
            let message = match decoder.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(error) => return error.into(),
            };
            let action = listener
                .state
                .borrow_mut()
                .hot_restart
                .predecessor
                .handle_message(&message);
            if action == Action::Disconnect {
                return SessionEnd::UnexpectedMessage;
            }
            execute(listener, action);
        }
        match stream.read(&mut bytes).await {
            Ok(length) if length > 0 => decoder.feed(&bytes[..length]),
            _ => return SessionEnd::Closed,
        }
    }
}

fn execute(listener: &Rc<SuccessorListener>, action: Action) {
    let state = &listener.state;
    match action {
        Action::RestoreLimits => state.borrow_mut().set_memory_share(None),
        Action::FreezeKeys => {
            let mut state = state.borrow_mut();
            state.core.freeze_keys();
            state.hot_restart.transfer_pending.notify();
        }
        Action::UnfreezeKeys => state.borrow_mut().core.unfreeze_keys(),
        Action::Yield => {
            log("hot restart: yielded, the successor serves");
            listener.fronts.pause();
            if let Some(membership) = &state.borrow().membership {
                membership.pause();
            }
            listener.stop();
            state.borrow().hot_restart.transfer_pending.notify();
        }
        Action::Resume => {
            state
                .borrow_mut()
                .with_core(|core, now| core.handle_keys_lost(now));
            // Before the front ends open: the active config version may be outdated, and no request
            // may be admitted until that is known.
            let membership = state.borrow().membership.clone();
            if let Some(membership) = membership {
                membership.resume();
            }
            listener.fronts.open();
            listener.open();
        }
        Action::Disconnect => {}
    }
}
