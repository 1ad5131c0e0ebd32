//! What is written next, who waits for it, and when keyed requests are turned away. No I/O, and no
//! clock of its own.
//!
//! One batch at a time is in the hands of whoever writes. What comes meanwhile gathers and goes
//! with the next one, so that one sync serves all that wait for it. The writer may take long, or
//! fail: then nobody waits. An intent that is not on the disk is given up, its run never begins,
//! and until the writer has shown that it works again no keyed request is taken. Outcomes are owed
//! to the disk, and are written once it works again.

use crate::log::Batch;
use crate::record::{
    Intent, Outcome, Record, INTENT_OVERHEAD_BYTES, MAX_KEY_BYTES, OUTCOME_OVERHEAD_BYTES,
};
use crate::Micros;
use std::collections::{HashMap, HashSet, VecDeque};

/// A batch that takes longer has those that wait for it given up, in microseconds.
pub const SYNC_TIMEOUT: Micros = 250_000;
/// After a failure the writer is asked again so much later, twice as late each time, up to the
/// last; microseconds.
const FIRST_PAUSE: Micros = 100_000;
const LAST_PAUSE: Micros = 2_000_000;
/// While there is no room, what is over is looked for this often, in microseconds.
const LOOK: Micros = 250_000;
/// Runs that never ended are looked for this often, in microseconds.
const SWEEP: Micros = 1_000_000;
/// A batch takes no more than this, in bytes, but for one record that is longer alone.
const MOST_BATCH: usize = 256 << 10;
/// What a record costs beside its own bytes: the frame, and its part of openings.
const BESIDE: u64 = 48;

/// What the gate keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitQueueConfig {
    /// Bytes on the disk.
    pub capacity: u64,
    /// Of these, bytes that cleaning may need.
    pub compaction_reserve: u64,
    /// The longest result.
    pub max_result_bytes: usize,
    /// Each record is synced by itself.
    pub sync_each_record: bool,
}

/// RefusalReason a keyed request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Damage may hide a key that has run.
    Damaged,
    /// The writer fails.
    Failing,
    /// The writer is slow.
    Slow,
    /// There is no room.
    Full,
}

/// What has come of something that was to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitEvent {
    /// The intent is on the disk: the run may begin.
    IntentDurable(u64),
    /// The run must never begin.
    IntentAbandoned(u64),
    /// The outcome is on the disk.
    OutcomeDurable(u64),
}

#[derive(Debug)]
struct Flight {
    records: Vec<Record>,
    since: Micros,
}

/// The gate.
#[derive(Debug)]
pub struct CommitQueue {
    rules: CommitQueueConfig,
    queue: VecDeque<Record>,
    flight: Option<Flight>,
    /// Tries with an intent and no outcome yet: the intent's number, and when it is over.
    open: HashMap<u64, (u64, Micros)>,
    /// The number of the last intent.
    last: u64,
    /// Given up while their intents were in the writer's hands.
    given_up: HashSet<u64>,
    /// What the tries of outcomes are called that are on their way to the disk.
    names: HashMap<u64, u64>,
    used: u64,
    /// Bytes promised to what is queued, in flight, or still to come.
    reserved: u64,
    failing: Option<String>,
    slow: bool,
    pause: Micros,
    /// The writer is not asked before.
    not_before: Micros,
    suspect: Option<Micros>,
    /// When runs without an end were last looked through.
    swept: Micros,
    /// What the log was told last.
    told: Option<RefusalReason>,
}

/// Bytes that a record is promised.
fn room(record: &Record) -> u64 {
    BESIDE
        + match record {
            Record::Intent(Intent { key, class, .. }) => {
                INTENT_OVERHEAD_BYTES + (key.len() + class.len()) as u64
            }
            Record::Outcome {
                outcome: Outcome::Served(result),
                ..
            } => OUTCOME_OVERHEAD_BYTES + result.len() as u64,
            Record::Outcome {
                outcome: Outcome::Failed,
                ..
            }
            | Record::Void { .. } => OUTCOME_OVERHEAD_BYTES,
        }
}

