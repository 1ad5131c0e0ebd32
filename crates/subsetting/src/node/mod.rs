//! One node: computes its shares, load report and probe turns from the membership view and the
//! state of its pools.

mod ejections;
mod pool;

use crate::assignment::{Peer, Worker, WorkerShare};
use crate::load::ReportLimiter;
use crate::load_report::{short_id, LoadReport, PoolLoad, MAX_EJECTED, MAX_POOLS};
use crate::probe_turn::{self, ProbeTurn};
use crate::Micros;
use ejections::{EjectedWorker, Ejections};
use pool::PoolState;

/// A shared pool, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name.
    pub name: String,
    /// The approximate number of workers that a node uses.
    pub subset_size: usize,
    /// The enabled workers, without standby workers.
    pub workers: Vec<Worker>,
}

/// Time limits that the shares depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time within which a report normally reaches all nodes.
    pub max_propagation: Micros,
    /// How long the shares of a failed node stay reserved.
    pub reservation: Micros,
}

/// A member of the fleet, from the membership view. A member that has left is not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name.
    pub name: String,
    /// The zone, empty if none is configured.
    pub zone: String,
    /// The member's load report. `None` if it shares no pool.
    pub report: Option<LoadReport>,
    /// When the member was found to have failed, if it has.
    pub down_since: Option<Micros>,
}

/// A worker, by positions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerPosition {
    /// The position of the pool.
    pub pool: usize,
    /// The position of the worker in the pool.
    pub worker: usize,
}

/// The state of one node.
pub struct Node {
    name: String,
    timing: Timing,
    pools: Vec<PoolState>,
    members: Vec<Member>,
    /// Whether this node may be partitioned from the others, which then may already use its shares.
    is_isolated: bool,
    limiter: ReportLimiter,
    last_report_at: Micros,
    report: LoadReport,
    ejections: Ejections,
    /// When the next reservation of a failed member's shares ends.
    reservation_ends_at: Option<Micros>,
    needs_assignment: bool,
}

impl Node {
    /// Creates the state of a node that has just started. The node has the minimum share of each
    /// limit until the others have had time to receive its record.
    pub fn new(name: &str, timing: Timing, pools: Vec<Pool>, now: Micros) -> Node {
        let mut node = Node {
            name: name.to_owned(),
            timing,
            pools: Vec::new(),
            members: Vec::new(),
            is_isolated: false,
            limiter: ReportLimiter::new(now),
            last_report_at: Micros::MIN / 2,
            report: LoadReport::default(),
            ejections: Ejections::default(),
            reservation_ends_at: None,
            needs_assignment: true,
        };
        node.set_pools(now, pools);
        node
    }

    /// Replaces the pools after a change of the configuration. Pools and workers that remain keep
    /// their state. Pools beyond [`MAX_POOLS`] are not divided: their workers have no share.
    ///
    /// Ejections are cleared, as positions may have changed: the caller sets them again by
    /// [`Node::set_ejected`].
    pub fn set_pools(&mut self, now: Micros, pools: Vec<Pool>) {
        let mut previous = std::mem::take(&mut self.pools);
        for pool in pools.into_iter().take(MAX_POOLS) {
            let remaining = previous
                .iter()
                .position(|state| state.pool.name == pool.name)
                .map(|position| previous.swap_remove(position));
            self.pools.push(PoolState::new(now, pool, remaining));
        }
        self.ejections.clear_own();
        self.report.ejected.clear();
        self.update_reported_loads();
        self.needs_assignment = true;
    }

    /// Replaces the membership view, which contains this node.
    pub fn update_members(&mut self, now: Micros, members: Vec<Member>, is_isolated: bool) {
        self.is_isolated = is_isolated;
        self.ejections.update(&self.name, &members);
        self.members = members;
        self.assign(now);
    }

    /// Divides all pools again.
    fn assign(&mut self, now: Micros) {
        self.needs_assignment = false;
        let reserved_since = now - self.timing.reservation;
        let shares_pools = |member: &&Member| {
            let is_reserved = member.down_since.is_none_or(|since| since > reserved_since);
            member.report.is_some() && is_reserved || member.name == self.name
        };
        let sharing: Vec<&Member> = self.members.iter().filter(shares_pools).collect();
        self.reservation_ends_at = sharing
            .iter()
            .filter_map(|member| member.down_since)
            .map(|since| since + self.timing.reservation)
            .min();
        for state in &mut self.pools {
            let pool = short_id(&[&state.pool.name]);
            let peer = |member: &&Member| {
                // The other nodes use the load that this node has reported, so it does as well.
                let report = if member.name == self.name {
                    Some(&self.report)
                } else {
                    member.report.as_ref()
                };
                Peer {
                    name: member.name.clone(),
                    zone: member.zone.clone(),
                    level: report.map_or(0, |report| report.level(pool)),
                }
            };
            let peers: Vec<Peer> = sharing.iter().map(peer).collect();
            state.assign(now, &self.name, peers);
        }
    }

