//! The end of runs, and retries.

use super::tracked_member::StartedRun;
use super::{Pool, PoolEvent, RunId, RunInFlight, RunOutcome};
use crate::outlier_detection::EjectionReason;
use crate::retry_budget::RetryRequest;
use crate::Micros;

/// Weight of a run in the latency over all members.
const TYPICAL_LATENCY_WEIGHT: f64 = 0.02;

/// A run that ended.
#[derive(Clone, Copy)]
struct CompletedRun {
    position: usize,
    started_at: Micros,
    /// In microseconds.
    latency: Micros,
    /// The member's runs in flight, this one included.
    in_flight: usize,
}

impl<A: Clone + PartialEq> Pool<A> {
    /// Records the end of a run. Does nothing for an unknown run.
    pub fn complete_run(&mut self, now: Micros, run: RunId, outcome: RunOutcome) {
        let Some(RunInFlight { member, started_at }) = self.runs.remove(&run) else {
            return;
        };
        let Some(&position) = self.positions.get(&member) else {
            return;
        };
        let runs = &mut self.members[position].runs;
        let completed = CompletedRun {
            position,
            started_at,
            latency: (now - started_at).max(0),
            in_flight: runs.len(),
        };
        runs.remove(&StartedRun { started_at, run });
        if let Some(reason) = self.record_outcome(now, completed, outcome) {
            self.eject(now, position, reason);
        }
        let member = &self.members[position];
        if member.is_removed && member.runs.is_empty() {
            self.members.remove(position);
            self.rebuild_candidates(now);
        }
        self.tick(now);
    }

    /// Updates the member's limit, latency and outlier detection. Returns the reason to eject it,
    /// if it should be ejected.
    fn record_outcome(
        &mut self,
        now: Micros,
        run: CompletedRun,
        outcome: RunOutcome,
    ) -> Option<EjectionReason> {
        let slow_latency = self.typical_latency * self.config.outlier_detection.latency_factor;
        let was_slow = run.latency as f64 >= slow_latency;
        let decay = self.config.latency_decay;
        let member = &mut self.members[run.position];
        match outcome {
            RunOutcome::Succeeded => {
                self.record_success(now, run);
                None
            }
            RunOutcome::TimedOut if !was_slow => None,
            RunOutcome::Failed | RunOutcome::TimedOut => {
                // A member that fails immediately must not look fast.
                let latency = run.latency.max(self.typical_latency as Micros);
                member.observe_latency(now, latency, decay);
                member.detector.record_failure()
            }
            RunOutcome::Unreachable => member.detector.record_failure(),
        }
    }

    fn record_success(&mut self, now: Micros, run: CompletedRun) {
        let member = &mut self.members[run.position];
        member.observe_latency(now, run.latency, self.config.latency_decay);
        self.typical_latency +=
            (run.latency as f64 - self.typical_latency) * TYPICAL_LATENCY_WEIGHT;
        member
            .limit
            .record_success(now, run.started_at, run.in_flight);
        if member.detector.record_success(now) {
            let address = member.settings.address.clone();
            self.events.push(PoolEvent::Recovered(address));
            self.rebuild_candidates(now);
        }
    }

    /// Returns the backoff before a retry of `request`, in microseconds, or `None` if it may not be
    /// retried.
    pub fn acquire_retry(&mut self, now: Micros, request: RetryRequest) -> Option<Micros> {
        self.retry_budget.acquire(now, request, &mut self.rng)
    }

    /// Sets the fraction of the pool's retry budget that belongs to this node, 0 to 1.
    pub fn set_budget_share(&mut self, share: f64) {
        self.retry_budget.set_share(share);
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<PoolEvent<A>> {
        std::mem::take(&mut self.events)
    }

    /// Number of runs in flight.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }
}
