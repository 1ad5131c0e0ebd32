//! What uwsgi clients say, and requests made of it.

use super::*;

impl Hub {
    /// A uwsgi client's packet is whole, or wrong. What is wrong gets its status and is never run.
    pub fn uwsgi_packet(&mut self, id: u64, packet: Result<Packet, Status>) {
        match packet.and_then(|p| self.uwsgi_incoming(id, &p)) {
            Ok(incoming) => self.take(incoming),
            Err(status) => {
                self.core.counters.malformed += 1;
                self.places
                    .send(id, |out| uwsgi::write_response(out, status, None, b""));
                self.places.finish(id);
            }
        }
    }

    fn uwsgi_incoming(
        &mut self,
        connection: u64,
        packet: &Packet,
    ) -> Result<IncomingRequest, Status> {
        let route = self.uwsgi.route(packet.path()?).ok_or(Status::NotFound)?;
        let class = self.class(&route.class).ok_or(Status::NotFound)?;
        let Class { keyed, rank, .. } = self.classes[class];
        let key = packet.idempotency_key()?.filter(|_| keyed);
        if keyed && key.is_none() {
            return Err(Status::BadRequest);
        }
        let allow = packet
            .timeout_ms()?
            .unwrap_or(route.deadline_ms.unwrap_or(self.uwsgi.deadline_ms));
        let body = match route.backend {
            Backend::Workers => packet.bytes(),
            Backend::Processor if packet.body().len() > jsonrpc::MAX_BODY => {
                return Err(Status::TooLarge)
            }
            Backend::Processor => packet.body(),
        };
        let arrived = self.clock.now();
        // The body alone: how long a client still waits stands in the variables and differs from
        // try to try.
        let payload = self.payload(class, packet.body());
        if key.is_some_and(|k| self.core.is_key_conflict(k, arrived, payload)) {
            return Err(Status::BadRequest);
        }
        let (key, body, memory_kb) = (key.map(Rc::from), Rc::from(body), self.uwsgi.room_kb);
        Ok(IncomingRequest {
            reference: self.new_name(),
            tenant: None,
            sender: None,
            origin: Origin {
                connection,
                request_number: 1,
            },
            class,
            arrived_at: arrived,
            deadline: Some(arrived + (allow * 1000) as Micros),
            cost: None,
            memory_kb,
            priority: rank,
            is_retry: false,
            idempotency_key: key,
            body,
            payload_digest: payload,
        })
    }

    /// A name for a request that came without one (splitmix64 over the node's seed), unlike any in
    /// memory.
    fn new_name(&mut self) -> Reference {
        loop {
            self.names = self.names.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut z = self.names;
            z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            z ^= z >> 31;
            if !self.core.contains_request(z) {
                return z;
            }
        }
    }
}
