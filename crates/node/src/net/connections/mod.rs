//! Table of the front ends' connections: open requests, unsent bytes, eviction and idle timeouts.

mod connection;
mod outbox;

pub use outbox::Outbox;

use crate::net::notify::Notify;
use connection::{Connection, OpenRequest};
use pipitlever_admission::Micros;
use pipitlever_core::{Origin, Reference};
use std::collections::HashMap;

/// Most bytes that may wait to be written to one connection: more than all its open answers.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// Most unidentified connections that are read during a lingering close; others are closed at once.
/// An identified one always lingers, as its peer may still have answers to read.
const MAX_UNIDENTIFIED_LINGERING: usize = 32;

/// The protocol of a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// JSON-RPC, the platform's protocol.
    Gateway,
    /// The uwsgi protocol: one request a connection.
    Uwsgi,
}

impl Front {
    /// The name in log lines and in hot-restart messages.
    pub fn name(self) -> &'static str {
        match self {
            Front::Gateway => "json-rpc",
            Front::Uwsgi => "uwsgi",
        }
    }

    /// The front end of this name.
    pub fn from_name(name: &str) -> Option<Front> {
        [Front::Gateway, Front::Uwsgi]
            .into_iter()
            .find(|front| front.name() == name)
    }
}

/// The work that keeps a connection from being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingWork {
    /// None.
    None,
    /// Requests are open, each until its deadline.
    OpenRequests,
    /// An answer is not written yet: the peer does not read.
    UnsentBytes,
    /// Part of a message has arrived.
    PartialMessage,
}

/// What the driver of a connection needs.
#[derive(Debug)]
pub struct ConnectionHandle {
    /// The connection's number.
    pub id: u64,
    /// The bytes to write.
    pub outbox: Outbox,
    /// Notified when the connection is to be closed.
    pub close_requested: Notify,
}

/// A connection that is read during a lingering close, until [`ConnectionTable::end_linger`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Lingering {
    is_unidentified: bool,
}

/// All connections of the front ends.
#[derive(Debug)]
pub struct ConnectionTable {
    connections: HashMap<u64, Connection>,
    last_id: u64,
    /// Bytes that wait to be written to all connections, and their limit.
    unsent_bytes: usize,
    max_unsent_bytes: usize,
    /// Connections in a lingering close, and how many of them are unidentified.
    lingering: usize,
    unidentified_lingering: usize,
    /// Notified when a connection ends.
    pub freed: Notify,
}

impl ConnectionTable {
    /// An empty table. `max_unsent_bytes` limits the unsent bytes of all connections together.
    pub fn new(max_unsent_bytes: usize) -> ConnectionTable {
        ConnectionTable {
            connections: HashMap::new(),
            last_id: 0,
            unsent_bytes: 0,
            max_unsent_bytes,
            lingering: 0,
            unidentified_lingering: 0,
            freed: Notify::new(),
        }
    }

    /// Changes the limit on the unsent bytes of all connections together.
    pub fn set_max_unsent_bytes(&mut self, max_unsent_bytes: usize) {
        self.max_unsent_bytes = max_unsent_bytes;
    }

    /// Adds an accepted connection, until [`ConnectionTable::remove`].
    pub fn add(&mut self, now: Micros, front: Front) -> ConnectionHandle {
        self.last_id += 1;
        let connection = Connection::new(now, front);
        let handle = ConnectionHandle {
            id: self.last_id,
            outbox: connection.outbox.clone(),
            close_requested: connection.close_requested.clone(),
        };
        self.connections.insert(self.last_id, connection);
        handle
    }

    /// Removes a connection that ended, and returns its open requests.
    pub fn remove(&mut self, id: u64) -> Vec<Reference> {
        let Some(connection) = self.connections.remove(&id) else {
            return Vec::new();
        };
        self.unsent_bytes -= connection.unsent_bytes;
        self.freed.notify();
        connection
            .open_requests
            .into_values()
            .map(|request| request.reference)
            .collect()
    }

    /// Queues bytes for a connection, and returns whether they will be written. A connection whose
    /// unsent bytes exceed the limit is closed: its peer does not read.
    pub fn send(&mut self, id: u64, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let max_length = MAX_UNSENT_BYTES
            .saturating_sub(connection.unsent_bytes)
            .min(self.max_unsent_bytes.saturating_sub(self.unsent_bytes));
        let Some(length) = connection.outbox.append(max_length, write) else {
            return false;
        };
        connection.unsent_bytes += length;
        self.unsent_bytes += length;
        true
    }

