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
                if open >= jsonrpc::MOST_OPEN {
                    return self.malformed(id, Some(number), Code::Request);
                }
                match self.incoming(id, work) {
                    Ok(incoming) => self.take(incoming),
                    Err(code) => self.malformed(id, Some(number), code),
                }
            }
            Message::Alive { id: number, inner } => {
                self.places.heard(id, self.clock.now());
                let healthy = self.core.is_healthy() && !(inner && self.core.is_stalled());
                self.places
                    .send(id, |out| jsonrpc::health(out, number, healthy, level));
            }
            Message::Cancel(number) => {
                if let Some(reference) = self.places.cancelled(Origin {
                    connection: id,
                    request_number: number,
                }) {
                    // No answer is owed, but a caller that only ever takes back would never hear a
                    // word.
                    self.places.send(id, |out| {
                        jsonrpc::failed(out, Some(number), Code::Cancelled, level)
                    });
                    self.tell(|core, now| core.handle_abandoned(now, reference));
                }
            }
            Message::Bad(number, code) => self.malformed(id, number, code),
        }
    }

    fn malformed(&mut self, id: u64, number: Option<u64>, code: Code) {
        self.core.counters.malformed += 1;
        let level = self.core.load_level();
        self.places
            .send(id, |out| jsonrpc::failed(out, number, code, level));
        self.places.erred(id);
    }

    fn incoming(&self, connection: u64, work: Work) -> Result<IncomingRequest, Code> {
        let class = work.class;
        let keyed = self.classes[class].keyed;
        if self.core.contains_request(work.reference) || (keyed && work.replay.is_none()) {
            return Err(Code::Params);
        }
        let since = self.clock.of_unix((work.since * 1e3) as Micros);
        // A caller's clock ahead of ours must not stretch the window of its key.
        let arrived = since.min(self.clock.now());
        let key = work.replay.clone().filter(|_| keyed);
        let payload = self.payload(class, &work.body);
        if key
            .as_ref()
            .is_some_and(|k| self.core.is_key_conflict(k, arrived, payload))
        {
            return Err(Code::Params);
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
                    work.replay
                        .as_deref()
                        .map(|key| ("HTTP_IDEMPOTENCY_KEY", key)),
                );
                Rc::from(uwsgi::packet(&vars, &work.body).ok_or(Code::Params)?)
            }
        };
        Ok(IncomingRequest {
            reference: work.reference,
            sender: work.sender,
            tenant: work.tenant,
            origin: Origin {
                connection,
                request_number: work.id,
            },
            class,
            arrived_at: arrived,
            deadline: work.allow.map(|ms| since + (ms * 1e3) as Micros),
            cost: work.effort.map(|ms| ms * 1e3),
            memory_kb: work.room,
            priority: work.class_rank,
            is_retry: work.dup,
            idempotency_key: key,
            body,
            payload_digest: payload,
        })
    }
}
