//! Replays a capture to its end, past differences.

use super::comparison::{Comparison, PerSide, Side};
use super::profile::RunProfiles;
use super::simulated_runs::SimulatedRuns;
use crate::cursor::{ReplayedRecord, Visitor};
use pipitlever_admission::{Action, Controller, Event, Micros, Request, RequestId, Stage};
use pipitlever_capture::record::{Record, SegmentHeader};
use std::collections::HashMap;

/// The request whose idempotency key is retained, and the end of the retention.
#[derive(Clone, Copy)]
struct KeyHolder {
    id: RequestId,
    expires: Micros,
}

/// The idempotency keys that each side retains during a node's run.
#[derive(Default)]
struct KeyTables {
    /// The digests of the requests' keys.
    digests: HashMap<RequestId, u64>,
    /// The requests whose keys are retained, by digest.
    holders: PerSide<HashMap<u64, KeyHolder>>,
}

impl KeyTables {
    fn apply(&mut self, side: Side, action: &Action, now: Micros) {
        let holders = self.holders.get_mut(side);
        match action {
            Action::RetainKey(id, lifetime) => {
                if let Some(digest) = self.digests.get(id) {
                    let expires = now + lifetime;
                    holders.insert(*digest, KeyHolder { id: *id, expires });
                }
            }
            Action::ReleaseKey(id) => {
                if let Some(digest) = self.digests.get(id) {
                    if holders.get(digest).is_some_and(|holder| holder.id == *id) {
                        holders.remove(digest);
                    }
                }
            }
            _ => {}
        }
    }

    /// The request whose key this build retains, with the same digest as the given request's key.
    fn replayed_holder(&self, id: RequestId) -> Option<RequestId> {
        let digest = self.digests.get(&id)?;
        let holder = self.holders.replayed.get(digest)?;
        Some(holder.id)
    }

    /// The original request of a duplicate: the one in this build's key table if the recorded key
    /// table yields the recorded original, otherwise the recorded original.
    fn resolve_duplicate(&self, request: &Request, now: Micros) -> Option<RequestId> {
        let Some(digest) = self.digests.get(&request.id) else {
            return request.duplicate_of;
        };
        let holder = |side| {
            let holder = self.holders.get(side).get(digest);
            let holder = holder.filter(|holder| now - request.queue_time <= holder.expires);
            holder.map(|holder| holder.id)
        };
        let (recorded, replayed) = (holder(Side::Recorded), holder(Side::Replayed));
        if recorded == request.duplicate_of {
            replayed
        } else {
            request.duplicate_of
        }
    }
}

/// Feeds the recorded events to this build's controller, and simulates the runs of the requests on
/// which its decisions differ from the recorded ones.
pub struct DivergentReplay<'a> {
    profiles: &'a RunProfiles,
    /// The index of the node's current run in the capture.
    run: usize,
    /// This build's controller; `None` before the first segment.
    controller: Option<Controller>,
    now: Micros,
    simulated: SimulatedRuns,
    keys: KeyTables,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    pub comparison: Comparison,
    /// The number of steps whose actions differ. A step for a simulated event has no recorded
    /// actions and counts if this build's controller takes any.
    pub different_steps: u64,
}

