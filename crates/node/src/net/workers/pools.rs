//! The pools of workers as the node has them: their names, which takes over for which, the runs
//! that wait for their driver.

use crate::log::log;
use crate::net::notify::Nudge;
use crate::net::workers::routes::{Label, Named};
use pipitlever_admission::Micros;
use pipitlever_capture::record::digest_bytes as digest;
use pipitlever_core::Reference;
use pipitlever_load_balancing::pool::{
    self, Member, MemberId, Pool, PoolConfig, RunId, RunOutcome, Selection, SelectionRequest,
};
use pipitlever_load_balancing::retry_budget::{AttemptEffect, RetryRequest};
use pipitlever_subsetting::assignment::WorkerShare;
use pipitlever_wire::uwsgi::find_variable;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// A run for a worker: the request, its packet, and when nobody wants the result any more.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub reference: Reference,
    /// It may happen twice.
    pub safe: bool,
    /// The pool that it is for, by position.
    pub pool: usize,
    /// It goes where others of its key go.
    pub sticky: bool,
    /// What the worker is sent.
    pub packet: Rc<[u8]>,
    /// The run is given up then.
    pub until: Micros,
}

/// Where a run was put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Put {
    /// The pool, by position.
    pub pool: usize,
    /// The run there.
    pub run: RunId,
    /// The worker's number there.
    pub member: MemberId,
    /// The worker.
    pub address: SocketAddr,
}

/// What a node has of a pool that the nodes of a fleet divide among themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Parts {
    /// Of each worker, by name.
    pub uses: HashMap<String, WorkerShare>,
    /// Of what goes by load.
    pub part: f64,
    /// From then on others may have it: one run for each worker is left.
    pub until: Micros,
}

impl Default for Parts {
    fn default() -> Parts {
        Parts {
            uses: HashMap::new(),
            part: 1.0,
            until: Micros::MAX,
        }
    }
}

#[derive(Debug)]
struct Entry {
    /// As the file has it.
    file: Named,
    /// What this node has of it, where the nodes of the fleet divide the pool.
    parts: Parts,
    /// Runs that were wanted of it.
    wanted: u64,
    pool: Pool<SocketAddr>,
}

/// The members as this node uses them. Where the pool is divided, those that are not (yet) this
/// node's are for when nobody else is usable, one run each; tiers are kept apart by that.
fn members(file: &Named, uses: &HashMap<String, WorkerShare>) -> Vec<Member<SocketAddr>> {
    if file.shared.is_none() {
        return file.members.clone();
    }
    let member = |(m, label): (&Member<SocketAddr>, &Label)| {
        let tier = m.tier.saturating_mul(2);
        match uses.get(&label.name) {
            _ if !divided(m) => Member { tier, ..m.clone() },
            Some(WorkerShare {
                in_subset: true,
                weight,
                concurrency_limit,
            }) => Member {
                tier,
                weight: *weight,
                max_runs: *concurrency_limit,
                ..m.clone()
            },
            _ => Member {
                tier: tier.saturating_add(1),
                max_runs: 1,
                ..m.clone()
            },
        }
    };
    file.members.iter().zip(&file.labels).map(member).collect()
}

/// Whether a member is one of those that are divided.
pub fn divided(member: &Member<SocketAddr>) -> bool {
    !member.is_standby && member.mode == pool::MemberMode::Active
}

impl Entry {
    /// What it is called in the log.
    fn called(&self) -> String {
        match self.file.name.is_empty() {
            true => "pool".into(),
            false => format!("pool {}", self.file.name),
        }
    }

    /// Others may have what this node had.
    fn lapse(&mut self, now: Micros) {
        self.parts.until = Micros::MAX;
        self.parts
            .uses
            .values_mut()
            .for_each(|u| u.concurrency_limit = 1);
        self.pool.update(members(&self.file, &self.parts.uses), now);
    }

    fn note(&mut self) {
        let notes = self.pool.take_events();
        notes
            .iter()
            .for_each(|note| log(&format!("{}: {note}", self.called())));
    }
}

