//! Keyed runs of a node with a store: a run is dispatched once its intent is durable, and its
//! outcome is written when it ends.
//!
//! [`pipitlever_idempotency_store::commit_queue`] decides when records are written and which keys
//! are rejected, and [`pipitlever_idempotency_store::recovery`] which keys are restored.

use crate::core::intake::{NodeRejection, OVERLOAD_RETRY_AFTER};
use crate::core::runs::FinishedRun;
use crate::core::Core;
use crate::effect::RunOutcome;
use crate::idempotency_table::{CachedOutcome, RestoredKey, WindowOrigin};
use crate::request::Reference;
use crate::run_store::{EndedRun, RunStore, StoreUsage};
use pipitlever_admission::{Micros, RequestId};
use pipitlever_capture::record::AnswerSource;
use pipitlever_idempotency_store::commit_queue::{CommitEvent, RejectionReason, StatusChange};
use pipitlever_idempotency_store::log::Batch;
use pipitlever_idempotency_store::record::{Intent, Outcome};
use pipitlever_idempotency_store::recovery::RecoveredKey;
use std::io;
use std::rc::Rc;

/// A stored entry is retained this long after its window and the read delay, so that the last
/// duplicate can still be answered.
const STORE_LINGER: Micros = 1_000_000;
/// Capacity that the buffer of commit events keeps after a burst.
const RETAINED_EVENTS: usize = 256;

impl Core {
    /// Attaches a store, with the keys that were recovered from it; their windows are on the node's
    /// clock. Has to be called before any request arrives.
    pub fn attach_store(&mut self, mut store: RunStore, recovered: Vec<RecoveredKey>) {
        for key in recovered {
            self.restore_recovered(&mut store, key);
        }
        self.store = Some(Box::new(store));
    }

    fn restore_recovered(&mut self, store: &mut RunStore, recovered: RecoveredKey) {
        let RecoveredKey {
            intent,
            window_end,
            outcome,
        } = recovered;
        let key: Rc<str> = Rc::from(&*intent.key);
        let outcome = match outcome {
            Some(Outcome::Served(result)) => CachedOutcome::Served(Rc::from(result)),
            Some(Outcome::Failed) => CachedOutcome::Failed,
            None => {
                // A processor that is still running from before the restart may report the end of
                // the run.
                let read_grace = self.keys.read_delay() + STORE_LINGER;
                let expires_at = window_end + read_grace + store.uptime_offset;
                if store
                    .commit_queue
                    .adopt_intent(intent.reference, intent.id, expires_at)
                {
                    store.earlier_runs.insert(intent.reference, key.clone());
                }
                CachedOutcome::Unknown { window_end }
            }
        };
        // The controller has no request with the owner's number. It needs none, as a duplicate is
        // answered from the table even if its original is closed.
        let owner = self.requests.allocate_id();
        self.keys.restore(RestoredKey {
            key: &key,
            owner,
            payload_digest: intent.payload_digest,
            window_end,
            window_origin: Some(WindowOrigin {
                class: Rc::from(&*intent.class),
                start: window_end - intent.window,
            }),
            outcome: Some(outcome),
        });
    }

    /// The rejection of a request with a new key; `None` if the store accepts new keys.
    pub(super) fn check_store(&self, now: Micros) -> Option<NodeRejection> {
        let store = self.store.as_ref()?;
        let rejection = match store.commit_queue.rejection_reason(now)? {
            RejectionReason::Full => NodeRejection::new(AnswerSource::StoreFull),
            RejectionReason::Failing | RejectionReason::Slow => {
                NodeRejection::new(AnswerSource::StoreUnavailable)
            }
            RejectionReason::Damaged => {
                let longest = self.settings.max_retry_after.max(OVERLOAD_RETRY_AFTER);
                let remaining = store.damage_ends_at - now;
                NodeRejection {
                    source: AnswerSource::StoreUnavailable,
                    retry_after: remaining.clamp(OVERLOAD_RETRY_AFTER, longest),
                }
            }
        };
        Some(rejection)
    }

