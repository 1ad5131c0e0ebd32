//! The node's part in pools that the nodes of a fleet divide among themselves: the view goes to
//! what `pipitlever-share` decides, and what comes of it to the pools. Only with `share = true` on
//! a pool.

use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::workers::pools::{is_divided, PoolShare};
use crate::net::workers::routes::PoolSettings;
use pipitlever_membership::record::State;
use pipitlever_membership::Membership;
use pipitlever_subsetting::assignment::{Worker, WorkerShare};
use pipitlever_subsetting::load_report::LoadReport;
use pipitlever_subsetting::node::{Member, Node, Pool, Timing};
use pipitlever_subsetting::probe_turn::ProbeTurn;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a node keeps to that may be cut off from the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PartitionPolicy {
    /// Its part, no more of it: the other side may have that too by then.
    #[default]
    KeepShare,
    /// One run for each worker from the moment at which no majority of electors is heard: the sum
    /// stays within the bound.
    MinimumShare,
}

/// What was last handed to a pool of the state.
struct Given {
    /// The pool, by position among the state's.
    pool: usize,
    /// The workers that are is_divided: names and addresses.
    workers: Vec<(String, SocketAddr)>,
}

/// The part.
pub struct SubsettingDriver {
    node: RefCell<Node>,
    given: RefCell<Vec<Given>>,
    files: RefCell<Vec<PoolSettings>>,
    /// News reaches all within this, in microseconds.
    hold: i64,
    /// The view that was last looked at, and whether this node was cut off then.
    seen: Cell<(u64, bool)>,
    state: SharedState,
}

/// A pool as it is is_divided.
fn shared(file: &PoolSettings) -> Option<Pool> {
    let subset = file.shared?.subset;
    let of = file
        .members
        .iter()
        .zip(&file.labels)
        .filter(|(m, _)| is_divided(m));
    let worker = |(m, label): (
        &pipitlever_load_balancing::pool::Member<SocketAddr>,
        &crate::net::workers::routes::WorkerLabel,
    )| Worker {
        name: label.name.clone(),
        zone: label.zone.clone(),
        weight: m.weight,
        tier: m.tier,
        concurrency_limit: m.max_runs,
    };
    // By its first name: a rename divides nothing anew.
    let name = file.was.first().unwrap_or(&file.name).clone();
    Some(Pool {
        name,
        subset_size: subset,
        workers: of.map(worker).collect(),
    })
}

impl SubsettingDriver {
    /// Begins, if any pool is shared.
    pub fn begin(
        state: &SharedState,
        name: &str,
        timing: Timing,
        now: i64,
    ) -> Option<SubsettingDriver> {
        let files: Vec<PoolSettings> = state.borrow().pools.settings().cloned().collect();
        let pools: Vec<Pool> = files.iter().filter_map(shared).collect();
        if pools.is_empty() {
            return None;
        }
        let names: Vec<&str> = pools.iter().map(|p| &p.name[..]).collect();
        log(&format!(
            "subsetting: started pools={} reservation_ms={}",
            names.join(","),
            timing.reservation / 1000
        ));
        let given = RefCell::new(given(&files));
        let hold = timing.max_propagation;
        let (node, files) = (
            RefCell::new(Node::new(name, timing, pools, now)),
            RefCell::new(files),
        );
        Some(SubsettingDriver {
            node,
            given,
            files,
            hold,
            seen: Cell::new((0, false)),
            state: state.clone(),
        })
    }

    /// Whether the view has changed since it was last looked at.
    pub fn stale(&self, fleet: &Membership) -> bool {
        fleet.digest() != self.seen.get().0
    }

