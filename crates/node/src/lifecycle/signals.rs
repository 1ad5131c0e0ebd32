//! Signals, as something to wait for.

use futures_lite::future;
use pipitlever_reactor::Async;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::io;
use std::os::unix::net::UnixStream;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To leave (SIGTERM, SIGINT).
    Leave,
    /// To read the configuration again (SIGHUP).
    Reload,
    /// To print the counters (SIGUSR1).
    Count,
}

/// A socket for each thing that may be asked for: the handler writes a byte to it.
pub struct Signals([(Signal, Async<UnixStream>); 3]);

impl Signals {
    /// From now on signals come here and do nothing else.
    pub fn new() -> io::Result<Signals> {
        let open = |signal: Signal, numbers: &[i32]| {
            let (ours, handlers) = UnixStream::pair()?;
            for number in numbers {
                pipe::register(*number, handlers.try_clone()?)?;
            }
            io::Result::Ok((signal, Async::<UnixStream>::new(ours)?))
        };
        Ok(Signals([
            open(Signal::Leave, &[SIGTERM, SIGINT])?,
            open(Signal::Reload, &[SIGHUP])?,
            open(Signal::Count, &[SIGUSR1])?,
        ]))
    }

    /// Waits until it is told to leave; other signals stay for [`Signals::next`].
    pub async fn leave(&self) {
        wait(&self.0[0]).await;
    }

    /// The next one. Several of a kind that came together are one.
    pub async fn next(&self) -> Signal {
        let [leave, reload, count] = &self.0;
        future::or(wait(leave), future::or(wait(reload), wait(count))).await
    }
}

async fn wait((signal, stream): &(Signal, Async<UnixStream>)) -> Signal {
    // The other end is held by the handler for as long as the process lives.
    match stream.read(&mut [0; 64]).await {
        Ok(1..) => *signal,
        _ => future::pending().await,
    }
}
