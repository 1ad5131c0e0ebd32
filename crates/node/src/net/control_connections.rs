//! Table of the control endpoint's connections.

use crate::net::notify::Notify;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Limit on open connections. Their descriptors are reserved.
pub const MAX_CONNECTIONS: usize = 24;
/// A connection is not evicted for this time after it was accepted: its request may be in transit.
const RECENT_ARRIVAL: Duration = Duration::from_millis(25);

#[derive(Debug)]
struct Entry {
    accepted_at: Instant,
    /// Notified when the connection is evicted.
    evicted: Notify,
}

/// Handle to a connection in the table, for the connection's driver.
#[derive(Debug)]
pub struct ControlHandle {
    /// The connection's number.
    pub id: u64,
    /// Notified when the connection is evicted.
    pub evicted: Notify,
}

/// Connections whose request has not been read yet, in the order in which they were accepted.
#[derive(Debug, Default)]
pub struct ControlConnections {
    connections: BTreeMap<u64, Entry>,
    last_id: u64,
    evictions: u64,
    /// Connections in a lingering close.
    lingering: usize,
}

impl ControlConnections {
    /// Adds an accepted connection.
    pub fn add(&mut self, now: Instant) -> ControlHandle {
        self.last_id += 1;
        let evicted = Notify::new();
        let entry = Entry {
            accepted_at: now,
            evicted: evicted.clone(),
        };
        self.connections.insert(self.last_id, entry);
        ControlHandle {
            id: self.last_id,
            evicted,
        }
    }

    /// Removes a connection whose request has been read, or which has ended.
    pub fn remove(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    /// Begins a lingering close if there is a descriptor for it, until
    /// [`ControlConnections::end_linger`].
    pub fn begin_linger(&mut self) -> bool {
        let may_linger = self.lingering < MAX_CONNECTIONS;
        self.lingering += usize::from(may_linger);
        may_linger
    }

    /// Ends a lingering close.
    pub fn end_linger(&mut self) {
        self.lingering -= 1;
    }

    /// Ensures that one more connection can be accepted, and evicts the oldest one if necessary. If
    /// that one is too recent, returns the time at which it can be evicted as the error.
    pub fn reserve(&mut self, now: Instant) -> Result<(), Instant> {
        if self.connections.len() < MAX_CONNECTIONS {
            return Ok(());
        }
        let Some(oldest) = self.connections.first_entry() else {
            return Ok(());
        };
        let evictable_at = oldest.get().accepted_at + RECENT_ARRIVAL;
        if evictable_at > now {
            return Err(evictable_at);
        }
        oldest.remove().evicted.notify();
        self.evictions += 1;
        Ok(())
    }
}
