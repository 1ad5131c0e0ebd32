//! Unix signals as asynchronous events.

use futures_lite::future;
use pipitlever_reactor::Async;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::io;
use std::os::unix::net::UnixStream;

/// An action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut down (SIGTERM, SIGINT).
    Shutdown,
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Log the counters (SIGUSR1).
    LogCounters,
}

/// One socket for each action: the signal handler writes a byte to it.
pub struct Signals([(Signal, Async<UnixStream>); 3]);

impl Signals {
    /// Installs the signal handlers.
    pub fn new() -> io::Result<Signals> {
        let open = |signal: Signal, numbers: &[i32]| {
            let (receiver, sender) = UnixStream::pair()?;
            for number in numbers {
                pipe::register(*number, sender.try_clone()?)?;
            }
            io::Result::Ok((signal, Async::<UnixStream>::new(receiver)?))
        };
        Ok(Signals([
            open(Signal::Shutdown, &[SIGTERM, SIGINT])?,
            open(Signal::Reload, &[SIGHUP])?,
            open(Signal::LogCounters, &[SIGUSR1])?,
        ]))
    }

    /// Waits for a signal to shut down; other signals stay queued for [`Signals::next`].
    pub async fn wait_for_shutdown(&self) {
        wait(&self.0[0]).await;
    }

    /// Waits for the next action. Signals of one kind that arrive together count once.
    pub async fn next(&self) -> Signal {
        let [shutdown, reload, counters] = &self.0;
        future::or(wait(shutdown), future::or(wait(reload), wait(counters))).await
    }
}

async fn wait((signal, stream): &(Signal, Async<UnixStream>)) -> Signal {
    // The signal handler keeps the other end open until the process ends.
    match stream.read(&mut [0; 64]).await {
        Ok(1..) => *signal,
        _ => future::pending().await,
    }
}
