//! Control endpoint: reads one request per connection and answers it.

mod operations;

use crate::net::control_connections::ControlHandle;
use crate::net::event_loop::SharedState;
use crate::net::{after_ms, graceful_close, timeout_at};
use crate::supervision::{Subsystem, Supervisor};
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::control::{self, ControlRequest, RequestError, RequestReader};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Timeout of reading a whole request, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Timeout of writing a response, and length of the lingering close after it, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 500;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Accepts connections until the process exits, also during its shutdown.
pub async fn listen(supervisor: Rc<Supervisor>, state: SharedState, listener: Async<TcpListener>) {
    loop {
        let reserved = state.borrow_mut().control.reserve(Instant::now());
        if let Err(retry_at) = reserved {
            Timer::at(retry_at).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(stream) = Async::<TcpStream>::new(stream) else {
                    continue;
                };
                let _ = stream.get_ref().set_nodelay(true);
                let handle = state.borrow_mut().control.add(Instant::now());
                let driver = drive(state.clone(), stream, handle);
                supervisor.spawn(Subsystem::Control, driver).detach();
                // Lets the driver read before the next connection is accepted, so that a flood of
                // idle connections cannot evict one that has sent its request.
                future::yield_now().await;
            }
            Err(_) => {
                state.borrow_mut().core.counters.accept_errors += 1;
                Timer::at(after_ms(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

type RequestWithBody = (ControlRequest, Vec<u8>);

/// Drives one connection from accept to close.
async fn drive(state: SharedState, stream: Async<TcpStream>, handle: ControlHandle) {
    let ControlHandle { id, evicted } = handle;
    let reading = async {
        let read = timeout_at(after_ms(REQUEST_TIMEOUT_MS), read_request(&stream)).await;
        read.unwrap_or(Some(Err(RequestError::Timeout)))
    };
    let evicted = async {
        evicted.wait().await;
        None
    };
    let request = future::or(reading, evicted).await;
    state.borrow_mut().control.remove(id);
    let mut response = Vec::new();
    match request {
        None => return,
        Some(Ok((request, body))) => {
            state
                .borrow_mut()
                .handle_control_request(request, &body, &mut response);
        }
        Some(Err(error)) => control::write_error(&mut response, error),
    }
    // A response fits into the socket's send buffer, so that the write does not wait for the peer.
    let written = timeout_at(after_ms(CLOSE_TIMEOUT_MS), stream.write_all(&response)).await;
    if matches!(written, Some(Ok(()))) && state.borrow_mut().control.begin_linger() {
        // A close with unread bytes would reset the connection, which could destroy the response.
        graceful_close::linger(&stream, CLOSE_TIMEOUT_MS).await;
        state.borrow_mut().control.end_linger();
    }
}

/// Reads one request; none if the peer closes the connection first.
async fn read_request(stream: &Async<TcpStream>) -> Option<Result<RequestWithBody, RequestError>> {
    let mut reader = RequestReader::default();
    let mut bytes = [0; 2048];
    loop {
        let length = stream.read(&mut bytes).await.ok().filter(|n| *n > 0)?;
        if let Some(request) = reader.feed(&bytes[..length]) {
            return Some(request.map(|request| (request, reader.into_body())));
        }
        future::yield_now().await;
    }
}
