//! The contact between a process of this node and the one that takes over from it: a Unix socket in
//! `$TMPDIR`.

mod predecessor;
mod successor;

pub use predecessor::SuccessorListener;
pub use successor::{meet, PredecessorConnection};

use crate::log::log;
use crate::net::connections::Front;
use crate::net::event_loop::SharedState;
use crate::net::front::Fronts;
use crate::net::membership::Sockets;
use crate::net::notify::Notify;
use crate::net::{after_ms, timeout_at};
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_hot_restart::message::{self, Decoder, ListeningSocket, Message, Welcome};
use pipitlever_idempotency_store::record::Salt;
use pipitlever_reactor::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::process::{pidfd_open, PidfdFlags};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Instant;

/// A peer says and reads what is its turn by then, in milliseconds: a process answers operators
/// within a second, and a successor is to say yes within six.
const PATIENCE_MS: u64 = 2000;
/// A process that is leaving is waited for so long, in milliseconds, with such pauses.
const LEAVING_MS: u64 = 3000;
const PAUSE_MS: u64 = 25;
/// A process whose connection has ended is given so long to be dead, in milliseconds.
const DYING_MS: u64 = 500;
/// What the fleet's sockets are called when they are passed on.
const FLEET: [&str; 2] = ["fleet-udp", "fleet-tcp"];
/// Nothing is waited for.
const NOW: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};
/// Bytes written at a time: the table moves in pieces, and the node's other tasks have their turn
/// in between.
const PIECE: usize = 64 << 10;

/// Where the processes of the node that listens here meet, if there is a folder for that.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    let name = listen.to_string().replace([':', '[', ']'], "-");
    Some(Path::new(&folder).join(format!("pipitlever-{name}.sock")))
}

/// The process at the other end.
struct Peer(Option<OwnedFd>);

impl Peer {
    /// Who holds the other end, if it is of the same user: nobody else may have the node's sockets,
    /// or give it any.
    fn of(stream: &UnixStream) -> Option<Peer> {
        let peer = rustix::net::sockopt::socket_peercred(stream).ok()?;
        let ours = peer.uid == rustix::process::getuid();
        ours.then(|| Peer(pidfd_open(peer.pid, PidfdFlags::empty()).ok()))
    }

    /// Whether it has ended. Where the system can't say, the end of its connection has to do.
    fn dead(&self) -> bool {
        let Some(process) = &self.0 else { return true };
        let mut ended = [PollFd::new(process, PollFlags::IN)];
        rustix::event::poll(&mut ended, Some(&NOW)).is_ok_and(|n| n > 0)
    }

    /// Waits for its end, until then if a time is given; whether it came.
    async fn died(&self, until: Option<Instant>) -> bool {
        // Its sockets close a moment before it has ended.
        while !self.dead() {
            if until.is_some_and(|until| until <= Instant::now()) {
                return false;
            }
            Timer::at(after_ms(PAUSE_MS)).await;
        }
        true
    }
}

/// What a task that found something wrong leaves for the one that ends the process.
#[derive(Clone, Default)]
pub struct FailureSignal(Rc<RefCell<Option<String>>>, Notify);

impl FailureSignal {
    /// This is wrong.
    pub fn found(&self, what: String) {
        *self.0.borrow_mut() = Some(what);
        self.1.notify();
    }

    /// Waits for something to be wrong.
    pub async fn wait(&self) -> String {
        loop {
            self.1.wait().await;
            if let Some(what) = self.0.take() {
                return what;
            }
        }
    }
}