/// All pools, and the runs for them.
#[derive(Debug)]
pub struct Pools {
    all: Vec<Entry>,
    /// Counts the files that were taken.
    pub generation: u64,
    /// Runs that the controller has decided on, in order, and their driver's nudge.
    pub jobs: (VecDeque<Job>, Nudge),
}

impl Pools {
    /// These pools.
    pub fn new(named: Vec<Named>, seed: u64, now: Micros) -> Pools {
        let entry = |file: Named| {
            let parts = Parts::default();
            let pool = Pool::new(
                PoolConfig::default(),
                members(&file, &parts.uses),
                seed,
                now,
            );
            Entry {
                file,
                parts,
                wanted: 0,
                pool,
            }
        };
        let jobs = (VecDeque::new(), Nudge::new());
        Pools {
            all: named.into_iter().map(entry).collect(),
            generation: 0,
            jobs,
        }
    }

    /// A run for its driver.
    pub fn job(&mut self, job: Job) {
        self.jobs.0.push_back(job);
        self.jobs.1.give();
    }

    /// Their members are these from now on. The pools themselves stay.
    pub fn moved(&mut self, named: Vec<Named>, now: Micros) {
        self.generation += 1;
        for (entry, named) in self.all.iter_mut().zip(named) {
            entry.file = named;
            entry
                .pool
                .update(members(&entry.file, &entry.parts.uses), now);
        }
    }

    /// The pools as the file has them, by position.
    pub fn files(&self) -> impl Iterator<Item = &Named> {
        self.all.iter().map(|e| &e.file)
    }

    /// This node has this of a pool. Whether what it has of the workers is anything new.
    pub fn divide(&mut self, now: Micros, pool: usize, parts: Parts) -> bool {
        let entry = &mut self.all[pool];
        entry.pool.set_budget_share(parts.part);
        let before = std::mem::replace(&mut entry.parts, parts);
        if entry.parts.uses == before.uses {
            return false;
        }
        entry
            .pool
            .update(members(&entry.file, &entry.parts.uses), now);
        entry.note();
        true
    }

    /// Runs that were wanted of a pool since the last call.
    pub fn wanted(&mut self, pool: usize) -> u64 {
        std::mem::take(&mut self.all[pool].wanted)
    }

    /// A pool itself.
    pub fn pool(&mut self, pool: usize) -> &mut Pool<SocketAddr> {
        &mut self.all[pool].pool
    }

    /// A place for a run, in its pool or in those that take over for it. `tried` has the pools and
    /// numbers of workers that it was put to before.
    pub fn place(
        &mut self,
        now: Micros,
        job: &Job,
        key: Option<u64>,
        tried: &[(usize, MemberId)],
    ) -> Option<Put> {
        let mut at = Some(job.pool);
        // The file names no circle of pools; were there one, each has its turn once.
        for _ in 0..self.all.len() {
            let pool = at?;
            let entry = &mut self.all[pool];
            entry.wanted += u64::from(tried.is_empty());
            // A process that was stopped finds requests in its sockets before it hears that it was
            // long gone.
            if now >= entry.parts.until {
                entry.lapse(now);
            }
            let tried: Vec<MemberId> = tried.iter().filter(|t| t.0 == pool).map(|t| t.1).collect();
            let place = entry.pool.select(
                now,
                SelectionRequest {
                    is_idempotent: job.safe,
                    hash_key: key,
                    attempted_members: &tried,
                },
            );
            entry.note();
            match place {
                Selection::Selected {
                    run,
                    member,
                    address,
                } => {
                    return Some(Put {
                        pool,
                        run,
                        member,
                        address,
                    })
                }
                Selection::AtCapacity | Selection::Unavailable => at = entry.file.fallback,
            }
        }
        None
    }

    /// What a run's packet says of its session, where sessions stay with the workers of its pool.
    pub fn session(&self, job: &Job) -> Option<u64> {
        let sessions = self.all[job.pool].file.sessions.as_ref()?;
        find_variable(&job.packet, &sessions.variable)
            .filter(|v| !v.is_empty())
            .map(digest)
    }

