//! Selection of a member for a run.

use super::tracked_member::StartedRun;
use super::{MemberId, Pool, RunInFlight, Selection, SelectionRequest};
use crate::Micros;
use rand::Rng;

/// The number of members that are drawn at random, of which the less loaded one gets the run (power
/// of two choices; Mitzenmacher, 2001).
const CHOICES: usize = 2;
/// Draws before all usable members are compared. While most have free slots, the first suffices.
const DRAW_ROUNDS: usize = 4;
/// Lower bound of the traffic share in the load of a member that gets hardly any traffic.
const MIN_TRAFFIC_SHARE: f64 = 0.01;
/// Entries of the ring that are tried for a sticky key.
const MAX_RING_STEPS: usize = 256;
/// Avoids a division by zero where no member is usable.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

impl<A: Clone + PartialEq> Pool<A> {
    /// Selects a member for a run.
    ///
    /// A member on probation takes precedence, as its state is unknown until a run probes it; then
    /// the member of the sticky key; then the less loaded of two random members.
    pub fn select(&mut self, now: Micros, request: SelectionRequest) -> Selection<A> {
        self.begin_selection(now, &request);
        let probed = self.probe_target(now, &request);
        if let Some(position) = probed.or_else(|| self.sticky_member(now, &request)) {
            return self.start_run(now, position);
        }
        let excluded = self.draw_slow_start_exclusions(now);
        let chosen = self
            .choose_of_two(now, &request, &excluded)
            .or_else(|| self.least_loaded(now, &request, &excluded))
            // A member in slow start is better than none.
            .or_else(|| self.least_loaded(now, &request, &[]));
        if let Some(position) = chosen {
            return self.start_run(now, position);
        }
        let usable = &self.candidates.usable;
        if usable.iter().all(|&i| self.was_attempted(i, &request)) {
            Selection::Unavailable
        } else {
            Selection::AtCapacity
        }
    }

    /// Selects the member at `address`, even if it is ejected: for sessions that no other member
    /// can serve.
    pub fn select_member(
        &mut self,
        now: Micros,
        request: SelectionRequest,
        address: &A,
    ) -> Selection<A> {
        self.begin_selection(now, &request);
        let position = self
            .members
            .iter()
            .position(|member| !member.is_removed && member.settings.address == *address);
        match position {
            Some(position) if self.was_attempted(position, &request) => Selection::Unavailable,
            Some(position) if self.members[position].has_free_slot() => {
                self.start_run(now, position)
            }
            Some(_) => Selection::AtCapacity,
            None => Selection::Unavailable,
        }
    }

    fn begin_selection(&mut self, now: Micros, request: &SelectionRequest) {
        if request.attempted_members.is_empty() {
            self.retry_budget.record_first_attempt();
        }
        self.tick(now);
    }

    fn was_attempted(&self, position: usize, request: &SelectionRequest) -> bool {
        let id: MemberId = self.members[position].id;
        request.attempted_members.contains(&id)
    }

    /// Whether a usable member can get this run: it was not attempted before, has a free slot and
    /// is not excluded.
    fn is_eligible(&self, position: usize, request: &SelectionRequest, excluded: &[usize]) -> bool {
        !self.was_attempted(position, request)
            && self.members[position].has_free_slot()
            && !excluded.contains(&position)
    }

    /// The first member on probation that this run may probe.
    fn probe_target(&self, now: Micros, request: &SelectionRequest) -> Option<usize> {
        let accepts = |&position: &usize| {
            let member = &self.members[position];
            let in_flight = member.runs.len();
            !self.was_attempted(position, request)
                && (member.detector).accepts_probe(now, request.is_idempotent, in_flight)
        };
        self.candidates.on_probation.iter().copied().find(accepts)
    }

    /// The first member in the order of the sticky key that is healthy and not above its share of
    /// the load (consistent hashing with bounded loads).
    fn sticky_member(&self, now: Micros, request: &SelectionRequest) -> Option<usize> {
        self.ring
            .preference_order(request.hash_key?)
            .take(MAX_RING_STEPS)
            .filter_map(|id| self.positions.get(&MemberId(id)).copied())
            .find(|&position| {
                (self.panic_until.is_some() || self.members[position].is_healthy(now))
                    && self.is_eligible(position, request, &[])
                    && self.is_within_hash_load(position)
            })
    }

