//! Keyed runs that a store remembers: what the core makes of what the store's gate says. The
//! decisions are [`CommitQueue`]'s and [`pipitlever_idempotency_store::recovery`]'s.

use super::keys::Kept;
use super::*;
use pipitlever_idempotency_store::commit_queue::{self, CommitQueue};
use pipitlever_idempotency_store::log::Batch;
use pipitlever_idempotency_store::record::{self, Intent};
use pipitlever_idempotency_store::recovery::Recovered;

/// An entry outlasts its window by so much: whoever looked at it last has answered by then.
const SPARE: Micros = 1_000_000;

/// What the core keeps beside the store's gate.
#[derive(Debug)]
pub struct RunStore {
    gate: CommitQueue,
    /// From the node's clock to the machine's count since its start.
    up: Micros,
    /// Answers with a result wait until it is on the disk.
    wait: bool,
    /// Until then keyed requests are refused, as damage may hide keys.
    suspect: Micros,
    /// Runs that processes before this one began and saw no end of, by the name of their try.
    earlier: HashMap<Reference, Rc<str>>,
    /// Runs that have ended, and whose outcome is not on the disk yet.
    ended: HashMap<Reference, (Micros, Rc<[u8]>)>,
    /// Room for what the gate says.
    events: Vec<commit_queue::CommitEvent>,
}

impl RunStore {
    /// `up` leads from the node's clock to the machine's count since its start; with `wait` answers
    /// wait until their outcome is on the disk; until `suspect` keyed requests are refused.
    pub fn new(gate: CommitQueue, up: Micros, wait: bool, suspect: Option<Micros>) -> RunStore {
        RunStore {
            gate,
            up,
            wait,
            suspect: suspect.unwrap_or(Micros::MIN),
            earlier: HashMap::new(),
            ended: HashMap::new(),
            events: Vec::new(),
        }
    }
}

fn written(kept: &Kept) -> record::Outcome {
    match kept {
        Kept::Served(result) => record::Outcome::Served(result.to_vec()),
        Kept::Failed | Kept::Unknown(_) => record::Outcome::Failed,
    }
}

impl Core {
    /// From now on keyed runs are remembered by a store, which has brought these keys over the
    /// restart; the ends of their windows are on the node's clock. Before anything arrives.
    pub fn attach_store(&mut self, mut durable: RunStore, found: Vec<Recovered>) {
        for Recovered {
            intent,
            window_end: until,
            outcome: kept,
        } in found
        {
            // A number of its own, so that its repeats have something to repeat. The module has
            // never heard of it, and needs not: a repeat is answered from the first whatever became
            // of that.
            self.next_id += 1;
            let key: Rc<str> = Rc::from(&*intent.key);
            let outcome = match kept {
                Some(record::Outcome::Served(result)) => Kept::Served(Rc::from(result)),
                Some(record::Outcome::Failed) => Kept::Failed,
                None => {
                    // Its end may still come, from a processor that outlived the process.
                    let over = until + self.keys.reading() + SPARE + durable.up;
                    if durable.gate.adopt_intent(intent.reference, intent.id, over) {
                        durable.earlier.insert(intent.reference, key.clone());
                    }
                    Kept::Unknown(until)
                }
            };
            self.keys.recover(
                &key,
                self.next_id,
                intent.payload_digest,
                until,
                Some(outcome),
            );
        }
        self.durable = Some(Box::new(durable));
    }

    /// Why a new key is not taken, if none is: who says so, and when to come back.
    pub(super) fn store_refuses(&self, now: Micros) -> Option<(By, Micros)> {
        let durable = self.durable.as_ref()?;
        Some(match durable.gate.refusal(now)? {
            commit_queue::RefusalReason::Full => (By::StoreFull, FULL_COOLDOWN),
            commit_queue::RefusalReason::Failing | commit_queue::RefusalReason::Slow => {
                (By::Store, FULL_COOLDOWN)
            }
            commit_queue::RefusalReason::Damaged => {
                let most = self.settings.max_retry_after.max(FULL_COOLDOWN);
                (
                    By::Store,
                    (durable.suspect - now).clamp(FULL_COOLDOWN, most),
                )
            }
        })
    }

    /// A keyed run is to begin: not before its intent is on the disk. Whether there is a store to
    /// say when.
    pub(super) fn intend(&mut self, id: RequestId) -> bool {
        let Some(durable) = &mut self.durable else {
            return false;
        };
        let incoming = &self.attempts[&id].incoming;
        let linger = self.keys.reading() + SPARE;
        let window = self.settings.classes[incoming.class].idempotency_window;
        let intent = Intent {
            // The gate's to give.
            id: 0,
            reference: incoming.reference,
            key: incoming
                .idempotency_key
                .as_deref()
                .unwrap_or_default()
                .to_owned(),
            class: self.classes.name(incoming.class).to_owned(),
            payload_digest: incoming.payload_digest,
            arrived_at: incoming.arrived_at,
            window,
            expires_at: incoming.arrived_at + window + linger + durable.up,
            read_grace: linger,
        };
        durable
            .gate
            .enqueue_intent(self.now, intent, &mut durable.events);
        true
    }

