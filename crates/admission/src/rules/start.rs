//! What is given up, which calls are placed, and what is started.

use super::*;

impl Controller {
    /// Answers what is due, and gives up what can no longer earn anything.
    pub(crate) fn sweep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut ended = Vec::new();
        for (&id, e) in self.entries.iter().filter(|(_, e)| !e.answered) {
            let class = &self.s.classes[e.class];
            let worthless = class.late_weight == 0.0 && now >= e.aim;
            let give_up = match e.state {
                Stage::Queued => worthless || self.still.now,
                Stage::AwaitingOriginal => false,
                _ if class.idempotency == Idempotency::Keyed
                    || self.s.cancellation == CancellationMode::Unsupported =>
                {
                    false
                }
                Stage::Running if class.idempotency == Idempotency::Idempotent => {
                    worthless || self.still.now
                }
                _ => worthless,
            };
            if give_up || now >= e.due {
                let cause = if worthless {
                    Cause::ObjectiveMissed(e.state)
                } else {
                    Cause::Stalled
                };
                let cause = if now >= e.due {
                    Cause::DeadlineExceeded(e.state)
                } else {
                    cause
                };
                ended.push((id, e.state, class.idempotency, cause));
            }
        }
        for (id, state, idempotency, cause) in ended {
            match state {
                Stage::Queued => self.refuse(id, cause, out),
                Stage::Running if idempotency == Idempotency::Idempotent => {
                    // A read may be turned away while it runs, which lets the caller be told to
                    // stop trying.
                    self.entries.get_mut(&id).expect("swept above").answered = true;
                    self.why.push((id, cause));
                    out.push(Action::Reject {
                        id,
                        retry_after: 0,
                        no_retry: cause != Cause::Stalled,
                    });
                    self.halt(id, out);
                }
                _ => self.fail(id, cause, out),
            }
        }
    }

    /// Places calls, nearest aim first, while the layer below has room for this server.
    pub(crate) fn place_calls(&mut self, out: &mut Vec<Action>) {
        let ceiling = self.run.ceiling(&self.s, self.now);
        let mut line: Vec<(Micros, RequestId)> = self.parked().collect();
        line.sort_unstable();
        for (_, id) in line {
            if !self.calls.room(&self.s, ceiling) {
                break;
            }
            let e = self.entries.get_mut(&id).expect("listed above");
            let left = (e.due - self.now).min(self.calls.patience(&self.s)).max(1);
            e.state = Stage::InCall;
            self.calls.placed += 1.0;
            out.push(Action::PlaceCall(id, left));
        }
    }

    /// Starts held requests while there is room on the cores and in memory. What can't end within
    /// its aim is turned away before it wastes work.
    pub(crate) fn start(&mut self, out: &mut Vec<Action>) {
        let ceiling = self.run.ceiling(&self.s, self.now);
        // Reading shares the cores with runs and cannot be put off, so it takes their places; half
        // of the cores stay with runs, or a flood of reading would stop all work.
        let limit = (self.run.limit - self.reading.max(0.0))
            .max(0.5 * self.s.cores)
            .max(1.0)
            .floor();
        let mut running = self.on_cores();
        let unstarted = |e: &&Entry| matches!(e.state, Stage::Queued | Stage::AwaitingOriginal);
        let mut all = (self.entries.len() - self.entries.values().filter(unstarted).count()) as f64;
        loop {
            if self.still.now || running >= limit || all + 1.0 > ceiling {
                return;
            }
            // Earliest aim first: with a short line that ranks of worth have passed, all can be in
            // time.
            let Some((_, id)) = self
                .held
                .iter()
                .map(|&id| (self.entries[&id].aim, id))
                .min()
            else {
                return;
            };
            let e = &self.entries[&id];
            let class = self.class(e.class);
            // Sizes spread, so most end sooner than the mean; while nothing runs one is always
            // tried.
            let seen = &self.seen[e.class];
            let expected = 0.7 * seen.total.mean * seen.size(e.cost);
            let left = if class.late_weight > 0.0 {
                e.due
            } else {
                e.aim
            } - self.now;
            if expected as Micros > left && all > 0.0 {
                self.refuse(
                    id,
                    Cause::CannotFinishInTime {
                        expected: expected as Micros,
                        remaining: left,
                    },
                    out,
                );
                continue;
            }
            let more = e.memory * (self.s.run_memory_factor - 1.0);
            if !self.memory.room(&self.s, more) {
                if all == 0.0 {
                    // Nothing runs that could make room: this one will never fit.
                    self.refuse(id, Cause::ExceedsMemory { requested: more }, out);
                    continue;
                }
                return;
            }
            self.memory.requests += more;
            let e = self.entries.get_mut(&id).expect("held above");
            (e.state, e.off_cores) = (Stage::Running, -self.still.total);
            self.held.remove(&id);
            self.check();
            out.push(Action::Run(id));
            running += 1.0;
            all += 1.0;
        }
    }
}
