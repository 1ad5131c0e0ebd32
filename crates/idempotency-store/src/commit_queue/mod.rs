//! The commit queue: write-ahead logging of runs with group commit. No I/O and no clock.
//!
//! A run starts only once its intent is durable. One batch is written at a time; records that
//! arrive meanwhile are added to the next batch, so that one sync commits all of them. If the
//! writer fails or is slow, intents that are not durable are abandoned and their runs never start,
//! and new keyed requests are rejected until the writer has completed a batch. Outcomes stay in
//! the queue until they are written.

mod config;
mod space;
mod status;

pub use config::{CommitQueueConfig, SYNC_TIMEOUT};
pub use space::Usage;
pub use status::{RejectionReason, StatusChange};

use crate::log::Batch;
use crate::record::{Intent, Outcome, Record};
use crate::Micros;
use config::{EXPIRY_INTERVAL, FULL_RETRY_INTERVAL, MAX_BATCH_BYTES};
use space::Space;
use status::WriterStatus;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;

/// The result of a queued record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitEvent {
    /// The intent of this reference is durable: the run may start.
    IntentDurable(u64),
    /// The intent of this reference is abandoned: the run must never start.
    IntentAbandoned(u64),
    /// The outcome of this reference is durable.
    OutcomeDurable(u64),
}

/// A batch that is being written.
#[derive(Debug)]
struct BatchInFlight {
    records: Vec<Record>,
    /// [`Batch::extension`] of the batch.
    extension: Micros,
    started_at: Micros,
}

/// An intent without an outcome.
#[derive(Clone, Copy, Debug)]
struct OpenIntent {
    id: u64,
    /// Expiry of the intent, by the time since boot.
    expires_at: Micros,
}

/// The queue of records that are to be written to a log.
#[derive(Debug)]
pub struct CommitQueue {
    config: CommitQueueConfig,
    queue: VecDeque<Record>,
    in_flight: Option<BatchInFlight>,
    /// Intents without an outcome, by reference.
    open_intents: HashMap<u64, OpenIntent>,
    last_intent_id: u64,
    /// References of intents that were abandoned while they were being written.
    abandoned: HashSet<u64>,
    /// References of queued outcomes, by the intent's id.
    outcome_references: HashMap<u64, u64>,
    space: Space,
    writer: WriterStatus,
    /// How much longer the records that were written before are to be kept, in microseconds. The
    /// writer has not been told of it yet.
    extension: Micros,
    /// Until this time damage may hide keys.
    damaged_until: Option<Micros>,
    /// When expired open intents were last removed.
    last_expiry_at: Micros,
    /// Rejection reason that was last reported by [`CommitQueue::status_change`].
    reported: Option<RejectionReason>,
}

impl CommitQueue {
    /// Creates the queue of a log of `used_bytes`. Keyed requests are rejected until
    /// `damaged_until`.
    ///
    /// The ids of intents start after `first_id`, which should be random, so that the ids differ
    /// from those of earlier processes.
    pub fn new(
        config: CommitQueueConfig,
        used_bytes: u64,
        damaged_until: Option<Micros>,
        first_id: u64,
    ) -> CommitQueue {
        CommitQueue {
            config,
            queue: VecDeque::new(),
            in_flight: None,
            open_intents: HashMap::new(),
            last_intent_id: first_id,
            abandoned: HashSet::new(),
            outcome_references: HashMap::new(),
            space: Space::new(config, used_bytes),
            writer: WriterStatus::default(),
            extension: 0,
            damaged_until,
            last_expiry_at: Micros::MIN / 2,
            reported: None,
        }
    }

    /// Why new keyed requests are rejected at present; `None` if they are accepted.
    pub fn rejection_reason(&self, now: Micros) -> Option<RejectionReason> {
        if self.damaged_until.is_some_and(|until| now < until) {
            Some(RejectionReason::Damaged)
        } else if self.writer.failure.is_some() {
            Some(RejectionReason::Failing)
        } else if self.writer.is_slow {
            Some(RejectionReason::Slow)
        } else if self.space.is_full() {
            Some(RejectionReason::Full)
        } else {
            None
        }
    }

    fn is_full(&self, now: Micros) -> bool {
        self.rejection_reason(now) == Some(RejectionReason::Full)
    }

