//! The pools of workers as the node has them: their names, which takes over for which, the runs that wait for their driver.

use super::nudge::Nudge;
use super::routes::Named;
use crate::core::Reference;
use crate::log::log;
use pipitlever::Micros;
use pipitlever_pools::pool::{Ask, End, Place, Pool, Rules, Run};
use pipitlever_pools::retry::{Further, Tried};
use std::collections::VecDeque;
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
    pub run: Run,
    /// The worker's number there.
    pub member: u32,
    /// The worker.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Entry {
    name: String,
    /// The pool whose turn it is when nobody of this one can take a run.
    fallback: Option<usize>,
    pool: Pool<SocketAddr>,
}

impl Entry {
    /// What it is called in the log.
    fn called(&self) -> String {
        match self.name.is_empty() {
            true => "pool".into(),
            false => format!("pool {}", self.name),
        }
    }

    fn note(&mut self) {
        let notes = self.pool.notes();
        notes.iter().for_each(|note| log(&format!("{}: {note}", self.called())));
    }
}

/// All pools, and the runs for them.
#[derive(Debug)]
pub struct Pools {
    all: Vec<Entry>,
    /// Runs that the controller has decided on, in order, and their driver's nudge.
    pub jobs: (VecDeque<Job>, Nudge),
}

impl Pools {
    /// These pools.
    pub fn new(named: Vec<Named>, seed: u64, now: Micros) -> Pools {
        let entry = |Named { name, fallback, members }| Entry {
            name,
            fallback,
            pool: Pool::new(Rules::default(), members, seed, now),
        };
        Pools { all: named.into_iter().map(entry).collect(), jobs: (VecDeque::new(), Nudge::new()) }
    }

    /// A run for its driver.
    pub fn job(&mut self, job: Job) {
        self.jobs.0.push_back(job);
        self.jobs.1.give();
    }

    /// Their members are these from now on. The pools themselves stay.
    pub fn moved(&mut self, named: Vec<Named>, now: Micros) {
        for (entry, named) in self.all.iter_mut().zip(named) {
            entry.fallback = named.fallback;
            entry.pool.update(named.members, now);
        }
    }

    /// A place for a run, in its pool or in those that take over for it. `tried` has the pools and numbers of workers that
    /// it was put to before.
    pub fn place(&mut self, now: Micros, job: &Job, key: Option<u64>, tried: &[(usize, u32)]) -> Option<Put> {
        let mut at = Some(job.pool);
        // The file names no circle of pools; were there one, each has its turn once.
        for _ in 0..self.all.len() {
            let pool = at?;
            let entry = &mut self.all[pool];
            let tried: Vec<u32> = tried.iter().filter(|t| t.0 == pool).map(|t| t.1).collect();
            let place = entry.pool.place(now, Ask { safe: job.safe, key, tried: &tried });
            entry.note();
            match place {
                Place::At { run, member, address } => return Some(Put { pool, run, member, address }),
                Place::NoRoom | Place::Nobody => at = entry.fallback,
            }
        }
        None
    }

    /// A worker is done with a run, one way or another.
    pub fn ended(&mut self, now: Micros, put: Put, end: End) {
        let entry = &mut self.all[put.pool];
        entry.pool.ended(now, put.run, end);
        entry.note();
    }

    /// How long to wait before a further try of a run that this pool could not do, if it may have one.
    pub fn again(&mut self, now: Micros, put: Put, job: &Job, ran: bool, tries: u32) -> Option<Micros> {
        // What may have run once is only tried again where it may run twice, whichever try that was.
        let tried = if ran { Tried::MayHaveRun } else { Tried::NeverRan };
        self.all[put.pool].pool.again(now, Further { until: job.until, tried, safe: job.safe, tries })
    }

    /// Runs in the workers' hands.
    pub fn in_flight(&self) -> usize {
        self.all.iter().map(|e| e.pool.in_flight()).sum()
    }

    /// Their names, by position.
    pub fn names(&self) -> Vec<String> {
        self.all.iter().map(|e| e.name.clone()).collect()
    }

    /// A line for each worker.
    pub fn report(&self, now: Micros) -> Vec<String> {
        let lines = |e: &Entry| {
            let called = e.called();
            e.pool.report(now).into_iter().map(move |line| format!("{called}: {line}")).collect::<Vec<_>>()
        };
        self.all.iter().flat_map(lines).collect()
    }
}
