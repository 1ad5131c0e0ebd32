//! The operators' door: who calls, and what they are answered.

use super::hub::{Hub, Shared};
use super::nudge::Nudge;
use super::{ahead, by};
use crate::log::log;
use crate::wire::control::{self, Asked, Call, Caller, Wrong};
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Callers at one time, each with a descriptor that the fronts leave alone.
pub const MOST_CALLERS: usize = 24;
/// A caller this new is not sent away for another one: its call may be on its way.
const NEW: Duration = Duration::from_millis(25);
/// A call is whole by then, in milliseconds.
const WHOLE_MS: u64 = 10_000;
/// An answer is written and its end read by then, in milliseconds.
const LEAVE_MS: u64 = 500;

/// The callers that have a place, by the order in which they came.
#[derive(Debug, Default)]
pub struct Callers {
    all: BTreeMap<u64, (Instant, Nudge)>,
    last: u64,
    /// Callers sent away for others.
    pub sent_away: u64,
    /// Callers that have their answer and are read for a moment.
    leaving: usize,
}

impl Callers {
    /// One came: its number, and what tells it to go.
    fn add(&mut self, now: Instant) -> (u64, Nudge) {
        self.last += 1;
        let go = Nudge::new();
        self.all.insert(self.last, (now, go.clone()));
        (self.last, go)
    }

    /// Whether one that has its answer may be read for a moment; if so it keeps a descriptor until [`Callers::left`].
    fn may_linger(&mut self) -> bool {
        let may = self.leaving < MOST_CALLERS;
        self.leaving += usize::from(may);
        may
    }

    /// It was.
    fn left(&mut self) {
        self.leaving -= 1;
    }

    /// It left, or has its answer and so no more claim to stay.
    fn remove(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Whether there is a place for one more. If not, the one that came first is told to go, unless all are new;
    /// then when to look again.
    fn room(&mut self, now: Instant) -> Result<(), Instant> {
        if self.all.len() < MOST_CALLERS {
            return Ok(());
        }
        match self.all.first_entry() {
            Some(first) if first.get().0 + NEW <= now => {
                first.remove().1.give();
                self.sent_away += 1;
                Ok(())
            }
            Some(first) => Err(first.get().0 + NEW),
            None => Ok(()),
        }
    }
}

/// Accepts callers for as long as the process lives, on its way out too.
pub async fn listen(executor: Rc<LocalExecutor<'static>>, hub: Shared, listener: Async<TcpListener>) {
    loop {
        // Not held over a wait.
        let room = hub.borrow_mut().callers.room(Instant::now());
        if let Err(at) = room {
            Timer::at(at).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(stream) = Async::<TcpStream>::new(stream) else { continue };
                let _ = stream.get_ref().set_nodelay(true);
                let (id, go) = hub.borrow_mut().callers.add(Instant::now());
                executor.spawn(caller(hub.clone(), stream, id, go)).detach();
                // It is read before the next one is let in: a crowd that says nothing must not push out who does.
                future::yield_now().await;
            }
            Err(_) => {
                hub.borrow_mut().core.counters.accept_errors += 1;
                Timer::at(ahead(50)).await;
            }
        }
    }
}

async fn caller(hub: Shared, stream: Async<TcpStream>, id: u64, go: Nudge) {
    let asked = async { by(ahead(WHOLE_MS), read(&stream)).await.unwrap_or(Some(Err(Wrong::Timeout))) };
    let sent_away = async {
        go.wait().await;
        None
    };
    let asked = future::or(asked, sent_away).await;
    hub.borrow_mut().callers.remove(id);
    let mut out = Vec::new();
    match asked {
        None => return,
        Some(Ok(asked)) => hub.borrow_mut().called_on(asked, &mut out),
        Some(Err(wrong)) => control::wrong(&mut out, wrong),
    }
    // An answer fits into the socket's buffer, so that this waits for nobody who reads.
    let written = by(ahead(LEAVE_MS), stream.write_all(&out)).await;
    if matches!(written, Some(Ok(()))) && hub.borrow_mut().callers.may_linger() {
        let leave = async {
            // What is unread at the close would reset the connection, and could take the answer with it.
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            let mut bytes = [0; 4096];
            while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
                Timer::at(ahead(5)).await;
            }
        };
        by(ahead(LEAVE_MS), leave).await;
        hub.borrow_mut().callers.left();
    }
}

/// Reads until there is a call; nothing if its caller leaves before.
async fn read(stream: &Async<TcpStream>) -> Option<Result<Asked, Wrong>> {
    let mut machine = Caller::default();
    let mut bytes = [0; 2048];
    loop {
        let read = stream.read(&mut bytes).await.ok().filter(|n| *n > 0)?;
        if let Some(asked) = machine.feed(&bytes[..read]) {
            return Some(asked);
        }
        future::yield_now().await;
    }
}

impl Hub {
    /// Does what an operator asks for, and answers.
    fn called_on(&mut self, asked: Asked, out: &mut Vec<u8>) {
        let Asked { call, head } = asked;
        let (yes, text) = match call {
            Call::Status => match () {
                () if self.draining() => (false, "draining\n".into()),
                () if self.core.fresh() || !self.taking => (false, "starting\n".into()),
                () if self.core.standing_by() => (true, "standby\n".into()),
                () => (true, "active\n".into()),
            },
            Call::Metrics => (true, self.figures()),
            Call::Standby => {
                self.stand_by(true);
                (true, "standby\n".into())
            }
            // The way out has no way back.
            Call::Active if self.draining() => (false, "draining\n".into()),
            Call::Active => {
                self.stand_by(false);
                (true, "active\n".into())
            }
        };
        control::answer(out, yes, head, &text);
    }

    fn stand_by(&mut self, stand_by: bool) {
        if self.core.stand_by(stand_by) {
            log(if stand_by { "control: standby" } else { "control: active" });
        }
    }

    /// The figures, a line each, in the statsd form.
    fn figures(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        for (name, c) in self.core.classes.counts() {
            for (figure, count) in [
                ("fulfilled", c.fulfilled),
                ("throttled", c.throttled),
                ("faulted", c.faulted),
                ("relayed", c.relayed),
            ] {
                // A string takes all that is written to it.
                let _ = writeln!(text, "edge.operations.{name}.{figure}:{count}|c");
            }
        }
        let files = self.files;
        let _ = writeln!(text, "edge.open_requests:{}|g", self.core.owed());
        let _ = writeln!(text, "edge.cfg_accepted:{}|c", files.accepted);
        let _ = writeln!(text, "edge.cfg_invalid:{}|c", files.invalid);
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_of_too_many_callers_goes_but_none_that_has_just_come() {
        let start = Instant::now();
        let mut callers = Callers::default();
        for i in 0..MOST_CALLERS as u32 {
            assert_eq!(callers.room(start), Ok(()));
            callers.add(start + i * NEW);
        }
        let first = callers.all[&1].1.clone();
        // All places are taken, and the first caller's call may be on its way.
        assert_eq!(callers.room(start), Err(start + NEW));
        assert_eq!((callers.all.len(), callers.sent_away), (MOST_CALLERS, 0));
        assert_eq!(callers.room(start + NEW), Ok(()));
        assert_eq!((callers.all.len(), callers.sent_away), (MOST_CALLERS - 1, 1));
        pipitlever_reactor::block_on(first.wait());
        assert!(!callers.all.contains_key(&1));
    }
}
