//! The worker of a run's session.

use super::idempotency_key_digest;
use crate::net::event_loop::SharedState;
use crate::net::membership::MembershipDriver;
use crate::net::session_affinity::SessionLookup;
use crate::net::worker_pools::WorkerRun;
use std::net::SocketAddr;
use std::rc::Rc;

/// The worker of a run's session. The run may not be assigned to any other worker.
pub struct SessionRoute {
    membership: Rc<MembershipDriver>,
    /// The lookup of the session and, for a keyed run, of the idempotency key. Both move together.
    lookups: Vec<SessionLookup>,
    /// Address of the worker; none if no worker accepts the session.
    pub worker: Option<SocketAddr>,
}

impl SessionRoute {
    /// Looks up the worker of a run's session; none if the run has no session.
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

    /// Selects the worker of the first attempt for a retry of a keyed run, even if its session has
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
