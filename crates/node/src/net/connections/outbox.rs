//! The bytes that wait to be written to a connection.

use crate::net::notify::Notify;
use std::cell::RefCell;
use std::rc::Rc;

/// Capacity that an empty buffer keeps, in bytes: some responses.
const IDLE_CAPACITY: usize = 8 << 10;

#[derive(Debug, Default)]
struct Queue {
    bytes: Vec<u8>,
    /// Whether nothing more is to be written: the driver then flushes and closes.
    is_closed: bool,
}

/// The bytes that wait to be written to a connection. Everything that is queued in one step of the
/// event loop is written at once.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    changed: Notify,
}

impl Outbox {
    /// Waits for bytes and swaps all of them into an empty buffer. Returns false once the outbox is
    /// closed and empty.
    pub async fn take(&self, bytes: &mut Vec<u8>) -> bool {
        loop {
            {
                let mut queue = self.queue.borrow_mut();
                if !queue.bytes.is_empty() {
                    std::mem::swap(&mut queue.bytes, bytes);
                    queue.bytes.shrink_to(IDLE_CAPACITY);
                    return true;
                }
                if queue.is_closed {
                    return false;
                }
            }
            self.changed.wait().await;
        }
    }

    /// Queues what `write` appends, if that is at most `max_length` bytes, and returns its length.
    /// If it is longer, or the outbox is closed, nothing is queued; in the first case the outbox is
    /// closed, as its peer does not read.
    pub(super) fn append(
        &self,
        max_length: usize,
        write: impl FnOnce(&mut Vec<u8>),
    ) -> Option<usize> {
        let mut queue = self.queue.borrow_mut();
        if queue.is_closed {
            return None;
        }
        let before = queue.bytes.len();
        write(&mut queue.bytes);
        let length = queue.bytes.len() - before;
        let fits = length <= max_length;
        if !fits {
            queue.bytes.truncate(before);
            queue.is_closed = true;
        }
        drop(queue);
        self.changed.notify();
        fits.then_some(length)
    }

    /// Closes the outbox: what is queued is still written.
    pub(super) fn close(&self) {
        self.queue.borrow_mut().is_closed = true;
        self.changed.notify();
    }

    /// Whether nothing more is to be written, so that nothing more that is read can be answered.
    pub fn is_closed(&self) -> bool {
        self.queue.borrow().is_closed
    }
}
