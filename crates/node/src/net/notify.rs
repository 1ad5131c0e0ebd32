//! Notifications between the tasks of one thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct State {
    is_notified: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

/// Wakes a waiting task. Clones share one notification: any of them may notify, and one task may
/// wait. Without a waiting task the notification is stored; several are merged into one.
#[derive(Clone, Debug, Default)]
pub struct Notify(Rc<State>);

impl Notify {
    /// A `Notify` without a stored notification.
    pub fn new() -> Notify {
        Notify::default()
    }

    /// Wakes the waiting task, or stores the notification.
    pub fn notify(&self) {
        if !self.0.is_notified.replace(true) {
            if let Some(waker) = self.0.waiting.take() {
                waker.wake();
            }
        }
    }

    /// Drops a stored notification.
    pub fn clear(&self) {
        self.0.is_notified.set(false);
    }

    /// Waits for a notification and consumes it.
    pub async fn wait(&self) {
        poll_fn(|context| {
            if self.0.is_notified.replace(false) {
                return Poll::Ready(());
            }
            let mut waiting = self.0.waiting.borrow_mut();
            if !waiting
                .as_ref()
                .is_some_and(|waker| waker.will_wake(context.waker()))
            {
                *waiting = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
