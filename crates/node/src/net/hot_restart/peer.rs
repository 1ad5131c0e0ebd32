//! The process at the other end of a Unix socket.

use crate::net::after_ms;
use pipitlever_reactor::Timer;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::OwnedFd;
use rustix::process::{pidfd_open, PidfdFlags};
use std::os::unix::net::UnixStream;
use std::time::Instant;

/// Time between two checks whether a process has exited, in milliseconds.
const EXIT_CHECK_MS: u64 = 25;
/// Timeout of a poll that does not wait.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// The process at the other end of a Unix socket, as a pidfd if the system supports it.
pub struct PeerProcess(Option<OwnedFd>);

impl PeerProcess {
    /// The peer of a connection; none if the peer runs as another user, which may neither receive
    /// the node's sockets nor pass sockets to the node.
    pub fn of(stream: &UnixStream) -> Option<PeerProcess> {
        let peer = rustix::net::sockopt::socket_peercred(stream).ok()?;
        let is_same_user = peer.uid == rustix::process::getuid();
        is_same_user.then(|| PeerProcess(pidfd_open(peer.pid, PidfdFlags::empty()).ok()))
    }

    /// Whether the process has exited. Without a pidfd, the end of the connection, after which this
    /// is called, counts as the exit.
    fn has_exited(&self) -> bool {
        let Some(process) = &self.0 else { return true };
        let mut exited = [PollFd::new(process, PollFlags::IN)];
        rustix::event::poll(&mut exited, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0)
    }

    /// Waits until the process has exited, but not beyond the deadline. Returns whether it has
    /// exited. The sockets of a process are closed shortly before its exit is visible.
    pub async fn wait_for_exit(&self, deadline: Option<Instant>) -> bool {
        while !self.has_exited() {
            if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                return false;
            }
            Timer::at(after_ms(EXIT_CHECK_MS)).await;
        }
        true
    }
}
