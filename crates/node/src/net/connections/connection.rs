//! One connection of a front end.

use super::outbox::Outbox;
use super::{Front, PendingWork};
use crate::net::notify::Notify;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use std::collections::HashMap;

/// An unidentified connection, one that has brought no request and no health check yet, is closed
/// after this time, in microseconds: its peer expects a reply or a close within three seconds.
const UNIDENTIFIED_TIMEOUT: Micros = 2_000_000;
/// An unidentified connection that received bytes this recently, in microseconds, may stay longer:
/// a first request may take two seconds to arrive.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 1_000_000;
/// The longest that an unidentified connection may stay, in microseconds.
const MAX_UNIDENTIFIED_TIMEOUT: Micros = 2_700_000;
/// Errors that a connection may bring between two valid messages. A peer that speaks another
/// protocol would otherwise take most of the event loop's time.
const MAX_ERRORS: u32 = 8;
/// A connection that was used this recently, in microseconds, is not evicted: its peer may be about
/// to use it again.
const RECENT_USE: Micros = 100_000;
/// An unidentified connection that was active this recently, in microseconds, is not evicted: its
/// first request may be on its way. Longer than [`RECENT_USE`], so that another connection can be
/// evicted before it.
const RECENT_ARRIVAL: Micros = 250_000;

/// A request that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    /// Its reference in the core.
    pub reference: Reference,
    /// Index of its class.
    pub class: usize,
}

/// One connection of a front end.
#[derive(Debug)]
pub struct Connection {
    pub front: Front,
    pub outbox: Outbox,
    /// Notified when the connection is to be closed.
    pub close_requested: Notify,
    /// Bytes that wait to be written or are being written.
    pub unsent_bytes: usize,
    /// Requests without an answer, by their number on this connection.
    pub open_requests: HashMap<u64, OpenRequest>,
    /// When it last brought a request or a health check, or received an answer.
    pub last_use: Micros,
    /// When it last brought any byte.
    last_activity: Micros,
    /// When a message whose end is missing began to arrive.
    partial_since: Option<Micros>,
    /// Whether it was chosen for eviction and has brought no request since.
    pub is_evicted: bool,
    /// Whether it is being closed.
    is_closing: bool,
    /// Whether it has brought a request or a health check.
    pub is_identified: bool,
    /// Errors since the last valid message.
    errors: u32,
}

impl Connection {
    pub fn new(now: Micros, front: Front) -> Connection {
        Connection {
            front,
            outbox: Outbox::default(),
            close_requested: Notify::new(),
            unsent_bytes: 0,
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

    /// Records a request or a health check.
    pub fn mark_identified(&mut self, now: Micros) {
        self.last_use = now;
        self.is_identified = true;
        self.errors = 0;
        self.partial_since = None;
    }

    /// Records an invalid message. The connection ends once there are too many.
    pub fn record_error(&mut self) {
        self.errors += 1;
        if self.errors >= MAX_ERRORS {
            self.outbox.close();
        }
    }

    /// Marks the connection as closing. Returns whether its peer is a gateway that may be about to
    /// use it, so that it has to be sent `goaway` first.
    pub fn begin_close(&mut self) -> bool {
        let is_first = !std::mem::replace(&mut self.is_closing, true);
        is_first && self.is_identified && self.front == Front::Gateway
    }

    /// Until when the rest of a partial message is waited for, if there is one.
    fn partial_message_deadline(&self) -> Option<Micros> {
        let since = self.partial_since?;
        let rest = self.last_activity + PARTIAL_MESSAGE_TIMEOUT;
        Some(rest.min(since + MAX_UNIDENTIFIED_TIMEOUT))
    }

    /// The work that keeps the connection from being closed.
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

    /// Whether the connection is about to end without any further request.
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
        // An unidentified connection may be evicted though half a message has arrived.
        let is_receiving = self.is_identified
            && self
                .partial_message_deadline()
                .is_some_and(|deadline| deadline > now);
        let protected = if self.is_identified {
            RECENT_USE
        } else {
            RECENT_ARRIVAL
        };
        is_unused && !is_receiving && self.eviction_time() + protected <= now
    }

    /// The time by which connections are ordered for eviction: the last use; for an unidentified
    /// connection the last activity, as a request may be on its way in pieces.
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
            // A request that arrives in pieces has begun, though it is not read yet.
            let partial = self.partial_message_deadline();
            return Some(idle.max(partial.unwrap_or(Micros::MIN)));
        }
        let silent = (self.last_use + UNIDENTIFIED_TIMEOUT)
            .max(self.last_activity + PARTIAL_MESSAGE_TIMEOUT);
        Some(
            silent
                .min(self.last_use + MAX_UNIDENTIFIED_TIMEOUT)
                .min(idle),
        )
    }
}