    fn is_within_hash_load(&self, position: usize) -> bool {
        let member = &self.members[position];
        let total_weight = self.candidates.total_weight().max(MIN_TOTAL_WEIGHT);
        let share = (self.runs.len() + 1) as f64 * member.settings.weight / total_weight;
        let max_runs = (self.config.hash_load_factor * share).ceil().max(1.0);
        (member.runs.len() + 1) as f64 <= max_runs
    }

    /// Draws the members in slow start that are excluded from this selection.
    ///
    /// Each is drawn independently of its load: with many processes, each process has almost no
    /// runs on a new member, which would therefore look idle. As the least loaded of [`CHOICES`]
    /// drawn members, it would get up to that many times its share, so its probability is divided
    /// by [`CHOICES`]; the traffic of all processes together then follows the slow start.
    fn draw_slow_start_exclusions(&mut self, now: Micros) -> Vec<usize> {
        let mut excluded = Vec::new();
        if self.candidates.in_slow_start.len() == self.candidates.usable.len() {
            // No other member could take the traffic.
            return excluded;
        }
        for index in 0..self.candidates.in_slow_start.len() {
            let position = self.candidates.in_slow_start[index];
            let share = self.traffic_share(now, position);
            if share < 1.0 && !self.rng.random_bool(share / CHOICES as f64) {
                excluded.push(position);
            }
        }
        excluded
    }

    /// The fraction of its traffic that a usable member gets; all of it in panic mode.
    fn traffic_share(&self, now: Micros, position: usize) -> f64 {
        if self.panic_until.is_some() {
            return 1.0;
        }
        let share = self.members[position].detector.traffic_share(now);
        share.max(MIN_TRAFFIC_SHARE)
    }

    /// Expected latency of one more run: the latency scaled by the runs in flight per weight. Idle
    /// members differ only in latency; their weights count in how often they are drawn.
    fn load(&self, now: Micros, position: usize) -> f64 {
        let member = &self.members[position];
        let latency = member.latency(now, self.config.latency_decay, self.typical_latency);
        let weight = member.settings.weight * self.traffic_share(now, position);
        (member.runs.len() as f64 / weight + 1.0) * latency
    }

    /// Draws two members by weight, and returns the less loaded of those that are eligible.
    fn choose_of_two(
        &mut self,
        now: Micros,
        request: &SelectionRequest,
        excluded: &[usize],
    ) -> Option<usize> {
        if self.candidates.usable.len() < CHOICES {
            return None;
        }
        for _ in 0..DRAW_ROUNDS {
            let first = self.candidates.draw(&mut self.rng);
            let second = self.candidates.draw(&mut self.rng);
            let is_eligible = |position| self.is_eligible(position, request, excluded);
            match (is_eligible(first), is_eligible(second)) {
                (true, true) if self.load(now, second) < self.load(now, first) => {
                    return Some(second);
                }
                (true, _) => return Some(first),
                (false, true) => return Some(second),
                (false, false) => {}
            }
        }
        None
    }

    /// The least loaded of all usable members that are eligible.
    fn least_loaded(
        &self,
        now: Micros,
        request: &SelectionRequest,
        excluded: &[usize],
    ) -> Option<usize> {
        let usable = self.candidates.usable.iter().copied();
        usable
            .filter(|&position| self.is_eligible(position, request, excluded))
            .min_by(|&a, &b| self.load(now, a).total_cmp(&self.load(now, b)))
    }

    fn start_run(&mut self, now: Micros, position: usize) -> Selection<A> {
        let run = self.last_ids.next_run();
        let member = &mut self.members[position];
        member.runs.insert(StartedRun {
            started_at: now,
            run,
        });
        let in_flight = RunInFlight {
            member: member.id,
            started_at: now,
        };
        self.runs.insert(run, in_flight);
        Selection::Selected {
            run,
            member: member.id,
            address: member.settings.address.clone(),
        }
    }
}
