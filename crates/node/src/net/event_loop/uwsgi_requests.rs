//! Converts uwsgi packets to requests.

use super::NodeState;
use crate::net::worker_pools::routes::Backend;
use pipitlever_admission::Micros;
use pipitlever_core::{IncomingRequest, Origin};
use pipitlever_wire::jsonrpc;
use pipitlever_wire::uwsgi::{self, Packet, Status};
use std::rc::Rc;

/// Number of the only request of a uwsgi connection.
const REQUEST_NUMBER: u64 = 1;
/// The advised retry delay of a client whose incomplete packet is dropped for lack of memory.
const INCOMPLETE_RETRY_AFTER_S: u64 = 1;

impl NodeState {
    /// Handles a client's complete packet. An invalid packet is answered with an error status.
    pub fn handle_uwsgi_packet(&mut self, connection: u64, packet: Result<Packet, Status>) {
        match packet.and_then(|packet| self.uwsgi_request(connection, &packet)) {
            Ok(incoming) => self.open_request(incoming),
            Err(status) => {
                self.core.counters.malformed += 1;
                self.connections.send(connection, |out| {
                    uwsgi::write_response(out, status, None, b"");
                });
                self.connections.close_outbox(connection);
            }
        }
    }

    /// Records the memory of a client's incomplete packet, in bytes. If all of these exceed their
    /// limit, the clients that have been silent for the longest time are rejected: their requests
    /// have not run.
    pub fn record_incomplete_packet(&mut self, connection: u64, bytes: usize) {
        self.connections.record_incomplete(connection, bytes);
        while let Some(id) = self.connections.excess_incomplete() {
            self.core.counters.connections_evicted += 1;
            // Such a connection lingers, so that its client can read the answer.
            self.connections.mark_identified(id, self.clock.now());
            self.connections.send(id, |out| {
                uwsgi::write_response(
                    out,
                    Status::Unavailable,
                    Some(INCOMPLETE_RETRY_AFTER_S),
                    b"",
                );
            });
            self.connections.close_outbox(id);
            // Its driver drops the packet when it closes the connection.
            self.connections.record_incomplete(id, 0);
        }
    }

    fn uwsgi_request(
        &mut self,
        connection: u64,
        packet: &Packet,
    ) -> Result<IncomingRequest, Status> {
        let route = self.uwsgi.route(packet.path()?).ok_or(Status::NotFound)?;
        let class = self.class_index(&route.class).ok_or(Status::NotFound)?;
        let is_keyed = self.classes[class].is_keyed;
        let priority = self.classes[class].default_priority;
        let key = packet.idempotency_key()?.filter(|_| is_keyed);
        if is_keyed && key.is_none() {
            return Err(Status::BadRequest);
        }
        let timeout_ms = packet
            .timeout_ms()?
            .unwrap_or(route.deadline_ms.unwrap_or(self.uwsgi.deadline_ms));
        let body = match route.backend {
            Backend::Workers => packet.bytes(),
            Backend::Processor if packet.body().len() > jsonrpc::MAX_BODY => {
                return Err(Status::TooLarge)
            }
            Backend::Processor => packet.body(),
        };
        let arrived_at = self.clock.now();
        // Only the body is digested: the variables include the client's timeout, which differs
        // between retries.
        let payload_digest = self.payload_digest(class, packet.body());
        if key.is_some_and(|key| self.core.is_key_conflict(key, arrived_at, payload_digest)) {
            return Err(Status::BadRequest);
        }
        let (key, body, memory_kb) = (
            key.map(Rc::from),
            Rc::from(body),
            self.uwsgi.reserved_memory_kb,
        );
        let core = &self.core;
        Ok(IncomingRequest {
            reference: self
                .references
                .next_unused(|reference| core.contains_request(reference)),
            tenant: None,
            sender: None,
            origin: Origin {
                connection,
                request_number: REQUEST_NUMBER,
            },
            class,
            arrived_at,
            deadline: Some(arrived_at + (timeout_ms * 1000) as Micros),
            cost: None,
            memory_kb,
            priority,
            is_retry: false,
            idempotency_key: key,
            body,
            payload_digest,
        })
    }
}
