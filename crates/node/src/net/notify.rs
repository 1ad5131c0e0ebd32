//! A word from one task to another, on one thread, that there is something to do.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct State {
    given: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

/// Wakes a driver that waits for something to do. One task waits for it; any may give it, and it is
/// remembered.
#[derive(Clone, Debug, Default)]
pub struct Nudge(Rc<State>);

impl Nudge {
    /// Nothing to do yet.
    pub fn new() -> Nudge {
        Nudge::default()
    }

    /// There is something to do.
    pub fn give(&self) {
        // A nudge that is already there is enough.
        if !self.0.given.replace(true) {
            let waiting = self.0.waiting.take();
            waiting.into_iter().for_each(Waker::wake);
        }
    }

    /// Forgets a nudge that came for something that is known by now.
    pub fn clear(&self) {
        self.0.given.set(false);
    }

    /// Waits for the next nudge.
    pub async fn wait(&self) {
        poll_fn(|context| {
            if self.0.given.replace(false) {
                return Poll::Ready(());
            }
            let mut waiting = self.0.waiting.borrow_mut();
            if !waiting
                .as_ref()
                .is_some_and(|w| w.will_wake(context.waker()))
            {
                *waiting = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