    /// Queues the intent of a run. [`CommitEvent::IntentDurable`] or
    /// [`CommitEvent::IntentAbandoned`] follows, the latter immediately while the writer fails or
    /// is slow. The queue assigns the intent's id.
    pub fn enqueue_intent(
        &mut self,
        now: Micros,
        mut intent: Intent,
        events: &mut Vec<CommitEvent>,
    ) {
        // A request that was admitted before the writer failed must not wait for the writer either.
        if let Some(RejectionReason::Failing | RejectionReason::Slow) = self.rejection_reason(now) {
            events.push(CommitEvent::IntentAbandoned(intent.reference));
            return;
        }
        self.last_intent_id = self.last_intent_id.wrapping_add(1);
        intent.id = self.last_intent_id;
        let open = OpenIntent {
            id: intent.id,
            expires_at: intent.expires_at,
        };
        if self.open_intents.insert(intent.reference, open).is_none() {
            self.space.reserve_outcomes(1);
        }
        self.enqueue(Record::Intent(intent));
    }

    fn enqueue(&mut self, record: Record) {
        self.space.reserve(&record);
        self.queue.push_back(record);
    }

    /// Whether the reference has an intent without an outcome, so that no other attempt may use the
    /// reference.
    pub fn has_open_intent(&self, reference: u64) -> bool {
        self.open_intents.contains_key(&reference)
    }

    /// Adopts an intent that an earlier process wrote, so that its outcome can be enqueued. Returns
    /// `false`, without effect, if the reference is in use.
    pub fn adopt_intent(&mut self, reference: u64, id: u64, expires_at: Micros) -> bool {
        if self.has_open_intent(reference) {
            return false;
        }
        self.space.reserve_outcomes(1);
        let open = OpenIntent { id, expires_at };
        self.open_intents.insert(reference, open);
        true
    }

    /// Queues the outcome of a run. Returns `false`, without effect, if the reference has no open
    /// intent: the intent is unknown or expired, or has an outcome already.
    pub fn enqueue_outcome(&mut self, reference: u64, outcome: Outcome) -> bool {
        let Some(OpenIntent { id, expires_at }) = self.close_intent(reference) else {
            return false;
        };
        self.outcome_references.insert(id, reference);
        self.enqueue(Record::Outcome {
            id,
            expires_at,
            outcome,
        });
        true
    }

    /// Queues the void of an intent: its run has not started and never will.
    pub fn enqueue_void(&mut self, reference: u64) {
        if let Some(OpenIntent { id, expires_at }) = self.close_intent(reference) {
            self.enqueue(Record::Void { id, expires_at });
        }
    }

    /// Keeps all records that were enqueued before for this much longer, in microseconds, since
    /// windows became longer.
    pub fn extend_expiry(&mut self, extension: Micros) {
        self.extension = self.extension.saturating_add(extension);
        for open in self.open_intents.values_mut() {
            open.expires_at = open.expires_at.saturating_add(extension);
        }
        // The keys that damage may hide have these windows too.
        if let Some(until) = &mut self.damaged_until {
            *until = until.saturating_add(extension);
        }
    }

    fn close_intent(&mut self, reference: u64) -> Option<OpenIntent> {
        let open = self.open_intents.remove(&reference)?;
        self.space.release_outcomes(1);
        Some(open)
    }

