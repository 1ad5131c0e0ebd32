//! Which nodes remember a session for the others: the first ones in an order of all nodes that is
//! another for each session (rendezvous hashing). Who comes takes a place among the first of few
//! sessions, and those who had them are the next in that order.

use crate::{mix, Session};
use pipitlever_membership::record::digest;

/// So many nodes remember a session.
pub const REPLICATION_FACTOR: usize = 2;
/// So many are asked for one: a home that has just come may know nothing yet, and one may be gone.
pub const LOOKUP_FANOUT: usize = 3;

/// The nodes that remember sessions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// Their names, and what stands for each.
    all: Vec<(u64, String)>,
}

impl ReplicaSet {
    /// These nodes.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> ReplicaSet {
        let mut all: Vec<(u64, String)> = names
            .map(|n| (digest(n.as_bytes()), n.to_owned()))
            .collect();
        all.sort_unstable();
        ReplicaSet { all }
    }

    /// The first ones for a session, in order.
    pub fn ranked(&self, session: Session, count: usize) -> Vec<&str> {
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
        for (i, (node, _)) in self.all.iter().enumerate() {
            let worth = mix(session, *node);
            if best.len() < count || best.last().is_some_and(|(least, _)| worth > *least) {
                let at = best.partition_point(|(w, _)| *w >= worth);
                best.insert(at, (worth, i));
                best.truncate(count);
            }
        }
        best.into_iter()
            .map(|(_, i)| self.all[i].1.as_str())
            .collect()
    }

    /// Whether a node is one of those that remember a session.
    pub fn is_replica(&self, session: Session, name: &str) -> bool {
        self.ranked(session, REPLICATION_FACTOR).contains(&name)
    }

    /// Whether a node is one of them.
    pub fn contains(&self, name: &str) -> bool {
        let node = digest(name.as_bytes());
        self.all.binary_search_by(|(n, _)| n.cmp(&node)).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_had_a_session_is_the_next_one_after_a_join() {
        let names: Vec<String> = (0..20).map(|i| format!("n{i}")).collect();
        let before = ReplicaSet::new(names[..19].iter().map(String::as_str));
        let after = ReplicaSet::new(names.iter().map(String::as_str));
        let mut new = 0;
        for session in 0..10_000 {
            let session = mix(session, 1);
            let asked = after.ranked(session, LOOKUP_FANOUT);
            // Whoever had it is asked still.
            assert!(before
                .ranked(session, REPLICATION_FACTOR)
                .iter()
                .all(|n| asked.contains(n)));
            new += usize::from(after.is_replica(session, "n19"));
        }
        assert!(
            (800..1_200).contains(&new),
            "{new} of 10,000 are two of twenty"
        );
        assert_eq!(before.ranked(7, 50).len(), 19);
        assert!(ReplicaSet::default().ranked(7, 2).is_empty());
    }
}
