//! Received updates about members, and dissemination of this node's own record.

use crate::event::{Cause, Event};
use crate::local_member::SelfUpdateOutcome;
use crate::membership::probing::MAX_PRIORITY_TARGETS;
use crate::membership::transition::Transition;
use crate::membership::Membership;
use crate::message::Update;
use crate::record::{Record, State};
use crate::suspicion::Suspicion;
use crate::update_rules::{evaluate_update, UpdateEffect};
use crate::Micros;

/// Expected number of members, of all that receive a suspicion, that probe the suspect at once.
const EXPECTED_SUSPECT_PROBES: f64 = 4.0;

impl Membership {
    /// Handles an update that `sender` disseminated.
    pub fn handle_update(&mut self, now: Micros, update: &Update, sender: &str) {
        if update.name == self.local_name {
            return self.handle_self_update(now, &update.record, sender);
        }
        let Some(member) = self.members.get(&update.name) else {
            return self.insert_member(now, update, sender);
        };
        let cause = received_cause(update, sender);
        match evaluate_update(&member.record, member.is_tombstone, &update.record) {
            UpdateEffect::Ignored => {}
            UpdateEffect::Suspicion => self.handle_suspicion(now, update, cause),
            UpdateEffect::UnconfirmedFailure(record) => {
                let suspicion = Update {
                    record,
                    suspected_by: Some(sender.to_owned()),
                    ..update.clone()
                };
                self.handle_suspicion(now, &suspicion, cause);
            }
            UpdateEffect::Replaced(record) => {
                let transition = Transition {
                    record,
                    reported_by: sender.to_owned(),
                    cause,
                    suspected_by: None,
                    state_age: state_age(update),
                };
                self.apply_transition(now, &update.name, transition);
            }
        }
    }

    /// Handles a suspicion, received or from a failed probe by this node.
    pub(super) fn handle_suspicion(&mut self, now: Micros, update: &Update, cause: Cause) {
        let Some(member) = self.members.get(&update.name) else {
            return;
        };
        let reported_by = match &cause {
            Cause::ReportedBy(sender) => sender.clone(),
            _ => self.local_name.clone(),
        };
        let suspected_by = update
            .suspected_by
            .clone()
            .unwrap_or_else(|| reported_by.clone());
        let is_confirmation = member.record.state == State::Suspect
            && member.record.token == update.record.token
            && member.record.incarnation == update.record.incarnation;
        let mut record = member.record.clone();
        let is_changed = record.merge(&update.record);
        if is_confirmation {
            self.confirm_suspicion(&update.name, &suspected_by);
        }
        if !is_changed {
            return;
        }
        let is_received_suspicion = !is_confirmation
            && matches!(cause, Cause::ReportedBy(_))
            && record.state == State::Suspect;
        let transition = Transition {
            record,
            reported_by,
            cause,
            suspected_by: (!is_confirmation).then_some(suspected_by),
            state_age: 0,
        };
        self.apply_transition(now, &update.name, transition);
        if is_received_suspicion && self.config.lifeguard.buddy_system {
            self.maybe_probe_suspect(&update.name);
        }
    }

    /// Schedules a probe of a suspect with a probability at which a few members of the cluster
    /// probe the suspect; their results confirm or refute the suspicion early.
    fn maybe_probe_suspect(&mut self, name: &str) {
        let probability = EXPECTED_SUSPECT_PROBES / self.members.active_count().max(1) as f64;
        let targets = &mut self.prober.priority_targets;
        if self.rng.f64() < probability && targets.len() < MAX_PRIORITY_TARGETS {
            targets.push_back(name.to_owned());
        }
    }

