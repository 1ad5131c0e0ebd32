//! The table of keys: who holds a key, who waits for the outcome, and the outcome once there is
//! one.

use pipitlever_admission::{Micros, RequestId};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// What an entry takes beside its result, in all tables together.
const ENTRY: usize = 512;

/// How a keyed run came out; kept for as long as its entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Kept {
    /// It was served with this result.
    Served(Rc<[u8]>),
    /// It failed and may have had its effect.
    Failed,
    /// A process before this one began it and saw no end of it; its window ends then.
    Unknown(Micros),
}

/// The entry of one key.
#[derive(Debug)]
pub struct Entry {
    /// The try that is held, runs, or ran.
    pub holder: RequestId,
    /// What its tries carry, as [`super::IncomingRequest::payload`] has it.
    pub payload: u64,
    /// Tries that reach the machine up to this time are repeats.
    pub until: Micros,
    /// No repeat can name it later than then.
    expires: Micros,
    /// Whether a run of it may have begun: from then on the entry stays for its whole window.
    pub begun: bool,
    /// The outcome, once the run has ended.
    pub kept: Option<Kept>,
    /// Repeats that wait for the outcome.
    pub waiting: Vec<RequestId>,
}

/// All entries. Bounded: a full table takes no new key and forgets none.
#[derive(Debug)]
pub struct Keys {
    entries: HashMap<Rc<str>, Entry>,
    expiry: BTreeSet<(Micros, Rc<str>)>,
    holders: HashMap<RequestId, Rc<str>>,
    /// Bytes that the entries take, and may take.
    taken: usize,
    most: usize,
    /// The longest result: a run that has not ended may bring one.
    most_result: usize,
    /// A repeat may be read this long after it reached the machine.
    reading: Micros,
    /// Keys that another process is still to be told of, while one is: all at first, then each that
    /// changes.
    news: Option<VecDeque<Rc<str>>>,
}

impl Keys {
    /// A table of so many bytes, with results up to `most_result`, whose repeats may be read up to
    /// `reading` after they came.
    pub fn new(most: usize, most_result: usize, reading: Micros) -> Keys {
        Keys {
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            holders: HashMap::new(),
            taken: 0,
            most,
            most_result,
            reading,
            news: None,
        }
    }

    /// Another process is to be told how all keys stand and each change from now on; or nothing
    /// more.
    pub fn tell(&mut self, tell: bool) {
        self.news = tell.then(|| self.entries.keys().cloned().collect());
    }

    /// The next key to tell of, and how it stands: no entry if it is free.
    pub fn next_news(&mut self) -> Option<(Rc<str>, Option<&Entry>)> {
        let key = self.news.as_mut()?.pop_front()?;
        let entry = self.entries.get(&key);
        Some((key, entry))
    }

    /// Whether there is anything to tell.
    pub fn has_news(&self) -> bool {
        self.news.as_ref().is_some_and(|n| !n.is_empty())
    }

    fn changed(&mut self, key: &Rc<str>) {
        if let Some(news) = &mut self.news {
            news.push_back(key.clone());
        }
    }

    /// What the entries take, and how much they may from now on. None is forgotten for it.
    pub fn bound(&mut self, most: usize) {
        self.most = most;
    }

    /// What an entry takes: the longest result there may be, until its own is there.
    fn bytes(&self, entry: &Entry) -> usize {
        let result = match &entry.kept {
            Some(Kept::Served(result)) => result.len(),
            Some(Kept::Failed | Kept::Unknown(_)) => 0,
            None => self.most_result,
        };
        ENTRY + result
    }

    /// The run of the try that holds this key has ended.
    pub fn ended(&mut self, key: &str, kept: Kept) {
        let Some((name, _)) = self.entries.get_key_value(key) else {
            return;
        };
        let name = name.clone();
        self.changed(&name);
        let entry = self.entries.get_mut(key).expect("seen above");
        let before = entry.kept.replace(kept);
        debug_assert_eq!(before, None, "a run ends once");
        let after = self.bytes(&self.entries[key]);
        self.taken = self.taken + after - (ENTRY + self.most_result);
    }

