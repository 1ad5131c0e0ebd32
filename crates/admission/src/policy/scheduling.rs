//! Scheduling of admitted requests: ending those that cannot be served in time, placing calls, and
//! starting runs by earliest objective first.

use super::controller::{Controller, RequestEntry};
use crate::interface::{Action, CancellationMode, Cause, Idempotency, Micros, RequestId, Stage};

/// The expected run time of a request as a share of the mean. The distribution of run times is
/// skewed, so that most requests take less than the mean.
const EXPECTED_RUN_TIME: f64 = 0.7;
/// The share of the cores that is reserved for runs. Without it, reading a flood of requests would
/// leave no capacity for runs.
const RESERVED_FOR_RUNS: f64 = 0.5;

/// The decision on the first request of the start queue.
enum StartDecision {
    /// Start it and reserve this much more memory, in kilobytes.
    Start {
        additional_kb: f64,
    },
    Reject(Cause),
    /// Leave it queued until running requests end.
    Wait,
}

impl Controller {
    /// Rejects or fails unanswered requests whose deadline has passed, or that can no longer be
    /// answered in time.
    pub(super) fn expire_requests(&mut self, actions: &mut Vec<Action>) {
        let expired: Vec<(RequestId, Cause)> = self
            .requests
            .iter()
            .filter(|(_, entry)| !entry.is_answered)
            .filter_map(|(&id, entry)| Some((id, self.expiry_cause(entry)?)))
            .collect();
        for (id, cause) in expired {
            self.expire(id, cause, actions);
        }
    }

    /// The cause if an unanswered request has to be ended.
    fn expiry_cause(&self, entry: &RequestEntry) -> Option<Cause> {
        if self.now >= entry.deadline {
            return Some(Cause::DeadlineExceeded(entry.stage));
        }
        let class = self.class(entry.class);
        let is_useless = class.late_weight == 0.0 && self.now >= entry.objective_at;
        // Duplicates can need the outcome of a keyed run. Ending a request whose run cannot be
        // cancelled would free no capacity.
        let runs_to_completion = class.idempotency == Idempotency::Keyed
            || self.settings.cancellation == CancellationMode::Unsupported;
        let is_ended_by_stall = match entry.stage {
            Stage::Queued => true,
            Stage::AwaitingOriginal => return None,
            _ if runs_to_completion => return None,
            Stage::Running => class.idempotency == Idempotency::Idempotent,
            Stage::AwaitingCall | Stage::InCall => false,
        };
        if is_useless {
            Some(Cause::ObjectiveMissed(entry.stage))
        } else if is_ended_by_stall && self.stall.is_stalled {
            Some(Cause::Stalled)
        } else {
            None
        }
    }

    /// Rejects a queued request or a running idempotent one, and fails any other.
    fn expire(&mut self, id: RequestId, cause: Cause, actions: &mut Vec<Action>) {
        let entry = &self.requests[&id];
        let is_idempotent = self.class(entry.class).idempotency == Idempotency::Idempotent;
        match entry.stage {
            Stage::Queued => self.reject(id, cause, actions),
            Stage::Running if is_idempotent => self.reject_running(id, cause, actions),
            _ => self.fail(id, cause, actions),
        }
    }

    /// Rejects an idempotent request that runs. Unlike a failure, a rejection can carry `no_retry`.
    fn reject_running(&mut self, id: RequestId, cause: Cause, actions: &mut Vec<Action>) {
        let entry = self.requests.get_mut(&id).expect("unanswered request");
        entry.is_answered = true;
        self.causes.push((id, cause));
        actions.push(Action::Reject {
            id,
            retry_after: 0,
            no_retry: cause != Cause::Stalled,
        });
        self.cancel(id, actions);
    }

