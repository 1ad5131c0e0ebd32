//! The durability barrier: messages wait until the write they depend on is durable.

use super::Node;
use crate::acceptor::{AcceptorState, DeferredMessage};
use crate::message::Outgoing;
use crate::Micros;

/// The maximum number of messages that wait for writes. Further ones are dropped; their requests
/// are retried.
const MAX_DEFERRED: usize = 256;

/// A write of the acceptor's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateWrite {
    /// The state to write.
    pub state: AcceptorState,
    /// The number of the write.
    pub number: u64,
}

/// The progress of writes, and the messages that wait for them.
#[derive(Debug, Default)]
pub(super) struct WriteBarrier {
    /// The number of the last durable write.
    durable: u64,
    /// The number of the last write handed to the caller.
    in_progress: u64,
    deferred: Vec<DeferredMessage>,
}

impl WriteBarrier {
    /// Returns whether a write is durable.
    pub(super) fn is_durable(&self, write: u64) -> bool {
        write <= self.durable
    }

    /// Returns whether the first write, which records the incarnation, is durable.
    pub(super) fn is_incarnation_durable(&self) -> bool {
        self.durable > 0
    }

    /// Returns whether to begin this write now: it is new, and no other is in progress.
    fn begin(&mut self, write: u64) -> bool {
        let may_begin = write > self.in_progress && self.in_progress <= self.durable;
        if may_begin {
            self.in_progress = write;
        }
        may_begin
    }

    /// Records the result of a write, and returns the messages that can be sent.
    fn finish(&mut self, write: u64, is_durable: bool) -> Vec<DeferredMessage> {
        if is_durable {
            self.durable = self.durable.max(write);
        } else {
            self.in_progress = self.durable;
        }
        let (ready, deferred) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|message| message.after_write <= self.durable);
        self.deferred = deferred;
        ready
    }

    /// Returns the message if it can be sent now, and defers it otherwise.
    fn send_or_defer(&mut self, message: DeferredMessage) -> Option<Outgoing> {
        if message.after_write <= self.durable {
            return Some(message.outgoing);
        }
        if self.deferred.len() < MAX_DEFERRED {
            self.deferred.push(message);
        }
        None
    }
}

impl Node {
    /// Takes the next write of the acceptor's state, unless one is in progress or nothing has
    /// changed. The caller reports [`Node::write_finished`].
    pub fn take_write(&mut self) -> Option<StateWrite> {
        let acceptor = self.acceptor.as_ref()?;
        let number = acceptor.last_write();
        self.writes.begin(number).then(|| StateWrite {
            state: acceptor.state().clone(),
            number,
        })
    }

    /// Records that a write is durable or has failed. [`Node::take_write`] returns a failed write
    /// again.
    pub fn write_finished(&mut self, now: Micros, write: u64, is_durable: bool) {
        for message in self.writes.finish(write, is_durable) {
            self.send_deferred(message);
        }
        self.deliver_to_self(now);
    }

    /// Sends a message once its write is durable.
    pub(super) fn send_deferred(&mut self, message: DeferredMessage) {
        self.outgoing.extend(self.writes.send_or_defer(message));
    }
}
