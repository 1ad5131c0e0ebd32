//! One node's part: it is told what the view has and what its pools do, and says what it uses, what
//! it tells, and whose turn it is.

use crate::demand::{Leave, Meter};
use crate::grant::{Levels, Part, Seen};
use crate::plan::{plan, Peer, Use, Worker};
use crate::told::{short, Told, MOST_OUT, MOST_POOLS};
use crate::turn::{self, Turn};
use crate::{hash, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A pool that is shared.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// About so many workers a node uses.
    pub subset: usize,
    /// Its workers that are in use, but for spares.
    pub workers: Vec<Worker>,
}

/// Times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// News takes no longer than this to reach all, as a rule, in microseconds.
    pub hold: Micros,
    /// The part of a node that is gone is nobody's for so long, in microseconds.
    pub reserve: Micros,
}

/// A member, as the view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// What it tells; nothing if it shares nothing.
    pub told: Option<Told>,
    /// Since when it is down, if it is. One that has left is no member.
    pub down: Option<Micros>,
}

struct Entry {
    pool: Pool,
    meter: Meter,
    parts: Vec<Part>,
    seen: Seen,
    /// What came of what was seen, for each worker, while nothing has changed since.
    divided: Option<Vec<usize>>,
    plan: Vec<Use>,
    /// Its part of all the load.
    part: f64,
}

/// Whether all nodes use all workers of a tier.
fn all_use(pool: &Pool, tier: u32) -> bool {
    pool.workers.iter().filter(|w| w.tier == tier).count() <= pool.subset
}

/// The node.
pub struct Node {
    name: String,
    times: Times,
    entries: Vec<Entry>,
    members: Vec<Member>,
    leave: Leave,
    told_at: Micros,
    told: Told,
    /// Workers that are left out here.
    out: BTreeSet<(usize, usize)>,
    /// Who had a worker out, as last seen.
    outs: BTreeMap<u16, Vec<String>>,
    /// Workers that somebody has found to be well.
    well: Vec<(usize, usize)>,
    /// It may be cut off, with its part given to others: it keeps to the least.
    alone: bool,
    /// When what a member had that is down is the others'.
    lapses: Option<Micros>,
    stale: bool,
}

impl Node {
    /// One that has just started. It has the least of each bound until the others have had the time
    /// to hear of it.
    pub fn new(name: &str, times: Times, pools: Vec<Pool>, now: Micros) -> Node {
        let mut node = Node {
            name: name.to_owned(),
            times,
            entries: Vec::new(),
            members: Vec::new(),
            leave: Leave::new(now),
            told_at: Micros::MIN / 2,
            told: Told::default(),
            out: BTreeSet::new(),
            outs: BTreeMap::new(),
            well: Vec::new(),
            alone: false,
            lapses: None,
            stale: true,
        };
        node.set_pools(now, pools);
        node
    }

    /// The file has changed. What was known of a worker that stays goes on.
    pub fn set_pools(&mut self, now: Micros, pools: Vec<Pool>) {
        let mut before = std::mem::take(&mut self.entries);
        for pool in pools.into_iter().take(MOST_POOLS) {
            let old = before
                .iter()
                .position(|e| e.pool.name == pool.name)
                .map(|i| before.swap_remove(i));
            let part = |w: &Worker| {
                let same = old
                    .as_ref()
                    .and_then(|o| o.pool.workers.iter().position(|b| b.name == w.name));
                match (same, &old) {
                    (Some(i), Some(old)) => old.parts[i].clone(),
                    _ => Part::new(1, now),
                }
            };
            let parts = pool.workers.iter().map(part).collect();
            let meter = old.as_ref().map_or(Meter::new(now), |o| o.meter.clone());
            let seen = old.map_or(Seen::new(now), |o| o.seen);
            let (plan, divided) = (Vec::new(), None);
            self.entries.push(Entry {
                pool,
                meter,
                parts,
                seen,
                divided,
                plan,
                part: 1.0,
            });
        }
        // Whoever looks at the pools next says anew which workers are left out, by their new
        // places.
        self.out.clear();
        self.told.out.clear();
        self.tell_now();
        self.stale = true;
    }

    /// The view has changed. This node is one of the members.
    pub fn view(&mut self, now: Micros, members: Vec<Member>, alone: bool) {
        self.alone = alone;
        self.listen(&members);
        self.members = members;
        self.stale = true;
        self.plan(now);
    }

    /// Takes in what the others have left out, and what they have found to be well.
    fn listen(&mut self, members: &[Member]) {
        let mut outs: BTreeMap<u16, Vec<String>> = BTreeMap::new();
        for member in members
            .iter()
            .filter(|m| m.down.is_none() && m.name != self.name)
        {
            for worker in member.told.iter().flat_map(|t| &t.out) {
                outs.entry(*worker).or_default().push(member.name.clone());
            }
        }
        let here = |name: &str| members.iter().any(|m| m.name == name && m.down.is_none());
        for &(pool, worker) in &self.out {
            let word = self.word(pool, worker);
            let before = self.outs.get(&word).map_or(&[][..], Vec::as_slice);
            let now: Vec<&str> = outs
                .get(&word)
                .into_iter()
                .flatten()
                .map(String::as_str)
                .collect();
            if turn::found_well(before.iter().map(String::as_str), &now, here) {
                self.well.push((pool, worker));
            }
        }
        self.outs = outs;
    }

    fn word(&self, pool: usize, worker: usize) -> u16 {
        let pool = &self.entries[pool].pool;
        short(&[&pool.name, &pool.workers[worker].name])
    }

