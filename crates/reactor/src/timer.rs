//! Timers.

use crate::reactor::REACTOR;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

/// A future that is ready once a deadline has passed, and never before. Dropping it cancels the
/// timer.
#[derive(Debug)]
pub struct Timer {
    deadline: Instant,
    /// The timer's identifier in the reactor, once it is registered.
    id: Option<u64>,
}

impl Timer {
    /// Creates a timer. It is registered with the reactor when it is first polled.
    pub fn at(deadline: Instant) -> Timer {
        Timer { deadline, id: None }
    }
}

impl Future for Timer {
    /// The deadline.
    type Output = Instant;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Instant> {
        let deadline = self.deadline;
        if Instant::now() >= deadline {
            return Poll::Ready(deadline);
        }
        REACTOR.with(|reactor| {
            let id = *self.id.get_or_insert_with(|| reactor.allocate_timer_id());
            reactor.set_timer(deadline, id, context.waker());
        });
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        // While a thread ends, its reactor may already be destroyed.
        let _ = REACTOR.try_with(|reactor| reactor.cancel_timer(self.deadline, id));
    }
}