impl CommitQueue {
    /// A gate before a log that takes so many bytes now. Until `suspect` no keyed request is taken.
    /// Intents are numbered from `first`, which has to be far from all that other processes took: a
    /// random one.
    pub fn new(
        rules: CommitQueueConfig,
        used: u64,
        suspect: Option<Micros>,
        first: u64,
    ) -> CommitQueue {
        CommitQueue {
            rules,
            queue: VecDeque::new(),
            flight: None,
            open: HashMap::new(),
            last: first,
            names: HashMap::new(),
            given_up: HashSet::new(),
            used,
            reserved: 0,
            failing: None,
            slow: false,
            pause: FIRST_PAUSE,
            not_before: Micros::MIN,
            suspect,
            swept: Micros::MIN / 2,
            told: None,
        }
    }

    /// Bytes promised to the outcome of a run that has none yet.
    fn outcome_room(&self) -> u64 {
        BESIDE + OUTCOME_OVERHEAD_BYTES + self.rules.max_result_bytes as u64
    }

    /// RefusalReason no new key is taken now, if none is.
    pub fn refusal(&self, now: Micros) -> Option<RefusalReason> {
        let need = BESIDE + INTENT_OVERHEAD_BYTES + MAX_KEY_BYTES as u64 + self.outcome_room();
        if self.suspect.is_some_and(|until| now < until) {
            Some(RefusalReason::Damaged)
        } else if self.failing.is_some() {
            Some(RefusalReason::Failing)
        } else if self.slow {
            Some(RefusalReason::Slow)
        } else if self.used + self.reserved + need + self.rules.compaction_reserve
            > self.rules.capacity
        {
            Some(RefusalReason::Full)
        } else {
            None
        }
    }

    /// A run is to begin once this is on the disk; [`CommitEvent::Begin`] or [`CommitEvent::Never`] comes of
    /// it. Where new keys are refused it is the latter, at once.
    pub fn enqueue_intent(
        &mut self,
        now: Micros,
        mut intent: Intent,
        events: &mut Vec<CommitEvent>,
    ) {
        // What was let in before the writer failed must not wait for it.
        if matches!(
            self.refusal(now),
            Some(RefusalReason::Failing | RefusalReason::Slow)
        ) {
            return events.push(CommitEvent::IntentAbandoned(intent.reference));
        }
        self.last = self.last.wrapping_add(1);
        intent.id = self.last;
        if self
            .open
            .insert(intent.reference, (intent.id, intent.expires_at))
            .is_none()
        {
            self.reserved += self.outcome_room();
        }
        self.push(Record::Intent(intent));
    }

    fn push(&mut self, record: Record) {
        self.reserved += room(&record);
        self.queue.push_back(record);
    }

    /// Whether a try of this name has an intent, and no end that is known. Another one can't be
    /// called so.
    pub fn has_open_intent(&self, reference: u64) -> bool {
        self.open.contains_key(&reference)
    }

    /// An intent of this number that is on the disk from a process before this one. Whether its end
    /// may still be told, which it can't if its try is called as another's.
    pub fn adopt_intent(&mut self, reference: u64, id: u64, over: Micros) -> bool {
        if self.open.contains_key(&reference) {
            return false;
        }
        self.reserved += self.outcome_room();
        self.open.insert(reference, (id, over));
        true
    }

    /// A run has ended. Whether that is written, which it isn't if its intent is not on the disk,
    /// or over.
    pub fn enqueue_outcome(&mut self, reference: u64, kept: Outcome) -> bool {
        let Some((id, over)) = self.open.remove(&reference) else {
            return false;
        };
        self.reserved -= self.outcome_room();
        self.names.insert(id, reference);
        self.push(Record::Outcome {
            id,
            expires_at: over,
            outcome: kept,
        });
        true
    }

    /// A run that has its intent on the disk will never begin.
    pub fn enqueue_void(&mut self, reference: u64) {
        let Some((id, over)) = self.open.remove(&reference) else {
            return;
        };
        self.reserved -= self.outcome_room();
        self.push(Record::Void {
            id,
            expires_at: over,
        });
    }

