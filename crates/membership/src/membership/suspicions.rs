//! Suspicion timeouts of the members.

use crate::event::Cause;
use crate::membership::transition::Transition;
use crate::membership::Membership;
use crate::record::{Record, State};
use crate::suspicion::Suspicion;
use crate::Micros;

/// Timeout of the suspicion of a member; ordered by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuspicionDeadline {
    pub(super) at: Micros,
    name: String,
}

impl SuspicionDeadline {
    fn new(at: Micros, name: &str) -> SuspicionDeadline {
        SuspicionDeadline {
            at,
            name: name.to_owned(),
        }
    }
}

impl Membership {
    /// Replaces the suspicion of a member; `None` ends it.
    pub(super) fn set_suspicion(&mut self, name: &str, suspicion: Option<Suspicion>) {
        let deadlines = &mut self.suspicion_deadlines;
        self.members.annotate(name, |member| {
            if let Some(previous) = std::mem::replace(&mut member.suspicion, suspicion) {
                deadlines.remove(&SuspicionDeadline::new(previous.scheduled_deadline, name));
            }
        });
        self.schedule_suspicion(name);
    }

    /// Schedules the timeout of a member's suspicion, in place of an earlier one.
    pub(super) fn schedule_suspicion(&mut self, name: &str) {
        let config = &self.config;
        let active_count = self.members.active_count();
        let deadlines = &mut self.suspicion_deadlines;
        self.members.annotate(name, |member| {
            if let Some(suspicion) = &mut member.suspicion {
                deadlines.remove(&SuspicionDeadline::new(suspicion.scheduled_deadline, name));
                suspicion.scheduled_deadline = suspicion.deadline(config, active_count);
                deadlines.insert(SuspicionDeadline::new(suspicion.scheduled_deadline, name));
            }
        });
    }

    /// Extends all suspicions by the time for which this process did not run.
    pub(super) fn extend_suspicions(&mut self, delay: Micros) {
        for SuspicionDeadline { name, .. } in self.suspicion_deadlines.clone() {
            self.members.annotate(&name, |member| {
                if let Some(suspicion) = &mut member.suspicion {
                    suspicion.extend(delay);
                }
            });
            self.schedule_suspicion(&name);
        }
    }

    /// Adds a confirmation to the suspicion of a member.
    pub(super) fn confirm_suspicion(&mut self, name: &str, reporter: &str) {
        let mut is_confirmed = false;
        self.members.annotate(name, |member| {
            if let Some(suspicion) = &mut member.suspicion {
                is_confirmed = suspicion.confirm(reporter);
            }
        });
        if is_confirmed {
            self.schedule_suspicion(name);
            self.dissemination.enqueue(name);
        }
    }

    /// Declares suspects down whose suspicion timed out.
    pub(super) fn expire_suspicions(&mut self, now: Micros) {
        while self
            .suspicion_deadlines
            .first()
            .is_some_and(|deadline| deadline.at <= now)
        {
            let Some(SuspicionDeadline { name, .. }) = self.suspicion_deadlines.pop_first() else {
                return;
            };
            self.declare_down(now, &name);
        }
    }

    fn declare_down(&mut self, now: Micros, name: &str) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let reporters = member
            .suspicion
            .as_ref()
            .map_or(Vec::new(), |suspicion| suspicion.reporters().to_vec());
        let record = Record {
            state: State::Down,
            ..member.record.clone()
        };
        let transition = Transition {
            record,
            reported_by: self.local_name.clone(),
            cause: Cause::SuspicionExpired(reporters),
            suspected_by: None,
            state_age: 0,
        };
        self.apply_transition(now, name, transition);
    }
}
