//! Where a session lives, and which of two placements holds. Placements of one session are a join
//! semilattice: news may come in any order, twice or late, and all who have heard the same hold the
//! same.

use crate::timestamp::Timestamp;
use crate::WorkerId;
use serde::{Deserialize, Serialize};

/// Where a session lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// When it was first placed.
    pub created: Timestamp,
    /// How often it had to move since.
    pub moves: u8,
    /// The version, its lower bits, under which it came to this worker: a node that acts on an
    /// older one may not know that worker yet.
    pub version: u16,
}

impl Placement {
    /// Whether this one holds over another of the same session. Placed by two nodes that did not
    /// hear each other, the older one does. Of one and the same the one that has moved further
    /// does: a move has a cause, and is not taken back. Of two such moves the one under the later
    /// version does.
    pub fn supersedes(&self, other: &Placement) -> bool {
        let key = |p: &Placement| (p.created, u8::MAX - p.moves, u16::MAX - p.version, p.worker);
        key(self) < key(other)
    }

    /// It lives with another worker from now on.
    pub fn moved(self, worker: WorkerId, version: u16) -> Placement {
        Placement {
            worker,
            version,
            moves: self.moves.saturating_add(1),
            ..self
        }
    }

    /// Whether it came to its worker under a later version than this one.
    pub fn is_newer_than(&self, version: u16) -> bool {
        (1..1 << 15).contains(&self.version.wrapping_sub(version))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn any() -> impl Strategy<Value = Placement> {
        (0u32..3, 0u32..3, 0u16..2, 0u8..3, 0u16..3).prop_map(
            |(worker, seconds, by, moves, version)| Placement {
                worker,
                created: Timestamp { seconds, node: by },
                moves,
                version,
            },
        )
    }

    fn join(a: Placement, b: Placement) -> Placement {
        if b.supersedes(&a) {
            b
        } else {
            a
        }
    }

    proptest! {
        #[test]
        fn the_order_of_news_does_not_matter(a in any(), b in any(), c in any()) {
            prop_assert_eq!(join(a, b), join(b, a));
            prop_assert_eq!(join(a, join(b, c)), join(join(a, b), c));
            prop_assert_eq!(join(a, a), a);
            // A move holds over what it comes from, and over nothing older.
            prop_assert!(a.moved(7, 0).supersedes(&a));
            if b.created < a.created {
                prop_assert!(!a.moved(7, 0).supersedes(&b));
            }
        }
    }
}