    /// Queues the intent of a keyed run for writing; the run is dispatched once the intent is
    /// durable. Returns whether there is a store.
    pub(super) fn write_intent(&mut self, id: RequestId) -> bool {
        let window = (self.requests.get(id))
            .map_or(0, |request| self.window_in_force(request.incoming.class));
        let (Some(store), Some(request)) = (&mut self.store, self.requests.get(id)) else {
            return false;
        };
        let incoming = &request.incoming;
        let read_grace = self.keys.read_delay() + STORE_LINGER;
        let intent = Intent {
            // Assigned by the commit queue.
            id: 0,
            reference: incoming.reference,
            key: incoming.idempotency_key.as_deref().unwrap_or("").to_owned(),
            class: self.classes.name(incoming.class).to_owned(),
            payload_digest: incoming.payload_digest,
            arrived_at: incoming.arrived_at,
            window,
            expires_at: incoming.arrived_at + window + read_grace + store.uptime_offset,
            read_grace,
        };
        store
            .commit_queue
            .enqueue_intent(self.now, intent, &mut store.events);
        true
    }

    /// Handles the events of the commit queue. The resulting controller events are left pending.
    pub(super) fn process_store_events(&mut self) {
        loop {
            let Some(store) = &mut self.store else {
                return;
            };
            if store.events.is_empty() {
                return;
            }
            let mut events = std::mem::take(&mut store.events);
            for event in events.drain(..) {
                self.handle_store_event(event);
            }
            events.shrink_to(RETAINED_EVENTS);
            if let Some(store) = &mut self.store {
                // Handling the events may have added further ones.
                events.append(&mut store.events);
                store.events = events;
            }
        }
    }

    fn handle_store_event(&mut self, event: CommitEvent) {
        match event {
            CommitEvent::IntentDurable(reference) => self.handle_intent_written(reference),
            CommitEvent::IntentAbandoned(reference) => {
                if let Some(id) = self.requests.id_of(reference) {
                    self.finish_run(
                        id,
                        FinishedRun::not_started(),
                        AnswerSource::StoreUnavailable,
                    );
                }
            }
            CommitEvent::OutcomeDurable(reference) => {
                let store = self.store.as_mut();
                let ended = store.and_then(|store| store.ended_runs.remove(&reference));
                let (Some(ended), Some(id)) = (ended, self.requests.id_of(reference)) else {
                    return;
                };
                let run = FinishedRun {
                    outcome: RunOutcome::Completed,
                    elapsed: ended.elapsed,
                    result: ended.result,
                };
                self.finish_run(id, run, AnswerSource::Run);
            }
        }
    }

    /// Dispatches a run whose intent is durable, if a caller or a duplicate still waits for its
    /// outcome.
    fn handle_intent_written(&mut self, reference: Reference) {
        let id = self.requests.id_of(reference);
        let request = id.and_then(|id| self.requests.get(id));
        let (Some(id), Some(request)) = (id, request) else {
            return self.void_intent(reference);
        };
        let key = request.incoming.idempotency_key.as_deref();
        let entry = self.keys.owned_entry(key.unwrap_or_default(), id);
        let has_waiting = entry.is_some_and(|entry| !entry.waiting.is_empty());
        if request.origin.is_some() || has_waiting {
            return self.dispatch_run(id);
        }
        self.void_intent(reference);
        self.finish_run(
            id,
            FinishedRun::not_started(),
            AnswerSource::StoreUnavailable,
        );
    }

    /// Queues a record that the run of an intent was not started.
    fn void_intent(&mut self, reference: Reference) {
        if let Some(store) = &mut self.store {
            store.commit_queue.enqueue_void(reference);
        }
    }

