//! The table of members: bounded, with a digest of each part of it, and a rule for what is
//! forgotten.

use crate::record::{digest, Record, State};
use crate::suspicion::Suspicion;
use crate::Micros;
use std::collections::BTreeMap;

/// Parts that the view is compared by.
pub const BUCKETS: usize = 64;

/// One member, as this node sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What is said of it.
    pub record: Record,
    /// Since when it is in its state, here.
    pub state_since: Micros,
    /// Who told.
    pub reported_by: String,
    /// When it last answered this node; nothing if it never has. What it says unasked proves
    /// nothing: anybody can use a name.
    pub last_ack: Option<Micros>,
    /// When its reading of its load was heard of, here.
    pub load_updated_at: Micros,
    /// The suspicion, while it is a suspect.
    pub suspicion: Option<Suspicion>,
    /// How often it was tried since it is down.
    pub reconnect_attempts: u32,
    /// It is about to be forgotten: no part of the view any more, and not told; it is kept so that
    /// old news of others is known to be old.
    pub is_tombstone: bool,
    hash: u64,
}

/// All members of which this node knows, itself too.
#[derive(Clone, Debug)]
pub struct Members {
    all: BTreeMap<String, Member>,
    parts: [u64; BUCKETS],
    taking_part: usize,
    known: usize,
}

/// The part of the view that a name is in.
pub fn bucket(name: &str) -> usize {
    digest(name.as_bytes()) as usize % BUCKETS
}

impl Default for Members {
    fn default() -> Self {
        Members {
            all: BTreeMap::new(),
            parts: [0; BUCKETS],
            taking_part: 0,
            known: 0,
        }
    }
}