    /// Returns the next batch, if one is to be written now. An empty batch makes the writer reclaim
    /// space, and tests whether writes succeed again.
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        if self.in_flight.is_some() || now < self.writer.not_before {
            return None;
        }
        let is_full = self.is_full(now);
        let has_work = !self.queue.is_empty() || self.extension > 0;
        if !has_work && !is_full && self.writer.failure.is_none() {
            return None;
        }
        let extension = std::mem::take(&mut self.extension);
        let mut batch = Batch {
            extension,
            ..Batch::default()
        };
        let mut records = Vec::new();
        while let Some(record) = self.queue.pop_front() {
            batch.push(&record);
            records.push(record);
            if self.config.sync_each_record || batch.bytes.len() >= MAX_BATCH_BYTES {
                break;
            }
        }
        if is_full {
            self.writer.not_before = now + FULL_RETRY_INTERVAL;
        }
        self.in_flight = Some(BatchInFlight {
            records,
            extension,
            started_at: now,
        });
        Some(batch)
    }

    /// Handles the result of the batch in flight: the size of the log in bytes, or the error.
    pub fn complete_batch(
        &mut self,
        now: Micros,
        result: io::Result<u64>,
        events: &mut Vec<CommitEvent>,
    ) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        match result {
            Ok(used_bytes) => {
                self.space.set_used(used_bytes);
                self.writer.record_success();
                if !self.is_full(now) {
                    self.writer.not_before = Micros::MIN;
                }
                for record in &batch.records {
                    self.commit(record, events);
                }
            }
            Err(error) => {
                self.writer.record_failure(now, &error);
                self.extension = self.extension.saturating_add(batch.extension);
                for record in batch.records.into_iter().rev() {
                    self.roll_back(record, events);
                }
                self.abandon_queued_intents(events);
            }
        }
    }

    /// Handles a record that is durable.
    fn commit(&mut self, record: &Record, events: &mut Vec<CommitEvent>) {
        self.space.release(record);
        match record {
            Record::Intent(Intent { reference, .. }) => {
                if self.abandoned.remove(reference) {
                    self.enqueue_void(*reference);
                } else {
                    events.push(CommitEvent::IntentDurable(*reference));
                }
            }
            Record::Outcome { id, .. } => {
                let reference = self.outcome_references.remove(id);
                events.extend(reference.map(CommitEvent::OutcomeDurable));
            }
            Record::Void { .. } => {}
        }
    }

    /// Handles a record of a failed batch, which may or may not be durable.
    fn roll_back(&mut self, record: Record, events: &mut Vec<CommitEvent>) {
        if let Record::Intent(Intent { reference, .. }) = record {
            self.space.release(&record);
            if !self.abandoned.remove(&reference) {
                events.push(CommitEvent::IntentAbandoned(reference));
            }
            // Without a void, the next process would have to assume that the run of a durable
            // intent may have started.
            self.enqueue_void(reference);
        } else {
            self.queue.push_front(record);
        }
    }

    /// Abandons intents that have not been part of a batch yet. They need no void, as they can't be
    /// on the disk.
    fn abandon_queued_intents(&mut self, events: &mut Vec<CommitEvent>) {
        let mut others = VecDeque::with_capacity(self.queue.len());
        for record in std::mem::take(&mut self.queue) {
            if let Record::Intent(Intent { reference, .. }) = record {
                self.space.release(&record);
                self.open_intents.remove(&reference);
                self.space.release_outcomes(1);
                events.push(CommitEvent::IntentAbandoned(reference));
            } else {
                others.push_back(record);
            }
        }
        self.queue = others;
    }

    /// Abandons all intents that are not durable once the batch in flight has taken
    /// [`SYNC_TIMEOUT`], and removes open intents that have expired by the time `since_boot`.
    pub fn tick(&mut self, now: Micros, since_boot: Micros, events: &mut Vec<CommitEvent>) {
        if now >= self.last_expiry_at + EXPIRY_INTERVAL {
            self.last_expiry_at = now;
            self.remove_expired_intents(since_boot);
        }
        let Some(batch) = &self.in_flight else {
            return;
        };
        if self.writer.is_slow || now - batch.started_at < SYNC_TIMEOUT {
            return;
        }
        self.writer.is_slow = true;
        for record in &batch.records {
            if let Record::Intent(Intent { reference, .. }) = record {
                self.abandoned.insert(*reference);
                events.push(CommitEvent::IntentAbandoned(*reference));
            }
        }
        self.abandon_queued_intents(events);
    }

    fn remove_expired_intents(&mut self, since_boot: Micros) {
        let before = self.open_intents.len();
        self.open_intents
            .retain(|_, open| open.expires_at >= since_boot);
        let removed = before - self.open_intents.len();
        self.space.release_outcomes(removed as u64);
    }

    /// When [`CommitQueue::tick`] or [`CommitQueue::next_batch`] has to be called next, unless
    /// another method is called before.
    pub fn next_wakeup(&self, now: Micros) -> Option<Micros> {
        if let Some(batch) = &self.in_flight {
            return (!self.writer.is_slow).then_some(batch.started_at + SYNC_TIMEOUT);
        }
        let has_work = self.writer.failure.is_some()
            || !self.queue.is_empty()
            || self.extension > 0
            || self.is_full(now);
        has_work.then_some(self.writer.not_before.max(now))
    }

    /// Whether all records are durable.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Number of records that are not durable yet.
    pub fn pending_records(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        self.queue.len() + in_flight.map_or(0, |batch| batch.records.len())
    }

    /// Space in use and reserved.
    pub fn usage(&self) -> Usage {
        self.space.usage()
    }

    /// Returns the change of [`CommitQueue::rejection_reason`] since the last call, if any.
    pub fn status_change(&mut self, now: Micros) -> Option<StatusChange> {
        let reason = self.rejection_reason(now);
        if reason == self.reported {
            return None;
        }
        self.reported = reason;
        Some(match reason {
            None => StatusChange::Accepting,
            Some(RejectionReason::Damaged) => StatusChange::Damaged,
            Some(RejectionReason::Failing) => StatusChange::Failing {
                error: self.writer.failure.clone().unwrap_or_default(),
            },
            Some(RejectionReason::Slow) => StatusChange::Slow,
            Some(RejectionReason::Full) => StatusChange::Full {
                used_bytes: self.space.usage().used_bytes,
                capacity: self.config.capacity,
            },
        })
    }
}

#[cfg(test)]
mod tests;