    /// Queues the outcome of a keyed run for writing. Returns whether the answer has to wait until
    /// the outcome is durable.
    pub(super) fn write_outcome(&mut self, reference: Reference, run: &FinishedRun) -> bool {
        let Some(store) = &mut self.store else {
            return false;
        };
        if store.ended_runs.contains_key(&reference) {
            return true;
        }
        let outcome = match run.outcome {
            RunOutcome::NotStarted => {
                store.commit_queue.enqueue_void(reference);
                return false;
            }
            RunOutcome::Completed if run.result.len() <= self.keys.max_result_bytes() => {
                CachedOutcome::Served(run.result.clone())
            }
            _ => CachedOutcome::Failed,
        };
        let answer_waits = store.write_outcome(reference, &outcome);
        if answer_waits {
            let ended = EndedRun {
                elapsed: run.elapsed,
                result: run.result.clone(),
            };
            store.ended_runs.insert(reference, ended);
        }
        answer_waits
    }

    /// Handles the end of a run that an earlier process started. Later duplicates of its key are
    /// answered with the outcome.
    pub(super) fn finish_earlier_run(
        &mut self,
        reference: Reference,
        outcome: RunOutcome,
        result: &Rc<[u8]>,
    ) {
        let Some(store) = &mut self.store else {
            return;
        };
        let Some(key) = store.earlier_runs.remove(&reference) else {
            return;
        };
        let outcome = match outcome {
            RunOutcome::NotStarted => {
                store.commit_queue.enqueue_void(reference);
                self.keys.remove(&key);
                return;
            }
            RunOutcome::Completed if result.len() <= self.keys.max_result_bytes() => {
                CachedOutcome::Served(result.clone())
            }
            _ => CachedOutcome::Failed,
        };
        store.write_outcome(reference, &outcome);
        self.keys.replace_outcome(&key, outcome);
    }

    /// Whether the store has an intent of this reference without an outcome.
    pub(super) fn store_contains(&self, reference: Reference) -> bool {
        self.store
            .as_ref()
            .is_some_and(|store| store.commit_queue.has_open_intent(reference))
    }

    /// Whether the node has an idempotency store.
    pub fn has_store(&self) -> bool {
        self.store.is_some()
    }

    /// The next batch for the store's writer, if one is due.
    pub fn next_store_batch(&mut self, now: Micros) -> Option<Batch> {
        self.store.as_mut()?.commit_queue.next_batch(now)
    }

    /// Handles the result of the writer's last batch: the number of bytes in use on disk, or an
    /// error.
    pub fn handle_store_result(&mut self, now: Micros, result: io::Result<u64>) {
        self.advance_to(now);
        let Some(store) = &mut self.store else {
            return;
        };
        store
            .commit_queue
            .complete_batch(now, result, &mut store.events);
        self.process_store_events();
        self.process_pending(now);
    }

    /// Rejects requests that have exceeded the time limit for writing their intent.
    pub(super) fn handle_store_timeouts(&mut self, now: Micros) {
        self.advance_to(now);
        let Some(store) = &mut self.store else {
            return;
        };
        let uptime = now + store.uptime_offset;
        store.commit_queue.tick(now, uptime, &mut store.events);
        self.process_store_events();
        self.process_pending(now);
    }

    /// When [`Core::handle_store_timeouts`] has to be called next.
    pub(super) fn next_store_timeout(&self) -> Option<Micros> {
        self.store.as_ref()?.commit_queue.next_wakeup(self.now)
    }

    /// Returns a change if the store has started or stopped accepting keys since the last call.
    pub fn store_status_change(&mut self, now: Micros) -> Option<StatusChange> {
        self.store.as_mut()?.commit_queue.status_change(now)
    }

    /// Whether all records are durable.
    pub fn is_store_idle(&self) -> bool {
        self.store
            .as_ref()
            .is_none_or(|store| store.commit_queue.is_idle())
    }

    /// The disk usage of the store, if there is one.
    pub fn store_usage(&self) -> Option<StoreUsage> {
        self.store.as_ref().map(|store| store.usage())
    }
}
