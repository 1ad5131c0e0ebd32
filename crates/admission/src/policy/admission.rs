//! Arrival of requests: registration, admission and rejection.
//!
//! A request is admitted or rejected in the step in which it arrives, so that a rejected request
//! costs no more than its reading.

use super::controller::{Controller, Queue, RequestEntry};
use super::hysteresis::OBSERVATION_OBJECTIVES;
use super::latency::{MICROS_PER_SECOND, MIN_RATE, SMOOTHING};
use crate::interface::{Action, Cause, Idempotency, Micros, Mode, Request, RequestId, Stage};

impl Controller {
    /// Registers a request that was read. From now on it occupies memory and has to be answered.
    pub(super) fn register(&mut self, request: &Request) {
        let class = self.class(request.class);
        let arrived_at = self.now - request.queue_time;
        let cost = request.cost.unwrap_or(0.0);
        let objective = class.latency_objective + (class.objective_per_cost * cost) as Micros;
        let mut deadline = match request.timeout {
            Some(timeout) => self.now + timeout,
            None => arrived_at + class.deadline,
        };
        if let Some(shutdown) = self.shutdown {
            deadline = deadline.min(shutdown.stop_at);
        }
        let window = OBSERVATION_OBJECTIVES * self.objective;
        let priority = self
            .priorities
            .record_arrival(&self.settings, self.now, request, window);
        let entry = RequestEntry {
            class: request.class,
            stage: Stage::Queued,
            deadline,
            objective_at: (arrived_at + objective).min(deadline),
            priority,
            cost,
            memory_kb: request.memory_kb,
            is_retry: request.is_retry,
            is_answered: false,
            has_retained_key: false,
            off_core_time: 0,
            needs_call_since: 0,
        };
        self.read_delay += SMOOTHING * (request.queue_time as f64 - self.read_delay);
        self.memory.requests_kb += request.memory_kb;
        self.requests.insert(request.id, entry);
    }

    /// Queues a registered request, or rejects it.
    pub(super) fn admit_or_reject(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let id = request.id;
        // The caller abandoned the request in the batch of events in which it arrived.
        if !self.requests.contains_key(&id) {
            return;
        }
        if request.duplicate_of.is_some() {
            self.admit_duplicate(id, actions);
        } else if let Some(cause) = self.rejection_cause(request) {
            self.reject(id, cause, actions);
        } else {
            self.retain_key(request, actions);
            self.queued.insert(id);
            self.update_modes();
        }
    }

    /// Answers a duplicate from the outcome of its original. Running the duplicate could take
    /// effect a second time, and rejecting it would claim that the original had no effect. If the
    /// memory is exhausted, the duplicate fails in the same step.
    fn admit_duplicate(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let entry = self.requests.get_mut(&id).expect("registered");
        entry.stage = Stage::AwaitingOriginal;
        actions.push(Action::ReuseOutcome(id));
        let used = self.memory.used_kb(&self.settings);
        if used > self.settings.memory_kb {
            let cause = Cause::OutOfMemory {
                used,
                requested: 0.0,
            };
            self.fail(id, cause, actions);
        }
    }

    /// Records an arrival at the queues that its request would join. Returns the cause if the
    /// request has to be rejected.
    fn rejection_cause(&mut self, request: &Request) -> Option<Cause> {
        let shed = self.record_at_queues(request);
        let arrived_at = self.now - request.queue_time;
        if self.shutdown.is_some_and(|s| arrived_at > s.last_arrival) {
            return Some(Cause::AfterGrace);
        }
        if self.stall.is_stalled {
            return Some(Cause::Stalled);
        }
        shed.or_else(|| self.out_of_memory_cause(request))
    }

    fn record_at_queues(&mut self, request: &Request) -> Option<Cause> {
        let priority = self.requests[&request.id].priority;
        let makes_calls = self.class(request.class).makes_calls;
        let mut cause = None;
        for queue in Queue::ALL {
            if queue == Queue::Call && !makes_calls {
                continue;
            }
            let control = &mut self.queue_controls[queue as usize];
            control.recent_arrivals.push_back((self.now, priority));
            if cause.is_none() && !control.admits(priority) {
                cause = Some(Cause::Shed {
                    is_call_queue: queue == Queue::Call,
                    mode: control.hysteresis.mode,
                    priority,
                    cutoff: control.cutoff,
                });
            }
        }
        cause
    }

