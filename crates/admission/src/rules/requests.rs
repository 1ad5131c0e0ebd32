//! A request's way: read, taken or turned away, run, at a call, ended, answered.

use super::*;

impl Controller {
    /// A request enters the books. From here on it occupies memory and is owed an answer.
    pub(crate) fn take_in(&mut self, r: &Request) {
        let class = self.class(r.class);
        let arrived = self.now - r.queue_time;
        let aim =
            class.latency_objective + (class.objective_per_cost * r.cost.unwrap_or(0.0)) as Micros;
        let mut due = match r.timeout {
            Some(patience) => self.now + patience,
            None => arrived + class.deadline,
        };
        if let Some(drain) = self.drain {
            due = due.min(drain.stop);
        }
        let entry = Entry {
            class: r.class,
            state: Stage::Queued,
            due,
            aim: (arrived + aim).min(due),
            worth: self.rank.worth(&self.s, self.now, r, 2.0 * self.aim),
            cost: r.cost.unwrap_or(0.0),
            memory: r.memory_kb,
            retry: r.is_retry,
            answered: false,
            kept: false,
            off_cores: 0,
            parked_at: 0,
        };
        self.unread += SMOOTH * (r.queue_time as f64 - self.unread);
        self.memory.requests += r.memory_kb;
        self.entries.insert(r.id, entry);
    }

    /// Takes a request that was just read, or turns it away: early, before it has cost more than
    /// its reading.
    pub(crate) fn admit(&mut self, r: &Request, out: &mut Vec<Action>) {
        if !self.entries.contains_key(&r.id) {
            return;
        }
        let keyed = self.class(r.class).idempotency == Idempotency::Keyed;
        if r.duplicate_of.is_some() {
            // A repeat is answered from the first: running it, or turning it away, could be a
            // second effect.
            let entry = self.entries.get_mut(&r.id).expect("taken in above");
            entry.state = Stage::AwaitingOriginal;
            out.push(Action::ReuseOutcome(r.id));
            if self.memory.used(&self.s) > self.s.memory_kb {
                let cause = Cause::OutOfMemory {
                    used: self.memory.used(&self.s),
                    requested: 0.0,
                };
                self.fail(r.id, cause, out);
            }
            return;
        }
        // Looked at once: what was taken before the notice arrived before it too.
        let late = self
            .drain
            .is_some_and(|d| self.now - r.queue_time > d.last_arrival);
        let key_kb = if keyed { self.s.key_kb } else { 0.0 };
        let worth = self.entries[&r.id].worth;
        let mut cause = late
            .then_some(Cause::AfterGrace)
            .or(self.still.now.then_some(Cause::Stalled));
        for (i, gate) in self.gates.iter_mut().enumerate() {
            if i == 0 || self.s.classes[r.class].makes_calls {
                gate.recent.push_back((self.now, worth));
                let line = Cause::Shed {
                    is_call_queue: i == 1,
                    mode: gate.modes.mode,
                    priority: worth,
                    cutoff: gate.cut,
                };
                cause = cause.or((!gate.takes(worth)).then_some(line));
            }
        }
        let memory = Cause::OutOfMemory {
            used: self.memory.used(&self.s),
            requested: key_kb,
        };
        cause = cause.or((!self.memory.room(&self.s, key_kb)).then_some(memory));
        if let Some(cause) = cause {
            return self.refuse(r.id, cause, out);
        }
        let fresh = self.s.read_cache_ttl > 0 && r.has_key && !r.is_write;
        let share = fresh && self.class(r.class).idempotency == Idempotency::Idempotent;
        if keyed || (share && self.memory.room(&self.s, self.s.key_kb)) {
            // Kept while held, too, or its repeat would not be known; beyond the window from the
            // arrival.
            let (class, left) = (self.class(r.class), self.entries[&r.id].due - self.now);
            let window = if keyed {
                class.idempotency_window.max(left)
            } else {
                self.s.read_cache_ttl + class.latency_objective
            };
            self.memory.keep(r.id, self.now + window);
            self.entries.get_mut(&r.id).expect("taken in above").kept = true;
            out.push(Action::RetainKey(r.id, window));
        }
        self.held.insert(r.id);
        self.check();
    }

