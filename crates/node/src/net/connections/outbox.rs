//! The bytes that wait to be written to a connection.

use crate::net::notify::Notify;
use std::cell::RefCell;
use std::rc::Rc;

/// Capacity to which an empty buffer shrinks, in bytes: enough for several responses.
const IDLE_CAPACITY: usize = 8 << 10;

#[derive(Debug, Default)]
struct Queue {
    bytes: Vec<u8>,
    /// Whether no more bytes may be queued. The driver then writes the rest and closes.
    is_closed: bool,
}

/// The bytes that wait to be written to a connection. Bytes that are queued in one step of the
/// event loop are written together.
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

    /// Queues the bytes that `write` appends, at most `max_length`, and returns their number. If
    /// there are more, none is queued, and the outbox is closed, as the peer does not read. A
    /// closed outbox queues nothing.
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

    /// Closes the outbox. Bytes in the queue are still written.
    pub(super) fn close(&self) {
        self.queue.borrow_mut().is_closed = true;
        self.changed.notify();
    }

    /// Whether no more bytes can be queued, so that no further request can be answered.
    pub fn is_closed(&self) -> bool {
        self.queue.borrow().is_closed
    }
}