    /// A place for a run at one worker of its pool and at no other.
    pub fn place_at(
        &mut self,
        now: Micros,
        job: &Job,
        at: SocketAddr,
        tried: &[(usize, MemberId)],
    ) -> Option<Put> {
        let entry = &mut self.all[job.pool];
        entry.wanted += u64::from(tried.is_empty());
        if now >= entry.parts.until {
            entry.lapse(now);
        }
        let numbers: Vec<MemberId> = tried.iter().map(|t| t.1).collect();
        let place = entry.pool.select_member(
            now,
            SelectionRequest {
                is_idempotent: job.safe,
                hash_key: None,
                attempted_members: &numbers,
            },
            &at,
        );
        entry.note();
        match place {
            Selection::Selected {
                run,
                member,
                address,
            } => Some(Put {
                pool: job.pool,
                run,
                member,
                address,
            }),
            Selection::AtCapacity | Selection::Unavailable => None,
        }
    }

    /// A worker is done with a run, one way or another.
    pub fn ended(&mut self, now: Micros, put: Put, end: RunOutcome) {
        let entry = &mut self.all[put.pool];
        entry.pool.complete_run(now, put.run, end);
        entry.note();
    }

    /// How long to wait before a further try of a run that this pool could not do, if it may have
    /// one.
    pub fn again(
        &mut self,
        now: Micros,
        put: Put,
        job: &Job,
        ran: bool,
        tries: u32,
    ) -> Option<Micros> {
        // What may have run once is only tried again where it may run twice, whichever try that
        // was.
        let tried = if ran {
            AttemptEffect::MayHaveRun
        } else {
            AttemptEffect::NeverRan
        };
        self.all[put.pool].pool.acquire_retry(
            now,
            RetryRequest {
                deadline: job.until,
                effect: tried,
                is_idempotent: job.safe,
                attempts: tries,
            },
        )
    }

    /// Runs in the workers' hands.
    pub fn in_flight(&self) -> usize {
        self.all.iter().map(|e| e.pool.in_flight()).sum()
    }

    /// Their names, by position.
    pub fn names(&self) -> Vec<String> {
        self.all.iter().map(|e| e.file.name.clone()).collect()
    }

    /// A line for each worker.
    pub fn report(&self, now: Micros) -> Vec<String> {
        let lines = |e: &Entry| {
            let called = e.called();
            e.pool
                .report(now)
                .into_iter()
                .map(move |line| format!("{called}: {line}"))
                .collect::<Vec<_>>()
        };
        self.all.iter().flat_map(lines).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::super::routes::Shared;
    use super::*;

    #[test]
    fn a_process_that_stood_still_has_one_run_for_each_worker() {
        let address = "127.0.0.1:1".parse().unwrap();
        let label = Label {
            name: "w".into(),
            zone: String::new(),
        };
        let (members, labels) = (vec![Member::new(address)], vec![label]);
        let shared = Some(Shared { subset: 1 });
        let mut pools = Pools::new(
            vec![Named {
                members,
                labels,
                shared,
                ..Named::default()
            }],
            1,
            0,
        );
        let reference = Reference::default();
        let job = Job {
            reference,
            safe: true,
            pool: 0,
            sticky: false,
            packet: Rc::from([]),
            until: 1 << 40,
        };
        let places = |pools: &mut Pools, now| {
            (0..9)
                .filter(|_| pools.place(now, &job, None, &[]).is_some())
                .count()
        };
        // Before it has looked at the view it has one as well.
        assert_eq!(places(&mut pools, 0), 1);
        let uses = HashMap::from([(
            "w".to_owned(),
            WorkerShare {
                in_subset: true,
                weight: 1.0,
                concurrency_limit: 4,
            },
        )]);
        assert!(pools.divide(
            0,
            0,
            Parts {
                uses,
                part: 0.5,
                until: 1_000
            }
        ));
        assert_eq!(places(&mut pools, 999), 3, "four in all");
        let uses = HashMap::from([(
            "w".to_owned(),
            WorkerShare {
                in_subset: true,
                weight: 1.0,
                concurrency_limit: 8,
            },
        )]);
        assert!(pools.divide(
            999,
            0,
            Parts {
                uses,
                part: 0.5,
                until: 1_000
            }
        ));
        assert_eq!(
            places(&mut pools, 1_000),
            0,
            "nobody knows whose they are by now"
        );
    }
}
