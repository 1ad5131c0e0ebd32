//! A process of the program.

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};

/// A child process that is killed when this is dropped.
pub(super) struct KillOnDrop(pub(super) Child);

impl KillOnDrop {
    fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.0.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill {signal}");
    }

    fn wait(&mut self) -> ExitStatus {
        self.0.wait().expect("the process is a child")
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A process that may not be ready yet.
pub struct StartingProcess {
    /// The number of the process within the cluster.
    pub number: usize,
    pub(super) child: KillOnDrop,
    pub(super) node: usize,
    /// The number of log lines that are older than the process.
    pub(super) older_lines: usize,
}

impl StartingProcess {
    /// Sends a signal; `signal` is an option of kill(1), such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        self.child.signal(signal);
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait()
    }
}

/// A process that is ready.
pub struct Process {
    /// The number of the process within the cluster.
    pub number: usize,
    /// The address that clients connect to.
    pub client_address: SocketAddr,
    /// The address of the control endpoint.
    pub control_address: SocketAddr,
    pub(super) child: KillOnDrop,
}

impl Process {
    /// Sends a signal; `signal` is an option of kill(1), such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        self.child.signal(signal);
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.0.try_wait(), Ok(Some(_)))
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.0.id()
    }
}
