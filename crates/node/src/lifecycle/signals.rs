//! Unix signals as asynchronous events.

use futures_lite::future;
use pipitlever_reactor::Async;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::io;
use std::os::unix::net::UnixStream;

/// A request made by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To shut down (SIGTERM, SIGINT).
    Shutdown,
    /// To read the configuration again (SIGHUP).
    Reload,
    /// To log the counters (SIGUSR1).
    LogCounters,
}

/// One socket for each request: the signal handler writes a byte to it.
pub struct Signals([(Signal, Async<UnixStream>); 3]);

impl Signals {
    /// Installs the signal handlers.
    pub fn new() -> io::Result<Signals> {
        let open = |signal: Signal, numbers: &[i32]| {
            let (ours, handlers) = UnixStream::pair()?;
            for number in numbers {
                pipe::register(*number, handlers.try_clone()?)?;
            }
            io::Result::Ok((signal, Async::<UnixStream>::new(ours)?))
        };
        Ok(Signals([
            open(Signal::Shutdown, &[SIGTERM, SIGINT])?,
            open(Signal::Reload, &[SIGHUP])?,
            open(Signal::LogCounters, &[SIGUSR1])?,
        ]))
    }

    /// Waits for the request to shut down; other requests stay queued for [`Signals::next`].
    pub async fn wait_for_shutdown(&self) {
        wait(&self.0[0]).await;
    }

    /// The next request. Several of one kind that arrived together count once.
    pub async fn next(&self) -> Signal {
        let [shutdown, reload, counters] = &self.0;
        future::or(wait(shutdown), future::or(wait(reload), wait(counters))).await
    }
}

async fn wait((signal, stream): &(Signal, Async<UnixStream>)) -> Signal {
    // The other end is held by the handler for as long as the process lives.
    match stream.read(&mut [0; 64]).await {
        Ok(1..) => *signal,
        _ => future::pending().await,
    }
}