    /// Looks at the view, the file and the pools, and hands the pools what is this node's, `until`
    /// others may have it.
    pub fn turn(&self, fleet: &Membership, now: i64, until: i64) {
        let alone = until <= now;
        // What is not looked at again by then is not known to be right: the process stood still.
        let until = until.min(now + self.hold);
        // A turn may come from within the state's own; the next one is soon.
        let Ok(mut state) = self.state.try_borrow_mut() else {
            return;
        };
        let mut node = self.node.borrow_mut();
        if state.pools.settings().ne(self.files.borrow().iter()) {
            let files: Vec<PoolSettings> = state.pools.settings().cloned().collect();
            node.set_pools(now, files.iter().filter_map(shared).collect());
            *self.given.borrow_mut() = given(&files);
            *self.files.borrow_mut() = files;
            self.seen.set((0, alone));
        }
        if self.seen.replace((fleet.digest(), alone)) != (fleet.digest(), alone) {
            node.update_members(now, members(fleet), alone);
        }
        for (i, given) in self.given.borrow().iter().enumerate() {
            node.record_demand(i, state.pools.take_demand(given.pool));
            let pool = state.pools.pool(given.pool);
            let at = |address: &SocketAddr| given.workers.iter().position(|w| w.1 == *address);
            let out: Vec<usize> = pool.ejected_members().filter_map(at).collect();
            node.set_ejected(i, &out);
            for worker in out {
                pool.set_probe_deferred(
                    &given.workers[worker].1,
                    node.probe_turn(i, worker) == ProbeTurn::Other,
                );
            }
        }
        for position in node.take_recovered() {
            let given = &self.given.borrow()[position.pool];
            state
                .pools
                .pool(given.pool)
                .hasten_probation(now, &given.workers[position.worker].1);
        }
        node.tick(now);
        for (i, given) in self.given.borrow().iter().enumerate() {
            let uses = node.worker_shares(now, i);
            let names = given.workers.iter().map(|w| w.0.clone());
            let uses: HashMap<String, WorkerShare> = names.zip(uses).collect();
            let inside = uses.values().filter(|u| u.in_subset).count();
            let runs: usize = uses
                .values()
                .filter(|u| u.in_subset)
                .map(|u| u.concurrency_limit)
                .sum();
            let (pool, load_fraction) = (given.pool, node.load_fraction(i));
            let share = PoolShare {
                workers: uses,
                load_fraction,
                expires_at: until,
            };
            if state.pools.set_share(now, pool, share) {
                let name = &self.files.borrow()[pool].name;
                let all = given.workers.len();
                log(&format!(
                    "subsetting: assigned pool={name} workers={inside} of={all} runs={runs} load_fraction={load_fraction:.3}"
                ));
            }
        }
    }

    /// What is told with the view.
    pub fn told(&self) -> Vec<u8> {
        self.node.borrow().load_report().encode()
    }

    /// What it has of each pool, for the door's figures.
    pub fn figures(&self, now: i64, text: &mut String) {
        use std::fmt::Write;
        let mut node = self.node.borrow_mut();
        for (i, given) in self.given.borrow().iter().enumerate() {
            let uses = node.worker_shares(now, i);
            let runs: usize = uses
                .iter()
                .filter(|u| u.in_subset)
                .map(|u| u.concurrency_limit)
                .sum();
            let workers = uses.iter().filter(|u| u.in_subset).count();
            let name = &self.files.borrow()[given.pool].name;
            // A string takes all that is written to it.
            let _ = writeln!(
                text,
                "edge.share.{name}.runs:{runs}|g\nedge.share.{name}.workers:{workers}|g"
            );
        }
    }

    /// How it stands, for the door.
    pub fn view(&self, now: i64) -> Value {
        let mut node = self.node.borrow_mut();
        let given = self.given.borrow();
        let pools = given.iter().enumerate().map(|(i, given)| {
            let uses = node.worker_shares(now, i);
            let worker = |((name, address), u): (&(String, SocketAddr), WorkerShare)| {
                let address = address.to_string();
                json!({"name": name, "address": address, "used": u.in_subset, "weight": u.weight, "most_runs": u.concurrency_limit})
            };
            let workers: Vec<Value> = given.workers.iter().zip(uses).map(worker).collect();
            let name = &self.files.borrow()[given.pool].name;
            json!({"pool": name, "part": node.load_fraction(i), "workers": workers})
        });
        json!(pools.collect::<Vec<_>>())
    }
}

fn given(files: &[PoolSettings]) -> Vec<Given> {
    let of = |(pool, file): (usize, &PoolSettings)| {
        file.shared?;
        let workers = file
            .members
            .iter()
            .zip(&file.labels)
            .filter(|(m, _)| is_divided(m));
        let workers = workers
            .map(|(m, label)| (label.name.clone(), m.address))
            .collect();
        Some(Given { pool, workers })
    };
    files.iter().enumerate().filter_map(of).collect()
}

/// The members, by name. Who has left has no part; who is down has, for a while.
fn members(fleet: &Membership) -> Vec<Member> {
    let there = fleet
        .members()
        .iter()
        .filter(|(_, m)| !m.is_tombstone && m.record.state != State::Left);
    let member = |(name, m): (&str, &pipitlever_membership::members::Member)| Member {
        name: name.to_owned(),
        zone: m.record.details.zone.clone(),
        report: load_report(&m.record.details.payload),
        down_since: (m.record.state == State::Down).then_some(m.state_since),
    };
    there.map(member).collect()
}

/// What a member tells of its part: what stands behind the version that it acts on, and its flags.
fn load_report(payload: &[u8]) -> Option<LoadReport> {
    LoadReport::decode(payload.get(9..)?)
}
