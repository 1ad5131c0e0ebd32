//! Table of idempotency keys: the attempt that owns a key, the duplicates that wait for its
//! outcome, and the cached outcome.

use pipitlever_admission::{Micros, RequestId};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Memory of an entry beside its result, in all tables together, in bytes.
const ENTRY_BYTES: usize = 512;

/// The outcome of a keyed run; cached for as long as its entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CachedOutcome {
    /// The run returned this result.
    Served(Rc<[u8]>),
    /// The run failed and may have taken effect.
    Failed,
    /// An earlier process started the run and did not see its end.
    Unknown {
        /// When the window of the key ends.
        window_end: Micros,
    },
}

/// The entry of one key.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The attempt that is queued, runs, or ran.
    pub(crate) owner: RequestId,
    /// The payload digest of its attempts.
    pub(crate) payload_digest: u64,
    /// Attempts that reach the machine up to this time are duplicates.
    pub(crate) window_end: Micros,
    /// No duplicate can be read later than this.
    expires_at: Micros,
    /// Whether a run may have been started: from then on the entry stays for its whole window.
    pub(crate) is_started: bool,
    /// The outcome, once the run has ended.
    pub(crate) outcome: Option<CachedOutcome>,
    /// Duplicates that wait for the outcome.
    pub(crate) waiting: Vec<RequestId>,
}

/// A key that another process started, or whose outcome a store has brought over a restart.
#[derive(Debug)]
pub(crate) struct RestoredKey<'a> {
    pub(crate) key: &'a Rc<str>,
    /// A number that no request has.
    pub(crate) owner: RequestId,
    pub(crate) payload_digest: u64,
    pub(crate) window_end: Micros,
    /// None while its run goes on in the other process.
    pub(crate) outcome: Option<CachedOutcome>,
}

/// All entries. The table is bounded: when full it takes no new key and evicts none.
#[derive(Debug)]
pub(crate) struct IdempotencyTable {
    entries: HashMap<Rc<str>, Entry>,
    expiry: BTreeSet<(Micros, Rc<str>)>,
    keys_by_owner: HashMap<RequestId, Rc<str>>,
    bytes: usize,
    max_bytes: usize,
    /// Limit on a result, in bytes: a run that has not ended may return one of this size.
    max_result_bytes: usize,
    /// How long after it reached the machine a duplicate may be read.
    read_delay: Micros,
    /// Keys whose state is still to be sent to a successor, while there is one: all at first, then
    /// each one that changes.
    updates: Option<VecDeque<Rc<str>>>,
}

impl IdempotencyTable {
    /// An empty table for this many bytes.
    pub(crate) fn new(
        max_bytes: usize,
        max_result_bytes: usize,
        read_delay: Micros,
    ) -> IdempotencyTable {
        IdempotencyTable {
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            keys_by_owner: HashMap::new(),
            bytes: 0,
            max_bytes,
            max_result_bytes,
            read_delay,
            updates: None,
        }
    }

    /// Starts to record updates, with the state of all keys first, or stops it.
    pub(crate) fn record_updates(&mut self, is_recording: bool) {
        self.updates = is_recording.then(|| self.entries.keys().cloned().collect());
    }

    /// Takes the next updated key, with its entry; none if the key is free.
    pub(crate) fn next_update(&mut self) -> Option<(Rc<str>, Option<&Entry>)> {
        let key = self.updates.as_mut()?.pop_front()?;
        let entry = self.entries.get(&key);
        Some((key, entry))
    }

    /// Whether there are updates.
    pub(crate) fn has_updates(&self) -> bool {
        self.updates
            .as_ref()
            .is_some_and(|updates| !updates.is_empty())
    }

    /// Replaces the limit. No entry is dropped for it.
    pub(crate) fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Memory in use, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Limit on a result, in bytes.
    pub(crate) fn max_result_bytes(&self) -> usize {
        self.max_result_bytes
    }

    /// Whether there is no capacity for a key that is not in the table.
    pub(crate) fn is_full(&self) -> bool {
        self.bytes + ENTRY_BYTES + self.max_result_bytes > self.max_bytes
    }

    /// The entry that an attempt is a duplicate of, given when it reached the machine.
    pub(crate) fn find_duplicate(&self, key: &str, arrived_at: Micros) -> Option<&Entry> {
        self.entries
            .get(key)
            .filter(|entry| arrived_at <= entry.window_end)
    }

    /// The entry of a key, if this attempt owns it.
    pub(crate) fn owned_entry(&mut self, key: &str, owner: RequestId) -> Option<&mut Entry> {
        self.entries
            .get_mut(key)
            .filter(|entry| entry.owner == owner)
    }

    /// The key that this attempt owns.
    pub(crate) fn owned_key(&self, owner: RequestId) -> Option<Rc<str>> {
        self.keys_by_owner.get(&owner).cloned()
    }

    /// When the window of a key ends.
    pub(crate) fn window_end(&self, key: &str) -> Option<Micros> {
        self.entries.get(key).map(|entry| entry.window_end)
    }

