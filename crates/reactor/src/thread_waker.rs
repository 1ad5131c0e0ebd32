//! The waker of the future that a thread blocks on.

use rustix::event::{eventfd, EventfdFlags};
use rustix::fd::OwnedFd;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Wake;
use std::thread::ThreadId;

/// Wakes the future passed to [`block_on`](crate::block_on). Wake-ups from other threads interrupt
/// the poller through an eventfd.
pub(crate) struct ThreadWaker {
    thread: ThreadId,
    is_wakeup_pending: AtomicBool,
    eventfd: OwnedFd,
}

impl ThreadWaker {
    /// A waker for the calling thread.
    pub(crate) fn new() -> io::Result<ThreadWaker> {
        Ok(ThreadWaker {
            thread: std::thread::current().id(),
            is_wakeup_pending: AtomicBool::new(false),
            eventfd: eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?,
        })
    }

    /// The descriptor that becomes readable on a wake-up from another thread.
    pub(crate) fn eventfd(&self) -> &OwnedFd {
        &self.eventfd
    }

    /// Resets the descriptor after a wake-up from another thread.
    pub(crate) fn clear_eventfd(&self) {
        // The read fails only if the counter is zero already.
        let _ = rustix::io::read(&self.eventfd, &mut [0; 8]);
    }

    /// Whether a wake-up has arrived since the last [`ThreadWaker::clear`].
    pub(crate) fn is_wakeup_pending(&self) -> bool {
        self.is_wakeup_pending.load(Ordering::Acquire)
    }

    /// Clears earlier wake-ups, before the future is polled.
    pub(crate) fn clear(&self) {
        self.is_wakeup_pending.store(false, Ordering::Release);
    }
}

impl Wake for ThreadWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        let is_first = !self.is_wakeup_pending.swap(true, Ordering::AcqRel);
        if is_first && std::thread::current().id() != self.thread {
            // The write fails only if the counter is full, and then the descriptor is readable.
            let _ = rustix::io::write(&self.eventfd, &1u64.to_ne_bytes());
        }
    }
}
