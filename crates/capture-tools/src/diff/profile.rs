//! The recorded durations of the runs of requests, and of their successful calls. Calls with other
//! outcomes are not recorded in a profile: see [`RunProfile`].

use crate::cursor::{ReplayedRecord, Visitor};
use pipitlever_admission::{Action, Event, Micros, Outcome, RequestId};
use pipitlever_capture::record::Record;
use std::collections::{BTreeMap, HashMap};

/// The durations of one request's run: the work before each call, and the calls that succeeded. If
/// all calls succeeded, work and calls alternate, and work comes first and last.
///
/// Only the successful attempt of a call counts: unsuccessful attempts and the waits between them
/// are left out. If the controller skipped a failed call, the call has no duration, the work after
/// it is measured from the end of the last successful call or else from the start of the run (and
/// so includes the earlier work and the skipped call), and the work after the last call is missing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunProfile {
    /// The durations of the work before each call and, unless a call was skipped or the run ended
    /// during a call, after the last one. In microseconds.
    pub work: Vec<Micros>,
    /// The durations of the successful calls, in microseconds.
    pub calls: Vec<Micros>,
    /// How the run ended; `None` while it is running.
    pub outcome: Option<Outcome>,
}

/// Identifies a run of a request. Sorts the requests of a class in the order of arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ProfileKey {
    /// The index of the run of the node in the capture.
    node_run: usize,
    class: usize,
    id: RequestId,
}

/// A request's run that has not ended.
struct OpenRun {
    class: usize,
    /// When the last successful call ended, or else when the run started.
    work_since: Micros,
    profile: RunProfile,
}

/// The profiles of the runs of all requests in a capture.
#[derive(Default)]
pub struct RunProfiles {
    /// The index of the current run of the node in the capture.
    node_run: usize,
    profiles: BTreeMap<ProfileKey, RunProfile>,
    open: HashMap<RequestId, OpenRun>,
    /// The classes of requests that have not started.
    classes: HashMap<RequestId, usize>,
}

impl RunProfiles {
    /// The profile of a request in the run of the node with the index `node_run`; or else of the
    /// nearest request of its class in that run of the node that arrived before the request, or
    /// else after. If there is none, the profile of a successful request without calls whose run
    /// takes no time.
    pub fn nearest(&self, node_run: usize, class: usize, id: RequestId) -> RunProfile {
        let key = |id| ProfileKey {
            node_run,
            class,
            id,
        };
        let before = self.profiles.range(key(0)..=key(id)).next_back();
        let nearest = before.or_else(|| self.profiles.range(key(id)..=key(RequestId::MAX)).next());
        nearest.map_or_else(
            || RunProfile {
                work: vec![0],
                calls: Vec::new(),
                outcome: Some(Outcome::Success),
            },
            |(_, profile)| profile.clone(),
        )
    }

    fn handle_event(&mut self, event: &Event, now: Micros) {
        match event {
            Event::Arrived(request) => {
                self.classes.insert(request.id, request.class);
            }
            Event::NeedsCall(id) => {
                if let Some(open) = self.open.get_mut(id) {
                    open.profile.work.push(now - open.work_since);
                }
            }
            Event::CallEnded {
                id,
                elapsed,
                outcome: Outcome::Success,
            } => {
                if let Some(open) = self.open.get_mut(id) {
                    open.profile.calls.push(*elapsed);
                    open.work_since = now;
                }
            }
            Event::Finished { id, outcome, .. } => self.finish(*id, *outcome, now),
            _ => {}
        }
    }

    fn finish(&mut self, id: RequestId, outcome: Outcome, now: Micros) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let (class, mut profile) = (open.class, open.profile);
        // There are more durations of work than of calls if the run ended during a call, after
        // which there is no work, or if a call was skipped. After a skipped call, the last work is
        // lost.
        if profile.work.len() == profile.calls.len() {
            profile.work.push(now - open.work_since);
        }
        profile.outcome = Some(outcome);
        if outcome != Outcome::NotStarted {
            let node_run = self.node_run;
            let key = ProfileKey {
                node_run,
                class,
                id,
            };
            self.profiles.insert(key, profile);
        }
    }

    fn start(&mut self, id: RequestId, now: Micros) {
        if let Some(class) = self.classes.remove(&id) {
            let open = OpenRun {
                class,
                work_since: now,
                profile: RunProfile::default(),
            };
            self.open.insert(id, open);
        }
    }
}

impl Visitor for RunProfiles {
    fn record(&mut self, replayed: &ReplayedRecord) {
        let now = replayed.replay.now();
        let Record::Step {
            events, actions, ..
        } = replayed.record
        else {
            return;
        };
        for event in events.iter() {
            self.handle_event(event, now);
        }
        for action in actions.iter() {
            if let Action::Run(id) = action {
                self.start(*id, now);
            }
        }
    }

    fn run_ended(&mut self) {
        self.node_run += 1;
        self.open.clear();
        self.classes.clear();
    }
}