    /// Takes the duplicates that wait for the outcome of a key; none if the key has no entry.
    pub(crate) fn take_waiting(&mut self, key: &str) -> Option<Vec<RequestId>> {
        self.entries
            .get_mut(key)
            .map(|entry| std::mem::take(&mut entry.waiting))
    }

    /// Enters an attempt as the owner of its key, or extends the window of its entry. The entry of
    /// another attempt is replaced only after its window.
    pub(crate) fn retain(
        &mut self,
        key: &Rc<str>,
        owner: RequestId,
        payload_digest: u64,
        now: Micros,
        window_end: Micros,
    ) {
        match self.entries.get(key) {
            Some(entry) if entry.owner == owner => return self.extend(key, window_end),
            Some(entry) if now <= entry.window_end => return,
            Some(_) => {
                self.remove(key);
            }
            None => {}
        }
        let entry = Entry {
            owner,
            payload_digest,
            window_end,
            expires_at: window_end + self.read_delay,
            is_started: false,
            outcome: None,
            waiting: Vec::new(),
        };
        self.insert(key, entry);
        self.record_update(key);
    }

    /// Enters a key of another process, even beyond the limit.
    pub(crate) fn restore(&mut self, restored: RestoredKey) {
        let RestoredKey {
            key,
            owner,
            payload_digest,
            window_end,
            outcome,
        } = restored;
        self.remove(key);
        let entry = Entry {
            owner,
            payload_digest,
            window_end,
            expires_at: window_end + self.read_delay,
            is_started: true,
            outcome,
            waiting: Vec::new(),
        };
        self.insert(key, entry);
    }

    /// Caches the outcome of a run that has ended.
    pub(crate) fn cache_outcome(&mut self, key: &str, outcome: CachedOutcome) {
        let Some((name, _)) = self.entries.get_key_value(key) else {
            return;
        };
        let name = name.clone();
        self.record_update(&name);
        let previous = self.replace_outcome(key, outcome);
        debug_assert_eq!(previous, None, "a run ends once");
    }

    /// Replaces the outcome of a key; the previous one.
    pub(crate) fn replace_outcome(
        &mut self,
        key: &str,
        outcome: CachedOutcome,
    ) -> Option<CachedOutcome> {
        let max_result_bytes = self.max_result_bytes;
        let entry = self.entries.get_mut(key)?;
        let bytes_before = entry_bytes(entry, max_result_bytes);
        let previous = entry.outcome.replace(outcome);
        let bytes_after = entry_bytes(entry, max_result_bytes);
        self.bytes = self.bytes + bytes_after - bytes_before;
        previous
    }

    /// Raises the time after which a duplicate may still be read. Existing entries keep their
    /// expiry.
    pub(crate) fn raise_read_delay(&mut self, read_delay: Micros) {
        self.read_delay = self.read_delay.max(read_delay);
    }

    /// How long after it reached the machine a duplicate may be read, in microseconds.
    pub(crate) fn read_delay(&self) -> Micros {
        self.read_delay
    }

    /// Takes an entry out.
    pub(crate) fn remove(&mut self, key: &str) -> Option<Entry> {
        let (key, entry) = self.entries.remove_entry(key)?;
        self.record_update(&key);
        self.expiry.remove(&(entry.expires_at, key));
        self.keys_by_owner.remove(&entry.owner);
        self.bytes -= entry_bytes(&entry, self.max_result_bytes);
        Some(entry)
    }

    /// Drops entries of which no duplicate can be read any more.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some((_, key)) = self.expiry.first().filter(|(at, _)| *at < now).cloned() {
            self.remove(&key);
        }
    }

    /// The number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn insert(&mut self, key: &Rc<str>, entry: Entry) {
        self.bytes += entry_bytes(&entry, self.max_result_bytes);
        self.expiry.insert((entry.expires_at, key.clone()));
        self.keys_by_owner.insert(entry.owner, key.clone());
        self.entries.insert(key.clone(), entry);
    }

    fn extend(&mut self, key: &Rc<str>, window_end: Micros) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.expiry.remove(&(entry.expires_at, key.clone()));
        entry.window_end = entry.window_end.max(window_end);
        entry.expires_at = entry.window_end + self.read_delay;
        self.expiry.insert((entry.expires_at, key.clone()));
        self.record_update(key);
    }

    fn record_update(&mut self, key: &Rc<str>) {
        if let Some(updates) = &mut self.updates {
            updates.push_back(key.clone());
        }
    }
}

/// Memory of an entry, in bytes. It includes the largest possible result until its own is known.
fn entry_bytes(entry: &Entry, max_result_bytes: usize) -> usize {
    let result = match &entry.outcome {
        Some(CachedOutcome::Served(result)) => result.len(),
        Some(CachedOutcome::Failed | CachedOutcome::Unknown { .. }) => 0,
        None => max_result_bytes,
    };
    ENTRY_BYTES + result
}