impl Members {
    /// A member.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.all.get(name)
    }

    /// All of them, by name; those that fade, too.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.all
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// How many there are, those that fade too.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// How many are alive or suspect.
    pub fn active_count(&self) -> usize {
        self.taking_part
    }

    /// How many there should be: those that are in the view and have not left.
    pub fn known_count(&self) -> usize {
        self.known
    }

    /// The digest of each part.
    pub fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.parts
    }

    /// The digest of the whole: equal on two nodes exactly if their views are.
    pub fn digest(&self) -> u64 {
        self.parts
            .iter()
            .fold(0, |sum, part| sum.rotate_left(7).wrapping_add(*part))
    }

    /// Enters one that is not there.
    pub fn insert(&mut self, name: &str, record: Record, since: Micros, told_by: &str) {
        let member = Member {
            record,
            state_since: since,
            reported_by: told_by.to_owned(),
            last_ack: None,
            load_updated_at: since,
            suspicion: None,
            reconnect_attempts: 0,
            is_tombstone: false,
            hash: 0,
        };
        debug_assert!(!self.all.contains_key(name));
        self.all.insert(name.to_owned(), member);
        self.count(name, true);
    }

    /// Changes one, and keeps digests and counts right.
    pub fn update<T>(&mut self, name: &str, change: impl FnOnce(&mut Member) -> T) -> Option<T> {
        if !self.all.contains_key(name) {
            return None;
        }
        self.count(name, false);
        let changed = self.all.get_mut(name).map(change);
        self.count(name, true);
        changed
    }

    /// Something of one that is no part of digests and counts.
    pub fn annotate(&mut self, name: &str, note: impl FnOnce(&mut Member)) {
        if let Some(member) = self.all.get_mut(name) {
            note(member);
        }
    }

    /// Takes one out.
    pub fn remove(&mut self, name: &str) -> Option<Member> {
        if self.all.contains_key(name) {
            self.count(name, false);
        }
        self.all.remove(name)
    }

    /// The one place where a member begins or ends to count.
    fn count(&mut self, name: &str, enters: bool) {
        let Some(member) = self.all.get_mut(name) else {
            return;
        };
        if member.is_tombstone {
            return;
        }
        let (state, part) = (member.record.state, bucket(name));
        let (taking_part, known) = (
            usize::from(state.is_active()),
            usize::from(state != State::Left),
        );
        if enters {
            member.hash = member.record.content_hash(name);
            self.parts[part] = self.parts[part].wrapping_add(member.hash);
            self.taking_part += taking_part;
            self.known += known;
        } else {
            self.parts[part] = self.parts[part].wrapping_sub(member.hash);
            self.taking_part -= taking_part;
            self.known -= known;
        }
    }

    /// Whose place goes to another one, when all are taken: the one that is about to be forgotten,
    /// down or gone for longest. One that speaks for itself gets the place of the newest of those
    /// who have never answered this node, too; one that is only heard of gets nobody's that takes
    /// part. So a liar's names push out nobody who was here before them.
    pub fn eviction_candidate(&self, own: &str, itself: bool) -> Option<String> {
        let others = || self.all.iter().filter(|(name, _)| name.as_str() != own);
        let done = others().filter(|(_, m)| m.is_tombstone || !m.record.state.is_active());
        let done = done.min_by_key(|(_, m)| (!m.is_tombstone, m.state_since));
        let unheard = || {
            others()
                .filter(|(_, m)| m.last_ack.is_none())
                .max_by_key(|(_, m)| m.state_since)
        };
        done.or_else(|| itself.then(unheard).flatten())
            .map(|(name, _)| name.clone())
    }

    /// Those whose time to be told of is over, and those whose time to be kept is over as well.
    pub fn expired(&self, now: Micros, forget: Micros) -> (Vec<String>, Vec<String>) {
        let (mut fade, mut gone) = (Vec::new(), Vec::new());
        for (name, m) in self.all.iter().filter(|(_, m)| !m.record.state.is_active()) {
            let age = now - m.state_since;
            if age > forget + forget / 2 {
                gone.push(name.clone());
            } else if age > forget && !m.is_tombstone {
                fade.push(name.clone());
            }
        }
        (fade, gone)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::local_member::LocalMember;

    fn record(state: State, incarnation: u64) -> Record {
        Record {
            incarnation,
            state,
            ..LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "").record
        }
    }

    #[test]
    fn the_digest_is_that_of_what_is_held_whatever_the_way_there() {
        let (mut a, mut b) = (Members::default(), Members::default());
        a.insert("n1", record(State::Alive, 1), 0, "n1");
        a.insert("n2", record(State::Alive, 1), 0, "n1");
        b.insert("n2", record(State::Down, 7), 5, "n3");
        b.insert("n3", record(State::Alive, 7), 5, "n3");
        assert_ne!(a.digest(), b.digest());
        b.update("n2", |m| m.record = record(State::Alive, 1));
        b.remove("n3");
        b.insert("n1", record(State::Alive, 1), 9, "n4");
        assert_eq!(
            (a.digest(), a.active_count(), a.known_count()),
            (b.digest(), 2, 2)
        );
        // The load is no part of it, the state is.
        b.update("n1", |m| m.record.load = (9, 9));
        assert_eq!(a.digest(), b.digest());
        b.update("n1", |m| m.record.state = State::Left);
        assert_ne!(a.digest(), b.digest());
        assert_eq!((b.active_count(), b.known_count()), (1, 1));
        b.update("n1", |m| m.is_tombstone = true);
        a.remove("n1");
        assert_eq!(
            a.digest(),
            b.digest(),
            "one that fades is in the view no more"
        );
    }

    #[test]
    fn what_is_least_useful_goes_first_and_who_was_heard_stays() {
        let mut all = Members::default();
        all.insert("me", record(State::Alive, 1), 0, "me");
        all.insert("real", record(State::Alive, 1), 0, "me");
        all.annotate("real", |m| m.last_ack = Some(1));
        all.insert("hearsay-old", record(State::Alive, 1), 10, "x");
        all.insert("hearsay", record(State::Alive, 1), 20, "x");
        all.insert("down", record(State::Down, 1), 30, "x");
        all.insert("down-long", record(State::Down, 1), 5, "x");
        for (itself, gone) in [
            (false, Some("down-long")),
            (true, Some("down")),
            (false, None),
            (true, Some("hearsay")),
            (true, Some("hearsay-old")),
            (true, None),
        ] {
            let least = all.eviction_candidate("me", itself);
            assert_eq!(least.as_deref(), gone);
            least.iter().for_each(|name| drop(all.remove(name)));
        }
        assert_eq!(all.len(), 2);
    }
}
