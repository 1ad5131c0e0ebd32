//! Replicas of the directory: the nodes that store the entry of a session are the first ones in
//! its rendezvous order of all nodes (Thaler and Ravishankar 1998). A node that joins becomes a
//! replica of few sessions, and the nodes that stored these are next in the order.

use crate::{mix, SessionId};
use pipitlever_membership::record::digest;

/// Number of nodes that store the entry of a session.
pub const REPLICATION_FACTOR: usize = 2;
/// Number of nodes that a lookup queries: a replica that has just joined may not have the entry
/// yet, and another one may have failed.
pub const LOOKUP_FANOUT: usize = 3;

/// A node with the digest of its name, by which nodes are sorted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    digest: u64,
    name: String,
}

/// A node's position in the rendezvous order of a session.
#[derive(Clone, Copy)]
struct Ranked {
    score: u64,
    index: usize,
}

/// The nodes that store directory entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    nodes: Vec<Node>,
}

impl ReplicaSet {
    /// Creates a set of nodes.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> ReplicaSet {
        let mut nodes: Vec<Node> = names
            .map(|name| Node {
                digest: digest(name.as_bytes()),
                name: name.to_owned(),
            })
            .collect();
        nodes.sort_unstable();
        ReplicaSet { nodes }
    }

    /// Returns the first `count` nodes in the rendezvous order of a session.
    pub fn ranked(&self, session: SessionId, count: usize) -> Vec<&str> {
        let mut best: Vec<Ranked> = Vec::with_capacity(count + 1);
        for (index, node) in self.nodes.iter().enumerate() {
            let score = mix(session, node.digest);
            let is_among_best =
                best.len() < count || best.last().is_some_and(|last| score > last.score);
            if is_among_best {
                let position = best.partition_point(|ranked| ranked.score >= score);
                best.insert(position, Ranked { score, index });
                best.truncate(count);
            }
        }
        best.into_iter()
            .map(|ranked| self.nodes[ranked.index].name.as_str())
            .collect()
    }

    /// Returns whether a node is a replica of a session.
    pub fn is_replica(&self, session: SessionId, name: &str) -> bool {
        self.ranked(session, REPLICATION_FACTOR).contains(&name)
    }

    /// Returns whether a node is in the set.
    pub fn contains(&self, name: &str) -> bool {
        let digest = digest(name.as_bytes());
        self.nodes
            .binary_search_by(|node| node.digest.cmp(&digest))
            .is_ok()
    }
}
