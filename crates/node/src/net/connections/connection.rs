//! One connection of a front end.

use super::outbox::Outbox;
use super::{Front, PendingWork};
use crate::net::notify::Notify;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use std::collections::HashMap;

/// An unidentified connection, on which neither a request nor a health check has arrived yet, is
/// closed after this time, in microseconds. Its peer expects a reply or a close within three
/// seconds.
const UNIDENTIFIED_TIMEOUT: Micros = 2_000_000;
/// How long to wait for further bytes of a partial message, or on an unidentified connection, after
/// the last ones, in microseconds. An unidentified connection may therefore stay open for longer
/// than [`UNIDENTIFIED_TIMEOUT`], as a first request may take two seconds to arrive.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 1_000_000;
/// Upper bound of the time for which an unidentified connection stays open, in microseconds.
const MAX_UNIDENTIFIED_TIMEOUT: Micros = 2_700_000;
/// A connection is closed after this number of invalid messages in a row. A peer with another
/// protocol would otherwise take most of the event loop's time.
const MAX_ERRORS: u32 = 8;
/// A connection is not evicted for this time after its last use, in microseconds: its peer may be
/// about to use it again.
const RECENT_USE: Micros = 100_000;
/// An unidentified connection is not evicted for this time after its last activity, in
/// microseconds: its first request may be in transit. Longer than [`RECENT_USE`], so that an
/// identified connection can be evicted while unidentified ones are still protected.
const RECENT_ARRIVAL: Micros = 250_000;

/// A request that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    /// Reference of the request in the core.
    pub reference: Reference,
    /// Index of the request's class.
    pub class: usize,
}

/// One connection of a front end.
#[derive(Debug)]
pub struct Connection {
    pub front: Front,
    pub outbox: Outbox,
    /// Notified when the connection is to be closed.
    pub close_requested: Notify,
    /// Notified when bytes were written.
    pub written: Notify,
    /// Bytes that wait to be written or are being written.
    pub unsent_bytes: usize,
    /// Counted memory of its incomplete message, in bytes.
    pub incomplete_bytes: usize,
    /// Requests without an answer, by their number on this connection.
    pub open_requests: HashMap<u64, OpenRequest>,
    /// When a request or a health check last arrived, or an answer was last sent.
    pub last_use: Micros,
    /// When bytes last arrived.
    last_activity: Micros,
    /// When the first part of an incomplete message arrived.
    partial_since: Option<Micros>,
    /// Whether the connection was selected for eviction, and no request has arrived since.
    pub is_evicted: bool,
    /// Whether the connection is being closed.
    is_closing: bool,
    /// Whether a request or a health check has arrived.
    pub is_identified: bool,
    /// Number of invalid messages since the last valid one.
    errors: u32,
}

impl Connection {
    pub fn new(now: Micros, front: Front) -> Connection {
        Connection {
            front,
            outbox: Outbox::default(),
            close_requested: Notify::new(),
            written: Notify::new(),
            unsent_bytes: 0,
            incomplete_bytes: 0,
            open_requests: HashMap::new(),
            last_use: now,
            last_activity: now,
            partial_since: None,
            is_evicted: false,
            is_closing: false,
            is_identified: false,
            errors: 0,
        }
    }

    /// Records received bytes, and whether a partial message is left.
    pub fn record_activity(&mut self, now: Micros, has_partial_message: bool) {
        self.last_activity = now;
        self.partial_since = has_partial_message.then(|| self.partial_since.unwrap_or(now));
    }

    /// When bytes last arrived.
    pub fn last_activity(&self) -> Micros {
        self.last_activity
    }

    /// Records a request or a health check.
    pub fn mark_identified(&mut self, now: Micros) {
        self.last_use = now;
        self.is_identified = true;
        self.errors = 0;
        self.partial_since = None;
    }

    /// Records an invalid message. After [`MAX_ERRORS`] in a row the connection is closed.
    pub fn record_error(&mut self) {
        self.errors += 1;
        if self.errors >= MAX_ERRORS {
            self.outbox.close();
        }
    }

    /// Marks the connection as closing. Returns whether the peer has to be sent `goaway` first, as
    /// it is a gateway that may be about to send a request.
    pub fn begin_close(&mut self) -> bool {
        let is_first = !std::mem::replace(&mut self.is_closing, true);
        is_first && self.is_identified && self.front == Front::Gateway
    }

    /// Until when to wait for the rest of a partial message, if there is one.
    fn partial_message_deadline(&self) -> Option<Micros> {
        let since = self.partial_since?;
        let rest = self.last_activity + PARTIAL_MESSAGE_TIMEOUT;
        Some(rest.min(since + MAX_UNIDENTIFIED_TIMEOUT))
    }

    /// The work that has to end before the connection can be closed.
    pub fn pending_work(&self, now: Micros) -> PendingWork {
        if !self.open_requests.is_empty() {
            return PendingWork::OpenRequests;
        }
        if self.unsent_bytes > 0 {
            return PendingWork::UnsentBytes;
        }
        match self.partial_message_deadline() {
            Some(deadline) if deadline > now => PendingWork::PartialMessage,
            _ => PendingWork::None,
        }
    }

    /// Whether the connection is about to end, and no request is open.
    pub fn is_ending(&self) -> bool {
        self.open_requests.is_empty()
            && (self.is_evicted || self.is_closing || self.outbox.is_closed())
    }

    /// Whether the connection may be evicted.
    pub fn is_evictable(&self, now: Micros) -> bool {
        let is_unused = self.open_requests.is_empty()
            && !self.is_evicted
            && !self.is_closing
            && !self.outbox.is_closed()
            && self.unsent_bytes == 0;
        // An unidentified connection may be evicted even if part of a message has arrived.
        let is_receiving = self.is_identified
            && self
                .partial_message_deadline()
                .is_some_and(|deadline| deadline > now);
        let protection = if self.is_identified {
            RECENT_USE
        } else {
            RECENT_ARRIVAL
        };
        is_unused && !is_receiving && self.eviction_time() + protection <= now
    }

    /// The time by which connections are ordered for eviction: the last use, or for an unidentified
    /// connection the last activity, as its first request may arrive in parts.
    pub fn eviction_time(&self) -> Micros {
        if self.is_identified {
            self.last_use
        } else {
            self.last_activity
        }
    }

    /// When the connection reaches the idle timeout; none while a request is open.
    pub fn idle_deadline(&self, idle_timeout: Micros) -> Option<Micros> {
        if !self.open_requests.is_empty() {
            return None;
        }
        let idle = self.last_use + idle_timeout;
        if self.is_identified {
            // The connection is not idle while a request arrives in parts.
            let partial = self.partial_message_deadline();
            return Some(idle.max(partial.unwrap_or(Micros::MIN)));
        }
        let unidentified_deadline = (self.last_use + UNIDENTIFIED_TIMEOUT)
            .max(self.last_activity + PARTIAL_MESSAGE_TIMEOUT);
        Some(
            unidentified_deadline
                .min(self.last_use + MAX_UNIDENTIFIED_TIMEOUT)
                .min(idle),
        )
    }
}