    /// What the gate has said is done. The module is told what comes of it with the next
    /// [`Core::pump`].
    pub(super) fn heed(&mut self) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let mut events = std::mem::take(&mut durable.events);
        for event in events.drain(..) {
            match event {
                commit_queue::CommitEvent::IntentDurable(reference) => self.written(reference),
                commit_queue::CommitEvent::IntentAbandoned(reference) => {
                    let Some(&id) = self.by_reference.get(&reference) else {
                        continue;
                    };
                    self.ended(id, RunOutcome::NotStarted, 0, Rc::from([]), By::Store);
                }
                commit_queue::CommitEvent::OutcomeDurable(reference) => {
                    let durable = self.durable.as_mut().expect("as above");
                    let Some((took, result)) = durable.ended.remove(&reference) else {
                        continue;
                    };
                    let Some(&id) = self.by_reference.get(&reference) else {
                        continue;
                    };
                    self.ended(id, RunOutcome::Completed, took, result, By::Run);
                }
            }
        }
        // The next one may have filled it meanwhile: nothing that it said is lost.
        let durable = self.durable.as_mut().expect("as above");
        events.append(&mut durable.events);
        events.shrink_to(256);
        durable.events = events;
        if !durable.events.is_empty() {
            self.heed();
        }
    }

    /// An intent is on the disk, and its run may begin, if anybody still wants its outcome.
    fn written(&mut self, reference: Reference) {
        let id = self.by_reference.get(&reference).copied();
        let Some((id, attempt)) = id.and_then(|id| Some((id, self.attempts.get(&id)?))) else {
            return self
                .durable
                .as_mut()
                .expect("it said so")
                .gate
                .enqueue_void(reference);
        };
        let key = attempt
            .incoming
            .idempotency_key
            .clone()
            .unwrap_or_else(|| Rc::from(""));
        let wanted = attempt.origin.is_some()
            || self
                .keys
                .held_by(&key, id)
                .is_some_and(|e| !e.waiting.is_empty());
        if wanted {
            return self.begin(id);
        }
        self.durable
            .as_mut()
            .expect("it said so")
            .gate
            .enqueue_void(reference);
        self.ended(id, RunOutcome::NotStarted, 0, Rc::from([]), By::Store);
    }

    /// A keyed run ended: what is written of it, and whether its answer has to wait for that.
    pub(super) fn outcome(
        &mut self,
        reference: Reference,
        end: RunOutcome,
        took: Micros,
        result: &Rc<[u8]>,
    ) -> bool {
        let Some(durable) = &mut self.durable else {
            return false;
        };
        if durable.ended.contains_key(&reference) {
            return true;
        }
        let kept = match end {
            RunOutcome::NotStarted => {
                durable.gate.enqueue_void(reference);
                return false;
            }
            RunOutcome::Completed if result.len() <= self.most_result => {
                Kept::Served(result.clone())
            }
            _ => Kept::Failed,
        };
        let waits = durable.wait && matches!(kept, Kept::Served(_));
        if durable.gate.enqueue_outcome(reference, written(&kept)) && waits {
            durable.ended.insert(reference, (took, result.clone()));
            return true;
        }
        false
    }

    /// A run ended that a process before this one began: its key's repeats learn of it.
    pub(super) fn earlier_ended(
        &mut self,
        reference: Reference,
        end: RunOutcome,
        result: &Rc<[u8]>,
    ) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let Some(key) = durable.earlier.remove(&reference) else {
            return;
        };
        match end {
            RunOutcome::NotStarted => {
                durable.gate.enqueue_void(reference);
                self.keys.remove(&key);
            }
            RunOutcome::Completed if result.len() <= self.most_result => {
                let kept = Kept::Served(result.clone());
                durable.gate.enqueue_outcome(reference, written(&kept));
                self.keys.learned(&key, kept);
            }
            _ => {
                durable
                    .gate
                    .enqueue_outcome(reference, record::Outcome::Failed);
                self.keys.learned(&key, Kept::Failed);
            }
        }
    }

    /// Whether the store has a run under this name whose end it doesn't know.
    pub(super) fn store_knows(&self, reference: Reference) -> bool {
        self.durable
            .as_ref()
            .is_some_and(|d| d.gate.has_open_intent(reference))
    }

    /// Whether keyed runs are remembered by a store.
    pub fn has_store(&self) -> bool {
        self.durable.is_some()
    }

    /// The next batch for the store's writer, if it is to have one now.
    pub fn next_store_batch(&mut self, now: Micros) -> Option<Batch> {
        self.durable.as_mut()?.gate.next_batch(now)
    }

    /// The store's writer is done with its batch.
    pub fn handle_store_result(&mut self, now: Micros, result: Result<u64, String>) {
        self.now = self.now.max(now);
        let Some(durable) = &mut self.durable else {
            return;
        };
        durable
            .gate
            .complete_batch(now, result, &mut durable.events);
        self.heed();
        self.pump(now);
    }

    /// Those that have waited for the store for too long are given up.
    pub(super) fn store_wake(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let Some(durable) = &mut self.durable else {
            return;
        };
        durable
            .gate
            .tick(now, now + durable.up, &mut durable.events);
        self.heed();
        self.pump(now);
    }

    /// When the store is next to be looked at.
    pub(super) fn store_next(&self) -> Option<Micros> {
        self.durable.as_ref()?.gate.next_wakeup(self.now)
    }

    /// A line for the log, whenever the store takes keys again or no longer.
    pub fn store_status_change(&mut self, now: Micros) -> Option<String> {
        self.durable.as_mut()?.gate.status_change(now)
    }

    /// Whether all that is to be on the disk is there.
    pub fn is_store_idle(&self) -> bool {
        self.durable.as_ref().is_none_or(|d| d.gate.is_idle())
    }

    /// Bytes that the store takes on the disk, those promised beside, and records that are not
    /// there yet; nothing without a store.
    pub fn store_usage(&self) -> Option<StoreUsage> {
        let gate = &self.durable.as_ref()?.gate;
        let (used, reserved) = gate.usage();
        Some(StoreUsage {
            used_bytes: used,
            reserved_bytes: reserved,
            waiting_records: gate.pending_records(),
        })
    }
}
