//! What is due by the clock.

use super::*;

impl Node {
    // Time.

    /// When it wants to be woken.
    pub fn due(&self) -> Micros {
        let asks = self.elector.as_ref().map(|_| self.next_beat);
        let publisher = self.publisher.as_ref().map(Publisher::due);
        let closer = self.closer.as_ref().and_then(Closer::due);
        let fetch = self.fetch.as_ref().map(|f| f.again);
        let lease = self.leased_until().filter(|_| self.leased);
        [asks, publisher, closer, fetch, lease]
            .into_iter()
            .flatten()
            .fold(self.next_ask, Micros::min)
    }

    /// It is time for something. Whether there is a new word of its own to be spread.
    pub fn wake(&mut self, now: Micros) -> bool {
        let mut spread = false;
        if now >= self.next_beat && self.elector.is_some() {
            self.next_beat = now + self.settings.lease / BEATS;
            spread = self.beats(now);
        }
        if now >= self.next_ask {
            self.next_ask = now + AGAIN;
            self.asks(now);
        }
        let mut out = Vec::new();
        let outcome = self.publisher.as_mut().and_then(|p| p.wake(now, &mut out));
        if let Some(outcome) = outcome {
            self.published(now, outcome);
        }
        if self.closer.as_mut().is_some_and(|c| c.wake(now, &mut out)) {
            let floor = self.closer.as_ref().map_or(0, Closer::floor);
            self.event(Event::Closed(floor));
        }
        self.out.append(&mut out);
        let leased = self.leased_until().is_some_and(|until| now < until);
        if leased != self.leased {
            self.leased = leased;
            self.event(Event::Lease(self.acting, leased));
        }
        self.own_words(now);
        spread
    }

    pub(super) fn beats(&mut self, now: Micros) -> bool {
        let Some(elector) = &self.elector else {
            return false;
        };
        let electors = &self.newest.electors;
        match elector.beat(now) {
            Some((beat, write)) if write <= self.synced => {
                let Beat { start, at, .. } = beat;
                // Its own clock needs no asking.
                self.leases.told(&self.name, start, at, now, electors);
                self.leases.beat(&beat, electors)
            }
            _ => false,
        }
    }

    pub(super) fn asks(&mut self, now: Micros) {
        if let Some(elector) = &self.elector {
            let asks = elector.asks();
            asks.into_iter().for_each(|s| self.say(s));
        }
        let asked: Vec<String> = self.floor.asks(&self.newest.electors).cloned().collect();
        for to in asked {
            self.out.push((
                to,
                Message::Floor {
                    nonce: self.floor.nonce(),
                },
            ));
        }
        for elector in &self.newest.electors {
            if *elector != self.name
                && self
                    .leases
                    .asks(elector, now, self.settings.lease, self.rates)
            {
                self.out
                    .push((elector.clone(), Message::Clock { asked: now }));
            }
        }
        let pending = self.elector.as_ref().is_some_and(|e| e.pending().is_some());
        let stale = self.stale.filter(|_| pending);
        self.stale = pending.then_some(stale.unwrap_or(now + STALE + self.rng.i64(0..STALE)));
        if self.stale.is_some_and(|at| now >= at) && self.publisher.is_none() && self.synced > 0 {
            self.stale = None;
            self.begin(now, None);
        }
    }
}
