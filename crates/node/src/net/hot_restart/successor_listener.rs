//! The predecessor's side: listens for a successor.

use super::peer::PeerProcess;
use super::successor_session;
use crate::log::log;
use crate::net::after_ms;
use crate::net::event_loop::SharedState;
use crate::net::front::Fronts;
use crate::net::notify::Notify;
use crate::supervision::{Subsystem, Supervisor};
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::io;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::rc::Rc;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Listens for a successor.
pub struct SuccessorListener {
    pub(super) supervisor: Rc<Supervisor>,
    pub(super) state: SharedState,
    pub(super) fronts: Rc<Fronts>,
    pub(super) node_name: String,
    path: PathBuf,
    /// Whether the socket at the path belongs to this process.
    is_open: Cell<bool>,
    /// Stops the task that accepts connections.
    stop: RefCell<Notify>,
}

impl SuccessorListener {
    /// Creates a listener that is not open yet.
    pub fn new(
        supervisor: Rc<Supervisor>,
        state: SharedState,
        fronts: Rc<Fronts>,
        node_name: String,
        path: PathBuf,
    ) -> Rc<SuccessorListener> {
        Rc::new(SuccessorListener {
            supervisor,
            state,
            fronts,
            node_name,
            path,
            is_open: Cell::new(false),
            stop: RefCell::default(),
        })
    }

    /// Starts to accept connections. Replaces an existing socket, whose process has exited or is
    /// shutting down.
    pub fn open(self: &Rc<SuccessorListener>) {
        let listener = match self.bind() {
            Ok(listener) => listener,
            Err(error) => {
                return log(&format!(
                    "hot restart: off: path={} error={error}",
                    self.path.display()
                ));
            }
        };
        self.is_open.set(true);
        let stop = Notify::new();
        *self.stop.borrow_mut() = stop.clone();
        let accepting = self.clone().accept_all(listener);
        let accepting = future::or(accepting, async move { stop.wait().await });
        self.supervisor
            .spawn(Subsystem::HotRestart, accepting)
            .detach();
    }

    /// Binds the socket under a temporary name and renames it, so that a socket at the path always
    /// accepts connections.
    fn bind(&self) -> io::Result<Async<UnixListener>> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        // A crashed process with the same id may have left this file.
        let _ = std::fs::remove_file(&temporary);
        let bound = UnixListener::bind(&temporary).and_then(|listener| {
            std::fs::rename(&temporary, &self.path)?;
            Async::<UnixListener>::new(listener)
        });
        if bound.is_err() {
            let _ = std::fs::remove_file(&temporary);
        }
        bound
    }

    async fn accept_all(self: Rc<SuccessorListener>, listener: Async<UnixListener>) {
        loop {
            let Ok(stream) = listener.accept().await else {
                Timer::at(after_ms(ACCEPT_RETRY_MS)).await;
                continue;
            };
            let Some(peer) = PeerProcess::of(&stream) else {
                log("hot restart: rejected a process of another user");
                continue;
            };
            if let Ok(stream) = Async::<UnixStream>::new(stream) {
                let session = successor_session::run(self.clone(), stream, peer);
                self.supervisor
                    .spawn(Subsystem::HotRestart, session)
                    .detach();
            }
        }
    }

    /// Stops accepting. The socket at the path is left to the successor.
    pub(super) fn stop(&self) {
        self.is_open.set(false);
        self.stop.borrow().notify();
    }

    /// Stops accepting and removes the socket. A process that starts afterwards has no predecessor.
    /// Does nothing if this process has not opened the socket, as its predecessor may listen there.
    pub fn close(&self) {
        if self.is_open.get() {
            self.stop();
            let _ = std::fs::remove_file(&self.path);
        }
    }
}