    /// The next batch, if one is to be written now. An empty one asks the writer to tidy up, and
    /// whether it works.
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        if self.flight.is_some() || now < self.not_before {
            return None;
        }
        let full = self.refusal(now) == Some(RefusalReason::Full);
        if self.queue.is_empty() && !full && self.failing.is_none() {
            return None;
        }
        let mut batch = Batch::default();
        let mut records = Vec::new();
        while let Some(record) = self.queue.pop_front() {
            batch.push(&record);
            records.push(record);
            if self.rules.sync_each_record || batch.bytes.len() >= MOST_BATCH {
                break;
            }
        }
        if full {
            self.not_before = now + LOOK;
        }
        self.flight = Some(Flight {
            records,
            since: now,
        });
        Some(batch)
    }

    /// The writer is done with its batch: the log takes so many bytes now, or has failed.
    pub fn complete_batch(
        &mut self,
        now: Micros,
        result: Result<u64, String>,
        events: &mut Vec<CommitEvent>,
    ) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        match result {
            Ok(used) => {
                (self.used, self.slow, self.failing, self.pause) = (used, false, None, FIRST_PAUSE);
                if self.refusal(now) != Some(RefusalReason::Full) {
                    self.not_before = Micros::MIN;
                }
                for record in flight.records {
                    self.reserved -= room(&record);
                    match record {
                        Record::Intent(Intent { reference, .. }) => {
                            match self.given_up.remove(&reference) {
                                true => self.enqueue_void(reference),
                                false => events.push(CommitEvent::IntentDurable(reference)),
                            }
                        }
                        Record::Outcome { id, .. } => {
                            events.extend(self.names.remove(&id).map(CommitEvent::OutcomeDurable))
                        }
                        Record::Void { .. } => {}
                    }
                }
            }
            Err(error) => {
                self.failing = Some(error);
                self.not_before = now + self.pause;
                self.pause = (self.pause * 2).min(LAST_PAUSE);
                for record in flight.records.into_iter().rev() {
                    match record {
                        Record::Intent(Intent { reference, .. }) => {
                            self.reserved -= room(&record);
                            if !self.given_up.remove(&reference) {
                                events.push(CommitEvent::IntentAbandoned(reference));
                            }
                            // It may be on the disk all the same, and would look like a run.
                            self.enqueue_void(reference);
                        }
                        // Owed to the disk, first of all.
                        owed => self.queue.push_front(owed),
                    }
                }
                self.drop_queued(events);
            }
        }
    }

    /// Intents that nobody has written yet: their runs never begin, and nothing has to be written
    /// of them.
    fn drop_queued(&mut self, events: &mut Vec<CommitEvent>) {
        let (intents, owed) = self
            .queue
            .drain(..)
            .partition(|r| matches!(r, Record::Intent(_)));
        self.queue = owed;
        let intents: VecDeque<Record> = intents;
        for record in intents {
            self.reserved -= room(&record);
            if let Record::Intent(Intent { reference, .. }) = record {
                self.open.remove(&reference);
                self.reserved -= self.outcome_room();
                events.push(CommitEvent::IntentAbandoned(reference));
            }
        }
    }

    /// Gives up those that have waited for too long, and runs whose windows are over by the
    /// machine's count.
    pub fn tick(&mut self, now: Micros, up: Micros, events: &mut Vec<CommitEvent>) {
        if now >= self.swept + SWEEP {
            self.swept = now;
            let before = self.open.len();
            self.open.retain(|_, (_, over)| *over >= up);
            self.reserved -= (before - self.open.len()) as u64 * self.outcome_room();
        }
        if self.slow
            || self
                .flight
                .as_ref()
                .is_none_or(|f| now - f.since < SYNC_TIMEOUT)
        {
            return;
        }
        self.slow = true;
        for record in &self.flight.as_ref().expect("seen above").records {
            if let Record::Intent(Intent { reference, .. }) = record {
                self.given_up.insert(*reference);
                events.push(CommitEvent::IntentAbandoned(*reference));
            }
        }
        self.drop_queued(events);
    }

    /// When [`CommitQueue::tick`] or [`CommitQueue::batch`] is next wanted, if nothing else happens.
    pub fn next_wakeup(&self, now: Micros) -> Option<Micros> {
        match &self.flight {
            Some(flight) => (!self.slow).then_some(flight.since + SYNC_TIMEOUT),
            None => {
                let wanted = self.failing.is_some()
                    || !self.queue.is_empty()
                    || self.refusal(now) == Some(RefusalReason::Full);
                wanted.then_some(self.not_before.max(now))
            }
        }
    }

    /// Whether nothing is left to be written.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none()
    }

    /// Records that are not on the disk yet.
    pub fn pending_records(&self) -> usize {
        self.queue.len() + self.flight.as_ref().map_or(0, |f| f.records.len())
    }

    /// Bytes on the disk, and those promised beside.
    pub fn usage(&self) -> (u64, u64) {
        (self.used, self.reserved)
    }

    /// A line for the log, whenever keyed requests are taken again or for another reason no longer.
    pub fn status_change(&mut self, now: Micros) -> Option<String> {
        let why = self.refusal(now);
        if why == self.told {
            return None;
        }
        self.told = why;
        let (used, most) = (self.used, self.rules.capacity);
        Some(match why {
            None => "store: keyed requests are taken".into(),
            Some(RefusalReason::Damaged) => {
                "store: keyed requests are refused: damage may hide keys".into()
            }
            Some(RefusalReason::Failing) => {
                let error = self.failing.as_deref().unwrap_or_default();
                format!("store: keyed requests are refused: failing: {error}")
            }
            Some(RefusalReason::Slow) => {
                format!(
                    "store: keyed requests are refused: slow: no sync within {} ms",
                    SYNC_TIMEOUT / 1000
                )
            }
            Some(RefusalReason::Full) => {
                format!("store: keyed requests are refused: full: used={used} most={most}")
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULES: CommitQueueConfig = CommitQueueConfig {
        capacity: 100_000,
        compaction_reserve: 16_000,
        max_result_bytes: 4096,
        sync_each_record: false,
    };

    fn intent(reference: u64) -> Intent {
        let (key, class) = (format!("key {reference}"), "swap".to_owned());
        Intent {
            id: 0,
            reference,
            key,
            class,
            payload_digest: 1,
            arrived_at: 0,
            window: 20_000_000,
            expires_at: 30_000_000,
            read_grace: 0,
        }
    }

    fn gate() -> CommitQueue {
        CommitQueue::new(RULES, 1000, None, 0)
    }

    fn events(f: impl FnOnce(&mut Vec<CommitEvent>)) -> Vec<CommitEvent> {
        let mut events = Vec::new();
        f(&mut events);
        events
    }

    fn ask(gate: &mut CommitQueue, now: Micros, references: &[u64]) -> Vec<CommitEvent> {
        events(|e| {
            references
                .iter()
                .for_each(|&r| gate.enqueue_intent(now, intent(r), e))
        })
    }

    #[test]
    fn one_sync_serves_all_that_wait() {
        let mut gate = gate();
        assert_eq!(ask(&mut gate, 0, &[1]), []);
        assert_eq!(gate.next_batch(0).unwrap().expiries.len(), 1);
        // These come while it is written, and go together.
        ask(&mut gate, 10, &[2, 3]);
        assert_eq!((gate.next_batch(10), gate.pending_records()), (None, 3));
        assert_eq!(
            events(|e| gate.complete_batch(20, Ok(2000), e)),
            [CommitEvent::IntentDurable(1)]
        );
        gate.enqueue_outcome(1, Outcome::Served(vec![7; 100]));
        assert_eq!(gate.next_batch(20).unwrap().expiries.len(), 3);
        assert_eq!(
            events(|e| gate.complete_batch(30, Ok(3000), e)),
            [
                CommitEvent::IntentDurable(2),
                CommitEvent::IntentDurable(3),
                CommitEvent::OutcomeDurable(1)
            ]
        );
        gate.enqueue_void(2);
        gate.enqueue_outcome(3, Outcome::Failed);
        // Once each, whatever is said twice.
        gate.enqueue_outcome(3, Outcome::Failed);
        gate.enqueue_outcome(1, Outcome::Failed);
        assert_eq!(gate.next_batch(30).unwrap().expiries.len(), 2);
        events(|e| gate.complete_batch(40, Ok(3500), e));
        assert!(gate.is_idle() && gate.next_batch(40).is_none());
        assert_eq!(gate.usage(), (3500, 0));
        assert_eq!(gate.next_wakeup(40), None);
    }

    #[test]
    fn each_is_synced_alone_where_that_is_asked() {
        let mut gate = CommitQueue::new(
            CommitQueueConfig {
                sync_each_record: true,
                ..RULES
            },
            0,
            None,
            0,
        );
        ask(&mut gate, 0, &[1, 2]);
        for reference in [1, 2] {
            assert_eq!(gate.next_batch(0).unwrap().expiries.len(), 1);
            assert_eq!(
                events(|e| gate.complete_batch(0, Ok(0), e)),
                [CommitEvent::IntentDurable(reference)]
            );
        }
    }

    #[test]
    fn a_failure_gives_up_intents_and_keeps_outcomes() {
        let mut gate = gate();
        ask(&mut gate, 0, &[1]);
        gate.next_batch(0);
        events(|e| gate.complete_batch(1, Ok(0), e));
        gate.enqueue_outcome(1, Outcome::Served(vec![7; 10]));
        ask(&mut gate, 2, &[2]);
        gate.next_batch(2);
        ask(&mut gate, 3, &[3]);
        let lost = events(|e| gate.complete_batch(4, Err("no space".into()), e));
        assert_eq!(
            lost,
            [
                CommitEvent::IntentAbandoned(2),
                CommitEvent::IntentAbandoned(3)
            ]
        );
        assert_eq!(gate.refusal(4), Some(RefusalReason::Failing));
        assert_eq!(
            gate.status_change(4).unwrap(),
            "store: keyed requests are refused: failing: no space"
        );
        assert_eq!(gate.status_change(5), None);
        // One that the module lets go now never begins either.
        assert_eq!(ask(&mut gate, 5, &[4]), [CommitEvent::IntentAbandoned(4)]);
        assert_eq!(gate.next_batch(5), None);
        let next = gate.next_wakeup(5).unwrap();
        assert!(next > 5);
        // The outcome of the first, and that the second never began: it may be on the disk.
        assert_eq!(gate.next_batch(next).unwrap().expiries.len(), 2);
        assert_eq!(
            events(|e| gate.complete_batch(next, Err("no space".into()), e)),
            []
        );
        let later = gate.next_wakeup(next).unwrap();
        assert!(later - next > next - 4, "{next} {later}");
        assert_eq!(gate.next_batch(later).unwrap().expiries.len(), 2);
        assert_eq!(
            events(|e| gate.complete_batch(later, Ok(500), e)),
            [CommitEvent::OutcomeDurable(1)]
        );
        assert_eq!(
            gate.status_change(later).unwrap(),
            "store: keyed requests are taken"
        );
        assert_eq!((gate.refusal(later), gate.usage()), (None, (500, 0)));
    }

    /// With nothing to write, only an empty batch can show that the writer works again.
    #[test]
    fn an_idle_gate_heals() {
        let mut gate = gate();
        ask(&mut gate, 0, &[1]);
        gate.next_batch(0);
        events(|e| gate.complete_batch(0, Err("gone".into()), e));
        let at = gate.next_wakeup(0).unwrap();
        // The void of the first.
        gate.next_batch(at).unwrap();
        events(|e| gate.complete_batch(at, Err("gone".into()), e));
        let at = gate.next_wakeup(at).unwrap();
        gate.next_batch(at).unwrap();
        events(|e| gate.complete_batch(at, Ok(0), e));
        assert_eq!(gate.refusal(at), None);
    }

    #[test]
    fn nobody_waits_for_a_slow_writer() {
        let mut gate = gate();
        ask(&mut gate, 0, &[1]);
        gate.next_batch(0);
        ask(&mut gate, 1, &[2]);
        assert_eq!(gate.next_wakeup(1), Some(SYNC_TIMEOUT));
        assert_eq!(events(|e| gate.tick(SYNC_TIMEOUT - 1, 0, e)), []);
        assert_eq!(
            events(|e| gate.tick(SYNC_TIMEOUT, 0, e)),
            [
                CommitEvent::IntentAbandoned(1),
                CommitEvent::IntentAbandoned(2)
            ]
        );
        assert_eq!(gate.refusal(SYNC_TIMEOUT), Some(RefusalReason::Slow));
        assert_eq!(events(|e| gate.tick(SYNC_TIMEOUT + 1, 0, e)), []);
        // It is on the disk after all: that it never began follows.
        assert_eq!(
            events(|e| gate.complete_batch(2 * SYNC_TIMEOUT, Ok(100), e)),
            []
        );
        assert_eq!(gate.refusal(2 * SYNC_TIMEOUT), None);
        assert_eq!(gate.next_batch(2 * SYNC_TIMEOUT).unwrap().expiries.len(), 1);
        events(|e| gate.complete_batch(2 * SYNC_TIMEOUT, Ok(100), e));
        assert_eq!(gate.usage(), (100, 0));
    }

    /// What was let in always finds room for its outcome, and a full log is looked at until it
    /// isn't.
    #[test]
    fn a_full_gate_takes_no_key_and_forgets_none() {
        let mut gate = gate();
        let mut taken = 0;
        while gate.refusal(0).is_none() {
            taken += 1;
            ask(&mut gate, 0, &[taken]);
        }
        assert!(taken > 10, "{taken}");
        let mut used = 1000;
        let mut write = |gate: &mut CommitQueue, now| {
            let batch = gate.next_batch(now).unwrap();
            used += batch.bytes.len() as u64 + 16;
            events(|e| gate.complete_batch(now, Ok(used), e));
            used
        };
        write(&mut gate, 0);
        (1..=taken).for_each(|r| assert!(gate.enqueue_outcome(r, Outcome::Served(vec![7; 4096]))));
        let used = write(&mut gate, LOOK);
        assert!(used + RULES.compaction_reserve <= RULES.capacity, "{used}");
        assert_eq!(gate.refusal(LOOK), Some(RefusalReason::Full));
        let at = gate.next_wakeup(LOOK).unwrap();
        assert_eq!(gate.next_batch(at), Some(Batch::default()));
        assert_eq!(gate.next_wakeup(at), Some(at + SYNC_TIMEOUT));
        events(|e| gate.complete_batch(at, Ok(2000), e));
        assert_eq!(gate.refusal(at), None);
    }

    #[test]
    fn a_run_that_never_ends_gives_its_room_back() {
        let mut gate = gate();
        ask(&mut gate, 0, &[1]);
        gate.next_batch(0);
        events(|e| gate.complete_batch(0, Ok(500), e));
        assert!(
            gate.adopt_intent(2, 77, 40_000_000)
                && !gate.adopt_intent(2, 78, 50_000_000)
                && gate.has_open_intent(2)
        );
        events(|e| gate.tick(SWEEP, 30_000_001, e));
        assert!(!gate.enqueue_outcome(1, Outcome::Failed));
        assert!(gate.usage().1 > 0);
        events(|e| gate.tick(2 * SWEEP, 40_000_001, e));
        assert_eq!(gate.usage(), (500, 0));
    }

    #[test]
    fn damage_refuses_for_its_time() {
        let gate = CommitQueue::new(RULES, 0, Some(100), 0);
        assert_eq!(
            (gate.refusal(99), gate.refusal(100)),
            (Some(RefusalReason::Damaged), None)
        );
    }
}
