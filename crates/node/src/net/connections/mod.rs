//! Table of the front ends' connections: open requests, unsent bytes, eviction and idle timeouts.

mod connection;
mod outbox;

pub use outbox::Outbox;

use crate::net::notify::Notify;
use connection::{Connection, OpenRequest};
use pipitlever_admission::Micros;
use pipitlever_core::{MemoryLimits, Origin, Reference};
use std::collections::HashMap;

/// Limit on unsent bytes of one connection: more than the answers to all its open requests.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// A connection with more unsent bytes than this is not read. Otherwise a peer that sends many short
/// messages and does not read would make the node keep an answer to each.
const READING_PAUSE_BYTES: usize = 64 << 10;
/// Incomplete messages are counted beyond this size, in bytes. `CONNECTION_BYTES` has room for it.
const FREE_INCOMPLETE_BYTES: usize = 8 << 10;
/// Limit on unidentified connections in a lingering close; further ones are closed at once.
/// Identified connections always linger, as their peers may still have answers to read.
const MAX_UNIDENTIFIED_LINGERING: usize = 32;

/// The protocol of a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// JSON-RPC, the platform's protocol.
    Gateway,
    /// The uwsgi protocol: one request per connection.
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

/// The work that has to end before a connection can be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingWork {
    /// None.
    None,
    /// Requests are open; each ends by its deadline.
    OpenRequests,
    /// Bytes wait to be written: the peer does not read.
    UnsentBytes,
    /// A message has arrived in part.
    PartialMessage,
}

/// Handle to a connection in the table, for the connection's driver.
#[derive(Debug)]
pub struct ConnectionHandle {
    /// The connection's number.
    pub id: u64,
    /// Bytes to write.
    pub outbox: Outbox,
    /// Notified when the connection is to be closed.
    pub close_requested: Notify,
    /// Notified when bytes were written, so that reading may go on.
    pub written: Notify,
}

/// A lingering close, which lasts until [`ConnectionTable::end_linger`].
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
    /// Bytes that wait to be written, over all connections.
    unsent_bytes: usize,
    /// Memory of incomplete messages beyond [`FREE_INCOMPLETE_BYTES`], over all connections.
    incomplete_bytes: usize,
    limits: MemoryLimits,
    /// Connections in a lingering close.
    lingering: usize,
    /// Unidentified connections in a lingering close.
    unidentified_lingering: usize,
    /// Notified when a connection or a lingering close ends.
    pub freed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table. `limits` bounds the unsent bytes and the incomplete messages of all
    /// connections together.
    pub fn new(limits: MemoryLimits) -> ConnectionTable {
        ConnectionTable {
            connections: HashMap::new(),
            last_id: 0,
            unsent_bytes: 0,
            incomplete_bytes: 0,
            limits,
            lingering: 0,
            unidentified_lingering: 0,
            freed: Notify::new(),
        }
    }

    /// Changes the limits on all connections together.
    pub fn set_limits(&mut self, limits: MemoryLimits) {
        self.limits = limits;
    }

    /// Adds an accepted connection, until [`ConnectionTable::remove`].
    pub fn add(&mut self, now: Micros, front: Front) -> ConnectionHandle {
        self.last_id += 1;
        let connection = Connection::new(now, front);
        let handle = ConnectionHandle {
            id: self.last_id,
            outbox: connection.outbox.clone(),
            close_requested: connection.close_requested.clone(),
            written: connection.written.clone(),
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
        self.incomplete_bytes -= connection.incomplete_bytes;
        self.freed.notify();
        connection
            .open_requests
            .into_values()
            .map(|request| request.reference)
            .collect()
    }

    /// Queues bytes for a connection. Returns false if the connection has ended or is closed. A
    /// connection whose unsent bytes would exceed the limit is closed, as its peer does not read.
    pub fn send(&mut self, id: u64, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let max_length = MAX_UNSENT_BYTES
            .saturating_sub(connection.unsent_bytes)
            .min(self.limits.answers.saturating_sub(self.unsent_bytes));
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
            connection.written.notify();
        }
    }

    /// Whether no further message of a connection is to be handled until its peer has read more of
    /// the answers.
    pub fn is_reading_paused(&self, id: u64) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| connection.unsent_bytes > READING_PAUSE_BYTES)
    }

    /// Bytes that wait to be written, over all connections.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Closes a connection's outbox, so that the connection ends once the queued bytes are written.
    pub fn close_outbox(&mut self, id: u64) {
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

    /// Records the memory of a connection's incomplete message, in bytes.
    pub fn record_incomplete(&mut self, id: u64, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let counted = bytes.saturating_sub(FREE_INCOMPLETE_BYTES);
            self.incomplete_bytes += counted;
            self.incomplete_bytes -= std::mem::replace(&mut connection.incomplete_bytes, counted);
        }
    }

    /// If incomplete messages exceed their limit: of the connections with a long one that can still
    /// be answered, the one that has been silent for the longest time.
    pub fn excess_incomplete(&self) -> Option<u64> {
        if self.incomplete_bytes <= self.limits.incomplete {
            return None;
        }
        self.connections
            .iter()
            .filter(|(_, c)| c.incomplete_bytes > 0 && !c.outbox.is_closed())
            .min_by_key(|(&id, connection)| (connection.last_activity(), id))
            .map(|(&id, _)| id)
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

    /// Records that a request or a health check arrived on a connection.
    pub fn mark_identified(&mut self, id: u64, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.mark_identified(now);
        }
    }

    /// Adds an open request, and cancels an eviction of the connection.
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

    /// Removes a request that is being answered, and returns its front end and class; none if the
    /// client has cancelled or disconnected.
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

    /// Records that an invalid message arrived on a connection, which may close the connection.
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

    /// Begins a lingering close, unless the connection is unidentified and the limit is reached.
    /// The connection counts towards the limit on connections until
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

    /// The work that has to end before a connection can be closed.
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

    /// Number of connections that count towards the limit.
    pub fn used(&self) -> usize {
        self.connections.len() + self.lingering
    }

    /// Number of connections that are about to close: those that end without an open request, and
    /// those in a lingering close.
    pub fn closing(&self) -> usize {
        let ending = self.connections.values().filter(|c| c.is_ending());
        ending.count() + self.lingering
    }

    /// Evicts one connection, if any may be evicted: the unidentified connection with the oldest
    /// activity or, if there is none, the least recently used identified one. While more than half
    /// of the connections are unidentified, no identified one is evicted: unidentified connections
    /// end soon in any case, and a flood of them must not evict identified clients.
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
        // Marked here and not by the connection's driver: the driver may run only after the next
        // connection is accepted, for which another connection has to be evicted.
        connection.is_evicted = true;
        connection.close_requested.notify();
        true
    }

    /// When a connection reaches the idle timeout; none while a request is open on it.
    pub fn idle_deadline(&self, id: u64, idle_timeout: Micros) -> Option<Micros> {
        self.connections.get(&id)?.idle_deadline(idle_timeout)
    }
}
