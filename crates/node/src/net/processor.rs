//! Driver of the processor connection: reads notices, writes commands, and reconnects whenever the
//! connection breaks.

use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::processor::NoticeReader;
use std::net::{SocketAddr, TcpStream};

/// How long a connection to an old address stays open for the processor to confirm that it has read
/// all commands, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 150;
/// Timeout of connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Shortest time between two attempts to connect, in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 50;
/// Time between two gauge queries while runs are in doubt, in milliseconds.
const DOUBT_QUERY_INTERVAL_MS: u64 = 20;
/// Size of the buffer that notices are read into, in bytes.
const READ_BUFFER_BYTES: usize = 16384;
/// Capacity to which the write buffer shrinks after a burst, in bytes.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Keeps a connection to the processor's current address, until no address is configured.
pub async fn run(state: SharedState) {
    let mut reader = NoticeReader::default();
    let address_changed = state.borrow().processor.address_changed.clone();
    loop {
        let next_attempt = after_ms(RECONNECT_INTERVAL_MS);
        // The address is read below. A stored notification about it would close the new connection
        // as soon as it is made.
        address_changed.clear();
        let Some(address) = state.borrow().processor.address else {
            return;
        };
        if let Some(stream) = connect(&state, address).await {
            drive(&state, &mut reader, stream).await;
            let has_moved = state.borrow().processor.address != Some(address);
            state.borrow_mut().processor.handle_disconnect();
            log(if has_moved {
                "processor: disconnected reason=address-changed"
            } else {
                "processor: disconnected reason=connection-lost"
            });
            if has_moved {
                continue;
            }
        }
        Timer::at(next_attempt).await;
    }
}

/// Connects; none if that fails or the address changes in the meantime.
async fn connect(state: &SharedState, address: SocketAddr) -> Option<Async<TcpStream>> {
    let address_changed = state.borrow().processor.address_changed.clone();
    let connecting = async {
        let timeout = after_ms(CONNECT_TIMEOUT_MS);
        let connected = timeout_at(timeout, Async::<TcpStream>::connect(address)).await;
        connected.and_then(Result::ok)
    };
    let interrupted = async {
        address_changed.wait().await;
        None
    };
    future::or(connecting, interrupted).await
}

/// Reads notices and writes commands until the connection ends, or until the processor's address
/// has changed and the commands are read or the timeout has passed.
async fn drive(state: &SharedState, reader: &mut NoticeReader, stream: Async<TcpStream>) {
    let _ = stream.get_ref().set_nodelay(true);
    let address_changed = state.borrow().processor.address_changed.clone();
    state.borrow_mut().count_processor_connection();
    let hello = reader.hello();
    let exchange = future::or(read(state, reader, &stream), write(state, hello, &stream));
    let exchange = future::or(exchange, query_while_in_doubt(state));
    let close_timeout = async {
        address_changed.wait().await;
        Timer::at(after_ms(CLOSE_TIMEOUT_MS)).await;
    };
    future::or(exchange, close_timeout).await;
}

async fn read(state: &SharedState, reader: &mut NoticeReader, stream: &Async<TcpStream>) {
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    while let Ok(length) = stream.read(&mut bytes).await {
        if length == 0 {
            return;
        }
        reader.feed(&bytes[..length]);
        loop {
            match reader.next_notice() {
                Ok(Some(notice)) => state.borrow_mut().handle_notice(notice),
                Ok(None) => break,
                Err(_) => {
                    state.borrow_mut().core.counters.malformed += 1;
                    log("processor: closed the connection, a notice could not be decoded");
                    return;
                }
            }
        }
    }
}

/// Queries the gauges regularly while it is not known whether the processor has read the last
/// commands of some runs.
async fn query_while_in_doubt(state: &SharedState) {
    let run_in_doubt = state.borrow().processor.run_in_doubt.clone();
    loop {
        while state.borrow().processor.runs_in_doubt() == 0 {
            run_in_doubt.wait().await;
        }
        Timer::at(after_ms(DOUBT_QUERY_INTERVAL_MS)).await;
        state.borrow_mut().processor.query_gauges();
    }
}

/// Writes the hello and then batches of commands, until the connection is to be closed.
async fn write(state: &SharedState, hello: Vec<u8>, stream: &Async<TcpStream>) {
    if stream.write_all(&hello).await.is_err() {
        return;
    }
    let changed = state.borrow().processor.changed.clone();
    let mut bytes = Vec::new();
    while !state.borrow().processor.is_finished() {
        let has_batch = {
            let state = &mut *state.borrow_mut();
            state.processor.write_batch(state.clock.now(), &mut bytes)
        };
        if !has_batch {
            changed.wait().await;
        } else if stream.write_all(&bytes).await.is_err() {
            return;
        }
        bytes.clear();
        bytes.shrink_to(WRITE_BUFFER_BYTES);
    }
}
