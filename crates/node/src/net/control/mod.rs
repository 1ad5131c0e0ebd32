//! The operators' door: who calls, and what they are answered.

pub mod connections;

use crate::log::log;
use crate::net::hub::{Hub, Shared};
use crate::net::notify::Nudge;
use crate::net::{ahead, by, graceful_close};
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_reactor::{Async, Timer};
use pipitlever_wire::control::{self, ControlRequest, Operation, RequestError, RequestReader};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A call is whole by then, in milliseconds.
const WHOLE_MS: u64 = 10_000;
/// An answer is written and its end read by then, in milliseconds.
const LEAVE_MS: u64 = 500;

/// Accepts callers for as long as the process lives, on its way out too.
pub async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    hub: Shared,
    listener: Async<TcpListener>,
) {
    loop {
        // Not held over a wait.
        let room = hub.borrow_mut().callers.room(Instant::now());
        if let Err(at) = room {
            Timer::at(at).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(stream) = Async::<TcpStream>::new(stream) else {
                    continue;
                };
                let _ = stream.get_ref().set_nodelay(true);
                let (id, go) = hub.borrow_mut().callers.add(Instant::now());
                executor.spawn(caller(hub.clone(), stream, id, go)).detach();
                // It is read before the next one is let in: a crowd that says nothing must not push
                // out who does.
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
    let asked = async {
        by(ahead(WHOLE_MS), read(&stream))
            .await
            .unwrap_or(Some(Err(RequestError::Timeout)))
    };
    let sent_away = async {
        go.wait().await;
        None
    };
    let asked = future::or(asked, sent_away).await;
    hub.borrow_mut().callers.remove(id);
    let mut out = Vec::new();
    match asked {
        None => return,
        Some(Ok((asked, body))) => hub.borrow_mut().called_on(asked, &body, &mut out),
        Some(Err(wrong)) => control::write_error(&mut out, wrong),
    }
    // An answer fits into the socket's buffer, so that this waits for nobody who reads.
    let written = by(ahead(LEAVE_MS), stream.write_all(&out)).await;
    if matches!(written, Some(Ok(()))) && hub.borrow_mut().callers.may_linger() {
        // What is unread at the close would reset the connection, and could take the answer with
        // it.
        graceful_close::linger(&stream, LEAVE_MS).await;
        hub.borrow_mut().callers.left();
    }
}

/// Reads until there is a call; nothing if its caller leaves before.
async fn read(
    stream: &Async<TcpStream>,
) -> Option<Result<(ControlRequest, Vec<u8>), RequestError>> {
    let mut machine = RequestReader::default();
    let mut bytes = [0; 2048];
    loop {
        let read = stream.read(&mut bytes).await.ok().filter(|n| *n > 0)?;
        if let Some(asked) = machine.feed(&bytes[..read]) {
            return Some(asked.map(|asked| (asked, machine.into_body())));
        }
        future::yield_now().await;
    }
}

/// Now, in milliseconds since 1970: to be shown, and for nothing else.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Hub {
    /// Does what an operator asks for, and answers.
    fn called_on(&mut self, asked: ControlRequest, body: &[u8], out: &mut Vec<u8>) {
        let ControlRequest {
            operation: call,
            is_head_only: head,
        } = asked;
        if call == Operation::Fleet {
            return match &self.callers.fleet {
                Some(part) => control::write_json(out, head, &crate::net::membership::view(part)),
                None => control::write_error(out, RequestError::NotFound),
            };
        }
        if let Operation::Publish | Operation::RetireBelow(_) | Operation::AcceptMinimum(_) = call {
            let part = self.callers.fleet.clone();
            let Some((part, versions)) =
                part.as_ref().and_then(|p| Some((p, p.versions.as_ref()?)))
            else {
                return control::write_error(out, RequestError::NotFound);
            };
            let now = self.clock.now();
            let (yes, text) = match call {
                Operation::Publish => versions.publish(now, unix_ms(), body),
                Operation::RetireBelow(floor) => versions.close(now, floor),
                Operation::AcceptMinimum(number) => versions.accept_floor(number),
                _ => return,
            };
            log(&format!("control: fleet: {}", text.trim_end()));
            part.give();
            return control::write_text(out, yes, head, &text);
        }
        let (yes, text) = match call {
            Operation::Status => match () {
                () if self.draining() => (false, "draining\n".into()),
                () if self.core.is_starting() || !self.taking => (false, "starting\n".into()),
                () if self.core.is_standby() => (true, "standby\n".into()),
                () => (true, "active\n".into()),
            },
            Operation::Metrics => (true, self.figures()),
            // Answered above.
            Operation::Fleet
            | Operation::Publish
            | Operation::RetireBelow(_)
            | Operation::AcceptMinimum(_) => (false, String::new()),
            Operation::Standby => {
                self.stand_by(true);
                (true, "standby\n".into())
            }
            // The way out has no way back.
            Operation::Active if self.draining() => (false, "draining\n".into()),
            Operation::Active => {
                self.stand_by(false);
                (true, "active\n".into())
            }
        };
        control::write_text(out, yes, head, &text);
    }

    fn stand_by(&mut self, stand_by: bool) {
        if self.core.set_standby(stand_by) {
            log(if stand_by {
                "control: standby"
            } else {
                "control: active"
            });
        }
    }

    /// The figures, a line each, in the statsd form.
    fn figures(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        for (name, c) in self.core.classes.counters() {
            for (figure, count) in [
                ("fulfilled", c.served),
                ("throttled", c.rejected),
                ("faulted", c.failed),
                ("relayed", c.forwarded),
            ] {
                // A string takes all that is written to it.
                let _ = writeln!(text, "edge.operations.{name}.{figure}:{count}|c");
            }
        }
        let files = self.files;
        let _ = writeln!(text, "edge.open_requests:{}|g", self.core.unanswered());
        let _ = writeln!(text, "edge.cfg_accepted:{}|c", files.accepted);
        let _ = writeln!(text, "edge.cfg_invalid:{}|c", files.rejected);
        self.callers
            .fleet
            .iter()
            .for_each(|part| crate::net::membership::figures(part, &mut text));
        text
    }
}