impl<'a> DivergentReplay<'a> {
    /// Creates a replay of the capture with these profiles.
    pub fn new(profiles: &'a RunProfiles) -> DivergentReplay<'a> {
        DivergentReplay {
            profiles,
            run: 0,
            controller: None,
            now: 0,
            simulated: SimulatedRuns::default(),
            keys: KeyTables::default(),
            classes: Vec::new(),
            comparison: Comparison::default(),
            different_steps: 0,
        }
    }

    fn stage(&self, id: RequestId) -> Option<Stage> {
        let status = self.controller.as_ref()?.request_status(id)?;
        Some(status.stage)
    }

    /// Runs a step of the controller for each due event of simulated runs.
    fn replay_simulated(&mut self, now: Micros) {
        while let Some((at, event)) = self.simulated.next_due(now) {
            let at = at.max(self.now);
            let stage = event.request().and_then(|id| self.stage(id));
            if self.simulated.apply_due(at, &event, stage) {
                self.step(at, &[event], &[]);
            }
        }
    }

    /// Makes a duplicate wait for the request whose key is retained, if that request is still open.
    /// Otherwise the duplicate is answered immediately.
    fn await_original(&mut self, id: RequestId, now: Micros) {
        let holder = self.keys.replayed_holder(id);
        let original = holder.filter(|holder| self.stage(*holder).is_some());
        self.simulated.await_original(id, original, now);
    }

    /// Simulates the run of a request from its first difference on.
    fn simulate_request(&mut self, id: RequestId, now: Micros) {
        let Some(request) = self.comparison.request(id) else {
            return;
        };
        let profile = self.profiles.nearest(self.run, request.class, id);
        let start = request.decisions.replayed.start;
        let started = start.map_or(now, |start| start.at);
        self.simulated.insert(id, profile, started);
        match self.stage(id) {
            Some(Stage::Running) => self.simulated.schedule_work(id, now),
            Some(Stage::InCall) => self.simulated.schedule_reply(id, now),
            Some(Stage::AwaitingOriginal) => self.await_original(id, now),
            _ => {}
        }
    }

    /// Runs a step of this build's controller, and compares its actions with the recorded ones.
    fn step(&mut self, now: Micros, events: &[Event], recorded: &[Action]) {
        self.now = now;
        let Some(controller) = &mut self.controller else {
            return;
        };
        let mut replayed = Vec::new();
        controller.step(now, events, &mut replayed);
        if replayed != recorded {
            self.different_steps += 1;
        }
        for (side, actions) in [(Side::Recorded, recorded), (Side::Replayed, &replayed)] {
            for action in actions {
                self.keys.apply(side, action, now);
                self.comparison.apply(side, action, now);
            }
        }
        for event in events {
            if let Event::Finished { id, outcome, .. } = event {
                self.simulated.answer_duplicates(*id, *outcome, now);
            }
        }
        self.simulate_actions(now, recorded, &replayed);
        for event in events {
            if let Event::CallEnded { id, .. } = event {
                if self.stage(*id) == Some(Stage::Running) {
                    self.simulated.schedule_work(*id, now);
                }
            }
        }
    }

    /// Applies this build's actions to simulated runs, and starts the simulation of requests whose
    /// actions differ between the sides.
    fn simulate_actions(&mut self, now: Micros, recorded: &[Action], replayed: &[Action]) {
        let actions = recorded.iter().chain(replayed);
        let mut requests: Vec<RequestId> = actions.filter_map(Action::request).collect();
        requests.sort_unstable();
        requests.dedup();
        for id in requests {
            let of_request = |action: &&Action| action.request() == Some(id);
            let on_request = replayed.iter().filter(of_request);
            if self.simulated.contains(id) {
                on_request.for_each(|action| self.simulate_action(id, action, now));
            } else if on_request.ne(recorded.iter().filter(of_request)) {
                self.simulate_request(id, now);
            }
        }
    }

    fn simulate_action(&mut self, id: RequestId, action: &Action, now: Micros) {
        match action {
            Action::Run(_) => self.simulated.start(id, now),
            Action::PlaceCall(..) => self.simulated.schedule_reply(id, now),
            Action::ReuseOutcome(_) => self.await_original(id, now),
            _ => {}
        }
    }

    /// Returns the event as this build's controller receives it; `None` if the event belongs to a
    /// recorded run that is simulated instead.
    fn translate(&mut self, event: &Event, now: Micros) -> Option<Event> {
        let is_simulated = event
            .request()
            .is_some_and(|id| self.simulated.contains(id));
        match event {
            Event::Arrived(request) => {
                let duplicate_of = self.keys.resolve_duplicate(request, now);
                self.comparison.arrive(request.id, request.class, now);
                Some(Event::Arrived(Request {
                    duplicate_of,
                    ..request.clone()
                }))
            }
            Event::Finished { .. } | Event::NeedsCall(_) | Event::CallEnded { .. }
                if is_simulated =>
            {
                None
            }
            _ => Some(event.clone()),
        }
    }

    fn finish_run(&mut self) {
        self.comparison.finish_run();
        self.simulated.clear();
        self.keys = KeyTables::default();
    }
}

impl Visitor for DivergentReplay<'_> {
    fn segment(&mut self, header: &SegmentHeader, controller: &Controller, is_restart: bool) {
        self.classes.clone_from(&header.classes);
        if is_restart {
            self.finish_run();
            self.controller = Some(controller.clone());
            self.now = header.now;
        }
    }

    fn record(&mut self, replayed: &ReplayedRecord) {
        match replayed.record {
            Record::Identity(identity) => {
                if let Some(digest) = identity.key_digest {
                    self.keys.digests.insert(identity.id, digest);
                }
            }
            Record::Answer { .. } => {}
            Record::Step {
                events, actions, ..
            } => {
                let now = replayed.replay.now();
                self.replay_simulated(now);
                let events: Vec<Event> = events
                    .iter()
                    .filter_map(|event| self.translate(event, now))
                    .collect();
                self.step(now, &events, actions);
            }
        }
    }

    fn run_ended(&mut self) {
        self.finish_run();
        self.run += 1;
    }
}