    /// Counts runs requested from a pool.
    pub fn record_demand(&mut self, pool: usize, requested: u64) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.meter.record(requested);
        }
    }

    /// Updates the load report and the division of the pools as time passes.
    pub fn tick(&mut self, now: Micros) {
        let mut needs_assignment = self.needs_assignment
            || self
                .reservation_ends_at
                .is_some_and(|ends_at| ends_at <= now);
        for state in &mut self.pools {
            state.meter.tick(now);
        }
        needs_assignment |= self.report_loads(now);
        if needs_assignment {
            self.assign(now);
        }
    }

    /// Reports loads that have changed if the report limits allow it. Returns whether the report
    /// has changed.
    fn report_loads(&mut self, now: Micros) -> bool {
        // At most one report within the propagation time: other nodes could miss the earlier one.
        let earliest = self
            .last_report_at
            .saturating_add(self.timing.max_propagation);
        let may_report = now > earliest;
        let levels: Vec<Option<u8>> = self
            .pools
            .iter()
            .map(|state| state.meter.level_to_report())
            .collect();
        if !may_report || levels.iter().all(Option::is_none) {
            return false;
        }
        if !self.limiter.try_acquire(now, self.members.len()) {
            return false;
        }
        self.last_report_at = now;
        for (state, level) in self.pools.iter_mut().zip(levels) {
            if let Some(level) = level {
                state.meter.set_reported_level(level);
            }
        }
        self.update_reported_loads();
        true
    }

    fn update_reported_loads(&mut self) {
        let load = |state: &PoolState| PoolLoad {
            pool: short_id(&[&state.pool.name]),
            level: state.meter.reported_level(),
        };
        self.report.loads = self.pools.iter().map(load).collect();
    }

    /// Returns the load report to attach to this node's member record.
    pub fn load_report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns this node's share of each worker of a pool, in the order of its workers.
    pub fn worker_shares(&mut self, now: Micros, pool: usize) -> Vec<WorkerShare> {
        let max_propagation = self.timing.max_propagation;
        let Some(state) = self.pools.get_mut(pool) else {
            return Vec::new();
        };
        state.worker_shares(&self.name, now, max_propagation, self.is_isolated)
    }

    /// Returns this node's fraction of a pool's load, for limits that are divided by load.
    pub fn load_fraction(&self, pool: usize) -> f64 {
        self.pools
            .get(pool)
            .map_or(1.0, |state| state.load_fraction)
    }

    /// Sets the workers of a pool that this node has ejected.
    /// Positions beyond the pools and workers of this node are ignored.
    pub fn set_ejected(&mut self, pool: usize, workers: &[usize]) {
        let Some(state) = self.pools.get(pool) else {
            return;
        };
        let ejected = workers
            .iter()
            .filter(|&&worker| worker < state.pool.workers.len())
            .map(|&worker| EjectedWorker {
                worker,
                id: state.worker_id(worker),
            })
            .collect();
        if !self.ejections.set_own(pool, ejected) {
            return;
        }
        let ids = self.ejections.own_ids();
        // With more than the maximum no probe waits for a turn, so no ejection is reported.
        self.report.ejected = if ids.len() <= MAX_EJECTED {
            ids.into_iter().collect()
        } else {
            Vec::new()
        };
    }

    /// Returns whether this node or another one is to probe a worker that this node has ejected.
    pub fn probe_turn(&self, pool: usize, worker: usize) -> ProbeTurn {
        let state = self.pools.get(pool);
        let Some((state, name)) = state.and_then(|state| {
            let worker = state.pool.workers.get(worker)?;
            Some((state, &worker.name))
        }) else {
            return ProbeTurn::Own;
        };
        if self.report.ejected.is_empty() {
            return ProbeTurn::Own;
        }
        let others = self.ejections.others(state.worker_id(worker));
        probe_turn::probe_turn(&self.name, name, others.iter().map(String::as_str))
    }

    /// Takes the workers that another node has found to have recovered since the last call.
    pub fn take_recovered(&mut self) -> Vec<WorkerPosition> {
        self.ejections.take_recovered()
    }
}