    /// Records that bytes were written to a connection.
    pub fn record_written(&mut self, id: u64, length: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.unsent_bytes -= length;
            self.unsent_bytes -= length;
        }
    }

    /// Bytes that wait to be written.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Ends a connection once its queued bytes are written.
    pub fn finish(&mut self, id: u64) {
        if let Some(connection) = self.connections.get(&id) {
            connection.outbox.close();
        }
    }

    /// Records that a connection received bytes, and whether a partial message is left.
    pub fn record_activity(&mut self, id: u64, now: Micros, has_partial_message: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_activity(now, has_partial_message);
        }
    }

    /// The number of a connection's open requests; none if it has ended.
    pub fn open_requests(&self, id: u64) -> Option<usize> {
        let connection = self.connections.get(&id)?;
        Some(connection.open_requests.len())
    }

    /// Whether a connection has an open request.
    pub fn is_in_use(&self, id: u64) -> bool {
        self.open_requests(id).is_some_and(|open| open > 0)
    }

    /// Records that a connection brought a request or a health check.
    pub fn mark_identified(&mut self, id: u64, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.mark_identified(now);
        }
    }

    /// Adds an open request. A connection that was to be evicted is then kept.
    pub fn open_request(
        &mut self,
        origin: Origin,
        now: Micros,
        reference: Reference,
        class: usize,
    ) {
        if let Some(connection) = self.connections.get_mut(&origin.connection) {
            connection.mark_identified(now);
            connection
                .open_requests
                .insert(origin.request_number, OpenRequest { reference, class });
            connection.is_evicted = false;
        }
    }

    /// Removes a request that is being answered, and returns its front end and class; none if its
    /// client no longer waits.
    pub fn close_request(&mut self, origin: Origin, now: Micros) -> Option<(Front, usize)> {
        let connection = self.connections.get_mut(&origin.connection)?;
        let request = connection.open_requests.remove(&origin.request_number)?;
        connection.last_use = now;
        Some((connection.front, request.class))
    }

    /// Removes a request that its client cancelled.
    pub fn cancel_request(&mut self, origin: Origin) -> Option<Reference> {
        let connection = self.connections.get_mut(&origin.connection)?;
        let request = connection.open_requests.remove(&origin.request_number)?;
        Some(request.reference)
    }

    /// Records that a connection brought an invalid message. It ends once there are too many.
    pub fn record_error(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_error();
        }
    }

    /// The connections of gateways.
    pub fn gateways(&self) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.front == Front::Gateway)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Begins a lingering close, if the connection may have one. It counts as used until
    /// [`ConnectionTable::end_linger`].
    pub fn begin_linger(&mut self, id: u64) -> Option<Lingering> {
        let connection = self.connections.get(&id);
        let is_unidentified = connection.is_none_or(|connection| !connection.is_identified);
        if is_unidentified && self.unidentified_lingering >= MAX_UNIDENTIFIED_LINGERING {
            return None;
        }
        self.lingering += 1;
        self.unidentified_lingering += usize::from(is_unidentified);
        Some(Lingering { is_unidentified })
    }

    /// Ends a lingering close.
    pub fn end_linger(&mut self, lingering: Lingering) {
        let Lingering { is_unidentified } = lingering;
        self.lingering -= 1;
        self.unidentified_lingering -= usize::from(is_unidentified);
        self.freed.notify();
    }

    /// Marks a connection as closing. Returns whether its peer has to be sent `goaway` first.
    pub fn begin_close(&mut self, id: u64) -> bool {
        self.connections
            .get_mut(&id)
            .is_some_and(Connection::begin_close)
    }

    /// The work that keeps a connection from being closed.
    pub fn pending_work(&self, id: u64, now: Micros) -> PendingWork {
        match self.connections.get(&id) {
            Some(connection) => connection.pending_work(now),
            None => PendingWork::None,
        }
    }

    /// Requests the close of all connections, each once no request is open on it.
    pub fn request_close_all(&self) {
        for connection in self.connections.values() {
            connection.close_requested.notify();
        }
    }

    /// Connections that count towards the limit.
    pub fn used(&self) -> usize {
        self.connections.len() + self.lingering
    }

    /// Connections that are about to be free: those that end with no open request, and those in a
    /// lingering close.
    pub fn closing(&self) -> usize {
        let ending = self.connections.values().filter(|c| c.is_ending());
        ending.count() + self.lingering
    }

    /// Evicts one connection, if any may be evicted: first the unidentified one that has been
    /// silent for longest, then the identified one that was used least recently. While more than
    /// half of the connections are unidentified, only those are evicted: each of them ends soon in
    /// any case, and a flood of them must not evict identified clients.
    pub fn evict_one(&mut self, now: Micros) -> bool {
        let unidentified = self.connections.values().filter(|c| !c.is_identified);
        let is_flooded = 2 * unidentified.count() > self.connections.len();
        let evictable = self
            .connections
            .values_mut()
            .filter(|connection| connection.is_evictable(now));
        let next = evictable.min_by_key(|c| (c.is_identified, c.eviction_time()));
        let Some(connection) = next.filter(|c| !(c.is_identified && is_flooded)) else {
            return false;
        };
        // Marked at once: its driver may run only after the next connection is accepted, for which
        // another one has to be evicted.
        connection.is_evicted = true;
        connection.close_requested.notify();
        true
    }

    /// When a connection reaches this idle timeout; none while a request is open on it.
    pub fn idle_deadline(&self, id: u64, idle_timeout: Micros) -> Option<Micros> {
        self.connections.get(&id)?.idle_deadline(idle_timeout)
    }
}
