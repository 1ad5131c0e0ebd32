//! Registers, evicts and closes front-end connections.

use super::NodeState;
use crate::net::connections::{ConnectionHandle, Front, PendingWork};
use pipitlever_admission::Micros;
use pipitlever_core::IncomingRequest;
use pipitlever_wire::jsonrpc;

impl NodeState {
    /// Registers an accepted connection, until [`NodeState::remove_connection`].
    pub fn add_connection(&mut self, front: Front) -> ConnectionHandle {
        self.core.counters.connections_accepted += 1;
        let handle = self.connections.add(self.clock.now(), front);
        if (self.shutdown.is_closing() || !self.is_accepting) && front == Front::Gateway {
            self.connections.send(handle.id, jsonrpc::write_goaway);
        }
        handle
    }

    /// Removes a connection that ended and abandons its open requests.
    pub fn remove_connection(&mut self, id: u64) {
        for reference in self.connections.remove(id) {
            self.with_core(|core, now| core.handle_abandoned(now, reference));
        }
    }

    /// Evicts an idle connection, unless enough connections are free or about to close.
    pub fn evict_if_full(&mut self) {
        let excess = self.limits.excess(self.used_connections());
        if excess > 0 && self.connections.closing() < excess {
            let evicted = self.connections.evict_one(self.clock.now());
            self.core.counters.connections_evicted += u64::from(evicted);
        }
    }

    /// Whether there are more connections than allowed.
    pub fn is_over_limit(&self) -> bool {
        self.limits.is_exceeded_by(self.used_connections())
    }

    fn used_connections(&self) -> usize {
        self.connections.used() + self.pools.in_flight()
    }

    /// Begins to close a connection. Returns whether its peer was sent `goaway`. Requests that the
    /// peer sent before it read the `goaway` may then still arrive.
    pub fn begin_close(&mut self, id: u64) -> bool {
        let sends_goaway = self.connections.begin_close(id) && !self.shutdown.is_closing_all();
        if sends_goaway && !self.shutdown.is_closing() {
            self.connections.send(id, jsonrpc::write_goaway);
        }
        sends_goaway
    }

    /// The work that keeps a connection from being closed.
    pub fn pending_work(&self, id: u64) -> PendingWork {
        self.connections.pending_work(id, self.clock.now())
    }

    /// When a connection reaches its idle timeout; none while a request is open on it.
    pub fn idle_deadline(&self, id: u64) -> Option<Micros> {
        self.connections.idle_deadline(id, self.core.idle_timeout())
    }

    /// Records that a connection received bytes, and whether a partial message is left.
    pub fn record_activity(&mut self, id: u64, has_partial_message: bool) {
        let now = self.clock.now();
        self.connections
            .record_activity(id, now, has_partial_message);
    }

    /// The index of the class of this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.core.classes.index_of(name)
    }

    /// The index of the tenant of this name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }

    /// Opens a request on its connection and passes it to the core.
    pub(super) fn open_request(&mut self, incoming: IncomingRequest) {
        self.connections.open_request(
            incoming.origin,
            self.clock.now(),
            incoming.reference,
            incoming.class,
        );
        self.with_core(|core, now| core.handle_request(now, incoming));
    }

    /// Digest of a request's body, to detect different requests with the same idempotency key. The
    /// digest includes the class's name, not its index: a redefined class has another index, and
    /// its keys keep their window.
    pub(super) fn payload_digest(&self, class: usize, body: &[u8]) -> u64 {
        self.salt.digest(&self.classes[class].name, body)
    }
}
