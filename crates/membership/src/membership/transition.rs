//! Replacement of a member's record, and of the state that depends on the record: suspicion, probe
//! schedule, dissemination and events.

use crate::event::{Cause, Event};
use crate::membership::Membership;
use crate::record::{Record, State};
use crate::suspicion::Suspicion;
use crate::Micros;

/// A new record of a member, and its source.
pub(super) struct Transition {
    /// New record.
    pub(super) record: Record,
    /// Member that reported the record.
    pub(super) reported_by: String,
    /// Why the state changes.
    pub(super) cause: Cause,
    /// Member whose probe of the suspect failed, for a new suspicion.
    pub(super) suspected_by: Option<String>,
    /// For how long the member has been in the state, in microseconds.
    pub(super) state_age: Micros,
}

/// Change of a member's suspicion by a transition.
enum SuspicionChange {
    Keep,
    Start(Suspicion),
    End,
}

impl Membership {
    /// Applies a transition. This is the only place where the record of another member changes.
    pub(super) fn apply_transition(&mut self, now: Micros, name: &str, transition: Transition) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let previous = member.record.clone();
        let digest = self.digest();
        let suspicion_change = suspicion_change(now, &previous, &transition);
        let Transition {
            record,
            reported_by,
            cause,
            state_age,
            ..
        } = transition;
        self.members.update(name, |member| {
            if member.record.load != record.load {
                member.load_updated_at = now;
            }
            member.record = record.clone();
            member.is_tombstone = false;
            if previous.state != record.state {
                member.state_since = now - state_age;
                member.reported_by = reported_by;
                member.reconnect_attempts = 0;
            }
        });
        match suspicion_change {
            SuspicionChange::Keep => {}
            SuspicionChange::Start(suspicion) => self.set_suspicion(name, Some(suspicion)),
            SuspicionChange::End => self.set_suspicion(name, None),
        }
        if previous.state != record.state {
            self.update_probe_schedule(now, name, previous.state, record.state);
            self.events.push(Event::StateChanged {
                name: name.to_owned(),
                previous: Some(previous.state),
                state: record.state,
                incarnation: record.incarnation,
                cause,
            });
        }
        self.report_name_conflict(name, &previous, &record);
        if digest != self.digest() {
            self.convergence.invalidate();
        }
        self.dissemination.enqueue(name);
    }

    fn update_probe_schedule(&mut self, now: Micros, name: &str, previous: State, state: State) {
        match (previous.is_active(), state.is_active()) {
            (false, true) => self.prober.schedule.insert(name, &mut self.rng),
            (true, false) => {
                self.prober.schedule.remove(name);
                // If this is the start of a partition, frequent attempts detect its end early.
                self.reconnector
                    .reset_backoff(now, self.config.probe_interval);
            }
            _ => {}
        }
    }

    fn report_name_conflict(&mut self, name: &str, previous: &Record, record: &Record) {
        let rivals = &record.details.rivals;
        match (previous.details.rivals.is_empty(), rivals.is_empty()) {
            (true, false) => self.events.push(Event::NameConflict {
                name: name.to_owned(),
                address: record.details.address,
                rivals: rivals.clone(),
            }),
            (false, true) => self.events.push(Event::NameConflictResolved {
                name: name.to_owned(),
            }),
            _ => {}
        }
    }
}

fn suspicion_change(now: Micros, previous: &Record, transition: &Transition) -> SuspicionChange {
    let record = &transition.record;
    if record.state != State::Suspect {
        return SuspicionChange::End;
    }
    let is_same_incarnation =
        (previous.incarnation, previous.token) == (record.incarnation, record.token);
    if previous.state == State::Suspect && is_same_incarnation {
        return SuspicionChange::Keep;
    }
    let reporter = transition
        .suspected_by
        .as_deref()
        .unwrap_or(&transition.reported_by);
    SuspicionChange::Start(Suspicion::new(now, reporter))
}
