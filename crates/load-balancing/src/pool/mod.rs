//! A pool of members that runs are balanced over.
//!
//! - `config`: settings of the pool and its members.
//! - `members`: creation, and changes of the member list.
//! - `candidates`: the members that can get the next run, by tier, standby use and ejection.
//! - `selection`: requests for a member and their results.
//! - `select`: selection of a member for a run.
//! - `runs`: the end of runs, and retries.
//! - `ejection`: outlier detection over the whole pool, and the panic threshold.
//! - `tracked_member`: a member with its observed state.
//! - `event`, `report`: changes and the state of members, for the log.

mod candidates;
mod config;
mod ejection;
mod event;
mod members;
mod report;
mod runs;
mod select;
mod selection;
mod tracked_member;

pub use config::{Member, MemberMode, PoolConfig};
pub use event::PoolEvent;
pub use report::MemberReport;
pub use selection::{MemberId, RunId, RunOutcome, Selection, SelectionRequest};

use crate::consistent_hash::HashRing;
use crate::retry_budget::RetryBudget;
use crate::Micros;
use candidates::{Candidates, StandbyUse};
use rand::rngs::SmallRng;
use std::collections::HashMap;
use tracked_member::TrackedMember;

/// A run in flight.
#[derive(Clone, Copy, Debug)]
struct RunInFlight {
    member: MemberId,
    started_at: Micros,
}

/// The ids that were assigned last.
#[derive(Clone, Copy, Debug, Default)]
struct LastIds {
    member: u32,
    run: u64,
}

impl LastIds {
    fn next_member(&mut self) -> MemberId {
        self.member += 1;
        MemberId(self.member)
    }

    fn next_run(&mut self) -> RunId {
        self.run += 1;
        RunId(self.run)
    }
}

/// A pool of members with addresses of type `A`.
#[derive(Debug)]
pub struct Pool<A> {
    config: PoolConfig,
    rng: SmallRng,
    last_ids: LastIds,
    members: Vec<TrackedMember<A>>,
    /// Positions in `members`.
    positions: HashMap<MemberId, usize>,
    runs: HashMap<RunId, RunInFlight>,
    candidates: Candidates,
    standby_use: StandbyUse,
    ring: HashRing,
    retry_budget: RetryBudget,
    /// Moving average of the latency over all members, in microseconds.
    typical_latency: f64,
    /// End of the panic mode, in which ejections are suspended.
    panic_until: Option<Micros>,
    /// When [`Pool::tick`] next changes the candidates.
    next_transition: Micros,
    /// When latencies were last compared with the median.
    latencies_compared_at: Micros,
    events: Vec<PoolEvent<A>>,
}
