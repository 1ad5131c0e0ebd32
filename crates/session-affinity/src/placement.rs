//! Placement of a session, and which of two placements is in effect. Placements of one session form
//! a join semilattice (a state-based CRDT; Shapiro et al. 2011): updates may arrive in any order,
//! repeatedly or late, and nodes that received the same updates hold the same placement.

use crate::timestamp::Timestamp;
use crate::WorkerId;
use serde::{Deserialize, Serialize};

/// Placement of a session on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// Worker of the session.
    pub worker: WorkerId,
    /// When the session was first placed.
    pub created: Timestamp,
    /// Number of moves since then.
    pub moves: u8,
    /// Low bits of the configuration version under which the session was assigned to the worker. A
    /// node with an older version may not have the worker in its configuration yet.
    pub version: u16,
}

impl Placement {
    /// Returns whether this placement takes precedence over another one of the same session. Of
    /// two placements made independently, the older one takes precedence. Of two states of one
    /// placement, the one with more moves does, since each move has a cause. Of two moves made
    /// independently, the one under the later version does.
    pub fn takes_precedence_over(&self, other: &Placement) -> bool {
        let key = |placement: &Placement| {
            (
                placement.created,
                u8::MAX - placement.moves,
                u16::MAX - placement.version,
                placement.worker,
            )
        };
        key(self) < key(other)
    }

    /// Returns the placement after a move to another worker.
    pub fn moved(self, worker: WorkerId, version: u16) -> Placement {
        Placement {
            worker,
            version,
            moves: self.moves.saturating_add(1),
            ..self
        }
    }

    /// Returns whether the session was assigned to its worker under a version later than `version`.
    pub fn is_newer_than(&self, version: u16) -> bool {
        // Versions wrap around; half of the range counts as later.
        (1..1 << 15).contains(&self.version.wrapping_sub(version))
    }
}