    /// Inserts a member that is not in the table, unless its retention has expired or the table is
    /// full.
    fn insert_member(&mut self, now: Micros, update: &Update, sender: &str) {
        let Update { name, record, .. } = update;
        let is_active = record.state.is_active();
        let state_since = if is_active {
            now
        } else {
            now - state_age(update)
        };
        if now - state_since > self.config.retention || !self.evict_until_not_full(name == sender) {
            return;
        }
        if is_active {
            self.convergence.record_discovered_member();
        }
        self.members
            .insert(name, record.clone(), state_since, sender);
        if is_active {
            self.prober.schedule.insert(name, &mut self.rng);
        }
        if record.state == State::Suspect {
            let reporter = update.suspected_by.as_deref().unwrap_or(sender);
            self.set_suspicion(name, Some(Suspicion::new(now, reporter)));
        }
        self.events.push(Event::StateChanged {
            name: name.clone(),
            previous: None,
            state: record.state,
            incarnation: record.incarnation,
            cause: received_cause(update, sender),
        });
        if !record.details.rivals.is_empty() {
            self.events.push(Event::NameConflict {
                name: name.clone(),
                address: record.details.address,
                rivals: record.details.rivals.clone(),
            });
        }
        self.convergence.invalidate();
        self.dissemination.enqueue(name);
    }

    /// Evicts members until there is space for one more; returns whether there is.
    fn evict_until_not_full(&mut self, is_self_announced: bool) -> bool {
        while self.members.len() >= self.config.max_members {
            let candidate = self
                .members
                .eviction_candidate(&self.local_name, is_self_announced);
            let Some(name) = candidate else {
                return false;
            };
            self.evict(name);
        }
        true
    }

    fn evict(&mut self, name: String) {
        self.set_suspicion(&name, None);
        let removed = self.members.remove(&name);
        self.prober.schedule.remove(&name);
        self.dissemination.remove(&name);
        if !removed.is_some_and(|member| member.is_tombstone) {
            self.events.push(Event::Removed {
                name,
                evicted: true,
            });
        }
    }

    /// Handles an update about this node's own name.
    fn handle_self_update(&mut self, now: Micros, received: &Record, sender: &str) {
        let was_contested = self.local.is_contested();
        match self.local.handle_update(now, received) {
            SelfUpdateOutcome::Unchanged => return self.publish_if_changed(),
            SelfUpdateOutcome::Refuted(claimed) => {
                self.health.degrade(1);
                self.events.push(Event::Refuted {
                    claimed,
                    reported_by: sender.to_owned(),
                    incarnation: self.local.record.incarnation,
                });
            }
            SelfUpdateOutcome::Overridden
            | SelfUpdateOutcome::Contested
            | SelfUpdateOutcome::Yielded => {}
        }
        match (was_contested, self.local.is_contested()) {
            (false, true) => {
                let details = &self.local.effective_record().details;
                self.events.push(Event::NameConflict {
                    name: self.local_name.clone(),
                    address: details.address,
                    rivals: details.rivals.clone(),
                });
            }
            (true, false) => self.events.push(Event::NameConflictResolved {
                name: self.local_name.clone(),
            }),
            _ => {}
        }
        self.publish_local_record();
    }

    fn publish_if_changed(&mut self) {
        let is_changed = self
            .members
            .get(&self.local_name)
            .is_some_and(|member| member.record != *self.local.effective_record());
        if is_changed {
            self.publish_local_record();
        }
    }

    /// Writes this node's record to the table and queues it for dissemination.
    pub(super) fn publish_local_record(&mut self) {
        let record = self.local.effective_record().clone();
        let digest = self.digest();
        self.members
            .update(&self.local_name, |member| member.record = record);
        if digest != self.digest() {
            self.convergence.invalidate();
        }
        self.dissemination.enqueue(&self.local_name);
    }
}

fn received_cause(update: &Update, sender: &str) -> Cause {
    if update.name == sender {
        Cause::SelfReported
    } else {
        Cause::ReportedBy(sender.to_owned())
    }
}

/// Returns for how long the member has been in its state, in microseconds.
fn state_age(update: &Update) -> Micros {
    Micros::from(update.state_age_seconds) * 1_000_000
}
