//! Table of idempotency keys: the attempt that owns a key, the duplicates that wait for its
//! outcome, and the cached outcome.

use pipitlever_admission::{Micros, RequestId};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Memory of an entry without its result, in bytes, over all collections of the table.
const ENTRY_BYTES: usize = 512;

/// The outcome of a keyed run, cached for the lifetime of its entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CachedOutcome {
    /// The run returned this result.
    Served(Rc<[u8]>),
    /// The run failed and may have taken effect.
    Failed,
    /// An earlier process started the run and exited before the run ended.
    Unknown {
        /// The end of the key's idempotency window.
        window_end: Micros,
    },
}

/// What the end of a key's window follows from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WindowOrigin {
    /// Name of the key's class, which outlives the class's index.
    pub(crate) class: Rc<str>,
    /// When the window began.
    pub(crate) start: Micros,
}

/// The entry of one key.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The attempt whose run the key belongs to; the run is queued, in progress or finished.
    pub(crate) owner: RequestId,
    /// The payload digest of the owner, which duplicates have to match.
    pub(crate) payload_digest: u64,
    /// Attempts that reach the machine up to this time are duplicates.
    pub(crate) window_end: Micros,
    /// The class whose window this is; `None` if the key came from a predecessor that does not send
    /// it. The window of such a key is not extended by a new configuration.
    pub(crate) window_origin: Option<WindowOrigin>,
    /// The latest time at which a duplicate can still be read.
    expires_at: Micros,
    /// Whether a run may have been started. The entry is then retained for its whole window.
    pub(crate) is_started: bool,
    /// The outcome, once the run has ended.
    pub(crate) outcome: Option<CachedOutcome>,
    /// Duplicates that wait for the outcome.
    pub(crate) waiting: Vec<RequestId>,
}

/// A key that was transferred from another process, or recovered from the store after a restart.
#[derive(Debug)]
pub(crate) struct RestoredKey<'a> {
    pub(crate) key: &'a Rc<str>,
    /// A request number that no request uses.
    pub(crate) owner: RequestId,
    pub(crate) payload_digest: u64,
    pub(crate) window_end: Micros,
    /// As in [`Entry::window_origin`].
    pub(crate) window_origin: Option<WindowOrigin>,
    /// `None` while the key is queued or running in the other process.
    pub(crate) outcome: Option<CachedOutcome>,
}

/// All entries. The table is bounded: when full, it accepts no new key and evicts no entry.
#[derive(Debug)]
pub(crate) struct IdempotencyTable {
    entries: HashMap<Rc<str>, Entry>,
    expiry: BTreeSet<(Micros, Rc<str>)>,
    keys_by_owner: HashMap<RequestId, Rc<str>>,
    bytes: usize,
    max_bytes: usize,
    /// Limit on a result, in bytes. An entry without an outcome is accounted with this size.
    max_result_bytes: usize,
    /// The longest time between the arrival of a duplicate at the machine and its being read. The
    /// controller's `read_delay` is the average instead.
    read_delay: Micros,
    /// Keys whose state has not been sent yet to the successor, the process that takes over in a
    /// hot restart: all keys at first, then each key that is retained, extended or removed, or
    /// whose outcome is cached. `None` while no successor receives keys.
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

    /// Starts to record updates, beginning with the state of all keys, or stops the recording.
    pub(crate) fn record_updates(&mut self, is_recording: bool) {
        self.updates = is_recording.then(|| self.entries.keys().cloned().collect());
    }

    /// Removes and returns the next updated key with its entry, which is `None` if the entry was
    /// removed.
    pub(crate) fn next_update(&mut self) -> Option<(Rc<str>, Option<&Entry>)> {
        let key = self.updates.as_mut()?.pop_front()?;
        let entry = self.entries.get(&key);
        Some((key, entry))
    }

    pub(crate) fn has_updates(&self) -> bool {
        self.updates
            .as_ref()
            .is_some_and(|updates| !updates.is_empty())
    }

    /// Replaces the limit. Existing entries are kept even if they exceed the new limit.
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

    /// The entry of a key, if an attempt that reached the machine at `arrived_at` is its duplicate.
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