    pub(crate) fn finished(&mut self, id: RequestId, took: Micros, outcome: Outcome) {
        let Some(e) = self.entries.remove(&id) else {
            return;
        };
        if e.state == Stage::AwaitingOriginal {
            self.memory.requests -= e.memory;
            return;
        }
        self.memory.requests -= e.memory * self.s.run_memory_factor;
        if e.state == Stage::InCall {
            self.calls
                .ended(&self.s, self.now, took as f64, Outcome::Cancelled);
        }
        if outcome == Outcome::NotStarted {
            // Nothing was started, so it says nothing of runs, and no repeat can be told from it.
            self.memory.forget(id);
            return;
        }
        if outcome == Outcome::Success || outcome == Outcome::Error {
            self.still.moved(self.now);
        }
        let cores = (took - e.off_cores - self.still.total).max(1) as f64;
        if outcome == Outcome::Success && !e.answered {
            let seen = &mut self.seen[e.class];
            seen.total.learn(took as f64);
            seen.cores.learn(cores);
            seen.hint.learn(e.cost);
            // A large request is not a slow one.
            let ratio = cores / (seen.cores.best * seen.size(e.cost)).max(1.0);
            self.run.stretch += SMOOTH * (ratio - self.run.stretch);
        }
        let good = if outcome == Outcome::Success {
            1.0
        } else {
            0.0
        };
        self.run.success += SMOOTH * (good - self.run.success);
        // What fails at once would have the cores look quick, and draw more of the same.
        if outcome != Outcome::Error {
            self.run.slot += SMOOTH * (cores - self.run.slot);
        }
    }

    pub(crate) fn gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.entries.get_mut(&id) else {
            return;
        };
        e.answered = true;
        match e.state {
            Stage::Queued | Stage::AwaitingOriginal => self.drop_unrun(id, out),
            // Nobody waits, but a repeat may still want the outcome of a keyed one.
            _ if self.s.classes[e.class].idempotency != Idempotency::Keyed => self.halt(id, out),
            _ => {}
        }
    }

    pub(crate) fn call_ended(
        &mut self,
        id: RequestId,
        took: Micros,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(e) = self.entries.get_mut(&id) else {
            return;
        };
        if e.state != Stage::InCall {
            return;
        }
        self.calls.ended(&self.s, self.now, took as f64, outcome);
        match outcome {
            Outcome::Success => {
                e.state = Stage::Running;
                e.off_cores += self.now - e.parked_at;
            }
            // Proven not to have run: it may be placed again, paid for as if it had.
            Outcome::Rejected | Outcome::Unreachable => e.state = Stage::AwaitingCall,
            // Nobody knows whether it ran; a class that is safe to repeat doesn't care.
            Outcome::Reset if self.s.classes[e.class].idempotency == Idempotency::Idempotent => {
                e.state = Stage::AwaitingCall;
            }
            _ => {
                e.state = Stage::AwaitingCall;
                if self.s.classes[e.class].skip_call_weight > 0.0 {
                    e.state = Stage::Running;
                    out.push(Action::SkipCall(id));
                } else if !e.answered {
                    self.fail(id, Cause::CallFailed(outcome), out);
                }
            }
        }
    }

    /// Removes a request that never ran, and its key with it.
    pub(crate) fn drop_unrun(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.entries.remove(&id) else {
            return;
        };
        self.memory.requests -= e.memory;
        if e.kept && e.state == Stage::Queued {
            self.memory.forget(id);
            out.push(Action::ReleaseKey(id));
        }
        if self.held.remove(&id) {
            self.check();
        }
    }

    /// Turns away a request that never ran.
    pub(crate) fn refuse(&mut self, id: RequestId, cause: Cause, out: &mut Vec<Action>) {
        self.why.push((id, cause));
        let e = &self.entries[&id];
        let hopeless = self.now >= e.aim && self.class(e.class).late_weight == 0.0;
        // When many arrivals were turned away elsewhere the whole fleet is short: another try only
        // costs a further reading.
        let no_retry = hopeless || !self.still.now && (e.retry || self.rank.retries > 0.2);
        let over =
            (self.line(0) - self.gates[0].modes.abate).max(0.0) / self.rate().max(1e-9) * 1e6;
        let mut backoff = if self.drain.is_some() {
            self.s.max_retry_after
        } else if self.still.now {
            (self.s.max_retry_after as f64 * (0.5 + 0.5 * self.chance())) as Micros
        } else if self.gates[0].modes.mode == Mode::Normal {
            0
        } else {
            (over * (0.5 + self.chance())) as Micros
        };
        backoff = backoff.clamp(0, self.s.max_retry_after.max(0));
        out.push(Action::Reject {
            id,
            retry_after: backoff,
            no_retry,
        });
        self.drop_unrun(id, out);
    }

    /// Answers with an error: all that may have run, or waits for one that may have.
    pub(crate) fn fail(&mut self, id: RequestId, cause: Cause, out: &mut Vec<Action>) {
        let Some(e) = self.entries.get_mut(&id) else {
            return;
        };
        self.why.push((id, cause));
        e.answered = true;
        out.push(Action::Fail(id));
        match e.state {
            Stage::Queued | Stage::AwaitingOriginal => self.drop_unrun(id, out),
            Stage::Running => self.halt(id, out),
            _ => {}
        }
    }

    pub(crate) fn halt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.s.cancellation != CancellationMode::Unsupported {
            out.push(Action::Cancel(id));
        }
    }
}