    fn plan(&mut self, now: Micros) {
        self.stale = false;
        let gone = now - self.times.reserve;
        let counts = |m: &&Member| {
            m.told.is_some() && m.down.is_none_or(|since| since > gone) || m.name == self.name
        };
        let there: Vec<&Member> = self.members.iter().filter(counts).collect();
        self.lapses = there
            .iter()
            .filter_map(|m| m.down)
            .map(|since| since + self.times.reserve)
            .min();
        for entry in &mut self.entries {
            let pool = short(&[&entry.pool.name]);
            let level = |m: &&Member| match m.name == self.name {
                // What the others go by, too.
                true => self.told.level(pool),
                false => m.told.as_ref().map_or(0, |t| t.level(pool)),
            };
            let peer = |m: &&Member| Peer {
                name: m.name.clone(),
                zone: m.zone.clone(),
                level: level(m),
            };
            let peers: Vec<Peer> = there.iter().map(peer).collect();
            (entry.plan, entry.part) =
                plan(&self.name, &peers, &entry.pool.workers, entry.pool.subset);
            for (part, one) in entry.parts.iter_mut().zip(&entry.plan) {
                part.set(now, if one.inside { one.most_runs } else { 1 });
            }
            entry.seen.set(
                now,
                peers
                    .into_iter()
                    .map(|p| (p.name, p.level))
                    .collect::<Levels>(),
            );
            entry.divided = None;
        }
    }

    /// So many more runs are wanted in a pool.
    pub fn count(&mut self, pool: usize, wanted: u64) {
        if let Some(entry) = self.entries.get_mut(pool) {
            entry.meter.count(wanted);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let mut new = self.stale || self.lapses.is_some_and(|at| at <= now);
        let news: Vec<_> = self
            .entries
            .iter_mut()
            .map(|e| (e.meter.tick(now), e.meter.news()).1)
            .collect();
        // Nobody tells two things within the time that news takes: the others would miss the first.
        let may = now > self.told_at.saturating_add(self.times.hold);
        if may && news.iter().any(Option::is_some) && self.leave.take(now, self.members.len()) {
            self.told_at = now;
            for (entry, news) in self.entries.iter_mut().zip(news) {
                news.into_iter().for_each(|level| entry.meter.tell(level));
            }
            self.tell_now();
            new = true;
        }
        if new {
            self.plan(now);
        }
    }

    fn tell_now(&mut self) {
        let load = |e: &Entry| (short(&[&e.pool.name]), e.meter.told());
        self.told.loads = self.entries.iter().map(load).collect();
    }

    /// What it tells with the view.
    pub fn told(&self) -> &Told {
        &self.told
    }

    /// What it uses of a pool, in the order of its workers; with what it may have at once by now.
    pub fn uses(&mut self, now: Micros, pool: usize) -> Vec<Use> {
        let (hold, alone) = (self.times.hold, self.alone);
        let Some(entry) = self.entries.get_mut(pool) else {
            return Vec::new();
        };
        let Entry {
            pool,
            parts,
            seen,
            divided,
            plan,
            ..
        } = entry;
        let quiet = seen.quiet(now, hold);
        let one = |w: &Worker| match all_use(pool, w.tier) {
            // The loads are the same for all its workers.
            true => seen.part(&self.name, w.most_runs, |name| hash(&[name, &w.name])),
            false => 0,
        };
        let all = divided
            .take()
            .unwrap_or_else(|| pool.workers.iter().map(one).collect());
        let of = |(((one, part), worker), all): (((&Use, &mut Part), &Worker), &usize)| {
            let most_runs = match () {
                () if alone => 1,
                () if all_use(pool, worker.tier) => *all,
                () => part.get(now, hold),
            };
            Use {
                most_runs: most_runs.max(1),
                ..*one
            }
        };
        let uses = plan
            .iter()
            .zip(parts)
            .zip(&pool.workers)
            .zip(&all)
            .map(of)
            .collect();
        // While something has changed of late it changes with the time alone.
        *divided = quiet.then_some(all);
        uses
    }

    /// Its part of what is divided by load.
    pub fn part(&self, pool: usize) -> f64 {
        self.entries.get(pool).map_or(1.0, |e| e.part)
    }

    /// The workers of a pool that are left out here, by position.
    pub fn left_out(&mut self, pool: usize, workers: &[usize]) {
        let before = self.out.clone();
        self.out.retain(|(p, _)| *p != pool);
        self.out.extend(workers.iter().map(|w| (pool, *w)));
        if self.out == before {
            return;
        }
        let words: BTreeSet<u16> = self.out.iter().map(|&(p, w)| self.word(p, w)).collect();
        // Beyond the most none of them waits for a turn, so none is told.
        self.told.out = if words.len() <= MOST_OUT {
            words.into_iter().collect()
        } else {
            Vec::new()
        };
    }

    /// Whose turn it is to try a worker that is left out here.
    pub fn turn(&self, pool: usize, worker: usize) -> Turn {
        if self.told.out.is_empty() || pool >= self.entries.len() {
            return Turn::Mine;
        }
        let word = self.word(pool, worker);
        let others = self
            .outs
            .get(&word)
            .into_iter()
            .flatten()
            .map(String::as_str);
        turn::of(
            &self.name,
            &self.entries[pool].pool.workers[worker].name,
            others,
        )
    }

    /// Workers that somebody has found to be well since the last call.
    pub fn found_well(&mut self) -> Vec<(usize, usize)> {
        std::mem::take(&mut self.well)
    }
}

#[cfg(test)]
mod tests;
