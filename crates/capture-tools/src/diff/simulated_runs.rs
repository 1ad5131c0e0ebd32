//! Simulates the runs of requests on which this build's decisions differ from the recorded ones.

use super::profile::RunProfile;
use pipitlever_admission::{Event, Micros, Outcome, RequestId, Stage};
use std::collections::BTreeMap;

/// A request's run that is simulated with recorded durations.
#[derive(Debug)]
struct SimulatedRun {
    profile: RunProfile,
    /// The index of the current work in the profile.
    work_index: usize,
    /// When the current work began.
    work_since: Micros,
    started: Micros,
}

/// Simulated runs and their scheduled events.
#[derive(Default)]
pub struct SimulatedRuns {
    runs: BTreeMap<RequestId, SimulatedRun>,
    /// Scheduled events, by time and then in the order of scheduling.
    events: BTreeMap<(Micros, u64), Event>,
    /// The number of events scheduled so far.
    scheduled: u64,
    /// Duplicates that wait for the outcome of the original request.
    duplicates: BTreeMap<RequestId, Vec<RequestId>>,
}

impl SimulatedRuns {
    /// Whether the run of a request is simulated.
    pub fn contains(&self, id: RequestId) -> bool {
        self.runs.contains_key(&id)
    }

    /// Starts the simulation of the run of a request.
    pub fn insert(&mut self, id: RequestId, profile: RunProfile, started: Micros) {
        let run = SimulatedRun {
            profile,
            work_index: 0,
            work_since: started,
            started,
        };
        self.runs.insert(id, run);
    }

    /// Removes all runs and events.
    pub fn clear(&mut self) {
        self.runs.clear();
        self.events.clear();
        self.duplicates.clear();
    }

    /// Removes the next due event and returns it with its time.
    pub fn next_due(&mut self, now: Micros) -> Option<(Micros, Event)> {
        let due = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        let ((at, _), event) = due.remove_entry();
        Some((at, event))
    }

    /// Applies an event that is due to its run. Returns whether the event still applies to a
    /// request in this stage.
    pub fn apply_due(&mut self, at: Micros, event: &Event, stage: Option<Stage>) -> bool {
        let (Some(id), Some(stage)) = (event.request(), stage) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(&id) else {
            return false;
        };
        match (event, stage) {
            (Event::NeedsCall(_), Stage::Running) => true,
            (Event::CallEnded { .. }, Stage::InCall) => {
                run.work_index += 1;
                run.work_since = at;
                true
            }
            (Event::Finished { .. }, Stage::Running | Stage::AwaitingOriginal) => {
                self.runs.remove(&id);
                true
            }
            _ => false,
        }
    }

    /// Sets the start of a run, and schedules the end of its work.
    pub fn start(&mut self, id: RequestId, now: Micros) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.started = now;
            run.work_since = now;
        }
        self.schedule_work(id, now);
    }

    /// Schedules the end of the current work: a call, or the end of the run.
    pub fn schedule_work(&mut self, id: RequestId, now: Micros) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let work = run.profile.work.get(run.work_index).copied().unwrap_or(0);
        let at = now.max(run.work_since + work.max(0));
        let event = if run.work_index < run.profile.calls.len() {
            Event::NeedsCall(id)
        } else {
            Event::Finished {
                id,
                elapsed: at - run.started,
                outcome: run.profile.outcome.unwrap_or(Outcome::Success),
            }
        };
        self.schedule(at, event);
    }

    /// Schedules the reply to the call of a run.
    pub fn schedule_reply(&mut self, id: RequestId, now: Micros) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let calls = &run.profile.calls;
        let call = calls.get(run.work_index).or(calls.last());
        let elapsed = call.copied().unwrap_or(0);
        let event = Event::CallEnded {
            id,
            elapsed,
            outcome: Outcome::Success,
        };
        self.schedule(now + elapsed, event);
    }

    /// Makes a duplicate wait for the original request. Without an original, the duplicate is
    /// answered immediately.
    pub fn await_original(&mut self, id: RequestId, original: Option<RequestId>, now: Micros) {
        match original {
            Some(original) => self.duplicates.entry(original).or_default().push(id),
            None => self.schedule_outcome(id, Outcome::Success, now),
        }
    }

    /// Schedules the outcome of a finished request for its duplicates.
    pub fn answer_duplicates(&mut self, original: RequestId, outcome: Outcome, now: Micros) {
        for duplicate in self.duplicates.remove(&original).unwrap_or_default() {
            self.schedule_outcome(duplicate, outcome, now);
        }
    }

    fn schedule_outcome(&mut self, id: RequestId, outcome: Outcome, now: Micros) {
        let event = Event::Finished {
            id,
            elapsed: 0,
            outcome,
        };
        self.schedule(now, event);
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }
}