    /// Removes and returns the duplicates that wait for the outcome of a key; `None` if the key has
    /// no entry.
    pub(crate) fn take_waiting(&mut self, key: &str) -> Option<Vec<RequestId>> {
        self.entries
            .get_mut(key)
            .map(|entry| std::mem::take(&mut entry.waiting))
    }

    /// Inserts an entry with this attempt as its owner, or extends the window of the entry that the
    /// attempt owns. The entry of another attempt is replaced only if this one arrived after its
    /// window.
    pub(crate) fn retain(
        &mut self,
        key: &Rc<str>,
        owner: RequestId,
        payload_digest: u64,
        arrived_at: Micros,
        window_end: Micros,
        window_origin: WindowOrigin,
    ) {
        match self.entries.get(key) {
            Some(entry) if entry.owner == owner => return self.extend(key, window_end),
            Some(entry) if arrived_at <= entry.window_end => return,
            Some(_) => {
                self.remove(key);
            }
            None => {}
        }
        let entry = Entry {
            owner,
            payload_digest,
            window_end,
            window_origin: Some(window_origin),
            expires_at: window_end + self.read_delay,
            is_started: false,
            outcome: None,
            waiting: Vec::new(),
        };
        self.insert(key, entry);
        self.record_update(key);
    }

    /// Inserts a transferred or recovered key, even beyond the limit. An update is recorded only if
    /// this replaces an entry.
    pub(crate) fn restore(&mut self, restored: RestoredKey) {
        let RestoredKey {
            key,
            owner,
            payload_digest,
            window_end,
            window_origin,
            outcome,
        } = restored;
        self.remove(key);
        let entry = Entry {
            owner,
            payload_digest,
            window_end,
            window_origin,
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

    /// Replaces the outcome of a key and returns the previous one. Records no update.
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

    /// Applies the windows of a new configuration, by class name, and its longest time between the
    /// arrival of a duplicate and its being read. No window and no expiry becomes shorter: a client
    /// may rely on the earlier configuration.
    pub(crate) fn apply_windows(&mut self, windows: &HashMap<Rc<str>, Micros>, read_delay: Micros) {
        self.read_delay = self.read_delay.max(read_delay);
        let keys: Vec<Rc<str>> = self.entries.keys().cloned().collect();
        for key in keys {
            let entry = &self.entries[&key];
            let origin = entry.window_origin.as_ref();
            let new_end = origin
                .and_then(|origin| Some(origin.start.saturating_add(*windows.get(&origin.class)?)));
            let window_end = new_end.map_or(entry.window_end, |end| end.max(entry.window_end));
            if window_end + self.read_delay > entry.expires_at {
                self.extend(&key, window_end);
            }
        }
    }

    /// Moves the end of a key's window, if it becomes later.
    pub(crate) fn extend_window(&mut self, key: &Rc<str>, window_end: Micros) {
        if self.window_end(key).is_some_and(|end| end < window_end) {
            self.extend(key, window_end);
        }
    }

    /// The longest time between the arrival of a duplicate at the machine and its being read, in
    /// microseconds.
    pub(crate) fn read_delay(&self) -> Micros {
        self.read_delay
    }

    pub(crate) fn remove(&mut self, key: &str) -> Option<Entry> {
        let (key, entry) = self.entries.remove_entry(key)?;
        self.record_update(&key);
        self.expiry.remove(&(entry.expires_at, key));
        self.keys_by_owner.remove(&entry.owner);
        self.bytes -= entry_bytes(&entry, self.max_result_bytes);
        Some(entry)
    }

    /// Removes entries for which no duplicate can be read any more.
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
        if let Some(CachedOutcome::Unknown { window_end }) = &mut entry.outcome {
            *window_end = entry.window_end;
        }
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

/// Memory of an entry, in bytes. Until the result is known, the largest possible one is assumed.
fn entry_bytes(entry: &Entry, max_result_bytes: usize) -> usize {
    let result = match &entry.outcome {
        Some(CachedOutcome::Served(result)) => result.len(),
        Some(CachedOutcome::Failed | CachedOutcome::Unknown { .. }) => 0,
        None => max_result_bytes,
    };
    ENTRY_BYTES + result
}
