//! Selection of the worker of a new session by weighted rendezvous hashing (Thaler and
//! Ravishankar 1998; weights after Schindelhauer and Schomaker 2005). The result depends on the
//! session and the workers alone, so all nodes select alike, and the sessions of a removed worker
//! are distributed over the others by weight.

use crate::{mix, SessionId, WorkerId};

/// A worker of a pool, as configured by the active version.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Identifier.
    pub id: WorkerId,
    /// Share of new sessions; above 0.
    pub weight: f64,
    /// Whether the worker accepts new sessions.
    pub accepts_sessions: bool,
    /// Whether the worker retains its sessions; a draining worker does for a while.
    pub retains_sessions: bool,
}

impl Worker {
    fn score(&self, session: SessionId) -> f64 {
        let bits = mix(session, u64::from(self.id)) >> 11;
        // Uniform between 0 and 1, excluding both.
        let uniform = (bits as f64 + 0.5) / (1u64 << 53) as f64;
        -self.weight / uniform.ln()
    }
}

/// Returns the worker of a new session among those that accept sessions and are not excluded.
pub fn select_worker(
    session: SessionId,
    workers: &[Worker],
    is_excluded: impl Fn(WorkerId) -> bool,
) -> Option<WorkerId> {
    workers
        .iter()
        .filter(|worker| worker.accepts_sessions && !is_excluded(worker.id))
        .max_by(|a, b| {
            a.score(session)
                .total_cmp(&b.score(session))
                .then(a.id.cmp(&b.id))
        })
        .map(|worker| worker.id)
}
