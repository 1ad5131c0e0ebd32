//! Timers.

use crate::REACTOR;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

/// Is ready at an instant, and not before. Dropped, it is forgotten.
#[derive(Debug)]
pub struct Timer {
    at: Instant,
    /// Its number while the reactor knows of it.
    number: Option<u64>,
}

impl Timer {
    /// A timer for this instant. It costs nothing before it is waited for.
    pub fn at(at: Instant) -> Timer {
        Timer { at, number: None }
    }
}

impl Future for Timer {
    type Output = Instant;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Instant> {
        if Instant::now() >= self.at {
            return Poll::Ready(self.at);
        }
        REACTOR.with(|reactor| {
            let number = *self.number.get_or_insert_with(|| {
                let number = reactor.next_timer.get();
                reactor.next_timer.set(number + 1);
                number
            });
            let old = {
                let mut timers = reactor.timers.borrow_mut();
                match timers.get(&(self.at, number)) {
                    Some(same) if same.will_wake(context.waker()) => None,
                    _ => timers.insert((self.at, number), context.waker().clone()),
                }
            };
            drop(old);
        });
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        let Some(number) = self.number else { return };
        // At the end of its thread the reactor may be gone already.
        let _ = REACTOR.try_with(|reactor| {
            let waker = reactor.timers.borrow_mut().remove(&(self.at, number));
            drop(waker);
        });
    }
}
