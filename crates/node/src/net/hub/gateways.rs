//! What gateways say, and requests made of it.

use super::*;

impl Hub {
    /// A gateway said something.
    pub fn gateway(&mut self, id: u64, message: Message) {
        let level = self.core.load_level();
        let Some(open) = self.places.open(id) else {
            return;
        };
        match message {
            Message::Work(work) => {
                let number = work.id;
                if open >= jsonrpc::MAX_OPEN_REQUESTS {
                    return self.malformed(id, Some(number), ErrorCode::InvalidRequest);
                }
                match self.incoming(id, work) {
                    Ok(incoming) => self.take(incoming),
                    Err(code) => self.malformed(id, Some(number), code),
                }
            }
            Message::HealthCheck {
                id: number,
                checks_progress,
            } => {
                self.places.heard(id, self.clock.now());
                let healthy =
                    self.core.is_healthy() && !(checks_progress && self.core.is_stalled());
                self.places
                    .send(id, |out| jsonrpc::write_health(out, number, healthy, level));
            }
            Message::Cancel(number) => {
                if let Some(reference) = self.places.cancelled(Origin {
                    connection: id,
                    request_number: number,
                }) {
                    // No answer is owed, but a caller that only ever takes back would never hear a
                    // word.
                    self.places.send(id, |out| {
                        jsonrpc::write_error(out, Some(number), ErrorCode::Cancelled, level)
                    });
                    self.tell(|core, now| core.handle_abandoned(now, reference));
                }
            }
            Message::Invalid(number, code) => self.malformed(id, number, code),
        }
    }

    fn malformed(&mut self, id: u64, number: Option<u64>, code: ErrorCode) {
        self.core.counters.malformed += 1;
        let level = self.core.load_level();
        self.places
            .send(id, |out| jsonrpc::write_error(out, number, code, level));
        self.places.erred(id);
    }

    fn incoming(&self, connection: u64, work: WorkRequest) -> Result<IncomingRequest, ErrorCode> {
        let class = work.class;
        let keyed = self.classes[class].keyed;
        if self.core.contains_request(work.reference) || (keyed && work.idempotency_key.is_none()) {
            return Err(ErrorCode::InvalidParams);
        }
        let since = self.clock.of_unix((work.arrived_at_ms * 1e3) as Micros);
        // A caller's clock ahead of ours must not stretch the window of its key.
        let arrived = since.min(self.clock.now());
        let key = work.idempotency_key.clone().filter(|_| keyed);
        let payload = self.payload(class, &work.body);
        if key
            .as_ref()
            .is_some_and(|k| self.core.is_key_conflict(k, arrived, payload))
        {
            return Err(ErrorCode::InvalidParams);
        }
        let body = match &self.classes[class].workers_path {
            None => work.body,
            Some(path) => {
                let length = work.body.len().to_string();
                let mut vars = vec![
                    ("REQUEST_METHOD", "POST"),
                    ("REQUEST_URI", path),
                    ("PATH_INFO", path),
                    ("QUERY_STRING", ""),
                    ("SERVER_PROTOCOL", "HTTP/1.1"),
                    ("CONTENT_TYPE", "application/octet-stream"),
                    ("CONTENT_LENGTH", &length),
                ];
                vars.extend(
                    work.idempotency_key
                        .as_deref()
                        .map(|key| ("HTTP_IDEMPOTENCY_KEY", key)),
                );
                Rc::from(uwsgi::encode_packet(&vars, &work.body).ok_or(ErrorCode::InvalidParams)?)
            }
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
            arrived_at: arrived,
            deadline: work.timeout_ms.map(|ms| since + (ms * 1e3) as Micros),
            cost: work.expected_work_ms.map(|ms| ms * 1e3),
            memory_kb: work.memory_kb,
            priority: work.priority,
            is_retry: work.is_retry,
            idempotency_key: key,
            body,
            payload_digest: payload,
        })
    }
}
