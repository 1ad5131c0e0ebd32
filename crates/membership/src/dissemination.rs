//! Dissemination queue: members whose updates are piggybacked on outgoing messages, each a bounded
//! number of times, the least transmitted first (SWIM, section 4.1).

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Position of an update in the queue: by number of transmissions, then the newest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    transmissions: u32,
    enqueued: Reverse<u64>,
}

/// Names of members with an update to disseminate. The update itself is read from the table when
/// it is sent, so that it is never older than the table.
#[derive(Clone, Debug, Default)]
pub struct DisseminationQueue {
    queue: BTreeMap<Position, String>,
    positions: BTreeMap<String, Position>,
    last_enqueued: u64,
}

impl DisseminationQueue {
    /// Enqueues an update about a member, in place of an earlier one.
    pub fn enqueue(&mut self, name: &str) {
        self.remove(name);
        self.last_enqueued += 1;
        let position = Position {
            transmissions: 0,
            enqueued: Reverse(self.last_enqueued),
        };
        self.queue.insert(position, name.to_owned());
        self.positions.insert(name.to_owned(), position);
    }

    /// Removes the update about a member.
    pub fn remove(&mut self, name: &str) {
        if let Some(position) = self.positions.remove(name) {
            self.queue.remove(&position);
        }
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Takes updates for one message until `fits` returns false. An update leaves the queue after
    /// `max_transmissions`.
    pub fn take_batch(&mut self, max_transmissions: u32, mut fits: impl FnMut(&str) -> bool) {
        let mut taken = Vec::new();
        for (position, name) in &self.queue {
            if !fits(name) {
                break;
            }
            taken.push(*position);
        }
        for position in taken {
            let Some(name) = self.queue.remove(&position) else {
                continue;
            };
            let next = Position {
                transmissions: position.transmissions + 1,
                ..position
            };
            if next.transmissions >= max_transmissions {
                self.positions.remove(&name);
                continue;
            }
            self.positions.insert(name.clone(), next);
            self.queue.insert(next, name);
        }
    }
}
