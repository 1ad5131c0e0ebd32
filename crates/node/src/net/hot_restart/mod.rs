//! Hot restart: the connection between a process of this node and the one that replaces it.
//!
//! The successor connects to the predecessor on a Unix socket in `$TMPDIR`.
//! `pipitlever-hot-restart` implements the protocol's state machines; this module transfers
//! messages, sockets and keys. `docs/hot-restart.md` describes the phases.

mod adopted_sockets;
mod error;
mod peer;
mod predecessor_connection;
mod successor_listener;
mod successor_session;

pub use adopted_sockets::AdoptedSockets;
pub use error::HotRestartError;
pub use predecessor_connection::{connect_to_predecessor, PredecessorConnection};
pub use successor_listener::SuccessorListener;

use crate::net::notify::Notify;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Timeout of writing a message, and of waiting for one that is due, in milliseconds. Longer than
/// the second within which a process answers control requests, and short enough for a successor to
/// serve within six seconds.
const MESSAGE_TIMEOUT_MS: u64 = 2000;
/// Names of the membership sockets in [`pipitlever_hot_restart::message::Welcome`].
const MEMBERSHIP_UDP: &str = "fleet-udp";
const MEMBERSHIP_TCP: &str = "fleet-tcp";
/// Size of reads and writes, in bytes. Keys are sent in chunks, so that other tasks run in between.
const CHUNK_BYTES: usize = 64 << 10;

/// The path of the Unix socket of the node whose gateways connect to this address; none without
/// `$TMPDIR`.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let name = listen.to_string().replace([':', '[', ']'], "-");
    Some(Path::new(&folder).join(format!("pipitlever-{name}.sock")))
}

/// Passes an error from the task of a hot restart to the task that ends the process.
#[derive(Clone, Default)]
pub struct FailureSignal {
    error: Rc<RefCell<Option<HotRestartError>>>,
    reported: Notify,
}

impl FailureSignal {
    /// Reports an error.
    pub fn report(&self, error: HotRestartError) {
        *self.error.borrow_mut() = Some(error);
        self.reported.notify();
    }

    /// Waits for an error.
    pub async fn wait(&self) -> HotRestartError {
        loop {
            self.reported.wait().await;
            if let Some(error) = self.error.take() {
                return error;
            }
        }
    }
}