    /// Whether a key that is not in the table would find no place.
    pub fn full(&self) -> bool {
        self.taken + ENTRY + self.most_result > self.most
    }

    /// The entry that a try repeats, if it came to the machine within that entry's time.
    pub fn repeated(&self, key: &str, arrived: Micros) -> Option<&Entry> {
        self.entries.get(key).filter(|e| arrived <= e.until)
    }

    /// The entry that this try holds.
    pub fn held_by(&mut self, key: &str, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(key).filter(|e| e.holder == id)
    }

    /// The repeats that wait for the outcome of a key, to be given it; nothing if the key has none.
    pub fn waiting(&mut self, key: &str) -> Option<Vec<RequestId>> {
        self.entries
            .get_mut(key)
            .map(|e| std::mem::take(&mut e.waiting))
    }

    /// The key that this try holds.
    pub fn key_of(&self, id: RequestId) -> Option<Rc<str>> {
        self.holders.get(&id).cloned()
    }

    /// Enters a try under its key, or renews its entry. Another try's live entry is never
    /// overwritten.
    pub fn keep(
        &mut self,
        key: &Rc<str>,
        id: RequestId,
        payload: u64,
        now: Micros,
        until: Micros,
    ) -> bool {
        match self.entries.get_mut(key) {
            Some(e) if e.holder != id && now <= e.until => return false,
            Some(e) if e.holder == id => {
                self.expiry.remove(&(e.expires, key.clone()));
                e.until = e.until.max(until);
                e.expires = e.until + self.reading;
            }
            Some(_) => {
                self.remove(key);
            }
            None => {}
        }
        let expires = until + self.reading;
        let fresh = Entry {
            holder: id,
            payload,
            until,
            expires,
            begun: false,
            kept: None,
            waiting: Vec::new(),
        };
        if !self.entries.contains_key(key) {
            self.taken += self.bytes(&fresh);
        }
        let expires = self.entries.entry(key.clone()).or_insert(fresh).expires;
        self.expiry.insert((expires, key.clone()));
        self.holders.insert(id, key.clone());
        self.changed(key);
        true
    }

    /// Enters a key that a process before this one ran, with its outcome if there is one yet.
    /// Within its window it is never refused a place.
    pub fn recover(
        &mut self,
        key: &Rc<str>,
        id: RequestId,
        payload: u64,
        until: Micros,
        kept: Option<Kept>,
    ) {
        let expires = until + self.reading;
        let entry = Entry {
            holder: id,
            payload,
            until,
            expires,
            begun: true,
            kept,
            waiting: Vec::new(),
        };
        self.remove(key);
        self.taken += self.bytes(&entry);
        self.entries.insert(key.clone(), entry);
        self.expiry.insert((expires, key.clone()));
        self.holders.insert(id, key.clone());
    }

    /// How a recovered key's run came out, after all.
    pub fn learned(&mut self, key: &str, kept: Kept) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let old = entry.kept.replace(kept);
        let old = match &old {
            Some(Kept::Served(result)) => result.len(),
            _ => 0,
        };
        self.taken = self.taken + self.bytes(&self.entries[key]) - (ENTRY + old);
    }

    /// Repeats may be read as late as this, too, from now on. Entries that are there keep their
    /// time.
    pub fn read_within(&mut self, reading: Micros) {
        self.reading = self.reading.max(reading);
    }

    /// A repeat may be read this long after it reached the machine.
    pub fn reading(&self) -> Micros {
        self.reading
    }

    /// Takes out an entry: the one place where it is given back.
    pub fn remove(&mut self, key: &str) -> Option<Entry> {
        let (key, entry) = self.entries.remove_entry(key)?;
        self.changed(&key);
        self.expiry.remove(&(entry.expires, key));
        self.holders.remove(&entry.holder);
        self.taken -= self.bytes(&entry);
        Some(entry)
    }

    /// Drops what no repeat can name any more.
    pub fn expire(&mut self, now: Micros) {
        while let Some((_, key)) = self.expiry.first().filter(|e| e.0 < now).cloned() {
            self.remove(&key);
        }
    }

    /// Entries in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
