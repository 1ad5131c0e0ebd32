//! The worker of a run's session.

use super::idempotency_key_digest;
use crate::net::event_loop::SharedState;
use crate::net::membership::MembershipDriver;
use crate::net::session_affinity::SessionLookup;
use crate::net::worker_pools::WorkerRun;
use std::net::SocketAddr;
use std::rc::Rc;

/// The worker of a run's session. The run may go to no other worker.
pub struct SessionRoute {
    membership: Rc<MembershipDriver>,
    /// The session, and the idempotency key of a keyed run: both move together.
    lookups: Vec<SessionLookup>,
    /// The worker; none if no worker takes the session.
    pub worker: Option<SocketAddr>,
}

impl SessionRoute {
    /// Looks up the worker; none if the run has no session.
    pub async fn look_up(state: &SharedState, run: &WorkerRun) -> Option<SessionRoute> {
        let session = state.borrow().pools.session(run)?;
        let membership = state.borrow().membership.clone()?;
        let lookup = SessionLookup::Session(session);
        let worker = membership.resolve_session(run.pool, lookup).await;
        let mut route = SessionRoute {
            membership,
            lookups: vec![lookup],
            worker,
        };
        if !run.is_idempotent {
            route.follow_first_attempt(run).await;
        }
        Some(route)
    }

    /// Sends a retry of a keyed run to the worker of the first attempt, though its session may have
    /// moved since.
    async fn follow_first_attempt(&mut self, run: &WorkerRun) {
        let (Some(worker), Some(key)) = (self.worker, idempotency_key_digest(run)) else {
            return;
        };
        let lookup = SessionLookup::Key(key, worker);
        self.lookups.push(lookup);
        self.worker = self.membership.resolve_session(run.pool, lookup).await;
    }

    /// Moves the session and the key away from a worker that could not be reached.
    pub fn move_from(&mut self, pool: usize, worker: SocketAddr) {
        for lookup in &self.lookups {
            self.worker = self
                .membership
                .handle_unreachable_worker(pool, *lookup, worker);
        }
    }
}
