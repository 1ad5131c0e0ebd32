//! Handles messages from gateways.

use super::NodeState;
use pipitlever_admission::Micros;
use pipitlever_core::{IncomingRequest, Origin};
use pipitlever_wire::jsonrpc::{self, ErrorCode, Message, WorkRequest};
use pipitlever_wire::uwsgi;
use std::rc::Rc;

/// Converts milliseconds of the gateways' protocol to microseconds.
fn micros(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

impl NodeState {
    /// Handles a message from a gateway.
    pub fn handle_gateway_message(&mut self, connection: u64, message: Message) {
        let Some(open) = self.connections.open_requests(connection) else {
            return;
        };
        match message {
            Message::Work(work) => {
                let number = work.id;
                if open >= jsonrpc::MAX_OPEN_REQUESTS {
                    return self.reject_message(
                        connection,
                        Some(number),
                        ErrorCode::InvalidRequest,
                    );
                }
                match self.gateway_request(connection, work) {
                    Ok(incoming) => self.open_request(incoming),
                    Err(code) => self.reject_message(connection, Some(number), code),
                }
            }
            Message::HealthCheck {
                id,
                checks_progress,
            } => self.handle_health_check(connection, id, checks_progress),
            Message::Cancel(number) => self.handle_cancel(connection, number),
            Message::Invalid(number, code) => self.reject_message(connection, number, code),
        }
    }

    fn handle_health_check(&mut self, connection: u64, number: u64, checks_progress: bool) {
        let level = self.core.load_level();
        self.connections
            .mark_identified(connection, self.clock.now());
        let is_healthy = self.core.is_healthy()
            && self.failures.failed_subsystem().is_none()
            && !(checks_progress && self.core.is_stalled());
        self.connections.send(connection, |out| {
            jsonrpc::write_health(out, number, is_healthy, level);
        });
    }

    /// Cancels a request. The protocol requires no reply, but a client that cancels all its
    /// requests would otherwise never receive the load level.
    fn handle_cancel(&mut self, connection: u64, number: u64) {
        let level = self.core.load_level();
        let origin = Origin {
            connection,
            request_number: number,
        };
        let Some(reference) = self.connections.cancel_request(origin) else {
            return;
        };
        self.connections.send(connection, |out| {
            jsonrpc::write_error(out, Some(number), ErrorCode::Cancelled, level);
        });
        self.with_core(|core, now| core.handle_abandoned(now, reference));
    }

    /// Answers an invalid message with an error.
    fn reject_message(&mut self, connection: u64, number: Option<u64>, code: ErrorCode) {
        self.core.counters.malformed += 1;
        let level = self.core.load_level();
        self.connections.send(connection, |out| {
            jsonrpc::write_error(out, number, code, level);
        });
        self.connections.record_error(connection);
    }

    fn gateway_request(
        &self,
        connection: u64,
        work: WorkRequest,
    ) -> Result<IncomingRequest, ErrorCode> {
        let class = work.class;
        let is_keyed = self.classes[class].is_keyed;
        if self.core.contains_request(work.reference)
            || (is_keyed && work.idempotency_key.is_none())
        {
            return Err(ErrorCode::InvalidParams);
        }
        let sent_at = self.clock.unix_to_clock(micros(work.arrived_at_ms));
        // If the client's clock is ahead, `sent_at` is in the future and would extend the window of
        // the idempotency key.
        let arrived_at = sent_at.min(self.clock.now());
        let key = work.idempotency_key.clone().filter(|_| is_keyed);
        let payload_digest = self.payload_digest(class, &work.body);
        let is_conflict =
            |key: &Rc<str>| self.core.is_key_conflict(key, arrived_at, payload_digest);
        if key.as_ref().is_some_and(is_conflict) {
            return Err(ErrorCode::InvalidParams);
        }
        let body = match &self.classes[class].worker_route {
            None => work.body,
            Some(route) => worker_packet(&route.path, &work)?,
        };
        Ok(IncomingRequest {
            reference: work.reference,
            sender: work.gateway,
            tenant: work.tenant,
            origin: Origin {
                connection,
                request_number: work.id,
            },
            class,
            arrived_at,
            deadline: work.timeout_ms.map(|ms| sent_at + micros(ms)),
            cost: work.expected_work_ms.map(|ms| ms * 1e3),
            memory_kb: work.memory_kb,
            priority: work.priority,
            is_retry: work.is_retry,
            idempotency_key: key,
            body,
            payload_digest,
        })
    }
}

/// The uwsgi packet of a gateway's request to a class that workers serve.
fn worker_packet(path: &str, work: &WorkRequest) -> Result<Rc<[u8]>, ErrorCode> {
    let length = work.body.len().to_string();
    let mut variables = vec![
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", path),
        ("PATH_INFO", path),
        ("QUERY_STRING", ""),
        ("SERVER_PROTOCOL", "HTTP/1.1"),
        ("CONTENT_TYPE", "application/octet-stream"),
        ("CONTENT_LENGTH", &length),
    ];
    let key = work.idempotency_key.as_deref();
    variables.extend(key.map(|key| ("HTTP_IDEMPOTENCY_KEY", key)));
    let packet = uwsgi::encode_packet(&variables, &work.body).ok_or(ErrorCode::InvalidParams)?;
    Ok(Rc::from(packet))
}
