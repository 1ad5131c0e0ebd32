//! Yielding to sockets and timers.

use crate::reactor::REACTOR;
use std::future::poll_fn;
use std::task::Poll;

/// Waits until the reactor has looked for events once more, and all tasks that these concern were
/// woken before this one.
///
/// An executor looks for events only after it has run many tasks, or when none is left to run. A
/// task that always has more to do and merely yields to the other tasks therefore delays events by
/// many of its own turns.
pub async fn next_poll() {
    let mut seen = None;
    poll_fn(|context| {
        REACTOR.with(|reactor| {
            let polls = reactor.polls();
            if *seen.get_or_insert(polls) != polls {
                return Poll::Ready(());
            }
            reactor.wake_after_poll(context.waker());
            Poll::Pending
        })
    })
    .await;
}
