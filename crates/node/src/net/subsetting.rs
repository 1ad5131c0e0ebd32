//! Driver of subsetting: passes the membership view and the state of the pools to
//! `pipitlever-subsetting`, and applies this node's shares to the pools. Runs only if a pool has
//! `share = true`.

use crate::log::log;
use crate::net::event_loop::{NodeState, SharedState};
use crate::net::worker_pools::routes::{PoolSettings, WorkerLabel};
use crate::net::worker_pools::{is_divided, PoolShare};
use pipitlever_load_balancing::pool::Member as PoolMember;
use pipitlever_membership::members::Member as FleetMember;
use pipitlever_membership::record::State;
use pipitlever_membership::Membership;
use pipitlever_subsetting::assignment::{Worker, WorkerShare};
use pipitlever_subsetting::load_report::LoadReport;
use pipitlever_subsetting::node::{Member, Node, Pool, Timing};
use pipitlever_subsetting::probe_turn::ProbeTurn;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;

/// Offset of the load report in a member's payload, in bytes: it follows the active config version
/// and the flags of session affinity.
const LOAD_REPORT_OFFSET: usize = 9;

/// The share of a divided pool that a node keeps while it may be partitioned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PartitionPolicy {
    /// The node keeps its share. Nodes on the other side of the partition may use the share too.
    #[default]
    KeepShare,
    /// From the end of its lease, the node keeps one run for each worker. The sum over all nodes
    /// then stays within the limit.
    MinimumShare,
}

/// The name and the address of a worker.
#[derive(Clone, Debug)]
struct WorkerAddress {
    name: String,
    address: SocketAddr,
}

/// A pool that the nodes of the fleet divide.
struct DividedPool {
    /// Index of the pool among the node's pools.
    index: usize,
    /// The workers that the nodes divide.
    workers: Vec<WorkerAddress>,
}

/// The inputs of the last update.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LastInputs {
    digest: u64,
    is_partitioned: bool,
}

/// Connects a node's subsetting to the membership and to the pools.
pub struct SubsettingDriver {
    node: RefCell<Node>,
    pools: RefCell<Vec<DividedPool>>,
    settings: RefCell<Vec<PoolSettings>>,
    /// Longest time for an update to reach all members, in microseconds.
    max_propagation: i64,
    last_inputs: Cell<LastInputs>,
    state: SharedState,
}

impl SubsettingDriver {
    /// Starts the driver; none if no pool is divided.
    pub fn start(
        state: &SharedState,
        node_name: &str,
        timing: Timing,
        now: i64,
    ) -> Option<SubsettingDriver> {
        let settings: Vec<PoolSettings> = state.borrow().pools.settings().cloned().collect();
        let pools: Vec<Pool> = settings.iter().filter_map(subsetting_pool).collect();
        if pools.is_empty() {
            return None;
        }
        let names: Vec<&str> = pools.iter().map(|pool| pool.name.as_str()).collect();
        log(&format!(
            "subsetting: started pools={} reservation_ms={}",
            names.join(","),
            timing.reservation / 1000
        ));
        Some(SubsettingDriver {
            max_propagation: timing.max_propagation,
            pools: RefCell::new(divided_pools(&settings)),
            settings: RefCell::new(settings),
            node: RefCell::new(Node::new(node_name, timing, pools, now)),
            last_inputs: Cell::new(LastInputs {
                digest: 0,
                is_partitioned: false,
            }),
            state: state.clone(),
        })
    }

    /// Whether the membership view has changed since the last call of [`SubsettingDriver::update`].
    pub fn is_outdated(&self, fleet: &Membership) -> bool {
        fleet.digest() != self.last_inputs.get().digest
    }