    /// Places waiting calls by earliest objective while the call limit has capacity.
    pub(super) fn place_calls(&mut self, actions: &mut Vec<Action>) {
        let ceiling = self.concurrency.ceiling(&self.settings, self.now);
        let mut waiting: Vec<(Micros, RequestId)> = self.awaiting_call().collect();
        waiting.sort_unstable();
        for (_, id) in waiting {
            if !self.calls.has_capacity(&self.settings, ceiling) {
                break;
            }
            let max_timeout = self.calls.timeout(&self.settings);
            let entry = self.requests.get_mut(&id).expect("waiting for its call");
            let timeout = (entry.deadline - self.now).min(max_timeout).max(1);
            entry.stage = Stage::InCall;
            self.calls.in_flight += 1.0;
            actions.push(Action::PlaceCall(id, timeout));
        }
    }

    /// Starts queued requests while the concurrency limit and the memory budget have capacity, and
    /// rejects those that cannot finish in time.
    pub(super) fn start_queued(&mut self, actions: &mut Vec<Action>) {
        let ceiling = self.concurrency.ceiling(&self.settings, self.now);
        let limit = self.start_limit();
        let mut running = self.running();
        let mut started = self.started();
        while !self.stall.is_stalled && running < limit && started + 1.0 <= ceiling {
            let Some(id) = self.earliest_queued() else {
                return;
            };
            match self.start_decision(&self.requests[&id], started) {
                StartDecision::Start { additional_kb } => {
                    self.start(id, additional_kb, actions);
                    running += 1.0;
                    started += 1.0;
                }
                StartDecision::Reject(cause) => self.reject(id, cause, actions),
                StartDecision::Wait => return,
            }
        }
    }

    /// The number of requests that may be on the cores in addition to those being read: reading
    /// shares the cores with runs and cannot be deferred.
    fn start_limit(&self) -> f64 {
        (self.concurrency.limit - self.reading.max(0.0))
            .max(RESERVED_FOR_RUNS * self.settings.cores)
            .max(1.0)
            .floor()
    }

    /// The number of requests that were started and have not ended.
    fn started(&self) -> f64 {
        let is_unstarted =
            |e: &&RequestEntry| matches!(e.stage, Stage::Queued | Stage::AwaitingOriginal);
        let unstarted = self.requests.values().filter(is_unstarted).count();
        (self.requests.len() - unstarted) as f64
    }

    /// The queued request with the earliest objective. The queue is short, as requests are admitted
    /// by priority, so that this order lets all of them meet their objectives.
    fn earliest_queued(&self) -> Option<RequestId> {
        self.queued
            .iter()
            .map(|&id| (self.requests[&id].objective_at, id))
            .min()
            .map(|(_, id)| id)
    }

    fn start_decision(&self, entry: &RequestEntry, started: f64) -> StartDecision {
        let class = self.class(entry.class);
        let statistics = &self.class_statistics[entry.class];
        let expected =
            EXPECTED_RUN_TIME * statistics.run_time.mean * statistics.relative_cost(entry.cost);
        let expected = expected as Micros;
        let latest_end = if class.late_weight > 0.0 {
            entry.deadline
        } else {
            entry.objective_at
        };
        let remaining = latest_end - self.now;
        // An idle server starts the request regardless of its expected run time.
        if expected > remaining && started > 0.0 {
            return StartDecision::Reject(Cause::CannotFinishInTime {
                expected,
                remaining,
            });
        }
        let additional_kb = entry.memory_kb * (self.settings.run_memory_factor - 1.0);
        if self.memory.has_capacity(&self.settings, additional_kb) {
            StartDecision::Start { additional_kb }
        } else if started == 0.0 {
            StartDecision::Reject(Cause::ExceedsMemory {
                requested: additional_kb,
            })
        } else {
            StartDecision::Wait
        }
    }

    fn start(&mut self, id: RequestId, additional_kb: f64, actions: &mut Vec<Action>) {
        self.memory.requests_kb += additional_kb;
        let entry = self.requests.get_mut(&id).expect("queued request");
        entry.stage = Stage::Running;
        entry.off_core_time = -self.stall.total_stalled;
        self.queued.remove(&id);
        self.update_modes();
        actions.push(Action::Run(id));
    }
}