    /// The cause if no memory can be reserved for a request: for the key of a keyed request, or,
    /// without a key, because the budget is already exceeded.
    fn out_of_memory_cause(&self, request: &Request) -> Option<Cause> {
        let requested = match self.class(request.class).idempotency {
            Idempotency::Keyed => self.settings.key_kb,
            Idempotency::Idempotent | Idempotency::NonIdempotent => 0.0,
        };
        if self.memory.has_capacity(&self.settings, requested) {
            return None;
        }
        Some(Cause::OutOfMemory {
            used: self.memory.used_kb(&self.settings),
            requested,
        })
    }

    /// Retains the idempotency key of a keyed request, or the object key of a read whose answer
    /// other reads of the object may share. The key is retained before the request is queued, so
    /// that duplicates are recognized from the start.
    fn retain_key(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let Some(lifetime) = self.key_lifetime(request) else {
            return;
        };
        self.memory.retain_key(request.id, self.now + lifetime);
        let entry = self.requests.get_mut(&request.id).expect("registered");
        entry.has_retained_key = true;
        actions.push(Action::RetainKey(request.id, lifetime));
    }

    /// How long the idempotency key of a keyed request, or the object key of a cacheable read, has
    /// to be retained; `None` if the request has neither.
    fn key_lifetime(&self, request: &Request) -> Option<Micros> {
        let class = self.class(request.class);
        let is_cacheable_read =
            self.settings.read_cache_ttl > 0 && request.has_key && !request.is_write;
        match class.idempotency {
            // The idempotency key has to outlive the time that the request itself can be queued.
            Idempotency::Keyed => {
                let remaining = self.requests[&request.id].deadline - self.now;
                Some(class.idempotency_window.max(remaining))
            }
            Idempotency::Idempotent
                if is_cacheable_read
                    && self
                        .memory
                        .has_capacity(&self.settings, self.settings.key_kb) =>
            {
                Some(self.settings.read_cache_ttl + class.latency_objective)
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Rejects a request that never ran.
    pub(super) fn reject(&mut self, id: RequestId, cause: Cause, actions: &mut Vec<Action>) {
        self.causes.push((id, cause));
        let no_retry = self.discourages_retry(id);
        let retry_after = self.retry_after();
        actions.push(Action::Reject {
            id,
            retry_after,
            no_retry,
        });
        self.remove_unstarted(id, actions);
    }

    /// Whether the caller of a rejected request should not retry elsewhere: a later answer has no
    /// weight; or the request is itself a retry or the whole fleet is overloaded, so that another
    /// attempt would only add the cost of reading it. Only the first reason applies while the
    /// server is stalled.
    fn discourages_retry(&self, id: RequestId) -> bool {
        let entry = &self.requests[&id];
        let late_weight = self.class(entry.class).late_weight;
        let is_useless = self.now >= entry.objective_at && late_weight == 0.0;
        let adds_to_fleet_overload = entry.is_retry || self.priorities.is_fleet_overloaded();
        is_useless || !self.stall.is_stalled && adds_to_fleet_overload
    }

    /// The time after which a rejected caller should retry. In overload and discard mode, it is the
    /// time that the excess of the start queue takes to be served, with random jitter; in normal
    /// mode, it is 0.
    /// During a stall, it is random between half the maximum and the maximum; during a shutdown, it
    /// is the maximum without jitter.
    fn retry_after(&mut self) -> Micros {
        let max = self.settings.max_retry_after;
        let retry_after = if self.shutdown.is_some() {
            max
        } else if self.stall.is_stalled {
            (max as f64 * (0.5 + 0.5 * self.random_unit())) as Micros
        } else if self.mode() == Mode::Normal {
            0
        } else {
            let abatement = self.queue_control(Queue::Start).hysteresis.abatement;
            let excess = (self.queue_length(Queue::Start) - abatement).max(0.0);
            let time_to_serve = excess / self.completion_rate().max(MIN_RATE) * MICROS_PER_SECOND;
            (time_to_serve * (0.5 + self.random_unit())) as Micros
        };
        retry_after.clamp(0, max.max(0))
    }
}