    /// Updates this node's shares from the view, the settings and the pools. Other nodes may have
    /// the shares from `expires_at` on.
    pub fn update(&self, fleet: &Membership, now: i64, expires_at: i64) {
        let is_partitioned = expires_at <= now;
        // If no other update follows by then, the process was suspended, and its shares may be
        // outdated.
        let expires_at = expires_at.min(now + self.max_propagation);
        // The state may be borrowed by the caller; the next update is soon.
        let Ok(mut state) = self.state.try_borrow_mut() else {
            return;
        };
        let mut node = self.node.borrow_mut();
        self.update_settings(&mut node, &state, now, is_partitioned);
        let last_inputs = LastInputs {
            digest: fleet.digest(),
            is_partitioned,
        };
        if self.last_inputs.replace(last_inputs) != last_inputs {
            node.update_members(now, fleet_members(fleet), is_partitioned);
        }
        self.exchange_ejections(&mut node, &mut state, now);
        node.tick(now);
        self.apply_shares(&mut node, &mut state, now, expires_at);
    }

    /// Applies changed settings of the pools.
    fn update_settings(&self, node: &mut Node, state: &NodeState, now: i64, is_partitioned: bool) {
        if state.pools.settings().eq(self.settings.borrow().iter()) {
            return;
        }
        let settings: Vec<PoolSettings> = state.pools.settings().cloned().collect();
        node.set_pools(now, settings.iter().filter_map(subsetting_pool).collect());
        *self.pools.borrow_mut() = divided_pools(&settings);
        *self.settings.borrow_mut() = settings;
        self.last_inputs.set(LastInputs {
            digest: 0,
            is_partitioned,
        });
    }

    /// Passes demand and ejected workers to `node`, and applies its decisions on which node probes
    /// an ejected worker to the pools.
    fn exchange_ejections(&self, node: &mut Node, state: &mut NodeState, now: i64) {
        let pools = self.pools.borrow();
        for (i, divided) in pools.iter().enumerate() {
            node.record_demand(i, state.pools.take_demand(divided.index));
            let pool = state.pools.pool(divided.index);
            let position = |address: &SocketAddr| {
                let mut workers = divided.workers.iter();
                workers.position(|worker| worker.address == *address)
            };
            let ejected: Vec<usize> = pool.ejected_members().filter_map(position).collect();
            node.set_ejected(i, &ejected);
            for worker in ejected {
                let is_deferred = node.probe_turn(i, worker) == ProbeTurn::Other;
                pool.set_probe_deferred(&divided.workers[worker].address, is_deferred);
            }
        }
        for recovered in node.take_recovered() {
            let divided = &pools[recovered.pool];
            let address = &divided.workers[recovered.worker].address;
            state
                .pools
                .pool(divided.index)
                .shorten_ejection(now, address);
        }
    }

    /// Sets this node's shares in the pools, and logs changes.
    fn apply_shares(&self, node: &mut Node, state: &mut NodeState, now: i64, expires_at: i64) {
        for (i, divided) in self.pools.borrow().iter().enumerate() {
            let shares = node.worker_shares(now, i);
            let load_fraction = node.load_fraction(i);
            let subset = Subset::of(&shares);
            let names = divided.workers.iter().map(|worker| worker.name.clone());
            let share = PoolShare {
                workers: names.zip(shares).collect(),
                load_fraction,
                expires_at,
            };
            if state.pools.set_share(now, divided.index, share) {
                log(&format!(
                    "subsetting: assigned pool={} workers={} of={} runs={} \
                     load_fraction={load_fraction:.3}",
                    self.settings.borrow()[divided.index].name,
                    subset.workers,
                    divided.workers.len(),
                    subset.runs
                ));
            }
        }
    }

    /// This node's encoded load report, for the payload of its membership record.
    pub fn load_report(&self) -> Vec<u8> {
        self.node.borrow().load_report().encode()
    }

    /// Appends the metrics in the statsd format. Writing to a string cannot fail.
    pub fn write_metrics(&self, now: i64, text: &mut String) {
        let mut node = self.node.borrow_mut();
        for (i, divided) in self.pools.borrow().iter().enumerate() {
            let Subset { workers, runs } = Subset::of(&node.worker_shares(now, i));
            let name = &self.settings.borrow()[divided.index].name;
            let _ = writeln!(text, "edge.share.{name}.runs:{runs}|g");
            let _ = writeln!(text, "edge.share.{name}.workers:{workers}|g");
        }
    }

