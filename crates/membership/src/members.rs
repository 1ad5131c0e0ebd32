//! Bounded table of members, with a digest for each bucket of names and the rules for removal.

use crate::record::{digest, Record, State};
use crate::suspicion::Suspicion;
use crate::Micros;
use std::collections::BTreeMap;

/// Number of buckets by which two tables are compared.
pub const BUCKETS: usize = 64;

/// A member in this node's view.
#[derive(Clone, Debug)]
pub struct Member {
    /// Replicated record.
    pub record: Record,
    /// When the member entered its state, on this node's clock.
    pub state_since: Micros,
    /// Name of the member that reported the state.
    pub reported_by: String,
    /// When the member last acknowledged a probe by this node; `None` if it never did. Unsolicited
    /// messages do not count, since any process can use a name.
    pub last_ack: Option<Micros>,
    /// When the load reading arrived.
    pub load_updated_at: Micros,
    /// Suspicion, while the member is a suspect.
    pub suspicion: Option<Suspicion>,
    /// Number of reconnect attempts since the member went down.
    pub reconnect_attempts: u32,
    /// Whether the member is a tombstone: no longer part of the view and not disseminated, but
    /// retained so that late updates from others are recognized as old.
    pub is_tombstone: bool,
    content_hash: u64,
}

/// Members to remove because their retention has expired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredMembers {
    /// Members that become tombstones.
    pub to_tombstone: Vec<String>,
    /// Tombstones that leave the table.
    pub to_remove: Vec<String>,
}

/// Whether a member is added to or subtracted from the digests and counts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Accounting {
    Add,
    Subtract,
}

/// All members in this node's table, including the node itself.
#[derive(Clone, Debug)]
pub struct Members {
    by_name: BTreeMap<String, Member>,
    bucket_digests: [u64; BUCKETS],
    active_count: usize,
    known_count: usize,
}

/// Returns the bucket of a name.
pub fn bucket(name: &str) -> usize {
    digest(name.as_bytes()) as usize % BUCKETS
}

impl Default for Members {
    fn default() -> Self {
        Members {
            by_name: BTreeMap::new(),
            bucket_digests: [0; BUCKETS],
            active_count: 0,
            known_count: 0,
        }
    }
}

impl Members {
    /// Returns a member by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Iterates over all members in order of their names, including tombstones.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.by_name
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// Returns the number of members, including tombstones.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the number of members that are alive or suspect.
    pub fn active_count(&self) -> usize {
        self.active_count
    }

    /// Returns the number of members in the view that have not left.
    pub fn known_count(&self) -> usize {
        self.known_count
    }

    /// Returns the digest of each bucket.
    pub fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.bucket_digests
    }

    /// Returns the digest of the view, which is equal on two nodes if their views are.
    pub fn digest(&self) -> u64 {
        self.bucket_digests
            .iter()
            .fold(0, |sum, digest| sum.rotate_left(7).wrapping_add(*digest))
    }

    /// Inserts a member that is not in the table.
    pub fn insert(&mut self, name: &str, record: Record, state_since: Micros, reported_by: &str) {
        let member = Member {
            record,
            state_since,
            reported_by: reported_by.to_owned(),
            last_ack: None,
            load_updated_at: state_since,
            suspicion: None,
            reconnect_attempts: 0,
            is_tombstone: false,
            content_hash: 0,
        };
        debug_assert!(!self.by_name.contains_key(name));
        self.by_name.insert(name.to_owned(), member);
        self.account(name, Accounting::Add);
    }

    /// Changes a member and updates the digests and counts.
    pub fn update<T>(&mut self, name: &str, change: impl FnOnce(&mut Member) -> T) -> Option<T> {
        if !self.by_name.contains_key(name) {
            return None;
        }
        self.account(name, Accounting::Subtract);
        let result = self.by_name.get_mut(name).map(change);
        self.account(name, Accounting::Add);
        result
    }

    /// Changes a field of a member that neither the digests nor the counts cover.
    pub fn annotate(&mut self, name: &str, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.by_name.get_mut(name) {
            change(member);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, name: &str) -> Option<Member> {
        if self.by_name.contains_key(name) {
            self.account(name, Accounting::Subtract);
        }
        self.by_name.remove(name)
    }

    fn account(&mut self, name: &str, accounting: Accounting) {
        let Some(member) = self.by_name.get_mut(name) else {
            return;
        };
        if member.is_tombstone {
            return;
        }
        let (state, bucket) = (member.record.state, bucket(name));
        let (active, known) = (
            usize::from(state.is_active()),
            usize::from(state != State::Left),
        );
        let bucket_digest = &mut self.bucket_digests[bucket];
        match accounting {
            Accounting::Add => {
                member.content_hash = member.record.content_hash(name);
                *bucket_digest = bucket_digest.wrapping_add(member.content_hash);
                self.active_count += active;
                self.known_count += known;
            }
            Accounting::Subtract => {
                *bucket_digest = bucket_digest.wrapping_sub(member.content_hash);
                self.active_count -= active;
                self.known_count -= known;
            }
        }
    }

    /// Returns the member to evict for a new one when the table is full: a tombstone, or the
    /// member that has been inactive for longest. A member that announces itself
    /// (`is_self_announced`) may also replace the newest active member that never acknowledged a
    /// probe by this node. Forged names therefore never evict a member that acknowledged one.
    pub fn eviction_candidate(&self, local_name: &str, is_self_announced: bool) -> Option<String> {
        let others = || {
            self.by_name
                .iter()
                .filter(|(name, _)| name.as_str() != local_name)
        };
        let inactive = others()
            .filter(|(_, member)| member.is_tombstone || !member.record.state.is_active())
            .min_by_key(|(_, member)| (!member.is_tombstone, member.state_since));
        let unverified = || {
            others()
                .filter(|(_, member)| member.last_ack.is_none())
                .max_by_key(|(_, member)| member.state_since)
        };
        inactive
            .or_else(|| is_self_announced.then(unverified).flatten())
            .map(|(name, _)| name.clone())
    }

    /// Returns the inactive members whose retention has expired. A tombstone is retained for
    /// another half of the retention.
    pub fn expired(&self, now: Micros, retention: Micros) -> ExpiredMembers {
        let mut expired = ExpiredMembers::default();
        let inactive = self
            .by_name
            .iter()
            .filter(|(_, member)| !member.record.state.is_active());
        for (name, member) in inactive {
            let age = now - member.state_since;
            if age > retention + retention / 2 {
                expired.to_remove.push(name.clone());
            } else if age > retention && !member.is_tombstone {
                expired.to_tombstone.push(name.clone());
            }
        }
        expired
    }
}