    /// The state for the control endpoint.
    pub fn view(&self, now: i64) -> Value {
        let mut node = self.node.borrow_mut();
        let mut pools = Vec::new();
        for (i, divided) in self.pools.borrow().iter().enumerate() {
            let shares = node.worker_shares(now, i);
            let workers: Vec<Value> = divided
                .workers
                .iter()
                .zip(shares)
                .map(|(worker, share)| worker_view(worker, &share))
                .collect();
            let name = &self.settings.borrow()[divided.index].name;
            pools.push(json!({"pool": name, "part": node.load_fraction(i), "workers": workers}));
        }
        json!(pools)
    }
}

fn worker_view(worker: &WorkerAddress, share: &WorkerShare) -> Value {
    json!({
        "name": worker.name,
        "address": worker.address.to_string(),
        "used": share.in_subset,
        "weight": share.weight,
        "most_runs": share.concurrency_limit,
    })
}

/// Size of a node's subset of a pool.
struct Subset {
    workers: usize,
    /// Sum of the workers' concurrency limits.
    runs: usize,
}

impl Subset {
    fn of(shares: &[WorkerShare]) -> Subset {
        let in_subset = shares.iter().filter(|share| share.in_subset);
        Subset {
            workers: in_subset.clone().count(),
            runs: in_subset.map(|share| share.concurrency_limit).sum(),
        }
    }
}

/// The members of a pool that the nodes divide, with their labels.
fn divided_members(
    settings: &PoolSettings,
) -> impl Iterator<Item = (&PoolMember<SocketAddr>, &WorkerLabel)> {
    settings
        .members
        .iter()
        .zip(&settings.labels)
        .filter(|(member, _)| is_divided(member))
}

/// Converts a pool for subsetting; none if the nodes do not divide it. The pool's first name
/// identifies it, so that renaming the pool does not change the subsets.
fn subsetting_pool(settings: &PoolSettings) -> Option<Pool> {
    let subset_size = settings.subsetting?.subset_size;
    let workers = divided_members(settings).map(|(member, label)| Worker {
        name: label.name.clone(),
        zone: label.zone.clone(),
        weight: member.weight,
        tier: member.tier,
        concurrency_limit: member.max_runs,
    });
    Some(Pool {
        name: settings
            .previous_names
            .first()
            .unwrap_or(&settings.name)
            .clone(),
        subset_size,
        workers: workers.collect(),
    })
}

fn divided_pools(settings: &[PoolSettings]) -> Vec<DividedPool> {
    let divided = settings
        .iter()
        .enumerate()
        .filter(|(_, settings)| settings.subsetting.is_some());
    let pool = |(index, settings): (usize, &PoolSettings)| {
        let workers = divided_members(settings).map(|(member, label)| WorkerAddress {
            name: label.name.clone(),
            address: member.address,
        });
        DividedPool {
            index,
            workers: workers.collect(),
        }
    };
    divided.map(pool).collect()
}

/// The members of the fleet. A member that has left has no share; the share of a member that is
/// down stays reserved for a while.
fn fleet_members(fleet: &Membership) -> Vec<Member> {
    let present = fleet
        .members()
        .iter()
        .filter(|(_, member)| !member.is_tombstone && member.record.state != State::Left);
    let convert = |(name, member): (&str, &FleetMember)| Member {
        name: name.to_owned(),
        zone: member.record.details.zone.clone(),
        report: load_report(&member.record.details.payload),
        down_since: (member.record.state == State::Down).then_some(member.state_since),
    };
    present.map(convert).collect()
}

/// The load report in a member's payload.
fn load_report(payload: &[u8]) -> Option<LoadReport> {
    LoadReport::decode(payload.get(LOAD_REPORT_OFFSET..)?)
}
